/** @file
    Attempts of a request: chooses an instance, requests a permit for an engine
    (daemon/permit_link.h), and sends the request or refuses it.  */
#include "daemon/exchange.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "decide/placement.h"
#include "decide/load_shed.h"

#include <string.h>

/* Longest idle time of a connection that is reused for a request that may run
   only once.  An upstream may close a connection that has been idle for longer
   just as the request is sent, and the outcome would be unknown.  */
#define AT_MOST_ONCE_REUSE_MS 800
/* Most permit requests of one attempt.  */
#define PERMITS_PER_ATTEMPT_MAX 4
/* A permit is accepted with a wait up to this much past the point at which the
   next best engine would be as fast; past that, the next best one is asked. */
#define PERMIT_WAIT_MARGIN_MS 10.0

/* Sending to an upstream.  */

static struct pool_call *
send_to (struct attempt *a, const struct upstream_info *info, int64_t now)
{
  struct exchange *e = a->exchange;
  const struct request_ops *ops = e->proxy->parts.requests;
  struct http_head *h = http_head_copy (inbound_request_head (e->caller));
  struct evbuffer *body = inbound_request_body (e->caller);
  struct forwarded_info marks
      = { .upstream = info->id,
          .caller_timeout_ms = e->until_ms - now,
          .prefill_only = a->prefilling,
          .prefill_handle = a->prefilling ? NULL : e->prefill_handle,
          .resume_after = e->last_event_id,
          .account = e->account ? e->account->name : NULL,
          .remove_key = route_table_requires_keys (e->table) };
  http_head_strip_hop_by_hop (h, ops->protected_fields);
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
  ops->set_forwarded_fields (h, &marks);
  struct pool_request r
      = { .upstream = info->id,
          .address = info->address,
          .connections = exchange_connection_share (e),
          .id_field = ops->id_field,
          .id_optional = !ops->responses_repeat_id,
          .head = h,
          .body = body,
          .receive_bytes = memory_budget_receive_bytes (
              e->proxy->parts.memory, g_hash_table_size (e->proxy->open)),
          .unacked_ms = EXCHANGE_UNACKED_MS,
          .reuse_ms = e->attempts.repeatable ? EXCHANGE_REUSE_MS
                                             : AT_MOST_ONCE_REUSE_MS };
  struct pool_call *call
      = pool_send (e->proxy->parts.pool, &r, &exchange_pool_callbacks, a);
  http_head_destroy (h);
  return call;
}

/* Pays for the call to C.  Without the budget for a remote prefill the engine
   that decodes prefills the prompt itself.  */
static bool
pay_for (struct exchange *e, const struct upstream_choice *c)
{
  if (exchange_pay (e, c->remote_prefill ? CALL_PREFILL : CALL_RUN))
    return true;
  e->no_remote_prefill = true;
  return false;
}

/* Sends the current attempt of E to the instance of C, as a remote prefill if
   C is one.  Returns false if the instance is gone, accepts no requests any
   more or exceeds its limit, no connection may be opened or a prefill exceeds
   the retry budget.  */
static bool
send_choice (struct exchange *e, const struct upstream_choice *c, int64_t now)
{
  struct attempt *a = e->current;
  const struct proxy_parts *parts = &e->proxy->parts;
  const struct prompt *prompt = e->facts.has_prompt ? &e->facts.prompt : NULL;
  const struct upstream_info *info
      = upstreams_info (parts->upstreams, c->handle);
  if (info == NULL || !upstreams_accepts (parts->upstreams, c->handle, now)
      || !pay_for (e, c) || !exchange_spend_token (e, c->handle, now))
    return false;
  e->tried[e->n_tried++] = c->handle;
  a->prefilling = c->remote_prefill;
  arrivals_sent (&e->arrivals, attempt_call_kind (a));
  a->call = send_to (a, info, now);
  if (a->call == NULL)
    {
      arrivals_not_sent (&e->arrivals, attempt_call_kind (a));
      upstreams_give_back_token (parts->upstreams, c->handle, now);
      return false;
    }
  e->calls++;
  if (!a->prefilling)
    {
      e->tries++;
      attempts_begin (&e->attempts);
    }
  if (e->silent && !e->hedge_sent)
    metrics_add (METRIC_hedges_sent_total, 1);
  e->hedge_sent = e->silent != NULL;
  g_strlcpy (a->upstream_id, info->id, sizeof a->upstream_id);
  upstreams_record_sent (parts->upstreams, c, prompt, now, &a->work);
  return true;
}

