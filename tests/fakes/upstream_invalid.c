#include "fakes/upstream_invalid.h"

#include <string.h>
#include <sys/socket.h>

/* Prefixes of directives.  */
#define EARLY "early-"
#define STREAM_EARLY "stream-early-"
#define STATUS "status-"
#define FULL "full-"
#define VERSION "version-"
#define END_MS 20
#define SILENCE_MS 1500
#define SIZED_BYTES 300000

bool
response_send_invalid (struct conn *c, const char *d)
{
  g_autofree char *head = NULL;
  if (g_str_has_prefix (d, FULL))
    {
      g_autofree char *valid = g_strdup_printf ("%s Odd", d + strlen (FULL));
      response_send (c, c->id, valid, true, "odd\n", 4);
      response_finish (c, false);
      return true;
    }
  if (strcmp (d, "no-head") == 0)
    head = g_strdup ("");
  else if (g_str_has_prefix (d, STATUS))
    {
      g_autofree char *status
          = g_strdup_printf ("%s Odd", d + strlen (STATUS));
      head = response_format_head (c->id, status, true);
    }
  else if (g_str_has_prefix (d, VERSION))
    {
      g_autofree char *rest = response_format_head (c->id, "200 OK", true);
      head = g_strdup_printf ("HTTP/%s%s", d + strlen (VERSION),
                              rest + strlen ("HTTP/1.1"));
    }
  else
    return false;
  g_autofree char *text = g_strdup_printf (
      "%s%sodd\n", head, head[0] ? "Content-Length: 4\r\n\r\n" : "");
  evbuffer_add (bufferevent_get_output (c->bev), text, strlen (text));
  return true;
}

/* Responses before the body of the request has arrived.  */

bool
response_is_early (const char *directive)
{
  return g_str_has_prefix (directive, EARLY)
         || g_str_has_prefix (directive, STREAM_EARLY);
}

static void
send_early_part (struct conn *c)
{
  const char *d = c->directive;
  bool events = strstr (d, "events") != NULL;
  const char *part
      = events ? "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n" : "a part";
  g_autofree char *head = response_format_head (c->id, "200 OK", true);
  struct evbuffer *out = bufferevent_get_output (c->bev);
  evbuffer_add_printf (out, "%sContent-Type: %s\r\n", head,
                       events ? "text/event-stream" : "text/plain");
  if (strstr (d, "sized"))
    evbuffer_add_printf (out, "Content-Length: %d\r\n\r\n%s", SIZED_BYTES,
                         part);
  else if (strstr (d, "chunked"))
    evbuffer_add_printf (out,
                         "Transfer-Encoding: chunked\r\n\r\n%zx\r\n%s\r\n",
                         strlen (part), part);
  else
    evbuffer_add_printf (out, "\r\n%s", part);
  c->early = EARLY_SENT;
  response_set_timer (c, END_MS);
}

/* Ends the connection as the directive says.  A half-closed one is reset
   later.  */
static void
end_early (struct conn *c)
{
  if (g_str_has_suffix (c->directive, "half") && c->early == EARLY_SENT)
    {
      shutdown (bufferevent_getfd (c->bev), SHUT_WR);
      c->early = EARLY_HALF_CLOSED;
      response_set_timer (c, SILENCE_MS);
    }
  else if (g_str_has_suffix (c->directive, "close"))
    response_conn_free (c);
  else
    response_conn_reset (c);
}

void
response_start_early (struct conn *c)
{
  c->in_request = true;
  bufferevent_disable (c->bev, EV_READ);
  if (strstr (c->directive, "late"))
    response_set_timer (c, SILENCE_MS);
  else
    send_early_part (c);
}

void
response_continue_early (struct conn *c)
{
  if (c->early == EARLY_WAITING)
    send_early_part (c);
  else
    end_early (c);
}
