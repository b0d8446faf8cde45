/** @file
    Simulated engine with continuous batching and a prefix cache, on virtual
    time.  Its default rates follow from the throughput and latency that the
    system is designed for.  */
#ifndef BENCH_MODEL_ENGINE_H
#define BENCH_MODEL_ENGINE_H

#include "decide/route.h"
#include "model/vtime.h"

/** Speed and sizes of an engine.  */
struct engine_rates
{
  double prefill_tokens_per_s;
  double step_fixed_ms;       /**< fixed part of the time of a decode step */
  double step_per_request_ms; /**< added time per request in the batch */
  unsigned chunk;        /**< most prompt tokens prefilled in a step that also
                              decodes */
  uint64_t cache_tokens; /**< capacity of the prefix cache */
  int64_t change_ms;     /**< duration of a role change */
};

/** Returns the default rates: a batch of 23 requests decodes at 33 ms per
    token, and the prefill of 8,500 prompt tokens takes 98 ms.  */
struct engine_rates engine_rates_default (void);

/** A request to an engine.  The callbacks get ARG.  */
struct engine_request
{
  uint32_t prompt_tokens;
  uint64_t prefix;        /**< hash of the start of the prompt; 0 for none */
  uint32_t prefix_tokens; /**< length of the prefix, part of the prompt */
  uint32_t output_tokens;
  enum route_phase phase;
  /** Called when the prompt is prefilled, which yields the first token.
      CACHED: the prefix was in the cache.  Not called in PHASE_DECODE.  */
  void (*on_first) (void *arg, bool cached);
  /** Called after the last token.  SLOW_SHARE is the share of decode steps
      that took over 34 ms.  Not called in PHASE_PREFILL.  */
  void (*on_done) (void *arg, double slow_share);
  /** Called if the engine fails before the request ends.  */
  void (*on_lost) (void *arg);
  void *arg;
};

struct engine_model;

/** Creates an idle engine; RATES is copied.  */
struct engine_model *engine_model_create (struct vtime *time,
                                          const struct engine_rates *rates,
                                          enum engine_role role);

/** Releases E.  */
void engine_model_destroy (struct engine_model *e);

/** Starts REQUEST, which is copied.  Sets no limit on the number of requests:
    the calling code queues.  */
void engine_model_submit (struct engine_model *e,
                          const struct engine_request *request);

/** Changes the role of E, which must be idle; calls ON_CHANGED (ARG) after
    change_ms.  */
void engine_model_change_role (struct engine_model *e, enum engine_role role,
                               void (*on_changed) (void *arg), void *arg);

/** Withdraws E for good, as if it failed, and calls on_lost of its requests;
    of those whose KV cache is in transfer, when the transfer ends.  E must not
    get further requests.  */
void engine_model_fail (struct engine_model *e);

/** Returns the role of E; during a role change, the new one.  */
enum engine_role engine_model_role (const struct engine_model *e);

/** Whether E has no request, none in transfer either.  */
bool engine_model_idle (const struct engine_model *e);

/** Whether the prefix cache of E holds PREFIX.  */
bool engine_model_caches (const struct engine_model *e, uint64_t prefix);

#endif
