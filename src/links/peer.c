#include "links/peer.h"

#include "base/error.h"
#include "base/log.h"
#include "config.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/random.h>

#define NONCE_BYTES 32
#define MAC_BYTES 32

enum peer_state
{
  PEER_HELLO, /* waits for the peer's hello */
  PEER_AUTH,  /* waits for the peer's MAC */
  PEER_READY  /* authenticated */
};

struct peer
{
  struct peers *peers;
  peer_handle handle;
  struct bufferevent *bev;
  char *vm; /* NULL until the peer's hello, if incoming */
  bool outgoing;
  enum peer_state state;
  guint8 nonce[NONCE_BYTES]; /* sent in this VM's hello */
  guint8 peer_nonce[NONCE_BYTES];
  GByteArray *send_queue; /* frames to send once authenticated */
  int pending_responses;
  gint64 received_us; /* when bytes last arrived, or waiting began */
  uint64_t ping_seq;
};

struct peers
{
  struct event_base *base;
  struct evconnlistener *listener;
  char *vm;  /* this VM */
  char *key; /* fleet key */
  const struct peer_callbacks *callbacks;
  void *arg;
  GHashTable *by_handle; /* peer_handle * -> struct peer */
  GHashTable *outgoing;  /* vm -> struct peer */
  struct event *timer;
  gint64 last_tick_us;
  peer_handle last_handle; /* handle given to the newest connection */
};

void
fleet_mac (const char *key, const void *data, size_t size, guint8 out[32])
{
  gsize n = MAC_BYTES;
  GHmac *mac
      = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)key, strlen (key));
  g_hmac_update (mac, data, (gssize)size);
  g_hmac_get_digest (mac, out, &n);
  g_hmac_unref (mac);
}

static void
peer_free (struct peer *p)
{
  bufferevent_free (p->bev);
  g_byte_array_unref (p->send_queue);
  g_free (p->vm);
  g_free (p);
}

static void
peer_close (struct peer *p, const char *reason)
{
  struct peers *peers = p->peers;
  log_event (LOG_INFO, "peer_closed", "peer", p->vm ? p->vm : "?", "reason",
             reason, NULL);
  if (p->outgoing && g_hash_table_lookup (peers->outgoing, p->vm) == p)
    g_hash_table_remove (peers->outgoing, p->vm);
  g_hash_table_remove (peers->by_handle, &p->handle);
  if (p->outgoing || p->state == PEER_READY)
    peers->callbacks->on_close (peers->arg, p->handle, p->vm);
  peer_free (p);
}

static void
write_frame (struct peer *p, unsigned type, const void *message)
{
  g_autoptr (GByteArray) out = g_byte_array_new ();
  frame_encode (type, message, out);
  bufferevent_write (p->bev, out->data, out->len);
}

/* Handshake: each side sends a hello with its VM name and a nonce, then proves
   that it has the fleet key with a MAC over the peer's nonce, its own nonce
   and its own VM name.  */

static void
send_hello (struct peer *p)
{
  struct hello m = { .vm = p->peers->vm };
  m.nonce = g_bytes_new_static (p->nonce, NONCE_BYTES);
  write_frame (p, MESSAGE_HELLO, &m);
  g_bytes_unref (m.nonce);
}

static void
auth_mac (const struct peer *p, const guint8 *first, const guint8 *second,
          const char *vm, guint8 out[MAC_BYTES])
{
  g_autoptr (GByteArray) data = g_byte_array_new ();
  g_byte_array_append (data, first, NONCE_BYTES);
  g_byte_array_append (data, second, NONCE_BYTES);
  g_byte_array_append (data, (const guint8 *)vm, (guint)strlen (vm));
  fleet_mac (p->peers->key, data->data, data->len, out);
}

static void
send_auth (struct peer *p)
{
  guint8 mac[MAC_BYTES];
  auth_mac (p, p->peer_nonce, p->nonce, p->peers->vm, mac);
  struct auth m = { .mac = g_bytes_new_static (mac, MAC_BYTES) };
  write_frame (p, MESSAGE_AUTH, &m);
  g_bytes_unref (m.mac);
}

/* Refuses a hello with this VM's own nonce (one sent back to it) or, on an
   outgoing connection, from another VM than the one connected to.  */
static bool
handle_hello (struct peer *p, const struct hello *m)
{
  gsize n = 0;
  const void *nonce = m->nonce ? g_bytes_get_data (m->nonce, &n) : NULL;
  if (n != NONCE_BYTES || memcmp (nonce, p->nonce, NONCE_BYTES) == 0)
    return false;
  if (p->outgoing && strcmp (p->vm, m->vm) != 0)
    return false;
  memcpy (p->peer_nonce, nonce, NONCE_BYTES);
  if (p->vm == NULL)
    p->vm = g_strdup (m->vm);
  p->state = PEER_AUTH;
  send_auth (p);
  return true;
}

