#include "links/slices.h"

#define US_PER_MS 1000
/* Fewest steps of a slice.  */
#define STEPS_MIN 8

struct slices
{
  struct loop_clock *clock;
  const char *name;
  slices_step *step;
  void *arg;
  struct event *timer;
  size_t size;
  int64_t ended_us; /* end of the last slice; of the monotonic clock */
};

int64_t
slices_length_us (int64_t pause_us)
{
  return CLAMP (pause_us / 2, SLICE_MIN_MS * US_PER_MS,
                SLICE_MAX_MS * US_PER_MS);
}

static void
schedule (struct slices *s)
{
  static const struct timeval next_turn = { 0, 0 };
  evtimer_add (s->timer, &next_turn);
}

/* Returns whether there is more to do.  */
static bool
run_slice (struct slices *s)
{
  LOOP_WORK_AUTO struct loop_work work
      = loop_work_begin (s->clock, s->name, s->size);
  int64_t end_us
      = work.start_us + slices_length_us (work.start_us - s->ended_us);
  bool more = true;
  for (unsigned steps = 0;
       more && (steps < STEPS_MIN || g_get_monotonic_time () < end_us);
       steps++)
    more = s->step (s->arg);
  return more;
}

static void
on_slice (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct slices *s = arg;
  bool more = run_slice (s);
  s->ended_us = g_get_monotonic_time ();
  if (more)
    schedule (s);
}

struct slices *
slices_create (struct event_base *base, struct loop_clock *clock,
               const char *name, slices_step *step, void *arg)
{
  struct slices *s = g_new0 (struct slices, 1);
  s->clock = clock;
  s->name = name;
  s->step = step;
  s->arg = arg;
  s->timer = evtimer_new (base, on_slice, s);
  return s;
}

void
slices_destroy (struct slices *s)
{
  if (s == NULL)
    return;
  event_free (s->timer);
  g_free (s);
}

void
slices_start (struct slices *s, size_t size)
{
  s->size = size;
  s->ended_us = g_get_monotonic_time ();
  if (!evtimer_pending (s->timer, NULL))
    schedule (s);
}
