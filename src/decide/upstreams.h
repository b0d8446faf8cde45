/** @file
    Table of upstreams: the instances of each service, their load, and their
    recent latencies and failures.

    This VM counts its own requests exactly and adds the load that other VMs
    last reported.  Does no I/O and reads no clock: times are arguments, on one
    monotonic clock in milliseconds.  */
#ifndef DECIDE_UPSTREAMS_H
#define DECIDE_UPSTREAMS_H

#include "decide/attempts.h"
#include "decide/engine_model.h"
#include "decide/prefix_index.h"
#include "decide/rate_limit.h"
#include "decide/rate_tokens.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Kind of upstream, and which requests it accepts.  */
enum upstream_role
{
  UPSTREAM_SERVICE, /**< plain service: requests without a prompt */
  UPSTREAM_PREFILL, /**< engine that only prefills; another one decodes */
  UPSTREAM_DECODE   /**< engine that prefills and decodes */
};

/** One upstream, as it describes itself.  */
struct upstream_info
{
  char *id;
  char *service;
  char *address; /**< IP:PORT */
  char *failure_domain;
  char *software_version; /**< version of its program */
  unsigned slots;         /**< requests that it runs concurrently */
  bool leaving;           /**< shutting down: gets no new requests */
  bool spot;              /**< spot instance: cheaper, may be reclaimed */
  uint64_t leave_ms;      /**< stated only for a spot instance that is being
                               reclaimed: when it leaves; 0 otherwise */
  enum upstream_role role;
  unsigned warmup_ms; /**< remaining warm-up time, during which it is slower */
  int64_t start_wall_ms; /**< start time on the wall clock; 0 if unknown */
  uint64_t sequence; /**< rises with each entry that the upstream writes; not a
                          change by itself */
};

/** Frees the strings of INFO and sets all its fields to 0.  */
void upstream_info_clear (struct upstream_info *info);

/** Identifies one upstream in the table; 0 means none.  */
typedef uint32_t upstream_handle;

struct upstreams;

/** Location of this VM, from which round-trip times are estimated.  */
struct upstream_locality
{
  const char *failure_domain;
  const char *region;
  /** Returns the region of a failure domain, or NULL if unknown.  */
  const char *(*region_of) (void *arg, const char *failure_domain);
  void *arg;
};

/** Creates an empty table.  The strings of LOCALITY are not copied and must
    outlive the table.  */
struct upstreams *upstreams_create (const struct upstream_locality *locality);

/** Frees U, which may be NULL.  */
void upstreams_destroy (struct upstreams *u);

/** Properties of the engines of a service, as configured; 0 for unknown.  */
struct engine_limits
{
  uint64_t kv_tokens;          /**< capacity of an engine's KV cache */
  uint64_t kv_bytes_per_token; /**< size of one token in the cache */
  double link_mbit_per_s;      /**< rate of transfers between two engines */
  unsigned role_change_ms;     /**< time for which an engine that changes its
                                    role takes no requests, after its running
                                    ones */
  unsigned event_gap_ms; /**< target for the longest gap between two events of
                              its streams; 0: none, streams are placed by the
                              time to their first event only */
};

/** Sets the LIMITS of each engine of SERVICE, present and future.  */
void upstreams_set_engine_limits (struct upstreams *u, const char *service,
                                  const struct engine_limits *limits);

/** Returns the limits of SERVICE's engines; all 0 if they were not set.  */
struct engine_limits upstreams_engine_limits (const struct upstreams *u,
                                              const char *service);

/* Membership of the table.  */

/** Adds or updates an upstream; INFO is copied.  A changed start time or
    address discards what was learned about the upstream and invalidates its
    handle.  Returns whether anything changed.  */
bool upstreams_put (struct upstreams *u, const struct upstream_info *info);
/** Replaces the role of engine ID; does nothing for a plain service or an
    unknown ID.  */
void upstreams_set_role (struct upstreams *u, const char *id,
                         enum upstream_role role);
/** Removes an upstream and invalidates its handle, so that requests still in
    flight to it are no longer counted.  Returns whether it was present.  */
bool upstreams_remove (struct upstreams *u, const char *id);
/** Returns the handle of ID, or 0.  */
upstream_handle upstreams_find (const struct upstreams *u, const char *id);
/** Returns the description of H, or NULL if H is no longer valid.  */
const struct upstream_info *upstreams_info (const struct upstreams *u,
                                            upstream_handle h);
