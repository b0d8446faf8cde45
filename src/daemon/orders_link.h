/** @file
    Orders to engines: joins the decisions to the service, the engines and the
    other VMs.  */
#ifndef DAEMON_ORDERS_LINK_H
#define DAEMON_ORDERS_LINK_H

#include "daemon/context.h"
#include "daemon/vm_list.h"
#include "daemon/engines.h"
#include "daemon/conf.h"

/** Makes the part.  */
struct orders_link *orders_link_create (const struct context *ctx,
                                        struct conf *conf,
                                        struct engines *engines,
                                        const struct vm_list *vm_list);

/** Releases O.  */
void orders_link_destroy (struct orders_link *o);

/** A new file is in force.  */
void orders_link_file_changed (struct orders_link *o);

/** A frame about orders came from the VM at PEER.  */
void orders_link_take_frame (struct orders_link *o, peer_handle peer,
                             const char *vm, const struct frame *frame);

/** VM of this region tells what its callers ask for (daemon/demand.h).  */
void orders_link_take_demand (struct orders_link *o, const char *vm,
                              GBytes *demand);

/** State of the order of ENGINE, as this VM knows.  */
const char *orders_link_state (const struct orders_link *o,
                               const char *engine);

#endif
