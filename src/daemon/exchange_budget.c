/** @file
    Retry budget of a request: the one place where calls to upstreams beyond
    the first are paid for, and given back if they reached none.  */
#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "daemon/exchange.h"

/* Logs what is left of the budget that E was refused.  */
static void
log_refusal (const struct exchange *e, const struct retry_usage *u)
{
  log_event (LOG_INFO, "retry_refused", "request", e->facts.id, "service",
             e->service, "taken", log_num (u->taken), "allowed",
             log_num ((long long)u->allowed), "left",
             log_num ((long long)u->left), "requests", log_num (u->requests),
             "vms", log_num (u->vms), NULL);
}

static enum retry_urgency
urgency_of (const struct exchange *e)
{
  if (e->silent || e->current->call)
    return RETRY_HEDGE;
  return e->started || exchange_priority (e) == 0 ? RETRY_URGENT
                                                  : RETRY_NORMAL;
}

bool
exchange_pay (struct exchange *e, enum call_kind kind)
{
  struct retry_buckets *budget = e->proxy->parts.retries;
  int64_t now = clock_ms ();
  unsigned cost = arrivals_cost (&e->arrivals, kind);
  if (cost == 0)
    return true;
  if (retry_buckets_take (budget, e->service, cost, urgency_of (e), now))
    {
      arrivals_pay (&e->arrivals, cost);
      return true;
    }
  struct retry_usage u = retry_buckets_usage (budget, e->service, now);
  metrics_add (METRIC_retries_refused_total, 1);
  log_refusal (e, &u);
  return false;
}

void
exchange_record_request (struct exchange *e)
{
  retry_buckets_record_request (e->proxy->parts.retries, e->service,
                                clock_ms ());
}

void
exchange_return_unused (struct exchange *e)
{
  unsigned unused = arrivals_left_over (&e->arrivals);
  if (unused > 0)
    retry_buckets_give_back (e->proxy->parts.retries, e->service, unused,
                             clock_ms ());
}
