#include "fakes/prefill_model.h"

#include <glib.h>

struct reading
{
  double tokens_per_ms;
  double free_ms;   /* when all that was taken has been read */
  GHashTable *kept; /* ids of parts that were read */
};

struct reading *
reading_create (double tokens_per_ms)
{
  struct reading *r = g_new0 (struct reading, 1);
  r->tokens_per_ms = tokens_per_ms;
  r->kept = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return r;
}

void
reading_destroy (struct reading *r)
{
  if (r == NULL)
    return;
  g_hash_table_destroy (r->kept);
  g_free (r);
}

/* Tokens of the parts that are kept, up to the first that is not; keeps all.
 */
static uint64_t
find_kept (struct reading *r, const char *parts)
{
  uint64_t tokens = 0;
  gboolean found = TRUE;
  g_auto (GStrv) list = g_strsplit (parts, ",", -1);
  for (char **p = list; *p; p++)
    {
      g_auto (GStrv) pair = g_strsplit (*p, ":", 2);
      if (g_strv_length (pair) != 2)
        continue;
      found = found && g_hash_table_contains (r->kept, pair[0]);
      if (found)
        tokens += g_ascii_strtoull (pair[1], NULL, 10);
      g_hash_table_add (r->kept, g_strdup (pair[0]));
    }
  return tokens;
}

struct reading_time
reading_take (struct reading *r, uint64_t count, const char *parts,
              double now_ms)
{
  uint64_t kept = parts ? find_kept (r, parts) : 0;
  struct reading_time t = { .tokens = count > kept ? count - kept : 1 };
  t.queue_ms = MAX (r->free_ms - now_ms, 0);
  t.all_ms = t.queue_ms + (double)t.tokens / r->tokens_per_ms;
  r->free_ms = now_ms + t.all_ms;
  return t;
}
