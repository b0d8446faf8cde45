#include "decide/departures.h"

#include <glib.h>

struct departure
{
  struct entry_date last;
  uint64_t restores;
  int64_t at_ms;
};

struct departures
{
  GHashTable *by_id; /* id -> struct departure */
};

struct departures *
departures_create (void)
{
  struct departures *d = g_new0 (struct departures, 1);
  d->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return d;
}

void
departures_destroy (struct departures *d)
{
  if (d == NULL)
    return;
  g_hash_table_destroy (d->by_id);
  g_free (d);
}

void
departures_add (struct departures *d, const char *id,
                const struct entry_date *date, uint64_t restores,
                int64_t now_ms)
{
  struct departure *x = g_new (struct departure, 1);
  *x = (struct departure){ *date, restores, now_ms };
  g_hash_table_replace (d->by_id, g_strdup (id), x);
}

bool
departures_is_outdated (struct departures *d, const char *id,
                        const struct entry_date *date, uint64_t restores)
{
  const struct departure *x = g_hash_table_lookup (d->by_id, id);
  if (x == NULL)
    return false;
  bool same_or_older = date->start_wall_ms < x->last.start_wall_ms
                       || (date->start_wall_ms == x->last.start_wall_ms
                           && date->sequence <= x->last.sequence);
  if (restores > x->restores && same_or_older)
    return true;
  g_hash_table_remove (d->by_id, id);
  return false;
}

void
departures_expire (struct departures *d, int64_t now_ms)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, d->by_id);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (now_ms - ((const struct departure *)value)->at_ms > DEPARTURE_KEPT_MS)
      g_hash_table_iter_remove (&it);
}
