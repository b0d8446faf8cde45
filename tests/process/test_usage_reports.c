/** @file
    Process tests of usage reports: three VMs count the requests of client
    accounts, and one reports them to a stand-in for the platform's control
    address, which is busy or silent.  Holders are killed, stop or are cut off
    from the store, and the store is restored from a copy.  After each test,
   all reports that arrived for a window must be the same, and the tokens must
   not fall.  */
#include "harness/relay.h"
#include "harness/site.h"
#include "process/common.h"

#include <signal.h>
#include <string.h>

#define VMS 3
#define UPSTREAMS 2
#define WINDOW_S 2
#define WINDOW_MS (WINDOW_S * 1000)
#define LATE_MS 10000
/* Time until a window is reported, with a holder that stays.  */
#define REPORT_MS 6000
#define WAIT_MS 20000
#define KEY_A "Authorization: Bearer key-a\r\n"
#define KEY_B "Authorization: Bearer key-b\r\n"

static struct site *site;
static struct relay *store_relays[VMS]; /* between each VM and the store */
static struct proc *control;
static char *control_address;
static unsigned sent; /* requests sent, for their ids */

/* Returns the reports that have arrived, to be released.  */
static json_t *
get_reports (void)
{
  struct web *w
      = web_request (control_address, "GET", "/seen", NULL, NULL, NULL);
  json_t *root = web_json (w);
  json_t *reports = json_incref (json_object_get (root, "reports"));
  json_decref (root);
  web_close (w);
  g_assert_nonnull (reports);
  return reports;
}

static void
set_fault (const char *fault)
{
  g_autofree char *path = g_strdup_printf ("/fault?%s", fault);
  web_close (web_request (control_address, "POST", path, NULL, NULL, ""));
}

static json_int_t
number (const json_t *report, const char *name)
{
  return json_integer_value (json_object_get (report, name));
}

static uint64_t
fence_of (const json_t *report)
{
  const char *text = json_string_value (json_object_get (report, "fence"));
  return g_ascii_strtoull (text, NULL, 10);
}

/* Returns the first report for WINDOW among REPORTS, or NULL.  */
static const json_t *
find_report (const json_t *reports, json_int_t window)
{
  size_t i;
  const json_t *r;
  json_array_foreach (reports, i, r)
    if (number (r, "window") == window)
      return r;
  return NULL;
}

/* Checks all that arrived so far: reports of one window are equal, tokens do
   not fall, and no token has two holders.  Guards against two holders at a
   time.  */
static void
check_reports (void)
{
  json_t *reports = get_reports ();
  uint64_t highest = 0;
  const json_t *last = NULL;
  size_t i;
  json_t *r;
  json_array_foreach (reports, i, r)
    {
      const json_t *first = find_report (reports, number (r, "window"));
      g_assert_true (json_equal (json_object_get (r, "counts"),
                                 json_object_get (first, "counts")));
      g_assert_cmpuint (fence_of (r), >=, highest);
      if (last && fence_of (r) == highest)
        g_assert_true (json_equal (json_object_get (r, "holder"),
                                   json_object_get (last, "holder")));
      highest = fence_of (r);
      last = r;
    }
  json_decref (reports);
}

static json_int_t
current_window (void)
{
  return g_get_real_time () / 1000 / WINDOW_MS;
}

/* Whether the window *ARG was accepted.  */
static bool
is_accepted (void *arg)
{
  json_t *reports = get_reports ();
  bool accepted = false;
  size_t i;
  const json_t *r;
  json_array_foreach (reports, i, r)
    accepted = accepted
               || (number (r, "window") == *(json_int_t *)arg
                   && number (r, "status") == 200);
  json_decref (reports);
  return accepted;
}

/* Waits until the window that is current now is accepted.  */
static void
wait_for_current (void)
{
  json_int_t window = current_window ();
  site_wait (is_accepted, &window, WAIT_MS);
}

/* Sum of the counts of ACCOUNT in the windows from FIRST on.  */
static json_int_t
reported (const char *account, json_int_t first)
{
  json_t *reports = get_reports ();
  json_int_t sum = 0;
  for (json_int_t w = first; w <= current_window (); w++)
    {
      const json_t *r = find_report (reports, w);
      if (r)
        sum += number (json_object_get (r, "counts"), account);
    }
  json_decref (reports);
  return sum;
}

/* Windows from FIRST to the last one before LAST were all reported, each at
   most LATE_MS after its end.  */
static void
check_windows (json_int_t first, json_int_t last)
{
  json_t *reports = get_reports ();
  for (json_int_t w = first; w < last; w++)
    {
      const json_t *r = find_report (reports, w);
      g_assert_nonnull (r);
      g_assert_cmpint (number (r, "at_ms") - (w + 1) * WINDOW_MS, <=, LATE_MS);
      g_assert_cmpint (number (r, "at_ms") - (w + 1) * WINDOW_MS, >=, 0);
    }
  json_decref (reports);
}

