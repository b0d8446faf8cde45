/** @file
    HTTP calls to the platform's control address: their rate, their time-out
    and the pause while the platform is busy.  daemon/duty_link decides when a
    call may be made.  */
#ifndef DAEMON_DUTY_CALLS_H
#define DAEMON_DUTY_CALLS_H

#include "base/http_head.h"
#include "links/platform.h"
#include "links/pool.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

/** A call without a response after this time is cancelled.  */
#define DUTY_TIMEOUT_MS 1000
/** Status given to the callback of a call that got no response or was not
    started.  */
#define DUTY_NOT_SENT 0

struct duty_calls;

/** Dependencies; all must outlive the calls.  */
struct duty_calls_parts
{
  struct event_base *base;
  const struct platform_ops *platform;
  struct pool *pool;
  const char *vm;       /**< id of this VM */
  const char *address;  /**< IP:PORT of the platform */
  unsigned calls_per_s; /**< most calls in any second */
};

/** Creates the state of the calls.  */
struct duty_calls *duty_calls_create (const struct duty_calls_parts *parts);

/** Releases L, which may be NULL, and cancels calls in flight, without their
    callbacks.  */
void duty_calls_destroy (struct duty_calls *l);

/** Sends POST with BODY on a new connection, and frees HEAD, which has the
    target; see duty_link_post.  The call is not started unless IN_TIME and the
    rate allows it.  */
void duty_calls_post (struct duty_calls *l, struct http_head *head,
                      const char *body, uint64_t fence, bool in_time,
                      void (*cb) (void *arg, unsigned status), void *arg);

/** Whether the platform said a short time ago that it is busy.  */
bool duty_calls_must_wait (const struct duty_calls *l, int64_t now_ms);

/** How long the platform has not been reached at NOW_MS: since the start of
    the first call after the last one that got a connection; 0 if there is
    none.  A platform that is slow, or refuses connections, counts as reached:
    other VMs would do no better.  */
int64_t duty_calls_unreached_ms (const struct duty_calls *l, int64_t now_ms);

/** Restarts the time of duty_calls_unreached_ms with the next call.  */
void duty_calls_forget_unreached (struct duty_calls *l);

#endif
