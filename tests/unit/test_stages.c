/** @file
    Who gives orders, under lost, late and failed writes, freezes and races on
    virtual time; and how many engines are to read only.  */
#include "decide/order_lease.h"
#include "decide/prefill_split.h"

#include <string.h>

/* Authority.  */

/* Bound of the users: two holders do not take turns within it.  */
#define LEASE_MS 3000
#define VMS 4
#define STEP_MS 20
#define DAY_MS 240000
#define WRITES_MAX 64

/* The key, and writes on their way.  */
struct write
{
  unsigned vm;
  int64_t at_ms;    /* when it takes effect */
  int64_t told_ms;  /* when its answer comes; -1 for never */
  int64_t revision; /* that it replaces */
  GBytes *page;
  bool done; /* it took effect */
  bool ok;
  int64_t new_revision;
  bool given_up;
};

struct vm
{
  struct order_lease *order_lease;
  char name[8];
  bool lead;
  int64_t frozen_until_ms;
  bool reading;
  int64_t read_at_ms;
};

struct world
{
  int64_t lease_ms;
  GRand *rand;
  int64_t now;
  int64_t revision; /* of the latest change */
  bool there;       /* the key was not removed since */
  GBytes *page;
  struct vm vms[VMS];
  GArray *writes; /* struct write */
  int last_sender;
  int64_t last_sent_ms;
  uint64_t highest;
  unsigned sends;
  unsigned holders;
};

static unsigned
chance (struct world *w, unsigned n)
{
  return (unsigned)g_rand_int_range (w->rand, 0, (gint32)n);
}

/* The users' rule on orders.  */
static void
on_send (struct world *w, int vm)
{
  uint64_t fencing = order_lease_fencing_token (w->vms[vm].order_lease);
  g_assert_cmpuint (fencing, >=, w->highest);
  if (w->last_sender >= 0 && w->last_sender != vm)
    {
      g_assert_cmpuint (fencing, >, w->highest);
      g_assert_cmpint (w->now - w->last_sent_ms, >, w->lease_ms);
      w->holders++;
    }
  w->highest = fencing;
  w->last_sender = vm;
  w->last_sent_ms = w->now;
  w->sends++;
}

static void
start_write (struct world *w, unsigned vm)
{
  struct order_lease *a = w->vms[vm].order_lease;
  unsigned fate = chance (w, 20);
  struct write x = { .vm = vm,
                     .at_ms = w->now + 5 + chance (w, 40),
                     .revision = order_lease_revision (a),
                     .page = order_lease_value (a) };
  /* Answers are lost; effects come seconds late; or the answer is late.  */
  if (fate == 0)
    x.at_ms = w->now + 1000 + chance (w, 6000);
  x.told_ms = fate <= 1 ? -1 : x.at_ms + 5 + chance (w, fate == 2 ? 900 : 40);
  g_array_append_val (w->writes, x);
}

static void
take_effect (struct world *w, struct write *x)
{
  x->done = true;
  x->ok = x->revision == (w->there ? w->revision : 0);
  if (!x->ok)
    return;
  w->there = true;
  g_bytes_unref (w->page);
  w->page = g_bytes_ref (x->page);
  x->new_revision = ++w->revision;
}

static bool
is_frozen (const struct world *w, unsigned vm)
{
  return w->now < w->vms[vm].frozen_until_ms;
}

static void
move_writes (struct world *w)
{
  for (guint i = 0; i < w->writes->len; i++)
    {
      struct write *x = &g_array_index (w->writes, struct write, i);
      struct order_lease *a = w->vms[x->vm].order_lease;
      if (!x->done && w->now >= x->at_ms)
        take_effect (w, x);
      if (x->given_up || is_frozen (w, x->vm))
        continue;
      if (x->done && x->told_ms >= 0 && w->now >= x->told_ms)
        {
          order_lease_write_done (
              a, x->ok ? ORDER_LEASE_WRITE_OK : ORDER_LEASE_WRITE_CONFLICT,
              x->new_revision, w->now);
          x->given_up = true;
        }
      else if (x->told_ms < 0 && w->now >= x->at_ms - 900 + 1500)
        {
          order_lease_write_done (a, ORDER_LEASE_WRITE_UNKNOWN, 0, w->now);
          x->given_up = true;
        }
    }
}

