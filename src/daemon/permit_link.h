/** @file
    Permits on the wire: asks the home VM of an engine before a request is sent
    there, and answers for the engines that this VM is the home of.

    Where the home VM does not answer in time the request is sent all the same,
    by what this VM knows itself.  */
#ifndef DAEMON_PERMIT_LINK_H
#define DAEMON_PERMIT_LINK_H

#include "decide/members.h"
#include "decide/permits.h"
#include "links/frame.h"

#include <event2/event.h>

struct permit_link;

/** What a link works with; all of it outlives the link.  */
struct permit_link_parts
{
  struct event_base *base;
  struct upstreams *upstreams;
  const struct members *members;
  const char *vm;
  /** Region of a failure domain, or NULL.  */
  const char *(*region_of) (void *arg, const char *failure_domain);
  const char *failure_domain; /**< of this VM */
  /** Sends a message of TYPE to the member TO.  */
  void (*send) (void *arg, const struct member *to, unsigned type,
                const void *message);
  void *arg;
};

/** Makes a link.  */
struct permit_link *permit_link_create (const struct permit_link_parts *parts);

/** Releases L.  */
void permit_link_destroy (struct permit_link *l);

/* Asking.  */

/** Names a question; 0 is none.  */
typedef uint64_t permit_ticket;

/** What became of a question.  */
enum permit_state
{
  PERMIT_WAITS,   /**< the answer comes by the callback */
  PERMIT_GRANTED, /**< send it */
  PERMIT_REFUSED, /**< the wait is too long; what is known of the engine's load
                       is up to date now */
  PERMIT_ALONE    /**< the home VM does not answer: send it by own knowledge */
};

/** Called once, later than the question, with its outcome.  */
typedef void permit_answered (void *arg, enum permit_state state);

/** Asks for CHOICE, with a wait of LIMIT_MS at most.  Sets TICKET, which is to
    be given back, where it returns anything but PERMIT_REFUSED.  */
enum permit_state permit_link_ask (struct permit_link *l,
                                   const struct upstream_choice *choice,
                                   double limit_ms, permit_answered *answered,
                                   void *arg, permit_ticket *ticket);

/** The engine has read the request, in TOOK_MS, or 0 where unknown.  */
void permit_link_read (struct permit_link *l, permit_ticket ticket,
                       unsigned took_ms);

/** The request has ended or is not sent; the callback is not called any more.
    TICKET may be 0 or one whose question was refused.  */
void permit_link_end (struct permit_link *l, permit_ticket ticket);

/** Tells all VMs that the engine ID has ROLE, and takes nothing for MS before.
    Those that cannot reach the key-value service hear of it by this alone.  */
void permit_link_role (struct permit_link *l, const char *id,
                       enum upstream_role role, unsigned ms);

/* Answering.  */

/** A frame came that is one of this link's.  */
void permit_link_take (struct permit_link *l, const struct frame *f);

#endif
