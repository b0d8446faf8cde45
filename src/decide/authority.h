/** @file
    Who may give orders to engines that check no fencing numbers, where VMs
    have nothing in common but a key-value service with conditional writes.

    One key names the holder.  Right before each order the holder writes it
   again by a conditional write, and sends only within SEND_WITHIN_MS of having
   asked for that; so whoever else writes it ends the orders of the one before.
   A successor sends nothing for twice the time that must lie between orders of
   two holders, after it has taken the key: by then no order of its predecessor
   can be on its way.  Its fencing number is the
    revision at which it took the key, so that it is higher than any before,
   even where the key was removed.  A key that another VM holds is taken only
   once it has stood still for TAKEOVER_MS, so that VMs that disagree on who
   leads do not take it in turns.  Waiting is safe: engines keep their roles.

    Times are of a clock that goes on while the machine is suspended.  Pure:
    takes events and the time, returns what to do.  */
#ifndef DECIDE_AUTHORITY_H
#define DECIDE_AUTHORITY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** How long the key must stand still before another VM takes it.  */
#define AUTHORITY_TAKEOVER_MS 10000
/** How long after it asked for a confirmation a holder may still send.  */
#define AUTHORITY_SEND_WITHIN_MS 400

/** What the caller must do.  */
enum authority_action
{
  AUTHORITY_NOTHING,
  AUTHORITY_READ,  /**< read the key, then authority_read_done */
  AUTHORITY_WRITE, /**< write authority_page if the key is at
                        authority_revision, then authority_write_done */
  AUTHORITY_SEND   /**< send orders at once, under authority_fencing; once */
};

/** How a write ended.  */
enum authority_write
{
  AUTHORITY_WRITE_OK,
  AUTHORITY_WRITE_CONFLICT, /**< another VM wrote */
  AUTHORITY_WRITE_REFUSED,  /**< it was not done */
  AUTHORITY_WRITE_LOST      /**< it may have been done, or may be yet */
};

struct authority;

/** Makes the view of VM, which holds nothing.  LEASE_MS must lie between the
    orders of two holders; it is more than AUTHORITY_SEND_WITHIN_MS.  */
struct authority *authority_create (const char *vm, int64_t lease_ms);

/** Changes the time that must lie between the orders of two holders.  A quiet
    that has begun lasts as long as it was to.  */
void authority_set_lease (struct authority *a, int64_t lease_ms);

/** Releases A.  */
void authority_destroy (struct authority *a);

/** What to do now.  LEAD: this VM is to be the holder; HAS_ORDERS: it has some
    to send.  Call it after each event and from time to time.  */
enum authority_action authority_next (struct authority *a, bool lead,
                                      bool has_orders, int64_t now_ms);

/** The key was read: PAGE at REVISION, NULL and 0 where there is none.  */
void authority_read_done (struct authority *a, bool ok, int64_t revision,
                          GBytes *page, int64_t now_ms);

/** The write ended; the key is at REVISION where it was done.  */
void authority_write_done (struct authority *a, enum authority_write how,
                           int64_t revision, int64_t now_ms);

/** Page to write, and the revision that it replaces.  */
GBytes *authority_page (const struct authority *a);
int64_t authority_revision (const struct authority *a);

/** Fencing number of the orders that may be sent.  */
uint64_t authority_fencing (const struct authority *a);

/** Whether this VM is the holder, as far as it knows.  */
bool authority_holds (const struct authority *a);

#endif
