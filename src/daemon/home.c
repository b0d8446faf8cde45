#include "daemon/home.h"

#include "base/log.h"
#include "base/metrics.h"
#include "config.h"
#include "daemon/conf.h"
#include "daemon/engines.h"
#include "daemon/sse.h"
#include "links/trace.h"

#include <string.h>

#define TIMER_INTERVAL_MS 100

/* A request that runs at an engine or waits for it.  */
struct home_stream
{
  struct home *home;
  uint64_t ticket;  /* id in the engine's queue */
  peer_handle peer; /* connection to the entry VM; 0: this VM is it */
  struct stream_open open;
  struct tracked_engine *engine;
  struct http_call *call; /* NULL while the request waits */
  struct sse sse;
  uint64_t offset;   /* events forwarded, counted from the request's start */
  bool may_have_run; /* the engine may have received the request */
  bool resuming;     /* the call fetches the rest of a stream */
  unsigned resume_attempts; /* attempts since the last event */
  int64_t last_data_ms; /* monotonic time of the last data or of the start */
  struct span span;
  struct span upstream; /* trace span of the call to the engine */
};

struct home
{
  const struct context *ctx;
  struct conf *conf;
  struct engines *engines;
  home_entry_callback *to_entry;
  void *arg;
  GHashTable *streams; /* ticket -> struct home_stream */
  uint64_t next_ticket;
  struct event *timer;
};

static void start (struct home_stream *s);

/* Frames to the entry VM and end of a request.  */

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

/* Starts the waiting requests that the engine has a free slot for.  */
static void
start_waiting_requests (struct home *h, struct tracked_engine *e)
{
  uint64_t ticket;
  while (queue_start_next (e->queue, &ticket))
    {
      struct home_stream *s = g_hash_table_lookup (h->streams, &ticket);
      if (s)
        start (s);
    }
}

/* Removes a request without notifying the entry VM, and starts waiting
   requests in its place.  */
