/** @file
    Refusing: which requests are refused at once, and when their callers are
    to come back.

    Load it answers: more long prompts than the engines can read.  What would
    be answered late is not sent, so that what is sent is answered in time; a
    refused caller is late anyway, so it is sent away for long enough to find
    room, and callers that were refused together do not come back together.
    Pure.  */
#ifndef DECIDE_REFUSAL_H
#define DECIDE_REFUSAL_H

#include "decide/upstreams.h"

/** Least and longest time for which a refused caller is sent away.  */
#define REFUSAL_LEAST_MS 150
#define REFUSAL_MOST_MS 2000

/** Time to the first byte, from now, past which a request is refused.
    TARGET_MS is its latency objective, PATIENCE_MS for how long its caller
    waits in all, and LEFT_MS for how long yet.  */
double refusal_limit_ms (double target_ms, double patience_ms, double left_ms);

/** Whether a request that would be sent as CHOICE says is refused: where it
    would wait, if that is past LATE_MS; where there is room, only if it could
    not end within LEFT_MS, as a service that is merely slow serves better late
    than not; and never at one that runs nothing, so that its time is known
    anew.  */
bool refusal_is_due (const struct upstream_choice *choice, double late_ms,
                     double left_ms);

/** For how long the caller of request ID, that would wait for LEFT_MS yet, is
    sent away.  */
unsigned refusal_retry_after_ms (const char *id, double left_ms);

#endif
