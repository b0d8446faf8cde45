#include "decide/prefill_split.h"

#include "decide/prefill_demand.h"
#include "decide/upstreams_table.h"

#include <math.h>
#include <string.h>

/* More engines are made prefill-only only if the last complete window has this
   many requests.  */
#define ARRIVALS_MIN 10
/* Prefill rate assumed for a prefill-only engine while none has samples.  */
#define PREFILL_TOKENS_PER_MS 250.0
#define TOKENS_PER_UNIT 1000.0
/* Maximum share of prefill-only engines: the others must fetch the KV cache
   from them and decode.  */
#define PREFILL_ENGINES_MAX_PERCENT 55
/* Engines are made prefill-only only if the arriving prompts would keep more
   than this share of the maximum number of prefill-only engines busy.  Cached
   parts count: which are cached is not known of all engines.  A lower share is
   enough to go on, so that the rate that is learned from the first
   prefill-only engines does not stop the change half-way.  */
#define GROW_UTILIZATION_PERCENT 25
#define GROWING_UTILIZATION_PERCENT 16
/* Prefill-only engines are needed if the parts of prompts that are not cached
   keep more than NEEDED_PERCENT of all engines busy, and nearly idle below
   IDLE_PERCENT, if at the same time no more than BUSY_PERCENT of them have
   requests of any VM: few requests may arrive at this one.  */
#define NEEDED_PERCENT 1.0
#define IDLE_PERCENT 0.5
#define BUSY_PERCENT 10.0
/* Share of the decode engines' slots that generating requests may fill, above
   which engines change back until they fill the lower share.  Both are lower
   while the prefill-only engines are nearly idle.  */
#define FILL_MAX 0.85
#define FILL_TARGET 0.7
#define IDLE_FILL_MAX 0.5
#define IDLE_FILL_TARGET 0.35
/* Share of their time for which prefill-only engines may be busy.  */
#define PREFILL_UTILIZATION 0.5
/* Minimum time between two changes of an engine; for as long no engine is made
   prefill-only after one was changed back.  */
#define CHANGE_COOLDOWN_MS 15000
/* Time after an order in which the engine counts as changing: it may not
   report the new role yet.  */
#define CHANGING_MS (CHANGE_COOLDOWN_MS / 3)
/* Maximum share of engines that change at the same time; one may always
   change.  Of the engines that prefill demand does not need, more may change
   back at the same time.  */
#define CONCURRENT_CHANGES_PERCENT 12
#define CONCURRENT_SURPLUS_PERCENT 50
/* Time for which a plan is assumed to hold: a change must gain its price in
   it.  */
#define PLAN_MS 30000.0
/* Time for which an engine accepts no requests while it changes its role, if
   the configuration does not state it, and the time that its running requests
   may take before.  */
#define DEFAULT_ROLE_CHANGE_MS 3000
#define RUNNING_REQUESTS_MS 1000

/* Latest order to an engine.  */
struct order
{
  enum upstream_role to;
  int64_t at_ms;
};

struct prefill_split
{
  GHashTable *demands; /* service -> struct prefill_demand */
  GHashTable *orders;  /* engine -> struct order */
};

struct prefill_split *
prefill_split_create (void)
{
  struct prefill_split *s = g_new0 (struct prefill_split, 1);
  s->demands = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  s->orders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return s;
}

void
prefill_split_destroy (struct prefill_split *s)
{
  if (s == NULL)
    return;
  g_hash_table_destroy (s->demands);
  g_hash_table_destroy (s->orders);
  g_free (s);
}

unsigned
prefill_split_change_ms (const struct upstreams *u, const char *service)
{
  struct engine_limits limits = { 0 };
  if (service)
    limits = upstreams_engine_limits (u, service);
  return RUNNING_REQUESTS_MS
         + (limits.role_change_ms > 0 ? limits.role_change_ms
                                      : DEFAULT_ROLE_CHANGE_MS);
}

/* Engines of a service and their orders.  */

/* Whether X is an engine of SERVICE that is not leaving.  */
static bool
is_engine (const struct upstream *x, const char *service)
{
  return x->used && !x->info.leaving && x->info.role != UPSTREAM_SERVICE
         && strcmp (x->info.service, service) == 0;
}

/* The order to X if it was sent less than AGE_MS ago, otherwise NULL.  */
static const struct order *
recent_order (const struct prefill_split *s, const struct upstream *x,
              int64_t age_ms, int64_t now_ms)
{
  const struct order *o = g_hash_table_lookup (s->orders, x->info.id);
  return o && now_ms - o->at_ms < age_ms ? o : NULL;
}

