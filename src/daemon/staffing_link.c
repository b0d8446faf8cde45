#include "daemon/staffing_link.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "decide/staffing.h"

#include <string.h>

/* Key of the record of the orders.  */
#define RECORD_KEY "buckthornstand/staffing"
/* Pause between two decisions.  */
#define DECIDE_MS 500

struct staffing_link
{
  struct staffing_link_parts parts;
  struct staffing *staffing;
  GHashTable *calls;    /* set of struct scale_call in progress */
  int64_t decide_at_ms; /* no decision before this time */
};

/* An order in progress.  */
struct scale_call
{
  struct staffing_link *link;
  struct staffing_order order; /* owns its strings */
};

/* Orders.  */

static void
call_free (void *value)
{
  struct scale_call *c = value;
  g_free ((char *)c->order.service);
  g_free ((char *)c->order.failure_domain);
  g_free (c);
}

static const char *
kind_name (bool spot)
{
  return spot ? "spot" : "regular";
}

static enum staffing_outcome
outcome_of (unsigned status)
{
  if (status / 100 == 2)
    return STAFFING_ACCEPTED;
  if (status == 409)
    return STAFFING_UNAVAILABLE;
  if (status / 100 == 4 && status != 408 && status != 429)
    return STAFFING_REFUSED;
  return STAFFING_UNKNOWN;
}

static void
on_order_end (void *arg, unsigned status)
{
  static const char *const names[] = { [STAFFING_ACCEPTED] = "accepted",
                                       [STAFFING_UNAVAILABLE] = "unavailable",
                                       [STAFFING_REFUSED] = "refused",
                                       [STAFFING_UNKNOWN] = "retried" };
  struct scale_call *c = arg;
  struct staffing_link *l = c->link;
  enum staffing_outcome outcome = outcome_of (status);
  log_event (LOG_INFO, "scale_order", "service", c->order.service,
             "failure_domain", c->order.failure_domain, "kind",
             kind_name (c->order.spot), "desired", log_num (c->order.desired),
             "outcome", names[outcome], "status", log_num (status), NULL);
  if (outcome == STAFFING_UNAVAILABLE)
    metrics_add (METRIC_scale_orders_unavailable_total, 1);
  staffing_record_outcome (l->staffing, &c->order, outcome, clock_boot_ms ());
  g_hash_table_remove (l->calls, c);
}

static void
send_order (struct staffing_link *l, const struct staffing_order *order,
            uint64_t fence)
{
  struct scale_order wire = { .service = order->service,
                              .failure_domain = order->failure_domain,
                              .spot = order->spot,
                              .desired = order->desired };
  struct scale_call *c = g_new0 (struct scale_call, 1);
  g_autofree char *body = NULL;
  struct http_head *head = l->parts.platform->write_scale_order (&wire, &body);
  c->link = l;
  c->order = *order;
  c->order.service = g_strdup (order->service);
  c->order.failure_domain = g_strdup (order->failure_domain);
  g_hash_table_add (l->calls, c);
  metrics_add (METRIC_scale_orders_total, 1);
  duty_link_post (l->parts.duties, head, body, fence, on_order_end, c);
}

/* Decisions.  */

/* Appends the instances of SERVICE to OUT, a GArray of struct
   staffing_instance.  */
static void
list_instances (const struct staffing_link *l, const char *service,
                const GPtrArray *ids, GArray *out)
{
  const struct upstreams *u = l->parts.upstreams;
  int64_t now = clock_ms ();
  for (guint i = 0; i < ids->len; i++)
    {
      upstream_handle h = upstreams_find (u, g_ptr_array_index (ids, i));
      const struct upstream_info *info = upstreams_info (u, h);
      if (info == NULL || strcmp (info->service, service) != 0)
        continue;
      struct upstream_load load = upstreams_all_load (u, h, now);
      struct staffing_instance x = { .failure_domain = info->failure_domain,
                                     .spot = info->spot,
                                     .leaving = info->leaving,
                                     .reclaimed = info->leave_ms > 0,
                                     .slots = info->slots,
                                     .running = load.running,
                                     .generating = load.generating,
                                     .tokens = load.tokens };
      g_array_append_val (out, x);
    }
}

static void
log_decision (const char *service, const struct staffing_decision *d)
{
  log_event (LOG_INFO, "sizing", "service", service, "why",
             staffing_reason_name (d->reason), "traffic",
             d->has_traffic ? "true" : "false", "busy_pct",
             log_num ((long long)(d->busy * 100)), "needed",
             log_num (d->needed), "regular_ready", log_num (d->ready.regular),
             "spot_ready", log_num (d->ready.spot), "regular_wanted",
             log_num (d->wanted.regular), "spot_wanted",
             log_num (d->wanted.spot), "spot_domains",
             log_num (d->failure_domains), NULL);
}

