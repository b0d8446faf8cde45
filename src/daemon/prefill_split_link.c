#include "daemon/prefill_split_link.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "decide/order_lease.h"
#include "decide/rank.h"

#include <string.h>

/* Key of the record that names the order holder.  */
#define ORDERS_KEY "buckthornstand/orders"
#define TICK_MS 250
/* A VM must rank first for this long before it tries to become the order
   holder, so that the VMs' views of the membership agree by then.  */
#define HOLDER_SETTLE_MS 3000
/* An order without a response after this time is cancelled.  */
#define ORDER_TIMEOUT_MS 1000

struct prefill_split_link
{
  struct prefill_split_link_parts parts;
  struct order_lease *order_lease;
  struct event *timer;
  int64_t ranked_first_since_ms; /* since when this VM ranks first, or 0 */
  GArray *changes; /* struct prefill_split_change; decided, not sent */
  struct prefill_split_inputs inputs; /* basis of the changes, for the log */
  GHashTable *orders;                 /* set of struct order in progress */
  bool leaving;
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

static void lease_step (struct prefill_split_link *l);

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
  return prefill_split_change_ms (u, info ? info->service : NULL);
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
             "fencing",
             log_num ((long long)order_lease_fencing_token (l->order_lease)),
             "engines", log_num (in->engines), "readers",
             log_num (in->prefill_engines), "wanted",
             log_num (in->wanted_prefill_engines), "reading_pct",
             log_num ((long long)(in->prefill_demand * 100)), "uncached_pct",
             log_num ((long long)(in->uncached_demand * 100)),
             "generating_pct", log_num ((long long)(in->decode_demand * 100)),
             NULL);
}

/* Sends the order O to the engine INFO on a new connection.  Returns NULL if
   no connection may be opened.  */
static struct pool_call *
write_role_order (struct prefill_split_link *l, struct order *o,
                  const struct upstream_info *info)
{
  g_autofree char *text = NULL;
  struct http_head *head = l->parts.platform->write_role_order (
      info, o->to, l->parts.vm, order_lease_fencing_token (l->order_lease),
      &text);
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
  prefill_split_record_order (l->parts.prefill_split, info->id, c->to,
                              clock_ms ());
  o->call = write_role_order (l, o, info);
  if (o->call == NULL)
    order_end (o, "not_sent");
}

static void
send_orders (struct prefill_split_link *l)
{
  for (guint i = 0; i < l->changes->len; i++)
    send_order (l,
                &g_array_index (l->changes, struct prefill_split_change, i));
  g_array_set_size (l->changes, 0);
}

/* Election of the order holder, and decisions.  */

static void
on_read (void *arg, enum kv_status status, const struct kv_value *values,
         size_t n)
{
  struct prefill_split_link *l = arg;
  order_lease_read_done (l->order_lease, status == KV_OK,
                         n > 0 ? values[0].revision : 0,
                         n > 0 ? values[0].value : NULL, clock_boot_ms ());
  lease_step (l);
}

static void
on_written (void *arg, enum kv_status status, int64_t revision)
{
  static const enum order_lease_write_outcome outcomes[]
      = { [KV_OK] = ORDER_LEASE_WRITE_OK,
          [KV_CONFLICT] = ORDER_LEASE_WRITE_CONFLICT,
          [KV_NOT_DONE] = ORDER_LEASE_WRITE_NOT_DONE,
          [KV_UNKNOWN] = ORDER_LEASE_WRITE_UNKNOWN };
  struct prefill_split_link *l = arg;
  bool held_before = order_lease_is_held (l->order_lease);
  order_lease_write_done (l->order_lease, outcomes[status], revision,
                          clock_boot_ms ());
  bool holds_now = order_lease_is_held (l->order_lease);
  if (!held_before || !holds_now)
    log_event (
        LOG_INFO, holds_now ? "authority_taken" : "authority_lost", "fencing",
        log_num ((long long)order_lease_fencing_token (l->order_lease)),
        "revision", log_num (revision), "status", log_num (status), NULL);
  metrics_set (METRIC_order_holder, holds_now);
  lease_step (l);
}

static void
write_page (struct prefill_split_link *l)
{
  g_autoptr (GBytes) page = order_lease_value (l->order_lease);
  struct kv_put put = { ORDERS_KEY, page };
  kv_txn (l->parts.kv, ORDERS_KEY, order_lease_revision (l->order_lease), &put,
          1, on_written, l);
}

/* Whether this VM is to be the order holder: it has ranked first among the
   usable members of its region for HOLDER_SETTLE_MS and is not leaving.  */
static bool
should_be_holder (struct prefill_split_link *l, int64_t now)
{
  const struct member *self
      = g_ptr_array_index (members_all (l->parts.members), 0);
  if (l->leaving
      || rank_order_holder (l->parts.members, self->info.region) != self)
    l->ranked_first_since_ms = 0;
  else if (l->ranked_first_since_ms == 0)
    l->ranked_first_since_ms = now;
  return l->ranked_first_since_ms != 0
         && now - l->ranked_first_since_ms >= HOLDER_SETTLE_MS;
}

static void
lease_step (struct prefill_split_link *l)
{
  int64_t now = clock_ms ();
  bool candidate = should_be_holder (l, now);
  if (candidate && order_lease_is_held (l->order_lease)
      && l->changes->len == 0)
    prefill_split_decide (l->parts.prefill_split, l->parts.upstreams,
                          members_count_live (l->parts.members), now,
                          l->changes, &l->inputs);
  switch (order_lease_next (l->order_lease, candidate, l->changes->len > 0,
                            clock_boot_ms ()))
    {
    case ORDER_LEASE_READ:
      kv_get (l->parts.kv, ORDERS_KEY, false, on_read, l);
      break;
    case ORDER_LEASE_WRITE:
      write_page (l);
      break;
    case ORDER_LEASE_SEND:
      send_orders (l);
      break;
    default:
      break;
    }
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  lease_step (arg);
}

/* Creation and destruction.  */

struct prefill_split_link *
prefill_split_link_create (const struct prefill_split_link_parts *parts)
{
  static const struct timeval tick = { 0, TICK_MS * 1000 };
  struct prefill_split_link *l = g_new0 (struct prefill_split_link, 1);
  l->parts = *parts;
  l->order_lease = order_lease_create (parts->vm, parts->lease_ms);
  l->changes
      = g_array_new (FALSE, FALSE, sizeof (struct prefill_split_change));
  l->orders = g_hash_table_new_full (NULL, NULL, order_free, NULL);
  l->timer = event_new (parts->base, -1, EV_PERSIST, on_tick, l);
  event_add (l->timer, &tick);
  return l;
}

void
prefill_split_link_set_lease (struct prefill_split_link *l, int64_t lease_ms)
{
  order_lease_set_duration (l->order_lease, lease_ms);
}

void
prefill_split_link_destroy (struct prefill_split_link *l)
{
  if (l == NULL)
    return;
  event_free (l->timer);
  g_hash_table_destroy (l->orders);
  g_array_unref (l->changes);
  order_lease_destroy (l->order_lease);
  g_free (l);
}

void
prefill_split_link_leave (struct prefill_split_link *l)
{
  l->leaving = true;
}
