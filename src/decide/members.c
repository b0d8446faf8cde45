#include "decide/members.h"

#include "config.h"
#include "decide/rank.h"

#include <string.h>
#include <xxhash.h>

/* A member whose state is still to be gossiped, in a bounded number of
   messages.  */
struct pending_update
{
  struct member *member;
  unsigned transmissions;
};

/* A probe in flight.  A probe of another region that is not answered does not
   make its target suspect.  */
struct probe
{
  struct member *target; /* NULL: no probe in flight */
  uint64_t seq;
  int64_t sent_ms;
  bool indirect_sent;
};

/* A probe made on behalf of another VM, which sent GOSSIP_PING_REQ from
   IP:PORT.  */
struct relayed_probe
{
  uint64_t seq;
  uint64_t requester_seq;
  char *ip;
  uint16_t port;
  int64_t sent_ms;
};

struct members
{
  GPtrArray *list; /* struct member *; the first is this VM */
  GHashTable *by_id;
  struct member *self;
  GRand *rand;
  GArray *pending_updates;
  GPtrArray *probe_queue; /* members to probe, in random order; the last is
                             next */
  struct probe probe;
  struct probe remote_probe; /* of a bridge of another region */
  GArray *relayed;
  uint64_t seq;
  uint64_t version;
  uint64_t false_removals;
  struct gossip_revisions revisions; /* sent with this VM's messages */
  int64_t next_probe_ms;
  int64_t ticked_ms;
  unsigned push_rounds;    /* ticks left in which updates are pushed to a few
                              members without waiting for the next probe */
  uint64_t digest;         /* of this VM's region */
  uint64_t digest_version; /* version + 1 for which digest holds; 0: none */
  int64_t changed_ms;      /* when a member was added or changed last */
  int64_t next_sync_ms;    /* no member list is requested before this time */
};

static const char *const status_names[]
    = { "alive", "leaving", "suspect", "dead", "left" };

const char *
member_status_name (uint64_t status)
{
  return status < G_N_ELEMENTS (status_names) ? status_names[status] : "?";
}

/* Low bits of an incarnation, counted up within one start of the process; the
   bits above hold the wall-clock time of the start in ms.  */
#define REFUTATION_BITS 16

uint64_t
member_first_incarnation (int64_t wall_ms)
{
  return (uint64_t)wall_ms << REFUTATION_BITS;
}

bool
member_same_start (uint64_t a, uint64_t b)
{
  return a >> REFUTATION_BITS == b >> REFUTATION_BITS;
}

char *
member_process_name (const char *vm, uint64_t incarnation)
{
  return g_strdup_printf ("%s:%" G_GUINT64_FORMAT, vm, (guint64)incarnation);
}

bool
member_process_split (const char *name, char **vm, uint64_t *incarnation)
{
  const char *colon = strrchr (name, ':');
  if (colon == NULL)
    return false;
  *vm = g_strndup (name, (gsize)(colon - name));
  *incarnation = g_ascii_strtoull (colon + 1, NULL, 10);
  return true;
}

bool
member_usable (const struct member *m)
{
  return !m->leaving
         && (m->info.status == MEMBER_ALIVE
             || m->info.status == MEMBER_SUSPECT);
}

bool
member_live (const struct member *m)
{
  return m->info.status < MEMBER_DEAD;
}

unsigned
members_count_live (const struct members *m)
{
  unsigned n = 1;
  for (guint i = 1; i < m->list->len; i++)
    n += member_live (g_ptr_array_index (m->list, i));
  return n;
}

/* Creation, release and lookup.  */

static void
member_free (void *p)
{
  struct member *m = p;
  record_clear (&member_update_record, &m->info);
  g_free (m);
}

static void
info_copy (struct member_update *to, const struct member_update *from)
{
  record_clear (&member_update_record, to);
  *to = *from;
  to->id = g_strdup (from->id);
  to->ip = g_strdup (from->ip);
  to->region = g_strdup (from->region);
  to->failure_domain = g_strdup (from->failure_domain);
}

