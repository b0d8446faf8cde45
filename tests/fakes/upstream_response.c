#include "fakes/upstream_response.h"
#include "fakes/upstream_invalid.h"

#include "base/http_head.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define EVENTS 5
#define EVENT_MS 20
#define SPACED_EVENT_MS 300
#define SILENCE_MS 1500
#define GAP_EVENT 3 /* event before which a stream pauses for SILENCE_MS */
#define BIG_BYTES 300000
#define SLOW_MS 300
#define FAST_EVENTS 1000
/* Prefixes of directives with a number.  */
#define HEAD_PART "head-"
#define STREAM_HEAD_PART "stream-head-"
#define WAIT "wait-"
#define LINGER_S 0 /* close with a TCP reset */
#define ENDLESS_PART_BYTES 65536
#define ENDLESS_PART_MS 1
#define ENDLESS_OUTPUT_MAX_BYTES (1024 * 1024)
#define INTERIM "HTTP/1.1 100 Continue\r\n\r\n"
#define LARGE_BYTES 6000000

/* How a stream ends.  */
enum stream_end
{
  STREAM_END_WHOLE,  /* with its last chunk, or the close if it has none */
  STREAM_END_CLOSED, /* closed without its last chunk */
  STREAM_END_RESET   /* the connection is reset */
};

/* A stream that a directive asks for.  */
struct stream_variant
{
  const char *directive;
  bool unframed; /* neither length nor chunks */
  /* Ends like END with event CUT_AT, of which CUT_BYTES are sent, unless the
     request resumes a stream; 0: whole, after EVENTS events; G_MAXUINT:
     never.  */
  unsigned cut_at;
  unsigned cut_bytes;
  enum stream_end end;
  unsigned event_ms; /* pause before each event; 0: EVENT_MS */
};

static const struct stream_variant stream_variants[] = {
  { "stream", false, 0, 0, STREAM_END_WHOLE, 0 },
  { "stream-cut", false, 3, 8, STREAM_END_CLOSED, 0 },
  { "stream-short", false, 3, 8, STREAM_END_WHOLE, 0 },
  { "stream-bare", true, 0, 0, STREAM_END_WHOLE, 0 },
  { "stream-bare-cut", true, 3, 8, STREAM_END_WHOLE, 0 },
  { "stream-bare-line", true, 3, 6, STREAM_END_WHOLE, 0 },
  { "stream-bare-first", true, 1, 8, STREAM_END_WHOLE, 0 },
  { "stream-bare-empty", true, 1, 0, STREAM_END_WHOLE, 0 },
  { "stream-bare-reset", true, 3, 0, STREAM_END_RESET, 0 },
  { "stream-spaced", false, 0, 0, STREAM_END_WHOLE, SPACED_EVENT_MS },
  { "stream-gone", false, 3, 8, STREAM_END_CLOSED, 0 },
  { "stream-gap-gone", false, 0, 0, STREAM_END_WHOLE, 0 },
  { "stream-gap", false, 0, 0, STREAM_END_WHOLE, 0 },
  { "stream-error", false, 3, 8, STREAM_END_CLOSED, 0 },
  { "stream-busy", false, 3, 8, STREAM_END_CLOSED, 0 },
  { "stream-not-run", false, 3, 8, STREAM_END_CLOSED, 0 },
  { "stream-page", false, 3, 8, STREAM_END_CLOSED, 0 },
  { "stream-other", false, 3, 8, STREAM_END_CLOSED, 0 },
  { "stream-gap-error", false, 0, 0, STREAM_END_WHOLE, 0 },
  { "stream-gap-page", false, 0, 0, STREAM_END_WHOLE, 0 },
  { "long", false, G_MAXUINT, 0, STREAM_END_WHOLE, 0 },
  { "long-bare", true, G_MAXUINT, 0, STREAM_END_WHOLE, 0 },
};

static const struct response_fields *fields;
static const char *instance;
static char *limit_line; /* header line of the limit, or NULL */

void
response_set_limit (const char *text)
{
  g_free (limit_line);
  limit_line = text ? g_strdup_printf ("Server-Limit: %s\r\n", text) : NULL;
}

void
response_setup (const struct response_fields *names, const char *name)
{
  fields = names;
  instance = name;
}

void
response_conn_free (struct conn *c)
{
  event_free (c->timer);
  bufferevent_free (c->bev);
  http_codec_destroy (c->codec);
  evbuffer_free (c->body);
  g_free (c->id);
  g_free (c->directive);
  g_free (c->rest);
  g_free (c->previous);
  g_free (c);
}

