#include "model/vtime.h"

#include <math.h>

struct event
{
  int64_t us;
  uint64_t sequence; /* number in the order of scheduling; orders events due at
                        the same time */
  vtime_fn *fn;
  void *arg;
  GDestroyNotify free_arg;
};

/* The pending events form a binary heap; the next to run is at index 0.  */
struct vtime
{
  GArray *heap;
  int64_t us;
  uint64_t next_sequence;
  GRand *rand;
};

struct vtime *
vtime_create (uint32_t seed)
{
  struct vtime *v = g_new0 (struct vtime, 1);
  v->heap = g_array_new (FALSE, FALSE, sizeof (struct event));
  v->rand = g_rand_new_with_seed (seed);
  return v;
}

void
vtime_destroy (struct vtime *v)
{
  for (guint i = 0; i < v->heap->len; i++)
    {
      struct event *e = &g_array_index (v->heap, struct event, i);
      if (e->free_arg)
        e->free_arg (e->arg);
    }
  g_array_unref (v->heap);
  g_rand_free (v->rand);
  g_free (v);
}

int64_t
vtime_us (const struct vtime *v)
{
  return v->us;
}

int64_t
vtime_ms (const struct vtime *v)
{
  return v->us / 1000;
}

static struct event *
event_at (const struct vtime *v, guint i)
{
  return &g_array_index (v->heap, struct event, i);
}

static bool
runs_before (const struct event *a, const struct event *b)
{
  return a->us != b->us ? a->us < b->us : a->sequence < b->sequence;
}

static void
swap_events (struct vtime *v, guint i, guint j)
{
  struct event e = *event_at (v, i);
  *event_at (v, i) = *event_at (v, j);
  *event_at (v, j) = e;
}

void
vtime_schedule (struct vtime *v, int64_t us, vtime_fn *fn, void *arg,
                GDestroyNotify free_arg)
{
  struct event e
      = { v->us + MAX (us, 0), v->next_sequence++, fn, arg, free_arg };
  g_array_append_val (v->heap, e);
  guint i = v->heap->len - 1;
  while (i > 0 && runs_before (event_at (v, i), event_at (v, (i - 1) / 2)))
    {
      swap_events (v, i, (i - 1) / 2);
      i = (i - 1) / 2;
    }
}

static struct event
pop_next (struct vtime *v)
{
  struct event first = *event_at (v, 0);
  guint n = v->heap->len - 1;
  *event_at (v, 0) = *event_at (v, n);
  g_array_set_size (v->heap, n);
  guint i = 0;
  for (;;)
    {
      guint earliest = i;
      for (guint child = 2 * i + 1; child <= 2 * i + 2 && child < n; child++)
        if (runs_before (event_at (v, child), event_at (v, earliest)))
          earliest = child;
      if (earliest == i)
        return first;
      swap_events (v, i, earliest);
      i = earliest;
    }
}

void
vtime_run (struct vtime *v, int64_t until_us)
{
  while (v->heap->len > 0 && event_at (v, 0)->us <= until_us)
    {
      struct event e = pop_next (v);
      v->us = e.us;
      e.fn (e.arg);
      if (e.free_arg)
        e.free_arg (e.arg);
    }
  v->us = MAX (v->us, until_us);
}

GRand *
vtime_rand (struct vtime *v)
{
  return v->rand;
}

bool
vtime_random_bool (struct vtime *v, double chance)
{
  return g_rand_double (v->rand) < chance;
}

int64_t
vtime_uniform (struct vtime *v, int64_t low, int64_t high)
{
  return low + (int64_t)(g_rand_double (v->rand) * (double)(high - low + 1));
}

double
vtime_exponential (struct vtime *v, double mean)
{
  return -mean * log (1 - g_rand_double (v->rand));
}
