#include "links/http_client.h"

#include "links/pool.h"

#include <string.h>

/* A connection that was idle for longer is not reused.  */
#define REUSE_MS 2000
/* No effective limit: the users of the client limit their concurrent calls
   themselves.  */
#define CONNECTIONS_MAX 65535

struct http_client
{
  struct event_base *base;
  struct pool *pool;
  GHashTable *calls; /* set of struct http_call */
};

struct http_call
{
  struct http_client *client;
  struct pool_call *call; /* NULL if the pool had no connection */
  const struct http_client_callbacks *callbacks;
  void *arg;
  struct event *timer; /* ends the call on time-out, or at once if it could not
                          be sent */
  unsigned timeout_ms;
  int status;
  char *content_type;
  const char *field_name;
  char *field;
  struct evbuffer *body;
  bool ended; /* on_end runs; the call is freed after it */
};

/* Time-out, response and end of a call.  */

static void
call_free (struct http_call *call)
{
  g_hash_table_remove (call->client->calls, call);
  event_free (call->timer);
  evbuffer_free (call->body);
  g_free (call->content_type);
  g_free (call->field);
  g_free (call);
}

static void
call_end (struct http_call *call, enum http_outcome end)
{
  bool complete = end == HTTP_OUTCOME_COMPLETE;
  struct http_response a
      = { .end = end,
          .status = complete ? call->status : 0,
          .content_type
          = complete && call->content_type ? call->content_type : "",
          .field = complete ? call->field : NULL,
          .body = complete ? call->body : NULL };
  call->call = NULL;
  call->ended = true;
  call->callbacks->on_end (call->arg, &a);
  call_free (call);
}

/* Restarts the time-out of CALL, at its start and whenever a part of the
   response has arrived.  */
static void
restart_timer (struct http_call *call)
{
  struct timeval tv
      = { call->timeout_ms / 1000, (call->timeout_ms % 1000) * 1000 };
  evtimer_add (call->timer, &tv);
}

static void
on_timeout (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct http_call *call = arg;
  bool sent = http_call_bytes_sent (call);
  pool_cancel (call->call);
  call_end (call, sent ? HTTP_OUTCOME_UNKNOWN : HTTP_OUTCOME_NOT_SENT);
}

static void
on_head (void *arg, struct http_head *head, enum http_framing framing,
         uint64_t length)
{
  struct http_call *call = arg;
  (void)framing;
  (void)length;
  call->status = (int)head->status;
  call->content_type = g_strdup (http_head_get (head, "Content-Type"));
  if (call->field_name)
    call->field = g_strdup (http_head_get (head, call->field_name));
  restart_timer (call);
}

static void
on_data (void *arg, struct evbuffer *data)
{
  struct http_call *call = arg;
  size_t size = evbuffer_get_length (call->body) + evbuffer_get_length (data);
  if (size > HTTP_CLIENT_BODY_MAX_BYTES)
    {
      pool_cancel (call->call);
      call_end (call, HTTP_OUTCOME_UNKNOWN);
      return;
    }
  evbuffer_add_buffer (call->body, data);
  restart_timer (call);
  if (call->callbacks->on_data && call->status == 200)
    call->callbacks->on_data (call->arg, call->body);
}

static void
on_end (void *arg, enum pool_outcome end)
{
  struct http_call *call = arg;
  switch (end)
    {
    case POOL_COMPLETE:
      call_end (call, HTTP_OUTCOME_COMPLETE);
      break;
    case POOL_NOT_SENT:
      call_end (call, HTTP_OUTCOME_NOT_SENT);
      break;
    default:
      call_end (call, HTTP_OUTCOME_UNKNOWN);
      break;
    }
}

static const struct pool_callbacks pool_callbacks
    = { on_head, on_data, on_end };

/* Start and cancellation of a call.  */

static void
add_field (struct http_head *h, const char *name, const char *value)
{
  if (value && value[0])
    http_head_add (h, name, value);
}

static struct http_head *
build_head (const struct http_client_request *o)
{
  struct http_head *h = http_head_create ();
  h->method = g_strdup (o->method);
  h->target = g_strdup (o->path);
  add_field (h, "Host", o->address);
  add_field (h, "Content-Type", o->content_type);
  add_field (h, "traceparent", o->traceparent);
  add_field (h, "X-Request-Id", o->request_id);
  add_field (h, "Authorization", o->authorization);
  add_field (h, "Idempotency-Key", o->idempotency_key);
  if (o->body_size > 0 || strcmp (o->method, "GET") != 0)
    {
      g_autofree char *length = g_strdup_printf ("%zu", o->body_size);
      http_head_add (h, "Content-Length", length);
    }
  return h;
}

struct http_call *
http_client_call (struct http_client *c, const struct http_client_request *o,
                  const struct http_client_callbacks *callbacks, void *arg)
{
  struct http_call *call = g_new0 (struct http_call, 1);
  struct http_head *head = build_head (o);
  struct evbuffer *body = evbuffer_new ();
  evbuffer_add (body, o->body, o->body_size);
  struct pool_request r = { .upstream = o->address,
                            .address = o->address,
                            .connections = CONNECTIONS_MAX,
                            .head = head,
                            .body = body,
                            .reuse_ms = REUSE_MS,
                            .new_connection = o->new_connection };
  call->client = c;
  call->callbacks = callbacks;
  call->arg = arg;
  call->timeout_ms = o->timeout_ms;
  call->field_name = o->field;
  call->body = evbuffer_new ();
  call->timer = evtimer_new (c->base, on_timeout, call);
  g_hash_table_add (c->calls, call);
  call->call = pool_send (c->pool, &r, &pool_callbacks, call);
  if (call->call == NULL)
    call->timeout_ms = 0;
  restart_timer (call);
  http_head_destroy (head);
  evbuffer_free (body);
  return call;
}

void
http_call_cancel (struct http_call *call)
{
  if (call == NULL || call->ended)
    return;
  pool_cancel (call->call);
  call_free (call);
}

bool
http_call_bytes_sent (const struct http_call *call)
{
  return call->call && pool_call_bytes_sent (call->call);
}

/* Creation and release of the client.  */

struct http_client *
http_client_create (struct event_base *base)
{
  struct http_client *c = g_new0 (struct http_client, 1);
  c->base = base;
  c->pool = pool_create (base, 0);
  c->calls = g_hash_table_new (NULL, NULL);
  return c;
}

/* Cancels CALL, whose owner may be gone.  */
static void
drop_call (struct http_call *call)
{
  void (*free_arg) (void *) = call->callbacks->free_arg;
  void *arg = call->arg;
  http_call_cancel (call);
  if (free_arg)
    free_arg (arg);
}

void
http_client_destroy (struct http_client *c)
{
  if (c == NULL)
    return;
  g_autoptr (GList) calls = g_hash_table_get_keys (c->calls);
  for (GList *l = calls; l; l = l->next)
    drop_call (l->data);
  pool_destroy (c->pool);
  g_hash_table_destroy (c->calls);
  g_free (c);
}