/* While RESET is set, closing the connection resets it, also when the process
   is killed.  */
static void
set_reset_on_close (struct conn *c, bool reset)
{
  struct linger linger = { reset, LINGER_S };
  setsockopt (bufferevent_getfd (c->bev), SOL_SOCKET, SO_LINGER, &linger,
              sizeof linger);
}

void
response_conn_reset (struct conn *c)
{
  set_reset_on_close (c, true);
  response_conn_free (c);
}

static void
send_text (struct conn *c, const char *text)
{
  evbuffer_add (bufferevent_get_output (c->bev), text, strlen (text));
}

/* Returns the header line with the request ID, empty if there is no such
   field.  */
static char *
format_id_field (const char *id)
{
  return fields->id ? g_strdup_printf ("%s: %s\r\n", fields->id, id)
                    : g_strdup ("");
}

char *
response_format_head (const char *id, const char *status, bool seal)
{
  g_autofree char *line
      = seal && fields->seal
            ? g_strdup_printf ("%s: %s\r\n", fields->seal, instance)
            : g_strdup ("");
  g_autofree char *id_field = format_id_field (id);
  return g_strdup_printf ("HTTP/1.1 %s\r\n%s%s%s", status, id_field, line,
                          limit_line ? limit_line : "");
}

/* Returns a body that repeats method and target of the request, and length and
   digest of its body.  */
static char *
format_echo (const struct conn *c)
{
  const struct http_head *h = http_codec_head (c->codec);
  size_t n = evbuffer_get_length (c->body);
  g_autofree char *sum = g_compute_checksum_for_data (
      G_CHECKSUM_SHA256, evbuffer_pullup (c->body, -1), n);
  return g_strdup_printf ("%s %s %zu %s\n", h->method, h->target, n, sum);
}

static void
keep_previous (struct conn *c, char **text)
{
  g_free (c->previous);
  c->previous = g_steal_pointer (text);
}

void
response_send (struct conn *c, const char *id, const char *status, bool seal,
               const char *body, size_t content_length)
{
  g_autofree char *head = response_format_head (id, status, seal);
  g_autofree char *text = g_strdup_printf ("%sContent-Length: %zu\r\n\r\n%s",
                                           head, content_length, body);
  send_text (c, text);
  keep_previous (c, &text);
}

void
response_send_ok (struct conn *c)
{
  g_autofree char *body = format_echo (c);
  response_send (c, c->id, "200 OK", true, body, strlen (body));
}

void
response_finish (struct conn *c, bool close)
{
  c->in_request = false;
  c->close_after = close;
  g_clear_pointer (&c->id, g_free);
  g_clear_pointer (&c->directive, g_free);
  g_clear_pointer (&c->rest, g_free);
  evbuffer_drain (c->body, evbuffer_get_length (c->body));
  http_codec_next (c->codec, false);
}

static void
send_chunked (struct conn *c)
{
  g_autofree char *body = format_echo (c);
  g_autofree char *head = response_format_head (c->id, "200 OK", true);
  g_autofree char *text
      = g_strdup_printf ("%sTransfer-Encoding: "
                         "chunked\r\n\r\n3\r\n%.3s\r\n%zx\r\n%s\r\n0\r\n\r\n",
                         head, body, strlen (body) - 3, body + 3);
  send_text (c, text);
  response_finish (c, false);
}

static bool
is_halved (const char *directive)
{
  return strcmp (directive, "halves") == 0
         || strcmp (directive, "big-halves") == 0;
}

/* Sends the head and the first half of the body and keeps the other half.  */
static void
start_halves (struct conn *c)
{
  g_autoptr (GString) body = g_string_new (NULL);
  g_autofree char *echo = format_echo (c);
  g_string_append (body, echo);
  if (strcmp (c->directive, "big-halves") == 0)
    {
      g_autofree char *padding = g_strnfill (BIG_BYTES, 'x');
      g_string_append_printf (body, "\n%s", padding);
    }
  size_t half = body->len / 2;
  c->rest = g_strdup (body->str + half);
  size_t length = body->len;
  g_string_truncate (body, half);
  response_send (c, c->id, "200 OK", true, body->str, length);
  response_set_timer (c, SILENCE_MS);
}

