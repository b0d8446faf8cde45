/** @file
    Registry of the VMs of a fleet in which no VM is configured with another's
    address.

    Each VM writes its address into the key-value service when it joins and
    reads the others' addresses there; from then on membership is kept by
    gossip.  The registry also carries load reports and admission permits
    between the VMs.  */
#ifndef DAEMON_ROSTER_H
#define DAEMON_ROSTER_H

#include "daemon/gossip_link.h"
#include "daemon/permit_link.h"
#include "decide/members.h"
#include "decide/upstreams.h"
#include "links/kv.h"

#include <event2/event.h>

struct roster;

/** Configuration and dependencies of the registry.  All pointers must stay
    valid until roster_destroy.  */
struct roster_parts
{
  struct event_base *base;
  struct kv *kv;
  struct upstreams *upstreams;
  const char *vm;
  const char *ip;
  uint16_t peer_port;
  uint16_t front_port; /**< port for callers of this VM */
  const char *failure_domain;
  /** Returns the region of a failure domain, NULL if unknown.  */
  const char *(*region_of) (void *arg, const char *failure_domain);
  /** Returns the latest revisions that this VM has seen, for gossip.  */
  struct gossip_known (*known) (void *arg);
  /** Another VM has seen the revisions KNOWN.  */
  void (*on_known) (void *arg, const struct gossip_known *known);
  void *arg;
};

/** Creates a registry that holds this VM alone.  Does not join the others yet,
    see roster_join.  Aborts if no random bytes are available.  */
struct roster *roster_create (const struct roster_parts *parts);

/** Frees R.  */
void roster_destroy (struct roster *r);

/** Starts to join the other VMs; to be called once this VM can serve requests.
    Later calls have no effect.  */
void roster_join (struct roster *r);

/** Announces by gossip that this VM is leaving.  */
void roster_leave (struct roster *r);

/** Announces by gossip that this VM has left.  */
void roster_left (struct roster *r);

/** Members as this VM sees them.  */
const struct members *roster_members (const struct roster *r);

/** Admission permits exchanged with the other VMs.  */
struct permit_link *roster_permits (const struct roster *r);

/** Number of running VMs, this one included: those that share upstreams and
    retry budgets.  At least 1.  */
unsigned roster_size (const struct roster *r);

/** Returns IP:PORT of the VMs that callers in FAILURE_DOMAIN and REGION should
    use: those in the domain; if there are none, those in the region; if there
    are none, all.  At most 64; suspect and leaving VMs are left out.
    FAILURE_DOMAIN and REGION may be NULL.  Free with g_ptr_array_unref.  */
GPtrArray *roster_entry_addresses (const struct roster *r,
                                   const char *failure_domain,
                                   const char *region);

#endif
