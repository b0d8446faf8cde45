/** @file
    Rollout, routing, queues, limits: single decisions.  */
#include "config.h"
#include "decide/limits.h"
#include "decide/queue.h"
#include "decide/rollout.h"
#include "decide/route.h"

#include <string.h>

/* Rollout.  */

struct scene
{
  struct rollout *rollout;
  GArray *out;
  GPtrArray *regions;
  GPtrArray *behind;
};

static void
scene_init (struct scene *s, const char *behind)
{
  s->regions = g_ptr_array_new ();
  s->behind = g_ptr_array_new ();
  g_ptr_array_add (s->regions, (char *)"north");
  g_ptr_array_add (s->regions, (char *)"south");
  if (behind)
    g_ptr_array_add (s->behind, (char *)(uintptr_t)behind);
  s->out = rollout_actions_create ();
  s->rollout = rollout_create (5, s->regions, s->behind);
  rollout_member (s->rollout, "n1", "north", true, s->out);
  rollout_member (s->rollout, "n2", "north", true, s->out);
  rollout_member (s->rollout, "s1", "south", true, s->out);
}

static void
scene_clear (struct scene *s)
{
  rollout_destroy (s->rollout);
  g_array_unref (s->out);
  g_ptr_array_unref (s->regions);
  g_ptr_array_unref (s->behind);
}

static const struct rollout_action *
last (const struct scene *s)
{
  g_assert_cmpuint (s->out->len, >, 0);
  return &g_array_index (s->out, struct rollout_action, s->out->len - 1);
}

static void
stage (struct scene *s, const char *vm)
{
  rollout_staged (s->rollout, vm, true, "", 10, s->out);
}

static void
test_rollout_accepts (void)
{
  struct scene s;
  scene_init (&s, NULL);
  rollout_start (s.rollout, 0, s.out);
  stage (&s, "n1");
  stage (&s, "n2");
  g_assert_cmpint (last (&s)->kind, ==, ROLLOUT_STAGE);
  stage (&s, "s1");
  g_assert_cmpint (last (&s)->kind, ==, ROLLOUT_WRITE);
  rollout_written (s.rollout, ROLLOUT_WRITE_OK, 20, s.out);
  g_assert_cmpint (last (&s)->kind, ==, ROLLOUT_NOTIFY);
  rollout_in_force (s.rollout, "n1", 5, 30, s.out);
  rollout_in_force (s.rollout, "s1", 6, 30, s.out);
  rollout_in_force (s.rollout, "n2", 4, 30, s.out);
  g_assert_cmpint (last (&s)->kind, ==, ROLLOUT_NOTIFY);
  rollout_in_force (s.rollout, "n2", 5, 30, s.out);
  g_assert_cmpint (last (&s)->kind, ==, ROLLOUT_DONE);
  g_assert_cmpint (last (&s)->result, ==, RESULT_OK);
  scene_clear (&s);
}

/* A region that cannot be reached before the commit: nothing is changed, or,
   where it was named, it stays behind.  */
static void
test_rollout_region_away (void)
{
  struct scene s;
  scene_init (&s, NULL);
  rollout_start (s.rollout, 0, s.out);
  stage (&s, "n1");
  stage (&s, "n2");
  rollout_member (s.rollout, "s1", "south", false, s.out);
  rollout_tick (s.rollout, APPLY_STAGE_TIMEOUT_MS, s.out);
  g_assert_cmpint (last (&s)->kind, ==, ROLLOUT_DONE);
  g_assert_cmpint (last (&s)->result, ==, RESULT_REGION_UNREACHABLE);
  scene_clear (&s);

  scene_init (&s, "south");
  rollout_start (s.rollout, 0, s.out);
  stage (&s, "n1");
  stage (&s, "n2");
  g_assert_cmpint (last (&s)->kind, ==, ROLLOUT_WRITE);
  rollout_written (s.rollout, ROLLOUT_WRITE_OK, 20, s.out);
  rollout_in_force (s.rollout, "n1", 5, 30, s.out);
  rollout_in_force (s.rollout, "n2", 5, 30, s.out);
  g_assert_cmpint (last (&s)->kind, ==, ROLLOUT_NOTIFY);
  rollout_tick (s.rollout, 20 + APPLY_IN_FORCE_TIMEOUT_MS, s.out);
  g_assert_cmpint (last (&s)->result, ==, RESULT_COMMITTED_BEHIND);
  g_assert_nonnull (strstr (last (&s)->text, "south"));
  scene_clear (&s);
}

