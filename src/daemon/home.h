/** @file
    Home VM of engines: the requests at them.  */
#ifndef DAEMON_HOME_H
#define DAEMON_HOME_H

#include "daemon/context.h"
#include "daemon/engines.h"
#include "daemon/conf.h"

/** Takes a frame for the entry VM where that is this VM.  */
typedef void home_to_entry (void *arg, const struct frame *f);

/** Makes the part.  */
struct home *home_create (const struct context *ctx, struct conf *conf,
                          struct engines *engines, home_to_entry *to_own_entry,
                          void *arg);

/** Closes what is open to engines and releases H.  */
void home_destroy (struct home *h);

/** A frame of a stream came from the entry VM at PEER, or, with PEER 0, from
    this VM's own entry part.  */
void home_take_frame (struct home *h, peer_handle peer,
                      const struct frame *frame);

/** The connection to an entry VM is gone: its requests are left to the
    engines, for whoever resumes them.  */
void home_peer_gone (struct home *h, peer_handle peer);

/** Requests open at this VM.  */
unsigned home_open_streams (const struct home *h);

#endif
