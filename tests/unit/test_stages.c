/** @file
    Lease of the order holder, simulated on virtual time with lost, late and
    conflicting writes and frozen VMs; and the prefill/decode split: how many
    engines become prefill-only.  */
#include "decide/order_lease.h"
#include "decide/prefill_split.h"

#include <string.h>

/* Lease of the order holder.  */

/* Required minimum time between the orders of two holders.  */
#define LEASE_MS 3000
#define VMS 4
#define STEP_MS 20
#define RUN_MS 240000
#define WRITES_MAX 64

/* A write of the lease key.  */
struct write
{
  unsigned vm;
  int64_t handle_ms;   /* when the store handles the write */
  int64_t response_ms; /* when the VM gets the response; -1 if never */
  int64_t revision;    /* revision that the key must have; 0: the key must not
                          exist */
  GBytes *value;
  bool handled;         /* the store has handled the write */
  bool ok;              /* the store applied the write */
  int64_t new_revision; /* revision of the key after the write, if OK */
  bool reported; /* the VM was told the outcome, or that it is unknown */
};

struct vm
{
  struct order_lease *order_lease;
  char name[8];
  bool is_leader;
  int64_t frozen_until_ms;
  bool read_in_flight;
  int64_t read_end_ms;
};

/* Simulation of VMS VMs that compete for one lease key.  */
struct sim
{
  int64_t lease_ms;
  GRand *rand;
  int64_t now;      /* virtual time in ms */
  int64_t revision; /* revision of the latest change of the key */
  bool key_exists;
  GBytes *value; /* value of the key, as last written */
  struct vm vms[VMS];
  GArray *writes;     /* struct write */
  int last_sender_vm; /* -1 before the first batch */
  int64_t last_sent_ms;
  uint64_t highest_fencing;
  unsigned batches_sent;
  unsigned holder_changes; /* number of batches whose sender is not that of the
                              batch before */
};

static unsigned
random_below (struct sim *s, unsigned n)
{
  return (unsigned)g_rand_int_range (s->rand, 0, (gint32)n);
}

/* Checks the requirement on a batch of orders that VM sends: fencing tokens
   never decrease, and if another VM sent the last batch, the token is higher
   and more than the lease time has passed.  */
static void
check_send (struct sim *s, int vm)
{
  uint64_t fencing = order_lease_fencing_token (s->vms[vm].order_lease);
  g_assert_cmpuint (fencing, >=, s->highest_fencing);
  if (s->last_sender_vm >= 0 && s->last_sender_vm != vm)
    {
      g_assert_cmpuint (fencing, >, s->highest_fencing);
      g_assert_cmpint (s->now - s->last_sent_ms, >, s->lease_ms);
      s->holder_changes++;
    }
  s->highest_fencing = fencing;
  s->last_sender_vm = vm;
  s->last_sent_ms = s->now;
  s->batches_sent++;
}

static void
start_write (struct sim *s, unsigned vm)
{
  struct order_lease *lease = s->vms[vm].order_lease;
  unsigned fault = random_below (s, 20);
  struct write wr = { .vm = vm,
                      .handle_ms = s->now + 5 + random_below (s, 40),
                      .revision = order_lease_revision (lease),
                      .value = order_lease_value (lease) };
  /* Of 20 writes on average, one is handled 1 to 7 s late and gets no
     response, one gets no response, and one gets it up to 0.9 s late.  */
  if (fault == 0)
    wr.handle_ms = s->now + 1000 + random_below (s, 6000);
  wr.response_ms = fault <= 1 ? -1
                              : wr.handle_ms + 5
                                    + random_below (s, fault == 2 ? 900 : 40);
  g_array_append_val (s->writes, wr);
}

static void
handle_write (struct sim *s, struct write *wr)
{
  wr->handled = true;
  wr->ok = wr->revision == (s->key_exists ? s->revision : 0);
  if (!wr->ok)
    return;
  s->key_exists = true;
  g_bytes_unref (s->value);
  s->value = g_bytes_ref (wr->value);
  wr->new_revision = ++s->revision;
}

static bool
is_frozen (const struct sim *s, unsigned vm)
{
  return s->now < s->vms[vm].frozen_until_ms;
}

