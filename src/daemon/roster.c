#include "daemon/roster.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "daemon/gossip_link.h"
#include "daemon/load_link.h"

#include <string.h>
#include <sys/random.h>

/* Keys in the key-value service.  */
#define KEY_OF_FLEET "buckthornstand/fleet-key"
#define KEYS_OF_VMS "buckthornstand/vms/"
#define FLEET_KEY_BYTES 24
/* Pause after a failed read or write.  */
#define RETRY_MS 300
/* A VM that hears nobody looks for others as often.  */
#define ALONE_MS 3000
#define LOOK_MS 2000
/* How often loads are told.  */
#define LOADS_MS 100
/* Callers get no more addresses than this.  */
#define ENTRY_MAX 64
/* All VMs probe each other: a region of one VM has nobody to miss it.  */
#define GOSSIP_REGION "fleet"

/* Steps of joining.  */
enum roster_step
{
  STEP_IDLE,
  STEP_KEY,   /* the fleet's key is read, or made */
  STEP_LIST,  /* the others' addresses are read */
  STEP_WRITE, /* the own address is written */
  STEP_JOINED
};

struct roster
{
  struct roster_parts parts;
  struct members *members;
  struct gossip_link *gossip;
  struct event *timer;
  enum roster_step step;
  bool busy; /* a call to the service is under way */
  char *fleet_key;
  GPtrArray *addresses; /* IP:PORT of VMs that the service named */
  int64_t own_revision; /* of the own entry; 0 where it does not stand */
  bool own_is_right;
  int64_t next_ms;
  struct load_link *loads;
  struct permit_link *permits;
  int64_t loads_ms;
  int64_t looked_ms;
};

static char *
own_key (const struct roster *r)
{
  return g_strconcat (KEYS_OF_VMS, r->parts.vm, NULL);
}

static char *
own_address (const struct roster *r)
{
  return g_strdup_printf ("%s:%u", r->parts.ip, r->parts.peer_port);
}

/* Joining.  */

static void
failed (struct roster *r, const char *what, enum kv_status status)
{
  log_event (LOG_WARN, "join_waits", "step", what, "status", log_num (status),
             "retry_ms", log_num (RETRY_MS), NULL);
  r->next_ms = clock_ms () + RETRY_MS;
}

static const char *
join_address (void *arg, unsigned i)
{
  const struct roster *r = arg;
  return i < r->addresses->len ? g_ptr_array_index (r->addresses, i) : NULL;
}

static struct gossip_known
what_is_known (void *arg)
{
  const struct roster *r = arg;
  return r->parts.known (r->parts.arg);
}

static void
on_known (void *arg, const char *from, const struct gossip_known *known)
{
  const struct roster *r = arg;
  (void)from;
  r->parts.on_known (r->parts.arg, known);
}

static void
on_frame (void *arg, const struct frame *frame)
{
  struct roster *r = arg;
  if (frame->type == MESSAGE_UPSTREAM_SHARES)
    load_link_take (r->loads, frame->message, clock_ms ());
  else
    permit_link_handle_frame (r->permits, frame);
}

static void
send_shares (void *arg, const struct member *to,
             const struct upstream_shares *message)
{
  struct roster *r = arg;
  gossip_link_send (r->gossip, to, MESSAGE_UPSTREAM_SHARES, message);
}

static const char *
region_of (void *arg, const char *failure_domain)
{
  const struct roster *r = arg;
  return r->parts.region_of (r->parts.arg, failure_domain);
}

static void
send_message (void *arg, const struct member *to, unsigned type,
              const void *message)
{
  struct roster *r = arg;
  if (r->gossip)
    gossip_link_send (r->gossip, to, type, message);
}

static void
open_gossip (struct roster *r)
{
  g_autoptr (GError) error = NULL;
  struct gossip_parts parts = { .base = r->parts.base,
                                .members = r->members,
                                .ip = r->parts.ip,
                                .port = r->parts.peer_port,
                                .region = GOSSIP_REGION,
                                .fleet_key = r->fleet_key,
                                .join_address = join_address,
                                .known = what_is_known,
                                .on_known = on_known,
                                .on_frame = on_frame,
                                .arg = r };
  r->gossip = gossip_link_create (&parts, &error);
  if (r->gossip == NULL)
    {
      log_event (LOG_ERROR, "gossip_failed", "error", error->message, NULL);
      r->next_ms = clock_ms () + RETRY_MS;
      return;
    }
  r->step = STEP_JOINED;
  log_event (LOG_INFO, "joined", "addresses", log_num (r->addresses->len),
             NULL);
}

