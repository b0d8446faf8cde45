#include "decide/prefill_demand.h"

#include <glib.h>
#include <math.h>

/* Arrivals are counted over windows of these lengths.  */
#define WINDOW_MS 2000
#define RECENT_MS 1000
/* Time constants of the averages.  The growth needs the longest one: it is a
   difference of samples, in which single arrivals and ends show.  */
#define AVERAGE_MS 1500.0
#define BUSY_MS 750.0
#define GROWTH_MS 3000.0

void
prefill_demand_start (struct prefill_demand *d, int64_t now_ms)
{
  *d = (struct prefill_demand){ .window.start_ms = now_ms,
                                .recent.start_ms = now_ms };
}

static void
roll (struct prefill_window *w, int64_t length_ms, int64_t now_ms)
{
  int64_t ms = now_ms - w->start_ms;
  if (ms < length_ms)
    return;
  w->previous = w->current;
  w->previous_ms = ms;
  w->current = (struct prefill_arrivals){ 0 };
  w->start_ms = now_ms;
}

void
prefill_demand_roll (struct prefill_demand *d, int64_t now_ms)
{
  roll (&d->window, WINDOW_MS, now_ms);
  roll (&d->recent, RECENT_MS, now_ms);
}

static void
add (struct prefill_arrivals *a, uint64_t tokens, uint64_t uncached)
{
  a->requests++;
  a->prompt_tokens += tokens;
  a->uncached_tokens += uncached;
}

void
prefill_demand_record (struct prefill_demand *d, uint64_t tokens,
                       uint64_t uncached, int64_t now_ms)
{
  prefill_demand_roll (d, now_ms);
  add (&d->window.current, tokens, uncached);
  add (&d->recent.current, tokens, uncached);
}

void
prefill_demand_sample (struct prefill_demand *d, double generating,
                       double busy_prefill, int64_t now_ms)
{
  double ms = (double)(now_ms - d->sampled_ms);
  if (d->is_sampled && ms <= 0)
    return;
  if (d->is_sampled)
    {
      double weight = 1 - exp (-ms / AVERAGE_MS);
      double growth = (generating - d->sample) / ms;
      d->growth_per_ms
          += (growth - d->growth_per_ms) * (1 - exp (-ms / GROWTH_MS));
      d->generating += (generating - d->generating) * weight;
      d->busy_prefill
          += (busy_prefill - d->busy_prefill) * (1 - exp (-ms / BUSY_MS));
    }
  else
    {
      d->generating = generating;
      d->busy_prefill = busy_prefill;
    }
  d->is_sampled = true;
  d->sample = generating;
  d->sampled_ms = now_ms;
}

double
prefill_demand_generating (const struct prefill_demand *d, unsigned ahead_ms)
{
  return d->generating
         + MAX (d->growth_per_ms, 0) * (AVERAGE_MS + (double)ahead_ms);
}
