#include "daemon/discovery.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "daemon/prefix_watch.h"
#include "daemon/routes_intake.h"
#include "decide/departures.h"

#include <string.h>

/* Longest delay to batch changes of upstreams, in percent of the time after
   which an upstream that leaves must get no more requests.  */
#define BATCH_DELAY_PERCENT 24
#define TICK_MS 100
/* Grace period after the service is reachable again.  An upstream whose entry
   is removed within the period stays in use until the period ends: live
   upstreams register again within it.  */
#define RECONNECT_GRACE_MS 2000
/* The period ends this long before the recovery time is over, counted from the
   latest request that failed: the service may have been back since then.  */
#define RECONNECT_MARGIN_MS 100
/* Removals of at least two entries within BURST_WINDOW_MS that make up at
   least 1/BURST_DIVISOR of all suggest a fault of the service, not of the
   upstreams.  */
#define BURST_WINDOW_MS 1000
#define BURST_DIVISOR 3
/* Upstreams removed in such a burst stay in use for this percentage of the
   time after which an upstream that leaves must get no more requests, at most
   RECONNECT_GRACE_MS.  The batching delay comes before it.  */
#define BURST_GRACE_PERCENT 60

/* An upstream whose entry was removed and that is in its grace period.  */
struct missing
{
  int64_t due_ms; /* when the upstream is removed */
};

struct discovery
{
  const struct kv *kv;
  const struct platform_ops *platform;
  struct upstreams *upstreams;
  struct departures *departures;
  const struct discovery_callbacks *callbacks;
  void *arg;
  struct routes_intake *intake;
  struct prefix_watch *routes_watch;
  struct prefix_watch *upstreams_watch;
  struct event *timer;
  unsigned recovery_ms;    /* see struct discovery_times */
  int64_t grace_end_ms;    /* end of the period of RECONNECT_GRACE_MS */
  int64_t burst_grace_ms;  /* see BURST_GRACE_PERCENT */
  int64_t burst_start_ms;  /* start of the latest window that has removals */
  unsigned burst_removals; /* number of removals since burst_start_ms */
  GHashTable *missing;     /* id -> struct missing */
};

/* Watch of the routes.  */

static void
on_routes_change (void *arg, const char *key, GBytes *value, int64_t revision)
{
  struct discovery *d = arg;
  if (strcmp (key, d->platform->routes_key) == 0 && value)
    routes_intake_add (d->intake, value, revision);
}

static void
on_routes_batch (void *arg, bool listed)
{
  struct discovery *d = arg;
  (void)listed;
  routes_intake_start (d->intake);
}

static void
on_routes (void *arg, struct route_table *table)
{
  struct discovery *d = arg;
  d->callbacks->on_routes (d->arg, table);
}

static void
on_routes_state (void *arg, bool up, int64_t failed_age_ms)
{
  (void)arg;
  (void)up;
  (void)failed_age_ms;
}

static const struct prefix_watch_callbacks routes_callbacks
    = { on_routes_change, on_routes_batch, on_routes_state };

/* Watch of the upstreams.  */

/* Remembers that the upstream of INFO has left or is leaving.  */
static void
record_departure (struct discovery *d, const struct upstream_info *info)
{
  struct entry_date date = { info->start_wall_ms, info->sequence };
  departures_add (d->departures, info->id, &date, d->kv->restores,
                  clock_ms ());
}

/* Whether INFO is an entry from before its upstream left, which a restored
   service shows again.  */
static bool
is_outdated (struct discovery *d, const struct upstream_info *info,
             int64_t revision)
{
  struct entry_date date = { info->start_wall_ms, info->sequence };
  if (!departures_is_outdated (d->departures, info->id, &date,
                               d->kv->restores))
    return false;
  log_event (LOG_INFO, "upstream_outdated", "upstream", info->id, "sequence",
             log_num ((long long)info->sequence), "revision",
             log_num (revision), NULL);
  return true;
}

/* Takes ID out of use because of WHY, without a conclusion about the upstream
   itself.  */
