#include "decide/prefill_split.h"

#include "decide/upstreams_table.h"

#include <string.h>

/* Demand is measured over windows of this length.  A decision uses the last
   complete window, if it has this many requests.  */
#define WINDOW_MS 2000
#define ARRIVALS_MIN 10
/* Prefill rate assumed for a prefill-only engine.  */
#define PREFILL_TOKENS_PER_MS 250.0
/* Maximum share of prefill-only engines: the others must fetch the KV cache
   from them and decode.  */
#define PREFILL_ENGINES_MAX_PERCENT 55
/* Ratio of prefill to decode demand above which engines are made prefill-only,
   and the lower ratio below which they are changed back.  Known fault: decode
   demand is always 0, so engines are never changed back.  */
#define GROW_DEMAND_RATIO 3.0
#define SHRINK_DEMAND_RATIO 1.5
/* Engines are made prefill-only only if the prefill demand keeps more than
   this share of the maximum number of prefill-only engines busy.  */
#define GROW_UTILIZATION_PERCENT 25
/* Minimum time between two changes of an engine, and the maximum share of
   engines that change at the same time; one may always change.  */
#define CHANGE_COOLDOWN_MS 15000
#define CONCURRENT_CHANGES_PERCENT 12

/* Requests for one service that arrived at this VM.  */
struct demand
{
  int64_t window_start_ms;       /* start of the current window */
  uint64_t prompt_tokens;        /* in the current window */
  unsigned arrivals;             /* requests in the current window */
  double previous_tokens_per_ms; /* tokens per ms in the previous window */
  unsigned previous_arrivals;    /* requests in the previous window */
};

struct prefill_split
{
  GHashTable *demands;     /* service -> struct demand */
  GHashTable *order_times; /* engine -> time of the last order, int64_t */
};

struct prefill_split *
prefill_split_create (void)
{
  struct prefill_split *s = g_new0 (struct prefill_split, 1);
  s->demands = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  s->order_times
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return s;
}

void
prefill_split_destroy (struct prefill_split *s)
{
  if (s == NULL)
    return;
  g_hash_table_destroy (s->demands);
  g_hash_table_destroy (s->order_times);
  g_free (s);
}

/* Demand measurement.  */

/* Ends the current window if it is at least WINDOW_MS old, and starts the next
   one.  */
static void
roll_window (struct demand *d, int64_t now_ms)
{
  int64_t ms = now_ms - d->window_start_ms;
  if (ms < WINDOW_MS)
    return;
  d->previous_tokens_per_ms = (double)d->prompt_tokens / (double)ms;
  d->previous_arrivals = d->arrivals;
  d->prompt_tokens = d->arrivals = 0;
  d->window_start_ms = now_ms;
}

void
prefill_split_record_request (struct prefill_split *s, const char *service,
                              const struct prompt *prompt, int64_t now_ms)
{
  struct demand *d = g_hash_table_lookup (s->demands, service);
  if (d == NULL)
    {
      d = g_new0 (struct demand, 1);
      d->window_start_ms = now_ms;
      g_hash_table_insert (s->demands, g_strdup (service), d);
    }
  roll_window (d, now_ms);
  d->arrivals++;
  d->prompt_tokens += prompt->tokens;
}

/* Selection of the engines to change.  */

/* Whether X is an engine of SERVICE that is not leaving.  */
static bool
is_engine (const struct upstream *x, const char *service)
{
  return x->used && !x->info.leaving && x->info.role != UPSTREAM_SERVICE
         && strcmp (x->info.service, service) == 0;
}

/* Whether X was not ordered to change within the cooldown.  */
static bool
may_change (const struct prefill_split *s, const struct upstream *x,
            int64_t now_ms)
{
  const int64_t *at = g_hash_table_lookup (s->order_times, x->info.id);
  return at == NULL || now_ms - *at >= CHANGE_COOLDOWN_MS;
}

/* Number of engines of the same service, role and failure domain as ENGINE,
   itself included.  */
static unsigned
count_same_role_in_domain (const struct upstreams *u,
                           const struct upstream *engine)
{
  unsigned n = 0;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      n += is_engine (x, engine->info.service)
           && x->info.role == engine->info.role && x->domain == engine->domain;
    }
  return n;
}

static bool
is_selected (const GArray *out, upstream_handle h)
{
  for (guint i = 0; i < out->len; i++)
    if (g_array_index (out, struct prefill_split_change, i).upstream == h)
      return true;
  return false;
}

/* Selects the next engine of ROLE to change: the one with the lowest
   reserve_rank in the failure domain that has the most of them, less the
   changes in OUT.  Engines with a high reserve_rank are kept free of long
   prompts, for requests that are nearly all decode.  The last decode engine
   of a failure domain is not selected.  Returns 0 without a candidate.  */
