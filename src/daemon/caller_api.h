/** @file
    HTTP interface for callers: list of entry VMs, models, chat completions,
    streams, calls to services; also health, metrics and the operators' API. */
#ifndef DAEMON_CALLER_API_H
#define DAEMON_CALLER_API_H

#include "daemon/calls.h"
#include "daemon/conf.h"
#include "daemon/context.h"
#include "daemon/entry.h"
#include "daemon/operator_api.h"

/** Components that handle the requests.  */
struct caller_api
{
  const struct context *ctx;
  struct conf *conf;
  struct entry *entry;
  struct calls *calls;
  struct operator_api *operators;
};

/** Handles every HTTP request that reaches this VM: dispatches it by path, and
    authenticates the caller first if the path needs it.  ARG is a struct
    caller_api.  */
void caller_api_handle (void *arg, struct http_request *r);

#endif
