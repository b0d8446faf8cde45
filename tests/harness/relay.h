/** @file
    TCP proxy that injects network faults between two processes: it delays or
    holds back bytes, resets connections, or blackholes them (they stay open
    and pass nothing, while new ones work).  */
#ifndef TESTS_HARNESS_RELAY_H
#define TESTS_HARNESS_RELAY_H

#include <glib.h>

struct relay;

/** Starts a relay to TARGET, "IP:PORT", on a free port of 127.0.0.1, in a
    thread of its own; fails the test if it cannot listen.  */
struct relay *relay_create (const char *target);

/** Starts a relay to *ADDRESS, allocated by GLib, and replaces *ADDRESS by the
    address of the relay.  */
struct relay *relay_insert (char **address);

/** Stops the thread, closes all connections and releases R.  */
void relay_destroy (struct relay *r);

/** Returns the "IP:PORT" that the relay listens on.  */
const char *relay_address (const struct relay *r);

/** Blackholes all connections that are open now: they stay open and no byte
    passes until relay_close_connections or relay_destroy closes them.  */
void relay_blackhole (struct relay *r);

/** Resets all connections that are open now.  New ones are closed at once if
    REFUSE, until a later call with FALSE.  */
void relay_close_connections (struct relay *r, gboolean refuse);

/** Holds back the bytes to the target, from the target, or both, until a later
    call with FALSE, which sends them.  */
void relay_hold (struct relay *r, gboolean to_target, gboolean from_target);

/** Delays the bytes of both directions by MS milliseconds.  */
void relay_delay (struct relay *r, guint ms);

/** Returns the number of connections forwarded so far.  */
guint relay_connections (struct relay *r);

#endif
