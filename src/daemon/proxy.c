#include "daemon/proxy.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "daemon/exchange.h"
#include "decide/load_shed.h"

#include <malloc.h>

#define DEFAULT_TIMEOUT_MS 30000
/* Retry-After sent to callers while no route table is loaded.  */
#define NO_ROUTES_RETRY_MS 500
/* How often requests in progress are checked for an unresponsive upstream.  */
#define UNRESPONSIVE_CHECK_MS 100
#define USAGE_LOG_INTERVAL_MS 1000
/* How often unused memory may be returned to the system, and least memory for
   which it is.  */
#define TRIM_INTERVAL_MS 1000
#define TRIM_MIN_BYTES ((size_t)4 * 1024 * 1024)
/* During a stop, a response may take longer than the longest recent one by
   that time divided by this.  */
#define LONGER_RESPONSE_PART 10
#define US_PER_MS 1000
/* Retry-After sent while this VM stops: another VM may take the request at
   once.  */
#define STOPPING_RETRY_MS 1

static void
on_caller_gone (void *arg)
{
  struct exchange *e = arg;
  metrics_add (METRIC_caller_gone_total, 1);
  exchange_log_end (e, "caller_gone", 0);
  exchange_free (e);
}

/* Whether the upstream of A, which may be NULL, may run the request.  */
static bool
was_sent (const struct attempt *a)
{
  return a && a->call && !a->prefilling && pool_call_bytes_sent (a->call);
}

/* Refuses E, which has not run and will not.  */
static void
refuse (struct exchange *e, const char *why, unsigned retry_after_ms)
{
  metrics_add (METRIC_not_run_total, 1);
  exchange_reply (e, 503, why, retry_after_ms);
}

/* Why a request ends before its response, for logs: within the response, after
   it may have run, and before that.  */
struct early_end
{
  const char *in_response;
  const char *unknown;
  const char *not_run;
  unsigned retry_after_ms; /* if it has not run */
};

/* Ends E now, with what is known of it.  */
static void
end_early (struct exchange *e, const struct early_end *why)
{
  bool sent = was_sent (e->current) || was_sent (e->silent);
  exchange_silence_ended (e->current, SILENCE_TIMEOUT);
  exchange_silence_ended (e->silent, SILENCE_TIMEOUT);
  if (e->started)
    exchange_abort (e, why->in_response);
  else if (e->failed)
    exchange_finish_response (e->failed);
  else if (sent || e->attempts.may_have_run)
    exchange_reply_unknown (e, why->unknown, 504);
  else
    refuse (e, why->not_run, why->retry_after_ms);
}

static const struct early_end timed_out
    = { "timeout_in_answer", "timeout", "timeout_before_sending",
        LOAD_SHED_RETRY_AFTER_MIN_MS };

static void
on_timeout (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  exchange_record_work (arg, false);
  end_early (arg, &timed_out);
}

/* Routing of new requests.  */

/* Sets the deadline of E.  Returns false if it is over.  */
static bool
set_deadline (struct exchange *e)
{
  int64_t ms
      = e->route->timeout_ms ? e->route->timeout_ms : DEFAULT_TIMEOUT_MS;
  if (e->facts.caller_timeout_ms >= 0)
    ms = MIN (ms, e->facts.caller_timeout_ms);
  e->until_ms = e->since_ms + ms;
  int64_t left = e->until_ms - clock_ms ();
  if (left <= 0)
    return false;
  struct timeval tv = { left / 1000, (left % 1000) * 1000 };
  e->timer = evtimer_new (e->proxy->parts.base, on_timeout, e);
  evtimer_add (e->timer, &tv);
  return true;
}

static bool
find_route (struct exchange *e, const struct http_head *head)
{
  const char *host = http_head_get (head, "Host");
  e->route = route_table_find (e->table, host, head->target);
  if (e->route)
    e->service = route_pick_service (e->route, e->facts.id);
  return e->service != NULL;
}

/* Whether the VM stops before E can be expected to end: by its route's longest
   responses or, later in the stop, by its deadline.  */