/* Sends COUNT requests for PATH with the header line KEY to VM number VM; each
   must get STATUS.  */
static void
send_requests (unsigned vm, const char *method, const char *path,
               const char *key, unsigned count, int status)
{
  for (unsigned i = 0; i < count; i++)
    {
      g_autofree char *id = g_strdup_printf ("usage-%u", sent++);
      struct web *w
          = site_send_request (site, vm, method, path, id, key,
                               strcmp (method, "POST") == 0 ? "{}" : NULL);
      web_read_response (w, WAIT_MS);
      g_assert_cmpint (w->status, ==, status);
      web_close (w);
    }
}

/* Number of the VM that holds the duties: that of the last report.  */
static unsigned
holder (void)
{
  json_t *reports = get_reports ();
  const json_t *last = json_array_get (reports, json_array_size (reports) - 1);
  const char *name = json_string_value (json_object_get (last, "holder"));
  unsigned vm = (unsigned)g_ascii_strtoull (name + strlen ("vm"), NULL, 10);
  json_decref (reports);
  return vm;
}

/* Requests at all VMs, of both kinds, are counted once each by their accounts;
   those without a key, and windows without requests, count nothing.  */
static void
test_counts (void)
{
  wait_for_current ();
  json_int_t first = current_window ();
  for (unsigned vm = 0; vm < VMS; vm++)
    {
      send_requests (vm, "GET", "/safe/ok", KEY_A, 20, 200);
      send_requests (vm, "POST", "/once/ok", KEY_B, 5, 200);
      send_requests (vm, "GET", "/stream/stream", KEY_B, 3, 200);
      send_requests (vm, "GET", "/safe/ok", NULL, 2, 401);
    }
  wait_for_current ();
  g_assert_cmpint (reported ("a", first), ==, VMS * 20);
  g_assert_cmpint (reported ("b", first), ==, VMS * 8);
  json_int_t quiet = current_window () + 1;
  site_wait (is_accepted, &quiet, WAIT_MS);
  json_t *reports = get_reports ();
  g_assert_cmpuint (json_object_size (json_object_get (
                        find_report (reports, quiet), "counts")),
                    ==, 0);
  json_decref (reports);
  check_windows (first, quiet);
  check_reports ();
}

/* A request that an upstream refused as not run does not count; one that it
   ran counts although the response is a failure or is lost.  Guards against
   counts of answers instead of runs.  */
static void
test_failures (void)
{
  wait_for_current ();
  json_int_t first = current_window ();
  send_requests (0, "POST", "/once/not-run", KEY_A, 3, 503);
  send_requests (1, "POST", "/once/error", KEY_B, 3, 500);
  send_requests (2, "POST", "/once/lost", KEY_B, 2, 502);
  send_requests (2, "GET", "/stream/stream-cut", KEY_B, 1, 200);
  wait_for_current ();
  g_assert_cmpint (reported ("a", first), ==, 0);
  /* The stream is resumed at another instance, which is a second run.  */
  g_assert_cmpint (reported ("b", first), ==, 3 + 2 + 2);
  check_reports ();
}

/* The platform refuses calls, then takes them without an answer: each report
   is repeated exactly until it is accepted.  */
static void
test_busy_platform (void)
{
  json_int_t first = current_window ();
  set_fault ("status=503");
  send_requests (0, "GET", "/safe/ok", KEY_A, 5, 200);
  g_usleep (2 * WINDOW_MS * 1000);
  set_fault ("status=0&unanswered=1");
  g_usleep (2 * WINDOW_MS * 1000);
  set_fault ("unanswered=0");
  wait_for_current ();
  for (json_int_t w = first; w < current_window () - 4; w++)
    g_assert_true (is_accepted (&w));
  g_assert_cmpint (reported ("a", first), ==, 5);
  check_reports ();
}

/* The holder is killed: its successor reports all windows in time, with the
   counts that all VMs had sent.  */
static void
test_killed_holder (void)
{
  wait_for_current ();
  json_int_t first = current_window ();
  unsigned killed = holder ();
  for (unsigned vm = 0; vm < VMS; vm++)
    send_requests (vm, "GET", "/safe/ok", KEY_A, 10, 200);
  /* The counts are sent every 500 ms.  */
  g_usleep (700000);
  proc_kill (site->vms[killed]);
  send_requests ((killed + 1) % VMS, "GET", "/safe/ok", KEY_A, 10, 200);
  wait_for_current ();
  json_int_t last = current_window () - 4;
  g_assert_cmpuint (holder (), !=, killed);
  check_windows (first, last);
  g_assert_cmpint (reported ("a", first), ==, VMS * 10 + 10);
  check_reports ();
  site_start_vm (site, killed);
  g_usleep (REPORT_MS * 1000);
  wait_for_current ();
  check_windows (first, last);
  check_reports ();
}

/* A holder that stops (SIGTERM) gives its counts and the lease to its
   successor.  */
