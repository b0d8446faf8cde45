/** @file
    Admission permits and load shedding: the permits that an engine's home VM
    grants, and how many requests meet the latency objective when many VMs
    overload one engine, simulated on virtual time.  */
#include "decide/permits.h"
#include "decide/placement.h"
#include "decide/load_shed.h"

#define ENGINE "e1"
#define PREFILL_TOKENS_PER_MS 100.0
#define SLOTS 4
#define LATENCY_OBJECTIVE_MS 200.0
/* Longer than any permit without reports, and than the transfers of all.  */
#define LONGEST_PERMIT_MS 70000
#define LEAK_SEEDS 200

static struct permit_request
make_request (const char *vm, uint64_t seq, uint64_t tokens)
{
  return (struct permit_request){ .vm = vm,
                                  .seq = seq,
                                  .upstream = ENGINE,
                                  .work = UPSTREAM_WORK_PREFILL,
                                  .tokens = tokens,
                                  .slots = SLOTS,
                                  .rates = { .ms_per_1000
                                             = 1000 / PREFILL_TOKENS_PER_MS },
                                  .queue_limit_ms = LATENCY_OBJECTIVE_MS,
                                  .wait_limit_ms = LATENCY_OBJECTIVE_MS };
}

static bool
request_permit (struct permits *p, const char *vm, uint64_t seq,
                uint64_t tokens, int64_t now_ms)
{
  struct permit_request q = make_request (vm, seq, tokens);
  return permits_request (p, &q, now_ms).granted;
}

/* A permit granted to one VM counts at once in the decisions for other VMs, so
   VMs that request permits at the same time do not overload the engine.  */
static void
test_simultaneous_requests (void)
{
  struct permits *p = permits_create ();
  g_assert_true (request_permit (p, "a", 1, 9000, 0));
  g_assert_true (request_permit (p, "b", 1, 9000, 0));
  struct permit_request q = make_request ("c", 1, 9000);
  struct permit_decision d = permits_request (p, &q, 0);
  g_assert_false (d.granted);
  g_assert_cmpuint (d.load.running, ==, 2);
  g_assert_cmpuint (d.load.tokens, ==, 18000);
  g_assert_cmpfloat (d.wait_ms, ==, 270);
  g_assert_cmpuint (permits_open (p), ==, 2);
  permits_destroy (p);
}

static void
test_prefilled_and_ended (void)
{
  struct permits *p = permits_create ();
  g_assert_true (request_permit (p, "a", 1, 15000, 0));
  g_assert_false (request_permit (p, "b", 1, 15000, 10));
  /* A prefilled request still counts as running, but its tokens no longer
     count.  Repeated reports change nothing.  */
  permits_request_prefilled (p, "a", 1, 150, 150);
  permits_request_prefilled (p, "a", 1, 150, 150);
  struct permit_request q = make_request ("b", 2, 15000);
  struct permit_decision d = permits_request (p, &q, 160);
  g_assert_true (d.granted);
  g_assert_cmpuint (d.load.running, ==, 1);
  g_assert_cmpuint (d.load.tokens, ==, 0);
  permits_request_ended (p, "a", 1, 160);
  permits_request_ended (p, "a", 1, 160);
  permits_request_ended (p, "b", 2, 160);
  g_assert_cmpuint (permits_open (p), ==, 0);
  q = make_request ("b", 3, 100);
  d = permits_request (p, &q, 200);
  g_assert_cmpuint (d.load.running, ==, 0);
  g_assert_cmpuint (d.load.tokens, ==, 0);
  permits_destroy (p);
}

/* The estimates of the engine's speed follow the time that it takes from idle
   for the tokens of a request: 4000 tokens in 20 ms raise the rate from 100
   towards 200 tokens per ms.  */
