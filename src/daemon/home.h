/** @file
    Model requests at the home VM of their engine.  The home VM queues the
    requests that entry VMs (daemon/entry.h) send for the engine, calls the
    engine, and returns its events to the entry VMs.  */
#ifndef DAEMON_HOME_H
#define DAEMON_HOME_H

#include "daemon/context.h"
#include "daemon/engines.h"
#include "daemon/conf.h"

/** Handles a frame for the entry VM if this VM is the entry VM.  */
typedef void home_entry_callback (void *arg, const struct frame *f);

/** Creates the component.  If this VM is the entry VM of a request, frames for
    the entry VM go to TO_OWN_ENTRY, called with ARG, not to a peer.  */
struct home *home_create (const struct context *ctx, struct conf *conf,
                          struct engines *engines,
                          home_entry_callback *to_own_entry, void *arg);

/** Closes the open calls to engines and releases H.  */
void home_destroy (struct home *h);

/** Handles a stream_open or stream_cancel frame from the entry VM at PEER;
    PEER 0 is this VM as entry VM.  */
void home_handle_frame (struct home *h, peer_handle peer,
                        const struct frame *frame);

/** Handles the loss of the connection to entry VM PEER: drops its requests
    here, without cancelling them at the engines, so that they can be
    resumed.  */
void home_peer_closed (struct home *h, peer_handle peer);

/** Number of requests that run or wait at this VM as home VM.  */
unsigned home_open_requests (const struct home *h);

#endif
