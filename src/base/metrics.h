/** @file
    Counters, gauges and histograms of durations, exported in Prometheus text
    format.  Exported names are the names below with the prefix buckthorn_.  */
#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <glib.h>
#include <stdint.h>

/** Counters: name and help text.  */
#define METRICS_COUNTERS(X)                                                   \
  X (requests_total, "Requests from callers")                                 \
  X (answered_total, "Requests answered in full")                             \
  X (not_run_total, "Requests refused that did not run")                      \
  X (kv_restores_total, "Times that the key-value service was seen to be "    \
                        "restored from a copy")                               \
  X (watch_checks_total,                                                      \
     "Long polls that were replaced, as nothing confirmed "                   \
     "that they had missed no change")                                        \
  X (upstreams_leaving_total,                                                 \
     "Responses that first said that their upstream "                         \
     "is leaving")                                                            \
  X (upstream_pauses_total, "Refusals by upstreams with a Retry-After")       \
  X (upstream_limits_total,                                                   \
     "Limits of requests a second that responses set, changed or ended")      \
  X (limit_tokens_borrowed_total,                                             \
     "Tokens of limits that home VMs lent this VM")                           \
  X (limit_tokens_lent_total,                                                 \
     "Tokens of limits that this VM lent as home VM")                         \
  X (limit_tokens_spent_total, "Requests sent to limited upstreams")          \
  X (limit_refused_total, "Requests refused as all upstreams are limited")    \
  X (unknown_total, "Requests whose outcome is unknown")                      \
  X (failed_total, "Requests that an upstream failed")                        \
  X (unauthorized_total, "Requests without a valid key")                      \
  X (streams_resumed_total, "Streams resumed")                                \
  X (streams_moved_total, "Streams moved to another home VM")                 \
  X (events_total, "Stream events sent to callers")                           \
  X (truncated_streams_total, "Streams that upstreams broke off")             \
  X (home_streams_total, "Requests taken as home VM")                         \
  X (home_refused_total, "Requests refused as home VM")                       \
  X (engine_resumes_total, "Engine connections replaced in mid-stream")       \
  X (retries_total, "Retries at another engine or service")                   \
  X (retries_refused_total, "Calls beyond the first of a request that the "   \
                            "retry budget did not allow")                     \
  X (calls_total, "Calls to plain services")                                  \
  X (calls_replayed_total, "Calls answered from the journal")                 \
  X (journal_writes_total, "Journal writes to the key-value service")         \
  X (kv_errors_total, "Operations of the key-value service that failed")      \
  X (gossip_sent_bytes_total, "Membership bytes sent")                        \
  X (gossip_received_bytes_total, "Membership bytes received")                \
  X (gossip_refused_total, "Membership datagrams refused")                    \
  X (far_region_bytes_total, "Bytes sent to other regions")                   \
  X (orders_sent_total, "Orders sent to engines")                             \
  X (orders_confirmed_total, "Orders confirmed by engines")                   \
  X (scale_orders_total, "Orders for a number of instances")                  \
  X (scale_orders_unavailable_total,                                          \
     "Orders for a number of instances that were not to be had")              \
  X (role_changes_total, "Role changes ordered")                              \
  X (applies_total, "Files applied through this VM")                          \
  X (responses_paused_total, "Times that an upstream was paused as its "      \
                             "caller had not read what waited for it")        \
  X (cut_total, "Answers cut off before their end")                           \
  X (caller_gone_total, "Callers that left before their answer")              \
  X (caller_idle_closed_total, "Idle connections of callers closed")          \
  X (caller_connections_refused_total,                                        \
     "Connections of callers closed at the connection limit")                 \
  X (caller_connections_replaced_total,                                       \
     "Connections that did nothing, closed at the limit for new ones")        \
  X (caller_connections_ended_ahead_total,                                    \
     "Connections with requests ahead that end after their response, at the " \
     "limit")                                                                 \
  X (caller_requests_held_total,                                              \
     "Times that a connection waited for its caller before it went on")       \
  X (bodies_paused_total, "Request bodies that waited for memory")            \
  X (bodies_refused_total, "Requests refused for lack of memory")             \
  X (bodies_stalled_total,                                                    \
     "Request bodies refused as they made no progress while others waited")   \
  X (silent_upstreams_total, "Attempts whose upstream was silent")            \
  X (silences_woke_total, "Silent upstreams that went on")                    \
  X (silences_died_total, "Silent upstreams whose connection ended")          \
  X (silences_timeout_total, "Silent upstreams at a request's time-out")      \
  X (hedges_sent_total, "Second attempts beside a silent one")                \
  X (hedges_won_total, "Second attempts that delivered first")                \
  X (hedges_lost_total, "Silent attempts that delivered first")               \
  X (hedges_refused_total, "Second attempts that no rule allowed")            \
  X (upstream_crashes_total,                                                  \
     "Crashes of upstreams seen here, each change of their parts counted")    \
  X (crashes_explained_total, "Crashes that a part in quarantine explains")   \
  X (quarantine_refused_total,                                                \
     "Requests refused as a part of their prompt is in quarantine")           \
  X (quarantine_canaries_total, "Requests sent to try a part in quarantine")  \
  X (bad_requests_total, "Requests refused as malformed or too large")        \
  X (upstream_opened_total, "Connections opened to upstreams")                \
  X (upstream_reused_total, "Requests sent on a kept connection")             \
  X (stray_answers_total, "Upstream answers of other requests")               \
  X (kv_reads_total, "Reads of the key-value service")                        \
  X (kv_writes_total, "Writes to the key-value service")                      \
  X (prompts_read_apart_total, "Prompts read at another engine first")        \
  X (readings_dropped_total, "Prompts read apart and not used")               \
  X (decodes_asked_total, "Engines asked to decode before a remote prefill")  \
  X (decodes_refused_total, "Decodes refused before their remote prefill")    \
  X (permits_asked_total, "Permits asked of the home VMs of engines")         \
  X (permits_refused_total, "Permits refused: the wait would be too long")    \
  X (permits_unanswered_total, "Permits not answered in time")                \
  X (duty_calls_total, "Calls to the platform on behalf of the fleet")        \
  X (duty_calls_failed_total, "Such calls that were not accepted")            \
  X (usage_reports_total, "Usage reports that the platform accepted")         \
  X (usage_windows_left_out_total, "Windows without a usage report")          \
  X (log_lines_dropped_total, "Log lines dropped over the bound")

