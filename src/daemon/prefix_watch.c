#include "daemon/prefix_watch.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "decide/freshness.h"

/* Delay of the next poll after changes, so that many upstreams that start or
   stop together come in one response instead of one each.  It doubles with
   each batch, up to the configured maximum, and is reset when no batch came
   for BATCH_QUIET_MS longer than the delay.  */
#define BATCH_DELAY_MIN_MS 150
#define BATCH_QUIET_MS 1000
/* Time that a change seen by another VM may be missing here before all keys
   are listed: the longest batching delay plus HINT_MARGIN_MS, and no less than
   HINT_DELAY_MIN_MS.  */
#define HINT_DELAY_MIN_MS 1000
#define HINT_MARGIN_MS 400
/* When the service has lost its history of changes, all VMs list all keys.
   Each VM first waits for a random time, at most this time per key, to spread
   the load.  */
#define RELIST_SPREAD_US_PER_KEY 200
/* Delay before a retry; doubles with each failure up to a maximum, which grows
   with the number of VMs between these bounds, as all of them retry.  */
#define RETRY_MIN_MS 250
#define RETRY_LONGEST_MIN_MS 500
#define RETRY_LONGEST_MAX_MS 1000
#define RETRY_PER_VM_MS 50
/* Delay of a check that is due while no long poll is open.  */
#define CHECK_RETRY_MS 100
/* Most time that the report of another VM is under way.  */
#define REPORT_TRANSIT_MS 100

/* A poll for changes.  Times are those of clock_boot_ms.  */
struct poll
{
  struct prefix_watch *prefix_watch;
  int64_t started_ms;
  unsigned wait_ms; /* how long the service may hold it open; 0: not at all */
};

struct prefix_watch
{
  struct kv *kv;
  char *prefix;
  const struct prefix_watch_callbacks *callbacks;
  void *arg;
  struct event *timer;
  GHashTable *polls;       /* struct poll, all that have not ended */
  struct poll *current;    /* the one whose response is used; NULL for none */
  GHashTable *keys;        /* key -> revision, int64_t * */
  int64_t as_of;           /* revision from which to poll; 0: list all keys */
  int64_t last_change;     /* revision of the latest change */
  int64_t hinted_revision; /* latest revision that another VM has seen */
  struct event *hint_timer;
  int64_t answered_ms;      /* when the service last answered; 0 for never */
  int64_t answered_sent_ms; /* when the latest request that was answered was
                               sent; 0 for never */
  int64_t failed_ms;        /* when the latest request that failed was sent */
  unsigned retry_ms;        /* delay before the next retry */
  unsigned retry_max_ms;
  unsigned batch_delay_max_ms;
  unsigned batch_delay_ms; /* delay of the poll after the latest batch */
  int64_t last_batch_ms;   /* when the latest batch arrived */
  bool up;                 /* the latest request was answered */
  bool listed;             /* all keys were listed at least once */
  bool listing;            /* a list request of next_step is in flight */
  bool relisting;          /* a list request that a hint caused is in flight */
  int64_t list_started_ms; /* when the latest list was requested */
  int64_t relist_started_ms; /* the same of a list that a hint caused */
  struct freshness *freshness;
  struct event *check_timer;
};

static void next_step (struct prefix_watch *f);
static void on_changes (void *arg, enum kv_status status,
                        const struct kv_change *changes, size_t n,
                        int64_t as_of);

/* Records whether the service answered, from the STATUS of a request that was
   sent at STARTED_MS.  Without an answer it tells nothing if a later one was
   answered.  */
static void
update_state (struct prefix_watch *f, enum kv_status status,
              int64_t started_ms)
{
  bool up = status == KV_OK || status == KV_COMPACTED;
  bool unanswered = status == KV_NOT_DONE || status == KV_UNKNOWN;
  if (unanswered && started_ms < f->answered_sent_ms)
    return;
  if (up)
    {
      f->answered_ms = clock_ms ();
      f->answered_sent_ms = MAX (f->answered_sent_ms, started_ms);
      f->retry_ms = RETRY_MIN_MS;
    }
  else
    f->failed_ms = started_ms;
  if (up == f->up)
    return;
  f->up = up;
  log_event (up ? LOG_INFO : LOG_WARN,
             up ? "dependency_up" : "dependency_lost", "dependency", "kv",
             "prefix", f->prefix, "revision", log_num (f->as_of), NULL);
  f->callbacks->on_state (f->arg, up, clock_boot_ms () - f->failed_ms);
}

static void
schedule_next (struct prefix_watch *f, unsigned ms)
{
  struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };
  evtimer_add (f->timer, &tv);
}

