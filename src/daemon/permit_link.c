#include "daemon/permit_link.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "decide/rank.h"

#include <string.h>

/* Time that the home VM has to answer: a round trip, and what it may be busy
   for.  */
#define ROUND_TRIP_NEAR_MS 4
#define ROUND_TRIP_FAR_MS 28
#define BUSY_MS 25
/* A VM that did not answer is not asked for as long.  */
#define UNASKED_MS 400
/* How often permits without an end are looked for.  */
#define TICK_MS 500
#define MS_PER_S 1000

/* One question of this VM, until its request has ended.  */
struct question
{
  struct permit_link *link;
  permit_ticket ticket;
  char *home; /* VM that was asked */
  upstream_handle upstream;
  permit_answered *answered; /* NULL once it was called */
  void *arg;
  struct event *timer;
};

struct permit_link
{
  struct permit_link_parts parts;
  struct permits *permits;
  GHashTable *questions; /* ticket -> struct question */
  GHashTable *silent;    /* VM -> until when it is not asked, int64_t */
  permit_ticket last;
  struct event *timer;
};

static void
question_free (void *value)
{
  struct question *q = value;
  if (q->timer)
    event_free (q->timer);
  g_free (q->home);
  g_free (q);
}

/* Asking.  */

static bool
is_silent (const struct permit_link *l, const char *vm, int64_t now)
{
  const int64_t *until = g_hash_table_lookup (l->silent, vm);
  return until && now < *until;
}

static void
on_timeout (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct question *q = arg;
  struct permit_link *l = q->link;
  permit_answered *answered = q->answered;
  int64_t *until = g_new (int64_t, 1);
  *until = clock_ms () + UNASKED_MS;
  if (!g_hash_table_contains (l->silent, q->home))
    log_event (LOG_INFO, "home_silent", "vm", q->home, "unasked_ms",
               log_num (UNASKED_MS), NULL);
  g_hash_table_replace (l->silent, g_strdup (q->home), until);
  metrics_add (METRIC_permits_unanswered_total, 1);
  q->answered = NULL;
  answered (q->arg, PERMIT_ALONE);
}

static unsigned
answer_within_ms (const struct permit_link *l, const struct member *home)
{
  const struct permit_link_parts *p = &l->parts;
  const char *theirs = p->region_of (p->arg, home->info.failure_domain);
  const char *ours = p->region_of (p->arg, p->failure_domain);
  bool near = theirs && ours && strcmp (theirs, ours) == 0;
  return BUSY_MS + (near ? ROUND_TRIP_NEAR_MS : ROUND_TRIP_FAR_MS);
}

static void
send_question (struct permit_link *l, const struct question *q,
               const struct permit_question *asked, const struct member *home)
{
  struct permit_ask m
      = { .from = (char *)(uintptr_t)l->parts.vm,
          .seq = q->ticket,
          .upstream = (char *)(uintptr_t)asked->upstream,
          .work = asked->work,
          .tokens = asked->tokens,
          .slots = asked->slots,
          .tokens_per_s = (uint64_t)(asked->tokens_per_ms * MS_PER_S),
          .limit_ms = (uint64_t)MAX (asked->limit_ms, 0) };
  unsigned ms = answer_within_ms (l, home);
  struct timeval tv = { 0, (suseconds_t)ms * 1000 };
  evtimer_add (q->timer, &tv);
  l->parts.send (l->parts.arg, home, MESSAGE_PERMIT_ASK, &m);
}

static struct question *
question_create (struct permit_link *l, const char *home,
                 const struct upstream_choice *choice)
{
  struct question *q = g_new0 (struct question, 1);
  q->link = l;
  q->ticket = ++l->last;
  q->home = g_strdup (home);
  q->upstream = choice->handle;
  g_hash_table_insert (l->questions, &q->ticket, q);
  return q;
}

