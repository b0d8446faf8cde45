/** @file
    State that all components of the daemon share: settings, connections and
    the members of the fleet.  */
#ifndef DAEMON_CONTEXT_H
#define DAEMON_CONTEXT_H

#include "base/clock.h"
#include "decide/members.h"
#include "generated/settings_table.h"
#include "links/http_client.h"
#include "links/kv.h"
#include "links/loop_clock.h"
#include "links/peer.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

/** Shared state of one VM; it outlives all components.  */
struct context
{
  struct event_base *base;
  struct loop_clock *clock;
  struct settings *settings;
  char *fleet_key;      /**< secret that all VMs of the fleet share */
  uint64_t incarnation; /**< number of this process start; rises each time */
  bool leaving;         /**< this VM is shutting down */

  struct http_client *http;
  struct peers *peers;
  struct kv *kv;
  struct members *members;
};

/** Sends MESSAGE of TYPE to the member VM and connects to it if necessary.
    Returns the connection, or 0 if VM isn't a live member or the connection is
    gone.  */
peer_handle context_send (const struct context *ctx, const char *vm,
                          unsigned type, const void *message);

/** Starts a timer that calls CALLBACK with ARG every INTERVAL_MS milliseconds.
    The caller frees it with event_free.  */
struct event *context_add_timer (const struct context *ctx,
                                 unsigned interval_ms,
                                 event_callback_fn callback, void *arg);

#endif
