/** @file
    Stand-in for a model engine: OpenAI-compatible chat completions as
    server-sent events, resumption and cancellation of streams, remote prefill
    (disaggregated prefill/decode), and orders that change the engine's role or
    model version, with or without a check of the fencing token.

    Flags: --id (name of the engine), --fencing=1 (reject orders with an old
    fencing token), --token-ms (time per generated token), --prefill-rate
    (tokens per second), --change-ms (duration of a change), --role (initial
    role).
    GET /seen returns all streams and orders.  Faults in addition to those of
    faults.h:
      cut_after N     once per stream, close its connection after N events
      stall_after N   once per stream, send nothing more on its connection
                      after N events
      endless_event 1 send an event without end instead of each event
      order_delay_ms  time before an order is handled  */
#include "fakes/faults.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Generation continues for this long after the client closed its connection,
   so that the client can resume the stream.  */
#define LINGER_MS 10000
#define KEEP_DONE_MS 30000
#define BYTES_PER_TOKEN 4
#define ENDLESS_PART_BYTES 65536

struct stream
{
  char *id;
  GPtrArray *events; /* char *, each one server-sent event */
  GString *text;
  struct evhttp_request *req; /* NULL while no client is attached */
  size_t sent;                /* index of the next event to send */
  size_t sent_on_conn;        /* events sent on this connection */
  unsigned tokens;            /* number of tokens to generate */
  unsigned n_generated;
  uint64_t digest; /* digest of the prompt; the text is derived from it */
  bool done;
  bool cancelled;
  bool fault_fired; /* cut_after or stall_after was applied */
  unsigned priority;
  gint64 detached_us; /* when the client closed its connection, or 0 */
  struct event *timer;
};

struct order
{
  char *id;
  gint64 fencing;
  char *role;
  char *version;
  char *verdict; /* stale (old fencing token), same (the order executed last),
                    busy (another change is running) or taken */
};

static GHashTable *streams; /* id -> struct stream */
static GArray *orders;
/* Time at which all accepted prompts are prefilled.  */
static gint64 prefill_free_us;
static unsigned token_ms, prefill_rate, change_ms;
/* Role and model version in force, and id of the order that set them, "" for
   none.  */
static char *role, *version, *order_id;
static gint64 fencing_seen; /* highest fencing token received */
static bool changing;
static gint64 start_us;
/* Running streams cut by orders, orders with an old fencing token that were
   not rejected as stale, accepted chat requests.  */
static unsigned cut_streams, conflicts, runs;

/* Generation and sending of streams.  */

static unsigned
running (void)
{
  unsigned n = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, streams);
  while (g_hash_table_iter_next (&it, NULL, &value))
    n += !((struct stream *)value)->done;
  return n;
}

static void
flush (struct stream *s)
{
  while (s->req && s->sent < s->events->len)
    {
      gint64 cut = fault ("cut_after"), stall = fault ("stall_after");
      if (cut && !s->fault_fired && s->sent_on_conn >= (size_t)cut)
        {
          s->fault_fired = true;
          fake_close_connection (s->req);
          s->req = NULL;
          return;
        }
      if (stall && !s->fault_fired && s->sent_on_conn >= (size_t)stall)
        {
          s->fault_fired = true;
          s->req = NULL; /* the connection stays open without data */
          return;
        }
      g_autofree char *endless = fault ("endless_event")
                                     ? g_strnfill (ENDLESS_PART_BYTES, 'x')
                                     : NULL;
      const char *event
          = endless ? endless : g_ptr_array_index (s->events, s->sent);
      struct evbuffer *out = evbuffer_new ();
      evbuffer_add (out, event, strlen (event));
      evhttp_send_reply_chunk (s->req, out);
      evbuffer_free (out);
      s->sent++;
      s->sent_on_conn++;
    }
  if (s->req && s->done)
    {
      evhttp_send_reply_end (s->req);
      s->req = NULL;
    }
}

static void
add_event (struct stream *s, const char *content, const char *reason)
{
  json_t *root = json_pack (
      "{s:s,s:s,s:[{s:i,s:{s:s},s:o}]}", "id", s->id, "object",
      "chat.completion.chunk", "choices", "index", 0, "delta", "content",
      content, "finish_reason", reason ? json_string (reason) : json_null ());
  g_autofree char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  g_ptr_array_add (s->events, g_strdup_printf ("data: %s\n\n", text));
  g_string_append (s->text, content);
}

