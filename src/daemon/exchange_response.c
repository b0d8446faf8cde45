/** @file
    Response of an upstream: forwards it to the caller, and classifies its
    end.  */
#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "daemon/exchange.h"

#include <math.h>

/* Responses other than event streams are buffered up to this size before any
   of it is sent to the caller, as long as the memory budget allows it, so that
   a truncated one can be replaced by a retry.  */
#define BUFFERED_MAX_BYTES (128U * 1024)
/* An upstream may send no more than this of a body that is not forwarded while
   it arrives: an error response or a remote prefill.  */
#define UNFORWARDED_MAX_BYTES (256U * 1024)
#define US_PER_MS 1000

/* Back-pressure: a caller that reads slowly pauses its upstream.  */

/* E holds BYTES of a response that its caller does not get yet.  What was
   passed on counts with the caller's connection.  */
static void
set_held (struct exchange *e, size_t bytes)
{
  memory_budget_change (e->proxy->parts.memory, e->held_bytes, bytes);
  e->held_bytes = bytes;
}

/* Stops reading the response of A until the caller has taken the WAITING bytes
   that wait for it.  */
static void
pause_upstream (struct attempt *a, size_t waiting)
{
  struct exchange *e = a->exchange;
  if (a->paused)
    return;
  a->paused = true;
  pool_pause (a->call, true);
  metrics_add (METRIC_responses_paused_total, 1);
  log_event (LOG_DEBUG, "response_paused", "request", e->facts.id, "upstream",
             a->upstream_id, "waiting_bytes", log_num ((long long)waiting),
             "share_bytes",
             log_num ((long long)memory_budget_share (e->proxy->parts.memory)),
             NULL);
}

/* The caller has taken all that waited for it.  */
static void
on_caller_drained (void *arg)
{
  struct exchange *e = arg;
  struct attempt *a = e->current;
  if (a == NULL || !a->paused)
    return;
  a->paused = false;
  upstreams_ignore_gap (&a->work);
  if (a->call)
    pool_pause (a->call, false);
}

/* Forwarding of the upstream's response.  */

/* Sends the head of A's response, unless one was sent before.  */
static void
start_response (struct attempt *a)
{
  struct exchange *e = a->exchange;
  exchange_prefer (a);
  if (e->started)
    return;
  e->started = true;
  inbound_request_on_drained (e->caller, on_caller_drained, e);
  e->started_events = a->is_events;
  e->started_status = a->answer->status;
  inbound_request_stream_start (e->caller, a->answer, a->framing, a->length);
}

/* Whether the response of A does not replace the attempt beside it yet: its
   connection has ended, so the end of the response is read next, and it may
   come too early.  */
static bool
must_await_end (const struct attempt *a)
{
  return a->exchange->silent && pool_call_has_ended (a->call);
}

static void
record_held_events (struct attempt *a)
{
  if (a->held_events > 0)
    exchange_record_events (a, a->held_events);
  a->held_events = 0;
}

/* Passes on the complete events of DATA.  Returns false if there are none, or
   they are held.  */
static bool
forward_events (struct attempt *a, struct evbuffer *data)
{
  struct exchange *e = a->exchange;
  unsigned count = 0;
  g_autoptr (GBytes) events = sse_feed (&a->events, data, &count);
  if (events == NULL)
    return false;
  gsize size = 0;
  const void *bytes = g_bytes_get_data (events, &size);
  metrics_add (METRIC_events_total, count);
  a->held_events += count;
  evbuffer_add (a->held, bytes, size);
  if (must_await_end (a))
    {
      set_held (e, evbuffer_get_length (a->held));
      return false;
    }
  record_held_events (a);
  start_response (a);
  if (a->events.last_id)
    {
      g_free (e->last_event_id);
      e->last_event_id = g_strdup (a->events.last_id);
    }
  inbound_request_stream_send (e->caller, a->held);
  return true;
}

unsigned
exchange_record_prefilled (struct attempt *a, int64_t now)
{
  const struct proxy_parts *parts = &a->exchange->proxy->parts;
  unsigned took_ms
      = upstreams_record_first_byte (parts->upstreams, &a->work, now);
  permit_link_prefill_done (parts->permits, a->permit, took_ms);
  if (took_ms > 0 && a->choice.work != UPSTREAM_WORK_PLAIN)
    metrics_observe (
        METRIC_estimate_error_seconds,
        (int64_t)(fabs (took_ms - a->choice.wait_ms) * US_PER_MS));
  return took_ms;
}

/* Usage of client accounts.  */

/* Whether the request of A begins to run with its first token.  */
static bool
begins_with_token (const struct attempt *a)
{
  return a->exchange->route->kind == ROUTE_STREAM
         || a->work.kind != UPSTREAM_WORK_PLAIN;
}

