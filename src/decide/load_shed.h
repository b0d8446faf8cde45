/** @file
    Load shedding: which requests are refused at once, and after what time
    their callers may retry.

    When more long prompts arrive than the engines can prefill, a request whose
    response would start too late is not sent, so that the requests that are
    sent get their response in time.  A refused caller misses its objective in
    any case, so its retry delay is long enough for capacity to free up, and
    delays differ so that callers refused together do not retry together.  No
    I/O.  */
#ifndef DECIDE_LOAD_SHED_H
#define DECIDE_LOAD_SHED_H

#include "decide/upstreams.h"

/** Shortest and longest retry delay of a refused caller, in ms.  */
#define LOAD_SHED_RETRY_AFTER_MIN_MS 150
#define LOAD_SHED_RETRY_AFTER_MAX_MS 2000

/** Longest acceptable time from now to the first byte, in ms; negative if the
    caller's time-out is too near.  TARGET_MS is the latency objective of the
    request, TIMEOUT_MS its caller's time-out and REMAINING_MS what is left of
    that.  */
double load_shed_limit_ms (double target_ms, double timeout_ms,
                           double remaining_ms);

/** Whether a request that would be sent as CHOICE is refused.  If the instance
    is full, as engines always count, the request is refused when its first
    byte is expected after LIMIT_MS.  If the instance has free slots, the
    request is refused only when that is after REMAINING_MS, because a late
    response from a service that is only slow is better than none.  An idle
    instance always gets the request, so that its latency is measured.  */
bool load_shed_must_refuse (const struct upstream_choice *choice,
                            double limit_ms, double remaining_ms);

/** Retry delay in ms for the refused request ID, whose caller would wait for
    REMAINING_MS more; from LOAD_SHED_RETRY_AFTER_MIN_MS to
    LOAD_SHED_RETRY_AFTER_MAX_MS.  */
unsigned load_shed_retry_after_ms (const char *id, double remaining_ms);

#endif
