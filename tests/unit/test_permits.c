/** @file
    Permits and refusals: what one home VM grants, and what many VMs that see
   the same engine free get from it, on virtual time.  */
#include "decide/permits.h"
#include "decide/placement.h"
#include "decide/load_shed.h"

#define ENGINE "e1"
#define SPEED 100.0
#define SLOTS 4
#define OBJECTIVE_MS 200.0

static struct permit_request
question (const char *vm, uint64_t seq, uint64_t tokens)
{
  return (struct permit_request){ .vm = vm,
                                  .seq = seq,
                                  .upstream = ENGINE,
                                  .work = UPSTREAM_WORK_PREFILL,
                                  .tokens = tokens,
                                  .slots = SLOTS,
                                  .tokens_per_ms = SPEED,
                                  .limit_ms = OBJECTIVE_MS };
}

static bool
ask (struct permits *p, const char *vm, uint64_t seq, uint64_t tokens,
     int64_t now_ms)
{
  struct permit_request q = question (vm, seq, tokens);
  return permits_request (p, &q, now_ms).granted;
}

/* VMs that ask in the same moment are told of each other.  */
static void
test_same_moment (void)
{
  struct permits *p = permits_create ();
  g_assert_true (ask (p, "a", 1, 9000, 0));
  g_assert_true (ask (p, "b", 1, 9000, 0));
  struct permit_request q = question ("c", 1, 9000);
  struct permit_decision d = permits_request (p, &q, 0);
  g_assert_false (d.granted);
  g_assert_cmpuint (d.load.running, ==, 2);
  g_assert_cmpuint (d.load.tokens, ==, 18000);
  g_assert_cmpfloat (d.wait_ms, ==, 270);
  g_assert_cmpuint (permits_open (p), ==, 2);
  permits_destroy (p);
}

static void
test_read_and_ended (void)
{
  struct permits *p = permits_create ();
  g_assert_true (ask (p, "a", 1, 15000, 0));
  g_assert_false (ask (p, "b", 1, 15000, 10));
  /* Once it has been read, its slot is taken but its tokens are not.  */
  permits_request_prefilled (p, "a", 1, 150);
  permits_request_prefilled (p, "a", 1, 150);
  struct permit_request q = question ("b", 2, 15000);
  struct permit_decision d = permits_request (p, &q, 160);
  g_assert_true (d.granted);
  g_assert_cmpuint (d.load.running, ==, 1);
  g_assert_cmpuint (d.load.tokens, ==, 0);
  permits_request_ended (p, "a", 1);
  permits_request_ended (p, "a", 1);
  permits_request_ended (p, "b", 2);
  g_assert_cmpuint (permits_open (p), ==, 0);
  q = question ("b", 3, 100);
  d = permits_request (p, &q, 200);
  g_assert_cmpuint (d.load.running, ==, 0);
  g_assert_cmpuint (d.load.tokens, ==, 0);
  permits_destroy (p);
}

/* The speed follows what the engine took for all that was before it.  */
static void
test_speed (void)
{
  struct permits *p = permits_create ();
  for (uint64_t i = 1; i <= 100; i++)
    {
      g_assert_true (ask (p, "a", i, 4000, (int64_t)i * 100));
      permits_request_prefilled (p, "a", i, 20);
      permits_request_ended (p, "a", i);
    }
  struct permit_request q = question ("a", 101, 4000);
  struct permit_decision d = permits_request (p, &q, 20000);
  g_assert_cmpfloat (d.tokens_per_ms, >, 190);
  g_assert_cmpfloat (d.tokens_per_ms, <=, 200);
  permits_destroy (p);
}

/* Slots bind requests that only generate.  */
static void
test_slots (void)
{
  struct permits *p = permits_create ();
  for (uint64_t i = 1; i <= SLOTS; i++)
    {
      struct permit_request q = question ("a", i, 10);
      q.work = UPSTREAM_WORK_SHORT_PROMPT;
      q.limit_ms = 100;
      g_assert_true (permits_request (p, &q, 0).granted);
    }
  struct permit_request q = question ("b", 1, 10);
  q.work = UPSTREAM_WORK_SHORT_PROMPT;
  q.limit_ms = 100;
  g_assert_false (permits_request (p, &q, 0).granted);
  permits_request_ended (p, "a", 2);
  struct permit_decision d = permits_request (p, &q, 0);
  g_assert_true (d.granted);
  g_assert_cmpuint (d.load.generating, ==, SLOTS - 1);
  permits_destroy (p);
}

/* Of a VM that is gone, nothing is heard; its permits do not bind for ever. */
static void
test_gone (void)
{
  struct permits *p = permits_create ();
  g_assert_true (ask (p, "a", 1, 15000, 0));
  g_assert_true (ask (p, "a", 2, 100, 0));
  permits_request_prefilled (p, "a", 2, 0);
  permits_expire (p, 2000);
  g_assert_cmpuint (permits_open (p), ==, 2);
  permits_expire (p, 3500);
  g_assert_cmpuint (permits_open (p), ==, 1);
  g_assert_true (ask (p, "b", 1, 15000, 3500));
  permits_expire (p, 20000);
  g_assert_cmpuint (permits_open (p), ==, 0);
  permits_destroy (p);
}

