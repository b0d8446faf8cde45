/** @file
    Discrete-event simulation: a virtual clock, a queue of timed events and a
    seeded random generator.  Used by tests and benchmarks of modules that take
    the time as an argument; results repeat for the same seed.  */
#ifndef BENCH_MODEL_VTIME_H
#define BENCH_MODEL_VTIME_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct vtime;

/** Callback of an event; ARG is the one given to vtime_schedule.  */
typedef void vtime_fn (void *arg);

/** Creates a clock at 0 microseconds; SEED seeds its random generator.  */
struct vtime *vtime_create (uint32_t seed);

/** Destroys V.  Pending events don't run; the FREE_ARG of each releases its
    argument.  */
void vtime_destroy (struct vtime *v);

/** Returns the virtual time in microseconds since the start.  */
int64_t vtime_us (const struct vtime *v);

/** Returns the virtual time in milliseconds since the start.  */
int64_t vtime_ms (const struct vtime *v);

/** Schedules FN (ARG) in US microseconds; a negative US counts as 0.  Events
    due at the same time run in the order in which they were scheduled.
    FREE_ARG, unless NULL, releases ARG after the event has run or when V is
    destroyed.  */
void vtime_schedule (struct vtime *v, int64_t us, vtime_fn *fn, void *arg,
                     GDestroyNotify free_arg);

/** Runs all events due up to UNTIL_US and sets the clock to UNTIL_US.  */
void vtime_run (struct vtime *v, int64_t until_us);

/** Returns the seeded random generator.  */
GRand *vtime_rand (struct vtime *v);

/** Returns true with probability CHANCE, 0 to 1.  */
bool vtime_random_bool (struct vtime *v, double chance);

/** Returns a uniformly distributed integer in [LOW, HIGH].  */
int64_t vtime_uniform (struct vtime *v, int64_t low, int64_t high);

/** Returns an exponentially distributed number with the given mean.  */
double vtime_exponential (struct vtime *v, double mean);

#endif
