#include "decide/response_times.h"

#include <glib.h>

/* Most routes that are remembered.  */
#define ROUTES_MAX 4096

/* Longest responses of a route, of the current interval and the one before. */
struct route_times
{
  int64_t longest_ms[2];
  int64_t interval_ms; /* start of the current interval */
};

struct response_times
{
  GHashTable *routes; /* name -> struct route_times */
};

struct response_times *
response_times_create (void)
{
  struct response_times *t = g_new0 (struct response_times, 1);
  t->routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return t;
}

void
response_times_destroy (struct response_times *t)
{
  if (t == NULL)
    return;
  g_hash_table_destroy (t->routes);
  g_free (t);
}

/* Returns the times of ROUTE, new ones if there are none.  */
static struct route_times *
get_times (struct response_times *t, const char *route, int64_t now_ms)
{
  struct route_times *r = g_hash_table_lookup (t->routes, route);
  if (r)
    return r;
  /* Routes that are gone are forgotten with all others.  */
  if (g_hash_table_size (t->routes) >= ROUTES_MAX)
    g_hash_table_remove_all (t->routes);
  r = g_new0 (struct route_times, 1);
  r->interval_ms = now_ms;
  g_hash_table_insert (t->routes, g_strdup (route), r);
  return r;
}

void
response_times_record (struct response_times *t, const char *route,
                       int64_t took_ms, int64_t now_ms)
{
  struct route_times *r = get_times (t, route, now_ms);
  int64_t age_ms = now_ms - r->interval_ms;
  if (age_ms >= RESPONSE_TIMES_KEPT_MS)
    {
      r->longest_ms[1]
          = age_ms < 2 * RESPONSE_TIMES_KEPT_MS ? r->longest_ms[0] : 0;
      r->longest_ms[0] = 0;
      r->interval_ms = now_ms;
    }
  r->longest_ms[0] = MAX (r->longest_ms[0], took_ms);
}

int64_t
response_times_longest (const struct response_times *t, const char *route,
                        int64_t now_ms)
{
  const struct route_times *r = g_hash_table_lookup (t->routes, route);
  if (r == NULL || now_ms - r->interval_ms >= 2 * RESPONSE_TIMES_KEPT_MS)
    return 0;
  return MAX (r->longest_ms[0], r->longest_ms[1]);
}
