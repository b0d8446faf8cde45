/** @file
    Age of the bytes that came last on a TCP connection, as the kernel tells
   it. Not every kernel does; one that does not states 0 for all connections.
   So the process finds out once, on a connection to itself.  */
#ifndef LINKS_INPUT_AGE_H
#define LINKS_INPUT_AGE_H

#include <event2/event.h>
#include <stdint.h>

/** Starts to find out whether the kernel tells ages, once for the process.
    BASE must run for INPUT_AGE_PROBE_MS; until then no age is known.  */
void input_age_probe (struct event_base *base);

/** Time that the probe takes, in ms.  */
#define INPUT_AGE_PROBE_MS 60

/** Returns the age in ms of the last bytes that came on the connection FD, at
    most MOST_MS; MOST_MS if it is not known.  */
int64_t input_age_ms (int fd, int64_t most_ms);

#endif
