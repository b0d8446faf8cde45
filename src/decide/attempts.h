/** @file
    Attempts of one request: what its outcome so far allows.

    Load it answers: upstreams that refuse, break off, fall silent or answer
    wrongly, while a request may run once at most and a refusal must be true.
    Pure.  */
#ifndef DECIDE_ATTEMPTS_H
#define DECIDE_ATTEMPTS_H

#include <stdbool.h>

/** How one attempt ended.  */
enum attempt_outcome
{
  ATTEMPT_ANSWERED, /**< a whole answer to pass on */
  ATTEMPT_FAILED,   /**< a whole answer that tells of a failure */
  ATTEMPT_NOT_SENT, /**< not a byte reached the upstream */
  ATTEMPT_NOT_RUN,  /**< the upstream says that it did not run it */
  ATTEMPT_LOST      /**< sent, and nothing trustworthy came back */
};

/** What to do next.  */
enum attempt_step
{
  ATTEMPT_PASS_ON, /**< give the caller the upstream's answer */
  ATTEMPT_AGAIN,   /**< send it to another upstream */
  ATTEMPT_REFUSE,  /**< it has not run and will not: refuse */
  ATTEMPT_UNKNOWN  /**< it may have run: say that its outcome is unknown */
};

/** State of one request.  */
struct attempts
{
  bool repeatable; /**< it may run more than once */
  unsigned most;   /**< most upstreams that it may be sent to */
  unsigned sent;   /**< attempts of which a byte may have left */
  bool may_have_run;
};

/** Makes the state of a request.  MOST is at least 1.  */
struct attempts attempts_start (bool repeatable, unsigned most);

/** Records an attempt that ended with OUTCOME and says what to do next.  AGAIN
    means that attempts are left; the caller of this still checks the retry
    budget and the time that is left.  */
enum attempt_step attempts_ended (struct attempts *a,
                                  enum attempt_outcome outcome);

/** What to do where no further attempt is made.  */
enum attempt_step attempts_give_up (const struct attempts *a);

/** Name of OUTCOME for logs.  */
const char *attempt_outcome_name (enum attempt_outcome outcome);

#endif
