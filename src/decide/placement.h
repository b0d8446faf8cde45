/** @file
    Placement: chooses the upstream for a request.

    Requests with prompts of thousands of tokens, which share long prefixes,
    arrive beside requests with short prompts.  For engines, four rules apply:
    - Prompts that share a prefix go to the same engine, chosen by rendezvous
      hashing, unless it is busy.
    - A long prompt is prefilled by a separate prefill engine if the response
      then starts earlier (disaggregated prefill).
    - A prefill between decode steps delays all other requests of an engine.
      So some decode engines take no long prompts: as many as the requests
      with short prompts need.
    - The load of an engine is estimated, as its own reports arrive late.

    Streams with a target for the gap between events are placed by their whole
    answer: expected events times the time between events at the engine.

    Does no I/O.  */
#ifndef DECIDE_PLACEMENT_H
#define DECIDE_PLACEMENT_H

#include "decide/upstreams.h"

/** The answer that a request is expected to get, if that is a stream with a
    target for the gaps in it.  */
struct placement_stream
{
  double events;        /**< expected events */
  double events_median; /**< median and upper estimate of their number */
  double events_high;
  double gap_ms;  /**< target for the longest time between two */
  double left_ms; /**< time to the deadline of the last one */
};

/** A request to place.  */
struct placement_request
{
  const char *service;
  const struct prompt *prompt;           /**< NULL for plain requests */
  const struct placement_stream *stream; /**< NULL: not placed by its answer */
  const upstream_handle *tried;          /**< upstreams to exclude */
  unsigned n_tried;
  bool repeatable;                /**< may run more than once */
  bool exclude_prefill_engines;   /**< exclude engines that only prefill */
  upstream_handle prefill_engine; /**< has prefilled the prompt; or 0 */
  bool ignore_limits; /**< upstreams without a token of their limit of requests
                           a second are eligible, too */
  double limit_ms;    /**< upstreams with a longer wait for earlier requests
                           rank after the others; 0: none does */
};

/** Chooses the eligible upstream with the lowest expected latency plus costs
    such as failures and cache misses.  Upstreams that are deprioritized or
    expected to exceed the limit come last.  The handle of the result is 0 if
    no upstream is eligible.  */
struct upstream_choice
placement_choose (const struct upstreams *u,
                  const struct placement_request *request, int64_t now_ms);

/** Whether an upstream would be eligible for REQUEST if this VM had a token of
    its limit of requests a second.  */
bool placement_lacks_token (const struct upstreams *u,
                            const struct placement_request *request,
                            int64_t now_ms);

/** Counts REQUEST, which is placed at CHOSEN, as demand of the limited
    upstream that it would rather be sent to; if CHOSEN is 0, of one that it
    could be sent to.  */
void placement_record_misses (struct upstreams *u,
                              const struct placement_request *request,
                              upstream_handle chosen, int64_t now_ms);

/** What the expected wait at an engine depends on, besides its load.  */
struct placement_engine
{
  const struct engine_model *model; /**< for the kind of work */
  unsigned slots;                   /**< requests that it runs concurrently */
  double residence_ms; /**< mean time that a request occupies a slot */
};

/** Returns the expected time in ms from sending a request of kind WORK, with
    TOKENS to prefill, to its first token (of a remote prefill: to its end) at
    ENGINE with LOAD ahead of it.  */
double placement_wait_ms (enum upstream_work_kind work,
                          const struct upstream_load *load, uint64_t tokens,
                          const struct placement_engine *engine);

/** Returns the part of placement_wait_ms that is spent waiting for earlier
    requests.  */
double placement_queue_ms (enum upstream_work_kind work,
                           const struct upstream_load *load,
                           const struct placement_engine *engine);

/** Returns whether PROMPT, which may be NULL, is long: engines reserved for
    short prompts do not prefill it.  */
bool placement_is_long_prompt (const struct prompt *prompt);

#endif
