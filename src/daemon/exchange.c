#include "daemon/exchange.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "decide/load_shed.h"

#include <math.h>
#include <string.h>

/* Share of an upstream's connection limit that is divided among the known
   VMs.  */
#define CONNECTIONS_PERCENT 85

/* Connection limit, clean-up and log line of an exchange.  */

unsigned
exchange_connection_share (const struct exchange *e)
{
  const struct proxy_parts *parts = &e->proxy->parts;
  const struct route_service *s = route_table_service (e->table, e->service);
  unsigned all = s ? s->connections : 1;
  unsigned vms = MAX (parts->count_vms (parts->arg), 1);
  return MAX (all * CONNECTIONS_PERCENT / 100 / vms, 1);
}

/* Attempts.  */

struct attempt *
attempt_create (struct exchange *e)
{
  struct attempt *a = g_new0 (struct attempt, 1);
  a->exchange = e;
  a->held = evbuffer_new ();
  sse_init (&a->events);
  return a;
}

static void
end_permit (struct attempt *a)
{
  permit_link_end (a->exchange->proxy->parts.permits, a->permit);
  a->permit = 0;
}

/* Cancels the call of A, if one is in progress.  */
static void
cancel_call (struct attempt *a)
{
  if (a->call == NULL)
    return;
  if (pool_call_bytes_sent (a->call))
    exchange_count_plain (a);
  else
    arrivals_not_sent (&a->exchange->arrivals, attempt_call_kind (a));
  pool_cancel (a->call);
}

enum call_kind
attempt_call_kind (const struct attempt *a)
{
  return a->prefilling ? CALL_PREFILL : CALL_RUN;
}

void
attempt_destroy (struct attempt *a)
{
  if (a == NULL)
    return;
  cancel_call (a);
  upstreams_record_cancel (a->exchange->proxy->parts.upstreams, &a->work);
  end_permit (a);
  http_head_destroy (a->answer);
  evbuffer_free (a->held);
  sse_clear (&a->events);
  g_free (a);
}

void
attempt_reset (struct attempt *a)
{
  evbuffer_drain (a->held, evbuffer_get_length (a->held));
  a->held_events = 0;
  sse_restart (&a->events);
  g_clear_pointer (&a->answer, http_head_destroy);
  a->response_info = (struct response_info){ 0 };
  a->upstream_framing = HTTP_FRAMING_NONE;
  a->is_events = false;
  a->ends_with_event = false;
  a->first_byte = false;
  a->counted = false;
  a->prefilling = false;
  a->paused = false;
  a->silence_logged = false;
}

void
exchange_free (struct exchange *e)
{
  g_hash_table_remove (e->proxy->open, e);
  metrics_set (METRIC_routed_open, g_hash_table_size (e->proxy->open));
  attempt_destroy (e->current);
  attempt_destroy (e->silent);
  attempt_destroy (e->failed);
  exchange_release_decode (e);
  exchange_drop_token (e, &e->token);
  exchange_leave_queue (e);
  exchange_prefill_release (e);
  memory_budget_change (e->proxy->parts.memory, e->held_bytes, 0);
  if (e->service)
    exchange_return_unused (e);
  if (e->timer)
    event_free (e->timer);
  route_table_unref (e->table);
  g_free (e->last_event_id);
  g_free (e->facts.id);
  g_free (e->facts.key);
  g_free (e);
}

unsigned
exchange_priority (const struct exchange *e)
{
  return e->account && e->account->has_priority ? e->account->priority
                                                : e->route->priority;
}

/* Writes one line per request: its route, the inputs of its last placement and
   its outcome.  first_ms is -1 without a first byte, routes_version without
   routes.  */
