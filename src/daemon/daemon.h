/** @file
    The daemon with applied files: wires the parts.  */
#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include "generated/settings_table.h"

#include <glib.h>

struct daemon;

/** Makes the daemon with SETTINGS, which it takes.  Returns NULL and sets
    ERROR where it cannot listen or read its key.  */
struct daemon *daemon_create (struct settings *settings, GError **error);

/** Runs until a stop by signal has come to its end.  */
void daemon_run (struct daemon *d);

/** Releases D.  */
void daemon_destroy (struct daemon *d);

#endif
