/** @file
    Random choices and violation reports for the soak tests.  */
#ifndef TESTS_HARNESS_SOAK_H
#define TESTS_HARNESS_SOAK_H

#include <glib.h>

/** Prints a line "violation: ..." with the formatted text and adds 1 to COUNT
    atomically.  A soak test fails if COUNT is not 0 at its end.  */
void soak_violation (gint *count, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/** Returns a random number from 0 to N - 1.  */
unsigned soak_random_below (GRand *rand, unsigned n);

#endif
