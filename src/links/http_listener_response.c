#include "links/http_listener_conn.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

/* Parts of a response up to this size are copied.  A larger one is moved, with
   all of the memory that was allocated for it.  */
#define COPIED_MAX_BYTES ((size_t)1024)

/* Reading of a request and sending of its response.  */

struct http_head *
inbound_request_head (struct inbound_request *r)
{
  return http_codec_head (r->conn->codec);
}

struct evbuffer *
inbound_request_body (struct inbound_request *r)
{
  return r->conn->body;
}

int64_t
inbound_request_start_ms (const struct inbound_request *r)
{
  return r->conn->request_start_ms;
}

int64_t
inbound_request_since_ms (const struct inbound_request *r)
{
  return r->conn->request_since_ms;
}

void
inbound_request_on_close (struct inbound_request *r, void (*on_close) (void *),
                          void *arg)
{
  r->on_close = on_close;
  r->on_close_arg = arg;
}

void
inbound_request_on_drained (struct inbound_request *r,
                            void (*on_drained) (void *), void *arg)
{
  r->on_drained = on_drained;
  r->on_drained_arg = arg;
}

static struct evbuffer *
get_output (const struct inbound_request *r)
{
  return bufferevent_get_output (r->conn->bev);
}

/* Writes HEAD with the line FRAMING added to its fields.  */
static void
write_head (struct inbound_request *r, const struct http_head *head,
            const char *framing)
{
  g_autoptr (GString) text = g_string_new (NULL);
  http_head_write (head, text);
  g_string_truncate (text, text->len - 2); /* remove the empty line */
  g_string_append (text, framing);
  if (r->conn->close_after_response)
    g_string_append (text, "Connection: close\r\n");
  g_string_append (text, "\r\n");
  evbuffer_add (get_output (r), text->str, text->len);
  r->conn->head_written = true;
}

void
inbound_request_reply (struct inbound_request *r, const struct http_head *head,
                       const void *body, size_t size)
{
  g_autofree char *framing = g_strdup_printf ("Content-Length: %zu\r\n", size);
  const struct http_head *req = inbound_request_head (r);
  bool bodiless = req && strcmp (req->method, "HEAD") == 0;
  write_head (r, head, framing);
  if (size > 0 && !bodiless)
    evbuffer_add (get_output (r), body, size);
  http_conn_end_response (r->conn);
}

/* While RESET is set, closing the connection resets it, also at the end of the
   process.  Where a close ends the body, only a reset shows the caller that
   the body is incomplete.  */
static void
set_reset_on_close (const struct http_listener_conn *c, bool reset)
{
  struct linger linger = { reset, 0 };
  (void)setsockopt (bufferevent_getfd (c->bev), SOL_SOCKET, SO_LINGER, &linger,
                    sizeof linger);
}

void
inbound_request_stream_start (struct inbound_request *r,
                              const struct http_head *head,
                              enum http_framing framing, uint64_t length)
{
  g_autofree char *text = NULL;
  bool http10 = inbound_request_head (r)->minor == 0;
  if (framing == HTTP_FRAMING_CHUNKED || framing == HTTP_FRAMING_CLOSE)
    framing = http10 ? HTTP_FRAMING_CLOSE : HTTP_FRAMING_CHUNKED;
  r->framing = framing;
  if (framing == HTTP_FRAMING_SIZED)
    text = g_strdup_printf ("Content-Length: %" G_GUINT64_FORMAT "\r\n",
                            (guint64)length);
  if (framing == HTTP_FRAMING_CLOSE)
    {
      r->conn->close_after_response = true;
      set_reset_on_close (r->conn, true);
    }
  write_head (r, head,
              framing == HTTP_FRAMING_CHUNKED
                  ? "Transfer-Encoding: chunked\r\n"
                  : (text ? text : ""));
  http_output_set_response (r->conn, true);
}

void
inbound_request_stream_send (struct inbound_request *r, struct evbuffer *data)
{
  size_t n = evbuffer_get_length (data);
  if (n == 0)
    return;
  if (r->framing == HTTP_FRAMING_CHUNKED)
    evbuffer_add_printf (get_output (r), "%zx\r\n", n);
  if (n <= COPIED_MAX_BYTES)
    {
      evbuffer_add (get_output (r), evbuffer_pullup (data, -1), n);
      evbuffer_drain (data, n);
    }
  else
    evbuffer_add_buffer (get_output (r), data);
  if (r->framing == HTTP_FRAMING_CHUNKED)
    evbuffer_add (get_output (r), "\r\n", 2);
}

size_t
inbound_request_stream_backlog (const struct inbound_request *r)
{
  return evbuffer_get_length (get_output (r));
}

void
inbound_request_stream_end (struct inbound_request *r)
{
  if (r->framing == HTTP_FRAMING_CHUNKED)
    evbuffer_add (get_output (r), "0\r\n\r\n", 5);
  if (r->framing == HTTP_FRAMING_CLOSE)
    set_reset_on_close (r->conn, false);
  http_conn_end_response (r->conn);
}

void
inbound_request_abort (struct inbound_request *r)
{
  struct http_listener_conn *c = r->conn;
  r->on_close = NULL;
  http_conn_free (c);
}
