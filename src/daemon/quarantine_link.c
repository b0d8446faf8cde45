#include "daemon/quarantine_link.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "daemon/quarantine_messages.h"
#include "decide/rank.h"

#define TICK_MS 50
#define MS_PER_S 1000
/* Interval and number of receivers of the messages that make up for lost
   ones.  */
#define RESEND_MS 250
#define RESEND_RECEIVERS 2
/* A VM that knows nothing yet asks this many others, this often.  */
#define WANTED_MS 300
#define WANTED_RECEIVERS 3
/* A longer gap between two ticks means that this process did not run.  */
#define PAUSE_MIN_MS 1000
/* Most crashes, and messages with other news, sent at each tick.  */
#define CRASHES_PER_TICK 4
#define MESSAGES_PER_TICK 4
/* Most messages in response to one that asks.  */
#define RESPONSE_MESSAGES_MAX 64
/* Most services with a quarantine of their own; more have none.  */
#define SERVICES_MAX 32
#define PART_TEXT_SIZE 20

struct quarantine_link
{
  struct quarantine_link_parts parts;
  GHashTable *services; /* name -> struct quarantine */
  int64_t canary_ms;
  struct event *timer;
  int64_t tick_ms;   /* when the timer last ran */
  int64_t resend_ms; /* when this VM last resent */
  int64_t wanted_ms; /* when this VM last asked */
  bool is_informed;  /* another VM has told what it knows */
};

/* Returns the quarantine of SERVICE, or NULL.  */
static struct quarantine *
find_quarantine (const struct quarantine_link *l, const char *service)
{
  return l && service ? g_hash_table_lookup (l->services, service) : NULL;
}

/* Returns the quarantine of SERVICE, a new one if there is none; NULL if there
   are too many.  */
static struct quarantine *
get_quarantine (struct quarantine_link *l, const char *service)
{
  struct quarantine *q = find_quarantine (l, service);
  if (q || l == NULL || service == NULL
      || g_hash_table_size (l->services) >= SERVICES_MAX)
    return q;
  q = quarantine_create ();
  quarantine_set_canary_ms (q, l->canary_ms);
  g_hash_table_insert (l->services, g_strdup (service), q);
  return q;
}

/* Sending to other VMs.  */

static void
send_to (struct quarantine_link *l, const struct member *to,
         const struct quarantine_report *m)
{
  l->parts.peers.send (l->parts.peers.arg, to, MESSAGE_QUARANTINE_REPORT, m);
}

/* Sends M to COUNT running VMs.  */
static void
send_to_some (struct quarantine_link *l, const struct quarantine_report *m,
              unsigned count)
{
  vm_broadcast_some (&l->parts.peers, MESSAGE_QUARANTINE_REPORT, m, count);
}

/* Log lines.  */

static const char *
part_text (uint64_t part, char *out)
{
  g_snprintf (out, PART_TEXT_SIZE, "%" G_GINT64_MODIFIER "x", part);
  return out;
}

/* FROM is the VM that has decided it.  */
static void
log_state (const struct quarantine_entry *e, const char *service,
           const char *from)
{
  char text[PART_TEXT_SIZE];
  log_event (LOG_WARN, e->released ? "part_released" : "part_quarantined",
             "part", part_text (e->part, text), "service", service, "from",
             from, "round", log_num ((long long)e->round), "crashes",
             log_num (e->crashes), "next_canary_ms",
             log_num (e->canary_ms - clock_ms ()), NULL);
}

static void
log_crash (const struct crash_report *r)
{
  GString *parts = g_string_new (NULL);
  for (unsigned i = 0; i < r->n_parts; i++)
    g_string_append_printf (parts, "%s%" G_GINT64_MODIFIER "x",
                            i > 0 ? "," : "", r->parts[i]);
  log_event (LOG_WARN, "upstream_crashed", "upstream", r->upstream, "age_ms",
             log_num (clock_ms () - r->at_ms), "unanswered_parts", parts->str,
             NULL);
  g_string_free (parts, TRUE);
}

/* News of this VM, and what it knows.  */

/* Sends the crash R of SERVICE to all running VMs.  */
static void
send_crash (struct quarantine_link *l, const char *service,
            const struct crash_report *r, int64_t now)
{
  for (unsigned first = 0; first < r->n_parts;
       first += QUARANTINE_MESSAGE_PARTS_MAX)
    {
      struct quarantine_report m;
      quarantine_message_init (&m, l->parts.vm, service);
      quarantine_message_add_crash (&m, r, first, now);
      send_to_some (l, &m, G_MAXUINT);
      record_clear (&quarantine_report_record, &m);
    }
}