static void
test_rollout_lost_reply (void)
{
  struct scene s;
  scene_init (&s, NULL);
  rollout_start (s.rollout, 0, s.out);
  stage (&s, "n1");
  stage (&s, "n2");
  stage (&s, "s1");
  rollout_written (s.rollout, ROLLOUT_WRITE_UNKNOWN, 20, s.out);
  g_assert_cmpint (last (&s)->kind, ==, ROLLOUT_READ_BACK);
  rollout_read_back (s.rollout, ROLLOUT_READ_UNCHANGED, 30, s.out);
  g_assert_cmpint (last (&s)->kind, ==, ROLLOUT_WRITE);
  /* The first write lands after all: a conflict, and it was ours.  */
  rollout_written (s.rollout, ROLLOUT_WRITE_CONFLICT, 40, s.out);
  g_assert_cmpint (last (&s)->kind, ==, ROLLOUT_READ_BACK);
  rollout_read_back (s.rollout, ROLLOUT_READ_OURS, 50, s.out);
  g_assert_cmpint (last (&s)->kind, ==, ROLLOUT_NOTIFY);
  scene_clear (&s);
}

static void
test_rollout_two_operators (void)
{
  struct scene s;
  scene_init (&s, NULL);
  rollout_start (s.rollout, 0, s.out);
  stage (&s, "n1");
  stage (&s, "n2");
  stage (&s, "s1");
  rollout_written (s.rollout, ROLLOUT_WRITE_CONFLICT, 20, s.out);
  g_assert_cmpint (last (&s)->result, ==, RESULT_CONFLICT);
  scene_clear (&s);
}

/* Never answered: told as open, not as done or undone.  */
static void
test_rollout_open (void)
{
  struct scene s;
  scene_init (&s, NULL);
  rollout_start (s.rollout, 0, s.out);
  stage (&s, "n1");
  stage (&s, "n2");
  stage (&s, "s1");
  rollout_written (s.rollout, ROLLOUT_WRITE_UNKNOWN, 20, s.out);
  rollout_read_back (s.rollout, ROLLOUT_READ_FAILED, 30, s.out);
  rollout_tick (s.rollout, 20 + APPLY_WRITE_TIMEOUT_MS, s.out);
  g_assert_cmpint (last (&s)->result, ==, RESULT_OUTCOME_OPEN);
  scene_clear (&s);
}

/* Routing.  */

#define ENGINES 20

static struct router *
router_with (unsigned engines, enum engine_role role)
{
  struct router *r = router_create (7);
  for (unsigned i = 0; i < engines; i++)
    {
      g_autofree char *name = g_strdup_printf ("e%u", i);
      router_add (r, name, 0, 0);
    }
  router_build_rings (r);
  for (unsigned i = 0; i < engines; i++)
    {
      struct route_load load = { .role = role, .usable = true };
      router_set_load (r, i, &load, 0);
    }
  return r;
}

static struct route_request
ask_for (uint64_t prefix, uint32_t tokens)
{
  return (struct route_request){ .prefix = prefix,
                                 .prefix_tokens = tokens / 2,
                                 .prompt_tokens = tokens,
                                 .deadline_ms = 1000,
                                 .avoid = ROUTE_NONE };
}

static void
test_route_sticks (void)
{
  struct router *r = router_with (ENGINES, ROLE_MIXED);
  struct route_request request = ask_for (0x123456789, 100);
  struct route_choice first = router_pick (r, &request);
  router_record_sent (r, first.engine, &request, false);
  for (unsigned i = 0; i < 20; i++)
    {
      struct route_load idle = { .usable = true };
      router_set_load (r, first.engine, &idle, 0);
      struct route_choice c = router_pick (r, &request);
      g_assert_cmpuint (c.engine, ==, first.engine);
      g_assert_true (c.cached);
    }
  router_destroy (r);
}

/* A prefix in demand spills: no engine goes far over its share.  */
static void
test_route_spills (void)
{
  struct router *r = router_with (ENGINES, ROLE_MIXED);
  struct route_request request = ask_for (0x123456789, 100);
  for (unsigned i = 0; i < 30 * ENGINES; i++)
    {
      struct route_choice c = router_pick (r, &request);
      g_assert_cmpuint (c.engine, !=, ROUTE_NONE);
      router_record_sent (r, c.engine, &request, c.cached);
    }
  for (unsigned i = 0; i < ENGINES; i++)
    g_assert_cmpuint (router_load (r, i)->running, <=,
                      30 * ROUTE_LOAD_BOUND_PERCENT / 100 + 3);
  router_destroy (r);
}