/* The role that X has or was just ordered to take.  */
static enum upstream_role
planned_role (const struct prefill_split *s, const struct upstream *x,
              int64_t now_ms)
{
  const struct order *o = recent_order (s, x, CHANGING_MS, now_ms);
  return o ? o->to : x->info.role;
}

/* The engines of one service.  */
struct fleet
{
  unsigned engines;
  unsigned prefill_engines; /* by planned role */
  unsigned slots;
  unsigned generating;   /* requests of all VMs */
  unsigned busy_prefill; /* prefill-only engines with requests */
  unsigned changing;     /* engines ordered less than CHANGING_MS ago */
  bool grows;            /* one was made prefill-only recently */
  bool shrinks;          /* one was changed back recently */
  double rate_sum; /* of prefill-only engines with samples, tokens per ms */
  unsigned rates;
};

static void
add_engine (const struct prefill_split *s, const struct upstream *x,
            int64_t now_ms, struct fleet *f)
{
  const struct order *o = recent_order (s, x, CHANGE_COOLDOWN_MS, now_ms);
  f->engines++;
  f->prefill_engines += planned_role (s, x, now_ms) == UPSTREAM_PREFILL;
  f->slots += x->info.slots;
  struct upstream_load load = upstreams_total_load (x, now_ms);
  f->generating += load.generating;
  f->busy_prefill += x->info.role == UPSTREAM_PREFILL && load.running > 0;
  f->changing += recent_order (s, x, CHANGING_MS, now_ms) != NULL;
  f->grows |= o && o->to == UPSTREAM_PREFILL;
  f->shrinks |= o && o->to == UPSTREAM_DECODE;
  if (x->info.role == UPSTREAM_PREFILL && x->prefill.rates.samples > 0)
    {
      f->rate_sum += TOKENS_PER_UNIT / x->prefill.rates.ms_per_1000;
      f->rates++;
    }
}

static struct fleet
survey (const struct prefill_split *s, const struct upstreams *u,
        const char *service, int64_t now_ms)
{
  struct fleet f = { 0 };
  for (guint i = 1; i < u->slots->len; i++)
    if (is_engine (upstreams_entry (u, i), service))
      add_engine (s, upstreams_entry (u, i), now_ms, &f);
  return f;
}

static double
tokens_per_ms (const struct fleet *f)
{
  return f->rates > 0 ? f->rate_sum / f->rates : PREFILL_TOKENS_PER_MS;
}

/* Demand measurement.  */

/* Tokens of PROMPT that a prefill-only engine of SERVICE may have to prefill:
   none of a short prompt, nor what one of the engines is known to cache.  */
static uint64_t
uncached_tokens (const struct upstreams *u, const char *service,
                 const struct prompt *prompt)
{
  uint64_t cached = 0;
  if (prompt->tokens < LONG_PROMPT_MIN_TOKENS)
    return 0;
  for (guint i = 1; prompt->n_parts > 0 && i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      if (is_engine (x, service))
        cached = MAX (cached, prefix_index_match (x->prefix_index, prompt));
    }
  return prompt->tokens - MIN (prompt->tokens, cached);
}

void
prefill_split_record_request (struct prefill_split *s,
                              const struct upstreams *u, const char *service,
                              const struct prompt *prompt, int64_t now_ms)
{
  struct prefill_demand *d = g_hash_table_lookup (s->demands, service);
  if (d == NULL)
    {
      d = g_new0 (struct prefill_demand, 1);
      prefill_demand_start (d, now_ms);
      g_hash_table_insert (s->demands, g_strdup (service), d);
    }
  prefill_demand_record (d, prompt->tokens,
                         uncached_tokens (u, service, prompt), now_ms);
}

/* Number of engines that TOKENS of the previous window of W keep busy, if one
   prefills RATE of this VM's tokens per ms.  */
static double
demand (const struct prefill_window *w, uint64_t tokens, double rate)
{
  return w->previous_ms > 0 ? (double)tokens / (double)w->previous_ms / rate
                            : 0;
}

/* Returns the demand of all of VMS VMs on the engines F, which take CHANGE_MS
   to change.  */
static struct prefill_split_inputs
measure (const struct prefill_demand *d, const struct fleet *f, unsigned vms,
         unsigned change_ms)
{
  struct prefill_split_inputs in
      = { .engines = f->engines, .prefill_engines = f->prefill_engines };
  const struct prefill_window *w = &d->window;
  const struct prefill_window *recent = &d->recent;
  double rate = tokens_per_ms (f) / vms;
  double slots = (double)MAX (f->slots, 1) / MAX (f->engines, 1);
  in.prefill_demand = demand (w, w->previous.prompt_tokens, rate);
  in.uncached_demand = demand (w, w->previous.uncached_tokens, rate);
  in.is_idle = recent->previous_ms > 0
               && demand (recent, recent->previous.uncached_tokens, rate)
                      < in.engines * IDLE_PERCENT / 100
               && d->busy_prefill <= in.prefill_engines * BUSY_PERCENT / 100;
  in.decode_demand = prefill_demand_generating (d, 0) / slots;
  in.expected_decode_demand = prefill_demand_generating (d, change_ms) / slots;
  return in;
}

