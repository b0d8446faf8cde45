/** @file
    Process test of the retry budget where a retry reaches two engines: one
    that prefills the prompt again, and one that decodes.  */
#include "harness/site.h"
#include "process/common.h"

#include <string.h>

#define VMS 2
#define SERVICES 1
#define FIRST_ENGINE SERVICES
#define PREFILL_ENGINES 2
#define DECODE_ENGINES 2
#define ENGINES (PREFILL_ENGINES + DECODE_ENGINES)
#define PREFILL_TOKENS_PER_MS 1000
#define PROMPT_TOKENS 3000
#define REQUESTS 160
#define INTERVAL_US 20000
#define RESPONSE_TIMEOUT_MS 10000
/* The budget: retries per request, and further ones of all VMs.  All requests
   lie in one window.  */
#define RETRY_RATIO 0.1
#define RETRY_SLACK 20
/* The engines that decode refuse each request.  */
#define PATH "/model/not-decoded"

static struct site *site;

static struct web *
open_request (unsigned i)
{
  g_autofree char *id = g_strdup_printf ("refused-%u.", i);
  g_autofree char *headers
      = g_strdup_printf ("X-Token-Counts: %u,2\r\nX-Prompt-Prefix: %x:%u\r\n"
                         "X-Deadline-Ms: 2000\r\n",
                         PROMPT_TOKENS, 4096 + i, PROMPT_TOKENS);
  return site_send_request (site, i % VMS, "GET", PATH, id, headers, NULL);
}

static unsigned
count_lines (const char *text)
{
  return site_count_upstream_lines (site, FIRST_ENGINE, ENGINES, text);
}

/* Arrivals of one request that cost no budget: the first one to run it and the
   first prefill.  */
static unsigned
free_arrivals (unsigned i)
{
  g_autofree char *run = g_strdup_printf ("arrived=refused-%u.", i);
  g_autofree char *prefill = g_strdup_printf ("read=refused-%u.", i);
  unsigned arrivals = count_lines (run);
  unsigned prefills = MIN (count_lines (prefill), 1);
  return prefills + MIN (arrivals - prefills, 1);
}

static void
test_prefill_of_a_retry_costs_budget (void)
{
  struct web *requests[REQUESTS];
  unsigned unpaid = 0;
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      requests[i] = open_request (i);
      g_usleep (INTERVAL_US);
    }
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      web_read_response (requests[i], RESPONSE_TIMEOUT_MS);
      g_assert_cmpint (requests[i]->status, ==, 503);
      web_close (requests[i]);
    }
  for (unsigned i = 0; i < REQUESTS; i++)
    unpaid += free_arrivals (i);
  unsigned extra = count_lines ("arrived=") - unpaid;
  unsigned allowed = (unsigned)(RETRY_RATIO * REQUESTS) + RETRY_SLACK;
  g_test_message ("arrivals beyond the first %u, allowed %u", extra, allowed);
  g_assert_cmpuint (extra, >, 0);
  g_assert_cmpuint (extra, <=, allowed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  site = site_create (program_directory (), VMS, SERVICES);
  site->retry_slack = RETRY_SLACK;
  for (unsigned i = 0; i < ENGINES; i++)
    site_add_engine (site, i < PREFILL_ENGINES ? "prefill" : "decode",
                     PREFILL_TOKENS_PER_MS);
  site_start (site);
  g_test_add_func ("/retry-arrivals/prefill-of-a-retry",
                   test_prefill_of_a_retry_costs_budget);
  int status = g_test_run ();
  site_destroy (site);
  return status;
}