/** Gauges: name and help text.  */
#define METRICS_GAUGES(X)                                                     \
  X (revision, "Revision of the file in force")                               \
  X (members_live, "Members that run")                                        \
  X (streams_open, "Streams open at this VM as entry")                        \
  X (home_running, "Requests at engines of this home VM")                     \
  X (home_waiting, "Requests that wait at this home VM")                      \
  X (order_holder, "Failure domains whose orders this VM gives")              \
  X (instances_needed, "Instances of sized services that the demand needs, "  \
                       "as the duty holder sees it")                          \
  X (instances_busy_pct, "Instances of sized services that the demand keeps " \
                         "busy, in hundredths, as the duty holder sees it")   \
  X (regular_wanted, "Regular instances ordered by the duty holder")          \
  X (regular_ready, "Regular instances ready, as the duty holder sees it")    \
  X (spot_wanted, "Spot instances ordered by the duty holder")                \
  X (spot_ready, "Spot instances ready, as the duty holder sees it")          \
  X (behind, "1 where this VM knows that its file may be old")                \
  X (routed_open, "Routed requests under way")                                \
  X (responses_waiting_bytes, "Response bytes that wait for slow callers")    \
  X (bodies_reserved_bytes, "Memory reserved for request bodies")             \
  X (bodies_waiting, "Request bodies that wait for memory")                   \
  X (permits_open, "Permits that this VM gave, not ended")                    \
  X (limits_in_force, "Upstreams that limit the requests a second")           \
  X (limit_waiting, "Requests that wait for a token of a limit")              \
  X (parts_quarantined, "Prompt parts in quarantine")                         \
  X (crashes_unexplained,                                                     \
     "Crashes of upstreams that no part in quarantine explains")              \
  X (retry_shared_by, "VMs that share the fixed part of the retry budgets; "  \
                      "0 while this VM takes none of it")                     \
  X (upstreams_known, "Instances of all services")                            \
  X (duty_holder, "1 where this VM makes the calls on behalf of the fleet")   \
  X (routes_version, "Version of the routes in force")

/** Histograms of durations, in seconds: name and help text.  */
#define METRICS_HISTOGRAMS(X)                                                 \
  X (first_token_seconds, "Time to the first token")                          \
  X (call_seconds, "Time of a call to a plain service")                       \
  X (journal_claim_seconds, "Time until a claim stands in the journal")       \
  X (kv_seconds, "Time of an operation of the key-value service")             \
  X (first_byte_seconds, "Time to the first byte of a routed answer")         \
  X (estimate_error_seconds, "Error of the expected time at an engine")       \
  X (request_seconds, "Time to the end of a routed answer")                   \
  X (unread_seconds, "Time that a request may have waited to be read")        \
  X (loop_turn_seconds, "Time of a turn of the event loop")                   \
  X (loop_work_seconds, "Time of one piece of long work in the event loop")   \
  X (process_paused_seconds, "Pauses without processor time")

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
void metrics_observe (enum metrics_histogram histogram, int64_t us);
/** Appends all metrics in Prometheus text format to OUT.  */
void metrics_render (GString *out);

#endif
