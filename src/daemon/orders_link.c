#include "daemon/orders_link.h"

#include "base/log.h"
#include "base/metrics.h"
#include "config.h"
#include "daemon/conf.h"
#include "daemon/drains.h"
#include "daemon/engines.h"
#include "daemon/role_link.h"
#include "daemon/vm_list.h"
#include "decide/orders.h"
#include "decide/rank.h"

#include <string.h>

#define TICK_MS 100
#define HTTP_PRECONDITION_FAILED 412
#define ROLE_DECISION_TICKS (1000 / TICK_MS)
#define ORDERS_KEY "/buckthorn/orders/"
#define VM_GONE_MS (VM_LIST_LAG_MS + ORDER_DELIVERY_MAX_MS)

/* Orders to the engines of one region.  */
struct region
{
  struct orders_link *link;
  char *name;
  struct orders *orders;
  bool in_file; /* the file in force has engines in this region */
};

/* An earlier sender of orders whose VM has restarted.  */
struct ended_sender
{
  int64_t since_ms; /* when this VM noticed the restart */
};

/* Orders of all regions, with what this VM needs to run their actions.  */
struct orders_link
{
  const struct context *ctx;
  struct conf *conf;
  struct engines *engines;
  const struct vm_list *vm_list;
  char *self;               /* this process, "VM:INCARNATION" */
  GHashTable *regions;      /* name -> struct region */
  GHashTable *target_roles; /* engine -> role + 1, overrides the file's */
  GHashTable *file_roles;   /* engine -> role + 1, in the last file seen */
  struct role_link *role_link;
  GHashTable *ended_senders; /* sender -> struct ended_sender */
  GHashTable *polling; /* set of engines with a report request in flight */
  struct drains *drains;
  struct event *timer;
  unsigned ticks;
};

static void
region_free (void *p)
{
  struct region *reg = p;
  orders_destroy (reg->orders);
  g_free (reg->name);
  g_free (reg);
}

static struct region *
region_get (struct orders_link *o, const char *name)
{
  struct region *reg = g_hash_table_lookup (o->regions, name);
  if (reg == NULL)
    {
      reg = g_new0 (struct region, 1);
      reg->link = o;
      reg->name = g_strdup (name);
      reg->orders = orders_create (o->self);
      g_hash_table_insert (o->regions, reg->name, reg);
    }
  return reg;
}

static const struct file_engine *
file_engine_of (const struct orders_link *o, const char *engine)
{
  const struct catalog *catalog = conf_catalog (o->conf);
  return catalog ? catalog_find_engine (catalog, engine) : NULL;
}

/* The orders page in the key-value service.  */

static char *
page_key (const struct region *reg)
{
  return g_strconcat (ORDERS_KEY, reg->name, NULL);
}

static void
on_read (void *arg, enum kv_status status, const struct kv_value *values,
         size_t n)
{
  struct region *reg = arg;
  bool ok = status == KV_OK;
  metrics_add (METRIC_kv_errors_total, !ok);
  orders_read_done (reg->orders, ok, ok && n ? values[0].revision : 0,
                    ok && n ? values[0].value : NULL);
}

static void
on_written (void *arg, enum kv_status status, int64_t revision)
{
  static const enum orders_write_outcome results[]
      = { [KV_OK] = ORDERS_WRITE_OK,
          [KV_CONFLICT] = ORDERS_WRITE_CONFLICT,
          [KV_NOT_DONE] = ORDERS_WRITE_NOT_DONE,
          [KV_UNKNOWN] = ORDERS_WRITE_UNKNOWN };
  struct region *reg = arg;
  orders_write_done (reg->orders, results[status], revision);
}

/* Sending orders to engines.  */

/* An order sent to an engine and not answered yet.  */
struct pending_send
{
  struct region *region;
  char *engine;
};

static void
pending_send_free (void *arg)
{
  struct pending_send *s = arg;
  g_free (s->engine);
  g_free (s);
}

static void
on_order_end (void *arg, const struct http_response *a)
{
  struct pending_send *s = arg;
  enum order_send_outcome outcome = ORDER_SEND_UNKNOWN;
  if (a->end == HTTP_OUTCOME_COMPLETE)
    outcome = a->status == HTTP_PRECONDITION_FAILED ? ORDER_SEND_REJECTED
                                                    : ORDER_SEND_ANSWERED;
  else if (a->end == HTTP_OUTCOME_NOT_SENT)
    outcome = ORDER_SEND_NOT_SENT;
  log_event (LOG_INFO, "order_send_ended", "engine", s->engine, "status",
             log_num (a->status), "lost",
             outcome == ORDER_SEND_UNKNOWN ? "true" : "false", NULL);
  orders_send_done (s->region->orders, s->engine, outcome, clock_ms ());
  pending_send_free (s);
}

