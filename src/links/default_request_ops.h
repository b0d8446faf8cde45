/** @file
    Header fields of routed requests if the routes come from the product's own
    file and not from a platform.

    From a caller: X-Request-Id is the id of the request, generated if missing
    or empty; X-Deadline-Ms is the number of milliseconds that the caller
    waits.

    To an upstream: X-Request-Id; X-Deadline-Ms with the time that remains;
    X-Upstream with the id of the instance that the request is meant for; and
    Last-Event-ID when a stream is resumed.

    From an upstream: X-Refused with any value guarantees that it has not run
    the request and will not run it.  An instance other than the one in
    X-Upstream responds with 421, which counts as not run as well.

    To a caller whose request was rejected: Retry-After in seconds.  */
#ifndef LINKS_DEFAULT_REQUEST_OPS_H
#define LINKS_DEFAULT_REQUEST_OPS_H

#include "links/platform.h"

/** Functions that read and set these fields.  */
extern const struct request_ops default_request_ops;

#endif