static void
out_clear (void *p)
{
  struct gossip_out *o = p;
  g_free (o->ip);
  record_clear (&gossip_record, &o->message);
}

GArray *
gossip_out_create (void)
{
  GArray *out = g_array_new (FALSE, TRUE, sizeof (struct gossip_out));
  g_array_set_clear_func (out, out_clear);
  return out;
}

static void
relayed_probe_clear (void *p)
{
  struct relayed_probe *r = p;
  g_free (r->ip);
}

static struct member *
member_add (struct members *m, const struct member_update *info,
            int64_t now_ms)
{
  struct member *new = g_new0 (struct member, 1);
  info_copy (&new->info, info);
  new->leaving = info->status == MEMBER_LEAVING;
  new->changed_ms = now_ms;
  g_ptr_array_add (m->list, new);
  g_hash_table_insert (m->by_id, g_strdup (new->info.id), new);
  return new;
}

struct members *
members_create (const struct member_update *self, uint64_t seed,
                int64_t now_ms)
{
  struct members *m = g_new0 (struct members, 1);
  m->list = g_ptr_array_new_with_free_func (member_free);
  m->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  m->rand = g_rand_new_with_seed ((guint32)seed);
  m->pending_updates
      = g_array_new (FALSE, TRUE, sizeof (struct pending_update));
  m->probe_queue = g_ptr_array_new ();
  m->relayed = g_array_new (FALSE, TRUE, sizeof (struct relayed_probe));
  g_array_set_clear_func (m->relayed, relayed_probe_clear);
  m->self = member_add (m, self, now_ms);
  m->ticked_ms = now_ms;
  m->next_probe_ms
      = now_ms + g_rand_int_range (m->rand, 0, MEMBERS_PROBE_INTERVAL_MS);
  return m;
}

void
members_destroy (struct members *m)
{
  if (m == NULL)
    return;
  g_ptr_array_unref (m->probe_queue);
  g_hash_table_destroy (m->by_id);
  g_ptr_array_unref (m->list);
  g_array_unref (m->pending_updates);
  g_array_unref (m->relayed);
  g_rand_free (m->rand);
  g_free (m);
}

const struct member *
members_find (const struct members *m, const char *vm)
{
  return g_hash_table_lookup (m->by_id, vm);
}

const GPtrArray *
members_all (const struct members *m)
{
  return m->list;
}

uint64_t
members_version (const struct members *m)
{
  return m->version;
}

uint64_t
members_false_removals (const struct members *m)
{
  return m->false_removals;
}

static bool
same_region (const struct members *m, const struct member *other)
{
  return strcmp (m->self->info.region, other->info.region) == 0;
}

bool
members_is_bridge (const struct members *m, const char *vm)
{
  const struct member *candidate = members_find (m, vm);
  if (candidate == NULL || !member_live (candidate))
    return false;
  uint64_t rank = rank_weight (candidate->info.failure_domain, vm);
  unsigned higher = 0;
  for (guint i = 0; i < m->list->len; i++)
    {
      const struct member *o = g_ptr_array_index (m->list, i);
      if (o != candidate && member_usable (o)
          && strcmp (o->info.failure_domain, candidate->info.failure_domain)
                 == 0
          && rank_weight (o->info.failure_domain, o->info.id) > rank)
        higher++;
    }
  return higher < MEMBERS_BRIDGES_PER_DOMAIN;
}

/* Updates that are still to be gossiped.  */

static void
update_enqueue (struct members *m, struct member *member)
{
  m->push_rounds = MEMBERS_PUSH_ROUNDS;
  for (guint i = 0; i < m->pending_updates->len; i++)
    {
      struct pending_update *p
          = &g_array_index (m->pending_updates, struct pending_update, i);
      if (p->member == member)
        {
          p->transmissions = 0;
          return;
        }
    }
  struct pending_update p = { member, 0 };
  g_array_append_val (m->pending_updates, p);
}

static void
update_dequeue (struct members *m, const struct member *member)
{
  for (guint i = 0; i < m->pending_updates->len; i++)
    if (g_array_index (m->pending_updates, struct pending_update, i).member
        == member)
      {
        g_array_remove_index_fast (m->pending_updates, i);
        return;
      }
}