static void
stop_using (struct discovery *d, const char *id, const char *why)
{
  if (!upstreams_remove (d->upstreams, id))
    return;
  log_event (LOG_INFO, "upstream_gone", "upstream", id, "why", why,
             "upstreams_left", log_num (upstreams_count (d->upstreams)), NULL);
  d->callbacks->on_upstream_gone (d->arg, id);
}

/* The upstream ID has left or ended.  */
static void
drop_upstream (struct discovery *d, const char *id, const char *why)
{
  const struct upstream_info *info
      = upstreams_info (d->upstreams, upstreams_find (d->upstreams, id));
  if (info)
    {
      record_departure (d, info);
      d->callbacks->on_upstream_ended (d->arg, info);
    }
  stop_using (d, id, why);
}

/* Counts a removal.  Returns whether it belongs to a burst, see
   BURST_WINDOW_MS.  */
static bool
is_removal_burst (struct discovery *d, int64_t now)
{
  if (now - d->burst_start_ms > BURST_WINDOW_MS)
    {
      d->burst_start_ms = now;
      d->burst_removals = 0;
    }
  d->burst_removals++;
  return d->burst_removals >= 2
         && d->burst_removals * BURST_DIVISOR
                >= upstreams_count (d->upstreams);
}

static void
on_upstream_removed (struct discovery *d, const char *id)
{
  int64_t now = clock_ms ();
  bool burst = is_removal_burst (d, now);
  if (!burst && now > d->grace_end_ms)
    {
      drop_upstream (d, id, "entry_removed");
      return;
    }
  struct missing *m = g_new (struct missing, 1);
  m->due_ms = MAX (burst ? now + d->burst_grace_ms : 0, d->grace_end_ms);
  g_hash_table_replace (d->missing, g_strdup (id), m);
  log_event (LOG_INFO, "upstream_missing", "upstream", id, "why",
             burst ? "many_at_once" : "service_was_away", "kept_ms",
             log_num (m->due_ms - now), NULL);
}

static void
on_upstream_change (void *arg, const char *key, GBytes *value,
                    int64_t revision)
{
  struct discovery *d = arg;
  const char *id = d->platform->upstream_id (key);
  struct upstream_info info;
  g_autoptr (GError) error = NULL;
  gsize size = 0;
  if (value == NULL)
    {
      on_upstream_removed (d, id);
      return;
    }
  const void *data = g_bytes_get_data (value, &size);
  g_hash_table_remove (d->missing, id);
  if (!d->platform->decode_upstream (key, data, size, &info, &error))
    {
      log_event (LOG_WARN, "upstream_malformed", "key", key, "revision",
                 log_num (revision), "error", error->message, NULL);
      stop_using (d, id, "entry_malformed");
      return;
    }
  bool outdated = is_outdated (d, &info, revision);
  const struct upstream_info *old
      = upstreams_info (d->upstreams, upstreams_find (d->upstreams, id));
  if (!outdated && old && old->start_wall_ms < info.start_wall_ms)
    d->callbacks->on_upstream_ended (d->arg, old);
  if (info.leaving && !outdated)
    record_departure (d, &info);
  if (!outdated && upstreams_put (d->upstreams, &info))
    log_event (LOG_INFO, "upstream_known", "upstream", info.id, "service",
               info.service, "address", info.address, "failure_domain",
               info.failure_domain, "leaving", info.leaving ? "true" : "false",
               "role", log_num (info.role), "revision", log_num (revision),
               NULL);
  upstream_info_clear (&info);
}

static void
on_upstreams_batch (void *arg, bool listed)
{
  struct discovery *d = arg;
  (void)listed;
  metrics_set (METRIC_upstreams_known, upstreams_count (d->upstreams));
}

static void
on_upstreams_state (void *arg, bool up, int64_t failed_age_ms)
{
  struct discovery *d = arg;
  int64_t left_ms = d->recovery_ms - RECONNECT_MARGIN_MS - failed_age_ms;
  if (up)
    d->grace_end_ms = clock_ms () + CLAMP (left_ms, 0, RECONNECT_GRACE_MS);
}

