/** @file
    Stand-in of one instance of a service or engine, down to the bytes.

    The last part of a request's path says what becomes of it: DIRECTIVE, or
    DIRECTIVE@ID, which holds only for the instance ID; others answer as "ok",
   or as "stream" in place of another stream.

      ok             a whole answer that names what was asked
      chunked        the same in chunks
      unframed       the same, ended by the connection's end
      unframed-reset the same, reset before it
      cut            less than the length that it told
      lost           runs, then closes without an answer
      reset          runs, then resets the connection
      silent         runs and never answers
      not-run        503, marked as not run
      early          the same before the body is there; the rest is not read
      busy           503 without a mark
      error          500
      unsigned       200 without the upstream's mark
      garbage        bytes that are no answer
      extra          an answer, and a second one of another request behind it
      stray          an answer of another request before its own
      slow           answers after 300 ms
      stream         5 events, 20 ms apart, after Last-Event-Id
      stream-cut     2 events and a part of the third, unless it goes on
      long           events without end, 20 ms apart
      two            2 events at once
      fast           1,000 events at once
      held           1 event, and then nothing

    With --stage=prefill or --stage=decode it is an engine that reads prompts
    at --speed tokens in a millisecond, half of it where it also generates, and
    then tells 2 events.  What it has read is named ID-NUMBER.

    Each run is told on standard error: "run=ID at_us=N"; each prompt:
    "read=ID tokens=N queue_ms=N"; each order, which holds at once:
    "order=STAGE holder=VM fence=N at_us=N"; a request that goes on from what
   was read for another: "mixed=ID".

    With --own-fields it speaks the fields of routes from the product's own
    file, which have no mark: "unsigned" is then a whole answer.  Its name is
    then ID@IP:PORT.

    GET /seen tells {"runs":{ID:COUNT},"left":N,"heads":{ID:HEAD}}.  */
#include "fakes/prefill_model.h"
#include "fakes/upstream_response.h"

#include "base/http_head.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#define SPEED_TOKENS_PER_MS 100.0
#define FETCH_MS 4
/* An engine refuses what it could read only after as long.  */
#define QUEUE_MOST_MS 2000.0
#define US_PER_MS 1000.0

static const struct answer_fields platform_fields
    = { "X-Request-Id", "X-Expect-Instance", "X-Not-Run", "X-Response-Seal" };
static const struct answer_fields own_fields
    = { NULL, "X-Upstream", "X-Refused", NULL };

static struct event_base *base;
static const struct answer_fields *fields = &platform_fields;
static const char *instance = "u1";
static GHashTable *runs;  /* request id -> count */
static GHashTable *heads; /* request id -> head as it came */
static unsigned left;     /* callers that left before their answer */
static const char *stage; /* of an engine; NULL for other instances */
static struct reading *reading;
static unsigned handles;

/* The prompt has been read for another engine.  */
static void
tell_handle (struct conn *c)
{
  g_autofree char *body = g_strdup_printf (
      "{\"kvHandle\":\"%s-%u\",\"tokens\":1,\"version\":1}", c->id, ++handles);
  answer_sized (c, c->id, "200 OK", true, body, strlen (body));
  answer_finish (c, false);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct conn *c = arg;
  if (c->directive && strcmp (c->directive, "read") == 0)
    tell_handle (c);
  else if (c->directive && strcmp (c->directive, "generate") == 0)
    answer_burst (c, 2, false);
  else if (c->directive)
    answer_go_on (c);
}

static void
note_run (const char *id)
{
  gpointer n = g_hash_table_lookup (runs, id);
  g_hash_table_replace (runs, g_strdup (id),
                        GUINT_TO_POINTER (GPOINTER_TO_UINT (n) + 1));
  (void)fprintf (stderr, "run=%s at_us=%" G_GINT64_FORMAT "\n", id,
                 g_get_monotonic_time ());
}

static void
tell_seen (struct conn *c)
{
  json_t *counts = json_object ();
  json_t *texts = json_object ();
  GHashTableIter it;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&it, runs);
  while (g_hash_table_iter_next (&it, &key, &value))
    json_object_set_new (counts, key, json_integer (GPOINTER_TO_UINT (value)));
  g_hash_table_iter_init (&it, heads);
  while (g_hash_table_iter_next (&it, &key, &value))
    json_object_set_new (texts, key, json_string (value));
  json_t *root = json_pack ("{s:o, s:i, s:o}", "runs", counts, "left",
                            (int)left, "heads", texts);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  answer_sized (c, "-", "200 OK", false, text, strlen (text));
  free (text);
  answer_finish (c, false);
}