static void
test_route_refuses (void)
{
  struct router *r = router_with (ENGINES, ROLE_MIXED);
  struct route_request request = ask_for (1, 1000);
  for (unsigned i = 0; i < ENGINES; i++)
    {
      struct route_load full
          = { .usable = true,
              .queued_tokens = ENGINE_DEFAULT_PREFILL_TOKENS_PER_S * 5 };
      router_set_load (r, i, &full, 0);
    }
  struct route_choice c = router_pick (r, &request);
  g_assert_cmpuint (c.engine, ==, ROUTE_NONE);
  g_assert_cmpuint (c.retry_after_ms, >=, RETRY_AFTER_MIN_MS);
  router_destroy (r);
}

static void
test_route_roles (void)
{
  struct router *r = router_with (ENGINES, ROLE_DECODE);
  struct route_request request = ask_for (1, 100);
  request.phase = PHASE_PREFILL;
  g_assert_cmpuint (router_pick (r, &request).engine, ==, ROUTE_NONE);
  request.phase = PHASE_DECODE;
  g_assert_cmpuint (router_pick (r, &request).engine, !=, ROUTE_NONE);
  struct route_load leaving = { .role = ROLE_DECODE, .usable = false };
  for (unsigned i = 0; i < ENGINES; i++)
    router_set_load (r, i, &leaving, 0);
  g_assert_cmpuint (router_pick (r, &request).engine, ==, ROUTE_NONE);
  router_destroy (r);
}

/* Queues.  */

static enum queue_verdict
offer (struct queue *q, uint64_t ticket, unsigned priority, int64_t deadline)
{
  struct queue_item item = { ticket, priority, 100, deadline };
  return queue_admit (q, &item, 0);
}

static void
test_queue (void)
{
  struct queue *q = queue_create (1, 2);
  uint64_t ticket = 0;
  g_assert_cmpint (offer (q, 1, 5, 100), ==, QUEUE_START);
  g_assert_cmpint (offer (q, 2, 1, 100), ==, QUEUE_WAIT);
  g_assert_cmpint (offer (q, 3, 9, 100), ==, QUEUE_WAIT);
  g_assert_cmpint (offer (q, 4, 9, 100), ==, QUEUE_REFUSE);
  g_assert_false (queue_start_next (q, &ticket));
  g_assert_cmpuint (queue_prefill_tokens (q), ==, 300);
  queue_prefilled (q, 1);
  g_assert_cmpuint (queue_prefill_tokens (q), ==, 200);
  queue_remove (q, 1);
  g_assert_true (queue_start_next (q, &ticket));
  g_assert_cmpuint (ticket, ==, 3);
  g_assert_true (queue_remove_expired (q, 101, &ticket));
  g_assert_cmpuint (ticket, ==, 2);
  queue_set_draining (q, true);
  g_assert_cmpint (offer (q, 5, 9, 100), ==, QUEUE_REFUSE);
  queue_remove (q, 3);
  g_assert_cmpuint (queue_running (q), ==, 0);
  g_assert_cmpuint (queue_prefill_tokens (q), ==, 0);
  queue_destroy (q);
}

/* Limits.  */

static void
test_limits (void)
{
  struct limits *l = limits_create ();
  unsigned passed = 0;
  uint32_t wait = 0;
  for (int64_t ms = 0; ms < 10000; ms++)
    passed += limits_admit (l, "panel", 50, ms, &wait);
  g_assert_cmpuint (passed, >=, 500);
  g_assert_cmpuint (passed, <=, 550);
  g_assert_cmpuint (wait, >, 0);
  g_assert_true (limits_admit (l, "other", 50, 10000, &wait));
  limits_destroy (l);
}

static void
test_retry_budget (void)
{
  struct retry_budget b = { 0 };
  unsigned retries = 0;
  for (unsigned i = 0; i < 1000; i++)
    {
      retry_budget_deposit (&b);
      retries += retry_budget_withdraw (&b);
    }
  g_assert_cmpuint (retries, <=, 1000 * RETRY_BUDGET_PERCENT / 100);
  g_assert_cmpuint (retries, >=, 1000 * RETRY_BUDGET_PERCENT / 100 - 1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rollout/accepts", test_rollout_accepts);
  g_test_add_func ("/rollout/region-away", test_rollout_region_away);
  g_test_add_func ("/rollout/lost-reply", test_rollout_lost_reply);
  g_test_add_func ("/rollout/two-operators", test_rollout_two_operators);
  g_test_add_func ("/rollout/open", test_rollout_open);
  g_test_add_func ("/route/sticks", test_route_sticks);
  g_test_add_func ("/route/spills", test_route_spills);
  g_test_add_func ("/route/refuses", test_route_refuses);
  g_test_add_func ("/route/roles", test_route_roles);
  g_test_add_func ("/queue", test_queue);
  g_test_add_func ("/limits/rate", test_limits);
  g_test_add_func ("/limits/retries", test_retry_budget);
  return g_test_run ();
}
