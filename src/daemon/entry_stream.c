#include "daemon/entry_stream.h"

#include "base/log.h"
#include "base/metrics.h"
#include "daemon/reply.h"
#include "decide/rank.h"

#include <inttypes.h>
#include <string.h>

/* Weight of the newest response in the moving average of response lengths. */
#define MEAN_TOKENS_WEIGHT 0.02
/* A caller with more unread bytes than this is disconnected.  */
#define BACKLOG_MAX_BYTES (1024 * 1024)

/* End of a request.  */

void
entry_stream_free (void *p)
{
  struct entry_stream *s = p;
  peers_add_pending (s->entry->ctx->peers, s->peer, -1);
  json_decref (s->body);
  g_free (s->caller);
  g_free (s->request_id);
  g_free (s->engine);
  g_free (s->kv_source);
  g_free (s->decode_engine_id);
  g_free (s->finish_reason);
  if (s->response_text)
    g_string_free (s->response_text, TRUE);
  g_free (s);
}

void
entry_stream_remove (struct entry_stream *s)
{
  struct entry *e = s->entry;
  g_hash_table_remove (e->streams, &s->id);
  metrics_set (METRIC_streams_open, g_hash_table_size (e->streams));
}

void
entry_stream_log_end (const struct entry_stream *s, enum result result,
                      const char *detail)
{
  log_event (result == RESULT_OK ? LOG_DEBUG : LOG_INFO, "request_ended",
             "request", s->request_id ? s->request_id : "-", "caller",
             s->caller, "engine", s->engine ? s->engine : "-", "result",
             result_info (result)->name, "number", log_num (result), "events",
             log_num ((long long)s->offset), "detail", detail, NULL);
  span_end (&s->span, result_info (result)->name, s->engine);
}

void
entry_stream_fail (struct entry_stream *s, enum result result,
                   const char *detail, uint64_t retry_after_ms)
{
  struct http_request *r = s->request;
  entry_stream_log_end (s, result, detail);
  if (r == NULL)
    {
      entry_stream_remove (s);
      return;
    }
  http_request_on_close (r, NULL, NULL);
  if (!s->headers_sent)
    reply_error (r, result, detail[0] ? detail : NULL, retry_after_ms);
  else
    {
      g_autofree char *event = g_strdup_printf (
          "event: error\ndata: {\"error\":{\"code\":\"%s\",\"number\":%d,"
          "\"message\":\"%s\"}}\n\n",
          result_info (result)->name, (int)result, detail);
      metrics_add (METRIC_failed_total, 1);
      http_request_stream_send (r, event, strlen (event));
      http_request_stream_end (r);
    }
  entry_stream_remove (s);
}

static void
reply_completion (struct entry_stream *s)
{
  const char *model = json_string_value (json_object_get (s->body, "model"));
  reply_json (s->request, 200,
              json_pack ("{s:s,s:s,s:s,s:[{s:i,s:{s:s,s:s},s:s}]}", "id",
                         s->request_id, "object", "chat.completion", "model",
                         model ? model : "", "choices", "index", 0, "message",
                         "role", "assistant", "content", s->response_text->str,
                         "finish_reason",
                         s->finish_reason ? s->finish_reason : "stop"));
}

void
entry_stream_complete (struct entry_stream *s)
{
  double *mean = &s->entry->mean_tokens[s->long_response];
  *mean += MEAN_TOKENS_WEIGHT * ((double)s->offset - *mean);
  metrics_add (METRIC_answered_total, 1);
  entry_stream_log_end (s, RESULT_OK, "");
  if (s->request)
    {
      http_request_on_close (s->request, NULL, NULL);
      if (s->want_stream)
        http_request_stream_end (s->request);
      else
        reply_completion (s);
    }
  entry_stream_remove (s);
}

void
entry_stream_send_to_home (struct entry_stream *s, unsigned type,
                           void *message)
{
  const struct context *ctx = s->entry->ctx;
  if (s->peer == 0)
    s->entry->to_home (s->entry->arg,
                       &(struct frame){ .type = type, .message = message });
  else
    peers_send (ctx->peers, s->peer, type, message);
}

/* Requests to the engine's home VM.  */

/* Copy of the caller's body with the fields that the engine needs: stream,
   priority and, if prefill and decode are split, kv_transfer_params.  */
static GBytes *
body_for_engine (const struct entry_stream *s)
{
  if (s->body == NULL)
    return NULL;
  json_t *body = json_copy (s->body);
  json_object_set_new (body, "stream",
                       json_boolean (s->phase != PHASE_PREFILL));
  json_object_set_new (body, "priority", json_integer (s->priority));
  if (s->phase == PHASE_PREFILL)
    json_object_set_new (body, "kv_transfer_params",
                         json_pack ("{s:b}", "do_remote_decode", 1));
  else if (s->phase == PHASE_DECODE)
    json_object_set_new (body, "kv_transfer_params",
                         json_pack ("{s:b,s:s}", "do_remote_prefill", 1,
                                    "source", s->kv_source));
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return g_bytes_new_take (text, strlen (text));
}