static void
move_vm (struct world *w, unsigned i)
{
  struct vm *v = &w->vms[i];
  if (is_frozen (w, i))
    return;
  if (v->reading && w->now >= v->read_at_ms)
    {
      v->reading = false;
      order_lease_read_done (v->order_lease, chance (w, 10) != 0,
                             w->there ? w->revision : 0,
                             w->there ? w->page : NULL, w->now);
    }
  switch (
      order_lease_next (v->order_lease, v->lead, chance (w, 4) == 0, w->now))
    {
    case ORDER_LEASE_READ:
      v->reading = true;
      v->read_at_ms = w->now + 5 + chance (w, 60);
      break;
    case ORDER_LEASE_WRITE:
      start_write (w, i);
      break;
    case ORDER_LEASE_SEND:
      on_send (w, (int)i);
      break;
    default:
      break;
    }
}

/* Leads change, also wrongly, so that several VMs lead; VMs freeze; the key is
   removed.  */
static void
disturb (struct world *w)
{
  struct vm *v = &w->vms[chance (w, VMS)];
  if (chance (w, 300) == 0)
    v->lead = !v->lead;
  if (chance (w, 400) == 0)
    v->frozen_until_ms = w->now + 200 + chance (w, 20000);
  if (chance (w, 3000) == 0 && w->there)
    {
      w->there = false;
      w->revision++;
    }
}

static struct world
play (guint32 seed, int64_t lease_ms)
{
  struct world w = { .rand = g_rand_new_with_seed (seed),
                     .lease_ms = lease_ms,
                     .last_sender = -1 };
  w.writes = g_array_new (FALSE, TRUE, sizeof (struct write));
  w.page = g_bytes_new ("", 0);
  for (unsigned i = 0; i < VMS; i++)
    {
      g_snprintf (w.vms[i].name, sizeof w.vms[i].name, "vm%u", i);
      w.vms[i].order_lease = order_lease_create (w.vms[i].name, lease_ms);
      w.vms[i].lead = i == 0 || chance (&w, 3) == 0;
    }
  for (; w.now < DAY_MS; w.now += STEP_MS)
    {
      move_writes (&w);
      for (unsigned i = 0; i < VMS; i++)
        move_vm (&w, i);
      disturb (&w);
    }
  for (unsigned i = 0; i < VMS; i++)
    order_lease_destroy (w.vms[i].order_lease);
  for (guint i = 0; i < w.writes->len; i++)
    g_bytes_unref (g_array_index (w.writes, struct write, i).page);
  g_array_unref (w.writes);
  g_bytes_unref (w.page);
  g_rand_free (w.rand);
  return w;
}

/* Never two holders within the lease, never a lower number after a higher.  */
static void
test_one_holder (void)
{
  static const int64_t leases[] = { LEASE_MS, LEASE_MS / 3, LEASE_MS * 3 };
  for (size_t i = 0; i < G_N_ELEMENTS (leases); i++)
    {
      unsigned sends = 0;
      unsigned turns = 0;
      for (guint32 seed = 1; seed <= 300; seed++)
        {
          struct world w = play (seed, leases[i]);
          sends += w.sends;
          turns += w.holders;
        }
      g_test_message ("lease %d ms: %u sends, %u changes of the holder",
                      (int)leases[i], sends, turns);
      g_assert_cmpuint (turns, >, 100);
    }
}

/* A holder that nobody disturbs sends what it has, and goes on.  */
static void
test_calm (void)
{
  struct order_lease *a = order_lease_create ("a", LEASE_MS);
  g_assert_cmpint (order_lease_next (a, true, false, 0), ==, ORDER_LEASE_READ);
  order_lease_read_done (a, true, 0, NULL, 5);
  g_assert_cmpint (order_lease_next (a, true, false, 5), ==,
                   ORDER_LEASE_WRITE);
  order_lease_write_done (a, ORDER_LEASE_WRITE_OK, 7, 10);
  g_assert_true (order_lease_is_held (a));
  g_assert_cmpint (order_lease_next (a, true, true, 5000), ==,
                   ORDER_LEASE_NOTHING);
  for (int64_t now = 7000; now < 9000; now += 1000)
    {
      g_assert_cmpint (order_lease_next (a, true, true, now), ==,
                       ORDER_LEASE_WRITE);
      order_lease_write_done (a, ORDER_LEASE_WRITE_OK, now, now + 10);
      g_assert_cmpint (order_lease_next (a, true, true, now + 10), ==,
                       ORDER_LEASE_SEND);
    }
  g_assert_cmpuint (order_lease_fencing_token (a), ==, 7);
  /* An answer that comes after a freeze sends nothing.  */
  g_assert_cmpint (order_lease_next (a, true, true, 9000), ==,
                   ORDER_LEASE_WRITE);
  order_lease_write_done (a, ORDER_LEASE_WRITE_OK, 9000, 9900);
  g_assert_cmpint (order_lease_next (a, true, false, 9900), ==,
                   ORDER_LEASE_NOTHING);
  order_lease_destroy (a);
}

