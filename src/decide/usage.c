#include "decide/usage.h"

#include <string.h>

/* Windows whose counts are merged, from the first that is kept on: messages of
   a VM with a wrong clock must not add windows without bound.  */
#define WINDOWS_MAX 64
/* Bytes of an element of usage_counts beside the name: headers and count.  */
#define COUNT_BYTES 12

struct usage
{
  char *source; /* name of this VM's start */
  char *vm;
  uint64_t started_ms;
  int64_t window_ms;
  uint64_t first;        /* earliest window that is kept */
  GHashTable *windows;   /* uint64_t number -> window: source -> counts */
  GPtrArray *names;      /* of the accounts that were counted */
  GHashTable *positions; /* name of an account -> its position in NAMES */
};

/* The counts of one source in one window are an array of uint64_t by the
   account's position.  */

static char *
source_name (const char *vm, uint64_t started_ms)
{
  return g_strdup_printf ("%s:%" G_GUINT64_FORMAT, vm, started_ms);
}

struct usage *
usage_create (const char *vm, uint64_t started_ms, int64_t window_ms)
{
  struct usage *u = g_new0 (struct usage, 1);
  u->vm = g_strdup (vm);
  u->source = source_name (vm, started_ms);
  u->started_ms = started_ms;
  u->window_ms = window_ms;
  u->windows = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                      (GDestroyNotify)g_hash_table_destroy);
  u->names = g_ptr_array_new_with_free_func (g_free);
  u->positions = g_hash_table_new (g_str_hash, g_str_equal);
  return u;
}

void
usage_destroy (struct usage *u)
{
  if (u == NULL)
    return;
  g_hash_table_destroy (u->windows);
  g_hash_table_destroy (u->positions);
  g_ptr_array_unref (u->names);
  g_free (u->source);
  g_free (u->vm);
  g_free (u);
}

uint64_t
usage_window (const struct usage *u, int64_t time_ms)
{
  return (uint64_t)MAX (time_ms, 0) / (uint64_t)u->window_ms;
}

/* Returns the counts of SOURCE in WINDOW, new ones if there are none.  */
static GArray *
get_counts (struct usage *u, uint64_t window, const char *source)
{
  GHashTable *sources = g_hash_table_lookup (u->windows, &window);
  if (sources == NULL)
    {
      sources = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                       (GDestroyNotify)g_array_unref);
      g_hash_table_insert (u->windows, g_memdup2 (&window, sizeof window),
                           sources);
    }
  GArray *counts = g_hash_table_lookup (sources, source);
  if (counts == NULL)
    {
      counts = g_array_new (FALSE, TRUE, sizeof (uint64_t));
      g_hash_table_insert (sources, g_strdup (source), counts);
    }
  return counts;
}

static guint
get_position (struct usage *u, const char *account)
{
  gpointer position = NULL;
  if (g_hash_table_lookup_extended (u->positions, account, NULL, &position))
    return GPOINTER_TO_UINT (position);
  char *name = g_strdup (account);
  g_hash_table_insert (u->positions, name, GUINT_TO_POINTER (u->names->len));
  g_ptr_array_add (u->names, name);
  return u->names->len - 1;
}

static uint64_t *
get_count (struct usage *u, GArray *counts, const char *account)
{
  guint position = get_position (u, account);
  if (position >= counts->len)
    g_array_set_size (counts, position + 1);
  return &g_array_index (counts, uint64_t, position);
}

void
usage_count (struct usage *u, const char *account, int64_t time_ms)
{
  GArray *counts = get_counts (u, usage_window (u, time_ms), u->source);
  ++*get_count (u, counts, account);
}

void
usage_merge (struct usage *u, const struct usage_counts *message)
{
  g_autofree char *source = source_name (message->from, message->started_ms);
  if (strcmp (source, u->source) == 0 || message->window < u->first
      || message->window - u->first >= WINDOWS_MAX)
    return;
  GArray *counts = get_counts (u, message->window, source);
  for (guint i = 0; i < message->counts->len; i++)
    {
      const struct usage_entry *e
          = &g_array_index (message->counts, struct usage_entry, i);
      uint64_t *count = get_count (u, counts, e->account);
      *count = MAX (*count, e->count);
    }
}

void
usage_each_message (const struct usage *u, uint64_t window,
                    void (*send) (void *arg,
                                  const struct usage_counts *message),
                    void *arg)
{
  GHashTable *sources = g_hash_table_lookup (u->windows, &window);
  const GArray *counts
      = sources ? g_hash_table_lookup (sources, u->source) : NULL;
  if (counts == NULL)
    return;
  g_autoptr (GArray) list = record_list_create (&usage_entry_record);
  struct usage_counts message = { .from = u->vm,
                                  .started_ms = u->started_ms,
                                  .window = window,
                                  .counts = list };
  size_t bytes = 0;
  for (guint i = 0; i < counts->len; i++)
    {
      struct usage_entry e = { g_ptr_array_index (u->names, i),
                               g_array_index (counts, uint64_t, i) };
      size_t size = strlen (e.account) + COUNT_BYTES;
      if (e.count == 0)
        continue;
      if (list->len > 0 && bytes + size > USAGE_MESSAGE_BYTES)
        {
          send (arg, &message);
          g_array_set_size (list, 0);
          bytes = 0;
        }
      g_array_append_val (list, e);
      bytes += size;
    }
  if (list->len > 0)
    send (arg, &message);
}

static gint
compare_totals (gconstpointer a, gconstpointer b)
{
  return strcmp (((const struct usage_total *)a)->account,
                 ((const struct usage_total *)b)->account);
}

static uint64_t
sum_of (GHashTable *sources, guint position)
{
  uint64_t sum = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, sources);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const GArray *counts = value;
      if (position < counts->len)
        sum += g_array_index (counts, uint64_t, position);
    }
  return sum;
}

GArray *
usage_totals (const struct usage *u, uint64_t window)
{
  GArray *totals = g_array_new (FALSE, FALSE, sizeof (struct usage_total));
  GHashTable *sources = g_hash_table_lookup (u->windows, &window);
  for (guint i = 0; sources && i < u->names->len; i++)
    {
      struct usage_total t
          = { g_ptr_array_index (u->names, i), sum_of (sources, i) };
      if (t.count > 0)
        g_array_append_val (totals, t);
    }
  g_array_sort (totals, compare_totals);
  return totals;
}

static gboolean
is_outside (gpointer window, gpointer value, gpointer first)
{
  uint64_t w = *(const uint64_t *)window;
  uint64_t from = *(const uint64_t *)first;
  (void)value;
  return w < from || w - from >= WINDOWS_MAX;
}

void
usage_forget (struct usage *u, uint64_t first)
{
  u->first = first;
  g_hash_table_foreach_remove (u->windows, is_outside, &first);
}