static void
stream_drop (struct home_stream *s)
{
  struct home *h = s->home;
  struct tracked_engine *e = s->engine;
  queue_remove (e->queue, s->ticket);
  g_hash_table_remove (h->streams, &s->ticket);
  engines_update_router (h->engines, e);
  start_waiting_requests (h, e);
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

/* Calls to the engine.  */

static void
forward_events (struct home_stream *s, GBytes *events, unsigned count)
{
  struct stream_data data = { .stream = s->open.stream,
                              .offset = s->offset,
                              .count = count,
                              .events = events };
  s->offset += count;
  s->resume_attempts = 0;
  queue_prefilled (s->engine->queue, s->ticket);
  emit (s->home, s->peer, MESSAGE_STREAM_DATA, &data);
}

static void
on_data (void *arg, struct evbuffer *body)
{
  struct home_stream *s = arg;
  s->last_data_ms = clock_ms ();
  unsigned count = 0;
  g_autoptr (GBytes) events = sse_feed (&s->sse, body, &count);
  if (count > 0)
    forward_events (s, events, count);
  if (sse_is_oversized (&s->sse))
    stream_finish (s, RESULT_UPSTREAM_ERROR,
                   "engine sent an event that exceeds the size limit", "");
}

/* Starts a call for the rest of the stream.  Returns false if the last
   ENGINE_RESUME_ATTEMPTS_MAX such calls brought no event, or if the request is
   a prefill.  */
static bool
try_resume (struct home_stream *s)
{
  if (s->resume_attempts >= ENGINE_RESUME_ATTEMPTS_MAX
      || s->open.phase == PHASE_PREFILL)
    return false;
  s->resume_attempts++;
  s->resuming = true;
  metrics_add (METRIC_engine_resumes_total, 1);
  log_event (LOG_INFO, "engine_resume", "engine", s->engine->id, "request",
             s->open.request_id, "offset", log_num ((long long)s->offset),
             NULL);
  sse_clear (&s->sse);
  start (s);
  return true;
}

/* Source of the KV cache, from an engine's response to a prefill request;
   empty if the response does not name it.  */
static char *
parse_kv_source (struct evbuffer *body)
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

/* Handles a complete HTTP response of the engine.  */
static void
handle_response (struct home_stream *s, const struct http_response *a)
{
  if (a->status == 200 && s->open.phase == PHASE_PREFILL)
    {
      g_autofree char *source = parse_kv_source (a->body);
      stream_finish (s, source[0] ? RESULT_OK : RESULT_UPSTREAM_ERROR, "",
                     source);
    }
  else if (a->status == 200 && s->sse.done)
    stream_finish (s, RESULT_OK, "", "");
  else if (a->status == 404 && s->resuming && s->offset == 0 && s->open.body)
    {
      /* The engine never received the request, so it is sent now.  */
      s->resuming = false;
      start (s);
    }
  else if ((a->status == 404 || a->status == 410) && s->resuming)
    stream_finish (s, RESULT_STREAM_LOST,
                   "engine no longer has the stream to resume", "");
  else if (!s->resuming && (a->status == 503 || a->status == 429))
    stream_finish (s, RESULT_NOT_RUN,
                   "engine refused the request with status 429 or 503", "");
  else if (a->status == 200 && !try_resume (s))
    stream_finish (
        s, RESULT_UPSTREAM_ERROR,
        "engine ended the stream before [DONE], no resume attempts left", "");
  else if (a->status != 200)
    stream_finish (s, RESULT_UPSTREAM_ERROR,
                   "engine replied with an error status", "");
}

static void
on_end (void *arg, const struct http_response *a)
{
  struct home_stream *s = arg;
  s->call = NULL;
  span_end (&s->upstream, a->end == HTTP_OUTCOME_COMPLETE ? "ended" : "lost",
            s->engine->id);
  if (a->end == HTTP_OUTCOME_COMPLETE)
    handle_response (s, a);
  else if (a->end == HTTP_OUTCOME_NOT_SENT && !s->may_have_run)
    stream_finish (
        s, RESULT_NOT_RUN,
        "connection to the engine failed before the request was sent", "");
  else if (!try_resume (s))
    stream_finish (
        s, RESULT_UPSTREAM_ERROR,
        "connection to the engine lost before the end of the response", "");
}

static const struct http_client_callbacks stream_callbacks
    = { on_data, on_end, NULL };
static const struct http_client_callbacks prefill_callbacks
    = { NULL, on_end, NULL };

/* Longest time without data from a call to the engine, in ms.  Before the
   first event, the time that the request has until its deadline is added.  */
static unsigned
stream_timeout_ms (const struct home_stream *s)
{
  return s->offset > 0
             ? ENGINE_STREAM_STALL_MS
             : (unsigned)s->open.deadline_ms + ENGINE_STREAM_STALL_MS;
}

static void
send_request (struct home_stream *s, const char *traceparent)
{
  gsize n = 0;
  const void *body = s->open.body ? g_bytes_get_data (s->open.body, &n) : NULL;
  bool prefill = s->open.phase == PHASE_PREFILL;
  struct http_client_request o = { .address = s->engine->address,
                                   .method = "POST",
                                   .path = "/v1/chat/completions",
                                   .content_type = "application/json",
                                   .body = body,
                                   .body_size = n,
                                   .traceparent = traceparent,
                                   .request_id = s->open.request_id,
                                   .timeout_ms = stream_timeout_ms (s) };
  s->call
      = http_client_call (s->home->ctx->http, &o,
                          prefill ? &prefill_callbacks : &stream_callbacks, s);
}

static void
send_resume (struct home_stream *s, const char *traceparent)
{
  g_autofree char *path
      = g_strdup_printf ("/v1/streams/%s?offset=%" G_GUINT64_FORMAT,
                         s->open.request_id, (guint64)s->offset);
  struct http_client_request o = { .address = s->engine->address,
                                   .method = "GET",
                                   .path = path,
                                   .traceparent = traceparent,
                                   .timeout_ms = stream_timeout_ms (s),
                                   .new_connection = true };
  s->call = http_client_call (s->home->ctx->http, &o, &stream_callbacks, s);
}

static void
start (struct home_stream *s)
{
  char traceparent[TRACEPARENT_BYTES];
  span_traceparent (&s->span, traceparent);
  span_start (&s->upstream, "upstream", traceparent);
  span_traceparent (&s->upstream, traceparent);
  s->last_data_ms = clock_ms ();
  s->may_have_run = s->may_have_run || s->resuming;
  if (s->resuming)
    send_resume (s, traceparent);
  else
    send_request (s, traceparent);
}

/* Frames from entry VMs.  */

static void
refuse (struct home *h, peer_handle peer, uint64_t stream, bool draining,
        const char *detail)
{
  struct stream_end end = { .stream = stream,
                            .result = RESULT_NOT_RUN,
                            .retry_after_ms = RETRY_AFTER_MIN_MS,
                            .kv_source = (char *)"",
                            .detail = (char *)(uintptr_t)detail,
                            .draining = draining };
  metrics_add (METRIC_home_refused_total, 1);
  emit (h, peer, MESSAGE_STREAM_END, &end);
}

static void
copy_open_message (struct stream_open *to, const struct stream_open *from)
{
  *to = *from;
  to->request_id = g_strdup (from->request_id);
  to->engine = g_strdup (from->engine);
  to->kv_source = g_strdup (from->kv_source);
  to->traceparent = g_strdup (from->traceparent);
  to->body = from->body ? g_bytes_ref (from->body) : NULL;
}

static void
handle_open (struct home *h, peer_handle peer, const struct stream_open *m)
{
  /* After a pause of this VM, the entry VM may have closed the connection and
     called the engine itself.  */
  if (peer != 0 && peers_closed_by_peer (h->ctx->peers, peer))
    return;
  struct tracked_engine *e = engines_get (h->engines, m->engine);
  if (e == NULL)
    {
      refuse (h, peer, m->stream, false,
              "engine is not in the file in force at the vm that calls it");
      return;
    }
  struct queue_item item
      = { .ticket = ++h->next_ticket,
          .priority = (unsigned)m->priority,
          .prompt_tokens = m->resume || m->phase == PHASE_DECODE
                               ? 0
                               : (uint32_t)m->prompt_tokens,
          .deadline_ms = clock_ms () + (int64_t)m->deadline_ms };
  enum queue_verdict verdict = queue_admit (e->queue, &item, clock_ms ());
  /* A resumed stream runs at the engine already, so it is never refused.  */
  if (verdict == QUEUE_REFUSE && !m->resume)
    {
      refuse (h, peer, m->stream, e->draining,
              e->draining ? "engine is draining"
                          : "engine is leaving, its queue is full, or the "
                            "first token would miss the deadline");
      return;
    }
  metrics_add (METRIC_home_streams_total, 1);
  struct home_stream *s = g_new0 (struct home_stream, 1);
  s->home = h;
  s->ticket = item.ticket;
  s->peer = peer;
  copy_open_message (&s->open, m);
  s->engine = e;
  s->offset = m->offset;
  s->resuming = m->resume;
  sse_init (&s->sse);
  span_start (&s->span, "home", m->traceparent);
  g_hash_table_insert (h->streams, &s->ticket, s);
  engines_update_router (h->engines, e);
  if (verdict != QUEUE_WAIT)
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

/* The result of a cancel does not matter: the request has been removed here
   already.  */
static void
on_cancelled (void *arg, const struct http_response *a)
{
  (void)arg;
  (void)a;
}

static const struct http_client_callbacks cancel_callbacks
    = { NULL, on_cancelled, NULL };

/* Handles the caller's disconnect: stops the request at the engine, unless the
   entry VM keeps it (M->keep) for the caller to resume.  */
static void
handle_cancel (struct home *h, peer_handle peer, const struct stream_cancel *m)
{
  struct home_stream *s = stream_find (h, peer, m->stream);
  if (s == NULL)
    return;
  if (s->call && !m->keep)
    {
      g_autofree char *path
          = g_strdup_printf ("/v1/streams/%s", s->open.request_id);
      struct http_client_request o = { .address = s->engine->address,
                                       .method = "DELETE",
                                       .path = path,
                                       .timeout_ms = ENGINE_STREAM_STALL_MS };
      http_client_call (h->ctx->http, &o, &cancel_callbacks, NULL);
    }
  span_end (&s->span, "cancelled", s->engine->id);
  stream_drop (s);
}

void
home_handle_frame (struct home *h, peer_handle peer, const struct frame *f)
{
  if (f->type == MESSAGE_STREAM_OPEN)
    handle_open (h, peer, f->message);
  else if (f->type == MESSAGE_STREAM_CANCEL)
    handle_cancel (h, peer, f->message);
}

void
home_peer_closed (struct home *h, peer_handle peer)
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
home_open_requests (const struct home *h)
{
  return g_hash_table_size (h->streams);
}

/* Periodic checks.  */

static void
expire_waiting (struct home *h, struct tracked_engine *e, int64_t now)
{
  uint64_t ticket;
  while (queue_remove_expired (e->queue, now, &ticket))
    {
      struct home_stream *s = g_hash_table_lookup (h->streams, &ticket);
      if (s)
        stream_finish (s, RESULT_NOT_RUN,
                       "request still queued at its first-token deadline", "");
    }
}

/* Resumes streams that had events and then no data for
   ENGINE_STREAM_STALL_MS, as their connection is presumed dead.  */
static void
reconnect_stalled (struct home *h, int64_t now)
{
  g_autoptr (GList) all = g_hash_table_get_values (h->streams);
  for (GList *l = all; l; l = l->next)
    {
      struct home_stream *s = l->data;
      if (s->call == NULL || s->offset == 0
          || now - s->last_data_ms < ENGINE_STREAM_STALL_MS)
        continue;
      http_call_cancel (s->call);
      s->call = NULL;
      span_end (&s->upstream, "silent", s->engine->id);
      if (!try_resume (s))
        stream_finish (s, RESULT_UPSTREAM_ERROR,
                       "engine sent no more data, no resume attempts left",
                       "");
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
  g_autoptr (GList) engines = engines_list (h->engines);
  for (GList *l = engines; l; l = l->next)
    {
      struct tracked_engine *e = l->data;
      expire_waiting (h, e, now);
      running += queue_running (e->queue);
      waiting += queue_waiting (e->queue);
    }
  reconnect_stalled (h, now);
  metrics_set (METRIC_home_running, running);
  metrics_set (METRIC_home_waiting, waiting);
}

struct home *
home_create (const struct context *ctx, struct conf *conf,
             struct engines *engines, home_entry_callback *to_own_entry,
             void *arg)
{
  struct home *h = g_new0 (struct home, 1);
  h->ctx = ctx;
  h->conf = conf;
  h->engines = engines;
  h->to_entry = to_own_entry;
  h->arg = arg;
  h->streams
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, stream_free);
  h->timer = context_add_timer (ctx, TIMER_INTERVAL_MS, on_timer, h);
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