static void
send_crashes (struct quarantine_link *l, const char *service,
              struct quarantine *q, int64_t now)
{
  struct crash_report crash;
  for (unsigned i = 0; i < CRASHES_PER_TICK; i++)
    {
      if (!crash_evidence_next_unsent (quarantine_evidence (q), &crash))
        return;
      log_crash (&crash);
      metrics_add (METRIC_upstream_crashes_total, 1);
      send_crash (l, service, &crash, now);
    }
}

/* Sends answers and entries that are new to all running VMs.  Returns whether
   there were any.  */
static bool
send_changes (struct quarantine_link *l, const char *service,
              struct quarantine *q, int64_t now)
{
  struct quarantine_report m;
  struct quarantine_entry entry;
  uint64_t part = 0;
  int64_t at_ms = 0;
  quarantine_message_init (&m, l->parts.vm, service);
  while (m.answers->len < QUARANTINE_MESSAGE_ANSWERS_MAX
         && quarantine_next_answer (q, &part, &at_ms))
    quarantine_message_add_answer (&m, part, at_ms, now);
  while (m.states->len < QUARANTINE_MESSAGE_STATES_MAX
         && quarantine_next_unsent (q, &entry))
    {
      log_state (&entry, service, l->parts.vm);
      quarantine_message_add_state (&m, &entry, now);
    }
  bool empty = quarantine_message_is_empty (&m);
  if (!empty)
    send_to_some (l, &m, G_MAXUINT);
  record_clear (&quarantine_report_record, &m);
  return !empty;
}

/* Sends what this VM has seen since the last call to all running VMs.  */
static void
send_news (struct quarantine_link *l, const char *service,
           struct quarantine *q, int64_t now)
{
  send_crashes (l, service, q, now);
  for (unsigned i = 0; i < MESSAGES_PER_TICK; i++)
    if (!send_changes (l, service, q, now))
      return;
}

/* Fills M with a part of what this VM knows, another one at each call.  */
static void
add_knowledge (struct quarantine *q, struct quarantine_report *m, int64_t now)
{
  struct quarantine_entry entries[QUARANTINE_MESSAGE_STATES_MAX];
  struct crash_report crash;
  unsigned n = quarantine_next (q, entries, G_N_ELEMENTS (entries));
  for (unsigned i = 0; i < n; i++)
    quarantine_message_add_state (m, &entries[i], now);
  if (!crash_evidence_next (quarantine_evidence (q), &crash))
    return;
  unsigned chunks = (crash.n_parts + QUARANTINE_MESSAGE_PARTS_MAX - 1)
                    / QUARANTINE_MESSAGE_PARTS_MAX;
  unsigned chunk = (unsigned)g_random_int_range (0, (gint32)chunks);
  quarantine_message_add_crash (m, &crash,
                                chunk * QUARANTINE_MESSAGE_PARTS_MAX, now);
}

static void
resend (struct quarantine_link *l, const char *service, struct quarantine *q,
        int64_t now)
{
  struct quarantine_report m;
  quarantine_message_init (&m, l->parts.vm, service);
  add_knowledge (q, &m, now);
  if (!quarantine_message_is_empty (&m))
    send_to_some (l, &m, RESEND_RECEIVERS);
  record_clear (&quarantine_report_record, &m);
}

/* Asks other VMs for what they know until one has told it.  */
static void
ask (struct quarantine_link *l, int64_t now)
{
  struct quarantine_report m;
  if (l->is_informed || now - l->wanted_ms < WANTED_MS
      || members_count_live (l->parts.peers.members) <= 1)
    return;
  l->wanted_ms = now;
  quarantine_message_init (&m, l->parts.vm, "");
  m.wanted = true;
  send_to_some (l, &m, WANTED_RECEIVERS);
  record_clear (&quarantine_report_record, &m);
}

/* Sends TO what this VM knows of SERVICE: all parts in quarantine, and some
   crashes.  */
static void
respond (struct quarantine_link *l, const char *service, struct quarantine *q,
         const struct member *to)
{
  unsigned count = quarantine_entries (q) / QUARANTINE_MESSAGE_STATES_MAX + 1;
  for (unsigned i = 0; i < MIN (count, RESPONSE_MESSAGES_MAX); i++)
    {
      struct quarantine_report m;
      quarantine_message_init (&m, l->parts.vm, service);
      add_knowledge (q, &m, clock_ms ());
      if (!quarantine_message_is_empty (&m))
        send_to (l, to, &m);
      record_clear (&quarantine_report_record, &m);
    }
}

/* Sends TO what this VM knows; one message more than that, so that TO is
   informed if there is nothing.  */
static void
respond_all (struct quarantine_link *l, const struct member *to)
{
  GHashTableIter iter;
  void *service = NULL;
  void *q = NULL;
  struct quarantine_report m;
  g_hash_table_iter_init (&iter, l->services);
  while (g_hash_table_iter_next (&iter, &service, &q))
    respond (l, service, q, to);
  quarantine_message_init (&m, l->parts.vm, "");
  send_to (l, to, &m);
  record_clear (&quarantine_report_record, &m);
}

