#include "daemon/catalog.h"

#include <string.h>

struct catalog
{
  const struct file *file;
  struct router *router;
  GHashTable *callers; /* key digest -> struct file_caller */
};

static uint32_t
index_of_text (const GPtrArray *texts, const char *text)
{
  for (guint i = 0; i < texts->len; i++)
    if (strcmp (g_ptr_array_index (texts, i), text) == 0)
      return i;
  return UINT32_MAX;
}

uint32_t
catalog_region_index (const struct catalog *c, const char *region)
{
  return index_of_text (c->file->regions, region);
}

const struct file_model *
catalog_model_of (const struct catalog *c, const struct file_engine *e)
{
  return &g_array_index (c->file->models, struct file_model,
                         catalog_model_index (c, e->model));
}

uint32_t
catalog_model_index (const struct catalog *c, const char *model)
{
  for (guint i = 0; i < c->file->models->len; i++)
    if (strcmp (g_array_index (c->file->models, struct file_model, i).name,
                model)
        == 0)
      return i;
  return UINT32_MAX;
}

/* Load of E in a new catalog: as in OLD, else idle and usable with the role in
   the file.  An engine that the file marks as leaving is not usable.  */
static struct route_load
initial_load (const struct catalog *old, const struct file_engine *e)
{
  struct route_load load = { .role = (enum engine_role)e->role };
  route_engine previous = old ? router_find (old->router, e->id) : ROUTE_NONE;
  if (previous != ROUTE_NONE)
    load = *router_load (old->router, previous);
  else
    load.usable = true;
  if (e->state == FILE_ENGINE_STATE_LEAVING)
    load.usable = false;
  return load;
}

struct catalog *
catalog_create (const struct file *file, const struct catalog *old)
{
  struct catalog *c = g_new0 (struct catalog, 1);
  c->file = file;
  c->router = router_create ((uint64_t)g_get_monotonic_time ());
  for (guint i = 0; i < file->engines->len; i++)
    {
      const struct file_engine *e
          = &g_array_index (file->engines, struct file_engine, i);
      uint32_t model = catalog_model_index (c, e->model);
      const struct file_model *m
          = &g_array_index (file->models, struct file_model, model);
      route_engine handle = router_add (c->router, e->id, model,
                                        catalog_region_index (c, e->region));
      router_set_capacity (c->router, handle,
                           (uint32_t)m->prefill_tokens_per_s,
                           (uint32_t)m->batch, (uint32_t)m->mixed_batch);
    }
  router_build_rings (c->router);
  for (guint i = 0; i < file->engines->len; i++)
    {
      struct route_load load = initial_load (
          old, &g_array_index (file->engines, struct file_engine, i));
      router_set_load (c->router, i, &load, g_get_monotonic_time () / 1000);
    }
  c->callers = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < file->callers->len; i++)
    {
      struct file_caller *caller
          = &g_array_index (file->callers, struct file_caller, i);
      g_hash_table_insert (c->callers, caller->key_digest, caller);
    }
  return c;
}

void
catalog_destroy (struct catalog *c)
{
  if (c == NULL)
    return;
  router_destroy (c->router);
  g_hash_table_destroy (c->callers);
  g_free (c);
}

struct router *
catalog_router (const struct catalog *c)
{
  return c->router;
}

const struct file_engine *
catalog_engine (const struct catalog *c, route_engine e)
{
  return &g_array_index (c->file->engines, struct file_engine, e);
}

const struct file_engine *
catalog_find_engine (const struct catalog *c, const char *engine)
{
  route_engine e = router_find (c->router, engine);
  return e == ROUTE_NONE ? NULL : catalog_engine (c, e);
}

const struct file_caller *
catalog_caller (const struct catalog *c, const char *key_digest)
{
  return g_hash_table_lookup (c->callers, key_digest);
}