static void
on_token (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct stream *s = arg;
  if (s->cancelled
      || (s->req == NULL && s->detached_us
          && g_get_monotonic_time () - s->detached_us > LINGER_MS * 1000))
    {
      s->done = true;
      return;
    }
  char word[32];
  if (s->tokens == 1)
    g_snprintf (word, sizeof word, "%s", s->digest & 1 ? "yes" : "no");
  else
    g_snprintf (word, sizeof word, "w%u-%04x ", s->n_generated,
                (unsigned)((s->digest >> (s->n_generated % 32)) & 0xffff));
  s->n_generated++;
  bool last = s->n_generated >= s->tokens;
  add_event (s, word, last ? "stop" : NULL);
  if (last)
    {
      g_ptr_array_add (s->events, g_strdup ("data: [DONE]\n\n"));
      s->done = true;
    }
  flush (s);
  if (s->done)
    return;
  struct timeval tv = { token_ms / 1000, (token_ms % 1000) * 1000 };
  evtimer_add (s->timer, &tv);
}

static void
on_connection_closed (struct evhttp_connection *conn, void *arg)
{
  (void)conn;
  struct stream *s = arg;
  if (s->req && evhttp_request_get_connection (s->req) == conn)
    {
      s->req = NULL;
      s->detached_us = g_get_monotonic_time ();
    }
}

static void
attach (struct stream *s, struct evhttp_request *req, size_t from)
{
  s->req = req;
  s->sent = from;
  s->sent_on_conn = 0;
  s->detached_us = 0;
  evhttp_connection_set_closecb (evhttp_request_get_connection (req),
                                 on_connection_closed, s);
  evhttp_add_header (evhttp_request_get_output_headers (req), "Content-Type",
                     "text/event-stream");
  evhttp_send_reply_start (req, 200, "OK");
  flush (s);
}

/* Queues the prefill of TOKENS behind the prompts accepted before.  Returns
   the time until it completes, in microseconds.  */
static gint64
prefill_delay_us (unsigned tokens)
{
  gint64 now = g_get_monotonic_time ();
  prefill_free_us = MAX (now, prefill_free_us)
                    + (gint64)tokens * G_USEC_PER_SEC / MAX (prefill_rate, 1);
  return prefill_free_us - now;
}

static unsigned
prompt_tokens (const json_t *body, uint64_t *digest)
{
  size_t n = 0, i;
  json_t *m;
  *digest = 0;
  json_array_foreach (json_object_get (body, "messages"), i, m)
    {
      json_t *content = json_object_get (m, "content");
      size_t size = json_string_length (content);
      *digest = XXH64 (json_string_value (content), size, *digest);
      n += size;
    }
  return (unsigned)(n / BYTES_PER_TOKEN) + 1;
}

static struct stream *
stream_create (const char *id, const json_t *body)
{
  struct stream *s = g_new0 (struct stream, 1);
  json_t *max = json_object_get (body, "max_tokens");
  s->id = g_strdup (id);
  s->events = g_ptr_array_new_with_free_func (g_free);
  s->text = g_string_new (NULL);
  s->tokens = max ? (unsigned)json_integer_value (max) : 20;
  s->priority
      = (unsigned)json_integer_value (json_object_get (body, "priority"));
  s->timer = evtimer_new (fake_base (), on_token, s);
  g_hash_table_replace (streams, s->id, s);
  return s;
}

struct prefill
{
  struct evhttp_request *req;
  uint64_t digest;
  struct event *timer;
};

static void
on_prefilled (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct prefill *p = arg;
  g_autofree char *source
      = g_strdup_printf ("%s/%016" G_GINT64_MODIFIER "x",
                         fake_flag ("id", "engine"), (guint64)p->digest);
  fake_reply_json (
      p->req, 200,
      json_pack ("{s:{s:s}}", "kv_transfer_params", "source", source));
  event_free (p->timer);
  g_free (p);
}

