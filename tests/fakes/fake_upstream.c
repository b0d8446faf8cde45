/** @file
    Stand-in for one instance of a service or engine.  It writes the bytes of
    its responses itself, so that it can also send malformed ones.

    The last segment of a request's path is the directive for the response:
    DIRECTIVE, or DIRECTIVE@ID, which applies to the instance ID only.  Other
    instances then respond as to "ok", or as to "stream" if the directive
    starts with "stream".

      ok             complete response that repeats method, target, length and
                     digest of the request
      chunked        the same with chunked transfer encoding
      unframed       the same without length; closing the connection ends it
      unframed-reset the same, but the connection is reset after 20 ms
      cut            fewer bytes than Content-Length, then closes
      lost           runs the request, then closes without a response
      reset          runs the request, then resets the connection
      silent         runs the request and never responds
      not-run        503 with the header field for "not run"
      not-decoded    the same from an engine that is to decode; other engines
                     prefill
      pause          the same with "Retry-After: 2"
      leaving        as "ok", with "Server-Leaving: 1"
      early          as "not-run", sent before the body has arrived; the body
                     is not read
      early-KIND, status-STATUS and others: see upstream_invalid.h
      busy           503 without that header field
      error          500
      unsigned       200 without the seal of the instance
      garbage        bytes that are not HTTP
      extra          the response, followed by one to another request
      stray          a response to another request, followed by the right one
      again          sends the previous response on the connection once more,
                     then responds as "slow"
      slow           responds after 300 ms
      late           responds after 1500 ms
      wait-MS        responds after MS ms
      head-PERCENT, stream-head-PERCENT
                     that part of the head of a response, or of one with
                     events, but not all of it; then closes
      halves         as "ok", with 1500 ms between the halves of the body
      big-halves     the same, with an empty line and 300,000 bytes more
      stream         5 events, 20 ms apart, from the one after Last-Event-Id
      stream-spaced  the same, 300 ms apart
      stream-gap     as "stream", with 1500 ms before event 3
      stream-gap-gone, stream-gone
                     as "stream-gap" and "stream-cut", but 404 to a request
                     with Last-Event-Id
      stream-error, stream-busy, stream-not-run, stream-page, stream-other,
      stream-gap-error, stream-gap-page
                     as "stream-gone" and "stream-gap-gone", with 500, 503,
                     503 and the header field for "not run", 200 with plain
                     text, or 200 to another request
      stream-cut     as "stream", closed within event 3 unless the request has
                     Last-Event-Id
      stream-short   the same, but the chunks end properly within event 3
      stream-bare    as "stream" without length or chunks; closing the
                     connection ends it
      stream-bare-cut, stream-bare-line
                     the same, closed within line 2 or after line 1 of event 3
                     unless the request has Last-Event-Id
      stream-bare-first, stream-bare-empty
                     the same, closed within event 1 or before any event
      stream-bare-reset
                     the same, reset after event 2
      long           events without end, 20 ms apart
      long-bare      the same without chunks
      stream-endless one event without end, without chunks
      endless-error  500 with a body without end, without chunks
      endless-body, endless-head, endless-interim
                     200 with a body without end, a head without end, interim
                     responses (100) without end
      large          a body of 6,000,000 bytes
      bytes-N        a body of N bytes, which the upstream sends at once
      two            2 events at once
      fast           1,000 events at once
      held           1 event, then nothing more

    With --stage=prefill or --stage=decode it is an engine.  Its prefill
    rate is --speed, in tokens per millisecond; a decode engine prefills at
    half that rate, as it also generates.  A decode from the KV cache of
    another engine fetches it in --kv-fetch-ms, one after the other.  A
    generation sends 2 events, or the stream that the directive asks for, or
    breaks off before them ("crash").  A remote prefill returns the handle
    ID-NUMBER of its KV cache, where ID is the request ID.

    It prints to standard error
      run=ID at_us=N left_ms=N             a request that runs, and the time
                                           left to wait for its response when
                                           it was sent; -1: not stated
      arrived=ID at_us=N                   a request or remote prefill
      read=ID tokens=N queue_ms=N          a prompt to prefill
      order=STAGE holder=VM fence=N at_us=N
                                           an order, which applies at once
      refused=ID                           a decode, because the link is busy
      mixed=ID                             a request that continues from the
                                           prefill of another request

    With --crash-part=ID the process ends CRASH_AFTER_MS after it got a request
    with that part in its prompt, other than a remote prefill: without a byte
    of the response, or amid it if the directive starts with "stream".  Each
    such request, remote prefills included, is printed as
      crash_part=ID at_us=N                ID is the request's

    With --own-fields it uses the header fields for routes of the product's own
    file instead of the platform's.  They have no seal, so "unsigned" is then
    the same as "ok".  The name of the instance is then ID@IP:PORT.

    GET /limit/TEXT makes each further response, to remote prefills and refused
    requests too, state that limit of requests a second; GET /limit/none ends
    that.

    GET /seen returns {"runs":{ID:COUNT},"left":N,"heads":{ID:HEAD}}: runs of
    each request, clients that closed the connection before their response
    ended, and the request heads as received.  */
