/** @file
    Sums of the loads that several sources told, for a fleet in which not every
    VM tells every other.  Pure.  */
#ifndef DECIDE_LOAD_SUMS_H
#define DECIDE_LOAD_SUMS_H

#include "decide/upstreams.h"

#include <glib.h>
#include <stdint.h>

struct load_sums;

/** Makes sums in which what a source told counts for FRESH_MS.  */
struct load_sums *load_sums_create (unsigned fresh_ms);

/** Releases L.  */
void load_sums_destroy (struct load_sums *l);

/** SOURCE tells anew: what it told before is void.  */
void load_sums_begin (struct load_sums *l, const char *source, int64_t now_ms);

/** SOURCE tells its load on UPSTREAM, after load_sums_begin.  */
void load_sums_add (struct load_sums *l, const char *source,
                    const char *upstream, const struct upstream_load *load);

/** Adds what all fresh sources told to OUT, upstream -> struct upstream_load;
    see load_table_create.  */
void load_sums_into (const struct load_sums *l, int64_t now_ms,
                     GHashTable *out);

/** Makes an empty table: upstream (text) -> struct upstream_load.  */
GHashTable *load_table_create (void);

/** Adds LOAD to what TABLE holds for UPSTREAM.  */
void load_table_add (GHashTable *table, const char *upstream,
                     const struct upstream_load *load);

/** Takes LOAD from what TABLE holds for UPSTREAM, down to nothing.  */
void load_table_take (GHashTable *table, const char *upstream,
                      const struct upstream_load *load);

#endif
