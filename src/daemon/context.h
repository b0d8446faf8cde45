/** @file
    What every part of the daemon works with: its settings, its links, its view
    of the other VMs.  */
#ifndef DAEMON_CONTEXT_H
#define DAEMON_CONTEXT_H

#include "base/clock.h"
#include "decide/members.h"
#include "generated/settings_table.h"
#include "links/http_client.h"
#include "links/kv.h"
#include "links/peer.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

/** The links of one VM; they outlive the parts.  */
struct context
{
  struct event_base *base;
  struct settings *settings;
  char *fleet_key;
  uint64_t incarnation;
  bool leaving; /**< this VM was told to stop */

  struct http_client *http;
  struct peers *peers;
  struct kv *kv;
  struct members *members;
};

/** Sends MESSAGE to the member VM; returns its connection, or 0 where VM is no
    live member.  */
peer_handle context_send (const struct context *ctx, const char *vm,
                          unsigned type, const void *message);

/** Starts a timer that calls BACK each INTERVAL_MS.  */
struct event *context_every (const struct context *ctx, unsigned interval_ms,
                             event_callback_fn back, void *arg);

#endif
