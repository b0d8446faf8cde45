/** @file
    Budget of the memory in which responses wait for slow callers: random
    orders of starts, ends, arriving and delivered bytes.  The same for request
    bodies: random orders of growth, completion, ends and freed memory.  */
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
  memory_budget_change (p->budget, r->waiting, 0);
  memory_budget_leave (p->budget);
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
      size_t receive = memory_budget_receive_bytes (b, 0);
      g_assert_cmpuint (receive, >=, MEMORY_RECEIVE_MIN_BYTES);
      g_assert_cmpuint (receive, <=, MEMORY_RECEIVE_MAX_BYTES);
      g_assert_cmpuint (receive, <=, share);
      /* A burst that is sent before the first response comes.  */
      g_assert_cmpuint (memory_budget_receive_bytes (b, 100000), ==,
                        MEMORY_RECEIVE_MIN_BYTES);
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

/* Request bodies.  */

#define BODIES_TOTAL_BYTES ((size_t)16 * 1024 * 1024)
/* 3/5 of the total.  */
#define BODIES_BYTES ((size_t)(16 * 1024 * 1024 * 0.6) + 1)
#define LARGEST_BYTES ((size_t)1024 * 1024)
/* Part of large bodies, with what is set apart for one: 3/4 of that.  */
#define LARGE_BODIES_BYTES (BODIES_BYTES / 4 * 3 + 4)
#define BODIES_MAX 400
#define BODY_STEPS 6000
#define GROWTH_BYTES 60000
#define DEADLINES 1000

struct body
{
  struct memory_body *memory;
  size_t size;     /* when it is complete */
  size_t reserved; /* asked for and granted */
  int64_t deadline_ms;
  bool sized; /* asks for all of it at once */
  bool waits;
  bool complete;
};

struct body_play
{
  struct memory_budget *budget;
  struct body bodies[BODIES_MAX];
  GRand *rand;
};

static void
start_body (struct body_play *p, struct body *m)
{
  bool small = g_rand_int_range (p->rand, 0, 3) == 0;
  size_t most = small ? MEMORY_SMALL_BODY_BYTES : LARGEST_BYTES;
  *m = (struct body){ 0 };
  m->size = (size_t)g_rand_int_range (p->rand, 1, (gint32)most + 1);
  m->sized = g_rand_boolean (p->rand);
  m->deadline_ms = g_rand_int_range (p->rand, 0, DEADLINES);
  m->memory = memory_body_create (p->budget, m->deadline_ms, m);
}

static void
end_body (struct body *m)
{
  memory_body_release (m->memory);
  *m = (struct body){ 0 };
}

/* M asks for its next bytes, or is complete once it has all.  */
static void
grow_body (struct body_play *p, struct body *m)
{
  size_t step = (size_t)g_rand_int_range (p->rand, 1, GROWTH_BYTES);
  size_t next = m->sized ? m->size : MIN (m->size, m->reserved + step);
  if (m->reserved >= m->size)
    {
      m->complete = true;
      g_assert_true (memory_body_take (m->memory, m->size));
      g_assert_cmpuint (memory_body_reserved (m->memory), ==, m->size);
      return;
    }
  size_t read = MIN (next, MAX (m->reserved, step % MEMORY_SMALL_BODY_BYTES));
  bool starts_large = m->reserved == 0 && next > MEMORY_SMALL_BODY_BYTES;
  switch (memory_body_grow (m->memory, next, read))
    {
    case MEMORY_GRANTED:
      m->reserved = next;
      g_assert_cmpuint (memory_body_reserved (m->memory), >=, next);
      for (unsigned i = 0; starts_large && i < BODIES_MAX; i++)
        if (p->bodies[i].waits)
          g_assert_cmpint (m->deadline_ms, <, p->bodies[i].deadline_ms);
      break;
    case MEMORY_WAITS:
      m->waits = true;
      g_assert_cmpuint (next, >, MEMORY_SMALL_BODY_BYTES);
      break;
    default:
      end_body (m);
    }
}

/* Lets bodies go on that waited, each with the earliest deadline of those that
   wait.  */
static void
let_go_on (struct body_play *p)
{
  struct body *next;
  while ((next = memory_budget_next (p->budget)) != NULL)
    {
      g_assert_true (next->waits);
      for (unsigned i = 0; i < BODIES_MAX; i++)
        if (p->bodies[i].waits)
          g_assert_cmpint (next->deadline_ms, <=, p->bodies[i].deadline_ms);
      next->waits = false;
      next->reserved = memory_body_reserved (next->memory);
    }
}

static void
check_sum (const struct body_play *p)
{
  size_t sum = 0, large = 0;
  unsigned waiting = 0;
  for (unsigned i = 0; i < BODIES_MAX; i++)
    if (p->bodies[i].memory)
      {
        size_t reserved = memory_body_reserved (p->bodies[i].memory);
        sum += reserved;
        large += reserved > MEMORY_SMALL_BODY_BYTES ? reserved : 0;
        waiting += p->bodies[i].waits;
      }
  g_assert_cmpuint (memory_budget_bodies (p->budget), ==, sum);
  g_assert_cmpuint (sum, <=, BODIES_BYTES);
  g_assert_cmpuint (large, <=, LARGE_BODIES_BYTES);
  g_assert_cmpuint (memory_budget_bodies_waiting (p->budget), ==, waiting);
}

static void
body_step (struct body_play *p, struct body *m)
{
  gint32 event = g_rand_int_range (p->rand, 0, 30);
  if (m->memory == NULL)
    start_body (p, m);
  else if (event == 0 || (m->complete && event < 4))
    end_body (m);
  else if (!m->waits && !m->complete)
    grow_body (p, m);
  if (event % 2 == 0)
    let_go_on (p);
  check_sum (p);
}

