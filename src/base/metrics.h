/** @file
    Counters, gauges and histograms of durations, exported in Prometheus text
    format.  The outer name is the one below, prefixed with buckthorn_.  */
#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <glib.h>
#include <stdint.h>

/** Counters: name and help text.  */
#define METRICS_COUNTERS(X)                                                   \
  X (requests_total, "Requests from callers")                                 \
  X (answered_total, "Requests with a complete response")                     \
  X (not_run_total, "Requests refused without running")                       \
  X (unknown_total, "Requests whose outcome is unknown")                      \
  X (failed_total, "Requests that failed at an upstream")                     \
  X (unauthorized_total, "Requests without a valid key")                      \
  X (streams_resumed_total, "Streams that callers resumed")                   \
  X (streams_moved_total, "Streams moved to another home VM")                 \
  X (events_total, "Stream events sent to callers")                           \
  X (home_streams_total, "Model requests accepted as home VM of the engine")  \
  X (home_refused_total, "Model requests refused as home VM of the engine")   \
  X (engine_resumes_total, "Streams resumed on a new engine connection")      \
  X (retries_total, "Retries sent to another upstream address")               \
  X (calls_total, "Calls to plain services")                                  \
  X (calls_replayed_total, "Calls answered from the idempotency journal")     \
  X (journal_writes_total,                                                    \
     "Idempotency journal writes to the key-value service")                   \
  X (kv_errors_total, "Key-value service operations that failed")             \
  X (gossip_sent_bytes_total, "Bytes of gossip datagrams sent")               \
  X (gossip_received_bytes_total, "Bytes of gossip datagrams received")       \
  X (gossip_refused_total, "Gossip datagrams refused as invalid")             \
  X (far_region_bytes_total,                                                  \
     "Bytes of gossip datagrams sent to other regions")                       \
  X (orders_sent_total, "Orders sent to engines")                             \
  X (orders_confirmed_total, "Orders confirmed by engines")                   \
  X (role_changes_total, "Role changes of engines ordered")                   \
  X (applies_total, "Files applied through this VM")                          \
  X (cut_total, "Responses cut off before their end")                         \
  X (caller_gone_total,                                                       \
     "Callers that disconnected before their response ended")                 \
  X (bad_requests_total, "Requests refused as malformed or too large")        \
  X (upstream_opened_total, "Connections opened to upstreams")                \
  X (upstream_reused_total, "Requests sent on a reused connection")           \
  X (stray_answers_total, "Upstream responses to another request, discarded") \
  X (kv_reads_total, "Reads from the key-value service, watches included")    \
  X (kv_writes_total, "Writes to the key-value service")                      \
  X (prompts_read_apart_total, "Prompts prefilled on another engine")         \
  X (readings_dropped_total, "Remote prefills whose result was not used")     \
  X (permits_asked_total,                                                     \
     "Admission permits requested from home VMs of engines")                  \
  X (permits_refused_total, "Admission permits refused: wait too long")       \
  X (permits_unanswered_total, "Admission permits not answered in time")      \
  X (log_lines_dropped_total,                                                 \
     "Log lines dropped: rate limit, or output blocked")

/** Gauges: name and help text.  */
#define METRICS_GAUGES(X)                                                     \
  X (revision, "Revision of the applied file in force")                       \
  X (members_live, "Live VMs of the fleet")                                   \
  X (streams_open, "Model requests open at this VM as entry VM")              \
  X (home_running, "Model requests running at engines of this home VM")       \
  X (home_waiting, "Model requests queued at this home VM")                   \
  X (order_holder, "Leases of the order holder that this VM has")             \
  X (behind, "1 if a newer file may be in force elsewhere")                   \
  X (routed_open, "Routed requests in progress")                              \
  X (permits_open, "Admission permits granted by this VM and still open")     \
  X (upstreams_known, "Known upstream instances of all services")             \
  X (routes_version, "Version of the routes in force")

/** Histograms of durations, in seconds: name and help text.  */
#define METRICS_HISTOGRAMS(X)                                                 \
  X (first_token_seconds, "Time to the first token")                          \
  X (call_seconds, "Duration of a call to a plain service")                   \
  X (journal_claim_seconds, "Time until a claim is stored in the journal")    \
  X (kv_seconds, "Duration of a key-value service operation")                 \
  X (first_byte_seconds, "Time to the first byte of a routed response")       \
  X (request_seconds, "Time to the end of a routed response")

#define METRICS_ENUM(name, help) METRIC_##name,
enum metrics_counter
{
  METRICS_COUNTERS (METRICS_ENUM) METRICS_COUNTER_COUNT
};
enum metrics_gauge
{
  METRICS_GAUGES (METRICS_ENUM) METRICS_GAUGE_COUNT
};
enum metrics_histogram
{
  METRICS_HISTOGRAMS (METRICS_ENUM) METRICS_HISTOGRAM_COUNT
};

/** Adds N to COUNTER.  */
void metrics_add (enum metrics_counter counter, uint64_t n);
/** Sets COUNTER to VALUE, for a count that another module keeps.  */
void metrics_set_counter (enum metrics_counter counter, uint64_t value);
/** Sets GAUGE to VALUE.  */
void metrics_set (enum metrics_gauge gauge, int64_t value);
/** Records a duration of US microseconds in HISTOGRAM.  */
void metrics_time (enum metrics_histogram histogram, int64_t us);
/** Appends all metrics in Prometheus text format to OUT.  */
void metrics_render (GString *out);

#endif
