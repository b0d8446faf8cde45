#include "harness/route_versions.h"

#include <jansson.h>
#include <stdlib.h>

/* Keys of each account.  */
#define KEYS 2
/* Time-out of all routes but one.  */
#define TIMEOUT_MS 2000

GBytes *
version_write (const struct version_size *size, unsigned version)
{
  GString *s = g_string_new (NULL);
  g_string_append_printf (s, "{\"version\":%u,\"routes\":[", version);
  for (unsigned i = 0; i < size->routes; i++)
    g_string_append_printf (
        s,
        "%s{\"name\":\"r%05u\",\"host\":\"h%u.example\",\"pathPrefix\":"
        "\"/p%05u/\",\"kind\":\"streaming\",\"timeoutMs\":%u,"
        "\"targetLatencyMs\":500,\"priority\":2,\"service\":\"s\","
        "\"maxAttempts\":2,\"public\":false,\"sticky\":true,"
        "\"resumable\":true,\"gapAimMs\":200}",
        i > 0 ? "," : "", i, i % size->hosts, i,
        i == size->routes / 2 ? version : TIMEOUT_MS);
  g_string_append (s, "],\"services\":[{\"name\":\"s\"}],\"tenants\":[");
  for (unsigned i = 0; i < size->accounts; i++)
    {
      g_string_append_printf (s, "%s{\"name\":\"a%u\",\"apiKeys\":[",
                              i > 0 ? "," : "", i);
      for (unsigned k = 0; k < KEYS; k++)
        g_string_append_printf (s, "%s\"k%u-%014u\"", k > 0 ? "," : "", k, i);
      g_string_append (s, "]}");
    }
  g_string_append (s, "]}");
  return g_string_free_to_bytes (s);
}

static void
add_route (const struct site *s, json_t *routes, const char *name,
           const char *prefix)
{
  json_array_append_new (
      routes, json_pack ("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:b}",
                         "name", name, "host", SITE_HOST, "pathPrefix", prefix,
                         "kind", "unsafe", "timeoutMs", (int)s->timeout_ms,
                         "targetLatencyMs", SITE_TARGET_MS, "priority", 0,
                         "service", "s", "maxAttempts", 2, "sticky", 0));
}

void
version_put_many (const struct site *s, unsigned version, unsigned count)
{
  json_t *routes = json_array ();
  g_autofree char *last = g_strdup_printf ("/v%u/", version);
  add_route (s, routes, "once", "/once/");
  for (unsigned i = 0; i < count; i++)
    {
      g_autofree char *name = g_strdup_printf ("many-%u", i);
      g_autofree char *prefix = g_strdup_printf ("/many-%u/", i);
      add_route (s, routes, name, prefix);
    }
  add_route (s, routes, "last", last);
  json_t *root = json_pack ("{s:i, s:o, s:[{s:s, s:s, s:i}], s:{s:i}}",
                            "version", (int)version, "routes", routes,
                            "services", "name", "s", "healthPath", "/health",
                            "maxConns", 100, "limits", "maxHeaderBytes", 8192);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  site_put (s, "op/config", text);
  free (text);
}
