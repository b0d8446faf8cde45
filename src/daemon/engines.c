#include "daemon/engines.h"

#include "base/log.h"
#include "config.h"
#include "daemon/conf.h"
#include "decide/rank.h"

#include <string.h>

struct engines
{
  const struct context *ctx;
  struct conf *conf;
  const struct engines_callbacks *callbacks;
  void *arg;
  GHashTable *table; /* id -> struct tracked_engine */
  int64_t last_digest_ms;
  uint64_t assigned_version; /* of the members at the last assign_homes */
};

/* State of engines.  */

static void
engine_free (void *p)
{
  struct tracked_engine *e = p;
  queue_destroy (e->queue);
  g_free (e->id);
  g_free (e->address);
  g_free (e);
}

/* Sets the queue's batch size and prefill rate from the model's figures for
   the engine's current role.  */
static void
engine_update_limits (struct engines *all, struct tracked_engine *e)
{
  const struct catalog *catalog = conf_catalog (all->conf);
  const struct file_engine *f = catalog_find_engine (catalog, e->id);
  if (f == NULL)
    return;
  const struct file_model *m = catalog_model_of (catalog, f);
  bool mixed = e->role == ROLE_MIXED;
  queue_set_batch (e->queue, (unsigned)(mixed ? m->mixed_batch : m->batch));
  queue_set_prefill_rate (e->queue, (uint32_t)m->prefill_tokens_per_s, mixed);
}

static void
engine_update_draining (struct tracked_engine *e, const struct file_engine *f)
{
  queue_set_draining (e->queue,
                      e->draining || f->state == FILE_ENGINE_STATE_LEAVING);
}

struct tracked_engine *
engines_get (struct engines *all, const char *id)
{
  const struct catalog *catalog = conf_catalog (all->conf);
  const struct file_engine *f
      = catalog ? catalog_find_engine (catalog, id) : NULL;
  if (f == NULL)
    return NULL;
  struct tracked_engine *e = g_hash_table_lookup (all->table, id);
  if (e == NULL)
    {
      e = g_new0 (struct tracked_engine, 1);
      e->id = g_strdup (id);
      e->address = g_strdup (f->address);
      e->role = f->role;
      e->queue = queue_create (ENGINE_BATCH_MAX, ENGINE_QUEUE_MAX);
      g_hash_table_insert (all->table, e->id, e);
      engine_update_limits (all, e);
      engine_update_draining (e, f);
    }
  return e;
}

void
engines_update_router (struct engines *all, struct tracked_engine *e)
{
  const struct catalog *catalog = conf_catalog (all->conf);
  struct router *router = catalog_router (catalog);
  route_engine handle = router_find (router, e->id);
  if (handle == ROUTE_NONE)
    return;
  const struct file_engine *f = catalog_engine (catalog, handle);
  struct route_load load = *router_load (router, handle);
  load.running = queue_running (e->queue) + queue_waiting (e->queue);
  load.queued_tokens = queue_prefill_tokens (e->queue);
  if (e->last_report_ms)
    load.role = (enum engine_role)e->role;
  load.usable = !e->unresponsive && !e->draining
                && f->state != FILE_ENGINE_STATE_LEAVING;
  router_set_load (router, handle, &load, clock_ms ());
}

/* Polling.  The load is not taken from an engine's report, as the home VM
   counts it exactly from its queue.  The report shows that the engine is
   responsive, and its role.  */

/* A poll in flight.  */
struct poll
{
  struct engines *all;
  char *engine;
};

/* Role that a report names, or ROLE if it names no known one.  */
static uint64_t
parse_role (struct evbuffer *body, uint64_t role)
{
  size_t n = body ? evbuffer_get_length (body) : 0;
  if (n == 0)
    return role;
  json_t *root
      = json_loadb ((const char *)evbuffer_pullup (body, -1), n, 0, NULL);
  const char *name = json_string_value (json_object_get (root, "role"));
  role = role_from_name (name, role);
  json_decref (root);
  return role;
}

static void
poll_free (void *arg)
{
  struct poll *p = arg;
  g_free (p->engine);
  g_free (p);
}