/* Prefill split.  */

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
engines (unsigned prefill_engines)
{
  struct upstream_locality place = { "d0", "r", region_of, NULL };
  struct upstreams *u = upstreams_create (&place);
  for (unsigned i = 0; i < ENGINES; i++)
    {
      g_autofree char *id = g_strdup_printf ("e%u", i);
      g_autofree char *domain = g_strdup_printf ("d%u", i % 3);
      struct upstream_info info
          = { .id = id,
              .service = (char *)"m",
              .address = (char *)"10.0.0.1:80",
              .failure_domain = domain,
              .software = (char *)"v1",
              .slots = 16,
              .role
              = i < prefill_engines ? UPSTREAM_PREFILL : UPSTREAM_DECODE };
      upstreams_put (u, &info);
    }
  return u;
}

/* SECONDS of requests that read TOKENS each, 20 a second at this VM.  */
static int64_t
load (struct prefill_split *s, uint64_t tokens, unsigned seconds,
      int64_t from_ms)
{
  struct prompt p = { .tokens = tokens, .out_tokens = 10 };
  int64_t end = from_ms + (int64_t)seconds * SECOND_MS;
  for (int64_t now = from_ms; now < end; now += 50)
    prefill_split_record_request (s, "m", &p, now);
  return end;
}

static unsigned
decide (struct prefill_split *s, struct upstreams *u, int64_t now, GArray *out)
{
  struct prefill_split_inputs in = { 0 };
  g_array_set_size (out, 0);
  prefill_split_decide (s, u, 10, now, out, &in);
  return out->len;
}

/* Prefill fills the engines: prefill-only engines are made, few at once, in
   all failure domains, and each but once.  */
static void
test_reading_fills (void)
{
  struct upstreams *u = engines (2);
  struct prefill_split *s = prefill_split_create ();
  g_autoptr (GArray) out
      = g_array_new (FALSE, FALSE, sizeof (struct prefill_split_change));
  int64_t now = load (s, 9000, 3, 0);
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
  /* They are still changing.  */
  g_assert_cmpuint (decide (s, u, now + 100, out), ==, 0);
  prefill_split_destroy (s);
  upstreams_destroy (u);
}

/* Nothing is changed for little reading, for too few requests to judge by, or
   where enough engines read already.  */
static void
test_left_alone (void)
{
  g_autoptr (GArray) out
      = g_array_new (FALSE, FALSE, sizeof (struct prefill_split_change));
  struct upstreams *u = engines (2);
  struct prefill_split *s = prefill_split_create ();
  int64_t now = load (s, 100, 3, 0);
  g_assert_cmpuint (decide (s, u, now, out), ==, 0);
  struct prompt p = { .tokens = 500000 };
  for (unsigned i = 0; i < 3; i++)
    prefill_split_record_request (s, "m", &p, now + 4000 + i);
  g_assert_cmpuint (decide (s, u, now + 7000, out), ==, 0);
  prefill_split_destroy (s);
  upstreams_destroy (u);
  u = engines (ENGINES * 55 / 100);
  s = prefill_split_create ();
  now = load (s, 9000, 3, 0);
  g_assert_cmpuint (decide (s, u, now, out), ==, 0);
  prefill_split_destroy (s);
  upstreams_destroy (u);
}

/* A mix that swings every few seconds changes no engine back and forth.  */
static void
test_swinging (void)
{
  g_autoptr (GArray) out
      = g_array_new (FALSE, FALSE, sizeof (struct prefill_split_change));
  struct upstreams *u = engines (2);
  struct prefill_split *s = prefill_split_create ();
  unsigned changes = 0;
  int64_t now = 0;
  for (unsigned swing = 0; swing < 20; swing++)
    {
      int64_t end = load (s, swing % 2 ? 9000 : 200, 3, now);
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
              struct upstream_info next = *info;
              next.id = id;
              next.failure_domain = domain;
              next.service = (char *)"m";
              next.address = (char *)"10.0.0.1:80";
              next.software = (char *)"v1";
              next.role = c.to;
              prefill_split_record_order (s, id, now);
              upstreams_put (u, &next);
            }
        }
    }
  /* Once each to the split that the long prompts need, and no more.  */
  g_assert_cmpuint (changes, <=, ENGINES * 55 / 100);
  prefill_split_destroy (s);
  upstreams_destroy (u);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/authority/calm", test_calm);
  g_test_add_func ("/authority/one-holder", test_one_holder);
  g_test_add_func ("/stages/reading-fills", test_reading_fills);
  g_test_add_func ("/stages/left-alone", test_left_alone);
  g_test_add_func ("/stages/swinging", test_swinging);
  return g_test_run ();
}
