#include "decide/prefix_index.h"

unsigned
prompt_shared_parts (const struct prompt *p)
{
  return p->has_more_parts || p->n_parts == 0 ? p->n_parts : p->n_parts - 1;
}

char *
prompt_shared_parts_text (const struct prompt *p)
{
  GString *text = g_string_new (NULL);
  for (unsigned i = 0; i < prompt_shared_parts (p); i++)
    g_string_append_printf (text, "%s%" G_GINT64_MODIFIER "x",
                            i > 0 ? "," : "", p->parts[i].id);
  return g_string_free (text, FALSE);
}

/* One prompt part in the index.  */
struct entry
{
  uint64_t id;
  uint32_t tokens;
  int64_t used_ms;
  GList link; /* in struct prefix_index.order */
};

struct prefix_index
{
  GHashTable *entries; /* id -> struct entry */
  GQueue order;        /* struct entry, most recently used first */
  uint64_t capacity;   /* in tokens */
  uint64_t tokens;     /* sum over all entries */
};

struct prefix_index *
prefix_index_create (uint64_t tokens)
{
  struct prefix_index *p = g_new0 (struct prefix_index, 1);
  p->capacity = tokens;
  p->entries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&p->order);
  return p;
}

void
prefix_index_destroy (struct prefix_index *p)
{
  if (p == NULL)
    return;
  g_hash_table_destroy (p->entries);
  g_free (p);
}

void
prefix_index_set_capacity (struct prefix_index *p, uint64_t tokens)
{
  p->capacity = tokens;
}

static void
evict_oldest (struct prefix_index *p)
{
  GList *link = g_queue_pop_tail_link (&p->order);
  struct entry *e = link->data;
  p->tokens -= e->tokens;
  g_hash_table_remove (p->entries, &e->id);
}

static void
add_part (struct prefix_index *p, const struct prompt_part *part,
          int64_t now_ms)
{
  struct entry *e = g_hash_table_lookup (p->entries, &part->id);
  if (e == NULL)
    {
      e = g_new0 (struct entry, 1);
      e->id = part->id;
      e->tokens = part->tokens;
      e->link.data = e;
      p->tokens += e->tokens;
      g_hash_table_insert (p->entries, &e->id, e);
    }
  else
    g_queue_unlink (&p->order, &e->link);
  e->used_ms = now_ms;
  g_queue_push_head_link (&p->order, &e->link);
}

void
prefix_index_add (struct prefix_index *p, const struct prompt *prompt,
                  int64_t now_ms)
{
  for (unsigned i = 0; i < prompt->n_parts; i++)
    add_part (p, &prompt->parts[i], now_ms);
  while (p->tokens > p->capacity && p->order.length > prompt->n_parts)
    evict_oldest (p);
}

uint64_t
prefix_index_match (const struct prefix_index *p, const struct prompt *prompt)
{
  uint64_t tokens = 0;
  for (unsigned i = 0; i < prompt->n_parts; i++)
    {
      if (!g_hash_table_contains (p->entries, &prompt->parts[i].id))
        break;
      tokens += prompt->parts[i].tokens;
    }
  return tokens;
}

uint64_t
prefix_index_tokens (const struct prefix_index *p)
{
  return p->tokens;
}

void
prefix_index_clear (struct prefix_index *p)
{
  g_hash_table_remove_all (p->entries);
  g_queue_init (&p->order);
  p->tokens = 0;
}