static void
handle_chat (struct evhttp_request *req)
{
  json_t *body = fake_body_json (req);
  const char *id = evhttp_find_header (evhttp_request_get_input_headers (req),
                                       "X-Request-Id");
  json_t *kv = json_object_get (body, "kv_transfer_params");
  uint64_t digest = 0;
  unsigned tokens = prompt_tokens (body, &digest);
  bool imported = json_is_true (json_object_get (kv, "do_remote_prefill"));
  if (id == NULL || changing)
    {
      fake_reply (
          req, changing ? 503 : 400, "text/plain",
          "X-Request-Id missing, or a change of role or version is running\n");
      json_decref (body);
      return;
    }
  runs++;
  gint64 us = imported ? 1000 : prefill_delay_us (tokens);
  struct timeval tv = { us / G_USEC_PER_SEC, us % G_USEC_PER_SEC };
  if (json_is_true (json_object_get (kv, "do_remote_decode")))
    {
      struct prefill *p = g_new0 (struct prefill, 1);
      *p = (struct prefill){ req, digest, NULL };
      p->timer = evtimer_new (fake_base (), on_prefilled, p);
      evtimer_add (p->timer, &tv);
    }
  else
    {
      struct stream *s = stream_create (id, body);
      s->digest = digest;
      attach (s, req, 0);
      evtimer_add (s->timer, &tv);
    }
  json_decref (body);
}

static void
handle_stream (struct evhttp_request *req, const char *id,
               struct evkeyvalq *query)
{
  struct stream *s = g_hash_table_lookup (streams, id);
  const char *offset = fake_query (query, "offset");
  guint64 from = offset ? g_ascii_strtoull (offset, NULL, 10) : 0;
  if (s == NULL)
    fake_reply (req, 404, "text/plain", "no such stream\n");
  else if (evhttp_request_get_command (req) == EVHTTP_REQ_DELETE)
    {
      s->cancelled = true;
      fake_reply (req, 200, "text/plain", "cancelled\n");
    }
  else if (s->cancelled || from > s->events->len)
    fake_reply (req, 410, "text/plain", "gone\n");
  else
    attach (s, req, from);
}

/* Orders that change role and version.  */

struct change
{
  char *role;
  char *version;
  char *id;
  gint64 fencing;
  struct evhttp_request *req;
  struct event *timer;
};

static json_t *
state_json (void)
{
  return json_pack ("{s:s,s:s,s:s,s:I,s:b,s:i,s:I}", "role", role, "version",
                    version, "order_id", order_id, "fencing",
                    (json_int_t)fencing_seen, "changing", changing, "running",
                    (int)running (), "uptime_ms",
                    (json_int_t)(g_get_monotonic_time () - start_us) / 1000);
}

static void
record_order (const struct change *c, const char *verdict)
{
  struct order o = { g_strdup (c->id), c->fencing, g_strdup (c->role),
                     g_strdup (c->version), g_strdup (verdict) };
  g_array_append_val (orders, o);
}

static void
change_free (struct change *c)
{
  if (c->timer)
    event_free (c->timer);
  g_free (c->role);
  g_free (c->version);
  g_free (c->id);
  g_free (c);
}

static void
on_changed (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct change *c = arg;
  changing = false;
  g_free (role);
  g_free (version);
  g_free (order_id);
  role = g_strdup (c->role);
  version = g_strdup (c->version);
  order_id = g_strdup (c->id);
  if (c->req)
    fake_reply_json (c->req, 200, state_json ());
  change_free (c);
}

/* Cuts the running streams when an order takes effect, and counts them.  The
   system under test must drain an engine before it orders a change.  */
static void
cut_running_streams (void)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, streams);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct stream *s = value;
      if (s->done)
        continue;
      cut_streams++;
      s->cancelled = true;
      s->done = true;
      if (s->req)
        fake_close_connection (s->req);
      s->req = NULL;
    }
}

static void
apply_request (struct change *c)
{
  bool checks = atoi (fake_flag ("fencing", "0")) != 0;
  bool same = strcmp (order_id, c->id) == 0;
  if (checks && c->fencing < fencing_seen)
    {
      record_order (c, "stale");
      fake_reply (c->req, 412, "text/plain", "stale fencing number\n");
      change_free (c);
      return;
    }
  if (!checks && c->fencing < fencing_seen && !same)
    conflicts++;
  fencing_seen = MAX (fencing_seen, c->fencing);
  if (same)
    {
      record_order (c, "same");
      fake_reply_json (c->req, 200, state_json ());
      change_free (c);
      return;
    }
  if (changing)
    {
      record_order (c, "busy");
      fake_reply (c->req, 409, "text/plain",
                  "another change of role or version is running\n");
      change_free (c);
      return;
    }
  record_order (c, "taken");
  cut_running_streams ();
  changing = true;
  c->timer = evtimer_new (fake_base (), on_changed, c);
  struct timeval tv = { change_ms / 1000, (change_ms % 1000) * 1000 };
  evtimer_add (c->timer, &tv);
}