enum permit_state
permit_link_ask (struct permit_link *l, const struct upstream_choice *choice,
                 double limit_ms, permit_answered *answered, void *arg,
                 permit_ticket *ticket)
{
  int64_t now = clock_ms ();
  const struct upstream_info *info
      = upstreams_info (l->parts.upstreams, choice->handle);
  const struct member *home
      = info ? rank_upstream_home (l->parts.members, info->id,
                                   info->failure_domain)
             : NULL;
  *ticket = 0;
  if (home == NULL || is_silent (l, home->info.id, now))
    return PERMIT_ALONE;
  struct question *q = question_create (l, home->info.id, choice);
  struct permit_question asked = { .vm = l->parts.vm,
                                   .seq = q->ticket,
                                   .upstream = info->id,
                                   .work = choice->work,
                                   .tokens = choice->tokens,
                                   .slots = info->slots,
                                   .tokens_per_ms = upstreams_speed (
                                       l->parts.upstreams, choice->handle),
                                   .limit_ms = limit_ms };
  metrics_add (METRIC_permits_asked_total, 1);
  *ticket = q->ticket;
  if (strcmp (home->info.id, l->parts.vm) != 0)
    {
      q->answered = answered;
      q->arg = arg;
      q->timer = evtimer_new (l->parts.base, on_timeout, q);
      send_question (l, q, &asked, home);
      return PERMIT_WAITS;
    }
  struct permit_decision d = permits_ask (l->permits, &asked, now);
  upstreams_told (l->parts.upstreams, choice->handle, &d.load, d.tokens_per_ms,
                  now);
  if (d.granted)
    return PERMIT_GRANTED;
  g_hash_table_remove (l->questions, &q->ticket);
  *ticket = 0;
  return PERMIT_REFUSED;
}

static void
send_note (struct permit_link *l, const struct question *q, bool ended,
           unsigned took_ms)
{
  if (strcmp (q->home, l->parts.vm) == 0)
    {
      if (ended)
        permits_ended (l->permits, l->parts.vm, q->ticket);
      else
        permits_read (l->permits, l->parts.vm, q->ticket, took_ms);
      return;
    }
  const struct member *home = members_find (l->parts.members, q->home);
  struct permit_note m = { .from = (char *)(uintptr_t)l->parts.vm,
                           .seq = q->ticket,
                           .ended = ended,
                           .took_ms = took_ms };
  if (home)
    l->parts.send (l->parts.arg, home, MESSAGE_PERMIT_NOTE, &m);
}

/* The question of TICKET, or NULL; without engines there is no link.  */
static const struct question *
find_question (const struct permit_link *l, permit_ticket ticket)
{
  return ticket != 0 ? g_hash_table_lookup (l->questions, &ticket) : NULL;
}

void
permit_link_read (struct permit_link *l, permit_ticket ticket,
                  unsigned took_ms)
{
  const struct question *q = find_question (l, ticket);
  if (q)
    send_note (l, q, false, took_ms);
}

void
permit_link_end (struct permit_link *l, permit_ticket ticket)
{
  const struct question *q = find_question (l, ticket);
  if (q == NULL)
    return;
  send_note (l, q, true, 0);
  g_hash_table_remove (l->questions, &ticket);
}

static void
take_answer (struct permit_link *l, const struct permit_answer *m)
{
  permit_ticket ticket = m->seq;
  struct question *q = g_hash_table_lookup (l->questions, &ticket);
  struct upstream_load load = { .running = (uint32_t)m->running,
                                .generating = (uint32_t)m->generating,
                                .tokens = m->tokens };
  if (q == NULL)
    return;
  g_hash_table_remove (l->silent, q->home);
  upstreams_told (l->parts.upstreams, q->upstream, &load,
                  (double)m->tokens_per_s / MS_PER_S, clock_ms ());
  permit_answered *answered = q->answered;
  void *arg = q->arg;
  if (answered == NULL)
    return;
  q->answered = NULL;
  evtimer_del (q->timer);
  if (!m->granted)
    g_hash_table_remove (l->questions, &ticket);
  answered (arg, m->granted ? PERMIT_GRANTED : PERMIT_REFUSED);
}

