/** @file
    Capacity benchmark: measures memory, processor time, network bytes and
    key-value operations of the production code at four sizes each, and prints
    the line fitted through them.  docs/CAPACITY.md uses the results.
    "capacity" measures modules inside this process; "capacity fleet FOLDER"
    measures buckthornd processes started from the programs in FOLDER.  */
#include "base/config_file.h"
#include "daemon/catalog.h"
#include "decide/journal.h"
#include "decide/limits.h"
#include "decide/orders.h"
#include "decide/rank.h"
#include "harness/fleet.h"
#include "links/frame.h"
#include "model/group.h"
#include "slope.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>

static double
heap_bytes (void)
{
  return (double)mallinfo2 ().uordblks;
}

static double
cpu_us (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

/* Membership protocol on virtual time.  */

/* Creates a group of MEMBERS and runs it for 50 s, in which they join.  */
static struct group *
create_joined_group (unsigned members, double loss)
{
  struct group_shape shape = { .members = members,
                               .regions = 7,
                               .domains = 23,
                               .loss = loss,
                               .intra_region_delay_us = 1000,
                               .cross_region_delay_us = 12000 };
  struct group *g = group_create (&shape, 1);
  group_run (g, 50000);
  return g;
}

static void
membership_slopes (void)
{
  static const unsigned sizes[] = { 60, 120, 240, 360 };
  struct slope bytes = slope_init ("membership-bytes", "members", "B/s-a-VM");
  struct slope far
      = slope_init ("membership-far-bytes", "members", "B/s-the-fleet");
  struct slope cpu = slope_init ("membership-cpu", "members", "us/s-a-VM");
  struct slope heap = slope_init ("membership-memory", "members", "B-a-VM");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      double before_heap = heap_bytes ();
      struct group *g = create_joined_group (sizes[i], 0);
      slope_add (&heap, sizes[i], (heap_bytes () - before_heap) / sizes[i]);
      uint64_t far_bytes_before = 0, far_bytes_after = 0;
      uint64_t before = group_bytes (g, &far_bytes_before);
      double start = cpu_us ();
      group_run (g, 20000);
      double spent_us = cpu_us () - start;
      uint64_t after = group_bytes (g, &far_bytes_after);
      slope_add (&bytes, sizes[i], (double)(after - before) / 20 / sizes[i]);
      slope_add (&far, sizes[i],
                 (double)(far_bytes_after - far_bytes_before) / 20);
      slope_add (&cpu, sizes[i], spent_us / 20 / sizes[i]);
      group_destroy (g);
    }
  slope_print (&bytes, 360);
  slope_print (&far, 360);
  slope_print (&cpu, 360);
  slope_print (&heap, 360);
}

/* Runs G until no other running member counts member I as usable, or, with
   LIVE, as live.  Returns the time that takes in ms, or -1 after 20 s.  */
static int64_t
ms_until_dropped (struct group *g, unsigned i, bool live)
{
  for (int64_t ms = 50; ms <= 20000; ms += 50)
    {
      group_run (g, 50);
      if (group_count_views_with (g, i, live) == 0)
        return ms;
    }
  return -1;
}

/* Measures, at the design size of 360 VMs, how long the membership protocol
   takes to settle after a killed VM, a leaving VM, a lost failure domain and
   the start of all VMs.  Also counts the correct views and the false removals
   after a region was cut off for 2 minutes.  */
