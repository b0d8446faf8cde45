/** @file
    Limit of requests a second that an upstream states, as this VM knows it.

    The latest statement counts, whichever VM received it.  Times are on the
    monotonic clock, in milliseconds.  No I/O.  */
#ifndef DECIDE_RATE_LIMIT_H
#define DECIDE_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** Time after a response with a limit in which one without it does not end the
    limit: it may have been sent earlier.  */
#define RATE_LIMIT_REORDER_MS 500

/** The limit of one upstream; all 0 if none was ever stated.  */
struct rate_limit
{
  bool in_force;
  double per_s;      /**< requests a second of all VMs together */
  int64_t stated_ms; /**< when it was last stated that there is this limit, or
                          none; 0 for never */
};

/** Records that a response stated at NOW_MS a limit of PER_S.  Returns whether
    that changed the limit.  */
bool rate_limit_state (struct rate_limit *l, double per_s, int64_t now_ms);

/** Records that a response stated no limit at NOW_MS.  Returns whether that
    ended the limit.  */
bool rate_limit_state_none (struct rate_limit *l, int64_t now_ms);

/** Records what another VM knows, OTHER, unless L is newer.  Returns whether
    that changed the limit.  */
bool rate_limit_merge (struct rate_limit *l, const struct rate_limit *other);

#endif
