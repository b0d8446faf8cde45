/** @file
    Model requests on platform routes: placement on engines that prefill at a
    known rate, remote prefill, load shedding and a frozen VM.  */
#include "harness/site.h"
#include "process/common.h"

#include <signal.h>
#include <string.h>

#define VMS 4
#define SERVICES 1
/* One prefill-only engine and two that prefill and decode; their numbers
   follow those of the services.  */
#define FIRST_ENGINE SERVICES
#define ENGINES 3
/* Rate of the prefill-only engine; the others prefill at half of it.  */
#define PREFILL_TOKENS_PER_MS 300
#define BURST_REQUESTS 64
#define BURST_PROMPT_TOKENS 9000
#define RESPONSE_TIMEOUT_MS 10000
/* Sent as X-Deadline-Ms.  */
#define CALLER_DEADLINE_MS 2000

static struct site *site;

/* Headers for a prompt of TOKENS tokens; PARTS lists its parts in order,
   "ID:TOKENS,...".  */
static char *
model_headers (unsigned tokens, const char *parts)
{
  return g_strdup_printf ("X-Token-Counts: %u,2\r\n"
                          "X-Prompt-Prefix: %s\r\n"
                          "X-Deadline-Ms: %u\r\n",
                          tokens, parts, CALLER_DEADLINE_MS);
}

static struct web *
open_model_request (unsigned vm, const char *id, unsigned tokens,
                    const char *parts)
{
  g_autofree char *headers = model_headers (tokens, parts);
  return site_send_request (site, vm, "GET", "/model/x", id, headers, NULL);
}

static struct web *
run_model_request (unsigned vm, const char *id, unsigned tokens,
                   const char *parts)
{
  struct web *w = open_model_request (vm, id, tokens, parts);
  web_read_response (w, RESPONSE_TIMEOUT_MS);
  return w;
}

static void
check_response (const struct web *w)
{
  g_assert_cmpint (w->status, ==, 200);
  g_assert_true (w->complete);
  g_assert_cmpstr (w->body->str, ==,
                   "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n");
}

/* Returns the number of lines in the engines' logs that contain ID and FIELD;
   stores the largest number that follows FIELD in LARGEST, 0 for none.  */
static unsigned
count_log_lines (const char *id, const char *field, double *largest)
{
  unsigned n_lines = 0;
  *largest = 0;
  for (unsigned i = FIRST_ENGINE; i < FIRST_ENGINE + ENGINES; i++)
    {
      g_autofree char *log = site_upstream_log (site, i);
      g_auto (GStrv) lines = g_strsplit (log, "\n", -1);
      for (char **l = lines; *l; l++)
        {
          const char *at = strstr (*l, field);
          if (at == NULL || strstr (*l, id) == NULL)
            continue;
          n_lines++;
          *largest
              = MAX (*largest, g_ascii_strtod (at + strlen (field), NULL));
        }
    }
  return n_lines;
}

/* A long prompt is prefilled once and its request runs once.  A later prompt
   that starts with the same parts is prefilled only from where it differs.  */
static void
test_prefill_once (void)
{
  double tokens = 0;
  struct web *w
      = run_model_request (0, "first-of-two", 9000, "aa:2500,bb:3500,c1:3000");
  check_response (w);
  web_close (w);
  g_assert_cmpuint (site_runs (site, -1, "first-of-two"), ==, 1);
  g_assert_cmpuint (count_log_lines ("read=first-of-two", "tokens=", &tokens),
                    ==, 1);
  g_assert_cmpfloat (tokens, ==, 9000);
  /* This VM did not handle the first request; it must still choose the engine
     that holds the KV cache of the shared parts.  */
  w = run_model_request (1, "second-of-two", 9000, "aa:2500,bb:3500,c2:3000");
  check_response (w);
  web_close (w);
  g_assert_cmpuint (count_log_lines ("read=second-of-two", "tokens=", &tokens),
                    ==, 1);
  g_assert_cmpfloat (tokens, ==, 3000);
}

