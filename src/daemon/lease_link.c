#include "daemon/lease_link.h"

#include "base/clock.h"
#include "decide/order_lease.h"
#include "decide/rank.h"

/* Settle times for which a VM must rank second before it acquires the lease in
   place of the first: if it came to that place because the holder is gone, the
   VM that now ranks first acquires the lease earlier.  */
#define SECOND_SETTLE_TIMES 3

struct lease_link
{
  struct lease_link_parts parts;
  struct order_lease *lease;
  struct event *timer;
  unsigned place;         /* of this VM in the ranking; 0: it ranks first */
  int64_t place_since_ms; /* since when */
  uint64_t restores;      /* of the key-value service, as last seen */
  int64_t send_until_ms;  /* until when calls may be started */
  int64_t yield_until_ms; /* no candidate before this time */
  bool leaving;
  bool release; /* the lease is to be released */
};

static void lease_step (struct lease_link *l);

/* Returns whether the key-value service was restored since the last call.  */
static bool
was_restored (struct lease_link *l)
{
  bool restored = l->restores != l->parts.kv->restores;
  l->restores = l->parts.kv->restores;
  return restored;
}

/* Reports that the lease was acquired or lost, or that a write failed.  */
static void
report_change (struct lease_link *l, bool held_before, int64_t revision,
               enum kv_status status)
{
  bool holds_now = order_lease_is_held (l->lease);
  if (!held_before || !holds_now)
    l->parts.ops->changed (l->parts.arg, holds_now, revision, status);
}

static void
on_read (void *arg, enum kv_status status, const struct kv_value *values,
         size_t n)
{
  struct lease_link *l = arg;
  int64_t now = clock_boot_ms ();
  if (was_restored (l))
    order_lease_store_restored (l->lease, now);
  order_lease_read_done (l->lease, status == KV_OK,
                         n > 0 ? values[0].revision : 0,
                         n > 0 ? values[0].value : NULL, now);
  if (order_lease_is_held (l->lease))
    report_change (l, false, n > 0 ? values[0].revision : 0, status);
  lease_step (l);
}

static void
on_written (void *arg, enum kv_status status, int64_t revision)
{
  static const enum order_lease_write_outcome outcomes[]
      = { [KV_OK] = ORDER_LEASE_WRITE_OK,
          [KV_CONFLICT] = ORDER_LEASE_WRITE_CONFLICT,
          [KV_NOT_DONE] = ORDER_LEASE_WRITE_NOT_DONE,
          [KV_UNKNOWN] = ORDER_LEASE_WRITE_UNKNOWN };
  struct lease_link *l = arg;
  bool held_before = order_lease_is_held (l->lease);
  int64_t now = clock_boot_ms ();
  enum order_lease_write_outcome outcome = outcomes[status];
  if (was_restored (l))
    {
      if (status == KV_OK)
        order_lease_store_restored (l->lease, now);
      else
        outcome = ORDER_LEASE_WRITE_RESTORED;
    }
  order_lease_write_done (l->lease, outcome, revision, now);
  report_change (l, held_before, revision, status);
  lease_step (l);
}

static void
kv_put_clear (void *value)
{
  struct kv_put *put = value;
  g_bytes_unref (put->value);
}

/* Writes the key, and with a renewal that may permit sending the user's
   records.  */
static void
write_key (struct lease_link *l, int64_t now_ms)
{
  g_autoptr (GArray) puts = g_array_new (FALSE, FALSE, sizeof (struct kv_put));
  struct kv_put lease = { l->parts.key, order_lease_value (l->lease) };
  g_array_set_clear_func (puts, kv_put_clear);
  if (!l->release && l->parts.ops->add_records
      && order_lease_may_send (l->lease, now_ms))
    l->parts.ops->add_records (l->parts.arg, puts, now_ms);
  /* The key comes last: a store that numbers each value of a transaction
     returns the revision of the last one.  */
  g_array_append_val (puts, lease);
  kv_txn (l->parts.kv, l->parts.key, order_lease_revision (l->lease),
          (const struct kv_put *)puts->data, puts->len, on_written, l);
}

