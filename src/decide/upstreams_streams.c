/** @file
    Measurement of engines by the events of the streams that they send.  */
#include "decide/upstreams_table.h"

#include <math.h>

/* Time constant of the gaps that a VM reports.  */
#define GAP_WINDOW_MS 1000.0
/* VMs report every tenth of that window.  */
#define REPORT_WEIGHT 0.1
#define US_PER_MS 1000.0
/* Fewest events of a stream whose longest gap is learned from.  */
#define PEAK_EVENTS_MIN 8

const struct step_curve *
upstreams_step_curve (const struct upstreams *u, const char *service)
{
  static const struct step_curve none = { 0 };
  const struct stream_state *s = g_hash_table_lookup (u->streams, service);
  return s ? &s->curve : &none;
}

/* Returns the curve of SERVICE, a new one if there is none.  */
static struct step_curve *
get_curve (struct upstreams *u, const char *service)
{
  struct stream_state *s = g_hash_table_lookup (u->streams, service);
  if (s == NULL)
    {
      s = g_new0 (struct stream_state, 1);
      g_hash_table_insert (u->streams, g_strdup (service), s);
    }
  return &s->curve;
}

/* Learns from EVENTS events at X, GAP_MS apart.  */
static void
learn (struct upstreams *u, struct upstream *x, double gap_ms, double events,
       int64_t now_ms)
{
  unsigned running = upstreams_total_load (x, now_ms).running;
  struct step_sample s = { .gap_ms = gap_ms,
                           .events = events,
                           .batch = MIN (running, MAX (x->info.slots, 1)) };
  step_model_learn (get_curve (u, x->info.service), &x->pace, &s, now_ms);
}

static double
remaining_part (const struct stream_gaps *g, int64_t now_ms)
{
  return exp (-(double)MAX (now_ms - g->at_ms, 0) / GAP_WINDOW_MS);
}

/* Counts EVENTS events, GAP_MS apart, in what this VM reports of X.  */
static void
add_gaps (struct upstream *x, double gap_ms, double events, int64_t now_ms)
{
  struct stream_gaps *g = &x->gaps;
  double left = remaining_part (g, now_ms);
  g->sum_ms = g->sum_ms * left + gap_ms * events;
  g->events = g->events * left + events;
  g->at_ms = now_ms;
}

static void
set_left (struct upstream *x, struct upstream_work *work, double left)
{
  x->events_left = MAX (x->events_left - work->events_left + left, 0);
  work->events_left = left;
}

void
upstreams_record_events (struct upstreams *u, struct upstream_work *work,
                         unsigned count, double left, int64_t now_ms)
{
  struct upstream *x = upstreams_lookup (u, work->handle);
  int64_t since_ms = work->event_ms;
  work->events += count;
  work->event_ms = now_ms;
  if (x == NULL || !work->open)
    return;
  set_left (x, work, left);
  if (work->first_event_ms == 0 || since_ms < u->resumed_ms)
    {
      work->first_event_ms = now_ms;
      work->events = count;
      work->longest_gap_ms = 0;
      return;
    }
  double took_ms = (double)(now_ms - since_ms);
  work->longest_gap_ms = MAX (work->longest_gap_ms, now_ms - since_ms);
  if (count == 0 || took_ms > STEP_GAP_MAX_MS)
    return;
  double gap_ms = MAX (took_ms, 1) / count;
  add_gaps (x, gap_ms, count, now_ms);
  learn (u, x, gap_ms, count, now_ms);
}

void
upstreams_ignore_gap (struct upstream_work *work)
{
  work->first_event_ms = 0;
}

void
upstreams_end_stream (struct upstreams *u, struct upstream *x,
                      struct upstream_work *work)
{
  set_left (x, work, 0);
  if (work->first_event_ms == 0 || work->events < PEAK_EVENTS_MIN)
    return;
  double took_ms = (double)(work->event_ms - work->first_event_ms);
  step_model_learn_peak (get_curve (u, x->info.service),
                         (double)work->longest_gap_ms,
                         took_ms / (work->events - 1));
}

void
upstreams_add_stream_load (const struct upstreams *u, upstream_handle h,
                           int64_t now_ms, struct upstream_load *load)
{
  const struct upstream *x = upstreams_lookup (u, h);
  if (x == NULL)
    return;
  double events = x->gaps.events * remaining_part (&x->gaps, now_ms);
  load->events_left = (uint32_t)MIN (x->events_left + 0.5, UINT32_MAX);
  load->gap_events = (uint32_t)MIN (events + 0.5, UINT32_MAX);
  load->gap_us = load->gap_events > 0
                     ? (uint32_t)(x->gaps.sum_ms / x->gaps.events * US_PER_MS)
                     : 0;
}

void
upstreams_learn_reported_gap (struct upstreams *u, struct upstream *x,
                              const struct upstream_load *load, int64_t now_ms)
{
  if (load->gap_events > 0)
    learn (u, x, load->gap_us / US_PER_MS, load->gap_events * REPORT_WEIGHT,
           now_ms);
}
