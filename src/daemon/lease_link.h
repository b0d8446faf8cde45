/** @file
    Runs a lease (decide/order_lease) over a key of the key-value service, for
    the VM that ranks first in the fleet: reads and writes the key, and calls
    the user when the lease was acquired or lost and when it may send.  */
#ifndef DAEMON_LEASE_LINK_H
#define DAEMON_LEASE_LINK_H

#include "decide/members.h"
#include "links/kv.h"

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The user of a lease.  NOW_MS is of clock_boot_ms.  */
struct lease_link_ops
{
  /** Whether there is something to send.  Called while this VM holds the lease
      and should hold it.  */
  bool (*has_orders) (void *arg);
  /** Appends the records that the next renewal writes to PUTS, whose values
      the link releases.  Called before a renewal that may permit sending.  May
      be NULL.  */
  void (*add_records) (void *arg, GArray *puts, int64_t now_ms);
  /** The lease was renewed: send now, with the token FENCE.  */
  void (*send) (void *arg, uint64_t fence, int64_t now_ms);
  /** The lease was acquired (HELD) or lost, or a write of the key failed.
      REVISION and STATUS are those of the write.  */
  void (*changed) (void *arg, bool held, int64_t revision,
                   enum kv_status status);
};

/** Dependencies and parameters of a link.  */
struct lease_link_parts
{
  struct event_base *base;
  struct kv *kv;
  const struct members *members;
  const char *vm;  /**< id of this VM */
  const char *key; /**< key of the lease */
  const struct lease_link_ops *ops;
  void *arg;        /**< first argument of the functions of OPS */
  int64_t lease_ms; /**< least time between orders of two holders */
  int64_t takeover_ms;
  int64_t renew_ms;     /**< interval of renewals without orders; 0 for none */
  int64_t settle_ms;    /**< how long a VM must rank first before it tries to
                             acquire the lease, so that the VMs' views of the
                             membership agree by then */
  bool second_replaces; /**< the VM that ranks second acquires the lease if the
                             first does not (order_lease_may_replace) */
  unsigned observers;   /**< how many VMs, those that rank next, observe the
                             key */
  unsigned tick_ms;
};

struct lease_link;

/** Creates a link and starts its timer.  */
struct lease_link *lease_link_create (const struct lease_link_parts *parts);

/** Releases L, which may be NULL.  */
void lease_link_destroy (struct lease_link *l);

/** Changes the least time between orders of two holders, in ms.  */
void lease_link_set_lease (struct lease_link *l, int64_t lease_ms);

/** Ends the candidacy of this VM.  With RELEASE, it also releases the lease if
    it holds it, by a write that names no holder.  */
void lease_link_leave (struct lease_link *l, bool release);

/** Releases the lease if this VM holds it, and ends its candidacy for FOR_MS,
    so that another VM acquires the lease.  */
void lease_link_yield (struct lease_link *l, int64_t for_ms);

/** Fencing token of this VM, 0 if it never held the lease.  */
uint64_t lease_link_fence (const struct lease_link *l);

/** See order_lease_is_resumed.  */
bool lease_link_is_resumed (const struct lease_link *l);

/** Whether FENCE is the token of this VM, and calls with it may be started at
    NOW_MS, on the last renewal.  */
bool lease_link_may_start (const struct lease_link *l, uint64_t fence,
                           int64_t now_ms);

#endif
