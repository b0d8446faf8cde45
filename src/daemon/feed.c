#include "daemon/feed.h"

#include "base/clock.h"
#include "base/log.h"

/* Longest wait of one call; a service that is silent is missed within it and
   the adapter's own margin.  */
#define WAIT_MS 10000
/* Pause after changes: many upstreams that start or end together are then told
   in one answer, not in one each.  It grows while changes follow one another
   within CALM_MS.  */
#define GATHER_MS 150
#define CALM_MS 1000
/* How long a change that another VM knows of may be missing here: least, and
   besides the pause in which changes are gathered.  */
#define HINT_LEAST_MS 1000
#define HINT_MARGIN_MS 400
/* Where history was lost, all VMs read everything again; spread over as long
   for each key.  */
#define READ_AGAIN_US_PER_KEY 200
/* Pause after a failure.  */
#define RETRY_MS 250
#define RETRY_MAX_MS 1000

/* Calls that may wait at once: the current one, and one that another VM's hint
   has shown to be lost.  */
#define WAITS 2

/* A call that waits for changes.  */
struct wait
{
  struct feed *feed;
  bool open;
};

struct feed
{
  struct kv *kv;
  char *prefix;
  const struct feed_events *events;
  void *arg;
  struct event *timer;
  struct wait waits[WAITS];
  unsigned current; /* wait whose end counts */
  GHashTable *keys; /* key -> revision, int64_t * */
  int64_t as_of;
  int64_t changed; /* revision of the latest change */
  int64_t hinted;  /* revision that another VM knows of */
  struct event *hint_timer;
  int64_t answered_ms;
  unsigned pause_ms;
  unsigned gather_most_ms;
  unsigned gather_ms;  /* pause after the latest change */
  int64_t gathered_ms; /* when that was */
  bool up;
  bool listed;
  bool looking;
};

static void go_on (struct feed *f);

static void
note_state (struct feed *f, enum kv_status status)
{
  bool up = status == KV_OK || status == KV_FORGOT;
  if (up)
    {
      f->answered_ms = clock_ms ();
      f->pause_ms = RETRY_MS;
    }
  if (up == f->up)
    return;
  f->up = up;
  log_event (up ? LOG_INFO : LOG_WARN,
             up ? "dependency_up" : "dependency_lost", "dependency", "kv",
             "prefix", f->prefix, "revision", log_num (f->as_of), NULL);
  f->events->on_state (f->arg, up);
}

static void
go_on_later (struct feed *f, unsigned ms)
{
  struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };
  evtimer_add (f->timer, &tv);
}

static void
pause_feed (struct feed *f)
{
  go_on_later (f, f->pause_ms);
  f->pause_ms = MIN (f->pause_ms * 2, RETRY_MAX_MS);
}

static void
take (struct feed *f, const struct kv_change *c)
{
  if (c->value == NULL)
    {
      if (g_hash_table_remove (f->keys, c->key))
        f->events->on_change (f->arg, c->key, NULL, c->revision);
      return;
    }
  const int64_t *known = g_hash_table_lookup (f->keys, c->key);
  if (known && *known >= c->revision)
    return;
  f->changed = MAX (f->changed, c->revision);
  int64_t *revision = g_new (int64_t, 1);
  *revision = c->revision;
  g_hash_table_replace (f->keys, g_strdup (c->key), revision);
  f->events->on_change (f->arg, c->key, c->value, c->revision);
}

/* Reports as removed what is known and not in a whole list.  */
static void
drop_absent (struct feed *f, const struct kv_change *changes, size_t n,
             int64_t as_of)
{
  g_autoptr (GHashTable) there = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GPtrArray) gone = g_ptr_array_new_with_free_func (g_free);
  for (size_t i = 0; i < n; i++)
    g_hash_table_add (there, (gpointer)changes[i].key);
  GHashTableIter it;
  gpointer key;
  g_hash_table_iter_init (&it, f->keys);
  while (g_hash_table_iter_next (&it, &key, NULL))
    if (!g_hash_table_contains (there, key))
      g_ptr_array_add (gone, g_strdup (key));
  for (guint i = 0; i < gone->len; i++)
    take (f, &(struct kv_change){ .key = g_ptr_array_index (gone, i),
                                  .revision = as_of });
}

static void
take_list (struct feed *f, const struct kv_change *changes, size_t n,
           int64_t as_of)
{
  drop_absent (f, changes, n, as_of);
  for (size_t i = 0; i < n; i++)
    take (f, &changes[i]);
  f->as_of = as_of;
  f->listed = true;
  f->events->on_batch (f->arg, true);
}

static void
on_listed (void *arg, enum kv_status status, const struct kv_change *changes,
           size_t n, int64_t as_of)
{
  struct feed *f = arg;
  note_state (f, status);
  if (status != KV_OK)
    {
      pause_feed (f);
      return;
    }
  /* Another list may have been answered meanwhile, and be newer.  */
  if (as_of >= f->as_of)
    take_list (f, changes, n, as_of);
  go_on (f);
}

/* This VM's place in the time over which all VMs read everything again.  */
static unsigned
read_again_ms (const struct feed *f)
{
  guint most = g_hash_table_size (f->keys) * READ_AGAIN_US_PER_KEY / 1000;
  return most > 0 ? g_random_int () % most : 0;
}

