#include "daemon/entry.h"

#include "base/log.h"
#include "base/metrics.h"
#include "config.h"
#include "daemon/conf.h"
#include "daemon/demand.h"
#include "daemon/reply.h"
#include "daemon/request_id.h"
#include "decide/limits.h"
#include "decide/rank.h"
#include "links/trace.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#define BYTES_PER_TOKEN 4
#define TRIES_MAX 3
#define SHORT_ANSWER_TOKENS 16
#define MEAN_WEIGHT 0.02
#define FIRST_MEAN_TOKENS 200
#define BACKLOG_MAX_BYTES (1024 * 1024)

/* A model request of a caller.  */
struct entry_stream
{
  struct entry *entry;
  uint64_t id;
  struct http_request *request; /* NULL once the caller went away */
  char *caller;
  unsigned priority;
  json_t *body;     /* as the caller sent it; NULL where only resumed */
  bool want_stream; /* events, or one whole answer */
  bool headers_sent;
  char *request_id;
  char *engine;
  peer_handle peer; /* home VM's connection, 0 for this VM */
  struct route_ask ask;
  enum route_phase phase;
  char *kv_source;
  char
      *decode_engine; /* that was found when the prefill was routed, or NULL */
  bool long_answer;   /* more than a few tokens may come */
  uint64_t offset;    /* events that came */
  unsigned tries;
  GString *text; /* of a whole answer */
  char *finish_reason;
  int64_t start_us;
  int64_t deadline_ms; /* for the first token, on the monotonic clock */
  struct span span;
};

struct entry
{
  const struct context *ctx;
  struct conf *conf;
  entry_to_home *to_home;
  void *arg;
  GHashTable *streams; /* id -> struct entry_stream */
  uint64_t next_id;
  struct limits *limits;
  struct retry_budget retries;
  struct demand demand[DEMAND_MODELS_MAX];
  double mean_tokens[2]; /* of answers that may be long, and short ones */
};

/* Ending.  */

static void
stream_free (void *p)
{
  struct entry_stream *s = p;
  peers_await (s->entry->ctx->peers, s->peer, -1);
  json_decref (s->body);
  g_free (s->caller);
  g_free (s->request_id);
  g_free (s->engine);
  g_free (s->kv_source);
  g_free (s->decode_engine);
  g_free (s->finish_reason);
  if (s->text)
    g_string_free (s->text, TRUE);
  g_free (s);
}

static void
stream_remove (struct entry_stream *s)
{
  struct entry *e = s->entry;
  g_hash_table_remove (e->streams, &s->id);
  metrics_set (METRIC_streams_open, g_hash_table_size (e->streams));
}

static void
log_end (const struct entry_stream *s, enum result result, const char *detail)
{
  log_event (result == RESULT_OK ? LOG_DEBUG : LOG_INFO, "request_ended",
             "request", s->request_id ? s->request_id : "-", "caller",
             s->caller, "engine", s->engine ? s->engine : "-", "result",
             result_info (result)->name, "number", log_num (result), "events",
             log_num ((long long)s->offset), "detail", detail, NULL);
  span_end (&s->span, result_info (result)->name, s->engine);
}

/* Tells the caller that the answer is not whole, in the form that the answer
   has taken so far.  */
