#include "daemon/permit_link.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "daemon/vm_broadcast.h"
#include "decide/rank.h"

#include <string.h>

/* Time-out of a permit request: one network round trip, within a region or
   between two, plus the time that the home VM may be busy.  */
#define SAME_REGION_RTT_MS 4
#define CROSS_REGION_RTT_MS 28
#define HOME_PROCESSING_MS 25
/* After a time-out, no permits are requested from that home VM for this
   long.  */
#define HOME_BACKOFF_MS 400
/* How often granted permits whose end was not reported in time are
   removed.  */
#define EXPIRY_CHECK_MS 500
#define US_PER_MS 1000
/* Largest number, of tokens or milliseconds, that is taken from a message; far
   above any real one, and low enough that sums and products stay in range.  */
#define STATED_MAX ((uint64_t)1 << 40)

/* A permit that this VM has requested, until it is refused or the request that
   it is for has ended.  */
struct outstanding_permit
{
  struct permit_link *link;
  permit_ticket ticket;
  char *home; /* VM from which it was requested */
  upstream_handle upstream;
  enum upstream_work_kind work;
  permit_callback *answered; /* NULL after its call, or if HOME is this VM */
  void *arg;
  struct event *timer;
};

struct permit_link
{
  struct permit_link_parts parts;
  struct permits *permits;
  GHashTable *outstanding;  /* ticket -> struct outstanding_permit */
  GHashTable *unresponsive; /* home VM -> end of its back-off, int64_t ms */
  permit_ticket last_ticket;
  struct event *timer;
};

static void
outstanding_permit_free (void *value)
{
  struct outstanding_permit *o = value;
  if (o->timer)
    event_free (o->timer);
  g_free (o->home);
  g_free (o);
}

static uint64_t
limit_stated (uint64_t value)
{
  return MIN (value, STATED_MAX);
}

/* Requesting permits from home VMs.  */

static bool
is_unresponsive (const struct permit_link *l, const char *vm, int64_t now)
{
  const int64_t *until = g_hash_table_lookup (l->unresponsive, vm);
  return until && now < *until;
}

static void
on_timeout (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct outstanding_permit *o = arg;
  struct permit_link *l = o->link;
  permit_callback *answered = o->answered;
  int64_t *until = g_new (int64_t, 1);
  *until = clock_ms () + HOME_BACKOFF_MS;
  if (!g_hash_table_contains (l->unresponsive, o->home))
    log_event (LOG_INFO, "home_silent", "vm", o->home, "backoff_ms",
               log_num (HOME_BACKOFF_MS), NULL);
  g_hash_table_replace (l->unresponsive, g_strdup (o->home), until);
  metrics_add (METRIC_permits_unanswered_total, 1);
  o->answered = NULL;
  answered (o->arg, PERMIT_UNAVAILABLE, 0);
}

static unsigned
answer_timeout_ms (const struct permit_link *l, const struct member *home)
{
  const struct permit_link_parts *p = &l->parts;
  const char *home_region = p->region_of (p->arg, home->info.failure_domain);
  const char *own_region = p->region_of (p->arg, p->failure_domain);
  bool same_region
      = home_region && own_region && strcmp (home_region, own_region) == 0;
  return HOME_PROCESSING_MS
         + (same_region ? SAME_REGION_RTT_MS : CROSS_REGION_RTT_MS);
}

