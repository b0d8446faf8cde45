/** @file
    Duty that sizes the services with scaling parameters: orders at the
    platform for the number of instances in each failure domain, which
    decide/staffing decides from the instances and loads that this VM
    knows.  */
#ifndef DAEMON_STAFFING_LINK_H
#define DAEMON_STAFFING_LINK_H

#include "daemon/duty_link.h"
#include "decide/route_table.h"
#include "decide/upstreams.h"

struct staffing_link;

/** Dependencies of a link; all must outlive it, except the duties, which must
    be destroyed first.  */
struct staffing_link_parts
{
  const struct platform_ops *platform;
  const struct upstreams *upstreams;
  struct duty_link *duties;
};

/** Creates a link and adds its duty.  */
struct staffing_link *
staffing_link_create (const struct staffing_link_parts *parts);

/** Releases L, which may be NULL.  */
void staffing_link_destroy (struct staffing_link *l);

/** Takes the scaling parameters of the services from ROUTES.  */
void staffing_link_set_routes (struct staffing_link *l,
                               const struct route_table *routes);

#endif
