/** @file
    Role control at a region's order holder: sums what callers ask for, and
    says which engine shall change its role.  */
#ifndef DAEMON_ROLE_LINK_H
#define DAEMON_ROLE_LINK_H

#include "daemon/context.h"
#include "daemon/conf.h"
#include "daemon/demand.h"
#include "decide/route.h"

struct role_link;

/** Tells that ENGINE shall have ROLE.  */
typedef void role_link_change (void *arg, const char *engine,
                               enum engine_role role);

/** Makes the part; CHANGE is called from role_link_decide.  */
struct role_link *role_link_create (const struct context *ctx,
                                    const struct conf *conf,
                                    role_link_change *change, void *arg);

/** Releases L.  */
void role_link_destroy (struct role_link *l);

/** VM's counts came.  */
void role_link_take_demand (struct role_link *l, const char *vm,
                            GBytes *demand);

/** Decides for all models of this VM's region; call each second while this VM
    holds the region's orders, BUSY while an order there is not done.  */
void role_link_decide (struct role_link *l, bool busy);

#endif
