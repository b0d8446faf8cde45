/** @file
    Routed requests where routes come from the product's own file: the fields
   by which callers, VMs and upstreams tell each other what they need to know.

    Of a caller: X-Request-Id names the request, and is made where there is
    none; X-Deadline-Ms is how long the caller waits.  To an upstream: the
   same, X-Upstream with the replica that is meant, and Last-Event-ID in a
   stream that goes on.  Of an upstream: X-Refused, with any value, promises
   that it has not run the request and will not; a replica that is not the one
   that X-Upstream names answers 421.  To a caller that is refused: Retry-After
   in seconds.  */
#ifndef LINKS_OWN_REQUESTS_H
#define LINKS_OWN_REQUESTS_H

#include "links/platform.h"

/** The fields.  */
extern const struct request_ops own_requests;

#endif