/* How many messages carry an update: it grows with the logarithm of the number
   of members, as gossip needs that many rounds to reach all.  */
static unsigned
transmission_limit (const struct members *m)
{
  unsigned bits = 1;
  while ((1U << bits) < m->list->len + 1)
    bits++;
  return MEMBERS_RESEND_FACTOR * bits;
}

/* Upper estimate of the bytes that an update takes in a datagram.  */
static size_t
update_size (const struct member_update *u)
{
  return strlen (u->id) + strlen (u->ip) + strlen (u->region)
         + strlen (u->failure_domain) + 40;
}

static void
update_add (struct gossip *g, const struct member *member)
{
  struct member_update copy = { 0 };
  info_copy (&copy, &member->info);
  g_array_append_val (g->updates, copy);
}

static gint
compare_transmissions (gconstpointer a, gconstpointer b)
{
  const struct pending_update *x = a, *y = b;
  return x->transmissions < y->transmissions
             ? -1
             : x->transmissions > y->transmissions;
}

/* Adds to G the pending updates that were sent least often, as many as fit in
   a datagram.  300 bytes are left for the other fields of the message.  */
static void
updates_add_pending (struct members *m, struct gossip *g)
{
  size_t room = GOSSIP_MAX_BYTES - 300;
  g_array_sort (m->pending_updates, compare_transmissions);
  guint i = 0;
  while (i < m->pending_updates->len)
    {
      struct pending_update *p
          = &g_array_index (m->pending_updates, struct pending_update, i);
      size_t size = update_size (&p->member->info);
      if (size > room)
        break;
      room -= size;
      update_add (g, p->member);
      if (++p->transmissions >= transmission_limit (m))
        g_array_remove_index_fast (m->pending_updates, i);
      else
        i++;
    }
}

/* Digests of the live members of a region.  */

static uint64_t
region_digest (const struct members *m, const char *region)
{
  uint64_t digest = 0;
  for (guint i = 0; i < m->list->len; i++)
    {
      const struct member *member = g_ptr_array_index (m->list, i);
      if (member_live (member) && strcmp (member->info.region, region) == 0)
        digest ^= XXH64 (member->info.id, strlen (member->info.id),
                         member->info.incarnation + member->leaving);
    }
  return digest;
}

static uint64_t
own_digest (struct members *m)
{
  if (m->digest_version != m->version + 1)
    {
      m->digest = region_digest (m, m->self->info.region);
      m->digest_version = m->version + 1;
    }
  return m->digest;
}

/* Messages to send.  */

/* Appends a message without updates for IP:PORT to OUT.  Returns the message,
   which is valid until the next one is appended.  */
static struct gossip *
send_message (struct members *m, GArray *out, const char *ip, uint16_t port,
              unsigned kind, uint64_t seq, const char *target)
{
  struct gossip_out o = { .ip = g_strdup (ip), .port = port };
  o.message.kind = kind;
  o.message.seq = seq;
  o.message.from = g_strdup (m->self->info.id);
  o.message.target = g_strdup (target);
  o.message.after = g_strdup ("");
  o.message.revision = m->self->revision;
  o.message.age_ms = m->revisions.age_ms;
  o.message.upstreams_revision = m->revisions.upstreams_revision;
  o.message.upstreams_age_ms = m->revisions.upstreams_age_ms;
  o.message.digest = own_digest (m);
  o.message.updates = record_list_create (&member_update_record);
  g_array_append_val (out, o);
  return &g_array_index (out, struct gossip_out, out->len - 1).message;
}

/* Appends a message for member TO to OUT, with pending updates.  */
static void
send_to (struct members *m, GArray *out, const struct member *to,
         unsigned kind, uint64_t seq, const char *target)
{
  struct gossip *g = send_message (
      m, out, to->info.ip, (uint16_t)to->info.peer_port, kind, seq, target);
  /* A suspect gets the update about itself first, so that it can refute the
     suspicion.  */
  if (to->info.status == MEMBER_SUSPECT)
    update_add (g, to);
  updates_add_pending (m, g);
}

