/** @file
    Callers' HTTP interface: which VM to use, models, services, health.  */
#ifndef DAEMON_CALLER_API_H
#define DAEMON_CALLER_API_H

#include "daemon/calls.h"
#include "daemon/conf.h"
#include "daemon/context.h"
#include "daemon/entry.h"
#include "daemon/operator_api.h"

/** What the interface stands on.  */
struct caller_api
{
  const struct context *ctx;
  struct conf *conf;
  struct entry *entry;
  struct calls *calls;
  struct operator_api *operators;
};

/** Answers any request that reaches this VM; ARG is a struct caller_api.  */
void caller_api_handle (void *arg, struct http_request *r);

#endif
