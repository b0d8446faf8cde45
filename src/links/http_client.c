#include "links/http_client.h"

#include "base/address.h"

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#define IDLE_MAX_MS 2000
#define CONNECT_TIMEOUT_S 2

struct idle
{
  struct evhttp_connection *conn;
  gint64 since_us;
};

struct http_client
{
  struct event_base *base;
  GHashTable *idle; /* address -> GArray of struct idle */
  GHashTable *calls;
};

struct http_call
{
  struct http_client *client;
  char *address;
  struct evhttp_connection *conn;
  struct evhttp_request *req;
  const struct http_events *events;
  void *arg;
  size_t sent;
  bool reused;
  bool ended;
  struct evbuffer_cb_entry *counter;
  struct event *reaper;
};

static void
idle_list_free (void *p)
{
  GArray *list = p;
  for (guint i = 0; i < list->len; i++)
    evhttp_connection_free (g_array_index (list, struct idle, i).conn);
  g_array_free (list, TRUE);
}

struct http_client *
http_client_create (struct event_base *base)
{
  struct http_client *c = g_new0 (struct http_client, 1);
  c->base = base;
  c->idle = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                   idle_list_free);
  c->calls = g_hash_table_new (NULL, NULL);
  return c;
}

static void
call_free (struct http_call *call)
{
  g_hash_table_remove (call->client->calls, call);
  if (call->reaper)
    event_free (call->reaper);
  g_free (call->address);
  g_free (call);
}

void
http_client_destroy (struct http_client *c)
{
  if (c == NULL)
    return;
  g_autoptr (GList) calls = g_hash_table_get_keys (c->calls);
  for (GList *l = calls; l; l = l->next)
    {
      struct http_call *call = l->data;
      if (call->conn)
        evhttp_connection_free (call->conn);
      call_free (call);
    }
  g_hash_table_destroy (c->calls);
  g_hash_table_destroy (c->idle);
  g_free (c);
}

/* Connections.  */

static void
count_sent (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
            void *arg)
{
  (void)buffer;
  struct http_call *call = arg;
  call->sent += info->n_deleted;
}

static struct evhttp_connection *
take_idle (struct http_client *c, const char *address)
{
  GArray *list = g_hash_table_lookup (c->idle, address);
  gint64 now = g_get_monotonic_time ();
  while (list && list->len > 0)
    {
      struct idle i = g_array_index (list, struct idle, list->len - 1);
      g_array_set_size (list, list->len - 1);
      if (now - i.since_us < IDLE_MAX_MS * 1000)
        return i.conn;
      evhttp_connection_free (i.conn);
    }
  return NULL;
}

static void
keep_idle (struct http_client *c, const char *address,
           struct evhttp_connection *conn)
{
  GArray *list = g_hash_table_lookup (c->idle, address);
  if (list == NULL)
    {
      list = g_array_new (FALSE, FALSE, sizeof (struct idle));
      g_hash_table_insert (c->idle, g_strdup (address), list);
    }
  /* The oldest go first, so that a quiet address keeps few.  */
  gint64 now = g_get_monotonic_time ();
  while (list->len > 0
         && now - g_array_index (list, struct idle, 0).since_us
                > IDLE_MAX_MS * 1000)
    {
      evhttp_connection_free (g_array_index (list, struct idle, 0).conn);
      g_array_remove_index (list, 0);
    }
  struct idle i = { conn, now };
  g_array_append_val (list, i);
}

static struct evhttp_connection *
open_connection (struct http_client *c, const char *address)
{
  g_autofree char *ip = NULL;
  uint16_t port = 0;
  if (!address_split (address, &ip, &port))
    return NULL;
  struct evhttp_connection *conn
      = evhttp_connection_base_new (c->base, NULL, ip, port);
  evhttp_connection_set_flags (conn, EVHTTP_CON_READ_ON_WRITE_ERROR);
  return conn;
}

static void
limit_silence (struct evhttp_connection *conn, unsigned timeout_ms)
{
  struct timeval tv = { timeout_ms / 1000, (timeout_ms % 1000) * 1000 };
  evhttp_connection_set_timeout_tv (conn, &tv);
}

/* Callbacks of evhttp.  */

static enum http_end
how_ended (const struct http_call *call, const struct evhttp_request *req)
{
  if (req && req->response_code != 0)
    return HTTP_END_WHOLE;
  return call->sent == 0 ? HTTP_END_NOT_SENT : HTTP_END_LOST;
}

static void
release_connection (struct http_call *call, struct evhttp_request *req,
                    bool whole)
{
  struct evbuffer *out = bufferevent_get_output (
      evhttp_connection_get_bufferevent (call->conn));
  evbuffer_remove_cb_entry (out, call->counter);
  const char *keep
      = whole ? evhttp_find_header (req->input_headers, "Connection") : NULL;
  bool close = !whole || (keep && g_ascii_strcasecmp (keep, "close") == 0);
  if (!close)
    keep_idle (call->client, call->address, call->conn);
  call->conn = close ? call->conn : NULL;
}

