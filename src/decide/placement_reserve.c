/** @file
    Reservation of decode engines for short prompts.  */
#include "decide/placement_parts.h"

#include <math.h>
#include <string.h>

/* One more decode engine is reserved for each time that the short requests
   fill this percentage of an engine's slots, or keep an engine's prefill busy
   for this share of the time.  */
#define RESERVED_FILL_PERCENT 100
#define RESERVED_BUSY_MAX 0.5
/* Streams with a target for their gaps fill at most this percentage of an
   engine's slots, and engines are reserved for this many times the streams
   that run: VMs know each other's streams late.  */
#define STREAM_FILL_PERCENT 50
#define STREAM_HEADROOM 1.25
/* The longer the long prompts wait at the other engines, the fewer are
   reserved for streams; from LONG_QUEUE_MAX_MS on, no more than without a
   target for gaps.  The moving average of that wait covers several bursts:
   each change moves streams.  */
#define LONG_QUEUE_MAX_MS 25.0
#define LONG_QUEUE_AVERAGE_MS 4000.0
/* Engines whose paces differ by less than this factor count as equally fast,
   so that VMs with slightly different samples reserve the same ones.  One that
   runs streams counts as faster by PACE_STEPS_KEPT steps: all VMs know of its
   streams.  */
#define PACE_STEP 1.25
#define PACE_STEPS_KEPT 2.0
/* Engines are marked anew at this interval if they are ordered by their
   pace.  */
#define MARK_INTERVAL_MS 20

/* Whether X may be reserved: one whose requests a second are limited may take
   too few.  */
static bool
may_reserve (const struct upstream *x, const char *service, int64_t now_ms)
{
  return placement_is_decode_engine (x, service, now_ms)
         && !x->rate.limit.in_force;
}

/* What engines are reserved for.  */
struct demand
{
  unsigned engines;    /* that may be reserved */
  unsigned slots;      /* of the largest of them */
  unsigned generating; /* short requests that run there */
  unsigned others;     /* engines that are not reserved yet */
  double queue_ms;     /* sum of the waits for prefill there */
};

static struct demand
find_demand (const struct upstreams *u, const char *service, int64_t now_ms)
{
  struct demand d = { 0 };
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      if (!may_reserve (x, service, now_ms))
        continue;
      d.engines++;
      d.slots = MAX (d.slots, x->info.slots);
      struct upstream_load load = upstreams_total_load (x, now_ms);
      d.generating += load.generating;
      if (x->reserved)
        continue;
      d.others++;
      d.queue_ms += engine_model_compute_ms (&x->prefill, load.tokens);
    }
  return d;
}

/* Returns how many engines are reserved whatever their pace.  */
static unsigned
count_wanted (const struct upstreams *u, const char *service,
              const struct demand *d, int64_t now_ms)
{
  unsigned capacity = MAX (d->slots * RESERVED_FILL_PERCENT / 100, 1);
  double busy = upstreams_short_demand (u, service, now_ms);
  unsigned wanted
      = 1
        + MAX (d->generating / capacity, (unsigned)(busy / RESERVED_BUSY_MAX));
  return MIN (wanted, d->engines - MIN (d->engines, 1));
}

/* Returns how many engines may be reserved for the streams of S, at least
   WANTED: up to half of them, as far as the others keep up with the long
   prompts.  */
static unsigned
count_most (struct stream_state *s, const struct demand *d, unsigned wanted,
            int64_t now_ms)
{
  double age_ms = (double)MAX (now_ms - s->marked_ms, 0);
  double weight = 1 - exp (-age_ms / LONG_QUEUE_AVERAGE_MS);
  double queue_ms = d->queue_ms / MAX (d->others, 1);
  s->queue_ms += (queue_ms - s->queue_ms) * weight;
  double part = 1 - MIN (s->queue_ms / LONG_QUEUE_MAX_MS, 1);
  unsigned half = d->engines / 2;
  if (half <= wanted)
    return wanted;
  return wanted + (unsigned)((half - wanted) * part + 0.5);
}

static void
clear_marks (const struct upstreams *u, const char *service)
{
  for (guint i = 1; i < u->slots->len; i++)
    {
      struct upstream *x = upstreams_entry (u, i);
      if (x->used && strcmp (x->info.service, service) == 0)
        {
          x->reserved = false;
          x->reserve_ends = false;
        }
    }
}

