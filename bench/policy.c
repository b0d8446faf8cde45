/** @file
    Benchmark of role control: goodput and role changes of one pool of engines
    under changing request mixes, against baselines and an upper bound.
    Goodput is the number of requests answered within the latency targets.
    Runs on virtual time with fixed seeds, so the results repeat to the digit.
    "policy" runs all cases, "policy quick" the first three, "policy front"
    prints goodput against role changes for a range of change costs.  */
#include "model/pool.h"

#include <stdio.h>
#include <string.h>

#define LOW_CHANGE_COST 20   /* role_change_cost that favours goodput */
#define HIGH_CHANGE_COST 200 /* role_change_cost that favours few changes */
#define HELD_OUT_SEED 101    /* seeds from here on weren't used for tuning */

static int exit_status;

static void
print_metric (const char *name, const char *metric, double value,
              const char *unit, double baseline)
{
  printf ("bench name=policy/%s metric=%s value=%.4f unit=%s baseline=%.4f "
          "ratio=%.4f\n",
          name, metric, value, unit, baseline,
          baseline != 0 ? value / baseline : 0);
  (void)fflush (stdout);
}

/* Prints whether VALUE meets its target LIMIT: "<=" or ">=", as RELATION says.
   If not, the program ends with status 1.  */
static void
check_bound (const char *name, double value, const char *relation,
             double limit)
{
  bool ok = relation[0] == '<' ? value <= limit : value >= limit;
  printf ("bound name=policy/%s value=%.4f %s %.4f %s\n", name, value,
          relation, limit, ok ? "met" : "NOT MET");
  (void)fflush (stdout);
  if (!ok)
    exit_status = 1;
}

/* Returns the goodput of R relative to its upper bound.  */
static double
goodput_of_bound (const struct pool_result *r)
{
  return r->good / r->bound;
}

/* Runs S with the given controller and change cost.  The threshold controller
   knows no mixed engines: half of them start with the prefill role.  */
static struct pool_result
run_with_control (struct pool_shape s, enum pool_control control, double cost)
{
  s.control = control;
  s.change_cost = cost;
  if (control == CONTROL_THRESHOLD)
    {
      s.prefill += s.mixed / 2;
      s.mixed = 0;
    }
  return pool_run (&s);
}

/* Returns the result of the best of the splits whose engines keep their roles,
   and sets *PREFILL to its number of prefill engines.  */
static struct pool_result
best_fixed (struct pool_shape s, unsigned *prefill)
{
  struct pool_result best = { 0 };
  s.control = CONTROL_NONE;
  s.mixed = 0;
  for (unsigned p = 4; p <= 20; p += 2)
    {
      s.prefill = p;
      struct pool_result r = pool_run (&s);
      if (r.good > best.good)
        {
          best = r;
          *prefill = p;
        }
    }
  return best;
}

static void
print_result (const char *name, const char *variant,
              const struct pool_result *r)
{
  g_autofree char *case_name = g_strdup_printf ("%s/%s", name, variant);
  print_metric (case_name, "goodput", r->good, "answers", r->bound);
  print_metric (case_name, "role_changes", r->role_changes, "changes", 0);
}

/* Runs one request mix: role control at both change costs, and the baselines
   (threshold controller, best fixed split, all engines mixed, and routing that
   ignores prefixes).  With BOUNDS, checks the results against the targets.  */
