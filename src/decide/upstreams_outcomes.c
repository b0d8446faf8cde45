#include "decide/upstreams_table.h"

#include <float.h>
#include <math.h>
#include <string.h>

/* Weight of a new sample in the average time that a request occupies a
   slot.  */
#define RESIDENCE_SAMPLE_WEIGHT 0.1
/* Time constant of the average demand by short prompts.  */
#define SHORT_DEMAND_MS 1500.0
/* Time of a plain request: weight of a new sample in the moving average.  The
   weight grows with the age of the previous sample, between these bounds.  */
#define SERVICE_SAMPLE_WEIGHT_MIN 0.05
#define SERVICE_SAMPLE_WEIGHT_MAX 0.5
/* Half-life of the learned service time and failure rate of an upstream, so
   that it is tried again.  Requests that must not run twice wait longer before
   they return to an upstream that failed.  */
#define HALF_LIFE_MS 2000.0
#define NOT_REPEATABLE_HALF_LIFE_MS 8000.0
/* Failure rate: weight of a new outcome in the moving average, the rate above
   which an upstream is deprioritized, and how long after its latest failure
   it stays so.  */
#define OUTCOME_WEIGHT 0.25
#define FAILURE_RATE_MAX 0.7
#define FAILURE_COOLDOWN_MS 1500
/* Time for which an upstream that refused a request is deprioritized.  For an
   engine it doubles with each further request that it refuses, or that cannot
   be sent to it, up to COOLDOWN_DOUBLINGS_MAX times: the engine restarts or
   changes its role, which takes seconds.  */
#define FULL_COOLDOWN_MS 60
#define COOLDOWN_DOUBLINGS_MAX 3
/* An upstream that has requests and sends no byte for this long is
   unresponsive and is deprioritized.  A request there has stalled once it has
   waited for this long and for STALL_WAIT_FACTOR times its expected time.
   Services get longer because a single plain request may be slow.  */
#define ENGINE_STALL_MS 500
#define SERVICE_STALL_MS 900
#define STALL_WAIT_FACTOR 3.0
/* The same for a single request at an upstream that responds to others: its
   connection may be lost without a reset, or the upstream has dropped it.  */
#define SINGLE_STALL_MS 1000
#define SINGLE_STALL_WAIT_FACTOR 6.0
/* Correction of expected latencies of long prompts by measured ones: weight of
   a new sample; time added to both sides of the ratio, so that short times
   hardly change it; upper bound, so that some requests are still accepted and
   give new samples.  */
#define LATENCY_FACTOR_WEIGHT 0.08
#define LATENCY_FACTOR_BASE_MS 50.0
#define LATENCY_FACTOR_MAX 4.0
/* upstreams_tick is called far more often than this; a longer gap means that
   this process was paused.  */
#define PAUSE_MIN_MS 400
/* The models of engines age in steps of at least this length.  */
#define AGE_INTERVAL_MS 40

const char *
upstream_work_name (enum upstream_work_kind work)
{
  static const char *const names[]
      = { [UPSTREAM_WORK_PLAIN] = "plain",
          [UPSTREAM_WORK_PREFILL] = "prefill",
          [UPSTREAM_WORK_SHORT_PROMPT] = "short_prompt",
          [UPSTREAM_WORK_DECODE] = "decode" };
  return names[work];
}

/* Decay of learned values.  */

/* Returns the weight, 0 to 1, that a sample has left after AGE_MS.  */
static double
remaining_weight (int64_t age_ms, double half_life_ms)
{
  return exp2 (-(double)MAX (age_ms, 0) / half_life_ms);
}

double
upstreams_failure_rate (const struct upstream *x, bool repeatable,
                        int64_t now_ms)
{
  double half_life_ms
      = repeatable ? HALF_LIFE_MS : NOT_REPEATABLE_HALF_LIFE_MS;
  return x->failure_rate > 0
             ? x->failure_rate
                   * remaining_weight (now_ms - x->outcome_ms, half_life_ms)
             : 0;
}

double
upstreams_service_ms (const struct upstream *x, double best_ms, int64_t now_ms)
{
  if (x->sampled_ms == 0)
    return best_ms;
  double remaining = remaining_weight (now_ms - x->sampled_ms, HALF_LIFE_MS);
  return best_ms + (x->service_ms - best_ms) * remaining;
}

