/** @file
    Routed requests: takes a caller's request, sends it to an instance of its
    route's service, passes the answer on, and says the truth where there is
    none.  */
#ifndef DAEMON_PROXY_H
#define DAEMON_PROXY_H

#include "decide/retry_window.h"
#include "decide/upstreams.h"
#include "links/front.h"
#include "links/platform.h"
#include "links/pool.h"

#include <event2/event.h>

struct proxy;

/** What a proxy works with; all of it outlives the proxy.  */
struct proxy_parts
{
  struct event_base *base;
  const struct platform_ops *platform;
  struct pool *pool;
  struct upstreams *upstreams;
  struct retry_windows *retries;
  /** Number of VMs that share upstreams and budgets, this one included.  */
  unsigned (*count_vms) (void *arg);
  void *arg;
};

/** Makes a proxy that knows no routes yet.  */
struct proxy *proxy_create (const struct proxy_parts *parts);

/** Releases P; requests under way are cut.  */
void proxy_destroy (struct proxy *p);

/** Puts TABLE in force, and takes it.  Requests under way keep the route that
    they came on.  */
void proxy_set_routes (struct proxy *p, struct route_table *table);

/** Routes in force, or NULL.  */
const struct route_table *proxy_routes (const struct proxy *p);

/** Takes a caller's request.  */
void proxy_take (struct proxy *p, struct front_request *r);

/** Requests under way.  */
unsigned proxy_open (const struct proxy *p);

#endif
