#include "links/loop_clock.h"

#include "base/log.h"
#include "base/metrics.h"

#include <time.h>

#define US_PER_MS 1000
#define US_PER_S 1000000
#define NS_PER_US 1000
/* After a turn that took at least this long, input may have waited for it.  */
#define HELD_MIN_US (20 * US_PER_MS)
/* A timer that is later than this shows that the process got no processor
   time.  */
#define LATE_TICK_US (25 * US_PER_MS)
/* A pause of at least this long is logged.  Those of a usage cap, ten a
   second, are shorter.  */
#define PAUSE_LOG_MS 200

/* Times are of the monotonic clock, in microseconds.  */
struct loop_clock
{
  struct event_base *base;
  uint64_t turn;       /* number of the present turn */
  uint64_t noted_turn; /* last turn for which looked_us is known */
  int64_t entered_us;  /* when the look of the present turn began */
  int64_t looked_us;   /* when it ended, if this is NOTED_TURN */
  int64_t before_us;   /* latest known time at or before the end of the look of
                          the turn before */
  int64_t tick_us;     /* when the tick is due next; 0: never called */
  int64_t paused_us;   /* how late the tick was at the look of NOTED_TURN; not
                          for the work of the turn before */
  bool after_held;     /* the turn before took HELD_MIN_US or more, or its look
                          was paused */
  bool look_again;     /* the next turn must not wait for input */
  bool waits;          /* the present turn may wait for input */
};

struct loop_clock *
loop_clock_create (struct event_base *base)
{
  struct loop_clock *c = g_new0 (struct loop_clock, 1);
  c->base = base;
  c->turn = 1;
  c->entered_us = c->before_us = g_get_monotonic_time ();
  return c;
}

void
loop_clock_destroy (struct loop_clock *c)
{
  g_free (c);
}

/* Time since the base cached its time, at the end of the look of this turn.
   The base keeps it by another clock, so that only differences count.  */
static int64_t
since_look_us (struct event_base *base)
{
  struct timeval cached = { 0 };
  struct timeval now = { 0 };
  (void)event_base_gettimeofday_cached (base, &cached);
  (void)event_base_update_cache_time (base);
  (void)event_base_gettimeofday_cached (base, &now);
  return (int64_t)(now.tv_sec - cached.tv_sec) * US_PER_S + now.tv_usec
         - cached.tv_usec;
}

/* Notes when the look of the present turn ended, and whether it lasted beyond
   the time at which the tick was due: then the process got no processor
   time.  */
static void
note_look (struct loop_clock *c)
{
  if (c->noted_turn == c->turn)
    return;
  int64_t since_us = since_look_us (c->base);
  int64_t now = g_get_monotonic_time ();
  c->noted_turn = c->turn;
  c->looked_us = CLAMP (now - since_us, c->entered_us, now);
  c->paused_us
      = c->tick_us > 0 ? c->looked_us - MAX (c->tick_us, c->entered_us) : 0;
  if (c->paused_us >= LATE_TICK_US)
    metrics_observe (METRIC_process_paused_seconds, c->paused_us);
  if (c->paused_us >= PAUSE_LOG_MS * US_PER_MS)
    log_event (LOG_INFO, "process_paused", "ms",
               log_num (c->paused_us / US_PER_MS), NULL);
}

/* For how long the present turn, which ends at NOW, was held after its look.
   If nobody has asked for the end of the look, the tick was not handled, and
   so the look ended before it was due.  */
static int64_t
get_held_us (const struct loop_clock *c, int64_t now)
{
  if (c->noted_turn == c->turn)
    return now - c->looked_us;
  int64_t look_end_us = MAX (c->tick_us, c->entered_us);
  return c->tick_us > 0 ? MAX (now - look_end_us, 0) : 0;
}

/* Observes the present turn, which ends, and begins the next one.  After a
   long turn or a pause it does not wait for input, so that what it reads is
   known to have waited itself.  */
static void
next_turn (struct loop_clock *c)
{
  int64_t now = g_get_monotonic_time ();
  bool noted = c->noted_turn == c->turn;
  int64_t held_us = get_held_us (c, now);
  bool paused = noted && c->paused_us >= LATE_TICK_US;
  c->before_us = noted && !paused ? c->looked_us : c->entered_us;
  if (noted)
    metrics_observe (METRIC_loop_turn_seconds, held_us);
  if (held_us >= LOOP_HELD_LOG_MS * US_PER_MS)
    log_event (LOG_INFO, "loop_turn_long", "ms", log_num (held_us / US_PER_MS),
               NULL);
  c->after_held = paused || held_us >= HELD_MIN_US;
  c->waits = !c->after_held && !c->look_again;
  c->look_again = false;
  c->turn++;
  c->entered_us = now;
}

void
loop_clock_run (struct loop_clock *c)
{
  do
    next_turn (c);
  while (
      event_base_loop (c->base, EVLOOP_ONCE | (c->waits ? 0 : EVLOOP_NONBLOCK))
          == 0
      && !event_base_got_break (c->base));
}

void
loop_clock_tick (struct loop_clock *c)
{
  note_look (c);
  c->tick_us = c->looked_us + LOOP_TICK_MS * US_PER_MS;
}

int64_t
loop_clock_input_since_ms (struct loop_clock *c,
                           const struct loop_mark *accepted)
{
  note_look (c);
  int64_t since_us = c->looked_us;
  if (c->after_held)
    since_us = c->before_us;
  else if (c->paused_us >= LATE_TICK_US)
    since_us = c->entered_us;
  int64_t since_ms = since_us / US_PER_MS;
  if (accepted && accepted->turn + 1 == c->turn && !c->waits)
    return MIN (since_ms, accepted->since_ms);
  return since_ms;
}

struct loop_mark
loop_clock_mark (struct loop_clock *c)
{
  int64_t since_ms = loop_clock_input_since_ms (c, NULL);
  if (since_ms < c->looked_us / US_PER_MS)
    c->look_again = true;
  return (struct loop_mark){ .since_ms = since_ms, .turn = c->turn };
}

/* Work.  */

static int64_t
cpu_us (void)
{
  struct timespec t = { 0 };
  (void)clock_gettime (CLOCK_THREAD_CPUTIME_ID, &t);
  return (int64_t)t.tv_sec * US_PER_S + t.tv_nsec / NS_PER_US;
}

struct loop_work
loop_work_begin (struct loop_clock *c, const char *name, size_t size)
{
  note_look (c);
  return (struct loop_work){ .clock = c,
                             .name = name,
                             .size = size,
                             .start_us = g_get_monotonic_time (),
                             .cpu_us = cpu_us () };
}

void
loop_work_end (struct loop_work *w)
{
  int64_t us = g_get_monotonic_time () - w->start_us;
  metrics_observe (METRIC_loop_work_seconds, us);
  if (us >= LOOP_HELD_LOG_MS * US_PER_MS)
    log_event (LOG_INFO, "loop_held", "work", w->name, "ms",
               log_num (us / US_PER_MS), "cpu_ms",
               log_num ((cpu_us () - w->cpu_us) / US_PER_MS), "size",
               log_num ((long long)w->size), NULL);
}
