/** @file
    Draining an engine before it gets an order: every live VM sends it no new
    work and confirms that.  */
#ifndef DAEMON_DRAINS_H
#define DAEMON_DRAINS_H

#include "daemon/context.h"
#include "daemon/engines.h"
#include "daemon/conf.h"

/** All drains that this VM coordinates, as holder of the orders.  */
struct drains;

/** Creates an empty set of drains.  */
struct drains *drains_create (const struct context *ctx,
                              const struct conf *conf,
                              struct engines *engines);

/** Releases S.  */
void drains_destroy (struct drains *s);

/** Sends every live VM a request to start (ON) or end a drain of ENGINE, until
    each has confirmed.  A request with a lower FENCING token than an earlier
    one has no effect on the VM that receives it.  */
void drains_request (struct drains *s, const char *engine, bool on,
                     uint64_t fencing);

/** Handles the confirmation M of VM.  Ignored unless M matches the current
    request for its engine.  */
void drains_handle_confirmation (struct drains *s, const char *vm,
                                 const struct engine_drained *m);

/** Time at which the last VM confirmed that it drains ENGINE, in monotonic
    milliseconds; -1 while a live VM has not, or if ENGINE is not draining.  */
int64_t drains_confirmed_since_ms (const struct drains *s, const char *engine);

/** Repeats requests to VMs that have not confirmed, and logs drains that
    exceed drain_deadline_s.  Call each second.  */
void drains_tick (struct drains *s);

#endif
