#include "decide/retry_bucket.h"

/* Number of equal intervals that a window is divided into.  */
#define WINDOW_INTERVALS 20
/* Part of the budget that is used.  The rest covers calls that arrive later
   than they were paid for.  */
#define BUDGET_USED 0.97
/* A bucket holds this part of what a window is worth to the VM, for failures
   in bursts, and requests and time add the rest.  A small bucket holds up to
   BURST_TOKENS, which a retry with a remote prefill costs, but no more than
   BURST_SHARE_MAX.  */
#define BURST_SHARE 0.12
#define BURST_SHARE_MAX 0.5
#define BURST_TOKENS 2.0

/* Counts of one interval.  */
struct interval
{
  int64_t number; /* from 1; 0 if never used */
  unsigned requests;
  unsigned taken;
  unsigned refused;
};

struct bucket
{
  double tokens;
  int64_t filled_ms; /* up to when the slack was added */
  struct interval intervals[WINDOW_INTERVALS];
};

struct retry_buckets
{
  struct retry_bounds bounds;
  int64_t slack_from_ms; /* no slack before */
  int64_t latest_ms;     /* latest time passed in */
  unsigned vms;          /* VMs that share the slack; 0: not reported yet */
  unsigned vms_since;    /* most VMs reported since fewer than VMS were */
  int64_t fewer_from_ms; /* when VMS were last reported */
  GHashTable *services;  /* name -> struct bucket */
};

struct retry_buckets *
retry_buckets_create (const struct retry_bounds *bounds, int64_t now_ms)
{
  struct retry_buckets *b = g_new0 (struct retry_buckets, 1);
  b->bounds = *bounds;
  b->latest_ms = now_ms;
  b->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return b;
}

void
retry_buckets_destroy (struct retry_buckets *b)
{
  if (b == NULL)
    return;
  g_hash_table_destroy (b->services);
  g_free (b);
}

void
retry_buckets_set_bounds (struct retry_buckets *b,
                          const struct retry_bounds *bounds)
{
  b->bounds = *bounds;
}

void
retry_buckets_set_vms (struct retry_buckets *b, unsigned vms, int64_t now_ms)
{
  if (b->vms == 0)
    b->slack_from_ms = now_ms + RETRY_SLACK_DELAY_MS;
  b->vms_since = MAX (b->vms_since, vms);
  if (vms >= b->vms)
    {
      b->vms = vms;
      b->vms_since = 0;
      b->fewer_from_ms = now_ms;
    }
  else if (now_ms - b->fewer_from_ms >= RETRY_SHARE_KEPT_MS)
    {
      b->vms = b->vms_since;
      b->vms_since = 0;
      b->fewer_from_ms = now_ms;
    }
}

unsigned
retry_buckets_shared_by (const struct retry_buckets *b, int64_t now_ms)
{
  return b->vms > 0 && now_ms >= b->slack_from_ms ? b->vms : 0;
}

/* The bucket of a service.  */

static int64_t
interval_at (const struct retry_buckets *b, int64_t now_ms)
{
  int64_t length = MAX (b->bounds.window_ms / WINDOW_INTERVALS, 1);
  return now_ms / length + 1;
}

static struct interval *
current_interval (const struct retry_buckets *b, struct bucket *s)
{
  int64_t number = interval_at (b, b->latest_ms);
  struct interval *i = &s->intervals[number % WINDOW_INTERVALS];
  if (i->number != number)
    *i = (struct interval){ .number = number };
  return i;
}

/* This VM's share of the slack, in tokens a window.  */
static double
slack_share (const struct retry_buckets *b)
{
  return b->vms > 0 ? BUDGET_USED * b->bounds.slack / b->vms : 0;
}

/* Tokens that REQUESTS requests are worth.  */
static double
worth_of (const struct retry_buckets *b, unsigned requests)
{
  return BUDGET_USED * b->bounds.ratio * requests;
}

/* Part of a window's worth of ALLOWED tokens that the bucket holds.  */
static double
burst_share (double allowed)
{
  if (allowed <= 0)
    return BURST_SHARE_MAX;
  return CLAMP (BURST_TOKENS / allowed, BURST_SHARE, BURST_SHARE_MAX);
}

