#include "daemon/load_link.h"

#include "decide/load_reports.h"
#include "decide/rank.h"

#include <string.h>

/* Up to this many VMs, each tells every other.  */
#define DIRECT_VMS_MAX 12
/* What was told counts for as long.  */
#define FRESH_MS 1500
/* Name under which the load of all other VMs is kept.  */
#define ALL_OTHERS "all-others"

/* Whose load a message tells.  */
enum scope
{
  SCOPE_VM,     /* of its sender, for every VM */
  SCOPE_PART,   /* of its sender, for the first VM of its domain */
  SCOPE_DOMAIN, /* of its sender's domain, for the first VMs of others */
  SCOPE_ALL     /* of all VMs, for those of the sender's domain */
};

struct load_link
{
  struct load_link_parts parts;
  struct load_reports *near; /* of this domain's VMs, by VM */
  struct load_reports *far;  /* of other domains, by their first VM */
};

/* Messages.  */

static void
add_share (struct upstream_shares *m, const char *upstream,
           const struct upstream_load *load)
{
  struct upstream_share s = { .running = load->running,
                              .generating = load->generating,
                              .tokens = load->tokens,
                              .quiet_ms = load->quiet_ms };
  if (load->running == 0 && load->tokens == 0)
    return;
  s.upstream = g_strdup (upstream);
  g_array_append_val (m->shares, s);
}

static void
message_start (const struct load_link *l, enum scope scope,
               struct upstream_shares *m)
{
  memset (m, 0, sizeof *m);
  record_init (&upstream_shares_record, m);
  g_free (m->from);
  m->from = g_strdup (l->parts.vm);
  m->scope = scope;
}

static void
add_table (struct upstream_shares *m, GHashTable *table)
{
  GHashTableIter it;
  gpointer id;
  gpointer load;
  g_hash_table_iter_init (&it, table);
  while (g_hash_table_iter_next (&it, &id, &load))
    add_share (m, id, load);
}

struct own_fill
{
  const struct upstreams *upstreams;
  GHashTable *table;
  int64_t now_ms;
};

static void
add_own (void *arg, const char *id, upstream_handle h)
{
  struct own_fill *f = arg;
  struct upstream_load load = upstreams_own_load (f->upstreams, h);
  load.quiet_ms = upstreams_last_byte_age_ms (f->upstreams, h, f->now_ms);
  load_table_add (f->table, id, &load);
}

/* This VM's own load; upstreams without any are left out.  */
static GHashTable *
own_table (const struct load_link *l, int64_t now_ms)
{
  struct own_fill f = { l->parts.upstreams, load_table_create (), now_ms };
  upstreams_foreach_loaded (l->parts.upstreams, add_own, &f);
  return f.table;
}

/* Telling.  */

static void
send_to_domain (struct load_link *l, const struct upstream_shares *m,
                const char *failure_domain)
{
  const GPtrArray *all = members_all (l->parts.members);
  for (guint i = 1; i < all->len; i++)
    {
      const struct member *to = g_ptr_array_index (all, i);
      if (member_live (to)
          && (failure_domain == NULL
              || strcmp (to->info.failure_domain, failure_domain) == 0))
        l->parts.send (l->parts.arg, to, m);
    }
}

/* To the first VM of each other domain.  */
static void
send_to_firsts (struct load_link *l, const struct upstream_shares *m)
{
  const GPtrArray *all = members_all (l->parts.members);
  for (guint i = 1; i < all->len; i++)
    {
      const struct member *to = g_ptr_array_index (all, i);
      const char *domain = to->info.failure_domain;
      if (strcmp (domain, l->parts.failure_domain) != 0
          && rank_domain_first (l->parts.members, domain) == to)
        l->parts.send (l->parts.arg, to, m);
    }
}

/* The load of all VMs but this one, from the sum TABLE of all.  */
static void
hear_all (struct load_link *l, GHashTable *table, int64_t now_ms)
{
  g_autoptr (GHashTable) own = own_table (l, now_ms);
  GHashTableIter it;
  gpointer id;
  gpointer load;
  g_hash_table_iter_init (&it, own);
  while (g_hash_table_iter_next (&it, &id, &load))
    load_table_subtract (table, id, load);
  upstreams_clear_peer_loads (l->parts.upstreams, ALL_OTHERS);
  g_hash_table_iter_init (&it, table);
  while (g_hash_table_iter_next (&it, &id, &load))
    upstreams_set_peer_load (l->parts.upstreams, ALL_OTHERS, id, load, now_ms);
}