static void
on_poll (void *arg, const struct http_response *a)
{
  struct poll *p = arg;
  struct tracked_engine *e = g_hash_table_lookup (p->all->table, p->engine);
  if (e)
    {
      e->polling = false;
      if (a->end == HTTP_OUTCOME_COMPLETE && a->status == 200)
        {
          e->role = parse_role (a->body, e->role);
          engine_update_limits (p->all, e);
          e->last_report_ms = clock_ms ();
          e->unanswered_since_ms = 0;
          if (e->unresponsive)
            log_event (LOG_INFO, "engine_back", "engine", e->id, NULL);
          e->unresponsive = false;
        }
      engines_update_router (p->all, e);
    }
  poll_free (p);
}

static const struct http_client_callbacks poll_callbacks
    = { NULL, on_poll, poll_free };

static void
poll_engine (struct engines *all, struct tracked_engine *e, int64_t now)
{
  if (e->polling || now - e->last_poll_ms < ENGINE_POLL_INTERVAL_MS)
    return;
  struct poll *p = g_new0 (struct poll, 1);
  p->all = all;
  p->engine = g_strdup (e->id);
  e->polling = true;
  e->last_poll_ms = now;
  if (e->unanswered_since_ms == 0)
    e->unanswered_since_ms = now;
  struct http_client_request o = { .address = e->address,
                                   .method = "GET",
                                   .path = "/v1/admin/state",
                                   .timeout_ms = ENGINE_POLL_INTERVAL_MS };
  http_client_call (all->ctx->http, &o, &poll_callbacks, p);
}

static void
check_responsive (struct engines *all, struct tracked_engine *e, int64_t now)
{
  if (e->unresponsive || e->unanswered_since_ms == 0
      || now - e->unanswered_since_ms < ENGINE_UNRESPONSIVE_MS)
    return;
  e->unresponsive = true;
  log_event (LOG_WARN, "engine_silent", "engine", e->id, NULL);
  engines_update_router (all, e);
}

/* Load digests.  For each engine that the sender is home VM of:
   - 2 bytes, big-endian: index of the engine in the file's list
   - 1 byte: running requests, at most 255
   - 1 byte: queued prompt tokens in units of DIGEST_TOKENS_UNIT, at most 255
   - 1 byte: DIGEST_FLAG_USABLE, and the role in the low 2 bits  */

#define DIGEST_ENTRY_BYTES 5
#define DIGEST_TOKENS_UNIT 256
#define DIGEST_FLAG_USABLE 0x80

static GBytes *
digest_encode (struct engines *all)
{
  const struct catalog *catalog = conf_catalog (all->conf);
  struct router *router = catalog_router (catalog);
  GByteArray *out = g_byte_array_new ();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, all->table);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct tracked_engine *e = value;
      route_engine handle = router_find (router, e->id);
      if (!e->home_here || handle == ROUTE_NONE)
        continue;
      const struct route_load *load = router_load (router, handle);
      guint8 entry[DIGEST_ENTRY_BYTES]
          = { (guint8)(handle >> 8), (guint8)handle,
              (guint8)MIN (load->running, 255),
              (guint8)MIN (load->queued_tokens / DIGEST_TOKENS_UNIT, 255),
              (guint8)((load->usable ? DIGEST_FLAG_USABLE : 0) | load->role) };
      g_byte_array_append (out, entry, sizeof entry);
    }
  return g_byte_array_free_to_bytes (out);
}

static void
send_digests (struct engines *all)
{
  struct load_digest m = { .from = all->ctx->settings->vm,
                           .revision = conf_revision (all->conf) };
  m.loads = digest_encode (all);
  m.demand = all->callbacks->get_demand (all->arg);
  const GPtrArray *members = members_all (all->ctx->members);
  for (guint i = 1; i < members->len; i++)
    {
      const struct member *to = g_ptr_array_index (members, i);
      if (member_live (to)
          && strcmp (to->info.region, all->ctx->settings->region) == 0)
        all->callbacks->send_digest (all->arg, to, &m);
    }
  all->callbacks->handle_demand (all->arg, all->ctx->settings->vm, m.demand);
  g_bytes_unref (m.loads);
  g_bytes_unref (m.demand);
}

