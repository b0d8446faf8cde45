/** @file
    How many regular and spot instances of a service each failure domain gets,
    at the least price.

    All spot instances of one failure domain may be reclaimed at once.  A plan
    covers a number if as many instances remain after any one such loss.  A
    margin of spot instances, which are cheap, covers the need.  Regular
    instances are added only for smaller numbers: those that must be there in
    any case, and those that must remain until the instances which replace the
    lost ones have booted.

    No I/O, no state.  */
#ifndef DECIDE_STAFFING_PLAN_H
#define DECIDE_STAFFING_PLAN_H

#include <glib.h>
#include <stdbool.h>

/** Instances of both kinds.  */
struct staffing_counts
{
  unsigned regular;
  unsigned spot;
};

/** One failure domain.  */
struct staffing_site
{
  double price;     /**< of a second of a regular instance */
  bool has_regular; /**< more regular instances can be ordered */
  bool has_spot;    /**< the number of spot instances can be changed */
  struct staffing_counts now; /**< bounds the kinds that cannot be ordered */
};

/** What all failure domains share.  */
struct staffing_bounds
{
  unsigned min;         /**< instances in a failure domain, of both kinds */
  unsigned max;         /**< the same */
  double spot_price;    /**< of a spot instance, relative to a regular one */
  unsigned base;        /**< least number of regular instances in all */
  unsigned min_regular; /**< regular instances in a failure domain */
  unsigned needed;      /**< instances that should remain after a reclaim */
  unsigned firm; /**< instances that must be there, if need be regular ones */
  unsigned surviving; /**< of these, those that must remain, if need be by
                             regular instances */
};

/** Plans the instances of N failure domains into OUT.  A plan covers as much
    as the bounds allow, if they do not allow more.  */
void staffing_plan (const struct staffing_bounds *bounds,
                    const struct staffing_site *sites, unsigned n,
                    struct staffing_counts *out);

/** Instances that remain of COUNTS if the failure domain with the most spot
    instances loses these.  */
unsigned staffing_plan_covered (const struct staffing_counts *counts,
                                unsigned n);

/** Price of a second of COUNTS.  */
double staffing_plan_price (const struct staffing_bounds *bounds,
                            const struct staffing_site *sites,
                            const struct staffing_counts *counts, unsigned n);

#endif
