#include "links/pool.h"

#include "base/clock.h"
#include "base/address.h"

#include <errno.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* Longest wait for a connection: two round trips between regions, and one lost
   packet's second try.  */
#define CONNECT_TIMEOUT_MS 700
/* Longest time that sent bytes may stay unacknowledged.  */
#define USER_TIMEOUT_MS 1000U
#define PROBE_IDLE_S 1
#define PROBE_INTERVAL_S 1
#define PROBE_COUNT 2
/* Idle time after which a connection is closed where the upstream names none,
   and the margin before the time that it names.  */
#define IDLE_DEFAULT_MS 4000
#define IDLE_MARGIN_MS 700
/* Parts of an answer that are read before the reader has drained them.  */
#define READ_AHEAD_BYTES (256U * 1024)

struct host
{
  struct pool *pool;
  char *name;
  char *address;
  GPtrArray *idle; /* struct conn, least recently used first */
  unsigned total;
};

struct conn
{
  struct host *host;
  struct bufferevent *bev;
  struct http_codec *codec;
  struct event *idle_timer;
  struct pool_call *call;
  int64_t idle_since_ms;
  unsigned keep_ms;
  bool connected;
  bool tainted;  /* an odd answer was seen: not to be used again */
  bool in_event; /* a callback of it runs: it is released after that */
  bool dead;
};

struct pool_call
{
  struct conn *conn;
  const struct pool_events *events;
  void *arg;
  char *id_field;
  char *id;
  bool bodiless;
  bool sent;
  bool head_seen;
  bool stray; /* the answer being read belongs to another request */
  struct evbuffer *body;
};

struct pool
{
  struct event_base *base;
  GHashTable *hosts; /* name -> struct host */
  GHashTable *calls;
  struct pool_counts counts;
};

/* Connections.  */

