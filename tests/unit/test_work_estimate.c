/** @file
    Unit tests of the work estimates and of the model of steps.  */
#include "decide/step_model.h"
#include "decide/upstreams.h"
#include "decide/work_estimate.h"

#include <glib.h>
#include <string.h>

static void
record (struct work_estimates *w, const char *route, uint64_t max_tokens,
        double events)
{
  struct work_key key = { route, "s", max_tokens, 0 };
  struct work_done done = { .values = { events, events * 40, events * 50 } };
  work_estimates_record (w, &key, &done);
}

static struct work_estimate
find (const struct work_estimates *w, const char *route, uint64_t max_tokens)
{
  struct work_key key = { route, "s", max_tokens, 0 };
  return work_estimates_find (w, &key, WORK_EVENTS);
}

/* Guards against a wrong mean or quantile, and against events beyond the
   stated maximum of tokens.  */
static void
test_estimate (void)
{
  struct work_estimates *w = work_estimates_create ();
  struct work_key key = { "r", "s", 0, 0 };
  g_assert_cmpfloat (find (w, "r", 0).samples, ==, 0);
  g_assert_cmpfloat (work_estimates_left (w, &key, 5), ==, 0);
  for (unsigned i = 1; i <= 200; i++)
    record (w, "r", 0, i);
  struct work_estimate e = find (w, "r", 0);
  g_assert_cmpfloat (e.mean, >, 90);
  g_assert_cmpfloat (e.mean, <, 130);
  g_assert_cmpfloat (e.low, <, 35);
  g_assert_cmpfloat (e.median, >, 85);
  g_assert_cmpfloat (e.high, >, 165);
  g_assert_cmpfloat (find (w, "r", 50).mean, <=, 50);
  struct work_estimate ms = work_estimates_find (w, &key, WORK_MS);
  g_assert_cmpfloat (ms.mean / e.mean, >, 45);
  g_assert_cmpfloat (ms.mean / e.mean, <, 55);
  work_estimates_destroy (w);
}

/* Guards against a remainder that forgets that large answers last longer: of
   answers with 10 or 160 events, one that has sent 20 has about 140 left.  */
static void
test_left (void)
{
  struct work_estimates *w = work_estimates_create ();
  struct work_key key = { "r", "s", 0, 0 };
  struct work_key bounded = { "r", "s", 30, 0 };
  for (unsigned i = 0; i < 100; i++)
    record (w, "r", 0, i % 10 == 0 ? 160 : 10);
  g_assert_cmpfloat (work_estimates_left (w, &key, 0), <, 40);
  g_assert_cmpfloat (work_estimates_left (w, &key, 20), >, 125);
  g_assert_cmpfloat (work_estimates_left (w, &key, 20), <, 175);
  g_assert_cmpfloat (work_estimates_left (w, &key, 1000), >, 0);
  g_assert_cmpfloat (work_estimates_left (w, &bounded, 20), <=, 10);
  work_estimates_destroy (w);
}

/* A route without requests is expected to be like its service, and a class
   like its route until it has requests of its own.  Old requests are
   forgotten.  */
static void
test_priors (void)
{
  struct work_estimates *w = work_estimates_create ();
  for (unsigned i = 0; i < 100; i++)
    record (w, "r", 1000, 100);
  g_assert_cmpfloat (find (w, "new", 0).mean, >, 80);
  g_assert_cmpfloat (find (w, "r", 8000).mean, >, 80);
  for (unsigned i = 0; i < 100; i++)
    record (w, "r", 8000, 10);
  g_assert_cmpfloat (find (w, "r", 8000).mean, <, 25);
  g_assert_cmpfloat (find (w, "r", 1000).mean, >, 80);
  for (unsigned i = 0; i < 4000; i++)
    record (w, "r", 0, 5);
  g_assert_cmpfloat (find (w, "r", 0).mean, <, 7);
  work_estimates_destroy (w);
}

/* A length that callers state is used as far as it goes with the events: those
   that state 3000 get 150 events, those that state 100 get 10, and the stated
   lengths of a route with answers of one size change nothing.  */
static void
test_hints (void)
{
  struct work_estimates *w = work_estimates_create ();
  for (unsigned i = 0; i < 100; i++)
    {
      bool is_large = i % 2;
      struct work_key key = { "r", "s", 20000, is_large ? 3000 : 100 };
      struct work_key same = { "same", "t", 20000, is_large ? 3000 : 100 };
      struct work_done done = { .values = { is_large ? 150 : 10 } };
      struct work_done one = { .values = { 50 } };
      work_estimates_record (w, &key, &done);
      work_estimates_record (w, &same, &one);
    }
  struct work_key large = { "r", "s", 20000, 3000 };
  struct work_key small = { "r", "s", 20000, 100 };
  struct work_key same = { "same", "t", 20000, 3000 };
  struct work_key unstated = { "r", "s", 20000, 0 };
  g_assert_cmpfloat (work_estimates_find (w, &large, WORK_EVENTS).median, >,
                     120);
  g_assert_cmpfloat (work_estimates_find (w, &small, WORK_EVENTS).median, <,
                     20);
  g_assert_cmpfloat (work_estimates_find (w, &same, WORK_EVENTS).median, <,
                     70);
  double mean = work_estimates_find (w, &unstated, WORK_EVENTS).mean;
  g_assert_cmpfloat (mean, >, 60);
  g_assert_cmpfloat (mean, <, 100);
  work_estimates_destroy (w);
}

