/** @file
    Serves the routes of the file in force at a VM's front address, with the
    same connections, decisions and refusals as on a platform.  Replicas are
    plain services; each VM balances them by its own requests.  */
#ifndef DAEMON_ROUTE_SERVER_H
#define DAEMON_ROUTE_SERVER_H

#include "daemon/conf.h"
#include "daemon/context.h"

#include <glib.h>

struct route_server;

/** Listens at the front address of the settings.  Returns NULL where it has
    none; sets ERROR as well where it cannot listen.  */
struct route_server *route_server_create (const struct context *ctx,
                                          const struct conf *conf,
                                          GError **error);

/** Releases R; requests under way are cut.  R may be NULL, here and below.  */
void route_server_destroy (struct route_server *r);

/** A new file is in force.  */
void route_server_file_changed (struct route_server *r);

/** The VM stops within its deadline: what could outlast it is refused from
    now on.  */
void route_server_leave (struct route_server *r);

/** Takes no more connections.  */
void route_server_close_listener (struct route_server *r);

/** Requests under way.  */
unsigned route_server_open (const struct route_server *r);

#endif
