/** @file
    What is old when it is used: a VM that was frozen with requests under way
    and goes on, and an address that another instance got.  */
#include "harness/site.h"
#include "process/common.h"

#include <signal.h>
#include <string.h>

/* Longer than the 2 s for which routes wait for an answer.  */
#define FROZEN_US 3000000
#define UNDER_WAY_US 100000
/* An instance that leaves gets no more within as long; less than on the users'
   sites, as a setting says.  */
#define LEAVES_MS 1200
#define WHOLE_MS 10000
/* All is calm as long after the store is back.  */
#define CALM_MS 4000
#define VMS 2
#define UPSTREAMS 2
#define BURST 20

static struct site *site;

/* Whether what W says of a request that may run once agrees with its runs.  */
static void
check_truth (const struct web *w, const char *id)
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
freeze (void)
{
  proc_signal (site->vms[0], SIGSTOP);
}

static void
wake (void)
{
  g_usleep (FROZEN_US);
  proc_signal (site->vms[0], SIGCONT);
}

/* Everything becomes of requests while their VM stands still; what it then
   says of each is true, and none runs again.  */
static void
test_under_way (void)
{
  static const char *const paths[]
      = { "/once/slow",     "/once/silent",     "/once/lost",
          "/once/reset",    "/once/not-run@u0", "/once/not-run@u1",
          "/once/unsigned", "/once/busy",       "/live/stream",
          "/once/unframed" };
  struct web *webs[G_N_ELEMENTS (paths)];
  freeze ();
  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      g_autofree char *id = g_strdup_printf ("before-%zu", i);
      webs[i] = site_open (site, 0, "POST", paths[i], id, NULL, NULL);
    }
  /* They are read and sent, and frozen before most are answered.  */
  proc_signal (site->vms[0], SIGCONT);
  g_usleep (2000);
  freeze ();
  wake ();
  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      g_autofree char *id = g_strdup_printf ("before-%zu", i);
      web_finish (webs[i], WHOLE_MS);
      g_assert_cmpint (webs[i]->status, !=, 0);
      check_truth (webs[i], id);
      web_close (webs[i]);
    }
}

/* Callers that left while the VM stood still: what they sent may run, once. */
static void
test_callers_left (void)
{
  struct web *webs[BURST];
  freeze ();
  for (size_t i = 0; i < BURST; i++)
    {
      g_autofree char *id = g_strdup_printf ("left-%zu", i);
      webs[i] = site_open (site, 0, "POST", i % 2 ? "/once/ok" : "/once/lost",
                           id, NULL, NULL);
    }
  g_usleep (UNDER_WAY_US);
  for (size_t i = 0; i < BURST; i++)
    web_close (webs[i]);
  wake ();
  g_usleep (UNDER_WAY_US);
  for (size_t i = 0; i < BURST; i++)
    {
      g_autofree char *id = g_strdup_printf ("left-%zu", i);
      g_assert_cmpuint (site_runs (site, -1, id), <=, 1);
    }
  struct web *w = site_ask (site, 0, "GET", "/once/ok", "left-after");
  g_assert_cmpint (w->status, ==, 200);
  web_close (w);
}

