/** @file
    Routes and upstreams as the file in force says them, in the types that the
    proxy works with.  A replica of a service is an upstream named
    SERVICE@IP:PORT, in the service's region.  */
#ifndef DAEMON_FILE_ROUTES_H
#define DAEMON_FILE_ROUTES_H

#include "base/file.h"
#include "decide/routes.h"
#include "decide/upstreams.h"

/** Makes the table of FILE's routes, with VERSION.  */
struct route_table *file_routes_table (const struct file *file,
                                       uint64_t version);

/** Makes UPSTREAMS hold the replicas that FILE names for its routes, and no
    others; GONE is called for each that it no longer names.  */
void file_routes_upstreams (const struct file *file,
                            struct upstreams *upstreams,
                            void (*gone) (void *arg, const char *id),
                            void *arg);

#endif
