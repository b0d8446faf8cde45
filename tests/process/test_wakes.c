/** @file
    Process tests of decisions that rest on outdated state: a VM that was
    suspended with requests in flight and resumes, VMs that restart while the
    store is down, instances that are removed, and an address that was
    reassigned to another instance.  */
#include "harness/site.h"
#include "process/common.h"

#include <signal.h>
#include <string.h>

/* Longer than the 2 s response time-out of the routes.  */
#define FREEZE_US 3000000
#define IN_FLIGHT_DELAY_US 100000
/* The VMs' --upstream-leave-ms: time within which a removed instance must stop
   receiving requests.  Below the production default of 2,500 ms.  */
#define UPSTREAM_LEAVE_MS 1200
#define TIMEOUT_MS 10000
/* Time within which all VMs must be ready once the store answers again.  */
#define RECOVERY_TIMEOUT_MS 4000
#define VMS 2
#define UPSTREAMS 2
#define REQUESTS 20

static struct site *site;

/* Checks that the status of response W agrees with the number of times that
   the instances ran the request ID, which must run at most once.  */
static void
check_run_count (const struct web *w, const char *id)
{
  unsigned runs = site_runs (site, -1, id);
  g_test_message ("%s: status %d, runs %u", id, w->status, runs);
  g_assert_cmpuint (runs, <=, 1);
  if (w->status == 200)
    g_assert_cmpuint (runs, ==, 1);
  if (w->status == 503)
    g_assert_cmpuint (runs, ==, 0);
}

static void
freeze_vm0 (void)
{
  proc_signal (site->vms[0], SIGSTOP);
}

/* Resumes the first VM after FREEZE_US.  */
static void
resume_vm0 (void)
{
  g_usleep (FREEZE_US);
  proc_signal (site->vms[0], SIGCONT);
}

/* Guards against wrong statuses and repeated runs after a VM was suspended for
   longer than the route's time-out with requests in flight, most of which fail
   in different ways.  */
static void
test_in_flight (void)
{
  static const char *const paths[]
      = { "/once/slow",     "/once/silent",     "/once/lost",
          "/once/reset",    "/once/not-run@u0", "/once/not-run@u1",
          "/once/unsigned", "/once/busy",       "/live/stream",
          "/once/unframed" };
  struct web *webs[G_N_ELEMENTS (paths)];
  freeze_vm0 ();
  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      g_autofree char *id = g_strdup_printf ("before-%zu", i);
      webs[i] = site_send_request (site, 0, "POST", paths[i], id, NULL, NULL);
    }
  /* Runs the VM for 2 ms, enough to forward the requests but not to receive
     most responses.  */
  proc_signal (site->vms[0], SIGCONT);
  g_usleep (2000);
  freeze_vm0 ();
  resume_vm0 ();
  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      g_autofree char *id = g_strdup_printf ("before-%zu", i);
      web_read_response (webs[i], TIMEOUT_MS);
      g_assert_cmpint (webs[i]->status, !=, 0);
      check_run_count (webs[i], id);
      web_close (webs[i]);
    }
}

/* Callers that disconnected while the VM was suspended: their requests may
   still run, but at most once.  */
static void
test_callers_disconnected (void)
{
  struct web *webs[REQUESTS];
  freeze_vm0 ();
  for (size_t i = 0; i < REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("left-%zu", i);
      webs[i] = site_send_request (
          site, 0, "POST", i % 2 ? "/once/ok" : "/once/lost", id, NULL, NULL);
    }
  g_usleep (IN_FLIGHT_DELAY_US);
  for (size_t i = 0; i < REQUESTS; i++)
    web_close (webs[i]);
  resume_vm0 ();
  g_usleep (IN_FLIGHT_DELAY_US);
  for (size_t i = 0; i < REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("left-%zu", i);
      g_assert_cmpuint (site_runs (site, -1, id), <=, 1);
    }
  struct web *w = site_request (site, 0, "GET", "/once/ok", "left-after");
  g_assert_cmpint (w->status, ==, 200);
  web_close (w);
}

/* Sends REQUESTS requests to the first VM, and adds the number of those that
   got 200 to SERVED.  Returns the number of those that ran at u0.  */
static unsigned
count_runs_at_u0 (const char *name, unsigned *served)
{
  unsigned n = 0;
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("%s-%u", name, i);
      struct web *w = site_request (site, 0, "GET", "/once/ok", id);
      check_run_count (w, id);
      *served += w->status == 200;
      web_close (w);
      n += site_runs (site, 0, id);
    }
  return n;
}

static bool
all_ready (void *arg)
{
  (void)arg;
  for (unsigned i = 0; i < VMS; i++)
    if (!site_is_ready (site, i))
      return false;
  return true;
}

/* All VMs are killed and restarted while the store refuses requests: until the
   store is back they must be unready and answer 503 with Retry-After without
   running anything, and soon afterwards they must serve.  */
