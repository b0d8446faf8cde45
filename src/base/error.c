#include "base/error.h"

G_DEFINE_QUARK (buckthorn - error - quark, buckthorn_error)
