/** @file
    Sending one message to several other VMs.  */
#ifndef DAEMON_VM_BROADCAST_H
#define DAEMON_VM_BROADCAST_H

#include "decide/members.h"

#include <glib.h>

/** Sends a message of TYPE to the member TO.  */
typedef void vm_send (void *arg, const struct member *to, unsigned type,
                      const void *message);

/** The VMs, and how one of them is reached.  */
struct vm_broadcast
{
  const struct members *members;
  vm_send *send;
  void *arg; /**< first argument of SEND */
};

/** Sends MESSAGE to all other live VMs.  */
void vm_broadcast_all (const struct vm_broadcast *b, unsigned type,
                       const void *message);

/** Sends MESSAGE to COUNT other live VMs, neighbours in the list of members
    from a random one on; to all if there are no more.  */
void vm_broadcast_some (const struct vm_broadcast *b, unsigned type,
                        const void *message, unsigned count);

#endif
