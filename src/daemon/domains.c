#include "daemon/domains.h"

#include <string.h>

GHashTable *
domains_parse (const char *text)
{
  GHashTable *regions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_auto (GStrv) parts = g_strsplit (text, ",", -1);
  for (char **p = parts; *p; p++)
    {
      char *eq = strchr (*p, '=');
      if (eq)
        g_hash_table_replace (regions, g_strndup (*p, (gsize)(eq - *p)),
                              g_strdup (eq + 1));
    }
  return regions;
}
