#include "decide/engine_model.h"

#include <glib.h>
#include <math.h>

#define TOKENS_PER_UNIT 1000.0
/* Priors.  The standard deviations cover engines from a few to some hundred
   tokens per millisecond.  */
#define PRIOR_FIXED_MS 12.0
#define PRIOR_FIXED_SD_MS 30.0
#define PRIOR_PREFILL_MS_PER_1000 4.0
#define PRIOR_COMBINED_MS_PER_1000 8.0
#define PRIOR_DECODE_MS_PER_1000 2.0
#define PRIOR_SLOPE_SD_MS 20.0
/* Standard deviation of a sample: a part for delays that do not depend on the
   prompt, and a share of the expected time.  */
#define NOISE_MS 4.0
#define NOISE_SHARE 0.15
/* Each sample divides the weight of all earlier ones by 1 / FORGETTING.  */
#define FORGETTING 0.98
/* An error counts up to this many standard deviations, so that a wrong sample
   (an answer that was lost, a cache miss) moves the estimate only a little. */
#define ERROR_MAX_SD 3.0
/* The engine's speed has changed once nearly all recent errors have the same
   sign; the time per token then becomes as uncertain as the prior.  The fixed
   part changes less, and long prompts tell little about it.  */
#define CHANGED_FIXED_SD_MS 4.0
#define SURPRISE_WEIGHT 0.2
#define SURPRISE_MAX 0.8
#define ERROR_WEIGHT 0.1
/* Weight of a sample, and of another VM's report, in the long-term average,
   and the age from which estimates return to it.  */
#define USUAL_WEIGHT 0.005
#define USUAL_REPORT_WEIGHT 0.02
#define AGE_MIN_MS 250
/* Errors much larger than expected make all samples less certain, up to this
   factor.  */
#define ERROR_RATIO_MAX 5.0

static double
prior_ms_per_1000 (enum engine_model_kind kind)
{
  switch (kind)
    {
    case ENGINE_MODEL_PREFILL_ONLY:
      return PRIOR_PREFILL_MS_PER_1000;
    case ENGINE_MODEL_COMBINED:
      return PRIOR_COMBINED_MS_PER_1000;
    default:
      return PRIOR_DECODE_MS_PER_1000;
    }
}

/* Makes the time per token of M as uncertain as the prior, relative to its
   size, and gives the fixed part a standard deviation of FIXED_SD ms.  */
static void
reset_covariance (struct engine_model *m, double fixed_sd)
{
  double slope_sd = MAX (PRIOR_SLOPE_SD_MS, m->rates.ms_per_1000);
  m->covariance[0] = fixed_sd * fixed_sd;
  m->covariance[1] = 0;
  m->covariance[2] = slope_sd * slope_sd;
  m->surprise = 0;
  m->error_ratio = 0;
}

static void
clamp_estimates (struct engine_model *m)
{
  m->rates.fixed_ms = CLAMP (m->rates.fixed_ms, 0, ENGINE_MODEL_FIXED_MS_MAX);
  m->rates.ms_per_1000
      = CLAMP (m->rates.ms_per_1000, ENGINE_MODEL_MS_PER_1000_MIN,
               ENGINE_MODEL_MS_PER_1000_MAX);
}

void
engine_model_init (struct engine_model *m, enum engine_model_kind kind)
{
  struct engine_rates prior = { .fixed_ms = PRIOR_FIXED_MS,
                                .ms_per_1000 = prior_ms_per_1000 (kind) };
  engine_model_init_from (m, &prior);
}

void
engine_model_init_from (struct engine_model *m,
                        const struct engine_rates *rates)
{
  *m = (struct engine_model){ .rates = *rates };
  m->rates.samples = 0;
  m->usual = m->rates;
  clamp_estimates (m);
  reset_covariance (m, MAX (PRIOR_FIXED_SD_MS, m->rates.fixed_ms));
}

struct engine_rates
engine_model_rates (const struct engine_model *m)
{
  return m->rates;
}

void
engine_model_set_rates (struct engine_model *m,
                        const struct engine_rates *rates, int64_t now_ms)
{
  bool is_first = m->updated_ms == 0;
  m->rates = *rates;
  m->updated_ms = now_ms;
  clamp_estimates (m);
  if (is_first)
    m->usual = m->rates;
  m->usual.fixed_ms
      += (m->rates.fixed_ms - m->usual.fixed_ms) * USUAL_REPORT_WEIGHT;
  m->usual.ms_per_1000
      += (m->rates.ms_per_1000 - m->usual.ms_per_1000) * USUAL_REPORT_WEIGHT;
}

double
engine_model_compute_ms (const struct engine_model *m, uint64_t tokens)
{
  return (double)tokens / TOKENS_PER_UNIT * m->rates.ms_per_1000;
}

double
engine_model_first_token_ms (const struct engine_model *m, uint64_t tokens)
{
  return m->rates.fixed_ms + engine_model_compute_ms (m, tokens);
}