static void
membership_events (void)
{
  struct group *g = create_joined_group (360, 0);
  uint64_t before = group_bytes (g, NULL);
  group_run (g, 10000);
  double idle = (double)(group_bytes (g, NULL) - before) / 10;
  group_kill (g, 100);
  int64_t killed = ms_until_dropped (g, 100, true);
  group_leave (g, 200);
  int64_t leaving = ms_until_dropped (g, 200, false);
  printf ("event name=killed members=360 ms=%d\n", (int)killed);
  printf ("event name=leaving members=360 ms=%d\n", (int)leaving);
  for (unsigned i = 0; i < 360; i++)
    if (group_domain (g, i) == 7)
      group_kill (g, i);
  before = group_bytes (g, NULL);
  int64_t ms = 0;
  /* All but the killed VM and the 16 VMs of failure domain 7.  */
  unsigned running_vms = 360 - 1 - 16;
  while (group_count_correct_views (g) < running_vms && ms < 30000)
    {
      group_run (g, 250);
      ms += 250;
    }
  double extra
      = (double)(group_bytes (g, NULL) - before) - idle * (double)ms / 1000;
  printf ("event name=domain-lost members=360 ms=%d extra_bytes=%.0f "
          "views_right=%u of=%u\n",
          (int)ms, extra, group_count_correct_views (g), running_vms);
  group_destroy (g);
  struct group_shape shape = { .members = 360,
                               .regions = 7,
                               .domains = 23,
                               .intra_region_delay_us = 1000,
                               .cross_region_delay_us = 12000 };
  g = group_create (&shape, 2);
  for (ms = 0; group_count_correct_views (g) < 360 && ms < 60000; ms += 250)
    group_run (g, 250);
  printf ("event name=all-start members=360 ms=%d bytes_a_vm=%.0f\n", (int)ms,
          (double)group_bytes (g, NULL) / 360);
  for (unsigned r = 1; r < 7; r++)
    group_set_partition (g, 0, r, true);
  group_run (g, 120000);
  for (unsigned r = 1; r < 7; r++)
    group_set_partition (g, 0, r, false);
  group_run (g, 20000);
  printf ("event name=region-cut members=360 views_right_after=%u "
          "false_removals=%u\n",
          group_count_correct_views (g), (unsigned)group_false_removals (g));
  group_destroy (g);
}

/* Applied files, routing decisions and rate limits of callers.  */

/* Generates the YAML text of a file with that many engines and callers.  */
static char *
generate_file_text (unsigned engines, unsigned callers)
{
  GString *out = g_string_new ("regions: [r0, r1, r2, r3, r4, r5, r6]\n"
                               "models:\n");
  for (unsigned i = 0; i < 3; i++)
    g_string_append_printf (out, "  - {name: m%u, versions: [\"1\"]}\n", i);
  g_string_append (out, "engines:\n");
  for (unsigned i = 0; i < engines; i++)
    g_string_append_printf (
        out,
        "  - {id: e%05u, address: \"10.%u.%u.%u:8000\", region: r%u, "
        "failure_domain: d%02u, model: m%u, checks_fencing: true}\n",
        i, i / 62500, i / 250 % 250, i % 250, i % 7, i % 23, i % 3);
  g_string_append (out, "callers:\n");
  for (unsigned i = 0; i < callers; i++)
    g_string_append_printf (out,
                            "  - {name: c%05u, key_digest: %064x, models: "
                            "[m0, m1, m2], requests_per_s: 50}\n",
                            i, i + 1);
  g_string_append_printf (
      out, "operators:\n  - {name: ana, key_digest: %064x}\n", 7);
  return g_string_free (out, FALSE);
}

static struct file *
parse (const char *text)
{
  g_autoptr (GArray) problems = config_file_problems_create ();
  struct file *file = config_file_parse (text, strlen (text), problems);
  if (file == NULL)
    g_error ("%s", config_file_problems_text (problems));
  return file;
}

