#include "daemon/home.h"

#include "base/log.h"
#include "base/metrics.h"
#include "config.h"
#include "daemon/conf.h"
#include "daemon/engines.h"
#include "daemon/sse.h"
#include "links/trace.h"

#include <string.h>

#define TICK_MS 100

/* A request at an engine.  */
struct home_stream
{
  struct home *home;
  uint64_t ticket;
  peer_handle peer;
  struct stream_open open;
  struct home_engine *engine;
  struct http_call *call;
  struct sse sse;
  uint64_t offset; /* events passed on so far, from the request's start */
  bool may_run;    /* the engine may hold it */
  bool resuming;   /* the call asks for the rest of a stream */
  unsigned resumes;
  int64_t data_ms; /* when data last came */
  struct span span;
  struct span upstream; /* of the call at the engine */
};

struct home
{
  const struct context *ctx;
  struct conf *conf;
  struct engines *engines;
  home_to_entry *to_entry;
  void *arg;
  GHashTable *streams; /* ticket -> struct home_stream */
  uint64_t next_ticket;
  struct event *timer;
};

static void start (struct home_stream *s);

/* Answers.  */

static void
emit (struct home *h, peer_handle peer, unsigned type, void *message)
{
  if (peer == 0)
    h->to_entry (h->arg, &(struct frame){ .type = type, .message = message });
  else
    peers_send (h->ctx->peers, peer, type, message);
}

static void
stream_free (void *p)
{
  struct home_stream *s = p;
  http_call_cancel (s->call);
  sse_clear (&s->sse);
  record_clear (&stream_open_record, &s->open);
  g_free (s);
}

static void
start_waiting (struct home *h, struct home_engine *e)
{
  uint64_t ticket;
  while (queue_start_next (e->queue, &ticket))
    {
      struct home_stream *s = g_hash_table_lookup (h->streams, &ticket);
      if (s)
        start (s);
    }
}

/* Ends a request without a word to the entry VM.  */
static void
stream_drop (struct home_stream *s)
{
  struct home *h = s->home;
  struct home_engine *e = s->engine;
  queue_remove (e->queue, s->ticket);
  g_hash_table_remove (h->streams, &s->ticket);
  engines_told (h->engines, e);
  start_waiting (h, e);
}

static void
stream_finish (struct home_stream *s, enum result result, const char *detail,
               const char *kv_source)
{
  struct home *h = s->home;
  peer_handle peer = s->peer;
  struct stream_end end
      = { .stream = s->open.stream,
          .result = result,
          .retry_after_ms = result == RESULT_NOT_RUN ? RETRY_AFTER_MIN_MS : 0,
          .running = queue_running (s->engine->queue),
          .queued_tokens = queue_prefill_tokens (s->engine->queue),
          .kv_source = (char *)(uintptr_t)kv_source,
          .detail = (char *)(uintptr_t)detail };
  span_end (&s->span, result_info (result)->name, s->engine->id);
  stream_drop (s);
  emit (h, peer, MESSAGE_STREAM_END, &end);
}

/* The engine's side.  */

static void
forward_events (struct home_stream *s, GBytes *events, unsigned count)
{
  struct stream_data data = { .stream = s->open.stream,
                              .offset = s->offset,
                              .count = count,
                              .events = events };
  s->offset += count;
  s->resumes = 0;
  queue_prefilled (s->engine->queue, s->ticket);
  emit (s->home, s->peer, MESSAGE_STREAM_DATA, &data);
}

static void
on_data (void *arg, struct evbuffer *body)
{
  struct home_stream *s = arg;
  s->data_ms = clock_ms ();
  unsigned count = 0;
  g_autoptr (GBytes) events = sse_feed (&s->sse, body, &count);
  if (count > 0)
    forward_events (s, events, count);
}

