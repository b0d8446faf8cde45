#include "daemon/rate_limit_link.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "daemon/rate_messages.h"
#include "daemon/rate_token_link.h"

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

struct rate_limit_link
{
  struct rate_limit_link_parts parts;
  struct rate_token_link *tokens;
  GHashTable *changed; /* upstream ids whose limits the others are not told */
  guint resend_at;     /* number of limits before the one to resend next */
  bool is_informed;    /* another VM has told what it knows */
  int64_t tick_ms;     /* when the timer last ran */
  int64_t resend_ms;   /* when this VM last resent */
  int64_t wanted_ms;   /* when this VM last asked for limits */
  struct event *timer;
};

/* What is known of limits.  */

/* The limit of H has changed, as REQUEST or the VM FROM told.  */
static void
limit_changed (struct rate_limit_link *l, upstream_handle h,
               const char *request, const char *from)
{
  struct upstream_rate *r = upstreams_rate (l->parts.upstreams, h);
  const struct upstream_info *info = upstreams_info (l->parts.upstreams, h);
  g_autofree char *per_s = g_strdup_printf ("%.3f", r->limit.per_s);
  metrics_add (METRIC_upstream_limits_total, 1);
  log_event (LOG_INFO, "upstream_limit", "upstream", info->id, "in_force",
             r->limit.in_force ? "true" : "false", "per_s", per_s, "request",
             request, "from", from, "age_ms",
             log_num (clock_ms () - r->limit.stated_ms), NULL);
  if (!r->limit.in_force)
    rate_token_link_end (l->tokens, info, r);
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
  struct rate_limit told = rate_message_limit (s, now);
  if (rate_limit_merge (&upstreams_rate (l->parts.upstreams, h)->limit, &told))
    limit_changed (l, h, "", from);
  return h;
}

/* Reports to other VMs.  */

static void
report_init (struct rate_report *m, const struct rate_limit_link *l)
{
  *m = (struct rate_report){ .from = (char *)(uintptr_t)l->parts.vm };
  m->states = g_array_new (FALSE, FALSE, sizeof (struct rate_state));
}

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
  struct rate_state s = rate_message_state (info, limit, b->now);
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
  struct rate_state s = rate_message_state (info, &rate->limit, r->now);
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

/* FROM asks for tokens of an upstream that this VM may not know.  If the limit
   has ended, the others are told again.  */
static void
handle_ask (struct rate_limit_link *l, const struct rate_ask *m)
{
  int64_t now = clock_ms ();
  if (members_find (l->parts.peers.members, m->from) == NULL
      || m->limit->len == 0)
    return;
  const struct rate_state *s = &g_array_index (m->limit, struct rate_state, 0);
  upstream_handle h = merge_state (l, s, m->from, now);
  const struct upstream_rate *known = upstreams_rate (l->parts.upstreams, h);
  struct rate_limit limit = known ? known->limit : rate_message_limit (s, now);
  if (!limit.in_force)
    g_hash_table_add (l->changed, g_strdup (s->upstream));
  rate_token_link_handle_ask (l->tokens, m, &limit);
}

void
rate_limit_link_handle_frame (struct rate_limit_link *l, const struct frame *f)
{
  if (f->type == MESSAGE_RATE_REPORT)
    handle_report (l, f->message);
  else if (f->type == MESSAGE_RATE_ASK)
    handle_ask (l, f->message);
  else if (f->type == MESSAGE_RATE_LOAN)
    rate_token_link_handle_loan (l->tokens, f->message);
}

/* Timer, creation and destruction.  */

static void
count_limit (void *arg, upstream_handle h, const struct upstream_info *info,
             struct upstream_rate *rate)
{
  (void)h;
  (void)info;
  unsigned *n = arg;
  *n += rate->limit.in_force;
}

void
rate_limit_link_send (struct rate_limit_link *l, int64_t now)
{
  unsigned in_force = 0;
  if (l->tick_ms > 0 && now - l->tick_ms > PAUSE_MIN_MS)
    l->is_informed = false;
  l->tick_ms = now;
  send_changes (l, now);
  rate_token_link_tick (l->tokens, now);
  if (now - l->resend_ms >= RESEND_MS)
    {
      l->resend_ms = now;
      resend (l, now);
    }
  ask_for_limits (l, now);
  upstreams_foreach_rate (l->parts.upstreams, count_limit, &in_force);
  metrics_set (METRIC_limits_in_force, in_force);
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
  struct rate_token_link_parts tokens = { .upstreams = parts->upstreams,
                                          .vm = parts->vm,
                                          .peers = parts->peers };
  l->parts = *parts;
  l->tokens = rate_token_link_create (&tokens);
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
  rate_token_link_destroy (l->tokens);
  g_hash_table_destroy (l->changed);
  g_free (l);
}

void
rate_limit_link_on_tokens (struct rate_limit_link *l,
                           void (*on_tokens) (void *arg), void *arg)
{
  rate_token_link_on_tokens (l->tokens, on_tokens, arg);
}

void
rate_limit_link_set_vms (struct rate_limit_link *l, unsigned vms)
{
  rate_token_link_set_vms (l->tokens, vms);
}
