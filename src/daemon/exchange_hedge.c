/** @file
    A second attempt of a request beside one whose upstream is silent.  Silence
    does not show that an upstream has failed, so the silent attempt stays open
    until another one delivers or its own connection ends.  */
#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "daemon/exchange.h"

/* Time after a hedge that was not possible or has failed until the next
   one.  */
#define HEDGE_INTERVAL_MS 500

static bool
is_running (const struct attempt *a)
{
  return a->call && !a->prefilling;
}

/* Cancels A, which the request no longer needs.  */
static void
cancel (struct attempt *a)
{
  struct exchange *e = a->exchange;
  if (is_running (a))
    attempts_cancelled (&e->attempts);
  attempt_destroy (a);
}

/* Cancels the current attempt of E, in whatever state, and gives back what was
   reserved or prefilled for it.  */
static void
cancel_current (struct exchange *e)
{
  exchange_release_decode (e);
  exchange_prefill_release (e);
  cancel (e->current);
  e->current = NULL;
}

/* Cancels the silent attempt of E.  Its upstream counts as failed, so that
   other requests avoid it.  */
static void
cancel_silent (struct exchange *e)
{
  struct attempt *a = e->silent;
  e->silent = NULL;
  upstreams_record_outcome (e->proxy->parts.upstreams, &a->work,
                            ATTEMPT_NO_VALID_RESPONSE, clock_ms ());
  cancel (a);
}

/* Logs which of two attempts is kept, and how long ago the other was sent.  */
static void
log_decision (const struct attempt *kept, const struct attempt *other,
              bool hedge_won)
{
  metrics_add (hedge_won ? METRIC_hedges_won_total : METRIC_hedges_lost_total,
               1);
  log_event (LOG_INFO, "hedge_decided", "request", kept->exchange->facts.id,
             "kept", kept->upstream_id, "cancelled", other->upstream_id,
             "hedge_won", hedge_won ? "true" : "false", "cancelled_after_ms",
             log_num (other->call ? clock_ms () - other->work.sent_ms : -1),
             NULL);
}

void
exchange_prefer (struct attempt *a)
{
  struct exchange *e = a->exchange;
  if (a == e->current && e->silent)
    {
      log_decision (a, e->silent, true);
      cancel_silent (e);
    }
  if (a == e->current)
    return;
  if (a == e->silent)
    {
      log_decision (a, e->current, false);
      e->silent = NULL;
    }
  else if (e->silent)
    cancel_silent (e);
  if (a == e->failed)
    e->failed = NULL;
  cancel_current (e);
  e->current = a;
}

bool
exchange_wait_for_silent (struct exchange *e)
{
  /* A prefill only helps if the request may still be sent to an engine.  */
  if (e->silent && e->silent->prefilling && !attempts_may_begin (&e->attempts))
    exchange_drop_silent (e);
  if (e->silent == NULL)
    return false;
  int64_t now = clock_ms ();
  cancel_current (e);
  e->current = e->silent;
  e->silent = NULL;
  e->hedge_from_ms = now + HEDGE_INTERVAL_MS;
  return true;
}

void
exchange_drop_silent (struct exchange *e)
{
  g_clear_pointer (&e->silent, attempt_destroy);
}

static void
log_silence (struct attempt *a, int64_t now)
{
  if (a->silence_logged)
    return;
  a->silence_logged = true;
  metrics_add (METRIC_silent_upstreams_total, 1);
  log_event (LOG_INFO, "upstream_silent", "request", a->exchange->facts.id,
             "upstream", a->upstream_id, "waited_ms",
             log_num (now - a->work.sent_ms), "expected_ms",
             log_num ((long long)a->work.expected_ms), NULL);
}

void
exchange_silence_ended (struct attempt *a, enum silence_end end)
{
  static const char *const names[] = { "woke", "died", "timeout" };
  static const enum metrics_counter counters[]
      = { METRIC_silences_woke_total, METRIC_silences_died_total,
          METRIC_silences_timeout_total };
  if (a == NULL || !a->silence_logged)
    return;
  a->silence_logged = false;
  metrics_add (counters[end], 1);
  log_event (LOG_INFO, "upstream_silence_ended", "request",
             a->exchange->facts.id, "upstream", a->upstream_id, "how",
             names[end], "waited_ms", log_num (clock_ms () - a->work.sent_ms),
             NULL);
}

/* Whether E may have a further attempt beside the current one.  Pays for it.
 */
static bool
may_hedge (struct exchange *e, int64_t now)
{
  if (!e->current->prefilling && !attempts_may_hedge (&e->attempts))
    e->no_retry = "attempts";
  else if (!exchange_is_resumable (e))
    e->no_retry = "response_started";
  else if (exchange_retry_allowed (e, now))
    return true;
  metrics_add (METRIC_hedges_refused_total, 1);
  return false;
}

void
exchange_check_silence (struct exchange *e, int64_t now)
{
  struct attempt *a = e->current;
  /* An upstream that is paused for the caller is not silent.  */
  if (a->paused)
    {
      upstreams_record_bytes (e->proxy->parts.upstreams, &a->work, now);
      return;
    }
  if (e->silent || a->call == NULL
      || !(e->attempts.repeatable || a->prefilling)
      || !upstreams_has_stalled (e->proxy->parts.upstreams, &a->work, now))
    return;
  log_silence (a, now);
  if (now < e->hedge_from_ms)
    return;
  if (!may_hedge (e, now))
    {
      e->hedge_from_ms = now + HEDGE_INTERVAL_MS;
      return;
    }
  /* The silent attempt may have fetched the prefilled KV cache.  */
  if (!a->prefilling)
    g_clear_pointer (&e->prefill_handle, g_free);
  e->silent = a;
  e->current = attempt_create (e);
  e->hedge_sent = false;
  e->permit_requests = 0;
  exchange_start_attempt (e);
}
