/** @file
    Runs long work in an event loop in slices: between two slices the loop
    handles its input and timers.  A slice lasts SLICE_MIN_MS, or longer while
    the rest of the loop takes more, so that the work ends in time also where
    the loop is never idle.  */
#ifndef LINKS_SLICES_H
#define LINKS_SLICES_H

#include "links/loop_clock.h"

/** Length of a slice in a loop that has little else to do.  */
#define SLICE_MIN_MS 2
/** Longest slice.  */
#define SLICE_MAX_MS 20

/** One piece of work.  */
struct slices;

/** Does a step of the work, which takes well under SLICE_MIN_MS.  Returns
    whether there is more to do.  */
typedef bool slices_step (void *arg);

/** Creates work that STEP does with ARG; NAME, a constant, is for the logs. */
struct slices *slices_create (struct event_base *base,
                              struct loop_clock *clock, const char *name,
                              slices_step *step, void *arg);

/** Frees S, which may be NULL.  */
void slices_destroy (struct slices *s);

/** Calls the step until there is no more to do, from the event loop.  SIZE is
    what the work handles, for the logs.  */
void slices_start (struct slices *s, size_t size);

/** Returns how long a slice may last that begins PAUSE_US after the end of the
    one before, in microseconds: half of the pause, within the bounds.  */
int64_t slices_length_us (int64_t pause_us);

#endif
