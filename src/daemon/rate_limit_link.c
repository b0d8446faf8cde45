#include "daemon/rate_limit_link.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "decide/rank.h"
#include "decide/rate_lender.h"

#include <string.h>
#include <xxhash.h>

#define TICK_MS 50
/* Interval and number of receivers of the reports that make up for lost
   ones.  */
#define RESEND_MS 250
#define RESEND_RECEIVERS 2
/* A VM that knows nothing yet asks this many others, this often.  */
#define WANTED_MS 300
#define WANTED_RECEIVERS 3
/* A longer gap between two ticks means that this process did not run.  */
#define PAUSE_MIN_MS 1000
/* Most limits in a report, so that it fits into a datagram, and most reports
   in response to a VM that asks.  */
#define REPORT_STATES_MAX 6
#define RESPONSE_REPORTS_MAX 64
/* Interval between two requests for tokens of one upstream that change only
   their number: for each VM of the fleet, at least, and at most.  */
#define ASK_MS_PER_VM 4
#define ASK_MIN_MS 100
#define ASK_MAX_MS 800
/* Loans are dropped if the request for them is older.  */
#define LOAN_MAX_AGE_MS 3000
/* Time for which a VM that is no longer seen keeps its share of the limits, as
   it may be cut off and in use.  */
#define VMS_KEPT_MS 60000
#define USE_LOG_INTERVAL_MS 1000
#define MILLI 1000.0
/* Ages and limits in messages are cut at these.  */
#define AGE_MAX_MS ((uint64_t)7 * 24 * 3600 * 1000)
#define MILLI_PER_S_MAX ((uint64_t)1000000000)

struct rate_limit_link
{
  struct rate_limit_link_parts parts;
  struct rate_lender *lender;
  GHashTable *changed; /* upstream ids whose limits the others are not told */
  int64_t started_ms;
  unsigned vms;       /* most VMs lately */
  int64_t vms_ms;     /* when there were that many */
  uint64_t first_seq; /* of the loans of this process */
  uint64_t loan_seq;  /* of the latest loan */
  guint resend_at;    /* number of limits before the one to resend next */
  bool is_informed;   /* another VM has told what it knows */
  int64_t tick_ms;    /* when the timer last ran */
  int64_t resend_ms;  /* when this VM last resent */
  int64_t wanted_ms;  /* when this VM last asked for limits */
  int64_t logged_ms;  /* when the use of limits was last logged */
  void (*on_tokens) (void *arg);
  void *on_tokens_arg;
  struct event *timer;
};

static void
tokens_arrived (struct rate_limit_link *l)
{
  if (l->on_tokens)
    l->on_tokens (l->on_tokens_arg);
}

/* Messages.  */

static void
report_init (struct rate_report *m, const struct rate_limit_link *l)
{
  *m = (struct rate_report){ .from = (char *)(uintptr_t)l->parts.vm };
  m->states = g_array_new (FALSE, FALSE, sizeof (struct rate_state));
}

static struct rate_state
state_of (const struct upstream_info *info, const struct rate_limit *limit,
          int64_t now)
{
  return (struct rate_state){
    .upstream = info->id,
    .started_ms = (uint64_t)MAX (info->start_wall_ms, 0),
    .in_force = limit->in_force,
    .milli_per_s = (uint64_t)(limit->per_s * MILLI),
    .age_ms = (uint64_t)MAX (now - limit->stated_ms, 0),
  };
}

/* The limit in S, as of this VM's clock.  */
static struct rate_limit
limit_of (const struct rate_state *s, int64_t now)
{
  return (struct rate_limit){
    .in_force = s->in_force,
    .per_s = (double)MIN (s->milli_per_s, MILLI_PER_S_MAX) / MILLI,
    .stated_ms = now - (int64_t)MIN (s->age_ms, AGE_MAX_MS),
  };
}

/* What is known of limits.  */