static void
stream_fail (struct entry_stream *s, enum result result, const char *detail,
             uint64_t retry_after_ms)
{
  struct http_request *r = s->request;
  log_end (s, result, detail);
  if (r == NULL)
    {
      stream_remove (s);
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
  stream_remove (s);
}

static void
reply_whole (struct entry_stream *s)
{
  const char *model = json_string_value (json_object_get (s->body, "model"));
  reply_json (s->request, 200,
              json_pack ("{s:s,s:s,s:s,s:[{s:i,s:{s:s,s:s},s:s}]}", "id",
                         s->request_id, "object", "chat.completion", "model",
                         model ? model : "", "choices", "index", 0, "message",
                         "role", "assistant", "content", s->text->str,
                         "finish_reason",
                         s->finish_reason ? s->finish_reason : "stop"));
}

static void
stream_whole (struct entry_stream *s)
{
  double *mean = &s->entry->mean_tokens[s->long_answer];
  *mean += MEAN_WEIGHT * ((double)s->offset - *mean);
  metrics_add (METRIC_answered_total, 1);
  log_end (s, RESULT_OK, "");
  if (s->request)
    {
      http_request_on_close (s->request, NULL, NULL);
      if (s->want_stream)
        http_request_stream_end (s->request);
      else
        reply_whole (s);
    }
  stream_remove (s);
}

static void
to_home (struct entry_stream *s, unsigned type, void *message)
{
  const struct context *ctx = s->entry->ctx;
  if (s->peer == 0)
    s->entry->to_home (s->entry->arg,
                       &(struct frame){ .type = type, .message = message });
  else
    peers_send (ctx->peers, s->peer, type, message);
}

/* The caller went away.  A stream is left running for a while at the engine,
   as its caller may go on with it; a whole answer can't be asked for again and
   is cancelled.  */
static void
on_caller_gone (void *arg)
{
  struct entry_stream *s = arg;
  struct stream_cancel m
      = { .stream = s->id, .keep = s->want_stream && s->headers_sent };
  s->request = NULL;
  log_end (s, RESULT_STREAM_LOST, "the caller went away");
  to_home (s, MESSAGE_STREAM_CANCEL, &m);
  stream_remove (s);
}

/* Opening at the engine's home VM.  */

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

/* Whether the engine's home VM is another one, that can be reached.  */
static const struct member *
other_home (const struct entry_stream *s, bool moved)
{
  const struct context *ctx = s->entry->ctx;
  const struct file_engine *f
      = catalog_find (conf_catalog (s->entry->conf), s->engine);
  if (f == NULL || moved)
    return NULL;
  const struct member *home
      = rank_engine_home (ctx->members, s->engine, f->region);
  return home && strcmp (home->info.id, ctx->settings->vm) != 0 ? home : NULL;
}

static void
open_at_home (struct entry_stream *s, bool resume, bool moved)
{
  const struct context *ctx = s->entry->ctx;
  char traceparent[TRACEPARENT_BYTES];
  span_traceparent (&s->span, traceparent);
  const struct member *home = other_home (s, moved);
  peers_await (ctx->peers, s->peer, -1);
  s->peer = home ? peers_connect (ctx->peers, home->info.id, home->info.ip,
                                  (uint16_t)home->info.peer_port)
                 : 0;
  peers_await (ctx->peers, s->peer, 1);
  g_autoptr (GBytes) body = body_for_engine (s);
  struct stream_open m
      = { .stream = s->id,
          .request_id = s->request_id,
          .engine = s->engine,
          .offset = s->offset,
          .resume = resume,
          .priority = s->priority,
          .deadline_ms = (uint64_t)MAX (s->deadline_ms - clock_ms (), 1),
          .prompt_tokens = s->ask.prompt_tokens,
          .phase = s->phase,
          .kv_source = s->kv_source ? s->kv_source : (char *)"",
          .traceparent = traceparent,
          .body = body };
  to_home (s, MESSAGE_STREAM_OPEN, &m);
}

/* Routing.  */

static void
choose (struct entry_stream *s, route_engine engine, bool cached)
{
  const struct context *ctx = s->entry->ctx;
  const struct catalog *catalog = conf_catalog (s->entry->conf);
  const char *name = catalog_engine (catalog, engine)->id;
  router_sent (catalog_router (catalog), engine, &s->ask, cached);
  g_free (s->engine);
  g_free (s->request_id);
  s->engine = g_strdup (name);
  s->request_id = request_id_make (ctx->fleet_key, s->caller, name);
  s->tries++;
  open_at_home (s, false, false);
}

/* Chooses an engine in this VM's region, or in another one where this has no
   room in time.  */
static struct route_choice
pick (struct entry_stream *s)
{
  const struct context *ctx = s->entry->ctx;
  const struct catalog *catalog = conf_catalog (s->entry->conf);
  struct router *router = catalog_router (catalog);
  const struct file *file = conf_file (s->entry->conf);
  uint32_t own = catalog_region (catalog, ctx->settings->region);
  s->ask.region = own;
  struct route_choice best = router_pick (router, &s->ask);
  for (uint32_t i = 0; best.engine == ROUTE_NONE && i < file->regions->len;
       i++)
    {
      s->ask.region = i;
      struct route_choice far = router_pick (router, &s->ask);
      if (i != own && far.engine != ROUTE_NONE)
        best = far;
    }
  return best;
}

/* Decides whether ENGINE runs the request whole or only prefills it, and finds
   a place to decode then.  Returns false where it was refused.  */
static bool
plan_phase (struct entry_stream *s, route_engine engine)
{
  const struct catalog *catalog = conf_catalog (s->entry->conf);
  struct router *router = catalog_router (catalog);
  bool only_prefill = router_load (router, engine)->role == ROLE_PREFILL;
  s->phase = PHASE_WHOLE;
  if (!only_prefill && !s->long_answer)
    return true;
  struct route_ask ask = s->ask;
  ask.phase = PHASE_DECODE;
  ask.avoid = ROUTE_NONE;
  struct route_choice d = router_pick (router, &ask);
  bool found = d.engine != ROUTE_NONE;
  if (!found && only_prefill)
    {
      stream_fail (s, RESULT_NOT_RUN, "no engine has room to decode",
                   d.retry_after_ms);
      return false;
    }
  if (only_prefill
      || (found && router_load (router, d.engine)->role == ROLE_DECODE))
    {
      s->phase = PHASE_PREFILL;
      router_sent (router, d.engine, &ask, false);
      g_free (s->decode_engine);
      s->decode_engine = g_strdup (catalog_engine (catalog, d.engine)->id);
    }
  return true;
}

static void
route (struct entry_stream *s)
{
  s->ask.phase = s->phase == PHASE_DECODE ? PHASE_DECODE : PHASE_PREFILL;
  s->ask.now_ms = clock_ms ();
  s->ask.deadline_ms = (uint32_t)MAX (s->deadline_ms - s->ask.now_ms, 0);
  struct route_choice c = pick (s);
  if (c.engine == ROUTE_NONE)
    {
      stream_fail (s, RESULT_NOT_RUN, "no engine has room in time",
                   c.retry_after_ms);
      return;
    }
  if (s->phase != PHASE_DECODE && !plan_phase (s, c.engine))
    return;
  s->ask.phase = s->phase;
  choose (s, c.engine, c.cached);
}

/* A request that did not run may go to another engine.  */
static void
route_again (struct entry_stream *s, enum result result, const char *detail,
             uint64_t retry_after_ms)
{
  const struct catalog *catalog = conf_catalog (s->entry->conf);
  bool can = s->offset == 0 && s->body && s->tries < TRIES_MAX
             && clock_ms () < s->deadline_ms
             && retry_take (&s->entry->retries);
  if (!can)
    {
      stream_fail (s, result, detail, retry_after_ms);
      return;
    }
  metrics_add (METRIC_retries_total, 1);
  s->ask.avoid = router_find (catalog_router (catalog), s->engine);
  route (s);
}

/* Events.  */

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

static void
take_event_text (struct entry_stream *s, const char *data, size_t n)
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
    g_string_append (s->text, text);
  if (reason)
    {
      g_free (s->finish_reason);
      s->finish_reason = g_strdup (reason);
    }
  json_decref (root);
}

