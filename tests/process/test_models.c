/** @file
    Model requests as processes: VMs between callers and engines that read
    prompts, apart or whole, at a stated speed.  */
#include "harness/site.h"
#include "process/common.h"

#include <signal.h>
#include <string.h>

#define VMS 4
#define SERVICES 1
/* Engines: one that only reads, two that also generate.  */
#define FIRST_ENGINE SERVICES
#define ENGINES 3
#define SPEED 300
#define CROWD 64
#define CROWD_TOKENS 9000
#define ANSWER_MS 10000
/* Callers wait this long.  */
#define PATIENCE_MS 2000

static struct site *site;

static char *
model_headers (unsigned tokens, const char *parts)
{
  return g_strdup_printf ("X-Token-Counts: %u,2\r\n"
                          "X-Prompt-Prefix: %s\r\n"
                          "X-Deadline-Ms: %u\r\n",
                          tokens, parts, PATIENCE_MS);
}

static struct web *
open_model (unsigned vm, const char *id, unsigned tokens, const char *parts)
{
  g_autofree char *headers = model_headers (tokens, parts);
  return site_open (site, vm, "GET", "/model/x", id, headers, NULL);
}

static struct web *
ask_model (unsigned vm, const char *id, unsigned tokens, const char *parts)
{
  struct web *w = open_model (vm, id, tokens, parts);
  web_finish (w, ANSWER_MS);
  return w;
}

static void
expect_events (const struct web *w)
{
  g_assert_cmpint (w->status, ==, 200);
  g_assert_true (w->whole);
  g_assert_cmpstr (w->body->str, ==,
                   "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n");
}

/* Sum of the numbers behind FIELD in the engines' logs, and the largest one.
 */
static unsigned
told (const char *id, const char *field, double *largest)
{
  unsigned lines = 0;
  *largest = 0;
  for (unsigned i = FIRST_ENGINE; i < FIRST_ENGINE + ENGINES; i++)
    {
      g_autofree char *log = site_upstream_log (site, i);
      g_auto (GStrv) all = g_strsplit (log, "\n", -1);
      for (char **l = all; *l; l++)
        {
          const char *at = strstr (*l, field);
          if (at == NULL || strstr (*l, id) == NULL)
            continue;
          lines++;
          *largest
              = MAX (*largest, g_ascii_strtod (at + strlen (field), NULL));
        }
    }
  return lines;
}

/* A long prompt is read and answered once; its shared parts, asked for again,
   are not read again.  */
static void
test_read_once (void)
{
  double tokens = 0;
  struct web *w
      = ask_model (0, "first-of-two", 9000, "aa:2500,bb:3500,c1:3000");
  expect_events (w);
  web_close (w);
  g_assert_cmpuint (site_runs (site, -1, "first-of-two"), ==, 1);
  g_assert_cmpuint (told ("read=first-of-two", "tokens=", &tokens), ==, 1);
  g_assert_cmpfloat (tokens, ==, 9000);
  /* Another VM, which knows nothing of the first, finds the same engine.  */
  w = ask_model (1, "second-of-two", 9000, "aa:2500,bb:3500,c2:3000");
  expect_events (w);
  web_close (w);
  g_assert_cmpuint (told ("read=second-of-two", "tokens=", &tokens), ==, 1);
  g_assert_cmpfloat (tokens, ==, 3000);
}

static void
test_short (void)
{
  double tokens = 0;
  struct web *w = ask_model (2, "short-one", 300, "dd:100,d1:200");
  expect_events (w);
  web_close (w);
  g_assert_cmpuint (site_runs (site, -1, "short-one"), ==, 1);
  g_assert_cmpuint (told ("read=short-one", "tokens=", &tokens), ==, 1);
}

/* Sends CROWD prompts that share nothing, over all VMs, in the same moment.
   Returns how many were answered; none may be in doubt.  */
static unsigned
send_crowd (const char *name)
{
  struct web *open[CROWD];
  unsigned answered = 0;
  for (unsigned i = 0; i < CROWD; i++)
    {
      g_autofree char *id = g_strdup_printf ("%s-%u.", name, i);
      g_autofree char *parts
          = g_strdup_printf ("%x:%u", 4096 + i, CROWD_TOKENS);
      open[i] = open_model (i % VMS, id, CROWD_TOKENS, parts);
    }
  for (unsigned i = 0; i < CROWD; i++)
    {
      g_autofree char *id = g_strdup_printf ("%s-%u.", name, i);
      struct web *w = open[i];
      web_finish (w, ANSWER_MS);
      if (w->status == 200)
        {
          expect_events (w);
          answered++;
        }
      else
        {
          g_autofree char *after = web_header (w, "Retry-After");
          g_assert_cmpint (w->status, ==, 503);
          g_assert_nonnull (after);
        }
      g_assert_cmpuint (site_runs (site, -1, id), ==, w->status == 200);
      web_close (w);
    }
  return answered;
}

/* Far more than the engines can read in time comes to all VMs at once: none
   is sent to an engine that could only read it late.  */
static void
test_crowd (void)
{
  double queue_ms = 0;
  unsigned answered = send_crowd ("crowd");
  (void)told ("read=crowd", "queue_ms=", &queue_ms);
  g_test_message ("answered %u of %u, longest queue %.0f ms", answered, CROWD,
                  queue_ms);
  g_assert_cmpuint (answered, >, 0);
  g_assert_cmpuint (answered, <, CROWD);
  g_assert_cmpfloat (queue_ms, <=, SITE_TARGET_MS);
}

/* The same while one VM, which is the home of some engine or of none, stands
   still or is gone: requests to the others are still answered.  */
static void
test_home_frozen (void)
{
  for (unsigned vm = 0; vm < VMS; vm++)
    {
      proc_signal (site->vms[vm], SIGSTOP);
      for (unsigned i = 0; i < VMS; i++)
        {
          g_autofree char *id = g_strdup_printf ("frozen-%u-%u", vm, i);
          g_autofree char *parts = g_strdup_printf ("f%x%x:2000", vm, i);
          if (i == vm)
            continue;
          struct web *w = ask_model (i, id, 2000, parts);
          expect_events (w);
          web_close (w);
          g_assert_cmpuint (site_runs (site, -1, id), ==, 1);
        }
      proc_signal (site->vms[vm], SIGCONT);
    }
}

/* No engine was asked to go on from what was read for another request.  */
static void
test_none_mixed (void)
{
  double none = 0;
  g_assert_cmpuint (told ("mixed=", "mixed=", &none), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  programs_init (argv[0]);
  site = site_create (programs (), VMS, SERVICES);
  site_add_engine (site, "prefill", SPEED);
  for (unsigned i = 1; i < ENGINES; i++)
    site_add_engine (site, "decode", SPEED);
  site_start (site);
  g_test_add_func ("/models/read-once", test_read_once);
  g_test_add_func ("/models/short", test_short);
  g_test_add_func ("/models/crowd", test_crowd);
  g_test_add_func ("/models/home-frozen", test_home_frozen);
  g_test_add_func ("/models/none-mixed", test_none_mixed);
  int status = g_test_run ();
  site_destroy (site);
  return status;
}
