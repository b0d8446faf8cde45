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
#include "links/loop_clock.h"
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

/** Times that the batching of changes, checks of the watches and grace periods
    are derived from.  */
struct discovery_times
{
  unsigned leave_ms;    /**< time after which an upstream that leaves must get
                           no more requests */
  unsigned recovery_ms; /**< time after a disruption of the key-value service
                           from which changes must be followed again */
};

/** Starts to watch the key-value service and keeps the table UPSTREAMS up to
    date.  */
struct discovery *
discovery_create (struct event_base *base, struct loop_clock *clock,
                  struct kv *kv, const struct platform_ops *platform,
                  struct upstreams *upstreams,
                  const struct discovery_times *times,
                  const struct discovery_callbacks *callbacks, void *arg);

/** Changes the times.  */
void discovery_set_times (struct discovery *d,
                          const struct discovery_times *times);

/** Sets the number of running VMs, see prefix_watch_set_vm_count.  */
void discovery_set_vm_count (struct discovery *d, unsigned vms);

/** Stops watching and frees D.  */
void discovery_destroy (struct discovery *d);

/** Latest changes in the key-value service that a VM has seen.  */
struct discovery_revisions
{
  uint64_t routes;        /**< revision of the latest change of routes */
  uint64_t routes_age_ms; /**< age of the state that is known to have no later
                             change of routes */
  uint64_t upstreams;     /**< revision of the latest change of upstreams */
  uint64_t upstreams_age_ms; /**< the same for upstreams */
};

/** Latest changes that this VM has seen.  */
struct discovery_revisions discovery_revisions (const struct discovery *d);

/** Another VM has seen the changes KNOWN.  If this VM does not see them in
    time, it reads all entries again; if it has seen them, they confirm that it
    has missed none.  */
void discovery_hint_revisions (struct discovery *d,
                               const struct discovery_revisions *known);

/** Whether routes and upstreams have been read at least once.  */
bool discovery_is_complete (const struct discovery *d);

/** Milliseconds since the key-value service last answered a request for the
    routes; -1 if it never has.  */
int64_t discovery_routes_age_ms (const struct discovery *d);

#endif
