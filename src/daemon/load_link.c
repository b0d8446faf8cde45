#include "daemon/load_link.h"

#include "decide/load_reports.h"
#include "decide/rank.h"

#include <string.h>

/* Up to this many running VMs, each reports to every other.  */
#define FULL_MESH_VMS_MAX 12
/* Reports that are older do not count in the sums.  */
#define REPORT_TTL_MS 1500
/* A report is continued in another message beyond this size, estimated from
   the names of the upstreams and SHARE_BYTES for the numbers of each: a
   datagram has to fit GOSSIP_DATAGRAM_MAX_BYTES.  */
#define REPORT_BYTES 1000
#define SHARE_BYTES 35
/* Source name in the table of upstreams for the summed load of all other
   VMs.  */
#define ALL_OTHERS "all-others"

/* Whose load a report holds and which VMs it is for; a number on the wire.  */
enum scope
{
  SCOPE_VM,           /* load of the sender, for every VM */
  SCOPE_VM_OF_DOMAIN, /* load of the sender, for its domain's aggregator */
  SCOPE_DOMAIN,       /* load of the sender's domain, for other aggregators */
  SCOPE_ALL           /* load of all VMs, for the VMs of the sender's domain */
};

struct load_link
{
  struct load_link_parts parts;
  /* domain_loads and remote_loads are filled while this VM is the aggregator
     of its domain.  */
  struct load_reports *domain_loads; /* loads of this domain's VMs, by VM */
  struct load_reports *remote_loads; /* other domains' loads, by aggregator */
};

/* Building reports.  */

/* Adds LOAD on UPSTREAM to M, unless LOAD is zero.  */
static void
add_share (struct upstream_shares *m, const char *upstream,
           const struct upstream_load *load)
{
  struct upstream_share s = { .running = load->running,
                              .generating = load->generating,
                              .tokens = load->tokens,
                              .quiet_ms = load->quiet_ms,
                              .events_left = load->events_left,
                              .gap_us = load->gap_us,
                              .gap_events = load->gap_events };
  if (load->running == 0 && load->tokens == 0)
    return;
  s.upstream = g_strdup (upstream);
  g_array_append_val (m->shares, s);
}

static void
message_init (const struct load_link *l, enum scope scope,
              struct upstream_shares *m)
{
  memset (m, 0, sizeof *m);
  record_init (&upstream_shares_record, m);
  g_free (m->from);
  m->from = g_strdup (l->parts.vm);
  m->scope = scope;
}

/* Argument of add_own_load.  */
struct own_load_visit
{
  const struct upstreams *upstreams;
  GHashTable *table;
  int64_t now_ms;
};

static void
add_own_load (void *arg, const char *id, upstream_handle h)
{
  struct own_load_visit *v = arg;
  struct upstream_load load = upstreams_own_load (v->upstreams, h);
  load.quiet_ms = upstreams_last_byte_age_ms (v->upstreams, h, v->now_ms);
  upstreams_add_stream_load (v->upstreams, h, v->now_ms, &load);
  load_table_add (v->table, id, &load);
}

/* Returns a table of this VM's own load, without upstreams that have none.  */
static GHashTable *
create_own_table (const struct load_link *l, int64_t now_ms)
{
  struct own_load_visit v
      = { l->parts.upstreams, load_table_create (), now_ms };
  upstreams_foreach_loaded (l->parts.upstreams, add_own_load, &v);
  return v.table;
}

/* Sending reports.  */

/* Sends M to the other running VMs of FAILURE_DOMAIN, or to all of them if it
   is NULL.  */
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

/* Sends M to the aggregator of each other failure domain.  */
static void
send_to_aggregators (struct load_link *l, const struct upstream_shares *m)
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

/* Receivers of a report: VM, unless it is NULL; or else the aggregators of the
   other failure domains; or else the VMs of DOMAIN, or all if it is NULL.  */
struct receivers
{
  const struct member *vm;
  bool aggregators;
  const char *domain;
};

static void
send_message (struct load_link *l, const struct upstream_shares *m,
              const struct receivers *to)
{
  if (to->vm)
    l->parts.send (l->parts.arg, to->vm, m);
  else if (to->aggregators)
    send_to_aggregators (l, m);
  else
    send_to_domain (l, m, to->domain);
}

/* Sends TABLE as a report, also if it is empty.  */
static void
send_report (struct load_link *l, enum scope scope, GHashTable *table,
             const struct receivers *to)
{
  struct upstream_shares m;
  GHashTableIter it;
  gpointer id;
  gpointer load;
  size_t size = 0;
  message_init (l, scope, &m);
  g_hash_table_iter_init (&it, table);
  while (g_hash_table_iter_next (&it, &id, &load))
    {
      size_t more = strlen (id) + SHARE_BYTES;
      if (size > 0 && size + more > REPORT_BYTES)
        {
          send_message (l, &m, to);
          record_clear (&upstream_shares_record, &m);
          message_init (l, scope, &m);
          m.continues = true;
          size = 0;
        }
      add_share (&m, id, load);
      size += more;
    }
  send_message (l, &m, to);
  record_clear (&upstream_shares_record, &m);
}

/* Sets the load of all other VMs: TABLE, the sum of all VMs, less this VM's
   own load.  If it CONTINUES a report, the upstreams that it does not name
   keep their load.  Changes TABLE.  */
