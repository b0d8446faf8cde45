/** @file
    Routed requests: takes a caller's request, sends it to an instance of its
    route's service, passes the answer on, and says the truth where there is
    none.  */
#ifndef DAEMON_PROXY_H
#define DAEMON_PROXY_H

#include "daemon/proxy_parts.h"
#include "decide/routes.h"
#include "links/front.h"

struct proxy;

/** Makes a proxy that knows no routes yet.  */
struct proxy *proxy_create (const struct proxy_parts *parts);

/** Releases P; requests under way are cut.  */
void proxy_destroy (struct proxy *p);

/** Puts TABLE in force, and takes it.  Requests under way keep the route that
    they came on.  */
void proxy_set_routes (struct proxy *p, struct route_table *table);

/** Routes in force, or NULL.  */
const struct route_table *proxy_routes (const struct proxy *p);

/** What a front reports whose callers' requests the proxy takes; its argument
    is the proxy.  */
extern const struct front_events proxy_front_events;

/** The VM stops at END_MS of the monotonic clock: from FROM_MS on, requests
   that could last longer are refused.  */
void proxy_set_end (struct proxy *p, int64_t from_ms, int64_t end_ms);

/** Requests under way.  */
unsigned proxy_open (const struct proxy *p);

#endif
