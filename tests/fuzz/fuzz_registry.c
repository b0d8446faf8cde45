/** @file
    Fuzz target: the VMs' entries in the key-value service and the fleet key.
    The input is a sequence of results of the registry's reads and writes.  All
    addresses that are read get to the membership gossip, which here only takes
    them apart; the registry's own timers never stop to read again.  */
#include "base/address.h"
#include "base/log.h"
#include "daemon/entry_addresses.h"
#include "daemon/vm_registry.h"
#include "fuzz/shared/http_stub.h"

#include <string.h>

/* libFuzzer requires this name.  NOLINTNEXTLINE */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#define ENTRIES_MAX 6
#define VALUE_MAX 64
#define REVISION_MAX (((uint64_t)1 << 52) - 1)

/* Stands in for daemon/gossip_link.c, so that nothing is sent.  */

struct gossip_link
{
  struct gossip_parts parts;
};

static void
take_addresses (struct gossip_link *g)
{
  const char *address;
  for (unsigned i = 0;
       (address = g->parts.get_join_address (g->parts.arg, i)) != NULL; i++)
    {
      g_autofree char *ip = NULL;
      uint16_t port = 0;
      if (i >= ENTRIES_MAX
          || (address_split (address, &ip, &port) && port == 0))
        __builtin_trap ();
    }
}

struct gossip_link *
gossip_link_create (const struct gossip_parts *parts, GError **error)
{
  struct gossip_link *g = g_new0 (struct gossip_link, 1);
  (void)error;
  g->parts = *parts;
  take_addresses (g);
  return g;
}

void
gossip_link_destroy (struct gossip_link *g)
{
  g_free (g);
}

void
gossip_link_send (struct gossip_link *g, const struct member *member,
                  unsigned type, const void *message)
{
  (void)g;
  (void)member;
  (void)type;
  (void)message;
}

void
gossip_link_announce_leaving (struct gossip_link *g)
{
  (void)g;
}

void
gossip_link_announce_left (struct gossip_link *g)
{
  (void)g;
}

int64_t
gossip_link_silence_ms (const struct gossip_link *g)
{
  (void)g;
  return -1;
}

/* Key-value service whose results come from the input.  */

struct fuzz_kv
{
  struct kv kv;
  kv_get_cb *get_cb;
  kv_txn_cb *txn_cb;
  kv_changes_cb *list_cb;
  void *arg;
};

static void
start_get (struct kv *kv, const char *key, bool prefix, kv_get_cb *cb,
           void *arg)
{
  struct fuzz_kv *f = (struct fuzz_kv *)kv;
  (void)key;
  (void)prefix;
  f->get_cb = cb;
  f->arg = arg;
}

static void
start_txn (struct kv *kv, const char *key, int64_t revision,
           const struct kv_put *puts, size_t n, kv_txn_cb *cb, void *arg)
{
  struct fuzz_kv *f = (struct fuzz_kv *)kv;
  (void)key;
  (void)puts;
  if (revision < 0 || n != 1)
    __builtin_trap ();
  f->txn_cb = cb;
  f->arg = arg;
}

static void
start_list (struct kv *kv, const char *prefix, kv_changes_cb *cb, void *arg)
{
  struct fuzz_kv *f = (struct fuzz_kv *)kv;
  (void)prefix;
  f->list_cb = cb;
  f->arg = arg;
}

static const struct kv_ops fuzz_kv_ops
    = { .get = start_get, .txn = start_txn, .list = start_list };

static enum kv_status
read_status (struct fuzz_input *in)
{
  static const enum kv_status statuses[]
      = { KV_OK, KV_OK,       KV_OK,       KV_OK,
          KV_OK, KV_CONFLICT, KV_NOT_DONE, KV_UNKNOWN };
  return statuses[fuzz_byte (in) % G_N_ELEMENTS (statuses)];
}

/* Ends the operation in flight, if there is one.  */
static void
end_operation (struct fuzz_kv *f, struct fuzz_input *in)
{
  kv_get_cb *get_cb = g_steal_pointer (&f->get_cb);
  kv_txn_cb *txn_cb = g_steal_pointer (&f->txn_cb);
  kv_changes_cb *list_cb = g_steal_pointer (&f->list_cb);
  enum kv_status status = read_status (in);
  struct kv_change changes[ENTRIES_MAX] = { 0 };
  size_t n = status == KV_OK ? fuzz_byte (in) % (ENTRIES_MAX + 1) : 0;
  char *keys[ENTRIES_MAX];
  for (size_t i = 0; i < n; i++)
    {
      g_autofree char *name = fuzz_text (in, VALUE_MAX);
      g_autofree char *value = fuzz_text (in, VALUE_MAX);
      keys[i] = g_strconcat ("buckthornstand/vms/", name, NULL);
      changes[i].key = keys[i];
      changes[i].value = g_bytes_new (value, strlen (value));
      changes[i].revision = (int64_t)fuzz_number (in, REVISION_MAX);
    }
  struct kv_value value
      = { changes[0].key, changes[0].value, changes[0].revision };
  if (get_cb)
    get_cb (f->arg, status, &value, MIN (n, 1));
  else if (txn_cb)
    txn_cb (f->arg, status, (int64_t)fuzz_number (in, REVISION_MAX));
  else if (list_cb)
    list_cb (f->arg, status, changes, n, 1);
  for (size_t i = 0; i < n; i++)
    {
      g_bytes_unref (changes[i].value);
      g_free (keys[i]);
    }
}

static const char *
region_of (void *arg, const char *failure_domain)
{
  (void)arg;
  return failure_domain;
}

static struct gossip_revisions
get_revisions (void *arg)
{
  (void)arg;
  return (struct gossip_revisions){ 0 };
}

static void
on_peer_revisions (void *arg, const struct gossip_revisions *known)
{
  (void)arg;
  (void)known;
}

/* NOLINTNEXTLINE */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static struct event_base *base;
  static const struct upstream_locality here
      = { "zone-a", "zone-a", region_of, NULL };
  struct fuzz_input in = { data, size };
  struct fuzz_kv kv = { .kv = { .ops = &fuzz_kv_ops } };
  if (base == NULL)
    {
      base = event_base_new ();
      log_setup (LOG_ERROR, "vm-0");
    }
  struct upstreams *upstreams = upstreams_create (&here);
  struct vm_registry_parts parts = { .base = base,
                                     .kv = &kv.kv,
                                     .upstreams = upstreams,
                                     .vm = "vm-0",
                                     .ip = "10.0.0.9",
                                     .peer_port = 7000,
                                     .front_port = 80,
                                     .failure_domain = "zone-a",
                                     .region_of = region_of,
                                     .get_revisions = get_revisions,
                                     .on_peer_revisions = on_peer_revisions };
  struct vm_registry *r = vm_registry_create (&parts);
  vm_registry_join (r);
  while (in.size > 0)
    {
      kv.kv.restores += fuzz_byte (&in) == 255;
      run_timers (base);
      end_operation (&kv, &in);
    }
  g_autoptr (GPtrArray) addresses = entry_addresses (
      vm_registry_members (r), region_of, NULL, "zone-a", NULL);
  if (addresses->len != 1)
    __builtin_trap ();
  vm_registry_destroy (r);
  upstreams_destroy (upstreams);
  return 0;
}