static void
send_unframed (struct conn *c)
{
  g_autofree char *body = format_echo (c);
  g_autofree char *head = response_format_head (c->id, "200 OK", true);
  g_autofree char *text = g_strdup_printf ("%s\r\n%s", head, body);
  send_text (c, text);
}

void
response_set_timer (struct conn *c, unsigned ms)
{
  struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };
  evtimer_add (c->timer, &tv);
}

/* Returns the stream that DIRECTIVE asks for; NULL if it asks for none.  */
static const struct stream_variant *
find_stream_variant (const char *directive)
{
  for (size_t i = 0; i < G_N_ELEMENTS (stream_variants); i++)
    if (strcmp (stream_variants[i].directive, directive) == 0)
      return &stream_variants[i];
  return NULL;
}

static void
set_event_timer (struct conn *c, const struct stream_variant *v)
{
  bool gap = c->next_event_id == GAP_EVENT
             && g_str_has_prefix (v->directive, "stream-gap");
  response_set_timer (c, gap           ? SILENCE_MS
                         : v->event_ms ? v->event_ms
                                       : EVENT_MS);
}

/* A response to a request that resumes a stream, other than the stream.  */
struct resume_failure
{
  const char *suffix; /* of the directive */
  const char *status;
  const char *id; /* the response is to this request; NULL: the right one */
};

static const struct resume_failure resume_failures[] = {
  { "-gone", "404 Gone", NULL },        { "-error", "500 Failed", NULL },
  { "-busy", "503 Busy", NULL },        { "-page", "200 OK", NULL },
  { "-other", "200 OK", "of-another" },
};

/* Responds to a request that resumes a stream with an error, if its directive
   asks for one.  */
static bool
fail_resume (struct conn *c, const char *directive)
{
  if (g_str_has_suffix (directive, "-not-run"))
    {
      response_refuse (c, "503 Full");
      return true;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (resume_failures); i++)
    {
      const struct resume_failure *f = &resume_failures[i];
      if (!g_str_has_suffix (directive, f->suffix))
        continue;
      response_send (c, f->id ? f->id : c->id, f->status, true, "gone\n", 5);
      response_finish (c, f->id != NULL);
      return true;
    }
  return false;
}

static void
start_stream (struct conn *c, const struct stream_variant *v)
{
  g_autofree char *head = response_format_head (c->id, "200 OK", true);
  const char *after
      = http_head_get (http_codec_head (c->codec), "Last-Event-Id");
  g_autofree char *text
      = g_strdup_printf ("%sContent-Type: text/event-stream\r\n%s\r\n", head,
                         v->unframed ? "" : "Transfer-Encoding: chunked\r\n");
  if (after && fail_resume (c, v->directive))
    return;
  c->next_event_id
      = after ? (unsigned)g_ascii_strtoull (after, NULL, 10) + 1 : 1;
  set_reset_on_close (c, v->unframed);
  send_text (c, text);
  set_event_timer (c, v);
}

static void
send_chunk (struct conn *c, const char *text)
{
  evbuffer_add_printf (bufferevent_get_output (c->bev), "%zx\r\n%s\r\n",
                       strlen (text), text);
}

void
response_send_events (struct conn *c, unsigned count, bool held)
{
  g_autofree char *head = response_format_head (c->id, "200 OK", true);
  g_autofree char *text
      = g_strdup_printf ("%sContent-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n",
                         head);
  send_text (c, text);
  for (unsigned i = 1; i <= count; i++)
    {
      g_autofree char *event
          = g_strdup_printf ("id: %u\ndata: piece %u\n\n", i, i);
      send_chunk (c, event);
    }
  if (held)
    return;
  send_text (c, "0\r\n\r\n");
  response_finish (c, false);
}

static void
end_stream (struct conn *c, enum stream_end end, bool unframed)
{
  if (end == STREAM_END_RESET)
    {
      response_conn_reset (c);
      return;
    }
  set_reset_on_close (c, false);
  if (end == STREAM_END_WHOLE && !unframed)
    send_text (c, "0\r\n\r\n");
  response_finish (c, unframed || end == STREAM_END_CLOSED);
  /* Nothing may be left to write that would trigger the close.  */
  if (c->close_after
      && evbuffer_get_length (bufferevent_get_output (c->bev)) == 0)
    response_conn_free (c);
}