static unsigned
runs_at_u0 (const char *name, unsigned *served)
{
  unsigned n = 0;
  for (unsigned i = 0; i < BURST; i++)
    {
      g_autofree char *id = g_strdup_printf ("%s-%u", name, i);
      struct web *w = site_ask (site, 0, "GET", "/once/ok", id);
      check_truth (w, id);
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

/* All VMs are lost at once and start again while the store refuses them: they
   refuse, truly, and serve soon after it is back.  */
static void
test_start_without_store (void)
{
  site_store_faults (site, "refuse=1");
  for (unsigned i = 0; i < VMS; i++)
    proc_kill (site->vms[i]);
  for (unsigned i = 0; i < VMS; i++)
    site_start_vm (site, i);
  g_usleep (FROZEN_US);
  for (unsigned i = 0; i < VMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("unready-%u", i);
      struct web *w = site_ask (site, i, "GET", "/safe/ok", id);
      g_autofree char *after = web_header (w, "Retry-After");
      g_assert_false (site_is_ready (site, i));
      g_assert_cmpint (w->status, ==, 503);
      g_assert_nonnull (after);
      g_assert_cmpuint (site_runs (site, -1, id), ==, 0);
      web_close (w);
    }
  site_store_faults (site, "refuse=0");
  site_wait (all_ready, NULL, CALM_MS);
  for (unsigned i = 0; i < VMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("ready-%u", i);
      struct web *w = site_ask (site, i, "GET", "/safe/ok", id);
      g_assert_cmpint (w->status, ==, 200);
      web_close (w);
    }
}

/* An instance that left while the VM stood still gets nothing once the VM has
   heard of it, and it hears of it in time.  */
static void
test_left_meanwhile (void)
{
  unsigned served = 0;
  freeze ();
  site_write_upstream (site, 0, NULL);
  wake ();
  (void)runs_at_u0 ("soon", &served);
  g_usleep (LEAVES_MS * 1000);
  g_assert_cmpuint (runs_at_u0 ("later", &served), ==, 0);
  g_assert_cmpuint (served, ==, 2 * BURST);
  site_write_upstream (site, 0, "ready");
  g_usleep (500000);
}

/* All instances leave at once, which looks like a fault of the store: they get
   no more within the time that the setting names all the same.  */
static void
test_all_leave (void)
{
  site_write_upstream (site, 0, NULL);
  site_write_upstream (site, 1, NULL);
  g_usleep (LEAVES_MS * 1000);
  for (unsigned i = 0; i < BURST; i++)
    {
      g_autofree char *id = g_strdup_printf ("none-%u", i);
      struct web *w = site_ask (site, i % VMS, "GET", "/safe/ok", id);
      g_assert_cmpint (w->status, ==, 503);
      g_assert_cmpuint (site_runs (site, -1, id), ==, 0);
      web_close (w);
    }
  site_write_upstream (site, 0, "ready");
  site_write_upstream (site, 1, "ready");
  g_usleep (500000);
}

static bool
serves_at (void *arg)
{
  static unsigned n;
  const unsigned *upstream = arg;
  g_autofree char *id = g_strdup_printf ("new-%u", n++);
  struct web *w = site_ask (site, 0, "GET", "/once/ok", id);
  check_truth (w, id);
  web_close (w);
  return site_runs (site, (int)*upstream, id) == 1;
}

/* An address that another instance has got: it runs nothing that was meant for
   the one before, what that one had under way is told as unknown, and the rest
   goes elsewhere.  */
static void
test_address_given_away (void)
{
  struct web *slow[BURST];
  for (unsigned i = 0; i < BURST; i++)
    {
      g_autofree char *id = g_strdup_printf ("away-%u", i);
      slow[i]
          = site_open (site, i % VMS, "POST", "/once/slow", id, NULL, NULL);
    }
  g_usleep (UNDER_WAY_US);
  g_autofree char *before = site_upstream_log (site, 0);
  unsigned heir = site_give_address (site, 0);
  for (unsigned i = 0; i < BURST; i++)
    {
      g_autofree char *id = g_strdup_printf ("away-%u", i);
      g_autofree char *run = g_strdup_printf ("run=%s ", id);
      bool was_there = strstr (before, run) != NULL;
      web_finish (slow[i], WHOLE_MS);
      g_assert_cmpint (slow[i]->status, ==, was_there ? 502 : 200);
      g_assert_cmpuint (site_runs (site, -1, id), ==, was_there ? 0 : 1);
      web_close (slow[i]);
    }
  unsigned served = 0;
  (void)runs_at_u0 ("meant-for-u0", &served);
  g_assert_cmpuint (served, ==, BURST);
  for (unsigned i = 0; i < BURST; i++)
    {
      g_autofree char *id = g_strdup_printf ("meant-for-u0-%u", i);
      g_assert_cmpuint (site_runs (site, (int)heir, id), ==, 0);
    }
  site_write_upstream (site, 0, NULL);
  site_write_upstream (site, heir, "ready");
  site_wait (serves_at, &heir, WHOLE_MS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  programs_init (argv[0]);
  site = site_create (programs (), VMS, UPSTREAMS);
  site->upstream_leave_ms = LEAVES_MS;
  site_start (site);
  g_test_add_func ("/wakes/under-way", test_under_way);
  g_test_add_func ("/wakes/callers-left", test_callers_left);
  g_test_add_func ("/wakes/start-without-store", test_start_without_store);
  g_test_add_func ("/wakes/left-meanwhile", test_left_meanwhile);
  g_test_add_func ("/wakes/all-leave", test_all_leave);
  g_test_add_func ("/wakes/address-given-away", test_address_given_away);
  int result = g_test_run ();
  site_destroy (site);
  return result;
}
