#include "decide/load_reports.h"

/* The latest report of a source.  */
struct source
{
  int64_t reported_ms;
  GHashTable *loads; /* upstream -> struct upstream_load */
};

struct load_reports
{
  unsigned fresh_ms;
  GHashTable *sources; /* name -> struct source */
};

static void
source_free (void *p)
{
  struct source *s = p;
  g_hash_table_destroy (s->loads);
  g_free (s);
}

struct load_reports *
load_reports_create (unsigned fresh_ms)
{
  struct load_reports *l = g_new0 (struct load_reports, 1);
  l->fresh_ms = fresh_ms;
  l->sources
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, source_free);
  return l;
}

void
load_reports_destroy (struct load_reports *l)
{
  if (l == NULL)
    return;
  g_hash_table_destroy (l->sources);
  g_free (l);
}

void
load_reports_begin (struct load_reports *l, const char *source, int64_t now_ms)
{
  struct source *s = g_new0 (struct source, 1);
  s->reported_ms = now_ms;
  s->loads = load_table_create ();
  g_hash_table_replace (l->sources, g_strdup (source), s);
}

void
load_reports_add (struct load_reports *l, const char *source,
                  const char *upstream, const struct upstream_load *load)
{
  struct source *s = g_hash_table_lookup (l->sources, source);
  if (s)
    load_table_add (s->loads, upstream, load);
}

void
load_reports_sum_into (const struct load_reports *l, int64_t now_ms,
                       GHashTable *out)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, l->sources);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct source *s = value;
      GHashTableIter loads;
      gpointer id;
      gpointer load;
      if (now_ms - s->reported_ms > (int64_t)l->fresh_ms)
        continue;
      g_hash_table_iter_init (&loads, s->loads);
      while (g_hash_table_iter_next (&loads, &id, &load))
        load_table_add (out, id, load);
    }
}

GHashTable *
load_table_create (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Sum of the gaps that LOAD reports, in us.  */
static uint64_t
gap_sum (const struct upstream_load *load)
{
  return (uint64_t)load->gap_us * load->gap_events;
}

static void
set_gap (struct upstream_load *load, uint64_t sum, uint32_t events)
{
  load->gap_us = events > 0 ? (uint32_t)(sum / events) : 0;
  load->gap_events = events;
}

/* Makes the gap of SUM the mean over the events of SUM and LOAD.  */
static void
add_gap (struct upstream_load *sum, const struct upstream_load *load)
{
  set_gap (sum, gap_sum (sum) + gap_sum (load),
           sum->gap_events + load->gap_events);
}

/* Removes the events of LOAD, part of SUM, from the gap of SUM.  */
static void
subtract_gap (struct upstream_load *sum, const struct upstream_load *load)
{
  uint64_t all = gap_sum (sum);
  set_gap (sum, all - MIN (all, gap_sum (load)),
           sum->gap_events - MIN (sum->gap_events, load->gap_events));
}

void
load_table_add (GHashTable *table, const char *upstream,
                const struct upstream_load *load)
{
  struct upstream_load *sum = g_hash_table_lookup (table, upstream);
  if (sum == NULL)
    {
      sum = g_new0 (struct upstream_load, 1);
      g_hash_table_insert (table, g_strdup (upstream), sum);
    }
  if (load->running > 0)
    sum->quiet_ms = sum->running > 0 ? MIN (sum->quiet_ms, load->quiet_ms)
                                     : load->quiet_ms;
  sum->running += load->running;
  sum->generating += load->generating;
  sum->tokens += load->tokens;
  sum->events_left += load->events_left;
  add_gap (sum, load);
}

void
load_table_subtract (GHashTable *table, const char *upstream,
                     const struct upstream_load *load)
{
  struct upstream_load *sum = g_hash_table_lookup (table, upstream);
  if (sum == NULL)
    return;
  sum->running -= MIN (sum->running, load->running);
  sum->generating -= MIN (sum->generating, load->generating);
  sum->tokens -= MIN (sum->tokens, load->tokens);
  sum->events_left -= MIN (sum->events_left, load->events_left);
  subtract_gap (sum, load);
}
