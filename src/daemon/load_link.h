/** @file
    Load reports between VMs: the load that each VM puts on upstreams.

    In a fleet of up to 12 running VMs each VM reports to every other.  In a
    larger fleet the highest-ranked usable VM of each failure domain is the
    domain's aggregator.  The other VMs report to the aggregator of their
    domain.  Aggregators exchange the sums of their domains and report the sum
    of all VMs to the VMs of their domain.  */
#ifndef DAEMON_LOAD_LINK_H
#define DAEMON_LOAD_LINK_H

#include "decide/members.h"
#include "decide/upstreams.h"
#include "generated/messages.h"

struct load_link;

/** Dependencies of the load reports.  All pointers must stay valid until
    load_link_destroy.  */
struct load_link_parts
{
  struct upstreams *upstreams;
  const struct members *members;
  const char *vm;             /**< id of this VM */
  const char *failure_domain; /**< failure domain of this VM */
  /** Sends MESSAGE to the member TO.  */
  void (*send) (void *arg, const struct member *to,
                const struct upstream_shares *message);
  void *arg;
};

/** Creates the load reports of this VM; sends nothing yet.  */
struct load_link *load_link_create (const struct load_link_parts *parts);

/** Frees L.  */
void load_link_destroy (struct load_link *l);

/** Sends this VM's load reports; to be called periodically, well within the
    1500 ms for which receivers use a report.  */
void load_link_send_reports (struct load_link *l, int64_t now_ms);

/** Handles a load report from another VM.  */
void load_link_handle_report (struct load_link *l,
                              const struct upstream_shares *message,
                              int64_t now_ms);

#endif
