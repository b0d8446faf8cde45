/** @file
    Simulated pool of engines under load, on virtual time: the production code
    for routing, queues, retries and role control, with simulated engines.  */
#ifndef BENCH_MODEL_POOL_H
#define BENCH_MODEL_POOL_H

#include "model/engine.h"

/** Controller of the engines' roles.  */
enum pool_control
{
  CONTROL_NONE,     /**< none: each engine keeps its first role */
  CONTROL_ROLES,    /**< the production controller, decide/roles.c */
  CONTROL_THRESHOLD /**< baseline: thresholds on prefill queues and
                         batches */
};

/** Mix of dossiers (much prefill) and chats (much decode) over a run.  The
    percentages are the share of prefill in the engines' work.  */
enum pool_mix
{
  MIX_CONSTANT, /**< 24% throughout; over half of the requests are
                     dossiers */
  MIX_SWING,    /**< 12% to 60% and back, every 240 s */
  MIX_DAY,      /**< 12% to 36% and back once in a run: the shift
                     over a day, shortened to the run */
  MIX_STEP      /**< 12% in the first half of the run, 60% in the second */
};

/** Parameters of a run.  */
struct pool_shape
{
  unsigned engines;
  unsigned prefill; /**< engines that start in the prefill role; those neither
                         prefill nor mixed start in the decode role */
  unsigned mixed;   /**< engines in the mixed role */
  unsigned entries; /**< entry VMs, each with a router and a view of loads
                         of its own; at most 8 */
  enum pool_control control;
  enum pool_mix mix;
  double load;       /**< offered load relative to the engines' capacity */
  double spike_load; /**< load in the middle third of the run; 0: the same */
  bool ignore_prefixes;    /**< the router ignores prompt prefixes */
  double change_cost;      /**< price of a role change, in requests answered in
                                time */
  unsigned failed_engines; /**< engines withdrawn, as if they failed, in the
                          middle of the run */
  int64_t report_every_ms; /**< interval of load reports to entry VMs */
  double report_loss;      /**< probability that a report is lost */
  bool callers_repeat; /**< callers repeat a refused request, at most twice,
                            after the delay that the refusal states */
  double hot_prefix_share; /**< share of dossiers that have one hot prefix */
  unsigned seconds;        /**< duration of arrivals */
  uint32_t seed;           /**< seed of all random draws */
};

/** Counts and ratios of a run.  */
struct pool_result
{
  unsigned arrivals; /**< requests, without repeats by callers */
  unsigned good;     /**< answered, first token within 0.55 s, and at most 5%
                          of the decode steps over 34 ms */
  unsigned complete; /**< answered completely */
  unsigned late_first_tokens; /**< complete, first token after more
                                   than 0.55 s */
  unsigned slow_tokens; /**< complete, more than 5% of the steps over 34 ms */
  unsigned refused;     /**< refused and not repeated */
  unsigned lost;        /**< requests in progress at an engine that failed */
  unsigned sent_requests; /**< arrivals and repeats by callers */
  unsigned retries;       /**< retries by the entry VMs */
  unsigned role_changes;
  unsigned late_changes; /**< role changes after the first minute */
  unsigned cache_hits;   /**< prompts whose prefix was cached at the engine */
  unsigned cache_hits_ideal;  /**< requests whose prefix had come before: hits
                                   of a cache that is shared and unlimited */
  double bound;               /**< upper bound of good, see workload_bound */
  double longest_queue_ratio; /**< largest mean queue of an engine, relative to
                                   the mean over the engines with a queue */
  double repeat_peak; /**< most repeats by callers in a second, relative to
                           the mean over the seconds with any */
};

/** Returns the default parameters.  */
struct pool_shape pool_shape_default (void);

/** Simulates SHAPE and returns its result.  */
struct pool_result pool_run (const struct pool_shape *shape);

#endif
