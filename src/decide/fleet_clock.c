#include "decide/fleet_clock.h"

#include <glib.h>

/* The clock of another VM.  */
struct peer_clock
{
  int64_t offset_ms; /* its wall clock less this VM's steady clock */
  int64_t heard_ms;
};

struct fleet_clock
{
  GHashTable *peers; /* VM -> struct peer_clock */
};

struct fleet_clock *
fleet_clock_create (void)
{
  struct fleet_clock *c = g_new0 (struct fleet_clock, 1);
  c->peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return c;
}

void
fleet_clock_destroy (struct fleet_clock *c)
{
  if (c == NULL)
    return;
  g_hash_table_destroy (c->peers);
  g_free (c);
}

static gboolean
is_outdated (gpointer key, gpointer value, gpointer now_ms)
{
  const struct peer_clock *p = value;
  (void)key;
  return *(const int64_t *)now_ms - p->heard_ms > FLEET_CLOCK_KEEP_MS;
}

void
fleet_clock_record (struct fleet_clock *c, const char *vm, int64_t asked_ms,
                    int64_t wall_ms, int64_t now_ms)
{
  int64_t round_trip = now_ms - asked_ms;
  if (round_trip < 0 || round_trip > FLEET_CLOCK_ROUND_TRIP_MAX_MS)
    return;
  struct peer_clock *p = g_new0 (struct peer_clock, 1);
  p->offset_ms = wall_ms - (asked_ms + round_trip / 2);
  p->heard_ms = now_ms;
  g_hash_table_replace (c->peers, g_strdup (vm), p);
  g_hash_table_foreach_remove (c->peers, is_outdated, &now_ms);
}

static gint
compare_offsets (gconstpointer a, gconstpointer b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;
  return (x > y) - (x < y);
}

/* Offsets of the other VMs' clocks that are known at NOW_MS, as int64_t.  */
static GArray *
known_offsets (const struct fleet_clock *c, int64_t now_ms)
{
  GArray *offsets = g_array_new (FALSE, FALSE, sizeof (int64_t));
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, c->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (!is_outdated (NULL, value, &now_ms))
      g_array_append_val (offsets, ((struct peer_clock *)value)->offset_ms);
  return offsets;
}

int64_t
fleet_clock_time (const struct fleet_clock *c, int64_t wall_ms, int64_t now_ms)
{
  g_autoptr (GArray) offsets = known_offsets (c, now_ms);
  int64_t own = wall_ms - now_ms;
  g_array_append_val (offsets, own);
  g_array_sort (offsets, compare_offsets);
  int64_t low = g_array_index (offsets, int64_t, (offsets->len - 1) / 2);
  int64_t high = g_array_index (offsets, int64_t, offsets->len / 2);
  return now_ms + low + (high - low) / 2;
}

unsigned
fleet_clock_known (const struct fleet_clock *c, int64_t now_ms)
{
  g_autoptr (GArray) offsets = known_offsets (c, now_ms);
  return offsets->len;
}
