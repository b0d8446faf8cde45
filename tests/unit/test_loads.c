/** @file
    Load reports between VMs: their sums, and their exchange in a small and a
    large fleet, simulated on virtual time, with VMs that stop sending.  */
#include "daemon/gossip_link.h"
#include "daemon/load_link.h"
#include "decide/load_reports.h"

#include <string.h>

#define VMS_MAX 40
#define STEP_MS 100
#define FLEET_KEY "0123456789abcdef0123456789abcdef"
/* An Ethernet frame without fragmentation, with some reserve.  */
#define DATAGRAM_BYTES_MAX 1300
#define MANY_UPSTREAMS 80

/* Sums of load reports.  */

static void
test_sums (void)
{
  struct load_reports *l = load_reports_create (1000);
  struct upstream_load a = { .running = 1,
                             .generating = 1,
                             .tokens = 100,
                             .events_left = 40,
                             .gap_us = 30000,
                             .gap_events = 10 };
  struct upstream_load b = { .running = 2,
                             .tokens = 50,
                             .events_left = 5,
                             .gap_us = 60000,
                             .gap_events = 20 };
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
  g_assert_cmpuint (e1->events_left, ==, 45);
  g_assert_cmpuint (e1->gap_us, ==, 50000);
  g_assert_cmpuint (e1->gap_events, ==, 30);
  /* At 1300 ms, the report of x has expired, and that of y is replaced by an
     empty one.  */
  load_reports_begin (l, "y", 1200);
  g_autoptr (GHashTable) later = load_table_create ();
  load_reports_sum_into (l, 1300, later);
  g_assert_cmpuint (g_hash_table_size (later), ==, 0);
  load_table_subtract (sum, "e1", &a);
  g_assert_cmpuint (e1->tokens, ==, 50);
  g_assert_cmpuint (e1->events_left, ==, 5);
  g_assert_cmpuint (e1->gap_us, ==, 60000);
  load_table_subtract (sum, "e1", &a);
  g_assert_cmpuint (e1->tokens, ==, 0);
  load_table_subtract (sum, "e1", &b);
  g_assert_cmpuint (e1->gap_events, ==, 0);
  g_assert_cmpuint (e1->gap_us, ==, 0);
  load_reports_destroy (l);
}

/* Exchange of load reports in a fleet.  */

struct vm
{
  struct fleet *fleet;
  char *name;
  char *domain;
  struct members *members;
  struct upstreams *upstreams;
  struct load_link *link;
};

struct fleet
{
  struct vm vms[VMS_MAX];
  unsigned n;
  unsigned sent; /* messages sent since it was last set to 0 */
  int64_t now;   /* virtual time in ms */
};

static const char *
region_of (void *arg, const char *failure_domain)
{
  (void)arg;
  return failure_domain;
}

/* Delivers MESSAGE to the VM TO at once.  Guards against a report that is
   larger than the datagrams that VMs receive.  */
static void
deliver (void *arg, const struct member *to,
         const struct upstream_shares *message)
{
  struct vm *from = arg;
  struct fleet *f = from->fleet;
  f->sent++;
  g_autoptr (GByteArray) datagram
      = gossip_datagram_encode (FLEET_KEY, MESSAGE_UPSTREAM_SHARES, message);
  g_assert_cmpuint (datagram->len, <=, DATAGRAM_BYTES_MAX);
  for (unsigned i = 0; i < f->n; i++)
    if (strcmp (f->vms[i].name, to->info.id) == 0)
      load_link_handle_report (f->vms[i].link, message, f->now);
}

static struct member_update
member_info (const struct vm *v)
{
  return (struct member_update){ .id = v->name,
                                 .ip = (char *)"10.0.0.1",
                                 .http_port = 1,
                                 .peer_port = 1,
                                 .region = (char *)"fleet",
                                 .failure_domain = v->domain,
                                 .incarnation = 1 << 16 };
}

