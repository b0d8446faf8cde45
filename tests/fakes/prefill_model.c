#include "fakes/prefill_model.h"

#include <glib.h>

struct prefill_model
{
  double tokens_per_ms;
  double idle_at_ms;  /* time at which all queued prompts are prefilled */
  GHashTable *cached; /* set of part ids */
};

struct prefill_model *
prefill_model_create (double tokens_per_ms)
{
  struct prefill_model *m = g_new0 (struct prefill_model, 1);
  m->tokens_per_ms = tokens_per_ms;
  m->cached = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return m;
}

void
prefill_model_destroy (struct prefill_model *m)
{
  if (m == NULL)
    return;
  g_hash_table_destroy (m->cached);
  g_free (m);
}

/* Returns the tokens of the leading parts that are cached, up to the first
   that is not.  Caches all PARTS.  */
static uint64_t
add_to_cache (struct prefill_model *m, const char *parts)
{
  uint64_t tokens = 0;
  gboolean found = TRUE;
  g_auto (GStrv) list = g_strsplit (parts, ",", -1);
  for (char **p = list; *p; p++)
    {
      g_auto (GStrv) pair = g_strsplit (*p, ":", 2);
      if (g_strv_length (pair) != 2)
        continue;
      found = found && g_hash_table_contains (m->cached, pair[0]);
      if (found)
        tokens += g_ascii_strtoull (pair[1], NULL, 10);
      g_hash_table_add (m->cached, g_strdup (pair[0]));
    }
  return tokens;
}

struct prefill_time
prefill_model_add (struct prefill_model *m, uint64_t count, const char *parts,
                   double now_ms)
{
  uint64_t cached = parts ? add_to_cache (m, parts) : 0;
  struct prefill_time t = { .tokens = count > cached ? count - cached : 1 };
  t.queue_ms = MAX (m->idle_at_ms - now_ms, 0);
  t.done_ms = t.queue_ms + (double)t.tokens / m->tokens_per_ms;
  m->idle_at_ms = now_ms + t.done_ms;
  return t;
}