static const struct http_client_callbacks order_callbacks
    = { NULL, on_order_end, pending_send_free };

static void
send_order (struct region *reg, const struct orders_action *a)
{
  const struct file_engine *f = file_engine_of (reg->link, a->engine);
  if (f == NULL)
    {
      orders_send_done (reg->orders, a->engine, ORDER_SEND_NOT_SENT,
                        clock_ms ());
      return;
    }
  json_t *body = json_pack ("{s:s,s:I,s:s,s:s}", "order_id", a->order_id,
                            "fencing", (json_int_t)a->fencing, "role",
                            role_name (a->role), "version", a->version);
  g_autofree char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  struct pending_send *s = g_new0 (struct pending_send, 1);
  s->region = reg;
  s->engine = g_strdup (a->engine);
  struct http_client_request request = { .address = f->address,
                                         .method = "POST",
                                         .path = "/v1/admin/order",
                                         .content_type = "application/json",
                                         .body = text,
                                         .body_size = strlen (text),
                                         .timeout_ms = ORDER_DELIVERY_MAX_MS,
                                         .new_connection = true };
  metrics_add (METRIC_orders_sent_total, 1);
  log_event (LOG_INFO, "order_sent", "engine", a->engine, "order", a->order_id,
             "fencing", log_num ((long long)a->fencing), "role",
             role_name (a->role), "version", a->version, NULL);
  http_client_call (reg->link->ctx->http, &request, &order_callbacks, s);
}

/* Queries to earlier senders of orders.  An engine that ignores fencing
   tokens gets a different order only once no copy of the earlier one can
   still arrive.  */

/* Whether the process SENDER, "VM:INCARNATION", ended so long ago that none of
   its sends can still arrive: this VM noticed more than ORDER_DELIVERY_MAX_MS
   ago that the sender's VM had restarted, or the VM list has not shown the
   sender's VM for VM_GONE_MS.  */
static bool
sender_is_gone (struct orders_link *o, const char *sender)
{
  g_autofree char *vm = NULL;
  uint64_t incarnation = 0;
  if (!member_process_split (sender, &vm, &incarnation))
    return false;
  const struct member *m = members_find (o->ctx->members, vm);
  bool restarted = m && !member_same_start (m->info.incarnation, incarnation);
  int64_t now = clock_ms ();
  struct ended_sender *g = g_hash_table_lookup (o->ended_senders, sender);
  if (restarted && g == NULL)
    {
      g = g_new0 (struct ended_sender, 1);
      g->since_ms = now;
      g_hash_table_insert (o->ended_senders, g_strdup (sender), g);
    }
  if (restarted)
    return now - g->since_ms > ORDER_DELIVERY_MAX_MS;
  return vm_list_missing_ms (o->vm_list, vm) > VM_GONE_MS;
}

static void
query_sender (struct region *reg, const struct orders_action *a)
{
  struct orders_link *o = reg->link;
  if (sender_is_gone (o, a->sender))
    {
      orders_sender_ended (reg->orders, a->sender);
      return;
    }
  g_autofree char *vm = NULL;
  uint64_t incarnation = 0;
  if (!member_process_split (a->sender, &vm, &incarnation))
    return;
  struct order_ask m = { .region = reg->name,
                         .engine = a->engine,
                         .sender = a->sender,
                         .fencing = a->fencing };
  context_send (o->ctx, vm, MESSAGE_ORDER_ASK, &m);
}

static void
handle_order_query (struct orders_link *o, peer_handle peer,
                    const struct order_ask *m)
{
  /* Only the process that sent the order can answer; after a restart, its VM
     has no record of the sends.  */
  if (strcmp (m->sender, o->self) != 0)
    return;
  struct region *reg = g_hash_table_lookup (o->regions, m->region);
  struct order_answer answer = { .region = m->region,
                                 .engine = m->engine,
                                 .sender = m->sender,
                                 .clean = true };
  if (reg)
    answer.clean
        = orders_handle_sender_query (reg->orders, m->engine, m->fencing);
  peers_send (o->ctx->peers, peer, MESSAGE_ORDER_ANSWER, &answer);
}