void
members_join (struct members *m, const char *ip, uint16_t port, GArray *out)
{
  struct gossip *g
      = send_message (m, out, ip, port, GOSSIP_JOIN, ++m->seq, "");
  update_add (g, m->self);
}

/* Changes of member state.  */

static void
set_status (struct members *m, struct member *member, uint64_t status,
            int64_t now_ms)
{
  member->info.status = status;
  member->changed_ms = now_ms;
  m->changed_ms = now_ms;
  if (status == MEMBER_LEAVING)
    member->leaving = true;
  m->version++;
  update_enqueue (m, member);
}

/* Handles an update about this VM itself.  If the update reports a later
   status than the actual one, or a higher incarnation, this VM raises its
   incarnation above it and gossips that.  */
static void
refute (struct members *m, const struct member_update *u, int64_t now_ms)
{
  struct member_update *self = &m->self->info;
  if (u->incarnation < self->incarnation
      || (u->incarnation == self->incarnation && u->status <= self->status))
    return;
  self->incarnation = u->incarnation + 1;
  m->version++;
  m->changed_ms = now_ms;
  update_enqueue (m, m->self);
}

static bool
update_is_newer (const struct member *known, const struct member_update *u)
{
  if (u->incarnation != known->info.incarnation)
    return u->incarnation > known->info.incarnation;
  return u->status > known->info.status;
}

static void
apply_update (struct members *m, const struct member_update *u, int64_t now_ms)
{
  if (strcmp (u->id, m->self->info.id) == 0)
    {
      refute (m, u, now_ms);
      return;
    }
  struct member *known = g_hash_table_lookup (m->by_id, u->id);
  if (known == NULL)
    {
      if (u->status >= MEMBER_DEAD)
        return;
      known = member_add (m, u, now_ms);
      m->version++;
      m->changed_ms = now_ms;
      update_enqueue (m, known);
      return;
    }
  if (!update_is_newer (known, u))
    return;
  if (known->info.status == MEMBER_DEAD && u->status < MEMBER_DEAD)
    m->false_removals
        += member_same_start (u->incarnation, known->info.incarnation);
  bool newer_incarnation = u->incarnation > known->info.incarnation;
  uint64_t status = u->status;
  info_copy (&known->info, u);
  if (newer_incarnation && status != MEMBER_SUSPECT)
    known->leaving = false;
  set_status (m, known, status, now_ms);
}

static void
mark_suspect (struct members *m, struct member *member, int64_t now_ms)
{
  if (member->info.status < MEMBER_SUSPECT)
    set_status (m, member, MEMBER_SUSPECT, now_ms);
}

static void
record_sender (struct members *m, const struct gossip *g, int64_t now_ms)
{
  struct member *from = g_hash_table_lookup (m->by_id, g->from);
  if (from == NULL)
    return;
  from->heard_ms = now_ms;
  if (g->revision > from->revision)
    from->revision = g->revision;
}

/* Sends MEMBER, which is dead here, the update that says so; if it runs it
   refutes that.  */
static void
notify_dead_member (struct members *m, const struct member *member,
                    GArray *out)
{
  struct gossip *g
      = send_message (m, out, member->info.ip,
                      (uint16_t)member->info.peer_port, GOSSIP_ACK, 0, "");
  update_add (g, member);
}

/* Whether U reports a member live that this VM has as dead in the same
   incarnation.  */
static bool
update_contradicts_death (const struct members *m,
                          const struct member_update *u)
{
  const struct member *known = members_find (m, u->id);
  return known && known->info.status == MEMBER_DEAD && u->status < MEMBER_DEAD
         && u->incarnation == known->info.incarnation;
}

/* Received messages.  */

/* Upper bound of a range of ids, sorts after every id.  */
#define AFTER_ALL_IDS "\x7f"

static void
string_replace (char **string, const char *value)
{
  g_free (*string);
  *string = g_strdup (value);
}

/* Target of a GOSSIP_JOIN that requests only the members of the receiver's
   region.  */