static void
conn_free (struct conn *c)
{
  struct host *h = c->host;
  g_ptr_array_remove (h->idle, c);
  h->total--;
  event_free (c->idle_timer);
  bufferevent_free (c->bev);
  http_codec_destroy (c->codec);
  g_free (c);
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
  if (c->in_event)
    {
      c->dead = true;
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
call_end (struct pool_call *call, enum pool_end end)
{
  const struct pool_events *events = call->events;
  void *arg = call->arg;
  struct conn *c = call->conn;
  c->call = NULL;
  call_free (call);
  conn_close (c);
  events->on_end (arg, end);
}

/* The idle time that the upstream names, less a margin.  */
static unsigned
keep_time_ms (const struct http_head *h)
{
  const char *text = http_head_get (h, "Keep-Alive");
  const char *at = text ? strstr (text, "timeout=") : NULL;
  if (at == NULL)
    return IDLE_DEFAULT_MS;
  guint64 s = g_ascii_strtoull (at + strlen ("timeout="), NULL, 10);
  if (s == 0 || s > 3600)
    return s == 0 ? 0 : IDLE_DEFAULT_MS;
  unsigned ms = (unsigned)s * 1000;
  return ms > IDLE_MARGIN_MS ? ms - IDLE_MARGIN_MS : 0;
}

static void
conn_keep (struct conn *c)
{
  struct timeval tv = { c->keep_ms / 1000, (c->keep_ms % 1000) * 1000 };
  c->idle_since_ms = clock_ms ();
  g_ptr_array_add (c->host->idle, c);
  evtimer_add (c->idle_timer, &tv);
  http_codec_next (c->codec, false);
}

/* Reading answers.  */

static bool
names_call (const struct pool_call *call, const struct http_head *h)
{
  if (call->id_field == NULL)
    return true;
  const char *id = http_head_get (h, call->id_field);
  return id && call->id && strcmp (id, call->id) == 0;
}

static bool
names_other (const struct pool_call *call, const struct http_head *h)
{
  return call->id_field && http_head_get (h, call->id_field)
         && !names_call (call, h);
}

/* Takes the head once; false where the call has ended.  */
static bool
take_head (struct conn *c, struct http_head *head)
{
  struct pool_call *call = c->call;
  call->head_seen = true;
  if (names_other (call, head))
    {
      call->stray = true;
      c->tainted = true;
      c->host->pool->counts.stray_answers++;
      return true;
    }
  if (!names_call (call, head))
    {
      call_end (call, POOL_SPOILED);
      return false;
    }
  uint64_t length = 0;
  enum http_framing framing = http_codec_framing (c->codec, &length);
  c->keep_ms = keep_time_ms (head);
  call->events->on_head (call->arg, head, framing, length);
  return !c->dead;
}

static void
answer_whole (struct conn *c)
{
  struct pool_call *call = c->call;
  const struct pool_events *events = call->events;
  void *arg = call->arg;
  size_t unsent = evbuffer_get_length (bufferevent_get_output (c->bev));
  size_t extra = evbuffer_get_length (bufferevent_get_input (c->bev));
  bool keep = http_codec_keep_alive (c->codec) && !c->tainted && unsent == 0
              && extra == 0 && c->keep_ms > 0;
  c->call = NULL;
  call_free (call);
  if (keep)
    conn_keep (c);
  else
    conn_close (c);
  events->on_end (arg, POOL_WHOLE);
}

/* Passes over what is no answer of this call.  */
static void
next_answer (struct conn *c)
{
  struct pool_call *call = c->call;
  evbuffer_drain (call->body, evbuffer_get_length (call->body));
  call->stray = false;
  call->head_seen = false;
  http_codec_next (c->codec, call->bodiless);
}

static bool
pass_data (struct conn *c)
{
  struct pool_call *call = c->call;
  if (call->stray)
    evbuffer_drain (call->body, evbuffer_get_length (call->body));
  else if (call->head_seen && evbuffer_get_length (call->body) > 0)
    call->events->on_data (call->arg, call->body);
  return !c->dead;
}

/* Reads one message, or what is there of it; false where there is no more to
   be read for the call.  */
static bool
read_message (struct conn *c)
{
  struct pool_call *call = c->call;
  struct evbuffer *in = bufferevent_get_input (c->bev);
  enum http_progress p = http_codec_feed (c->codec, in, call->body);
  if (p == HTTP_BAD)
    {
      call_end (call, POOL_SPOILED);
      return false;
    }
  struct http_head *head = http_codec_head (c->codec);
  if (head == NULL)
    return false;
  if (head->status < 200)
    {
      if (p == HTTP_WHOLE)
        next_answer (c);
      return p == HTTP_WHOLE;
    }
  if (!call->head_seen && !take_head (c, head))
    return false;
  if (!pass_data (c) || p != HTTP_WHOLE)
    return false;
  if (call->stray)
    {
      next_answer (c);
      return true;
    }
  answer_whole (c);
  return false;
}

static void
leave_event (struct conn *c)
{
  c->in_event = false;
  if (c->dead)
    conn_close (c);
}

static void
on_readable (struct bufferevent *bev, void *arg)
{
  struct conn *c = arg;
  c->in_event = true;
  /* Where nothing was asked, what came belongs to no request.  */
  c->dead = c->call == NULL;
  while (!c->dead && evbuffer_get_length (bufferevent_get_input (bev)) > 0
         && read_message (c))
    continue;
  leave_event (c);
}

static enum pool_end
end_of_failure (const struct conn *c, short what, int error)
{
  const struct pool_call *call = c->call;
  if (!c->connected || !call->sent)
    return POOL_NOT_SENT;
  if ((what & BEV_EVENT_TIMEOUT) || error == ETIMEDOUT)
    return POOL_SILENT;
  return POOL_CUT;
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
  c->in_event = true;
  if (c->call == NULL)
    c->dead = true;
  else if ((what & BEV_EVENT_EOF) && c->call->head_seen && !c->call->stray
           && http_codec_eof (c->codec) == HTTP_WHOLE)
    {
      c->tainted = true;
      answer_whole (c);
    }
  else
    call_end (c->call, end_of_failure (c, what, error));
  leave_event (c);
}

static void
on_idle_end (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  conn_close (arg);
}

static void
note_sent (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
           void *arg)
{
  (void)buffer;
  struct conn *c = arg;
  if (info->n_deleted > 0 && c->call)
    c->call->sent = true;
}

/* Opening.  */

static void
set_options (evutil_socket_t fd)
{
  int one = 1;
  int idle = PROBE_IDLE_S;
  int interval = PROBE_INTERVAL_S;
  int count = PROBE_COUNT;
  unsigned timeout = USER_TIMEOUT_MS;
  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  (void)setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval,
                    sizeof interval);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
                    sizeof timeout);
}