void
exchange_log_end (const struct exchange *e, const char *outcome,
                  unsigned status)
{
  int64_t now = clock_ms ();
  const struct attempt *a = e->current;
  /* No upstream was found if it is not finite.  */
  long long expected_ms
      = isfinite (e->expected_ms) ? (long long)e->expected_ms : -1;
  log_event (
      LOG_INFO, "request_end", "request", e->facts.id, "route",
      e->route ? e->route->name : "", "account",
      e->account ? e->account->name : "", "service",
      e->service ? e->service : "", "upstream", a->upstream_id, "outcome",
      outcome, "status", log_num (status), "ms", log_num (now - e->since_ms),
      "unread_ms", log_num (e->unread_ms), "first_ms",
      log_num (e->first_ms ? e->first_ms - e->since_ms : -1), "expected_ms",
      log_num (expected_ms), "to_read", log_num ((long long)a->choice.tokens),
      "queue_ms", log_num ((long long)a->choice.queue_ms), "compute_ms",
      log_num ((long long)a->choice.compute_ms), "preferred",
      a->choice.is_preferred ? "true" : "false", "model_samples",
      log_num (a->choice.model_samples), "model_age_ms",
      log_num (a->choice.model_age_ms), "permits",
      log_num (e->permit_requests_total), "decodes_asked",
      log_num (e->decodes_asked), "decodes_refused",
      log_num (e->n_decode_refused), "events", log_num (e->events),
      "expected_events", log_num ((long long)a->choice.events),
      "expected_gap_ms", log_num ((long long)a->choice.event_gap_ms),
      "expected_done_ms", log_num ((long long)a->choice.done_ms), "attempts",
      log_num (e->tries), "calls", log_num (e->calls), "no_retry", e->no_retry,
      "framing", http_framing_name (a->upstream_framing), "partial_bytes",
      log_num ((long long)sse_partial_bytes (&a->events)), "retry_after_ms",
      log_num (e->retry_after_ms), "limit_wait_ms", log_num (e->limit_wait_ms),
      "routes_version",
      log_num (e->table ? (long long)route_table_version (e->table) : -1),
      NULL);
}

/* Responses that the proxy itself generates.  */

void
exchange_reply (struct exchange *e, unsigned status, const char *outcome,
                unsigned retry_after_ms)
{
  struct http_head *h = http_head_create ();
  h->status = status;
  http_head_add (h, e->proxy->parts.requests->id_field,
                 e->facts.id ? e->facts.id : "");
  if (retry_after_ms > 0)
    e->proxy->parts.requests->set_retry_after (h, retry_after_ms);
  e->retry_after_ms = retry_after_ms;
  exchange_log_end (e, outcome, status);
  inbound_request_reply (e->caller, h, NULL, 0);
  http_head_destroy (h);
  exchange_free (e);
}

void
exchange_refuse (struct exchange *e, const char *why, unsigned retry_after_ms)
{
  metrics_add (METRIC_not_run_total, 1);
  exchange_reply (e, 503, why,
                  MAX (retry_after_ms, LOAD_SHED_RETRY_AFTER_MIN_MS));
}

void
exchange_abort (struct exchange *e, const char *why)
{
  metrics_add (METRIC_cut_total, 1);
  exchange_log_end (e, why, e->started_status);
  inbound_request_abort (e->caller);
  exchange_free (e);
}

void
exchange_reply_unknown (struct exchange *e, const char *why, unsigned status)
{
  metrics_add (METRIC_unknown_total, 1);
  exchange_reply (e, status, why, 0);
}

/* Outcome of an attempt, and retries.  */

bool
exchange_retry_allowed (struct exchange *e, int64_t now)
{
  const struct proxy_parts *parts = &e->proxy->parts;
  e->no_retry = "";
  if (e->until_ms - now < EXCHANGE_ATTEMPT_MIN_MS)
    e->no_retry = "deadline";
  else if (e->n_tried >= EXCHANGE_TRIED_MAX)
    e->no_retry = "upstreams_tried";
  else if (e->is_canary
           || quarantine_link_suspects (parts->quarantine, e->service,
                                        &e->facts.prompt))
    e->no_retry = "suspect_part";
  else if (!exchange_pay (e, CALL_RUN))
    e->no_retry = "budget";
  return e->no_retry[0] == '\0';
}

bool
exchange_is_resumable (const struct exchange *e)
{
  return !e->started
         || (e->started_events && e->route->resumable && e->last_event_id);
}

void
exchange_give_up (struct exchange *e, enum attempt_outcome outcome)
{
  if (e->started)
    exchange_abort (e, attempt_outcome_name (outcome));
  else if (e->failed)
    exchange_finish_response (e->failed);
  else if (attempts_give_up (&e->attempts) == ATTEMPT_REFUSE)
    exchange_refuse (e, attempt_outcome_name (outcome),
                     upstreams_pause_left_ms (e->proxy->parts.upstreams,
                                              e->service, clock_ms ()));
  else
    exchange_reply_unknown (e, attempt_outcome_name (outcome), 502);
}

