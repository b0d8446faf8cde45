/** @file
    Entry VM of model requests: from the caller's request to its last event. */
#ifndef DAEMON_ENTRY_H
#define DAEMON_ENTRY_H

#include "base/file.h"
#include "daemon/conf.h"
#include "daemon/context.h"
#include "links/http_server.h"

struct entry;

/** Makes the part.  TO_OWN_HOME takes a frame for the home VM where that is
    this VM.  */
struct entry *entry_create (const struct context *ctx, struct conf *conf,
                            void (*to_own_home) (void *arg,
                                                 const struct frame *f),
                            void *arg);

/** Releases E; its requests end without an answer.  */
void entry_destroy (struct entry *e);

/** A chat completion of CALLER; R is answered later.  With Last-Event-ID it
    goes on with a stream.  */
void entry_chat (struct entry *e, struct http_request *r,
                 const struct file_caller *caller);

/** CALLER goes on with stream REQUEST_ID after Last-Event-ID.  */
void entry_resume (struct entry *e, struct http_request *r,
                   const struct file_caller *caller, const char *request_id);

/** A frame of a stream came from the home VM at PEER, or, with PEER 0, from
    this VM's own home part.  */
void entry_take_frame (struct entry *e, peer_handle peer,
                       const struct frame *frame);

/** The connection to a home VM is gone: its streams go on through this VM. */
void entry_peer_gone (struct entry *e, peer_handle peer);

/** Whether ACCOUNT may make a request now; answers R where it may not.  */
bool entry_admit (struct entry *e, struct http_request *r,
                  const struct file_caller *caller);

/** Work that callers asked for so far, by model of the file in force, packed
    for a digest (daemon/demand.h).  */
GBytes *entry_demand (const struct entry *e);

/** Streams open at this VM.  */
unsigned entry_open_streams (const struct entry *e);

#endif
