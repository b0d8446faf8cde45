/** @file
    Load reports: stores the latest report of each source and adds them up.  A
    source is a VM, or a VM that reports for its whole failure domain: in large
    fleets not every VM reports to every other one.

    The module does no I/O and reads no clock.  */
#ifndef DECIDE_LOAD_REPORTS_H
#define DECIDE_LOAD_REPORTS_H

#include "decide/upstreams.h"

#include <glib.h>
#include <stdint.h>

struct load_reports;

/** Creates an empty store.  Reports older than FRESH_MS do not count.  */
struct load_reports *load_reports_create (unsigned fresh_ms);

/** Releases L.  */
void load_reports_destroy (struct load_reports *l);

/** Starts a new report of SOURCE, which replaces its previous one.  */
void load_reports_begin (struct load_reports *l, const char *source,
                         int64_t now_ms);

/** Adds LOAD on UPSTREAM to the report of SOURCE that load_reports_begin
    started; does nothing if SOURCE has none.  */
void load_reports_add (struct load_reports *l, const char *source,
                       const char *upstream, const struct upstream_load *load);

/** Adds all reports that are not older than FRESH_MS to OUT, a table made by
    load_table_create.  */
void load_reports_sum_into (const struct load_reports *l, int64_t now_ms,
                            GHashTable *out);

/** Creates an empty table of loads: upstream id -> struct upstream_load.  */
GHashTable *load_table_create (void);

/** Adds LOAD to the load of UPSTREAM in TABLE.  The sum's quiet_ms is the
    smallest of the loads with running requests.  */
void load_table_add (GHashTable *table, const char *upstream,
                     const struct upstream_load *load);

/** Subtracts LOAD from the load of UPSTREAM in TABLE; counts stop at 0, and
    quiet_ms stays.  */
void load_table_subtract (GHashTable *table, const char *upstream,
                          const struct upstream_load *load);

#endif