/* Home VM of the engine if it is another VM.  NULL if this VM is to call the
   engine itself: it is the home VM, the stream has MOVED here, or no usable
   home VM or no such engine is known.  */
static const struct member *
remote_home (const struct entry_stream *s, bool moved)
{
  const struct context *ctx = s->entry->ctx;
  const struct file_engine *f
      = catalog_find_engine (conf_catalog (s->entry->conf), s->engine);
  if (f == NULL || moved)
    return NULL;
  const struct member *home
      = rank_engine_home (ctx->members, s->engine, f->region);
  return home && strcmp (home->info.id, ctx->settings->vm) != 0 ? home : NULL;
}

void
entry_stream_open (struct entry_stream *s, bool resume, bool moved)
{
  const struct context *ctx = s->entry->ctx;
  char traceparent[TRACEPARENT_BYTES];
  span_traceparent (&s->span, traceparent);
  const struct member *home = remote_home (s, moved);
  peers_add_pending (ctx->peers, s->peer, -1);
  s->peer = home ? peers_connect (ctx->peers, home->info.id, home->info.ip,
                                  (uint16_t)home->info.peer_port)
                 : 0;
  peers_add_pending (ctx->peers, s->peer, 1);
  g_autoptr (GBytes) body = body_for_engine (s);
  struct stream_open m
      = { .stream = s->id,
          .request_id = s->request_id,
          .engine = s->engine,
          .offset = s->offset,
          .resume = resume,
          .priority = s->priority,
          .deadline_ms = (uint64_t)MAX (s->deadline_ms - clock_ms (), 1),
          .prompt_tokens = s->routing.prompt_tokens,
          .phase = s->phase,
          .kv_source = s->kv_source ? s->kv_source : (char *)"",
          .traceparent = traceparent,
          .body = body };
  entry_stream_send_to_home (s, MESSAGE_STREAM_OPEN, &m);
}

/* Events from the home VM.  */

/* Forwards events to the caller, each with an id "REQUEST_ID:NUMBER" that it
   can resume from.  */
static void
send_events (struct entry_stream *s, const struct stream_data *m)
{
  gsize n = 0;
  const char *data = g_bytes_get_data (m->events, &n);
  g_autoptr (GString) out = g_string_sized_new (n + m->count * 80);
  const char *end = data + n;
  uint64_t number = s->offset;
  while (data < end)
    {
      const char *stop = memmem (data, (size_t)(end - data), "\n\n", 2);
      if (stop == NULL)
        break;
      stop += 2;
      g_string_append_printf (out, "id: %s:%" PRIu64 "\n", s->request_id,
                              ++number);
      g_string_append_len (out, data, stop - data);
      data = stop;
    }
  if (!s->headers_sent)
    {
      http_request_set_header (s->request, "X-Request-Id", s->request_id);
      http_request_stream_start (s->request);
    }
  s->headers_sent = true;
  http_request_stream_send (s->request, out->str, out->len);
}

/* Adds the text and the finish reason of one event to the response that is
   collected.  */
static void
append_event_text (struct entry_stream *s, const char *data, size_t n)
{
  static const char prefix[] = "data: ";
  if (n < sizeof prefix || strncmp (data, prefix, sizeof prefix - 1) != 0)
    return;
  json_t *root
      = json_loadb (data + sizeof prefix - 1, n - sizeof prefix + 1, 0, NULL);
  json_t *choice = json_array_get (json_object_get (root, "choices"), 0);
  const char *text = json_string_value (
      json_object_get (json_object_get (choice, "delta"), "content"));
  const char *reason
      = json_string_value (json_object_get (choice, "finish_reason"));
  if (text)
    g_string_append (s->response_text, text);
  if (reason)
    {
      g_free (s->finish_reason);
      s->finish_reason = g_strdup (reason);
    }
  json_decref (root);
}

static void
collect_events (struct entry_stream *s, const struct stream_data *m)
{
  gsize n = 0;
  const char *data = g_bytes_get_data (m->events, &n);
  const char *end = data + n;
  while (data < end)
    {
      const char *stop = memmem (data, (size_t)(end - data), "\n\n", 2);
      if (stop == NULL)
        break;
      append_event_text (s, data, (size_t)(stop - data));
      data = stop + 2;
    }
}

void
entry_stream_handle_data (struct entry_stream *s, const struct stream_data *m)
{
  /* After a reconnect, events may come twice or late.  Only those that follow
     the last one received are used.  */
  if (m->offset != s->offset || m->events == NULL || s->request == NULL)
    return;
  if (s->offset == 0)
    metrics_observe (METRIC_first_token_seconds,
                     g_get_monotonic_time () - s->start_us);
  if (s->want_stream)
    send_events (s, m);
  else
    collect_events (s, m);
  s->offset += m->count;
  metrics_add (METRIC_events_total, m->count);
  if (s->want_stream
      && http_request_stream_backlog (s->request) > BACKLOG_MAX_BYTES)
    http_request_abort (s->request);
}
