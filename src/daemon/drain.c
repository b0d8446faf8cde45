#include "daemon/drain.h"

#include "base/log.h"
#include "daemon/conf.h"
#include "daemon/engines.h"

#include <string.h>

struct drain
{
  char *engine;
  bool on;
  uint64_t fencing;
  GHashTable *answered; /* VMs */
  int64_t answered_ms;  /* when the last answer came */
  int64_t since_ms;
  bool late_told;
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
  struct drain *x = p;
  g_free (x->engine);
  g_hash_table_destroy (x->answered);
  g_free (x);
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
has_answered (const struct drains *s, const struct drain *x,
              const struct member *m)
{
  return strcmp (m->info.id, s->ctx->settings->vm) == 0
         || g_hash_table_contains (x->answered, m->info.id);
}

static void
tell_waiting (struct drains *s, struct drain *x)
{
  struct engine_drain m
      = { .engine = x->engine, .on = x->on, .fencing = x->fencing };
  const GPtrArray *all = members_all (s->ctx->members);
  for (guint i = 1; i < all->len; i++)
    {
      const struct member *to = g_ptr_array_index (all, i);
      if (member_live (to) && !has_answered (s, x, to))
        context_send (s->ctx, to->info.id, MESSAGE_ENGINE_DRAIN, &m);
    }
}

static bool
all_answered (const struct drains *s, const struct drain *x)
{
  const GPtrArray *all = members_all (s->ctx->members);
  for (guint i = 0; i < all->len; i++)
    {
      const struct member *m = g_ptr_array_index (all, i);
      if (member_live (m) && !has_answered (s, x, m))
        return false;
    }
  return true;
}

void
drains_tell (struct drains *s, const char *engine, bool on, uint64_t fencing)
{
  struct drain *x = g_new0 (struct drain, 1);
  x->engine = g_strdup (engine);
  x->on = on;
  x->fencing = fencing;
  x->answered = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  x->answered_ms = clock_ms ();
  x->since_ms = x->answered_ms;
  g_hash_table_replace (s->by_engine, x->engine, x);
  engines_set_draining (s->engines, engine, on, fencing);
  tell_waiting (s, x);
}

void
drains_answered (struct drains *s, const char *vm,
                 const struct engine_drained *m)
{
  struct drain *x = g_hash_table_lookup (s->by_engine, m->engine);
  if (x == NULL || x->on != m->on || x->fencing != m->fencing)
    return;
  g_hash_table_add (x->answered, g_strdup (vm));
  x->answered_ms = clock_ms ();
}

int64_t
drains_all_since (const struct drains *s, const char *engine)
{
  const struct drain *x = g_hash_table_lookup (s->by_engine, engine);
  return x && x->on && all_answered (s, x) ? x->answered_ms : -1;
}

static void
tell_late (const struct drains *s, struct drain *x)
{
  const struct file *file = conf_file (s->conf);
  int64_t age = clock_ms () - x->since_ms;
  if (file == NULL || !x->on || x->late_told
      || age < (int64_t)file->drain_deadline_s * 1000)
    return;
  x->late_told = true;
  log_event (LOG_WARN, "drain_late", "engine", x->engine, "age_ms",
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
      struct drain *x = value;
      tell_late (s, x);
      if (!all_answered (s, x))
        tell_waiting (s, x);
      else if (!x->on)
        g_hash_table_iter_remove (&it);
    }
}
