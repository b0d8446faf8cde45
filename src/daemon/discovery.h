/** @file
    Follows routes and upstreams in the key-value service, and keeps what is
    known through its outages.

    Versions of the routes never go back.  An upstream's entry that vanishes
    while the service was away, or with many others, is kept for a short time:
    live upstreams come back within it.  */
#ifndef DAEMON_DISCOVERY_H
#define DAEMON_DISCOVERY_H

#include "decide/upstreams.h"
#include "links/kv.h"
#include "links/platform.h"

#include <event2/event.h>

struct discovery;

/** What discovery reports to.  */
struct discovery_events
{
  /** A newer version of the routes; TABLE is taken.  */
  void (*on_routes) (void *arg, struct route_table *table);
  /** An instance has gone, or is another one.  */
  void (*on_upstream_gone) (void *arg, const char *id);
};

/** Starts to follow; the table UPSTREAMS is kept up to date.  An upstream that
    leaves is to get no more requests within LEAVE_MS.  */
struct discovery *discovery_create (struct event_base *base, struct kv *kv,
                                    const struct platform_ops *platform,
                                    struct upstreams *upstreams,
                                    unsigned leave_ms,
                                    const struct discovery_events *events,
                                    void *arg);

/** Changes the time within which an upstream that leaves is to get no more. */
void discovery_set_leave_ms (struct discovery *d, unsigned leave_ms);

/** Releases D.  */
void discovery_destroy (struct discovery *d);

/** What a VM knows of the key-value service's latest changes.  */
struct discovery_known
{
  uint64_t routes;    /**< revision of the routes */
  uint64_t upstreams; /**< revision of the latest change of upstreams */
};

/** What is known here.  */
struct discovery_known discovery_known (const struct discovery *d);

/** Another VM knows KNOWN.  */
void discovery_hint (struct discovery *d, const struct discovery_known *known);

/** Whether routes and upstreams have been read at least once.  */
bool discovery_is_complete (const struct discovery *d);

/** Milliseconds since the key-value service last answered for the routes; -1
    for never.  */
int64_t discovery_routes_age_ms (const struct discovery *d);

#endif