/* A VM that has started again counts its questions from the beginning.  */
static void
test_started_again (void)
{
  struct permits *p = permits_create ();
  g_assert_true (ask (p, "a", 1, 15000, 0));
  g_assert_false (ask (p, "a", 1, 9000, 100));
  permits_request_ended (p, "a", 1);
  g_assert_true (ask (p, "a", 1, 9000, 200));
  struct permit_request q = question ("a", 1, 100);
  q.limit_ms = 1000;
  g_assert_true (permits_request (p, &q, 300).granted);
  g_assert_cmpuint (permits_open (p), ==, 1);
  permits_request_ended (p, "a", 1);
  q.seq = 2;
  struct permit_decision d = permits_request (p, &q, 400);
  g_assert_cmpuint (d.load.tokens, ==, 0);
  permits_destroy (p);
}

/* Many VMs, one engine, twice the load that it carries: with permits, what is
   sent is read within the objective; without, by loads that are 300 ms old,
   the queue grows past it.  */

#define VMS 40
#define TOKENS 5000
#define ARRIVAL_MS 25 /* one request; the engine reads it in 50 ms */
#define DAY_MS 20000
#define TOLD_EVERY_MS 300

struct load_day
{
  unsigned sent;
  unsigned in_time;
};

static struct load_day
play_day (bool with_permits)
{
  struct load_day day = { 0, 0 };
  struct permits *p = permits_create ();
  double free_at = 0;    /* when the engine has read all that it was given */
  double seen_queue = 0; /* its queue as VMs last heard of it */
  double done[DAY_MS / ARRIVAL_MS + 1];
  bool open[DAY_MS / ARRIVAL_MS + 1] = { false };
  unsigned n = 0;
  for (int64_t now = 0; now < DAY_MS; now += ARRIVAL_MS)
    {
      g_autofree char *vm = g_strdup_printf ("vm%u", n % VMS);
      for (unsigned i = 0; i < n; i++)
        if (open[i] && done[i] <= (double)now)
          {
            g_autofree char *of = g_strdup_printf ("vm%u", i % VMS);
            permits_request_ended (p, of, i + 1);
            open[i] = false;
          }
      double queue = MAX (free_at - (double)now, 0);
      if (now % TOLD_EVERY_MS == 0)
        seen_queue = queue;
      double own = TOKENS / SPEED;
      bool send = with_permits ? ask (p, vm, n + 1, TOKENS, now)
                               : seen_queue + own <= OBJECTIVE_MS;
      if (send)
        {
          free_at = (double)now + queue + own;
          day.sent++;
          day.in_time += queue + own <= OBJECTIVE_MS + 1;
        }
      done[n] = free_at;
      open[n++] = send && with_permits;
    }
  permits_destroy (p);
  return day;
}

static void
test_twice_the_load (void)
{
  struct load_day with = play_day (true);
  struct load_day without = play_day (false);
  unsigned carried = DAY_MS / (unsigned)(TOKENS / SPEED);
  g_test_message ("in time: %u of %u with permits, %u of %u without",
                  with.in_time, with.sent, without.in_time, without.sent);
  g_assert_cmpuint (with.in_time, ==, with.sent);
  g_assert_cmpuint (with.in_time, >=, carried * 95 / 100);
  g_assert_cmpuint (without.in_time, <, without.sent);
}

/* Refusing.  */

static void
test_limit (void)
{
  /* Below the objective, and above it only for callers that wait long.  */
  g_assert_cmpfloat (load_shed_limit_ms (250, 2000, 2000), <, 250);
  g_assert_cmpfloat (load_shed_limit_ms (150, 15000, 15000), ==, 1500);
  /* Nothing is sent that could not end in time.  */
  g_assert_cmpfloat (load_shed_limit_ms (250, 2000, 100), <, 0);
  g_assert_cmpfloat (load_shed_limit_ms (2000, 2000, 800), <=, 800);
}

static void
test_retry_after (void)
{
  unsigned least = G_MAXUINT;
  unsigned most = 0;
  for (unsigned i = 0; i < 1000; i++)
    {
      g_autofree char *id = g_strdup_printf ("r%u", i);
      unsigned ms = load_shed_retry_after_ms (id, 2000);
      least = MIN (least, ms);
      most = MAX (most, ms);
    }
  /* Spread, and never past a third of what is left.  */
  g_assert_cmpuint (most, <=, 667);
  g_assert_cmpuint (most, >, 600);
  g_assert_cmpuint (least, <, 370);
  g_assert_cmpuint (load_shed_retry_after_ms ("x", 90), ==,
                    LOAD_SHED_RETRY_AFTER_MIN_MS);
  g_assert_cmpuint (load_shed_retry_after_ms ("x", 60000), ==,
                    LOAD_SHED_RETRY_AFTER_MAX_MS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/permits/same-moment", test_same_moment);
  g_test_add_func ("/permits/read-and-ended", test_read_and_ended);
  g_test_add_func ("/permits/speed", test_speed);
  g_test_add_func ("/permits/slots", test_slots);
  g_test_add_func ("/permits/gone", test_gone);
  g_test_add_func ("/permits/started-again", test_started_again);
  g_test_add_func ("/permits/twice-the-load", test_twice_the_load);
  g_test_add_func ("/refusal/limit", test_limit);
  g_test_add_func ("/refusal/retry-after", test_retry_after);
  return g_test_run ();
}