/* The limit of H has changed, as REQUEST or the VM FROM told.  */
static void
limit_changed (struct rate_limit_link *l, upstream_handle h,
               const char *request, const char *from)
{
  struct upstream_rate *r = upstreams_rate (l->parts.upstreams, h);
  const struct upstream_info *info = upstreams_info (l->parts.upstreams, h);
  g_autofree char *per_s = g_strdup_printf ("%.3f", r->limit.per_s);
  if (!r->limit.in_force)
    {
      rate_tokens_reset (&r->tokens);
      rate_lender_drop (l->lender, info->id);
    }
  metrics_add (METRIC_upstream_limits_total, 1);
  log_event (LOG_INFO, "upstream_limit", "upstream", info->id, "in_force",
             r->limit.in_force ? "true" : "false", "per_s", per_s, "request",
             request, "from", from, "age_ms",
             log_num (clock_ms () - r->limit.stated_ms), NULL);
  if (!r->limit.in_force)
    tokens_arrived (l);
}

void
rate_limit_link_record (struct rate_limit_link *l, upstream_handle h,
                        const struct response_info *info, const char *request)
{
  struct upstream_rate *r = upstreams_rate (l->parts.upstreams, h);
  int64_t now = clock_ms ();
  if (r == NULL || info->limit == LIMIT_UNKNOWN)
    return;
  bool changed = info->limit == LIMIT_STATED
                     ? rate_limit_state (&r->limit, info->limit_per_s, now)
                     : rate_limit_state_none (&r->limit, now);
  if (!changed)
    return;
  const char *id = upstreams_info (l->parts.upstreams, h)->id;
  g_hash_table_add (l->changed, g_strdup (id));
  limit_changed (l, h, request, l->parts.vm);
}

/* Takes over what the VM FROM knows of a limit.  Returns the upstream, or 0 if
   this VM does not know that start of it.  */
static upstream_handle
merge_state (struct rate_limit_link *l, const struct rate_state *s,
             const char *from, int64_t now)
{
  upstream_handle h = upstreams_find (l->parts.upstreams, s->upstream);
  const struct upstream_info *info = upstreams_info (l->parts.upstreams, h);
  if (info == NULL || (uint64_t)MAX (info->start_wall_ms, 0) != s->started_ms)
    return 0;
  struct rate_limit told = limit_of (s, now);
  if (rate_limit_merge (&upstreams_rate (l->parts.upstreams, h)->limit, &told))
    limit_changed (l, h, "", from);
  return h;
}

/* Reports to other VMs.  */

/* Reports to send, filled up to REPORT_STATES_MAX limits each.  */
struct report_batch
{
  struct rate_limit_link *l;
  const struct member *to; /* NULL: all live VMs */
  struct rate_report message;
  unsigned sent;
  int64_t now;
};

static void
batch_flush (struct report_batch *b)
{
  const struct vm_broadcast *peers = &b->l->parts.peers;
  if (b->to)
    peers->send (peers->arg, b->to, MESSAGE_RATE_REPORT, &b->message);
  else
    vm_broadcast_all (peers, MESSAGE_RATE_REPORT, &b->message);
  g_array_set_size (b->message.states, 0);
  b->sent++;
}

static void
batch_add (struct report_batch *b, const struct upstream_info *info,
           const struct rate_limit *limit)
{
  struct rate_state s = state_of (info, limit, b->now);
  if (b->sent >= RESPONSE_REPORTS_MAX)
    return;
  g_array_append_val (b->message.states, s);
  if (b->message.states->len >= REPORT_STATES_MAX)
    batch_flush (b);
}