static bool
handle_auth (struct peer *p, const struct auth *m)
{
  guint8 expected[MAC_BYTES];
  gsize n = 0;
  const guint8 *received = m->mac ? g_bytes_get_data (m->mac, &n) : NULL;
  auth_mac (p, p->nonce, p->peer_nonce, p->vm, expected);
  guint8 mismatch = n == MAC_BYTES ? 0 : 1;
  for (gsize i = 0; i < n && i < MAC_BYTES; i++)
    mismatch |= received[i] ^ expected[i];
  if (mismatch)
    return false;
  p->state = PEER_READY;
  bufferevent_write (p->bev, p->send_queue->data, p->send_queue->len);
  g_byte_array_set_size (p->send_queue, 0);
  return true;
}

/* Returns false if the connection was closed.  */
static bool
handle_frame (struct peer *p, const struct frame *f)
{
  bool ok = true;
  if (p->state == PEER_HELLO)
    ok = f->type == MESSAGE_HELLO && handle_hello (p, f->message);
  else if (p->state == PEER_AUTH)
    ok = f->type == MESSAGE_AUTH && handle_auth (p, f->message);
  else if (f->type == MESSAGE_PEER_PING)
    {
      const struct peer_ping *ping = f->message;
      struct peer_pong pong = { .seq = ping->seq };
      write_frame (p, MESSAGE_PEER_PONG, &pong);
    }
  else if (f->type != MESSAGE_PEER_PONG)
    {
      peer_handle handle = p->handle;
      struct peers *peers = p->peers;
      peers->callbacks->on_frame (peers->arg, handle, p->vm, f);
      return g_hash_table_contains (peers->by_handle, &handle);
    }
  if (!ok)
    {
      log_event (LOG_WARN, "peer_refused", "peer", p->vm ? p->vm : "?",
                 "result", result_info (RESULT_PEER_AUTH)->name, "number",
                 log_num (RESULT_PEER_AUTH), NULL);
      peer_close (p, "handshake");
    }
  return ok;
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  struct peer *p = arg;
  struct evbuffer *in = bufferevent_get_input (bev);
  p->received_us = g_get_monotonic_time ();
  for (;;)
    {
      size_t n = evbuffer_get_length (in);
      guint8 header[FRAME_HEADER_BYTES];
      if (n < sizeof header)
        return;
      evbuffer_copyout (in, header, sizeof header);
      guint32 length;
      memcpy (&length, header, sizeof length);
      size_t frame_size = 4 + (size_t)GUINT32_FROM_BE (length);
      /* An incomplete frame is passed with its header alone, so that an
         invalid or too large one is refused at once.  */
      size_t decode_size = frame_size <= n ? frame_size : sizeof header;
      struct frame f = { 0 };
      enum result result = RESULT_OK;
      gssize used
          = frame_decode (evbuffer_pullup (in, (ev_ssize_t)decode_size),
                          decode_size, &f, &result);
      if (used == 0)
        return;
      if (used < 0)
        {
          log_event (LOG_WARN, "frame_refused", "peer", p->vm ? p->vm : "?",
                     "result", result_info (result)->name, "number",
                     log_num (result), NULL);
          peer_close (p, result_info (result)->name);
          return;
        }
      evbuffer_drain (in, (size_t)used);
      bool open = handle_frame (p, &f);
      frame_clear (&f);
      if (!open)
        return;
    }
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  struct peer *p = arg;
  if (what & BEV_EVENT_CONNECTED)
    {
      int on = 1;
      setsockopt (bufferevent_getfd (bev), IPPROTO_TCP, TCP_NODELAY, &on,
                  sizeof on);
      p->received_us = g_get_monotonic_time ();
      return;
    }
  if (evbuffer_get_length (bufferevent_get_input (bev)) > 0)
    log_event (LOG_WARN, "frame_refused", "peer", p->vm ? p->vm : "?",
               "result", result_info (RESULT_FRAME_TRUNCATED)->name, "number",
               log_num (RESULT_FRAME_TRUNCATED), NULL);
  peer_close (p, what & BEV_EVENT_EOF ? "eof" : "error");
}

static struct peer *
peer_create (struct peers *peers, evutil_socket_t fd)
{
  struct peer *p = g_new0 (struct peer, 1);
  p->peers = peers;
  p->handle = ++peers->last_handle;
  p->send_queue = g_byte_array_new ();
  p->received_us = g_get_monotonic_time ();
  if (getrandom (p->nonce, NONCE_BYTES, 0) != NONCE_BYTES)
    g_error ("getrandom failed: cannot create a peer handshake nonce");
  p->bev = bufferevent_socket_new (
      peers->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb (p->bev, on_read, NULL, on_event, p);
  bufferevent_enable (p->bev, EV_READ | EV_WRITE);
  g_hash_table_insert (peers->by_handle, &p->handle, p);
  return p;
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *addr, int len, void *arg)
{
  (void)listener;
  (void)addr;
  (void)len;
  int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  send_hello (peer_create (arg, fd));
}

peer_handle
peers_connect (struct peers *peers, const char *vm, const char *ip,
               uint16_t port)
{
  struct peer *p = g_hash_table_lookup (peers->outgoing, vm);
  if (p)
    return p->handle;
  p = peer_create (peers, -1);
  p->vm = g_strdup (vm);
  p->outgoing = true;
  g_hash_table_insert (peers->outgoing, p->vm, p);
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons (port) };
  inet_pton (AF_INET, ip, &sa.sin_addr);
  send_hello (p);
  /* Callbacks are deferred, so that a failure here is also reported to
     on_event.  */
  (void)bufferevent_socket_connect (p->bev, (struct sockaddr *)&sa, sizeof sa);
  return p->handle;
}