static void
schedule_retry (struct prefix_watch *f)
{
  schedule_next (f, f->retry_ms);
  f->retry_ms = MIN (f->retry_ms * 2, f->retry_max_ms);
}

static void
apply_change (struct prefix_watch *f, const struct kv_change *c)
{
  if (c->value == NULL)
    {
      if (g_hash_table_remove (f->keys, c->key))
        f->callbacks->on_change (f->arg, c->key, NULL, c->revision);
      return;
    }
  const int64_t *known = g_hash_table_lookup (f->keys, c->key);
  if (known && *known >= c->revision)
    return;
  f->last_change = MAX (f->last_change, c->revision);
  int64_t *revision = g_new (int64_t, 1);
  *revision = c->revision;
  g_hash_table_replace (f->keys, g_strdup (c->key), revision);
  f->callbacks->on_change (f->arg, c->key, c->value, c->revision);
}

/* Reports known keys that are absent from a complete list as removed.  */
static void
remove_absent_keys (struct prefix_watch *f, const struct kv_change *changes,
                    size_t n, int64_t as_of)
{
  g_autoptr (GHashTable) present = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GPtrArray) gone = g_ptr_array_new_with_free_func (g_free);
  for (size_t i = 0; i < n; i++)
    g_hash_table_add (present, (gpointer)changes[i].key);
  GHashTableIter it;
  gpointer key;
  g_hash_table_iter_init (&it, f->keys);
  while (g_hash_table_iter_next (&it, &key, NULL))
    if (!g_hash_table_contains (present, key))
      g_ptr_array_add (gone, g_strdup (key));
  for (guint i = 0; i < gone->len; i++)
    apply_change (f, &(struct kv_change){ .key = g_ptr_array_index (gone, i),
                                          .revision = as_of });
}

static void
apply_list (struct prefix_watch *f, const struct kv_change *changes, size_t n,
            int64_t as_of)
{
  remove_absent_keys (f, changes, n, as_of);
  for (size_t i = 0; i < n; i++)
    apply_change (f, &changes[i]);
  f->as_of = as_of;
  f->listed = true;
  f->callbacks->on_batch (f->arg, true);
}

static void
on_listed (void *arg, enum kv_status status, const struct kv_change *changes,
           size_t n, int64_t as_of)
{
  struct prefix_watch *f = arg;
  f->listing = false;
  update_state (f, status, f->list_started_ms);
  if (status == KV_OK)
    freshness_confirm (f->freshness, f->list_started_ms);
  /* A list that on_hint_due requested may have arrived first and be newer.  */
  if (status == KV_OK && as_of >= f->as_of)
    apply_list (f, changes, n, as_of);
  if (f->current && status != KV_RESTORED)
    return;
  if (status == KV_OK)
    next_step (f);
  else
    schedule_retry (f);
}

/* Random delay before this VM lists all keys again.  */
static unsigned
relist_delay_ms (const struct prefix_watch *f)
{
  guint max_ms = g_hash_table_size (f->keys) * RELIST_SPREAD_US_PER_KEY / 1000;
  return max_ms > 0 ? g_random_int () % max_ms : 0;
}

/* Delay of the next poll after a batch that has just arrived.  */
static unsigned
next_batch_delay_ms (struct prefix_watch *f)
{
  int64_t now = clock_ms ();
  bool quiet
      = now - f->last_batch_ms > (int64_t)f->batch_delay_ms + BATCH_QUIET_MS;
  f->batch_delay_ms = quiet
                          ? BATCH_DELAY_MIN_MS
                          : MIN (f->batch_delay_ms * 2, f->batch_delay_max_ms);
  f->last_batch_ms = now;
  return f->batch_delay_ms;
}

/* Logs EVENT, the reason for which the poll brings no changes, and lists all
   keys.  */
static void
relist (struct prefix_watch *f, const char *event)
{
  log_event (LOG_INFO, event, "prefix", f->prefix, "after", log_num (f->as_of),
             NULL);
  f->as_of = 0;
  schedule_next (f, relist_delay_ms (f));
}

/* Starts a poll that the service may hold open for WAIT_MS.  The result of the
   current one, which may come much later, is ignored from now on.  */
static void
start_poll (struct prefix_watch *f, unsigned wait_ms)
{
  struct poll *p = g_new0 (struct poll, 1);
  p->prefix_watch = f;
  p->started_ms = clock_boot_ms ();
  p->wait_ms = wait_ms;
  g_hash_table_add (f->polls, p);
  f->current = p;
  kv_changes (f->kv, f->prefix, f->as_of, wait_ms, on_changes, p);
}

/* Whether the poll P, which ended with STATUS, timed out.  That alone is no
   loss of the service: the request or its connection may have been lost while
   the service answers others, as a poll without a wait shows.  */
