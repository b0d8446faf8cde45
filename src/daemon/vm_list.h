/** @file
    Poller of the platform's list of VMs.  The list lags behind, so it is only
    a hint.  A member that it no longer shows is reported to the membership,
    which removes the member if it is in another region and has sent no message
    for VM_LIST_LAG_MS.  */
#ifndef DAEMON_VM_LIST_H
#define DAEMON_VM_LIST_H

#include "decide/members.h"
#include "links/http_client.h"

#include <event2/event.h>

struct vm_list;

/** Components that the poller uses; they must outlive it.  */
struct vm_list_parts
{
  struct event_base *base;
  struct http_client *http;
  struct members *members;
  const char *address; /**< IP:PORT; empty: no list is polled */
};

/** Starts polling the list.  */
struct vm_list *vm_list_create (const struct vm_list_parts *parts);

/** Releases L.  */
void vm_list_destroy (struct vm_list *l);

/** Time for which the list has not shown VM, in milliseconds: from the last
    read that showed VM, or the first read if none did, to the latest read.  -1
    if the latest read showed VM or is the only one, or before any read.  */
int64_t vm_list_missing_ms (const struct vm_list *l, const char *vm);

#endif