static void
send_ask (struct permit_link *l, const struct outstanding_permit *o,
          const struct permit_request *request, const struct member *home)
{
  struct permit_ask m
      = { .from = (char *)(uintptr_t)l->parts.vm,
          .seq = o->ticket,
          .upstream = (char *)(uintptr_t)request->upstream,
          .work = request->work,
          .tokens = request->tokens,
          .slots = request->slots,
          .fixed_us = (uint64_t)(request->rates.fixed_ms * US_PER_MS),
          .us_per_1000 = (uint64_t)(request->rates.ms_per_1000 * US_PER_MS),
          .residence_ms = (uint64_t)request->residence_ms,
          .kv_tokens = request->kv_tokens,
          .started_ms = (uint64_t)MAX (request->started_ms, 0),
          .queue_limit_ms = (uint64_t)MAX (request->queue_limit_ms, 0),
          .wait_limit_ms = (uint64_t)MAX (request->wait_limit_ms, 0),
          .link_ms = (uint64_t)request->link_ms,
          .delay_ms = (uint64_t)request->delay_ms };
  g_autoptr (GArray) parts
      = g_array_new (FALSE, FALSE, sizeof (struct permit_part));
  m.parts = parts;
  if (request->prompt)
    {
      m.prompt_tokens = request->prompt->tokens;
      for (unsigned i = 0; i < request->prompt->n_parts; i++)
        {
          struct permit_part part = { request->prompt->parts[i].id,
                                      request->prompt->parts[i].tokens };
          g_array_append_val (parts, part);
        }
    }
  unsigned ms = answer_timeout_ms (l, home);
  struct timeval tv = { 0, (suseconds_t)ms * 1000 };
  if (o->timer)
    evtimer_add (o->timer, &tv);
  l->parts.send (l->parts.arg, home, MESSAGE_PERMIT_ASK, &m);
}

static struct outstanding_permit *
outstanding_permit_create (struct permit_link *l, const char *home,
                           const struct upstream_choice *choice)
{
  struct outstanding_permit *o = g_new0 (struct outstanding_permit, 1);
  o->link = l;
  o->ticket = ++l->last_ticket;
  o->home = g_strdup (home);
  o->upstream = choice->handle;
  o->work = choice->work;
  g_hash_table_insert (l->outstanding, &o->ticket, o);
  return o;
}

enum permit_state
permit_link_request (struct permit_link *l, struct upstream_choice *choice,
                     const struct prompt *prompt,
                     const struct permit_limits *limits,
                     permit_callback *answered, void *arg,
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
  if (home == NULL || is_unresponsive (l, home->info.id, now))
    return PERMIT_UNAVAILABLE;
  struct outstanding_permit *o
      = outstanding_permit_create (l, home->info.id, choice);
  struct permit_request request
      = { .vm = l->parts.vm,
          .seq = o->ticket,
          .upstream = info->id,
          .work = choice->work,
          .tokens = choice->tokens,
          .prompt = prompt,
          .kv_tokens = choice->kv_tokens,
          .started_ms = info->start_wall_ms,
          .slots = info->slots,
          .rates
          = upstreams_rates (l->parts.upstreams, choice->handle, choice->work),
          .residence_ms = choice->residence_ms,
          .link_ms = choice->link_ms,
          .delay_ms = limits->delay_ms,
          .queue_limit_ms = limits->queue_ms,
          .wait_limit_ms = limits->wait_ms };
  metrics_add (METRIC_permits_asked_total, 1);
  *ticket = o->ticket;
  if (strcmp (home->info.id, l->parts.vm) != 0)
    {
      o->answered = answered;
      o->arg = arg;
      if (answered)
        o->timer = evtimer_new (l->parts.base, on_timeout, o);
      send_ask (l, o, &request, home);
      return answered ? PERMIT_PENDING : PERMIT_GRANTED;
    }
  struct permit_decision d = permits_request (l->permits, &request, now);
  upstreams_set_home_load (l->parts.upstreams, choice->handle, &d.load,
                           choice->work, &d.rates, now);
  choice->tokens = d.tokens;
  if (d.granted || answered == NULL)
    return PERMIT_GRANTED;
  g_hash_table_remove (l->outstanding, &o->ticket);
  *ticket = 0;
  return PERMIT_REFUSED;
}

/* Tells the home VM of O that the prompt was prefilled in TOOK_MS or, if
   ENDED, that the request has ended.  */
