/** @file
    Operators' HTTP interface: apply a file, read back what is in force.  */
#ifndef DAEMON_OPERATOR_API_H
#define DAEMON_OPERATOR_API_H

#include "daemon/context.h"
#include "links/http_server.h"
#include "daemon/orders_link.h"
#include "daemon/engines.h"
#include "daemon/conf.h"
#include "daemon/apply.h"

/** Makes the part.  */
struct operator_api *operator_api_create (const struct context *ctx,
                                          struct conf *conf,
                                          struct applies *applies,
                                          struct engines *engines,
                                          struct orders_link *orders);

/** Releases O.  */
void operator_api_destroy (struct operator_api *o);

/** Answers R, whose path is "/v1/operator/" and WHAT.  */
void operator_api_handle (struct operator_api *o, struct http_request *r,
                          const char *what);

/** Member VM says that it has REVISION in force.  */
void operator_api_in_force (struct operator_api *o, const char *vm,
                            uint64_t revision);

#endif
