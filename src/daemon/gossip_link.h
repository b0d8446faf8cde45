/** @file
    Sends and receives the authenticated UDP datagrams between VMs: membership
    gossip (decide/members.h) and other frames.  */
#ifndef DAEMON_GOSSIP_LINK_H
#define DAEMON_GOSSIP_LINK_H

#include "decide/members.h"
#include "links/frame.h"

#include <event2/event.h>

struct gossip_link;

/** Longest datagram that a VM receives; the rest of a longer one is lost.  */
#define GOSSIP_DATAGRAM_MAX_BYTES 2048

/** Arguments of gossip_link_create; what they point to outlives the link.  */
struct gossip_parts
{
  struct event_base *base;
  struct members *members;
  const char *ip; /**< IPv4 address of this VM */
  uint16_t port;  /**< UDP port of this VM */
  const char *region;
  const char *fleet_key;
  /** Returns the address IP:PORT number I, from 0, of a VM to join through;
      NULL after the last one.  */
  const char *(*get_join_address) (void *arg, unsigned i);
  /** Returns the revisions that this VM has.  */
  struct gossip_revisions (*get_revisions) (void *arg);
  /** Called with the revisions that VM FROM reported.  */
  void (*on_peer_revisions) (void *arg, const char *from,
                             const struct gossip_revisions *known);
  /** Called with each received frame other than gossip; F is released after
      the call.  */
  void (*on_frame) (void *arg, const struct frame *f);
  void *arg;
};

/** Binds the UDP port and sends the first join messages.  Returns NULL and
    sets ERROR if the port can't be bound.  */
struct gossip_link *gossip_link_create (const struct gossip_parts *parts,
                                        GError **error);

/** Closes the port and releases G, which may be NULL.  */
void gossip_link_destroy (struct gossip_link *g);

/** Sends MESSAGE of TYPE to MEMBER in one datagram, which may get lost.  */
void gossip_link_send (struct gossip_link *g, const struct member *member,
                       unsigned type, const void *message);

/** Marks this VM as leaving; the next gossip messages announce it.  */
void gossip_link_announce_leaving (struct gossip_link *g);

/** Marks this VM as having left and announces it to a few members at once.  */
void gossip_link_announce_left (struct gossip_link *g);

/** Returns the milliseconds since the last valid datagram from another VM; -1
    if there was none yet.  */
int64_t gossip_link_silence_ms (const struct gossip_link *g);

/* Format of datagrams: a frame, followed by its MAC.  */

/** Returns the datagram that holds MESSAGE of TYPE.  */
GByteArray *gossip_datagram_encode (const char *fleet_key, unsigned type,
                                    const void *message);

/** Decodes the SIZE bytes of DATA, one datagram, into F.  Returns false, and
    sets RESULT to the reason, if its MAC is wrong or if it is not exactly one
    frame; F may then still have to be cleared.  */
bool gossip_datagram_decode (const char *fleet_key, const guint8 *data,
                             size_t size, struct frame *f,
                             enum result *result);

#endif