static void
notify_home (struct permit_link *l, const struct outstanding_permit *o,
             bool ended, unsigned took_ms)
{
  if (strcmp (o->home, l->parts.vm) == 0)
    {
      if (ended)
        permits_request_ended (l->permits, l->parts.vm, o->ticket,
                               clock_ms ());
      else
        permits_request_prefilled (l->permits, l->parts.vm, o->ticket, took_ms,
                                   clock_ms ());
      return;
    }
  const struct member *home = members_find (l->parts.members, o->home);
  struct permit_note m = { .from = (char *)(uintptr_t)l->parts.vm,
                           .seq = o->ticket,
                           .ended = ended,
                           .took_ms = took_ms };
  if (home)
    l->parts.send (l->parts.arg, home, MESSAGE_PERMIT_NOTE, &m);
}

/* Returns the outstanding permit of TICKET, or NULL.  Without engines there is
   no link: then L is NULL and TICKET is 0.  */
static const struct outstanding_permit *
find_outstanding (const struct permit_link *l, permit_ticket ticket)
{
  return ticket != 0 ? g_hash_table_lookup (l->outstanding, &ticket) : NULL;
}

void
permit_link_prefill_done (struct permit_link *l, permit_ticket ticket,
                          unsigned took_ms)
{
  const struct outstanding_permit *o = find_outstanding (l, ticket);
  if (o)
    notify_home (l, o, false, took_ms);
}

void
permit_link_end (struct permit_link *l, permit_ticket ticket)
{
  const struct outstanding_permit *o = find_outstanding (l, ticket);
  if (o == NULL)
    return;
  notify_home (l, o, true, 0);
  g_hash_table_remove (l->outstanding, &ticket);
}

static void
handle_response (struct permit_link *l, const struct permit_answer *m)
{
  permit_ticket ticket = m->seq;
  struct outstanding_permit *o = g_hash_table_lookup (l->outstanding, &ticket);
  struct upstream_load load
      = { .running = (uint32_t)MIN (m->running, UINT32_MAX),
          .generating = (uint32_t)MIN (m->generating, UINT32_MAX),
          .tokens = limit_stated (m->tokens),
          .link_wait_ms = (uint32_t)MIN (m->link_wait_ms, UINT32_MAX) };
  if (o == NULL)
    return;
  g_hash_table_remove (l->unresponsive, o->home);
  struct engine_rates rates
      = { .fixed_ms = (double)m->fixed_us / US_PER_MS,
          .ms_per_1000 = (double)m->us_per_1000 / US_PER_MS,
          .samples = (unsigned)MIN (m->samples, G_MAXUINT) };
  upstreams_set_home_load (l->parts.upstreams, o->upstream, &load, o->work,
                           &rates, clock_ms ());
  permit_callback *answered = o->answered;
  void *arg = o->arg;
  if (answered == NULL)
    return;
  o->answered = NULL;
  evtimer_del (o->timer);
  if (!m->granted)
    g_hash_table_remove (l->outstanding, &ticket);
  answered (arg, m->granted ? PERMIT_GRANTED : PERMIT_REFUSED, m->to_prefill);
}

/* The engine of M changes its role: no permit is granted for it until its
   pause of M->ms has passed.  */
static void
apply_role_change (struct permit_link *l, const struct role_change *m)
{
  int64_t pause_ms = (int64_t)limit_stated (m->ms);
  permits_pause_engine (l->permits, m->upstream, clock_ms () + pause_ms);
  upstreams_set_role (l->parts.upstreams, m->upstream,
                      (enum upstream_role)m->role);
  log_event (LOG_INFO, "role_told", "upstream", m->upstream, "role",
             log_num ((long long)m->role), "pause_ms", log_num (pause_ms),
             NULL);
}

void
permit_link_announce_role (struct permit_link *l, const char *id,
                           enum upstream_role role, unsigned ms)
{
  struct role_change m
      = { .upstream = (char *)(uintptr_t)id, .role = role, .ms = ms };
  struct vm_broadcast peers
      = { l->parts.members, l->parts.send, l->parts.arg };
  apply_role_change (l, &m);
  vm_broadcast_all (&peers, MESSAGE_ROLE_CHANGE, &m);
}

/* Messages from other VMs.  */

