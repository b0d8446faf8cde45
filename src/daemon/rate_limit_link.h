/** @file
    Network side of limits of requests a second that upstreams state
    (decide/rate_limit.h).

    A VM that is told a limit tells all others.  One that has just started, or
    was paused, asks the others which limits they know.  While a limit is in
    force, each VM needs a token for each request that it sends there
    (daemon/rate_token_link.h).  */
#ifndef DAEMON_RATE_LIMIT_LINK_H
#define DAEMON_RATE_LIMIT_LINK_H

#include "daemon/vm_broadcast.h"
#include "decide/upstreams.h"
#include "links/frame.h"
#include "links/platform.h"

#include <event2/event.h>

struct rate_limit_link;

/** Dependencies of a link; all must outlive it.  */
struct rate_limit_link_parts
{
  struct event_base *base;
  struct upstreams *upstreams;
  const char *vm;            /**< id of this VM */
  struct vm_broadcast peers; /**< the other VMs */
};

/** Creates a link that knows no limit.  */
struct rate_limit_link *
rate_limit_link_create (const struct rate_limit_link_parts *parts);

/** Frees L, which may be NULL.  */
void rate_limit_link_destroy (struct rate_limit_link *l);

/** Calls ON_TOKENS with ARG whenever this VM gets tokens or a limit ends.  */
void rate_limit_link_on_tokens (struct rate_limit_link *l,
                                void (*on_tokens) (void *arg), void *arg);

/** Reports that VMS VMs run, this one included; to be called at least every
   few seconds.  Before the first report this VM neither lends tokens nor uses
   a share.  VMs that are no longer seen keep their shares for a minute.  */
void rate_limit_link_set_vms (struct rate_limit_link *l, unsigned vms);

/** Records what the upstream H stated in the response INFO to REQUEST.  */
void rate_limit_link_record (struct rate_limit_link *l, upstream_handle h,
                             const struct response_info *info,
                             const char *request);

/** Handles a frame from another VM.  Ignores other types.  */
void rate_limit_link_handle_frame (struct rate_limit_link *l,
                                   const struct frame *f);

/** Sends what is due at NOW, in ms; called by a timer of the link.  */
void rate_limit_link_send (struct rate_limit_link *l, int64_t now);

#endif
