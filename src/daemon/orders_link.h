/** @file
    Orders to engines, which set an engine's role and version.  Runs the
    actions of decide/orders.h: reads and writes the orders page in the
    key-value service, sends orders to engines over HTTP, drains engines and
    queries earlier order holders over the connections to other VMs.  */
#ifndef DAEMON_ORDERS_LINK_H
#define DAEMON_ORDERS_LINK_H

#include "daemon/context.h"
#include "daemon/vm_list.h"
#include "daemon/engines.h"
#include "daemon/conf.h"

/** Starts the handling of orders.  */
struct orders_link *orders_link_create (const struct context *ctx,
                                        struct conf *conf,
                                        struct engines *engines,
                                        const struct vm_list *vm_list);

/** Releases O.  */
void orders_link_destroy (struct orders_link *o);

/** Sets role and version of each engine from a new file in force.  */
void orders_link_file_changed (struct orders_link *o);

/** Handles an engine_drain, engine_drained, order_ask or order_answer frame
    from VM on the connection PEER.  */
void orders_link_handle_frame (struct orders_link *o, peer_handle peer,
                               const char *vm, const struct frame *frame);

/** Handles the demand counters (daemon/demand.h) of VM, in this region.  */
void orders_link_handle_demand (struct orders_link *o, const char *vm,
                                GBytes *demand);

/** State of the last order to ENGINE, for operators: as orders_state_name, or
    "held elsewhere" if this VM does not hold the orders of its region.  */
const char *orders_link_state_name (const struct orders_link *o,
                                    const char *engine);

#endif