static void
handle_engine_drain (struct orders_link *o, peer_handle peer,
                     const struct engine_drain *m)
{
  struct engine_drained answer
      = { .engine = m->engine, .on = m->on, .fencing = m->fencing };
  engines_set_draining (o->engines, m->engine, m->on, m->fencing);
  peers_send (o->ctx->peers, peer, MESSAGE_ENGINE_DRAINED, &answer);
}

void
orders_link_handle_frame (struct orders_link *o, peer_handle peer,
                          const char *vm, const struct frame *f)
{
  if (f->type == MESSAGE_ENGINE_DRAIN)
    handle_engine_drain (o, peer, f->message);
  else if (f->type == MESSAGE_ENGINE_DRAINED)
    drains_handle_confirmation (o->drains, vm, f->message);
  else if (f->type == MESSAGE_ORDER_ASK)
    handle_order_query (o, peer, f->message);
  else if (f->type == MESSAGE_ORDER_ANSWER)
    {
      const struct order_answer *m = f->message;
      struct region *reg = g_hash_table_lookup (o->regions, m->region);
      if (reg)
        orders_sender_answered (reg->orders, m->engine, m->sender, m->clean,
                                clock_ms ());
    }
}

/* Actions returned by decide/orders.h.  */

static void
run_action (struct region *reg, const struct orders_action *a)
{
  struct orders_link *o = reg->link;
  g_autofree char *key = page_key (reg);
  struct kv_put put = { key, a->page };
  switch (a->kind)
    {
    case ORDERS_READ:
      kv_get (o->ctx->kv, key, false, on_read, reg);
      break;
    case ORDERS_WRITE:
      kv_txn (o->ctx->kv, key, a->revision, &put, 1, on_written, reg);
      break;
    case ORDERS_DRAIN:
      log_event (LOG_INFO, "drain_started", "engine", a->engine, NULL);
      drains_request (o->drains, a->engine, true, a->fencing);
      break;
    case ORDERS_UNDRAIN:
      /* The engine has reported the order for which it was drained.  */
      metrics_add (METRIC_orders_confirmed_total, 1);
      log_event (LOG_INFO, "drain_ended", "engine", a->engine, NULL);
      drains_request (o->drains, a->engine, false, a->fencing);
      break;
    case ORDERS_SEND:
      send_order (reg, a);
      break;
    case ORDERS_QUERY_SENDER:
      query_sender (reg, a);
      break;
    }
}

/* State reports of engines.  */

/* A request for an engine's state report.  */
struct report_request
{
  struct orders_link *link;
  char *region;
  char *engine;
  int64_t requested_ms; /* monotonic time of the request */
};

static const char *
json_text (const json_t *root, const char *key)
{
  const char *text = json_string_value (json_object_get (root, key));
  return text ? text : "";
}

static void adopt_role (struct orders_link *o, const char *engine,
                        const struct order_report *r);

static void
handle_report (struct report_request *p, const json_t *root)
{
  struct orders_link *o = p->link;
  struct region *reg = g_hash_table_lookup (o->regions, p->region);
  if (reg == NULL)
    return;
  int64_t uptime = json_integer_value (json_object_get (root, "uptime_ms"));
  struct order_report r
      = { .order_id = json_text (root, "order_id"),
          .role = role_from_name (json_text (root, "role"), ROLE_MIXED),
          .version = json_text (root, "version"),
          .changing = json_is_true (json_object_get (root, "changing")),
          .started_ms = p->requested_ms - uptime };
  adopt_role (o, p->engine, &r);
  orders_report (reg->orders, p->engine, &r);
  int64_t drained_ms = drains_confirmed_since_ms (o->drains, p->engine);
  bool idle = json_integer_value (json_object_get (root, "running")) == 0;
  if (idle && drained_ms >= 0 && p->requested_ms > drained_ms
      && engines_open_requests (o->engines, p->engine) == 0)
    orders_drained (reg->orders, p->engine);
}

static void
report_request_free (void *arg)
{
  struct report_request *p = arg;
  g_free (p->region);
  g_free (p->engine);
  g_free (p);
}

