#include "daemon/drains.h"

#include "base/log.h"
#include "daemon/conf.h"
#include "daemon/engines.h"

#include <string.h>

/* A request to all VMs to start or end the drain of one engine.  */
struct drain
{
  char *engine;
  bool on;
  uint64_t fencing;
  GHashTable *confirmed; /* set of VMs that confirmed */
  int64_t confirmed_ms; /* time of the last confirmation; started_ms before the
                           first */
  int64_t started_ms;
  bool late_logged; /* drain_late was logged */
};

struct drains
{
  const struct context *ctx;
  const struct conf *conf;
  struct engines *engines;
  GHashTable *by_engine;
};

static void
drain_free (void *p)
{
  struct drain *d = p;
  g_free (d->engine);
  g_hash_table_destroy (d->confirmed);
  g_free (d);
}

struct drains *
drains_create (const struct context *ctx, const struct conf *conf,
               struct engines *engines)
{
  struct drains *s = g_new0 (struct drains, 1);
  s->ctx = ctx;
  s->conf = conf;
  s->engines = engines;
  s->by_engine
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, drain_free);
  return s;
}

void
drains_destroy (struct drains *s)
{
  if (s == NULL)
    return;
  g_hash_table_destroy (s->by_engine);
  g_free (s);
}

static bool
has_confirmed (const struct drains *s, const struct drain *d,
               const struct member *m)
{
  return strcmp (m->info.id, s->ctx->settings->vm) == 0
         || g_hash_table_contains (d->confirmed, m->info.id);
}

static void
notify_pending (struct drains *s, struct drain *d)
{
  struct engine_drain m
      = { .engine = d->engine, .on = d->on, .fencing = d->fencing };
  const GPtrArray *all = members_all (s->ctx->members);
  for (guint i = 1; i < all->len; i++)
    {
      const struct member *to = g_ptr_array_index (all, i);
      if (member_live (to) && !has_confirmed (s, d, to))
        context_send (s->ctx, to->info.id, MESSAGE_ENGINE_DRAIN, &m);
    }
}

static bool
all_confirmed (const struct drains *s, const struct drain *d)
{
  const GPtrArray *all = members_all (s->ctx->members);
  for (guint i = 0; i < all->len; i++)
    {
      const struct member *m = g_ptr_array_index (all, i);
      if (member_live (m) && !has_confirmed (s, d, m))
        return false;
    }
  return true;
}

void
drains_request (struct drains *s, const char *engine, bool on,
                uint64_t fencing)
{
  struct drain *d = g_new0 (struct drain, 1);
  d->engine = g_strdup (engine);
  d->on = on;
  d->fencing = fencing;
  d->confirmed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  d->confirmed_ms = clock_ms ();
  d->started_ms = d->confirmed_ms;
  g_hash_table_replace (s->by_engine, d->engine, d);
  engines_set_draining (s->engines, engine, on, fencing);
  notify_pending (s, d);
}

void
drains_handle_confirmation (struct drains *s, const char *vm,
                            const struct engine_drained *m)
{
  struct drain *d = g_hash_table_lookup (s->by_engine, m->engine);
  if (d == NULL || d->on != m->on || d->fencing != m->fencing)
    return;
  g_hash_table_add (d->confirmed, g_strdup (vm));
  d->confirmed_ms = clock_ms ();
}

int64_t
drains_confirmed_since_ms (const struct drains *s, const char *engine)
{
  const struct drain *d = g_hash_table_lookup (s->by_engine, engine);
  return d && d->on && all_confirmed (s, d) ? d->confirmed_ms : -1;
}

static void
warn_if_late (const struct drains *s, struct drain *d)
{
  const struct file *file = conf_file (s->conf);
  int64_t age = clock_ms () - d->started_ms;
  if (file == NULL || !d->on || d->late_logged
      || age < (int64_t)file->drain_deadline_s * 1000)
    return;
  d->late_logged = true;
  log_event (LOG_WARN, "drain_late", "engine", d->engine, "age_ms",
             log_num (age), NULL);
}

void
drains_tick (struct drains *s)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, s->by_engine);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct drain *d = value;
      warn_if_late (s, d);
      if (!all_confirmed (s, d))
        notify_pending (s, d);
      else if (!d->on)
        g_hash_table_iter_remove (&it);
    }
}