/* Guards against growth without bound by routes that come and go.  */
static void
test_many_routes (void)
{
  struct work_estimates *w = work_estimates_create ();
  for (unsigned i = 0; i < 5000; i++)
    {
      g_autofree char *name = g_strdup_printf ("r%u", i);
      record (w, name, 100, 10);
    }
  g_assert_cmpfloat (find (w, "r4999", 0).samples, >, 0);
  g_assert_cmpfloat (find (w, "r4999", 0).mean, <, 15);
  work_estimates_destroy (w);
}

/* A slow engine is known after a second of one stream, the curve grows with
   the batch, and the pace is forgotten.  */
static void
test_steps (void)
{
  struct step_curve c = { 0 };
  struct step_pace fast = { 0 };
  struct step_pace slow = { 0 };
  int64_t now = 1000;
  for (unsigned i = 0; i < 200; i++, now += 50)
    {
      unsigned batch = 1 + i % 12;
      struct step_sample s
          = { .gap_ms = 20 + 2 * batch, .events = 1, .batch = batch };
      step_model_learn (&c, &fast, &s, now);
    }
  g_assert_cmpfloat (step_model_gap_ms (&c, 2), <, 30);
  g_assert_cmpfloat (step_model_gap_ms (&c, 12), >, 36);
  g_assert_true (step_model_is_fresh (&c, now));
  for (unsigned i = 0; i < 20; i++, now += 50)
    {
      struct step_sample s = { .gap_ms = 60, .events = 1, .batch = 5 };
      step_model_learn (&c, &slow, &s, now);
    }
  g_assert_cmpfloat (step_model_pace (&slow, now), >, 1.4);
  g_assert_cmpfloat (step_model_pace (&slow, now), >,
                     1.3 * step_model_pace (&fast, now));
  g_assert_cmpfloat (step_model_pace (&slow, now + 15000), <, 1.05);
  g_assert_false (step_model_is_fresh (&c, now + 15000));
}

/* Guards against estimates that one stall or an impossible sample ruins.  */
static void
test_wild_samples (void)
{
  struct step_curve c = { 0 };
  struct step_pace p = { 0 };
  static const struct step_sample samples[]
      = { { 0, 1, 1 },   { -5, 1, 1 }, { 30, 0, 1 },
          { 1e9, 1, 1 }, { 30, 5, 1 }, { 0.0 / 1.0, 1, 4000000000U } };
  for (unsigned i = 0; i < G_N_ELEMENTS (samples); i++)
    step_model_learn (&c, &p, &samples[i], 1000 + i);
  g_assert_cmpfloat (step_model_gap_ms (&c, 1), >, 20);
  g_assert_cmpfloat (step_model_gap_ms (&c, 1), <, 40);
  for (unsigned i = 0; i < 1000; i++)
    step_model_learn_peak (&c, 4000, 1);
  g_assert_cmpfloat (step_model_longest_ms (&c, 10), <=, 200);
  g_assert_cmpuint (step_model_batch_max (&c, 1, 200, 24), >=, 1);
  g_assert_cmpuint (step_model_batch_max (&c, 1, 1e9, 24), ==, 24);
}

static const char *
region_of (void *arg, const char *domain)
{
  (void)arg;
  (void)domain;
  return "north";
}

/* The events of a stream count as expected work of its engine until it ends,
   and what another VM reports counts too.  */
static void
test_events_left (void)
{
  static const struct upstream_locality here
      = { .failure_domain = "n1", .region = "north", .region_of = region_of };
  struct upstreams *u = upstreams_create (&here);
  struct upstream_info info = { .id = (char *)"a",
                                .service = (char *)"s",
                                .address = (char *)"127.0.0.1:1",
                                .failure_domain = (char *)"n1",
                                .software_version = (char *)"v1",
                                .slots = 4,
                                .role = UPSTREAM_DECODE };
  upstreams_put (u, &info);
  upstream_handle h = upstreams_find (u, "a");
  struct prompt p = { .n_parts = 1, .tokens = 200 };
  struct upstream_choice c
      = { .handle = h, .work = UPSTREAM_WORK_SHORT_PROMPT, .events = 72 };
  struct upstream_work work;
  struct upstream_load own = { 0 };
  upstreams_tick (u, 900);
  upstreams_record_sent (u, &c, &p, 1000, &work);
  g_assert_cmpuint (upstreams_all_load (u, h, 1000).events_left, ==, 72);
  for (unsigned i = 0; i < 20; i++)
    {
      upstreams_tick (u, 1100 + i * 40);
      upstreams_record_events (u, &work, 1, 70 - i, 1100 + i * 40);
    }
  upstreams_add_stream_load (u, h, 1900, &own);
  g_assert_cmpuint (own.events_left, ==, 51);
  g_assert_cmpuint (own.gap_us, ==, 40000);
  g_assert_cmpuint (own.gap_events, >, 5);
  upstreams_set_peer_load (u, "vm-2", "a", &own, 1900);
  g_assert_cmpuint (upstreams_all_load (u, h, 1900).events_left, ==, 102);
  upstreams_record_cancel (u, &work);
  g_assert_cmpuint (upstreams_all_load (u, h, 1900).events_left, ==, 51);
  upstreams_destroy (u);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/work-estimate/quantiles", test_estimate);
  g_test_add_func ("/work-estimate/left", test_left);
  g_test_add_func ("/work-estimate/priors", test_priors);
  g_test_add_func ("/work-estimate/hints", test_hints);
  g_test_add_func ("/work-estimate/many-routes", test_many_routes);
  g_test_add_func ("/step-model/pace", test_steps);
  g_test_add_func ("/step-model/wild-samples", test_wild_samples);
  g_test_add_func ("/upstreams/events-left", test_events_left);
  return g_test_run ();
}
