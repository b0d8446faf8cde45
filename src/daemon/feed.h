/** @file
    Watch of all keys under one prefix of the key-value service.

    Lists the keys once, then long-polls for changes.  Lists the keys again
    when the service no longer keeps the changes since the last revision.
    Retries by itself while the service is unreachable.  */
#ifndef DAEMON_FEED_H
#define DAEMON_FEED_H

#include "links/kv.h"

#include <event2/event.h>

struct feed;

/** Callbacks of a watch.  */
struct feed_events
{
  /** KEY has VALUE since REVISION, or was removed if VALUE is NULL.  */
  void (*on_change) (void *arg, const char *key, GBytes *value,
                     int64_t revision);
  /** All changes of one response have been reported.  LISTED: the response was
      a complete list, and keys absent from it were reported as removed.  */
  void (*on_batch) (void *arg, bool listed);
  /** The service became unreachable, or reachable again if UP.  */
  void (*on_state) (void *arg, bool up);
};

/** Starts to watch PREFIX.  Changes in quick succession are batched for up to
    BATCH_DELAY_MAX_MS; lower values than the least delay, 150 ms, count as
    that.  */
struct feed *feed_create (struct event_base *base, struct kv *kv,
                          const char *prefix, unsigned batch_delay_max_ms,
                          const struct feed_events *events, void *arg);

/** Changes the longest delay to batch changes, in milliseconds.  */
void feed_set_gather (struct feed *f, unsigned batch_delay_max_ms);

/** Frees F.  Its requests to the service must not complete afterwards: destroy
    the key-value adapter before the event loop runs again.  */
void feed_destroy (struct feed *f);

/** Revision of the latest change under the prefix that this VM has seen; 0
    before the first.  */
int64_t feed_revision (const struct feed *f);

/** Another VM has seen a change at REVISION.  If this VM does not see it soon,
    it lists all keys, because the pending long poll may have been lost.  */
void feed_hint (struct feed *f, int64_t revision);

/** Milliseconds since the service last answered a request of this watch; -1 if
    it never has.  */
int64_t feed_age_ms (const struct feed *f);

/** Whether all keys have been listed at least once.  */
bool feed_is_listed (const struct feed *f);

#endif
