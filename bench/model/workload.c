#include "model/workload.h"

#include <math.h>

#define PI 3.14159265358979
#define SWING_PERIOD_S 240.0
#define DOSSIER_PROMPT 8500
#define DOSSIER_PREFIX 2500
#define DOSSIER_GROUPS 40
#define DOSSIER_OUTPUT 2
#define CHAT_PROMPT 400
#define CHAT_PREFIX 250
#define CHAT_GROUPS 8
#define CHAT_OUTPUT 208
#define FULL_BATCH 23
#define HOT_PREFIX 999983
#define STEPS_PER_S 4
#define STEP_S (1.0 / STEPS_PER_S)

double
workload_token_s (void)
{
  struct engine_rates r = engine_rates_default ();
  return (r.step_fixed_ms + r.step_per_request_ms * FULL_BATCH) / FULL_BATCH
         / 1000;
}

struct workload_cost
workload_cost_of (bool dossier)
{
  struct engine_rates r = engine_rates_default ();
  double tokens
      = dossier ? DOSSIER_PROMPT - DOSSIER_PREFIX : CHAT_PROMPT - CHAT_PREFIX;
  double out = dossier ? DOSSIER_OUTPUT : CHAT_OUTPUT;
  return (struct workload_cost){ tokens / r.prefill_tokens_per_s,
                                 (out - 1) * workload_token_s () };
}

/* Returns the share of dossiers at which prefill is the share PREFILL of the
   engines' work; found by bisection.  */
static double
dossier_share_for (double prefill)
{
  struct workload_cost d = workload_cost_of (true);
  struct workload_cost c = workload_cost_of (false);
  double low = 0, high = 1;
  for (int i = 0; i < 40; i++)
    {
      double x = (low + high) / 2;
      double p = x * d.prefill_s + (1 - x) * c.prefill_s;
      double all = p + x * d.decode_s + (1 - x) * c.decode_s;
      if (p / all < prefill)
        low = x;
      else
        high = x;
    }
  return low;
}

double
workload_dossier_share (const struct pool_shape *shape, double t)
{
  double low = dossier_share_for (0.12), high = dossier_share_for (0.36);
  switch (shape->mix)
    {
    case MIX_SWING:
      /* Prefill is between 12% and 60% of the work.  */
      high = dossier_share_for (0.60);
      return low + (high - low) * (1 - cos (2 * PI * t / SWING_PERIOD_S)) / 2;
    case MIX_DAY:
      return low + (high - low) * (1 - cos (2 * PI * t / shape->seconds)) / 2;
    case MIX_STEP:
      return t < shape->seconds / 2.0 ? low : dossier_share_for (0.60);
    default:
      return dossier_share_for (0.24);
    }
}

/* Returns the mean engine time of a request, in seconds, at the given share of
   dossiers.  */
static double
mean_cost (double share)
{
  struct workload_cost d = workload_cost_of (true);
  struct workload_cost c = workload_cost_of (false);
  return share * (d.prefill_s + d.decode_s)
         + (1 - share) * (c.prefill_s + c.decode_s);
}

double
workload_rate (const struct pool_shape *shape, double t)
{
  double load = shape->load;
  if (shape->spike_load > 0 && t > shape->seconds / 3.0
      && t < shape->seconds * 2 / 3.0)
    load = shape->spike_load;
  return load * shape->engines / mean_cost (workload_dossier_share (shape, t));
}

/* Draws from a log-normal distribution with the given mean and a standard
   deviation of 0.3 of the logarithm.  */
static double
draw_log_normal (struct vtime *time, double mean)
{
  /* 0.045 is 0.3 * 0.3 / 2, which keeps the mean at MEAN.  */
  double u = fmax (g_rand_double (vtime_rand (time)), 1e-12);
  double v = g_rand_double (vtime_rand (time));
  double normal = sqrt (-2 * log (u)) * cos (2 * PI * v);
  return mean * exp (0.3 * normal - 0.045);
}

/* Draws a prefix number below GROUPS; low numbers are more frequent.  */
static unsigned
draw_prefix (struct vtime *time, unsigned groups)
{
  double u = g_rand_double (vtime_rand (time));
  return (unsigned)(groups * u * u);
}

struct workload_request
workload_draw (const struct pool_shape *shape, struct vtime *time, double t)
{
  struct workload_request r = { .dossier = vtime_random_bool (
                                    time, workload_dossier_share (shape, t)) };
  unsigned g = draw_prefix (time, r.dossier ? DOSSIER_GROUPS : CHAT_GROUPS);
  bool hot = r.dossier && vtime_random_bool (time, shape->hot_prefix_share);
  r.prefix
      = hot ? HOT_PREFIX : (r.dossier ? 1000003ULL : 7000003ULL) * (g + 1);
  r.prefix_tokens = r.dossier ? DOSSIER_PREFIX : CHAT_PREFIX;
  double prompt
      = draw_log_normal (time, r.dossier ? DOSSIER_PROMPT : CHAT_PROMPT);
  r.prompt_tokens = (uint32_t)fmax (prompt, r.prefix_tokens + 50);
  r.output_tokens
      = r.dossier ? DOSSIER_OUTPUT
                  : (uint32_t)fmax (draw_log_normal (time, CHAT_OUTPUT), 8);
  return r;
}

double
workload_bound (const struct pool_shape *shape)
{
  struct workload_cost d = workload_cost_of (true);
  struct workload_cost c = workload_cost_of (false);
  double sum = 0;
  for (unsigned step = 0; step < shape->seconds * STEPS_PER_S; step++)
    {
      double t = step * STEP_S;
      double rate = workload_rate (shape, t);
      double share = workload_dossier_share (shape, t);
      double dossiers = rate * share, chats = rate * (1 - share);
      double engines = shape->engines;
      if (shape->failed_engines && t > shape->seconds / 2.0)
        engines -= shape->failed_engines;
      /* A dossier costs less than a chat, so dossiers are served first.  */
      double served_dossiers
          = fmin (dossiers, engines / (d.prefill_s + d.decode_s));
      engines -= served_dossiers * (d.prefill_s + d.decode_s);
      sum += (served_dossiers
              + fmin (chats, engines / (c.prefill_s + c.decode_s)))
             * STEP_S;
    }
  return sum;
}
