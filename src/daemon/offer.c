#include "daemon/exchange.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "decide/placing.h"
#include "decide/refusal.h"

#include <string.h>

/* Connections that no answer may be lost on: idle for no longer.  */
#define ONCE_REUSE_MS 800
/* Permits that are asked for one attempt at most.  */
#define PERMITS_MOST 4
/* A wait may be longer than expected by this much before the next best engine
   is asked.  */
#define PERMIT_MARGIN_MS 10.0

/* Sending.  */

static const struct pool_events pool_events
    = { exchange_head, exchange_data, exchange_attempt_ended };

static struct pool_call *
send_to (struct exchange *e, const struct upstream_info *info, int64_t now)
{
  const struct request_ops *ops = e->proxy->parts.requests;
  struct http_head *h = http_head_copy (front_request_head (e->caller));
  struct evbuffer *body = front_request_body (e->caller);
  struct request_marks marks
      = { .upstream = info->id,
          .patience_ms = e->until_ms - now,
          .read_only = e->reading,
          .read_by = e->reading ? NULL : e->read_by,
          .resume_after = e->started ? e->events.last_id : NULL };
  http_head_strip_hop (h, ops->kept_fields);
  http_head_remove (h, "Expect");
  http_head_remove (h, "Content-Length");
  size_t size = evbuffer_get_length (body);
  if (size > 0 || strcmp (h->method, "POST") == 0
      || strcmp (h->method, "PUT") == 0)
    {
      char text[24];
      g_snprintf (text, sizeof text, "%zu", size);
      http_head_add (h, "Content-Length", text);
    }
  ops->mark_request (h, &marks);
  struct pool_request r
      = { .upstream = info->id,
          .address = info->address,
          .connections = exchange_connection_share (e),
          .id_field = ops->answers_name_request ? ops->id_field : NULL,
          .head = h,
          .body = body,
          .reuse_ms
          = e->attempts.repeatable ? EXCHANGE_REUSE_MS : ONCE_REUSE_MS };
  struct pool_call *call
      = pool_send (e->proxy->parts.pool, &r, &pool_events, e);
  http_head_destroy (h);
  return call;
}

/* Sends E to the instance of C.  False where it cannot be sent.  */
static bool
send_choice (struct exchange *e, const struct upstream_choice *c, int64_t now)
{
  const struct proxy_parts *parts = &e->proxy->parts;
  const struct prompt *prompt = e->facts.has_prompt ? &e->facts.prompt : NULL;
  const struct upstream_info *info
      = upstreams_info (parts->upstreams, c->handle);
  if (info == NULL)
    return false;
  e->tried[e->n_tried++] = c->handle;
  e->reading = c->reads_apart;
  e->call = send_to (e, info, now);
  if (e->call == NULL)
    return false;
  e->tries += e->reading ? 0 : 1;
  g_strlcpy (e->upstream_id, info->id, sizeof e->upstream_id);
  upstreams_sent (parts->upstreams, c, prompt, now, &e->work);
  return true;
}

/* Refusing.  */

/* Latest time from now at which the first byte is worth while.  */
static double
late_ms (const struct exchange *e, int64_t now)
{
  return refusal_limit_ms (e->route->target_ms,
                           (double)(e->until_ms - e->since_ms),
                           (double)(e->until_ms - now));
}

/* Permits.  */

/* Longest wait at the engine of C that is worth while.  */
static double
wait_limit_ms (const struct exchange *e, const struct upstream_choice *c,
               int64_t now)
{
  double most = e->read_by ? (double)(e->until_ms - now) : late_ms (e, now);
  double stretch = c->plain_ms > 0 ? c->expected_ms / c->plain_ms : 1;
  double limit = most / stretch - (c->plain_ms - c->wait_ms);
  double next = c->wait_ms + c->margin_ms + PERMIT_MARGIN_MS;
  return e->asked == PERMITS_MOST - 1 ? limit : MIN (limit, next);
}

static void
on_permit (void *arg, enum permit_state state)
{
  struct exchange *e = arg;
  int64_t now = clock_ms ();
  if (state == PERMIT_REFUSED)
    {
      metrics_add (METRIC_permits_refused_total, 1);
      e->permit = 0;
      exchange_attempt (e);
    }
  else if (!send_choice (e, &e->choice, now))
    {
      exchange_end_permit (e);
      exchange_attempt (e);
    }
}

/* Asks for a permit where C is an engine.  */
static enum permit_state
ask_permit (struct exchange *e, const struct upstream_choice *c, int64_t now)
{
  if (c->work == UPSTREAM_WORK_PLAIN || e->asked >= PERMITS_MOST)
    return PERMIT_ALONE;
  enum permit_state state
      = permit_link_ask (e->proxy->parts.permits, c, wait_limit_ms (e, c, now),
                         on_permit, e, &e->permit);
  e->asked++;
  e->asked_in_all++;
  return state;
}

/* Attempts.  */

/* One step of an attempt.  False where the next instance is to be tried.  */
static bool
offer (struct exchange *e, struct upstream_ask *ask)
{
  const struct proxy_parts *parts = &e->proxy->parts;
  int64_t now = clock_ms ();
  ask->limit_ms = late_ms (e, now);
  struct upstream_choice c = placing_choose (parts->upstreams, ask, now);
  if (c.handle == 0 || e->n_tried >= EXCHANGE_TRIED_MAX)
    {
      exchange_give_up (e, attempts_give_up (&e->attempts), ATTEMPT_NOT_SENT);
      return true;
    }
  e->expected_ms = c.expected_ms;
  if (e->n_tried == 0 && placing_is_long (ask->prompt))
    e->plain_ms = c.plain_ms;
  bool may_refuse = e->tries == 0 && e->read_by == NULL;
  double left = (double)(e->until_ms - now);
  if (may_refuse
      && (refusal_is_due (&c, ask->limit_ms, left)
          || e->asked >= PERMITS_MOST))
    {
      exchange_refuse (e, "overload",
                       refusal_retry_after_ms (e->facts.id, left));
      return true;
    }
  e->choice = c;
  switch (ask_permit (e, &c, now))
    {
    case PERMIT_WAITS:
      return true;
    case PERMIT_REFUSED:
      metrics_add (METRIC_permits_refused_total, 1);
      return false;
    default:
      if (send_choice (e, &c, now))
        return true;
      exchange_end_permit (e);
      return false;
    }
}

void
exchange_attempt (struct exchange *e)
{
  struct upstream_ask ask
      = { .service = e->service,
          .prompt = e->facts.has_prompt ? &e->facts.prompt : NULL,
          .tried = e->tried,
          .repeatable = e->attempts.repeatable };
  e->answer_facts = (struct answer_facts){ 0 };
  do
    {
      ask.n_tried = e->n_tried;
      ask.reader = e->read_by ? e->reader : 0;
    }
  while (!offer (e, &ask));
}