/* The engine of M has another role, after a pause.  */
static void
take_role (struct permit_link *l, const struct role_change *m)
{
  permits_hold (l->permits, m->upstream, clock_ms () + (int64_t)m->ms);
  upstreams_set_role (l->parts.upstreams, m->upstream,
                      (enum upstream_role)m->role);
  log_event (LOG_INFO, "role_told", "upstream", m->upstream, "role",
             log_num ((long long)m->role), "pause_ms",
             log_num ((long long)m->ms), NULL);
}

void
permit_link_role (struct permit_link *l, const char *id,
                  enum upstream_role role, unsigned ms)
{
  const GPtrArray *all = members_all (l->parts.members);
  struct role_change m
      = { .upstream = (char *)(uintptr_t)id, .role = role, .ms = ms };
  take_role (l, &m);
  for (guint i = 1; i < all->len; i++)
    {
      const struct member *to = g_ptr_array_index (all, i);
      if (member_live (to))
        l->parts.send (l->parts.arg, to, MESSAGE_ROLE_CHANGE, &m);
    }
}

/* Answering.  */

static void
take_question (struct permit_link *l, const struct permit_ask *m)
{
  int64_t now = clock_ms ();
  const struct member *from = members_find (l->parts.members, m->from);
  struct permit_question q
      = { .vm = m->from,
          .seq = m->seq,
          .upstream = m->upstream,
          .work = (enum upstream_work_kind)m->work,
          .tokens = m->tokens,
          .slots = (unsigned)m->slots,
          .tokens_per_ms = (double)m->tokens_per_s / MS_PER_S,
          .limit_ms = (double)m->limit_ms };
  if (from == NULL)
    return;
  struct permit_decision d = permits_ask (l->permits, &q, now);
  struct permit_answer answer
      = { .seq = m->seq,
          .granted = d.granted,
          .wait_ms = (uint64_t)d.wait_ms,
          .running = d.load.running,
          .generating = d.load.generating,
          .tokens = d.load.tokens,
          .tokens_per_s = (uint64_t)(d.tokens_per_ms * MS_PER_S) };
  l->parts.send (l->parts.arg, from, MESSAGE_PERMIT_ANSWER, &answer);
}

static void
take_note (struct permit_link *l, const struct permit_note *m)
{
  if (m->ended)
    permits_ended (l->permits, m->from, m->seq);
  else
    permits_read (l->permits, m->from, m->seq, (unsigned)m->took_ms);
}

void
permit_link_take (struct permit_link *l, const struct frame *f)
{
  if (f->type == MESSAGE_PERMIT_ASK)
    take_question (l, f->message);
  else if (f->type == MESSAGE_PERMIT_ANSWER)
    take_answer (l, f->message);
  else if (f->type == MESSAGE_PERMIT_NOTE)
    take_note (l, f->message);
  else if (f->type == MESSAGE_ROLE_CHANGE)
    take_role (l, f->message);
}

/* Making and releasing.  */

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct permit_link *l = arg;
  permits_tick (l->permits, clock_ms ());
  metrics_set (METRIC_permits_open, permits_open (l->permits));
}

struct permit_link *
permit_link_create (const struct permit_link_parts *parts)
{
  static const struct timeval tick = { 0, TICK_MS * 1000 };
  struct permit_link *l = g_new0 (struct permit_link, 1);
  l->parts = *parts;
  l->permits = permits_create ();
  l->questions = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                        question_free);
  l->silent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  l->timer = event_new (parts->base, -1, EV_PERSIST, on_tick, l);
  event_add (l->timer, &tick);
  return l;
}

void
permit_link_destroy (struct permit_link *l)
{
  if (l == NULL)
    return;
  event_free (l->timer);
  g_hash_table_destroy (l->questions);
  g_hash_table_destroy (l->silent);
  permits_destroy (l->permits);
  g_free (l);
}
