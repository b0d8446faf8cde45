#include "daemon/gossip_link.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/address.h"
#include "base/log.h"
#include "base/metrics.h"
#include "config.h"
#include "links/peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TICK_MS 50
#define MAC_BYTES 16
#define UDP_IP_OVERHEAD_BYTES 28

struct gossip_link
{
  struct gossip_parts parts;
  int fd;
  struct event *readable;
  struct event *timer;
  int64_t join_sent_ms; /* when join messages were last sent */
  int64_t received_ms;  /* when the last valid datagram arrived; 0: never */
  uint64_t members_version_seen;
};

/* Sending of datagrams: an encoded frame, followed by its MAC.  */

GByteArray *
gossip_datagram_encode (const char *fleet_key, unsigned type,
                        const void *message)
{
  GByteArray *out = g_byte_array_new ();
  guint8 mac[32];
  frame_encode (type, message, out);
  fleet_mac (fleet_key, out->data, out->len, mac);
  g_byte_array_append (out, mac, MAC_BYTES);
  return out;
}

/* Returns the bytes sent, with the UDP and IP headers; 0 on failure.  */
static size_t
datagram_send (struct gossip_link *g, const char *ip, uint16_t port,
               unsigned type, const void *message)
{
  g_autoptr (GByteArray) out
      = gossip_datagram_encode (g->parts.fleet_key, type, message);
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons (port) };
  if (inet_pton (AF_INET, ip, &sa.sin_addr) != 1)
    return 0;
  ssize_t n = sendto (g->fd, out->data, out->len, 0, (struct sockaddr *)&sa,
                      sizeof sa);
  if (n <= 0)
    return 0;
  size_t sent = (size_t)n + UDP_IP_OVERHEAD_BYTES;
  metrics_add (METRIC_gossip_sent_bytes_total, sent);
  return sent;
}

/* Counts BYTES as traffic between regions if IP:PORT is a member of another
   region.  */
static void
count_remote_region_bytes (struct gossip_link *g, const char *ip,
                           uint16_t port, size_t bytes)
{
  const GPtrArray *all = members_all (g->parts.members);
  for (guint i = 1; i < all->len; i++)
    {
      const struct member *m = g_ptr_array_index (all, i);
      if (m->info.peer_port == port && strcmp (m->info.ip, ip) == 0
          && strcmp (m->info.region, g->parts.region) != 0)
        metrics_add (METRIC_far_region_bytes_total, bytes);
    }
}

static void
send_all (struct gossip_link *g, GArray *out)
{
  for (guint i = 0; i < out->len; i++)
    {
      struct gossip_out *o = &g_array_index (out, struct gossip_out, i);
      size_t sent
          = datagram_send (g, o->ip, o->port, MESSAGE_GOSSIP, &o->message);
      count_remote_region_bytes (g, o->ip, o->port, sent);
    }
  g_array_set_size (out, 0);
}

void
gossip_link_send (struct gossip_link *g, const struct member *member,
                  unsigned type, const void *message)
{
  datagram_send (g, member->info.ip, (uint16_t)member->info.peer_port, type,
                 message);
}

/* Receiving of datagrams.  */

static void
handle_frame (struct gossip_link *g, const struct frame *f,
              const struct sockaddr_in *from)
{
  char ip[INET_ADDRSTRLEN];
  inet_ntop (AF_INET, &from->sin_addr, ip, sizeof ip);
  g->received_ms = clock_ms ();
  if (f->type == MESSAGE_GOSSIP)
    {
      g_autoptr (GArray) out = gossip_out_create ();
      const struct gossip *m = f->message;
      members_receive (g->parts.members, clock_ms (), m, ip,
                       ntohs (from->sin_port), out);
      send_all (g, out);
      struct gossip_revisions known
          = { m->revision, m->age_ms, m->upstreams_revision,
              m->upstreams_age_ms };
      g->parts.on_peer_revisions (g->parts.arg, m->from, &known);
    }
  else
    g->parts.on_frame (g->parts.arg, f);
}

/* Compares the MAC after the N bytes of DATA in constant time.  */
static bool
mac_matches (const char *fleet_key, const guint8 *data, size_t n)
{
  guint8 expected[32];
  fleet_mac (fleet_key, data, n, expected);
  guint8 diff = 0;
  for (size_t i = 0; i < MAC_BYTES; i++)
    diff |= expected[i] ^ data[n + i];
  return diff == 0;
}

bool
gossip_datagram_decode (const char *fleet_key, const guint8 *data, size_t size,
                        struct frame *f, enum result *result)
{
  *result = RESULT_PEER_AUTH;
  if (size < MAC_BYTES || !mac_matches (fleet_key, data, size - MAC_BYTES))
    return false;
  /* A truncated frame gives 0 and no result.  */
  *result = RESULT_FRAME_MALFORMED;
  gssize used = frame_decode (data, size - MAC_BYTES, f, result);
  return used > 0 && (size_t)used == size - MAC_BYTES;
}