static void
test_prefill_rate_estimate (void)
{
  struct permits *p = permits_create ();
  for (uint64_t i = 1; i <= 100; i++)
    {
      g_assert_true (request_permit (p, "a", i, 4000, (int64_t)i * 100));
      permits_request_prefilled (p, "a", i, 20, (int64_t)i * 100 + 20);
      permits_request_ended (p, "a", i, (int64_t)i * 100 + 20);
    }
  struct permit_request q = make_request ("a", 101, 4000);
  struct permit_decision d = permits_request (p, &q, 20000);
  g_assert_cmpfloat (4000 / d.wait_ms, >, 190);
  g_assert_cmpfloat (4000 / d.wait_ms, <=, 200.1);
  permits_destroy (p);
}

static struct prompt
make_prompt (uint64_t prefix, uint64_t own)
{
  struct prompt p = { .n_parts = 2, .tokens = 9000 };
  p.parts[0] = (struct prompt_part){ prefix, 8000 };
  p.parts[1] = (struct prompt_part){ own, 1000 };
  return p;
}

/* The home VM counts what the engine has to prefill from the prompts of all
   VMs.  Until it knows the engine's cache, it takes the asking VM's count.  A
   restart of the engine, or a change of its role, empties the cache.  */
static void
test_cache_of_all_vms (void)
{
  struct permits *p = permits_create ();
  struct prompt first = make_prompt (1, 10);
  struct prompt second = make_prompt (1, 11);
  struct permit_request q = make_request ("a", 1, 1000);
  q.kv_tokens = 100000;
  q.started_ms = 500;
  q.prompt = &first;
  g_assert_cmpuint (permits_request (p, &q, 1).tokens, ==, 1000);
  permits_request_ended (p, "a", 1, 2);
  q.vm = "b";
  q.tokens = 9000;
  q.prompt = &second;
  g_assert_cmpuint (permits_request (p, &q, 10000).tokens, ==, 1000);
  permits_request_ended (p, "b", 1, 10001);
  q.started_ms = 9000;
  struct permit_decision d = permits_request (p, &q, 10100);
  g_assert_cmpuint (d.tokens, ==, 9000);
  g_assert_cmpuint (d.rates.samples, ==, 0);
  permits_request_ended (p, "b", 1, 10101);
  permits_pause_engine (p, ENGINE, 10200);
  g_assert_cmpuint (permits_request (p, &q, 10300).tokens, ==, 9000);
  permits_destroy (p);
}

/* The backlog shrinks while the engine works, but not past the request that it
   works on; an engine that stalls keeps all of its backlog.  */
static void
test_backlog (void)
{
  struct permits *p = permits_create ();
  struct permit_request q = make_request ("a", 1, 10000);
  q.queue_limit_ms = q.wait_limit_ms = 10000;
  g_assert_true (permits_request (p, &q, 1).granted);
  q.seq = 2;
  g_assert_true (permits_request (p, &q, 1).granted);
  q.seq = 3;
  q.tokens = 0;
  g_assert_cmpuint (permits_request (p, &q, 1).load.tokens, ==, 20000);
  permits_request_ended (p, "a", 3, 1);
  g_assert_cmpuint (permits_request (p, &q, 51).load.tokens, ==, 15000);
  permits_request_ended (p, "a", 3, 51);
  g_assert_cmpuint (permits_request (p, &q, 201).load.tokens, ==, 10000);
  permits_request_ended (p, "a", 3, 201);
  g_assert_cmpuint (permits_request (p, &q, 2001).load.tokens, ==, 20000);
  permits_destroy (p);
}

/* A request with a short prompt, which mostly decodes, waits for a slot while
   others occupy all slots of the engine; it is refused if one is expected to
   become free too late.  */