uint64_t
engine_model_tokens_in (const struct engine_model *m, double ms)
{
  return ms > 0 ? (uint64_t)(ms / m->rates.ms_per_1000 * TOKENS_PER_UNIT + 0.5)
                : 0;
}

/* Updates the estimates by ERROR ms, for a sample that contains the fixed part
   FIXED times (0 or 1), has UNITS of 1,000 tokens, and a variance of NOISE. */
static void
update (struct engine_model *m, double fixed, double units, double error,
        double noise)
{
  double *p = m->covariance;
  double row_fixed = p[0] * fixed + p[1] * units;
  double row_slope = p[1] * fixed + p[2] * units;
  double variance = noise + row_fixed * fixed + row_slope * units;
  double gain_fixed = row_fixed / variance;
  double gain_slope = row_slope / variance;
  m->rates.fixed_ms += gain_fixed * error;
  m->rates.ms_per_1000 += gain_slope * error;
  p[0] -= gain_fixed * row_fixed;
  p[1] -= gain_fixed * row_slope;
  p[2] -= gain_slope * row_slope;
  /* Only what the sample tells about is forgotten.  */
  if (fixed > 0)
    p[0] = MIN (p[0] / FORGETTING, PRIOR_FIXED_SD_MS * PRIOR_FIXED_SD_MS);
  p[2] = MIN (p[2] / FORGETTING, PRIOR_SLOPE_SD_MS * PRIOR_SLOPE_SD_MS);
  double bound = sqrt (MAX (p[0] * p[2], 0));
  p[1] = CLAMP (p[1], -bound, bound);
  clamp_estimates (m);
}

/* Resets the uncertainty of M if its errors show that the engine's speed has
   changed.  */
static void
check_surprise (struct engine_model *m, double error, double sd)
{
  m->surprise += (CLAMP (error / sd, -1, 1) - m->surprise) * SURPRISE_WEIGHT;
  if (fabs (m->surprise) > SURPRISE_MAX)
    reset_covariance (m, MAX (CHANGED_FIXED_SD_MS, m->rates.fixed_ms / 2));
}

/* Lets the long-term average of M follow its rates: the mean of all samples at
   first, then a slow moving average.  */
static void
update_usual (struct engine_model *m)
{
  double weight = MAX (1.0 / (1 + (double)m->rates.samples), USUAL_WEIGHT);
  m->usual.fixed_ms += (m->rates.fixed_ms - m->usual.fixed_ms) * weight;
  m->usual.ms_per_1000
      += (m->rates.ms_per_1000 - m->usual.ms_per_1000) * weight;
}

void
engine_model_age (struct engine_model *m, int64_t now_ms)
{
  double age_ms = (double)(now_ms - m->updated_ms);
  if (m->updated_ms == 0 || age_ms < AGE_MIN_MS)
    return;
  double left = exp2 (-age_ms / ENGINE_MODEL_HALF_LIFE_MS);
  m->rates.fixed_ms
      = m->usual.fixed_ms + (m->rates.fixed_ms - m->usual.fixed_ms) * left;
  m->rates.ms_per_1000
      = m->usual.ms_per_1000
        + (m->rates.ms_per_1000 - m->usual.ms_per_1000) * left;
  m->updated_ms = now_ms;
}

bool
engine_model_learn (struct engine_model *m, const struct engine_sample *sample,
                    int64_t now_ms)
{
  double took_ms = sample->took_ms;
  if (!(took_ms > 0) || took_ms > ENGINE_MODEL_SAMPLE_MAX_MS
      || sample->tokens > ENGINE_MODEL_SAMPLE_MAX_TOKENS)
    return false;
  double fixed = sample->from_idle ? 1 : 0;
  double units = (double)sample->tokens / TOKENS_PER_UNIT;
  double expected = fixed * m->rates.fixed_ms + units * m->rates.ms_per_1000;
  double error = took_ms - expected;
  double sd = NOISE_MS + NOISE_SHARE * expected;
  const double *p = m->covariance;
  double variance
      = fixed * p[0] + 2 * fixed * units * p[1] + units * units * p[2];
  check_surprise (m, error, sd);
  double error_ratio = fabs (error) / sd;
  sd *= MAX (m->error_ratio, 1);
  double limit = ERROR_MAX_SD * sqrt (sd * sd + MAX (variance, 0));
  update (m, fixed, units, CLAMP (error, -limit, limit), sd * sd);
  m->error_ms += (MIN (fabs (error), limit) - m->error_ms) * ERROR_WEIGHT;
  m->error_ratio
      += (MIN (error_ratio, ERROR_RATIO_MAX) - m->error_ratio) * ERROR_WEIGHT;
  update_usual (m);
  m->rates.samples += m->rates.samples < UINT32_MAX;
  m->updated_ms = now_ms;
  return true;
}
