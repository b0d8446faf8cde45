/** @file
    Remote prefill: a prefill-only engine prefills the prompt of a
    request, and another engine fetches the KV cache from it to generate.  */
#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "daemon/exchange.h"

/* Release of an unused KV cache; the response to it is ignored.  */

static void
ignore_end (void *arg, enum pool_outcome end)
{
  (void)arg;
  (void)end;
}

static void
ignore_head (void *arg, struct http_head *head, enum http_framing framing,
             uint64_t length)
{
  (void)arg;
  (void)head;
  (void)framing;
  (void)length;
}

static void
discard_body (void *arg, struct evbuffer *data)
{
  (void)arg;
  evbuffer_drain (data, evbuffer_get_length (data));
}

static const struct pool_callbacks release_callbacks
    = { ignore_head, discard_body, ignore_end };

/* Frees the KV cache HANDLE at the engine H.  */
static void
release_kv_cache (struct exchange *e, upstream_handle h, const char *handle)
{
  const struct proxy_parts *parts = &e->proxy->parts;
  const struct upstream_info *info = upstreams_info (parts->upstreams, h);
  /* A paused engine releases the KV cache by itself, when its hold ends.  */
  if (info == NULL || !upstreams_accepts (parts->upstreams, h, clock_ms ()))
    return;
  struct http_head *head = parts->requests->build_prefill_release (handle);
  struct pool_request r = { .upstream = info->id,
                            .address = info->address,
                            .connections = exchange_connection_share (e),
                            .head = head,
                            .reuse_ms = EXCHANGE_REUSE_MS };
  (void)pool_send (parts->pool, &r, &release_callbacks, NULL);
  http_head_destroy (head);
  metrics_add (METRIC_readings_dropped_total, 1);
}

void
exchange_prefill_release (struct exchange *e)
{
  if (e->prefill_handle)
    release_kv_cache (e, e->prefill_engine, e->prefill_handle);
  g_clear_pointer (&e->prefill_handle, g_free);
}

/* Returns the handle in the response of the prefill A, which ended with END;
   NULL if there is none.  */
static char *
parse_handle (const struct attempt *a, enum pool_outcome end)
{
  const struct proxy_parts *parts = &a->exchange->proxy->parts;
  const struct upstream_info *info
      = upstreams_info (parts->upstreams, a->work.handle);
  size_t n = evbuffer_get_length (a->held);
  if (end != POOL_COMPLETE || info == NULL || a->answer == NULL
      || a->answer->status != 200)
    return NULL;
  return parts->requests->parse_prefill_handle (
      info->address, evbuffer_pullup (a->held, -1), n);
}

static enum attempt_outcome
classify_prefill (const struct attempt *a, const char *handle,
                  enum pool_outcome end)
{
  if (handle)
    return ATTEMPT_ANSWERED;
  if (a->response_info.not_run)
    return ATTEMPT_NOT_RUN;
  return end == POOL_NOT_SENT ? ATTEMPT_NOT_SENT : ATTEMPT_NO_VALID_RESPONSE;
}

static void
log_prefill (const struct attempt *a, enum attempt_outcome outcome,
             unsigned took_ms, int64_t now)
{
  const struct exchange *e = a->exchange;
  log_event (outcome == ATTEMPT_ANSWERED ? LOG_DEBUG : LOG_INFO,
             "prefill_ended", "request", e->facts.id, "upstream",
             a->upstream_id, "outcome", attempt_outcome_name (outcome),
             "status", log_num (a->answer ? a->answer->status : 0), "ms",
             log_num (now - e->since_ms), "took_ms", log_num (took_ms),
             "expected_ms", log_num ((long long)a->choice.wait_ms), "queue_ms",
             log_num ((long long)a->choice.queue_ms), "to_prefill",
             log_num ((long long)a->choice.tokens), NULL);
}

/* The prefill that was silent has ended, with the KV cache HANDLE or NULL.
   It is used unless the hedge beside it already runs the request or has a KV
   cache of its own.  */
static void
silent_prefill_ended (struct attempt *a, char *handle)
{
  struct exchange *e = a->exchange;
  const struct attempt *hedge = e->current;
  upstream_handle engine = a->work.handle;
  bool has_run = hedge->call && !hedge->prefilling;
  if (handle == NULL || has_run || e->prefill_handle)
    {
      if (handle)
        release_kv_cache (e, engine, handle);
      g_free (handle);
      exchange_drop_silent (e);
      return;
    }
  exchange_prefer (a);
  attempt_reset (a);
  e->prefill_engine = engine;
  e->prefill_handle = handle;
  exchange_start_attempt (e);
}

/* The call did not run the request, so another attempt is safe: at an engine
   that fetches the KV cache, or after a failed prefill at any engine.  */
void
exchange_prefill_ended (struct attempt *a, enum pool_outcome end)
{
  struct exchange *e = a->exchange;
  const struct proxy_parts *parts = &e->proxy->parts;
  int64_t now = clock_ms ();
  char *handle = parse_handle (a, end);
  enum attempt_outcome outcome = classify_prefill (a, handle, end);
  if (outcome == ATTEMPT_NOT_SENT)
    arrivals_not_sent (&e->arrivals, CALL_PREFILL);
  if (outcome == ATTEMPT_ANSWERED)
    arrivals_accepted (&e->arrivals);
  unsigned took_ms = exchange_record_prefilled (a, now);
  upstreams_record_outcome (parts->upstreams, &a->work, outcome, now);
  permit_link_end (parts->permits, a->permit);
  a->permit = 0;
  log_prefill (a, outcome, took_ms, now);
  if (a == e->silent)
    {
      silent_prefill_ended (a, handle);
      return;
    }
  upstream_handle engine = a->work.handle;
  attempt_reset (a);
  e->permit_requests = 0;
  if (handle)
    {
      e->prefill_engine = engine;
      e->prefill_handle = handle;
      if (e->silent && e->silent->prefilling)
        exchange_prefer (a);
    }
  if (handle || exchange_retry_allowed (e, now))
    exchange_start_attempt (e);
  else if (!exchange_wait_for_silent (e))
    exchange_give_up (e, outcome);
}
