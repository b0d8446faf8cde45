#include "decide/members.h"

#include "config.h"
#include "decide/rank.h"

#include <string.h>
#include <xxhash.h>

/* A piece of news, sent a bounded number of times.  */
struct news
{
  struct member *member;
  unsigned sent;
};

/* A probe in flight.  One of another region that is not answered makes nobody
   suspect.  */
struct probe
{
  struct member *target; /* NULL for none */
  uint64_t seq;
  int64_t sent_ms;
  bool indirect_sent;
};

/* A probe made for another VM.  */
struct relayed
{
  uint64_t seq;
  uint64_t their_seq;
  char *ip;
  uint16_t port;
  int64_t sent_ms;
};

struct members
{
  GPtrArray *list; /* struct member *, first is self */
  GHashTable *by_id;
  struct member *self;
  GRand *rand;
  GArray *news;
  GPtrArray *order; /* members to probe next, in random order */
  struct probe probe;
  struct probe far_probe;
  GArray *relayed;
  uint64_t seq;
  uint64_t version;
  uint64_t false_removals;
  uint64_t upstreams_revision; /* told with this VM's messages */
  int64_t next_probe_ms;
  int64_t ticked_ms;
  unsigned urgent; /* ticks in which news is pushed to a few at once */
  uint64_t digest; /* of this VM's region, at digest_version */
  uint64_t digest_version;
  int64_t changed_ms;
  int64_t next_sync_ms;
};

static const char *const status_names[]
    = { "alive", "leaving", "suspect", "dead", "left" };

const char *
member_status_name (uint64_t status)
{
  return status < G_N_ELEMENTS (status_names) ? status_names[status] : "?";
}

/* Bits of an incarnation that count up within one start.  */
#define REFUTE_BITS 16

uint64_t
member_first_incarnation (int64_t wall_ms)
{
  return (uint64_t)wall_ms << REFUTE_BITS;
}

