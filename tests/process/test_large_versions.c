/** @file
    Process test of large versions of the routes: under load, in a series,
   while the store fails, while a VM is stopped, and with one that is invalid
   at its end.  */
#include "harness/route_versions.h"
#include "harness/site.h"
#include "process/common.h"

#include <signal.h>
#include <string.h>

#define VMS 2
#define UPSTREAMS 2
#define ROUTE_TIMEOUT_MS 1100
#define MANY_ROUTES 4260
#define FIRST_ROUTE "/many-0/ok"
#define LAST_ROUTE "/many-4259/ok"
/* A series as quick as the platform's operators write one.  */
#define SERIES 12
#define SERIES_GAP_US 330000
#define CALLERS 4
#define CALL_GAP_US 10000
#define APPLY_MS 2500
#define LEAVE_S 8
#define RESPONSE_TIMEOUT_MS 10000

static struct site *site;
static unsigned version = 10; /* last one that was written */

/* Load: callers that send one request after the other.  */

struct caller
{
  unsigned number;
  unsigned vm;
  unsigned sent;
  unsigned answered; /* with 200, by the time-out */
  unsigned refused;  /* with 503 */
  int64_t longest_ms;
};

static gint stop_callers;

static void
send_one (struct caller *c, const char *path)
{
  g_autofree char *id
      = g_strdup_printf ("load-%u-%u-%u", version, c->number, c->sent);
  int64_t start_us = g_get_monotonic_time ();
  struct web *w
      = site_send_request (site, c->vm, "POST", path, id, NULL, NULL);
  web_read_response (w, RESPONSE_TIMEOUT_MS);
  int64_t ms = (g_get_monotonic_time () - start_us) / 1000;
  c->sent++;
  c->answered += w->status == 200 && w->complete && ms <= ROUTE_TIMEOUT_MS;
  c->refused += w->status == 503 && w->complete;
  c->longest_ms = MAX (c->longest_ms, ms);
  web_close (w);
}

static gpointer
run_caller (gpointer arg)
{
  struct caller *c = arg;
  while (!g_atomic_int_get (&stop_callers))
    {
      send_one (c, c->sent % 2 ? FIRST_ROUTE : LAST_ROUTE);
      g_usleep (CALL_GAP_US);
    }
  return NULL;
}

/* Runs CALLERS callers of the VMs numbered from 0 to VMS - 1 while WORK
   runs, and adds up what they saw.  */
static struct caller
run_under_load (unsigned vms, void (*work) (void))
{
  struct caller callers[CALLERS] = { 0 };
  GThread *threads[CALLERS];
  struct caller sum = { 0 };
  g_atomic_int_set (&stop_callers, 0);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      callers[i].number = i;
      callers[i].vm = i % vms;
      threads[i] = g_thread_new ("caller", run_caller, &callers[i]);
    }
  work ();
  g_atomic_int_set (&stop_callers, 1);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      g_thread_join (threads[i]);
      sum.sent += callers[i].sent;
      sum.answered += callers[i].answered;
      sum.refused += callers[i].refused;
      sum.longest_ms = MAX (sum.longest_ms, callers[i].longest_ms);
    }
  g_test_message ("%u sent, %u answered, %u refused, longest %" G_GINT64_FORMAT
                  " ms",
                  sum.sent, sum.answered, sum.refused, sum.longest_ms);
  return sum;
}

/* Versions.  */

static void
put_version (void)
{
  version_put_many (site, ++version, MANY_ROUTES);
}

static void
put_series (void)
{
  for (unsigned i = 0; i < SERIES; i++)
    {
      put_version ();
      g_usleep (SERIES_GAP_US);
    }
}

static int
get_status (unsigned vm, const char *path)
{
  static unsigned n;
  g_autofree char *id = g_strdup_printf ("status-%u", n++);
  struct web *w = site_request (site, vm, "POST", path, id);
  int status = w->status;
  web_close (w);
  return status;
}

/* Whether all of the first *VMS VMs have the last version in force, and not
   the one before.  */
