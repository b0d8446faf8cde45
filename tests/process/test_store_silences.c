/** @file
    Process tests of short silences of the store: it swallows the watch calls
    that all VMs send just after a change.  Changes that follow must still be
    in force on time.  */
#include "harness/site.h"
#include "process/common.h"

#define VMS 8
#define UPSTREAMS 2
/* The store falls silent this long after a change, before the VMs send their
   next watch calls.  */
#define STRIKE_MS 60
#define SILENCE_MS 500
/* Time from the end of the silence to the next change.  */
#define CHANGE_MS 340
/* Time after a silence of the store from which changes count again, if they
   are older than APPLY_TIMEOUT_MS.  */
#define STABLE_MS 4000
#define APPLY_TIMEOUT_MS 2500
#define ROUNDS 3
/* Silence of the store as the VMs start, and time until all serve.  */
#define START_SILENCE_MS 1000
#define START_TIMEOUT_MS 15000

static struct site *site;
static unsigned requests;

static void
sleep_until (gint64 us)
{
  gint64 left = us - g_get_monotonic_time ();
  if (left > 0)
    g_usleep ((gulong)left);
}

/* Silences the store once, STRIKE_MS after this call.  Returns the time at
   which it answers again.  */
static gint64
silence_store (void)
{
  g_usleep (STRIKE_MS * 1000);
  site_store_faults (site, "silent=1");
  g_usleep (SILENCE_MS * 1000);
  site_store_faults (site, "silent=0");
  return g_get_monotonic_time ();
}

/* Returns the number of VMs at which a request for PATH gets no 200.  */
static unsigned
count_vms_without (const char *path)
{
  unsigned n = 0;
  for (unsigned i = 0; i < VMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("request-%u", requests++);
      struct web *w = site_request (site, i, "GET", path, id);
      n += w->status != 200;
      web_close (w);
    }
  return n;
}

/* Returns the number of VMs that send one of two requests to UPSTREAM.  */
static unsigned
count_vms_using (unsigned upstream)
{
  unsigned n = 0;
  for (unsigned i = 0; i < VMS; i++)
    {
      unsigned runs = 0;
      for (unsigned k = 0; k < 2; k++)
        {
          g_autofree char *id = g_strdup_printf ("request-%u", requests++);
          web_close (site_request (site, i, "GET", "/safe/ok", id));
          runs += site_runs (site, (int)upstream, id);
        }
      n += runs > 0;
    }
  return n;
}

/* Route changes around a silence: no VM may answer 404 to a request for a
   route that was added 0.3 s after the silence, once 4 s have passed.  */
static void
play_route_changes (void)
{
  static unsigned version = 10;
  g_autofree char *extra = g_strdup_printf ("added-%u", version);
  g_autofree char *path = g_strdup_printf ("/%s/ok", extra);
  site_write_routes (site, version++, NULL);
  gint64 end_us = silence_store ();
  g_usleep (CHANGE_MS * 1000);
  site_write_routes (site, version++, extra);
  sleep_until (end_us + STABLE_MS * 1000);
  g_assert_cmpuint (count_vms_without (path), ==, 0);
}

static void
test_routes (void)
{
  for (unsigned round = 0; round < ROUNDS; round++)
    play_route_changes ();
}

static bool
every_vm_serves (void *arg)
{
  return count_vms_without (arg) == 0;
}

/* The same at VMs that start while the store is silent, so that their first
   lists come late.  */
static void
test_routes_after_late_start (void)
{
  site_store_faults (site, "silent=1");
  for (unsigned i = 0; i < VMS; i++)
    site_start_vm (site, i);
  g_usleep (START_SILENCE_MS * 1000);
  site_store_faults (site, "silent=0");
  site_wait (every_vm_serves, (char *)"/safe/ok", START_TIMEOUT_MS);
  play_route_changes ();
}

/* An upstream is draining, or its entry is removed, 0.3 s after a silence: no
   VM may use it once 4 s have passed.  */
static void
test_upstreams (void)
{
  static const char *const leaving[] = { "draining", NULL };
  for (unsigned i = 0; i < G_N_ELEMENTS (leaving); i++)
    {
      site_set_upstream_state (site, 1, "ready");
      gint64 end_us = silence_store ();
      g_usleep (CHANGE_MS * 1000);
      site_set_upstream_state (site, 0, leaving[i]);
      sleep_until (end_us + STABLE_MS * 1000);
      g_assert_cmpuint (count_vms_using (0), ==, 0);
      site_set_upstream_state (site, 0, "ready");
      g_usleep (APPLY_TIMEOUT_MS * 1000);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  site = site_create (program_directory (), VMS, UPSTREAMS);
  site_start (site);
  g_test_add_func ("/store-silences/routes", test_routes);
  g_test_add_func ("/store-silences/upstreams", test_upstreams);
  g_test_add_func ("/store-silences/routes-after-late-start",
                   test_routes_after_late_start);
  int result = g_test_run ();
  site_destroy (site);
  return result;
}