#define JOIN_REGION_ONLY "region"

/* Sends all members to IP:PORT, in as many datagrams as needed.  */
static void
send_all (struct members *m, GArray *out, const char *ip, uint16_t port,
          uint64_t seq)
{
  struct gossip *g = NULL;
  size_t room = 0; /* bytes left for updates, see updates_add_pending */
  for (guint i = 0; i < m->list->len; i++)
    {
      const struct member *member = g_ptr_array_index (m->list, i);
      size_t size = update_size (&member->info);
      if (g == NULL || size > room)
        {
          g = send_message (m, out, ip, port, GOSSIP_SYNC, seq, "");
          room = GOSSIP_MAX_BYTES - 300;
        }
      room -= size;
      update_add (g, member);
    }
}

static gint
compare_ids (gconstpointer a, gconstpointer b)
{
  const struct member *x = *(struct member *const *)a;
  const struct member *y = *(struct member *const *)b;
  return strcmp (x->info.id, y->info.id);
}

/* Sends all live members of this region to IP:PORT, a VM of another region.
   Each message lists every live member whose id is in the range (after,
   target], and the ranges of all messages cover all ids, so that the receiver
   can remove the members that are not listed.  */
static void
send_region_members (struct members *m, GArray *out, const char *ip,
                     uint16_t port, uint64_t seq)
{
  g_autoptr (GPtrArray) live = g_ptr_array_new ();
  for (guint i = 0; i < m->list->len; i++)
    {
      struct member *member = g_ptr_array_index (m->list, i);
      if (member_live (member) && same_region (m, member))
        g_ptr_array_add (live, member);
    }
  g_ptr_array_sort (live, compare_ids);
  struct gossip *g = NULL;
  size_t room = 0; /* bytes left for updates, see updates_add_pending */
  const char *last = "";
  for (guint i = 0; i < live->len; i++)
    {
      const struct member *member = g_ptr_array_index (live, i);
      size_t size = update_size (&member->info);
      if (g == NULL || size > room)
        {
          g = send_message (m, out, ip, port, GOSSIP_REGION, seq, "");
          string_replace (&g->after, last);
          room = GOSSIP_MAX_BYTES - 300;
        }
      room -= size;
      update_add (g, member);
      last = member->info.id;
      string_replace (&g->target, i + 1 < live->len ? last : AFTER_ALL_IDS);
    }
}

/* Handles a GOSSIP_REGION from a VM of another region: known members of that
   region whose ids are in the range of the message, but which the message does
   not list, become dead.  Members whose status changed within the last
   MEMBERS_SYNC_INTERVAL_MS are kept.  */
static void
apply_region_list (struct members *m, const struct gossip *g, int64_t now_ms)
{
  const struct member *from = members_find (m, g->from);
  g_autoptr (GHashTable) listed = g_hash_table_new (g_str_hash, g_str_equal);
  if (from == NULL || same_region (m, from))
    return;
  for (guint i = 0; i < g->updates->len; i++)
    g_hash_table_add (listed,
                      g_array_index (g->updates, struct member_update, i).id);
  for (guint i = 1; i < m->list->len; i++)
    {
      struct member *member = g_ptr_array_index (m->list, i);
      const char *id = member->info.id;
      if (member_live (member)
          && strcmp (member->info.region, from->info.region) == 0
          && strcmp (id, g->after) > 0 && strcmp (id, g->target) <= 0
          && !g_hash_table_contains (listed, id)
          && now_ms - member->changed_ms > MEMBERS_SYNC_INTERVAL_MS)
        set_status (m, member, MEMBER_DEAD, now_ms);
    }
}

/* Requests members from IP:PORT, all or, with JOIN_REGION_ONLY, those of the
   receiver's region.  The request announces this VM, so that a receiver that
   does not know it adds it.  */
static void
request_members (struct members *m, const char *ip, uint16_t port,
                 const char *target, int64_t now_ms, GArray *out)
{
  m->next_sync_ms = now_ms + MEMBERS_SYNC_INTERVAL_MS;
  struct gossip *g
      = send_message (m, out, ip, port, GOSSIP_JOIN, ++m->seq, target);
  update_add (g, m->self);
}

