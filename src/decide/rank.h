/** @file
    Rendezvous hashing: every VM computes the same choice from the same view.

    Pure.  */
#ifndef DECIDE_RANK_H
#define DECIDE_RANK_H

#include "decide/members.h"

/** Rank of CHOICE for ITEM; the highest rank wins.  */
uint64_t rank_pair (const char *item, const char *choice);

/** Home VM of ENGINE in REGION: the usable member of that region that ranks
    highest, or of the whole fleet where the region has none.  NULL without
    usable members.  */
const struct member *rank_engine_home (const struct members *m,
                                       const char *engine, const char *region);

/** Home VM of UPSTREAM, which is in FAILURE_DOMAIN: the usable member there
    that ranks highest, or of the whole fleet where the domain has none.  NULL
    without usable members.  */
const struct member *rank_upstream_home (const struct members *m,
                                         const char *upstream,
                                         const char *failure_domain);

/** VM that writes journal slot SLOT: each failure domain's first VM may write,
    and the highest ranking one of them does.  */
const struct member *rank_journal_writer (const struct members *m,
                                          unsigned slot);

/** The usable member of FAILURE_DOMAIN that ranks highest, or NULL.  */
const struct member *rank_domain_first (const struct members *m,
                                        const char *failure_domain);

/** VM that gives orders to the engines of REGION.  */
const struct member *rank_order_holder (const struct members *m,
                                        const char *region);

/** Number of failure domains with a usable member.  */
unsigned rank_domain_count (const struct members *m);

/** Slot of an idempotency key, below SLOTS.  */
unsigned rank_slot (const char *key, unsigned slots);

#endif