static void
on_written (void *arg, enum kv_status status, int64_t revision)
{
  struct roster *r = arg;
  r->busy = false;
  /* An answer that was lost, or a newer entry: read again what stands.  */
  if (status != KV_OK)
    {
      failed (r, "write", status);
      r->step = STEP_LIST;
      return;
    }
  r->own_revision = revision;
  r->own_is_right = true;
}

static void
write_own (struct roster *r)
{
  g_autofree char *key = own_key (r);
  g_autofree char *address = own_address (r);
  g_autoptr (GBytes) value = g_bytes_new (address, strlen (address));
  struct kv_put put = { key, value };
  r->busy = true;
  kv_txn (r->parts.kv, key, r->own_revision, &put, 1, on_written, r);
}

static void
on_listed (void *arg, enum kv_status status, const struct kv_change *changes,
           size_t n, int64_t as_of)
{
  struct roster *r = arg;
  (void)as_of;
  r->busy = false;
  if (status != KV_OK)
    {
      failed (r, "list", status);
      return;
    }
  g_autofree char *key = own_key (r);
  g_autofree char *own = own_address (r);
  g_ptr_array_set_size (r->addresses, 0);
  r->own_revision = 0;
  r->own_is_right = false;
  for (size_t i = 0; i < n; i++)
    {
      gsize size = 0;
      const char *data = g_bytes_get_data (changes[i].value, &size);
      char *address = g_strndup (data, size);
      if (strcmp (changes[i].key, key) == 0)
        {
          r->own_revision = changes[i].revision;
          r->own_is_right = strcmp (address, own) == 0;
        }
      g_ptr_array_add (r->addresses, address);
    }
  if (r->step == STEP_LIST)
    r->step = STEP_WRITE;
}

static void read_key (struct roster *r);

static void
on_key_made (void *arg, enum kv_status status, int64_t revision)
{
  struct roster *r = arg;
  (void)revision;
  r->busy = false;
  /* Whoever wrote it: read it.  */
  if (status == KV_OK || status == KV_CONFLICT)
    read_key (r);
  else
    failed (r, "make_key", status);
}

static void
make_key (struct roster *r)
{
  unsigned char bytes[FLEET_KEY_BYTES];
  if (getrandom (bytes, sizeof bytes, 0) != (ssize_t)sizeof bytes)
    {
      failed (r, "random", KV_NOT_DONE);
      return;
    }
  g_autofree char *text = g_base64_encode (bytes, sizeof bytes);
  g_autoptr (GBytes) value = g_bytes_new (text, strlen (text));
  struct kv_put put = { KEY_OF_FLEET, value };
  r->busy = true;
  kv_txn (r->parts.kv, KEY_OF_FLEET, 0, &put, 1, on_key_made, r);
}

static void
on_key (void *arg, enum kv_status status, const struct kv_value *values,
        size_t n)
{
  struct roster *r = arg;
  r->busy = false;
  if (status != KV_OK)
    {
      failed (r, "read_key", status);
      return;
    }
  if (n == 0)
    {
      make_key (r);
      return;
    }
  gsize size = 0;
  const char *data = g_bytes_get_data (values[0].value, &size);
  r->fleet_key = g_strndup (data, size);
  r->step = STEP_LIST;
}

static void
read_key (struct roster *r)
{
  r->busy = true;
  kv_get (r->parts.kv, KEY_OF_FLEET, false, on_key, r);
}

static void
list_others (struct roster *r)
{
  r->busy = true;
  kv_list (r->parts.kv, KEYS_OF_VMS, on_listed, r);
}

static void
go_on (struct roster *r, int64_t now)
{
  if (r->busy || now < r->next_ms)
    return;
  if (r->step == STEP_KEY)
    read_key (r);
  else if (r->step == STEP_LIST)
    list_others (r);
  else if (r->step == STEP_WRITE && !r->own_is_right)
    write_own (r);
  else if (r->step == STEP_WRITE)
    open_gossip (r);
}

/* A VM that hears nobody looks for others in the service.  */
static void
look_around (struct roster *r, int64_t now)
{
  int64_t silence = gossip_link_silence_ms (r->gossip);
  if (r->busy || (silence >= 0 && silence < ALONE_MS)
      || now - r->looked_ms < LOOK_MS)
    return;
  r->looked_ms = now;
  list_others (r);
}

