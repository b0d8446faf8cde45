/** @file
    TCP connections between VMs, authenticated with the key that all VMs of a
    fleet share.  */
#ifndef LINKS_PEER_H
#define LINKS_PEER_H

#include "links/frame.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

/** All peer connections of this VM.  */
struct peers;

/** Handle of one connection; never reused.  */
typedef uint64_t peer_handle;

/** Callbacks of the connections.  */
struct peer_callbacks
{
  /** VM sent FRAME, which is released after the call.  */
  void (*on_frame) (void *arg, peer_handle peer, const char *vm,
                    const struct frame *frame);
  /** The connection to VM is closed; frames sent through it may or may not
      have arrived.  Also called for an outgoing connection that could not be
      opened.  */
  void (*on_close) (void *arg, peer_handle peer, const char *vm);
};

/** Listens on IP:PORT as the VM named VM.  Returns NULL and sets ERROR if that
    fails.  */
struct peers *peers_create (struct event_base *base, const char *vm,
                            const char *ip, uint16_t port,
                            const char *fleet_key,
                            const struct peer_callbacks *callbacks, void *arg,
                            GError **error);

/** Closes all connections, without callbacks, and releases PEERS.  */
void peers_destroy (struct peers *peers);

/** Returns the outgoing connection to VM, and opens one to IP:PORT if there is
    none.  */
peer_handle peers_connect (struct peers *peers, const char *vm, const char *ip,
                           uint16_t port);

/** Sends MESSAGE of TYPE; queued until the connection is authenticated.
    Returns false if the connection is closed.  */
bool peers_send (struct peers *peers, peer_handle peer, unsigned type,
                 const void *message);

/** Whether the other side of PEER has closed the connection, though frames
   that it sent before may still be unread.  */
bool peers_closed_by_peer (struct peers *peers, peer_handle peer);

/** Adds DELTA to the number of responses expected on PEER: 1 for a request, -1
    once its response is complete or no longer needed.  While that number is
    above 0, the connection is closed if nothing arrives for
    PEER_UNRESPONSIVE_MS.  */
void peers_add_pending (struct peers *peers, peer_handle peer, int delta);

/** Writes the HMAC-SHA256 of DATA under FLEET_KEY to OUT.  */
void fleet_mac (const char *fleet_key, const void *data, size_t size,
                guint8 out[32]);

#endif
