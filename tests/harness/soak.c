#include "harness/soak.h"

#include <stdio.h>

void
soak_violation (gint *count, const char *format, ...)
{
  va_list ap;
  va_start (ap, format);
  g_autofree char *text = g_strdup_vprintf (format, ap);
  va_end (ap);
  g_atomic_int_inc (count);
  printf ("violation: %s\n", text);
  (void)fflush (stdout);
}

unsigned
soak_random_below (GRand *rand, unsigned n)
{
  return (unsigned)g_rand_int_range (rand, 0, (gint32)n);
}