static void
file_slopes (void)
{
  static const unsigned divisors[] = { 8, 4, 2, 1 };
  struct slope ms = slope_init ("file-parse", "engines", "ms");
  struct slope size = slope_init ("file-size", "engines", "B");
  struct slope heap = slope_init ("file-memory", "engines", "B");
  struct slope build = slope_init ("catalog-build", "engines", "ms");
  for (size_t i = 0; i < G_N_ELEMENTS (divisors); i++)
    {
      unsigned engines = 5300 / divisors[i], callers = 25000 / divisors[i];
      g_autofree char *text = generate_file_text (engines, callers);
      double before = heap_bytes (), start = cpu_us ();
      struct file *file = parse (text);
      slope_add (&ms, engines, (cpu_us () - start) / 1000);
      start = cpu_us ();
      struct catalog *catalog = catalog_create (file, NULL);
      slope_add (&build, engines, (cpu_us () - start) / 1000);
      slope_add (&heap, engines, heap_bytes () - before);
      slope_add (&size, engines, (double)strlen (text));
      catalog_destroy (catalog);
      config_file_destroy (file);
    }
  slope_print (&ms, 5300);
  slope_print (&build, 5300);
  slope_print (&size, 5300);
  slope_print (&heap, 5300);
}

#define ITERATIONS 100000

static void
route_slopes (void)
{
  static const unsigned sizes[] = { 700, 1400, 2800, 5300 };
  struct slope us = slope_init ("route-decision", "engines", "us");
  struct slope heap = slope_init ("route-memory", "engines", "B");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      double before = heap_bytes ();
      struct router *r = router_create (1);
      for (unsigned e = 0; e < sizes[i]; e++)
        {
          g_autofree char *name = g_strdup_printf ("engine%05u", e);
          router_add (r, name, e % 3, e % 7);
        }
      router_build_rings (r);
      for (unsigned e = 0; e < sizes[i]; e++)
        {
          struct route_load load = { .role = e % 8 == 0   ? ROLE_MIXED
                                             : e % 3 == 0 ? ROLE_PREFILL
                                                          : ROLE_DECODE,
                                     .running = e % 17,
                                     .queued_tokens = e * 37 % 9000,
                                     .usable = true };
          router_set_load (r, e, &load, 0);
        }
      slope_add (&heap, sizes[i], heap_bytes () - before);
      double start = cpu_us ();
      for (unsigned k = 0; k < ITERATIONS; k++)
        {
          struct route_request request = { .model = k % 3,
                                           .region = k % 7,
                                           .phase = PHASE_PREFILL,
                                           .prefix = k * 2654435761U % 1000,
                                           .prompt_tokens = 4000,
                                           .prefix_tokens = 1000,
                                           .deadline_ms = 550,
                                           .avoid = ROUTE_NONE };
          router_pick (r, &request);
        }
      slope_add (&us, sizes[i], (cpu_us () - start) / ITERATIONS);
      router_destroy (r);
    }
  slope_print (&us, 5300);
  slope_print (&heap, 5300);
}

static void
account_slopes (void)
{
  static const unsigned sizes[] = { 3000, 6000, 12500, 25000 };
  struct slope heap = slope_init ("limit-memory", "accounts", "B");
  struct slope us = slope_init ("limit-decision", "accounts", "us");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      double before = heap_bytes ();
      struct limits *l = limits_create ();
      uint32_t wait = 0;
      for (unsigned a = 0; a < sizes[i]; a++)
        {
          g_autofree char *name = g_strdup_printf ("account%05u", a);
          limits_admit (l, name, 10, 1, &wait);
        }
      slope_add (&heap, sizes[i], heap_bytes () - before);
      double start = cpu_us ();
      for (unsigned k = 0; k < ITERATIONS; k++)
        {
          char name[24];
          g_snprintf (name, sizeof name, "account%05u", k % sizes[i]);
          limits_admit (l, name, 10, 2, &wait);
        }
      slope_add (&us, sizes[i], (cpu_us () - start) / ITERATIONS);
      limits_destroy (l);
    }
  slope_print (&heap, 25000);
  slope_print (&us, 25000);
}

/* Journal of calls.  */

static bool
no_claimer_is_live (void *arg, const char *claimer)
{
  (void)arg;
  (void)claimer;
  return false;
}

/* Returns the microseconds of processor time of a batch of N claims that share
   one write, and sets *PAGE_BYTES to the size of the written page.  */