static bool
outlasts_shutdown (const struct exchange *e)
{
  const struct proxy *p = e->proxy;
  int64_t now = clock_ms ();
  if (p->end_ms == 0 || e->until_ms <= p->end_ms)
    return false;
  int64_t longest_ms = response_times_longest (p->times, e->route->name, now);
  return now >= p->shutdown_from_ms
         || now + longest_ms + longest_ms / LONGER_RESPONSE_PART > p->end_ms;
}

/* Refuses E if a part of its prompt is in quarantine.  Returns whether it
   was.  */
static bool
refuse_quarantined (struct exchange *e)
{
  unsigned wait_ms = 0;
  enum quarantine_verdict v
      = quarantine_link_check (e->proxy->parts.quarantine, e->service,
                               e->facts.id, &e->facts.prompt, &wait_ms);
  e->is_canary = v == QUARANTINE_CANARY;
  if (v != QUARANTINE_REFUSE)
    return false;
  exchange_refuse (e, "quarantined", wait_ms);
  return true;
}

/* Finds the account of E's caller and forgets its key.  Returns whether the
   caller may use the route.  */
static bool
identify_caller (struct exchange *e)
{
  e->account = route_table_account (e->table, e->facts.key);
  g_clear_pointer (&e->facts.key, g_free);
  return e->account || e->route->is_public
         || !route_table_requires_keys (e->table);
}

static void
route_exchange (struct exchange *e, const struct http_head *head)
{
  if (e->table == NULL)
    exchange_refuse (e, "no_routes_known", NO_ROUTES_RETRY_MS);
  else if (e->facts.id == NULL)
    exchange_reply (e, 400, "no_request_id", 0);
  else if (!find_route (e, head))
    exchange_reply (e, 404, "no_route", 0);
  else if (!identify_caller (e))
    exchange_reply (e, 401, "unknown_key", 0);
  else if (!set_deadline (e))
    end_early (e, &timed_out);
  else
    {
      if (outlasts_shutdown (e))
        {
          refuse (e, "stopping", STOPPING_RETRY_MS);
          return;
        }
      if (refuse_quarantined (e))
        return;
      e->attempts
          = attempts_init (route_repeatable (e->route), e->route->attempts);
      exchange_record_request (e);
      if (e->facts.has_prompt)
        prefill_split_record_request (e->proxy->parts.prefill_split,
                                      e->service, &e->facts.prompt,
                                      e->since_ms);
      exchange_start_attempt (e);
    }
}

static void
start_exchange (void *arg, struct inbound_request *r)
{
  struct proxy *p = arg;
  struct exchange *e = g_new0 (struct exchange, 1);
  struct http_head *head = inbound_request_head (r);
  e->proxy = p;
  e->caller = r;
  e->no_retry = "";
  e->since_ms = inbound_request_since_ms (r);
  e->unread_ms = inbound_request_start_ms (r) - e->since_ms;
  metrics_observe (METRIC_unread_seconds, e->unread_ms * US_PER_MS);
  e->current = attempt_create (e);
  e->table = p->table ? route_table_ref (p->table) : NULL;
  p->parts.requests->read_request (head, &e->facts);
  g_hash_table_add (p->open, e);
  metrics_add (METRIC_requests_total, 1);
  metrics_set (METRIC_routed_open, g_hash_table_size (p->open));
  inbound_request_on_close (r, on_caller_gone, e);
  route_exchange (e, head);
}

/* The listener refused a request that is malformed or that exceeds the limits
   on callers' requests.  Returns NULL: the refusal has no body.  */
static char *
on_bad_request (void *arg, unsigned status, const char *reason)
{
  (void)arg;
  metrics_add (
      status == 503 ? METRIC_not_run_total : METRIC_bad_requests_total, 1);
  log_event (LOG_WARN, "request_refused", "status", log_num (status), "reason",
             reason, NULL);
  return NULL;
}

const struct http_listener_callbacks proxy_listener_callbacks
    = { start_exchange, on_bad_request };

/* Usage of the retry budgets.  */

static void
log_usage (void *arg, const struct retry_usage *u)
{
  (void)arg;
  log_event (LOG_INFO, "retry_budget", "service", u->service, "taken",
             log_num (u->taken), "refused", log_num (u->refused), "allowed",
             log_num ((long long)u->allowed), "left",
             log_num ((long long)u->left), "requests", log_num (u->requests),
             "vms", log_num (u->vms), NULL);
}

