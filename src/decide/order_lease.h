/** @file
    Lease on the right to send orders, so that one VM at a time sends orders to
    engines that do not check fencing tokens.  The VMs share only a key-value
    service with conditional writes.

    One key names the holder of the lease.  Right before it sends orders, the
    holder renews the lease: it rewrites the key by a conditional write, and
    sends only within ORDER_LEASE_SEND_WITHIN_MS of starting that write.  Once
    another VM has written the key, the renewals of the previous holder fail
    and it sends no more orders.

    A VM that has acquired the key sends nothing for twice the minimum time
    between orders of two holders.  After that, no order of the previous holder
    can still be in flight.  The fencing token of a holder is the revision
    at which it acquired the key.  It is higher than every earlier one, even if
    the key was removed in between.

    A VM acquires a key that names a holder only after the key has not changed
    for the takeover time, so that VMs that disagree on which of them leads do
    not take the key from each other in turn.

    A lease whose takeover time is short is kept renewed
    (order_lease_keep_renewed), so that a live holder is not taken over, and
    the VMs that may follow observe the key (order_lease_observe).  The wait of
    a new holder before it sends is then the lease time and
    ORDER_LEASE_SEND_WITHIN_MS, from the time at which it first read the key as
    it is when it acquires it.  The previous holder's last renewal was started
    before that read, as each write of the key requires the revision that was
    read, and its last orders were sent at most ORDER_LEASE_SEND_WITHIN_MS
    after that start.  The lease time must then exceed the time for which an
    order may be in flight.

    If such a holder's renewal fails, or its outcome is unknown, it reads the
    key.  If that renewal or the one before was the last write of the key, it
    holds the lease as before: a write of another VM would have made its own
    fail.  This does not hold once the key-value service was restored from a
    copy, which may have lost another VM's writes: see
    order_lease_store_restored.  A VM that held the lease at the restore
    acquires it again without waiting for the takeover time, and so before
    others, as it knows what it has sent; its wait before it sends is the same.

    All times are of a clock that also advances while the machine is suspended.
    The module does no I/O: it takes events and the time, and returns the
    action to take.  */
#ifndef DECIDE_ORDER_LEASE_H
#define DECIDE_ORDER_LEASE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Takeover time of orders to engines, which keep their roles meanwhile: how
    long the key must not change before another VM acquires it.  */
#define ORDER_LEASE_TAKEOVER_MS 10000
/** How long after the start of a renewal the holder may still send orders.  */
#define ORDER_LEASE_SEND_WITHIN_MS 400

/** How much longer the VM at the second place waits than the first, which is
    alive but may be cut off from the key-value service.  */
#define ORDER_LEASE_REPLACE_MS 1500

/** Action that the calling code must take.  */
enum order_lease_action
{
  ORDER_LEASE_NOTHING,
  ORDER_LEASE_READ,  /**< read the key, then call order_lease_read_done */
  ORDER_LEASE_WRITE, /**< write order_lease_value if the key is still at
                          order_lease_revision, then call
                          order_lease_write_done */
  ORDER_LEASE_SEND /**< send the orders now, with order_lease_fencing_token as
                        fencing token; each renewal permits one such batch */
};

/** Outcome of a write.  */
enum order_lease_write_outcome
{
  ORDER_LEASE_WRITE_OK,
  ORDER_LEASE_WRITE_CONFLICT, /**< another VM has written the key */
  ORDER_LEASE_WRITE_NOT_DONE, /**< the write was not applied */
  ORDER_LEASE_WRITE_RESTORED, /**< the key-value service was restored from a
                                   copy since the last read or write */
  ORDER_LEASE_WRITE_UNKNOWN   /**< it may have been applied, or may be later */
};

struct order_lease;

/** Creates the lease state of VM, which does not hold the lease yet.  LEASE_MS
    is the minimum time between the orders of two holders and must be more than
    ORDER_LEASE_SEND_WITHIN_MS.  TAKEOVER_MS: how long the key must not change
    before another VM acquires it.  */
struct order_lease *order_lease_create (const char *vm, int64_t lease_ms,
                                        int64_t takeover_ms);

/** Has the holder renew the lease every RENEW_MS, which must be well below the
    takeover time, also without orders.  To be called before any event.  */
void order_lease_keep_renewed (struct order_lease *l, int64_t renew_ms);

/** Sets the minimum time between the orders of two holders.  A wait that has
    already begun keeps its length.  */
void order_lease_set_duration (struct order_lease *l, int64_t lease_ms);

/** Releases L, which may be NULL.  */
void order_lease_destroy (struct order_lease *l);

/** Returns the action to take now.  IS_LEADER: this VM should hold the lease;
    HAS_ORDERS: it has orders to send.  To be called after each event and
    periodically.  */
enum order_lease_action order_lease_next (struct order_lease *l,
                                          bool is_leader, bool has_orders,
                                          int64_t now_ms);

/** Returns ORDER_LEASE_READ if a VM that does not lead, but may be the next to
    do so, is to read the key now.  */
enum order_lease_action order_lease_observe (struct order_lease *l,
                                             int64_t now_ms);

/** Returns ORDER_LEASE_WRITE if this VM holds the lease and can release it
    now: the value then names no holder, so that another VM can acquire the key
    at once.  */
enum order_lease_action order_lease_release (struct order_lease *l,
                                             int64_t now_ms);

/** Whether the VM that should hold the lease if the first one does not is to
    do so: it already does, or nobody has renewed the lease for
    ORDER_LEASE_REPLACE_MS more than the takeover time, or acquired it for that
    time if the key names no holder.  */
bool order_lease_may_replace (const struct order_lease *l, int64_t now_ms);

/** Reports that the key-value service was restored from a copy, before the end
    of a read or of a successful write that follows.  */
void order_lease_store_restored (struct order_lease *l, int64_t now_ms);

/** Whether this VM holds the lease and already held it when the key-value
    service was last restored: less than the takeover time after the start of
    its last renewal, so that no other VM can have acquired the lease before
    the restore.  Another may have held it since.  */
bool order_lease_is_resumed (const struct order_lease *l);

/** Reports the end of the read of ORDER_LEASE_READ.  OK: the read succeeded,
    and the key has VALUE at REVISION, or NULL and 0 if it does not
    exist.  */
void order_lease_read_done (struct order_lease *l, bool ok, int64_t revision,
                            GBytes *value, int64_t now_ms);

/** Reports the end of the write of ORDER_LEASE_WRITE.  REVISION is the
    revision of the key after ORDER_LEASE_WRITE_OK and ignored otherwise.  */
void order_lease_write_done (struct order_lease *l,
                             enum order_lease_write_outcome outcome,
                             int64_t revision, int64_t now_ms);

/** Value to write to the key.  The calling code releases it.  */
GBytes *order_lease_value (const struct order_lease *l);
/** Revision that the key must have for the write to be applied; 0 if the key
    must not exist.  */
int64_t order_lease_revision (const struct order_lease *l);

/** Fencing token of this VM's orders: the revision at which it last acquired
    the key, 0 if it never did.  */
uint64_t order_lease_fencing_token (const struct order_lease *l);

/** Whether this VM holds the lease, as far as it knows.  Another VM may have
    acquired it since the last renewal.  */
bool order_lease_is_held (const struct order_lease *l);

/** Whether a renewal of the lease at NOW_MS permits sending.  */
bool order_lease_may_send (const struct order_lease *l, int64_t now_ms);

/** Time until which orders may be sent after ORDER_LEASE_SEND.  */
int64_t order_lease_send_until_ms (const struct order_lease *l);

#endif
