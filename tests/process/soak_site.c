/** @file
    Soak test of a small site on the platform: injects random faults from a
    seed and compares what callers received with what the instances ran.  */
#include "harness/site_soak.h"
#include "process/common.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PREFILL_TOKENS_PER_MS 300
#define CALLERS 8
#define INJECTORS 5
#define RECOVERY_TIMEOUT_MS 12000
#define RECOVERY_REQUESTS 10

/* Checks after the run.  */

/* Checks one line of an instance's log, counts it in RUNS if it reports the
   run of a request, and checks that the instance was not leaving at that time,
   that is draining or removed for longer than VMs may take to stop using
   it.  */
static void
check_upstream_log_line (struct soak *s, unsigned upstream, const char *line,
                         GHashTable *runs)
{
  char id[64];
  gint64 at_us = 0;
  if (sscanf (line, "mixed=%63s", id) == 1)
    soak_violation (&s->violations,
                    "request %s decoded from another request's KV cache", id);
  if (sscanf (line, "run=%63s at_us=%" G_GINT64_FORMAT, id, &at_us) != 2)
    return;
  gpointer n = g_hash_table_lookup (runs, id);
  g_hash_table_replace (runs, g_strdup (id),
                        GUINT_TO_POINTER (GPOINTER_TO_UINT (n) + 1));
  for (guint i = 0; i < s->drain_periods->len; i++)
    {
      const struct drain_period *l
          = &g_array_index (s->drain_periods, struct drain_period, i);
      if (l->upstream == upstream && at_us > l->from_us && at_us < l->to_us)
        soak_violation (&s->violations,
                        "instance u%u ran request %s %d ms after it should "
                        "have stopped receiving requests",
                        upstream, id, (int)((at_us - l->from_us) / MS_US));
    }
}

static void
check_record (struct soak *s, const char *id, const struct record *r,
              unsigned runs)
{
  if (r->at_most_once && runs > 1)
    soak_violation (&s->violations,
                    "request %s ran %u times, expected at most 1", id, runs);
  if (soak_is_refusal (r->status) && runs > 0)
    soak_violation (&s->violations,
                    "request %s was refused as not run (status %d) but ran",
                    id, r->status);
  if (r->status == 200 && r->complete && runs == 0)
    soak_violation (&s->violations,
                    "request %s got a complete 200 but no instance ran it",
                    id);
  if (r->healthy && r->requests_no_fault && !r->complete && runs > 0)
    soak_violation (
        &s->violations,
        "request %s ran but its response is incomplete (status %d), without a "
        "recent fault",
        id, r->status);
}

static void
check_runs (struct soak *s)
{
  g_autoptr (GHashTable) runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (unsigned i = 0; i < UPSTREAMS; i++)
    {
      g_autofree char *log = site_upstream_log (s->site, i);
      g_auto (GStrv) lines = g_strsplit (log, "\n", -1);
      for (char **l = lines; *l; l++)
        check_upstream_log_line (s, i, *l, runs);
    }
  GHashTableIter it;
  gpointer id;
  gpointer value;
  g_hash_table_iter_init (&it, runs);
  while (g_hash_table_iter_next (&it, &id, &value))
    if (!g_hash_table_contains (s->records, id))
      soak_violation (&s->violations,
                      "an instance ran request %s, which no caller sent",
                      (char *)id);
  g_hash_table_iter_init (&it, s->records);
  while (g_hash_table_iter_next (&it, &id, &value))
    check_record (s, id, value,
                  GPOINTER_TO_UINT (g_hash_table_lookup (runs, id)));
}

static void
check_vm_logs (struct soak *s)
{
  static const char *const error_patterns[]
      = { "Sanitizer", "runtime error", "CRITICAL", "assertion" };
  for (unsigned vm = 0; vm < VMS; vm++)
    {
      g_autofree char *log = site_log (s->site, vm);
      for (guint i = 0; i < G_N_ELEMENTS (error_patterns); i++)
        {
          const char *at = strstr (log, error_patterns[i]);
          if (at)
            soak_violation (&s->violations,
                            "sanitizer, GLib or assertion message in the log "
                            "of vm%u: %.300s",
                            vm, at);
        }
      soak_check_unexpected_exit (s, vm);
    }
}

static bool
all_ready (void *arg)
{
  const struct soak *s = arg;
  for (unsigned vm = 0; vm < VMS; vm++)
    if (!site_is_ready (s->site, vm) || site_listed_vms (s->site, vm) != VMS)
      return false;
  return true;
}

/* Checks that, after the last fault, every VM becomes ready, lists all VMs and
   serves requests.  */