/* Counts the request of A, which began to run at BEGAN_MS.  */
static void
count_run (struct attempt *a, int64_t began_ms)
{
  const struct exchange *e = a->exchange;
  if (e->account == NULL || a->counted || a->prefilling)
    return;
  a->counted = true;
  usage_link_record_start (e->proxy->parts.usage, e->account->name, began_ms);
}

static int64_t
one_way_ms (const struct attempt *a)
{
  return (int64_t)(upstreams_rtt_ms (a->exchange->proxy->parts.upstreams,
                                     a->work.handle)
                   / 2);
}

void
exchange_count_plain (struct attempt *a)
{
  if (!a->response_info.not_run && !begins_with_token (a))
    count_run (a, a->work.sent_ms + one_way_ms (a));
}

static void
record_first_byte (struct attempt *a)
{
  struct exchange *e = a->exchange;
  if (a->first_byte)
    return;
  int64_t now = clock_ms ();
  if (e->uncorrected_ms > 0 && e->first_ms == 0)
    upstreams_record_latency (e->proxy->parts.upstreams, e->uncorrected_ms,
                              e->since_ms, now);
  a->first_byte = true;
  e->first_ms = now;
  if (begins_with_token (a))
    count_run (a, now - one_way_ms (a));
  exchange_record_prefilled (a, now);
  metrics_observe (METRIC_first_byte_seconds, (now - e->since_ms) * US_PER_MS);
}

/* Whether the response has a 2xx status and the upstream's own mark.  */
static bool
is_trusted_success (const struct attempt *a)
{
  return a->answer && a->answer->status >= 200 && a->answer->status < 300
         && a->response_info.sent_by_upstream;
}

/* Cancels the call of A, whose response exceeds a size limit, and handles it
   like a malformed response.  */
static void
reject_oversized (struct attempt *a)
{
  pool_cancel (a->call);
  exchange_attempt_ended (a, POOL_BAD_RESPONSE);
}

/* Parses the events of DATA, which is not drained.  */
static void
parse_events (struct attempt *a, struct evbuffer *data)
{
  unsigned count = 0;
  struct evbuffer *copy = evbuffer_new ();
  (void)evbuffer_add (copy, evbuffer_pullup (data, -1),
                      evbuffer_get_length (data));
  g_autoptr (GBytes) events = sse_feed (&a->events, copy, &count);
  evbuffer_free (copy);
}

/* Whether the response of A is held until it is complete.  Without memory it
   is forwarded earlier.  */
static bool
must_hold (struct attempt *a)
{
  struct exchange *e = a->exchange;
  size_t held = evbuffer_get_length (a->held);
  if (e->started)
    return false;
  set_held (e, held);
  if (must_await_end (a))
    return true;
  return held <= BUFFERED_MAX_BYTES
         && (held <= MEMORY_SHARE_MIN_BYTES
             || !memory_budget_is_used_up (e->proxy->parts.memory));
}

/* Forwards or buffers DATA of a response that is not an event stream.  Returns
   whether any was forwarded.  */
static bool
forward_body (struct attempt *a, struct evbuffer *data)
{
  if (a->ends_with_event)
    parse_events (a, data);
  evbuffer_add_buffer (a->held, data);
  if (must_hold (a))
    return false;
  start_response (a);
  inbound_request_stream_send (a->exchange->caller, a->held);
  return true;
}

static void
on_data (void *arg, struct evbuffer *data)
{
  struct attempt *a = arg;
  struct exchange *e = a->exchange;
  upstreams_record_bytes (e->proxy->parts.upstreams, &a->work, clock_ms ());
  exchange_silence_ended (a, SILENCE_WOKE);
  if (a->prefilling || !is_trusted_success (a))
    {
      evbuffer_add_buffer (a->held, data);
      if (evbuffer_get_length (a->held) > UNFORWARDED_MAX_BYTES)
        reject_oversized (a);
      return;
    }
  record_first_byte (a);
  bool forwarded
      = a->is_events ? forward_events (a, data) : forward_body (a, data);
  if (sse_is_oversized (&a->events))
    {
      reject_oversized (a);
      return;
    }
  if (!forwarded)
    return;
  set_held (e, 0);
  size_t waiting = inbound_request_stream_backlog (e->caller);
  if (memory_budget_is_exceeded (e->proxy->parts.memory, waiting))
    pause_upstream (a, waiting);
}