static double
journal_batch_us (unsigned n, double *page_bytes)
{
  struct journal *j = journal_create ("vm1:1", no_claimer_is_live, NULL);
  g_autoptr (GArray) out = journal_actions_create ();
  journal_configure (j, 86400000, 1000);
  double start = cpu_us ();
  for (unsigned i = 0; i < n; i++)
    {
      g_autofree char *name = g_strdup_printf ("key%u", i);
      g_autofree char *key
          = g_compute_checksum_for_string (G_CHECKSUM_SHA256, name, -1);
      struct journal_call call = { .ticket = i + 1,
                                   .key = key,
                                   .request_digest = "0123456789abcdef",
                                   .deadline_ms = 1 << 30 };
      journal_claim (j, 0, &call, 1000, out);
    }
  journal_read_done (j, 0, true, 0, NULL, 1000, out);
  for (guint i = 0; i < out->len; i++)
    {
      struct journal_action *a
          = &g_array_index (out, struct journal_action, i);
      if (a->kind == JOURNAL_WRITE)
        *page_bytes = (double)g_bytes_get_size (a->page);
    }
  journal_write_done (j, 0, JOURNAL_WRITE_OK, 1, 1000, out);
  double spent_us = cpu_us () - start;
  journal_destroy (j);
  return spent_us;
}

static void
journal_slopes (void)
{
  static const unsigned sizes[] = { 100, 400, 1600, 3200 };
  struct slope us = slope_init ("journal-batch-cpu", "claims", "us");
  struct slope bytes = slope_init ("journal-page", "claims", "B");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      double page = 0;
      slope_add (&us, sizes[i], journal_batch_us (sizes[i], &page));
      slope_add (&bytes, sizes[i], page);
    }
  slope_print (&us, 1);
  slope_print (&bytes, 1);
}

/* Encoding and decoding of frames.  */

static void
frame_slopes (void)
{
  static const unsigned sizes[] = { 1, 4, 16, 64 };
  struct slope us = slope_init ("frame-round-trip", "events-a-frame", "us");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      g_autofree char *text = g_strnfill (200UL * sizes[i], 'x');
      g_autoptr (GBytes) events = g_bytes_new (text, strlen (text));
      struct stream_data m
          = { .stream = 1, .offset = 5, .count = sizes[i], .events = events };
      double start = cpu_us ();
      for (unsigned k = 0; k < ITERATIONS / 5; k++)
        {
          g_autoptr (GByteArray) out = g_byte_array_new ();
          struct frame f = { 0 };
          enum result result;
          frame_encode (MESSAGE_STREAM_DATA, &m, out);
          frame_decode (out->data, out->len, &f, &result);
          frame_clear (&f);
        }
      slope_add (&us, sizes[i], (cpu_us () - start) / (ITERATIONS / 5.0));
    }
  slope_print (&us, 1);
}

/* Running buckthornd processes.  */

struct fleet_figures
{
  double cpu_percent;  /* processor time, % of a core, mean of the VMs */
  double rss_kib;      /* resident memory, mean of the VMs */
  double gossip_bytes; /* gossip sent per second, mean of the VMs */
  double kv_reads;     /* key-value reads per second, sum of all VMs */
  double kv_watches;   /* open watches, sum of all VMs */
  double apply_ms;     /* duration of an apply, mean of five */
  double apply_writes; /* key-value writes per apply */
  double apply_reads;  /* key-value reads per apply */
};

/* Returns the counter KEY of the key-value service.  */
static double
kv_service_counter (const struct fleet *f, const char *key)
{
  json_t *seen = fleet_fake_state (f->kv_address);
  double n = (double)json_integer_value (json_object_get (seen, key));
  json_decref (seen);
  return n;
}

