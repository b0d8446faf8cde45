#include "fakes/upstream_response.h"

#include "base/http_head.h"

#include <string.h>
#include <sys/socket.h>

#define EVENTS 5
#define EVENT_MS 20
#define SLOW_MS 300
#define FAST_EVENTS 1000
#define LINGER_OFF_S 0

static const struct answer_fields *fields;
static const char *instance;

void
answer_setup (const struct answer_fields *names, const char *name)
{
  fields = names;
  instance = name;
}

void
answer_conn_free (struct conn *c)
{
  event_free (c->timer);
  bufferevent_free (c->bev);
  http_codec_destroy (c->codec);
  evbuffer_free (c->body);
  g_free (c->id);
  g_free (c->directive);
  g_free (c);
}

static void
conn_reset (struct conn *c)
{
  struct linger hard = { 1, LINGER_OFF_S };
  setsockopt (bufferevent_getfd (c->bev), SOL_SOCKET, SO_LINGER, &hard,
              sizeof hard);
  answer_conn_free (c);
}

static void
send_text (struct conn *c, const char *text)
{
  evbuffer_add (bufferevent_get_output (c->bev), text, strlen (text));
}

/* The field that names the request ID.  */
static char *
id_line (const char *id)
{
  return fields->id ? g_strdup_printf ("%s: %s\r\n", fields->id, id)
                    : g_strdup ("");
}

/* Head of an answer to the request ID; more fields and the end follow.  */
static char *
answer_head (const char *id, const char *status, bool mark)
{
  g_autofree char *line
      = mark && fields->mark
            ? g_strdup_printf ("%s: %s\r\n", fields->mark, instance)
            : g_strdup ("");
  g_autofree char *named = id_line (id);
  return g_strdup_printf ("HTTP/1.1 %s\r\n%s%s", status, named, line);
}

/* What a whole answer says: what was asked.  */
static char *
answer_body (const struct conn *c)
{
  const struct http_head *h = http_codec_head (c->codec);
  size_t n = evbuffer_get_length (c->body);
  g_autofree char *sum = g_compute_checksum_for_data (
      G_CHECKSUM_SHA256, evbuffer_pullup (c->body, -1), n);
  return g_strdup_printf ("%s %s %zu %s\n", h->method, h->target, n, sum);
}

void
answer_sized (struct conn *c, const char *id, const char *status, bool mark,
              const char *body, size_t told)
{
  g_autofree char *head = answer_head (id, status, mark);
  g_autofree char *text
      = g_strdup_printf ("%sContent-Length: %zu\r\n\r\n%s", head, told, body);
  send_text (c, text);
}

void
answer_ok (struct conn *c)
{
  g_autofree char *body = answer_body (c);
  answer_sized (c, c->id, "200 OK", true, body, strlen (body));
}

void
answer_finish (struct conn *c, bool close)
{
  c->working = false;
  c->close_after = close;
  g_clear_pointer (&c->id, g_free);
  g_clear_pointer (&c->directive, g_free);
  evbuffer_drain (c->body, evbuffer_get_length (c->body));
  http_codec_next (c->codec, false);
}

static void
send_chunked (struct conn *c)
{
  g_autofree char *body = answer_body (c);
  g_autofree char *head = answer_head (c->id, "200 OK", true);
  g_autofree char *text
      = g_strdup_printf ("%sTransfer-Encoding: "
                         "chunked\r\n\r\n3\r\n%.3s\r\n%zx\r\n%s\r\n0\r\n\r\n",
                         head, body, strlen (body) - 3, body + 3);
  send_text (c, text);
  answer_finish (c, false);
}

static void
send_unframed (struct conn *c)
{
  g_autofree char *body = answer_body (c);
  g_autofree char *head = answer_head (c->id, "200 OK", true);
  g_autofree char *text = g_strdup_printf ("%s\r\n%s", head, body);
  send_text (c, text);
}

void
answer_arm (struct conn *c, unsigned ms)
{
  struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };
  evtimer_add (c->timer, &tv);
}

static void
start_stream (struct conn *c)
{
  g_autofree char *head = answer_head (c->id, "200 OK", true);
  const char *after
      = http_head_get (http_codec_head (c->codec), "Last-Event-Id");
  g_autofree char *text
      = g_strdup_printf ("%sContent-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n",
                         head);
  c->next_event = after ? (unsigned)g_ascii_strtoull (after, NULL, 10) + 1 : 1;
  send_text (c, text);
  answer_arm (c, EVENT_MS);
}