bool
peers_send (struct peers *peers, peer_handle handle, unsigned type,
            const void *message)
{
  struct peer *p = g_hash_table_lookup (peers->by_handle, &handle);
  if (p == NULL)
    return false;
  if (p->state == PEER_READY)
    write_frame (p, type, message);
  else
    frame_encode (type, message, p->send_queue);
  return true;
}

bool
peers_closed_by_peer (struct peers *peers, peer_handle handle)
{
  const struct peer *p = g_hash_table_lookup (peers->by_handle, &handle);
  if (p == NULL)
    return true;
  struct pollfd fd = { .fd = bufferevent_getfd (p->bev), .events = POLLRDHUP };
  return poll (&fd, 1, 0) > 0;
}

void
peers_add_pending (struct peers *peers, peer_handle handle, int delta)
{
  struct peer *p = g_hash_table_lookup (peers->by_handle, &handle);
  if (p == NULL)
    return;
  if (p->pending_responses == 0 && delta > 0)
    p->received_us = g_get_monotonic_time ();
  p->pending_responses += delta;
}

/* Detection of unresponsive peers.  If the event loop of this process was
   stalled, it could not receive anything: the time limits start again.  */

static void
check_peer (struct peer *p, gint64 now, bool loop_stalled)
{
  if (loop_stalled)
    p->received_us = now;
  if (p->pending_responses <= 0 && p->state == PEER_READY)
    return;
  gint64 limit = p->state == PEER_READY ? PEER_UNRESPONSIVE_MS
                                        : PEER_CONNECT_TIMEOUT_MS;
  if (now - p->received_us > limit * 1000)
    {
      peer_close (p, "silent");
      return;
    }
  if (p->state == PEER_READY
      && now - p->received_us > PEER_PING_INTERVAL_MS * 1000 / 2)
    {
      struct peer_ping ping = { .seq = ++p->ping_seq };
      write_frame (p, MESSAGE_PEER_PING, &ping);
    }
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct peers *peers = arg;
  gint64 now = g_get_monotonic_time ();
  bool loop_stalled
      = now - peers->last_tick_us > 2 * PEER_PING_INTERVAL_MS * 1000;
  peers->last_tick_us = now;
  g_autoptr (GList) list = g_hash_table_get_values (peers->by_handle);
  g_autoptr (GArray) handles
      = g_array_new (FALSE, FALSE, sizeof (peer_handle));
  for (GList *l = list; l; l = l->next)
    g_array_append_val (handles, ((struct peer *)l->data)->handle);
  for (guint i = 0; i < handles->len; i++)
    {
      struct peer *p = g_hash_table_lookup (
          peers->by_handle, &g_array_index (handles, peer_handle, i));
      if (p)
        check_peer (p, now, loop_stalled);
    }
}

struct peers *
peers_create (struct event_base *base, const char *vm, const char *ip,
              uint16_t port, const char *fleet_key,
              const struct peer_callbacks *callbacks, void *arg,
              GError **error)
{
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons (port) };
  inet_pton (AF_INET, ip, &sa.sin_addr);
  struct peers *peers = g_new0 (struct peers, 1);
  peers->base = base;
  peers->vm = g_strdup (vm);
  peers->key = g_strdup (fleet_key);
  peers->callbacks = callbacks;
  peers->arg = arg;
  peers->by_handle = g_hash_table_new (g_int64_hash, g_int64_equal);
  peers->outgoing = g_hash_table_new (g_str_hash, g_str_equal);
  peers->listener = evconnlistener_new_bind (
      base, on_accept, peers, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      (struct sockaddr *)&sa, sizeof sa);
  if (peers->listener == NULL)
    {
      g_set_error (error, BUCKTHORN_ERROR, RESULT_USAGE,
                   "cannot listen for peers on %s:%u: %s", ip, port,
                   g_strerror (errno));
      peers_destroy (peers);
      return NULL;
    }
  peers->last_tick_us = g_get_monotonic_time ();
  struct timeval tv = { 0, PEER_PING_INTERVAL_MS * 500 };
  peers->timer = event_new (base, -1, EV_PERSIST, on_timer, peers);
  event_add (peers->timer, &tv);
  return peers;
}

void
peers_destroy (struct peers *peers)
{
  if (peers == NULL)
    return;
  g_autoptr (GList) list = g_hash_table_get_values (peers->by_handle);
  for (GList *l = list; l; l = l->next)
    peer_free (l->data);
  g_hash_table_destroy (peers->by_handle);
  g_hash_table_destroy (peers->outgoing);
  if (peers->listener)
    evconnlistener_free (peers->listener);
  if (peers->timer)
    event_free (peers->timer);
  g_free (peers->vm);
  g_free (peers->key);
  g_free (peers);
}