static void
test_short_prompt (void)
{
  double tokens = 0;
  struct web *w = run_model_request (2, "short-one", 300, "dd:100,d1:200");
  check_response (w);
  web_close (w);
  g_assert_cmpuint (site_runs (site, -1, "short-one"), ==, 1);
  g_assert_cmpuint (count_log_lines ("read=short-one", "tokens=", &tokens), ==,
                    1);
}

/* Sends BURST_REQUESTS prompts without shared parts at once, over all VMs.
   Returns the number of requests that succeeded, each of which must have run
   once; the others must be refused with 503 and Retry-After, and not run.  */
static unsigned
send_burst (const char *name)
{
  struct web *requests[BURST_REQUESTS];
  unsigned succeeded = 0;
  for (unsigned i = 0; i < BURST_REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("%s-%u.", name, i);
      g_autofree char *parts
          = g_strdup_printf ("%x:%u", 4096 + i, BURST_PROMPT_TOKENS);
      requests[i]
          = open_model_request (i % VMS, id, BURST_PROMPT_TOKENS, parts);
    }
  for (unsigned i = 0; i < BURST_REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("%s-%u.", name, i);
      struct web *w = requests[i];
      web_read_response (w, RESPONSE_TIMEOUT_MS);
      if (w->status == 200)
        {
          check_response (w);
          succeeded++;
        }
      else
        {
          g_autofree char *retry_after = web_header (w, "Retry-After");
          g_assert_cmpint (w->status, ==, 503);
          g_assert_nonnull (retry_after);
        }
      g_assert_cmpuint (site_runs (site, -1, id), ==, w->status == 200);
      web_close (w);
    }
  return succeeded;
}

/* Guards against placing a prompt on an engine that can't prefill it in time:
   all VMs get far more prompts at once than the engines can prefill, and no
   prompt may wait at an engine for longer than the routes' target latency.  */
static void
test_burst (void)
{
  double queue_ms = 0;
  unsigned succeeded = send_burst ("crowd");
  (void)count_log_lines ("read=crowd", "queue_ms=", &queue_ms);
  g_test_message (
      "%u of %u requests succeeded; longest wait at an engine %.0f ms",
      succeeded, BURST_REQUESTS, queue_ms);
  g_assert_cmpuint (succeeded, >, 0);
  g_assert_cmpuint (succeeded, <, BURST_REQUESTS);
  g_assert_cmpfloat (queue_ms, <=, SITE_TARGET_MS);
}

/* Each VM in turn is frozen, whether it is the home VM of an engine or not:
   requests through the others still succeed.  */
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
          struct web *w = run_model_request (i, id, 2000, parts);
          check_response (w);
          web_close (w);
          g_assert_cmpuint (site_runs (site, -1, id), ==, 1);
        }
      proc_signal (site->vms[vm], SIGCONT);
    }
}

/* No request was decoded from KV cache that was prefilled for another one; an
   engine logs "mixed=ID" where that happens.  */
static void
test_no_foreign_kv_cache (void)
{
  double unused = 0;
  g_assert_cmpuint (count_log_lines ("mixed=", "mixed=", &unused), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  site = site_create (program_directory (), VMS, SERVICES);
  site_add_engine (site, "prefill", PREFILL_TOKENS_PER_MS);
  for (unsigned i = 1; i < ENGINES; i++)
    site_add_engine (site, "decode", PREFILL_TOKENS_PER_MS);
  site_start (site);
  g_test_add_func ("/models/prefill-once", test_prefill_once);
  g_test_add_func ("/models/short-prompt", test_short_prompt);
  g_test_add_func ("/models/prompt-burst", test_burst);
  g_test_add_func ("/models/home-vm-frozen", test_home_frozen);
  g_test_add_func ("/models/no-foreign-kv-cache", test_no_foreign_kv_cache);
  int status = g_test_run ();
  site_destroy (site);
  return status;
}
