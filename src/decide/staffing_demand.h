/** @file
    How many instances of a service the demand needs.

    The offered load is the number of instances that the requests keep busy,
    smoothed over a short time.  The need is the offered load at a utilisation
    bound, plus a multiple of its square root against random variation
    (square-root staffing).  It rises at once, and falls only after it was
    lower for some time; see docs/design/sizing.md.

    No I/O; a plain struct of fixed size.  */
#ifndef DECIDE_STAFFING_DEMAND_H
#define DECIDE_STAFFING_DEMAND_H

#include <stdbool.h>
#include <stdint.h>

/** How long the need must have been lower before it falls.  */
#define STAFFING_HOLD_MS 60000
/** Periods of which the highest load is remembered; together they span
    STAFFING_HOLD_MS.  */
#define STAFFING_HOLD_PERIODS 12

/** Demand for one service.  */
struct staffing_demand
{
  bool has_traffic;   /**< a request was seen */
  unsigned initial;   /**< instances before the first request */
  unsigned needed;    /**< instances needed */
  unsigned firm;      /**< of these, those that are worth the price of regular
                           instances: up to the initial number, or what
                           suffices for a short time */
  unsigned surviving; /**< instances that suffice for the boot time of
                           others */
  double busy;        /**< smoothed number of busy instances */
  int64_t sampled_ms; /**< time of the latest sample; 0 for none */
  int64_t period_start_ms;
  int64_t steady_since_ms;             /**< when the need last changed */
  double peaks[STAFFING_HOLD_PERIODS]; /**< highest BUSY by period, the
                                            current one first */
};

/** Number of instances that a load which keeps BUSY instances busy needs.  */
unsigned staffing_demand_need (double busy);

/** Records that BUSY instances are busy with RUNNING requests.  COUNT: how
    many instances there are without those that were ordered.  The need is at
    least LEAST and at most MOST; before the first request it is at least
    COUNT.  */
void staffing_demand_sample (struct staffing_demand *d, double busy,
                             unsigned running, unsigned count, unsigned least,
                             unsigned most, int64_t now_ms);

/** Starts from what an earlier holder has recorded.  */
void staffing_demand_restore (struct staffing_demand *d, unsigned initial,
                              unsigned needed, bool has_traffic,
                              int64_t now_ms);

#endif
