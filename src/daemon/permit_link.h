/** @file
    Network side of permits (decide/permits.h).  Each engine has a home VM,
    chosen by rendezvous hashing, which tracks the engine's queue and grants
    permits.  Before a VM sends a request to an engine, it requests a permit
    from the engine's home VM.  This module sends those requests, and serves
    those of other VMs for the engines whose home is this VM.

    If the home VM does not answer in time, the request is sent without a
    permit, as placed by the load that this VM knows of.  */
#ifndef DAEMON_PERMIT_LINK_H
#define DAEMON_PERMIT_LINK_H

#include "decide/members.h"
#include "decide/permits.h"
#include "links/frame.h"

#include <event2/event.h>

struct permit_link;

/** Dependencies of a link; all must outlive it.  */
struct permit_link_parts
{
  struct event_base *base;
  struct upstreams *upstreams;
  const struct members *members;
  const char *vm; /**< id of this VM */
  /** Returns the region of a failure domain, or NULL if unknown.  */
  const char *(*region_of) (void *arg, const char *failure_domain);
  const char *failure_domain; /**< failure domain of this VM */
  /** Sends a message of TYPE to the member TO.  */
  void (*send) (void *arg, const struct member *to, unsigned type,
                const void *message);
  void *arg;
};

/** Creates a link without permits.  */
struct permit_link *permit_link_create (const struct permit_link_parts *parts);

/** Frees L, which may be NULL.  Pending callbacks do not run.  */
void permit_link_destroy (struct permit_link *l);

/* Requesting permits.  */

/** Identifies a permit that this VM requested; 0 for none.  */
typedef uint64_t permit_ticket;

/** State of a requested permit.  */
enum permit_state
{
  PERMIT_PENDING, /**< the callback will report the decision */
  PERMIT_GRANTED, /**< send the request */
  PERMIT_REFUSED, /**< the wait is too long; the engine's load in the upstream
                       table has been updated */
  PERMIT_UNAVAILABLE /**< the home VM is unknown or does not answer: send the
                          request without a permit */
};

/** Reports the decision on a permit for which permit_link_request returned
    PERMIT_PENDING, and the prompt TOKENS that the engine has to prefill, if
   the state is not PERMIT_UNAVAILABLE.  Runs once, from the event loop.  */
typedef void permit_callback (void *arg, enum permit_state state,
                              uint64_t tokens);

/** Longest acceptable waits at an engine; see struct permit_request.  */
struct permit_limits
{
  double delay_ms; /* time until the request reaches the engine */
  double queue_ms;
  double wait_ms;
};

/** Requests a permit to send a request as CHOICE says, if its expected waits
    there are within LIMITS.  PROMPT may be NULL.  If the decision is known
   at once, CHOICE gets the number of tokens that the engine has to prefill.
   Sets TICKET to 0 if no permit is tracked; otherwise pass it to
   permit_link_end, also if the request is not sent. ANSWERED is called with
   ARG, only after PERMIT_PENDING.  */
enum permit_state permit_link_request (struct permit_link *l,
                                       struct upstream_choice *choice,
                                       const struct prompt *prompt,
                                       const struct permit_limits *limits,
                                       permit_callback *answered, void *arg,
                                       permit_ticket *ticket);

/** The engine has prefilled the prompt of the request in TOOK_MS, which is 0
    if unknown.  TICKET may be 0.  */
void permit_link_prefill_done (struct permit_link *l, permit_ticket ticket,
                               unsigned took_ms);

/** The request has ended or will not be sent.  The callback does not run after
    this.  TICKET may be 0 or that of a refused permit.  L may be NULL if
    TICKET is 0.  */
void permit_link_end (struct permit_link *l, permit_ticket ticket);

/** Notifies all VMs that the engine ID changes to ROLE and accepts no requests
    for the next MS milliseconds.  A VM that cannot reach the key-value service
    learns of the change from this message only.  */
void permit_link_announce_role (struct permit_link *l, const char *id,
                                enum upstream_role role, unsigned ms);

/* Receiving messages.  */

/** Handles a frame from another VM: a permit request, answer or note, or a
    role change.  Ignores other types.  */
void permit_link_handle_frame (struct permit_link *l, const struct frame *f);

#endif