static unsigned
own_place (const struct lease_link *l)
{
  const struct member *self
      = g_ptr_array_index (members_all (l->parts.members), 0);
  return rank_order_place (l->parts.members, self->info.region, self->info.id);
}

/* Returns how long this VM has been at PLACE of the ranking.  */
static int64_t
note_place (struct lease_link *l, unsigned place)
{
  int64_t now = clock_ms ();
  if (place != l->place)
    l->place_since_ms = now;
  l->place = place;
  return now - l->place_since_ms;
}

/* Whether this VM, which is at PLACE, is to hold the lease at NOW_MS.  */
static bool
should_be_holder (struct lease_link *l, unsigned place, int64_t now_ms)
{
  int64_t place_ms = note_place (l, place);
  if (l->leaving || now_ms < l->yield_until_ms)
    return false;
  if (place == 0)
    return place_ms >= l->parts.settle_ms;
  return place == 1 && l->parts.second_replaces
         && place_ms >= l->parts.settle_ms * SECOND_SETTLE_TIMES
         && order_lease_may_replace (l->lease, now_ms);
}

/* Returns what to do now.  The user may yield the lease in has_orders.  */
static enum order_lease_action
next_action (struct lease_link *l, int64_t now_ms)
{
  if (!l->leaving && !order_lease_is_held (l->lease))
    l->release = false;
  unsigned place = own_place (l);
  bool candidate = should_be_holder (l, place, now_ms);
  bool orders = candidate && order_lease_is_held (l->lease)
                && l->parts.ops->has_orders (l->parts.arg);
  if (l->release)
    return order_lease_release (l->lease, now_ms);
  enum order_lease_action action
      = order_lease_next (l->lease, candidate, orders, now_ms);
  if (action == ORDER_LEASE_NOTHING && !l->leaving
      && place < l->parts.observers)
    action = order_lease_observe (l->lease, now_ms);
  return action;
}

static void
lease_step (struct lease_link *l)
{
  int64_t now = clock_boot_ms ();
  switch (next_action (l, now))
    {
    case ORDER_LEASE_READ:
      kv_get (l->parts.kv, l->parts.key, false, on_read, l);
      break;
    case ORDER_LEASE_WRITE:
      write_key (l, now);
      l->release = false;
      break;
    case ORDER_LEASE_SEND:
      l->send_until_ms = order_lease_send_until_ms (l->lease);
      l->parts.ops->send (l->parts.arg, lease_link_fence (l), now);
      break;
    default:
      break;
    }
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  lease_step (arg);
}

struct lease_link *
lease_link_create (const struct lease_link_parts *parts)
{
  struct timeval tick = { 0, parts->tick_ms * 1000 };
  struct lease_link *l = g_new0 (struct lease_link, 1);
  l->parts = *parts;
  l->place = G_MAXUINT;
  l->lease
      = order_lease_create (parts->vm, parts->lease_ms, parts->takeover_ms);
  order_lease_keep_renewed (l->lease, parts->renew_ms);
  l->timer = event_new (parts->base, -1, EV_PERSIST, on_tick, l);
  event_add (l->timer, &tick);
  return l;
}

void
lease_link_destroy (struct lease_link *l)
{
  if (l == NULL)
    return;
  event_free (l->timer);
  order_lease_destroy (l->lease);
  g_free (l);
}

void
lease_link_set_lease (struct lease_link *l, int64_t lease_ms)
{
  order_lease_set_duration (l->lease, lease_ms);
}

void
lease_link_leave (struct lease_link *l, bool release)
{
  l->leaving = true;
  l->release = release;
}

void
lease_link_yield (struct lease_link *l, int64_t for_ms)
{
  l->yield_until_ms = clock_boot_ms () + for_ms;
  l->release = order_lease_is_held (l->lease);
}

uint64_t
lease_link_fence (const struct lease_link *l)
{
  return order_lease_fencing_token (l->lease);
}

bool
lease_link_may_start (const struct lease_link *l, uint64_t fence,
                      int64_t now_ms)
{
  return fence == lease_link_fence (l) && now_ms <= l->send_until_ms;
}

bool
lease_link_is_resumed (const struct lease_link *l)
{
  return order_lease_is_resumed (l->lease);
}