/* No body starts or is given up any more: all that are there must come to
   their end.  */
static void
end_all (struct body_play *p)
{
  for (unsigned left = BODIES_MAX; left > 0;)
    {
      unsigned ended = 0;
      left = 0;
      for (unsigned i = 0; i < BODIES_MAX; i++)
        {
          struct body *m = &p->bodies[i];
          ended += m->complete;
          if (m->complete)
            end_body (m);
          else if (m->memory && !m->waits)
            {
              grow_body (p, m);
              ended++;
            }
          left += m->memory != NULL;
          let_go_on (p);
          check_sum (p);
        }
      g_assert_true (left == 0 || ended > 0);
    }
}

/* The sum of the bodies is never passed, none waits for good, the earliest
   deadline goes on first, and all memory is free at the end.  */
static void
test_bodies (void)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      g_autofree struct body_play *p = g_new0 (struct body_play, 1);
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      p->rand = rand;
      p->budget = memory_budget_create (BODIES_TOTAL_BYTES);
      memory_budget_set_largest (p->budget, LARGEST_BYTES);
      gint32 n = g_rand_int_range (rand, 1, BODIES_MAX + 1);
      for (unsigned i = 0; i < BODY_STEPS; i++)
        body_step (p, &p->bodies[g_rand_int_range (rand, 0, n)]);
      end_all (p);
      g_assert_cmpuint (memory_budget_bodies (p->budget), ==, 0);
      memory_budget_destroy (p->budget);
    }
}

/* Small bodies are granted while larger ones wait for memory, and one body of
   the largest size is granted by a budget that is smaller than it.  */
static void
test_small_and_largest_body (void)
{
  struct memory_budget *b = memory_budget_create (LARGEST_BYTES);
  memory_budget_set_largest (b, LARGEST_BYTES);
  struct memory_body *first = memory_body_create (b, 1, b);
  struct memory_body *second = memory_body_create (b, 2, b);
  struct memory_body *small = memory_body_create (b, 3, b);
  g_assert_cmpint (memory_body_grow (first, LARGEST_BYTES, 1), ==,
                   MEMORY_GRANTED);
  g_assert_cmpint (memory_body_grow (second, LARGEST_BYTES, 1), ==,
                   MEMORY_WAITS);
  g_assert_cmpint (memory_body_grow (small, MEMORY_SMALL_BODY_BYTES, 1), ==,
                   MEMORY_GRANTED);
  g_assert_null (memory_budget_next (b));
  memory_body_release (first);
  g_assert_nonnull (memory_budget_next (b));
  memory_body_release (second);
  memory_body_release (small);
  memory_budget_destroy (b);
}

/* Small bodies alone do not pass the sum either, and each that ends makes room
   for another.  */
static void
test_small_bodies (void)
{
  struct memory_budget *b = memory_budget_create (BODIES_TOTAL_BYTES);
  memory_budget_set_largest (b, LARGEST_BYTES);
  g_autoptr (GPtrArray) bodies = g_ptr_array_new ();
  enum memory_grant grant = MEMORY_GRANTED;
  while (grant == MEMORY_GRANTED)
    {
      struct memory_body *m = memory_body_create (b, 1, b);
      grant = memory_body_grow (m, MEMORY_SMALL_BODY_BYTES, 1);
      g_ptr_array_add (bodies, m);
      g_assert_cmpuint (memory_budget_bodies (b), <=, BODIES_BYTES);
    }
  g_assert_cmpint (grant, ==, MEMORY_REFUSED);
  struct memory_body *last = g_ptr_array_index (bodies, bodies->len - 1);
  memory_body_release (g_ptr_array_steal_index (bodies, 0));
  g_assert_cmpint (memory_body_grow (last, MEMORY_SMALL_BODY_BYTES, 1), ==,
                   MEMORY_GRANTED);
  for (guint i = 0; i < bodies->len; i++)
    memory_body_release (g_ptr_array_index (bodies, i));
  g_assert_cmpuint (memory_budget_bodies (b), ==, 0);
  memory_budget_destroy (b);
}

/* Response bytes beyond their part leave less for bodies.  */
static void
test_shared_sum (void)
{
  struct memory_budget *b = memory_budget_create (BODIES_TOTAL_BYTES);
  memory_budget_set_largest (b, LARGEST_BYTES);
  struct memory_body *first = memory_body_create (b, 1, b);
  struct memory_body *m = memory_body_create (b, 2, b);
  memory_budget_enter (b);
  memory_budget_change (b, 0, BODIES_TOTAL_BYTES);
  g_assert_cmpint (memory_body_grow (first, LARGEST_BYTES, 1), ==,
                   MEMORY_GRANTED);
  g_assert_cmpint (memory_body_grow (m, LARGEST_BYTES, 1), ==, MEMORY_WAITS);
  memory_budget_change (b, BODIES_TOTAL_BYTES, 0);
  g_assert_true (memory_budget_next (b) == b);
  memory_budget_leave (b);
  memory_body_release (first);
  memory_body_release (m);
  memory_budget_destroy (b);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/memory-budget/sum-is-bounded", test_sum_is_bounded);
  g_test_add_func ("/memory-budget/share", test_share);
  g_test_add_func ("/memory-budget/bodies", test_bodies);
  g_test_add_func ("/memory-budget/small-and-largest-body",
                   test_small_and_largest_body);
  g_test_add_func ("/memory-budget/small-bodies", test_small_bodies);
  g_test_add_func ("/memory-budget/shared-sum", test_shared_sum);
  return g_test_run ();
}