static void
handle_ask (struct permit_link *l, const struct permit_ask *m)
{
  int64_t now = clock_ms ();
  const struct member *from = members_find (l->parts.members, m->from);
  struct permit_request q
      = { .vm = m->from,
          .seq = m->seq,
          .upstream = m->upstream,
          .work = (enum upstream_work_kind)m->work,
          .tokens = limit_stated (m->tokens),
          .kv_tokens = limit_stated (m->kv_tokens),
          .started_ms = (int64_t)MIN (m->started_ms, INT64_MAX),
          .slots = (unsigned)MIN (m->slots, G_MAXUINT),
          .rates = { .fixed_ms = (double)m->fixed_us / US_PER_MS,
                     .ms_per_1000 = (double)m->us_per_1000 / US_PER_MS },
          .residence_ms = (double)limit_stated (m->residence_ms),
          .link_ms = (double)limit_stated (m->link_ms),
          .delay_ms = (double)limit_stated (m->delay_ms),
          .queue_limit_ms = (double)limit_stated (m->queue_limit_ms),
          .wait_limit_ms = (double)limit_stated (m->wait_limit_ms) };
  if (from == NULL)
    return;
  struct prompt prompt = { .tokens = limit_stated (m->prompt_tokens) };
  for (guint i = 0; i < m->parts->len && i < PROMPT_PARTS_MAX; i++)
    {
      const struct permit_part *part
          = &g_array_index (m->parts, struct permit_part, i);
      prompt.parts[prompt.n_parts++]
          = (struct prompt_part){ part->id, (uint32_t)part->tokens };
    }
  if (prompt.n_parts > 0)
    q.prompt = &prompt;
  struct permit_decision d = permits_request (l->permits, &q, now);
  struct permit_answer answer
      = { .seq = m->seq,
          .granted = d.granted,
          .wait_ms = (uint64_t)d.wait_ms,
          .running = d.load.running,
          .generating = d.load.generating,
          .tokens = d.load.tokens,
          .fixed_us = (uint64_t)(d.rates.fixed_ms * US_PER_MS),
          .us_per_1000 = (uint64_t)(d.rates.ms_per_1000 * US_PER_MS),
          .samples = d.rates.samples,
          .to_prefill = d.tokens,
          .link_wait_ms = d.load.link_wait_ms };
  l->parts.send (l->parts.arg, from, MESSAGE_PERMIT_ANSWER, &answer);
}

static void
handle_note (struct permit_link *l, const struct permit_note *m)
{
  if (m->ended)
    permits_request_ended (l->permits, m->from, m->seq, clock_ms ());
  else
    permits_request_prefilled (l->permits, m->from, m->seq,
                               (unsigned)MIN (m->took_ms, G_MAXUINT),
                               clock_ms ());
}

void
permit_link_handle_frame (struct permit_link *l, const struct frame *f)
{
  if (f->type == MESSAGE_PERMIT_ASK)
    handle_ask (l, f->message);
  else if (f->type == MESSAGE_PERMIT_ANSWER)
    handle_response (l, f->message);
  else if (f->type == MESSAGE_PERMIT_NOTE)
    handle_note (l, f->message);
  else if (f->type == MESSAGE_ROLE_CHANGE)
    apply_role_change (l, f->message);
}

/* Creation and destruction.  */

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct permit_link *l = arg;
  permits_expire (l->permits, clock_ms ());
  metrics_set (METRIC_permits_open, permits_open (l->permits));
}

struct permit_link *
permit_link_create (const struct permit_link_parts *parts)
{
  static const struct timeval tick = { 0, EXPIRY_CHECK_MS * 1000 };
  struct permit_link *l = g_new0 (struct permit_link, 1);
  l->parts = *parts;
  l->permits = permits_create ();
  l->outstanding = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                          outstanding_permit_free);
  l->unresponsive
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
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
  g_hash_table_destroy (l->outstanding);
  g_hash_table_destroy (l->unresponsive);
  permits_destroy (l->permits);
  g_free (l);
}