static void
on_readable (evutil_socket_t fd, short what, void *arg)
{
  (void)what;
  struct gossip_link *g = arg;
  guint8 data[GOSSIP_DATAGRAM_MAX_BYTES];
  struct sockaddr_in from = { 0 };
  for (;;)
    {
      socklen_t len = sizeof from;
      ssize_t n = recvfrom (fd, data, sizeof data, 0, (struct sockaddr *)&from,
                            &len);
      if (n < 0)
        return;
      metrics_add (METRIC_gossip_received_bytes_total,
                   (uint64_t)n + UDP_IP_OVERHEAD_BYTES);
      struct frame f = { 0 };
      enum result result = RESULT_OK;
      if (!gossip_datagram_decode (g->parts.fleet_key, data, (size_t)n, &f,
                                   &result))
        {
          metrics_add (METRIC_gossip_refused_total, 1);
          log_event (LOG_DEBUG, "datagram_refused", "result",
                     result_info (result)->name, NULL);
        }
      else
        handle_frame (g, &f, &from);
      frame_clear (&f);
    }
}

/* Timer: joining, gossip rounds, membership changes.  */

static void
send_join (struct gossip_link *g, int64_t now)
{
  g_autoptr (GArray) out = gossip_out_create ();
  const char *address;
  for (unsigned i = 0;
       (address = g->parts.get_join_address (g->parts.arg, i)) != NULL; i++)
    {
      g_autofree char *ip = NULL;
      uint16_t port = 0;
      if (!address_split (address, &ip, &port)
          || (port == g->parts.port && strcmp (ip, g->parts.ip) == 0))
        continue;
      members_join (g->parts.members, ip, port, out);
    }
  send_all (g, out);
  g->join_sent_ms = now;
}

static void
log_changes (struct gossip_link *g)
{
  uint64_t version = members_version (g->parts.members);
  if (version == g->members_version_seen)
    return;
  g->members_version_seen = version;
  unsigned live = members_count_live (g->parts.members);
  metrics_set (METRIC_members_live, live);
  log_event (LOG_INFO, "members_changed", "live", log_num (live), "known",
             log_num (members_all (g->parts.members)->len), NULL);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct gossip_link *g = arg;
  int64_t now = clock_ms ();
  g_autoptr (GArray) out = gossip_out_create ();
  struct gossip_revisions known = g->parts.get_revisions (g->parts.arg);
  members_set_revisions (g->parts.members, &known);
  members_tick (g->parts.members, now, out);
  send_all (g, out);
  /* A VM that receives no datagrams sends its join messages again.  */
  bool isolated
      = g->received_ms == 0 || now - g->received_ms > 3 * MEMBERS_SUSPECT_MS;
  if (isolated && now - g->join_sent_ms >= MEMBERS_JOIN_RETRY_MS)
    send_join (g, now);
  log_changes (g);
}

/* Creation and destruction.  */

static int
bind_port (const char *ip, uint16_t port, GError **error)
{
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons (port) };
  inet_pton (AF_INET, ip, &sa.sin_addr);
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0 && bind (fd, (struct sockaddr *)&sa, sizeof sa) == 0)
    return fd;
  g_set_error (error, BUCKTHORN_ERROR, RESULT_USAGE,
               "cannot bind UDP port %s:%u: %s", ip, (unsigned)port,
               g_strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}

struct gossip_link *
gossip_link_create (const struct gossip_parts *parts, GError **error)
{
  static const struct timeval tick = { 0, TICK_MS * 1000 };
  int fd = bind_port (parts->ip, parts->port, error);
  if (fd < 0)
    return NULL;
  struct gossip_link *g = g_new0 (struct gossip_link, 1);
  g->parts = *parts;
  g->fd = fd;
  g->members_version_seen = UINT64_MAX;
  g->readable
      = event_new (parts->base, fd, EV_READ | EV_PERSIST, on_readable, g);
  event_add (g->readable, NULL);
  g->timer = event_new (parts->base, -1, EV_PERSIST, on_timer, g);
  event_add (g->timer, &tick);
  send_join (g, clock_ms ());
  return g;
}

void
gossip_link_destroy (struct gossip_link *g)
{
  if (g == NULL)
    return;
  event_free (g->readable);
  event_free (g->timer);
  close (g->fd);
  g_free (g);
}

void
gossip_link_announce_leaving (struct gossip_link *g)
{
  members_leave (g->parts.members, clock_ms ());
}

void
gossip_link_announce_left (struct gossip_link *g)
{
  g_autoptr (GArray) out = gossip_out_create ();
  members_left (g->parts.members, clock_ms (), out);
  send_all (g, out);
}

int64_t
gossip_link_silence_ms (const struct gossip_link *g)
{
  return g->received_ms == 0 ? -1 : clock_ms () - g->received_ms;
}