static void
test_start_without_store (void)
{
  site_store_faults (site, "refuse=1");
  for (unsigned i = 0; i < VMS; i++)
    proc_kill (site->vms[i]);
  for (unsigned i = 0; i < VMS; i++)
    site_start_vm (site, i);
  g_usleep (FREEZE_US);
  for (unsigned i = 0; i < VMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("unready-%u", i);
      struct web *w = site_request (site, i, "GET", "/safe/ok", id);
      g_autofree char *after = web_header (w, "Retry-After");
      g_assert_false (site_is_ready (site, i));
      g_assert_cmpint (w->status, ==, 503);
      g_assert_nonnull (after);
      g_assert_cmpuint (site_runs (site, -1, id), ==, 0);
      web_close (w);
    }
  site_store_faults (site, "refuse=0");
  site_wait (all_ready, NULL, RECOVERY_TIMEOUT_MS);
  for (unsigned i = 0; i < VMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("ready-%u", i);
      struct web *w = site_request (site, i, "GET", "/safe/ok", id);
      g_assert_cmpint (w->status, ==, 200);
      web_close (w);
    }
}

/* An instance is removed while the VM is suspended: once resumed, the VM must
   learn of it and stop sending requests there within UPSTREAM_LEAVE_MS.  */
static void
test_upstream_removed_while_frozen (void)
{
  unsigned served = 0;
  freeze_vm0 ();
  site_set_upstream_state (site, 0, NULL);
  resume_vm0 ();
  (void)count_runs_at_u0 ("soon", &served);
  g_usleep (UPSTREAM_LEAVE_MS * 1000);
  g_assert_cmpuint (count_runs_at_u0 ("later", &served), ==, 0);
  g_assert_cmpuint (served, ==, 2 * REQUESTS);
  site_set_upstream_state (site, 0, "ready");
  g_usleep (500000);
}

/* All instances are removed at once, which looks like a fault of the store:
   they must still stop receiving requests within UPSTREAM_LEAVE_MS.  */
static void
test_all_upstreams_removed (void)
{
  site_set_upstream_state (site, 0, NULL);
  site_set_upstream_state (site, 1, NULL);
  g_usleep (UPSTREAM_LEAVE_MS * 1000);
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("none-%u", i);
      struct web *w = site_request (site, i % VMS, "GET", "/safe/ok", id);
      g_assert_cmpint (w->status, ==, 503);
      g_assert_cmpuint (site_runs (site, -1, id), ==, 0);
      web_close (w);
    }
  site_set_upstream_state (site, 0, "ready");
  site_set_upstream_state (site, 1, "ready");
  g_usleep (500000);
}

static bool
upstream_serves (void *arg)
{
  static unsigned n;
  const unsigned *upstream = arg;
  g_autofree char *id = g_strdup_printf ("new-%u", n++);
  struct web *w = site_request (site, 0, "GET", "/once/ok", id);
  check_run_count (w, id);
  web_close (w);
  return site_runs (site, (int)*upstream, id) == 1;
}

/* An instance is killed and another one starts at its address, while the store
   still lists the old one.  The successor must not run requests meant for the
   old instance; those that had started there get 502 (outcome unknown), and
   the others run on the other instance.  */
static void
test_address_reused (void)
{
  struct web *slow[REQUESTS];
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("away-%u", i);
      slow[i] = site_send_request (site, i % VMS, "POST", "/once/slow", id,
                                   NULL, NULL);
    }
  g_usleep (IN_FLIGHT_DELAY_US);
  g_autofree char *before = site_upstream_log (site, 0);
  unsigned successor = site_reuse_address (site, 0);
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("away-%u", i);
      g_autofree char *run = g_strdup_printf ("run=%s ", id);
      bool ran_at_u0 = strstr (before, run) != NULL;
      web_read_response (slow[i], TIMEOUT_MS);
      g_assert_cmpint (slow[i]->status, ==, ran_at_u0 ? 502 : 200);
      g_assert_cmpuint (site_runs (site, -1, id), ==, ran_at_u0 ? 0 : 1);
      web_close (slow[i]);
    }
  unsigned served = 0;
  (void)count_runs_at_u0 ("meant-for-u0", &served);
  g_assert_cmpuint (served, ==, REQUESTS);
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("meant-for-u0-%u", i);
      g_assert_cmpuint (site_runs (site, (int)successor, id), ==, 0);
    }
  site_set_upstream_state (site, 0, NULL);
  site_set_upstream_state (site, successor, "ready");
  site_wait (upstream_serves, &successor, TIMEOUT_MS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  site = site_create (program_directory (), VMS, UPSTREAMS);
  site->upstream_leave_ms = UPSTREAM_LEAVE_MS;
  site_start (site);
  g_test_add_func ("/wakes/requests-in-flight", test_in_flight);
  g_test_add_func ("/wakes/callers-disconnected", test_callers_disconnected);
  g_test_add_func ("/wakes/start-without-store", test_start_without_store);
  g_test_add_func ("/wakes/upstream-removed-while-suspended",
                   test_upstream_removed_while_frozen);
  g_test_add_func ("/wakes/all-upstreams-removed", test_all_upstreams_removed);
  g_test_add_func ("/wakes/address-reused", test_address_reused);
  int result = g_test_run ();
  site_destroy (site);
  return result;
}
