/** @file
    Orders to engines on a platform: which of them only read prompts.  One VM
    gives them, as decide/authority has it; what to order is decide/stages'. */
#ifndef DAEMON_STAGE_LINK_H
#define DAEMON_STAGE_LINK_H

#include "daemon/permit_link.h"
#include "decide/members.h"
#include "decide/stages.h"
#include "links/kv.h"
#include "links/platform.h"
#include "links/pool.h"

#include <event2/event.h>

struct stage_link;

/** What a link works with; all of it outlives the link.  */
struct stage_link_parts
{
  struct event_base *base;
  struct kv *kv;
  const struct platform_ops *platform;
  struct pool *pool;
  struct upstreams *upstreams;
  struct stages *stages;
  struct permit_link *permits;
  const struct members *members;
  int64_t lease_ms; /**< least time between orders of two holders */
  const char *vm;
};

/** Makes a link.  */
struct stage_link *stage_link_create (const struct stage_link_parts *parts);

/** Changes the least time between orders of two holders.  */
void stage_link_set_lease (struct stage_link *l, int64_t lease_ms);

/** Releases L.  */
void stage_link_destroy (struct stage_link *l);

/** This VM is leaving, and gives no more orders.  */
void stage_link_leave (struct stage_link *l);

#endif
