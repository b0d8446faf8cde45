/** @file
    Settings that can change while the daemon runs.  */
#ifndef DAEMON_SETTINGS_UPDATE_H
#define DAEMON_SETTINGS_UPDATE_H

#include "generated/settings_table.h"

#include <stdbool.h>

/** Copies the settings that can change at run time from READ to CURRENT;
    addresses and names need a restart.  Returns whether the main ones of those
    are the same in both.  */
bool settings_update (struct settings *current, const struct settings *read);

#endif