/* Adds B to the member table of A, by a gossip message from B.  */
static void
add_member (struct vm *a, const struct vm *b)
{
  g_autoptr (GArray) out = gossip_out_create ();
  struct gossip m = { 0 };
  record_init (&gossip_record, &m);
  g_free (m.from);
  m.from = g_strdup (b->name);
  m.kind = GOSSIP_SYNC;
  struct member_update info = member_info (b);
  struct member_update copy = info;
  copy.id = g_strdup (info.id);
  copy.ip = g_strdup (info.ip);
  copy.region = g_strdup (info.region);
  copy.failure_domain = g_strdup (info.failure_domain);
  g_array_append_val (m.updates, copy);
  members_receive (a->members, 0, &m, "10.0.0.1", 1, out);
  record_clear (&gossip_record, &m);
}

static void
vm_create (struct fleet *f, unsigned i, unsigned domains)
{
  struct vm *v = &f->vms[i];
  v->fleet = f;
  v->name = g_strdup_printf ("vm%u", i);
  v->domain = g_strdup_printf ("d%u", i % domains);
  struct upstream_locality locality = { .failure_domain = v->domain,
                                        .region = v->domain,
                                        .region_of = region_of };
  v->upstreams = upstreams_create (&locality);
  struct upstream_info info = { .id = (char *)"e",
                                .service = (char *)"s",
                                .address = (char *)"10.0.0.9:1",
                                .failure_domain = v->domain,
                                .software_version = (char *)"1",
                                .slots = 1000 };
  upstreams_put (v->upstreams, &info);
  struct member_update self = member_info (v);
  v->members = members_create (&self, i + 1, 0);
  struct load_link_parts parts = { .upstreams = v->upstreams,
                                   .members = v->members,
                                   .vm = v->name,
                                   .failure_domain = v->domain,
                                   .send = deliver,
                                   .arg = v };
  v->link = load_link_create (&parts);
}

static struct fleet *
fleet_create (unsigned n, unsigned domains)
{
  struct fleet *f = g_new0 (struct fleet, 1);
  f->n = n;
  for (unsigned i = 0; i < n; i++)
    vm_create (f, i, domains);
  for (unsigned i = 0; i < n; i++)
    for (unsigned k = 0; k < n; k++)
      if (i != k)
        add_member (&f->vms[i], &f->vms[k]);
  return f;
}

static void
fleet_destroy (struct fleet *f)
{
  for (unsigned i = 0; i < f->n; i++)
    {
      struct vm *v = &f->vms[i];
      load_link_destroy (v->link);
      members_destroy (v->members);
      upstreams_destroy (v->upstreams);
      g_free (v->name);
      g_free (v->domain);
    }
  g_free (f);
}

/* Records that V sent REQUESTS requests to the engine.  */
static void
record_requests (struct vm *v, unsigned requests)
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

/* Number of requests running at the engine, as VM knows it: its own and those
   in the load reports that it received.  */
static unsigned
known_running (const struct fleet *f, unsigned vm)
{
  const struct upstreams *u = f->vms[vm].upstreams;
  return upstreams_all_load (u, upstreams_find (u, "e"), f->now).running;
}

/* Runs STEPS steps, in each of which all VMs but the first SILENT send their
   load reports.  */
static void
run_steps (struct fleet *f, unsigned steps, unsigned silent)
{
  for (unsigned s = 0; s < steps; s++)
    {
      f->now += STEP_MS;
      for (unsigned i = silent; i < f->n; i++)
        load_link_send_reports (f->vms[i].link, f->now);
    }
}

/* Checks a fleet of N VMs: after 4 steps, each knows all requests at the
   engine, and a step sends at most MESSAGES_MAX messages.  */
