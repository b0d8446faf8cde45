/** @file
    Rendezvous (highest random weight) hashing: VMs with the same member table
    make the same choice without communication.

    No I/O.  */
#ifndef DECIDE_RANK_H
#define DECIDE_RANK_H

#include "decide/members.h"

/** Weight of NODE for ITEM; the node with the highest weight is chosen.  */
uint64_t rank_weight (const char *item, const char *node);

/** Home VM of ENGINE in REGION: the usable member of that region with the
    highest weight, or of the whole fleet if the region has none.  NULL if
    there are no usable members.  */
const struct member *rank_engine_home (const struct members *m,
                                       const char *engine, const char *region);

/** Home VM of UPSTREAM in FAILURE_DOMAIN: the usable member of that domain
    with the highest weight, or of the whole fleet if the domain has none.
    NULL if there are no usable members.  */
const struct member *rank_upstream_home (const struct members *m,
                                         const char *upstream,
                                         const char *failure_domain);

/** VM that writes journal slot SLOT: among the VMs that rank_domain_first
    selects, one for each failure domain, the one with the highest weight.
    NULL if there are no usable members.  */
const struct member *rank_journal_writer (const struct members *m,
                                          unsigned slot);

/** Usable member of FAILURE_DOMAIN with the highest weight for the domain's
    name, or NULL.  */
const struct member *rank_domain_first (const struct members *m,
                                        const char *failure_domain);

/** VM that should send orders to the engines of REGION, or NULL if there are
    no usable members.  */
const struct member *rank_order_holder (const struct members *m,
                                        const char *region);

/** Place of VM among the usable members of REGION in the ranking of
    rank_order_holder, whose place is 0; G_MAXUINT if VM is not usable.  */
unsigned rank_order_place (const struct members *m, const char *region,
                           const char *vm);

/** Usable member of REGION at PLACE of that ranking, or NULL.  */
const struct member *rank_order_at (const struct members *m,
                                    const char *region, unsigned place);

/** Number of failure domains with a usable member.  */
unsigned rank_domain_count (const struct members *m);

/** Journal slot of the idempotency key KEY, from 0 to SLOTS - 1.  */
unsigned rank_journal_slot (const char *key, unsigned slots);

#endif
