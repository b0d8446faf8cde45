/** @file
    Draining an engine before an order: every VM stops new work there and says
    so.  */
#ifndef DAEMON_DRAIN_H
#define DAEMON_DRAIN_H

#include "daemon/context.h"
#include "daemon/engines.h"
#include "daemon/conf.h"

/** All drains that this VM leads.  */
struct drains;

/** Makes the part.  */
struct drains *drains_create (const struct context *ctx,
                              const struct conf *conf,
                              struct engines *engines);

/** Releases S.  */
void drains_destroy (struct drains *s);

/** Tells every live VM to start (ON) or end a drain of ENGINE, until each has
    answered.  A VM obeys the highest FENCING it was told.  */
void drains_tell (struct drains *s, const char *engine, bool on,
                  uint64_t fencing);

/** VM answered.  */
void drains_answered (struct drains *s, const char *vm,
                      const struct engine_drained *m);

/** When the last live VM answered that it drains ENGINE; -1 while one has
    not, or where no drain is on.  Monotonic milliseconds.  */
int64_t drains_all_since (const struct drains *s, const char *engine);

/** Tells again whoever has not answered; call each second.  */
void drains_tick (struct drains *s);

#endif
