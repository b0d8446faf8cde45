/** @file
    Simulated request mix of two kinds: dossiers (long prompts with answers of
    one word, so that prefill dominates) and chats (short prompts with answers
    of hundreds of tokens, so that decode dominates).  Requests of a kind share
    prompt prefixes.  */
#ifndef BENCH_MODEL_WORKLOAD_H
#define BENCH_MODEL_WORKLOAD_H

#include "model/pool.h"

/** A request of a caller.  */
struct workload_request
{
  bool dossier; /**< a dossier, else a chat */
  uint32_t prompt_tokens;
  uint64_t prefix; /**< number of the shared prompt prefix */
  uint32_t prefix_tokens;
  uint32_t output_tokens;
};

/** Mean work of a kind of request, in seconds of one engine at full
    throughput.  */
struct workload_cost
{
  double prefill_s;
  double decode_s;
};

/** Returns the share of dossiers among the requests at second T of a run.  */
double workload_dossier_share (const struct pool_shape *shape, double t);

/** Returns the mean arrivals per second at second T.  */
double workload_rate (const struct pool_shape *shape, double t);

/** Draws a random request for second T.  */
struct workload_request workload_draw (const struct pool_shape *shape,
                                       struct vtime *time, double t);

/** Returns the mean cost of a dossier, or of a chat if DOSSIER is false, with
    its prefix cached.  */
struct workload_cost workload_cost_of (bool dossier);

/** Returns an upper bound for the number of requests that any schedule could
    answer within the latency targets over a run.  It assumes that at each
    moment the engines split between prefill and decode without loss, and that
    the cheaper kind of request goes first.  */
double workload_bound (const struct pool_shape *shape);

/** Returns the seconds of engine time per output token in a full batch.  */
double workload_token_s (void);

#endif
