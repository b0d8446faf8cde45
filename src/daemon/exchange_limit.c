/** @file
    Tokens of the limits of requests a second that upstreams state: the one
    place where a request takes, gives back or waits for one.  */
#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "daemon/exchange.h"
#include "decide/load_shed.h"

bool
exchange_hold_token (struct exchange *e, upstream_handle *held,
                     upstream_handle h, int64_t now)
{
  struct upstreams *upstreams = e->proxy->parts.upstreams;
  exchange_drop_token (e, held);
  if (!upstreams_is_limited (upstreams, h))
    return true;
  if (!upstreams_take_token (upstreams, h, now))
    return false;
  *held = h;
  return true;
}

void
exchange_drop_token (struct exchange *e, upstream_handle *held)
{
  if (*held != 0)
    upstreams_give_back_token (e->proxy->parts.upstreams, *held, clock_ms ());
  *held = 0;
}

bool
exchange_spend_token (struct exchange *e, upstream_handle h, int64_t now)
{
  struct upstreams *upstreams = e->proxy->parts.upstreams;
  if (!upstreams_is_limited (upstreams, h))
    {
      exchange_drop_token (e, &e->token);
      return true;
    }
  if (e->token != h && !exchange_hold_token (e, &e->token, h, now))
    return false;
  e->token = 0;
  metrics_add (METRIC_limit_tokens_spent_total, 1);
  token_queue_record_sent (e->proxy->waiting, e->service, now);
  return true;
}

/* Waiting for a token.  */

/* Arguments of add_share.  */
struct share_sum
{
  const struct exchange *e;
  double per_s;
};

static void
add_share (void *arg, upstream_handle h, const struct upstream_info *info,
           struct upstream_rate *rate)
{
  (void)h;
  struct share_sum *s = arg;
  if (rate->limit.in_force && g_str_equal (info->service, s->e->service))
    s->per_s += rate->limit.per_s;
}

/* Tokens a second that each VM gets if all want as many.  */
static double
share_per_s (const struct exchange *e)
{
  const struct proxy_parts *parts = &e->proxy->parts;
  struct share_sum sum = { .e = e };
  upstreams_foreach_rate (parts->upstreams, add_share, &sum);
  return sum.per_s / MAX (parts->count_vms (parts->arg), 1);
}

static int64_t
start_by_ms (const struct exchange *e)
{
  double limit_ms = load_shed_limit_ms (e->route->target_ms,
                                        (double)(e->until_ms - e->since_ms));
  return MIN (e->since_ms + (int64_t)limit_ms,
              e->until_ms - EXCHANGE_ATTEMPT_MIN_MS);
}

static void
stop_waiting (struct exchange *e, int64_t now)
{
  e->limit_wait_ms += (unsigned)(now - e->waits_since_ms);
  e->waits_since_ms = 0;
}

/* E, which is not in the queue, gets no token in time.  */
static void
refuse_limited (struct exchange *e, int64_t now)
{
  stop_waiting (e, now);
  e->no_retry = "limited";
  metrics_add (METRIC_limit_refused_total, 1);
  if (e->tries > 0 || e->failed)
    exchange_give_up (e, ATTEMPT_NOT_SENT);
  else
    exchange_refuse (
        e, "limited",
        load_shed_retry_after_ms (e->facts.id, (double)(e->until_ms - now)));
}

static void
refuse_late (struct proxy *p, int64_t now)
{
  struct exchange *e = NULL;
  while ((e = token_queue_take_late (p->waiting, now)))
    refuse_limited (e, now);
  metrics_set (METRIC_limit_waiting, token_queue_length (p->waiting));
}

bool
exchange_wait_for_token (struct exchange *e,
                         const struct placement_request *request, int64_t now)
{
  struct proxy *p = e->proxy;
  if (e->silent || e->prefill_handle
      || !placement_lacks_token (p->parts.upstreams, request, now))
    return false;
  struct token_waiter w = { .service = e->service,
                            .priority = exchange_priority (e),
                            .start_by_ms = start_by_ms (e),
                            .request = e };
  if (e->waits_since_ms == 0)
    e->waits_since_ms = now;
  token_queue_add (p->waiting, &w, share_per_s (e), now);
  refuse_late (p, now);
  return true;
}

void
exchange_leave_queue (struct exchange *e)
{
  if (e->waits_since_ms == 0)
    return;
  token_queue_remove (e->proxy->waiting, e);
  stop_waiting (e, clock_ms ());
}

/* Sends the waiting request REQUEST.  Returns false if no upstream has room
   for it.  */
static bool
send_one (void *arg, void *request)
{
  struct proxy *p = arg;
  struct exchange *e = request;
  struct placement_request q
      = { .service = e->service,
          .prompt = e->facts.has_prompt ? &e->facts.prompt : NULL,
          .tried = e->tried,
          .n_tried = e->n_tried,
          .repeatable = e->attempts.repeatable,
          .exclude_prefill_engines = e->no_remote_prefill || e->is_canary };
  if (placement_choose (p->parts.upstreams, &q, clock_ms ()).handle == 0)
    return false;
  exchange_leave_queue (e);
  exchange_start_attempt (e);
  return true;
}

static void
send_waiting (void *arg, const char *service)
{
  struct proxy *p = arg;
  token_queue_serve (p->waiting, service, send_one, p);
}

void
exchange_tokens_arrived (struct proxy *p)
{
  if (token_queue_length (p->waiting) == 0)
    return;
  refuse_late (p, clock_ms ());
  token_queue_foreach_service (p->waiting, send_waiting, p);
}
