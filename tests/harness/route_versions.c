#include "harness/route_versions.h"

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
