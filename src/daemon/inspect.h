/** @file
    HTTP endpoints for operators of a VM in platform mode: metrics, and the
    VM's view of routes and upstreams with the age of that view.  */
#ifndef DAEMON_INSPECT_H
#define DAEMON_INSPECT_H

#include "daemon/discovery.h"
#include "daemon/vm_registry.h"
#include "daemon/proxy.h"
#include "links/http_listener.h"
#include "links/kv.h"
#include "links/pool.h"

#include <stdbool.h>

/** Components and state that the responses are made from.  All pointers must
    stay valid during the call.  */
struct inspect_parts
{
  const char *vm;
  bool ready;
  const struct proxy *proxy;
  const struct discovery *discovery;
  const struct vm_registry *vm_registry;
  const struct upstreams *upstreams;
  const struct pool *pool;
  const struct kv *kv;
};

/** Responds to GET /metrics with Prometheus text and to GET
    /v1/operator/status with JSON; to anything else with 404.  REQUEST must
    not be used after this.  */
void inspect_handle_request (const struct inspect_parts *parts,
                             struct inbound_request *request);

/** Sends a complete response with STATUS and BODY of the media type TYPE; both
    may be NULL.  REQUEST must not be used after this.  */
void inspect_reply (struct inbound_request *request, unsigned status,
                    const char *type, const char *body);

#endif
