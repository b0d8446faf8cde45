/** @file
    Reverse proxy: matches a caller's request to a route, forwards it to an
    instance of the route's service and returns the response.  Without a
    response, the status tells the caller whether the request may have run.  */
#ifndef DAEMON_PROXY_H
#define DAEMON_PROXY_H

#include "daemon/proxy_parts.h"
#include "decide/route_table.h"
#include "links/http_listener.h"

struct proxy;

/** Creates a proxy without routes; it refuses all requests until
    proxy_set_routes.  */
struct proxy *proxy_create (const struct proxy_parts *parts);

/** Frees P, which may be NULL.  Aborts the connections of callers whose
    requests are in progress.  */
void proxy_destroy (struct proxy *p);

/** Routes new requests by TABLE and takes ownership of it.  Requests in
    progress keep the table under which they arrived.  */
void proxy_set_routes (struct proxy *p, struct route_table *table);

/** Returns the current routes, or NULL before the first proxy_set_routes.  */
const struct route_table *proxy_routes (const struct proxy *p);

/** Callbacks to pass to http_listener_create so that the proxy serves that
    listener; the listener's callback argument must be the proxy.  */
extern const struct http_listener_callbacks proxy_listener_callbacks;

/** Announces that the VM stops at END_MS.  Requests whose deadline lies past
    END_MS are refused if they arrive at or after FROM_MS or, before, if their
    route's recent responses took too long for them to end in time.  Both times
    are milliseconds of the monotonic clock.  */
void proxy_set_shutdown (struct proxy *p, int64_t from_ms, int64_t end_ms);

/** Ends the requests in progress, as this VM stops: with a response that says
    whether they may have run, or within the response.  */
void proxy_end_requests (struct proxy *p);

/** This VM may have got tokens of limits: requests that wait for one go on. */
void proxy_tokens_arrived (struct proxy *p);

/** Returns the number of requests in progress.  */
unsigned proxy_open_requests (const struct proxy *p);

#endif
