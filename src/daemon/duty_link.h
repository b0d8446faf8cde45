/** @file
    Duties: calls to the platform that one VM, the holder, makes on behalf of
    the fleet.  The holder is the VM that ranks first in the whole fleet and
    holds the lease of all duties (daemon/lease_link, decide/order_lease) under
    a key of its own.

    The platform does not check the fencing token, so that safety depends on
    the lease alone.  Possible faults, and why the calls are safe:

    - Another VM became the holder.  Each batch of calls follows a conditional
      write of the lease's key that began less than ORDER_LEASE_SEND_WITHIN_MS
      before.  That write fails once another VM has written the key.  The same
      transaction writes the duties' records, so that records of a VM that lost
      the lease are not written either.
    - A response to the renewal comes late, or the process was paused, also
      with its machine: the time of the renewal is that of its start, by a
      clock that runs on meanwhile (clock_boot_ms).  The duties are asked
      again.
    - A call is late.  It ends, with its connection, DUTY_TIMEOUT_MS after it
      was started, and bytes that the platform does not acknowledge are given
      up POOL_UNACKED_MS later.  A new holder starts calls no earlier than the
      lease time, at least DUTY_LEASE_MIN_MS, after its predecessor may have
      started the last one.
    - The first VM is cut off from the store or the platform, and the others
      are not.  The VM that ranks second acquires the lease if nobody renews it
      for some time longer, and keeps it until it no longer ranks second.  A
      holder whose calls get no connection releases the lease and lets another
      one try.
    - The store does not respond: the holder sends nothing.  If it is unknown
      whether a renewal was applied, the holder reads the key: if it still
      names the holder, no other VM has acquired it.
    - The store was restored from a copy: revisions after it are higher than
      all before, so that the fencing token rises.  The holder loses the lease,
      and whoever acquires it waits as above.  Records may be of an older
      state; each duty has to allow for that (see kv.era).
    - A successor reads the records after it has acquired the lease, when no
      other VM can write them, and calls begin after it has read all.  */
#ifndef DAEMON_DUTY_LINK_H
#define DAEMON_DUTY_LINK_H

#include "base/http_head.h"
#include "daemon/duty_calls.h"
#include "decide/members.h"
#include "links/kv.h"
#include "links/platform.h"
#include "links/pool.h"

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One duty of the holder.  */
struct duty_ops
{
  const char *record_key; /**< key of the duty's record in the store */
  /** This VM became the holder; RECORD is the value under record_key, NULL if
      there is none.  NOW_MS, here and below, is of clock_boot_ms.  */
  void (*begin) (void *arg, GBytes *record, int64_t now_ms);
  /** Whether there is something to send at NOW_MS.  */
  bool (*is_due) (void *arg, int64_t now_ms);
  /** Returns the record to write with the renewal, NULL for none.  What it
      holds may then be sent.  The calling code releases it.  The write may
      fail, and may also be applied then: the next call has to return a record
      that replaces this one.  */
  GBytes *(*prepare) (void *arg, int64_t now_ms);
  /** The renewal succeeded: start the calls now, with FENCE.  */
  void (*send) (void *arg, uint64_t fence, int64_t now_ms);
  /** This VM is no longer the holder.  */
  void (*end) (void *arg);
};

/** Shortest lease time that is used: DUTY_TIMEOUT_MS, POOL_UNACKED_MS and the
    time that a datagram may take.  */
#define DUTY_LEASE_MIN_MS 2500

struct duty_link;

/** Dependencies of a link; all must outlive it.  */
struct duty_link_parts
{
  struct event_base *base;
  struct kv *kv;
  const struct platform_ops *platform;
  struct pool *pool;
  const struct members *members;
  const char *vm;       /**< id of this VM */
  const char *address;  /**< IP:PORT of the platform; empty: no duties */
  int64_t lease_ms;     /**< least time between calls of two holders */
  unsigned calls_per_s; /**< most calls in any second */
};

/** Creates a link.  Without an address or duties it does nothing.  */
struct duty_link *duty_link_create (const struct duty_link_parts *parts);

/** Releases L, which may be NULL, and cancels calls in flight, without their
    callbacks.  */
void duty_link_destroy (struct duty_link *l);

/** Adds a duty.  To be called before the event loop runs.  OPS and ARG must
    outlive L.  */
void duty_link_add (struct duty_link *l, const struct duty_ops *ops,
                    void *arg);

/** Ends the candidacy of this VM, because it leaves the fleet, and releases
    the lease if it holds it.  */
void duty_link_leave (struct duty_link *l);

/** Changes the least time between calls of two holders.  */
void duty_link_set_lease (struct duty_link *l, int64_t lease_ms);

/** Whether this VM, the holder, already was when the store was last restored,
    so that no other VM can have sent what the store has lost.  A VM that
    became the holder since then has written its record in the new era.  */
bool duty_link_is_resumed (const struct duty_link *l);

/** Whether the platform's address is set.  */
bool duty_link_is_enabled (const struct duty_link *l);

/** Sends POST with BODY, JSON, to the platform.  HEAD has the target; the link
    adds the other fields and frees HEAD.  To be called from duty_ops.send
    only, with its fence.  CB gets the status later, from the event loop, 0 if
    there was no response.  After 429 and 503 no duty sends for a while.  */
void duty_link_post (struct duty_link *l, struct http_head *head,
                     const char *body, uint64_t fence,
                     void (*cb) (void *arg, unsigned status), void *arg);

#endif
