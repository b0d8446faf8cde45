/** @file
    Loads that VMs tell each other: sums, and whole fleets of links on virtual
    time, small and large, with VMs that stop telling.  */
#include "daemon/load_link.h"
#include "decide/load_reports.h"

#include <string.h>

#define VMS_MAX 40
#define STEP_MS 100

/* Sums.  */

static void
test_sums (void)
{
  struct load_reports *l = load_reports_create (1000);
  struct upstream_load a = { 1, 1, 100, 0 };
  struct upstream_load b = { 2, 0, 50, 0 };
  load_reports_begin (l, "x", 0);
  load_reports_add (l, "x", "e1", &a);
  load_reports_begin (l, "y", 500);
  load_reports_add (l, "y", "e1", &b);
  load_reports_add (l, "y", "e2", &b);
  g_autoptr (GHashTable) sum = load_table_create ();
  load_reports_sum_into (l, 900, sum);
  const struct upstream_load *e1 = g_hash_table_lookup (sum, "e1");
  g_assert_cmpuint (e1->running, ==, 3);
  g_assert_cmpuint (e1->generating, ==, 1);
  g_assert_cmpuint (e1->tokens, ==, 150);
  /* What is old counts no more, and what is told anew replaces it.  */
  load_reports_begin (l, "y", 1200);
  g_autoptr (GHashTable) later = load_table_create ();
  load_reports_sum_into (l, 1300, later);
  g_assert_cmpuint (g_hash_table_size (later), ==, 0);
  load_table_subtract (sum, "e1", &a);
  g_assert_cmpuint (e1->tokens, ==, 50);
  load_table_subtract (sum, "e1", &a);
  g_assert_cmpuint (e1->tokens, ==, 0);
  load_reports_destroy (l);
}

/* Fleets.  */

struct vm
{
  struct world *world;
  char *name;
  char *domain;
  struct members *members;
  struct upstreams *upstreams;
  struct load_link *link;
};

struct world
{
  struct vm vms[VMS_MAX];
  unsigned n;
  unsigned sent;
  int64_t now;
};

static const char *
region_of (void *arg, const char *failure_domain)
{
  (void)arg;
  return failure_domain;
}

static void
deliver (void *arg, const struct member *to,
         const struct upstream_shares *message)
{
  struct vm *from = arg;
  struct world *w = from->world;
  w->sent++;
  for (unsigned i = 0; i < w->n; i++)
    if (strcmp (w->vms[i].name, to->info.id) == 0)
      load_link_handle_report (w->vms[i].link, message, w->now);
}

static struct member_update
update_of (const struct vm *v)
{
  return (struct member_update){ .id = v->name,
                                 .ip = (char *)"10.0.0.1",
                                 .http_port = 1,
                                 .peer_port = 1,
                                 .region = (char *)"fleet",
                                 .failure_domain = v->domain,
                                 .incarnation = 1 << 16 };
}

static void
meet (struct vm *a, const struct vm *b)
{
  g_autoptr (GArray) out = gossip_out_create ();
  struct gossip m = { 0 };
  record_init (&gossip_record, &m);
  g_free (m.from);
  m.from = g_strdup (b->name);
  m.kind = GOSSIP_SYNC;
  struct member_update u = update_of (b);
  struct member_update copy = u;
  copy.id = g_strdup (u.id);
  copy.ip = g_strdup (u.ip);
  copy.region = g_strdup (u.region);
  copy.failure_domain = g_strdup (u.failure_domain);
  g_array_append_val (m.updates, copy);
  members_receive (a->members, 0, &m, "10.0.0.1", 1, out);
  record_clear (&gossip_record, &m);
}

