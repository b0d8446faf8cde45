#include "decide/rate_tokens.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define MS_PER_S 1000.0

/* Starts a new interval of demand if the current one is over.  */
static void
roll_demand (struct rate_tokens *t, int64_t now_ms)
{
  int64_t age_ms = now_ms - t->interval_ms;
  if (age_ms < RATE_TOKENS_DEMAND_MS)
    return;
  t->demand[1] = age_ms < 2 * RATE_TOKENS_DEMAND_MS ? t->demand[0] : 0;
  t->demand[0] = 0;
  t->interval_ms = now_ms;
}

static void
record_demand (struct rate_tokens *t, int64_t now_ms)
{
  roll_demand (t, now_ms);
  t->demand[0]++;
}

void
rate_tokens_reset (struct rate_tokens *t)
{
  memset (t, 0, sizeof *t);
}

static bool
has_lent (const struct rate_tokens *t, int64_t now_ms)
{
  return t->lent > 0 && now_ms < t->expires_ms;
}

bool
rate_tokens_available (const struct rate_tokens *t, int64_t now_ms)
{
  return has_lent (t, now_ms) || (t->own >= 1 && now_ms < t->own_until_ms);
}

bool
rate_tokens_take (struct rate_tokens *t, int64_t now_ms)
{
  if (!rate_tokens_available (t, now_ms))
    return false;
  if (has_lent (t, now_ms))
    t->lent--;
  else
    t->own -= 1;
  t->taken++;
  record_demand (t, now_ms);
  return true;
}

void
rate_tokens_give_back (struct rate_tokens *t, int64_t now_ms)
{
  if (now_ms < t->expires_ms)
    t->lent++;
  else
    t->expired++;
}

void
rate_tokens_record_miss (struct rate_tokens *t, int64_t now_ms)
{
  t->missed++;
  record_demand (t, now_ms);
}

static bool
is_home_silent (const struct rate_tokens *t, int64_t now_ms)
{
  return t->unanswered_ms != 0
         && now_ms - t->unanswered_ms >= RATE_TOKENS_SILENT_MS;
}

/* Earns tokens of SHARE.  One that is not spent in time is lost.  */
static void
earn (struct rate_tokens *t, const struct rate_share *share, int64_t now_ms)
{
  double valid_s = RATE_TOKENS_VALID_MS / MS_PER_S;
  if (t->own_ms == 0)
    t->own = share->phase;
  else
    t->own += share->per_s * (double)(now_ms - t->own_ms) / MS_PER_S;
  t->own = MIN (t->own, 1 + share->per_s * valid_s);
  t->own_ms = now_ms;
  if (t->own < 1)
    t->own_until_ms = 0;
  else if (t->own_until_ms == 0)
    t->own_until_ms = now_ms + RATE_TOKENS_VALID_MS;
  else if (now_ms >= t->own_until_ms)
    {
      t->own = fmod (t->own, 1);
      t->own_until_ms = 0;
    }
}

void
rate_tokens_tick (struct rate_tokens *t, const struct rate_share *share,
                  int64_t now_ms)
{
  roll_demand (t, now_ms);
  if (t->lent > 0 && now_ms >= t->expires_ms)
    {
      t->expired += t->lent;
      t->lent = 0;
    }
  if (is_home_silent (t, now_ms))
    earn (t, share, now_ms);
}

unsigned
rate_tokens_wanted (const struct rate_tokens *t, int64_t now_ms)
{
  unsigned demand = t->demand[0] + t->demand[1];
  unsigned held = has_lent (t, now_ms) ? t->lent : 0;
  return MIN (demand - MIN (held, demand), RATE_TOKENS_WANTED_MAX);
}

bool
rate_tokens_must_ask (const struct rate_tokens *t, int64_t interval_ms,
                      int64_t now_ms)
{
  unsigned wanted = rate_tokens_wanted (t, now_ms);
  if (t->expired > 0 || (wanted > 0) != (t->asked > 0))
    return true;
  return wanted > 0 && now_ms - t->asked_ms >= interval_ms;
}

unsigned
rate_tokens_asked (struct rate_tokens *t, unsigned wanted, int64_t now_ms)
{
  unsigned returned = t->expired;
  t->expired = 0;
  t->asked = wanted;
  t->asked_ms = now_ms;
  if (t->unanswered_ms == 0)
    t->unanswered_ms = now_ms;
  return returned;
}

bool
rate_tokens_lend (struct rate_tokens *t, uint32_t lender, uint64_t seq,
                  unsigned count, int64_t now_ms)
{
  if (t->lender == lender && seq <= t->lender_seq)
    return false;
  t->lender = lender;
  t->lender_seq = seq;
  t->unanswered_ms = 0;
  t->own = 0;
  t->own_ms = 0;
  t->own_until_ms = 0;
  if (count == 0)
    return true;
  if (!has_lent (t, now_ms))
    {
      t->expired += t->lent;
      t->lent = 0;
      t->expires_ms = now_ms + RATE_TOKENS_VALID_MS;
    }
  t->lent += count;
  return true;
}
