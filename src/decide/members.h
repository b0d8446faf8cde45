/** @file
    Membership: which VMs are there, by probing with suspicion (SWIM).

    A VM probes members of its own region.  The first few VMs of each failure
    domain, the bridges, also probe the bridges of other regions, so that news
    passes between regions over few links.  Only members of its own region
    declare a VM dead: a cut between regions removes nobody.  Each message
    carries a digest of its sender's region; where views of it differ for long,
    one side asks the other for the whole of it.

    Pure: takes messages and the time, returns messages.  */
#ifndef DECIDE_MEMBERS_H
#define DECIDE_MEMBERS_H

#include "generated/messages.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** State of a member, in the order in which a later one replaces an earlier
    one of the same incarnation.  */
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
  GOSSIP_ACK,
  GOSSIP_PING_REQ, /**< probe TARGET for me */
  GOSSIP_JOIN,     /**< tell me all members; with the target "region", those of
                        your region */
  GOSSIP_SYNC,     /**< part of all members */
  GOSSIP_REGION    /**< all members of the sender's region whose ids come after
                        AFTER and up to TARGET; others are no longer there */
};

/** What is known of one member.  */
struct member
{
  struct member_update info;
  bool leaving;       /**< announced it, in this incarnation */
  int64_t changed_ms; /**< when its status changed */
  uint64_t revision;  /**< of the configuration, as it last said itself */
  int64_t heard_ms;   /**< when it last spoke to this VM; 0 for never */
};

/** A message to send.  */
struct gossip_out
{
  char *ip;
  uint16_t port;
  struct gossip message;
};

struct members;

/** First incarnation of a process that starts at WALL_MS; above those of any
    earlier start.  */
uint64_t member_first_incarnation (int64_t wall_ms);

/** Whether two incarnations are of one start of a VM.  */
bool member_same_start (uint64_t a, uint64_t b);

/** Names one start of a VM, "VM:INCARNATION".  To be freed.  */
char *member_process_name (const char *vm, uint64_t incarnation);

/** Splits such a name; VM is to be freed.  False when malformed.  */
bool member_process_split (const char *name, char **vm, uint64_t *incarnation);

/** Makes a view that holds SELF alone, with SELF's incarnation from
    member_first_incarnation.  */
struct members *members_create (const struct member_update *self,
                                uint64_t seed, int64_t now_ms);

/** Releases M.  */
void members_destroy (struct members *m);

/** Makes the list for messages to send.  */
GArray *gossip_out_create (void);

/* Events.  */

/** Time passes; call at least every 100 ms.  */
void members_tick (struct members *m, int64_t now_ms, GArray *out);
/** A message came from IP:PORT.  */
void members_receive (struct members *m, int64_t now_ms,
                      const struct gossip *message, const char *ip,
                      uint16_t port, GArray *out);
/** Ask IP:PORT for the members.  */
void members_join (struct members *m, const char *ip, uint16_t port,
                   GArray *out);
/** Announce that this VM is leaving.  */
void members_leave (struct members *m, int64_t now_ms);
/** Announce that this VM has left; messages to all that should know first. */
void members_left (struct members *m, int64_t now_ms, GArray *out);
/** The VM list no longer shows VM: remove it if nothing else has been heard of
    it for longer than the list's lag.  */
void members_hint_gone (struct members *m, const char *vm, int64_t now_ms);
/** The configuration's revision that this VM has in force, and that of the
    latest change of upstreams that it knows, 0 where they have none.  */
void members_set_revision (struct members *m, uint64_t revision,
                           uint64_t upstreams_revision);

/* The view.  */

/** Counts up whenever the set of usable members changes.  */
uint64_t members_version (const struct members *m);
/** All members, each struct member *; the first is this VM.  */
const GPtrArray *members_all (const struct members *m);
/** The member named VM, or NULL.  */
const struct member *members_find (const struct members *m, const char *vm);
/** Members that run, this VM included.  */
unsigned members_count_live (const struct members *m);
/** Whether requests may go to MEMBER: alive or suspect, not leaving.  */
bool member_usable (const struct member *member);
/** Whether MEMBER runs: usable or leaving.  */
bool member_live (const struct member *member);
/** Name of a status.  */
const char *member_status_name (uint64_t status);
/** Members this VM has removed although they later spoke again.  */
uint64_t members_false_removals (const struct members *m);
/** Whether this VM is one of the bridges of its failure domain.  */
bool members_is_bridge (const struct members *m, const char *vm);

#endif
