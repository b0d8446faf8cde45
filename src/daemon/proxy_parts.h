/** @file
    Modules that the proxy depends on.  */
#ifndef DAEMON_PROXY_PARTS_H
#define DAEMON_PROXY_PARTS_H

#include "daemon/permit_link.h"
#include "daemon/quarantine_link.h"
#include "decide/retry_bucket.h"
#include "daemon/upstream_statements.h"
#include "daemon/usage_link.h"
#include "decide/memory_budget.h"
#include "decide/prefill_split.h"
#include "decide/upstreams.h"
#include "links/platform.h"
#include "links/pool.h"

#include <event2/event.h>

/** Dependencies of a proxy.  The proxy owns none of them; all must outlive
    it.  */
struct proxy_parts
{
  struct event_base *base;
  /** Reads and writes the header fields of the platform, or the default ones
      (links/default_request_ops).  */
  const struct request_ops *requests;
  struct pool *pool;
  struct memory_budget *memory; /**< of bodies and responses of callers */
  struct upstreams *upstreams;
  struct upstream_statements *statements;
  struct retry_buckets *retries;
  struct permit_link *permits;         /**< NULL without engines */
  struct quarantine_link *quarantine;  /**< NULL: requests have no parts */
  struct prefill_split *prefill_split; /**< NULL without engines */
  struct usage_link *usage;            /**< NULL without usage reports */
  /** Returns the number of VMs, this one included, that share the connection
      limits of upstreams.  */
  unsigned (*count_vms) (void *arg);
  void *arg;
};

#endif
