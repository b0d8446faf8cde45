/** @file
    Process test of a planned stop of one VM in calm: each request that it has
    read gets a response, and those that would outlast the stop are refused
    before they are sent.  */
#include "harness/site.h"
#include "process/common.h"

#include <signal.h>
#include <string.h>

#define VMS 2
#define UPSTREAMS 4
#define SLOTS 64
#define LEAVE_S 8
#define ROUTE_TIMEOUT_MS 12000
/* Requests are sent this often while the VM accepts connections.  */
#define INTERVAL_US 100000
#define SEND_US 3200000
#define REQUESTS_MAX 64
#define WARM_UP_REQUESTS 4
#define RESPONSE_TIMEOUT_MS 13000

static struct site *site;

struct sent
{
  struct web *w;
  char *id;
};

static struct sent
send_one (const char *path, const char *prefix, unsigned i)
{
  struct sent s = { .id = g_strdup_printf ("%s-%u", prefix, i) };
  s.w = site_send_request (site, 1, "POST", path, s.id,
                           "X-Deadline-Ms: 12000\r\n", NULL);
  return s;
}

static void
sent_clear (struct sent *s)
{
  web_close (s->w);
  g_free (s->id);
}

/* The VM learns how long responses on the route take.  */
static void
warm_up (const char *path)
{
  struct sent sent[WARM_UP_REQUESTS];
  for (unsigned i = 0; i < WARM_UP_REQUESTS; i++)
    sent[i] = send_one (path, "before", i);
  for (unsigned i = 0; i < WARM_UP_REQUESTS; i++)
    {
      web_read_response (sent[i].w, RESPONSE_TIMEOUT_MS);
      g_assert_cmpint (sent[i].w->status, ==, 200);
      sent_clear (&sent[i]);
    }
}

/* Counts of the responses to the requests sent during a stop.  */
struct counts
{
  unsigned answered;
  unsigned refused;
  unsigned unknown;
  unsigned lost;
};

static void
count_response (struct counts *c, const struct sent *s)
{
  if (!s->w->complete)
    c->lost++;
  else if (s->w->status == 200)
    c->answered++;
  else if (s->w->status == 503)
    {
      c->refused++;
      g_assert_cmpuint (site_runs (site, -1, s->id), ==, 0);
    }
  else
    c->unknown++;
}

/* Stops a VM while requests for PATH are sent to it.  */
static struct counts
stop_while_serving (const char *path)
{
  struct sent sent[REQUESTS_MAX];
  struct counts c = { 0 };
  unsigned n = 0;
  proc_signal (site->vms[1], SIGTERM);
  gint64 start_us = g_get_monotonic_time ();
  while (g_get_monotonic_time () < start_us + SEND_US)
    {
      g_assert_cmpuint (n, <, REQUESTS_MAX);
      sent[n] = send_one (path, path, n);
      n++;
      g_usleep (INTERVAL_US);
    }
  for (unsigned i = 0; i < n; i++)
    {
      web_read_response (sent[i].w, RESPONSE_TIMEOUT_MS);
      count_response (&c, &sent[i]);
      sent_clear (&sent[i]);
    }
  g_test_message ("%u answered, %u refused, %u unknown, %u lost", c.answered,
                  c.refused, c.unknown, c.lost);
  g_assert_true (proc_wait (site->vms[1], LEAVE_S * 1000));
  g_assert_cmpint (site->vms[1]->status, ==, 0);
  return c;
}

static void
site_open (void)
{
  site = site_create (program_directory (), VMS, UPSTREAMS);
  site->slots = SLOTS;
  site->leave_s = LEAVE_S;
  site->timeout_ms = ROUTE_TIMEOUT_MS;
  site_write_routes (site, 2, NULL);
  site_start (site);
}

/* Responses take longer than what is left of the stop for most requests.  */
static void
slow_responses (const char *path)
{
  site_open ();
  warm_up (path);
  struct counts c = stop_while_serving (path);
  g_assert_cmpuint (c.lost, ==, 0);
  g_assert_cmpuint (c.unknown, ==, 0);
  g_assert_cmpuint (c.answered, >, 0);
  g_assert_cmpuint (c.refused, >, 0);
  site_destroy (site);
}

static void
test_slow_responses (void)
{
  slow_responses ("/safe/wait-5500");
}

static void
test_slow_responses_at_most_once (void)
{
  slow_responses ("/once/wait-5500");
}

/* The VM does not know how long responses take: those that the stop overtakes
   end with a response all the same.  */
static void
test_unknown_times (void)
{
  site_open ();
  struct counts c = stop_while_serving ("/once/wait-7000");
  g_assert_cmpuint (c.lost, ==, 0);
  g_assert_cmpuint (c.unknown, >, 0);
  site_destroy (site);
}

static void
test_fast_responses (void)
{
  site_open ();
  warm_up ("/once/wait-600");
  struct counts c = stop_while_serving ("/once/wait-600");
  g_assert_cmpuint (c.lost + c.unknown, ==, 0);
  g_assert_cmpuint (c.answered, >, c.refused);
  site_destroy (site);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  program_directory_init (argv[0]);
  g_test_add_func ("/planned-stop/slow-responses", test_slow_responses);
  g_test_add_func ("/planned-stop/slow-responses-at-most-once",
                   test_slow_responses_at_most_once);
  g_test_add_func ("/planned-stop/unknown-times", test_unknown_times);
  g_test_add_func ("/planned-stop/fast-responses", test_fast_responses);
  return g_test_run ();
}
