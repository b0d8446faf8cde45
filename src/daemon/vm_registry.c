#include "daemon/vm_registry.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "daemon/gossip_link.h"
#include "daemon/load_link.h"

#include <string.h>
#include <sys/random.h>

/* Keys in the key-value service: the secret with which VMs authenticate each
   other, and the prefix of the VMs' addresses.  */
#define FLEET_KEY_PATH "buckthornstand/fleet-key"
#define VM_KEY_PREFIX "buckthornstand/vms/"
#define FLEET_KEY_BYTES 24
/* Delay before a failed step of joining is retried.  */
#define RETRY_DELAY_MS 300
/* A VM that has received no gossip for ISOLATED_MS lists the addresses in the
   key-value service again, once per RELIST_INTERVAL_MS.  */
#define ISOLATED_MS 3000
/* Time over which the VMs spread the rewriting of their keys.  */
#define REWRITE_SPREAD_MS 1000
#define RELIST_INTERVAL_MS 2000
#define LOAD_REPORT_INTERVAL_MS 100
/* All VMs gossip as one region, so that all probe each other: the failure of a
   VM that is alone in its region would not be detected otherwise.  */
#define GOSSIP_REGION "fleet"

/* Steps of joining the fleet.  */
enum join_step
{
  STEP_IDLE,      /* vm_registry_join was not called yet */
  STEP_FLEET_KEY, /* read or create the fleet key */
  STEP_LIST,      /* list the VMs' addresses */
  STEP_WRITE,     /* write this VM's address, then open gossip */
  STEP_JOINED
};

struct vm_registry
{
  struct vm_registry_parts parts;
  struct members *members;
  struct gossip_link *gossip;
  struct event *timer;
  enum join_step step;
  uint64_t restores; /* restores of the key-value service after which this VM's
                        keys were checked */
  uint64_t restores_seen; /* latest number of restores that was seen */
  bool kv_pending;        /* a request to the key-value service is in flight */
  char *fleet_key;
  GPtrArray *addresses; /* IP:PORT of all VMs in the key-value service */
  int64_t own_revision; /* revision of this VM's entry; 0 if there is none */
  bool own_is_current;  /* this VM's entry holds its address */
  int64_t next_ms;      /* earliest time of the next step of joining */
  struct load_link *loads;
  struct permit_link *permits;
  struct rate_limit_link *limits;
  struct upstream_statements *statements;
  struct quarantine_link *quarantine;
  struct usage_link *usage; /* NULL without usage reports */
  int64_t load_report_ms;   /* when this VM last sent load reports */
  int64_t relisted_ms; /* when relist_if_isolated last listed the addresses */
};

/* Returns VALUE as a string; an empty value may have no data.  */
static char *
value_text (GBytes *value)
{
  gsize size = 0;
  const char *data = g_bytes_get_data (value, &size);
  return g_strndup (data ? data : "", size);
}

static char *
own_key (const struct vm_registry *r)
{
  return g_strconcat (VM_KEY_PREFIX, r->parts.vm, NULL);
}

static char *
own_address (const struct vm_registry *r)
{
  return g_strdup_printf ("%s:%u", r->parts.ip, r->parts.peer_port);
}

/* Joining the fleet.  */

/* Logs the failure of the step WHAT and schedules its retry.  */
static void
retry_step (struct vm_registry *r, const char *what, enum kv_status status)
{
  log_event (LOG_WARN, "join_waits", "step", what, "status", log_num (status),
             "retry_ms", log_num (RETRY_DELAY_MS), NULL);
  r->next_ms = clock_ms () + RETRY_DELAY_MS;
}

static const char *
get_join_address (void *arg, unsigned i)
{
  const struct vm_registry *r = arg;
  return i < r->addresses->len ? g_ptr_array_index (r->addresses, i) : NULL;
}

/* Latest revisions that this VM has seen, for gossip.  */
static struct gossip_revisions
get_revisions (void *arg)
{
  const struct vm_registry *r = arg;
  return r->parts.get_revisions (r->parts.arg);
}

/* The VM FROM has seen the revisions KNOWN.  */
static void
on_peer_revisions (void *arg, const char *from,
                   const struct gossip_revisions *known)
{
  const struct vm_registry *r = arg;
  (void)from;
  r->parts.on_peer_revisions (r->parts.arg, known);
}

