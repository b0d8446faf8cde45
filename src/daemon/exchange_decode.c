/** @file
    Reservation of the engine that decodes, before a remote prefill: a prompt
   is prefilled only if an engine is expected to take it afterwards.

    The reservation is a permit of that engine's home VM, which counts it as
    load until the request has ended or the permit has expired.  */
#include "daemon/exchange.h"

#include "base/clock.h"
#include "base/metrics.h"
#include "decide/load_shed.h"

void
exchange_release_decode (struct exchange *e)
{
  permit_link_end (e->proxy->parts.permits, e->decode_permit);
  exchange_drop_token (e, &e->decode_token);
  e->decode_permit = 0;
  e->decode.handle = 0;
}

static void
record_refused (struct exchange *e)
{
  metrics_add (METRIC_decodes_refused_total, 1);
  e->decode_refused[e->n_decode_refused++] = e->decode.handle;
  exchange_drop_token (e, &e->decode_token);
  e->decode_permit = 0;
  e->decode.handle = 0;
}

static void
on_decode_permit (void *arg, enum permit_state state, uint64_t tokens)
{
  (void)tokens;
  struct exchange *e = arg;
  if (state == PERMIT_REFUSED)
    record_refused (e);
  exchange_start_attempt (e);
}

/* Requests a permit for the decode at E->decode after the remote prefill C. */
static enum permit_state
request_permit (struct exchange *e, const struct upstream_choice *c,
                int64_t now)
{
  double left_ms = load_shed_first_byte_max_ms ((double)(e->until_ms - now));
  struct permit_limits limits
      = { .delay_ms = c->wait_ms, .queue_ms = left_ms, .wait_ms = left_ms };
  return permit_link_request (e->proxy->parts.permits, &e->decode,
                              e->facts.has_prompt ? &e->facts.prompt : NULL,
                              &limits, on_decode_permit, e, &e->decode_permit);
}

enum decode_reservation
exchange_reserve_decode (struct exchange *e, const struct upstream_choice *c,
                         const struct placement_request *request, int64_t now)
{
  bool may_ask = e->decodes_asked < EXCHANGE_DECODES_ASKED_MAX;
  if (e->decode.handle != 0 && (e->decode_after == c->handle || !may_ask))
    {
      e->decode_after = c->handle;
      return DECODE_RESERVED;
    }
  exchange_release_decode (e);
  while (e->decodes_asked < EXCHANGE_DECODES_ASKED_MAX)
    {
      struct placement_request after = *request;
      after.prefill_engine = c->handle;
      after.tried = e->decode_refused;
      after.n_tried = e->n_decode_refused;
      struct upstream_choice d
          = placement_choose (e->proxy->parts.upstreams, &after, now);
      if (d.handle == 0)
        return DECODE_REFUSED;
      const struct upstream_info *info
          = upstreams_info (e->proxy->parts.upstreams, d.handle);
      if (info == NULL
          || (!upstreams_is_limited (e->proxy->parts.upstreams, d.handle)
              && !load_shed_decode_may_bind (&d, info->slots, c)))
        return DECODE_RESERVED;
      if (!exchange_hold_token (e, &e->decode_token, d.handle, now))
        return DECODE_REFUSED;
      e->decode = d;
      e->decode_after = c->handle;
      e->decodes_asked++;
      metrics_add (METRIC_decodes_asked_total, 1);
      switch (request_permit (e, c, now))
        {
        case PERMIT_PENDING:
          return DECODE_PENDING;
        case PERMIT_REFUSED:
          record_refused (e);
          break;
        default:
          return DECODE_RESERVED;
        }
    }
  return DECODE_REFUSED;
}