static void
send_next_event (struct conn *c)
{
  const struct stream_variant *v = find_stream_variant (c->directive);
  g_autofree char *event = g_strdup_printf (
      "id: %u\ndata: piece %u\n\n", c->next_event_id, c->next_event_id);
  bool resumed = http_head_get (http_codec_head (c->codec), "Last-Event-Id");
  bool is_cut = v->cut_at == c->next_event_id && !resumed;
  if (v->cut_at != G_MAXUINT && c->next_event_id > EVENTS)
    {
      end_stream (c, STREAM_END_WHOLE, v->unframed);
      return;
    }
  if (is_cut)
    event[v->cut_bytes] = '\0';
  if (v->unframed)
    send_text (c, event);
  else if (event[0] != '\0')
    send_chunk (c, event);
  if (is_cut)
    {
      end_stream (c, v->end, v->unframed);
      return;
    }
  c->next_event_id++;
  set_event_timer (c, v);
}

static bool
is_endless (const char *directive)
{
  return strcmp (directive, "stream-endless") == 0
         || g_str_has_prefix (directive, "endless-");
}

/* Sends the head of an endless response of another kind than start_endless.
   Returns false for other directives.  */
static bool
start_endless_bytes (struct conn *c)
{
  g_autofree char *head = response_format_head (c->id, "200 OK", true);
  g_autofree char *text = NULL;
  if (strcmp (c->directive, "endless-body") == 0)
    text = g_strdup_printf ("%sContent-Type: text/plain\r\n\r\n", head);
  else if (strcmp (c->directive, "endless-head") == 0)
    text = g_strdup_printf ("%sX-Field: ", head);
  else if (strcmp (c->directive, "endless-interim") == 0)
    text = g_strdup (INTERIM);
  else
    return false;
  send_text (c, text);
  response_set_timer (c, ENDLESS_PART_MS);
  return true;
}

/* Starts a response without length or chunks whose body never ends: part of
   one event, or the body of a status 500.  */
static void
start_endless (struct conn *c, bool error)
{
  g_autofree char *head
      = response_format_head (c->id, error ? "500 Failed" : "200 OK", true);
  g_autofree char *text = g_strdup_printf (
      "%sContent-Type: %s\r\n\r\n%s", head,
      error ? "text/plain" : "text/event-stream", error ? "" : "data: ");
  send_text (c, text);
  response_set_timer (c, ENDLESS_PART_MS);
}

static void
send_endless_part (struct conn *c)
{
  struct evbuffer *out = bufferevent_get_output (c->bev);
  g_autofree char *part = g_strnfill (ENDLESS_PART_BYTES, 'x');
  bool interim = strcmp (c->directive, "endless-interim") == 0;
  if (evbuffer_get_length (out) < ENDLESS_OUTPUT_MAX_BYTES)
    send_text (c, interim ? INTERIM INTERIM INTERIM : part);
  response_set_timer (c, ENDLESS_PART_MS);
}

/* Sends error responses and complete ones that lack the seal or accompany a
   response to another request.  Returns false for other directives.  */
static bool
send_faulty_response (struct conn *c, const char *d)
{
  g_autofree char *body = format_echo (c);
  size_t n = strlen (body);
  if (strcmp (d, "error") == 0)
    response_send (c, c->id, "500 Failed", true, "failed\n", 7);
  else if (strcmp (d, "busy") == 0)
    response_send (c, c->id, "503 Busy", true, "busy\n", 5);
  else if (strcmp (d, "unsigned") == 0)
    response_send (c, c->id, "200 OK", false, body, n);
  else if (strcmp (d, "leaving") == 0)
    response_send (c, c->id, "200 OK\r\nServer-Leaving: 1", true, body, n);
  else if (strcmp (d, "extra") == 0)
    {
      response_send_ok (c);
      response_send (c, "of-another", "200 OK", true, "not yours\n", 10);
    }
  else if (strcmp (d, "stray") == 0)
    {
      response_send (c, "of-another", "200 OK", true, "not yours\n", 10);
      response_send_ok (c);
    }
  else
    return false;
  response_finish (c, false);
  return true;
}

/* Sends PERCENT of the head of a complete response.  */
static void
send_part_of_head (struct conn *c, const char *percent, bool events)
{
  g_autofree char *head = response_format_head (c->id, "200 OK", true);
  g_autofree char *text = g_strdup_printf (
      "%s%s\r\n\r\n", head,
      events ? "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
             : "Content-Type: text/plain\r\nContent-Length: 1000");
  size_t size = strlen (text) * strtoul (percent, NULL, 10) / 100;
  text[MIN (size, strlen (text) - 1)] = '\0';
  send_text (c, text);
}

