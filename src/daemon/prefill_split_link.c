#include "daemon/prefill_split_link.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "daemon/lease_link.h"
#include "decide/order_lease.h"

#include <string.h>

/* Key of the record that names the order holder.  */
#define ORDERS_KEY "buckthornstand/orders"
#define TICK_MS 250
/* A VM must rank first for this long before it tries to become the order
   holder, so that the VMs' views of the membership agree by then.  */
#define HOLDER_SETTLE_MS 3000
/* Time for which an engine that changes its role accepts no requests, if the
   configuration does not state it, and the time that its running requests may
   take before.  */
#define DEFAULT_ROLE_CHANGE_MS 3000
#define RUNNING_REQUESTS_MS 1000
/* An order without a response after this time is cancelled.  */
#define ORDER_TIMEOUT_MS 1000

struct prefill_split_link
{
  struct prefill_split_link_parts parts;
  struct lease_link *lease;
  GArray *changes; /* struct prefill_split_change; decided, not sent */
  struct prefill_split_inputs inputs; /* basis of the changes, for the log */
  GHashTable *orders;                 /* set of struct order in progress */
};

/* An order in progress: an HTTP request to an engine to change its role.  */
struct order
{
  struct prefill_split_link *link;
  char *engine;
  enum upstream_role to;
  struct pool_call *call;
  struct event *timer;
  unsigned status;
};

static const char *
role_name (enum upstream_role role)
{
  return role == UPSTREAM_PREFILL ? "prefill" : "decode";
}

/* Sending of orders to engines.  */

static void
order_free (void *value)
{
  struct order *o = value;
  if (o->call)
    pool_cancel (o->call);
  event_free (o->timer);
  g_free (o->engine);
  g_free (o);
}

static void
order_end (struct order *o, const char *outcome)
{
  log_event (LOG_INFO, "order_end", "engine", o->engine, "outcome", outcome,
             "status", log_num (o->status), NULL);
  g_hash_table_remove (o->link->orders, o);
}

static void
on_order_head (void *arg, struct http_head *head, enum http_framing framing,
               uint64_t length)
{
  struct order *o = arg;
  (void)framing;
  (void)length;
  struct upstreams *u = o->link->parts.upstreams;
  struct response_info info = { 0 };
  o->status = head->status;
  o->link->parts.platform->requests->read_response (head, &info);
  upstream_statements_record (o->link->parts.statements,
                              upstreams_find (u, o->engine), &info, "");
}

static void
on_order_data (void *arg, struct evbuffer *data)
{
  (void)arg;
  evbuffer_drain (data, evbuffer_get_length (data));
}

/* Returns the time for which ENGINE accepts no requests when it changes its
   role.  */
static unsigned
role_change_ms (const struct upstreams *u, const char *engine)
{
  const struct upstream_info *info
      = upstreams_info (u, upstreams_find (u, engine));
  struct engine_limits limits = { 0 };
  if (info)
    limits = upstreams_engine_limits (u, info->service);
  return RUNNING_REQUESTS_MS
         + (limits.role_change_ms > 0 ? limits.role_change_ms
                                      : DEFAULT_ROLE_CHANGE_MS);
}

static void
on_order_end (void *arg, enum pool_outcome end)
{
  struct order *o = arg;
  bool accepted = end == POOL_COMPLETE && o->status / 100 == 2;
  o->call = NULL;
  if (accepted)
    permit_link_announce_role (
        o->link->parts.permits, o->engine, o->to,
        role_change_ms (o->link->parts.upstreams, o->engine));
  order_end (o, accepted               ? "accepted"
                : end == POOL_COMPLETE ? "refused"
                : end == POOL_NOT_SENT ? "not_sent"
                                       : "unknown");
}

static void
on_order_timeout (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  order_end (arg, "no_answer");
}

static const struct pool_callbacks order_callbacks
    = { on_order_head, on_order_data, on_order_end };

static struct order *
order_create (struct prefill_split_link *l, const char *engine,
              enum upstream_role to)
{
  static const struct timeval timeout = { ORDER_TIMEOUT_MS / 1000, 0 };
  struct order *o = g_new0 (struct order, 1);
  o->link = l;
  o->engine = g_strdup (engine);
  o->to = to;
  o->timer = evtimer_new (l->parts.base, on_order_timeout, o);
  evtimer_add (o->timer, &timeout);
  g_hash_table_add (l->orders, o);
  return o;
}

/* Logs the order O and what it was decided from; a demand of 100 % keeps one
   engine busy.  */
static void
log_order (const struct prefill_split_link *l, const struct order *o)
{
  const struct prefill_split_inputs *in = &l->inputs;
  log_event (LOG_INFO, "order", "engine", o->engine, "role", role_name (o->to),
             "fencing", log_num ((long long)lease_link_fence (l->lease)),
             "engines", log_num (in->engines), "readers",
             log_num (in->prefill_engines), "wanted",
             log_num (in->wanted_prefill_engines), "reading_pct",
             log_num ((long long)(in->prefill_demand * 100)), "generating_pct",
             log_num ((long long)(in->decode_demand * 100)), NULL);
}

