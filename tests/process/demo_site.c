/** @file
    The platform part of the demo: a site with a store, two instances and three
    VMs; what callers get while an instance fails, a VM stops and the store is
    away.  */
#include "harness/site.h"
#include "process/common.h"

#include <signal.h>
#include <stdio.h>

#define VMS 3
#define UPSTREAMS 2
#define EACH 20

struct served
{
  unsigned answered;
  unsigned refused;
  unsigned failed;
  unsigned run_twice;
};

/* Sends EACH requests of PATH to the first two VMs in turn.  */
static void
send_some (const struct site *s, struct served *t, const char *what,
           const char *path)
{
  struct served now = { 0 };
  for (unsigned i = 0; i < EACH; i++)
    {
      g_autofree char *id = g_strdup_printf ("%s-%u", what, i);
      struct web *w = site_ask (s, i % 2, "GET", path, id);
      now.answered += w->status == 200 && w->whole;
      now.refused += w->status == 503;
      now.failed += w->status != 200 && w->status != 503;
      now.run_twice
          += g_str_has_prefix (path, "/once/") && site_runs (s, -1, id) > 1;
      web_close (w);
    }
  printf ("  %s: answered=%u refused=%u failed=%u run_twice=%u\n", what,
          now.answered, now.refused, now.failed, now.run_twice);
  (void)fflush (stdout);
  t->answered += now.answered;
  t->refused += now.refused;
  t->failed += now.failed;
  t->run_twice += now.run_twice;
}

int
main (int argc, char **argv)
{
  struct served t = { 0 };
  if (argc != 2)
    {
      (void)fprintf (stderr, "usage: demo_site FOLDER-OF-PROGRAMS\n");
      return 2;
    }
  printf ("starting: a platform's store, 2 instances of a service, 3 VMs\n");
  struct site *s = site_create (argv[1], VMS, UPSTREAMS);
  site_start (s);
  send_some (s, &t, "bookings", "/once/ok");
  send_some (s, &t, "streams", "/live/stream");
  send_some (s, &t, "bookings-while-u0-refuses", "/once/not-run@u0");
  send_some (s, &t, "look-ups-while-u0-loses-answers", "/safe/lost@u0");
  proc_signal (s->vms[VMS - 1], SIGTERM);
  send_some (s, &t, "bookings-while-a-VM-stops", "/once/ok");
  site_store_faults (s, "silent=1");
  send_some (s, &t, "bookings-while-the-store-is-away", "/once/ok");
  site_destroy (s);
  printf ("demo of a platform: answered=%u refused=%u failed=%u "
          "run_twice=%u\n",
          t.answered, t.refused, t.failed, t.run_twice);
  return t.answered == 6 * EACH && t.run_twice == 0 ? 0 : 1;
}
