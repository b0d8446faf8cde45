/** @file
    Sends orders to the engines of a platform: each order makes an engine a
    prefill engine, which only reads prompts, or a decode engine, which runs
    whole requests.  decide/stages decides which engines change.  Only one VM,
    the order holder, sends orders: the VM that ranks first in its region by
    rendezvous hashing and has written its id to a key of the key-value service
    (decide/authority).  */
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

/** Dependencies of a link; all must outlive it.  */
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
  int64_t lease_ms; /**< least time between orders of two holders; see
                         authority_create */
  const char *vm;   /**< id of this VM */
};

/** Creates a link and starts its timer.  */
struct stage_link *stage_link_create (const struct stage_link_parts *parts);

/** Changes the least time between orders of two holders, in ms.  */
void stage_link_set_lease (struct stage_link *l, int64_t lease_ms);

/** Frees L, which may be NULL, and cancels orders in progress.  */
void stage_link_destroy (struct stage_link *l);

/** Ends the candidacy of this VM as order holder, because it is leaving the
    fleet.  No further orders are decided.  */
void stage_link_leave (struct stage_link *l);

#endif