/* Permits for engines.  */

static void
end_permit (struct attempt *a)
{
  permit_link_end (a->exchange->proxy->parts.permits, a->permit);
  a->permit = 0;
}

/* Longest wait of E for earlier requests, in ms, with which it is still
   accepted.  */
static double
queue_limit_ms (const struct exchange *e)
{
  return load_shed_limit_ms (e->route->target_ms,
                             (double)(e->until_ms - e->since_ms));
}

/* Longest waits at the engine of C with which a permit is accepted: for
   earlier requests (without limit if the prompt is already prefilled), and
   until the first token, which must come before the caller's time-out.  Except
   for the last permit request of an attempt, the first also ends where the
   next best engine becomes faster.  */
static struct permit_limits
permit_limits (const struct exchange *e, const struct upstream_choice *c,
               int64_t now)
{
  double left_ms = load_shed_first_byte_max_ms ((double)(e->until_ms - now));
  struct permit_limits l
      = { .queue_ms = e->prefill_handle ? left_ms : queue_limit_ms (e),
          .wait_ms = left_ms - (c->expected_ms - c->wait_ms) };
  if (e->permit_requests < PERMITS_PER_ATTEMPT_MAX - 1)
    l.queue_ms
        = MIN (l.queue_ms, c->queue_ms + c->margin_ms + PERMIT_WAIT_MARGIN_MS);
  return l;
}

static void
on_permit (void *arg, enum permit_state state, uint64_t tokens)
{
  struct exchange *e = arg;
  struct attempt *a = e->current;
  if (state == PERMIT_REFUSED)
    {
      metrics_add (METRIC_permits_refused_total, 1);
      a->permit = 0;
      exchange_start_attempt (e);
      return;
    }
  if (exchange_is_quarantined (e))
    {
      end_permit (a);
      exchange_start_attempt (e);
      return;
    }
  if (state == PERMIT_GRANTED)
    a->choice.tokens = tokens;
  if (send_choice (e, &a->choice, clock_ms ()))
    return;
  end_permit (a);
  exchange_start_attempt (e);
}

/* Requests a permit if C is an engine.  Returns PERMIT_UNAVAILABLE for plain
   services and after the last permit request of an attempt.  */
static enum permit_state
request_engine_permit (struct exchange *e, struct upstream_choice *c,
                       int64_t now)
{
  if (c->work == UPSTREAM_WORK_PLAIN
      || e->permit_requests >= PERMITS_PER_ATTEMPT_MAX)
    return PERMIT_UNAVAILABLE;
  const struct prompt *prompt = e->facts.has_prompt ? &e->facts.prompt : NULL;
  struct permit_limits limits = permit_limits (e, c, now);
  /* A prompt that is already prefilled is not refused for a queue, so its
     permit need not be awaited.  */
  permit_callback *answered = e->prefill_handle ? NULL : on_permit;
  enum permit_state state
      = permit_link_request (e->proxy->parts.permits, c, prompt, &limits,
                             answered, e, &e->current->permit);
  e->current->choice.tokens = c->tokens;
  e->permit_requests++;
  e->permit_requests_total++;
  return state;
}

/* Choice of an instance.  */

bool
exchange_is_quarantined (const struct exchange *e)
{
  return !e->is_canary
         && quarantine_link_blocks (e->proxy->parts.quarantine, e->service,
                                    &e->facts.prompt);
}

/* E is sent to no further instance for the reason WHY: waits for the silent
   attempt, or ends E.  */
static void
stop_attempts (struct exchange *e, const char *why)
{
  e->no_retry = why;
  if (!exchange_wait_for_silent (e))
    exchange_give_up (e, ATTEMPT_NOT_SENT);
}

/* Whether E is refused rather than sent as C: it was sent nowhere yet, and its
   response is expected too late.  */
static bool
must_refuse (const struct exchange *e, const struct upstream_choice *c,
             double limit_ms, double left_ms)
{
  if (e->tries > 0 || e->silent || e->prefill_handle)
    return false;
  return e->permit_requests >= PERMITS_PER_ATTEMPT_MAX
         || (load_shed_must_refuse (c, limit_ms, left_ms)
             && !load_shed_ask_home (c, e->permit_requests));
}

/* Reserves a decode engine if C is a remote prefill, whose transfer then
   counts for both engines.  Gives an earlier reservation back if C is not.  */
