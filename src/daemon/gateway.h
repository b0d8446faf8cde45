/** @file
    The daemon in platform mode: reads routes and upstreams from the platform's
    key-value service and proxies callers' requests along the routes.  Creates
    and connects the components; the decisions are made in src/decide.  */
#ifndef DAEMON_GATEWAY_H
#define DAEMON_GATEWAY_H

#include "generated/settings_table.h"
#include "links/platform.h"

#include <glib.h>

struct gateway;

/** Reads the settings again.  Returns NULL if they are invalid.  */
typedef struct settings *gateway_reload (void *arg);

/** Creates the daemon and opens its listeners; takes ownership of SETTINGS.
    RELOAD is called with ARG when SIGHUP arrives or the settings file changes.
    Returns NULL and sets ERROR if an address cannot be listened on.  */
struct gateway *gateway_create (struct settings *settings,
                                const struct platform_ops *platform,
                                gateway_reload *reload, void *arg,
                                GError **error);

/** Runs the event loop until the shutdown that SIGTERM or SIGINT starts is
    complete.  */
void gateway_run (struct gateway *g);

/** Frees G and closes its listeners.  */
void gateway_destroy (struct gateway *g);

#endif
