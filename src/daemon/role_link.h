/** @file
    Role control on the VM that holds a region's orders: sums the demand that
    the entry VMs of the region measured, and decides which engine changes its
    role.  */
#ifndef DAEMON_ROLE_LINK_H
#define DAEMON_ROLE_LINK_H

#include "daemon/context.h"
#include "daemon/conf.h"
#include "daemon/demand.h"
#include "decide/route.h"

struct role_link;

/** Called when ENGINE is to change its role to ROLE.  */
typedef void role_link_change_callback (void *arg, const char *engine,
                                        enum engine_role role);

/** Creates the role control; role_link_decide calls CHANGE with ARG.  */
struct role_link *role_link_create (const struct context *ctx,
                                    const struct conf *conf,
                                    role_link_change_callback *change,
                                    void *arg);

/** Releases L.  */
void role_link_destroy (struct role_link *l);

/** Adds the increase of VM's demand counters, packed by demand_pack, to the
    sums.  */
void role_link_handle_demand (struct role_link *l, const char *vm,
                              GBytes *demand);

/** Decides on a role change for each model in this VM's region.  Call each
    second while this VM holds the region's orders; BUSY says that an order of
    the region is unfinished.  */
void role_link_decide (struct role_link *l, bool busy);

#endif
