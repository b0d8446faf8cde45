/** @file
    Membership: which VMs of the fleet are up, by probes with suspicion as in
    the SWIM protocol.

    A VM probes members of its own region.  The MEMBERS_BRIDGES_PER_DOMAIN
    highest-ranking VMs of each failure domain, the bridges, also probe bridges
    of other regions, so that updates pass between regions over few links.  A
    VM that does not answer probes is declared dead only by members of its own
    region, so that a network partition between regions removes no VM.  Each
    message carries a digest of the members of its sender's region.  A receiver
    whose view of that region differs, and has not changed lately, requests the
    list of members from the sender.

    The module does no I/O: it takes messages and the time, and returns
    messages to send.  */
#ifndef DECIDE_MEMBERS_H
#define DECIDE_MEMBERS_H

#include "generated/messages.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Status of a member.  Within one incarnation, a status replaces those before
    it in this list.  */
enum member_status
{
  MEMBER_ALIVE,
  MEMBER_LEAVING,
  MEMBER_SUSPECT,
  MEMBER_DEAD,
  MEMBER_LEFT
};

/** Kinds of gossip messages.  */
enum gossip_kind
{
  GOSSIP_PING,
  GOSSIP_ACK,      /**< answers GOSSIP_PING; with SEQ 0 only carries updates */
  GOSSIP_PING_REQ, /**< asks the receiver to ping member TARGET and to pass
                        on its GOSSIP_ACK */
  GOSSIP_JOIN,     /**< requests all members, or with the target "region" the
                        live members of the receiver's region */
  GOSSIP_SYNC,     /**< part of the list of all members, in answer to
                        GOSSIP_JOIN */
  GOSSIP_REGION    /**< all live members of the sender's region with an id
                        greater than AFTER and up to TARGET; others in that
                        range are no longer members */
};

/** A member as this VM knows it.  */
struct member
{
  struct member_update info;
  bool leaving;       /**< announced that it leaves, in this incarnation */
  int64_t changed_ms; /**< when its status was last set */
  uint64_t revision;  /**< highest configuration revision in its messages */
  int64_t heard_ms;   /**< when this VM last got a message from it; 0: never */
};

/** Revisions that a VM reports in its messages, so that a VM with older ones
    notices, and one with the same ones knows that it has missed nothing.  */
struct gossip_revisions
{
  uint64_t revision; /**< of the configuration in force; 0: none */
  uint64_t age_ms;   /**< age of the state that is known to have no later
                        revision */
  uint64_t upstreams_revision; /**< of the last upstream change; 0: none */
  uint64_t upstreams_age_ms;   /**< the same age for upstreams */
};

/** A message to send to IP:PORT.  */
struct gossip_out
{
  char *ip;
  uint16_t port;
  struct gossip message;
};

struct members;

/** First incarnation of a process that starts at WALL_MS, in milliseconds of
    the wall clock.  It is above the incarnations of earlier starts.  */
uint64_t member_first_incarnation (int64_t wall_ms);

/** Whether two incarnations of a VM belong to the same start of its
    process.  */
bool member_same_start (uint64_t a, uint64_t b);

/** Returns "VM:INCARNATION", the name of one process of VM.  To be freed.  */
char *member_process_name (const char *vm, uint64_t incarnation);

/** Splits a name from member_process_name.  *VM is to be freed.  False, with
    nothing set, if NAME has no colon.  */
bool member_process_split (const char *name, char **vm, uint64_t *incarnation);

/** Creates a member list that holds only this VM, SELF, whose incarnation is
    from member_first_incarnation.  SEED is for random choices.  */
struct members *members_create (const struct member_update *self,
                                uint64_t seed, int64_t now_ms);

/** Releases M.  */
void members_destroy (struct members *m);

/** Creates an empty list of messages to send, of struct gossip_out.  */
GArray *gossip_out_create (void);

/* Events.  Messages to send are appended to OUT.  */

/** Runs the timers: probes, time-outs and removals.  To be called at least
    every 100 ms.  A gap of more than MEMBERS_PAUSE_THRESHOLD_MS counts as a
    pause of this process, and the probes then in flight make no member
    suspect.  */
void members_tick (struct members *m, int64_t now_ms, GArray *out);
/** Handles a message from IP:PORT.  */
void members_receive (struct members *m, int64_t now_ms,
                      const struct gossip *message, const char *ip,
                      uint16_t port, GArray *out);
/** Requests all members from IP:PORT and announces this VM to it.  */
void members_join (struct members *m, const char *ip, uint16_t port,
                   GArray *out);
/** Announces that this VM is leaving.  */
void members_leave (struct members *m, int64_t now_ms);
/** Announces that this VM has left, in messages to up to 8 live members.  */
void members_left (struct members *m, int64_t now_ms, GArray *out);
/** Reports that the VM list no longer shows VM.  VM is declared dead if it is
    in another region and if, for more than VM_LIST_LAG_MS (the delay of the
    list), no message came from it and its status did not change.  */
void members_vm_unlisted (struct members *m, const char *vm, int64_t now_ms);
/** Sets the revisions sent with this VM's messages.  */
void members_set_revisions (struct members *m,
                            const struct gossip_revisions *revisions);

/* Reads of the member list; they change nothing.  */

/** Increases whenever a member is added or changes its status or incarnation,
    and so with every change of the set of usable members.  */
uint64_t members_version (const struct members *m);
/** All members, dead ones included, as struct member *; the first is this
    VM.  */
const GPtrArray *members_all (const struct members *m);
/** The member named VM, or NULL if there is none.  */
const struct member *members_find (const struct members *m, const char *vm);
/** Number of live members, this VM included.  */
unsigned members_count_live (const struct members *m);
/** Whether requests may be sent to MEMBER: alive or suspect, not leaving.  */
bool member_usable (const struct member *member);
/** Whether MEMBER is alive, leaving or suspect.  */
bool member_live (const struct member *member);
/** Name of STATUS; "?" for a value that is not in enum member_status.  */
const char *member_status_name (uint64_t status);
/** How often a member was reported live after this VM had it as dead, without
    a restart in between.  */
uint64_t members_false_removals (const struct members *m);
/** Whether VM is live and one of the bridges of its failure domain.  */
bool members_is_bridge (const struct members *m, const char *vm);

#endif
