/** @file
    Demand for upstreams whose requests a second are limited.  */
#include "decide/placement_parts.h"

#include <math.h>

/* Least weight of a limited upstream, in requests a second, by which waiting
   requests ask for tokens.  */
#define TOKEN_WEIGHT_MIN 0.25
/* Age from which on a stated limit is probed, and the weight for that.  */
#define PROBE_MS 1000
#define PROBE_WEIGHT 1000.0
/* Golden ratio: its multiples, modulo 1, are spread evenly.  */
#define TOKEN_TURN_STEP 0.6180339887498949

/* Whether X would be eligible for REQUEST if it had a token.  */
static bool
lacks_token (const struct upstream *x, const struct placement_request *request,
             int64_t now_ms)
{
  struct placement_request unlimited = *request;
  if (!x->rate.limit.in_force || upstreams_entry_admits (x, now_ms))
    return false;
  unlimited.ignore_limits = true;
  return placement_is_eligible (x, &unlimited, now_ms);
}

bool
placement_lacks_token (const struct upstreams *u,
                       const struct placement_request *request, int64_t now_ms)
{
  for (guint i = 1; i < u->slots->len; i++)
    if (lacks_token (upstreams_entry (u, i), request, now_ms)
        && !placement_was_tried (request, upstreams_handle_of (u, i)))
      return true;
  return false;
}

/* Counts REQUEST, which is placed elsewhere, as demand of the upstreams that
   it would be sent to if none were limited.  */
static void
record_preferred (struct upstreams *u, const struct placement_request *request,
                  int64_t now_ms)
{
  struct placement_request unlimited = *request;
  unlimited.ignore_limits = true;
  struct upstream_choice best = placement_choose (u, &unlimited, now_ms);
  upstream_handle decode = 0;
  if (best.remote_prefill)
    {
      unlimited.prefill_engine = best.handle;
      decode = placement_choose (u, &unlimited, now_ms).handle;
    }
  for (guint i = 1; i < u->slots->len; i++)
    {
      struct upstream *x = upstreams_entry (u, i);
      upstream_handle h = upstreams_handle_of (u, i);
      if (x->used && (h == best.handle || h == decode)
          && !upstreams_entry_admits (x, now_ms))
        rate_tokens_record_miss (&x->rate.tokens, now_ms);
    }
}

/* How often X is asked for tokens.  A limit that was stated long ago may no
   longer hold, which only a request can tell.  */
static double
token_weight (const struct upstream *x, int64_t now_ms)
{
  if (now_ms - x->rate.limit.stated_ms > PROBE_MS)
    return PROBE_WEIGHT;
  return MAX (x->rate.limit.per_s, TOKEN_WEIGHT_MIN);
}

/* Counts REQUEST, which waits, as demand of one upstream that may get it: each
   in turn, as often as its limit says.  */
static void
record_in_turn (struct upstreams *u, const struct placement_request *request,
                int64_t now_ms)
{
  double sum = 0;
  for (guint i = 1; i < u->slots->len; i++)
    if (lacks_token (upstreams_entry (u, i), request, now_ms))
      sum += token_weight (upstreams_entry (u, i), now_ms);
  u->token_turn = fmod (u->token_turn + TOKEN_TURN_STEP, 1);
  double left = u->token_turn * sum;
  for (guint i = 1; i < u->slots->len; i++)
    {
      struct upstream *x = upstreams_entry (u, i);
      if (!lacks_token (x, request, now_ms))
        continue;
      left -= token_weight (x, now_ms);
      if (left >= 0)
        continue;
      rate_tokens_record_miss (&x->rate.tokens, now_ms);
      return;
    }
}

void
placement_record_misses (struct upstreams *u,
                         const struct placement_request *request,
                         upstream_handle chosen, int64_t now_ms)
{
  if (!placement_lacks_token (u, request, now_ms))
    return;
  if (chosen != 0)
    record_preferred (u, request, now_ms);
  else
    record_in_turn (u, request, now_ms);
}
