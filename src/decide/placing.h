/** @file
    Placing: which instance a request is sent to.

    Load it answers: prompts of thousands of tokens that share long parts,
    beside short ones, on engines whose own reports are late.  Prompts that
    share a part are gathered at one engine, unless it is busy.  Long ones are
    read by engines that only read, or by others, whichever is sooner.  An
    engine that reads a prompt between the tokens of its other requests makes
    these pause; so a part of the engines, as many as the requests that only
    generate need, reads no long prompts.  Pure.  */
#ifndef DECIDE_PLACING_H
#define DECIDE_PLACING_H

#include "decide/upstreams.h"

/** A request that looks for an instance.  */
struct upstream_ask
{
  const char *service;
  const struct prompt *prompt;  /**< NULL for plain requests */
  const upstream_handle *tried; /**< instances that are passed over */
  unsigned n_tried;
  bool repeatable;        /**< it may run more than once */
  bool whole;             /**< only instances that take the whole request */
  upstream_handle reader; /**< engine that has read the prompt, or 0 */
  double limit_ms;        /**< instances that are expected to answer later come
                               after all others; 0 for no limit */
};

/** Chooses the instance that is expected to answer first.  */
struct upstream_choice placing_choose (const struct upstreams *u,
                                       const struct upstream_ask *ask,
                                       int64_t now_ms);

/** Wait at an engine that reads TOKENS_PER_MS and runs SLOTS requests at once,
    with LOAD before it, until it has read TOKENS.  */
double placing_wait_ms (enum upstream_work_kind work,
                        const struct upstream_load *load, uint64_t tokens,
                        unsigned slots, double tokens_per_ms);

/** Whether PROMPT, which may be NULL, is one that engines are kept free of. */
bool placing_is_long (const struct prompt *prompt);

#endif
