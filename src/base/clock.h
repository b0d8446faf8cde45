/** @file
    Clocks.  Modules in decide/ take the time from their caller.  */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <glib.h>
#include <stdint.h>

/** Milliseconds of the monotonic clock.  */
static inline int64_t
clock_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

/** Milliseconds of the wall clock; it may jump.  */
static inline int64_t
wall_ms (void)
{
  return g_get_real_time () / 1000;
}

#endif
