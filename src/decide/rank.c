#include "decide/rank.h"

#include <string.h>
#include <xxhash.h>

uint64_t
rank_pair (const char *item, const char *choice)
{
  return XXH64 (choice, strlen (choice), XXH64 (item, strlen (item), 0));
}

unsigned
rank_slot (const char *key, unsigned slots)
{
  return (unsigned)(XXH64 (key, strlen (key), 0) % slots);
}

/* The usable member that ranks highest for ITEM and matches; NULL matches
   all.  */
static const struct member *
first (const struct members *m, const char *item, const char *region,
       const char *failure_domain)
{
  const GPtrArray *all = members_all (m);
  const struct member *best = NULL;
  uint64_t best_rank = 0;
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
      uint64_t rank = rank_pair (item, c->info.id);
      if (best == NULL || rank > best_rank)
        {
          best = c;
          best_rank = rank;
        }
    }
  return best;
}

const struct member *
rank_engine_home (const struct members *m, const char *engine,
                  const char *region)
{
  const struct member *home = first (m, engine, region, NULL);
  return home ? home : first (m, engine, NULL, NULL);
}

const struct member *
rank_upstream_home (const struct members *m, const char *upstream,
                    const char *failure_domain)
{
  const struct member *home = first (m, upstream, NULL, failure_domain);
  return home ? home : first (m, upstream, NULL, NULL);
}

const struct member *
rank_domain_first (const struct members *m, const char *failure_domain)
{
  return first (m, failure_domain, NULL, failure_domain);
}

const struct member *
rank_order_holder (const struct members *m, const char *region)
{
  return rank_engine_home (m, region, region);
}

/* Calls VISIT with the first member of each failure domain.  */
static void
each_domain (const struct members *m,
             void (*visit) (void *arg, const struct member *first), void *arg)
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

struct best_writer
{
  char item[24];
  const struct member *best;
  uint64_t rank;
};

static void
visit_writer (void *arg, const struct member *first_of_domain)
{
  struct best_writer *b = arg;
  uint64_t rank = rank_pair (b->item, first_of_domain->info.id);
  if (b->best == NULL || rank > b->rank)
    {
      b->best = first_of_domain;
      b->rank = rank;
    }
}

const struct member *
rank_journal_writer (const struct members *m, unsigned slot)
{
  struct best_writer b = { .best = NULL };
  g_snprintf (b.item, sizeof b.item, "slot-%u", slot);
  each_domain (m, visit_writer, &b);
  return b.best;
}

static void
visit_count (void *arg, const struct member *first_of_domain)
{
  (void)first_of_domain;
  ++*(unsigned *)arg;
}

unsigned
rank_domain_count (const struct members *m)
{
  unsigned n = 0;
  each_domain (m, visit_count, &n);
  return n;
}