/* DIRECTIVE or DIRECTIVE@ID, after the last slash.  */
static char *
directive_of (const char *target)
{
  g_autofree char *path = g_strndup (target, strcspn (target, "?"));
  const char *slash = strrchr (path, '/');
  char *d = g_strdup (slash ? slash + 1 : "ok");
  char *at = strchr (d, '@');
  if (at == NULL)
    return d;
  *at = '\0';
  if (strcmp (at + 1, instance) == 0)
    return d;
  bool streams = g_str_has_prefix (d, "stream");
  g_free (d);
  return g_strdup (streams ? "stream" : "ok");
}

/* Reads the prompt and goes on as DIRECTIVE; refuses where it would take too
   long.  */
static void
read_prompt (struct conn *c, const char *directive)
{
  const struct http_head *h = http_codec_head (c->codec);
  const char *counts = http_head_get (h, "X-Token-Counts");
  struct reading_time t
      = reading_take (reading, g_ascii_strtoull (counts, NULL, 10),
                      http_head_get (h, "X-Prompt-Prefix"),
                      (double)g_get_monotonic_time () / US_PER_MS);
  (void)fprintf (stderr,
                 "read=%s tokens=%" G_GUINT64_FORMAT " queue_ms=%.0f\n", c->id,
                 t.tokens, t.queue_ms);
  if (t.queue_ms > QUEUE_MOST_MS)
    {
      answer_refuse (c, "503 Full");
      return;
    }
  if (strcmp (directive, "generate") == 0)
    note_run (c->id);
  g_free (c->directive);
  c->directive = g_strdup (directive);
  answer_arm (c, (unsigned)t.all_ms + 1);
}

/* Goes on from what another engine has read.  */
static void
fetch_prompt (struct conn *c, const char *source)
{
  const char *handle = strchr (source, '/');
  if (handle == NULL || !g_str_has_prefix (handle + 1, c->id))
    (void)fprintf (stderr, "mixed=%s\n", c->id);
  note_run (c->id);
  g_free (c->directive);
  c->directive = g_strdup ("generate");
  answer_arm (c, FETCH_MS);
}

/* A model request at an engine.  */
static void
take_model_request (struct conn *c)
{
  const struct http_head *h = http_codec_head (c->codec);
  const char *source = http_head_get (h, "X-Kv-Source");
  bool only_read = http_head_get (h, "X-Stage") != NULL;
  if (only_read != (strcmp (stage, "prefill") == 0))
    answer_refuse (c, "421 Wrong stage");
  else if (only_read)
    read_prompt (c, "read");
  else if (source)
    fetch_prompt (c, source);
  else
    read_prompt (c, "generate");
}

/* An order to take another stage.  */
static void
take_order (struct conn *c)
{
  json_t *root = json_loadb ((const char *)evbuffer_pullup (c->body, -1),
                             evbuffer_get_length (c->body), 0, NULL);
  const char *to = json_string_value (json_object_get (root, "stage"));
  const char *holder = json_string_value (json_object_get (root, "holder"));
  json_int_t fence = json_integer_value (json_object_get (root, "fence"));
  bool good = to && holder && fence > 0
              && g_strcmp0 (json_string_value (json_object_get (root, "op")),
                            "stage")
                     == 0;
  if (good)
    {
      (void)fprintf (
          stderr, "order=%s holder=%s fence=%lld at_us=%" G_GINT64_FORMAT "\n",
          to, holder, (long long)fence, g_get_monotonic_time ());
      stage = strcmp (to, "prefill") == 0 ? "prefill" : "decode";
    }
  json_decref (root);
  answer_sized (c, "-", good ? "202 Accepted" : "400 Bad", false, "", 0);
  answer_finish (c, false);
}

static void
note_head (const struct conn *c)
{
  g_autoptr (GString) text = g_string_new (NULL);
  http_head_write (http_codec_head (c->codec), text);
  g_hash_table_replace (heads, g_strdup (c->id), g_strdup (text->str));
}

/* The head is there and the body is not: refuses where it is asked to.  */
static void
look_at_head (struct conn *c)
{
  const struct http_head *h = http_codec_head (c->codec);
  const char *id = http_head_get (h, "X-Request-Id");
  g_autofree char *directive = directive_of (h->target);
  if (strcmp (directive, "early") != 0)
    return;
  c->id = g_strdup (id ? id : "-");
  note_head (c);
  answer_refuse (c, "503 Full");
  c->close_after = true;
}

