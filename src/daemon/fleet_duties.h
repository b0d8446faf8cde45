/** @file
    Creates the duties of the fleet, the calls to the platform that one VM
    makes for all, as far as the settings ask for them.  */
#ifndef DAEMON_FLEET_DUTIES_H
#define DAEMON_FLEET_DUTIES_H

#include "daemon/duty_link.h"
#include "daemon/vm_registry.h"
#include "generated/settings_table.h"

struct fleet_duties;

/** Dependencies; all must outlive the duties.  */
struct fleet_duties_parts
{
  struct event_base *base;
  struct kv *kv;
  struct pool *pool;
  const struct platform_ops *platform;
  struct vm_registry *vm_registry;
  const struct upstreams *upstreams;
  const struct settings *settings;
};

/** Creates the duties.  */
struct fleet_duties *
fleet_duties_create (const struct fleet_duties_parts *parts);

/** Releases D, which may be NULL, and cancels calls in flight.  */
void fleet_duties_destroy (struct fleet_duties *d);

/** Applies the settings that have changed.  */
void fleet_duties_set (struct fleet_duties *d, const struct settings *s);

/** Applies the configuration ROUTES, which is in force now.  */
void fleet_duties_set_routes (struct fleet_duties *d,
                              const struct route_table *routes);

/** Counts of the usage of client accounts; NULL if the settings ask for no
    reports.  */
struct usage_link *fleet_duties_usage (const struct fleet_duties *d);

/** Sends this VM's usage counts to the other VMs; called when the daemon
    stops.  */
void fleet_duties_stop (struct fleet_duties *d);

/** Ends the candidacy of this VM as holder, because it leaves the fleet.  */
void fleet_duties_leave (struct fleet_duties *d);

#endif
