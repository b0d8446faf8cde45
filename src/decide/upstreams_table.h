/** @file
    Internal structures of the upstream table, for the modules of decide/ that
    read it directly.  upstreams.c implements the table and the loads,
    upstreams_outcomes.c records outcomes of requests and learns from them,
    upstreams_streams.c learns from the events of streams.  */
#ifndef DECIDE_UPSTREAMS_TABLE_H
#define DECIDE_UPSTREAMS_TABLE_H

#include "decide/engine_model.h"
#include "decide/step_model.h"
#include "decide/upstreams.h"

/* Assumed round-trip times from this VM to an upstream.  */
#define SAME_DOMAIN_RTT_MS 1.0
#define SAME_REGION_RTT_MS 3.0
#define OTHER_REGION_RTT_MS 25.0
/* Prompts from this many tokens on count as long.  Shorter ones are not sent
   to a separate prefill engine: the second call and the KV cache transfer
   would take longer than they save.  */
#define LONG_PROMPT_MIN_TOKENS 1500
/* Assumed time of a plain request to a service without samples.  */
#define DEFAULT_SERVICE_MS 20.0

/** Load on one upstream that another VM reported.  */
struct peer_load
{
  struct upstream_load load;
  int64_t at_ms; /* when the report arrived */
};

/** Engine time that the short prompts of one service take, as sent by this
    VM.  */
struct short_demand
{
  double engines; /* moving average: engines that they keep busy */
  int64_t at_ms;  /* when it was last updated */
};

/** Recent gaps between events of this VM's streams at one upstream.  */
struct stream_gaps
{
  double sum_ms; /* decayed */
  double events; /* decayed */
  int64_t at_ms; /* latest event */
};

/** What is known of the streams of one service.  */
struct stream_state
{
  struct step_curve curve;
  double queue_ms;   /* moving average of the wait for prefill at engines that
                        are not reserved */
  int64_t marked_ms; /* when engines were last marked by their pace */
};

/** Table entry of one upstream.  */
struct upstream
{
  struct upstream_info info;
  uint16_t generation;   /* changes with each reuse of the entry, so that old
                            handles become invalid */
  bool used;             /* false: the entry is free */
  double rtt_ms;         /* assumed round-trip time */
  unsigned domain;       /* index of its failure domain in upstreams.domains */
  uint64_t reserve_rank; /* hash of its id: decode engines are reserved for
                            short prompts from the highest rank down */
  struct upstream_load own; /* load from this VM */
  unsigned begun;           /* requests of own.running whose response has
                               begun: it runs at least so many at once */
  bool reserved; /* takes no long prompts, as of the latest placement_choose */
  bool reserve_ends;      /* reserved only until its streams have ended */
  GHashTable *peer_loads; /* VM id -> struct peer_load */
  struct upstream_load home_load;     /* of all VMs, as its home VM reported */
  struct upstream_load own_at_report; /* value of own when home_load arrived */
  int64_t home_load_ms;               /* when home_load arrived; 0 for never */
  struct prefix_index *prefix_index;  /* of what its cache likely holds */
  struct engine_model prefill;        /* of prompts that it prefills */
  struct engine_model decode; /* of prompts that another engine prefilled,
                                 without the transfer */
  struct step_pace pace;      /* of the streams of all VMs */
  struct stream_gaps gaps;    /* of this VM's streams */
  double events_left;  /* expected further events of this VM's streams */
  double residence_ms; /* moving average of the time that a request
                          occupies a slot; 0 without samples */
  double service_ms;   /* learned time of a plain request */
  int64_t sampled_ms;  /* when service_ms was last updated; 0 for never */
  double failure_rate; /* moving average over outcomes, 0 to 1 */
  int64_t outcome_ms;  /* when failure_rate was last updated */
  int64_t failed_ms;   /* when a request last failed */
  int64_t active_ms; /* when it last sent a byte, or got a request while it had
                        no other */
  bool said_leaving; /* it stated that it is shutting down */
  int64_t paused_until_ms;   /* end of the time for which it accepts no
                                requests, as it stated */
  struct upstream_rate rate; /* limit of requests a second, and tokens */
  int64_t full_until_ms;     /* end of the cool-down after a refused request */
  unsigned refusals;         /* engine: requests in a row that were refused or
                                could not be sent */
};

