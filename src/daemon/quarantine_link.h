/** @file
    Quarantine of prompt parts over all VMs: sends what this VM has seen of
    crashes and answers to the others, and merges what they send.

    News goes to all running VMs at once.  As datagrams may be lost, each VM
    also sends part of what it knows to some others, a few times a second while
    it knows anything.  A VM that has just joined, or was paused, asks for
    it.

    Each service has a quarantine of its own: a part that ends the engines of
    one model may be sound for another.  */
#ifndef DAEMON_QUARANTINE_LINK_H
#define DAEMON_QUARANTINE_LINK_H

#include "daemon/vm_broadcast.h"
#include "decide/quarantine.h"
#include "decide/upstreams.h"
#include "links/frame.h"

#include <event2/event.h>

struct quarantine_link;

/** Dependencies; all must outlive the object.  */
struct quarantine_link_parts
{
  struct event_base *base;
  const char *vm;            /**< id of this VM */
  struct vm_broadcast peers; /**< the other VMs */
};

/** Creates the quarantine of this VM, without entries.  */
struct quarantine_link *
quarantine_link_create (const struct quarantine_link_parts *parts);

/** Frees L, which may be NULL.  */
void quarantine_link_destroy (struct quarantine_link *l);

/** Sets the time from a conviction to its first canary, in seconds.  */
void quarantine_link_set_canary_s (struct quarantine_link *l, unsigned s);

/** Called with a part that is in quarantine for SERVICE.  */
typedef void quarantine_link_visit (void *arg, const char *service,
                                    const struct quarantine_entry *entry);

/** Calls VISIT for each part in quarantine.  */
void quarantine_link_foreach (const struct quarantine_link *l,
                              quarantine_link_visit *visit, void *arg);

/* What this VM sees.  L may be NULL: then nothing is recorded.  */

/** The connection to UPSTREAM, which may be NULL, broke off in a request with
    PROMPT.  An upstream that is leaving is ignored.  */
void quarantine_link_record_lost (struct quarantine_link *l,
                                  const struct upstream_info *upstream,
                                  const struct prompt *prompt);
/** The upstream ID of SERVICE has refused a connection.  */
void quarantine_link_record_refused (struct quarantine_link *l,
                                     const char *service, const char *id);
/** The upstream ID of SERVICE has responded to a request sent at SENT_MS.  */
void quarantine_link_record_response (struct quarantine_link *l,
                                      const char *service, const char *id,
                                      int64_t sent_ms);
/** The entry of UPSTREAM was removed, or is replaced by a later start.  */
void quarantine_link_record_gone (struct quarantine_link *l,
                                  const struct upstream_info *upstream);
/** SERVICE has answered a request with PROMPT in full.  */
void quarantine_link_record_answer (struct quarantine_link *l,
                                    const char *service,
                                    const struct prompt *prompt);

/* Decisions.  Without L nothing is refused.  */

/** Decides on the new request ID to SERVICE with PROMPT; logs it unless it
    passes.  Sets WAIT_MS if it is refused.  */
enum quarantine_verdict quarantine_link_check (struct quarantine_link *l,
                                               const char *service,
                                               const char *id,
                                               const struct prompt *prompt,
                                               unsigned *wait_ms);
/** Whether a part of PROMPT is in quarantine for SERVICE.  */
bool quarantine_link_blocks (const struct quarantine_link *l,
                             const char *service, const struct prompt *prompt);
/** Whether a retry of a request to SERVICE with PROMPT may end one more
    upstream.  */
bool quarantine_link_suspects (const struct quarantine_link *l,
                               const char *service,
                               const struct prompt *prompt);

/** Decides on convictions at NOW and sends what is to be sent.  The object's
   own timer calls it 20 times a second.  */
void quarantine_link_send (struct quarantine_link *l, int64_t now);

/** Handles a frame from another VM; ignores other types.  */
void quarantine_link_handle_frame (struct quarantine_link *l,
                                   const struct frame *f);

#endif