static void
set_others_load (struct load_link *l, GHashTable *table, bool continues,
                 int64_t now_ms)
{
  g_autoptr (GHashTable) own = create_own_table (l, now_ms);
  GHashTableIter it;
  gpointer id;
  gpointer load;
  g_hash_table_iter_init (&it, own);
  while (g_hash_table_iter_next (&it, &id, &load))
    load_table_subtract (table, id, load);
  if (!continues)
    upstreams_clear_peer_loads (l->parts.upstreams, ALL_OTHERS);
  g_hash_table_iter_init (&it, table);
  while (g_hash_table_iter_next (&it, &id, &load))
    upstreams_set_peer_load (l->parts.upstreams, ALL_OTHERS, id, load, now_ms);
}

/* Sends reports as the aggregator of a domain: the sum of the domain to the
   other aggregators, the sum of the fleet to the VMs of the domain.  */
static void
send_sums (struct load_link *l, int64_t now_ms)
{
  static const struct receivers aggregators = { .aggregators = true };
  struct receivers domain = { .domain = l->parts.failure_domain };
  g_autoptr (GHashTable) sum = create_own_table (l, now_ms);
  load_reports_sum_into (l->domain_loads, now_ms, sum);
  send_report (l, SCOPE_DOMAIN, sum, &aggregators);
  load_reports_sum_into (l->remote_loads, now_ms, sum);
  send_report (l, SCOPE_ALL, sum, &domain);
  set_others_load (l, sum, false, now_ms);
}

/* Sends this VM's own load to AGGREGATOR, or to all VMs if it is NULL.  */
static void
send_own (struct load_link *l, enum scope scope,
          const struct member *aggregator, int64_t now_ms)
{
  struct receivers to = { .vm = aggregator };
  g_autoptr (GHashTable) own = create_own_table (l, now_ms);
  send_report (l, scope, own, &to);
}

void
load_link_send_reports (struct load_link *l, int64_t now_ms)
{
  const struct members *members = l->parts.members;
  const struct member *self = g_ptr_array_index (members_all (members), 0);
  const struct member *aggregator
      = rank_domain_first (members, l->parts.failure_domain);
  if (members_count_live (members) <= FULL_MESH_VMS_MAX)
    send_own (l, SCOPE_VM, NULL, now_ms);
  else if (aggregator == self)
    send_sums (l, now_ms);
  else if (aggregator)
    send_own (l, SCOPE_VM_OF_DOMAIN, aggregator, now_ms);
}

/* Receiving reports.  */

static struct upstream_load
share_load (const struct upstream_share *s)
{
  return (struct upstream_load){ .running = (uint32_t)s->running,
                                 .generating = (uint32_t)s->generating,
                                 .tokens = s->tokens,
                                 .quiet_ms = (uint32_t)s->quiet_ms,
                                 .events_left = (uint32_t)s->events_left,
                                 .gap_us = (uint32_t)s->gap_us,
                                 .gap_events = (uint32_t)s->gap_events };
}

/* Replaces the report of M's sender in SUMS, or continues it.  */
static void
store_report (struct load_reports *sums, const struct upstream_shares *m,
              int64_t now_ms)
{
  if (!m->continues)
    load_reports_begin (sums, m->from, now_ms);
  for (guint i = 0; i < m->shares->len; i++)
    {
      const struct upstream_share *s
          = &g_array_index (m->shares, struct upstream_share, i);
      struct upstream_load load = share_load (s);
      load_reports_add (sums, m->from, s->upstream, &load);
    }
}

static void
handle_vm_load (struct load_link *l, const struct upstream_shares *m,
                int64_t now_ms)
{
  if (!m->continues)
    upstreams_clear_peer_loads (l->parts.upstreams, m->from);
  for (guint i = 0; i < m->shares->len; i++)
    {
      const struct upstream_share *s
          = &g_array_index (m->shares, struct upstream_share, i);
      struct upstream_load load = share_load (s);
      upstreams_set_peer_load (l->parts.upstreams, m->from, s->upstream, &load,
                               now_ms);
    }
}

static void
handle_total_load (struct load_link *l, const struct upstream_shares *m,
                   int64_t now_ms)
{
  g_autoptr (GHashTable) table = load_table_create ();
  for (guint i = 0; i < m->shares->len; i++)
    {
      const struct upstream_share *s
          = &g_array_index (m->shares, struct upstream_share, i);
      struct upstream_load load = share_load (s);
      load_table_add (table, s->upstream, &load);
    }
  set_others_load (l, table, m->continues, now_ms);
}

void
load_link_handle_report (struct load_link *l, const struct upstream_shares *m,
                         int64_t now_ms)
{
  switch (m->scope)
    {
    case SCOPE_VM:
      handle_vm_load (l, m, now_ms);
      break;
    case SCOPE_VM_OF_DOMAIN:
      store_report (l->domain_loads, m, now_ms);
      break;
    case SCOPE_DOMAIN:
      store_report (l->remote_loads, m, now_ms);
      break;
    default:
      handle_total_load (l, m, now_ms);
      break;
    }
}

/* Creation and destruction.  */

struct load_link *
load_link_create (const struct load_link_parts *parts)
{
  struct load_link *l = g_new0 (struct load_link, 1);
  l->parts = *parts;
  l->domain_loads = load_reports_create (REPORT_TTL_MS);
  l->remote_loads = load_reports_create (REPORT_TTL_MS);
  return l;
}

void
load_link_destroy (struct load_link *l)
{
  if (l == NULL)
    return;
  load_reports_destroy (l->domain_loads);
  load_reports_destroy (l->remote_loads);
  g_free (l);
}
