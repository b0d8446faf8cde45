/** @file
    Prefill/decode split over a day whose mix swings from long prompts to long
    answers and back, twice, on virtual time: how soon engines change their
    roles, and how full the engines of the streams run meanwhile.  Guards
    against engines that stay prefill-only while streams lack slots.  */
#include "decide/prefill_split.h"

#include <string.h>

#define ENGINES 24
#define DOMAINS 4
#define SLOTS 16
#define VMS 10
#define TICK_MS 50
#define DECIDE_MS 250
#define PHASE_MS 60000
/* Time for which an engine that changes its role takes no requests, and the
   time that its running requests may take before.  */
#define CHANGE_MS 2000
#define RUNNING_MS 1000
/* Longest time from a swing until the engines are ordered to change.  */
#define NOTICE_MS 3000
#define LONG_TOKENS 6000
#define SHORT_TOKENS 200
#define PREFILL_ENGINES_MAX (ENGINES * 55 / 100)
/* Largest share of the decode engines' slots that streams may fill, once the
   engines had the time to change.  */
#define FILL_MAX 0.85

/* Time until the first window of arrivals has ended, and steps in which
   engines become prefill-only.  */
#define FIRST_WINDOW_MS 2500
#define STEP_MS 5000
#define STEP_ENGINES (ENGINES * 12 / 100)

/* Arrivals of one phase of the day at all VMs.  */
struct mix
{
  unsigned long_per_s;
  unsigned short_per_s;
  unsigned answer_ms; /* time that each short prompt's answer takes */
};

static const struct mix prefill_mix = { 300, 10, 1000 };
/* 240 streams: 15 engines full.  */
static const struct mix answer_mix = { 2, 40, 6000 };
/* 110 streams, 0.63 of the slots of 11 engines.  */
static const struct mix mild_mix = { 2, 22, 5000 };
/* The same streams, and prompts that keep five engines busy.  */
static const struct mix busy_mix = { 250, 22, 5000 };

struct day
{
  struct upstreams *u;
  struct prefill_split *split;
  GArray *out;
  GQueue *ends; /* int64_t: when each stream ends, soonest first */
  int64_t now;
  double long_due; /* requests due at this VM */
  double short_due;
  double streams_due;
  int64_t changed_ms[ENGINES]; /* end of the latest change */
  unsigned changes[ENGINES];   /* in this phase */
  struct prefill_split_inputs inputs;
  bool is_blind;         /* no long prompt arrives at this VM */
  int64_t full_since_ms; /* since when the fill is above FILL_MAX; -1: no */
  int64_t longest_full_ms;
};

static const char *
region_of (void *arg, const char *failure_domain)
{
  (void)arg;
  (void)failure_domain;
  return "r";
}

static char *
engine_id (unsigned i)
{
  return g_strdup_printf ("e%u", i);
}

static const struct upstream_info *
engine (const struct day *d, unsigned i)
{
  g_autofree char *id = engine_id (i);
  return upstreams_info (d->u, upstreams_find (d->u, id));
}

static struct day
day_create (unsigned prefill_engines)
{
  static const struct upstream_locality locality
      = { "d0", "r", region_of, NULL };
  static const struct engine_limits limits
      = { .kv_tokens = 400000, .role_change_ms = CHANGE_MS };
  struct day d = { .u = upstreams_create (&locality),
                   .split = prefill_split_create (),
                   .ends = g_queue_new (),
                   .full_since_ms = -1 };
  d.out = g_array_new (FALSE, FALSE, sizeof (struct prefill_split_change));
  upstreams_set_engine_limits (d.u, "m", &limits);
  for (unsigned i = 0; i < ENGINES; i++)
    {
      g_autofree char *id = engine_id (i);
      g_autofree char *domain = g_strdup_printf ("d%u", i % DOMAINS);
      struct upstream_info info
          = { .id = id,
              .service = (char *)"m",
              .address = (char *)"10.0.0.1:80",
              .failure_domain = domain,
              .software_version = (char *)"v1",
              .slots = SLOTS,
              .role
              = i < prefill_engines ? UPSTREAM_PREFILL : UPSTREAM_DECODE };
      upstreams_put (d.u, &info);
    }
  return d;
}

