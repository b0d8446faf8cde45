/** @file
    Index of the file in force: engines, callers, models and regions by name,
    and the router over the engines.  Built once for each revision.  */
#ifndef DAEMON_CATALOG_H
#define DAEMON_CATALOG_H

#include "base/config_file.h"
#include "decide/route.h"

struct catalog;

/** Builds the catalog of FILE, which must outlive it.  The loads of engines
    that OLD, the previous catalog or NULL, has are copied from it.  */
struct catalog *catalog_create (const struct file *file,
                                const struct catalog *old);

/** Releases C.  */
void catalog_destroy (struct catalog *c);

/** The router over all engines.  */
struct router *catalog_router (const struct catalog *c);
/** Engine by its handle in the router.  */
const struct file_engine *catalog_engine (const struct catalog *c,
                                          route_engine e);
/** Engine by id, or NULL.  */
const struct file_engine *catalog_find_engine (const struct catalog *c,
                                               const char *engine);
/** Caller by the digest of its key, or NULL.  */
const struct file_caller *catalog_caller (const struct catalog *c,
                                          const char *key_digest);
/** Model of an engine.  */
const struct file_model *catalog_model_of (const struct catalog *c,
                                           const struct file_engine *e);
/** Index of a model or region in the file, which is its number in the router;
    UINT32_MAX if the file has none of that name.  */
uint32_t catalog_model_index (const struct catalog *c, const char *model);
uint32_t catalog_region_index (const struct catalog *c, const char *region);

#endif