static void
keep_events (struct entry_stream *s, const struct stream_data *m)
{
  gsize n = 0;
  const char *data = g_bytes_get_data (m->events, &n);
  const char *end = data + n;
  while (data < end)
    {
      const char *stop = memmem (data, (size_t)(end - data), "\n\n", 2);
      if (stop == NULL)
        break;
      take_event_text (s, data, (size_t)(stop - data));
      data = stop + 2;
    }
}

static void
take_data (struct entry_stream *s, const struct stream_data *m)
{
  /* After a move the old home VM's events may still come; only the next ones
     count.  */
  if (m->offset != s->offset || m->events == NULL || s->request == NULL)
    return;
  if (s->offset == 0)
    metrics_time (METRIC_first_token_seconds,
                  g_get_monotonic_time () - s->start_us);
  if (s->want_stream)
    send_events (s, m);
  else
    keep_events (s, m);
  s->offset += m->count;
  metrics_add (METRIC_events_total, m->count);
  if (s->want_stream
      && http_request_stream_backlog (s->request) > BACKLOG_MAX_BYTES)
    http_request_abort (s->request);
}

/* The prompt is prefilled: goes on where a place was found, or, where that
   engine has left the file, anywhere.  */
static void
decode_at_planned (struct entry_stream *s)
{
  const struct catalog *catalog = conf_catalog (s->entry->conf);
  route_engine e = s->decode_engine ? router_find (catalog_router (catalog),
                                                   s->decode_engine)
                                    : ROUTE_NONE;
  s->ask.phase = PHASE_DECODE;
  if (e == ROUTE_NONE)
    {
      route (s);
      return;
    }
  g_free (s->engine);
  g_free (s->request_id);
  s->engine = g_strdup (s->decode_engine);
  s->request_id
      = request_id_make (s->entry->ctx->fleet_key, s->caller, s->engine);
  open_at_home (s, false, false);
}

