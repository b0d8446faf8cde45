/** @file
    GError domain of the program; the error codes are numbered results.  */
#ifndef BASE_ERROR_H
#define BASE_ERROR_H

#include "generated/results.h"

#include <glib.h>

#define BUCKTHORN_ERROR (buckthorn_error_quark ())

/** Returns the domain of the program's errors; codes are enum result.  */
GQuark buckthorn_error_quark (void);

#endif
