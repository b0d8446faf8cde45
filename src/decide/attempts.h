/** @file
    Attempts of one request: whether its outcomes so far allow another one.

    Upstreams may refuse, break off, stop responding or send malformed
    responses.  A request that is not repeatable must run at most once, and the
    caller may be told that a request was refused only if it has not run.

    A repeatable request may have a second attempt, a hedge, beside one whose
    upstream is silent.  No I/O.  */
#ifndef DECIDE_ATTEMPTS_H
#define DECIDE_ATTEMPTS_H

#include <stdbool.h>

/** Outcome of one attempt.  */
enum attempt_outcome
{
  ATTEMPT_ANSWERED, /**< a complete response to pass on */
  ATTEMPT_FAILED,   /**< a complete response that reports a failure */
  ATTEMPT_NOT_SENT, /**< no byte reached the upstream */
  ATTEMPT_NOT_RUN,  /**< the upstream states that it did not run the request */
  ATTEMPT_NO_VALID_RESPONSE /**< sent, but no valid response came back */
};

/** Next step of a request.  */
enum attempt_step
{
  ATTEMPT_PASS_ON, /**< pass the upstream's response on to the caller */
  ATTEMPT_RETRY,   /**< send the request to another upstream */
  ATTEMPT_REFUSE,  /**< it has not run and will not: refuse it */
  ATTEMPT_UNKNOWN  /**< it may have run: report an unknown outcome */
};

/** Attempts of one request so far.  */
struct attempts
{
  bool repeatable;   /**< the request may run more than once */
  unsigned max_sent; /**< maximum of SENT */
  unsigned sent;     /**< attempts that have ended, of which a byte may have
                          left */
  unsigned open;     /**< attempts in progress, 0 to 2 */
  bool may_have_run; /**< an upstream may have run the request */
};

/** Returns the state of a new request that may be sent to MAX_SENT upstreams;
    0 counts as 1.  */
struct attempts attempts_init (bool repeatable, unsigned max_sent);

/** Records that an attempt was sent.  */
void attempts_begin (struct attempts *a);

/** Whether a further attempt may be sent: some are left, and the request has
    not been sent before or may run more than once.  */
bool attempts_may_begin (const struct attempts *a);

/** Whether a second attempt may be sent beside the one in progress.  */
bool attempts_may_hedge (const struct attempts *a);

/** Whether the request may be sent to no further upstream, as attempts in
    progress or ended have used up max_sent.  */
bool attempts_used_up (const struct attempts *a);

/** Records that an attempt in progress was cancelled, as the response of
    another one is used.  */
void attempts_cancelled (struct attempts *a);

/** Records an attempt that ended with OUTCOME and returns the next step.
    ATTEMPT_RETRY means only that attempts are left: the calling code still
    checks the retry budget and the remaining time.  While another attempt is
    in progress, ATTEMPT_REFUSE and ATTEMPT_UNKNOWN mean to wait for it.  */
enum attempt_step attempts_ended (struct attempts *a,
                                  enum attempt_outcome outcome);

/** Returns the last step if no further attempt is made.  */
enum attempt_step attempts_give_up (const struct attempts *a);

/** Name of OUTCOME for logs.  */
const char *attempt_outcome_name (enum attempt_outcome outcome);

#endif
