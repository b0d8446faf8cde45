#include "decide/rank.h"

#include <string.h>
#include <xxhash.h>

uint64_t
rank_weight (const char *item, const char *node)
{
  return XXH64 (node, strlen (node), XXH64 (item, strlen (item), 0));
}

unsigned
rank_journal_slot (const char *key, unsigned slots)
{
  return (unsigned)(XXH64 (key, strlen (key), 0) % slots);
}

/* Usable member of REGION and FAILURE_DOMAIN with the highest weight for ITEM.
   A REGION or FAILURE_DOMAIN of NULL matches every member.  */
static const struct member *
top_ranked (const struct members *m, const char *item, const char *region,
            const char *failure_domain)
{
  const GPtrArray *all = members_all (m);
  const struct member *best = NULL;
  uint64_t best_weight = 0;
  if (item == NULL)
    return NULL;
  for (guint i = 0; i < all->len; i++)
    {
      const struct member *c = g_ptr_array_index (all, i);
      if (!member_usable (c)
          || (region && strcmp (c->info.region, region) != 0)
          || (failure_domain
              && strcmp (c->info.failure_domain, failure_domain) != 0))
        continue;
      uint64_t weight = rank_weight (item, c->info.id);
      if (best == NULL || weight > best_weight)
        {
          best = c;
          best_weight = weight;
        }
    }
  return best;
}

const struct member *
rank_engine_home (const struct members *m, const char *engine,
                  const char *region)
{
  const struct member *home = top_ranked (m, engine, region, NULL);
  return home ? home : top_ranked (m, engine, NULL, NULL);
}

const struct member *
rank_upstream_home (const struct members *m, const char *upstream,
                    const char *failure_domain)
{
  const struct member *home = top_ranked (m, upstream, NULL, failure_domain);
  return home ? home : top_ranked (m, upstream, NULL, NULL);
}

const struct member *
rank_domain_first (const struct members *m, const char *failure_domain)
{
  return top_ranked (m, failure_domain, NULL, failure_domain);
}

const struct member *
rank_order_holder (const struct members *m, const char *region)
{
  return rank_engine_home (m, region, region);
}

unsigned
rank_order_place (const struct members *m, const char *region, const char *vm)
{
  const GPtrArray *all = members_all (m);
  uint64_t own_weight = rank_weight (region, vm);
  unsigned above = 0;
  bool usable = false;
  for (guint i = 0; i < all->len; i++)
    {
      const struct member *c = g_ptr_array_index (all, i);
      if (!member_usable (c) || strcmp (c->info.region, region) != 0)
        continue;
      if (strcmp (c->info.id, vm) == 0)
        usable = true;
      else if (rank_weight (region, c->info.id) > own_weight)
        above++;
    }
  return usable ? above : G_MAXUINT;
}

const struct member *
rank_order_at (const struct members *m, const char *region, unsigned place)
{
  const GPtrArray *all = members_all (m);
  for (guint i = 0; i < all->len; i++)
    {
      const struct member *c = g_ptr_array_index (all, i);
      if (member_usable (c)
          && rank_order_place (m, region, c->info.id) == place)
        return c;
    }
  return NULL;
}

/* Calls VISIT with the top-ranked usable member of each failure domain.  */
static void
for_each_domain (const struct members *m,
                 void (*visit) (void *arg, const struct member *top_ranked),
                 void *arg)
{
  const GPtrArray *all = members_all (m);
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < all->len; i++)
    {
      const struct member *c = g_ptr_array_index (all, i);
      if (!member_usable (c)
          || !g_hash_table_add (seen, c->info.failure_domain))
        continue;
      visit (arg, rank_domain_first (m, c->info.failure_domain));
    }
}

/* Journal writer with the highest weight for ITEM so far.  */
struct best_writer
{
  char item[24];
  const struct member *best;
  uint64_t weight;
};

static void
visit_writer (void *arg, const struct member *top_of_domain)
{
  struct best_writer *b = arg;
  uint64_t weight = rank_weight (b->item, top_of_domain->info.id);
  if (b->best == NULL || weight > b->weight)
    {
      b->best = top_of_domain;
      b->weight = weight;
    }
}

const struct member *
rank_journal_writer (const struct members *m, unsigned slot)
{
  struct best_writer b = { .best = NULL };
  g_snprintf (b.item, sizeof b.item, "slot-%u", slot);
  for_each_domain (m, visit_writer, &b);
  return b.best;
}

static void
visit_count (void *arg, const struct member *top_of_domain)
{
  (void)top_of_domain;
  ++*(unsigned *)arg;
}

unsigned
rank_domain_count (const struct members *m)
{
  unsigned n = 0;
  for_each_domain (m, visit_count, &n);
  return n;
}
