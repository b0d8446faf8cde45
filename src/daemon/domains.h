/** @file
    Regions of the failure domains, as the settings state them.  */
#ifndef DAEMON_DOMAINS_H
#define DAEMON_DOMAINS_H

#include <glib.h>

/** Parses DOMAIN=REGION,... and skips entries without '='.  Returns the
    regions by domain, to be released with g_hash_table_destroy.  */
GHashTable *domains_parse (const char *text);

#endif
