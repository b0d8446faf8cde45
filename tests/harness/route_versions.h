/** @file
    Large versions of the platform's routes, for tests and benchmarks.  */
#ifndef TESTS_HARNESS_ROUTE_VERSIONS_H
#define TESTS_HARNESS_ROUTE_VERSIONS_H

#include "harness/site.h"

#include <glib.h>

/** What a version holds.  */
struct version_size
{
  const char *name;
  unsigned routes;
  unsigned hosts; /**< over which the routes are spread */
  unsigned accounts;
};

/** Returns VERSION.  Two versions of the same size differ in one route.  */
GBytes *version_write (const struct version_size *size, unsigned version);

/** Writes VERSION to the store of S: COUNT routes /many-N/ of one host beside
    /once/ and /vVERSION/, all of which send requests to the service and have
   the time-out of S.  */
void version_put_many (const struct site *s, unsigned version, unsigned count);

#endif