static void
test_slots (void)
{
  struct permits *p = permits_create ();
  struct permit_request q = make_request ("a", 1, 10);
  q.work = UPSTREAM_WORK_SHORT_PROMPT;
  q.queue_limit_ms = q.wait_limit_ms = 100;
  q.residence_ms = SLOTS * 150;
  for (q.seq = 1; q.seq <= SLOTS; q.seq++)
    g_assert_true (permits_request (p, &q, 0).granted);
  q.vm = "b";
  g_assert_false (permits_request (p, &q, 0).granted);
  q.residence_ms = SLOTS * 50;
  struct permit_decision d = permits_request (p, &q, 0);
  g_assert_true (d.granted);
  permits_request_ended (p, "b", q.seq, 0);
  q.residence_ms = SLOTS * 150;
  permits_request_ended (p, "a", 2, 160);
  d = permits_request (p, &q, 0);
  g_assert_true (d.granted);
  g_assert_cmpuint (d.load.generating, ==, SLOTS - 1);
  permits_destroy (p);
}

static struct permit_request
make_decode (uint64_t seq, double link_ms)
{
  struct permit_request q = make_request ("a", seq, 0);
  q.work = UPSTREAM_WORK_DECODE;
  q.link_ms = link_ms;
  q.residence_ms = 10;
  return q;
}

/* Transfers of KV caches wait for each other on the engine's link: one that
   would wait past its limit is refused, until the link has caught up.  */
static void
test_link_queue (void)
{
  struct permits *p = permits_create ();
  struct permit_request q = make_decode (1, 100);
  for (q.seq = 1; q.seq <= 3; q.seq++)
    g_assert_true (permits_request (p, &q, 1000).granted);
  struct permit_decision d = permits_request (p, &q, 1000);
  g_assert_false (d.granted);
  g_assert_cmpuint (d.load.link_wait_ms, ==, 300);
  g_assert_false (permits_request (p, &q, 1050).granted);
  d = permits_request (p, &q, 1150);
  g_assert_true (d.granted);
  g_assert_cmpuint (d.load.link_wait_ms, ==, 250);
  /* Without transfer, the link does not matter.  */
  struct permit_request other = make_request ("a", 9, 100);
  g_assert_true (permits_request (p, &other, 1150).granted);
  permits_destroy (p);
}

/* A reservation that is given back before its transfer frees the link; one
   that has decoded has used it.  */
static void
test_link_given_back (void)
{
  struct permits *p = permits_create ();
  struct permit_request q = make_decode (1, 100);
  for (q.seq = 1; q.seq <= 3; q.seq++)
    g_assert_true (permits_request (p, &q, 1000).granted);
  permits_request_prefilled (p, "a", 1, 5, 1000);
  permits_request_ended (p, "a", 1, 1000);
  g_assert_false (permits_request (p, &q, 1000).granted);
  permits_request_ended (p, "a", 2, 1000);
  g_assert_true (permits_request (p, &q, 1000).granted);
  permits_destroy (p);
}

/* A reserved decode counts as running only once its prefill is expected to be
   done; if its VM fails, nothing of it is left after the permit's time.  */
static void
test_reserved_decode (void)
{
  struct permits *p = permits_create ();
  struct permit_request q = make_decode (1, 100);
  q.delay_ms = 400;
  g_assert_true (permits_request (p, &q, 1000).granted);
  struct permit_request probe = make_request ("b", 1, 0);
  g_assert_cmpuint (permits_request (p, &probe, 1399).load.running, ==, 0);
  permits_request_ended (p, "b", 1, 1399);
  g_assert_cmpuint (permits_request (p, &probe, 1400).load.running, ==, 1);
  permits_request_ended (p, "b", 1, 1400);
  q.seq = 2;
  g_assert_true (permits_request (p, &q, 1400).granted);
  permits_request_ended (p, "a", 2, 1500);
  permits_expire (p, 10000);
  g_assert_cmpuint (permits_open (p), ==, 0);
  struct permit_decision d = permits_request (p, &probe, 10000);
  g_assert_cmpuint (d.load.running, ==, 0);
  g_assert_cmpuint (d.load.link_wait_ms, ==, 0);
  permits_destroy (p);
}

/* Random requests of VMs that fail, end early or lose messages: after the
   longest permit has expired, no load is left.  */