static void
check_fleet (unsigned n, unsigned domains, unsigned messages_max)
{
  struct fleet *f = fleet_create (n, domains);
  for (unsigned i = 0; i < n; i++)
    record_requests (&f->vms[i], i + 1);
  unsigned total = n * (n + 1) / 2;
  run_steps (f, 4, 0);
  for (unsigned i = 0; i < n; i++)
    g_assert_cmpuint (known_running (f, i), ==, total);
  f->sent = 0;
  run_steps (f, 1, 0);
  g_assert_cmpuint (f->sent, <=, messages_max);
  /* Reports of VMs that no longer send expire.  In a large fleet the
     aggregator of a failure domain may be among these, so only an upper bound
     is checked there.  */
  run_steps (f, 40, n / 2);
  unsigned expected = total - (n / 2) * (n / 2 + 1) / 2;
  for (unsigned i = n / 2; i < n; i++)
    g_assert_cmpuint (known_running (f, i), <=, total);
  if (n <= 12)
    for (unsigned i = n / 2; i < n; i++)
      g_assert_cmpuint (known_running (f, i), ==, expected);
  fleet_destroy (f);
}

/* Each VM sends its reports to every other VM.  */
static void
test_small_fleet (void)
{
  check_fleet (9, 3, 9 * 8);
}

/* With an aggregator in each of 6 failure domains, the number of messages
   grows with the number of VMs, not with the number of pairs of VMs.  */
static void
test_large_fleet (void)
{
  check_fleet (40, 6, 2 * 40 + 6 * 5);
}

/* Returns the handle of engine NUMBER at VM, which gets to know it.  */
static upstream_handle
add_engine (struct vm *v, unsigned number)
{
  g_autofree char *id = g_strdup_printf ("i-%016x-engine", number);
  struct upstream_info info = { .id = id,
                                .service = (char *)"s",
                                .address = (char *)"10.0.0.9:1",
                                .failure_domain = v->domain,
                                .software_version = (char *)"1",
                                .slots = 1000 };
  upstreams_put (v->upstreams, &info);
  return upstreams_find (v->upstreams, id);
}

/* Guards against reports of many upstreams that are lost as a whole, and
   against an upstream that is forgotten because another message of the same
   report does not name it.  */
static void
check_many_upstreams (unsigned vms, unsigned domains)
{
  struct fleet *f = fleet_create (vms, domains);
  struct prompt p = { .n_parts = 1, .tokens = 100 };
  struct upstream_work works[MANY_UPSTREAMS];
  for (unsigned k = 0; k < MANY_UPSTREAMS; k++)
    for (unsigned i = 0; i < vms; i++)
      {
        struct upstream_choice c
            = { .handle = add_engine (&f->vms[i], k), .tokens = 1000000 };
        if (i == 0)
          upstreams_record_sent (f->vms[0].upstreams, &c, &p, 0, &works[k]);
      }
  run_steps (f, 4, 0);
  for (unsigned i = 1; i < vms; i++)
    for (unsigned k = 0; k < MANY_UPSTREAMS; k++)
      g_assert_cmpuint (upstreams_all_load (f->vms[i].upstreams,
                                            add_engine (&f->vms[i], k), f->now)
                            .running,
                        ==, 1);
  for (unsigned k = 0; k < MANY_UPSTREAMS; k++)
    upstreams_record_cancel (f->vms[0].upstreams, &works[k]);
  run_steps (f, 4, 0);
  for (unsigned i = 1; i < vms; i++)
    for (unsigned k = 0; k < MANY_UPSTREAMS; k++)
      g_assert_cmpuint (upstreams_all_load (f->vms[i].upstreams,
                                            add_engine (&f->vms[i], k), f->now)
                            .running,
                        ==, 0);
  fleet_destroy (f);
}

static void
test_many_upstreams (void)
{
  check_many_upstreams (9, 3);
  check_many_upstreams (20, 6);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/loads/sums", test_sums);
  g_test_add_func ("/loads/small-fleet", test_small_fleet);
  g_test_add_func ("/loads/large-fleet", test_large_fleet);
  g_test_add_func ("/loads/many-upstreams", test_many_upstreams);
  return g_test_run ();
}
