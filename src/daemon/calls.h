/** @file
    Calls to plain services: idempotent ones at once, the others through the
    journal, at most once.  */
#ifndef DAEMON_CALLS_H
#define DAEMON_CALLS_H

#include "base/file.h"
#include "daemon/context.h"
#include "links/http_server.h"
#include "daemon/conf.h"

/** Makes the part.  */
struct calls *calls_create (const struct context *ctx, struct conf *conf);

/** Releases C; its calls end without an answer.  */
void calls_destroy (struct calls *c);

/** CALLER calls PATH of SERVICE; R is answered later.  */
void calls_handle (struct calls *c, struct http_request *r,
                   const struct file_caller *caller, const char *service,
                   const char *path);

/** CALLER asks what became of its idempotency key KEY.  */
void calls_ask (struct calls *c, struct http_request *r,
                const struct file_caller *caller, const char *key);

/** A frame of a call came: from an entry VM, or the answer of the writer.  */
void calls_take_frame (struct calls *c, peer_handle peer,
                       const struct frame *frame);

/** The connection to a VM is gone: calls that were given to it are settled
    through the journal by this VM.  */
void calls_peer_gone (struct calls *c, peer_handle peer);

/** A new file is in force.  */
void calls_file_changed (struct calls *c);

/** Calls that this VM has open, as entry or as writer.  */
unsigned calls_open (const struct calls *c);

#endif
