/** @file
    Demand that the requests for one service make on its engines: prompt tokens
    that arrive, measured over windows, and requests that generate, smoothed.

    The module does no I/O and reads no clock.  */
#ifndef DECIDE_PREFILL_DEMAND_H
#define DECIDE_PREFILL_DEMAND_H

#include <stdbool.h>
#include <stdint.h>

/** Requests that arrived in one window.  */
struct prefill_arrivals
{
  uint64_t prompt_tokens; /**< of all requests */
  uint64_t
      uncached_tokens; /**< part of these that a prefill-only engine may
                            prefill and that no engine is known to cache */
  unsigned requests;
};

/** Arrivals counted over windows that follow each other.  */
struct prefill_window
{
  int64_t start_ms;                 /**< start of the current window */
  struct prefill_arrivals current;  /**< in it, so far */
  struct prefill_arrivals previous; /**< in the window before it */
  int64_t previous_ms;              /**< its length; 0 for none */
};

/** Demand on the engines of one service.  */
struct prefill_demand
{
  struct prefill_window window; /**< windows with enough requests to plan by */
  struct prefill_window recent; /**< shorter ones, which show sooner that
                                     prompts no longer arrive */
  bool is_sampled;              /**< GENERATING was sampled */
  int64_t sampled_ms;           /**< time of the latest sample */
  double sample;                /**< latest sample */
  double generating;            /**< moving average of the samples */
  double growth_per_ms;         /**< moving average of their growth */
  double busy_prefill;          /**< moving average, see
                                     prefill_demand_sample */
};

/** Starts D at NOW_MS.  */
void prefill_demand_start (struct prefill_demand *d, int64_t now_ms);

/** Counts a request with TOKENS, of which UNCACHED have to be prefilled.  */
void prefill_demand_record (struct prefill_demand *d, uint64_t tokens,
                            uint64_t uncached, int64_t now_ms);

/** Ends the current windows that are old enough, and starts the next ones.  */
void prefill_demand_roll (struct prefill_demand *d, int64_t now_ms);

/** Records that GENERATING requests generate on all engines, and that
    BUSY_PREFILL prefill-only engines have requests.  */
void prefill_demand_sample (struct prefill_demand *d, double generating,
                            double busy_prefill, int64_t now_ms);

/** Returns the number of requests that are expected to generate AHEAD_MS after
    the latest sample: the average, and what arrives by then in excess of what
    ends.  A number that falls is not expected to fall further.  */
double prefill_demand_generating (const struct prefill_demand *d,
                                  unsigned ahead_ms);

#endif