bool
member_same_start (uint64_t a, uint64_t b)
{
  return a >> REFUTE_BITS == b >> REFUTE_BITS;
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

/* Small parts.  */

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
relayed_clear (void *p)
{
  struct relayed *r = p;
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
  m->news = g_array_new (FALSE, TRUE, sizeof (struct news));
  m->order = g_ptr_array_new ();
  m->relayed = g_array_new (FALSE, TRUE, sizeof (struct relayed));
  g_array_set_clear_func (m->relayed, relayed_clear);
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
  g_ptr_array_unref (m->order);
  g_hash_table_destroy (m->by_id);
  g_ptr_array_unref (m->list);
  g_array_unref (m->news);
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
  const struct member *one = members_find (m, vm);
  if (one == NULL || !member_live (one))
    return false;
  uint64_t mine = rank_pair (one->info.failure_domain, vm);
  unsigned above = 0;
  for (guint i = 0; i < m->list->len; i++)
    {
      const struct member *o = g_ptr_array_index (m->list, i);
      if (o != one && member_usable (o)
          && strcmp (o->info.failure_domain, one->info.failure_domain) == 0
          && rank_pair (o->info.failure_domain, o->info.id) > mine)
        above++;
    }
  return above < MEMBERS_BRIDGES_PER_DOMAIN;
}

/* News.  */

static void
news_add (struct members *m, struct member *about)
{
  m->urgent = MEMBERS_URGENT_ROUNDS;
  for (guint i = 0; i < m->news->len; i++)
    {
      struct news *n = &g_array_index (m->news, struct news, i);
      if (n->member == about)
        {
          n->sent = 0;
          return;
        }
    }
  struct news n = { about, 0 };
  g_array_append_val (m->news, n);
}

static void
news_remove (struct members *m, const struct member *about)
{
  for (guint i = 0; i < m->news->len; i++)
    if (g_array_index (m->news, struct news, i).member == about)
      {
        g_array_remove_index_fast (m->news, i);
        return;
      }
}

static unsigned
news_limit (const struct members *m)
{
  unsigned bits = 1;
  while ((1U << bits) < m->list->len + 1)
    bits++;
  return MEMBERS_RESEND_FACTOR * bits;
}

/* Bytes of an update in a datagram, a little too many.  */
static size_t
update_size (const struct member_update *u)
{
  return strlen (u->id) + strlen (u->ip) + strlen (u->region)
         + strlen (u->failure_domain) + 40;
}

static void
updates_add (struct gossip *g, const struct member *about)
{
  struct member_update copy = { 0 };
  info_copy (&copy, &about->info);
  g_array_append_val (g->updates, copy);
}

static gint
compare_news (gconstpointer a, gconstpointer b)
{
  const struct news *x = a, *y = b;
  return x->sent < y->sent ? -1 : x->sent > y->sent;
}

/* Fills a datagram with the news sent least often.  */
static void
updates_fill (struct members *m, struct gossip *g)
{
  size_t room = GOSSIP_MAX_BYTES - 300;
  g_array_sort (m->news, compare_news);
  guint i = 0;
  while (i < m->news->len)
    {
      struct news *n = &g_array_index (m->news, struct news, i);
      size_t size = update_size (&n->member->info);
      if (size > room)
        break;
      room -= size;
      updates_add (g, n->member);
      if (++n->sent >= news_limit (m))
        g_array_remove_index_fast (m->news, i);
      else
        i++;
    }
}

/* Digests of a region's live members.  */

static uint64_t
region_digest (const struct members *m, const char *region)
{
  uint64_t digest = 0;
  for (guint i = 0; i < m->list->len; i++)
    {
      const struct member *who = g_ptr_array_index (m->list, i);
      if (member_live (who) && strcmp (who->info.region, region) == 0)
        digest ^= XXH64 (who->info.id, strlen (who->info.id),
                         who->info.incarnation + who->leaving);
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

/* Sending.  */

static struct gossip *
send_empty (struct members *m, GArray *out, const char *ip, uint16_t port,
            unsigned kind, uint64_t seq, const char *target)
{
  struct gossip_out o = { .ip = g_strdup (ip), .port = port };
  o.message.kind = kind;
  o.message.seq = seq;
  o.message.from = g_strdup (m->self->info.id);
  o.message.target = g_strdup (target);
  o.message.after = g_strdup ("");
  o.message.revision = m->self->revision;
  o.message.upstreams_revision = m->upstreams_revision;
  o.message.digest = own_digest (m);
  o.message.updates = record_list_create (&member_update_record);
  g_array_append_val (out, o);
  return &g_array_index (out, struct gossip_out, out->len - 1).message;
}

static void
send_to (struct members *m, GArray *out, const struct member *to,
         unsigned kind, uint64_t seq, const char *target)
{
  struct gossip *g = send_empty (
      m, out, to->info.ip, (uint16_t)to->info.peer_port, kind, seq, target);
  /* A suspect is told so first, that it may refute it.  */
  if (to->info.status == MEMBER_SUSPECT)
    updates_add (g, to);
  updates_fill (m, g);
}

void
members_join (struct members *m, const char *ip, uint16_t port, GArray *out)
{
  struct gossip *g = send_empty (m, out, ip, port, GOSSIP_JOIN, ++m->seq, "");
  updates_add (g, m->self);
}

/* Changes of the view.  */

static void
set_status (struct members *m, struct member *who, uint64_t status,
            int64_t now_ms)
{
  who->info.status = status;
  who->changed_ms = now_ms;
  m->changed_ms = now_ms;
  if (status == MEMBER_LEAVING)
    who->leaving = true;
  m->version++;
  news_add (m, who);
}

/* This VM hears of itself: answers with a higher incarnation where it is
   called anything worse than it is.  */
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
  news_add (m, m->self);
}

static bool
update_is_newer (const struct member *have, const struct member_update *u)
{
  if (u->incarnation != have->info.incarnation)
    return u->incarnation > have->info.incarnation;
  return u->status > have->info.status;
}

static void
take_update (struct members *m, const struct member_update *u, int64_t now_ms)
{
  if (strcmp (u->id, m->self->info.id) == 0)
    {
      refute (m, u, now_ms);
      return;
    }
  struct member *have = g_hash_table_lookup (m->by_id, u->id);
  if (have == NULL)
    {
      if (u->status >= MEMBER_DEAD)
        return;
      have = member_add (m, u, now_ms);
      m->version++;
      m->changed_ms = now_ms;
      news_add (m, have);
      return;
    }
  if (!update_is_newer (have, u))
    return;
  if (have->info.status == MEMBER_DEAD && u->status < MEMBER_DEAD)
    m->false_removals
        += member_same_start (u->incarnation, have->info.incarnation);
  bool restarted = u->incarnation > have->info.incarnation;
  uint64_t status = u->status;
  info_copy (&have->info, u);
  if (restarted && status != MEMBER_SUSPECT)
    have->leaving = false;
  set_status (m, have, status, now_ms);
}

static void
suspect (struct members *m, struct member *who, int64_t now_ms)
{
  if (who->info.status < MEMBER_SUSPECT)
    set_status (m, who, MEMBER_SUSPECT, now_ms);
}

static void
heard (struct members *m, const struct gossip *g, int64_t now_ms)
{
  struct member *from = g_hash_table_lookup (m->by_id, g->from);
  if (from == NULL)
    return;
  from->heard_ms = now_ms;
  if (g->revision > from->revision)
    from->revision = g->revision;
}

/* Messages.  */

/* Comes after every id.  */
#define REGION_END "\x7f"

static void
set_bound (char **bound, const char *id)
{
  g_free (*bound);
  *bound = g_strdup (id);
}

/* Target of a GOSSIP_JOIN that asks for the asked VM's region alone.  */
#define REGION_ONLY "region"

/* Sends all members to one that joins, in as many datagrams as it takes.  */
static void
send_all (struct members *m, GArray *out, const char *ip, uint16_t port,
          uint64_t seq)
{
  struct gossip *g = NULL;
  size_t room = 0;
  for (guint i = 0; i < m->list->len; i++)
    {
      const struct member *who = g_ptr_array_index (m->list, i);
      size_t size = update_size (&who->info);
      if (g == NULL || size > room)
        {
          g = send_empty (m, out, ip, port, GOSSIP_SYNC, seq, "");
          room = GOSSIP_MAX_BYTES - 300;
        }
      room -= size;
      updates_add (g, who);
    }
}

static gint
compare_ids (gconstpointer a, gconstpointer b)
{
  const struct member *x = *(struct member *const *)a;
  const struct member *y = *(struct member *const *)b;
  return strcmp (x->info.id, y->info.id);
}

/* Sends all live members of this region to a VM of another one.  */
static void
send_region (struct members *m, GArray *out, const char *ip, uint16_t port,
             uint64_t seq)
{
  g_autoptr (GPtrArray) mine = g_ptr_array_new ();
  for (guint i = 0; i < m->list->len; i++)
    {
      struct member *who = g_ptr_array_index (m->list, i);
      if (member_live (who) && same_region (m, who))
        g_ptr_array_add (mine, who);
    }
  g_ptr_array_sort (mine, compare_ids);
  struct gossip *g = NULL;
  size_t room = 0;
  const char *last = "";
  for (guint i = 0; i < mine->len; i++)
    {
      const struct member *who = g_ptr_array_index (mine, i);
      size_t size = update_size (&who->info);
      if (g == NULL || size > room)
        {
          g = send_empty (m, out, ip, port, GOSSIP_REGION, seq, "");
          set_bound (&g->after, last);
          room = GOSSIP_MAX_BYTES - 300;
        }
      room -= size;
      updates_add (g, who);
      last = who->info.id;
      set_bound (&g->target, i + 1 < mine->len ? last : REGION_END);
    }
}

/* A bridge of another region told all members of a stretch of ids there; what
   else is known of that stretch has gone.  */
static void
take_region (struct members *m, const struct gossip *g, int64_t now_ms)
{
  const struct member *from = members_find (m, g->from);
  g_autoptr (GHashTable) told = g_hash_table_new (g_str_hash, g_str_equal);
  if (from == NULL || same_region (m, from))
    return;
  for (guint i = 0; i < g->updates->len; i++)
    g_hash_table_add (told,
                      g_array_index (g->updates, struct member_update, i).id);
  for (guint i = 1; i < m->list->len; i++)
    {
      struct member *who = g_ptr_array_index (m->list, i);
      const char *id = who->info.id;
      if (member_live (who)
          && strcmp (who->info.region, from->info.region) == 0
          && strcmp (id, g->after) > 0 && strcmp (id, g->target) <= 0
          && !g_hash_table_contains (told, id)
          && now_ms - who->changed_ms > MEMBERS_SYNC_INTERVAL_MS)
        set_status (m, who, MEMBER_DEAD, now_ms);
    }
}

/* Asks for the whole region of G's sender where this VM's view of it differs,
   and nothing has changed here lately that could explain it.  */
static void
compare_views (struct members *m, const struct gossip *g, const char *ip,
               uint16_t port, int64_t now_ms, GArray *out)
{
  const struct member *from = members_find (m, g->from);
  if (from == NULL || now_ms < m->next_sync_ms
      || now_ms - m->changed_ms < MEMBERS_SYNC_INTERVAL_MS
      || region_digest (m, from->info.region) == g->digest)
    return;
  m->next_sync_ms = now_ms + MEMBERS_SYNC_INTERVAL_MS;
  send_empty (m, out, ip, port, GOSSIP_JOIN, ++m->seq,
              same_region (m, from) ? "" : REGION_ONLY);
}

static void
relay_probe (struct members *m, const struct gossip *g, const char *ip,
             uint16_t port, int64_t now_ms, GArray *out)
{
  const struct member *target = members_find (m, g->target);
  if (target == NULL)
    return;
  struct relayed r = { ++m->seq, g->seq, g_strdup (ip), port, now_ms };
  g_array_append_val (m->relayed, r);
  send_to (m, out, target, GOSSIP_PING, r.seq, "");
}

static void
take_ack (struct members *m, const struct gossip *g, GArray *out)
{
  if (m->probe.target && m->probe.seq == g->seq)
    m->probe.target = NULL;
  if (m->far_probe.target && m->far_probe.seq == g->seq)
    m->far_probe.target = NULL;
  for (guint i = 0; i < m->relayed->len; i++)
    {
      struct relayed *r = &g_array_index (m->relayed, struct relayed, i);
      if (r->seq == g->seq)
        {
          struct gossip *ack = send_empty (m, out, r->ip, r->port, GOSSIP_ACK,
                                           r->their_seq, g->from);
          updates_fill (m, ack);
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
    take_update (m, &g_array_index (g->updates, struct member_update, i),
                 now_ms);
  heard (m, g, now_ms);
  if (g->kind == GOSSIP_PING)
    updates_fill (m, send_empty (m, out, ip, port, GOSSIP_ACK, g->seq, ""));
  else if (g->kind == GOSSIP_ACK)
    take_ack (m, g, out);
  else if (g->kind == GOSSIP_PING_REQ)
    relay_probe (m, g, ip, port, now_ms, out);
  else if (g->kind == GOSSIP_JOIN && strcmp (g->target, REGION_ONLY) == 0)
    send_region (m, out, ip, port, g->seq);
  else if (g->kind == GOSSIP_JOIN)
    send_all (m, out, ip, port, g->seq);
  else if (g->kind == GOSSIP_REGION)
    take_region (m, g, now_ms);
  if (g->kind == GOSSIP_PING || g->kind == GOSSIP_ACK)
    compare_views (m, g, ip, port, now_ms, out);
}

/* Probing.  */

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
next_target (struct members *m)
{
  for (int round = 0; round < 2; round++)
    {
      while (m->order->len > 0)
        {
          struct member *t = g_ptr_array_index (m->order, m->order->len - 1);
          g_ptr_array_set_size (m->order, (gint)m->order->len - 1);
          if (member_live (t))
            return t;
        }
      for (guint i = 1; i < m->list->len; i++)
        {
          struct member *t = g_ptr_array_index (m->list, i);
          if (member_live (t) && same_region (m, t))
            g_ptr_array_add (m->order, t);
        }
      shuffle (m, m->order);
    }
  return NULL;
}

/* Some bridge of another region.  */
static struct member *
far_target (struct members *m)
{
  g_autoptr (GPtrArray) far = g_ptr_array_new ();
  for (guint i = 1; i < m->list->len; i++)
    {
      struct member *t = g_ptr_array_index (m->list, i);
      if (member_live (t) && !same_region (m, t)
          && members_is_bridge (m, t->info.id))
        g_ptr_array_add (far, t);
    }
  if (far->len == 0)
    return NULL;
  return g_ptr_array_index (
      far, (guint)g_rand_int_range (m->rand, 0, (gint32)far->len));
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
  g_autoptr (GPtrArray) via = g_ptr_array_new ();
  for (guint i = 1; i < m->list->len; i++)
    {
      struct member *t = g_ptr_array_index (m->list, i);
      if (t != m->probe.target && t->info.status <= MEMBER_LEAVING
          && same_region (m, t))
        g_ptr_array_add (via, t);
    }
  shuffle (m, via);
  for (guint i = 0; i < via->len && i < MEMBERS_INDIRECT_PROBES; i++)
    send_to (m, out, g_ptr_array_index (via, i), GOSSIP_PING_REQ, m->probe.seq,
             m->probe.target->info.id);
  m->probe.indirect_sent = true;
}

/* Pushes fresh news to a few members of this region, without waiting for the
   next probe; a bridge also to one of another region.  */
static void
push_news (struct members *m, GArray *out)
{
  g_autoptr (GPtrArray) to = g_ptr_array_new ();
  for (guint i = 1; i < m->list->len; i++)
    {
      struct member *t = g_ptr_array_index (m->list, i);
      if (member_live (t) && same_region (m, t))
        g_ptr_array_add (to, t);
    }
  shuffle (m, to);
  for (guint i = 0; i < to->len && i < MEMBERS_URGENT_FANOUT; i++)
    send_to (m, out, g_ptr_array_index (to, i), GOSSIP_ACK, 0, "");
  struct member *far
      = members_is_bridge (m, m->self->info.id) ? far_target (m) : NULL;
  if (far)
    send_to (m, out, far, GOSSIP_ACK, 0, "");
}

static void
probe_round (struct members *m, int64_t now_ms, GArray *out)
{
  if (m->probe.target)
    suspect (m, m->probe.target, now_ms);
  probe_start (m, &m->probe, next_target (m), now_ms, out);
  if (members_is_bridge (m, m->self->info.id))
    probe_start (m, &m->far_probe, far_target (m), now_ms, out);
  m->next_probe_ms = now_ms + MEMBERS_PROBE_INTERVAL_MS;
}

/* Removes what has been dead for long, and buries long suspects.  */
static void
expire (struct members *m, int64_t now_ms)
{
  for (guint i = 1; i < m->list->len; i++)
    {
      struct member *who = g_ptr_array_index (m->list, i);
      int64_t age = now_ms - who->changed_ms;
      if (who->info.status == MEMBER_SUSPECT && age >= MEMBERS_SUSPECT_MS
          && same_region (m, who))
        set_status (m, who, MEMBER_DEAD, now_ms);
      else if (who->info.status >= MEMBER_DEAD && age >= MEMBERS_DEAD_KEPT_MS)
        {
          news_remove (m, who);
          g_ptr_array_remove_fast (m->order, who);
          if (m->probe.target == who)
            m->probe.target = NULL;
          if (m->far_probe.target == who)
            m->far_probe.target = NULL;
          g_hash_table_remove (m->by_id, who->info.id);
          g_ptr_array_remove_index (m->list, i--);
        }
    }
}

/* A loop that was stopped itself cannot blame others for their silence.  */
static void
forgive (struct members *m, int64_t now_ms)
{
  m->probe.target = NULL;
  m->far_probe.target = NULL;
  for (guint i = 1; i < m->list->len; i++)
    {
      struct member *who = g_ptr_array_index (m->list, i);
      if (who->info.status == MEMBER_SUSPECT)
        who->changed_ms = now_ms;
    }
}

void
members_tick (struct members *m, int64_t now_ms, GArray *out)
{
  if (now_ms - m->ticked_ms > MEMBERS_PAUSED_MS)
    forgive (m, now_ms);
  m->ticked_ms = now_ms;
  if (m->probe.target && !m->probe.indirect_sent
      && now_ms - m->probe.sent_ms >= MEMBERS_PROBE_TIMEOUT_MS)
    probe_indirectly (m, out);
  expire (m, now_ms);
  if (m->urgent > 0 && m->news->len > 0)
    push_news (m, out);
  m->urgent -= m->urgent > 0;
  if (now_ms >= m->next_probe_ms)
    probe_round (m, now_ms, out);
  while (m->relayed->len > 0
         && now_ms - g_array_index (m->relayed, struct relayed, 0).sent_ms
                > MEMBERS_PROBE_INTERVAL_MS)
    g_array_remove_index (m->relayed, 0);
}

/* This VM's own state.  */

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
  unsigned told = 0;
  for (guint i = 1; i < m->list->len && told < 8; i++)
    {
      const struct member *to = g_ptr_array_index (m->list, i);
      if (!member_live (to))
        continue;
      send_to (m, out, to, GOSSIP_ACK, 0, "");
      told++;
    }
}

void
members_hint_gone (struct members *m, const char *vm, int64_t now_ms)
{
  struct member *who = g_hash_table_lookup (m->by_id, vm);
  if (who == NULL || who == m->self || who->info.status >= MEMBER_DEAD
      || same_region (m, who))
    return;
  if (now_ms - MAX (who->heard_ms, who->changed_ms) > VM_LIST_LAG_MS)
    set_status (m, who, MEMBER_DEAD, now_ms);
}

void
members_set_revision (struct members *m, uint64_t revision,
                      uint64_t upstreams_revision)
{
  m->self->revision = revision;
  m->upstreams_revision = upstreams_revision;
}
