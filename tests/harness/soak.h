/** @file
    What the soaks share.  */
#ifndef TESTS_HARNESS_SOAK_H
#define TESTS_HARNESS_SOAK_H

#include <glib.h>

/** Prints what promise was broken, and counts it in COUNT.  */
void soak_violation (gint *count, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/** A number below N, by chance.  */
unsigned soak_random_below (GRand *rand, unsigned n);

#endif
