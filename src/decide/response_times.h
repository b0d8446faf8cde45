/** @file
    The longest recent responses of each route.  They tell whether a request
    that arrives during a planned stop can be expected to end before it.  No
    I/O, no clock.  */
#ifndef DECIDE_RESPONSE_TIMES_H
#define DECIDE_RESPONSE_TIMES_H

#include <stdbool.h>
#include <stdint.h>

/** A response counts for this time at least, and for twice as long at most. */
#define RESPONSE_TIMES_KEPT_MS 30000

struct response_times;

/** Creates a table without responses.  */
struct response_times *response_times_create (void);

/** Destroys T, which may be NULL.  */
void response_times_destroy (struct response_times *t);

/** Records that a response on ROUTE ended at NOW_MS, TOOK_MS after its request
    arrived.  */
void response_times_record (struct response_times *t, const char *route,
                            int64_t took_ms, int64_t now_ms);

/** Returns the time of the longest recent response on ROUTE, in ms; 0 if there
    is none.  */
int64_t response_times_longest (const struct response_times *t,
                                const char *route, int64_t now_ms);

#endif
