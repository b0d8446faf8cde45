/** @file
    Latency model of one engine: the time from sending a prompt to its first
    token, learned from the requests that VMs send there.

    The time is modelled as a fixed part plus a time per prompt token, for all
    tokens that the engine has to prefill up to and including the request.
    Both parts are estimated by recursive least squares with forgetting, so
    they follow an engine that becomes slower or faster.  The prior is wide:
    engines that differ by two orders of magnitude are learned in a few
    requests.  A single sample moves the estimate only within bounds, whatever
    its value.

    No I/O; a model is a plain struct of fixed size.  */
#ifndef DECIDE_ENGINE_MODEL_H
#define DECIDE_ENGINE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/** Bounds of the estimates.  */
#define ENGINE_MODEL_FIXED_MS_MAX 1000.0
#define ENGINE_MODEL_MS_PER_1000_MIN 0.2
#define ENGINE_MODEL_MS_PER_1000_MAX 500.0

/** What an engine does with a prompt.  */
enum engine_model_kind
{
  ENGINE_MODEL_PREFILL_ONLY, /**< prefills; the response is the KV cache's
                                  handle */
  ENGINE_MODEL_COMBINED,     /**< prefills between the decode steps of other
                                  requests, then decodes */
  ENGINE_MODEL_DECODE        /**< decodes from a KV cache that another engine
                                  has prefilled */
};

/** The two estimates of a model, as VMs exchange them.  */
struct engine_rates
{
  double fixed_ms;    /**< part that does not depend on the prompt */
  double ms_per_1000; /**< time per 1,000 tokens to prefill */
  unsigned samples;   /**< number of samples behind them, up to UINT32_MAX */
};

/** Estimates of one engine, for one kind of work.  */
struct engine_model
{
  struct engine_rates rates;
  struct engine_rates usual; /**< long-term average of the rates */
  double covariance[3];      /**< of the rates: fixed/fixed, fixed/slope,
                                  slope/slope */
  double surprise;    /**< moving average of the signs of the errors, from
                           -1 to 1; small errors count less */
  double error_ms;    /**< moving average of the absolute errors */
  double error_ratio; /**< moving average of the errors relative to their
                           expected size */
  int64_t updated_ms; /**< time of the latest sample or report; 0 for none */
};

/** Sets M to the prior of KIND.  */
void engine_model_init (struct engine_model *m, enum engine_model_kind kind);

/** Sets M to the estimates RATES of another VM or of a similar engine, clamped
    to their bounds.  They are as uncertain as the prior, so that samples soon
    replace them.  */
void engine_model_init_from (struct engine_model *m,
                             const struct engine_rates *rates);

/** Returns the estimates of M.  */
struct engine_rates engine_model_rates (const struct engine_model *m);

/** Replaces the estimates of M by RATES, which a VM with more samples reported
    at NOW_MS; clamped to their bounds.  */
void engine_model_set_rates (struct engine_model *m,
                             const struct engine_rates *rates, int64_t now_ms);

/** One observed request.  */
struct engine_sample
{
  bool from_idle;  /**< no request was ahead of it: TOOK_MS contains the fixed
                        part; otherwise only the time since the engine
                        finished the one before it */
  uint64_t tokens; /**< tokens that the engine prefilled in that time */
  double took_ms;
};

/** Learns from SAMPLE.  Ignores one that cannot be right: a time of 0 or less
    or above ENGINE_MODEL_SAMPLE_MAX_MS, or more than
    ENGINE_MODEL_SAMPLE_MAX_TOKENS.  Returns whether the sample was used.  */
bool engine_model_learn (struct engine_model *m,
                         const struct engine_sample *sample, int64_t now_ms);

/** Lets the estimates of M return to their long-term average, by half in each
    ENGINE_MODEL_HALF_LIFE_MS without a sample: an engine that was slow and
    therefore gets no requests would otherwise count as slow for ever.  To be
    called before M is used at NOW_MS.  */
void engine_model_age (struct engine_model *m, int64_t now_ms);

/** See engine_model_age.  */
#define ENGINE_MODEL_HALF_LIFE_MS 2000.0

/** Longest time and most tokens of a plausible sample.  */
#define ENGINE_MODEL_SAMPLE_MAX_MS 60000.0
#define ENGINE_MODEL_SAMPLE_MAX_TOKENS 20000000U

/** Returns the expected time in ms to the first token of a request with TOKENS
    to prefill up to and including it.  */
double engine_model_first_token_ms (const struct engine_model *m,
                                    uint64_t tokens);

/** Returns the time in ms for which a prompt with TOKENS to prefill keeps the
    engine busy: the part that delays the requests behind it.  */
double engine_model_compute_ms (const struct engine_model *m, uint64_t tokens);

/** Returns the number of tokens that M prefills in MS.  */
uint64_t engine_model_tokens_in (const struct engine_model *m, double ms);

#endif