static void
day_clear (struct day *d)
{
  g_queue_free_full (d->ends, g_free);
  g_array_unref (d->out);
  prefill_split_destroy (d->split);
  upstreams_destroy (d->u);
}

static unsigned
count_prefill (const struct day *d)
{
  unsigned n = 0;
  for (unsigned i = 0; i < ENGINES; i++)
    n += engine (d, i)->role == UPSTREAM_PREFILL;
  return n;
}

/* Whether engine I decodes and does not change its role now.  */
static bool
serves_streams (const struct day *d, unsigned i)
{
  return engine (d, i)->role == UPSTREAM_DECODE && d->now >= d->changed_ms[i];
}

static unsigned
count_serving (const struct day *d)
{
  unsigned n = 0;
  for (unsigned i = 0; i < ENGINES; i++)
    n += serves_streams (d, i);
  return n;
}

static void
record (struct day *d, uint64_t tokens, double per_s, double *due)
{
  struct prompt p = { .tokens = tokens, .out_tokens = 100 };
  *due += per_s / VMS * TICK_MS / 1000;
  for (; *due >= 1; *due -= 1)
    prefill_split_record_request (d->split, d->u, "m", &p, d->now);
}

/* Starts and ends streams, and reports them as the load of another VM, spread
   over the engines that serve streams.  */
static void
step_streams (struct day *d, const struct mix *mix)
{
  d->streams_due += (double)mix->short_per_s * TICK_MS / 1000;
  for (; d->streams_due >= 1; d->streams_due -= 1)
    {
      int64_t *end = g_new (int64_t, 1);
      *end = d->now + mix->answer_ms;
      g_queue_push_tail (d->ends, end);
    }
  while (!g_queue_is_empty (d->ends)
         && *(int64_t *)g_queue_peek_head (d->ends) <= d->now)
    g_free (g_queue_pop_head (d->ends));
  unsigned serving = MAX (count_serving (d), 1);
  unsigned left = g_queue_get_length (d->ends);
  unsigned each = (left + serving - 1) / serving;
  for (unsigned i = 0; i < ENGINES; i++)
    {
      g_autofree char *id = engine_id (i);
      unsigned n = serves_streams (d, i) ? MIN (each, left) : 0;
      bool prefills = engine (d, i)->role == UPSTREAM_PREFILL
                      && mix->long_per_s > ENGINES;
      struct upstream_load load = { .running = n + prefills, .generating = n };
      left -= n;
      upstreams_set_peer_load (d->u, "vm2", id, &load, d->now);
    }
}

static void
change (struct day *d, const struct prefill_split_change *c)
{
  g_autofree char *id = g_strdup (upstreams_info (d->u, c->upstream)->id);
  unsigned i = (unsigned)g_ascii_strtoull (id + 1, NULL, 10);
  prefill_split_record_order (d->split, id, c->to, d->now);
  upstreams_set_role (d->u, id, c->to);
  d->changed_ms[i] = d->now + RUNNING_MS + CHANGE_MS;
  d->changes[i]++;
}

/* Each failure domain keeps a decode engine.  */
static void
check_domains (const struct day *d)
{
  unsigned decode[DOMAINS] = { 0 };
  for (unsigned i = 0; i < ENGINES; i++)
    decode[i % DOMAINS] += engine (d, i)->role == UPSTREAM_DECODE;
  for (unsigned i = 0; i < DOMAINS; i++)
    g_assert_cmpuint (decode[i], >, 0);
}

static void
watch_fill (struct day *d)
{
  double slots = (double)count_serving (d) * SLOTS;
  if (g_queue_get_length (d->ends) <= slots * FILL_MAX)
    d->full_since_ms = -1;
  else if (d->full_since_ms < 0)
    d->full_since_ms = d->now;
  if (d->full_since_ms >= 0)
    d->longest_full_ms = MAX (d->longest_full_ms, d->now - d->full_since_ms);
}