static void
vm_start (struct world *w, unsigned i, unsigned domains)
{
  struct vm *v = &w->vms[i];
  v->world = w;
  v->name = g_strdup_printf ("vm%u", i);
  v->domain = g_strdup_printf ("d%u", i % domains);
  struct upstream_locality place = { .failure_domain = v->domain,
                                     .region = v->domain,
                                     .region_of = region_of };
  v->upstreams = upstreams_create (&place);
  struct upstream_info info = { .id = (char *)"e",
                                .service = (char *)"s",
                                .address = (char *)"10.0.0.9:1",
                                .failure_domain = v->domain,
                                .software = (char *)"1",
                                .slots = 1000 };
  upstreams_put (v->upstreams, &info);
  struct member_update self = update_of (v);
  v->members = members_create (&self, i + 1, 0);
  struct load_link_parts parts = { .upstreams = v->upstreams,
                                   .members = v->members,
                                   .vm = v->name,
                                   .failure_domain = v->domain,
                                   .send = deliver,
                                   .arg = v };
  v->link = load_link_create (&parts);
}

static struct world *
world_create (unsigned n, unsigned domains)
{
  struct world *w = g_new0 (struct world, 1);
  w->n = n;
  for (unsigned i = 0; i < n; i++)
    vm_start (w, i, domains);
  for (unsigned i = 0; i < n; i++)
    for (unsigned k = 0; k < n; k++)
      if (i != k)
        meet (&w->vms[i], &w->vms[k]);
  return w;
}

static void
world_destroy (struct world *w)
{
  for (unsigned i = 0; i < w->n; i++)
    {
      struct vm *v = &w->vms[i];
      load_link_destroy (v->link);
      members_destroy (v->members);
      upstreams_destroy (v->upstreams);
      g_free (v->name);
      g_free (v->domain);
    }
  g_free (w);
}

static void
give_work (struct vm *v, unsigned requests)
{
  struct prompt p = { .n_parts = 1, .tokens = 100, .out_tokens = 10 };
  for (unsigned i = 0; i < requests; i++)
    {
      struct upstream_choice c
          = { .handle = upstreams_find (v->upstreams, "e"), .tokens = 100 };
      struct upstream_work work;
      upstreams_record_sent (v->upstreams, &c, &p, 0, &work);
    }
}

/* Requests at the engine, as VM sees it: its own and what it was told.  */
static unsigned
seen (const struct world *w, unsigned vm)
{
  const struct upstreams *u = w->vms[vm].upstreams;
  return upstreams_all_load (u, upstreams_find (u, "e"), w->now).running;
}

static void
run (struct world *w, unsigned steps, unsigned silent)
{
  for (unsigned s = 0; s < steps; s++)
    {
      w->now += STEP_MS;
      for (unsigned i = silent; i < w->n; i++)
        load_link_send_reports (w->vms[i].link, w->now);
    }
}

static void
check_fleet (unsigned n, unsigned domains, unsigned messages_max)
{
  struct world *w = world_create (n, domains);
  for (unsigned i = 0; i < n; i++)
    give_work (&w->vms[i], i + 1);
  unsigned all = n * (n + 1) / 2;
  run (w, 4, 0);
  for (unsigned i = 0; i < n; i++)
    g_assert_cmpuint (seen (w, i), ==, all);
  w->sent = 0;
  run (w, 1, 0);
  g_assert_cmpuint (w->sent, <=, messages_max);
  /* Load of VMs that fell silent is forgotten.  */
  run (w, 40, n / 2);
  unsigned least = all - (n / 2) * (n / 2 + 1) / 2;
  for (unsigned i = n / 2; i < n; i++)
    g_assert_cmpuint (seen (w, i), <=, all);
  if (n <= 12)
    for (unsigned i = n / 2; i < n; i++)
      g_assert_cmpuint (seen (w, i), ==, least);
  world_destroy (w);
}

static void
test_small_fleet (void)
{
  check_fleet (9, 3, 9 * 8);
}

/* Messages grow with the VMs, not with their pairs.  */
static void
test_large_fleet (void)
{
  check_fleet (40, 6, 2 * 40 + 6 * 5);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/loads/sums", test_sums);
  g_test_add_func ("/loads/small-fleet", test_small_fleet);
  g_test_add_func ("/loads/large-fleet", test_large_fleet);
  return g_test_run ();
}
