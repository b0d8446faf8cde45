/** @file
    Watch of all keys under one prefix of the key-value service.

    Lists the keys once, then long-polls for changes.  Lists the keys again
    when the service no longer keeps the changes since the last revision.
    Retries by itself while the service is unreachable.

    A poll may be lost, with nothing to show for it.  While neither an answer
    nor the report of another VM confirms that no change was missed, the watch
    asks at once instead of waiting for the end of its poll; see
    decide/freshness.h.  */
#ifndef DAEMON_PREFIX_WATCH_H
#define DAEMON_PREFIX_WATCH_H

#include "links/kv.h"

#include <event2/event.h>

/** Greatest age that prefix_watch_confirmed_age_ms returns.  */
#define PREFIX_WATCH_AGE_MAX_MS 60000

struct prefix_watch;

/** Callbacks of a watch.  */
struct prefix_watch_callbacks
{
  /** KEY has VALUE since REVISION, or was removed if VALUE is NULL.  */
  void (*on_change) (void *arg, const char *key, GBytes *value,
                     int64_t revision);
  /** All changes of one response have been reported.  LISTED: the response was
      a complete list, and keys absent from it were reported as removed.  */
  void (*on_batch) (void *arg, bool listed);
  /** The service became unreachable, or reachable again if UP.  FAILED_AGE_MS:
      time since the latest request that failed was sent.  */
  void (*on_state) (void *arg, bool up, int64_t failed_age_ms);
};

/** Starts to watch PREFIX.  Changes in quick succession are batched for up to
    BATCH_DELAY_MAX_MS; lower values than the least delay, 150 ms, count as
    that.  RECOVERY_MS: time after a disruption of the service within which
    changes must be followed again.  */
struct prefix_watch *prefix_watch_create (
    struct event_base *base, struct kv *kv, const char *prefix,
    unsigned batch_delay_max_ms, unsigned recovery_ms,
    const struct prefix_watch_callbacks *callbacks, void *arg);

/** Changes the longest delay to batch changes, in milliseconds.  */
void prefix_watch_set_batch_delay (struct prefix_watch *f,
                                   unsigned batch_delay_max_ms);

/** Changes RECOVERY_MS, see prefix_watch_create.  */
void prefix_watch_set_recovery_ms (struct prefix_watch *f,
                                   unsigned recovery_ms);

/** Sets the number of running VMs, this one included, which confirm each
    other's state: with more of them each poll may be held open for longer.  */
void prefix_watch_set_vm_count (struct prefix_watch *f, unsigned vms);

/** Frees F.  Its requests to the service must not complete afterwards: destroy
    the key-value adapter before the event loop runs again.  */
void prefix_watch_destroy (struct prefix_watch *f);

/** Revision of the latest change under the prefix that this VM has seen; 0
    before the first.  */
int64_t prefix_watch_revision (const struct prefix_watch *f);

/** Another VM knows all changes up to AGE_MS ago, the latest of them at
    REVISION; 0 for none.  If this VM does not see that one soon, it lists all
    keys, because the pending long poll may have been lost.  If it has seen it,
    it has missed nothing up to then.  */
void prefix_watch_hint (struct prefix_watch *f, int64_t revision,
                        int64_t age_ms);

/** Milliseconds since the time up to which this VM knows all changes, at most
    PREFIX_WATCH_AGE_MAX_MS.  */
int64_t prefix_watch_confirmed_age_ms (const struct prefix_watch *f);

/** Milliseconds since the service last answered a request of this watch; -1 if
    it never has.  */
int64_t prefix_watch_age_ms (const struct prefix_watch *f);

/** Whether all keys have been listed at least once.  */
bool prefix_watch_is_synced (const struct prefix_watch *f);

#endif