/* Records how the attempt A went at its upstream, and ends its permit.  */
static void
record_outcome (struct attempt *a, enum attempt_outcome outcome, int64_t now)
{
  struct exchange *e = a->exchange;
  struct upstreams *upstreams = e->proxy->parts.upstreams;
  /* A prefilled KV cache can be fetched once; a request that was sent may have
     fetched it.  */
  if (a == e->current && e->prefill_handle && outcome == ATTEMPT_NOT_RUN)
    upstreams_record_lost_cache (upstreams, e->prefill_engine, now);
  if (a == e->current && outcome != ATTEMPT_NOT_SENT)
    g_clear_pointer (&e->prefill_handle, g_free);
  if (exchange_stream_is_truncated (a))
    metrics_add (METRIC_truncated_streams_total, 1);
  upstreams_record_outcome (upstreams, &a->work, outcome, now);
  end_permit (a);
}

static void
log_failure (const struct attempt *a, enum attempt_outcome outcome,
             enum pool_outcome end, int64_t now)
{
  const struct exchange *e = a->exchange;
  g_autofree char *parts = prompt_shared_parts_text (&e->facts.prompt);
  log_event (
      LOG_INFO, "attempt_failed", "request", e->facts.id, "upstream",
      a->upstream_id, "outcome", attempt_outcome_name (outcome), "status",
      log_num (a->answer ? a->answer->status : 0), "connection_end",
      log_num (end), "work", upstream_work_name (a->work.kind), "waited_ms",
      log_num (now - a->work.sent_ms), "running", log_num (a->choice.running),
      "transfer_ms", log_num ((long long)a->choice.transfer_ms), "started",
      e->started ? "true" : "false", "other_attempt",
      e->silent ? "true" : "false", "framing",
      http_framing_name (a->upstream_framing), "partial_bytes",
      log_num ((long long)sse_partial_bytes (&a->events)), "first_byte",
      a->first_byte ? "true" : "false", "shared_parts", parts, NULL);
}

/* Records what the end of A tells about its upstream.  */
static void
record_evidence (const struct attempt *a, enum pool_outcome end)
{
  const struct exchange *e = a->exchange;
  const struct proxy_parts *parts = &e->proxy->parts;
  if (end == POOL_NOT_SENT)
    quarantine_link_record_refused (parts->quarantine, e->service,
                                    a->upstream_id);
  else if (end == POOL_DISCONNECTED)
    quarantine_link_record_lost (
        parts->quarantine, upstreams_info (parts->upstreams, a->work.handle),
        &e->facts.prompt);
}

/* Keeps the complete response of A, which reports a failure, in place of an
   earlier one.  */
static void
keep_failure (struct attempt *a)
{
  struct exchange *e = a->exchange;
  attempt_destroy (e->failed);
  e->failed = a;
  if (a == e->silent)
    e->silent = NULL;
  else
    e->current = attempt_create (e);
}

/* The current attempt of E has ended with OUTCOME, and its response was
   discarded or kept.  */
static void
after_failure (struct exchange *e, enum attempt_step step,
               enum attempt_outcome outcome, int64_t now)
{
  bool resumable = exchange_is_resumable (e);
  e->permit_requests = 0;
  if (step == ATTEMPT_RETRY && resumable && exchange_retry_allowed (e, now))
    {
      metrics_add (METRIC_retries_total, 1);
      exchange_start_attempt (e);
      return;
    }
  if (exchange_wait_for_silent (e))
    return;
  if (step != ATTEMPT_RETRY)
    e->no_retry
        = attempts_used_up (&e->attempts) ? "attempts" : "not_repeatable";
  else if (!resumable)
    e->no_retry = "response_started";
  exchange_give_up (e, outcome);
}

void
exchange_attempt_ended (struct attempt *a, enum pool_outcome end)
{
  struct exchange *e = a->exchange;
  int64_t now = clock_ms ();
  a->call = NULL;
  exchange_silence_ended (a, SILENCE_DIED);
  record_evidence (a, end);
  if (a->prefilling)
    {
      exchange_prefill_ended (a, end);
      return;
    }
  enum attempt_outcome outcome = exchange_classify (a, end);
  if (outcome == ATTEMPT_NOT_SENT)
    arrivals_not_sent (&e->arrivals, CALL_RUN);
  else
    exchange_count_plain (a);
  record_outcome (a, outcome, now);
  enum attempt_step step = attempts_ended (&e->attempts, outcome);
  if (outcome == ATTEMPT_ANSWERED)
    {
      exchange_finish_response (a);
      return;
    }
  log_failure (a, outcome, end, now);
  bool was_silent = a == e->silent;
  if (outcome == ATTEMPT_FAILED && !e->started)
    keep_failure (a);
  else if (was_silent)
    exchange_drop_silent (e);
  else
    attempt_reset (a);
  if (!was_silent)
    after_failure (e, step, outcome, now);
}
