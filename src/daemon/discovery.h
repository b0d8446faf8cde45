/** @file
    Watches routes and upstreams in the key-value service.  The last known
    state stays in use while the service is unreachable.

    Routes with a lower or equal version are ignored.  An upstream whose entry
    is removed shortly after an outage of the service, or together with many
    others, stays in use for a short grace period: live upstreams register
    again within it.  */
#ifndef DAEMON_DISCOVERY_H
#define DAEMON_DISCOVERY_H

#include "decide/upstreams.h"
#include "links/kv.h"
#include "links/platform.h"

#include <event2/event.h>

struct discovery;

/** Callbacks of discovery.  */
struct discovery_callbacks
{
  /** Routes of a newer version are available.  The callee owns a reference to
      TABLE.  */
  void (*on_routes) (void *arg, struct route_table *table);
  /** The entry of UPSTREAM is about to be removed, or replaced by one with a
      later start.  */
  void (*on_upstream_ended) (void *arg, const struct upstream_info *upstream);
  /** The instance ID was removed from the table of upstreams.  */
  void (*on_upstream_gone) (void *arg, const char *id);
};

/** Starts to watch the key-value service and keeps the table UPSTREAMS up to
    date.  LEAVE_MS is the time after which an upstream that leaves must get no
    more requests, in milliseconds; the batching of changes and the grace
    period of removals in a burst are derived from it.  */
struct discovery *
discovery_create (struct event_base *base, struct kv *kv,
                  const struct platform_ops *platform,
                  struct upstreams *upstreams, unsigned leave_ms,
                  const struct discovery_callbacks *callbacks, void *arg);

/** Changes LEAVE_MS, see discovery_create.  */
void discovery_set_leave_ms (struct discovery *d, unsigned leave_ms);

/** Sets the number of running VMs, see prefix_watch_set_vm_count.  */
void discovery_set_vm_count (struct discovery *d, unsigned vms);

/** Stops watching and frees D.  */
void discovery_destroy (struct discovery *d);

/** Latest changes in the key-value service that a VM has seen.  */
struct discovery_revisions
{
  uint64_t routes;    /**< revision of the latest change of routes */
  uint64_t upstreams; /**< revision of the latest change of upstreams */
};

/** Latest changes that this VM has seen.  */
struct discovery_revisions discovery_revisions (const struct discovery *d);

/** Another VM has seen the changes KNOWN.  If this VM does not see them in
    time, it reads all entries again.  */
void discovery_hint_revisions (struct discovery *d,
                               const struct discovery_revisions *known);

/** Whether routes and upstreams have been read at least once.  */
bool discovery_is_complete (const struct discovery *d);

/** Milliseconds since the key-value service last answered a request for the
    routes; -1 if it never has.  */
int64_t discovery_routes_age_ms (const struct discovery *d);

#endif
