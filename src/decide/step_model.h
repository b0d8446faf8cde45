/** @file
    Time between the events of streams at an engine, as a function of the
    number of requests in its batch.

    One curve for each service holds how the time grows with the batch; each
    engine has a pace, its time relative to the curve.  A pace rests on the
    samples of the latest seconds and returns to 1, the mean of the service,
    without any.  No I/O, no clock; plain structs of fixed size.  */
#ifndef DECIDE_STEP_MODEL_H
#define DECIDE_STEP_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/** Curve of a service; all 0 before the first sample.  */
struct step_curve
{
  double weight;        /**< events behind the sums below, decayed */
  double batch, gap_ms; /**< weighted sums over samples */
  double batch_batch, batch_gap;
  double peak;   /**< longest gap of a stream relative to its mean gap; four of
                      five streams stay below */
  int64_t at_ms; /**< latest sample; 0 for none */
};

/** Pace of an engine; all 0 before the first sample.  */
struct step_pace
{
  double ratios; /**< weighted sum of measured / expected gaps */
  double weight; /**< events behind it, decayed */
  int64_t at_ms; /**< latest sample */
};

/** Events that arrived at an engine.  */
struct step_sample
{
  double gap_ms; /**< mean time between them */
  double events;
  unsigned batch; /**< requests in the batch */
};

/** Learns from SAMPLE.  Ignores a gap of 0 or less or above
    STEP_GAP_MAX_MS.  */
void step_model_learn (struct step_curve *c, struct step_pace *p,
                       const struct step_sample *sample, int64_t now_ms);

/** Longest gap that is learned from: a longer one is a stall.  */
#define STEP_GAP_MAX_MS 5000.0

/** Learns from a stream that has ended, with gaps of LONGEST_MS and, on
    average, MEAN_MS.  */
void step_model_learn_peak (struct step_curve *c, double longest_ms,
                            double mean_ms);

/** Whether C has samples of the latest STEP_FRESH_MS.  */
bool step_model_is_fresh (const struct step_curve *c, int64_t now_ms);
#define STEP_FRESH_MS 3000

/** Returns the pace of P at NOW_MS: above 1 for a slow engine.  */
double step_model_pace (const struct step_pace *p, int64_t now_ms);

/** Returns the expected time between events at an engine of mean pace that
    runs BATCH requests; 0 if nothing is known.  */
double step_model_gap_ms (const struct step_curve *c, unsigned batch);

/** Returns the time by which one more request in the batch delays each event
    at an engine of mean pace; 0 if nothing is known.  */
double step_model_slope_ms (const struct step_curve *c);

/** Returns the longest expected gap of a stream with gaps of GAP_MS on
    average.  */
double step_model_longest_ms (const struct step_curve *c, double gap_ms);

/** Returns the largest batch with which the longest gap at an engine of PACE
    is expected to stay within LIMIT_MS, up to MOST.  */
unsigned step_model_batch_max (const struct step_curve *c, double pace,
                               double limit_ms, unsigned most);

#endif
