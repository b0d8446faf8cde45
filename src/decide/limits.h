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
/** Why a request is to be sent to another engine.  */
enum retry_cause
{
  RETRY_AFTER_FAILURE, /**< the engine refused or failed the request */
  RETRY_AFTER_DRAIN    /**< the engine's home VM refused the request because
                            the engine's drain has begun */
};

/** Returns whether a retry for CAUSE may be made.  A retry after a failure
    takes one token and needs a whole one.  A retry after a drain is free: the
    request reached no engine, so it adds no load, and an engine that drains
    refuses each VM only until that VM knows of the drain.  */
bool retry_budget_withdraw (struct retry_budget *b, enum retry_cause cause);

#endif