static void
on_report (void *arg, const struct http_response *a)
{
  struct report_request *p = arg;
  g_hash_table_remove (p->link->polling, p->engine);
  if (a->end == HTTP_OUTCOME_COMPLETE && a->status == 200 && a->body)
    {
      size_t n = evbuffer_get_length (a->body);
      json_t *root = json_loadb ((const char *)evbuffer_pullup (a->body, -1),
                                 n, 0, NULL);
      if (json_is_object (root))
        handle_report (p, root);
      json_decref (root);
    }
  report_request_free (p);
}

static const struct http_client_callbacks report_callbacks
    = { NULL, on_report, report_request_free };

static void
request_report (struct orders_link *o, const struct file_engine *f)
{
  if (!g_hash_table_add (o->polling, g_strdup (f->id)))
    return;
  struct report_request *p = g_new0 (struct report_request, 1);
  p->link = o;
  p->region = g_strdup (f->region);
  p->engine = g_strdup (f->id);
  p->requested_ms = clock_ms ();
  struct http_client_request request
      = { .address = f->address,
          .method = "GET",
          .path = "/v1/admin/state",
          .timeout_ms = ENGINE_POLL_INTERVAL_MS };
  http_client_call (o->ctx->http, &request, &report_callbacks, p);
}

/* Requests reports of the engines whose orders this VM holds: each
   ORDER_IDLE_POLL_MS, or at each tick while an order is unfinished or the
   engine has not reported yet.  */
static void
request_reports (struct orders_link *o)
{
  const struct file *file = conf_file (o->conf);
  for (guint i = 0; file && i < file->engines->len; i++)
    {
      const struct file_engine *f
          = &g_array_index (file->engines, struct file_engine, i);
      const struct region *reg = g_hash_table_lookup (o->regions, f->region);
      if (reg == NULL || !orders_is_holder (reg->orders))
        continue;
      const struct order_entry *entry = orders_entry (reg->orders, f->id);
      bool order_pending = entry && entry->state == ORDER_INTENDED;
      bool poll_due = (o->ticks + i) % (ORDER_IDLE_POLL_MS / TICK_MS) == 0;
      if (order_pending || poll_due || !orders_has_report (reg->orders, f->id))
        request_report (o, f);
    }
}

/* Target role and version of each engine.  */

static const char *
version_of (const struct file *file, const struct file_engine *f)
{
  if (f->version[0])
    return f->version;
  for (guint i = 0; i < file->models->len; i++)
    {
      const struct file_model *m
          = &g_array_index (file->models, struct file_model, i);
      if (strcmp (m->name, f->model) == 0)
        return g_ptr_array_index (m->versions, 0);
    }
  return "";
}

/* Target role of an engine: the one last set by role control or taken over
   from an earlier order, else the one in the file.  When the file's role
   differs from that in the previous file, the file's role replaces the one
   set before.  A pinned engine always gets the file's role.  */
static uint64_t
target_role (struct orders_link *o, const struct file_engine *f)
{
  guint previous
      = GPOINTER_TO_UINT (g_hash_table_lookup (o->file_roles, f->id));
  if (previous != f->role + 1)
    {
      g_hash_table_replace (o->file_roles, g_strdup (f->id),
                            GUINT_TO_POINTER ((guint)f->role + 1));
      if (previous != 0)
        g_hash_table_replace (o->target_roles, g_strdup (f->id),
                              GUINT_TO_POINTER ((guint)f->role + 1));
    }
  guint target
      = GPOINTER_TO_UINT (g_hash_table_lookup (o->target_roles, f->id));
  return target && !f->pinned ? target - 1 : f->role;
}

static void
set_target (struct orders_link *o, const struct file *file,
            const struct file_engine *f)
{
  struct region *reg = region_get (o, f->region);
  struct order_target t = { .engine = f->id,
                            .role = target_role (o, f),
                            .version = version_of (file, f),
                            .checks_fencing = f->checks_fencing,
                            .release = f->release_order,
                            .group = f->model };
  reg->in_file = true;
  orders_set_target (reg->orders, &t);
}

static void
set_role (void *arg, const char *engine, enum engine_role role)
{
  struct orders_link *o = arg;
  const struct file_engine *f = file_engine_of (o, engine);
  if (f == NULL)
    return;
  g_hash_table_replace (o->target_roles, g_strdup (engine),
                        GUINT_TO_POINTER ((guint)role + 1));
  set_target (o, conf_file (o->conf), f);
}