/* As first VM of its domain.  */
static void
tell_sums (struct load_link *l, int64_t now_ms)
{
  struct upstream_shares m;
  g_autoptr (GHashTable) sum = own_table (l, now_ms);
  load_reports_sum_into (l->near, now_ms, sum);
  message_start (l, SCOPE_DOMAIN, &m);
  add_table (&m, sum);
  send_to_firsts (l, &m);
  record_clear (&upstream_shares_record, &m);
  load_reports_sum_into (l->far, now_ms, sum);
  message_start (l, SCOPE_ALL, &m);
  add_table (&m, sum);
  send_to_domain (l, &m, l->parts.failure_domain);
  record_clear (&upstream_shares_record, &m);
  hear_all (l, sum, now_ms);
}

static void
tell_own (struct load_link *l, enum scope scope, const struct member *first,
          int64_t now_ms)
{
  struct upstream_shares m;
  g_autoptr (GHashTable) own = own_table (l, now_ms);
  message_start (l, scope, &m);
  add_table (&m, own);
  if (first)
    l->parts.send (l->parts.arg, first, &m);
  else
    send_to_domain (l, &m, NULL);
  record_clear (&upstream_shares_record, &m);
}

void
load_link_tell (struct load_link *l, int64_t now_ms)
{
  const struct members *members = l->parts.members;
  const struct member *self = g_ptr_array_index (members_all (members), 0);
  const struct member *first
      = rank_domain_first (members, l->parts.failure_domain);
  if (members_count_live (members) <= DIRECT_VMS_MAX)
    tell_own (l, SCOPE_VM, NULL, now_ms);
  else if (first == self)
    tell_sums (l, now_ms);
  else if (first)
    tell_own (l, SCOPE_PART, first, now_ms);
}

/* Hearing.  */

static struct upstream_load
load_of (const struct upstream_share *s)
{
  return (struct upstream_load){ .running = (uint32_t)s->running,
                                 .generating = (uint32_t)s->generating,
                                 .tokens = s->tokens,
                                 .quiet_ms = (uint32_t)s->quiet_ms };
}

static void
take_into (struct load_reports *sums, const struct upstream_shares *m,
           int64_t now_ms)
{
  load_reports_begin (sums, m->from, now_ms);
  for (guint i = 0; i < m->shares->len; i++)
    {
      const struct upstream_share *s
          = &g_array_index (m->shares, struct upstream_share, i);
      struct upstream_load load = load_of (s);
      load_reports_add (sums, m->from, s->upstream, &load);
    }
}

static void
take_vm (struct load_link *l, const struct upstream_shares *m, int64_t now_ms)
{
  upstreams_clear_peer_loads (l->parts.upstreams, m->from);
  for (guint i = 0; i < m->shares->len; i++)
    {
      const struct upstream_share *s
          = &g_array_index (m->shares, struct upstream_share, i);
      struct upstream_load load = load_of (s);
      upstreams_set_peer_load (l->parts.upstreams, m->from, s->upstream, &load,
                               now_ms);
    }
}

static void
take_all (struct load_link *l, const struct upstream_shares *m, int64_t now_ms)
{
  g_autoptr (GHashTable) table = load_table_create ();
  for (guint i = 0; i < m->shares->len; i++)
    {
      const struct upstream_share *s
          = &g_array_index (m->shares, struct upstream_share, i);
      struct upstream_load load = load_of (s);
      load_table_add (table, s->upstream, &load);
    }
  hear_all (l, table, now_ms);
}

void
load_link_take (struct load_link *l, const struct upstream_shares *m,
                int64_t now_ms)
{
  switch (m->scope)
    {
    case SCOPE_VM:
      take_vm (l, m, now_ms);
      break;
    case SCOPE_PART:
      take_into (l->near, m, now_ms);
      break;
    case SCOPE_DOMAIN:
      take_into (l->far, m, now_ms);
      break;
    default:
      take_all (l, m, now_ms);
      break;
    }
}

/* Making and releasing.  */

struct load_link *
load_link_create (const struct load_link_parts *parts)
{
  struct load_link *l = g_new0 (struct load_link, 1);
  l->parts = *parts;
  l->near = load_reports_create (FRESH_MS);
  l->far = load_reports_create (FRESH_MS);
  return l;
}

void
load_link_destroy (struct load_link *l)
{
  if (l == NULL)
    return;
  load_reports_destroy (l->near);
  load_reports_destroy (l->far);
  g_free (l);
}