/* The home VM tells the engine's load with each end.  */
static void
learn_load (struct entry_stream *s, const struct stream_end *m)
{
  struct router *router = catalog_router (conf_catalog (s->entry->conf));
  route_engine e = s->engine ? router_find (router, s->engine) : ROUTE_NONE;
  if (e == ROUTE_NONE || s->peer == 0)
    return;
  struct route_load load = *router_load (router, e);
  load.running = (uint32_t)m->running;
  load.queued_tokens = (uint32_t)m->queued_tokens;
  router_report (router, e, &load, clock_ms ());
}

static void
take_end (struct entry_stream *s, const struct stream_end *m)
{
  learn_load (s, m);
  /* "Not run" would be untrue of a stream that is being gone on with.  */
  bool ran = s->offset > 0 || s->body == NULL;
  if (m->result == RESULT_NOT_RUN && ran)
    stream_fail (s, RESULT_STREAM_LOST, m->detail, 0);
  else if (m->result == RESULT_OK && s->phase == PHASE_PREFILL)
    {
      g_free (s->kv_source);
      s->kv_source = g_strdup (m->kv_source);
      s->phase = PHASE_DECODE;
      s->ask.avoid = ROUTE_NONE;
      decode_at_planned (s);
    }
  else if (m->result == RESULT_OK)
    stream_whole (s);
  else if (m->result == RESULT_NOT_RUN || m->result == RESULT_UPSTREAM_ERROR)
    route_again (s, (enum result)m->result, m->detail, m->retry_after_ms);
  else
    stream_fail (s, (enum result)m->result, m->detail, m->retry_after_ms);
}

void
entry_take_frame (struct entry *e, peer_handle peer, const struct frame *f)
{
  const struct stream_data *data = f->message;
  const struct stream_end *end = f->message;
  uint64_t id = f->type == MESSAGE_STREAM_DATA ? data->stream : end->stream;
  struct entry_stream *s = g_hash_table_lookup (e->streams, &id);
  if (s == NULL || s->peer != peer)
    return;
  if (f->type == MESSAGE_STREAM_DATA)
    take_data (s, data);
  else
    take_end (s, end);
}

void
entry_peer_gone (struct entry *e, peer_handle peer)
{
  g_autoptr (GList) all = g_hash_table_get_values (e->streams);
  for (GList *l = all; l; l = l->next)
    {
      struct entry_stream *s = l->data;
      if (s->peer != peer)
        continue;
      metrics_add (METRIC_streams_moved_total, 1);
      log_event (LOG_INFO, "stream_moved", "request", s->request_id, "events",
                 log_num ((long long)s->offset), NULL);
      s->peer = 0;
      /* A prefill order leaves nothing to go on with; it is made again.  */
      open_at_home (s, s->phase != PHASE_PREFILL, true);
    }
}

/* Requests.  */