void
orders_link_handle_demand (struct orders_link *o, const char *vm,
                           GBytes *demand)
{
  role_link_handle_demand (o->role_link, vm, demand);
}

/* Keeps the role that an earlier order gave to ENGINE when another VM becomes
   the order holder: the new holder has no record of why the role was
   chosen.  */
static void
adopt_role (struct orders_link *o, const char *engine,
            const struct order_report *r)
{
  const struct file_engine *f = file_engine_of (o, engine);
  if (f == NULL || r->order_id[0] == '\0' || r->changing
      || g_hash_table_contains (o->target_roles, engine))
    return;
  set_role (o, engine, (enum engine_role)r->role);
}

void
orders_link_file_changed (struct orders_link *o)
{
  const struct file *file = conf_file (o->conf);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, o->regions);
  while (g_hash_table_iter_next (&it, NULL, &value))
    ((struct region *)value)->in_file = false;
  for (guint i = 0; i < file->engines->len; i++)
    set_target (o, file,
                &g_array_index (file->engines, struct file_engine, i));
  g_hash_table_iter_init (&it, o->regions);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct region *reg = value;
      orders_drop_unset_targets (reg->orders);
      orders_set_loads_at_once (reg->orders,
                                (unsigned)file->weight_loads_at_once);
    }
}

const char *
orders_link_state_name (const struct orders_link *o, const char *engine)
{
  const struct file_engine *f = file_engine_of (o, engine);
  const struct region *reg
      = f ? g_hash_table_lookup (o->regions, f->region) : NULL;
  if (reg == NULL || !orders_is_holder (reg->orders))
    return "held elsewhere";
  return orders_state_name (reg->orders, engine);
}

/* Timer that runs due order actions and decides on role changes.  */

/* Whether this VM should hold the orders of REG, by membership.  */
static bool
should_be_holder (const struct orders_link *o, const struct region *reg)
{
  const struct member *holder = rank_order_holder (o->ctx->members, reg->name);
  return reg->in_file && holder
         && strcmp (holder->info.id, o->ctx->settings->vm) == 0;
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct orders_link *o = arg;
  unsigned held = 0;
  o->ticks++;
  g_autoptr (GList) all = g_hash_table_get_values (o->regions);
  for (GList *l = all; l; l = l->next)
    {
      struct region *reg = l->data;
      g_autoptr (GArray) out = orders_actions_create ();
      orders_set_elected (reg->orders,
                          should_be_holder (o, reg) && !o->ctx->leaving);
      orders_tick (reg->orders, clock_ms (), out);
      for (guint i = 0; i < out->len; i++)
        run_action (reg, &g_array_index (out, struct orders_action, i));
      held += orders_is_holder (reg->orders);
    }
  request_reports (o);
  struct region *own
      = g_hash_table_lookup (o->regions, o->ctx->settings->region);
  if (own && orders_is_holder (own->orders)
      && o->ticks % ROLE_DECISION_TICKS == 0)
    role_link_decide (o->role_link, orders_unfinished_count (own->orders) > 0);
  if (o->ticks % (ORDER_RESEND_MS / TICK_MS) == 0)
    drains_tick (o->drains);
  metrics_set (METRIC_order_holder, held);
}

struct orders_link *
orders_link_create (const struct context *ctx, struct conf *conf,
                    struct engines *engines, const struct vm_list *vm_list)
{
  struct orders_link *o = g_new0 (struct orders_link, 1);
  o->ctx = ctx;
  o->conf = conf;
  o->engines = engines;
  o->vm_list = vm_list;
  o->self = member_process_name (ctx->settings->vm, ctx->incarnation);
  o->regions
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, region_free);
  o->target_roles
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  o->ended_senders
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  o->polling = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  o->file_roles
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  o->role_link = role_link_create (ctx, conf, set_role, o);
  o->drains = drains_create (ctx, conf, engines);
  o->timer = context_add_timer (ctx, TICK_MS, on_timer, o);
  return o;
}

void
orders_link_destroy (struct orders_link *o)
{
  if (o == NULL)
    return;
  event_free (o->timer);
  drains_destroy (o->drains);
  role_link_destroy (o->role_link);
  g_hash_table_destroy (o->file_roles);
  g_hash_table_destroy (o->regions);
  g_hash_table_destroy (o->target_roles);
  g_hash_table_destroy (o->ended_senders);
  g_hash_table_destroy (o->polling);
  g_free (o->self);
  g_free (o);
}
