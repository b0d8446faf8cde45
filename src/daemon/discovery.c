#include "daemon/discovery.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "daemon/feed.h"

#include <string.h>

/* Instances that start or leave one after the other are heard of late by this
   part, at most, of the time in which one that leaves must get no more.  */
#define GATHER_PERCENT 24
#define TICK_MS 100
/* How long a vanished entry may be missing before it counts as gone, and for
   how long after the service's return that holds.  */
#define RETURN_MS 2000
/* Entries that vanish together within MANY_MS: this part of all, and two at
   least, point to the service and not to the upstreams.  */
#define MANY_MS 1000
#define MANY_PART 3
/* Where nothing else points to the service, they are kept for this part of the
   time in which an instance that leaves must get no more: the pause in which
   changes are gathered comes before it.  */
#define MANY_KEPT_PERCENT 56

/* An entry that vanished, and when it counts as gone.  */
struct missing
{
  int64_t due_ms;
};

struct discovery
{
  const struct platform_ops *platform;
  struct upstreams *upstreams;
  const struct discovery_events *events;
  void *arg;
  struct feed *routes_feed;
  struct feed *upstreams_feed;
  struct event *timer;
  uint64_t version; /* of the routes in force */
  bool has_routes;
  int64_t regained_ms;
  int64_t many_kept_ms;
  int64_t vanished_ms; /* start of the latest MANY_MS in which some vanished */
  unsigned vanished;
  GHashTable *missing; /* id -> struct missing */
};

/* Routes.  */

static void
on_routes_change (void *arg, const char *key, GBytes *value, int64_t revision)
{
  struct discovery *d = arg;
  if (strcmp (key, d->platform->routes_key) != 0 || value == NULL)
    return;
  g_autoptr (GError) error = NULL;
  gsize size = 0;
  const void *data = g_bytes_get_data (value, &size);
  struct route_table *t = d->platform->decode_routes (data, size, &error);
  if (t == NULL)
    {
      log_event (LOG_ERROR, "routes_malformed", "key", key, "revision",
                 log_num (revision), "error", error->message, NULL);
      return;
    }
  uint64_t version = route_table_version (t);
  bool newer = !d->has_routes || version > d->version;
  log_event (LOG_INFO, newer ? "routes_in_force" : "routes_passed_over",
             "version", log_num ((long long)version), "before",
             log_num (d->has_routes ? (long long)d->version : -1), "revision",
             log_num (revision), "routes", log_num (route_table_count (t)),
             NULL);
  if (!newer)
    {
      route_table_unref (t);
      return;
    }
  d->has_routes = true;
  d->version = version;
  metrics_set (METRIC_routes_version, (int64_t)version);
  d->events->on_routes (d->arg, t);
}

static void
on_routes_batch (void *arg, bool listed)
{
  (void)arg;
  (void)listed;
}

static void
on_routes_state (void *arg, bool up)
{
  (void)arg;
  (void)up;
}

static const struct feed_events routes_events
    = { on_routes_change, on_routes_batch, on_routes_state };

/* Upstreams.  */

static void
drop_upstream (struct discovery *d, const char *id, const char *why)
{
  if (!upstreams_remove (d->upstreams, id))
    return;
  log_event (LOG_INFO, "upstream_gone", "upstream", id, "why", why, "known",
             log_num (upstreams_count (d->upstreams)), NULL);
  d->events->on_upstream_gone (d->arg, id);
}

static bool
many_vanish (struct discovery *d, int64_t now)
{
  if (now - d->vanished_ms > MANY_MS)
    {
      d->vanished_ms = now;
      d->vanished = 0;
    }
  d->vanished++;
  return d->vanished >= 2
         && d->vanished * MANY_PART >= upstreams_count (d->upstreams);
}

static void
upstream_vanished (struct discovery *d, const char *id)
{
  int64_t now = clock_ms ();
  bool many = many_vanish (d, now);
  if (!many && now - d->regained_ms > RETURN_MS)
    {
      drop_upstream (d, id, "entry_removed");
      return;
    }
  struct missing *m = g_new (struct missing, 1);
  m->due_ms
      = MAX (many ? now + d->many_kept_ms : 0, d->regained_ms + RETURN_MS);
  g_hash_table_replace (d->missing, g_strdup (id), m);
  log_event (LOG_INFO, "upstream_missing", "upstream", id, "why",
             many ? "many_at_once" : "service_was_away", "kept_ms",
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
      upstream_vanished (d, id);
      return;
    }
  const void *data = g_bytes_get_data (value, &size);
  g_hash_table_remove (d->missing, id);
  if (!d->platform->decode_upstream (key, data, size, &info, &error))
    {
      log_event (LOG_WARN, "upstream_malformed", "key", key, "revision",
                 log_num (revision), "error", error->message, NULL);
      drop_upstream (d, id, "entry_malformed");
      return;
    }
  if (upstreams_put (d->upstreams, &info))
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
on_upstreams_state (void *arg, bool up)
{
  struct discovery *d = arg;
  if (up)
    d->regained_ms = clock_ms ();
}

static const struct feed_events upstream_events
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
}

/* Making and releasing.  */

struct discovery *
discovery_create (struct event_base *base, struct kv *kv,
                  const struct platform_ops *platform,
                  struct upstreams *upstreams, unsigned leave_ms,
                  const struct discovery_events *events, void *arg)
{
  static const struct timeval tick = { 0, TICK_MS * 1000 };
  struct discovery *d = g_new0 (struct discovery, 1);
  d->platform = platform;
  d->upstreams = upstreams;
  d->events = events;
  d->arg = arg;
  d->regained_ms = -RETURN_MS;
  d->missing = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  d->timer = event_new (base, -1, EV_PERSIST, on_timer, d);
  event_add (d->timer, &tick);
  d->routes_feed
      = feed_create (base, kv, platform->routes_key, 0, &routes_events, d);
  d->upstreams_feed = feed_create (base, kv, platform->upstreams_prefix, 0,
                                   &upstream_events, d);
  discovery_set_leave_ms (d, leave_ms);
  return d;
}

void
discovery_set_leave_ms (struct discovery *d, unsigned leave_ms)
{
  d->many_kept_ms = MIN (RETURN_MS, leave_ms * MANY_KEPT_PERCENT / 100);
  feed_set_gather (d->upstreams_feed, leave_ms * GATHER_PERCENT / 100);
}

void
discovery_destroy (struct discovery *d)
{
  if (d == NULL)
    return;
  event_free (d->timer);
  feed_destroy (d->routes_feed);
  feed_destroy (d->upstreams_feed);
  g_hash_table_destroy (d->missing);
  g_free (d);
}

struct discovery_known
discovery_known (const struct discovery *d)
{
  return (struct discovery_known){
    .routes = (uint64_t)feed_revision (d->routes_feed),
    .upstreams = (uint64_t)feed_revision (d->upstreams_feed)
  };
}

void
discovery_hint (struct discovery *d, const struct discovery_known *known)
{
  feed_hint (d->routes_feed, (int64_t)known->routes);
  feed_hint (d->upstreams_feed, (int64_t)known->upstreams);
}

bool
discovery_is_complete (const struct discovery *d)
{
  return d->has_routes && feed_is_listed (d->upstreams_feed);
}

int64_t
discovery_routes_age_ms (const struct discovery *d)
{
  return feed_age_ms (d->routes_feed);
}
