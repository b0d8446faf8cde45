#include "decide/step_model.h"

#include <glib.h>
#include <math.h>

/* Half-life of the samples of an engine's pace and of a service's curve.  The
   first is short: what runs at an engine changes within seconds.  */
#define PACE_HALF_LIFE_MS 1500.0
#define CURVE_HALF_LIFE_MS 20000.0
/* Events of an engine at the pace of its service that are assumed beside those
   that were measured.  */
#define PACE_PRIOR_EVENTS 5.0
/* Bounds of a pace.  */
#define PACE_MIN 0.2
#define PACE_MAX 5.0
/* Assumed growth of the gap with each request in the batch, relative to the
   mean gap, and its weight in events times the square of the batch.  */
#define PRIOR_SLOPE 0.02
#define PRIOR_SLOPE_WEIGHT 500.0
/* The gap at an empty engine is at least this part of the mean.  */
#define BASE_MIN_PART 0.2
/* Longest gap of a stream relative to its mean: value before the first stream,
   bounds, and the steps by which it follows the streams so that PEAK_QUANTILE
   of them stay below.  */
#define PEAK_START 2.0
#define PEAK_MAX 20.0
#define PEAK_STEP 0.05
#define PEAK_QUANTILE 0.8

static double
left_after (int64_t age_ms, double half_life_ms)
{
  return exp2 (-(double)MAX (age_ms, 0) / half_life_ms);
}

double
step_model_pace (const struct step_pace *p, int64_t now_ms)
{
  double left = left_after (now_ms - p->at_ms, PACE_HALF_LIFE_MS);
  double pace = (p->ratios * left + PACE_PRIOR_EVENTS)
                / (p->weight * left + PACE_PRIOR_EVENTS);
  return CLAMP (pace, PACE_MIN, PACE_MAX);
}

static void
learn_pace (struct step_pace *p, double ratio, double events, int64_t now_ms)
{
  double left = left_after (now_ms - p->at_ms, PACE_HALF_LIFE_MS);
  p->ratios = p->ratios * left + CLAMP (ratio, PACE_MIN, PACE_MAX) * events;
  p->weight = p->weight * left + events;
  p->at_ms = now_ms;
}

static void
learn_curve (struct step_curve *c, const struct step_sample *s, double gap_ms,
             int64_t now_ms)
{
  double left = left_after (now_ms - c->at_ms, CURVE_HALF_LIFE_MS);
  double batch = s->batch;
  c->weight = c->weight * left + s->events;
  c->batch = c->batch * left + batch * s->events;
  c->gap_ms = c->gap_ms * left + gap_ms * s->events;
  c->batch_batch = c->batch_batch * left + batch * batch * s->events;
  c->batch_gap = c->batch_gap * left + batch * gap_ms * s->events;
  c->at_ms = now_ms;
}

void
step_model_learn (struct step_curve *c, struct step_pace *p,
                  const struct step_sample *sample, int64_t now_ms)
{
  double gap_ms = sample->gap_ms;
  if (!(gap_ms > 0) || gap_ms > STEP_GAP_MAX_MS || !(sample->events > 0))
    return;
  double expected = step_model_gap_ms (c, sample->batch);
  if (expected > 0)
    learn_pace (p, gap_ms / expected, sample->events, now_ms);
  learn_curve (c, sample, gap_ms / step_model_pace (p, now_ms), now_ms);
}

void
step_model_learn_peak (struct step_curve *c, double longest_ms, double mean_ms)
{
  if (!(mean_ms > 0) || longest_ms > STEP_GAP_MAX_MS)
    return;
  double above = longest_ms / mean_ms > c->peak ? 1 : 0;
  if (c->peak <= 0)
    c->peak = PEAK_START;
  c->peak += c->peak * PEAK_STEP * (above - (1 - PEAK_QUANTILE));
  c->peak = CLAMP (c->peak, 1, PEAK_MAX);
}

bool
step_model_is_fresh (const struct step_curve *c, int64_t now_ms)
{
  return c->at_ms != 0 && now_ms - c->at_ms <= STEP_FRESH_MS;
}

double
step_model_slope_ms (const struct step_curve *c)
{
  if (c->weight <= 0)
    return 0;
  double batch = c->batch / c->weight;
  double gap = c->gap_ms / c->weight;
  double covariance = c->batch_gap - c->batch * gap;
  double variance = c->batch_batch - c->batch * batch;
  double slope = (covariance + PRIOR_SLOPE_WEIGHT * PRIOR_SLOPE * gap)
                 / (MAX (variance, 0) + PRIOR_SLOPE_WEIGHT);
  return CLAMP (slope, 0, gap * (1 - BASE_MIN_PART) / MAX (batch, 1));
}

double
step_model_gap_ms (const struct step_curve *c, unsigned batch)
{
  if (c->weight <= 0)
    return 0;
  double mean_batch = c->batch / c->weight;
  return c->gap_ms / c->weight
         + step_model_slope_ms (c) * ((double)batch - mean_batch);
}

double
step_model_longest_ms (const struct step_curve *c, double gap_ms)
{
  return gap_ms * (c->peak > 0 ? c->peak : PEAK_START);
}

unsigned
step_model_batch_max (const struct step_curve *c, double pace, double limit_ms,
                      unsigned most)
{
  unsigned batch = 1;
  while (batch < most
         && step_model_longest_ms (c, step_model_gap_ms (c, batch + 1) * pace)
                <= limit_ms)
    batch++;
  return batch;
}
