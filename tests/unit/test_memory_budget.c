/** @file
    Budget of the memory in which responses wait for slow callers: random
    orders of starts, ends, arriving and delivered bytes.  */
#include "decide/memory_budget.h"

#include <glib.h>

#define SEEDS 200
#define STEPS 20000
#define TOTAL_BYTES ((size_t)32 * 1024 * 1024)
#define RESPONSES_MAX 1500
/* Most bytes that arrive before an upstream can be paused.  */
#define READ_BYTES ((size_t)16 * 1024)

struct response
{
  bool open;
  bool paused;
  size_t waiting;
};

struct play
{
  struct memory_budget *budget;
  struct response responses[RESPONSES_MAX];
  size_t n_open;
  size_t waiting;
  size_t most_open; /* responses open at once */
};

static void
end_response (struct play *p, struct response *r)
{
  memory_budget_leave (p->budget, r->waiting);
  p->waiting -= r->waiting;
  p->n_open--;
  *r = (struct response){ 0 };
}

static void
step (struct play *p, struct response *r, unsigned event)
{
  if (!r->open)
    {
      memory_budget_enter (p->budget);
      r->open = true;
      p->n_open++;
      p->most_open = MAX (p->most_open, p->n_open);
    }
  else if (event == 0)
    end_response (p, r);
  else if (event < 4)
    {
      /* The caller takes all that waits.  */
      memory_budget_change (p->budget, r->waiting, 0);
      p->waiting -= r->waiting;
      r->waiting = 0;
      r->paused = false;
    }
  else if (!r->paused)
    {
      memory_budget_change (p->budget, r->waiting, r->waiting + READ_BYTES);
      p->waiting += READ_BYTES;
      r->waiting += READ_BYTES;
      r->paused = memory_budget_is_exceeded (p->budget, r->waiting);
    }
}

static size_t
most_bytes (const struct play *p)
{
  return TOTAL_BYTES + p->most_open * (MEMORY_SHARE_MIN_BYTES + READ_BYTES);
}

/* What waits is bounded by the total, and beside it by the least share of each
   response and what arrives before its upstream pauses.  All of it is free
   again at the end.  */
static void
test_sum_is_bounded (void)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      g_autofree struct play *p = g_new0 (struct play, 1);
      p->budget = memory_budget_create (TOTAL_BYTES);
      gint32 n = g_rand_int_range (rand, 1, RESPONSES_MAX);
      for (unsigned i = 0; i < STEPS; i++)
        {
          struct response *r = &p->responses[g_rand_int_range (rand, 0, n)];
          step (p, r, (unsigned)g_rand_int_range (rand, 0, 40));
          g_assert_cmpuint (r->waiting, <=,
                            MEMORY_SHARE_MAX_BYTES + READ_BYTES);
          g_assert_cmpuint (p->waiting, <=, most_bytes (p));
          g_assert_cmpuint (memory_budget_waiting (p->budget), ==, p->waiting);
        }
      for (gint32 i = 0; i < n; i++)
        if (p->responses[i].open)
          end_response (p, &p->responses[i]);
      g_assert_cmpuint (p->waiting, ==, 0);
      g_assert_cmpuint (memory_budget_share (p->budget), ==,
                        MEMORY_SHARE_MAX_BYTES);
      memory_budget_destroy (p->budget);
    }
}

/* The share falls as responses start, and never below the least one.  */
static void
test_share (void)
{
  struct memory_budget *b = memory_budget_create (TOTAL_BYTES);
  size_t before = memory_budget_share (b);
  g_assert_cmpuint (before, ==, MEMORY_SHARE_MAX_BYTES);
  for (unsigned i = 1; i <= 4000; i++)
    {
      memory_budget_enter (b);
      size_t share = memory_budget_share (b);
      g_assert_cmpuint (share, <=, before);
      g_assert_cmpuint (share, >=, MEMORY_SHARE_MIN_BYTES);
      if (share > MEMORY_SHARE_MIN_BYTES)
        g_assert_cmpuint (share * i, <=, TOTAL_BYTES);
      g_assert_false (memory_budget_is_exceeded (b, share));
      g_assert_true (memory_budget_is_exceeded (b, share + 1));
      before = share;
    }
  memory_budget_destroy (b);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/memory-budget/sum-is-bounded", test_sum_is_bounded);
  g_test_add_func ("/memory-budget/share", test_share);
  return g_test_run ();
}