static void
on_order_delay_end (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct change *c = arg;
  event_free (c->timer);
  c->timer = NULL;
  apply_request (c);
}

static const char *
get_string (const json_t *body, const char *key)
{
  const char *text = json_string_value (json_object_get (body, key));
  return text ? text : "";
}

static void
handle_order (struct evhttp_request *req)
{
  json_t *body = fake_body_json (req);
  struct change *c = g_new0 (struct change, 1);
  c->req = req;
  c->id = g_strdup (get_string (body, "order_id"));
  c->role = g_strdup (get_string (body, "role"));
  c->version = g_strdup (get_string (body, "version"));
  c->fencing = json_integer_value (json_object_get (body, "fencing"));
  json_decref (body);
  gint64 ms = fault ("order_delay_ms");
  if (ms == 0)
    {
      apply_request (c);
      return;
    }
  c->timer = evtimer_new (fake_base (), on_order_delay_end, c);
  struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };
  evtimer_add (c->timer, &tv);
}

/* State reported to tests, and HTTP dispatch.  */

static json_t *
seen_json (void)
{
  json_t *list = json_object ();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, streams);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct stream *s = value;
      json_object_set_new (list, s->id,
                           json_pack ("{s:s,s:b,s:b,s:i}", "text",
                                      s->text->str, "done", s->done,
                                      "cancelled", s->cancelled, "priority",
                                      (int)s->priority));
    }
  json_t *taken = json_array ();
  for (guint i = 0; i < orders->len; i++)
    {
      const struct order *o = &g_array_index (orders, struct order, i);
      json_array_append_new (
          taken, json_pack ("{s:s,s:I,s:s,s:s,s:s}", "order_id", o->id,
                            "fencing", (json_int_t)o->fencing, "role", o->role,
                            "version", o->version, "verdict", o->verdict));
    }
  return json_pack ("{s:o,s:o,s:i,s:i,s:i,s:o}", "streams", list, "orders",
                    taken, "cut", (int)cut_streams, "conflicts",
                    (int)conflicts, "runs", (int)runs, "state", state_json ());
}

static void
handle_metrics (struct evhttp_request *req)
{
  g_autofree char *text = g_strdup_printf (
      "num_requests_running %u\nnum_requests_waiting 0\n", running ());
  fake_reply (req, 200, "text/plain; version=0.0.4", text);
}

static void
handle (struct evhttp_request *req, const char *path, struct evkeyvalq *query)
{
  if (strcmp (path, "/v1/chat/completions") == 0)
    handle_chat (req);
  else if (g_str_has_prefix (path, "/v1/streams/"))
    handle_stream (req, path + strlen ("/v1/streams/"), query);
  else if (strcmp (path, "/metrics") == 0)
    handle_metrics (req);
  else if (strcmp (path, "/v1/admin/order") == 0)
    handle_order (req);
  else if (strcmp (path, "/v1/admin/state") == 0)
    fake_reply_json (req, 200, state_json ());
  else if (strcmp (path, "/seen") == 0)
    fake_reply_json (req, 200, seen_json ());
  else
    fake_reply (req, 404, "text/plain", "no such path\n");
}

int
main (int argc, char **argv)
{
  streams = g_hash_table_new (g_str_hash, g_str_equal);
  orders = g_array_new (FALSE, FALSE, sizeof (struct order));
  start_us = g_get_monotonic_time ();
  /* fake_flag works only once fake_run has started, too late for these.  */
  token_ms = 10;
  prefill_rate = 60000;
  change_ms = 200;
  role = g_strdup ("mixed");
  for (int i = 1; i < argc; i++)
    {
      if (g_str_has_prefix (argv[i], "--token-ms="))
        token_ms = (unsigned)atoi (argv[i] + 11);
      else if (g_str_has_prefix (argv[i], "--prefill-rate="))
        prefill_rate = (unsigned)atoi (argv[i] + 15);
      else if (g_str_has_prefix (argv[i], "--change-ms="))
        change_ms = (unsigned)atoi (argv[i] + 12);
      else if (g_str_has_prefix (argv[i], "--role="))
        {
          g_free (role);
          role = g_strdup (argv[i] + 7);
        }
    }
  version = g_strdup ("1");
  order_id = g_strdup ("");
  fake_run (argc, argv, handle);
  return 0;
}