#include "fakes/prefill_model.h"
#include "fakes/upstream_invalid.h"
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
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEFAULT_PREFILL_TOKENS_PER_MS 100.0
#define DEFAULT_KV_FETCH_MS 4 /* time to fetch a remote prefill's KV cache */
/* An engine refuses to fetch a KV cache that would wait longer than this for
   its link.  */
#define LINK_WAIT_MAX_MS 2000.0
/* An engine refuses a prompt that would wait longer than this.  */
#define QUEUE_MAX_MS 2000.0
#define US_PER_MS 1000.0
#define CRASH_AFTER_MS 30
#define LIMIT_TARGET "/limit/"

static const struct response_fields platform_fields
    = { "X-Request-Id", "X-Expect-Instance", "X-Not-Run", "X-Response-Seal" };
static const struct response_fields own_fields
    = { NULL, "X-Upstream", "X-Refused", NULL };

static struct event_base *base;
static const struct response_fields *fields = &platform_fields;
static const char *instance = "u1";
static GHashTable *runs;  /* request id -> count */
static GHashTable *heads; /* request id -> head as received */
static unsigned
    disconnects;          /* clients that closed before the response ended */
static const char *stage; /* stage of the engine; NULL: not an engine */
static struct prefill_model *prefill_model;
static unsigned handle_count;
static unsigned kv_fetch_ms = DEFAULT_KV_FETCH_MS;
static double link_free_ms;    /* when the link has done all fetches */
static const char *crash_part; /* see --crash-part; NULL for none */

/* Responds to a remote prefill with the handle of the prompt's KV cache.  */
static void
send_kv_handle (struct conn *c)
{
  g_autofree char *body
      = g_strdup_printf ("{\"kvHandle\":\"%s-%u\",\"tokens\":1,\"version\":1}",
                         c->id, ++handle_count);
  response_send (c, c->id, "200 OK", true, body, strlen (body));
  response_finish (c, false);
}

/* Returns the directive in TARGET for this instance.  The last path segment is
   DIRECTIVE or DIRECTIVE@ID.  */
static char *
parse_directive (const char *target)
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

/* Sends 2 events, starts the stream that the directive asks for, or closes the
   connection without a response.  */
static void
send_generation (struct conn *c)
{
  g_free (c->directive);
  c->directive = parse_directive (http_codec_head (c->codec)->target);
  if (g_str_has_prefix (c->directive, "stream"))
    response_start (c);
  else if (strcmp (c->directive, "crash") == 0)
    response_conn_free (c);
  else
    response_send_events (c, 2, false);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct conn *c = arg;
  if (c->directive && strcmp (c->directive, "read") == 0)
    send_kv_handle (c);
  else if (c->directive && strcmp (c->directive, "generate") == 0)
    send_generation (c);
  else if (c->directive)
    response_continue (c);
}

