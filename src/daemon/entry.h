/** @file
    Model requests at their entry VM, the VM that the caller connects to:
    routing to an engine, retries, and the response to the caller.  The
    engine's home VM (daemon/home.h) makes the calls to the engine.  */
#ifndef DAEMON_ENTRY_H
#define DAEMON_ENTRY_H

#include "base/config_file.h"
#include "daemon/conf.h"
#include "daemon/context.h"
#include "links/http_server.h"

struct entry;

/** Creates the component.  If this VM is the home VM of an engine, frames for
    the home VM go to TO_OWN_HOME, called with ARG, not to a peer.  */
struct entry *entry_create (const struct context *ctx, struct conf *conf,
                            void (*to_own_home) (void *arg,
                                                 const struct frame *f),
                            void *arg);

/** Releases E and its open requests, without a response to their callers.  */
void entry_destroy (struct entry *e);

/** Handles chat completion request R of CALLER; the response is sent now in
    case of an error, else later.  A Last-Event-ID header of the form
    "REQUEST_ID:COUNT" resumes that stream instead, as entry_resume.  */
void entry_chat (struct entry *e, struct http_request *r,
                 const struct file_caller *caller);

/** Resumes stream REQUEST_ID of CALLER after the event that Last-Event-ID
    names, or from the start without that header.  Replies with an error if the
    header is malformed or names another stream, if the id was not issued to
    CALLER, or if the engine is not in the file in force.  */
void entry_resume (struct entry *e, struct http_request *r,
                   const struct file_caller *caller, const char *request_id);

/** Handles a stream_data or stream_end frame from the home VM at PEER; PEER 0
    is this VM as home VM.  Frames of unknown streams are ignored.  */
void entry_handle_frame (struct entry *e, peer_handle peer,
                         const struct frame *frame);

/** Handles the loss of the connection to home VM PEER: the streams that used
    it are reopened with this VM calling the engine itself.  */
void entry_peer_closed (struct entry *e, peer_handle peer);

/** Checks the request rate of CALLER against this VM's share of its limit:
    requests_per_s divided by the number of usable VMs.  If the
    limit is reached, replies to R with RESULT_OVER_LIMIT and returns false. */
bool entry_admit (struct entry *e, struct http_request *r,
                  const struct file_caller *caller);

/** Work that callers have requested since this VM's start, for each model of
    the file in force, packed for a load digest (daemon/demand.h).  */
GBytes *entry_demand (const struct entry *e);

/** Number of model requests that this VM has open as entry VM.  */
unsigned entry_open_requests (const struct entry *e);

#endif