static struct entry_stream *
stream_create (struct entry *e, struct http_request *r,
               const struct file_caller *caller)
{
  struct entry_stream *s = g_new0 (struct entry_stream, 1);
  s->entry = e;
  s->id = ++e->next_id;
  s->request = r;
  s->caller = g_strdup (caller->name);
  s->priority = caller->class == FILE_CALLER_CLASS_BATCH
                    ? 0
                    : (unsigned)caller->priority;
  s->ask.avoid = ROUTE_NONE;
  s->start_us = g_get_monotonic_time ();
  s->deadline_ms = clock_ms () + (int64_t)caller->deadline_ms;
  span_start (&s->span, "entry", http_request_header (r, "traceparent"));
  g_hash_table_insert (e->streams, &s->id, s);
  metrics_set (METRIC_streams_open, g_hash_table_size (e->streams));
  http_request_on_close (r, on_caller_gone, s);
  return s;
}

/* A caller may shorten its deadline.  */
static void
read_deadline (struct entry_stream *s)
{
  const char *header = http_request_header (s->request, "X-Deadline-Ms");
  guint64 ms = 0;
  if (header
      && g_ascii_string_to_unsigned (header, 10, 1, G_MAXUINT32, &ms, NULL))
    s->deadline_ms = MIN (s->deadline_ms, clock_ms () + (int64_t)ms);
}

static size_t
prompt_bytes (const json_t *messages, XXH64_state_t *prefix)
{
  size_t n = 0, hashed = 0;
  size_t i;
  json_t *m;
  json_array_foreach (messages, i, m)
    {
      json_t *content = json_object_get (m, "content");
      size_t size = json_string_length (content);
      size_t part = MIN (size, ROUTE_PREFIX_BYTES - hashed);
      if (part > 0)
        XXH64_update (prefix, json_string_value (content), part);
      hashed += part;
      n += size;
    }
  return n;
}

static void
read_prompt (struct entry_stream *s)
{
  XXH64_state_t *prefix = XXH64_createState ();
  XXH64_reset (prefix, 0);
  size_t n = prompt_bytes (json_object_get (s->body, "messages"), prefix);
  s->ask.prefix = XXH64_digest (prefix);
  XXH64_freeState (prefix);
  s->ask.prompt_tokens = (uint32_t)(n / BYTES_PER_TOKEN) + 1;
  s->ask.prefix_tokens
      = MIN (s->ask.prompt_tokens, ROUTE_PREFIX_BYTES / BYTES_PER_TOKEN);
}

/* Counts what is asked for, whether it can be served or not.  */
static void
count_demand (struct entry_stream *s)
{
  struct entry *e = s->entry;
  const struct file *file = conf_file (e->conf);
  const struct file_model *m
      = &g_array_index (file->models, struct file_model, s->ask.model);
  json_t *max = json_object_get (s->body, "max_tokens");
  s->long_answer = !max || json_integer_value (max) > SHORT_ANSWER_TOKENS;
  if (s->ask.model >= DEMAND_MODELS_MAX)
    return;
  struct demand *d = &e->demand[s->ask.model];
  d->answers++;
  d->prefill_ms += (uint32_t)((uint64_t)s->ask.prompt_tokens * 1000
                              / m->prefill_tokens_per_s);
  d->decode_ms += (uint32_t)(e->mean_tokens[s->long_answer]
                             * (double)m->token_us / 1000);
}

GBytes *
entry_demand (const struct entry *e)
{
  const struct file *file = conf_file (e->conf);
  size_t n = file ? MIN (file->models->len, DEMAND_MODELS_MAX) : 0;
  return demand_pack (e->demand, n);
}

bool
entry_admit (struct entry *e, struct http_request *r,
             const struct file_caller *caller)
{
  const GPtrArray *all = members_all (e->ctx->members);
  unsigned usable = 0;
  for (guint i = 0; i < all->len; i++)
    usable += member_usable (g_ptr_array_index (all, i));
  uint32_t wait = 0;
  double rate = (double)caller->requests_per_s / MAX (usable, 1);
  if (limits_take (e->limits, caller->name, rate, clock_ms (), &wait))
    return true;
  reply_error (r, RESULT_OVER_LIMIT, NULL, wait);
  return false;
}