static bool
conn_connect (struct conn *c)
{
  struct sockaddr_in sa;
  if (!address_parse (c->host->address, &sa))
    return false;
  evutil_socket_t fd
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return false;
  set_options (fd);
  bufferevent_setfd (c->bev, fd);
  struct timeval tv
      = { CONNECT_TIMEOUT_MS / 1000, (CONNECT_TIMEOUT_MS % 1000) * 1000 };
  bufferevent_set_timeouts (c->bev, &tv, &tv);
  return bufferevent_socket_connect (c->bev, (struct sockaddr *)&sa, sizeof sa)
         == 0;
}

static struct conn *
conn_open (struct host *h)
{
  static const struct http_bounds no_bounds = { 0, 0 };
  struct conn *c = g_new0 (struct conn, 1);
  c->host = h;
  h->total++;
  c->bev = bufferevent_socket_new (h->pool->base, -1, BEV_OPT_CLOSE_ON_FREE);
  c->codec = http_codec_create (HTTP_SIDE_ANSWERS, &no_bounds);
  c->idle_timer = evtimer_new (h->pool->base, on_idle_end, c);
  evbuffer_add_cb (bufferevent_get_output (c->bev), note_sent, c);
  bufferevent_setcb (c->bev, on_readable, NULL, on_event, c);
  bufferevent_setwatermark (c->bev, EV_READ, 0, READ_AHEAD_BYTES);
  h->pool->counts.opened++;
  if (!conn_connect (c))
    {
      conn_free (c);
      return NULL;
    }
  bufferevent_enable (c->bev, EV_READ | EV_WRITE);
  return c;
}

/* Whether nothing has come on an idle connection, not even its end.  */
static bool
conn_is_quiet (const struct conn *c)
{
  char byte;
  ssize_t n
      = recv (bufferevent_getfd (c->bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

static struct conn *
take_idle (struct host *h, unsigned reuse_ms)
{
  while (h->idle->len > 0)
    {
      struct conn *c = g_ptr_array_index (h->idle, h->idle->len - 1);
      if (clock_ms () - c->idle_since_ms > (int64_t)reuse_ms)
        return NULL;
      if (conn_is_quiet (c))
        {
          g_ptr_array_remove_index (h->idle, h->idle->len - 1);
          evtimer_del (c->idle_timer);
          h->pool->counts.reused++;
          return c;
        }
      conn_free (c);
    }
  return NULL;
}

static struct host *
find_host (struct pool *pool, const struct pool_request *r)
{
  struct host *h = g_hash_table_lookup (pool->hosts, r->upstream);
  if (h && strcmp (h->address, r->address) != 0)
    {
      pool_forget (pool, r->upstream);
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

static struct conn *
find_conn (struct host *h, const struct pool_request *r)
{
  struct conn *c = r->fresh ? NULL : take_idle (h, r->reuse_ms);
  if (c)
    return c;
  if (h->total >= r->connections && h->idle->len > 0)
    conn_free (g_ptr_array_index (h->idle, 0));
  if (h->total >= r->connections)
    return NULL;
  return conn_open (h);
}

/* Calls.  */

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
           const struct pool_events *events, void *arg)
{
  struct host *h = find_host (pool, r);
  struct conn *c = find_conn (h, r);
  if (c == NULL)
    {
      if (h->total == 0)
        g_hash_table_remove (pool->hosts, h->name);
      return NULL;
    }
  struct pool_call *call = g_new0 (struct pool_call, 1);
  call->conn = c;
  call->events = events;
  call->arg = arg;
  call->id_field = g_strdup (r->id_field);
  call->id
      = r->id_field ? g_strdup (http_head_get (r->head, r->id_field)) : NULL;
  call->bodiless = strcmp (r->head->method, "HEAD") == 0;
  call->body = evbuffer_new ();
  c->call = call;
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
pool_call_sent (const struct pool_call *call)
{
  return call->sent;
}

/* Pool.  */

struct pool *
pool_create (struct event_base *base)
{
  struct pool *pool = g_new0 (struct pool, 1);
  pool->base = base;
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
pool_forget (struct pool *pool, const char *upstream)
{
  struct host *h = g_hash_table_lookup (pool->hosts, upstream);
  if (h == NULL)
    return;
  while (h->idle->len > 0)
    conn_free (g_ptr_array_index (h->idle, h->idle->len - 1));
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
