/** @file
    Membership on the wire: authenticated datagrams between VMs.  */
#ifndef DAEMON_GOSSIP_LINK_H
#define DAEMON_GOSSIP_LINK_H

#include "decide/members.h"
#include "links/frame.h"

#include <event2/event.h>

struct gossip_link;

/** What VMs tell that they know, so that one that is behind finds out.  */
struct gossip_known
{
  uint64_t revision;           /**< of the configuration in force */
  uint64_t upstreams_revision; /**< of the latest change of upstreams; or 0 */
};

/** What a link works with; all of it outlives the link.  */
struct gossip_parts
{
  struct event_base *base;
  struct members *members;
  const char *ip; /**< of this VM */
  uint16_t port;  /**< UDP port of this VM and, unless told, of others */
  const char *region;
  const char *fleet_key;
  /** Address number I to join through, or NULL after the last one.  */
  const char *(*join_address) (void *arg, unsigned i);
  /** What this VM knows.  */
  struct gossip_known (*known) (void *arg);
  /** FROM says what it knows.  */
  void (*on_known) (void *arg, const char *from,
                    const struct gossip_known *known);
  /** A frame other than gossip came.  */
  void (*on_frame) (void *arg, const struct frame *f);
  void *arg;
};

/** Opens the UDP port and joins.  Returns NULL and sets ERROR where the port
    cannot be had.  */
struct gossip_link *gossip_link_create (const struct gossip_parts *parts,
                                        GError **error);

/** Releases G.  */
void gossip_link_destroy (struct gossip_link *g);

/** Sends one datagram to MEMBER.  */
void gossip_link_send (struct gossip_link *g, const struct member *member,
                       unsigned type, const void *message);

/** Announces that this VM is leaving.  */
void gossip_link_leave (struct gossip_link *g);

/** Announces that this VM has left.  */
void gossip_link_left (struct gossip_link *g);

/** Milliseconds since any other VM was heard; -1 for never.  */
int64_t gossip_link_silence_ms (const struct gossip_link *g);

#endif
