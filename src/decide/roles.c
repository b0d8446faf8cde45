#include "decide/roles.h"

#include <math.h>

/* Time constants of the two exponential averages of demand.  Decisions use the
   fast one; its distance from the slow one shows how long the mix of prefill
   and decode has been shifted.  */
#define FAST_TIME_CONSTANT_S 6.0
#define SLOW_TIME_CONSTANT_S 45.0
/* Utilization up to which engines answer in time.  It is lower for mixed
   engines, because prefill and decode delay each other there.  */
#define SINGLE_ROLE_MAX_UTILIZATION 0.93
#define MIXED_MAX_UTILIZATION 0.75
/* A shifted mix is expected to last about as long as it has lasted so far,
   within these bounds.  */
#define HORIZON_MIN_S 15.0
#define HORIZON_MAX_S 240.0
/* Shortest time between two changes, so that the next decision sees the effect
   of the last one.  */
#define CHANGE_COOLDOWN_MS 3000

struct roles
{
  struct roles_config config;
  int64_t last_demand_ms;
  bool started;                 /* the averages have a first sample */
  double arrivals;              /* requests per second */
  double prefill, prefill_slow; /* demand in busy engines */
  double decode, decode_slow;
  int64_t mix_shift_ms; /* when the fast and slow averages last had nearly the
                           same share of prefill */
  int64_t last_change_ms;
};

struct roles *
roles_create (const struct roles_config *config)
{
  struct roles *r = g_new0 (struct roles, 1);
  r->config = *config;
  return r;
}

void
roles_destroy (struct roles *r)
{
  g_free (r);
}

void
roles_configure (struct roles *r, const struct roles_config *config)
{
  r->config = *config;
}

static void
update_average (double *value, double sample, double dt, double time_constant)
{
  *value += (1 - exp (-dt / time_constant)) * (sample - *value);
}

void
roles_demand (struct roles *r, double arrivals, double prefill_s,
              double decode_s, int64_t now_ms)
{
  double dt = (double)(now_ms - r->last_demand_ms) / 1000;
  if (r->last_demand_ms == 0 || dt <= 0)
    {
      r->last_demand_ms = now_ms;
      return;
    }
  r->last_demand_ms = now_ms;
  if (!r->started)
    {
      r->started = true;
      r->arrivals = arrivals / dt;
      r->prefill = r->prefill_slow = prefill_s / dt;
      r->decode = r->decode_slow = decode_s / dt;
      r->mix_shift_ms = now_ms;
      return;
    }
  update_average (&r->arrivals, arrivals / dt, dt, FAST_TIME_CONSTANT_S);
  update_average (&r->prefill, prefill_s / dt, dt, FAST_TIME_CONSTANT_S);
  update_average (&r->decode, decode_s / dt, dt, FAST_TIME_CONSTANT_S);
  update_average (&r->prefill_slow, prefill_s / dt, dt, SLOW_TIME_CONSTANT_S);
  update_average (&r->decode_slow, decode_s / dt, dt, SLOW_TIME_CONSTANT_S);
}

/* Whether MIXED fully busy mixed engines can do the work PREFILL + DECODE that
   is left over from the single-role engines.  */
static bool
mixed_engines_suffice (const struct roles *r, double mixed, double prefill,
                       double decode)
{
  return prefill + decode / r->config.mixed_decode <= mixed;
}

/* Whether split S serves FRACTION of the demand in time.  Mixed engines take
   the work that exceeds the capacity of the single-role engines.  */
static bool
meets_demand (const struct roles *r, const struct roles_split *s,
              double fraction)
{
  return mixed_engines_suffice (
      r, s->mixed * MIXED_MAX_UTILIZATION,
      fmax (0,
            fraction * r->prefill - s->prefill * SINGLE_ROLE_MAX_UTILIZATION),
      fmax (0,
            fraction * r->decode - s->decode * SINGLE_ROLE_MAX_UTILIZATION));
}

/* Fraction of the demand that split S serves in time, 0 to 1, found by
   bisection.  */
static double
served_fraction (const struct roles *r, const struct roles_split *s)
{
  double low = 0, high = 1;
  if (meets_demand (r, s, 1))
    return 1;
  for (int i = 0; i < 20; i++)
    {
      double fraction = (low + high) / 2;
      if (meets_demand (r, s, fraction))
        low = fraction;
      else
        high = fraction;
    }
  return low;
}

static unsigned *
role_count (struct roles_split *s, enum engine_role role)
{
  if (role == ROLE_PREFILL)
    return &s->prefill;
  return role == ROLE_DECODE ? &s->decode : &s->mixed;
}

static bool
minimums_met (const struct roles *r, const struct roles_split *s)
{
  return s->prefill + s->mixed >= r->config.floor
         && s->decode + s->mixed >= r->config.floor;
}

/* Time in seconds for which the current mix of demand is expected to last.  */
static double
horizon_s (struct roles *r, int64_t now_ms)
{
  double fast = r->prefill / fmax (r->prefill + r->decode, 1e-9);
  double slow
      = r->prefill_slow / fmax (r->prefill_slow + r->decode_slow, 1e-9);
  if (fabs (fast - slow) < 0.05)
    r->mix_shift_ms = now_ms;
  double shifted_s = (double)(now_ms - r->mix_shift_ms) / 1000;
  return fmin (fmax (HORIZON_MIN_S + shifted_s, HORIZON_MIN_S), HORIZON_MAX_S);
}

/* Stores the change of one engine from role FROM to TO in BEST if it is worth
   more than its price and by a larger margin than BEST.  */
static void
consider (struct roles *r, const struct roles_split *split,
          enum engine_role from, enum engine_role to, double horizon,
          struct roles_decision *best)
{
  struct roles_split after = *split;
  if (*role_count (&after, from) == 0 || from == to)
    return;
  --*role_count (&after, from);
  /* While the engine changes its role, it serves neither.  */
  struct roles_split during = after;
  ++*role_count (&after, to);
  if (!minimums_met (r, &during))
    return;
  struct roles_inputs in = { .prefill_demand = r->prefill,
                             .decode_demand = r->decode,
                             .arrivals_per_s = r->arrivals };
  double lost_during = r->arrivals * (1 - served_fraction (r, &during));
  in.lost_now = r->arrivals * (1 - served_fraction (r, split));
  in.lost_after = r->arrivals * (1 - served_fraction (r, &after));
  in.worth = (in.lost_now - in.lost_after) * horizon;
  in.price = r->config.change_cost
             + fmax (0, lost_during - in.lost_now) * r->config.change_s;
  if (in.worth <= in.price
      || in.worth - in.price <= best->inputs.worth - best->inputs.price)
    return;
  best->from = from;
  best->to = to;
  best->inputs = in;
}

struct roles_decision
roles_decide (struct roles *r, const struct roles_split *split, int64_t now_ms)
{
  struct roles_decision best = { .from = ROLE_MIXED, .to = ROLE_MIXED };
  double horizon = horizon_s (r, now_ms);
  /* Only one change runs at a time.  */
  if (!r->started || split->changing > 0
      || now_ms - r->last_change_ms < CHANGE_COOLDOWN_MS)
    return best;
  consider (r, split, ROLE_PREFILL, ROLE_DECODE, horizon, &best);
  consider (r, split, ROLE_DECODE, ROLE_PREFILL, horizon, &best);
  if (best.from != best.to)
    r->last_change_ms = now_ms;
  return best;
}