static json_t *
parse_body (struct http_request *r)
{
  size_t n = 0;
  const char *data = http_request_body (r, &n);
  json_error_t error;
  json_t *body = json_loadb (data, n, 0, &error);
  if (json_is_object (body)
      && json_is_array (json_object_get (body, "messages"))
      && json_is_string (json_object_get (body, "model")))
    return body;
  g_autofree char *text
      = body ? g_strdup ("the body needs \"model\" and \"messages\"")
             : g_strdup_printf ("the body is no JSON: line %d: %s", error.line,
                                error.text);
  json_decref (body);
  reply_error (r, RESULT_BAD_REQUEST, text, 0);
  return NULL;
}

void
entry_chat (struct entry *e, struct http_request *r,
            const struct file_caller *caller)
{
  const char *last = http_request_header (r, "Last-Event-ID");
  g_autofree char *request_id = NULL;
  uint64_t count = 0;
  if (last && event_id_split (last, &request_id, &count))
    {
      entry_resume (e, r, caller, request_id);
      return;
    }
  json_t *body = parse_body (r);
  if (body == NULL)
    return;
  const char *model = json_string_value (json_object_get (body, "model"));
  uint32_t number = catalog_model (conf_catalog (e->conf), model);
  if (number == UINT32_MAX || !texts_hold (caller->models, model))
    {
      reply_error (r, RESULT_FORBIDDEN, "this caller may not use that model",
                   0);
      json_decref (body);
      return;
    }
  retry_earn (&e->retries);
  struct entry_stream *s = stream_create (e, r, caller);
  s->body = body;
  s->want_stream = json_is_true (json_object_get (body, "stream"));
  s->text = g_string_new (NULL);
  s->ask.model = number;
  read_deadline (s);
  read_prompt (s);
  count_demand (s);
  route (s);
}

void
entry_resume (struct entry *e, struct http_request *r,
              const struct file_caller *caller, const char *request_id)
{
  const char *last = http_request_header (r, "Last-Event-ID");
  g_autofree char *named = NULL;
  g_autofree char *engine = NULL;
  uint64_t count = 0;
  if (last
      && (!event_id_split (last, &named, &count)
          || strcmp (named, request_id) != 0))
    {
      reply_error (r, RESULT_BAD_REQUEST,
                   "Last-Event-ID is not of this stream", 0);
      return;
    }
  if (!request_id_check (e->ctx->fleet_key, caller->name, request_id, &engine))
    {
      reply_error (r, RESULT_FORBIDDEN, "this stream is not this caller's", 0);
      return;
    }
  if (catalog_find (conf_catalog (e->conf), engine) == NULL)
    {
      reply_error (r, RESULT_STREAM_LOST, NULL, 0);
      return;
    }
  metrics_add (METRIC_streams_resumed_total, 1);
  struct entry_stream *s = stream_create (e, r, caller);
  s->want_stream = true;
  s->request_id = g_strdup (request_id);
  s->engine = g_steal_pointer (&engine);
  s->offset = count;
  s->phase = PHASE_DECODE;
  s->ask.prompt_tokens = 1;
  open_at_home (s, true, false);
}

unsigned
entry_open_streams (const struct entry *e)
{
  return g_hash_table_size (e->streams);
}

struct entry *
entry_create (const struct context *ctx, struct conf *conf,
              entry_to_home *to_own_home, void *arg)
{
  struct entry *e = g_new0 (struct entry, 1);
  e->ctx = ctx;
  e->conf = conf;
  e->to_home = to_own_home;
  e->arg = arg;
  e->streams
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, stream_free);
  e->limits = limits_create ();
  e->mean_tokens[0] = 1;
  e->mean_tokens[1] = FIRST_MEAN_TOKENS;
  return e;
}

void
entry_destroy (struct entry *e)
{
  if (e == NULL)
    return;
  g_hash_table_destroy (e->streams);
  limits_destroy (e->limits);
  g_free (e);
}