double
upstreams_best_service_ms (const struct upstreams *u, const char *service,
                           int64_t now_ms)
{
  double least = DBL_MAX;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      if (x->used && x->sampled_ms != 0
          && strcmp (x->info.service, service) == 0)
        least = MIN (least,
                     upstreams_service_ms (x, DEFAULT_SERVICE_MS, now_ms));
    }
  return least < DBL_MAX ? least : DEFAULT_SERVICE_MS;
}

/* Learns from a plain request that was answered in MS.  */
static void
update_service_ms (const struct upstreams *u, struct upstream *x, double ms,
                   int64_t now_ms)
{
  double best = upstreams_best_service_ms (u, x->info.service, now_ms);
  double estimate = upstreams_service_ms (x, best, now_ms);
  double remaining
      = x->sampled_ms == 0
            ? 0
            : remaining_weight (now_ms - x->sampled_ms, HALF_LIFE_MS);
  double weight = 1 - remaining * (1 - SERVICE_SAMPLE_WEIGHT_MIN);
  weight = MIN (weight, SERVICE_SAMPLE_WEIGHT_MAX);
  x->service_ms = estimate + (MAX (ms, 1) - estimate) * weight;
  x->sampled_ms = now_ms;
}

/* Detection of unresponsive and deprioritized upstreams.  */

static int64_t
stall_ms (const struct upstream *x)
{
  return x->info.role == UPSTREAM_SERVICE ? SERVICE_STALL_MS : ENGINE_STALL_MS;
}

bool
upstreams_is_unresponsive (const struct upstream *x, int64_t now_ms)
{
  return x->own.running > 0 && now_ms - x->active_ms > stall_ms (x);
}

bool
upstreams_is_deprioritized (const struct upstream *x, int64_t now_ms)
{
  return now_ms < x->full_until_ms || upstreams_is_unresponsive (x, now_ms)
         || (x->failure_rate > FAILURE_RATE_MAX
             && now_ms - x->failed_ms < FAILURE_COOLDOWN_MS);
}

/* Demand by short prompts.  */

double
upstreams_short_demand (const struct upstreams *u, const char *service,
                        int64_t now_ms)
{
  const struct short_demand *d
      = g_hash_table_lookup (u->short_demand, service);
  if (d == NULL)
    return 0;
  double age_ms = (double)MAX (now_ms - d->at_ms, 0);
  return d->engines * exp (-age_ms / SHORT_DEMAND_MS) * u->vms;
}

/* Adds a short prompt that keeps an engine busy for COMPUTE_MS.  */
static void
add_short_demand (struct upstreams *u, const char *service, double compute_ms,
                  int64_t now_ms)
{
  struct short_demand *d = g_hash_table_lookup (u->short_demand, service);
  if (d == NULL)
    {
      d = g_new0 (struct short_demand, 1);
      g_hash_table_insert (u->short_demand, g_strdup (service), d);
    }
  d->engines = upstreams_short_demand (u, service, now_ms) / u->vms
               + compute_ms / SHORT_DEMAND_MS;
  d->at_ms = now_ms;
}

/* Requests from sending to their outcome.  */

void
upstreams_record_sent (struct upstreams *u,
                       const struct upstream_choice *choice,
                       const struct prompt *prompt, int64_t now_ms,
                       struct upstream_work *work)
{
  struct upstream *x = upstreams_lookup (u, choice->handle);
  memset (work, 0, sizeof *work);
  if (x == NULL)
    return;
  work->handle = choice->handle;
  work->tokens = choice->tokens;
  work->ahead = upstreams_total_load (x, now_ms).tokens + choice->tokens;
  work->kind = choice->work;
  work->transfer_ms = choice->transfer_ms;
  work->sent_ms = now_ms;
  work->active_ms = now_ms;
  work->expected_ms = choice->expected_ms;
  work->open = true;
  work->prefilling = true;
  if (x->own.running == 0)
    x->active_ms = now_ms;
  work->generating = prompt && prompt->tokens < LONG_PROMPT_MIN_TOKENS
                     && x->info.role == UPSTREAM_DECODE;
  x->own.running++;
  x->own.generating += work->generating;
  work->events_left = choice->events;
  x->events_left += work->events_left;
  if (work->generating)
    add_short_demand (u, x->info.service, choice->compute_ms, now_ms);
  x->own.tokens += work->tokens;
  if (prompt)
    prefix_index_add (x->prefix_index, prompt, now_ms);
}

