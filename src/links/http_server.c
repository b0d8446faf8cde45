#include "links/http_server.h"

#include "base/error.h"
#include "config.h"
#include "links/http_listener.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>

#define BODY_JSON "application/json"
/* Time without a request after which a connection is closed.  */
#define IDLE_MS 60000

struct http_server
{
  struct http_listener *listener;
  http_handler *handler;
  void *arg;
};

struct http_request
{
  struct inbound_request *inbound;
  char *path;
  char *raw_query; /* NULL if there is none */
  struct evkeyvalq query;
  struct http_head *response;
  struct evbuffer *out; /* bytes passed to inbound_request_stream_send */
  void (*on_close) (void *);
  void *close_arg;
};

static void
request_free (struct http_request *r)
{
  evhttp_clear_headers (&r->query);
  http_head_destroy (r->response);
  evbuffer_free (r->out);
  g_free (r->path);
  g_free (r->raw_query);
  g_free (r);
}

static void
on_gone (void *arg)
{
  struct http_request *r = arg;
  void (*on_close) (void *) = r->on_close;
  void *close_arg = r->close_arg;
  request_free (r);
  if (on_close)
    on_close (close_arg);
}

static void
on_request (void *arg, struct inbound_request *inbound)
{
  struct http_server *s = arg;
  const char *target = inbound_request_head (inbound)->target;
  const char *query_start = strchr (target, '?');
  struct http_request *r = g_new0 (struct http_request, 1);
  r->inbound = inbound;
  r->path = query_start ? g_strndup (target, (gsize)(query_start - target))
                        : g_strdup (target);
  r->raw_query = query_start ? g_strdup (query_start + 1) : NULL;
  if (query_start == NULL
      || evhttp_parse_query_str (query_start + 1, &r->query) != 0)
    TAILQ_INIT (&r->query);
  r->response = http_head_create ();
  r->out = evbuffer_new ();
  inbound_request_on_close (inbound, on_gone, r);
  s->handler (s->arg, r);
}

/* Body of the error response to a request that the listener rejects, in the
   same format as other errors of the API.  */
static char *
on_refused (void *arg, unsigned status, const char *reason)
{
  (void)arg;
  enum result code = status == 413   ? RESULT_BODY_TOO_LARGE
                     : status == 431 ? RESULT_HEADERS_TOO_LARGE
                                     : RESULT_BAD_REQUEST;
  return g_strdup_printf ("{\"error\":{\"code\":\"%s\",\"message\":\"%s\"}}\n",
                          result_info (code)->name, reason);
}

static const struct http_listener_callbacks http_listener_callbacks
    = { on_request, on_refused };

struct http_server *
http_server_create (struct event_base *base, const char *ip, uint16_t port,
                    const struct http_limits *limits, http_handler *handler,
                    void *arg, GError **error)
{
  g_autofree char *address = g_strdup_printf ("%s:%u", ip, (unsigned)port);
  struct http_listener_limits listener_limits
      = { .head_bytes = limits->header_bytes,
          .body_bytes = limits->body_bytes,
          .read_ms = CALLER_READ_TIMEOUT_MS,
          .idle_ms = IDLE_MS,
          .connections = limits->connections,
          .clock = limits->clock };
  struct http_server *s = g_new0 (struct http_server, 1);
  s->handler = handler;
  s->arg = arg;
  s->listener = http_listener_create (base, address, &listener_limits,
                                      &http_listener_callbacks, s, error);
  if (s->listener)
    return s;
  g_free (s);
  return NULL;
}

void
http_server_destroy (struct http_server *server)
{
  if (server == NULL)
    return;
  http_listener_destroy (server->listener);
  g_free (server);
}

void
http_server_close_listener (struct http_server *server)
{
  http_listener_stop_accepting (server->listener);
}

unsigned
http_server_open_requests (const struct http_server *server)
{
  return http_listener_open_requests (server->listener);
}

int64_t
http_request_since_ms (const struct http_request *r)
{
  return inbound_request_since_ms (r->inbound);
}

const char *
http_request_method (const struct http_request *r)
{
  return inbound_request_head (r->inbound)->method;
}

const char *
http_request_path (const struct http_request *r)
{
  return r->path;
}

const char *
http_request_raw_query (const struct http_request *r)
{
  return r->raw_query;
}

const char *
http_request_query (const struct http_request *r, const char *name)
{
  return evhttp_find_header (&r->query, name);
}

const char *
http_request_header (const struct http_request *r, const char *name)
{
  return http_head_get (inbound_request_head (r->inbound), name);
}

const void *
http_request_body (const struct http_request *r, size_t *size)
{
  struct evbuffer *body = inbound_request_body (r->inbound);
  *size = evbuffer_get_length (body);
  return *size ? evbuffer_pullup (body, -1) : (const void *)"";
}

void
http_request_set_header (struct http_request *r, const char *name,
                         const char *value)
{
  http_head_add (r->response, name, value);
}

void
http_request_reply (struct http_request *r, int status,
                    const char *content_type, const void *body, size_t size)
{
  struct inbound_request *inbound = r->inbound;
  r->response->status = (unsigned)status;
  http_head_add (r->response, "Content-Type", content_type);
  inbound_request_reply (inbound, r->response, body, size);
  request_free (r);
}

void
http_request_stream_start (struct http_request *r)
{
  r->response->status = 200;
  http_head_add (r->response, "Content-Type", "text/event-stream");
  http_head_add (r->response, "Cache-Control", "no-store");
  inbound_request_stream_start (r->inbound, r->response, HTTP_FRAMING_CHUNKED,
                                0);
}

void
http_request_stream_send (struct http_request *r, const void *data,
                          size_t size)
{
  evbuffer_add (r->out, data, size);
  inbound_request_stream_send (r->inbound, r->out);
}

size_t
http_request_stream_backlog (const struct http_request *r)
{
  return inbound_request_stream_backlog (r->inbound);
}

void
http_request_stream_end (struct http_request *r)
{
  struct inbound_request *inbound = r->inbound;
  request_free (r);
  inbound_request_stream_end (inbound);
}

void
http_request_abort (struct http_request *r)
{
  struct inbound_request *inbound = r->inbound;
  inbound_request_abort (inbound);
  on_gone (r);
}

void
http_request_on_close (struct http_request *r, void (*on_close) (void *),
                       void *arg)
{
  r->on_close = on_close;
  r->close_arg = arg;
}
