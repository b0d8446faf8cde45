/** @file
    Internal interface of placement, for its source files: placement.c chooses,
    placement_reserve.c reserves engines for short prompts,
    placement_affinity.c finds the engines that cache a prefix,
    placement_transfer.c estimates transfers of KV caches,
    placement_stream.c estimates the whole answer of streams, and
    placement_limits.c records demand for limited upstreams.  */
#ifndef DECIDE_PLACEMENT_PARTS_H
#define DECIDE_PLACEMENT_PARTS_H

#include "decide/placement.h"
#include "decide/upstreams_table.h"

/** Delay of other requests for each ms that a transfer occupies the links of
    two engines: the transfers of an engine run one after the other.  */
#define LINK_COST 10.0
/** Engines that a prompt prefers, in order; see struct affinity.  */
#define AFFINITY_RANKS 3

/** Engines that a prompt prefers, by rendezvous hash: index and score, best
    first.  A prefix that is too popular for the first one spills over to the
    next, always in the same order, so that few engines cache it.  */
struct affinity
{
  guint engines[AFFINITY_RANKS]; /**< index; 0 for none */
  double scores[AFFINITY_RANKS];
};

/** Best decode after a prefill in one failure domain.  */
struct decode_option
{
  double ms;   /* from the end of the prefill to the first token; DBL_MAX if
                  there is no decode engine */
  double cost; /* the same plus the cost of the transfer */
};

/* Which upstreams may get a request.  */

/** Whether REQUEST was already sent to H.  */
bool placement_was_tried (const struct placement_request *request,
                          upstream_handle h);

/** Whether a separate engine may prefill the prompt of REQUEST.  */
bool placement_may_disaggregate (const struct placement_request *request);

/** Whether the prompt of REQUEST is long and not prefilled yet.  */
bool placement_needs_long_prefill (const struct placement_request *request);

/** Whether X is a decode engine of SERVICE that accepts requests.  */
bool placement_is_decode_engine (const struct upstream *x, const char *service,
                                 int64_t now_ms);

/** Whether REQUEST may be sent to X, as far as limits and pauses go.  */
bool placement_may_send (const struct upstream *x,
                         const struct placement_request *request,
                         int64_t now_ms);

/** Whether X may be chosen for REQUEST.  */
bool placement_is_eligible (const struct upstream *x,
                            const struct placement_request *request,
                            int64_t now_ms);

/** Returns the expected time at X, for a request of kind WORK with TOKENS to
    prefill.  */
double placement_wait_at (const struct upstream *x,
                          enum upstream_work_kind work, uint64_t tokens,
                          const struct upstream_load *load);

/* Streams.  */

/** Estimates the answer of STREAM at X, which has LOAD and sends the first
    event after FIRST_MS, and fills OUT.  Returns the cost in ms that X has for
    the rest of the answer; 0 if nothing is known of streams yet.  SEED differs
    between requests.  */
double placement_estimate_stream (const struct upstreams *u,
                                  const struct upstream *x,
                                  const struct placement_stream *stream,
                                  const struct upstream_load *load,
                                  double first_ms, uint64_t seed,
                                  int64_t now_ms, struct upstream_choice *out);

/** Returns by how much more a prefill that takes COMPUTE_MS at X costs, as the
    streams there would miss their target for gaps: 1 if they would not.  */
double placement_gap_factor (const struct upstreams *u,
                             const struct upstream *x, double compute_ms,
                             int64_t now_ms);

/* Reservation.  */

/** Marks the decode engines of SERVICE that are reserved for short prompts:
    one, and one more for each engine that the short requests fill, but not
    all.  All VMs reserve them in the same order, that of reserve_rank.  If the
    service has a target for the gaps of its streams, up to half of the engines
    are reserved, as many as run the streams within the target, fast ones
    first.  */
void placement_mark_reserved (const struct upstreams *u, const char *service,
                              int64_t now_ms);

/** Returns the mean wait for prefill at the engines of SERVICE that are not
    reserved, over some seconds; 0 if the service has no streams.  */
double placement_prefill_wait_ms (const struct upstreams *u,
                                  const char *service);

/* Affinity.  */

/** Returns the rank of ENGINE in A, from 0; AFFINITY_RANKS if it has none.  */
unsigned placement_affinity_rank (const struct affinity *a, guint engine);

/** Fills A for the prompt of REQUEST; empty without a prompt.  */
void placement_find_affinity (const struct upstreams *u,
                              const struct placement_request *request,
                              int64_t now_ms, struct affinity *a);

/** Returns the tokens before the last part of P, which may be shared with
    other requests.  */
uint64_t placement_shared_tokens (const struct prompt *p);

/** Returns the tokens of P that X has to prefill; IS_PREFERRED: X ranks first
    for P.  */
uint64_t placement_tokens_to_prefill (const struct upstream *x,
                                      const struct prompt *p,
                                      bool is_preferred);

/* Transfers.  */

/** Returns the time that the KV cache of PROMPT takes between two engines of
    SERVICE in the same failure domain.  */
double placement_local_transfer_ms (const struct upstreams *u,
                                    const char *service,
                                    const struct prompt *prompt);

/** Returns the time for which a KV cache transfer, which takes LOCAL_MS within
    a failure domain, occupies the links of two engines in the failure domains
    with indexes FROM and TO.  */
double placement_link_ms (const struct upstreams *u, double local_ms,
                          unsigned from, unsigned to);

/** Returns the expected time of such a transfer.  */
double placement_transfer_ms (const struct upstreams *u, double local_ms,
                              unsigned from, unsigned to);

/** Returns the time until the transfers are done that are known to wait for
    the link of X.  */
double placement_link_wait_ms (const struct upstream *x, int64_t now_ms);

/** Sets BEST[D], for the index D of each failure domain, to the decode with
    the lowest cost after a prefill in D, at any decode engine that may get
    REQUEST.  LOCAL is the time in ms of a transfer within a failure domain.
    Returns whether no engine may get REQUEST because the eligible ones have no
    token.  */
bool placement_find_best_decode (const struct upstreams *u,
                                 const struct placement_request *request,
                                 double local, int64_t now_ms,
                                 struct decode_option *best);

#endif