/* Tells all VMs the limits that have changed here.  */
static void
send_changes (struct rate_limit_link *l, int64_t now)
{
  struct report_batch b = { .l = l, .now = now };
  GHashTableIter it;
  gpointer id;
  if (g_hash_table_size (l->changed) == 0)
    return;
  report_init (&b.message, l);
  g_hash_table_iter_init (&it, l->changed);
  while (g_hash_table_iter_next (&it, &id, NULL))
    {
      upstream_handle h = upstreams_find (l->parts.upstreams, id);
      if (h != 0)
        batch_add (&b, upstreams_info (l->parts.upstreams, h),
                   &upstreams_rate (l->parts.upstreams, h)->limit);
    }
  if (b.message.states->len > 0)
    batch_flush (&b);
  g_array_free (b.message.states, TRUE);
  g_hash_table_remove_all (l->changed);
}

static void
add_known (void *arg, upstream_handle h, const struct upstream_info *info,
           struct upstream_rate *rate)
{
  (void)h;
  batch_add (arg, info, &rate->limit);
}

/* Tells TO all limits that this VM knows; at least one report, so that TO is
   informed if there is none.  */
static void
respond (struct rate_limit_link *l, const struct member *to, int64_t now)
{
  struct report_batch b = { .l = l, .to = to, .now = now };
  report_init (&b.message, l);
  upstreams_foreach_rate (l->parts.upstreams, add_known, &b);
  if (b.message.states->len > 0 || b.sent == 0)
    batch_flush (&b);
  g_array_free (b.message.states, TRUE);
}

/* Limits to resend: REPORT_STATES_MAX from number FIRST on.  */
struct resend
{
  struct rate_report message;
  guint first;
  guint seen;
  int64_t now;
};

static void
add_next (void *arg, upstream_handle h, const struct upstream_info *info,
          struct upstream_rate *rate)
{
  (void)h;
  struct resend *r = arg;
  guint at = r->seen++;
  if (at < r->first || at >= r->first + REPORT_STATES_MAX)
    return;
  struct rate_state s = state_of (info, &rate->limit, r->now);
  g_array_append_val (r->message.states, s);
}

/* Tells some VMs some of the limits, others at each call.  */
static void
resend (struct rate_limit_link *l, int64_t now)
{
  struct resend r = { .first = l->resend_at, .now = now };
  report_init (&r.message, l);
  upstreams_foreach_rate (l->parts.upstreams, add_next, &r);
  l->resend_at += REPORT_STATES_MAX;
  if (l->resend_at >= r.seen)
    l->resend_at = 0;
  if (r.message.states->len > 0)
    vm_broadcast_some (&l->parts.peers, MESSAGE_RATE_REPORT, &r.message,
                       RESEND_RECEIVERS);
  g_array_free (r.message.states, TRUE);
}

/* Asks other VMs for the limits that they know until one has told them.  */
static void
ask_for_limits (struct rate_limit_link *l, int64_t now)
{
  struct rate_report m;
  if (l->is_informed || now - l->wanted_ms < WANTED_MS
      || members_count_live (l->parts.peers.members) <= 1)
    return;
  l->wanted_ms = now;
  report_init (&m, l);
  m.wanted = true;
  vm_broadcast_some (&l->parts.peers, MESSAGE_RATE_REPORT, &m,
                     WANTED_RECEIVERS);
  g_array_free (m.states, TRUE);
}

/* Tokens.  */

static const struct member *
home_of (const struct rate_limit_link *l, const struct upstream_info *info)
{
  return rank_upstream_home (l->parts.peers.members, info->id,
                             info->failure_domain);
}

static bool
is_self (const struct rate_limit_link *l, const struct member *m)
{
  return m && strcmp (m->info.id, l->parts.vm) == 0;
}

static void
add_tokens (struct rate_limit_link *l, const char *upstream, const char *from,
            uint64_t seq, unsigned count)
{
  struct upstream_rate *r = upstreams_rate (
      l->parts.upstreams, upstreams_find (l->parts.upstreams, upstream));
  if (r && r->limit.in_force
      && rate_tokens_lend (&r->tokens, g_str_hash (from), seq, count,
                           clock_ms ()))
    metrics_add (METRIC_limit_tokens_borrowed_total, count);
}

