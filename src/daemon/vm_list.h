/** @file
    The platform's list of VMs, a hint that lags: members that it no longer
    shows are removed where only it can tell.  */
#ifndef DAEMON_VM_LIST_H
#define DAEMON_VM_LIST_H

#include "decide/members.h"
#include "links/http_client.h"

#include <event2/event.h>

struct vm_list;

/** What a list works with; all of it outlives the list.  */
struct vm_list_parts
{
  struct event_base *base;
  struct http_client *http;
  struct members *members;
  const char *address; /**< IP:PORT; empty for no list */
};

/** Starts to read the list.  */
struct vm_list *vm_list_create (const struct vm_list_parts *parts);

/** Releases L.  */
void vm_list_destroy (struct vm_list *l);

/** Milliseconds for which the list has not shown VM; -1 while it does, or
    while nothing is known.  */
int64_t vm_list_missing_ms (const struct vm_list *l, const char *vm);

#endif