static bool
has_timed_out (const struct poll *p, enum kv_status status)
{
  return status == KV_UNKNOWN && p->wait_ms > 0
         && clock_boot_ms () - p->started_ms > p->wait_ms;
}

/* Asks at once in place of the poll P, which had no answer.  */
static void
replace_unanswered (struct prefix_watch *f, const struct poll *p)
{
  log_event (LOG_INFO, "watch_unanswered", "prefix", f->prefix, "after",
             log_num (f->as_of), "open_ms",
             log_num (clock_boot_ms () - p->started_ms), "wait_ms",
             log_num (p->wait_ms), NULL);
  start_poll (f, 0);
}

/* Returns the time of the service's state in a response with N changes to the
   poll P: a response without changes comes after the whole wait.  */
static int64_t
response_state_ms (const struct poll *p, size_t n)
{
  int64_t now = clock_boot_ms ();
  if (n > 0 && p->wait_ms > 0)
    return now;
  return MIN (now, p->started_ms + p->wait_ms);
}

static void
apply_changes (struct prefix_watch *f, const struct kv_change *changes,
               size_t n, int64_t as_of)
{
  for (size_t i = 0; i < n; i++)
    {
      apply_change (f, &changes[i]);
      f->last_change = MAX (f->last_change, changes[i].revision);
    }
  f->as_of = MAX (f->as_of, as_of);
  if (n == 0)
    {
      next_step (f);
      return;
    }
  f->callbacks->on_batch (f->arg, false);
  schedule_next (f, next_batch_delay_ms (f));
}

/* Handles the end of the current poll P.  */
static void
end_poll (struct prefix_watch *f, const struct poll *p, enum kv_status status,
          const struct kv_change *changes, size_t n, int64_t as_of)
{
  if (has_timed_out (p, status))
    {
      replace_unanswered (f, p);
      return;
    }
  update_state (f, status, p->started_ms);
  switch (status)
    {
    case KV_OK:
      freshness_confirm (f->freshness, response_state_ms (p, n));
      apply_changes (f, changes, n, as_of);
      break;
    case KV_RESTORED:
      relist (f, "watch_restarts");
      break;
    case KV_COMPACTED:
      relist (f, "watch_history_lost");
      break;
    default:
      schedule_retry (f);
      break;
    }
}

static void
on_changes (void *arg, enum kv_status status, const struct kv_change *changes,
            size_t n, int64_t as_of)
{
  struct poll ended = *(struct poll *)arg;
  struct prefix_watch *f = ended.prefix_watch;
  bool current = f->current == arg;
  g_hash_table_remove (f->polls, arg);
  if (!current)
    return;
  f->current = NULL;
  end_poll (f, &ended, status, changes, n, as_of);
}

static void
next_step (struct prefix_watch *f)
{
  /* A long poll sent while the service is unreachable may be lost, which would
     delay recovery until its time-out.  A list is answered at once.  */
  if (f->as_of == 0 || !f->up)
    {
      f->listing = true;
      f->list_started_ms = clock_boot_ms ();
      kv_list (f->kv, f->prefix, on_listed, f);
    }
  else
    start_poll (f, freshness_poll_ms (f->freshness));
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  next_step (arg);
}

/* Checks: the open poll may be lost.  */

static void
schedule_check (struct prefix_watch *f, int64_t ms)
{
  struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };
  evtimer_add (f->check_timer, &tv);
}

/* Replaces the open poll if there was no confirmation in time that it has
   missed nothing.  A list that is in flight, or a poll that starts after a
   batch, serves as well.  */
static void
on_check (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct prefix_watch *f = arg;
  int64_t now = clock_boot_ms ();
  int64_t due = freshness_check_ms (f->freshness);
  if (now < due)
    {
      schedule_check (f, due - now);
      return;
    }
  if (f->current && f->current->wait_ms > 0)
    {
      metrics_add (METRIC_watch_checks_total, 1);
      log_event (LOG_DEBUG, "watch_unconfirmed", "prefix", f->prefix, "after",
                 log_num (f->as_of), "confirmed_age_ms",
                 log_num (prefix_watch_confirmed_age_ms (f)), NULL);
      start_poll (f, 0);
    }
  schedule_check (f, CHECK_RETRY_MS);
}

/* Changes that another VM has seen and this VM has not.  */

static bool
is_behind (const struct prefix_watch *f)
{
  return f->hinted_revision > MAX (f->last_change, f->as_of);
}

