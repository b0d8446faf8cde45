/** @file
    Calls to plain services.  Idempotent calls are sent at once; the others go
    through the journal of idempotency keys, which runs each at most once.  */
#ifndef DAEMON_CALLS_H
#define DAEMON_CALLS_H

#include "base/config_file.h"
#include "daemon/context.h"
#include "links/http_server.h"
#include "daemon/conf.h"

/** Starts the handling of calls.  */
struct calls *calls_create (const struct context *ctx, struct conf *conf);

/** Releases C.  Callers of open calls get no response.  */
void calls_destroy (struct calls *c);

/** Handles the request R of CALLER to PATH of SERVICE.  Replies with the
    service's response, or with an error: forbidden if the file in force does
    not allow the call, bad_request if a call that is not idempotent has no
    valid Idempotency-Key, body_too_large, or the result of the call.  */
void calls_handle (struct calls *c, struct http_request *r,
                   const struct file_caller *caller, const char *service,
                   const char *path);

/** Replies to R with the stored outcome of the call that CALLER made with the
    idempotency key KEY, without running it; bad_request if KEY is invalid.  */
void calls_query (struct calls *c, struct http_request *r,
                  const struct file_caller *caller, const char *key);

/** Handles a call_open frame from an entry VM, or a call_end frame from a
    journal writer.  */
void calls_handle_frame (struct calls *c, peer_handle peer,
                         const struct frame *frame);

/** Handles the loss of the connection PEER: calls that were sent over it to
    their journal writer now go through the journal on this VM.  */
void calls_peer_closed (struct calls *c, peer_handle peer);

/** Applies retention and write rate of a new file in force to the journal.  */
void calls_file_changed (struct calls *c);

/** Number of open calls; one that this VM both received and sends counts
    twice.  */
unsigned calls_open_count (const struct calls *c);

#endif
