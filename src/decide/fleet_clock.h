/** @file
    Time on which the VMs of a fleet agree although some of their wall clocks
    jump: the median of the VMs' clocks.  It is right while fewer than half of
    them are wrong.

    Each VM asks others for their wall clocks.  An answer gives that clock's
    offset from this VM's steady clock, which does not jump, as of the middle
    of the round trip.  A jump of this VM's own wall clock changes one value in
    the median.

    No I/O.  */
#ifndef DECIDE_FLEET_CLOCK_H
#define DECIDE_FLEET_CLOCK_H

#include <stdint.h>

/** Answers with a longer round trip are not used: how its time divides between
    the two directions is unknown.  */
#define FLEET_CLOCK_ROUND_TRIP_MAX_MS 400
/** A clock that was not heard of for this long is no longer used.  */
#define FLEET_CLOCK_KEEP_MS 60000

struct fleet_clock;

/** Creates a clock that knows only this VM's.  */
struct fleet_clock *fleet_clock_create (void);

/** Releases C, which may be NULL.  */
void fleet_clock_destroy (struct fleet_clock *c);

/** Records that VM, asked at ASKED_MS, answered that its wall clock shows
    WALL_MS; the answer arrived at NOW_MS.  Both are of the steady clock.  */
void fleet_clock_record (struct fleet_clock *c, const char *vm,
                         int64_t asked_ms, int64_t wall_ms, int64_t now_ms);

/** Returns the fleet's time, in milliseconds since the Unix epoch, at NOW_MS
    of the steady clock, when this VM's wall clock shows WALL_MS.  */
int64_t fleet_clock_time (const struct fleet_clock *c, int64_t wall_ms,
                          int64_t now_ms);

/** Number of other VMs whose clocks are known at NOW_MS.  */
unsigned fleet_clock_known (const struct fleet_clock *c, int64_t now_ms);

#endif