/* Sends a response that only the end of the connection delimits, or that is
   malformed, then closes.  Returns false for other directives.  */
static bool
send_closing_response (struct conn *c, const char *d)
{
  g_autofree char *body = format_echo (c);
  if (strcmp (d, "cut") == 0)
    response_send (c, c->id, "200 OK", true, "a part", strlen (body) + 6);
  else if (strcmp (d, "garbage") == 0)
    send_text (c, "\x01\x02\x03 this is no answer\r\n\r\n");
  else if (strcmp (d, "unframed") == 0)
    send_unframed (c);
  else if (g_str_has_prefix (d, HEAD_PART))
    send_part_of_head (c, d + strlen (HEAD_PART), false);
  else if (g_str_has_prefix (d, STREAM_HEAD_PART))
    send_part_of_head (c, d + strlen (STREAM_HEAD_PART), true);
  else
    return false;
  response_finish (c, true);
  return true;
}

void
response_start (struct conn *c)
{
  const char *d = c->directive;
  if (strcmp (d, "reset") == 0)
    response_conn_reset (c);
  else if (strcmp (d, "lost") == 0)
    response_conn_free (c);
  else if (strcmp (d, "silent") == 0)
    return;
  else if (strcmp (d, "slow") == 0)
    response_set_timer (c, SLOW_MS);
  else if (strcmp (d, "late") == 0)
    response_set_timer (c, SILENCE_MS);
  else if (g_str_has_prefix (d, WAIT))
    response_set_timer (c, (unsigned)strtoul (d + strlen (WAIT), NULL, 10));
  else if (strcmp (d, "again") == 0)
    {
      if (c->previous)
        send_text (c, c->previous);
      response_set_timer (c, SLOW_MS);
    }
  else if (is_halved (d))
    start_halves (c);
  else if (strcmp (d, "chunked") == 0)
    send_chunked (c);
  else if (strcmp (d, "unframed-reset") == 0)
    {
      send_unframed (c);
      response_set_timer (c, EVENT_MS);
    }
  else if (strcmp (d, "two") == 0)
    response_send_events (c, 2, false);
  else if (strcmp (d, "fast") == 0)
    response_send_events (c, FAST_EVENTS, false);
  else if (strcmp (d, "held") == 0)
    response_send_events (c, 1, true);
  else if (find_stream_variant (d))
    start_stream (c, find_stream_variant (d));
  else if (strcmp (d, "large") == 0 || g_str_has_prefix (d, "bytes-"))
    {
      size_t size = strcmp (d, "large") == 0
                        ? LARGE_BYTES
                        : g_ascii_strtoull (d + strlen ("bytes-"), NULL, 10);
      g_autofree char *body = g_strnfill (size, 'x');
      response_send (c, c->id, "200 OK", true, body, size);
      response_finish (c, false);
    }
  else if (is_endless (d))
    {
      if (!start_endless_bytes (c))
        start_endless (c, strcmp (d, "endless-error") == 0);
    }
  else if (!send_faulty_response (c, d) && !send_closing_response (c, d)
           && !response_send_invalid (c, d))
    {
      response_send_ok (c);
      response_finish (c, false);
    }
}

void
response_refuse (struct conn *c, const char *status)
{
  g_autofree char *id_field = format_id_field (c->id);
  g_autofree char *text = g_strdup_printf (
      "HTTP/1.1 %s\r\n%s%s%s: 1\r\nContent-Length: 0\r\n\r\n", status,
      id_field, limit_line ? limit_line : "", fields->refused);
  send_text (c, text);
  keep_previous (c, &text);
  response_finish (c, false);
}

void
response_continue (struct conn *c)
{
  if (response_is_early (c->directive))
    response_continue_early (c);
  else if (strcmp (c->directive, "slow") == 0
           || strcmp (c->directive, "late") == 0
           || g_str_has_prefix (c->directive, WAIT)
           || strcmp (c->directive, "again") == 0)
    {
      response_send_ok (c);
      response_finish (c, false);
    }
  else if (is_halved (c->directive))
    {
      send_text (c, c->rest);
      response_finish (c, false);
    }
  else if (strcmp (c->directive, "unframed-reset") == 0)
    response_conn_reset (c);
  else if (is_endless (c->directive))
    send_endless_part (c);
  else
    send_next_event (c);
}
