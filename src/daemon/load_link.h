/** @file
    Loads on upstreams, as VMs tell each other.

    In a small fleet each VM tells every other.  In a larger one it tells the
    first VM of its failure domain; these exchange the sums of their domains
   and tell their own VMs the sum of all.  */
#ifndef DAEMON_LOAD_LINK_H
#define DAEMON_LOAD_LINK_H

#include "decide/members.h"
#include "decide/upstreams.h"
#include "generated/messages.h"

struct load_link;

/** What a link works with; all of it outlives the link.  */
struct load_link_parts
{
  struct upstreams *upstreams;
  const struct members *members;
  const char *vm;
  const char *failure_domain;
  /** Sends MESSAGE to the member TO.  */
  void (*send) (void *arg, const struct member *to,
                const struct upstream_shares *message);
  void *arg;
};

/** Makes a link.  */
struct load_link *load_link_create (const struct load_link_parts *parts);

/** Releases L.  */
void load_link_destroy (struct load_link *l);

/** Tells what is to be told now.  */
void load_link_tell (struct load_link *l, int64_t now_ms);

/** A message came.  */
void load_link_take (struct load_link *l,
                     const struct upstream_shares *message, int64_t now_ms);

#endif