/* Requests the member list from the sender of G if this VM does not know the
   sender, or if the sender's digest of its own region differs from this VM's
   and this VM's view has not changed within MEMBERS_SYNC_INTERVAL_MS, so that
   gossip in flight does not explain the difference.  At most one request per
   MEMBERS_SYNC_INTERVAL_MS.  */
static void
sync_if_views_differ (struct members *m, const struct gossip *g,
                      const char *ip, uint16_t port, int64_t now_ms,
                      GArray *out)
{
  const struct member *from = members_find (m, g->from);
  if (now_ms < m->next_sync_ms)
    return;
  if (from == NULL)
    {
      request_members (m, ip, port, "", now_ms, out);
      return;
    }
  if (now_ms - m->changed_ms < MEMBERS_SYNC_INTERVAL_MS
      || region_digest (m, from->info.region) == g->digest)
    return;
  request_members (m, ip, port, same_region (m, from) ? "" : JOIN_REGION_ONLY,
                   now_ms, out);
}

static void
relay_probe (struct members *m, const struct gossip *g, const char *ip,
             uint16_t port, int64_t now_ms, GArray *out)
{
  const struct member *target = members_find (m, g->target);
  if (target == NULL)
    return;
  struct relayed_probe r = { ++m->seq, g->seq, g_strdup (ip), port, now_ms };
  g_array_append_val (m->relayed, r);
  send_to (m, out, target, GOSSIP_PING, r.seq, "");
}

static void
handle_ack (struct members *m, const struct gossip *g, GArray *out)
{
  if (m->probe.target && m->probe.seq == g->seq)
    m->probe.target = NULL;
  if (m->remote_probe.target && m->remote_probe.seq == g->seq)
    m->remote_probe.target = NULL;
  for (guint i = 0; i < m->relayed->len; i++)
    {
      struct relayed_probe *r
          = &g_array_index (m->relayed, struct relayed_probe, i);
      if (r->seq == g->seq)
        {
          struct gossip *ack = send_message (
              m, out, r->ip, r->port, GOSSIP_ACK, r->requester_seq, g->from);
          updates_add_pending (m, ack);
          g_array_remove_index_fast (m->relayed, i);
          return;
        }
    }
}

void
members_receive (struct members *m, int64_t now_ms, const struct gossip *g,
                 const char *ip, uint16_t port, GArray *out)
{
  for (guint i = 0; i < g->updates->len; i++)
    {
      const struct member_update *u
          = &g_array_index (g->updates, struct member_update, i);
      apply_update (m, u, now_ms);
      if (update_contradicts_death (m, u))
        notify_dead_member (m, members_find (m, u->id), out);
    }
  record_sender (m, g, now_ms);
  const struct member *from = members_find (m, g->from);
  if (from && from->info.status == MEMBER_DEAD)
    notify_dead_member (m, from, out);
  if (g->kind == GOSSIP_PING)
    updates_add_pending (
        m, send_message (m, out, ip, port, GOSSIP_ACK, g->seq, ""));
  else if (g->kind == GOSSIP_ACK)
    handle_ack (m, g, out);
  else if (g->kind == GOSSIP_PING_REQ)
    relay_probe (m, g, ip, port, now_ms, out);
  else if (g->kind == GOSSIP_JOIN && strcmp (g->target, JOIN_REGION_ONLY) == 0)
    send_region_members (m, out, ip, port, g->seq);
  else if (g->kind == GOSSIP_JOIN)
    send_all (m, out, ip, port, g->seq);
  else if (g->kind == GOSSIP_REGION)
    apply_region_list (m, g, now_ms);
  if (g->kind == GOSSIP_PING || g->kind == GOSSIP_ACK)
    sync_if_views_differ (m, g, ip, port, now_ms, out);
}

/* Probes of other members, and the time-outs of their answers.  */

