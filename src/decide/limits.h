/** @file
    Token buckets: the request rate of each caller, and the retry budget.

    A caller's rate is divided among the VMs that serve it.  No I/O.  */
#ifndef DECIDE_LIMITS_H
#define DECIDE_LIMITS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct limits;

/** Creates an empty table of callers.  */
struct limits *limits_create (void);

/** Destroys L, which may be NULL.  */
void limits_destroy (struct limits *l);

/** Takes a token for one request from the bucket of CALLER and returns whether
    the request may run.
    RATE is this VM's share in requests per second; 0 or less means no limit.
    If the request may not run, *RETRY_AFTER_MS is set to the time until the
    next one may.  */
bool limits_admit (struct limits *l, const char *caller, double rate,
                   int64_t now_ms, uint32_t *retry_after_ms);

/** Retry budget: retries are limited to RETRY_BUDGET_PERCENT of the
    requests.  */
struct retry_budget
{
  double tokens; /**< retries that may be made now */
};

/** Adds the share of a retry that one new request earns.  */
void retry_budget_deposit (struct retry_budget *b);
/** Takes one retry from the budget; returns false if less than one is
    left.  */
bool retry_budget_withdraw (struct retry_budget *b);

#endif
