/** @file
    Registry of the VMs of a fleet in which no VM is configured with another's
    address.

    Each VM writes its address into the key-value service when it joins and
    reads the others' addresses there; from then on membership is kept by
    gossip.  The registry also carries load reports and admission permits
    between the VMs.  */
#ifndef DAEMON_VM_REGISTRY_H
#define DAEMON_VM_REGISTRY_H

#include "daemon/gossip_link.h"
#include "daemon/permit_link.h"
#include "daemon/quarantine_link.h"
#include "daemon/upstream_statements.h"
#include "daemon/usage_link.h"
#include "daemon/vm_broadcast.h"
#include "decide/members.h"
#include "decide/upstreams.h"
#include "links/kv.h"

#include <event2/event.h>

struct vm_registry;

/** Configuration and dependencies of the registry.  All pointers must stay
    valid until vm_registry_destroy.  */
struct vm_registry_parts
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
  struct gossip_revisions (*get_revisions) (void *arg);
  /** Another VM has seen the revisions KNOWN.  */
  void (*on_peer_revisions) (void *arg, const struct gossip_revisions *known);
  void *arg;
};

/** Creates a registry that holds this VM alone.  Does not join the others yet,
    see vm_registry_join.  Aborts if no random bytes are available.  */
struct vm_registry *vm_registry_create (const struct vm_registry_parts *parts);

/** Frees R.  */
void vm_registry_destroy (struct vm_registry *r);

/** Starts to join the other VMs; to be called once this VM can serve requests.
    Later calls have no effect.  */
void vm_registry_join (struct vm_registry *r);

/** Announces by gossip that this VM is leaving.  */
void vm_registry_announce_leaving (struct vm_registry *r);

/** Announces by gossip that this VM has left.  */
void vm_registry_announce_left (struct vm_registry *r);

/** Members as this VM sees them.  */
const struct members *vm_registry_members (const struct vm_registry *r);

/** Admission permits exchanged with the other VMs.  */
struct permit_link *vm_registry_permits (const struct vm_registry *r);

/** Limits of requests a second that upstreams state.  */
struct rate_limit_link *vm_registry_limits (const struct vm_registry *r);

/** What upstreams state about themselves, shared with the other VMs.  */
struct upstream_statements *
vm_registry_statements (const struct vm_registry *r);

/** Prompt parts in quarantine, shared with the other VMs.  */
struct quarantine_link *vm_registry_quarantine (const struct vm_registry *r);

/** The other VMs, for messages to them.  */
struct vm_broadcast vm_registry_peers (struct vm_registry *r);

/** Passes the messages of the other VMs to USAGE, which may be NULL.  */
void vm_registry_set_usage (struct vm_registry *r, struct usage_link *usage);

/** Whether this VM has joined the others.  */
bool vm_registry_has_joined (const struct vm_registry *r);

/** Number of VMs listed in the key-value service when this VM last read the
    list, with any that no longer run.  */
unsigned vm_registry_count_listed (const struct vm_registry *r);

/** Number of running VMs, this one included: those that share upstreams and
    retry budgets.  At least 1.  */
unsigned vm_registry_count_live (const struct vm_registry *r);

#endif