/* The plan: how many engines prefill only.  */

/* Largest number of prefill-only engines with which the decode demand DEMAND
   fills no more than the share FILL of the slots of the others.  */
static unsigned
prefill_engines_at (const struct prefill_split_inputs *in, double demand,
                    double fill)
{
  double decode_engines = ceil (demand / fill);
  return decode_engines < in->engines ? in->engines - (unsigned)decode_engines
                                      : 0;
}

/* Number of prefill-only engines that prefill demand needs.  */
static unsigned
needed_prefill_engines (const struct prefill_split_inputs *in)
{
  double n = ceil (in->uncached_demand / PREFILL_UTILIZATION);
  return n < in->prefill_engines ? (unsigned)n : in->prefill_engines;
}

/* Whether arriving prompts justify more prefill-only engines.  GROWS: there
   were fewer a short time ago.  */
static bool
prefill_is_worthwhile (const struct prefill_split_inputs *in, bool grows)
{
  unsigned max = in->engines * PREFILL_ENGINES_MAX_PERCENT / 100;
  unsigned percent
      = grows ? GROWING_UTILIZATION_PERCENT : GROW_UTILIZATION_PERCENT;
  return in->prefill_demand > (double)max * percent / 100
         && in->uncached_demand > in->engines * NEEDED_PERCENT / 100;
}

/* Number of prefill-only engines wanted for the demand in IN; the present one
   if nothing calls for a change.  MAY_GROW: it may rise.  Engines change back
   when the present demand needs them, as many as the expected demand will: an
   expectation alone would take engines from prefill at the start of each rise
   that ends soon.  */
static unsigned
target_prefill_engines (const struct prefill_split_inputs *in, bool may_grow,
                        bool grows)
{
  unsigned max = in->engines * PREFILL_ENGINES_MAX_PERCENT / 100;
  unsigned now = in->prefill_engines;
  double present = in->decode_demand;
  double expected = in->expected_decode_demand;
  if (now > prefill_engines_at (in, present, FILL_MAX))
    return MIN (now, prefill_engines_at (in, expected, FILL_TARGET));
  if (in->is_idle && now > prefill_engines_at (in, present, IDLE_FILL_MAX))
    return MIN (now, MAX (prefill_engines_at (in, expected, IDLE_FILL_TARGET),
                          needed_prefill_engines (in)));
  if (may_grow && prefill_is_worthwhile (in, grows))
    return MAX (now,
                MIN (max, prefill_engines_at (in, expected, FILL_TARGET)));
  return now;
}

/* Selection of the engines to change.  */

/* Price of a change of X, in ms of an engine's time: the change, which takes
   CHANGE_MS, the running requests, and the cached prefixes.  */
static double
change_price_ms (const struct upstream *x, unsigned change_ms, int64_t now_ms)
{
  double fill = (double)upstreams_total_load (x, now_ms).running
                / (double)MAX (x->info.slots, 1);
  return change_ms + fill * x->residence_ms
         + engine_model_compute_ms (&x->prefill,
                                    prefix_index_tokens (x->prefix_index));
}

/* Number of engines of the same service, planned role and failure domain as
   ENGINE, itself included.  */
static unsigned
count_same_role_in_domain (const struct prefill_split *s,
                           const struct upstreams *u,
                           const struct upstream *engine, int64_t now_ms)
{
  unsigned n = 0;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      n += is_engine (x, engine->info.service)
           && planned_role (s, x, now_ms) == engine->info.role
           && x->domain == engine->domain;
    }
  return n;
}