/** Assumed round-trip time from this VM to H; 0 if H is no longer valid.  */
double upstreams_rtt_ms (const struct upstreams *u, upstream_handle h);
/** Returns copies of the ids of all upstreams; free with
    g_ptr_array_unref.  */
GPtrArray *upstreams_ids (const struct upstreams *u);
/** Returns the number of upstreams.  */
unsigned upstreams_count (const struct upstreams *u);

/* Accounting of the requests that this VM sends.  */

/** Work that a request makes for its upstream.  */
enum upstream_work_kind
{
  UPSTREAM_WORK_PLAIN,   /**< plain request: no engine involved */
  UPSTREAM_WORK_PREFILL, /**< prefill of a long prompt */
  UPSTREAM_WORK_DECODE,  /**< decode from the KV cache of another engine, which
                              has prefilled the prompt */
  UPSTREAM_WORK_SHORT_PROMPT /**< short prompt: nearly all of the work is
                                  decode */
};

/** Free capacity of an instance of a plain service.  */
enum upstream_occupancy
{
  UPSTREAM_FULL, /**< a further request would queue; always for engines */
  UPSTREAM_HAS_FREE_SLOTS, /**< runs fewer requests than it has slots */
  UPSTREAM_IDLE /**< runs no requests, according to the known load */
};

/** A chosen upstream and the estimates behind the choice.  */
struct upstream_choice
{
  upstream_handle handle; /**< 0 if no upstream is eligible */
  enum upstream_work_kind work;
  double expected_ms;    /**< estimate until the first byte of the response */
  double uncorrected_ms; /**< the same before the correction for recent
                              latencies of long prompts */
  double wait_ms;     /**< part of uncorrected_ms: time at the engine until the
                           first token or, of a remote prefill, its end */
  double queue_ms;    /**< part of wait_ms: wait for the requests that the
                           engine got before this one */
  double compute_ms;  /**< time for which this prompt keeps the engine busy */
  double margin_ms;   /**< cost by which the next best upstream is worse */
  double transfer_ms; /**< part of uncorrected_ms: KV cache transfer before a
                           decode */
  double link_ms;     /**< time for which that transfer, or after a remote
                           prefill the transfer from it, occupies the link of
                           the engine */
  double link_wait_ms; /**< time until that link has done the transfers that
                            wait for it */
  double rtt_ms;       /**< assumed round-trip time to it */
  bool has_home_load;  /**< its home VM has just reported its load; otherwise
                            the load is a rough sum of what VMs report, which
                            leaves out how far the engine is */
  unsigned running;    /**< requests of all VMs there, as far as known */
  double residence_ms; /**< mean time that a request occupies a slot there */
  uint64_t kv_tokens;  /**< capacity of its KV cache; 0 if unknown */
  unsigned model_samples; /**< samples behind the estimates of its speed */
  int64_t model_age_ms;   /**< since these were last updated; -1 for never */
  uint64_t tokens;     /**< prompt tokens that the upstream has to prefill */
  bool is_preferred;   /**< it ranks first for the prompt by rendezvous hash */
  bool remote_prefill; /**< HANDLE only prefills; the engine that decodes is
                            chosen after the prefill */
  enum upstream_occupancy occupancy;
  double events; /**< stream: expected events; 0 if unknown or no stream */
  double event_gap_ms;   /**< stream: expected mean time between events; 0 if
                              unknown */
  double done_ms;        /**< stream: expected time to its last event; 0 if
                              unknown */
  double median_done_ms; /**< the same for a request of median size, if known
                              from recent streams of the service; otherwise
                              0 */
  unsigned candidates;   /**< eligible upstreams that were compared */
};

/** Name of WORK for logs.  */
const char *upstream_work_name (enum upstream_work_kind work);

