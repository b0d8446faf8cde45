/** @file
    Usage of client accounts: counts the requests of each account that began to
    run at this VM's upstreams, exchanges the counts and the wall clocks with
    the other VMs, and reports the counts of all VMs as a duty of the holder
    (daemon/duty_link.h, decide/usage.h, decide/usage_reports.h).

    Counts go to the VMs at the first two places of the ranking of holders,
    twice a second until some time after the end of their window.  A VM that
    has just come to such a place is also sent the counts of the windows that
    may not have been reported yet.  */
#ifndef DAEMON_USAGE_LINK_H
#define DAEMON_USAGE_LINK_H

#include "daemon/duty_link.h"
#include "daemon/vm_broadcast.h"
#include "links/frame.h"
#include "links/kv.h"
#include "links/platform.h"

#include <event2/event.h>
#include <stdint.h>

struct usage_link;

/** Dependencies of a link; all must outlive it.  */
struct usage_link_parts
{
  struct event_base *base;
  const struct kv *kv;
  const struct platform_ops *platform;
  struct duty_link *duties;
  const char *vm; /**< id of this VM */
  struct vm_broadcast peers;
  unsigned window_s; /**< length of a window */
  unsigned late_s;   /**< time after its end until which a window's report is
                          in time */
};

/** Creates a link, starts its timer and adds its duty.  */
struct usage_link *usage_link_create (const struct usage_link_parts *parts);

/** Releases L, which may be NULL.  Its duty must not be called any more.  */
void usage_link_destroy (struct usage_link *l);

/** Records that a request of ACCOUNT began to run at BEGAN_MS of clock_ms.
    L may be NULL.  */
void usage_link_record_start (struct usage_link *l, const char *account,
                              int64_t began_ms);

/** Handles a message of another VM, if it is one of this module's.  L may be
    NULL.  */
void usage_link_handle_frame (struct usage_link *l, const struct frame *frame);

/** Sends this VM's counts at once, as it stops.  L may be NULL.  */
void usage_link_flush (struct usage_link *l);

#endif
