#include "daemon/rate_token_link.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "daemon/rate_messages.h"
#include "decide/rank.h"
#include "decide/rate_lender.h"

#include <string.h>
#include <xxhash.h>

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

struct rate_token_link
{
  struct rate_token_link_parts parts;
  struct rate_lender *lender;
  int64_t started_ms;
  unsigned vms;       /* most VMs lately */
  int64_t vms_ms;     /* when there were that many */
  uint64_t first_seq; /* of the loans of this process */
  uint64_t loan_seq;  /* of the latest loan */
  int64_t logged_ms;  /* when the use of limits was last logged */
  void (*on_tokens) (void *arg);
  void *on_tokens_arg;
};

void
rate_token_link_notify (struct rate_token_link *l)
{
  if (l->on_tokens)
    l->on_tokens (l->on_tokens_arg);
}

/* Asking and lending.  */

static const struct member *
home_of (const struct rate_token_link *l, const struct upstream_info *info)
{
  return rank_upstream_home (l->parts.peers.members, info->id,
                             info->failure_domain);
}

static bool
is_self (const struct rate_token_link *l, const struct member *m)
{
  return m && strcmp (m->info.id, l->parts.vm) == 0;
}

static void
add_tokens (struct rate_token_link *l, const char *upstream, const char *from,
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
  struct rate_token_link *l = arg;
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
visible_part (const struct rate_token_link *l)
{
  unsigned live = members_count_live (l->parts.peers.members);
  return l->vms > 0 ? MIN ((double)live / l->vms, 1) : 0;
}

static void
drop_if_not_home (void *arg, const char *upstream)
{
  struct rate_token_link *l = arg;
  upstream_handle h = upstreams_find (l->parts.upstreams, upstream);
  const struct upstream_info *info = upstreams_info (l->parts.upstreams, h);
  if (info && !is_self (l, home_of (l, info)))
    rate_lender_drop (l->lender, upstream);
}

static bool
may_lend (const struct rate_token_link *l)
{
  return visible_part (l) >= RATE_LENDER_MIN_PART;
}

static void
lend (struct rate_token_link *l, int64_t now)
{
  rate_lender_foreach (l->lender, drop_if_not_home, l);
  if (may_lend (l))
    rate_lender_step (l->lender, visible_part (l), now, send_loan, l);
}

static unsigned
ask_interval_ms (const struct rate_token_link *l)
{
  return CLAMP (l->vms * ASK_MS_PER_VM, ASK_MIN_MS, ASK_MAX_MS);
}

/* Asks the home VM of the upstream INFO for tokens, and returns those that
   have expired.  */
static void
ask_home (struct rate_token_link *l, const struct upstream_info *info,
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
  struct rate_state s = rate_message_state (info, &rate->limit, now);
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
own_share (const struct rate_token_link *l, const struct upstream_info *info,
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
  struct rate_token_link *l = arg;
  int64_t now = clock_ms ();
  if (!rate->limit.in_force)
    return;
  struct rate_share share = own_share (l, info, &rate->limit);
  rate_tokens_tick (&rate->tokens, &share, now);
  ask_home (l, info, rate, now);
}

/* Messages from other VMs.  */

/* Tokens that M returns, if this process has lent them: an earlier one may
   have taken them back already.  */
static unsigned
returned_here (const struct rate_token_link *l, const struct rate_ask *m)
{
  return m->loan_seq > l->first_seq ? (unsigned)m->returned : 0;
}

/* A reply without tokens shows that this VM lends them.  */
void
rate_token_link_handle_ask (struct rate_token_link *l,
                            const struct rate_ask *m,
                            const struct rate_limit *limit)
{
  int64_t now = clock_ms ();
  const struct rate_state *s = &g_array_index (m->limit, struct rate_state, 0);
  struct rate_request q = { .upstream = s->upstream,
                            .vm = m->from,
                            .per_s = limit->per_s,
                            .wanted = (unsigned)m->wanted,
                            .returned = returned_here (l, m),
                            .asked_ms = (int64_t)m->asked_ms };
  if (limit->in_force)
    rate_lender_ask (l->lender, &q, now);
  if (may_lend (l))
    send_loan (l, s->upstream, m->from, 0, (int64_t)m->asked_ms);
  lend (l, now);
}

void
rate_token_link_handle_loan (struct rate_token_link *l,
                             const struct rate_loan *m)
{
  int64_t asked_ms = (int64_t)MIN (m->asked_ms, INT64_MAX);
  int64_t age_ms = clock_ms () - asked_ms;
  /* An earlier process of this VM may have spent what it asked for.  */
  if (age_ms < 0 || age_ms > LOAN_MAX_AGE_MS || asked_ms < l->started_ms)
    return;
  add_tokens (l, m->upstream, m->from, m->seq, (unsigned)m->count);
  if (m->count > 0)
    rate_token_link_notify (l);
}

/* Log lines.  */

static void
log_use (void *arg, upstream_handle h, const struct upstream_info *info,
         struct upstream_rate *rate)
{
  (void)h;
  struct rate_token_link *l = arg;
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
log_use_each_second (struct rate_token_link *l, int64_t now)
{
  if (now - l->logged_ms < USE_LOG_INTERVAL_MS)
    return;
  l->logged_ms = now;
  upstreams_foreach_rate (l->parts.upstreams, log_use, l);
}

/* Timer, creation and destruction.  */

void
rate_token_link_tick (struct rate_token_link *l, int64_t now)
{
  upstreams_foreach_rate (l->parts.upstreams, tick_tokens, l);
  lend (l, now);
  rate_token_link_notify (l);
  log_use_each_second (l, now);
}

void
rate_token_link_end (struct rate_token_link *l,
                     const struct upstream_info *info,
                     struct upstream_rate *rate)
{
  rate_tokens_reset (&rate->tokens);
  rate_lender_drop (l->lender, info->id);
  rate_token_link_notify (l);
}

struct rate_token_link *
rate_token_link_create (const struct rate_token_link_parts *parts)
{
  struct rate_token_link *l = g_new0 (struct rate_token_link, 1);
  l->parts = *parts;
  l->lender = rate_lender_create ();
  l->started_ms = clock_ms ();
  /* Above the numbers of an earlier process of this VM.  */
  l->first_seq = (uint64_t)g_get_real_time ();
  l->loan_seq = l->first_seq;
  return l;
}

void
rate_token_link_destroy (struct rate_token_link *l)
{
  if (l == NULL)
    return;
  rate_lender_destroy (l->lender);
  g_free (l);
}

void
rate_token_link_on_tokens (struct rate_token_link *l,
                           void (*on_tokens) (void *arg), void *arg)
{
  l->on_tokens = on_tokens;
  l->on_tokens_arg = arg;
}

void
rate_token_link_set_vms (struct rate_token_link *l, unsigned vms)
{
  int64_t now = clock_ms ();
  if (vms < l->vms && now - l->vms_ms < VMS_KEPT_MS)
    return;
  l->vms = vms;
  l->vms_ms = now;
}