static void
step_writes (struct sim *s)
{
  for (guint i = 0; i < s->writes->len; i++)
    {
      struct write *wr = &g_array_index (s->writes, struct write, i);
      struct order_lease *lease = s->vms[wr->vm].order_lease;
      if (!wr->handled && s->now >= wr->handle_ms)
        handle_write (s, wr);
      if (wr->reported || is_frozen (s, wr->vm))
        continue;
      if (wr->handled && wr->response_ms >= 0 && s->now >= wr->response_ms)
        {
          order_lease_write_done (lease,
                                  wr->ok ? ORDER_LEASE_WRITE_OK
                                         : ORDER_LEASE_WRITE_CONFLICT,
                                  wr->new_revision, s->now);
          wr->reported = true;
        }
      /* Without a response, a VM that is not frozen takes the outcome as
         unknown 600 ms after the store has handled the write.  */
      else if (wr->response_ms < 0 && s->now >= wr->handle_ms - 900 + 1500)
        {
          order_lease_write_done (lease, ORDER_LEASE_WRITE_UNKNOWN, 0, s->now);
          wr->reported = true;
        }
    }
}

static void
step_vm (struct sim *s, unsigned i)
{
  struct vm *v = &s->vms[i];
  if (is_frozen (s, i))
    return;
  if (v->read_in_flight && s->now >= v->read_end_ms)
    {
      v->read_in_flight = false;
      order_lease_read_done (v->order_lease, random_below (s, 10) != 0,
                             s->key_exists ? s->revision : 0,
                             s->key_exists ? s->value : NULL, s->now);
    }
  switch (order_lease_next (v->order_lease, v->is_leader,
                            random_below (s, 4) == 0, s->now))
    {
    case ORDER_LEASE_READ:
      v->read_in_flight = true;
      v->read_end_ms = s->now + 5 + random_below (s, 60);
      break;
    case ORDER_LEASE_WRITE:
      start_write (s, i);
      break;
    case ORDER_LEASE_SEND:
      check_send (s, (int)i);
      break;
    default:
      break;
    }
}

/* Makes VMs leaders or not, independently of each other, so that several may
   lead at the same time; freezes VMs; removes the key.  */
static void
inject_faults (struct sim *s)
{
  struct vm *v = &s->vms[random_below (s, VMS)];
  if (random_below (s, 300) == 0)
    v->is_leader = !v->is_leader;
  if (random_below (s, 400) == 0)
    v->frozen_until_ms = s->now + 200 + random_below (s, 20000);
  if (random_below (s, 3000) == 0 && s->key_exists)
    {
      s->key_exists = false;
      s->revision++;
    }
}

static struct sim
simulate (guint32 seed, int64_t lease_ms)
{
  struct sim s = { .rand = g_rand_new_with_seed (seed),
                   .lease_ms = lease_ms,
                   .last_sender_vm = -1 };
  s.writes = g_array_new (FALSE, TRUE, sizeof (struct write));
  s.value = g_bytes_new ("", 0);
  for (unsigned i = 0; i < VMS; i++)
    {
      g_snprintf (s.vms[i].name, sizeof s.vms[i].name, "vm%u", i);
      s.vms[i].order_lease = order_lease_create (s.vms[i].name, lease_ms,
                                                 ORDER_LEASE_TAKEOVER_MS);
      s.vms[i].is_leader = i == 0 || random_below (&s, 3) == 0;
    }
  for (; s.now < RUN_MS; s.now += STEP_MS)
    {
      step_writes (&s);
      for (unsigned i = 0; i < VMS; i++)
        step_vm (&s, i);
      inject_faults (&s);
    }
  for (unsigned i = 0; i < VMS; i++)
    order_lease_destroy (s.vms[i].order_lease);
  for (guint i = 0; i < s.writes->len; i++)
    g_bytes_unref (g_array_index (s.writes, struct write, i).value);
  g_array_unref (s.writes);
  g_bytes_unref (s.value);
  g_rand_free (s.rand);
  return s;
}

/* Guards against two VMs that send orders within the lease time, and against a
   fencing token lower than an earlier one; check_send has the assertions.  */
static void
test_no_overlapping_holders (void)
{
  static const int64_t leases[] = { LEASE_MS, LEASE_MS / 3, LEASE_MS * 3 };
  for (size_t i = 0; i < G_N_ELEMENTS (leases); i++)
    {
      unsigned batches_sent = 0;
      unsigned changes_of_holder = 0;
      for (guint32 seed = 1; seed <= 300; seed++)
        {
          struct sim s = simulate (seed, leases[i]);
          batches_sent += s.batches_sent;
          changes_of_holder += s.holder_changes;
        }
      g_test_message (
          "lease %d ms: %u batches of orders, %u changes of the holder",
          (int)leases[i], batches_sent, changes_of_holder);
      g_assert_cmpuint (changes_of_holder, >, 100);
    }
}

/* Without faults, a VM acquires the lease, sends nothing for twice the lease
   time, and then renews the lease before each batch of orders.  */
