/** @file
    Prefill timing of a stand-in engine: prompts are prefilled one after the
    other, at a fixed rate, and prompt parts seen before are cached.  */
#ifndef TESTS_FAKES_PREFILL_MODEL_H
#define TESTS_FAKES_PREFILL_MODEL_H

#include <stdint.h>

struct prefill_model;

/** Makes a model with an empty cache and the prefill rate TOKENS_PER_MS.  */
struct prefill_model *prefill_model_create (double tokens_per_ms);

/** Releases M.  */
void prefill_model_destroy (struct prefill_model *m);

/** Prefill work and latency of one prompt.  */
struct prefill_time
{
  uint64_t tokens; /**< prompt tokens that are not cached; at least 1 */
  double queue_ms; /**< time until the prompts before it are prefilled */
  double done_ms;  /**< time until this prompt is prefilled */
};

/** Queues a prompt of COUNT tokens at the time NOW_MS and caches its parts.
    PARTS lists them from the start of the prompt as "ID:TOKENS,...", or is
    NULL.  */
struct prefill_time prefill_model_add (struct prefill_model *m, uint64_t count,
                                       const char *parts, double now_ms);

#endif
