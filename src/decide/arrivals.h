/** @file
    Calls by which one request reaches upstreams, and what they cost of the
    retry budget.

    Each call but the first costs one token, also one that the upstream
    refuses.  The first remote prefill that an upstream accepts costs nothing.
    What a call costs is paid before it is sent, for the worst outcome of the
    calls in progress; what was paid and not needed is left over.  No I/O.  */
#ifndef DECIDE_ARRIVALS_H
#define DECIDE_ARRIVALS_H

#include <stdbool.h>

/** A call to an upstream.  */
enum call_kind
{
  CALL_RUN,    /**< runs the request */
  CALL_PREFILL /**< a remote prefill; a CALL_RUN follows if it is accepted */
};

/** Calls of one request; all zero at first.  */
struct arrivals
{
  unsigned runs;     /**< CALL_RUNs that were sent */
  unsigned prefills; /**< CALL_PREFILLs that were sent */
  bool accepted;     /**< an upstream has accepted a prefill */
  unsigned paid;     /**< tokens paid */
};

/** Tokens to pay before a call of KIND may be sent.  Those of CALL_PREFILL
    include the CALL_RUN after it.  */
unsigned arrivals_cost (const struct arrivals *a, enum call_kind kind);

/** Records that N tokens were paid.  */
void arrivals_pay (struct arrivals *a, unsigned n);

/** Records that a call of KIND was sent.  Aborts unless it is paid.  */
void arrivals_sent (struct arrivals *a, enum call_kind kind);

/** Records that a call of KIND that was recorded as sent reached no
    upstream.  */
void arrivals_not_sent (struct arrivals *a, enum call_kind kind);

/** Records that an upstream has accepted a prefill.  */
void arrivals_accepted (struct arrivals *a);

/** Tokens that were paid and that the calls sent did not need.  */
unsigned arrivals_left_over (const struct arrivals *a);

#endif