/* Measures VMS idle VMs over 10 s, then five applies of a file.  */
static struct fleet_figures
measure_fleet (const char *bin, unsigned vms)
{
  struct fleet_shape shape = fleet_shape_small ();
  struct fleet_figures out = { 0 };
  shape.vms = vms;
  shape.engines = 4;
  shape.quiet = true;
  struct fleet *f = fleet_create (bin, &shape);
  fleet_start (f);
  fleet_apply (f);
  g_usleep (30000000);
  double reads = kv_service_counter (f, "reads");
  gint64 cpu = 0;
  double bytes = 0;
  for (unsigned i = 0; i < vms; i++)
    {
      cpu -= proc_cpu_us (f->vms[i]);
      bytes -= fleet_metric (f, i, "gossip_sent_bytes_total");
    }
  g_usleep (10000000);
  for (unsigned i = 0; i < vms; i++)
    {
      cpu += proc_cpu_us (f->vms[i]);
      bytes += fleet_metric (f, i, "gossip_sent_bytes_total");
      out.rss_kib += (double)proc_rss_kib (f->vms[i]) / vms;
    }
  out.cpu_percent = (double)cpu / 1e7 * 100 / vms;
  out.gossip_bytes = bytes / 10 / vms;
  out.kv_reads = (kv_service_counter (f, "reads") - reads) / 10;
  out.kv_watches = kv_service_counter (f, "watches");
  double writes = kv_service_counter (f, "writes");
  reads = kv_service_counter (f, "reads");
  gint64 start = g_get_monotonic_time ();
  for (unsigned i = 0; i < 5; i++)
    fleet_apply (f);
  out.apply_ms = (double)(g_get_monotonic_time () - start) / 5000;
  out.apply_writes = (kv_service_counter (f, "writes") - writes) / 5;
  out.apply_reads = (kv_service_counter (f, "reads") - reads) / 5;
  fleet_destroy (f);
  return out;
}

static void
fleet_slopes (const char *bin)
{
  static const unsigned sizes[] = { 8, 16, 32, 56 };
  struct slope cpu = slope_init ("process-idle-cpu", "VMs", "percent-of-core");
  struct slope rss = slope_init ("process-memory", "VMs", "KiB");
  struct slope bytes = slope_init ("process-gossip", "VMs", "B/s-a-VM");
  struct slope reads = slope_init ("kv-idle-reads", "VMs", "reads/s");
  struct slope watches = slope_init ("kv-watches", "VMs", "watches");
  struct slope apply = slope_init ("apply-time", "VMs", "ms");
  struct slope writes = slope_init ("apply-writes", "VMs", "writes");
  struct slope apply_reads = slope_init ("apply-reads", "VMs", "reads");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      struct fleet_figures figures = measure_fleet (bin, sizes[i]);
      slope_add (&cpu, sizes[i], figures.cpu_percent);
      slope_add (&rss, sizes[i], figures.rss_kib);
      slope_add (&bytes, sizes[i], figures.gossip_bytes);
      slope_add (&reads, sizes[i], figures.kv_reads);
      slope_add (&watches, sizes[i], figures.kv_watches);
      slope_add (&apply, sizes[i], figures.apply_ms);
      slope_add (&writes, sizes[i], figures.apply_writes);
      slope_add (&apply_reads, sizes[i], figures.apply_reads);
    }
  slope_print (&cpu, 360);
  slope_print (&rss, 360);
  slope_print (&bytes, 360);
  slope_print (&reads, 360);
  slope_print (&watches, 360);
  slope_print (&apply, 360);
  slope_print (&writes, 360);
  slope_print (&apply_reads, 360);
}

int
main (int argc, char **argv)
{
  if (argc == 3 && strcmp (argv[1], "fleet") == 0)
    {
      fleet_slopes (argv[2]);
      return 0;
    }
  route_slopes ();
  account_slopes ();
  journal_slopes ();
  frame_slopes ();
  file_slopes ();
  membership_slopes ();
  membership_events ();
  return 0;
}
