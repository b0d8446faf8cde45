#include "daemon/entry.h"

#include "base/log.h"
#include "base/metrics.h"
#include "config.h"
#include "daemon/entry_stream.h"
#include "daemon/reply.h"
#include "daemon/request_id.h"

#include <string.h>
#include <xxhash.h>

/* Estimate: the prompt is not tokenized here.  */
#define PROMPT_BYTES_PER_TOKEN 4
/* The response to a request with max_tokens up to this counts as short.  */
#define SHORT_RESPONSE_MAX_TOKENS 16
/* Mean length of long responses until requests have been measured.  */
#define INITIAL_MEAN_TOKENS 200

/* Frames from home VMs.  */

/* Gives the router the engine's load from M; each stream_end frame carries it.
   If this VM is the home VM, the router has the load already.  */
static void
update_engine_load (struct entry_stream *s, const struct stream_end *m)
{
  struct router *router = catalog_router (conf_catalog (s->entry->conf));
  route_engine e = s->engine ? router_find (router, s->engine) : ROUTE_NONE;
  if (e == ROUTE_NONE || s->peer == 0)
    return;
  struct route_load load = *router_load (router, e);
  load.running = (uint32_t)m->running;
  load.queued_tokens = (uint32_t)m->queued_tokens;
  router_set_load (router, e, &load, clock_ms ());
}

static void
handle_stream_end (struct entry_stream *s, const struct stream_end *m)
{
  update_engine_load (s, m);
  /* RESULT_NOT_RUN states that no engine ran the request.  That is false once
     events were received, and for a resumed stream, which has no request
     body.  */
  bool ran = s->offset > 0 || s->body == NULL;
  if (m->result == RESULT_NOT_RUN && ran)
    entry_stream_fail (s, RESULT_STREAM_LOST, m->detail, 0);
  else if (m->result == RESULT_OK && s->phase == PHASE_PREFILL)
    {
      g_free (s->kv_source);
      s->kv_source = g_strdup (m->kv_source);
      s->phase = PHASE_DECODE;
      s->routing.avoid = ROUTE_NONE;
      entry_route_decode (s);
    }
  else if (m->result == RESULT_OK)
    entry_stream_complete (s);
  else if (m->result == RESULT_NOT_RUN || m->result == RESULT_UPSTREAM_ERROR)
    entry_route_retry (s, (enum result)m->result, m->detail, m->retry_after_ms,
                       m->draining ? RETRY_AFTER_DRAIN : RETRY_AFTER_FAILURE);
  else
    entry_stream_fail (s, (enum result)m->result, m->detail,
                       m->retry_after_ms);
}

void
entry_handle_frame (struct entry *e, peer_handle peer, const struct frame *f)
{
  const struct stream_data *data = f->message;
  const struct stream_end *end = f->message;
  uint64_t id = f->type == MESSAGE_STREAM_DATA ? data->stream : end->stream;
  struct entry_stream *s = g_hash_table_lookup (e->streams, &id);
  if (s == NULL || s->peer != peer)
    return;
  if (f->type == MESSAGE_STREAM_DATA)
    entry_stream_handle_data (s, data);
  else
    handle_stream_end (s, end);
}

void
entry_peer_closed (struct entry *e, peer_handle peer)
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
      /* A prefill request has no stream to resume, so it is sent again.  */
      entry_stream_open (s, s->phase != PHASE_PREFILL, true);
    }
}

/* Requests from callers.  */

/* Called when the caller's connection closes before the end of the response.
   A stream whose headers were sent is left running at the engine, as the
   caller may resume it.  Any other request can't be resumed: cancels it.  */
static void
on_caller_gone (void *arg)
{
  struct entry_stream *s = arg;
  struct stream_cancel m
      = { .stream = s->id, .keep = s->want_stream && s->headers_sent };
  s->request = NULL;
  entry_stream_log_end (s, RESULT_STREAM_LOST,
                        "connection to the caller closed before the end of "
                        "the response");
  entry_stream_send_to_home (s, MESSAGE_STREAM_CANCEL, &m);
  entry_stream_remove (s);
}

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
  s->routing.avoid = ROUTE_NONE;
  s->start_us = g_get_monotonic_time ();
  s->deadline_ms = http_request_since_ms (r) + (int64_t)caller->deadline_ms;
  span_start (&s->span, "entry", http_request_header (r, "traceparent"));
  g_hash_table_insert (e->streams, &s->id, s);
  metrics_set (METRIC_streams_open, g_hash_table_size (e->streams));
  http_request_on_close (r, on_caller_gone, s);
  return s;
}

/* Lowers the deadline to X-Deadline-Ms, from 1 to 2^32 - 1 ms after the
   request can have come.  A malformed value, or one that would raise the
   deadline, is ignored.  */
static void
read_deadline (struct entry_stream *s)
{
  const char *header = http_request_header (s->request, "X-Deadline-Ms");
  guint64 ms = 0;
  if (header
      && g_ascii_string_to_unsigned (header, 10, 1, G_MAXUINT32, &ms, NULL))
    s->deadline_ms = MIN (s->deadline_ms,
                          http_request_since_ms (s->request) + (int64_t)ms);
}