/* Time.  */

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct roster *r = arg;
  int64_t now = clock_ms ();
  if (r->step != STEP_JOINED)
    {
      go_on (r, now);
      return;
    }
  look_around (r, now);
  if (now - r->loads_ms < LOADS_MS)
    return;
  r->loads_ms = now;
  load_link_tell (r->loads, now);
}

/* What others ask.  */

const struct members *
roster_members (const struct roster *r)
{
  return r->members;
}

struct permit_link *
roster_permits (const struct roster *r)
{
  return r->permits;
}

unsigned
roster_size (const struct roster *r)
{
  return members_count_live (r->members);
}

/* How near a VM is to the asker: 0 is its failure domain.  */
static unsigned
distance (const struct roster *r, const struct member *m,
          const char *failure_domain, const char *region)
{
  if (failure_domain && strcmp (m->info.failure_domain, failure_domain) == 0)
    return 0;
  const char *of = r->parts.region_of (r->parts.arg, m->info.failure_domain);
  return region && of && strcmp (of, region) == 0 ? 1 : 2;
}

static bool
takes_callers (const struct member *m)
{
  return !m->leaving && m->info.status == MEMBER_ALIVE;
}

GPtrArray *
roster_entry_addresses (const struct roster *r, const char *failure_domain,
                        const char *region)
{
  const GPtrArray *all = members_all (r->members);
  GPtrArray *out = g_ptr_array_new_with_free_func (g_free);
  for (unsigned near = 0; near <= 2 && out->len == 0; near++)
    for (guint i = 0; i < all->len && out->len < ENTRY_MAX; i++)
      {
        const struct member *m = g_ptr_array_index (all, i);
        if (takes_callers (m)
            && distance (r, m, failure_domain, region) == near)
          g_ptr_array_add (out, g_strdup_printf ("%s:%u", m->info.ip,
                                                 (unsigned)m->info.http_port));
      }
  return out;
}

/* Making and releasing.  */

struct roster *
roster_create (const struct roster_parts *parts)
{
  static const struct timeval tick = { 0, 50000 };
  struct roster *r = g_new0 (struct roster, 1);
  guint32 seed = 0;
  if (getrandom (&seed, sizeof seed, 0) != (ssize_t)sizeof seed)
    g_error ("no random bytes");
  r->parts = *parts;
  r->addresses = g_ptr_array_new_with_free_func (g_free);
  struct member_update self
      = { .id = (char *)parts->vm,
          .ip = (char *)parts->ip,
          .http_port = parts->front_port,
          .peer_port = parts->peer_port,
          .region = (char *)GOSSIP_REGION,
          .failure_domain = (char *)parts->failure_domain,
          .incarnation
          = member_first_incarnation (g_get_real_time () / 1000) };
  r->members = members_create (&self, seed, clock_ms ());
  struct load_link_parts loads = { .upstreams = parts->upstreams,
                                   .members = r->members,
                                   .vm = parts->vm,
                                   .failure_domain = parts->failure_domain,
                                   .send = send_shares,
                                   .arg = r };
  r->loads = load_link_create (&loads);
  struct permit_link_parts permits = { .base = parts->base,
                                       .upstreams = parts->upstreams,
                                       .members = r->members,
                                       .vm = parts->vm,
                                       .region_of = region_of,
                                       .failure_domain = parts->failure_domain,
                                       .send = send_message,
                                       .arg = r };
  r->permits = permit_link_create (&permits);
  r->timer = event_new (parts->base, -1, EV_PERSIST, on_timer, r);
  event_add (r->timer, &tick);
  return r;
}

void
roster_destroy (struct roster *r)
{
  if (r == NULL)
    return;
  event_free (r->timer);
  gossip_link_destroy (r->gossip);
  load_link_destroy (r->loads);
  permit_link_destroy (r->permits);
  members_destroy (r->members);
  g_ptr_array_unref (r->addresses);
  g_free (r->fleet_key);
  g_free (r);
}

void
roster_join (struct roster *r)
{
  if (r->step == STEP_IDLE)
    r->step = STEP_KEY;
}

void
roster_leave (struct roster *r)
{
  if (r->gossip)
    gossip_link_leave (r->gossip);
}

void
roster_left (struct roster *r)
{
  if (r->gossip)
    gossip_link_left (r->gossip);
}