static void
check_recovery (struct soak *s)
{
  gint64 until = g_get_monotonic_time () + (gint64)RECOVERY_TIMEOUT_MS * MS_US;
  while (!all_ready (s) && g_get_monotonic_time () < until)
    g_usleep (50 * MS_US);
  if (!all_ready (s))
    soak_violation (&s->violations,
                    "VMs not ready or not listing all VMs %u ms after the "
                    "last fault",
                    RECOVERY_TIMEOUT_MS);
  for (unsigned vm = 0; vm < VMS; vm++)
    for (unsigned i = 0; i < RECOVERY_REQUESTS; i++)
      {
        g_autofree char *id
            = g_strdup_printf ("%u-after-%u-%u", s->seed, vm, i);
        struct web *w = site_request (s->site, vm, "GET", "/once/ok", id);
        struct record r = { .at_most_once = true,
                            .complete = w->complete,
                            .status = w->status };
        if (w->status != 200)
          soak_violation (&s->violations,
                          "vm%u: status %d, expected 200, for a request after "
                          "the last fault",
                          vm, w->status);
        soak_add_record (s, id, &r);
        web_close (w);
      }
}

static void
create_relays (struct soak *s)
{
  for (unsigned i = 0; i < VMS; i++)
    {
      s->to_store[i] = relay_create (s->site->store_address);
      s->site->vm_store_addresses[i] = relay_address (s->to_store[i]);
    }
  for (unsigned i = 0; i < UPSTREAMS; i++)
    {
      s->to_upstream[i]
          = relay_insert (&s->site->upstream_configured_address[i]);
      site_set_upstream_state (s->site, i, "ready");
    }
}

static void
start (struct soak *s, const char *bin)
{
  s->site = site_create (bin, VMS, SERVICES);
  site_add_engine (s->site, "prefill", PREFILL_TOKENS_PER_MS);
  for (unsigned i = 1; i < ENGINES; i++)
    site_add_engine (s->site, "decode", PREFILL_TOKENS_PER_MS);
  s->version = 1;
  create_relays (s);
  site_start (s->site);
  for (unsigned i = 0; i < VMS; i++)
    s->to_vm[i] = relay_create (s->site->front_addresses[i]);
  s->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  s->drain_periods = g_array_new (FALSE, FALSE, sizeof (struct drain_period));
}

/* Writes the logs of VMs and instances to the folder in the environment
   variable SOAK_LOGS, if it is set.  */
static void
save_logs (const struct soak *s)
{
  const char *to = g_getenv ("SOAK_LOGS");
  for (unsigned i = 0; to && i < VMS + UPSTREAMS; i++)
    {
      g_autofree char *text = i < VMS ? site_log (s->site, i)
                                      : site_upstream_log (s->site, i - VMS);
      g_autofree char *path
          = g_strdup_printf ("%s/%s%u-seed%u.log", to, i < VMS ? "vm" : "u",
                             i < VMS ? i : i - VMS, s->seed);
      if (!g_file_set_contents (path, text, -1, NULL))
        printf ("cannot write %s; this log is not saved\n", path);
    }
}

/* Waits until faults of VMs, instances, routes and the store have ended.  The
   locks stay taken, so that injectors can begin no other fault of the first
   three.  */
static void
wait_for_faults (struct soak *s)
{
  for (unsigned i = 0; i < VMS; i++)
    g_mutex_lock (&s->vm_locks[i]);
  for (unsigned i = 0; i < UPSTREAMS; i++)
    g_mutex_lock (&s->upstream_locks[i]);
  g_mutex_lock (&s->routes_lock);
  while (s->store.active_faults > 0)
    g_usleep (10 * MS_US);
}

int
main (int argc, char **argv)
{
  if (argc != 4)
    {
      (void)fprintf (stderr, "usage: soak_site PROGRAM-FOLDER SEED SECONDS\n");
      return 2;
    }
  static struct soak s;
  struct worker workers[CALLERS + INJECTORS];
  GThread *threads[CALLERS + INJECTORS];
  s.seed = (unsigned)atoi (argv[2]);
  printf ("seed=%u seconds=%s\n", s.seed, argv[3]);
  start (&s, argv[1]);
  s.start_us = g_get_monotonic_time ();
  for (unsigned i = 0; i < CALLERS + INJECTORS; i++)
    {
      GRand *rand = g_rand_new_with_seed (s.seed * 1000 + i);
      workers[i] = (struct worker){ &s, rand, i, 0 };
      threads[i] = g_thread_new (
          "worker", i < CALLERS ? soak_run_caller : soak_run_injector,
          &workers[i]);
    }
  g_usleep ((gulong)atoi (argv[3]) * G_USEC_PER_SEC);
  g_atomic_int_set (&s.stop, 1);
  for (unsigned i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
  wait_for_faults (&s);
  check_recovery (&s);
  check_runs (&s);
  check_vm_logs (&s);
  printf ("soak_site: requests=%d answered=%d refused=%d unknown=%d faults=%d "
          "violations=%d\n",
          s.requests, s.answered, s.refused, s.unknown, s.faults,
          s.violations);
  if (s.violations > 0)
    save_logs (&s);
  g_atomic_int_set (&s.finished, 1);
  for (unsigned i = 0; i < INJECTORS; i++)
    g_thread_join (threads[CALLERS + i]);
  for (unsigned i = 0; i < CALLERS + INJECTORS; i++)
    g_rand_free (workers[i].rand);
  site_destroy (s.site);
  return s.violations == 0 ? 0 : 1;
}