/* Number of changes in OUT that concern engines in the failure domain of X. */
static unsigned
count_selected_in_domain (const struct upstreams *u, const struct upstream *x,
                          const GArray *out)
{
  unsigned n = 0;
  for (guint i = 0; i < out->len; i++)
    {
      const struct upstream *o = upstreams_lookup (
          u, g_array_index (out, struct prefill_split_change, i).upstream);
      n += o && strcmp (o->info.service, x->info.service) == 0
           && o->domain == x->domain;
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

/* A search for the next engine to change.  */
struct selection
{
  enum upstream_role role; /* that the engine has now */
  unsigned change_ms;
  double gain_ms; /* highest price of the change */
};

/* Whether X may change: it accepts requests, was not ordered to change within
   the cooldown, and the change is worth its price.  */
static bool
may_change (const struct prefill_split *s, const struct upstream *x,
            const struct selection *sel, int64_t now_ms)
{
  return x->info.role == sel->role
         && recent_order (s, x, CHANGE_COOLDOWN_MS, now_ms) == NULL
         && upstreams_entry_accepts (x, now_ms)
         && change_price_ms (x, sel->change_ms, now_ms) <= sel->gain_ms;
}

/* Sort key for engines in failure domains that have equally many: the engine
   with the lower value is changed.  Engines with a high reserve_rank are kept
   free of long prompts, for requests that are nearly all decode, and do not
   become prefill-only.  Of those that change back, the cheapest.  */
static double
change_order (const struct upstream *x, const struct selection *sel,
              int64_t now_ms)
{
  return sel->role == UPSTREAM_DECODE
             ? (double)x->reserve_rank
             : change_price_ms (x, sel->change_ms, now_ms);
}

/* Selects the next engine of SERVICE to change, in the failure domain that has
   the most engines of its role, less the changes in OUT.  The last decode
   engine of a failure domain is not selected.  Returns 0 without a
   candidate.  */
static upstream_handle
select_engine (const struct prefill_split *s, const struct upstreams *u,
               const char *service, const struct selection *sel,
               const GArray *out, int64_t now_ms)
{
  upstream_handle best = 0;
  unsigned highest = 0;
  double best_order = 0;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      upstream_handle h = upstreams_handle_of (u, i);
      if (!is_engine (x, service) || !may_change (s, x, sel, now_ms)
          || is_selected (out, h))
        continue;
      unsigned n = count_same_role_in_domain (s, u, x, now_ms);
      n -= MIN (n, count_selected_in_domain (u, x, out));
      if (n < 2 && sel->role == UPSTREAM_DECODE)
        continue;
      double order = change_order (x, sel, now_ms);
      if (best == 0 || n > highest || (n == highest && order < best_order))
        {
          best = h;
          highest = n;
          best_order = order;
        }
    }
  return best;
}

/* Number of engines that may change at the same time.  */
static unsigned
concurrent_changes (const struct prefill_split_inputs *in)
{
  unsigned max = MAX (in->engines * CONCURRENT_CHANGES_PERCENT / 100, 1);
  unsigned surplus = in->prefill_engines - needed_prefill_engines (in);
  if (in->wanted_prefill_engines >= in->prefill_engines)
    return max;
  return MAX (max,
              MIN (surplus, in->engines * CONCURRENT_SURPLUS_PERCENT / 100));
}

/* Appends the changes of SERVICE to OUT, and sets INPUTS if there are any.  */
static void
decide_service (struct prefill_split *s, const struct upstreams *u,
                const char *service, unsigned vms, int64_t now_ms, GArray *out,
                struct prefill_split_inputs *inputs)
{
  struct prefill_demand *d = g_hash_table_lookup (s->demands, service);
  struct selection sel = { .change_ms = prefill_split_change_ms (u, service) };
  struct fleet f = survey (s, u, service, now_ms);
  prefill_demand_roll (d, now_ms);
  prefill_demand_sample (d, f.generating, f.busy_prefill, now_ms);
  struct prefill_split_inputs in = measure (d, &f, vms, sel.change_ms);
  bool may_grow = d->window.previous.requests >= ARRIVALS_MIN && !f.shrinks;
  in.wanted_prefill_engines = target_prefill_engines (&in, may_grow, f.grows);
  bool grow = in.wanted_prefill_engines > in.prefill_engines;
  unsigned needed = grow ? in.wanted_prefill_engines - in.prefill_engines
                         : in.prefill_engines - in.wanted_prefill_engines;
  unsigned max_changing = concurrent_changes (&in);
  sel.role = grow ? UPSTREAM_DECODE : UPSTREAM_PREFILL;
  guint before = out->len;
  for (; needed > 0 && f.changing + (out->len - before) < max_changing;
       needed--)
    {
      sel.gain_ms = needed * PLAN_MS;
      struct prefill_split_change c
          = { select_engine (s, u, service, &sel, out, now_ms),
              grow ? UPSTREAM_PREFILL : UPSTREAM_DECODE };
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
                            enum upstream_role to, int64_t now_ms)
{
  struct order *o = g_new (struct order, 1);
  *o = (struct order){ .to = to, .at_ms = now_ms };
  g_hash_table_replace (s->orders, g_strdup (engine), o);
}
