#include "decide/upstreams_table.h"

#include <float.h>
#include <math.h>
#include <string.h>

/* Least tokens of an answer that changes an engine's speed, and how much it
   does.  */
#define READ_SAMPLE_TOKENS 1000
#define READ_SAMPLE_WEIGHT 0.1
/* How much one answer changes the time of a plain request: least, and after
   long without any.  */
#define SERVICE_SAMPLE_WEIGHT 0.05
#define SERVICE_SAMPLE_WEIGHT_MAX 0.5
/* Half of what an instance's slowness and failures tell is forgotten in as
   long, so that it is tried again; requests that may run once come later.  */
#define FORGET_HALF_MS 2000.0
#define FORGET_ONCE_HALF_MS 8000.0
/* Outcomes: weight of the latest, and the share of failures from which an
   instance is passed over for a while.  */
#define FAILURE_WEIGHT 0.25
#define FAILURE_SHARE_BAD 0.7
#define FAILURE_REST_MS 1500
/* An instance that was full is passed over for as long.  */
#define FULL_REST_MS 60
/* An instance that answers none of its requests for as long is passed over; a
   request is tried elsewhere once it has waited for as long and for this many
   times its expected time.  Plain requests may take long one by one. */
#define ENGINE_QUIET_MS 500
#define SERVICE_QUIET_MS 900
#define QUIET_FACTOR 3.0
/* How fast expectations follow what answers took; the base keeps short times
   from counting much, the bound leaves requests to measure by.  */
#define STRETCH_WEIGHT 0.08
#define STRETCH_BASE_MS 50.0
#define STRETCH_MAX 4.0
/* Time is seen to pass far more often; after a longer gap this process has
   stood still.  */
#define STOOD_STILL_MS 400

/* What is forgotten.  */

/* What is left after AGE_MS.  */
static double
left_after (int64_t age_ms, double half_ms)
{
  return exp2 (-(double)MAX (age_ms, 0) / half_ms);
}

double
upstreams_failures (const struct upstream *x, bool repeatable, int64_t now_ms)
{
  double half = repeatable ? FORGET_HALF_MS : FORGET_ONCE_HALF_MS;
  return x->failures > 0
             ? x->failures * left_after (now_ms - x->judged_ms, half)
             : 0;
}

double
upstreams_service_ms (const struct upstream *x, double usual_ms,
                      int64_t now_ms)
{
  if (x->sampled_ms == 0)
    return usual_ms;
  double left = left_after (now_ms - x->sampled_ms, FORGET_HALF_MS);
  return usual_ms + (x->service_ms - usual_ms) * left;
}

double
upstreams_usual_ms (const struct upstreams *u, const char *service,
                    int64_t now_ms)
{
  double least = DBL_MAX;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_slot (u, i);
      if (x->used && x->sampled_ms != 0
          && strcmp (x->info.service, service) == 0)
        least = MIN (least, upstreams_service_ms (x, SERVICE_MS, now_ms));
    }
  return least < DBL_MAX ? least : SERVICE_MS;
}

/* A plain request was answered in MS.  */
static void
learn_service_ms (const struct upstreams *u, struct upstream *x, double ms,
                  int64_t now_ms)
{
  double usual = upstreams_usual_ms (u, x->info.service, now_ms);
  double believed = upstreams_service_ms (x, usual, now_ms);
  double left = x->sampled_ms == 0
                    ? 0
                    : left_after (now_ms - x->sampled_ms, FORGET_HALF_MS);
  double weight = 1 - left * (1 - SERVICE_SAMPLE_WEIGHT);
  weight = MIN (weight, SERVICE_SAMPLE_WEIGHT_MAX);
  x->service_ms = believed + (MAX (ms, 1) - believed) * weight;
  x->sampled_ms = now_ms;
}

/* Rest.  */

static int64_t
quiet_ms (const struct upstream *x)
{
  return x->info.role == UPSTREAM_SERVICE ? SERVICE_QUIET_MS : ENGINE_QUIET_MS;
}

bool
upstreams_is_quiet (const struct upstream *x, int64_t now_ms)
{
  return x->own.running > 0 && now_ms - x->heard_ms > quiet_ms (x);
}

bool
upstreams_is_resting (const struct upstream *x, int64_t now_ms)
{
  return now_ms < x->full_until_ms || upstreams_is_quiet (x, now_ms)
         || (x->failures > FAILURE_SHARE_BAD
             && now_ms - x->failed_ms < FAILURE_REST_MS);
}

/* Outcomes.  */