static bool
last_version_in_force (void *vms)
{
  g_autofree char *last = g_strdup_printf ("/v%u/ok", version);
  g_autofree char *before = g_strdup_printf ("/v%u/ok", version - 1);
  for (unsigned i = 0; i < *(const unsigned *)vms; i++)
    if (get_status (i, last) != 200 || get_status (i, before) != 404)
      return false;
  return true;
}

static void
await_last_version (unsigned vms)
{
  site_wait (last_version_in_force, &vms, APPLY_MS);
}

/* Guards against callers that wait while versions are taken in, and against a
   route that is missing in between.  */
static void
test_series_under_load (void)
{
  struct caller sum = run_under_load (VMS, put_series);
  g_assert_cmpuint (sum.answered, ==, sum.sent);
  await_last_version (VMS);
}

static void
put_series_while_store_fails (void)
{
  put_version ();
  site_store_faults (site, "refuse=1");
  put_series ();
  site_store_faults (site, "refuse=0");
}

/* Guards against a VM that stays with an older version after the store has
   failed in a series.  */
static void
test_store_fails_in_series (void)
{
  struct caller sum = run_under_load (VMS, put_series_while_store_fails);
  g_assert_cmpuint (sum.answered, ==, sum.sent);
  await_last_version (VMS);
}

/* Guards against the half of a version that is invalid at its end.  */
static void
test_invalid_end_leaves_all_in_force (void)
{
  struct version_size size = { "invalid", MANY_ROUTES, 1, 0 };
  unsigned in_force = version;
  g_autoptr (GBytes) bytes = version_write (&size, ++version);
  g_autofree char *text
      = g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  char *end = strstr (text, "],\"services\"");
  g_assert_nonnull (end);
  end[-1] = ' '; /* the brace of the last route */
  site_put (site, "op/config", text);
  g_usleep (APPLY_MS * 1000);
  g_autofree char *path = g_strdup_printf ("/v%u/ok", in_force);
  for (unsigned i = 0; i < VMS; i++)
    {
      g_autofree char *log = site_log (site, i);
      g_assert_nonnull (strstr (log, "event=routes_malformed"));
      g_assert_cmpint (get_status (i, path), ==, 200);
      g_assert_cmpint (get_status (i, LAST_ROUTE), ==, 200);
    }
  put_version ();
  await_last_version (VMS);
}

static void
stop_in_series (void)
{
  put_version ();
  put_version ();
  proc_signal (site->vms[1], SIGTERM);
  put_series ();
}

/* Guards against a VM that goes on with versions instead of ending its
   requests while it stops: callers of the other one are answered, and it ends
   by its deadline.  */
static void
test_stop_in_series (void)
{
  struct web *w = site_send_request (site, 1, "POST", "/once/wait-900",
                                     "in-flight", NULL, NULL);
  int64_t start_us = g_get_monotonic_time ();
  struct caller sum = run_under_load (1, stop_in_series);
  web_read_response (w, RESPONSE_TIMEOUT_MS);
  g_assert_cmpint (w->status, ==, 200);
  web_close (w);
  g_assert_true (proc_wait (site->vms[1], LEAVE_S * 1000));
  int64_t ms = (g_get_monotonic_time () - start_us) / 1000;
  g_assert_cmpint (ms, <=, LEAVE_S * 1000);
  g_assert_cmpuint (sum.answered, ==, sum.sent);
  await_last_version (1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  site = site_create (program_directory (), VMS, UPSTREAMS);
  site->timeout_ms = ROUTE_TIMEOUT_MS;
  site->leave_s = LEAVE_S;
  version_put_many (site, version, MANY_ROUTES);
  site_start (site);
  g_test_add_func ("/large-versions/series-under-load",
                   test_series_under_load);
  g_test_add_func ("/large-versions/store-fails-in-series",
                   test_store_fails_in_series);
  g_test_add_func ("/large-versions/invalid-end-leaves-all-in-force",
                   test_invalid_end_leaves_all_in_force);
  g_test_add_func ("/large-versions/stop-in-series", test_stop_in_series);
  int status = g_test_run ();
  site_destroy (site);
  return status;
}
