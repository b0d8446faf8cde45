/** @file
    Lease on the right to send orders, so that one VM at a time sends orders to
    engines that do not check fencing tokens.  The VMs share only a key-value
    service with conditional writes.

    One key names the holder of the lease.  Right before it sends orders, the
    holder renews the lease: it rewrites the key by a conditional write, and
    sends only within AUTHORITY_SEND_WITHIN_MS of starting that write.  Once
    another VM has written the key, the renewals of the previous holder fail
    and it sends no more orders.

    A VM that has acquired the key sends nothing for twice the minimum time
    between orders of two holders.  After that, no order of the previous holder
    can still be in flight.  The fencing token of a holder is the revision at
    which it acquired the key.  It is higher than every earlier one, even if
    the key was removed in between.

    A VM acquires a key that names a holder only after the key has not changed
    for AUTHORITY_TAKEOVER_MS, so that VMs that disagree on which of them leads
    do not take the key from each other in turn.  Waiting is safe: engines keep
    their roles meanwhile.

    All times are of a clock that also advances while the machine is suspended.
    The module does no I/O: it takes events and the time, and returns the
    action to take.  */
#ifndef DECIDE_AUTHORITY_H
#define DECIDE_AUTHORITY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** How long the key must not change before another VM acquires it.  */
#define AUTHORITY_TAKEOVER_MS 10000
/** How long after the start of a renewal the holder may still send orders.  */
#define AUTHORITY_SEND_WITHIN_MS 400

/** Action that the calling code must take.  */
enum authority_action
{
  AUTHORITY_NOTHING,
  AUTHORITY_READ,  /**< read the key, then call authority_read_done */
  AUTHORITY_WRITE, /**< write authority_page if the key is still at
                        authority_revision, then call authority_write_done */
  AUTHORITY_SEND   /**< send the orders now, with authority_fencing as fencing
                        token; each renewal permits one such batch */
};

/** Outcome of a write.  */
enum authority_write
{
  AUTHORITY_WRITE_OK,
  AUTHORITY_WRITE_CONFLICT, /**< another VM has written the key */
  AUTHORITY_WRITE_REFUSED,  /**< the write was not applied */
  AUTHORITY_WRITE_LOST      /**< it may have been applied, or may be later */
};

struct authority;

/** Creates the lease state of VM, which does not hold the lease yet.  LEASE_MS
    is the minimum time between the orders of two holders and must be more than
    AUTHORITY_SEND_WITHIN_MS.  */
struct authority *authority_create (const char *vm, int64_t lease_ms);

/** Sets the minimum time between the orders of two holders.  A wait that has
    already begun keeps its length.  */
void authority_set_lease (struct authority *a, int64_t lease_ms);

/** Releases A.  */
void authority_destroy (struct authority *a);

/** Returns the action to take now.  IS_LEADER: this VM should hold the lease;
    HAS_ORDERS: it has orders to send.  To be called after each event and
    periodically.  */
enum authority_action authority_next (struct authority *a, bool is_leader,
                                      bool has_orders, int64_t now_ms);

/** Reports the end of the read of AUTHORITY_READ.  OK: the read succeeded, and
    the key has the value PAGE at REVISION, or NULL and 0 if it does not
    exist.  */
void authority_read_done (struct authority *a, bool ok, int64_t revision,
                          GBytes *page, int64_t now_ms);

/** Reports the end of the write of AUTHORITY_WRITE.  REVISION is the revision
    of the key after AUTHORITY_WRITE_OK and ignored otherwise.  */
void authority_write_done (struct authority *a, enum authority_write outcome,
                           int64_t revision, int64_t now_ms);

/** Value to write to the key.  To be released by the caller.  */
GBytes *authority_page (const struct authority *a);
/** Revision that the key must have for the write to be applied; 0 if the key
    must not exist.  */
int64_t authority_revision (const struct authority *a);

/** Fencing token of this VM's orders: the revision at which it last acquired
    the key, 0 if it never did.  */
uint64_t authority_fencing (const struct authority *a);

/** Whether this VM holds the lease, as far as it knows.  Another VM may have
    taken it since the last renewal.  */
bool authority_holds (const struct authority *a);

#endif