static bool
try_resume (struct home_stream *s)
{
  if (s->resumes >= ENGINE_RESUMES_MAX || s->open.phase == PHASE_PREFILL)
    return false;
  s->resumes++;
  s->resuming = true;
  metrics_add (METRIC_engine_resumes_total, 1);
  log_event (LOG_INFO, "engine_resume", "engine", s->engine->id, "request",
             s->open.request_id, "offset", log_num ((long long)s->offset),
             NULL);
  sse_clear (&s->sse);
  start (s);
  return true;
}

/* An engine's answer to a prefill order names where the KV cache lies.  */
static char *
kv_source_of (struct evbuffer *body)
{
  size_t n = body ? evbuffer_get_length (body) : 0;
  if (n == 0)
    return g_strdup ("");
  json_t *root
      = json_loadb ((const char *)evbuffer_pullup (body, -1), n, 0, NULL);
  const char *source = json_string_value (json_object_get (
      json_object_get (root, "kv_transfer_params"), "source"));
  char *copy = g_strdup (source ? source : "");
  json_decref (root);
  return copy;
}

static void
end_whole (struct home_stream *s, const struct http_answer *a)
{
  if (a->status == 200 && s->open.phase == PHASE_PREFILL)
    {
      g_autofree char *source = kv_source_of (a->body);
      stream_finish (s, source[0] ? RESULT_OK : RESULT_UPSTREAM_ERROR, "",
                     source);
    }
  else if (a->status == 200 && s->sse.done)
    stream_finish (s, RESULT_OK, "", "");
  else if (a->status == 404 && s->resuming && s->offset == 0 && s->open.body)
    {
      /* The engine never saw the request: it is run now.  */
      s->resuming = false;
      start (s);
    }
  else if ((a->status == 404 || a->status == 410) && s->resuming)
    stream_finish (s, RESULT_STREAM_LOST, "the engine lost the stream", "");
  else if (!s->resuming && (a->status == 503 || a->status == 429))
    stream_finish (s, RESULT_NOT_RUN, "the engine refused", "");
  else if (a->status == 200 && !try_resume (s))
    stream_finish (s, RESULT_UPSTREAM_ERROR, "the stream ended early", "");
  else if (a->status != 200)
    stream_finish (s, RESULT_UPSTREAM_ERROR, "the engine answered an error",
                   "");
}

static void
on_end (void *arg, const struct http_answer *a)
{
  struct home_stream *s = arg;
  s->call = NULL;
  span_end (&s->upstream, a->end == HTTP_END_WHOLE ? "ended" : "lost",
            s->engine->id);
  if (a->end == HTTP_END_WHOLE)
    end_whole (s, a);
  else if (a->end == HTTP_END_NOT_SENT && !s->may_run)
    stream_finish (s, RESULT_NOT_RUN, "the engine cannot be reached", "");
  else if (!try_resume (s))
    stream_finish (s, RESULT_UPSTREAM_ERROR, "the engine was lost", "");
}

static const struct http_events stream_events = { on_data, on_end };
static const struct http_events prefill_events = { NULL, on_end };

static unsigned
call_timeout_ms (const struct home_stream *s)
{
  return s->offset > 0
             ? ENGINE_STREAM_SILENT_MS
             : (unsigned)s->open.deadline_ms + ENGINE_STREAM_SILENT_MS;
}

static void
call_run (struct home_stream *s, const char *traceparent)
{
  gsize n = 0;
  const void *body = s->open.body ? g_bytes_get_data (s->open.body, &n) : NULL;
  bool prefill = s->open.phase == PHASE_PREFILL;
  struct http_order o = { .address = s->engine->address,
                          .method = "POST",
                          .path = "/v1/chat/completions",
                          .content_type = "application/json",
                          .body = body,
                          .body_size = n,
                          .traceparent = traceparent,
                          .request_id = s->open.request_id,
                          .timeout_ms = call_timeout_ms (s) };
  s->call = http_client_call (s->home->ctx->http, &o,
                              prefill ? &prefill_events : &stream_events, s);
}