static void
run_mix (const char *name, struct pool_shape s, bool bounds)
{
  unsigned prefill = 0;
  struct pool_result low_cost
      = run_with_control (s, CONTROL_ROLES, LOW_CHANGE_COST);
  struct pool_result high_cost
      = run_with_control (s, CONTROL_ROLES, HIGH_CHANGE_COST);
  struct pool_result threshold = run_with_control (s, CONTROL_THRESHOLD, 0);
  struct pool_result fixed = best_fixed (s, &prefill);
  struct pool_shape mixed = s;
  mixed.mixed = s.engines;
  mixed.prefill = 0;
  struct pool_result all_mixed = run_with_control (mixed, CONTROL_NONE, 0);
  struct pool_shape no_prefix_shape = s;
  no_prefix_shape.ignore_prefixes = true;
  struct pool_result no_prefix
      = run_with_control (no_prefix_shape, CONTROL_ROLES, LOW_CHANGE_COST);
  print_result (name, "cost20", &low_cost);
  print_result (name, "cost200", &high_cost);
  print_result (name, "threshold", &threshold);
  print_result (name, "best-fixed", &fixed);
  print_result (name, "all-mixed", &all_mixed);
  print_result (name, "no-prefix", &no_prefix);
  if (!bounds)
    return;
  g_autofree char *of_bound_name = g_strdup_printf ("%s/of-bound", name);
  check_bound (of_bound_name, goodput_of_bound (&low_cost), ">=", 0.95);
  g_autofree char *fixed_name
      = g_strdup_printf ("%s/against-best-fixed", name);
  check_bound (fixed_name, (double)low_cost.good / fixed.good, ">=", 1);
  g_autofree char *changes_name
      = g_strdup_printf ("%s/changes-of-threshold", name);
  check_bound (changes_name, high_cost.role_changes,
               "<=", threshold.role_changes / 4.0);
  g_autofree char *both_costs_name
      = g_strdup_printf ("%s/goodput-at-both-prices", name);
  check_bound (both_costs_name, (double)high_cost.good / low_cost.good,
               ">=", 0.97);
}

static void
run_constant (void)
{
  struct pool_shape s = pool_shape_default ();
  s.mix = MIX_CONSTANT;
  struct pool_result r = run_with_control (s, CONTROL_ROLES, LOW_CHANGE_COST);
  print_result ("constant", "cost20", &r);
  check_bound ("constant/changes-after-first-minute", r.late_changes, "<=", 0);
}

static void
run_spike (void)
{
  struct pool_shape s = pool_shape_default ();
  s.mix = MIX_CONSTANT;
  s.load = 1;
  struct pool_result at_capacity
      = run_with_control (s, CONTROL_ROLES, LOW_CHANGE_COST);
  s.spike_load = 1.5;
  s.callers_repeat = true;
  struct pool_result spike
      = run_with_control (s, CONTROL_ROLES, LOW_CHANGE_COST);
  print_result ("spike", "cost20", &spike);
  print_metric ("spike", "tries", spike.sent_requests, "requests",
                spike.arrivals);
  print_metric ("spike", "return_peak", spike.repeat_peak, "times-the-mean",
                0);
  check_bound ("spike/of-goodput-at-capacity",
               (double)spike.good / at_capacity.good, ">=", 0.95);
  check_bound ("spike/retries-of-traffic",
               (double)spike.retries / spike.sent_requests, "<=", 0.10);
}

static void
run_failed_engines (void)
{
  struct pool_shape s = pool_shape_default ();
  s.failed_engines = 4;
  struct pool_result r = run_with_control (s, CONTROL_ROLES, LOW_CHANGE_COST);
  print_result ("withdrawn", "cost20", &r);
  s.failed_engines = s.engines / 3;
  struct pool_result third
      = run_with_control (s, CONTROL_ROLES, LOW_CHANGE_COST);
  print_result ("third-withdrawn", "cost20", &third);
  check_bound ("third-withdrawn/retries-of-traffic",
               (double)third.retries / third.sent_requests, "<=", 0.10);
}

static void
run_reports (void)
{
  struct pool_shape s = pool_shape_default ();
  s.report_every_ms = 5000;
  s.report_loss = 0.3;
  struct pool_result r = run_with_control (s, CONTROL_ROLES, LOW_CHANGE_COST);
  print_result ("late-reports", "cost20", &r);
}

