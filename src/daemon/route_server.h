/** @file
    Reverse proxy for the routes of the configuration file, at the
    front-address of the settings.  It uses the same proxy, placement and
    load-shedding code as a fleet that takes its routes from a platform.  All
    upstreams are replicas of plain services; each VM balances them by the load
    of its own requests only.  */
#ifndef DAEMON_ROUTE_SERVER_H
#define DAEMON_ROUTE_SERVER_H

#include "daemon/conf.h"
#include "daemon/context.h"

#include <glib.h>

struct route_server;

/** Listens at the front-address of the settings.  Returns NULL if that is
    empty, without ERROR, or if it cannot listen, with ERROR set.  CTX and CONF
    must outlive the result.  */
struct route_server *route_server_create (const struct context *ctx,
                                          const struct conf *conf,
                                          GError **error);

/** Frees R and aborts the connections of callers whose requests are in
    progress.  R may be NULL here and in the functions below.  */
void route_server_destroy (struct route_server *r);

/** Loads routes and upstreams from the configuration file in force.  To be
    called when that file changes.  */
void route_server_file_changed (struct route_server *r);

/** Starts the shutdown, which ends after at most leave-deadline-s of the
    settings.  From now on, requests whose deadline lies past that end are
    refused, and connections close after their response.  */
void route_server_leave (struct route_server *r);

/** Stops accepting connections.  */
void route_server_close_listener (struct route_server *r);

/** Returns the number of requests in progress.  */
unsigned route_server_open_requests (const struct route_server *r);

#endif