/* Receiving.  */

static void
merge_crash (struct quarantine *q, const struct part_crash *c, int64_t now)
{
  uint64_t parts[CRASH_EVIDENCE_PARTS_MAX];
  struct crash_report r
      = { .upstream = c->upstream,
          .started_ms = (int64_t)c->started_ms,
          .at_ms = quarantine_message_time (c->age_ms, now),
          .parts = parts,
          .n_parts = quarantine_message_parts (c->parts, parts) };
  crash_evidence_merge (quarantine_evidence (q), &r, now);
}

static void
merge_state (struct quarantine *q, const struct part_state *s,
             const struct quarantine_report *m, int64_t now)
{
  struct quarantine_entry e
      = { .part = s->part,
          .round = s->round,
          .released = s->released,
          .crashes = (unsigned)s->crashes,
          .convicted_ms = quarantine_message_time (s->age_ms, now),
          .canary_ms = now + quarantine_message_duration (s->canary_ms),
          .interval_ms = quarantine_message_duration (s->interval_ms) };
  if (quarantine_merge (q, &e, now))
    log_state (&e, m->service, m->from);
}

/* Merges what M tells of its service into Q.  */
static void
merge (struct quarantine *q, const struct quarantine_report *m, int64_t now)
{
  for (guint i = 0; i < m->crashes->len; i++)
    merge_crash (q, &g_array_index (m->crashes, struct part_crash, i), now);
  for (guint i = 0; i < m->answers->len; i++)
    {
      const struct part_answer *a
          = &g_array_index (m->answers, struct part_answer, i);
      quarantine_merge_answer (q, a->part,
                               quarantine_message_time (a->age_ms, now));
    }
  for (guint i = 0; i < m->states->len; i++)
    merge_state (q, &g_array_index (m->states, struct part_state, i), m, now);
}

void
quarantine_link_handle_frame (struct quarantine_link *l, const struct frame *f)
{
  if (f->type != MESSAGE_QUARANTINE_REPORT)
    return;
  const struct quarantine_report *m = f->message;
  const struct member *from = members_find (l->parts.peers.members, m->from);
  struct quarantine *q = quarantine_message_is_empty (m)
                             ? NULL
                             : get_quarantine (l, m->service);
  if (q)
    merge (q, m, clock_ms ());
  if (m->wanted && from && member_live (from))
    respond_all (l, from);
  l->is_informed |= !m->wanted;
}

/* What this VM sees, and decisions.  */

void
quarantine_link_record_lost (struct quarantine_link *l,
                             const struct upstream_info *upstream,
                             const struct prompt *prompt)
{
  if (upstream == NULL || upstream->leaving
      || prompt_shared_parts (prompt) == 0)
    return;
  struct quarantine *q = get_quarantine (l, upstream->service);
  if (q)
    quarantine_record_lost (q, upstream->id, upstream->start_wall_ms, prompt,
                            clock_ms ());
}

void
quarantine_link_record_refused (struct quarantine_link *l, const char *service,
                                const char *id)
{
  struct quarantine *q = find_quarantine (l, service);
  if (q)
    crash_evidence_record_refused (quarantine_evidence (q), id, clock_ms ());
}

void
quarantine_link_record_response (struct quarantine_link *l,
                                 const char *service, const char *id,
                                 int64_t sent_ms)
{
  struct quarantine *q = find_quarantine (l, service);
  if (q)
    crash_evidence_record_response (quarantine_evidence (q), id, sent_ms);
}

void
quarantine_link_record_gone (struct quarantine_link *l,
                             const struct upstream_info *upstream)
{
  struct quarantine *q = find_quarantine (l, upstream->service);
  if (q && !upstream->leaving)
    crash_evidence_record_gone (quarantine_evidence (q), upstream->id,
                                clock_ms ());
}

void
quarantine_link_record_answer (struct quarantine_link *l, const char *service,
                               const struct prompt *prompt)
{
  if (prompt_shared_parts (prompt) == 0)
    return;
  struct quarantine *q = get_quarantine (l, service);
  if (q)
    quarantine_record_answer (q, prompt, clock_ms ());
}

/* Whether this VM is the one that sends canaries for PART.  */
static bool
sends_canaries (void *arg, uint64_t part)
{
  const struct quarantine_link *l = arg;
  char text[PART_TEXT_SIZE];
  const struct member *self
      = g_ptr_array_index (members_all (l->parts.peers.members), 0);
  return rank_engine_home (l->parts.peers.members, part_text (part, text),
                           self->info.region)
         == self;
}