/* Sends COUNT tokens of UPSTREAM to VM, or keeps them if that is this VM.  */
static void
send_loan (void *arg, const char *upstream, const char *vm, unsigned count,
           int64_t asked_ms)
{
  struct rate_limit_link *l = arg;
  const struct member *to = members_find (l->parts.peers.members, vm);
  struct rate_loan m = { .from = (char *)(uintptr_t)l->parts.vm,
                         .upstream = (char *)(uintptr_t)upstream,
                         .seq = ++l->loan_seq,
                         .count = count,
                         .asked_ms = (uint64_t)asked_ms };
  if (count > 0)
    metrics_add (METRIC_limit_tokens_lent_total, count);
  if (strcmp (vm, l->parts.vm) == 0)
    add_tokens (l, upstream, vm, m.seq, count);
  else if (to && member_live (to))
    l->parts.peers.send (l->parts.peers.arg, to, MESSAGE_RATE_LOAN, &m);
}

/* Part of the fleet that this VM sees.  */
static double
visible_part (const struct rate_limit_link *l)
{
  unsigned live = members_count_live (l->parts.peers.members);
  return l->vms > 0 ? MIN ((double)live / l->vms, 1) : 0;
}

static void
drop_if_not_home (void *arg, const char *upstream)
{
  struct rate_limit_link *l = arg;
  upstream_handle h = upstreams_find (l->parts.upstreams, upstream);
  const struct upstream_info *info = upstreams_info (l->parts.upstreams, h);
  if (info && !is_self (l, home_of (l, info)))
    rate_lender_drop (l->lender, upstream);
}

static bool
may_lend (const struct rate_limit_link *l)
{
  return visible_part (l) >= RATE_LENDER_MIN_PART;
}

static void
lend (struct rate_limit_link *l, int64_t now)
{
  rate_lender_foreach (l->lender, drop_if_not_home, l);
  if (may_lend (l))
    rate_lender_step (l->lender, visible_part (l), now, send_loan, l);
}

static unsigned
ask_interval_ms (const struct rate_limit_link *l)
{
  return CLAMP (l->vms * ASK_MS_PER_VM, ASK_MIN_MS, ASK_MAX_MS);
}

/* Asks the home VM of the upstream INFO for tokens, and returns those that
   have expired.  */
static void
ask_home (struct rate_limit_link *l, const struct upstream_info *info,
          struct upstream_rate *rate, int64_t now)
{
  const struct member *home = home_of (l, info);
  unsigned wanted = rate_tokens_wanted (&rate->tokens, now);
  if (home == NULL
      || !rate_tokens_must_ask (&rate->tokens, ask_interval_ms (l), now))
    return;
  unsigned returned = rate_tokens_asked (&rate->tokens, wanted, now);
  if (rate->tokens.lender != g_str_hash (home->info.id))
    returned = 0;
  if (is_self (l, home))
    {
      struct rate_request q = { .upstream = info->id,
                                .vm = l->parts.vm,
                                .per_s = rate->limit.per_s,
                                .wanted = wanted,
                                .returned = returned,
                                .asked_ms = now };
      rate_lender_ask (l->lender, &q, now);
      if (may_lend (l))
        send_loan (l, info->id, l->parts.vm, 0, now);
      return;
    }
  struct rate_state s = state_of (info, &rate->limit, now);
  struct rate_ask m = { .from = (char *)(uintptr_t)l->parts.vm,
                        .wanted = wanted,
                        .returned = returned,
                        .loan_seq = rate->tokens.lender_seq,
                        .asked_ms = (uint64_t)now };
  m.limit = g_array_new (FALSE, FALSE, sizeof s);
  g_array_append_val (m.limit, s);
  l->parts.peers.send (l->parts.peers.arg, home, MESSAGE_RATE_ASK, &m);
  g_array_free (m.limit, TRUE);
}