/** The table of upstreams.  */
struct upstreams
{
  struct upstream_locality locality;
  GArray *slots;     /* entries, struct upstream; index 0 is never used */
  GHashTable *by_id; /* id -> index in slots */
  GHashTable *engine_limits; /* service -> struct engine_limits */
  GHashTable *short_demand;  /* service -> struct short_demand */
  GHashTable *streams;       /* service -> struct stream_state */
  unsigned vms;              /* running VMs, this one included; at least 1 */
  double token_turn;         /* 0 to 1: which limited upstream a waiting
                                request asks for a token next */
  GPtrArray *domains;        /* char *: failure domains seen so far */
  double latency_factor; /* moving average of the measured / estimated latency
                            of long prompts; at least 1 */
  int64_t ticked_ms;     /* latest call of upstreams_tick */
  int64_t resumed_ms;    /* end of the latest pause of this process */
};

/** Returns the entry at index I, used or not; index 0 is never used.  */
static inline struct upstream *
upstreams_entry (const struct upstreams *u, guint i)
{
  return &g_array_index (u->slots, struct upstream, i);
}

/** Returns whether the failure domains with indexes A and B are in the same
    region; false if a region is unknown.  */
bool upstreams_same_region (const struct upstreams *u, unsigned a, unsigned b);
/** Returns whether X may get new requests: it is not leaving and not
    paused.  */
static inline bool
upstreams_entry_accepts (const struct upstream *x, int64_t now_ms)
{
  return x->used && !x->info.leaving && now_ms >= x->paused_until_ms;
}

/** Returns whether X may get a new request now: it also has a token if its
    requests a second are limited.  */
static inline bool
upstreams_entry_admits (const struct upstream *x, int64_t now_ms)
{
  return upstreams_entry_accepts (x, now_ms)
         && (!x->rate.limit.in_force
             || rate_tokens_available (&x->rate.tokens, now_ms));
}

/** Returns the handle of the upstream in the entry at index I.  */
upstream_handle upstreams_handle_of (const struct upstreams *u, guint i);
/** Returns the entry of H, or NULL if H is no longer valid.  */
struct upstream *upstreams_lookup (const struct upstreams *u,
                                   upstream_handle h);
/** Returns the model of X for requests of kind WORK.  */
struct engine_model *upstreams_model (struct upstream *x,
                                      enum upstream_work_kind work);
/** Returns how many engines the short prompts of all VMs for SERVICE keep busy
    with prefill.  */
double upstreams_short_demand (const struct upstreams *u, const char *service,
                               int64_t now_ms);
/** Returns the curve of the streams of SERVICE; all 0 if there were none.  */
const struct step_curve *upstreams_step_curve (const struct upstreams *u,
                                               const char *service);
/** Learns from the gaps in LOAD, which another VM reported of X.  */
void upstreams_learn_reported_gap (struct upstreams *u, struct upstream *x,
                                   const struct upstream_load *load,
                                   int64_t now_ms);
/** Removes the events_left of WORK, which has ended, from those of X.  */
void upstreams_end_stream (struct upstreams *u, struct upstream *x,
                           struct upstream_work *work);
/** Returns whether the home VM of X has just reported its load.  */
bool upstreams_has_home_load (const struct upstream *x, int64_t now_ms);
/** Returns the load of all VMs on X, as far as it is known.  */
struct upstream_load upstreams_total_load (const struct upstream *x,
                                           int64_t now_ms);
/** Returns the failure rate expected at X, 0 to 1.  It decays with time since
    the last outcome, more slowly for a request that is not REPEATABLE.  */
double upstreams_failure_rate (const struct upstream *x, bool repeatable,
                               int64_t now_ms);
/** Returns the expected time of a plain request at X.  A learned time decays
    towards BEST_MS as it ages.  */
double upstreams_service_ms (const struct upstream *x, double best_ms,
                             int64_t now_ms);
/** Returns the expected time of a plain request at the fastest instance of
    SERVICE.  Without recent responses it tends to DEFAULT_SERVICE_MS.  */
double upstreams_best_service_ms (const struct upstreams *u,
                                  const char *service, int64_t now_ms);
/** Returns whether X has requests of this VM and has sent no byte to any VM
    for longer than ENGINE_STALL_MS or SERVICE_STALL_MS.  */
bool upstreams_is_unresponsive (const struct upstream *x, int64_t now_ms);
/** Returns whether X should be chosen only if all others are deprioritized
    too: it just refused a request, is unresponsive, or has a high failure rate
    and a recent failure.  */
bool upstreams_is_deprioritized (const struct upstream *x, int64_t now_ms);

#endif