/* Marks the WANTED engines of SERVICE with the highest reserve_rank.  */
static void
mark_by_rank (const struct upstreams *u, const char *service, unsigned wanted,
              int64_t now_ms)
{
  clear_marks (u, service);
  for (; wanted > 0; wanted--)
    {
      struct upstream *first = NULL;
      for (guint i = 1; i < u->slots->len; i++)
        {
          struct upstream *x = upstreams_entry (u, i);
          if (may_reserve (x, service, now_ms) && !x->reserved
              && (first == NULL || x->reserve_rank > first->reserve_rank))
            first = x;
        }
      if (first == NULL)
        return;
      first->reserved = true;
    }
}

/* An engine that may be reserved for streams.  */
struct candidate
{
  struct upstream *x;
  double pace;
  bool is_used;      /* runs short requests */
  bool was_reserved; /* until now */
  double slowness;   /* the pace in steps, 0 for the mean */
};

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const struct candidate *c = a;
  const struct candidate *d = b;
  if (c->slowness != d->slowness)
    return c->slowness < d->slowness ? -1 : 1;
  if (c->x->reserve_rank == d->x->reserve_rank)
    return 0;
  return c->x->reserve_rank > d->x->reserve_rank ? -1 : 1;
}

/* Returns the engines of SERVICE that may be reserved, best first.  */
static GArray *
find_candidates (const struct upstreams *u, const char *service,
                 int64_t now_ms)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  for (guint i = 1; i < u->slots->len; i++)
    {
      struct upstream *x = upstreams_entry (u, i);
      if (!may_reserve (x, service, now_ms))
        continue;
      struct candidate c
          = { .x = x,
              .pace = step_model_pace (&x->pace, now_ms),
              .is_used = upstreams_total_load (x, now_ms).generating > 0,
              .was_reserved = x->reserved };
      double kept = c.is_used ? PACE_STEPS_KEPT : 0;
      c.slowness = round (log (c.pace) / log (PACE_STEP) - kept);
      g_array_append_val (out, c);
    }
  g_array_sort (out, compare_candidates);
  return out;
}

/* Keeps long prompts off the engines of CANDIDATES, from index FROM on, that
   were reserved and still run streams, up to MOST in all.  They get no new
   streams as long as others have room.  */
static void
keep_used (GArray *candidates, guint from, unsigned most)
{
  unsigned marked = from;
  for (guint i = from; i < candidates->len && marked < most; i++)
    {
      const struct candidate *c
          = &g_array_index (candidates, struct candidate, i);
      if (!c->was_reserved || !c->is_used)
        continue;
      c->x->reserved = true;
      c->x->reserve_ends = true;
      marked++;
    }
}

/* Marks at least WANTED engines of SERVICE, and up to MOST, as many as run the
   streams of D with gaps of at most GAP_MS.  */
static void
mark_by_pace (const struct upstreams *u, const char *service,
              const struct demand *d, unsigned wanted, unsigned most,
              double gap_ms, int64_t now_ms)
{
  const struct step_curve *curve = upstreams_step_curve (u, service);
  g_autoptr (GArray) candidates = find_candidates (u, service, now_ms);
  unsigned fill = MAX (d->slots * STREAM_FILL_PERCENT / 100, 1);
  double missing = d->generating * STREAM_HEADROOM;
  guint i = 0;
  clear_marks (u, service);
  for (; i < candidates->len && i < most && (i < wanted || missing > 0); i++)
    {
      const struct candidate *c
          = &g_array_index (candidates, struct candidate, i);
      c->x->reserved = true;
      missing -= step_model_batch_max (curve, c->pace, gap_ms, fill);
    }
  /* The bound is midway between MOST and half of the engines: engines above
     MOST are kept only for seconds, until their streams end.  */
  keep_used (candidates, i, MAX (most, (most + d->engines / 2) / 2));
}

double
placement_prefill_wait_ms (const struct upstreams *u, const char *service)
{
  const struct stream_state *s = g_hash_table_lookup (u->streams, service);
  return s ? s->queue_ms : 0;
}

void
placement_mark_reserved (const struct upstreams *u, const char *service,
                         int64_t now_ms)
{
  double gap_ms = upstreams_engine_limits (u, service).event_gap_ms;
  struct stream_state *s = g_hash_table_lookup (u->streams, service);
  bool by_pace = gap_ms > 0 && s && s->curve.weight > 0;
  if (by_pace && s->marked_ms != 0 && now_ms >= s->marked_ms
      && now_ms - s->marked_ms < MARK_INTERVAL_MS)
    return;
  struct demand d = find_demand (u, service, now_ms);
  unsigned wanted = count_wanted (u, service, &d, now_ms);
  if (!by_pace)
    {
      mark_by_rank (u, service, wanted, now_ms);
      return;
    }
  unsigned most = count_most (s, &d, wanted, now_ms);
  s->marked_ms = now_ms;
  mark_by_pace (u, service, &d, wanted, most, gap_ms, now_ms);
}