enum quarantine_verdict
quarantine_link_check (struct quarantine_link *l, const char *service,
                       const char *id, const struct prompt *prompt,
                       unsigned *wait_ms)
{
  struct quarantine *q = find_quarantine (l, service);
  if (q == NULL)
    return QUARANTINE_PASS;
  enum quarantine_verdict v
      = quarantine_check (q, prompt, sends_canaries, l, clock_ms (), wait_ms);
  if (v == QUARANTINE_PASS)
    return v;
  bool refused = v == QUARANTINE_REFUSE;
  g_autofree char *parts = prompt_shared_parts_text (prompt);
  metrics_add (refused ? METRIC_quarantine_refused_total
                       : METRIC_quarantine_canaries_total,
               1);
  log_event (LOG_INFO, refused ? "request_quarantined" : "canary_sent",
             "request", id, "service", service, "shared_parts", parts,
             "wait_ms", log_num (refused ? *wait_ms : 0), NULL);
  return v;
}

bool
quarantine_link_blocks (const struct quarantine_link *l, const char *service,
                        const struct prompt *prompt)
{
  const struct quarantine *q = find_quarantine (l, service);
  return q && quarantine_blocks (q, prompt);
}

bool
quarantine_link_suspects (const struct quarantine_link *l, const char *service,
                          const struct prompt *prompt)
{
  const struct quarantine *q = find_quarantine (l, service);
  return q && quarantine_suspects (q, prompt);
}

/* Argument of visit_entry.  */
struct service_visit
{
  const char *service;
  quarantine_link_visit *visit;
  void *arg;
};

static void
visit_entry (void *arg, const struct quarantine_entry *entry)
{
  const struct service_visit *v = arg;
  v->visit (v->arg, v->service, entry);
}

void
quarantine_link_foreach (const struct quarantine_link *l,
                         quarantine_link_visit *visit, void *arg)
{
  GHashTableIter iter;
  void *service = NULL;
  void *q = NULL;
  struct service_visit v = { .visit = visit, .arg = arg };
  g_hash_table_iter_init (&iter, l->services);
  while (g_hash_table_iter_next (&iter, &service, &q))
    {
      v.service = service;
      quarantine_foreach (q, visit_entry, &v);
    }
}

/* Timer, creation and destruction.  */

/* Totals over all services.  */
struct totals
{
  unsigned parts;
  unsigned unexplained;
  uint64_t explained;
};

static void
add_totals (const struct quarantine *q, struct totals *t)
{
  uint64_t explained = 0;
  unsigned unexplained = 0;
  crash_evidence_totals (quarantine_evidence ((struct quarantine *)q),
                         &explained, &unexplained);
  t->parts += quarantine_count (q);
  t->explained += explained;
  t->unexplained += unexplained;
}

void
quarantine_link_send (struct quarantine_link *l, int64_t now)
{
  struct totals t = { 0 };
  bool resends = now - l->resend_ms >= RESEND_MS;
  GHashTableIter iter;
  void *service = NULL;
  void *q = NULL;
  if (l->tick_ms > 0 && now - l->tick_ms > PAUSE_MIN_MS)
    l->is_informed = false;
  l->tick_ms = now;
  g_hash_table_iter_init (&iter, l->services);
  while (g_hash_table_iter_next (&iter, &service, &q))
    {
      quarantine_tick (q, now);
      send_news (l, service, q, now);
      if (resends)
        resend (l, service, q, now);
      add_totals (q, &t);
    }
  if (resends)
    l->resend_ms = now;
  ask (l, now);
  metrics_set (METRIC_parts_quarantined, t.parts);
  metrics_set (METRIC_crashes_unexplained, t.unexplained);
  metrics_set_counter (METRIC_crashes_explained_total, t.explained);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  quarantine_link_send (arg, clock_ms ());
}

static void
destroy_quarantine (void *q)
{
  quarantine_destroy (q);
}

struct quarantine_link *
quarantine_link_create (const struct quarantine_link_parts *parts)
{
  static const struct timeval tick = { 0, TICK_MS * 1000 };
  struct quarantine_link *l = g_new0 (struct quarantine_link, 1);
  l->parts = *parts;
  l->canary_ms = QUARANTINE_CANARY_MS;
  l->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                       destroy_quarantine);
  l->timer = event_new (parts->base, -1, EV_PERSIST, on_tick, l);
  event_add (l->timer, &tick);
  return l;
}

void
quarantine_link_destroy (struct quarantine_link *l)
{
  if (l == NULL)
    return;
  event_free (l->timer);
  g_hash_table_destroy (l->services);
  g_free (l);
}

void
quarantine_link_set_canary_s (struct quarantine_link *l, unsigned s)
{
  GHashTableIter iter;
  void *q = NULL;
  l->canary_ms = (int64_t)s * MS_PER_S;
  g_hash_table_iter_init (&iter, l->services);
  while (g_hash_table_iter_next (&iter, NULL, &q))
    quarantine_set_canary_ms (q, l->canary_ms);
}