/* Plays MIX for MS.  */
static void
play (struct day *d, const struct mix *mix, int64_t ms)
{
  int64_t end = d->now + ms;
  memset (d->changes, 0, sizeof d->changes);
  for (; d->now < end; d->now += TICK_MS)
    {
      if (!d->is_blind)
        record (d, LONG_TOKENS, mix->long_per_s, &d->long_due);
      record (d, SHORT_TOKENS, mix->short_per_s, &d->short_due);
      step_streams (d, mix);
      watch_fill (d);
      if (d->now % DECIDE_MS != 0)
        continue;
      g_array_set_size (d->out, 0);
      prefill_split_decide (d->split, d->u, VMS, d->now, d->out, &d->inputs);
      g_assert_cmpuint (d->out->len, <=, ENGINES / 2);
      for (guint i = 0; i < d->out->len; i++)
        change (d, &g_array_index (d->out, struct prefill_split_change, i));
      check_domains (d);
    }
  for (unsigned i = 0; i < ENGINES; i++)
    g_assert_cmpuint (d->changes[i], <=, 1);
}

static void
play_swings (const struct mix *answers, unsigned prefill_engines_max)
{
  struct day d = day_create (2);
  for (unsigned swing = 0; swing < 2; swing++)
    {
      play (&d, &prefill_mix, PHASE_MS);
      g_test_message ("long prompts: %u prefill-only", count_prefill (&d));
      g_assert_cmpuint (count_prefill (&d), ==, PREFILL_ENGINES_MAX);
      d.longest_full_ms = 0;
      play (&d, answers, PHASE_MS);
      g_test_message ("long answers: %u prefill-only, full for %d ms",
                      count_prefill (&d), (int)d.longest_full_ms);
      g_assert_cmpuint (count_prefill (&d), <=, prefill_engines_max);
      g_assert_cmpint (d.longest_full_ms, <=,
                       NOTICE_MS + RUNNING_MS + CHANGE_MS);
    }
  day_clear (&d);
}

/* 240 streams need 18 engines at 0.85.  */
static void
test_swings_to_full_engines (void)
{
  play_swings (&answer_mix, ENGINES - 18);
}

/* Streams that fill 0.63 of the decode engines' slots get more of them while
   the prefill-only engines are idle.  */
static void
test_swings_to_idle_prefill (void)
{
  play_swings (&mild_mix, ENGINES / 2 - 1);
}

/* The time until the engines of a swing serve streams, from the swing on.  */
static void
test_change_back_is_prompt (void)
{
  struct day d = day_create (PREFILL_ENGINES_MAX);
  play (&d, &busy_mix, PHASE_MS);
  g_assert_cmpuint (count_prefill (&d), ==, PREFILL_ENGINES_MAX);
  play (&d, &mild_mix, NOTICE_MS + RUNNING_MS + CHANGE_MS);
  g_test_message ("%u serve streams", count_serving (&d));
  g_assert_cmpuint (count_serving (&d), >, ENGINES / 2);
  day_clear (&d);
}

/* A mix of nearly all prefill, as deployments have it: the split settles at
   the largest share, in steps of an eighth of the engines, and stays there,
   also with streams in 0.63 of the slots of the others.  */
static void
test_steady_prefill (void)
{
  static const struct mix *const mixes[] = { &prefill_mix, &busy_mix };
  for (size_t i = 0; i < G_N_ELEMENTS (mixes); i++)
    {
      struct day d = day_create (0);
      play (&d, mixes[i], FIRST_WINDOW_MS);
      for (unsigned n = STEP_ENGINES; n < PREFILL_ENGINES_MAX;
           n += STEP_ENGINES)
        {
          g_assert_cmpuint (count_prefill (&d), ==, n);
          play (&d, mixes[i], STEP_MS);
        }
      g_assert_cmpuint (count_prefill (&d), ==, PREFILL_ENGINES_MAX);
      play (&d, mixes[i], 5 * PHASE_MS);
      g_assert_cmpuint (count_prefill (&d), ==, PREFILL_ENGINES_MAX);
      for (unsigned k = 0; k < ENGINES; k++)
        g_assert_cmpuint (d.changes[k], ==, 0);
      day_clear (&d);
    }
}

/* The VM that decides gets no long prompts, but the prefill-only engines have
   those of the other VMs.  */
static void
test_prompts_at_other_vms (void)
{
  struct day d = day_create (PREFILL_ENGINES_MAX);
  d.is_blind = true;
  play (&d, &busy_mix, 2 * PHASE_MS);
  g_assert_cmpuint (count_prefill (&d), ==, PREFILL_ENGINES_MAX);
  day_clear (&d);
}

