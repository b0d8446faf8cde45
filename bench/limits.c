/** @file
    Benchmark of limits of requests a second that upstreams state: processor
    time that one request takes for its token, and that a home VM takes to lend
    one.  */
#include "decide/placement.h"
#include "decide/rate_lender.h"
#include "decide/upstreams.h"

#include <glib.h>
#include <stdio.h>

#define REQUESTS 1000000
#define LOANS 20000
#define VMS 360
#define UPSTREAMS 45
/* us that the issue of these limits allows a request.  */
#define REQUEST_US_TARGET 0.2

static const char *
region_of (void *arg, const char *failure_domain)
{
  (void)arg;
  return failure_domain;
}

static struct upstreams *
create_table (void)
{
  struct upstream_locality here
      = { .failure_domain = "z", .region = "r", .region_of = region_of };
  struct upstreams *u = upstreams_create (&here);
  for (unsigned i = 0; i < UPSTREAMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("u%u", i);
      struct upstream_info info = { .id = id,
                                    .service = (char *)"s",
                                    .address = (char *)"127.0.0.1:1",
                                    .failure_domain = (char *)"z",
                                    .software_version = (char *)"1",
                                    .slots = 6 };
      upstreams_put (u, &info);
    }
  return u;
}

static double
report (const char *name, gint64 start_us, unsigned count)
{
  double us = (double)(g_get_monotonic_time () - start_us) / count;
  printf ("bench name=limits/%s metric=processor value=%.3f unit=us "
          "baseline=%.2f ratio=%.2f\n",
          name, us, REQUEST_US_TARGET, us / REQUEST_US_TARGET);
  return us;
}

/* Each request is checked for instances without a token, of which there are
   none.  */
static double
measure_check (void)
{
  struct upstreams *u = create_table ();
  struct placement_request q = { .service = "s" };
  unsigned lacking = 0;
  gint64 start_us = g_get_monotonic_time ();
  for (unsigned i = 0; i < REQUESTS; i++)
    lacking += placement_lacks_token (u, &q, 1000);
  double us = report ("check", start_us, REQUESTS);
  g_assert_cmpuint (lacking, ==, 0);
  upstreams_destroy (u);
  return us;
}

/* A token is taken for each request, and lent again.  */
static double
measure_tokens (void)
{
  struct upstreams *u = create_table ();
  upstream_handle h = upstreams_find (u, "u7");
  struct upstream_rate *r = upstreams_rate (u, h);
  unsigned taken = 0;
  rate_limit_state (&r->limit, 5, 1);
  gint64 start_us = g_get_monotonic_time ();
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      rate_tokens_lend (&r->tokens, 1, i + 1, 1, 1000);
      taken += upstreams_take_token (u, h, 1000);
    }
  double us = report ("token", start_us, REQUESTS);
  g_assert_cmpuint (taken, ==, REQUESTS);
  upstreams_destroy (u);
  return us;
}

static void
count_loan (void *arg, const char *upstream, const char *vm, unsigned count,
            int64_t asked_ms)
{
  (void)upstream;
  (void)vm;
  (void)asked_ms;
  unsigned *lent = arg;
  *lent += count;
}

/* All VMs ask in turn, and the bucket is stepped each time.  */
static void
measure_lender (void)
{
  struct rate_lender *l = rate_lender_create ();
  char names[VMS][8];
  unsigned lent = 0;
  for (unsigned i = 0; i < VMS; i++)
    g_snprintf (names[i], sizeof names[i], "vm-%u", i);
  gint64 start_us = g_get_monotonic_time ();
  for (unsigned i = 0; i < LOANS; i++)
    {
      struct rate_request q = { .upstream = "u",
                                .vm = names[i % VMS],
                                .per_s = 100,
                                .wanted = 1,
                                .asked_ms = i };
      rate_lender_ask (l, &q, i);
      rate_lender_step (l, 1, i, count_loan, &lent);
    }
  (void)report ("ask", start_us, LOANS);
  g_assert_cmpuint (lent, >, 0);
  rate_lender_destroy (l);
}

int
main (void)
{
  double us = measure_check () + measure_tokens ();
  measure_lender ();
  printf ("bound name=limits/request value=%.3f <= %.2f %s\n", us,
          REQUEST_US_TARGET, us <= REQUEST_US_TARGET ? "met" : "NOT MET");
  return us <= REQUEST_US_TARGET ? 0 : 1;
}
