/** @file
    Linear fit through the measurements of one quantity at several sizes.  */
#ifndef BENCH_SLOPE_H
#define BENCH_SLOPE_H

#include <stddef.h>

/** Largest number of points of a slope; slope_add ignores further ones.  */
#define SLOPE_POINTS_MAX 16

/** Measured points of one quantity.  */
struct slope
{
  const char *name; /**< name of the quantity */
  const char *x;    /**< what the sizes count, such as "engines" */
  const char *unit; /**< unit of the values */
  size_t n;
  double sizes[SLOPE_POINTS_MAX];
  double values[SLOPE_POINTS_MAX];
};

/** Returns a slope without points.  The strings are kept, not copied.  */
struct slope slope_init (const char *name, const char *x, const char *unit);

/** Adds the point (SIZE, VALUE).  */
void slope_add (struct slope *s, double size, double value);

/** Fits a line by least squares and prints "slope name=... x=... per=...
    value=... unit=... r2=... at0=... points=...": value is the growth per PER
    units of size, at0 the value at size 0, r2 the coefficient of
    determination.  */
void slope_print (const struct slope *s, double per);

#endif
