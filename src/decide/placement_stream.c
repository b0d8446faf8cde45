/** @file
    The whole answer of a stream: expected time to its last event, and its
    longest gap.  */
#include "decide/placement_parts.h"

#include <string.h>
#include <xxhash.h>

/* Cost of each ms of the answer, and of each ms by which it delays the other
   streams of the engine.  Below 1, as a stream has its result with each
   event.  */
#define ANSWER_COST 0.25
/* Cost of each ms by which a large answer ends after the deadline.  */
#define LATE_COST 1.0
/* Cost of a longest gap of twice the target; others cost in proportion, up to
   GAP_EXCESS_MAX times as much.  */
#define GAP_COST_MS 1000.0
#define GAP_EXCESS_MAX 4.0
/* A stream at an engine that is not reserved costs as much as twice the target
   gap if the wait for prefill at such engines is this part of the target: its
   gaps then contain several prefills.  */
#define PREFILL_WAIT_PART 0.25
/* The cost rises by up to this part at random, so that VMs that know the same
   loads, some tenths of a second old, choose different engines.  */
#define SPREAD 0.15
/* Cost of a prefill that stops streams for longer than their target, relative
   to a short one.  */
#define GAP_MISSED_FACTOR 4.0

/* Returns a number from 0 to 1 that is drawn for X and SEED.  */
static double
drawn_part (const struct upstream *x, uint64_t seed)
{
  const char *id = x->info.id;
  return (double)XXH64 (id, strlen (id), seed) / 0x1p64;
}

double
placement_estimate_stream (const struct upstreams *u, const struct upstream *x,
                           const struct placement_stream *stream,
                           const struct upstream_load *load, double first_ms,
                           uint64_t seed, int64_t now_ms,
                           struct upstream_choice *out)
{
  const struct step_curve *curve = upstreams_step_curve (u, x->info.service);
  double pace = step_model_pace (&x->pace, now_ms);
  unsigned batch = MIN (load->running + 1, MAX (x->info.slots, 1));
  double gap_ms = step_model_gap_ms (curve, batch) * pace;
  out->events = stream->events;
  if (gap_ms <= 0 || stream->events <= 0)
    return 0;
  out->event_gap_ms = gap_ms;
  out->done_ms = first_ms + stream->events * gap_ms;
  if (step_model_is_fresh (curve, now_ms) && load->running > 0)
    out->median_done_ms = first_ms + stream->events_median * gap_ms;
  double delay_ms = step_model_slope_ms (curve) * pace * load->events_left;
  double cost = (stream->events * gap_ms + delay_ms) * ANSWER_COST;
  double late_ms = first_ms + stream->events_high * gap_ms - stream->left_ms;
  if (late_ms > 0)
    cost += late_ms * LATE_COST;
  double longest_ms = step_model_longest_ms (curve, gap_ms);
  if (longest_ms > stream->gap_ms)
    cost
        += MIN (longest_ms / stream->gap_ms - 1, GAP_EXCESS_MAX) * GAP_COST_MS;
  double wait_ms = placement_prefill_wait_ms (u, x->info.service);
  if (!x->reserved || x->reserve_ends)
    cost += MIN (wait_ms / (stream->gap_ms * PREFILL_WAIT_PART), 1)
            * GAP_COST_MS;
  return cost * (1 + SPREAD * drawn_part (x, seed));
}

double
placement_gap_factor (const struct upstreams *u, const struct upstream *x,
                      double compute_ms, int64_t now_ms)
{
  double limit_ms = upstreams_engine_limits (u, x->info.service).event_gap_ms;
  if (limit_ms <= 0)
    return 1;
  const struct step_curve *curve = upstreams_step_curve (u, x->info.service);
  double gap_ms
      = step_model_gap_ms (curve, 1) * step_model_pace (&x->pace, now_ms);
  return step_model_longest_ms (curve, gap_ms) + compute_ms > limit_ms
             ? GAP_MISSED_FACTOR
             : 1;
}