static void
reap (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct http_call *call = arg;
  if (call->conn)
    evhttp_connection_free (call->conn);
  call_free (call);
}

static void
reap_later (struct http_call *call)
{
  static const struct timeval at_once = { 0, 0 };
  call->reaper = evtimer_new (call->client->base, reap, call);
  evtimer_add (call->reaper, &at_once);
}

static void
on_done (struct evhttp_request *req, void *arg)
{
  struct http_call *call = arg;
  if (call->ended)
    return;
  struct http_answer a = { .end = how_ended (call, req), .content_type = "" };
  if (a.end == HTTP_END_WHOLE)
    {
      const char *type
          = evhttp_find_header (req->input_headers, "Content-Type");
      a.status = req->response_code;
      a.content_type = type ? type : "";
      a.body = req->input_buffer;
    }
  call->ended = true;
  call->events->on_end (call->arg, &a);
  release_connection (call, req, a.end == HTTP_END_WHOLE);
  reap_later (call);
}

static void
on_chunk (struct evhttp_request *req, void *arg)
{
  struct http_call *call = arg;
  if (!call->ended && req->response_code == 200)
    call->events->on_data (call->arg, req->input_buffer);
}

/* A truncated answer reaches on_done with its status set; only this callback
   tells.  */
static void
on_error (enum evhttp_request_error error, void *arg)
{
  struct http_call *call = arg;
  if (call->ended || error == EVREQ_HTTP_REQUEST_CANCEL)
    return;
  struct http_answer a
      = { .end = call->sent == 0 ? HTTP_END_NOT_SENT : HTTP_END_LOST,
          .content_type = "" };
  call->ended = true;
  call->events->on_end (call->arg, &a);
  reap_later (call);
}

static void
fail_at_once (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct http_call *call = arg;
  if (!call->ended)
    on_error (EVREQ_HTTP_EOF, call);
}

static enum evhttp_cmd_type
command (const char *method)
{
  if (strcmp (method, "GET") == 0)
    return EVHTTP_REQ_GET;
  if (strcmp (method, "PUT") == 0)
    return EVHTTP_REQ_PUT;
  if (strcmp (method, "DELETE") == 0)
    return EVHTTP_REQ_DELETE;
  return EVHTTP_REQ_POST;
}

static void
add_headers (struct evhttp_request *req, const struct http_order *o)
{
  struct evkeyvalq *h = req->output_headers;
  evhttp_add_header (h, "Host", o->address);
  if (o->content_type)
    evhttp_add_header (h, "Content-Type", o->content_type);
  if (o->traceparent && o->traceparent[0])
    evhttp_add_header (h, "traceparent", o->traceparent);
  if (o->request_id)
    evhttp_add_header (h, "X-Request-Id", o->request_id);
  if (o->authorization)
    evhttp_add_header (h, "Authorization", o->authorization);
  if (o->idempotency_key)
    evhttp_add_header (h, "Idempotency-Key", o->idempotency_key);
  if (o->body_size > 0)
    evbuffer_add (req->output_buffer, o->body, o->body_size);
}

static void
fail_soon (struct http_call *call)
{
  static const struct timeval at_once = { 0, 0 };
  event_base_once (call->client->base, -1, EV_TIMEOUT, fail_at_once, call,
                   &at_once);
}

struct http_call *
http_client_call (struct http_client *c, const struct http_order *o,
                  const struct http_events *events, void *arg)
{
  struct http_call *call = g_new0 (struct http_call, 1);
  call->client = c;
  call->address = g_strdup (o->address);
  call->events = events;
  call->arg = arg;
  g_hash_table_add (c->calls, call);
  call->conn = o->fresh ? NULL : take_idle (c, o->address);
  call->reused = call->conn != NULL;
  if (call->conn == NULL)
    call->conn = open_connection (c, o->address);
  if (call->conn == NULL)
    {
      fail_soon (call);
      return call;
    }
  limit_silence (call->conn, o->timeout_ms);
  call->counter = evbuffer_add_cb (
      bufferevent_get_output (evhttp_connection_get_bufferevent (call->conn)),
      count_sent, call);
  call->req = evhttp_request_new (on_done, call);
  evhttp_request_set_error_cb (call->req, on_error);
  if (events->on_data)
    evhttp_request_set_chunked_cb (call->req, on_chunk);
  add_headers (call->req, o);
  /* evhttp reports a failure to start from within; the call then ends through
     on_done as any other.  */
  if (evhttp_make_request (call->conn, call->req, command (o->method), o->path)
          != 0
      && !call->ended)
    fail_soon (call);
  return call;
}

void
http_call_cancel (struct http_call *call)
{
  if (call == NULL || call->ended)
    return;
  call->ended = true;
  reap_later (call);
}

size_t
http_call_sent (const struct http_call *call)
{
  return call->sent;
}
