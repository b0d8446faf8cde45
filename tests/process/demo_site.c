/** @file
    Demo of a site on a platform with a store, two instances and three VMs:
    counts the responses that callers get while an instance fails, a VM stops
    and the store does not answer.  */
#include "harness/site.h"
#include "process/common.h"

#include <signal.h>
#include <stdio.h>

#define VMS 3
#define UPSTREAMS 2
#define REQUESTS_PER_STEP 20

struct counts
{
  unsigned answered;
  unsigned refused;
  unsigned failed;
  unsigned run_twice;
};

/* Sends REQUESTS_PER_STEP requests for PATH to the first two VMs in turn,
   prints the counts of their outcomes under LABEL and adds them to T.  */
static void
send_requests (const struct site *s, struct counts *t, const char *label,
               const char *path)
{
  struct counts step = { 0 };
  for (unsigned i = 0; i < REQUESTS_PER_STEP; i++)
    {
      g_autofree char *id = g_strdup_printf ("%s-%u", label, i);
      struct web *w = site_request (s, i % 2, "GET", path, id);
      step.answered += w->status == 200 && w->complete;
      step.refused += w->status == 503;
      step.failed += w->status != 200 && w->status != 503;
      step.run_twice
          += g_str_has_prefix (path, "/once/") && site_runs (s, -1, id) > 1;
      web_close (w);
    }
  printf ("  %s: answered=%u refused=%u failed=%u run_twice=%u\n", label,
          step.answered, step.refused, step.failed, step.run_twice);
  (void)fflush (stdout);
  t->answered += step.answered;
  t->refused += step.refused;
  t->failed += step.failed;
  t->run_twice += step.run_twice;
}

int
main (int argc, char **argv)
{
  struct counts t = { 0 };
  if (argc != 2)
    {
      (void)fprintf (stderr, "usage: demo_site PROGRAM-FOLDER\n");
      return 2;
    }
  printf ("starting: platform store, 2 instances of a service, 3 VMs\n");
  struct site *s = site_create (argv[1], VMS, UPSTREAMS);
  site_start (s);
  send_requests (s, &t, "bookings", "/once/ok");
  send_requests (s, &t, "streams", "/live/stream");
  send_requests (s, &t, "bookings-while-u0-refuses", "/once/not-run@u0");
  send_requests (s, &t, "look-ups-while-u0-closes-without-a-response",
                 "/safe/lost@u0");
  proc_signal (s->vms[VMS - 1], SIGTERM);
  send_requests (s, &t, "bookings-while-a-VM-stops", "/once/ok");
  site_store_faults (s, "silent=1");
  send_requests (s, &t, "bookings-while-the-store-does-not-answer",
                 "/once/ok");
  site_destroy (s);
  printf ("demo_site: answered=%u refused=%u failed=%u run_twice=%u\n",
          t.answered, t.refused, t.failed, t.run_twice);
  return t.answered == 6 * REQUESTS_PER_STEP && t.run_twice == 0 ? 0 : 1;
}