static void
on_relisted (void *arg, enum kv_status status, const struct kv_change *changes,
             size_t n, int64_t as_of)
{
  struct prefix_watch *f = arg;
  f->relisting = false;
  update_state (f, status, f->relist_started_ms);
  if (status == KV_OK && as_of >= f->as_of)
    {
      freshness_confirm (f->freshness, f->relist_started_ms);
      apply_list (f, changes, n, as_of);
      /* The open poll missed a change, or the list in flight is late.  */
      if (f->current || f->listing)
        start_poll (f, freshness_poll_ms (f->freshness));
    }
  else
    log_event (LOG_INFO, "look_failed", "prefix", f->prefix, "status",
               log_num (status), NULL);
}

static void
on_hint_due (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct prefix_watch *f = arg;
  if (!is_behind (f) || f->relisting)
    return;
  log_event (LOG_INFO, "change_missing", "prefix", f->prefix, "revision",
             log_num (MAX (f->last_change, f->as_of)), "peer_revision",
             log_num (f->hinted_revision), "age_ms",
             log_num (prefix_watch_age_ms (f)), NULL);
  f->relisting = true;
  f->relist_started_ms = clock_boot_ms ();
  kv_list (f->kv, f->prefix, on_relisted, f);
}

void
prefix_watch_hint (struct prefix_watch *f, int64_t revision, int64_t age_ms)
{
  unsigned ms
      = MAX (f->batch_delay_max_ms + HINT_MARGIN_MS, HINT_DELAY_MIN_MS);
  struct timeval delay = { ms / 1000, (ms % 1000) * 1000 };
  if (f->listed && revision > 0 && revision <= f->as_of)
    freshness_confirm (f->freshness,
                       clock_boot_ms () - age_ms - REPORT_TRANSIT_MS);
  f->hinted_revision = MAX (f->hinted_revision, revision);
  if (is_behind (f) && !evtimer_pending (f->hint_timer, NULL))
    evtimer_add (f->hint_timer, &delay);
}

int64_t
prefix_watch_revision (const struct prefix_watch *f)
{
  return f->last_change;
}

void
prefix_watch_set_batch_delay (struct prefix_watch *f,
                              unsigned batch_delay_max_ms)
{
  f->batch_delay_max_ms = MAX (batch_delay_max_ms, BATCH_DELAY_MIN_MS);
}

void
prefix_watch_set_vm_count (struct prefix_watch *f, unsigned vms)
{
  freshness_set_vm_count (f->freshness, vms);
  f->retry_max_ms
      = (unsigned)CLAMP ((uint64_t)vms * RETRY_PER_VM_MS, RETRY_LONGEST_MIN_MS,
                         RETRY_LONGEST_MAX_MS);
}

void
prefix_watch_set_recovery_ms (struct prefix_watch *f, unsigned recovery_ms)
{
  freshness_set_recovery_ms (f->freshness, recovery_ms);
}

struct prefix_watch *
prefix_watch_create (struct event_base *base, struct kv *kv,
                     const char *prefix, unsigned batch_delay_max_ms,
                     unsigned recovery_ms,
                     const struct prefix_watch_callbacks *callbacks, void *arg)
{
  struct prefix_watch *f = g_new0 (struct prefix_watch, 1);
  f->kv = kv;
  f->prefix = g_strdup (prefix);
  f->callbacks = callbacks;
  f->arg = arg;
  f->retry_ms = RETRY_MIN_MS;
  prefix_watch_set_batch_delay (f, batch_delay_max_ms);
  f->up = true;
  f->freshness = freshness_create (recovery_ms, g_random_int ());
  prefix_watch_set_vm_count (f, 1);
  f->polls = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  f->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  f->timer = evtimer_new (base, on_timer, f);
  f->hint_timer = evtimer_new (base, on_hint_due, f);
  f->check_timer = evtimer_new (base, on_check, f);
  next_step (f);
  schedule_check (f, CHECK_RETRY_MS);
  return f;
}

void
prefix_watch_destroy (struct prefix_watch *f)
{
  if (f == NULL)
    return;
  event_free (f->timer);
  event_free (f->hint_timer);
  event_free (f->check_timer);
  freshness_destroy (f->freshness);
  g_hash_table_destroy (f->polls);
  g_hash_table_destroy (f->keys);
  g_free (f->prefix);
  g_free (f);
}

int64_t
prefix_watch_age_ms (const struct prefix_watch *f)
{
  return f->answered_ms == 0 ? -1 : clock_ms () - f->answered_ms;
}

int64_t
prefix_watch_confirmed_age_ms (const struct prefix_watch *f)
{
  int64_t at_ms = freshness_confirmed_ms (f->freshness);
  int64_t age_ms = at_ms == INT64_MIN ? INT64_MAX : clock_boot_ms () - at_ms;
  return MIN (age_ms, PREFIX_WATCH_AGE_MAX_MS);
}

bool
prefix_watch_is_synced (const struct prefix_watch *f)
{
  return f->listed;
}