/* Returns the size of the messages' contents, and adds their first
   ROUTE_PREFIX_BYTES to the hash PREFIX.  */
static size_t
hash_prompt (const json_t *messages, XXH64_state_t *prefix)
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
parse_prompt (struct entry_stream *s)
{
  XXH64_state_t *prefix = XXH64_createState ();
  XXH64_reset (prefix, 0);
  size_t n = hash_prompt (json_object_get (s->body, "messages"), prefix);
  s->routing.prefix = XXH64_digest (prefix);
  XXH64_freeState (prefix);
  s->routing.prompt_tokens = (uint32_t)(n / PROMPT_BYTES_PER_TOKEN) + 1;
  s->routing.prefix_tokens = MIN (s->routing.prompt_tokens,
                                  ROUTE_PREFIX_BYTES / PROMPT_BYTES_PER_TOKEN);
}

/* Adds the request to the demand of its model, even if no engine can serve it:
   the order holder chooses engine roles by the demand.  */
static void
count_demand (struct entry_stream *s)
{
  struct entry *e = s->entry;
  const struct file *file = conf_file (e->conf);
  const struct file_model *m
      = &g_array_index (file->models, struct file_model, s->routing.model);
  json_t *max = json_object_get (s->body, "max_tokens");
  s->long_response
      = !max || json_integer_value (max) > SHORT_RESPONSE_MAX_TOKENS;
  if (s->routing.model >= DEMAND_MODELS_MAX)
    return;
  struct demand *d = &e->demand[s->routing.model];
  d->requests++;
  d->prefill_ms += (uint32_t)((uint64_t)s->routing.prompt_tokens * 1000
                              / m->prefill_tokens_per_s);
  d->decode_ms += (uint32_t)(e->mean_tokens[s->long_response]
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
  if (limits_admit (e->limits, caller->name, rate, clock_ms (), &wait))
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
      = body ? g_strdup ("request body must be a JSON object with a string "
                         "\"model\" and an array \"messages\"")
             : g_strdup_printf ("request body is not valid JSON: line %d: %s",
                                error.line, error.text);
  json_decref (body);
  reply_error (r, RESULT_BAD_REQUEST, text, 0);
  return NULL;
}

void
entry_chat (struct entry *e, struct http_request *r,
            const struct file_caller *caller)
{
  const char *last_event_id = http_request_header (r, "Last-Event-ID");
  g_autofree char *request_id = NULL;
  uint64_t count = 0;
  if (last_event_id && event_id_parse (last_event_id, &request_id, &count))
    {
      entry_resume (e, r, caller, request_id);
      return;
    }
  json_t *body = parse_body (r);
  if (body == NULL)
    return;
  const char *model = json_string_value (json_object_get (body, "model"));
  uint32_t model_index = catalog_model_index (conf_catalog (e->conf), model);
  if (model_index == UINT32_MAX
      || !string_array_contains (caller->models, model))
    {
      reply_error (r, RESULT_FORBIDDEN,
                   "model is unknown or not allowed for this caller", 0);
      json_decref (body);
      return;
    }
  retry_budget_deposit (&e->retries);
  struct entry_stream *s = stream_create (e, r, caller);
  s->body = body;
  s->want_stream = json_is_true (json_object_get (body, "stream"));
  s->response_text = g_string_new (NULL);
  s->routing.model = model_index;
  read_deadline (s);
  parse_prompt (s);
  count_demand (s);
  entry_route (s);
}

void
entry_resume (struct entry *e, struct http_request *r,
              const struct file_caller *caller, const char *request_id)
{
  const char *last_event_id = http_request_header (r, "Last-Event-ID");
  g_autofree char *event_request_id = NULL;
  g_autofree char *engine = NULL;
  uint64_t count = 0;
  if (last_event_id
      && (!event_id_parse (last_event_id, &event_request_id, &count)
          || strcmp (event_request_id, request_id) != 0))
    {
      reply_error (
          r, RESULT_BAD_REQUEST,
          "Last-Event-ID must be REQUEST_ID:COUNT with the request id of "
          "this stream",
          0);
      return;
    }
  if (!request_id_check (e->ctx->fleet_key, caller->name, request_id, &engine))
    {
      reply_error (r, RESULT_FORBIDDEN,
                   "request id is malformed or was not issued to this caller",
                   0);
      return;
    }
  if (catalog_find_engine (conf_catalog (e->conf), engine) == NULL)
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
  s->routing.prompt_tokens = 1;
  entry_stream_open (s, true, false);
}

unsigned
entry_open_requests (const struct entry *e)
{
  return g_hash_table_size (e->streams);
}

struct entry *
entry_create (const struct context *ctx, struct conf *conf,
              entry_home_callback *to_own_home, void *arg)
{
  struct entry *e = g_new0 (struct entry, 1);
  e->ctx = ctx;
  e->conf = conf;
  e->to_home = to_own_home;
  e->arg = arg;
  e->streams = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                      entry_stream_free);
  e->limits = limits_create ();
  e->mean_tokens[0] = 1;
  e->mean_tokens[1] = INITIAL_MEAN_TOKENS;
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
