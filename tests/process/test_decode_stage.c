/** @file
    Process tests of model requests where the decode stage binds: engines
    prefill fast, and fetch KV caches from each other slowly.  */
#include "harness/site.h"
#include "process/common.h"

#include <string.h>

#define VMS 4
#define SERVICES 1
#define FIRST_ENGINE SERVICES
#define PREFILL_ENGINES 2
#define DECODE_ENGINES 2
#define ENGINES (PREFILL_ENGINES + DECODE_ENGINES)
#define PREFILL_TOKENS_PER_MS 1000
/* A decode engine serves 10 prompts a second, prefilled elsewhere.  */
#define KV_FETCH_MS 100
#define ROUNDS 12
#define ROUND_US 250000
#define REQUESTS_PER_ROUND 20
#define REQUESTS (ROUNDS * REQUESTS_PER_ROUND)
#define RESPONSE_TIMEOUT_MS 10000
/* Most requests refused by engines, and prompts prefilled for nothing.  */
#define WASTE_MAX_PERCENT 5

static struct site *site;

static struct web *
open_request (unsigned i)
{
  g_autofree char *id = g_strdup_printf ("slow-link-%u.", i);
  g_autofree char *headers
      = g_strdup_printf ("X-Token-Counts: %u,2\r\nX-Prompt-Prefix: %x:%u\r\n"
                         "X-Deadline-Ms: 2000\r\n",
                         KV_FETCH_TOKENS, 4096 + i, KV_FETCH_TOKENS);
  return site_send_request (site, i % VMS, "GET", "/model/x", id, headers,
                            NULL);
}

static unsigned
count_lines (const char *text)
{
  return site_count_upstream_lines (site, FIRST_ENGINE, ENGINES, text);
}

/* Guards against prefilling prompts that no engine can decode in time: callers
   are refused before the prefill, and truthfully.  */
static void
test_slow_links (void)
{
  struct web *requests[REQUESTS];
  unsigned answered = 0;
  unsigned refused = 0;
  for (unsigned round = 0; round < ROUNDS; round++)
    {
      for (unsigned i = 0; i < REQUESTS_PER_ROUND; i++)
        requests[round * REQUESTS_PER_ROUND + i]
            = open_request (round * REQUESTS_PER_ROUND + i);
      g_usleep (ROUND_US);
    }
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      struct web *w = requests[i];
      g_autofree char *id = g_strdup_printf ("slow-link-%u.", i);
      web_read_response (w, RESPONSE_TIMEOUT_MS);
      answered += w->status == 200 && w->complete;
      refused += w->status == 503;
      if (w->status == 503)
        g_assert_cmpuint (site_runs (site, -1, id), ==, 0);
      web_close (w);
    }
  unsigned prefilled = count_lines ("read=slow-link");
  unsigned ran = count_lines ("run=slow-link");
  unsigned turned_away = count_lines ("refused=slow-link");
  g_test_message ("answered %u, refused %u of %u; prefilled %u, ran %u, "
                  "refused by engines %u",
                  answered, refused, REQUESTS, prefilled, ran, turned_away);
  g_assert_cmpuint (answered, >, 0);
  g_assert_cmpuint (refused, >, 0);
  g_assert_cmpuint (turned_away * 100, <=, REQUESTS * WASTE_MAX_PERCENT);
  g_assert_cmpuint ((prefilled - MIN (answered, prefilled)) * 100, <=,
                    prefilled * WASTE_MAX_PERCENT);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  site = site_create (program_directory (), VMS, SERVICES);
  site->kv_fetch_ms = KV_FETCH_MS;
  site_write_routes (site, 2, NULL);
  for (unsigned i = 0; i < ENGINES; i++)
    site_add_engine (site, i < PREFILL_ENGINES ? "prefill" : "decode",
                     PREFILL_TOKENS_PER_MS);
  site_start (site);
  g_test_add_func ("/decode-stage/slow-links", test_slow_links);
  int status = g_test_run ();
  site_destroy (site);
  return status;
}
