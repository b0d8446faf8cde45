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

/** Longest acceptable wait for earlier requests, in ms.  TARGET_MS is the
    latency objective of the request and TIMEOUT_MS its caller's time-out.  */
double load_shed_limit_ms (double target_ms, double timeout_ms);

/** Longest time from now to the first byte that leaves time for the rest of
    the response before the caller's time-out, REMAINING_MS from now.  */
double load_shed_first_byte_max_ms (double remaining_ms);

/** Whether the refusal of CHOICE is to be left to the home VM of its engine,
    which knows the engine's queue: so it is until the home VM has been asked,
    unless it has just reported.  */
bool load_shed_ask_home (const struct upstream_choice *choice,
                         unsigned permit_requests);

/** Whether a request that would be sent as CHOICE is refused.  If the instance
    is full, as engines always count, the request is refused when it would wait
    longer than LIMIT_MS for earlier requests, or when its first byte is
    expected too late for the caller.  Its own size is no reason: a long prompt
    at an idle engine is served, late if need be.  If the instance has free
    slots, the request is refused only when that is after REMAINING_MS, because
    a late response from a service that is only slow is better than none.  An
    idle instance always gets the request, so that its latency is measured.  A
    stream is also refused if its last event is more likely than not expected
    after REMAINING_MS.  */
bool load_shed_must_refuse (const struct upstream_choice *choice,
                            double limit_ms, double remaining_ms);

/** Whether the decode stage may bind for a request that is to decode as
    DECODE, at an engine with SLOTS slots, after the remote prefill PREFILL:
    the slots are taken, or a link has more KV caches to transfer than it does
    during the prefill.  The load is one of long prompts with engines that
    prefill faster than others can fetch or decode.  */
bool load_shed_decode_may_bind (const struct upstream_choice *decode,
                                unsigned slots,
                                const struct upstream_choice *prefill);

/** Retry delay in ms for the refused request ID, whose caller would wait for
    REMAINING_MS more; from LOAD_SHED_RETRY_AFTER_MIN_MS to
    LOAD_SHED_RETRY_AFTER_MAX_MS.  */
unsigned load_shed_retry_after_ms (const char *id, double remaining_ms);

#endif
