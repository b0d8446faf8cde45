/** @file
    What the proxy and its exchanges work with.  */
#ifndef DAEMON_PROXY_PARTS_H
#define DAEMON_PROXY_PARTS_H

#include "daemon/permit_link.h"
#include "decide/retry_window.h"
#include "decide/stages.h"
#include "decide/upstreams.h"
#include "links/platform.h"
#include "links/pool.h"

#include <event2/event.h>

/** What a proxy works with; all of it outlives the proxy.  */
struct proxy_parts
{
  struct event_base *base;
  const struct request_ops *requests;
  struct pool *pool;
  struct upstreams *upstreams;
  struct retry_windows *retries;
  struct permit_link *permits;
  struct stages *stages;
  /** Number of VMs that share upstreams and budgets, this one included.  */
  unsigned (*count_vms) (void *arg);
  void *arg;
};

#endif