/* Records that the request on C runs.  */
static void
record_run (const struct conn *c)
{
  const char *left
      = http_head_get (http_codec_head (c->codec), "X-Deadline-Ms");
  gpointer n = g_hash_table_lookup (runs, c->id);
  g_hash_table_replace (runs, g_strdup (c->id),
                        GUINT_TO_POINTER (GPOINTER_TO_UINT (n) + 1));
  (void)fprintf (stderr, "run=%s at_us=%" G_GINT64_FORMAT " left_ms=%s\n",
                 c->id, g_get_monotonic_time (), left ? left : "-1");
}

static void
send_seen (struct conn *c)
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
                            (int)disconnects, "heads", texts);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  response_send (c, "-", "200 OK", false, text, strlen (text));
  free (text);
  response_finish (c, false);
}

/* Prefills the prompt, then continues with DIRECTIVE.  Refuses the request if
   the queue is longer than QUEUE_MAX_MS.  */
static void
start_prefill (struct conn *c, const char *directive)
{
  const struct http_head *h = http_codec_head (c->codec);
  const char *counts = http_head_get (h, "X-Token-Counts");
  struct prefill_time t
      = prefill_model_add (prefill_model, g_ascii_strtoull (counts, NULL, 10),
                           http_head_get (h, "X-Prompt-Prefix"),
                           (double)g_get_monotonic_time () / US_PER_MS);
  (void)fprintf (stderr,
                 "read=%s tokens=%" G_GUINT64_FORMAT " queue_ms=%.0f\n", c->id,
                 t.tokens, t.queue_ms);
  if (t.queue_ms > QUEUE_MAX_MS)
    {
      response_refuse (c, "503 Full");
      return;
    }
  if (strcmp (directive, "generate") == 0)
    record_run (c);
  g_free (c->directive);
  c->directive = g_strdup (directive);
  response_set_timer (c, (unsigned)t.done_ms + 1);
}

/* Fetches the KV cache that another engine prefilled, one after the other,
   then generates.  SOURCE is ADDRESS/HANDLE; the handle of another request is
   printed as "mixed".  */
static void
start_decode (struct conn *c, const char *source)
{
  const char *handle = strchr (source, '/');
  if (handle == NULL || !g_str_has_prefix (handle + 1, c->id))
    (void)fprintf (stderr, "mixed=%s\n", c->id);
  double now_ms = (double)g_get_monotonic_time () / US_PER_MS;
  double start_ms = MAX (link_free_ms, now_ms);
  if (start_ms - now_ms > LINK_WAIT_MAX_MS)
    {
      (void)fprintf (stderr, "refused=%s\n", c->id);
      response_refuse (c, "503 Link busy");
      return;
    }
  link_free_ms = start_ms + kv_fetch_ms;
  record_run (c);
  g_free (c->directive);
  c->directive = g_strdup ("generate");
  response_set_timer (c, (unsigned)(link_free_ms - now_ms) + 1);
}

/* Handles a model request at an engine.  Refuses it if it is for another
   stage.  */
static void
handle_model_request (struct conn *c)
{
  const struct http_head *h = http_codec_head (c->codec);
  const char *source = http_head_get (h, "X-Kv-Source");
  bool prefill_only = http_head_get (h, "X-Stage") != NULL;
  if (prefill_only != (strcmp (stage, "prefill") == 0))
    response_refuse (c, "421 Wrong stage");
  else if (!prefill_only && strcmp (c->directive, "not-decoded") == 0)
    response_refuse (c, "503 Full");
  else if (prefill_only)
    start_prefill (c, "read");
  else if (source)
    start_decode (c, source);
  else
    start_prefill (c, "generate");
}

