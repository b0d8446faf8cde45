/** @file
    Daemon whose configuration files are applied by operators (setting
    routes-from=file): creates and connects its components.  */
#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include "generated/settings_table.h"

#include <glib.h>

struct daemon;

/** Creates the daemon and takes ownership of SETTINGS.  Returns NULL and sets
    ERROR if it can't listen, read the fleet key or write the trace file.  */
struct daemon *daemon_create (struct settings *settings, GError **error);

/** Runs until the graceful shutdown that SIGTERM or SIGINT starts is
    complete.  */
void daemon_run (struct daemon *d);

/** Releases D; it may be NULL.  */
void daemon_destroy (struct daemon *d);

#endif