static enum decode_reservation
reserve_decode (struct exchange *e, struct upstream_choice *c,
                const struct placement_request *request, int64_t now)
{
  if (!c->remote_prefill)
    {
      exchange_release_decode (e);
      return DECODE_RESERVED;
    }
  enum decode_reservation r = exchange_reserve_decode (e, c, request, now);
  if (r == DECODE_RESERVED && e->decode.handle != 0)
    c->link_ms = e->decode.link_ms;
  return r;
}

/* Chooses the best instance for E, then sends E, waits for a permit or ends E.
   Returns false if the request could not be sent there or its permit was
   refused, so that the next one is to be chosen.  */
static bool
try_best_upstream (struct exchange *e, struct placement_request *request)
{
  const struct proxy_parts *parts = &e->proxy->parts;
  int64_t now = clock_ms ();
  request->limit_ms = queue_limit_ms (e);
  struct upstream_choice c = placement_choose (parts->upstreams, request, now);
  placement_record_misses (parts->upstreams, request, c.handle, now);
  if (c.handle == 0 || e->n_tried >= EXCHANGE_TRIED_MAX)
    {
      if (c.handle != 0 || !exchange_wait_for_token (e, request, now))
        stop_attempts (e, "no_upstream");
      return true;
    }
  e->expected_ms = c.expected_ms;
  if (e->n_tried == 0 && placement_is_long_prompt (request->prompt))
    e->uncorrected_ms = c.uncorrected_ms;
  double left_ms = (double)(e->until_ms - now);
  if (must_refuse (e, &c, request->limit_ms, left_ms))
    {
      exchange_refuse (e, "overload",
                       load_shed_retry_after_ms (e->facts.id, left_ms));
      return true;
    }
  if (!exchange_hold_token (e, &e->token, c.handle, now))
    return false;
  switch (reserve_decode (e, &c, request, now))
    {
    case DECODE_PENDING:
      return true;
    case DECODE_REFUSED:
      e->no_remote_prefill = true;
      return false;
    default:
      break;
    }
  e->current->choice = c;
  switch (request_engine_permit (e, &c, now))
    {
    case PERMIT_PENDING:
      return true;
    case PERMIT_REFUSED:
      metrics_add (METRIC_permits_refused_total, 1);
      return false;
    default:
      if (send_choice (e, &c, now))
        return true;
      end_permit (e->current);
      return false;
    }
}

/* Sends E, whose prompt is prefilled, to the engine that is reserved for the
   decode.  Returns false if there is none or it does not accept E any more. */
static bool
send_to_reserved (struct exchange *e)
{
  struct attempt *a = e->current;
  if (e->prefill_handle == NULL || e->decode.handle == 0
      || e->prefill_engine != e->decode_after
      || e->n_tried >= EXCHANGE_TRIED_MAX)
    {
      exchange_release_decode (e);
      return false;
    }
  a->choice = e->decode;
  e->expected_ms = a->choice.expected_ms;
  a->permit = e->decode_permit;
  e->token = e->decode_token;
  e->decode_token = 0;
  e->decode_permit = 0;
  e->decode.handle = 0;
  if (send_choice (e, &a->choice, clock_ms ()))
    return true;
  end_permit (a);
  return false;
}

void
exchange_start_attempt (struct exchange *e)
{
  struct placement_stream stream;
  bool has_stream = exchange_expect_stream (e, clock_ms (), &stream);
  struct placement_request request
      = { .service = e->service,
          .prompt = e->facts.has_prompt ? &e->facts.prompt : NULL,
          .stream = has_stream ? &stream : NULL,
          .tried = e->tried,
          .repeatable = e->attempts.repeatable };
  exchange_drop_token (e, &e->token);
  if (!attempts_may_begin (&e->attempts))
    {
      if (!exchange_wait_for_silent (e))
        exchange_give_up (e, ATTEMPT_NO_VALID_RESPONSE);
      return;
    }
  if (exchange_is_quarantined (e))
    {
      stop_attempts (e, "quarantined");
      return;
    }
  if (!exchange_pay (e, CALL_RUN))
    {
      stop_attempts (e, "budget");
      return;
    }
  if (e->prefill_handle && send_to_reserved (e))
    return;
  do
    {
      request.n_tried = e->n_tried;
      request.exclude_prefill_engines = e->no_remote_prefill || e->is_canary;
      request.prefill_engine = e->prefill_handle ? e->prefill_engine : 0;
    }
  while (!try_best_upstream (e, &request));
}
