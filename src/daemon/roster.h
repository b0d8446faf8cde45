/** @file
    The VMs of the fleet, where no address of another one is given: each writes
    its own into the key-value service once, finds the others there, and then
    goes by gossip.  VMs tell each other the load that they put on upstreams.
 */
#ifndef DAEMON_ROSTER_H
#define DAEMON_ROSTER_H

#include "daemon/gossip_link.h"
#include "daemon/permit_link.h"
#include "decide/members.h"
#include "decide/upstreams.h"
#include "links/kv.h"

#include <event2/event.h>

struct roster;

/** What a roster works with; all of it outlives the roster.  */
struct roster_parts
{
  struct event_base *base;
  struct kv *kv;
  struct upstreams *upstreams;
  const char *vm;
  const char *ip;
  uint16_t peer_port;
  uint16_t front_port; /**< that callers of this VM connect to */
  const char *failure_domain;
  /** Region of a failure domain, or NULL.  */
  const char *(*region_of) (void *arg, const char *failure_domain);
  /** What this VM knows, for the others.  */
  struct gossip_known (*known) (void *arg);
  /** Another VM knows KNOWN.  */
  void (*on_known) (void *arg, const struct gossip_known *known);
  void *arg;
};

/** Makes a roster of this VM alone.  */
struct roster *roster_create (const struct roster_parts *parts);

/** Releases R.  */
void roster_destroy (struct roster *r);

/** This VM takes requests from now on: it joins.  */
void roster_join (struct roster *r);

/** Announces that this VM is leaving.  */
void roster_leave (struct roster *r);

/** Announces that this VM has left.  */
void roster_left (struct roster *r);

/** The view of the VMs.  */
const struct members *roster_members (const struct roster *r);

/** Permits that the VMs ask of each other.  */
struct permit_link *roster_permits (const struct roster *r);

/** VMs that share upstreams and budgets, this one included; not below 1.  */
unsigned roster_size (const struct roster *r);

/** IP:PORT of the VMs that callers of a failure domain and region should use:
    of the domain, else of the region, else all.  Free with
    g_ptr_array_unref.  */
GPtrArray *roster_entry_addresses (const struct roster *r,
                                   const char *failure_domain,
                                   const char *region);

#endif