static void
call_resume (struct home_stream *s, const char *traceparent)
{
  g_autofree char *path
      = g_strdup_printf ("/v1/streams/%s?offset=%" G_GUINT64_FORMAT,
                         s->open.request_id, (guint64)s->offset);
  struct http_order o = { .address = s->engine->address,
                          .method = "GET",
                          .path = path,
                          .traceparent = traceparent,
                          .timeout_ms = call_timeout_ms (s),
                          .fresh = true };
  s->call = http_client_call (s->home->ctx->http, &o, &stream_events, s);
}

static void
start (struct home_stream *s)
{
  char traceparent[TRACEPARENT_BYTES];
  span_traceparent (&s->span, traceparent);
  span_start (&s->upstream, "upstream", traceparent);
  span_traceparent (&s->upstream, traceparent);
  s->data_ms = clock_ms ();
  s->may_run = s->may_run || s->resuming;
  if (s->resuming)
    call_resume (s, traceparent);
  else
    call_run (s, traceparent);
}

/* The entry VM's side.  */

static void
refuse (struct home *h, peer_handle peer, uint64_t stream, const char *detail)
{
  struct stream_end end = { .stream = stream,
                            .result = RESULT_NOT_RUN,
                            .retry_after_ms = RETRY_AFTER_MIN_MS,
                            .kv_source = (char *)"",
                            .detail = (char *)(uintptr_t)detail };
  metrics_add (METRIC_home_refused_total, 1);
  emit (h, peer, MESSAGE_STREAM_END, &end);
}

static void
open_copy (struct stream_open *to, const struct stream_open *from)
{
  *to = *from;
  to->request_id = g_strdup (from->request_id);
  to->engine = g_strdup (from->engine);
  to->kv_source = g_strdup (from->kv_source);
  to->traceparent = g_strdup (from->traceparent);
  to->body = from->body ? g_bytes_ref (from->body) : NULL;
}

static void
take_open (struct home *h, peer_handle peer, const struct stream_open *m)
{
  struct home_engine *e = engines_get (h->engines, m->engine);
  if (e == NULL)
    {
      refuse (h, peer, m->stream, "this vm knows no such engine");
      return;
    }
  struct queue_item item
      = { .ticket = ++h->next_ticket,
          .priority = (unsigned)m->priority,
          .prompt_tokens = m->resume || m->phase == PHASE_DECODE
                               ? 0
                               : (uint32_t)m->prompt_tokens,
          .deadline_ms = clock_ms () + (int64_t)m->deadline_ms };
  enum queue_verdict v = queue_admit (e->queue, &item, clock_ms ());
  /* A stream that runs already goes on, whatever the engine's state.  */
  if (v == QUEUE_REFUSE && !m->resume)
    {
      refuse (h, peer, m->stream,
              e->draining ? "the engine is draining" : "no room");
      return;
    }
  metrics_add (METRIC_home_streams_total, 1);
  struct home_stream *s = g_new0 (struct home_stream, 1);
  s->home = h;
  s->ticket = item.ticket;
  s->peer = peer;
  open_copy (&s->open, m);
  s->engine = e;
  s->offset = m->offset;
  s->resuming = m->resume;
  sse_init (&s->sse);
  span_start (&s->span, "home", m->traceparent);
  g_hash_table_insert (h->streams, &s->ticket, s);
  engines_told (h->engines, e);
  if (v != QUEUE_WAIT)
    start (s);
}

static struct home_stream *
stream_find (const struct home *h, peer_handle peer, uint64_t stream)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, h->streams);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct home_stream *s = value;
      if (s->peer == peer && s->open.stream == stream)
        return s;
    }
  return NULL;
}

static void
on_cancelled (void *arg, const struct http_answer *a)
{
  (void)arg;
  (void)a;
}

static const struct http_events cancel_events = { NULL, on_cancelled };