static void
on_head (void *arg, struct http_head *head, enum http_framing framing,
         uint64_t length)
{
  struct attempt *a = arg;
  struct exchange *e = a->exchange;
  const struct request_ops *ops = e->proxy->parts.requests;
  ops->read_response (head, &a->response_info);
  exchange_count_plain (a);
  /* Responses to remote prefills may not state a limit that is in force.  */
  if (a->prefilling && a->response_info.limit == LIMIT_NONE)
    a->response_info.limit = LIMIT_UNKNOWN;
  exchange_silence_ended (a, SILENCE_WOKE);
  upstream_statements_record (e->proxy->parts.statements, a->work.handle,
                              &a->response_info, e->facts.id);
  quarantine_link_record_response (e->proxy->parts.quarantine, e->service,
                                   a->upstream_id, a->work.sent_ms);
  http_head_destroy (a->answer);
  a->answer = http_head_copy (head);
  const char *type = http_head_get (head, "Content-Type");
  bool has_events = type && g_str_has_prefix (type, "text/event-stream");
  a->is_events = has_events && e->route->kind == ROUTE_STREAM;
  a->ends_with_event
      = has_events && !a->is_events && framing == HTTP_FRAMING_CLOSE;
  a->upstream_framing = framing;
  a->framing = a->is_events && framing == HTTP_FRAMING_SIZED
                   ? HTTP_FRAMING_CHUNKED
                   : framing;
  a->length = length;
  /* The caller already has the head of a stream that continues here.  A
     different one is not trusted.  */
  if (e->started
      && (head->status != e->started_status
          || a->is_events != e->started_events))
    a->response_info.sent_by_upstream = false;
  http_head_strip_hop_by_hop (a->answer, ops->protected_fields);
  http_head_remove (a->answer, "Content-Length");
  if (!ops->responses_repeat_id)
    http_head_set (a->answer, ops->id_field, e->facts.id);
}

static void
on_end (void *arg, enum pool_outcome end)
{
  exchange_attempt_ended (arg, end);
}

const struct pool_callbacks exchange_pool_callbacks
    = { on_head, on_data, on_end };

void
exchange_finish_response (struct attempt *a)
{
  struct exchange *e = a->exchange;
  exchange_prefer (a);
  record_held_events (a);
  if (a->is_events && a->events.partial)
    evbuffer_add_buffer (a->held, a->events.partial);
  if (e->started)
    {
      inbound_request_stream_send (e->caller, a->held);
      inbound_request_stream_end (e->caller);
    }
  else
    {
      size_t n = evbuffer_get_length (a->held);
      inbound_request_reply (e->caller, a->answer,
                             evbuffer_pullup (a->held, -1), n);
    }
  if (is_trusted_success (a))
    quarantine_link_record_answer (e->proxy->parts.quarantine, e->service,
                                   &e->facts.prompt);
  if (is_trusted_success (a) && a->is_events)
    exchange_record_work (e, true);
  int64_t now = clock_ms ();
  metrics_add (METRIC_answered_total, 1);
  metrics_observe (METRIC_request_seconds, (now - e->since_ms) * US_PER_MS);
  response_times_record (e->proxy->times, e->route->name, now - e->since_ms,
                         now);
  exchange_log_end (e, is_trusted_success (a) ? "answered" : "upstream_failed",
                    a->answer->status);
  exchange_free (e);
}

/* Outcome of an attempt.  */

/* Whether callers take STATUS to mean that the request did not run.  */
static bool
status_implies_not_run (unsigned status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool
exchange_stream_is_truncated (const struct attempt *a)
{
  if (!(a->is_events || a->ends_with_event) || !is_trusted_success (a))
    return false;
  return sse_in_event (&a->events)
         || (a->events.events == 0
             && a->upstream_framing == HTTP_FRAMING_CLOSE);
}

enum attempt_outcome
exchange_classify (const struct attempt *a, enum pool_outcome end)
{
  if (end == POOL_NOT_SENT)
    return ATTEMPT_NOT_SENT;
  if (a->response_info.not_run)
    return ATTEMPT_NOT_RUN;
  if (end != POOL_COMPLETE || a->answer == NULL
      || exchange_stream_is_truncated (a))
    return ATTEMPT_NO_VALID_RESPONSE;
  if (is_trusted_success (a))
    return ATTEMPT_ANSWERED;
  /* It does not continue what the caller already has.  */
  if (a->exchange->started)
    return ATTEMPT_NO_VALID_RESPONSE;
  unsigned status = a->answer->status;
  /* Two kinds of response are not forwarded, as they would mislead the caller:
     a status below 300 without the upstream's mark, and a status that implies
     that the request did not run although the upstream did not mark it so.  */
  if (status < 300 || status_implies_not_run (status))
    return ATTEMPT_NO_VALID_RESPONSE;
  return status >= 500 ? ATTEMPT_FAILED : ATTEMPT_ANSWERED;
}