static void
on_frame (void *arg, const struct frame *frame)
{
  struct vm_registry *r = arg;
  if (frame->type == MESSAGE_UPSTREAM_SHARES)
    load_link_handle_report (r->loads, frame->message, clock_ms ());
  else
    {
      permit_link_handle_frame (r->permits, frame);
      rate_limit_link_handle_frame (r->limits, frame);
      upstream_statements_handle_frame (r->statements, frame);
      quarantine_link_handle_frame (r->quarantine, frame);
      usage_link_handle_frame (r->usage, frame);
    }
}

static void
send_shares (void *arg, const struct member *to,
             const struct upstream_shares *message)
{
  struct vm_registry *r = arg;
  gossip_link_send (r->gossip, to, MESSAGE_UPSTREAM_SHARES, message);
}

static const char *
region_of (void *arg, const char *failure_domain)
{
  const struct vm_registry *r = arg;
  return r->parts.region_of (r->parts.arg, failure_domain);
}

static void
send_message (void *arg, const struct member *to, unsigned type,
              const void *message)
{
  struct vm_registry *r = arg;
  if (r->gossip)
    gossip_link_send (r->gossip, to, type, message);
}

static void
open_gossip (struct vm_registry *r)
{
  g_autoptr (GError) error = NULL;
  struct gossip_parts parts = { .base = r->parts.base,
                                .members = r->members,
                                .ip = r->parts.ip,
                                .port = r->parts.peer_port,
                                .region = GOSSIP_REGION,
                                .fleet_key = r->fleet_key,
                                .get_join_address = get_join_address,
                                .get_revisions = get_revisions,
                                .on_peer_revisions = on_peer_revisions,
                                .on_frame = on_frame,
                                .arg = r };
  r->gossip = gossip_link_create (&parts, &error);
  if (r->gossip == NULL)
    {
      log_event (LOG_ERROR, "gossip_open_failed", "error", error->message,
                 NULL);
      r->next_ms = clock_ms () + RETRY_DELAY_MS;
      return;
    }
  r->step = STEP_JOINED;
  log_event (LOG_INFO, "joined", "addresses", log_num (r->addresses->len),
             NULL);
}

static void
on_written (void *arg, enum kv_status status, int64_t revision)
{
  struct vm_registry *r = arg;
  r->kv_pending = false;
  /* The outcome is unknown, or the entry has changed: list again.  */
  if (status != KV_OK)
    {
      retry_step (r, "write", status);
      r->step = STEP_LIST;
      return;
    }
  r->own_revision = revision;
  r->own_is_current = true;
}

static void
write_own_address (struct vm_registry *r)
{
  g_autofree char *key = own_key (r);
  g_autofree char *address = own_address (r);
  g_autoptr (GBytes) value = g_bytes_new (address, strlen (address));
  struct kv_put put = { key, value };
  r->kv_pending = true;
  kv_txn (r->parts.kv, key, r->own_revision, &put, 1, on_written, r);
}

static void
on_listed (void *arg, enum kv_status status, const struct kv_change *changes,
           size_t n, int64_t as_of)
{
  struct vm_registry *r = arg;
  (void)as_of;
  r->kv_pending = false;
  if (status != KV_OK)
    {
      retry_step (r, "list", status);
      return;
    }
  g_autofree char *key = own_key (r);
  g_autofree char *own = own_address (r);
  g_ptr_array_set_size (r->addresses, 0);
  r->own_revision = 0;
  r->own_is_current = false;
  for (size_t i = 0; i < n; i++)
    {
      char *address = value_text (changes[i].value);
      if (strcmp (changes[i].key, key) == 0)
        {
          r->own_revision = changes[i].revision;
          r->own_is_current = strcmp (address, own) == 0;
        }
      g_ptr_array_add (r->addresses, address);
    }
  if (r->step == STEP_LIST)
    r->step = STEP_WRITE;
}

static void read_fleet_key (struct vm_registry *r);

static void
on_fleet_key_created (void *arg, enum kv_status status, int64_t revision)
{
  struct vm_registry *r = arg;
  (void)revision;
  r->kv_pending = false;
  /* On a conflict another VM has created the key.  */
  if (status == KV_OK || status == KV_CONFLICT)
    read_fleet_key (r);
  else
    retry_step (r, "make_key", status);
}