static void
test_nothing_leaks (void)
{
  for (guint32 seed = 1; seed <= LEAK_SEEDS; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      struct permits *p = permits_create ();
      int64_t now = 1000;
      for (uint64_t seq = 1; seq <= 200; seq++)
        {
          struct permit_request q
              = make_decode (seq, g_rand_double_range (rand, 0, 300));
          q.work = (enum upstream_work_kind)g_rand_int_range (
              rand, UPSTREAM_WORK_PREFILL, UPSTREAM_WORK_SHORT_PROMPT + 1);
          q.tokens = q.work == UPSTREAM_WORK_DECODE
                         ? 0
                         : (uint64_t)g_rand_int_range (rand, 0, 9000);
          q.delay_ms = g_rand_double_range (rand, 0, 500);
          q.queue_limit_ms = q.wait_limit_ms = 2000;
          (void)permits_request (p, &q, now);
          uint64_t other = (uint64_t)g_rand_int_range (rand, 1, (int)seq + 1);
          if (g_rand_boolean (rand))
            permits_request_prefilled (p, "a", other, 10, now);
          if (g_rand_boolean (rand))
            permits_request_ended (p, "a", other, now);
          now += g_rand_int_range (rand, 0, 60);
        }
      now += LONGEST_PERMIT_MS;
      permits_expire (p, now);
      struct permit_request probe = make_request ("b", 1, 0);
      struct permit_decision d = permits_request (p, &probe, now);
      g_assert_cmpuint (permits_open (p), ==, 1);
      g_assert_cmpuint (d.load.running, ==, 0);
      g_assert_cmpuint (d.load.generating, ==, 0);
      g_assert_cmpuint (d.load.tokens, ==, 0);
      g_assert_cmpuint (d.load.link_wait_ms, ==, 0);
      permits_destroy (p);
    }
}

/* A failed VM does not report the end of its requests, so its permits expire,
   first those whose requests were not reported as prefilled.  */
static void
test_expiry (void)
{
  struct permits *p = permits_create ();
  g_assert_true (request_permit (p, "a", 1, 15000, 0));
  g_assert_true (request_permit (p, "a", 2, 100, 0));
  permits_request_prefilled (p, "a", 2, 0, 1);
  permits_expire (p, 2000);
  g_assert_cmpuint (permits_open (p), ==, 2);
  permits_expire (p, 3500);
  g_assert_cmpuint (permits_open (p), ==, 1);
  g_assert_true (request_permit (p, "b", 1, 15000, 3500));
  permits_expire (p, 20000);
  g_assert_cmpuint (permits_open (p), ==, 0);
  permits_destroy (p);
}

/* A restarted VM reuses its sequence numbers: a permit replaces an older one
   of the same VM and number, whose load no longer counts.  */
static void
test_vm_restart (void)
{
  struct permits *p = permits_create ();
  g_assert_true (request_permit (p, "a", 1, 15000, 0));
  g_assert_false (request_permit (p, "a", 1, 9000, 10));
  permits_request_ended (p, "a", 1, 160);
  g_assert_true (request_permit (p, "a", 1, 9000, 200));
  struct permit_request q = make_request ("a", 1, 100);
  q.queue_limit_ms = q.wait_limit_ms = 1000;
  g_assert_true (permits_request (p, &q, 300).granted);
  g_assert_cmpuint (permits_open (p), ==, 1);
  permits_request_ended (p, "a", 1, 160);
  q.seq = 2;
  struct permit_decision d = permits_request (p, &q, 400);
  g_assert_cmpuint (d.load.tokens, ==, 0);
  permits_destroy (p);
}

/* Simulation of many VMs that send an engine twice the load that it can
   prefill.  With permits, each request that is sent is prefilled within the
   latency objective.  Without, VMs decide by load reports that are up to 300
   ms old, and the engine's queue exceeds the objective.  */

#define VMS 40
#define PROMPT_TOKENS 5000
/* Time between requests.  The prefill of each takes 50 ms.  */
#define ARRIVAL_INTERVAL_MS 25
#define RUN_MS 20000
#define REPORT_INTERVAL_MS 300