/* Logs the usage once a second, for the services that had retries in the
   window.  */
static void
log_usage_each_second (struct proxy *p, int64_t now)
{
  if (now - p->usage_logged_ms < USAGE_LOG_INTERVAL_MS)
    return;
  p->usage_logged_ms = now;
  retry_buckets_foreach (p->parts.retries, now, log_usage, NULL);
}

/* Calls VISIT with each request in progress.  The end of one may end others,
   which are left out then.  */
static void
for_each_open (struct proxy *p, void (*visit) (struct exchange *e, void *arg),
               void *arg)
{
  g_autoptr (GList) open = g_hash_table_get_keys (p->open);
  for (GList *l = open; l; l = l->next)
    if (g_hash_table_contains (p->open, l->data))
      visit (l->data, arg);
}

/* Detection of unresponsive upstreams.  */

static void
check_silence (struct exchange *e, void *now)
{
  exchange_check_silence (e, *(const int64_t *)now);
}

/* Returns memory to the system after bodies and responses have freed much of
   it: the allocator alone keeps most of it.  */
static void
return_memory (struct proxy *p, int64_t now)
{
  size_t used = memory_budget_bodies (p->parts.memory)
                + memory_budget_waiting (p->parts.memory);
  p->most_used = MAX (p->most_used, used);
  if (p->most_used - used < TRIM_MIN_BYTES
      || now - p->trimmed_ms < TRIM_INTERVAL_MS)
    return;
  p->trimmed_ms = now;
  p->most_used = used;
  malloc_trim (0);
}

static void
on_unresponsive_check (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct proxy *p = arg;
  int64_t now = clock_ms ();
  for_each_open (p, check_silence, &now);
  exchange_tokens_arrived (p);
  log_usage_each_second (p, now);
  return_memory (p, now);
}

/* Creation, shutdown and settings of a proxy.  */

struct proxy *
proxy_create (const struct proxy_parts *parts)
{
  struct proxy *p = g_new0 (struct proxy, 1);
  p->parts = *parts;
  static const struct timeval tick = { 0, UNRESPONSIVE_CHECK_MS * 1000 };
  p->open = g_hash_table_new (NULL, NULL);
  p->waiting = token_queue_create ();
  p->times = response_times_create ();
  p->work = work_estimates_create ();
  p->timer = event_new (parts->base, -1, EV_PERSIST, on_unresponsive_check, p);
  event_add (p->timer, &tick);
  return p;
}

static void
abort_stopped (struct exchange *e, void *arg)
{
  (void)arg;
  exchange_abort (e, "stopped");
}

void
proxy_destroy (struct proxy *p)
{
  if (p == NULL)
    return;
  for_each_open (p, abort_stopped, NULL);
  event_free (p->timer);
  g_hash_table_destroy (p->open);
  token_queue_destroy (p->waiting);
  response_times_destroy (p->times);
  work_estimates_destroy (p->work);
  route_table_unref (p->table);
  g_free (p);
}

void
proxy_set_routes (struct proxy *p, struct route_table *table)
{
  route_table_unref (p->table);
  p->table = table;
}

const struct route_table *
proxy_routes (const struct proxy *p)
{
  return p->table;
}

void
proxy_set_shutdown (struct proxy *p, int64_t from_ms, int64_t end_ms)
{
  p->shutdown_from_ms = from_ms;
  p->end_ms = end_ms;
}

static void
end_stopped (struct exchange *e, void *arg)
{
  static const struct early_end why
      = { "stopped_in_answer", "stopped", "stopped_before_sending",
          STOPPING_RETRY_MS };
  (void)arg;
  end_early (e, &why);
}

void
proxy_end_requests (struct proxy *p)
{
  for_each_open (p, end_stopped, NULL);
}

void
proxy_tokens_arrived (struct proxy *p)
{
  exchange_tokens_arrived (p);
}

unsigned
proxy_open_requests (const struct proxy *p)
{
  return g_hash_table_size (p->open);
}