static void
test_stopped_holder (void)
{
  wait_for_current ();
  json_int_t first = current_window ();
  unsigned stopped = holder ();
  send_requests (stopped, "GET", "/safe/ok", KEY_B, 10, 200);
  proc_signal (site->vms[stopped], SIGTERM);
  g_assert_true (proc_wait (site->vms[stopped], WAIT_MS));
  wait_for_current ();
  check_windows (first, current_window () - 4);
  g_assert_cmpint (reported ("b", first), ==, 10);
  check_reports ();
  site_start_vm (site, stopped);
  g_usleep (REPORT_MS * 1000);
  wait_for_current ();
  check_reports ();
}

/* The store returns to a copy from before the last reports; they are neither
   reported differently nor, by the same holder, left out.  */
static void
test_restored_store (void)
{
  wait_for_current ();
  json_int_t first = current_window ();
  send_requests (0, "GET", "/safe/ok", KEY_A, 10, 200);
  wait_for_current ();
  site_store_restore (site, 8);
  send_requests (1, "GET", "/safe/ok", KEY_A, 10, 200);
  wait_for_current ();
  check_windows (first, current_window () - 4);
  g_assert_cmpint (reported ("a", first), ==, 20);
  check_reports ();
}

/* The holder's link to the store passes nothing for a while: another VM
   reports all windows in time.  Guards against a fleet without reports because
   of one VM that is alive but cut off.  */
static void
test_cut_off_holder (void)
{
  wait_for_current ();
  json_int_t first = current_window ();
  unsigned cut_off = holder ();
  relay_hold (store_relays[cut_off], TRUE, TRUE);
  for (unsigned vm = 0; vm < VMS; vm++)
    send_requests (vm, "GET", "/safe/ok", KEY_A, 10, 200);
  wait_for_current ();
  g_assert_cmpuint (holder (), !=, cut_off);
  check_windows (first, current_window () - 4);
  g_assert_cmpint (reported ("a", first), ==, VMS * 10);
  relay_close_connections (store_relays[cut_off], FALSE);
  relay_hold (store_relays[cut_off], FALSE, FALSE);
  wait_for_current ();
  check_windows (first, current_window () - 4);
  check_reports ();
}

/* Adds two client accounts to the routes.  */
static void
write_accounts (void)
{
  struct web *w
      = web_request (site->store_address, "GET", "/api/kv-key?key=op%2Fconfig",
                     NULL, NULL, NULL);
  json_t *item = web_json (w);
  gsize size = 0;
  g_autofree guchar *text = g_base64_decode (
      json_string_value (json_object_get (item, "value")), &size);
  json_t *root = json_loadb ((const char *)text, size, 0, NULL);
  json_object_set_new (root, "version", json_integer (2));
  json_object_set_new (root, "tenants",
                       json_pack ("[{s:s, s:[s]}, {s:s, s:[s]}]", "name", "a",
                                  "apiKeys", "key-a", "name", "b", "apiKeys",
                                  "key-b"));
  char *value = json_dumps (root, JSON_COMPACT);
  site_put (site, "op/config", value);
  free (value);
  json_decref (root);
  json_decref (item);
  web_close (w);
}

static void
start_control (void)
{
  g_autofree char *path
      = g_build_filename (program_directory (), "fake_control", NULL);
  g_autofree char *log = g_build_filename (site->dir, "control.log", NULL);
  g_autofree char *window = g_strdup_printf ("%d", WINDOW_S);
  char *argv[] = { path, NULL };
  control = proc_start ("control", argv, log);
  control_address
      = g_strdup_printf ("127.0.0.1:%u", (unsigned)proc_read_port (control));
  g_setenv ("BUCKTHORN_DUTY_ADDRESS", control_address, TRUE);
  g_setenv ("BUCKTHORN_USAGE_WINDOW_S", window, TRUE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  site = site_create (program_directory (), VMS, UPSTREAMS);
  start_control ();
  for (unsigned i = 0; i < VMS; i++)
    {
      store_relays[i] = relay_create (site->store_address);
      site->vm_store_addresses[i] = relay_address (store_relays[i]);
    }
  write_accounts ();
  site_start (site);
  g_test_add_func ("/usage-reports/counts", test_counts);
  g_test_add_func ("/usage-reports/failures", test_failures);
  g_test_add_func ("/usage-reports/busy-platform", test_busy_platform);
  g_test_add_func ("/usage-reports/killed-holder", test_killed_holder);
  g_test_add_func ("/usage-reports/stopped-holder", test_stopped_holder);
  g_test_add_func ("/usage-reports/cut-off-holder", test_cut_off_holder);
  g_test_add_func ("/usage-reports/restored-store", test_restored_store);
  int result = g_test_run ();
  site_destroy (site);
  for (unsigned i = 0; i < VMS; i++)
    relay_destroy (store_relays[i]);
  proc_destroy (control);
  g_free (control_address);
  return result;
}
