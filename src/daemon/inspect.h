/** @file
    What operators may read from a VM on a platform: its metrics, and what it
    believes with the age of it.  */
#ifndef DAEMON_INSPECT_H
#define DAEMON_INSPECT_H

#include "daemon/discovery.h"
#include "daemon/roster.h"
#include "daemon/proxy.h"
#include "links/front.h"
#include "links/kv.h"
#include "links/pool.h"

#include <stdbool.h>

/** What is read; all of it outlives the call.  */
struct inspect_parts
{
  const char *vm;
  bool ready;
  const struct proxy *proxy;
  const struct discovery *discovery;
  const struct roster *roster;
  const struct upstreams *upstreams;
  const struct pool *pool;
  const struct kv *kv;
};

/** Answers GET /metrics, Prometheus text, and GET /v1/operator/status, JSON;
    404 to all else.  */
void inspect_answer (const struct inspect_parts *parts,
                     struct front_request *request);

/** Sends an answer with BODY, NULL for none, of TYPE.  */
void inspect_reply (struct front_request *request, unsigned status,
                    const char *type, const char *body);

#endif