/* Pause after a change that came now.  */
static unsigned
next_gather_ms (struct feed *f)
{
  int64_t now = clock_ms ();
  bool calm = now - f->gathered_ms > (int64_t)f->gather_ms + CALM_MS;
  f->gather_ms = calm ? GATHER_MS : MIN (f->gather_ms * 2, f->gather_most_ms);
  f->gathered_ms = now;
  return f->gather_ms;
}

static void
on_changes (void *arg, enum kv_status status, const struct kv_change *changes,
            size_t n, int64_t as_of)
{
  struct wait *w = arg;
  struct feed *f = w->feed;
  w->open = false;
  if (w != &f->waits[f->current])
    return;
  note_state (f, status);
  if (status == KV_FORGOT)
    {
      log_event (LOG_INFO, "feed_reads_again", "prefix", f->prefix, "after",
                 log_num (f->as_of), NULL);
      f->as_of = 0;
      go_on_later (f, read_again_ms (f));
      return;
    }
  if (status != KV_OK)
    {
      pause_feed (f);
      return;
    }
  for (size_t i = 0; i < n; i++)
    {
      take (f, &changes[i]);
      f->changed = MAX (f->changed, changes[i].revision);
    }
  f->as_of = MAX (f->as_of, as_of);
  if (n == 0)
    {
      go_on (f);
      return;
    }
  f->events->on_batch (f->arg, false);
  go_on_later (f, next_gather_ms (f));
}

static void
start_wait (struct feed *f)
{
  struct wait *w = &f->waits[f->current];
  w->open = true;
  kv_changes (f->kv, f->prefix, f->as_of, WAIT_MS, on_changes, w);
}

static void
go_on (struct feed *f)
{
  /* While the service is away, a long wait could be swallowed unseen and
     outlast its return: a list is answered at once.  */
  if (f->as_of == 0 || !f->up)
    kv_list (f->kv, f->prefix, on_listed, f);
  else
    start_wait (f);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  go_on (arg);
}

/* What another VM knows.  */

static bool
is_behind (const struct feed *f)
{
  return f->hinted > MAX (f->changed, f->as_of);
}

/* The call that waits has missed a change: another one takes its place, so
   that its end, much later, says nothing of the service.  */
static void
replace_wait (struct feed *f)
{
  unsigned next = (f->current + 1) % WAITS;
  if (!f->waits[f->current].open || f->waits[next].open)
    return;
  f->current = next;
  start_wait (f);
}

static void
on_looked (void *arg, enum kv_status status, const struct kv_change *changes,
           size_t n, int64_t as_of)
{
  struct feed *f = arg;
  f->looking = false;
  note_state (f, status);
  if (status == KV_OK && as_of >= f->as_of)
    {
      take_list (f, changes, n, as_of);
      replace_wait (f);
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
  struct feed *f = arg;
  if (!is_behind (f) || f->looking)
    return;
  log_event (LOG_INFO, "change_missing", "prefix", f->prefix, "revision",
             log_num (MAX (f->changed, f->as_of)), "known_elsewhere",
             log_num (f->hinted), "age_ms", log_num (feed_age_ms (f)), NULL);
  f->looking = true;
  kv_list (f->kv, f->prefix, on_looked, f);
}

void
feed_hint (struct feed *f, int64_t revision)
{
  unsigned ms = MAX (f->gather_most_ms + HINT_MARGIN_MS, HINT_LEAST_MS);
  struct timeval wait = { ms / 1000, (ms % 1000) * 1000 };
  f->hinted = MAX (f->hinted, revision);
  if (is_behind (f) && !evtimer_pending (f->hint_timer, NULL))
    evtimer_add (f->hint_timer, &wait);
}

int64_t
feed_revision (const struct feed *f)
{
  return f->changed;
}

void
feed_set_gather (struct feed *f, unsigned gather_most_ms)
{
  f->gather_most_ms = MAX (gather_most_ms, GATHER_MS);
}

struct feed *
feed_create (struct event_base *base, struct kv *kv, const char *prefix,
             unsigned gather_most_ms, const struct feed_events *events,
             void *arg)
{
  struct feed *f = g_new0 (struct feed, 1);
  f->kv = kv;
  f->prefix = g_strdup (prefix);
  f->events = events;
  f->arg = arg;
  f->pause_ms = RETRY_MS;
  feed_set_gather (f, gather_most_ms);
  f->up = true;
  for (unsigned i = 0; i < WAITS; i++)
    f->waits[i].feed = f;
  f->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  f->timer = evtimer_new (base, on_timer, f);
  f->hint_timer = evtimer_new (base, on_hint_due, f);
  go_on (f);
  return f;
}

void
feed_destroy (struct feed *f)
{
  if (f == NULL)
    return;
  event_free (f->timer);
  event_free (f->hint_timer);
  g_hash_table_destroy (f->keys);
  g_free (f->prefix);
  g_free (f);
}

int64_t
feed_age_ms (const struct feed *f)
{
  return f->answered_ms == 0 ? -1 : clock_ms () - f->answered_ms;
}

bool
feed_is_listed (const struct feed *f)
{
  return f->listed;
}
