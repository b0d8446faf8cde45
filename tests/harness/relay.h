/** @file
    A relay between two processes that delays, holds back, cuts, and can lose
    track of its connections: those open stay open and pass nothing, new ones
    work.  */
#ifndef TESTS_HARNESS_RELAY_H
#define TESTS_HARNESS_RELAY_H

#include <glib.h>

struct relay;

/** Starts a relay to the target "IP:PORT", in a thread of its own.  */
struct relay *relay_create (const char *target);

/** Puts a relay before the address GIVEN, which becomes the relay's own.  */
struct relay *relay_insert (char **given);

/** Stops it and closes its connections.  */
void relay_destroy (struct relay *r);

/** Its own "IP:PORT".  */
const char *relay_address (const struct relay *r);

/** Loses track of all connections that are open now.  */
void relay_blackhole (struct relay *r);

/** Closes all connections that are open now, and, while REFUSE, takes no new
    ones.  */
void relay_close_connections (struct relay *r, gboolean refuse);

/** Holds back what goes to the target, and what comes from it; it goes on,
   late, once it is no longer held.  */
void relay_hold (struct relay *r, gboolean to_target, gboolean from_target);

/** Passes everything on MS milliseconds late.  */
void relay_delay (struct relay *r, guint ms);

/** Connections taken so far.  */
guint relay_connections (struct relay *r);

#endif