static void
end_prefill (struct upstream *x, struct upstream_work *work)
{
  if (work->prefilling)
    x->own.tokens -= MIN (x->own.tokens, work->tokens);
  work->prefilling = false;
}

void
upstreams_tick (struct upstreams *u, int64_t now_ms)
{
  if (now_ms - u->ticked_ms > PAUSE_MIN_MS)
    u->resumed_ms = now_ms;
  bool age_models = now_ms - u->ticked_ms >= AGE_INTERVAL_MS;
  u->ticked_ms = now_ms;
  for (guint i = 1; age_models && i < u->slots->len; i++)
    {
      struct upstream *x = upstreams_entry (u, i);
      if (!x->used || x->info.role == UPSTREAM_SERVICE)
        continue;
      engine_model_age (&x->prefill, now_ms);
      engine_model_age (&x->decode, now_ms);
    }
}

/* Learns from the first token of WORK at the engine X, unless earlier requests
   were ahead of it: how far the engine was with those is known only at its
   home VM.  */
static void
learn_first_token (struct upstream *x, const struct upstream_work *work,
                   double took_ms, int64_t now_ms)
{
  struct engine_sample s
      = { .from_idle = true, .tokens = work->ahead, .took_ms = took_ms };
  bool has_queue = work->ahead > work->tokens;
  if (x->info.role == UPSTREAM_SERVICE
      || (has_queue && work->kind != UPSTREAM_WORK_DECODE))
    return;
  (void)engine_model_learn (upstreams_model (x, work->kind), &s, now_ms);
}

unsigned
upstreams_record_first_byte (struct upstreams *u, struct upstream_work *work,
                             int64_t now_ms)
{
  struct upstream *x = upstreams_lookup (u, work->handle);
  upstreams_tick (u, now_ms);
  if (x == NULL || !work->prefilling)
    return 0;
  end_prefill (x, work);
  x->begun += work->open;
  work->has_begun = work->open;
  if (work->sent_ms < u->resumed_ms)
    return 0;
  double elapsed = (double)(now_ms - work->sent_ms) - x->rtt_ms;
  if (x->info.role == UPSTREAM_SERVICE)
    update_service_ms (u, x, elapsed, now_ms);
  double took_ms = MAX (elapsed - work->transfer_ms, 1);
  learn_first_token (x, work, took_ms, now_ms);
  return (unsigned)took_ms;
}

void
upstreams_record_latency (struct upstreams *u, double expected_ms,
                          int64_t since_ms, int64_t now_ms)
{
  upstreams_tick (u, now_ms);
  if (since_ms < u->resumed_ms)
    return;
  double took = (double)(now_ms - since_ms);
  double ratio = (took + LATENCY_FACTOR_BASE_MS)
                 / (expected_ms + LATENCY_FACTOR_BASE_MS);
  u->latency_factor += (ratio - u->latency_factor) * LATENCY_FACTOR_WEIGHT;
  u->latency_factor = CLAMP (u->latency_factor, 1, LATENCY_FACTOR_MAX);
}

void
upstreams_record_bytes (struct upstreams *u, struct upstream_work *work,
                        int64_t now_ms)
{
  struct upstream *x = upstreams_lookup (u, work->handle);
  work->active_ms = now_ms;
  if (x)
    x->active_ms = now_ms;
}

bool
upstreams_has_stalled (const struct upstreams *u,
                       const struct upstream_work *work, int64_t now_ms)
{
  const struct upstream *x = upstreams_lookup (u, work->handle);
  double waited_ms = (double)(now_ms - work->sent_ms);
  int64_t silent_ms = now_ms - work->active_ms;
  if (!work->open || waited_ms <= work->expected_ms * STALL_WAIT_FACTOR)
    return false;
  if (x == NULL)
    return silent_ms > SERVICE_STALL_MS;
  if (silent_ms <= stall_ms (x))
    return false;
  return upstreams_is_unresponsive (x, now_ms)
         || (silent_ms > SINGLE_STALL_MS
             && waited_ms > work->expected_ms * SINGLE_STALL_WAIT_FACTOR);
}