/* This VM's share of LIMIT, which the upstream INFO states.  */
static struct rate_share
own_share (const struct rate_limit_link *l, const struct upstream_info *info,
           const struct rate_limit *limit)
{
  uint64_t hash
      = XXH64 (info->id, strlen (info->id), g_str_hash (l->parts.vm));
  return (struct rate_share){
    .per_s = l->vms > 0 ? limit->per_s * RATE_LENDER_PART / l->vms : 0,
    .phase = (double)hash / 0x1p64,
  };
}

static void
tick_tokens (void *arg, upstream_handle h, const struct upstream_info *info,
             struct upstream_rate *rate)
{
  (void)h;
  struct rate_limit_link *l = arg;
  int64_t now = clock_ms ();
  if (!rate->limit.in_force)
    return;
  struct rate_share share = own_share (l, info, &rate->limit);
  rate_tokens_tick (&rate->tokens, &share, now);
  ask_home (l, info, rate, now);
}

/* Messages from other VMs.  */

static void
handle_report (struct rate_limit_link *l, const struct rate_report *m)
{
  int64_t now = clock_ms ();
  const struct member *from = members_find (l->parts.peers.members, m->from);
  for (guint i = 0; i < m->states->len; i++)
    merge_state (l, &g_array_index (m->states, struct rate_state, i), m->from,
                 now);
  if (m->wanted && from && member_live (from))
    respond (l, from, now);
  l->is_informed |= !m->wanted;
}

/* Tokens that M returns, if this process has lent them: an earlier one may
   have taken them back already.  */
static unsigned
returned_here (const struct rate_limit_link *l, const struct rate_ask *m)
{
  return m->loan_seq > l->first_seq ? (unsigned)m->returned : 0;
}

/* Lends tokens of an upstream that this VM may not know, as FROM says.  A
   reply without tokens shows that this VM lends them.  */
static void
handle_ask (struct rate_limit_link *l, const struct rate_ask *m)
{
  int64_t now = clock_ms ();
  const struct member *from = members_find (l->parts.peers.members, m->from);
  if (from == NULL || m->limit->len == 0)
    return;
  const struct rate_state *s = &g_array_index (m->limit, struct rate_state, 0);
  upstream_handle h = merge_state (l, s, m->from, now);
  const struct upstream_rate *known = upstreams_rate (l->parts.upstreams, h);
  struct rate_limit limit = known ? known->limit : limit_of (s, now);
  if (limit.in_force)
    {
      struct rate_request q = { .upstream = s->upstream,
                                .vm = m->from,
                                .per_s = limit.per_s,
                                .wanted = (unsigned)m->wanted,
                                .returned = returned_here (l, m),
                                .asked_ms = (int64_t)m->asked_ms };
      rate_lender_ask (l->lender, &q, now);
    }
  else
    g_hash_table_add (l->changed, g_strdup (s->upstream));
  if (may_lend (l))
    send_loan (l, s->upstream, m->from, 0, (int64_t)m->asked_ms);
  lend (l, now);
}

static void
handle_loan (struct rate_limit_link *l, const struct rate_loan *m)
{
  int64_t asked_ms = (int64_t)MIN (m->asked_ms, INT64_MAX);
  int64_t age_ms = clock_ms () - asked_ms;
  /* An earlier process of this VM may have spent what it asked for.  */
  if (age_ms < 0 || age_ms > LOAN_MAX_AGE_MS || asked_ms < l->started_ms)
    return;
  add_tokens (l, m->upstream, m->from, m->seq, (unsigned)m->count);
  if (m->count > 0)
    tokens_arrived (l);
}

void
rate_limit_link_handle_frame (struct rate_limit_link *l, const struct frame *f)
{
  if (f->type == MESSAGE_RATE_REPORT)
    handle_report (l, f->message);
  else if (f->type == MESSAGE_RATE_ASK)
    handle_ask (l, f->message);
  else if (f->type == MESSAGE_RATE_LOAN)
    handle_loan (l, f->message);
}