/* The caller went away: the engine is told to stop, unless the caller may go
   on with the stream.  */
static void
take_cancel (struct home *h, peer_handle peer, const struct stream_cancel *m)
{
  struct home_stream *s = stream_find (h, peer, m->stream);
  if (s == NULL)
    return;
  if (s->call && !m->keep)
    {
      g_autofree char *path
          = g_strdup_printf ("/v1/streams/%s", s->open.request_id);
      struct http_order o = { .address = s->engine->address,
                              .method = "DELETE",
                              .path = path,
                              .timeout_ms = ENGINE_STREAM_SILENT_MS };
      http_client_call (h->ctx->http, &o, &cancel_events, NULL);
    }
  span_end (&s->span, "cancelled", s->engine->id);
  stream_drop (s);
}

void
home_take_frame (struct home *h, peer_handle peer, const struct frame *f)
{
  if (f->type == MESSAGE_STREAM_OPEN)
    take_open (h, peer, f->message);
  else if (f->type == MESSAGE_STREAM_CANCEL)
    take_cancel (h, peer, f->message);
}

void
home_peer_gone (struct home *h, peer_handle peer)
{
  g_autoptr (GList) all = g_hash_table_get_values (h->streams);
  for (GList *l = all; l; l = l->next)
    {
      struct home_stream *s = l->data;
      if (s->peer != peer)
        continue;
      span_end (&s->span, "detached", s->engine->id);
      stream_drop (s);
    }
}

unsigned
home_open_streams (const struct home *h)
{
  return g_hash_table_size (h->streams);
}

/* Time.  */

static void
expire_waiting (struct home *h, struct home_engine *e, int64_t now)
{
  uint64_t ticket;
  while (queue_remove_expired (e->queue, now, &ticket))
    {
      struct home_stream *s = g_hash_table_lookup (h->streams, &ticket);
      if (s)
        stream_finish (s, RESULT_NOT_RUN, "not started within the deadline",
                       "");
    }
}

/* An open stream that says nothing for long has a dead connection below.  */
static void
replace_silent (struct home *h, int64_t now)
{
  g_autoptr (GList) all = g_hash_table_get_values (h->streams);
  for (GList *l = all; l; l = l->next)
    {
      struct home_stream *s = l->data;
      if (s->call == NULL || s->offset == 0
          || now - s->data_ms < ENGINE_STREAM_SILENT_MS)
        continue;
      http_call_cancel (s->call);
      s->call = NULL;
      span_end (&s->upstream, "silent", s->engine->id);
      if (!try_resume (s))
        stream_finish (s, RESULT_UPSTREAM_ERROR, "the engine went silent", "");
    }
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct home *h = arg;
  int64_t now = clock_ms ();
  if (conf_file (h->conf) == NULL)
    return;
  engines_tick (h->engines);
  unsigned running = 0, waiting = 0;
  g_autoptr (GList) engines = engines_all (h->engines);
  for (GList *l = engines; l; l = l->next)
    {
      struct home_engine *e = l->data;
      expire_waiting (h, e, now);
      running += queue_running (e->queue);
      waiting += queue_waiting (e->queue);
    }
  replace_silent (h, now);
  metrics_set (METRIC_home_running, running);
  metrics_set (METRIC_home_waiting, waiting);
}

struct home *
home_create (const struct context *ctx, struct conf *conf,
             struct engines *engines, home_to_entry *to_own_entry, void *arg)
{
  struct home *h = g_new0 (struct home, 1);
  h->ctx = ctx;
  h->conf = conf;
  h->engines = engines;
  h->to_entry = to_own_entry;
  h->arg = arg;
  h->streams
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, stream_free);
  h->timer = context_every (ctx, TICK_MS, on_timer, h);
  return h;
}

void
home_destroy (struct home *h)
{
  if (h == NULL)
    return;
  event_free (h->timer);
  g_hash_table_destroy (h->streams);
  g_free (h);
}