/* Handles an order to change the stage of the engine.  */
static void
handle_order (struct conn *c)
{
  json_t *root = json_loadb ((const char *)evbuffer_pullup (c->body, -1),
                             evbuffer_get_length (c->body), 0, NULL);
  const char *to = json_string_value (json_object_get (root, "stage"));
  const char *holder = json_string_value (json_object_get (root, "holder"));
  json_int_t fence = json_integer_value (json_object_get (root, "fence"));
  bool valid = to && holder && fence > 0
               && g_strcmp0 (json_string_value (json_object_get (root, "op")),
                             "stage")
                      == 0;
  if (valid)
    {
      (void)fprintf (
          stderr, "order=%s holder=%s fence=%lld at_us=%" G_GINT64_FORMAT "\n",
          to, holder, (long long)fence, g_get_monotonic_time ());
      stage = strcmp (to, "prefill") == 0 ? "prefill" : "decode";
    }
  json_decref (root);
  response_send (c, "-", valid ? "202 Accepted" : "400 Bad", false, "", 0);
  response_finish (c, false);
}

/* Handles a request of the test that sets the stated limit.  */
static void
set_limit (struct conn *c, const char *text)
{
  response_set_limit (strcmp (text, "none") == 0 ? NULL : text);
  response_send (c, "-", "200 OK", false, "", 0);
  response_finish (c, false);
}

static void
record_head (const struct conn *c)
{
  g_autoptr (GString) text = g_string_new (NULL);
  http_head_write (http_codec_head (c->codec), text);
  g_hash_table_replace (heads, g_strdup (c->id), g_strdup (text->str));
}

/* Handles a head whose body has not arrived: "early" refuses the request,
   "early-KIND" runs it.  */
static void
handle_head (struct conn *c)
{
  const struct http_head *h = http_codec_head (c->codec);
  const char *id = http_head_get (h, "X-Request-Id");
  g_autofree char *directive = parse_directive (h->target);
  bool runs_early = response_is_early (directive);
  if (strcmp (directive, "early") != 0 && !runs_early)
    return;
  c->id = g_strdup (id ? id : "-");
  record_head (c);
  if (runs_early)
    {
      c->directive = g_steal_pointer (&directive);
      record_run (c);
      response_start_early (c);
      return;
    }
  response_refuse (c, "503 Full");
  c->close_after = true;
}

/* Whether the prompt of the request H has the part that ends the process.  */
static bool
has_crash_part (const struct http_head *h)
{
  const char *parts = http_head_get (h, "X-Prompt-Prefix");
  if (crash_part == NULL || parts == NULL)
    return false;
  g_autofree char *list = g_strdup_printf (",%s", parts);
  g_autofree char *entry = g_strdup_printf (",%s:", crash_part);
  return strstr (list, entry) != NULL;
}

static void
on_crash (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  _exit (EXIT_FAILURE);
}

/* Handles a request that ends the process.  */
static void
handle_crashing_request (struct conn *c)
{
  static const struct timeval delay = { 0, CRASH_AFTER_MS * 1000 };
  record_run (c);
  event_base_once (base, -1, EV_TIMEOUT, on_crash, NULL, &delay);
  if (g_str_has_prefix (c->directive, "stream"))
    response_start (c);
}

static void
handle_request (struct conn *c)
{
  const struct http_head *h = http_codec_head (c->codec);
  const char *id = http_head_get (h, "X-Request-Id");
  const char *expected = http_head_get (h, fields->instance);
  c->in_request = true;
  c->id = g_strdup (id ? id : "-");
  if (strcmp (h->target, "/seen") == 0)
    {
      send_seen (c);
      return;
    }
  if (strcmp (h->target, "/api/order") == 0)
    {
      handle_order (c);
      return;
    }
  if (g_str_has_prefix (h->target, LIMIT_TARGET))
    {
      set_limit (c, h->target + strlen (LIMIT_TARGET));
      return;
    }
  c->directive = parse_directive (h->target);
  record_head (c);
  if (strcmp (h->method, "DELETE") != 0)
    (void)fprintf (stderr, "arrived=%s at_us=%" G_GINT64_FORMAT "\n", c->id,
                   g_get_monotonic_time ());
  bool crashing = has_crash_part (h);
  if (crashing)
    (void)fprintf (stderr, "crash_part=%s at_us=%" G_GINT64_FORMAT "\n", c->id,
                   g_get_monotonic_time ());
  if (expected && strcmp (expected, instance) != 0)
    response_refuse (c, "421 Misdirected");
  else if (strcmp (c->directive, "not-run") == 0)
    response_refuse (c, "503 Full");
  else if (strcmp (c->directive, "pause") == 0)
    response_refuse (c, "503 Full\r\nRetry-After: 2");
  else if (strcmp (h->method, "DELETE") == 0)
    {
      response_send_ok (c);
      response_finish (c, false);
    }
  else if (crashing && http_head_get (h, "X-Stage") == NULL)
    handle_crashing_request (c);
  else if (stage && http_head_get (h, "X-Token-Counts"))
    handle_model_request (c);
  else
    {
      record_run (c);
      response_start (c);
    }
}