static const struct prefix_watch_callbacks upstream_callbacks
    = { on_upstream_change, on_upstreams_batch, on_upstreams_state };

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct discovery *d = arg;
  int64_t now = clock_ms ();
  GHashTableIter it;
  gpointer id;
  gpointer value;
  g_hash_table_iter_init (&it, d->missing);
  while (g_hash_table_iter_next (&it, &id, &value))
    if (now >= ((struct missing *)value)->due_ms)
      {
        drop_upstream (d, id, "did_not_return");
        g_hash_table_iter_remove (&it);
      }
  departures_expire (d->departures, now);
}

/* Creation, configuration, queries and destruction.  */

struct discovery *
discovery_create (struct event_base *base, struct loop_clock *clock,
                  struct kv *kv, const struct platform_ops *platform,
                  struct upstreams *upstreams,
                  const struct discovery_times *times,
                  const struct discovery_callbacks *callbacks, void *arg)
{
  static const struct timeval tick = { 0, TICK_MS * 1000 };
  struct discovery *d = g_new0 (struct discovery, 1);
  d->intake = routes_intake_create (base, clock, platform, on_routes, d);
  d->kv = kv;
  d->platform = platform;
  d->departures = departures_create ();
  d->upstreams = upstreams;
  d->callbacks = callbacks;
  d->arg = arg;
  d->missing = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  d->timer = event_new (base, -1, EV_PERSIST, on_timer, d);
  event_add (d->timer, &tick);
  d->routes_watch
      = prefix_watch_create (base, kv, platform->routes_key, 0,
                             times->recovery_ms, &routes_callbacks, d);
  d->upstreams_watch
      = prefix_watch_create (base, kv, platform->upstreams_prefix, 0,
                             times->recovery_ms, &upstream_callbacks, d);
  discovery_set_times (d, times);
  return d;
}

void
discovery_set_times (struct discovery *d, const struct discovery_times *times)
{
  d->recovery_ms = times->recovery_ms;
  d->burst_grace_ms
      = MIN (RECONNECT_GRACE_MS, times->leave_ms * BURST_GRACE_PERCENT / 100);
  prefix_watch_set_batch_delay (d->upstreams_watch,
                                times->leave_ms * BATCH_DELAY_PERCENT / 100);
  prefix_watch_set_recovery_ms (d->routes_watch, times->recovery_ms);
  prefix_watch_set_recovery_ms (d->upstreams_watch, times->recovery_ms);
}

void
discovery_set_vm_count (struct discovery *d, unsigned vms)
{
  prefix_watch_set_vm_count (d->routes_watch, vms);
  prefix_watch_set_vm_count (d->upstreams_watch, vms);
}

void
discovery_destroy (struct discovery *d)
{
  if (d == NULL)
    return;
  event_free (d->timer);
  routes_intake_destroy (d->intake);
  prefix_watch_destroy (d->routes_watch);
  prefix_watch_destroy (d->upstreams_watch);
  g_hash_table_destroy (d->missing);
  departures_destroy (d->departures);
  g_free (d);
}

struct discovery_revisions
discovery_revisions (const struct discovery *d)
{
  return (struct discovery_revisions){
    .routes = (uint64_t)prefix_watch_revision (d->routes_watch),
    .routes_age_ms = (uint64_t)prefix_watch_confirmed_age_ms (d->routes_watch),
    .upstreams = (uint64_t)prefix_watch_revision (d->upstreams_watch),
    .upstreams_age_ms
    = (uint64_t)prefix_watch_confirmed_age_ms (d->upstreams_watch)
  };
}

void
discovery_hint_revisions (struct discovery *d,
                          const struct discovery_revisions *known)
{
  prefix_watch_hint (d->routes_watch, (int64_t)known->routes,
                     (int64_t)known->routes_age_ms);
  prefix_watch_hint (d->upstreams_watch, (int64_t)known->upstreams,
                     (int64_t)known->upstreams_age_ms);
}

bool
discovery_is_complete (const struct discovery *d)
{
  return routes_intake_has_routes (d->intake)
         && prefix_watch_is_synced (d->upstreams_watch);
}

int64_t
discovery_routes_age_ms (const struct discovery *d)
{
  return prefix_watch_age_ms (d->routes_watch);
}