void
upstreams_sent (struct upstreams *u, const struct upstream_choice *choice,
                const struct prompt *prompt, int64_t now_ms,
                struct upstream_work *work)
{
  struct upstream *x = upstreams_at (u, choice->handle);
  memset (work, 0, sizeof *work);
  if (x == NULL)
    return;
  work->handle = choice->handle;
  work->tokens = choice->tokens;
  work->ahead = upstreams_whole_load (x, now_ms).tokens + choice->tokens;
  work->sent_ms = now_ms;
  work->expected_ms = choice->expected_ms;
  work->open = true;
  work->reading = true;
  if (x->own.running == 0)
    x->heard_ms = now_ms;
  work->generating = prompt && prompt->tokens < READ_APART_MIN_TOKENS
                     && x->info.role == UPSTREAM_DECODE;
  x->own.running++;
  x->own.generating += work->generating;
  x->own.tokens += work->tokens;
  if (prompt)
    prefixes_add (x->prefixes, prompt, now_ms);
}

static void
stop_reading (struct upstream *x, struct upstream_work *work)
{
  if (work->reading)
    x->own.tokens -= MIN (x->own.tokens, work->tokens);
  work->reading = false;
}

void
upstreams_tick (struct upstreams *u, int64_t now_ms)
{
  if (now_ms - u->ticked_ms > STOOD_STILL_MS)
    u->woke_ms = now_ms;
  u->ticked_ms = now_ms;
}

static void
learn_speed (struct upstream *x, const struct upstream_work *work,
             unsigned took_ms)
{
  if (work->ahead < READ_SAMPLE_TOKENS)
    return;
  double speed = CLAMP ((double)work->ahead / took_ms, READ_TOKENS_PER_MS_MIN,
                        READ_TOKENS_PER_MS_MAX);
  x->tokens_per_ms += (speed - x->tokens_per_ms) * READ_SAMPLE_WEIGHT;
}

unsigned
upstreams_first_byte (struct upstreams *u, struct upstream_work *work,
                      int64_t now_ms)
{
  struct upstream *x = upstreams_at (u, work->handle);
  upstreams_tick (u, now_ms);
  if (x == NULL || !work->reading)
    return 0;
  stop_reading (x, work);
  if (work->sent_ms < u->woke_ms)
    return 0;
  double whole = (double)(now_ms - work->sent_ms) - x->rtt_ms;
  unsigned took_ms = (unsigned)MAX (whole - FIRST_TOKEN_MS, 1);
  if (x->info.role == UPSTREAM_SERVICE)
    learn_service_ms (u, x, whole, now_ms);
  else
    learn_speed (x, work, took_ms);
  return took_ms;
}

void
upstreams_took (struct upstreams *u, double expected_ms, int64_t since_ms,
                int64_t now_ms)
{
  upstreams_tick (u, now_ms);
  if (since_ms < u->woke_ms)
    return;
  double took = (double)(now_ms - since_ms);
  double ratio = (took + STRETCH_BASE_MS) / (expected_ms + STRETCH_BASE_MS);
  u->stretch += (ratio - u->stretch) * STRETCH_WEIGHT;
  u->stretch = CLAMP (u->stretch, 1, STRETCH_MAX);
}

void
upstreams_heard (struct upstreams *u, upstream_handle h, int64_t now_ms)
{
  struct upstream *x = upstreams_at (u, h);
  if (x)
    x->heard_ms = now_ms;
}

bool
upstreams_is_silent (const struct upstreams *u,
                     const struct upstream_work *work, int64_t now_ms)
{
  const struct upstream *x = upstreams_at (u, work->handle);
  double wait = work->expected_ms * QUIET_FACTOR;
  return x && work->open && upstreams_is_quiet (x, now_ms)
         && now_ms - work->sent_ms > quiet_ms (x)
         && (double)(now_ms - work->sent_ms) > wait;
}

static struct upstream *
close_work (struct upstreams *u, struct upstream_work *work)
{
  struct upstream *x = upstreams_at (u, work->handle);
  if (x == NULL || !work->open)
    return NULL;
  stop_reading (x, work);
  x->own.running -= MIN (x->own.running, 1);
  x->own.generating -= MIN (x->own.generating, work->generating ? 1 : 0);
  work->open = false;
  return x;
}

void
upstreams_cancelled (struct upstreams *u, struct upstream_work *work)
{
  (void)close_work (u, work);
}

void
upstreams_ended (struct upstreams *u, struct upstream_work *work,
                 enum attempt_outcome outcome, int64_t now_ms)
{
  struct upstream *x = close_work (u, work);
  if (x == NULL)
    return;
  if (outcome != ATTEMPT_NOT_SENT && outcome != ATTEMPT_LOST)
    x->heard_ms = now_ms;
  if (outcome == ATTEMPT_NOT_RUN)
    {
      x->full_until_ms = now_ms + FULL_REST_MS;
      return;
    }
  bool failed = outcome != ATTEMPT_ANSWERED;
  double before = upstreams_failures (x, true, now_ms);
  x->failures = before + ((failed ? 1.0 : 0.0) - before) * FAILURE_WEIGHT;
  x->judged_ms = now_ms;
  if (failed)
    x->failed_ms = now_ms;
}