static void
create_fleet_key (struct vm_registry *r)
{
  unsigned char bytes[FLEET_KEY_BYTES];
  if (getrandom (bytes, sizeof bytes, 0) != (ssize_t)sizeof bytes)
    {
      retry_step (r, "random", KV_NOT_DONE);
      return;
    }
  g_autofree char *text = g_base64_encode (bytes, sizeof bytes);
  g_autoptr (GBytes) value = g_bytes_new (text, strlen (text));
  struct kv_put put = { FLEET_KEY_PATH, value };
  r->kv_pending = true;
  kv_txn (r->parts.kv, FLEET_KEY_PATH, 0, &put, 1, on_fleet_key_created, r);
}

static void
on_fleet_key (void *arg, enum kv_status status, const struct kv_value *values,
              size_t n)
{
  struct vm_registry *r = arg;
  r->kv_pending = false;
  if (status != KV_OK)
    {
      retry_step (r, "read_key", status);
      return;
    }
  if (n == 0)
    {
      create_fleet_key (r);
      return;
    }
  r->fleet_key = value_text (values[0].value);
  r->step = STEP_LIST;
}

static void
read_fleet_key (struct vm_registry *r)
{
  r->kv_pending = true;
  kv_get (r->parts.kv, FLEET_KEY_PATH, false, on_fleet_key, r);
}

static void
list_vms (struct vm_registry *r)
{
  r->kv_pending = true;
  kv_list (r->parts.kv, VM_KEY_PREFIX, on_listed, r);
}

static void
next_step (struct vm_registry *r, int64_t now)
{
  if (r->kv_pending || now < r->next_ms)
    return;
  if (r->step == STEP_FLEET_KEY)
    read_fleet_key (r);
  else if (r->step == STEP_LIST)
    list_vms (r);
  else if (r->step == STEP_WRITE && !r->own_is_current)
    write_own_address (r);
  else if (r->step == STEP_WRITE)
    open_gossip (r);
}

/* After a restore of the key-value service: writes the keys that it may have
   lost, the fleet key and this VM's entry.  */

static void
on_own_rewritten (void *arg, enum kv_status status, int64_t revision)
{
  struct vm_registry *r = arg;
  r->kv_pending = false;
  if (status != KV_OK)
    {
      retry_step (r, "rewrite", status);
      return;
    }
  r->own_revision = revision;
  r->restores = r->parts.kv->restores;
}

static void
on_own_read (void *arg, enum kv_status status, const struct kv_value *values,
             size_t n)
{
  struct vm_registry *r = arg;
  g_autofree char *key = own_key (r);
  g_autofree char *address = own_address (r);
  g_autoptr (GBytes) value = g_bytes_new (address, strlen (address));
  struct kv_put put = { key, value };
  if (status != KV_OK)
    {
      r->kv_pending = false;
      retry_step (r, "read_own", status);
      return;
    }
  int64_t known = n > 0 ? values[0].revision : 0;
  kv_txn (r->parts.kv, key, known, &put, 1, on_own_rewritten, r);
}

static void
on_fleet_key_rewritten (void *arg, enum kv_status status, int64_t revision)
{
  struct vm_registry *r = arg;
  (void)revision;
  /* A conflict says that the key is still there.  */
  if (status != KV_OK && status != KV_CONFLICT)
    {
      r->kv_pending = false;
      retry_step (r, "rewrite_key", status);
      return;
    }
  g_autofree char *key = own_key (r);
  kv_get (r->parts.kv, key, false, on_own_read, r);
}

static void
rewrite_keys (struct vm_registry *r)
{
  g_autoptr (GBytes) value = g_bytes_new (r->fleet_key, strlen (r->fleet_key));
  struct kv_put put = { FLEET_KEY_PATH, value };
  r->kv_pending = true;
  kv_txn (r->parts.kv, FLEET_KEY_PATH, 0, &put, 1, on_fleet_key_rewritten, r);
}

/* Rewrites the keys after a restore, at a random time so that not all VMs do
   it at once.  */
static void
rewrite_after_restore (struct vm_registry *r, int64_t now)
{
  if (r->restores == r->parts.kv->restores)
    return;
  if (r->restores_seen != r->parts.kv->restores)
    {
      r->restores_seen = r->parts.kv->restores;
      r->next_ms = now + g_random_int_range (0, REWRITE_SPREAD_MS);
    }
  if (!r->kv_pending && now >= r->next_ms)
    rewrite_keys (r);
}

