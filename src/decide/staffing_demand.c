#include "decide/staffing_demand.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Share of the instances that may be busy on average, and for the boot time of
   others.  */
#define UTILISATION_MAX 0.7
#define UTILISATION_SHORT_MAX 0.9
/* Instances in addition, in square roots of the offered load.  The factor
   rises with the ratio of the cost of a late answer to that of an instance,
   which is high for spot instances.  */
#define SQUARE_ROOT_FACTOR 2.0
/* Time constant of the smoothing of the offered load.  */
#define SMOOTH_MS 2000.0
/* The need is raised by this much more than measured, so that a load that goes
   on rising leads to few orders.  */
#define RAISE_PERCENT 15
/* The need falls only if it falls by this much, and at most by the second
   value at a time.  */
#define FALL_MIN_PERCENT 15
#define FALL_MAX_PERCENT 25
/* The need does not fall below this part of the initial number: the load does
   not show all that instances are needed for, such as cached prefixes and gaps
   between events, and fewer spot instances would save little.  */
#define FLOOR_PERCENT 70
#define PERIOD_MS (STAFFING_HOLD_MS / STAFFING_HOLD_PERIODS)

unsigned
staffing_demand_need (double busy)
{
  return (unsigned)ceil (busy / UTILISATION_MAX
                         + SQUARE_ROOT_FACTOR * sqrt (busy));
}

static void
smooth (struct staffing_demand *d, double busy, int64_t now_ms)
{
  double ms = (double)(now_ms - d->sampled_ms);
  double weight = d->sampled_ms == 0 ? 1 : 1 - exp (-ms / SMOOTH_MS);
  d->busy += weight * (busy - d->busy);
  d->sampled_ms = now_ms;
}

static double
highest_peak (const struct staffing_demand *d)
{
  double highest = 0;
  for (unsigned i = 0; i < STAFFING_HOLD_PERIODS; i++)
    highest = MAX (highest, d->peaks[i]);
  return highest;
}

static void
record_peak (struct staffing_demand *d, int64_t now_ms)
{
  if (now_ms - d->period_start_ms >= PERIOD_MS)
    {
      memmove (d->peaks + 1, d->peaks, sizeof d->peaks - sizeof d->peaks[0]);
      d->peaks[0] = 0;
      d->period_start_ms = now_ms;
    }
  d->peaks[0] = MAX (d->peaks[0], d->busy);
}

/* Sets the need to NEEDED within LEAST and MOST.  */
static void
set_needed (struct staffing_demand *d, unsigned needed, unsigned least,
            unsigned most, int64_t now_ms)
{
  needed = CLAMP (needed, least, MAX (least, most));
  if (needed == d->needed)
    return;
  d->needed = needed;
  d->steady_since_ms = now_ms;
}

/* Instances that suffice for a short time where BUSY are kept busy.  */
static unsigned
short_need (double busy)
{
  return (unsigned)ceil (busy / UTILISATION_SHORT_MAX + sqrt (busy));
}

static void
update_needed (struct staffing_demand *d, unsigned least, unsigned most,
               int64_t now_ms)
{
  double peak = highest_peak (d);
  unsigned need = staffing_demand_need (d->busy);
  unsigned highest = staffing_demand_need (peak);
  unsigned low = MAX (least, d->initial * FLOOR_PERCENT / 100);
  unsigned lowered = MAX (highest, d->needed * (100 - FALL_MAX_PERCENT) / 100);
  if (MIN (need, most) > d->needed)
    set_needed (d, need + need * RAISE_PERCENT / 100, low, most, now_ms);
  else if (now_ms - d->steady_since_ms >= STAFFING_HOLD_MS
           && highest * 100 < d->needed * (100 - FALL_MIN_PERCENT))
    set_needed (d, lowered, low, most, now_ms);
  d->surviving = MIN (d->needed, short_need (peak));
  d->firm = MIN (d->needed, MAX (d->surviving, d->initial));
}

void
staffing_demand_sample (struct staffing_demand *d, double busy,
                        unsigned running, unsigned count, unsigned least,
                        unsigned most, int64_t now_ms)
{
  if (!d->has_traffic && running == 0)
    {
      d->initial = MAX (d->initial, count);
      set_needed (d, MAX (d->needed, d->initial), least, most, now_ms);
      d->surviving = d->firm = d->needed;
      d->sampled_ms = now_ms;
      return;
    }
  if (!d->has_traffic)
    {
      d->has_traffic = true;
      d->steady_since_ms = now_ms;
    }
  /* The first holder may start when there is traffic already.  */
  if (d->needed == 0)
    set_needed (d, count, least, most, now_ms);
  smooth (d, busy, now_ms);
  record_peak (d, now_ms);
  update_needed (d, least, most, now_ms);
}

void
staffing_demand_restore (struct staffing_demand *d, unsigned initial,
                         unsigned needed, bool has_traffic, int64_t now_ms)
{
  memset (d, 0, sizeof *d);
  d->initial = initial;
  d->needed = d->surviving = d->firm = needed;
  d->has_traffic = has_traffic;
  d->steady_since_ms = now_ms;
}
