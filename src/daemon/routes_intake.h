/** @file
    Takes in versions of the routes as they come from the key-value service.  A
    version is decoded in slices beside the requests, and is in force in one
    step, whole or not at all.

    Versions that come while one is decoded wait; of these the newest that is
    valid is taken, and older ones are passed over.  */
#ifndef DAEMON_ROUTES_INTAKE_H
#define DAEMON_ROUTES_INTAKE_H

#include "links/platform.h"
#include "links/slices.h"

struct routes_intake;

/** A version is in force.  The callee owns a reference to TABLE.  */
typedef void routes_intake_cb (void *arg, struct route_table *table);

/** Creates an intake without a version.  */
struct routes_intake *
routes_intake_create (struct event_base *base, struct loop_clock *clock,
                      const struct platform_ops *platform,
                      routes_intake_cb *on_routes, void *arg);

/** Frees I, which may be NULL.  */
void routes_intake_destroy (struct routes_intake *i);

/** VALUE, written at REVISION, is the newest version.  */
void routes_intake_add (struct routes_intake *i, GBytes *value,
                        int64_t revision);

/** No more versions have come for now: begins with the newest.  */
void routes_intake_start (struct routes_intake *i);

/** Whether a version is in force.  */
bool routes_intake_has_routes (const struct routes_intake *i);

#endif
