/** @file
    The daemon on a platform: takes routes and upstreams from it, and serves
    callers of routes.  It wires the parts and decides nothing.  */
#ifndef DAEMON_GATEWAY_H
#define DAEMON_GATEWAY_H

#include "generated/settings_table.h"
#include "links/platform.h"

#include <glib.h>

struct gateway;

/** Reads the settings again; NULL where they are wrong.  */
typedef struct settings *gateway_reload (void *arg);

/** Makes the daemon with SETTINGS, which it takes.  Returns NULL and sets
   ERROR where it cannot listen.  */
struct gateway *gateway_create (struct settings *settings,
                                const struct platform_ops *platform,
                                gateway_reload *reload, void *arg,
                                GError **error);

/** Runs until SIGTERM or SIGINT has been carried out.  */
void gateway_run (struct gateway *g);

/** Releases G.  */
void gateway_destroy (struct gateway *g);

#endif
