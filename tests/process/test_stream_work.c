/** @file
    Streams on a route with a target for the gap between events: VMs learn the
    events of its answers and the time between them, and place later streams by
    them.  Guards against a part of the way from the events to the placement
    that is not connected.  */
#include "harness/site.h"
#include "process/common.h"

#include <string.h>

#define VMS 2
#define SERVICES 1
#define ENGINES 3
#define PREFILL_TOKENS_PER_MS 300
#define RESPONSE_TIMEOUT_MS 10000
#define STREAMS 6
#define EVENT_GAP_MS 200
#define ROUTES_MS 2000 /* until new routes are in force */
/* What the engines send, at these intervals.  */
#define EVENTS 5
#define INTERVAL_MS 20

static struct site *site;

static void
run_stream (const char *id)
{
  g_autofree char *headers
      = g_strdup_printf ("X-Token-Counts: 300,500\r\n"
                         "X-Prompt-Prefix: aa:100,%08x:200\r\n"
                         "X-Deadline-Ms: 5000\r\n",
                         g_str_hash (id));
  struct web *w
      = site_send_request (site, 0, "GET", "/model/stream", id, headers, NULL);
  web_read_response (w, RESPONSE_TIMEOUT_MS);
  g_assert_cmpint (w->status, ==, 200);
  g_assert_true (w->complete);
  web_close (w);
}

/* Returns the number after FIELD in VM 0's line of the end of request ID; -1
   if there is none.  */
static double
logged (const char *id, const char *field)
{
  g_autofree char *log = site_log (site, 0);
  g_autofree char *request = g_strdup_printf ("request=%s ", id);
  g_auto (GStrv) lines = g_strsplit (log, "\n", -1);
  for (char **l = lines; *l; l++)
    {
      const char *at = strstr (*l, field);
      if (at && strstr (*l, "request_end") && strstr (*l, request))
        return g_ascii_strtod (at + strlen (field), NULL);
    }
  return -1;
}

static void
run_streams (const char *name)
{
  for (unsigned i = 0; i < STREAMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("%s-%u", name, i);
      run_stream (id);
      g_assert_cmpfloat (logged (id, " events="), ==, EVENTS);
    }
}

/* Without a target nothing is expected of a stream.  */
static void
test_without_target (void)
{
  run_streams ("without");
  g_assert_cmpfloat (logged ("without-5", " expected_events="), ==, 0);
  g_assert_cmpfloat (logged ("without-5", " expected_done_ms="), ==, 0);
}

static void
test_with_target (void)
{
  site->event_gap_ms = EVENT_GAP_MS;
  site_write_routes (site, 2, NULL);
  g_usleep ((gulong)ROUTES_MS * 1000);
  run_streams ("with");
  double events = logged ("with-5", " expected_events=");
  double gap_ms = logged ("with-5", " expected_gap_ms=");
  g_assert_cmpfloat (events, >=, EVENTS - 1);
  g_assert_cmpfloat (events, <=, EVENTS + 1);
  /* The machine may be slow, never fast.  */
  g_assert_cmpfloat (gap_ms, >=, INTERVAL_MS / 2.0);
  g_assert_cmpfloat (logged ("with-5", " expected_done_ms="), >=,
                     (EVENTS - 1) * gap_ms);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  site = site_create (program_directory (), VMS, SERVICES);
  for (unsigned i = 0; i < ENGINES; i++)
    site_add_engine (site, "decode", PREFILL_TOKENS_PER_MS);
  site_start (site);
  g_test_add_func ("/stream-work/without-target", test_without_target);
  g_test_add_func ("/stream-work/with-target", test_with_target);
  int status = g_test_run ();
  site_destroy (site);
  return status;
}