static void
run_prefixes (void)
{
  struct pool_shape s = pool_shape_default ();
  s.hot_prefix_share = 0.4;
  struct pool_result r = run_with_control (s, CONTROL_ROLES, LOW_CHANGE_COST);
  print_result ("hot-prefix", "cost20", &r);
  print_metric ("hot-prefix", "hottest-queue", r.longest_queue_ratio,
                "times-the-mean", 0);
  check_bound ("hot-prefix/cache-hits-of-ideal",
               (double)r.cache_hits / r.cache_hits_ideal, ">=", 0.8);
}

/* Runs pools with 0 to 16 mixed engines, with fixed roles and with role
   control.  */
static void
run_flexibility (void)
{
  for (unsigned mixed = 0; mixed <= 16; mixed += mixed < 4 ? 2 : 4)
    {
      struct pool_shape s = pool_shape_default ();
      s.mixed = mixed;
      s.prefill = 12 - mixed / 2;
      g_autofree char *name = g_strdup_printf ("flexibility-%u", mixed);
      struct pool_result fixed_roles = run_with_control (s, CONTROL_NONE, 0);
      struct pool_result r
          = run_with_control (s, CONTROL_ROLES, LOW_CHANGE_COST);
      print_result (name, "kept", &fixed_roles);
      print_result (name, "cost20", &r);
    }
}

/* Runs ten seeds that weren't used for tuning.  */
static void
run_held_out_seeds (void)
{
  double sum = 0, least = 1;
  for (uint32_t seed = HELD_OUT_SEED; seed < HELD_OUT_SEED + 10; seed++)
    {
      struct pool_shape s = pool_shape_default ();
      s.seed = seed;
      struct pool_result r
          = run_with_control (s, CONTROL_ROLES, LOW_CHANGE_COST);
      sum += goodput_of_bound (&r) / 10;
      least = MIN (least, goodput_of_bound (&r));
      g_autofree char *name = g_strdup_printf ("held-seed-%u", seed);
      print_result (name, "cost20", &r);
    }
  print_metric ("held-seeds", "mean-of-bound", sum, "share", 1);
  check_bound ("held-seeds/least-of-bound", least, ">=", 0.95);
}

/* Prints goodput and role changes for a range of change costs.  */
static void
run_cost_range (void)
{
  static const double costs[] = { 1, 5, 20, 50, 100, 200, 400, 800, 1600 };
  struct pool_shape s = pool_shape_default ();
  s.load = 0.8;
  for (size_t i = 0; i < G_N_ELEMENTS (costs); i++)
    {
      struct pool_result r = run_with_control (s, CONTROL_ROLES, costs[i]);
      printf ("front cost=%.0f changes=%u goodput=%.4f\n", costs[i],
              r.role_changes, goodput_of_bound (&r));
    }
  struct pool_result t = run_with_control (s, CONTROL_THRESHOLD, 0);
  printf ("front cost=threshold changes=%u goodput=%.4f\n", t.role_changes,
          goodput_of_bound (&t));
}

int
main (int argc, char **argv)
{
  const char *mode = argc > 1 ? argv[1] : "all";
  struct pool_shape swing = pool_shape_default ();
  struct pool_shape high = swing;
  high.load = 0.8;
  struct pool_shape day = swing;
  day.mix = MIX_DAY;
  struct pool_shape step = swing;
  step.mix = MIX_STEP;
  if (strcmp (mode, "front") == 0)
    {
      run_cost_range ();
      return 0;
    }
  run_mix ("swing-70", swing, true);
  run_constant ();
  run_prefixes ();
  if (strcmp (mode, "quick") != 0)
    {
      run_mix ("swing-80", high, true);
      run_mix ("day-70", day, true);
      run_mix ("step-70", step, true);
      run_spike ();
      run_failed_engines ();
      run_reports ();
      run_flexibility ();
      run_held_out_seeds ();
    }
  return exit_status;
}
