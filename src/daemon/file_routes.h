/** @file
    Converts routes and services of the configuration file to the proxy's route
    table and upstream table.  Each address of a service becomes an upstream
    with the id SERVICE@IP:PORT, in the service's region.  */
#ifndef DAEMON_FILE_ROUTES_H
#define DAEMON_FILE_ROUTES_H

#include "base/config_file.h"
#include "decide/route_table.h"
#include "decide/upstreams.h"

/** Returns a new route table of VERSION with the routes and services of FILE;
    the caller owns it.  */
struct route_table *file_routes_table (const struct file *file,
                                       uint64_t version);

/** Updates UPSTREAMS to hold exactly the replicas of those services of FILE
    that a route targets.  Calls REMOVED with ARG for each upstream that this
    removes.  */
void file_routes_upstreams (const struct file *file,
                            struct upstreams *upstreams,
                            void (*removed) (void *arg, const char *id),
                            void *arg);

#endif