/* Log lines and metrics.  */

static void
log_use (void *arg, upstream_handle h, const struct upstream_info *info,
         struct upstream_rate *rate)
{
  (void)h;
  struct rate_limit_link *l = arg;
  struct rate_tokens *t = &rate->tokens;
  if (!rate->limit.in_force || t->taken + t->missed == 0)
    return;
  g_autofree char *per_s = g_strdup_printf ("%.3f", rate->limit.per_s);
  const struct member *home = home_of (l, info);
  log_event (LOG_INFO, "limit_use", "upstream", info->id, "per_s", per_s,
             "sent", log_num (t->taken), "missed", log_num (t->missed),
             "tokens", log_num (t->lent), "home", home ? home->info.id : "",
             "home_silent", t->own_ms != 0 ? "true" : "false", "vms",
             log_num (l->vms), NULL);
  t->taken = 0;
  t->missed = 0;
}

static void
count_limit (void *arg, upstream_handle h, const struct upstream_info *info,
             struct upstream_rate *rate)
{
  (void)h;
  (void)info;
  unsigned *n = arg;
  *n += rate->limit.in_force;
}

static void
report_use (struct rate_limit_link *l, int64_t now)
{
  unsigned in_force = 0;
  if (now - l->logged_ms < USE_LOG_INTERVAL_MS)
    return;
  l->logged_ms = now;
  upstreams_foreach_rate (l->parts.upstreams, log_use, l);
  upstreams_foreach_rate (l->parts.upstreams, count_limit, &in_force);
  metrics_set (METRIC_limits_in_force, in_force);
}

/* Timer, creation and destruction.  */

void
rate_limit_link_send (struct rate_limit_link *l, int64_t now)
{
  if (l->tick_ms > 0 && now - l->tick_ms > PAUSE_MIN_MS)
    l->is_informed = false;
  l->tick_ms = now;
  send_changes (l, now);
  upstreams_foreach_rate (l->parts.upstreams, tick_tokens, l);
  lend (l, now);
  tokens_arrived (l);
  if (now - l->resend_ms >= RESEND_MS)
    {
      l->resend_ms = now;
      resend (l, now);
    }
  ask_for_limits (l, now);
  report_use (l, now);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  rate_limit_link_send (arg, clock_ms ());
}

struct rate_limit_link *
rate_limit_link_create (const struct rate_limit_link_parts *parts)
{
  static const struct timeval tick = { 0, TICK_MS * 1000 };
  struct rate_limit_link *l = g_new0 (struct rate_limit_link, 1);
  l->parts = *parts;
  l->lender = rate_lender_create ();
  /* Above the numbers of an earlier process of this VM.  */
  l->first_seq = (uint64_t)g_get_real_time ();
  l->loan_seq = l->first_seq;
  l->started_ms = clock_ms ();
  l->changed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  l->timer = event_new (parts->base, -1, EV_PERSIST, on_tick, l);
  event_add (l->timer, &tick);
  return l;
}

void
rate_limit_link_destroy (struct rate_limit_link *l)
{
  if (l == NULL)
    return;
  event_free (l->timer);
  rate_lender_destroy (l->lender);
  g_hash_table_destroy (l->changed);
  g_free (l);
}

void
rate_limit_link_on_tokens (struct rate_limit_link *l,
                           void (*on_tokens) (void *arg), void *arg)
{
  l->on_tokens = on_tokens;
  l->on_tokens_arg = arg;
}

void
rate_limit_link_set_vms (struct rate_limit_link *l, unsigned vms)
{
  int64_t now = clock_ms ();
  if (vms < l->vms && now - l->vms_ms < VMS_KEPT_MS)
    return;
  l->vms = vms;
  l->vms_ms = now;
}
