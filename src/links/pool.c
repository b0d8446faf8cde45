#include "links/pool.h"

#include "base/address.h"
#include "base/clock.h"
#include "links/bev_close.h"
#include "links/pool_socket.h"

#include <errno.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <string.h>

/* Time limit for opening a connection: two round trips between regions and one
   retransmission of a lost packet.  */
#define CONNECT_TIMEOUT_MS 700
/* An idle connection is closed IDLE_MARGIN_MS before the time-out that the
   upstream sends in Keep-Alive, or after IDLE_TIMEOUT_MS if it sends none.  */
#define IDLE_TIMEOUT_MS 4000
#define IDLE_MARGIN_MS 700
/* Reading from the socket stops while this many response bytes wait to be
   parsed.  */
#define READ_AHEAD_BYTES (256U * 1024)

/* Most interim (1xx) and stray responses before the response to a call.  */
#define SKIPPED_MAX 32
#define FIRST_ERROR_STATUS 400

/* Connections to one upstream.  */
struct host
{
  struct pool *pool;
  char *name;
  char *address;
  GPtrArray *idle; /* struct conn, least recently used first */
  unsigned total;  /* connections, busy and idle */
};

struct conn
{
  struct host *host;
  struct bufferevent *bev;
  struct http_codec *codec;
  struct event *idle_timer;
  struct pool_call *call; /* NULL while idle */
  int64_t idle_since_ms;
  unsigned idle_timeout_ms; /* idle time after which it is closed */
  unsigned unacked_ms;      /* TCP_USER_TIMEOUT */
  size_t receive_bytes;     /* the kernel's buffer for responses */
  bool connected;
  bool reused;        /* it has carried a request before this one */
  bool no_reuse;      /* a stray response came, or the upstream closed it */
  bool in_callback;   /* a libevent callback of it runs; it is not freed */
  bool close_pending; /* to be freed when the libevent callback returns */
};

struct pool_call
{
  struct conn *conn;
  const struct pool_callbacks *callbacks;
  void *arg;
  char *id_field;
  bool id_optional;
  char *id;
  bool bodiless; /* HEAD request: its response has no body */
  bool sent;     /* request bytes were written to the socket */
  bool head_seen;
  bool stray; /* the response being read carries the id of another request */
  unsigned skipped;      /* interim and stray responses */
  struct evbuffer *body; /* response bytes not yet drained by on_data */
};

struct pool
{
  struct event_base *base;
  unsigned connections; /* most, to all upstreams; 0: no bound */
  unsigned total;       /* busy and idle */
  GHashTable *hosts;    /* name -> struct host */
  GHashTable *calls;    /* set of struct pool_call */
  struct pool_counts counts;
};

/* Closing of connections and end of calls.  */

static void
conn_free (struct conn *c)
{
  struct host *h = c->host;
  g_ptr_array_remove (h->idle, c);
  h->total--;
  h->pool->total--;
  event_free (c->idle_timer);
  bev_close (c->bev);
  http_codec_destroy (c->codec);
  g_free (c);
}

/* Takes C, which is idle, out of the idle list and frees it, or lets its
   callback that runs do so.  */
static void
conn_discard (struct conn *c)
{
  g_ptr_array_remove (c->host->idle, c);
  if (c->in_callback)
    c->close_pending = true;
  else
    conn_free (c);
}

static void
host_free (void *p)
{
  struct host *h = p;
  while (h->idle->len > 0)
    conn_free (g_ptr_array_index (h->idle, h->idle->len - 1));
  g_ptr_array_free (h->idle, TRUE);
  g_free (h->name);
  g_free (h->address);
  g_free (h);
}

static void
conn_close (struct conn *c)
{
  struct host *h = c->host;
  if (c->in_callback)
    {
      c->close_pending = true;
      return;
    }
  conn_free (c);
  if (h->total == 0)
    g_hash_table_remove (h->pool->hosts, h->name);
}

static void
call_free (struct pool_call *call)
{
  struct pool *pool = call->conn ? call->conn->host->pool : NULL;
  if (pool)
    g_hash_table_remove (pool->calls, call);
  evbuffer_free (call->body);
  g_free (call->id_field);
  g_free (call->id);
  g_free (call);
}

static void
call_end (struct pool_call *call, enum pool_outcome end)
{
  const struct pool_callbacks *callbacks = call->callbacks;
  void *arg = call->arg;
  struct conn *c = call->conn;
  c->call = NULL;
  call_free (call);
  conn_close (c);
  callbacks->on_end (arg, end);
}