static struct upstream *
close_work (struct upstreams *u, struct upstream_work *work)
{
  struct upstream *x = upstreams_lookup (u, work->handle);
  if (x == NULL || !work->open)
    return NULL;
  end_prefill (x, work);
  x->own.running -= MIN (x->own.running, 1);
  x->begun -= MIN (x->begun, work->has_begun ? 1 : 0);
  x->own.generating -= MIN (x->own.generating, work->generating ? 1 : 0);
  upstreams_end_stream (u, x, work);
  work->open = false;
  work->has_begun = false;
  return x;
}

void
upstreams_record_cancel (struct upstreams *u, struct upstream_work *work)
{
  (void)close_work (u, work);
}

/* Whether OUTCOME shows that X takes no requests at the moment.  */
static bool
is_unavailable (const struct upstream *x, enum attempt_outcome outcome)
{
  return outcome == ATTEMPT_NOT_RUN
         || (outcome == ATTEMPT_NOT_SENT && x->info.role != UPSTREAM_SERVICE);
}

static void
start_cooldown (struct upstream *x, int64_t now_ms)
{
  unsigned doublings = MIN (x->refusals, COOLDOWN_DOUBLINGS_MAX);
  x->full_until_ms = now_ms + ((int64_t)FULL_COOLDOWN_MS << doublings);
  x->refusals += x->info.role != UPSTREAM_SERVICE;
}

void
upstreams_record_lost_cache (struct upstreams *u, upstream_handle h,
                             int64_t now_ms)
{
  struct upstream *x = upstreams_lookup (u, h);
  if (x)
    start_cooldown (x, now_ms);
}

bool
upstreams_record_leaving (struct upstreams *u, upstream_handle h)
{
  struct upstream *x = upstreams_lookup (u, h);
  if (x == NULL || x->info.leaving)
    return false;
  x->said_leaving = true;
  x->info.leaving = true;
  return true;
}

void
upstreams_pause (struct upstreams *u, upstream_handle h, unsigned for_ms,
                 int64_t now_ms)
{
  struct upstream *x = upstreams_lookup (u, h);
  if (x)
    x->paused_until_ms = MAX (x->paused_until_ms, now_ms + for_ms);
}

bool
upstreams_accepts (const struct upstreams *u, upstream_handle h,
                   int64_t now_ms)
{
  const struct upstream *x = upstreams_lookup (u, h);
  return x && upstreams_entry_accepts (x, now_ms);
}

unsigned
upstreams_pause_left_ms (const struct upstreams *u, const char *service,
                         int64_t now_ms)
{
  int64_t least_ms = INT64_MAX;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      if (x->used && !x->info.leaving
          && strcmp (x->info.service, service) == 0)
        least_ms = MIN (least_ms, MAX (x->paused_until_ms - now_ms, 0));
    }
  return least_ms == INT64_MAX ? 0 : (unsigned)least_ms;
}

void
upstreams_record_outcome (struct upstreams *u, struct upstream_work *work,
                          enum attempt_outcome outcome, int64_t now_ms)
{
  struct upstream *x = close_work (u, work);
  if (x == NULL)
    return;
  if (outcome != ATTEMPT_NOT_SENT && outcome != ATTEMPT_NO_VALID_RESPONSE)
    x->active_ms = now_ms;
  if (outcome == ATTEMPT_ANSWERED && work->sent_ms >= u->resumed_ms)
    {
      double ms = (double)(now_ms - work->sent_ms);
      double weight = x->residence_ms > 0 ? RESIDENCE_SAMPLE_WEIGHT : 1;
      x->residence_ms += (ms - x->residence_ms) * weight;
    }
  bool no_cache
      = outcome == ATTEMPT_NOT_RUN && work->kind == UPSTREAM_WORK_DECODE;
  if (no_cache)
    x->full_until_ms = MAX (x->full_until_ms, now_ms + FULL_COOLDOWN_MS);
  else if (is_unavailable (x, outcome))
    start_cooldown (x, now_ms);
  else
    x->refusals = 0;
  if (outcome == ATTEMPT_NOT_RUN)
    return;
  bool failed = outcome != ATTEMPT_ANSWERED;
  double before = upstreams_failure_rate (x, true, now_ms);
  x->failure_rate = before + ((failed ? 1.0 : 0.0) - before) * OUTCOME_WEIGHT;
  x->outcome_ms = now_ms;
  if (failed)
    x->failed_ms = now_ms;
}