/* Lists the VMs' addresses again if this VM receives no gossip.  */
static void
relist_if_isolated (struct vm_registry *r, int64_t now)
{
  int64_t silence = gossip_link_silence_ms (r->gossip);
  if (r->kv_pending || (silence >= 0 && silence < ISOLATED_MS)
      || now - r->relisted_ms < RELIST_INTERVAL_MS)
    return;
  r->relisted_ms = now;
  list_vms (r);
}

/* Timer: joining, isolation, load reports.  */

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct vm_registry *r = arg;
  int64_t now = clock_ms ();
  if (r->step != STEP_JOINED)
    {
      next_step (r, now);
      return;
    }
  rewrite_after_restore (r, now);
  relist_if_isolated (r, now);
  if (now - r->load_report_ms < LOAD_REPORT_INTERVAL_MS)
    return;
  r->load_report_ms = now;
  load_link_send_reports (r->loads, now);
}

/* State that other components query.  */

const struct members *
vm_registry_members (const struct vm_registry *r)
{
  return r->members;
}

struct permit_link *
vm_registry_permits (const struct vm_registry *r)
{
  return r->permits;
}

struct rate_limit_link *
vm_registry_limits (const struct vm_registry *r)
{
  return r->limits;
}

struct upstream_statements *
vm_registry_statements (const struct vm_registry *r)
{
  return r->statements;
}

struct quarantine_link *
vm_registry_quarantine (const struct vm_registry *r)
{
  return r->quarantine;
}

bool
vm_registry_has_joined (const struct vm_registry *r)
{
  return r->step == STEP_JOINED;
}

unsigned
vm_registry_count_listed (const struct vm_registry *r)
{
  return r->addresses->len;
}

unsigned
vm_registry_count_live (const struct vm_registry *r)
{
  return members_count_live (r->members);
}

struct vm_broadcast
vm_registry_peers (struct vm_registry *r)
{
  return (struct vm_broadcast){ r->members, send_message, r };
}

void
vm_registry_set_usage (struct vm_registry *r, struct usage_link *usage)
{
  r->usage = usage;
}

/* Creation, destruction, joining and leaving.  */

struct vm_registry *
vm_registry_create (const struct vm_registry_parts *parts)
{
  static const struct timeval tick = { 0, 50000 };
  struct vm_registry *r = g_new0 (struct vm_registry, 1);
  guint32 seed = 0;
  if (getrandom (&seed, sizeof seed, 0) != (ssize_t)sizeof seed)
    g_error ("getrandom failed: no seed for the gossip membership");
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
  struct vm_broadcast peers = vm_registry_peers (r);
  struct rate_limit_link_parts limits = { .base = parts->base,
                                          .upstreams = parts->upstreams,
                                          .vm = parts->vm,
                                          .peers = peers };
  r->limits = rate_limit_link_create (&limits);
  struct upstream_statements_parts statements
      = { .upstreams = parts->upstreams, .limits = r->limits, .peers = peers };
  r->statements = upstream_statements_create (&statements);
  struct quarantine_link_parts quarantine
      = { .base = parts->base, .vm = parts->vm, .peers = peers };
  r->quarantine = quarantine_link_create (&quarantine);
  r->timer = event_new (parts->base, -1, EV_PERSIST, on_timer, r);
  event_add (r->timer, &tick);
  return r;
}

void
vm_registry_destroy (struct vm_registry *r)
{
  if (r == NULL)
    return;
  event_free (r->timer);
  gossip_link_destroy (r->gossip);
  load_link_destroy (r->loads);
  permit_link_destroy (r->permits);
  upstream_statements_destroy (r->statements);
  rate_limit_link_destroy (r->limits);
  quarantine_link_destroy (r->quarantine);
  members_destroy (r->members);
  g_ptr_array_unref (r->addresses);
  g_free (r->fleet_key);
  g_free (r);
}

void
vm_registry_join (struct vm_registry *r)
{
  if (r->step == STEP_IDLE)
    r->step = STEP_FLEET_KEY;
}

void
vm_registry_announce_leaving (struct vm_registry *r)
{
  if (r->gossip)
    gossip_link_announce_leaving (r->gossip);
}

void
vm_registry_announce_left (struct vm_registry *r)
{
  if (r->gossip)
    gossip_link_announce_left (r->gossip);
}