/* Idle time after which the connection is closed: the time-out in Keep-Alive
   less the margin.  0, which rules out reuse, if that leaves nothing; the
   default if the time-out is missing or over an hour.  */
static unsigned
parse_idle_timeout_ms (const struct http_head *h)
{
  const char *text = http_head_get (h, "Keep-Alive");
  const char *at = text ? strstr (text, "timeout=") : NULL;
  if (at == NULL)
    return IDLE_TIMEOUT_MS;
  guint64 s = g_ascii_strtoull (at + strlen ("timeout="), NULL, 10);
  if (s == 0 || s > 3600)
    return s == 0 ? 0 : IDLE_TIMEOUT_MS;
  unsigned ms = (unsigned)s * 1000;
  return ms > IDLE_MARGIN_MS ? ms - IDLE_MARGIN_MS : 0;
}

static void
conn_make_idle (struct conn *c)
{
  struct timeval tv
      = { c->idle_timeout_ms / 1000, (c->idle_timeout_ms % 1000) * 1000 };
  c->idle_since_ms = clock_ms ();
  g_ptr_array_add (c->host->idle, c);
  evtimer_add (c->idle_timer, &tv);
  http_codec_next (c->codec, false);
}

/* Reading of responses.  */

static bool
id_matches (const struct pool_call *call, const struct http_head *h)
{
  if (call->id_field == NULL)
    return true;
  const char *id = http_head_get (h, call->id_field);
  return id && call->id && strcmp (id, call->id) == 0;
}

/* Whether the response to the call of C must have its id: always, unless no
   earlier request was sent on the connection.  */
static bool
id_required (const struct conn *c)
{
  return !c->call->id_optional || c->reused;
}

static bool
is_stray (const struct conn *c, const struct http_head *h)
{
  const struct pool_call *call = c->call;
  return id_required (c) && call->id_field && http_head_get (h, call->id_field)
         && !id_matches (call, h);
}

/* Checks that HEAD has the id of the request, where it must, and passes it to
   on_head.  Marks the response as stray if it has another id, and ends the
   call if it has none.  Returns false if the call has ended.  */
static bool
handle_head (struct conn *c, struct http_head *head)
{
  struct pool_call *call = c->call;
  call->head_seen = true;
  if (is_stray (c, head))
    {
      call->stray = true;
      c->no_reuse = true;
      c->host->pool->counts.stray_responses++;
      return true;
    }
  bool named = id_matches (call, head);
  if (!named && id_required (c))
    {
      call_end (call, POOL_BAD_RESPONSE);
      return false;
    }
  c->no_reuse = c->no_reuse || !named;
  uint64_t length = 0;
  enum http_framing framing = http_codec_framing (c->codec, &length);
  c->idle_timeout_ms = parse_idle_timeout_ms (head);
  call->callbacks->on_head (call->arg, head, framing, length);
  return !c->close_pending;
}

static void
response_complete (struct conn *c)
{
  struct pool_call *call = c->call;
  const struct pool_callbacks *callbacks = call->callbacks;
  void *arg = call->arg;
  size_t unsent = evbuffer_get_length (bufferevent_get_output (c->bev));
  size_t extra = evbuffer_get_length (bufferevent_get_input (c->bev));
  bool keep = http_codec_keep_alive (c->codec) && !c->no_reuse && unsent == 0
              && extra == 0 && c->idle_timeout_ms > 0;
  c->call = NULL;
  call_free (call);
  if (keep)
    conn_make_idle (c);
  else
    conn_close (c);
  callbacks->on_end (arg, POOL_COMPLETE);
}

/* Discards a 1xx or stray response and prepares the codec for the next one
   on the connection.  Ends the call after too many of them and returns
   false.  */
static bool
skip_response (struct conn *c)
{
  struct pool_call *call = c->call;
  if (++call->skipped > SKIPPED_MAX)
    {
      call_end (call, POOL_BAD_RESPONSE);
      return false;
    }
  evbuffer_drain (call->body, evbuffer_get_length (call->body));
  call->stray = false;
  call->head_seen = false;
  http_codec_next (c->codec, call->bodiless);
  return true;
}

static bool
deliver_body (struct conn *c)
{
  struct pool_call *call = c->call;
  if (call->stray)
    evbuffer_drain (call->body, evbuffer_get_length (call->body));
  else if (call->head_seen && evbuffer_get_length (call->body) > 0)
    call->callbacks->on_data (call->arg, call->body);
  return !c->close_pending;
}