/** One request in flight to an upstream.  */
struct upstream_work
{
  upstream_handle handle;
  uint64_t tokens; /**< prompt tokens that the upstream has to prefill */
  uint64_t ahead;  /**< tokens in its prefill queue when the request was sent,
                        including this request's */
  enum upstream_work_kind kind;
  double transfer_ms; /**< expected time of the KV cache transfer before a
                           decode; 0 for other kinds */
  int64_t sent_ms;
  int64_t active_ms; /**< when its last byte arrived; sent_ms before */
  double expected_ms;
  double events;          /**< events that have arrived */
  double events_left;     /**< expected events, counted in the load */
  int64_t first_event_ms; /**< when the first event arrived; 0: none has, or
                               the time since was interrupted */
  int64_t event_ms;       /**< when the latest one arrived */
  int64_t longest_gap_ms; /**< longest time between two */
  bool open;              /**< counted in the load's running */
  bool generating;        /**< counted in the load's generating */
  bool prefilling;        /**< its tokens are counted as not yet prefilled */
  bool has_begun;         /**< its response has, and is counted as such */
};

/** Records that a request was sent to the upstream of CHOICE, and fills WORK.
    PROMPT is NULL for a plain request.  */
void upstreams_record_sent (struct upstreams *u,
                            const struct upstream_choice *choice,
                            const struct prompt *prompt, int64_t now_ms,
                            struct upstream_work *work);
/** Detects pauses of this process.  To be called several times a second: a
    gap longer than PAUSE_MIN_MS between calls means that the process did not
    run, so latencies of requests in flight across the gap are ignored.  */
void upstreams_tick (struct upstreams *u, int64_t now_ms);
/** Records the first byte of the response body.  Returns the time in ms that
    the upstream took before the first token, without the round trip; 0 if
    unknown.  */
unsigned upstreams_record_first_byte (struct upstreams *u,
                                      struct upstream_work *work,
                                      int64_t now_ms);
/** Records the latency of a long prompt that arrived at SINCE_MS, got its
    first byte at NOW_MS, and was estimated at EXPECTED_MS before correction.
    The ratio corrects later estimates for long prompts.  */
void upstreams_record_latency (struct upstreams *u, double expected_ms,
                               int64_t since_ms, int64_t now_ms);
/** Records that COUNT events of the response to WORK arrived, and that LEFT
    more are expected.  */
void upstreams_record_events (struct upstreams *u, struct upstream_work *work,
                              unsigned count, double left, int64_t now_ms);
/** The caller of WORK did not take its response for a while, so that the next
    gap between events tells nothing about the upstream.  */
void upstreams_ignore_gap (struct upstream_work *work);
/** Records that bytes of the response to WORK arrived.  */
void upstreams_record_bytes (struct upstreams *u, struct upstream_work *work,
                             int64_t now_ms);
/** Returns whether WORK has stalled, so that a second attempt at another
    upstream is worthwhile: it has got no byte for the stall time
    (ENGINE_STALL_MS or SERVICE_STALL_MS) and has waited for several times its
    expected time; and no VM has got a byte from its upstream for the stall
    time, or WORK itself has got none for much longer, while other requests
    there go on.  An upstream that was removed counts as silent.  A stall is no
    proof that the upstream has failed.  */
bool upstreams_has_stalled (const struct upstreams *u,
                            const struct upstream_work *work, int64_t now_ms);
/** Records that the request ended with OUTCOME.  */
void upstreams_record_outcome (struct upstreams *u, struct upstream_work *work,
                               enum attempt_outcome outcome, int64_t now_ms);
/** Records that a KV cache that engine H had prefilled could not be fetched
    from it: H gets no further prompts for some time, more after each such
    loss.  */
void upstreams_record_lost_cache (struct upstreams *u, upstream_handle h,
                                  int64_t now_ms);
/** Records that the request was cancelled, which does not count as a failure
    of the upstream.  */
void upstreams_record_cancel (struct upstreams *u, struct upstream_work *work);

/* What upstreams state about themselves in their responses.  It holds until
   the upstream restarts.  */

/** Records that H stated that it is shutting down: it gets no new requests.
    Returns whether that was not known.  */
bool upstreams_record_leaving (struct upstreams *u, upstream_handle h);
/** Records that H accepts no requests of this VM for FOR_MS milliseconds.  */
void upstreams_pause (struct upstreams *u, upstream_handle h, unsigned for_ms,
                      int64_t now_ms);
/** The limit of requests a second that an upstream stated, and this VM's
    tokens of it.  Tokens are needed while the limit is in force.  */
struct upstream_rate
{
  struct rate_limit limit;
  struct rate_tokens tokens;
};
/** Returns the rate of H, which the calling code may update; NULL if H is no
    longer valid.  */