static void
test_renewal_without_faults (void)
{
  struct order_lease *lease
      = order_lease_create ("a", LEASE_MS, ORDER_LEASE_TAKEOVER_MS);
  g_assert_cmpint (order_lease_next (lease, true, false, 0), ==,
                   ORDER_LEASE_READ);
  order_lease_read_done (lease, true, 0, NULL, 5);
  g_assert_cmpint (order_lease_next (lease, true, false, 5), ==,
                   ORDER_LEASE_WRITE);
  order_lease_write_done (lease, ORDER_LEASE_WRITE_OK, 7, 10);
  g_assert_true (order_lease_is_held (lease));
  g_assert_cmpint (order_lease_next (lease, true, true, 5000), ==,
                   ORDER_LEASE_NOTHING);
  for (int64_t now = 7000; now < 9000; now += 1000)
    {
      g_assert_cmpint (order_lease_next (lease, true, true, now), ==,
                       ORDER_LEASE_WRITE);
      order_lease_write_done (lease, ORDER_LEASE_WRITE_OK, now, now + 10);
      g_assert_cmpint (order_lease_next (lease, true, true, now + 10), ==,
                       ORDER_LEASE_SEND);
    }
  g_assert_cmpuint (order_lease_fencing_token (lease), ==, 7);
  /* A renewal that ends 900 ms after its start permits no orders, as when the
     VM was frozen meanwhile.  */
  g_assert_cmpint (order_lease_next (lease, true, true, 9000), ==,
                   ORDER_LEASE_WRITE);
  order_lease_write_done (lease, ORDER_LEASE_WRITE_OK, 9000, 9900);
  g_assert_cmpint (order_lease_next (lease, true, false, 9900), ==,
                   ORDER_LEASE_NOTHING);
  order_lease_destroy (lease);
}

/* Prefill/decode split.  */

#define ENGINES 12
#define SECOND_MS 1000

static const char *
region_of (void *arg, const char *failure_domain)
{
  (void)arg;
  (void)failure_domain;
  return "r";
}

static struct upstreams *
create_engines (unsigned prefill_engines)
{
  struct upstream_locality locality = { "d0", "r", region_of, NULL };
  struct upstreams *u = upstreams_create (&locality);
  for (unsigned i = 0; i < ENGINES; i++)
    {
      g_autofree char *id = g_strdup_printf ("e%u", i);
      g_autofree char *domain = g_strdup_printf ("d%u", i % 3);
      struct upstream_info info
          = { .id = id,
              .service = (char *)"m",
              .address = (char *)"10.0.0.1:80",
              .failure_domain = domain,
              .software_version = (char *)"v1",
              .slots = 16,
              .role
              = i < prefill_engines ? UPSTREAM_PREFILL : UPSTREAM_DECODE };
      upstreams_put (u, &info);
    }
  return u;
}

/* Records 20 requests per second with a prompt of TOKENS each at this VM, for
   SECONDS from FROM_MS.  Returns the end of that time.  */
static int64_t
record_requests (struct prefill_split *s, uint64_t tokens, unsigned seconds,
                 int64_t from_ms)
{
  struct prompt p = { .tokens = tokens, .out_tokens = 10 };
  int64_t end = from_ms + (int64_t)seconds * SECOND_MS;
  for (int64_t now = from_ms; now < end; now += 50)
    prefill_split_record_request (s, "m", &p, now);
  return end;
}

/* Replaces the content of OUT by the role changes decided at NOW, for a fleet
   of 10 VMs.  Returns their number.  */
static unsigned
decide (struct prefill_split *s, struct upstreams *u, int64_t now, GArray *out)
{
  struct prefill_split_inputs in = { 0 };
  g_array_set_size (out, 0);
  prefill_split_decide (s, u, 10, now, out, &in);
  return out->len;
}

/* If prefill demand keeps the engines busy, decoding engines are made
   prefill-only: at most a quarter at once, spread over the failure domains,
   and each ordered to change once.  No more are ordered while these still
   change.  */
static void
test_prefill_overload (void)
{
  struct upstreams *u = create_engines (2);
  struct prefill_split *s = prefill_split_create ();
  g_autoptr (GArray) out
      = g_array_new (FALSE, FALSE, sizeof (struct prefill_split_change));
  int64_t now = record_requests (s, 9000, 3, 0);
  unsigned domains = 0;
  g_assert_cmpuint (decide (s, u, now, out), >, 0);
  g_assert_cmpuint (out->len, <=, ENGINES / 4);
  for (guint i = 0; i < out->len; i++)
    {
      struct prefill_split_change c
          = g_array_index (out, struct prefill_split_change, i);
      const struct upstream_info *info = upstreams_info (u, c.upstream);
      g_assert_cmpint (c.to, ==, UPSTREAM_PREFILL);
      domains |= 1U << (info->failure_domain[1] - '0');
      prefill_split_record_order (s, info->id, now);
    }
  g_assert_cmpuint (domains, !=, 0);
  /* The engines ordered above are still changing.  */
  g_assert_cmpuint (decide (s, u, now + 100, out), ==, 0);
  prefill_split_destroy (s);
  upstreams_destroy (u);
}

