/** @file
    HTTP endpoints for operators, under /v1/operator/: applies a configuration
    file, and returns the file in force, its history and the state of the
    fleet.  */
#ifndef DAEMON_OPERATOR_API_H
#define DAEMON_OPERATOR_API_H

#include "daemon/context.h"
#include "links/http_server.h"
#include "daemon/orders_link.h"
#include "daemon/engines.h"
#include "daemon/conf.h"
#include "daemon/apply.h"

/** Creates the endpoints.  They use all arguments until
    operator_api_destroy.  */
struct operator_api *operator_api_create (const struct context *ctx,
                                          struct conf *conf,
                                          struct applies *applies,
                                          struct engines *engines,
                                          struct orders_link *orders);

/** Releases O; it may be NULL.  */
void operator_api_destroy (struct operator_api *o);

/** Handles request R, whose path is "/v1/operator/" followed by ENDPOINT.
    Replies with RESULT_UNAUTHORIZED unless R carries an operator's key, and
    with RESULT_NOT_FOUND for an unknown endpoint.  Some replies are sent
    later, from the event loop.  */
void operator_api_handle (struct operator_api *o, struct http_request *r,
                          const char *endpoint);

/** Records a report of member VM that it has REVISION in force, for the status
    requests that wait for it.  */
void operator_api_record_revision (struct operator_api *o, const char *vm,
                                   uint64_t revision);

#endif