static void
take_request (struct conn *c)
{
  const struct http_head *h = http_codec_head (c->codec);
  const char *id = http_head_get (h, "X-Request-Id");
  const char *expected = http_head_get (h, fields->instance);
  c->working = true;
  c->id = g_strdup (id ? id : "-");
  if (strcmp (h->target, "/seen") == 0)
    {
      tell_seen (c);
      return;
    }
  if (strcmp (h->target, "/api/order") == 0)
    {
      take_order (c);
      return;
    }
  c->directive = directive_of (h->target);
  note_head (c);
  if (expected && strcmp (expected, instance) != 0)
    answer_refuse (c, "421 Misdirected");
  else if (strcmp (c->directive, "not-run") == 0)
    answer_refuse (c, "503 Full");
  else if (strcmp (h->method, "DELETE") == 0)
    {
      answer_ok (c);
      answer_finish (c, false);
    }
  else if (stage && http_head_get (h, "X-Token-Counts"))
    take_model_request (c);
  else
    {
      note_run (c->id);
      answer_run (c);
    }
}

static void
on_readable (struct bufferevent *bev, void *arg)
{
  struct conn *c = arg;
  struct evbuffer *in = bufferevent_get_input (bev);
  if (c->working || c->close_after || evbuffer_get_length (in) == 0)
    return;
  enum http_progress p = http_codec_feed (c->codec, in, c->body);
  if (p == HTTP_COMPLETE)
    take_request (c);
  else if (p == HTTP_IN_BODY)
    look_at_head (c);
}

static void
on_written (struct bufferevent *bev, void *arg)
{
  (void)bev;
  struct conn *c = arg;
  if (c->close_after)
    answer_conn_free (c);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  (void)bev;
  struct conn *c = arg;
  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  left += c->working;
  answer_conn_free (c);
}

static void
on_accept (struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
           int len, void *arg)
{
  static const struct http_size_limits none = { 0, 0 };
  (void)l;
  (void)sa;
  (void)len;
  (void)arg;
  int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  struct conn *c = g_new0 (struct conn, 1);
  c->bev = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  c->codec = http_codec_create (HTTP_SIDE_REQUESTS, &none);
  c->body = evbuffer_new ();
  c->timer = evtimer_new (base, on_timer, c);
  bufferevent_setcb (c->bev, on_readable, on_written, on_event, c);
  bufferevent_enable (c->bev, EV_READ | EV_WRITE);
}

static void
on_term (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  event_base_loopbreak (base);
}

int
main (int argc, char **argv)
{
  struct sockaddr_in sa
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof sa;
  double speed = SPEED_TOKENS_PER_MS;
  for (int i = 1; i < argc; i++)
    if (g_str_has_prefix (argv[i], "--stage="))
      stage = argv[i] + strlen ("--stage=");
    else if (g_str_has_prefix (argv[i], "--speed="))
      speed = g_ascii_strtod (argv[i] + strlen ("--speed="), NULL);
    else if (g_str_has_prefix (argv[i], "--id="))
      instance = argv[i] + strlen ("--id=");
    else if (strcmp (argv[i], "--own-fields") == 0)
      fields = &own_fields;
    else if (g_str_has_prefix (argv[i], "--port="))
      sa.sin_port = htons (
          (uint16_t)g_ascii_strtoull (argv[i] + strlen ("--port="), NULL, 10));
  (void)signal (SIGPIPE, SIG_IGN);
  base = event_base_new ();
  reading = reading_create (stage && strcmp (stage, "decode") == 0 ? speed / 2
                                                                   : speed);
  runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  heads = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  struct evconnlistener *l = evconnlistener_new_bind (
      base, on_accept, NULL, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      (struct sockaddr *)&sa, sizeof sa);
  if (l == NULL)
    g_error ("cannot listen");
  getsockname (evconnlistener_get_fd (l), (struct sockaddr *)&sa, &len);
  unsigned port = ntohs (sa.sin_port);
  g_autofree char *named = g_strdup_printf ("%s@127.0.0.1:%u", instance, port);
  if (fields == &own_fields)
    instance = named;
  answer_setup (fields, instance);
  printf ("port=%u\n", port);
  (void)fflush (stdout);
  struct event *term = evsignal_new (base, SIGTERM, on_term, NULL);
  event_add (term, NULL);
  event_base_dispatch (base);
  event_free (term);
  evconnlistener_free (l);
  event_base_free (base);
  reading_destroy (reading);
  g_hash_table_destroy (runs);
  g_hash_table_destroy (heads);
  return 0;
}