/* No role changes if prefill demand is low, if there were too few requests to
   measure it, or if the share of prefill-only engines is at its maximum.  */
static void
test_no_change (void)
{
  g_autoptr (GArray) out
      = g_array_new (FALSE, FALSE, sizeof (struct prefill_split_change));
  struct upstreams *u = create_engines (2);
  struct prefill_split *s = prefill_split_create ();
  int64_t now = record_requests (s, 100, 3, 0);
  g_assert_cmpuint (decide (s, u, now, out), ==, 0);
  struct prompt p = { .tokens = 500000 };
  for (unsigned i = 0; i < 3; i++)
    prefill_split_record_request (s, "m", &p, now + 4000 + i);
  g_assert_cmpuint (decide (s, u, now + 7000, out), ==, 0);
  prefill_split_destroy (s);
  upstreams_destroy (u);
  u = create_engines (ENGINES * 55 / 100);
  s = prefill_split_create ();
  now = record_requests (s, 9000, 3, 0);
  g_assert_cmpuint (decide (s, u, now, out), ==, 0);
  prefill_split_destroy (s);
  upstreams_destroy (u);
}

/* An engine that accepts no requests for some time is not ordered to change
   its role meanwhile.  */
static void
test_paused_engine (void)
{
  g_autoptr (GArray) out
      = g_array_new (FALSE, FALSE, sizeof (struct prefill_split_change));
  struct upstreams *u = create_engines (2);
  struct prefill_split *s = prefill_split_create ();
  int64_t now = record_requests (s, 9000, 3, 0);
  g_assert_cmpuint (decide (s, u, now, out), >, 0);
  upstream_handle first
      = g_array_index (out, struct prefill_split_change, 0).upstream;
  upstreams_pause (u, first, 1000, now);
  (void)decide (s, u, now, out);
  for (guint i = 0; i < out->len; i++)
    g_assert_cmpuint (
        g_array_index (out, struct prefill_split_change, i).upstream, !=,
        first);
  prefill_split_destroy (s);
  upstreams_destroy (u);
}

/* A request mix that alternates every 3 s between long and short prompts must
   not make engines change their roles back and forth.  */
static void
test_oscillating_mix (void)
{
  g_autoptr (GArray) out
      = g_array_new (FALSE, FALSE, sizeof (struct prefill_split_change));
  struct upstreams *u = create_engines (2);
  struct prefill_split *s = prefill_split_create ();
  unsigned changes = 0;
  int64_t now = 0;
  for (unsigned phase = 0; phase < 20; phase++)
    {
      int64_t end = record_requests (s, phase % 2 ? 9000 : 200, 3, now);
      for (; now < end; now += 250)
        {
          changes += decide (s, u, now, out);
          for (guint i = 0; i < out->len; i++)
            {
              struct prefill_split_change c
                  = g_array_index (out, struct prefill_split_change, i);
              const struct upstream_info *info
                  = upstreams_info (u, c.upstream);
              g_autofree char *id = g_strdup (info->id);
              g_autofree char *domain = g_strdup (info->failure_domain);
              struct upstream_info changed = *info;
              changed.id = id;
              changed.failure_domain = domain;
              changed.service = (char *)"m";
              changed.address = (char *)"10.0.0.1:80";
              changed.software_version = (char *)"v1";
              changed.role = c.to;
              prefill_split_record_order (s, id, now);
              upstreams_put (u, &changed);
            }
        }
    }
  /* No more changes than engines in the largest prefill-only share, 55%:
     long prompts need that split, and short ones do not undo it.  */
  g_assert_cmpuint (changes, <=, ENGINES * 55 / 100);
  prefill_split_destroy (s);
  upstreams_destroy (u);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/order-lease/renewal-without-faults",
                   test_renewal_without_faults);
  g_test_add_func ("/order-lease/one-holder", test_no_overlapping_holders);
  g_test_add_func ("/prefill-split/prefill-overload", test_prefill_overload);
  g_test_add_func ("/prefill-split/no-change", test_no_change);
  g_test_add_func ("/prefill-split/paused-engine", test_paused_engine);
  g_test_add_func ("/prefill-split/oscillating-mix", test_oscillating_mix);
  return g_test_run ();
}