static upstream_handle
select_engine (const struct prefill_split *s, const struct upstreams *u,
               const char *service, enum upstream_role role, const GArray *out,
               int64_t now_ms)
{
  upstream_handle best = 0;
  unsigned highest = 0;
  uint64_t best_rank = 0;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      upstream_handle h = upstreams_handle_of (u, i);
      if (!is_engine (x, service) || x->info.role != role
          || !may_change (s, x, now_ms) || !upstreams_entry_accepts (x, now_ms)
          || is_selected (out, h))
        continue;
      unsigned n = count_same_role_in_domain (u, x);
      uint64_t rank = x->reserve_rank;
      for (guint k = 0; k < out->len; k++)
        {
          const struct upstream *o = upstreams_lookup (
              u, g_array_index (out, struct prefill_split_change, k).upstream);
          n -= o
               && strcmp (o->info.failure_domain, x->info.failure_domain) == 0;
        }
      if (n < 2 && role == UPSTREAM_DECODE)
        continue;
      if (best == 0 || n > highest || (n == highest && rank < best_rank))
        {
          best = h;
          highest = n;
          best_rank = rank;
        }
    }
  return best;
}

/* Number of engines of SERVICE whose last order is so recent that they may not
   report the new role yet.  */
static unsigned
count_changing (const struct prefill_split *s, const struct upstreams *u,
                const char *service, int64_t now_ms)
{
  unsigned n = 0;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      const int64_t *at
          = x->used ? g_hash_table_lookup (s->order_times, x->info.id) : NULL;
      n += at && is_engine (x, service)
           && now_ms - *at < CHANGE_COOLDOWN_MS / 3;
    }
  return n;
}

/* Number of prefill-only engines wanted for the demand in IN; the present one
   while the demand is between the two ratios.  */
static unsigned
target_prefill_engines (const struct prefill_split_inputs *in)
{
  unsigned max = in->engines * PREFILL_ENGINES_MAX_PERCENT / 100;
  double min_demand = (double)max * GROW_UTILIZATION_PERCENT / 100;
  if (in->prefill_demand > in->decode_demand * GROW_DEMAND_RATIO
      && in->prefill_demand > min_demand)
    return MAX (in->prefill_engines, max);
  if (in->prefill_demand < in->decode_demand * SHRINK_DEMAND_RATIO)
    return MIN (in->prefill_engines,
                (unsigned)(in->engines * in->prefill_demand
                           / MAX (in->prefill_demand + in->decode_demand, 1)));
  return in->prefill_engines;
}

/* Appends the changes of SERVICE to OUT, and sets INPUTS if there are any.  */
static void
decide_service (struct prefill_split *s, const struct upstreams *u,
                const char *service, unsigned vms, int64_t now_ms, GArray *out,
                struct prefill_split_inputs *inputs)
{
  struct demand *d = g_hash_table_lookup (s->demands, service);
  struct prefill_split_inputs in = { 0 };
  roll_window (d, now_ms);
  if (d->previous_arrivals < ARRIVALS_MIN)
    return;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      in.engines += is_engine (x, service);
      in.prefill_engines
          += is_engine (x, service) && x->info.role == UPSTREAM_PREFILL;
    }
  in.prefill_demand = d->previous_tokens_per_ms * vms / PREFILL_TOKENS_PER_MS;
  in.wanted_prefill_engines = target_prefill_engines (&in);
  unsigned changing = count_changing (s, u, service, now_ms);
  unsigned max_changing
      = MAX (in.engines * CONCURRENT_CHANGES_PERCENT / 100, 1);
  enum upstream_role from = in.wanted_prefill_engines > in.prefill_engines
                                ? UPSTREAM_DECODE
                                : UPSTREAM_PREFILL;
  unsigned needed = from == UPSTREAM_DECODE
                        ? in.wanted_prefill_engines - in.prefill_engines
                        : in.prefill_engines - in.wanted_prefill_engines;
  needed -= MIN (needed, changing);
  guint before = out->len;
  for (; needed > 0 && changing + (out->len - before) < max_changing; needed--)
    {
      struct prefill_split_change c
          = { select_engine (s, u, service, from, out, now_ms),
              from == UPSTREAM_DECODE ? UPSTREAM_PREFILL : UPSTREAM_DECODE };
      if (c.upstream == 0)
        break;
      g_array_append_val (out, c);
    }
  if (out->len > before)
    *inputs = in;
}

void
prefill_split_decide (struct prefill_split *s, const struct upstreams *u,
                      unsigned vms, int64_t now_ms, GArray *out,
                      struct prefill_split_inputs *inputs)
{
  GHashTableIter it;
  gpointer service;
  g_hash_table_iter_init (&it, s->demands);
  while (g_hash_table_iter_next (&it, &service, NULL))
    decide_service (s, u, service, vms, now_ms, out, inputs);
}

void
prefill_split_record_order (struct prefill_split *s, const char *engine,
                            int64_t now_ms)
{
  int64_t *at = g_new (int64_t, 1);
  *at = now_ms;
  g_hash_table_replace (s->order_times, g_strdup (engine), at);
}