static void
shuffle (struct members *m, GPtrArray *list)
{
  for (guint i = list->len; i > 1; i--)
    {
      guint j = (guint)g_rand_int_range (m->rand, 0, (gint32)i);
      void *swap = list->pdata[i - 1];
      list->pdata[i - 1] = list->pdata[j];
      list->pdata[j] = swap;
    }
}

static struct member *
next_probe_target (struct members *m)
{
  for (int round = 0; round < 2; round++)
    {
      while (m->probe_queue->len > 0)
        {
          struct member *t
              = g_ptr_array_index (m->probe_queue, m->probe_queue->len - 1);
          g_ptr_array_set_size (m->probe_queue, (gint)m->probe_queue->len - 1);
          if (member_live (t))
            return t;
        }
      for (guint i = 1; i < m->list->len; i++)
        {
          struct member *t = g_ptr_array_index (m->list, i);
          if (member_live (t) && same_region (m, t))
            g_ptr_array_add (m->probe_queue, t);
        }
      shuffle (m, m->probe_queue);
    }
  return NULL;
}

/* Returns a random bridge of another region, or NULL if there is none.  */
static struct member *
pick_remote_bridge (struct members *m)
{
  g_autoptr (GPtrArray) bridges = g_ptr_array_new ();
  for (guint i = 1; i < m->list->len; i++)
    {
      struct member *t = g_ptr_array_index (m->list, i);
      if (member_live (t) && !same_region (m, t)
          && members_is_bridge (m, t->info.id))
        g_ptr_array_add (bridges, t);
    }
  if (bridges->len == 0)
    return NULL;
  return g_ptr_array_index (
      bridges, (guint)g_rand_int_range (m->rand, 0, (gint32)bridges->len));
}

static void
probe_start (struct members *m, struct probe *p, struct member *target,
             int64_t now_ms, GArray *out)
{
  *p = (struct probe){ target, ++m->seq, now_ms, false };
  if (target)
    send_to (m, out, target, GOSSIP_PING, p->seq, "");
}

static void
probe_indirectly (struct members *m, GArray *out)
{
  g_autoptr (GPtrArray) proxies = g_ptr_array_new ();
  for (guint i = 1; i < m->list->len; i++)
    {
      struct member *t = g_ptr_array_index (m->list, i);
      if (t != m->probe.target && t->info.status <= MEMBER_LEAVING
          && same_region (m, t))
        g_ptr_array_add (proxies, t);
    }
  shuffle (m, proxies);
  for (guint i = 0; i < proxies->len && i < MEMBERS_INDIRECT_PROBES; i++)
    send_to (m, out, g_ptr_array_index (proxies, i), GOSSIP_PING_REQ,
             m->probe.seq, m->probe.target->info.id);
  m->probe.indirect_sent = true;
}

/* Sends the pending updates to up to MEMBERS_PUSH_FANOUT members of this
   region without waiting for the next probe.  A bridge also sends them to one
   bridge of another region.  */
static void
push_updates (struct members *m, GArray *out)
{
  g_autoptr (GPtrArray) to = g_ptr_array_new ();
  for (guint i = 1; i < m->list->len; i++)
    {
      struct member *t = g_ptr_array_index (m->list, i);
      if (member_live (t) && same_region (m, t))
        g_ptr_array_add (to, t);
    }
  shuffle (m, to);
  for (guint i = 0; i < to->len && i < MEMBERS_PUSH_FANOUT; i++)
    send_to (m, out, g_ptr_array_index (to, i), GOSSIP_ACK, 0, "");
  struct member *remote = members_is_bridge (m, m->self->info.id)
                              ? pick_remote_bridge (m)
                              : NULL;
  if (remote)
    send_to (m, out, remote, GOSSIP_ACK, 0, "");
}

static void
probe_round (struct members *m, int64_t now_ms, GArray *out)
{
  if (m->probe.target)
    mark_suspect (m, m->probe.target, now_ms);
  probe_start (m, &m->probe, next_probe_target (m), now_ms, out);
  if (members_is_bridge (m, m->self->info.id))
    probe_start (m, &m->remote_probe, pick_remote_bridge (m), now_ms, out);
  m->next_probe_ms = now_ms + MEMBERS_PROBE_INTERVAL_MS;
}

