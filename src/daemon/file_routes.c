#include "daemon/file_routes.h"

#include <string.h>

/* Most urgent priority in the file.  */
#define PRIORITY_MAX 9U

/* Conversion of routes.  */

static enum route_kind
kind_of (const struct file_route *r)
{
  switch (r->kind)
    {
    case FILE_ROUTE_KIND_IDEMPOTENT:
      return ROUTE_IDEMPOTENT;
    case FILE_ROUTE_KIND_STREAM:
      return ROUTE_STREAM;
    default:
      return ROUTE_ONCE;
    }
}

static void
add_route (struct route_table *t, const struct file_route *r)
{
  struct route_target target = { g_strdup (r->service), 1 };
  struct route route = {
    .name = g_strdup (r->name),
    .host = g_strdup (r->host),
    .prefix = g_strdup (r->prefix),
    .kind = kind_of (r),
    .resumable = r->resume,
    .attempts = (unsigned)r->attempts,
    .priority = PRIORITY_MAX - MIN ((unsigned)r->priority, PRIORITY_MAX),
    .timeout_ms = (unsigned)r->timeout_ms,
    .target_ms = (unsigned)r->deadline_ms,
    .targets = g_array_new (FALSE, TRUE, sizeof (struct route_target)),
  };
  g_array_append_val (route.targets, target);
  route_table_add (t, &route);
}

struct route_table *
file_routes_table (const struct file *file, uint64_t version)
{
  struct route_table *t = route_table_create (version);
  for (guint i = 0; i < file->services->len; i++)
    {
      const struct file_service *s
          = &g_array_index (file->services, struct file_service, i);
      struct route_service service = { .name = g_strdup (s->name),
                                       .connections = (unsigned)s->connections,
                                       .slots = (unsigned)s->slots };
      route_table_add_service (t, &service);
    }
  for (guint i = 0; i < file->routes->len; i++)
    add_route (t, &g_array_index (file->routes, struct file_route, i));
  route_table_finish (t);
  return t;
}

/* Conversion of upstreams.  */

static void
add_replica (const struct file_service *s, const char *address,
             struct upstreams *upstreams, GHashTable *configured)
{
  char *id = g_strconcat (s->name, "@", address, NULL);
  struct upstream_info info = { .id = id,
                                .service = s->name,
                                .address = (char *)(uintptr_t)address,
                                .failure_domain = s->region,
                                .software_version = (char *)"",
                                .slots = (unsigned)s->slots };
  upstreams_put (upstreams, &info);
  g_hash_table_add (configured, id);
}

static bool
has_route (const struct file *file, const char *service)
{
  for (guint i = 0; i < file->routes->len; i++)
    if (strcmp (g_array_index (file->routes, struct file_route, i).service,
                service)
        == 0)
      return true;
  return false;
}

void
file_routes_upstreams (const struct file *file, struct upstreams *upstreams,
                       void (*removed) (void *arg, const char *id), void *arg)
{
  g_autoptr (GHashTable) configured
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < file->services->len; i++)
    {
      const struct file_service *s
          = &g_array_index (file->services, struct file_service, i);
      for (guint j = 0; has_route (file, s->name) && j < s->addresses->len;
           j++)
        add_replica (s, g_ptr_array_index (s->addresses, j), upstreams,
                     configured);
    }
  g_autoptr (GPtrArray) ids = upstreams_ids (upstreams);
  for (guint i = 0; i < ids->len; i++)
    {
      const char *id = g_ptr_array_index (ids, i);
      if (g_hash_table_contains (configured, id))
        continue;
      upstreams_remove (upstreams, id);
      removed (arg, id);
    }
}
