/** @file
    Role control of one pool: the engines of one model in one region.

    Prefill and decode demand is measured from all arrivals, including refused
    ones, in units of one fully busy engine.  Engines of the mixed role do both
    kinds of work and keep that role; a small group of them covers short
    changes in demand.  An engine changes between the prefill and decode roles
    only if the requests that the current split would fail to answer in time,
    until the mix of demand shifts again, outweigh the cost of the change: its
    fixed price plus the requests that the engine could have served meanwhile.

    No I/O; takes the time as an argument.  */
#ifndef DECIDE_ROLES_H
#define DECIDE_ROLES_H

#include "decide/route.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Parameters of the controller.  */
struct roles_config
{
  double change_cost;  /**< price of a change, in requests answered in time */
  double change_s;     /**< time that a change takes an engine out of service,
                            in seconds */
  double mixed_decode; /**< decode throughput of a mixed engine relative to a
                            decode-only engine, above 0 and up to 1 */
  unsigned floor;      /**< least number of engines able to do each phase */
};

/** Engines of a pool, by role.  */
struct roles_split
{
  unsigned prefill;
  unsigned decode;
  unsigned mixed;
  unsigned changing; /**< engines that are changing to any role */
};

/** Quantities behind a decision, for its log line.  */
struct roles_inputs
{
  double prefill_demand; /**< in busy engines */
  double decode_demand;  /**< in busy engines */
  double arrivals_per_s; /**< request arrivals per second */
  double lost_now;       /**< requests per second that the current split cannot
                              serve in time */
  double lost_after;     /**< the same after the change */
  double worth;          /**< requests that the change saves until the mix of
                              demand shifts */
  double price;          /**< requests that the change costs */
};

/** The change to make; none if FROM equals TO.  */
struct roles_decision
{
  enum engine_role from;
  enum engine_role to;
  struct roles_inputs inputs;
};

struct roles;

/** Creates the controller of a pool; CONFIG is copied.  */
struct roles *roles_create (const struct roles_config *config);

/** Destroys R, which may be NULL.  */
void roles_destroy (struct roles *r);

/** Replaces the parameters; CONFIG is copied.  */
void roles_configure (struct roles *r, const struct roles_config *config);

/** Records the requests that arrived since the last call and their work, in
    seconds of a prefill-only and a decode-only engine.  Call every second.  */
void roles_demand (struct roles *r, double arrivals, double prefill_s,
                   double decode_s, int64_t now_ms);

/** Decides whether one engine of a pool split as SPLIT changes its role.  */
struct roles_decision roles_decide (struct roles *r,
                                    const struct roles_split *split,
                                    int64_t now_ms);

#endif
