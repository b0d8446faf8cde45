#include "slope.h"

#include <stdio.h>

struct slope
slope_init (const char *name, const char *x, const char *unit)
{
  return (struct slope){ .name = name, .x = x, .unit = unit };
}

void
slope_add (struct slope *s, double size, double value)
{
  if (s->n < SLOPE_POINTS_MAX)
    {
      s->sizes[s->n] = size;
      s->values[s->n++] = value;
    }
}

void
slope_print (const struct slope *s, double per)
{
  double n = (double)s->n, sx = 0, sy = 0, sxx = 0, sxy = 0, syy = 0;
  for (size_t i = 0; i < s->n; i++)
    {
      sx += s->sizes[i];
      sy += s->values[i];
      sxx += s->sizes[i] * s->sizes[i];
      sxy += s->sizes[i] * s->values[i];
      syy += s->values[i] * s->values[i];
    }
  double dx = n * sxx - sx * sx, dy = n * syy - sy * sy;
  double slope = dx != 0 ? (n * sxy - sx * sy) / dx : 0;
  double intercept = (sy - slope * sx) / n;
  double r2 = dx != 0 && dy != 0
                  ? (n * sxy - sx * sy) * (n * sxy - sx * sy) / (dx * dy)
                  : 1;
  printf ("slope name=%s x=%s per=%g value=%.6g unit=%s r2=%.3f at0=%.6g "
          "points=",
          s->name, s->x, per, slope * per, s->unit, r2, intercept);
  for (size_t i = 0; i < s->n; i++)
    printf ("%s%g:%.5g", i ? "," : "", s->sizes[i], s->values[i]);
  printf ("\n");
  (void)fflush (stdout);
}