struct sim_result
{
  unsigned sent;
  unsigned in_time; /* requests prefilled within the latency objective */
};

static struct sim_result
simulate (bool with_permits)
{
  struct sim_result result = { 0, 0 };
  struct permits *p = permits_create ();
  double idle_at_ms = 0;        /* time at which all prompts are prefilled */
  double reported_queue_ms = 0; /* prefill time of the reported queue */
  /* By request: when it is prefilled, and whether its permit is open.  */
  double end_ms[RUN_MS / ARRIVAL_INTERVAL_MS + 1];
  bool open[RUN_MS / ARRIVAL_INTERVAL_MS + 1] = { false };
  unsigned n = 0;
  for (int64_t now = 0; now < RUN_MS; now += ARRIVAL_INTERVAL_MS)
    {
      g_autofree char *vm = g_strdup_printf ("vm%u", n % VMS);
      for (unsigned i = 0; i < n; i++)
        if (open[i] && end_ms[i] <= (double)now)
          {
            g_autofree char *sender = g_strdup_printf ("vm%u", i % VMS);
            permits_request_ended (p, sender, i + 1, now);
            open[i] = false;
          }
      double queue_ms = MAX (idle_at_ms - (double)now, 0);
      if (now % REPORT_INTERVAL_MS == 0)
        reported_queue_ms = queue_ms;
      double prefill_ms = PROMPT_TOKENS / PREFILL_TOKENS_PER_MS;
      bool send = with_permits
                      ? request_permit (p, vm, n + 1, PROMPT_TOKENS, now)
                      : reported_queue_ms + prefill_ms <= LATENCY_OBJECTIVE_MS;
      if (send)
        {
          idle_at_ms = (double)now + queue_ms + prefill_ms;
          result.sent++;
          result.in_time += queue_ms + prefill_ms <= LATENCY_OBJECTIVE_MS + 1;
        }
      end_ms[n] = idle_at_ms;
      open[n++] = send && with_permits;
    }
  permits_destroy (p);
  return result;
}

static void
test_double_load (void)
{
  struct sim_result with = simulate (true);
  struct sim_result without = simulate (false);
  unsigned capacity
      = RUN_MS / (unsigned)(PROMPT_TOKENS / PREFILL_TOKENS_PER_MS);
  g_test_message (
      "prefilled within the objective: %u of %u requests sent with "
      "permits, %u of %u without",
      with.in_time, with.sent, without.in_time, without.sent);
  g_assert_cmpuint (with.in_time, ==, with.sent);
  g_assert_cmpuint (with.in_time, >=, capacity * 95 / 100);
  g_assert_cmpuint (without.in_time, <, without.sent);
}

/* Load shedding.  */

static struct upstream_choice
make_choice (double queue_ms, double own_ms)
{
  return (struct upstream_choice){ .work = UPSTREAM_WORK_PREFILL,
                                   .queue_ms = queue_ms,
                                   .wait_ms = queue_ms + own_ms,
                                   .expected_ms = queue_ms + own_ms };
}

static void
test_load_shed_limit (void)
{
  /* The limit is below the latency objective, unless a tenth of the caller's
     time-out exceeds it.  */
  double limit_ms = load_shed_limit_ms (250, 2000);
  g_assert_cmpfloat (limit_ms, <, 250);
  g_assert_cmpfloat (load_shed_limit_ms (150, 15000), ==, 1500);
  /* A request that would wait longer for earlier ones is refused, however
     short it is.  */
  struct upstream_choice c = make_choice (limit_ms + 1, 1);
  g_assert_true (load_shed_must_refuse (&c, limit_ms, 2000));
  c = make_choice (limit_ms - 1, 1);
  g_assert_false (load_shed_must_refuse (&c, limit_ms, 2000));
  /* One that comes too late for its caller is refused, also if the time that
     is left is too short for any response.  */
  g_assert_true (load_shed_must_refuse (&c, limit_ms, 100));
  c = make_choice (0, 800);
  g_assert_true (
      load_shed_must_refuse (&c, load_shed_limit_ms (2000, 2000), 800));
  g_assert_cmpfloat (load_shed_first_byte_max_ms (100), <, 0);
}

