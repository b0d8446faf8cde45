#include "decide/answered_parts.h"

#include <glib.h>

/* Most parts in each of the two generations.  */
#define GENERATION_MAX 4096

struct answer
{
  uint64_t part;
  int64_t at_ms;
};

/* A part is in the recent generation once it was answered since that began.
   When that is full, it replaces the older one.  */
struct answered_parts
{
  GHashTable *recent; /* part -> struct answer */
  GHashTable *older;
};

static GHashTable *
generation_create (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

struct answered_parts *
answered_parts_create (void)
{
  struct answered_parts *a = g_new0 (struct answered_parts, 1);
  a->recent = generation_create ();
  a->older = generation_create ();
  return a;
}

void
answered_parts_destroy (struct answered_parts *a)
{
  g_hash_table_destroy (a->recent);
  g_hash_table_destroy (a->older);
  g_free (a);
}

void
answered_parts_record (struct answered_parts *a, uint64_t part, int64_t at_ms)
{
  struct answer *x = g_hash_table_lookup (a->recent, &part);
  if (x)
    {
      x->at_ms = MAX (x->at_ms, at_ms);
      return;
    }
  if (g_hash_table_size (a->recent) >= GENERATION_MAX)
    {
      g_hash_table_destroy (a->older);
      a->older = a->recent;
      a->recent = generation_create ();
    }
  x = g_new (struct answer, 1);
  *x = (struct answer){ part, at_ms };
  g_hash_table_insert (a->recent, &x->part, x);
}

static const struct answer *
find_answer (const struct answered_parts *a, uint64_t part)
{
  const struct answer *x = g_hash_table_lookup (a->recent, &part);
  return x ? x : g_hash_table_lookup (a->older, &part);
}

bool
answered_parts_knows (const struct answered_parts *a, uint64_t part)
{
  return find_answer (a, part) != NULL;
}

bool
answered_parts_since (const struct answered_parts *a, uint64_t part,
                      int64_t at_ms)
{
  const struct answer *x = find_answer (a, part);
  return x && x->at_ms >= at_ms;
}