static struct retry_usage
sum_up (const struct retry_buckets *b, const struct bucket *s)
{
  int64_t expired = interval_at (b, b->latest_ms) - WINDOW_INTERVALS;
  struct retry_usage u = { .left = s->tokens, .vms = b->vms };
  for (unsigned i = 0; i < WINDOW_INTERVALS; i++)
    if (s->intervals[i].number > expired)
      {
        u.requests += s->intervals[i].requests;
        u.taken += s->intervals[i].taken;
        u.refused += s->intervals[i].refused;
      }
  u.allowed = worth_of (b, u.requests) + slack_share (b);
  return u;
}

/* Adds WORTH tokens of a window to S, less what the bucket of a window may
   hold on to, and drops what it does not hold.  */
static void
add_tokens (const struct retry_buckets *b, struct bucket *s, double worth)
{
  double allowed = sum_up (b, s).allowed;
  double share = burst_share (allowed);
  s->tokens = MIN (s->tokens + (1 - share) * worth, share * allowed);
}

/* Adds the slack of the time since the last call.  */
static void
fill (struct retry_buckets *b, struct bucket *s)
{
  int64_t from = MAX (s->filled_ms, b->slack_from_ms);
  int64_t elapsed_ms = MAX (b->latest_ms - from, 0);
  s->filled_ms = b->latest_ms;
  add_tokens (b, s,
              slack_share (b) * (double)elapsed_ms
                  / MAX (b->bounds.window_ms, 1));
}

/* Returns the bucket of SERVICE, filled up to NOW_MS.  */
static struct bucket *
bucket_get (struct retry_buckets *b, const char *service, int64_t now_ms)
{
  b->latest_ms = MAX (b->latest_ms, now_ms);
  struct bucket *s = g_hash_table_lookup (b->services, service);
  if (s == NULL)
    {
      s = g_new0 (struct bucket, 1);
      s->filled_ms = b->latest_ms;
      g_hash_table_insert (b->services, g_strdup (service), s);
    }
  fill (b, s);
  return s;
}

void
retry_buckets_record_request (struct retry_buckets *b, const char *service,
                              int64_t now_ms)
{
  struct bucket *s = bucket_get (b, service, now_ms);
  current_interval (b, s)->requests++;
  add_tokens (b, s, worth_of (b, 1));
}

/* Tokens that a call of URGENCY leaves in the bucket S.  */
static double
tokens_kept (const struct retry_buckets *b, const struct bucket *s,
             enum retry_urgency urgency)
{
  static const double kept_shares[] = { 0, 0.15, 0.3 };
  double allowed = sum_up (b, s).allowed;
  return kept_shares[urgency] * burst_share (allowed) * allowed;
}

bool
retry_buckets_take (struct retry_buckets *b, const char *service, unsigned n,
                    enum retry_urgency urgency, int64_t now_ms)
{
  struct bucket *s = bucket_get (b, service, now_ms);
  struct interval *i = current_interval (b, s);
  if (s->tokens < n + tokens_kept (b, s, urgency))
    {
      i->refused += n;
      return false;
    }
  s->tokens -= n;
  i->taken += n;
  return true;
}

void
retry_buckets_give_back (struct retry_buckets *b, const char *service,
                         unsigned n, int64_t now_ms)
{
  struct bucket *s = bucket_get (b, service, now_ms);
  struct interval *i = current_interval (b, s);
  i->taken -= MIN (i->taken, n);
  s->tokens += n;
  add_tokens (b, s, 0);
}

/* Usage.  */

struct retry_usage
retry_buckets_usage (struct retry_buckets *b, const char *service,
                     int64_t now_ms)
{
  struct retry_usage u = sum_up (b, bucket_get (b, service, now_ms));
  u.service = service;
  return u;
}

void
retry_buckets_foreach (struct retry_buckets *b, int64_t now_ms,
                       void (*visit) (void *arg,
                                      const struct retry_usage *usage),
                       void *arg)
{
  GHashTableIter it;
  gpointer service;
  gpointer bucket;
  b->latest_ms = MAX (b->latest_ms, now_ms);
  g_hash_table_iter_init (&it, b->services);
  while (g_hash_table_iter_next (&it, &service, &bucket))
    {
      fill (b, bucket);
      struct retry_usage u = sum_up (b, bucket);
      u.service = service;
      if (u.taken + u.refused > 0)
        visit (arg, &u);
    }
}