/* Declares members of this region dead that have been suspect for
   MEMBERS_SUSPECT_MS, and removes members that have been dead or have left for
   MEMBERS_DEAD_KEPT_MS.  */
static void
expire_members (struct members *m, int64_t now_ms)
{
  for (guint i = 1; i < m->list->len; i++)
    {
      struct member *member = g_ptr_array_index (m->list, i);
      int64_t age = now_ms - member->changed_ms;
      if (member->info.status == MEMBER_SUSPECT && age >= MEMBERS_SUSPECT_MS
          && same_region (m, member))
        set_status (m, member, MEMBER_DEAD, now_ms);
      else if (member->info.status >= MEMBER_DEAD
               && age >= MEMBERS_DEAD_KEPT_MS)
        {
          update_dequeue (m, member);
          g_ptr_array_remove_fast (m->probe_queue, member);
          if (m->probe.target == member)
            m->probe.target = NULL;
          if (m->remote_probe.target == member)
            m->remote_probe.target = NULL;
          g_hash_table_remove (m->by_id, member->info.id);
          g_ptr_array_remove_index (m->list, i--);
        }
    }
}

/* Called after this process itself was paused: answers may have arrived
   unread, so the probes in flight are dropped and the time-outs of suspects
   restart.  */
static void
reset_after_pause (struct members *m, int64_t now_ms)
{
  m->probe.target = NULL;
  m->remote_probe.target = NULL;
  for (guint i = 1; i < m->list->len; i++)
    {
      struct member *member = g_ptr_array_index (m->list, i);
      if (member->info.status == MEMBER_SUSPECT)
        member->changed_ms = now_ms;
    }
}

void
members_tick (struct members *m, int64_t now_ms, GArray *out)
{
  if (now_ms - m->ticked_ms > MEMBERS_PAUSE_THRESHOLD_MS)
    reset_after_pause (m, now_ms);
  m->ticked_ms = now_ms;
  if (m->probe.target && !m->probe.indirect_sent
      && now_ms - m->probe.sent_ms >= MEMBERS_PROBE_TIMEOUT_MS)
    probe_indirectly (m, out);
  expire_members (m, now_ms);
  if (m->push_rounds > 0 && m->pending_updates->len > 0)
    push_updates (m, out);
  m->push_rounds -= m->push_rounds > 0;
  if (now_ms >= m->next_probe_ms)
    probe_round (m, now_ms, out);
  while (
      m->relayed->len > 0
      && now_ms - g_array_index (m->relayed, struct relayed_probe, 0).sent_ms
             > MEMBERS_PROBE_INTERVAL_MS)
    g_array_remove_index (m->relayed, 0);
}

/* State of this VM and hints from the VM list.  */

void
members_leave (struct members *m, int64_t now_ms)
{
  m->self->info.incarnation++;
  set_status (m, m->self, MEMBER_LEAVING, now_ms);
}

void
members_left (struct members *m, int64_t now_ms, GArray *out)
{
  m->self->info.incarnation++;
  set_status (m, m->self, MEMBER_LEFT, now_ms);
  unsigned sent = 0; /* to at most 8 members */
  for (guint i = 1; i < m->list->len && sent < 8; i++)
    {
      const struct member *to = g_ptr_array_index (m->list, i);
      if (!member_live (to))
        continue;
      send_to (m, out, to, GOSSIP_ACK, 0, "");
      sent++;
    }
}

void
members_vm_unlisted (struct members *m, const char *vm, int64_t now_ms)
{
  struct member *member = g_hash_table_lookup (m->by_id, vm);
  if (member == NULL || member == m->self || member->info.status >= MEMBER_DEAD
      || same_region (m, member))
    return;
  if (now_ms - MAX (member->heard_ms, member->changed_ms) > VM_LIST_LAG_MS)
    set_status (m, member, MEMBER_DEAD, now_ms);
}

void
members_set_revisions (struct members *m,
                       const struct gossip_revisions *revisions)
{
  m->self->revision = revisions->revision;
  m->revisions = *revisions;
}