/* Parses the input up to the end of one response.  Returns true after a 1xx
   or stray response, because the response to the call is still to come; false
   if the call has ended or the response is incomplete.  */
static bool
read_message (struct conn *c)
{
  struct pool_call *call = c->call;
  struct evbuffer *in = bufferevent_get_input (c->bev);
  enum http_parse_state p = http_codec_feed (c->codec, in, call->body);
  if (p == HTTP_REJECTED)
    {
      call_end (call, POOL_BAD_RESPONSE);
      return false;
    }
  struct http_head *head = http_codec_head (c->codec);
  if (head == NULL)
    return false;
  if (head->status < 200)
    return p == HTTP_COMPLETE && skip_response (c);
  if (!call->head_seen && !handle_head (c, head))
    return false;
  if (!deliver_body (c) || p != HTTP_COMPLETE)
    return false;
  if (call->stray)
    return skip_response (c);
  response_complete (c);
  return false;
}

static void
finish_callback (struct conn *c)
{
  c->in_callback = false;
  if (c->close_pending)
    conn_close (c);
}

static void
on_readable (struct bufferevent *bev, void *arg)
{
  struct conn *c = arg;
  c->in_callback = true;
  /* Input on an idle connection belongs to no request: close it.  */
  c->close_pending = c->call == NULL;
  while (!c->close_pending
         && evbuffer_get_length (bufferevent_get_input (bev)) > 0
         && read_message (c))
    continue;
  finish_callback (c);
}

static enum pool_outcome
classify_failure (const struct conn *c, short what, int error)
{
  const struct pool_call *call = c->call;
  if (!c->connected || !call->sent)
    return POOL_NOT_SENT;
  if ((what & BEV_EVENT_TIMEOUT) || error == ETIMEDOUT)
    return POOL_UNRESPONSIVE;
  return POOL_DISCONNECTED;
}

/* Whether the upstream has acknowledged all bytes of the request on C.  */
static bool
request_has_arrived (const struct conn *c)
{
  return evbuffer_get_length (bufferevent_get_output (c->bev)) == 0
         && pool_socket_is_acked (bufferevent_getfd (c->bev));
}

/* Whether the end of the connection completes the response to the call of C:
   nothing else delimits it, and the end was read.  An upstream that has not
   got the whole request cannot have handled it, so a successful response then
   counts as broken off; an error may come before the request was read.  */
static bool
end_completes_response (struct conn *c, short what)
{
  const struct pool_call *call = c->call;
  short at_end = BEV_EVENT_EOF | BEV_EVENT_READING;
  if ((what & at_end) != at_end || !call->head_seen || call->stray)
    return false;
  if (http_codec_head (c->codec)->status < FIRST_ERROR_STATUS
      && !request_has_arrived (c))
    return false;
  return http_codec_eof (c->codec) == HTTP_COMPLETE;
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  (void)bev;
  struct conn *c = arg;
  int error = EVUTIL_SOCKET_ERROR ();
  if (what & BEV_EVENT_CONNECTED)
    {
      c->connected = true;
      bufferevent_set_timeouts (c->bev, NULL, NULL);
      return;
    }
  c->in_callback = true;
  if (c->call == NULL)
    c->close_pending = true;
  else if (end_completes_response (c, what))
    {
      c->no_reuse = true;
      response_complete (c);
    }
  else
    call_end (c->call, classify_failure (c, what, error));
  finish_callback (c);
}

static void
on_idle_timeout (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  conn_close (arg);
}

/* Callback of the output buffer: bytes that leave it were written to the
   socket.  */
static void
on_output_drained (struct evbuffer *buffer,
                   const struct evbuffer_cb_info *info, void *arg)
{
  (void)buffer;
  struct conn *c = arg;
  if (info->n_deleted > 0 && c->call)
    c->call->sent = true;
}

/* Opening and reuse of connections.  */

/* Sets how long bytes and probes may stay unacknowledged on C.  */
static void
set_unacked_ms (struct conn *c, unsigned ms)
{
  if (ms == 0)
    ms = POOL_UNACKED_MS;
  if (ms == c->unacked_ms)
    return;
  c->unacked_ms = ms;
  pool_socket_set_unacked_ms (bufferevent_getfd (c->bev), ms);
}