static void
on_readable (struct bufferevent *bev, void *arg)
{
  struct conn *c = arg;
  struct evbuffer *in = bufferevent_get_input (bev);
  if (c->in_request || c->close_after || evbuffer_get_length (in) == 0)
    return;
  enum http_parse_state p = http_codec_feed (c->codec, in, c->body);
  if (p == HTTP_COMPLETE)
    handle_request (c);
  else if (p == HTTP_IN_BODY)
    handle_head (c);
}

static void
on_written (struct bufferevent *bev, void *arg)
{
  (void)bev;
  struct conn *c = arg;
  if (c->close_after)
    response_conn_free (c);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  (void)bev;
  struct conn *c = arg;
  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  disconnects += c->in_request;
  response_conn_free (c);
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
  double speed = DEFAULT_PREFILL_TOKENS_PER_MS;
  for (int i = 1; i < argc; i++)
    if (g_str_has_prefix (argv[i], "--stage="))
      stage = argv[i] + strlen ("--stage=");
    else if (g_str_has_prefix (argv[i], "--speed="))
      speed = g_ascii_strtod (argv[i] + strlen ("--speed="), NULL);
    else if (g_str_has_prefix (argv[i], "--kv-fetch-ms="))
      kv_fetch_ms = (unsigned)g_ascii_strtoull (
          argv[i] + strlen ("--kv-fetch-ms="), NULL, 10);
    else if (g_str_has_prefix (argv[i], "--id="))
      instance = argv[i] + strlen ("--id=");
    else if (g_str_has_prefix (argv[i], "--crash-part="))
      crash_part = argv[i] + strlen ("--crash-part=");
    else if (strcmp (argv[i], "--own-fields") == 0)
      fields = &own_fields;
    else if (g_str_has_prefix (argv[i], "--port="))
      sa.sin_port = htons (
          (uint16_t)g_ascii_strtoull (argv[i] + strlen ("--port="), NULL, 10));
  (void)signal (SIGPIPE, SIG_IGN);
  base = event_base_new ();
  prefill_model = prefill_model_create (
      stage && strcmp (stage, "decode") == 0 ? speed / 2 : speed);
  runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  heads = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  struct evconnlistener *l = evconnlistener_new_bind (
      base, on_accept, NULL, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      (struct sockaddr *)&sa, sizeof sa);
  if (l == NULL)
    g_error ("cannot listen on 127.0.0.1; is the port of --port in use?");
  getsockname (evconnlistener_get_fd (l), (struct sockaddr *)&sa, &len);
  unsigned port = ntohs (sa.sin_port);
  g_autofree char *full_name
      = g_strdup_printf ("%s@127.0.0.1:%u", instance, port);
  if (fields == &own_fields)
    instance = full_name;
  response_setup (fields, instance);
  printf ("port=%u\n", port);
  (void)fflush (stdout);
  struct event *term = evsignal_new (base, SIGTERM, on_term, NULL);
  event_add (term, NULL);
  event_base_dispatch (base);
  event_free (term);
  evconnlistener_free (l);
  event_base_free (base);
  prefill_model_destroy (prefill_model);
  g_hash_table_destroy (runs);
  g_hash_table_destroy (heads);
  return 0;
}
