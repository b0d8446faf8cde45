/** @file
    Clocks.  The modules in decide/ do not read them: they receive the time as
    an argument.  */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <glib.h>
#include <stdint.h>
#include <time.h>

/** Returns the monotonic clock, in milliseconds; it stops while the machine is
    suspended.  */
static inline int64_t
clock_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

/** Returns a monotonic clock that also runs while the machine is suspended, in
    milliseconds.  */
static inline int64_t
clock_boot_ms (void)
{
  struct timespec t = { 0 };
  (void)clock_gettime (CLOCK_BOOTTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/** Returns the wall clock, in milliseconds since the Unix epoch; it jumps when
    the system time is set.  */
static inline int64_t
wall_ms (void)
{
  return g_get_real_time () / 1000;
}

#endif