/* Bounds the kernel's buffer for responses on C, whose socket is FD.  */
static void
set_receive_bytes (struct conn *c, evutil_socket_t fd, size_t bytes)
{
  if (bytes == 0)
    bytes = POOL_RECEIVE_BYTES;
  if (bytes == c->receive_bytes)
    return;
  c->receive_bytes = bytes;
  pool_socket_set_receive_bytes (fd, bytes);
}

static bool
conn_connect (struct conn *c, size_t receive_bytes)
{
  struct sockaddr_in sa;
  if (!address_to_sockaddr (c->host->address, &sa))
    return false;
  evutil_socket_t fd = pool_socket_open ();
  if (fd < 0)
    return false;
  set_receive_bytes (c, fd, receive_bytes);
  bufferevent_setfd (c->bev, fd);
  struct timeval tv
      = { CONNECT_TIMEOUT_MS / 1000, (CONNECT_TIMEOUT_MS % 1000) * 1000 };
  bufferevent_set_timeouts (c->bev, &tv, &tv);
  return bufferevent_socket_connect (c->bev, (struct sockaddr *)&sa, sizeof sa)
         == 0;
}

static struct conn *
conn_open (struct host *h, size_t receive_bytes)
{
  static const struct http_size_limits no_limits = { 0, 0 };
  struct conn *c = g_new0 (struct conn, 1);
  c->host = h;
  h->total++;
  h->pool->total++;
  c->bev = bufferevent_socket_new (h->pool->base, -1, BEV_OPT_CLOSE_ON_FREE);
  c->codec = http_codec_create (HTTP_SIDE_RESPONSES, &no_limits);
  c->idle_timer = evtimer_new (h->pool->base, on_idle_timeout, c);
  evbuffer_add_cb (bufferevent_get_output (c->bev), on_output_drained, c);
  bufferevent_setcb (c->bev, on_readable, NULL, on_event, c);
  bufferevent_setwatermark (c->bev, EV_READ, 0, READ_AHEAD_BYTES);
  bufferevent_set_max_single_read (c->bev, HTTP_READ_BYTES);
  h->pool->counts.opened++;
  if (!conn_connect (c, receive_bytes))
    {
      conn_free (c);
      return NULL;
    }
  bufferevent_enable (c->bev, EV_READ | EV_WRITE);
  return c;
}

/* Removes the most recently used connection from the idle list and returns
   it; NULL if none has been idle for REUSE_MS or less.  Closes unusable ones
   on the way.  */
static struct conn *
reuse_idle_conn (struct host *h, unsigned reuse_ms)
{
  while (h->idle->len > 0)
    {
      struct conn *c = g_ptr_array_index (h->idle, h->idle->len - 1);
      if (clock_ms () - c->idle_since_ms > (int64_t)reuse_ms)
        return NULL;
      if (pool_socket_is_usable (bufferevent_getfd (c->bev)))
        {
          g_ptr_array_remove_index (h->idle, h->idle->len - 1);
          evtimer_del (c->idle_timer);
          c->reused = true;
          h->pool->counts.reused++;
          return c;
        }
      conn_discard (c);
    }
  return NULL;
}

/* Returns the host for the upstream of R, created if needed.  If the address
   of the upstream has changed, its idle connections are closed.  */
static struct host *
get_host (struct pool *pool, const struct pool_request *r)
{
  struct host *h = g_hash_table_lookup (pool->hosts, r->upstream);
  if (h && strcmp (h->address, r->address) != 0)
    {
      pool_close_idle (pool, r->upstream);
      h = g_hash_table_lookup (pool->hosts, r->upstream);
      if (h)
        {
          g_free (h->address);
          h->address = g_strdup (r->address);
        }
    }
  if (h)
    return h;
  h = g_new0 (struct host, 1);
  h->pool = pool;
  h->name = g_strdup (r->upstream);
  h->address = g_strdup (r->address);
  h->idle = g_ptr_array_new ();
  g_hash_table_insert (pool->hosts, h->name, h);
  return h;
}

/* Closes the connection that has been idle for longest if the pool is at its
   bound.  Keeps the host KEPT.  */
static void
make_room (struct pool *pool, const struct host *kept)
{
  struct conn *oldest = NULL;
  GHashTableIter it;
  gpointer value;
  if (pool->connections == 0 || pool->total < pool->connections)
    return;
  g_hash_table_iter_init (&it, pool->hosts);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct host *h = value;
      struct conn *c
          = h->idle->len > 0 ? g_ptr_array_index (h->idle, 0) : NULL;
      if (c && (oldest == NULL || c->idle_since_ms < oldest->idle_since_ms))
        oldest = c;
    }
  if (oldest == NULL)
    return;
  struct host *h = oldest->host;
  conn_discard (oldest);
  if (h != kept && h->total == 0)
    g_hash_table_remove (pool->hosts, h->name);
}