/* Sends the order O to the engine INFO on a new connection.  Returns NULL if
   no connection may be opened.  */
static struct pool_call *
write_role_order (struct prefill_split_link *l, struct order *o,
                  const struct upstream_info *info)
{
  g_autofree char *text = NULL;
  struct http_head *head = l->parts.platform->write_role_order (
      info, o->to, l->parts.vm, lease_link_fence (l->lease), &text);
  g_autofree char *length = g_strdup_printf ("%zu", strlen (text));
  http_head_add (head, "Content-Length", length);
  struct evbuffer *body = evbuffer_new ();
  evbuffer_add (body, text, strlen (text));
  struct pool_request r = { .upstream = info->id,
                            .address = info->address,
                            .connections = G_MAXUINT16,
                            .head = head,
                            .body = body,
                            .new_connection = true };
  struct pool_call *call = pool_send (l->parts.pool, &r, &order_callbacks, o);
  evbuffer_free (body);
  http_head_destroy (head);
  return call;
}

static void
send_order (struct prefill_split_link *l, const struct prefill_split_change *c)
{
  const struct upstream_info *info
      = upstreams_info (l->parts.upstreams, c->upstream);
  if (info == NULL
      || !upstreams_accepts (l->parts.upstreams, c->upstream, clock_ms ()))
    return;
  struct order *o = order_create (l, info->id, c->to);
  log_order (l, o);
  metrics_add (METRIC_role_changes_total, 1);
  metrics_add (METRIC_orders_sent_total, 1);
  prefill_split_record_order (l->parts.prefill_split, info->id, clock_ms ());
  o->call = write_role_order (l, o, info);
  if (o->call == NULL)
    order_end (o, "not_sent");
}

/* The lease, and decisions.  */

static bool
has_orders (void *arg)
{
  struct prefill_split_link *l = arg;
  if (l->changes->len == 0)
    prefill_split_decide (l->parts.prefill_split, l->parts.upstreams,
                          members_count_live (l->parts.members), clock_ms (),
                          l->changes, &l->inputs);
  return l->changes->len > 0;
}

static void
send_orders (void *arg, uint64_t fence, int64_t now_ms)
{
  struct prefill_split_link *l = arg;
  (void)fence;
  (void)now_ms;
  for (guint i = 0; i < l->changes->len; i++)
    send_order (l,
                &g_array_index (l->changes, struct prefill_split_change, i));
  g_array_set_size (l->changes, 0);
}

static void
on_lease_changed (void *arg, bool held, int64_t revision,
                  enum kv_status status)
{
  const struct prefill_split_link *l = arg;
  log_event (LOG_INFO, held ? "authority_taken" : "authority_lost", "fencing",
             log_num ((long long)lease_link_fence (l->lease)), "revision",
             log_num (revision), "status", log_num (status), NULL);
  metrics_set (METRIC_order_holder, held);
}

static const struct lease_link_ops lease_ops
    = { has_orders, NULL, send_orders, on_lease_changed };

/* Creation and destruction.  */

struct prefill_split_link *
prefill_split_link_create (const struct prefill_split_link_parts *parts)
{
  struct prefill_split_link *l = g_new0 (struct prefill_split_link, 1);
  struct lease_link_parts lease = { .base = parts->base,
                                    .kv = parts->kv,
                                    .members = parts->members,
                                    .vm = parts->vm,
                                    .key = ORDERS_KEY,
                                    .ops = &lease_ops,
                                    .arg = l,
                                    .lease_ms = parts->lease_ms,
                                    .takeover_ms = ORDER_LEASE_TAKEOVER_MS,
                                    .settle_ms = HOLDER_SETTLE_MS,
                                    .tick_ms = TICK_MS };
  l->parts = *parts;
  l->changes
      = g_array_new (FALSE, FALSE, sizeof (struct prefill_split_change));
  l->orders = g_hash_table_new_full (NULL, NULL, order_free, NULL);
  l->lease = lease_link_create (&lease);
  return l;
}

void
prefill_split_link_set_lease (struct prefill_split_link *l, int64_t lease_ms)
{
  lease_link_set_lease (l->lease, lease_ms);
}

void
prefill_split_link_destroy (struct prefill_split_link *l)
{
  if (l == NULL)
    return;
  lease_link_destroy (l->lease);
  g_hash_table_destroy (l->orders);
  g_array_unref (l->changes);
  g_free (l);
}

void
prefill_split_link_leave (struct prefill_split_link *l)
{
  lease_link_leave (l->lease, false);
}
