/** @file
    What upstreams state about themselves in the head of any response: that
    they are leaving, for how long they accept no requests, or how many a
   second they accept (daemon/rate_limit_link.h).

    The other VMs are told which upstream is leaving.  They take it as a hint
    and send it nothing for STATEMENT_HINT_MS, so that a wrong one takes no
    upstream out for good.  */
#ifndef DAEMON_UPSTREAM_STATEMENTS_H
#define DAEMON_UPSTREAM_STATEMENTS_H

#include "daemon/rate_limit_link.h"
#include "daemon/vm_broadcast.h"
#include "decide/upstreams.h"
#include "links/frame.h"
#include "links/platform.h"

/** How long a VM follows a hint, in ms.  */
#define STATEMENT_HINT_MS 5000

struct upstream_statements;

/** Where statements are recorded, and how other VMs are told of them; all must
    outlive the object.  */
struct upstream_statements_parts
{
  struct upstreams *upstreams;
  struct rate_limit_link *limits; /**< NULL: limits are not followed */
  struct vm_broadcast peers;      /**< without members: no other VM is told */
};

/** Creates an object without statements.  */
struct upstream_statements *
upstream_statements_create (const struct upstream_statements_parts *parts);

/** Frees S, which may be NULL.  */
void upstream_statements_destroy (struct upstream_statements *s);

/** Records what the upstream H stated in a response, read into INFO, and logs
    it with the id of the REQUEST.  */
void upstream_statements_record (struct upstream_statements *s,
                                 upstream_handle h,
                                 const struct response_info *info,
                                 const char *request);

/** Handles a frame from another VM: a hint.  Ignores other types.  */
void upstream_statements_handle_frame (struct upstream_statements *s,
                                       const struct frame *f);

#endif