/* Returns an idle connection or opens one.  At the connection limit the least
   recently used idle connection is closed first; NULL if all are busy.  */
static struct conn *
get_conn (struct host *h, const struct pool_request *r)
{
  struct conn *c = r->new_connection ? NULL : reuse_idle_conn (h, r->reuse_ms);
  if (c)
    return c;
  if (h->total >= r->connections && h->idle->len > 0)
    conn_discard (g_ptr_array_index (h->idle, 0));
  if (h->total >= r->connections)
    return NULL;
  make_room (h->pool, h);
  return conn_open (h, r->receive_bytes);
}

/* Sending, cancelling and pausing of calls.  */

static void
send_request (struct conn *c, const struct pool_request *r)
{
  g_autoptr (GString) text = g_string_new (NULL);
  struct evbuffer *out = bufferevent_get_output (c->bev);
  http_head_write (r->head, text);
  evbuffer_add (out, text->str, text->len);
  if (r->body && evbuffer_get_length (r->body) > 0)
    evbuffer_add_buffer_reference (out, r->body);
}

struct pool_call *
pool_send (struct pool *pool, const struct pool_request *r,
           const struct pool_callbacks *callbacks, void *arg)
{
  struct host *h = get_host (pool, r);
  struct conn *c = get_conn (h, r);
  if (c == NULL)
    {
      if (h->total == 0)
        g_hash_table_remove (pool->hosts, h->name);
      return NULL;
    }
  struct pool_call *call = g_new0 (struct pool_call, 1);
  call->conn = c;
  call->callbacks = callbacks;
  call->arg = arg;
  call->id_field = g_strdup (r->id_field);
  call->id_optional = r->id_optional;
  call->id
      = r->id_field ? g_strdup (http_head_get (r->head, r->id_field)) : NULL;
  call->bodiless = strcmp (r->head->method, "HEAD") == 0;
  call->body = evbuffer_new ();
  c->call = call;
  set_unacked_ms (c, r->unacked_ms);
  set_receive_bytes (c, bufferevent_getfd (c->bev), r->receive_bytes);
  http_codec_next (c->codec, call->bodiless);
  g_hash_table_add (pool->calls, call);
  send_request (c, r);
  return call;
}

void
pool_cancel (struct pool_call *call)
{
  if (call == NULL)
    return;
  struct conn *c = call->conn;
  c->call = NULL;
  call_free (call);
  conn_close (c);
}

void
pool_pause (struct pool_call *call, bool paused)
{
  if (paused)
    bufferevent_disable (call->conn->bev, EV_READ);
  else
    bufferevent_enable (call->conn->bev, EV_READ);
}

bool
pool_call_bytes_sent (const struct pool_call *call)
{
  return call->sent;
}

bool
pool_call_has_ended (const struct pool_call *call)
{
  return pool_socket_has_ended (bufferevent_getfd (call->conn->bev));
}

/* Creation, release and queries of the pool.  */

struct pool *
pool_create (struct event_base *base, unsigned connections)
{
  struct pool *pool = g_new0 (struct pool, 1);
  pool->base = base;
  pool->connections = connections;
  pool->hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, host_free);
  pool->calls = g_hash_table_new (NULL, NULL);
  return pool;
}

void
pool_destroy (struct pool *pool)
{
  if (pool == NULL)
    return;
  g_autoptr (GList) calls = g_hash_table_get_keys (pool->calls);
  for (GList *l = calls; l; l = l->next)
    pool_cancel (l->data);
  g_hash_table_destroy (pool->calls);
  g_hash_table_destroy (pool->hosts);
  g_free (pool);
}

void
pool_close_idle (struct pool *pool, const char *upstream)
{
  struct host *h = g_hash_table_lookup (pool->hosts, upstream);
  if (h == NULL)
    return;
  while (h->idle->len > 0)
    conn_discard (g_ptr_array_index (h->idle, h->idle->len - 1));
  if (h->total == 0)
    g_hash_table_remove (pool->hosts, upstream);
}

unsigned
pool_connections (const struct pool *pool, const char *upstream)
{
  const struct host *h = g_hash_table_lookup (pool->hosts, upstream);
  return h ? h->total : 0;
}

const struct pool_counts *
pool_counts (const struct pool *pool)
{
  return &pool->counts;
}
