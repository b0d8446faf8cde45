/** @file
    Sends orders to the engines of a platform: each order makes an engine a
    prefill engine, which only prefills prompts, or a decode engine, which runs
    complete requests.  decide/prefill_split decides which engines change.
    Only one VM, the order holder, sends orders: the VM that ranks first in its
    region by rendezvous hashing and has written its id to a key of the
    key-value service (decide/order_lease).  */
#ifndef DAEMON_PREFILL_SPLIT_LINK_H
#define DAEMON_PREFILL_SPLIT_LINK_H

#include "daemon/permit_link.h"
#include "decide/members.h"
#include "daemon/upstream_statements.h"
#include "decide/prefill_split.h"
#include "links/kv.h"
#include "links/platform.h"
#include "links/pool.h"

#include <event2/event.h>

struct prefill_split_link;

/** Dependencies of a link; all must outlive it.  */
struct prefill_split_link_parts
{
  struct event_base *base;
  struct kv *kv;
  const struct platform_ops *platform;
  struct pool *pool;
  struct upstreams *upstreams;
  struct upstream_statements *statements;
  struct prefill_split *prefill_split;
  struct permit_link *permits;
  const struct members *members;
  int64_t lease_ms; /**< least time between orders of two holders; see
                         order_lease_create */
  const char *vm;   /**< id of this VM */
};

/** Creates a link and starts its timer.  */
struct prefill_split_link *
prefill_split_link_create (const struct prefill_split_link_parts *parts);

/** Changes the least time between orders of two holders, in ms.  */
void prefill_split_link_set_lease (struct prefill_split_link *l,
                                   int64_t lease_ms);

/** Frees L, which may be NULL, and cancels orders in progress.  */
void prefill_split_link_destroy (struct prefill_split_link *l);

/** Ends the candidacy of this VM as order holder, because it is leaving the
    fleet.  No further orders are decided.  */
void prefill_split_link_leave (struct prefill_split_link *l);

#endif
