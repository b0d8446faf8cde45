/** @file
    Clocks.  Modules in decide/ take the time from their caller.  */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <glib.h>
#include <stdint.h>
#include <time.h>

/** Milliseconds of the monotonic clock.  */
static inline int64_t
clock_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

/** Milliseconds of a clock that also goes on while the machine is suspended.
 */
static inline int64_t
clock_boot_ms (void)
{
  struct timespec t = { 0 };
  (void)clock_gettime (CLOCK_BOOTTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/** Milliseconds of the wall clock; it may jump.  */
static inline int64_t
wall_ms (void)
{
  return g_get_real_time () / 1000;
}

#endif