struct upstream_rate *upstreams_rate (struct upstreams *u, upstream_handle h);
/** Takes the token that a request to H needs.  Returns false if there is none;
    true without a token if H is not limited.  */
bool upstreams_take_token (struct upstreams *u, upstream_handle h,
                           int64_t now_ms);
/** Gives back the token that upstreams_take_token took for a request to H that
    was not sent.  */
void upstreams_give_back_token (struct upstreams *u, upstream_handle h,
                                int64_t now_ms);
/** Whether the requests a second to H are limited.  */
bool upstreams_is_limited (const struct upstreams *u, upstream_handle h);
/** Calls VISIT for each upstream that has ever stated a limit.  */
void upstreams_foreach_rate (const struct upstreams *u,
                             void (*visit) (void *arg, upstream_handle h,
                                            const struct upstream_info *info,
                                            struct upstream_rate *rate),
                             void *arg);
/** Returns whether a new request may be sent to H: it exists, is not leaving
    and not paused.  */
bool upstreams_accepts (const struct upstreams *u, upstream_handle h,
                        int64_t now_ms);
/** Returns the milliseconds until the first instance of SERVICE that is not
    leaving accepts requests again; 0 if one does now or if there is none.  */
unsigned upstreams_pause_left_ms (const struct upstreams *u,
                                  const char *service, int64_t now_ms);

/* Load reports exchanged between VMs.  */

/** Load on one upstream, from one VM or summed over several.  */
struct upstream_load
{
  uint32_t running;      /**< requests in flight */
  uint32_t generating;   /**< of these, requests with a short prompt */
  uint64_t tokens;       /**< prompt tokens sent and not yet prefilled */
  uint32_t quiet_ms;     /**< time since the last byte of a response; means
                              something only while running is above 0 */
  uint32_t link_wait_ms; /**< time until the transfers on its link are done;
                              only known of engines, from their home VM */
  uint32_t events_left;  /**< expected further events of running streams */
  uint32_t gap_us;       /**< recent mean time between events of a stream */
  uint32_t gap_events;   /**< recent events behind gap_us; 0: none */
};

/** Calls VISIT for each upstream that has load from this VM.  */
void upstreams_foreach_loaded (const struct upstreams *u,
                               void (*visit) (void *arg, const char *id,
                                              upstream_handle h),
                               void *arg);
/** Returns the load of this VM on H; its quiet_ms is 0, and its fields about
    streams are left out.  */
struct upstream_load upstreams_own_load (const struct upstreams *u,
                                         upstream_handle h);
/** Adds what is known from this VM's streams at H to LOAD: events_left, gap_us
    and gap_events.  */
void upstreams_add_stream_load (const struct upstreams *u, upstream_handle h,
                                int64_t now_ms, struct upstream_load *load);
/** Returns the milliseconds since H last sent a byte to this VM or, by their
    reports, to another VM.  */
uint32_t upstreams_last_byte_age_ms (const struct upstreams *u,
                                     upstream_handle h, int64_t now_ms);
/** Returns the load of all VMs on H, as far as it was reported.  */
struct upstream_load upstreams_all_load (const struct upstreams *u,
                                         upstream_handle h, int64_t now_ms);
/** Stores what the home VM of H, the VM that grants permits for that engine,
    reported: LOAD summed over all VMs, and the engine's RATES for requests of
    kind WORK.  */
void upstreams_set_home_load (struct upstreams *u, upstream_handle h,
                              const struct upstream_load *load,
                              enum upstream_work_kind work,
                              const struct engine_rates *rates,
                              int64_t now_ms);
/** Returns the estimated rates of H for requests of kind WORK.  */
struct engine_rates upstreams_rates (const struct upstreams *u,
                                     upstream_handle h,
                                     enum upstream_work_kind work);
/** Sets the number of running VMs, this one included.  It scales the demand
    that this VM sees to that of all VMs.  */
void upstreams_set_vm_count (struct upstreams *u, unsigned vms);
/** Drops the load that VM reported on any upstream.  */
void upstreams_clear_peer_loads (struct upstreams *u, const char *vm);
/** Stores the LOAD that VM reported on upstream ID, in place of its earlier
    report.  */
void upstreams_set_peer_load (struct upstreams *u, const char *vm,
                              const char *id, const struct upstream_load *load,
                              int64_t now_ms);

#endif