static void
send_chunk (struct conn *c, const char *text)
{
  evbuffer_add_printf (bufferevent_get_output (c->bev), "%zx\r\n%s\r\n",
                       strlen (text), text);
}

/* COUNT events at once; the end follows unless HELD.  */
void
answer_burst (struct conn *c, unsigned count, bool held)
{
  g_autofree char *head = answer_head (c->id, "200 OK", true);
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
  answer_finish (c, false);
}

static void
next_event (struct conn *c)
{
  g_autofree char *event = g_strdup_printf ("id: %u\ndata: piece %u\n\n",
                                            c->next_event, c->next_event);
  bool goes_on = http_head_get (http_codec_head (c->codec), "Last-Event-Id");
  if (strcmp (c->directive, "stream-cut") == 0 && c->next_event == 3
      && !goes_on)
    {
      event[8] = '\0';
      send_chunk (c, event);
      answer_finish (c, true);
      return;
    }
  if (c->next_event > EVENTS && strcmp (c->directive, "long") != 0)
    {
      send_text (c, "0\r\n\r\n");
      answer_finish (c, false);
      return;
    }
  send_chunk (c, event);
  c->next_event++;
  answer_arm (c, EVENT_MS);
}

/* Answers that are no stream; false for a directive that is none of them.  */
static bool
answer_oddly (struct conn *c, const char *d)
{
  g_autofree char *body = answer_body (c);
  size_t n = strlen (body);
  if (strcmp (d, "error") == 0)
    answer_sized (c, c->id, "500 Failed", true, "failed\n", 7);
  else if (strcmp (d, "busy") == 0)
    answer_sized (c, c->id, "503 Busy", true, "busy\n", 5);
  else if (strcmp (d, "unsigned") == 0)
    answer_sized (c, c->id, "200 OK", false, body, n);
  else if (strcmp (d, "extra") == 0)
    {
      answer_ok (c);
      answer_sized (c, "of-another", "200 OK", true, "not yours\n", 10);
    }
  else if (strcmp (d, "stray") == 0)
    {
      answer_sized (c, "of-another", "200 OK", true, "not yours\n", 10);
      answer_ok (c);
    }
  else
    return false;
  answer_finish (c, false);
  return true;
}

/* Ends without a whole answer; false for other directives.  */
static bool
break_off (struct conn *c, const char *d)
{
  g_autofree char *body = answer_body (c);
  if (strcmp (d, "cut") == 0)
    answer_sized (c, c->id, "200 OK", true, "a part", strlen (body) + 6);
  else if (strcmp (d, "garbage") == 0)
    send_text (c, "\x01\x02\x03 this is no answer\r\n\r\n");
  else if (strcmp (d, "unframed") == 0)
    send_unframed (c);
  else
    return false;
  answer_finish (c, true);
  return true;
}

void
answer_run (struct conn *c)
{
  const char *d = c->directive;
  if (strcmp (d, "reset") == 0)
    conn_reset (c);
  else if (strcmp (d, "lost") == 0)
    answer_conn_free (c);
  else if (strcmp (d, "silent") == 0)
    return;
  else if (strcmp (d, "slow") == 0)
    answer_arm (c, SLOW_MS);
  else if (strcmp (d, "chunked") == 0)
    send_chunked (c);
  else if (strcmp (d, "unframed-reset") == 0)
    {
      send_unframed (c);
      answer_arm (c, EVENT_MS);
    }
  else if (strcmp (d, "two") == 0)
    answer_burst (c, 2, false);
  else if (strcmp (d, "fast") == 0)
    answer_burst (c, FAST_EVENTS, false);
  else if (strcmp (d, "held") == 0)
    answer_burst (c, 1, true);
  else if (g_str_has_prefix (d, "stream") || strcmp (d, "long") == 0)
    start_stream (c);
  else if (!answer_oddly (c, d) && !break_off (c, d))
    {
      answer_ok (c);
      answer_finish (c, false);
    }
}

void
answer_refuse (struct conn *c, const char *status)
{
  g_autofree char *named = id_line (c->id);
  g_autofree char *text = g_strdup_printf ("HTTP/1.1 %s\r\n%s%s: 1\r\n"
                                           "Content-Length: 0\r\n\r\n",
                                           status, named, fields->refused);
  send_text (c, text);
  answer_finish (c, false);
}

void
answer_go_on (struct conn *c)
{
  if (strcmp (c->directive, "slow") == 0)
    {
      answer_ok (c);
      answer_finish (c, false);
    }
  else if (strcmp (c->directive, "unframed-reset") == 0)
    conn_reset (c);
  else
    next_event (c);
}