/* Streams already fill most slots: prompts get only the engines that the
   streams do not need.  */
static void
test_streams_bound_prefill (void)
{
  static const struct mix both = { 300, 40, 6000 };
  struct day d = day_create (0);
  play (&d, &both, 2 * PHASE_MS);
  g_test_message ("%u prefill-only", count_prefill (&d));
  g_assert_cmpuint (count_prefill (&d), <=, ENGINES - 18);
  g_assert_cmpint (d.longest_full_ms, ==, 0);
  day_clear (&d);
}

/* Prompts that the engines are known to cache need no prefill.  */
static void
test_cached_prompts (void)
{
  struct day d = day_create (0);
  struct prompt p = { .parts = { { 7, LONG_TOKENS } },
                      .n_parts = 1,
                      .tokens = LONG_TOKENS };
  struct upstream_choice choice = { .handle = upstreams_find (d.u, "e0"),
                                    .work = UPSTREAM_WORK_PREFILL };
  struct upstream_work work;
  upstreams_record_sent (d.u, &choice, &p, 0, &work);
  upstreams_record_cancel (d.u, &work);
  for (; d.now < 10000; d.now += TICK_MS)
    {
      for (unsigned i = 0; i < 3; i++)
        prefill_split_record_request (d.split, d.u, "m", &p, d.now);
      prefill_split_decide (d.split, d.u, VMS, d.now, d.out, &d.inputs);
    }
  g_assert_cmpuint (d.out->len, ==, 0);
  day_clear (&d);
}

/* The rate that the home VMs learned of prefill-only engines replaces the
   assumed one.  */
static void
test_learned_rate (void)
{
  struct day d = day_create (2);
  static const struct engine_rates slow
      = { .fixed_ms = 1, .ms_per_1000 = 20, .samples = 50 };
  static const struct upstream_load none = { 0 };
  double demands[2];
  for (unsigned learned = 0; learned < 2; learned++)
    {
      if (learned)
        upstreams_set_home_load (d.u, upstreams_find (d.u, "e0"), &none,
                                 UPSTREAM_WORK_PREFILL, &slow, d.now);
      for (int64_t end = d.now + 5000; d.now < end; d.now += TICK_MS)
        record (&d, LONG_TOKENS, prefill_mix.long_per_s, &d.long_due);
      g_array_set_size (d.out, 0);
      prefill_split_decide (d.split, d.u, VMS, d.now, d.out, &d.inputs);
      g_assert_cmpuint (d.out->len, >, 0);
      demands[learned] = d.inputs.prefill_demand;
    }
  /* 250 tokens a ms were assumed, and 50 were learned.  */
  g_assert_cmpfloat (demands[1], >, 4.5 * demands[0]);
  g_assert_cmpfloat (demands[1], <, 5.5 * demands[0]);
  day_clear (&d);
}

/* A change that takes longer than the mix may last is not worth its price.  */
static void
test_price_of_change (void)
{
  static const struct engine_limits slow = { .role_change_ms = 1000000 };
  struct day d = day_create (PREFILL_ENGINES_MAX);
  upstreams_set_engine_limits (d.u, "m", &slow);
  play (&d, &busy_mix, PHASE_MS);
  play (&d, &mild_mix, PHASE_MS);
  g_assert_cmpuint (count_prefill (&d), ==, PREFILL_ENGINES_MAX);
  day_clear (&d);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/role-swings/full-engines", test_swings_to_full_engines);
  g_test_add_func ("/role-swings/idle-prefill", test_swings_to_idle_prefill);
  g_test_add_func ("/role-swings/change-back-is-prompt",
                   test_change_back_is_prompt);
  g_test_add_func ("/role-swings/steady-prefill", test_steady_prefill);
  g_test_add_func ("/role-swings/prompts-at-other-vms",
                   test_prompts_at_other_vms);
  g_test_add_func ("/role-swings/streams-bound-prefill",
                   test_streams_bound_prefill);
  g_test_add_func ("/role-swings/cached-prompts", test_cached_prompts);
  g_test_add_func ("/role-swings/learned-rate", test_learned_rate);
  g_test_add_func ("/role-swings/price-of-change", test_price_of_change);
  return g_test_run ();
}