static void
add_decision (struct staffing_decision *sum, const struct staffing_decision *d)
{
  sum->busy += d->busy;
  sum->needed += d->needed;
  sum->ready.regular += d->ready.regular;
  sum->ready.spot += d->ready.spot;
  sum->wanted.regular += d->wanted.regular;
  sum->wanted.spot += d->wanted.spot;
}

static void
set_metrics (const struct staffing_decision *sum)
{
  metrics_set (METRIC_instances_needed, sum->needed);
  metrics_set (METRIC_instances_busy_pct, (int64_t)(sum->busy * 100));
  metrics_set (METRIC_regular_ready, sum->ready.regular);
  metrics_set (METRIC_spot_ready, sum->ready.spot);
  metrics_set (METRIC_regular_wanted, sum->wanted.regular);
  metrics_set (METRIC_spot_wanted, sum->wanted.spot);
}

static void
decide_all (struct staffing_link *l, int64_t now_ms)
{
  struct staffing_decision sum = { 0 };
  g_autoptr (GPtrArray) ids = upstreams_ids (l->parts.upstreams);
  g_autoptr (GArray) instances
      = g_array_new (FALSE, FALSE, sizeof (struct staffing_instance));
  for (unsigned i = 0; i < staffing_count_services (l->staffing); i++)
    {
      const char *service = staffing_service (l->staffing, i);
      struct staffing_decision d;
      g_array_set_size (instances, 0);
      list_instances (l, service, ids, instances);
      staffing_decide (l->staffing, service,
                       (const struct staffing_instance *)instances->data,
                       instances->len, now_ms, &d);
      if (d.reason != STAFFING_NO_CHANGE)
        log_decision (service, &d);
      add_decision (&sum, &d);
    }
  set_metrics (&sum);
}

/* The duty.  */

static void
duty_begin (void *arg, GBytes *record, int64_t now_ms)
{
  struct staffing_link *l = arg;
  bool ok = staffing_restore (l->staffing, record, now_ms);
  log_event (ok ? LOG_INFO : LOG_ERROR, "sizing_begins", "record",
             record == NULL ? "none"
             : ok           ? "read"
                            : "malformed",
             NULL);
}

/* Also makes the decisions: the duties are asked several times a second, and
   only at the VM that holds the lease and still ranks first.  */
static bool
duty_is_due (void *arg, int64_t now_ms)
{
  struct staffing_link *l = arg;
  if (now_ms >= l->decide_at_ms)
    {
      l->decide_at_ms = now_ms + DECIDE_MS;
      decide_all (l, now_ms);
    }
  return staffing_is_due (l->staffing, now_ms);
}

static GBytes *
duty_prepare (void *arg, int64_t now_ms)
{
  const struct staffing_link *l = arg;
  (void)now_ms;
  return staffing_record (l->staffing);
}

static void
duty_send (void *arg, uint64_t fence, int64_t now_ms)
{
  struct staffing_link *l = arg;
  g_autoptr (GArray) orders
      = g_array_new (FALSE, FALSE, sizeof (struct staffing_order));
  staffing_take_orders (l->staffing, now_ms, orders);
  for (guint i = 0; i < orders->len; i++)
    send_order (l, &g_array_index (orders, struct staffing_order, i), fence);
}

static void
duty_end (void *arg)
{
  struct staffing_link *l = arg;
  const struct staffing_decision none = { 0 };
  staffing_forget (l->staffing);
  set_metrics (&none);
}

static const struct duty_ops duty_ops = { RECORD_KEY,  duty_begin,
                                          duty_is_due, duty_prepare,
                                          duty_send,   duty_end };

/* Creation and destruction.  */

struct staffing_link *
staffing_link_create (const struct staffing_link_parts *parts)
{
  struct staffing_link *l = g_new0 (struct staffing_link, 1);
  l->parts = *parts;
  l->staffing = staffing_create ();
  l->calls = g_hash_table_new_full (NULL, NULL, call_free, NULL);
  duty_link_add (parts->duties, &duty_ops, l);
  return l;
}

void
staffing_link_destroy (struct staffing_link *l)
{
  if (l == NULL)
    return;
  g_hash_table_destroy (l->calls);
  staffing_destroy (l->staffing);
  g_free (l);
}

void
staffing_link_set_routes (struct staffing_link *l,
                          const struct route_table *routes)
{
  staffing_set_services (l->staffing, routes);
}