void
engines_handle_digest (struct engines *all, const struct load_digest *m)
{
  const struct catalog *catalog = conf_catalog (all->conf);
  if (catalog == NULL || m->revision != conf_revision (all->conf))
    return;
  all->callbacks->handle_demand (all->arg, m->from, m->demand);
  if (m->loads == NULL)
    return;
  struct router *router = catalog_router (catalog);
  gsize n = 0;
  const guint8 *p = g_bytes_get_data (m->loads, &n);
  for (gsize i = 0; i + DIGEST_ENTRY_BYTES <= n; i += DIGEST_ENTRY_BYTES)
    {
      route_engine handle = (route_engine)(p[i] << 8 | p[i + 1]);
      if (handle >= router_count (router))
        continue;
      const struct tracked_engine *local = g_hash_table_lookup (
          all->table, catalog_engine (catalog, handle)->id);
      if (local && local->home_here)
        continue;
      struct route_load load
          = { .running = p[i + 2],
              .queued_tokens = p[i + 3] * DIGEST_TOKENS_UNIT,
              .role = (enum engine_role) (p[i + 4] & 3),
              .usable = (p[i + 4] & DIGEST_FLAG_USABLE) != 0 };
      router_set_load (router, handle, &load, clock_ms ());
    }
}

/* Assignment of engines to home VMs.  */

static void
assign_homes (struct engines *all)
{
  const struct file *file = conf_file (all->conf);
  for (guint i = 0; i < file->engines->len; i++)
    {
      const struct file_engine *f
          = &g_array_index (file->engines, struct file_engine, i);
      const struct member *home
          = rank_engine_home (all->ctx->members, f->id, f->region);
      bool here = home && strcmp (home->info.id, all->ctx->settings->vm) == 0;
      struct tracked_engine *e = here
                                     ? engines_get (all, f->id)
                                     : g_hash_table_lookup (all->table, f->id);
      if (e)
        e->home_here = here;
    }
}

void
engines_file_changed (struct engines *all)
{
  const struct catalog *catalog = conf_catalog (all->conf);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, all->table);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct tracked_engine *e = value;
      const struct file_engine *f = catalog_find_engine (catalog, e->id);
      if (f == NULL)
        {
          queue_set_draining (e->queue, true);
          e->home_here = false;
          continue;
        }
      g_free (e->address);
      e->address = g_strdup (f->address);
      engine_update_limits (all, e);
      engine_update_draining (e, f);
    }
  all->assigned_version = UINT64_MAX;
}

void
engines_set_draining (struct engines *all, const char *engine, bool draining,
                      uint64_t fencing)
{
  struct tracked_engine *e = engines_get (all, engine);
  if (e == NULL || fencing < e->drain_fencing)
    return;
  e->drain_fencing = fencing;
  e->draining = draining;
  engine_update_draining (
      e, catalog_find_engine (conf_catalog (all->conf), engine));
  engines_update_router (all, e);
}

unsigned
engines_open_requests (const struct engines *all, const char *engine)
{
  const struct tracked_engine *e = g_hash_table_lookup (all->table, engine);
  return e ? queue_running (e->queue) + queue_waiting (e->queue) : 0;
}

int64_t
engines_report_age_ms (const struct engines *all, const char *engine)
{
  const struct tracked_engine *e = g_hash_table_lookup (all->table, engine);
  return e && e->last_report_ms ? clock_ms () - e->last_report_ms : -1;
}

GList *
engines_list (struct engines *all)
{
  return g_hash_table_get_values (all->table);
}

/* Periodic work, creation and destruction.  */

void
engines_tick (struct engines *all)
{
  int64_t now = clock_ms ();
  if (all->assigned_version != members_version (all->ctx->members))
    {
      all->assigned_version = members_version (all->ctx->members);
      assign_homes (all);
    }
  g_autoptr (GList) list = engines_list (all);
  for (GList *l = list; l; l = l->next)
    {
      struct tracked_engine *e = l->data;
      if (e->home_here || queue_running (e->queue) > 0)
        poll_engine (all, e, now);
      check_responsive (all, e, now);
    }
  if (now - all->last_digest_ms >= ENGINE_DIGEST_INTERVAL_MS)
    {
      all->last_digest_ms = now;
      send_digests (all);
    }
}

struct engines *
engines_create (const struct context *ctx, struct conf *conf,
                const struct engines_callbacks *callbacks, void *arg)
{
  struct engines *all = g_new0 (struct engines, 1);
  all->ctx = ctx;
  all->conf = conf;
  all->callbacks = callbacks;
  all->arg = arg;
  all->assigned_version = UINT64_MAX;
  all->table
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, engine_free);
  return all;
}

void
engines_destroy (struct engines *all)
{
  if (all == NULL)
    return;
  g_hash_table_destroy (all->table);
  g_free (all);
}