/* A prompt is not refused for its own length: if no earlier request is ahead
   of it, it is sent even if its first token comes after the objective, as long
   as that is in time for the caller.  */
static void
test_load_shed_size (void)
{
  double limit_ms = load_shed_limit_ms (200, 2000);
  for (unsigned own_ms = 1; own_ms <= 4096; own_ms *= 2)
    {
      struct upstream_choice c = make_choice (limit_ms / 2, own_ms);
      bool refused = load_shed_must_refuse (&c, limit_ms, 2000);
      g_assert_true (refused == (c.expected_ms > 1850));
    }
}

/* The decode stage may bind once slots are taken, or once a link has more to
   do than passes during the prefill.  */
static void
test_decode_may_bind (void)
{
  struct upstream_choice prefill = { .wait_ms = 100 };
  struct upstream_choice decode = { .running = SLOTS - 1 };
  g_assert_false (load_shed_decode_may_bind (&decode, SLOTS, &prefill));
  decode.running = SLOTS;
  g_assert_true (load_shed_decode_may_bind (&decode, SLOTS, &prefill));
  decode.running = 0;
  decode.link_wait_ms = 100;
  g_assert_false (load_shed_decode_may_bind (&decode, SLOTS, &prefill));
  decode.link_wait_ms = 101;
  g_assert_true (load_shed_decode_may_bind (&decode, SLOTS, &prefill));
  decode.link_wait_ms = 0;
  prefill.link_wait_ms = 101;
  g_assert_true (load_shed_decode_may_bind (&decode, SLOTS, &prefill));
}

static void
test_retry_after (void)
{
  unsigned shortest = G_MAXUINT;
  unsigned longest = 0;
  for (unsigned i = 0; i < 1000; i++)
    {
      g_autofree char *id = g_strdup_printf ("r%u", i);
      unsigned ms = load_shed_retry_after_ms (id, 2000);
      shortest = MIN (shortest, ms);
      longest = MAX (longest, ms);
    }
  /* Delays are spread and at most a third of the time left to the caller.  */
  g_assert_cmpuint (longest, <=, 667);
  g_assert_cmpuint (longest, >, 600);
  g_assert_cmpuint (shortest, <, 370);
  g_assert_cmpuint (load_shed_retry_after_ms ("x", 90), ==,
                    LOAD_SHED_RETRY_AFTER_MIN_MS);
  g_assert_cmpuint (load_shed_retry_after_ms ("x", 60000), ==,
                    LOAD_SHED_RETRY_AFTER_MAX_MS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/permits/simultaneous-requests",
                   test_simultaneous_requests);
  g_test_add_func ("/permits/prefilled-and-ended", test_prefilled_and_ended);
  g_test_add_func ("/permits/prefill-rate", test_prefill_rate_estimate);
  g_test_add_func ("/permits/cache-of-all-vms", test_cache_of_all_vms);
  g_test_add_func ("/permits/backlog", test_backlog);
  g_test_add_func ("/permits/slots", test_slots);
  g_test_add_func ("/permits/link-queue", test_link_queue);
  g_test_add_func ("/permits/link-given-back", test_link_given_back);
  g_test_add_func ("/permits/reserved-decode", test_reserved_decode);
  g_test_add_func ("/permits/nothing-leaks", test_nothing_leaks);
  g_test_add_func ("/permits/permit-expiry", test_expiry);
  g_test_add_func ("/permits/vm-restart", test_vm_restart);
  g_test_add_func ("/permits/twice-the-load", test_double_load);
  g_test_add_func ("/load-shed/latency-limit", test_load_shed_limit);
  g_test_add_func ("/load-shed/size", test_load_shed_size);
  g_test_add_func ("/load-shed/decode-may-bind", test_decode_may_bind);
  g_test_add_func ("/load-shed/retry-after", test_retry_after);
  return g_test_run ();
}
