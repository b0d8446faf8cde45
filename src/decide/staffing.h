/** @file
    Sizing of the services whose configuration has scaling parameters: orders
    for the number of regular and of spot instances in each failure domain.

    The need follows from the demand (decide/staffing_demand), the numbers from
    the need (decide/staffing_plan).  Numbers are raised at once.  Regular
    instances are ordered down only once enough spot instances are ready to
    cover the loss of all those of one failure domain; spot instances only
    after their number was higher than planned for some time.

    A failure domain that has none of a kind available, whose spot instances
    were reclaimed, or whose instances do not become ready in time, is not
    ordered more of that kind for some seconds; others replace it.

    An order is due until it was accepted.  The record holds the orders, so
    that the next holder goes on from them.  Does no I/O and reads no
    clock.  */
#ifndef DECIDE_STAFFING_H
#define DECIDE_STAFFING_H

#include "decide/route_table.h"
#include "decide/staffing_plan.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** How long a failure domain that has none of a kind is not ordered more.  */
#define STAFFING_UNAVAILABLE_MS 10000
/** How long an instance must have been ready before others are ordered away
    for it.  */
#define STAFFING_SETTLE_MS 1000

struct staffing;

/** Creates a state without services.  */
struct staffing *staffing_create (void);

/** Releases S, which may be NULL.  */
void staffing_destroy (struct staffing *s);

/** Takes the services with scaling parameters from ROUTES.  Orders for
    services and failure domains that stay are kept.  */
void staffing_set_services (struct staffing *s,
                            const struct route_table *routes);

/** Number of services that are sized.  */
unsigned staffing_count_services (const struct staffing *s);
/** Name of service I.  */
const char *staffing_service (const struct staffing *s, unsigned i);

/** One instance as the VMs know it, with the load of all VMs.  */
struct staffing_instance
{
  const char *failure_domain;
  bool spot;
  bool leaving;
  bool reclaimed; /**< a spot instance that the platform takes back */
  unsigned slots;
  unsigned running;    /**< requests there */
  unsigned generating; /**< of these, those that only decode */
  uint64_t tokens;     /**< prompt tokens not yet prefilled */
};

/** Why the numbers changed.  */
enum staffing_reason
{
  STAFFING_NO_CHANGE,
  STAFFING_NEED, /**< more instances are needed, or cheaper ones */
  STAFFING_LOST, /**< a failure domain has none available or lost its own */
  STAFFING_REPLACED, /**< spot instances are ready and replace regular ones */
  STAFFING_LESS      /**< fewer instances are needed */
};

/** A decision with its inputs, for the log.  */
struct staffing_decision
{
  enum staffing_reason reason;
  bool has_traffic;
  double busy;     /**< instances that the demand keeps busy, smoothed */
  unsigned needed; /**< instances that must remain after a reclaim */
  unsigned failure_domains; /**< with spot instances available */
  struct staffing_counts ready;
  struct staffing_counts wanted;
};

/** Name of REASON for logs.  */
const char *staffing_reason_name (enum staffing_reason reason);

/** Decides on SERVICE from its N INSTANCES, and fills OUT.  Nothing is ordered
    for a service that has no instances, as their entries are then unknown.  */
void staffing_decide (struct staffing *s, const char *service,
                      const struct staffing_instance *instances, unsigned n,
                      int64_t now_ms, struct staffing_decision *out);

/* Orders.  */

/** An order; the strings are valid until the next call that changes S.  */
struct staffing_order
{
  const char *service;
  const char *failure_domain;
  bool spot;
  unsigned desired;
};

/** Outcome of an order.  */
enum staffing_outcome
{
  STAFFING_ACCEPTED,
  STAFFING_UNAVAILABLE, /**< none are available there at the moment */
  STAFFING_REFUSED,     /**< the platform rejects the order as invalid */
  STAFFING_UNKNOWN      /**< it is to be sent again */
};

/** Whether an order is due at NOW_MS.  */
bool staffing_is_due (const struct staffing *s, int64_t now_ms);
/** Returns the record of the orders; the calling code releases it.  */
GBytes *staffing_record (struct staffing *s);
/** Appends to OUT a struct staffing_order for each order that is due at NOW_MS
    and in the latest record.  Each must be followed by
    staffing_record_outcome.  */
void staffing_take_orders (struct staffing *s, int64_t now_ms, GArray *out);
/** Records the outcome of ORDER, which staffing_take_orders returned.  */
void staffing_record_outcome (struct staffing *s,
                              const struct staffing_order *order,
                              enum staffing_outcome outcome, int64_t now_ms);

/** Forgets orders and demand: this VM is not the holder.  */
void staffing_forget (struct staffing *s);
/** Starts from RECORD, which may be NULL or malformed; its orders are sent
    again.  Returns false if it is malformed; it is then ignored.  */
bool staffing_restore (struct staffing *s, GBytes *record, int64_t now_ms);

#endif
