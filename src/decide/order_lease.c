#include "decide/order_lease.h"

#include <string.h>

/* Pause after a failed read or write of the key.  */
#define IO_RETRY_MS 1000
/* Pause before the read that finds out whether a renewal was applied.  */
#define RENEWAL_READ_MS 200
#define VM_MAX_BYTES 64
/* How many lease times a new holder waits before it sends: the first is the
   required minimum between the orders of two holders, the second covers an
   order of the previous holder that was still in flight.  */
#define SEND_DELAY_LEASES 2
/* Interval at which a VM that may become the next holder reads the key.  */
#define OBSERVE_INTERVAL_MS 1000

/* States of this VM with regard to the lease.  */
enum state
{
  STATE_IDLE,      /* the value of the key is not known */
  STATE_READING,   /* a read is in flight */
  STATE_OBSERVING, /* the key was read; this VM waits to acquire it */
  STATE_ACQUIRING, /* the write that acquires the key is in flight */
  STATE_HOLDING,   /* this VM holds the lease */
  STATE_RENEWING,  /* the write that renews the lease is in flight */
  STATE_RELEASING  /* the write that names no holder is in flight */
};

struct order_lease
{
  char *vm;
  int64_t lease_ms;
  int64_t takeover_ms;
  int64_t renew_ms; /* interval of renewals without orders; 0 for none */
  enum state state;
  int64_t revision;      /* of the key, as last read or written; -1: unknown */
  char *holder;          /* named by the key, NULL for none */
  uint64_t holder_count; /* in the key, if it names a holder */
  uint64_t renewed_count; /* in the last write that succeeded */
  uint64_t fencing_token;
  uint64_t write_count;
  int64_t unchanged_since_ms; /* when the key was last seen to change, or
                                 earlier without a holder */
  int64_t observed_ms;        /* when the key was first read as it is now */
  int64_t read_ms;            /* when the key was last read */
  int64_t write_started_ms;   /* when the last write was started */
  int64_t held_from_ms; /* start of the last write by which this VM acquired or
                           renewed the lease; 0 if another may hold it */
  int64_t send_not_before_ms; /* no orders are sent before this time */
  int64_t io_not_before_ms; /* no read or write of the key before this time */
  bool renewed;             /* the lease was renewed and nothing sent since */
  bool renewal_unknown; /* a renewal failed, and the key was not read since:
                           if it names this VM, no other acquired it */
  bool held_at_restore; /* the key-value service was restored while this VM
                           held the lease, and was not restored again */
  int64_t restored_ms;  /* when it was last seen to be restored */
  bool is_resumed;      /* the lease was acquired again after that */
};

struct order_lease *
order_lease_create (const char *vm, int64_t lease_ms, int64_t takeover_ms)
{
  struct order_lease *l = g_new0 (struct order_lease, 1);
  l->vm = g_strdup (vm);
  l->lease_ms = lease_ms;
  l->takeover_ms = takeover_ms;
  l->revision = -1;
  return l;
}

void
order_lease_keep_renewed (struct order_lease *l, int64_t renew_ms)
{
  l->renew_ms = renew_ms;
}

void
order_lease_set_duration (struct order_lease *l, int64_t lease_ms)
{
  l->lease_ms = lease_ms;
}

void
order_lease_destroy (struct order_lease *l)
{
  if (l == NULL)
    return;
  g_free (l->vm);
  g_free (l->holder);
  g_free (l);
}

/* Choice of the next action.  */

/* Whether this VM held the lease, which is kept renewed, when the key-value
   service was restored, a short time ago: it then acquires the key again at
   once.  */
static bool
held_recently (const struct order_lease *l, int64_t now_ms)
{
  return l->renew_ms > 0 && l->held_at_restore
         && now_ms - l->restored_ms < l->takeover_ms;
}

static enum order_lease_action
start_read (struct order_lease *l, int64_t now_ms)
{
  if (now_ms < l->io_not_before_ms)
    return ORDER_LEASE_NOTHING;
  l->state = STATE_READING;
  return ORDER_LEASE_READ;
}

static enum order_lease_action
start_write (struct order_lease *l, enum state state, int64_t now_ms)
{
  if (now_ms < l->io_not_before_ms)
    return ORDER_LEASE_NOTHING;
  l->state = state;
  l->write_started_ms = now_ms;
  l->write_count++;
  return ORDER_LEASE_WRITE;
}

/* Consumes the renewal.  Returns whether orders may be sent on it: only within
   ORDER_LEASE_SEND_WITHIN_MS of the start of its write, while no new holder
   can have begun to send.  */
static bool
use_renewal (struct order_lease *l, int64_t now_ms)
{
  bool fresh = l->renewed && l->write_started_ms >= l->send_not_before_ms
               && now_ms - l->write_started_ms <= ORDER_LEASE_SEND_WITHIN_MS;
  l->renewed = false;
  return fresh;
}

/* Whether the holder is to renew the lease at NOW_MS.  */
static bool
renewal_is_due (const struct order_lease *l, bool has_orders, int64_t now_ms)
{
  if (l->renew_ms > 0 && now_ms - l->write_started_ms >= l->renew_ms)
    return true;
  return has_orders && now_ms >= l->send_not_before_ms;
}

enum order_lease_action
order_lease_next (struct order_lease *l, bool is_leader, bool has_orders,
                  int64_t now_ms)
{
  switch (l->state)
    {
    case STATE_IDLE:
      return is_leader ? start_read (l, now_ms) : ORDER_LEASE_NOTHING;
    case STATE_OBSERVING:
      if (!is_leader
          || (now_ms - l->unchanged_since_ms < l->takeover_ms
              && !held_recently (l, now_ms)))
        return ORDER_LEASE_NOTHING;
      return start_write (l, STATE_ACQUIRING, now_ms);
    case STATE_HOLDING:
      if (use_renewal (l, now_ms))
        return ORDER_LEASE_SEND;
      if (!is_leader || !renewal_is_due (l, has_orders, now_ms))
        return ORDER_LEASE_NOTHING;
      return start_write (l, STATE_RENEWING, now_ms);
    default:
      return ORDER_LEASE_NOTHING;
    }
}

enum order_lease_action
order_lease_observe (struct order_lease *l, int64_t now_ms)
{
  if ((l->state != STATE_IDLE && l->state != STATE_OBSERVING)
      || now_ms - l->read_ms < OBSERVE_INTERVAL_MS)
    return ORDER_LEASE_NOTHING;
  return start_read (l, now_ms);
}

enum order_lease_action
order_lease_release (struct order_lease *l, int64_t now_ms)
{
  if (l->state != STATE_HOLDING)
    return ORDER_LEASE_NOTHING;
  l->renewed = false;
  return start_write (l, STATE_RELEASING, now_ms);
}

/* Value of the key: "VM COUNT".  COUNT makes each write of a VM differ from
   its previous one.  A released lease has no VM: " COUNT".  */

static void
read_page (struct order_lease *l, GBytes *value)
{
  gsize size = 0;
  const char *data = value ? g_bytes_get_data (value, &size) : NULL;
  g_autofree char *text = g_strndup (data ? data : "", size);
  g_auto (GStrv) words = g_strsplit (text, " ", 3);
  g_clear_pointer (&l->holder, g_free);
  if (g_strv_length (words) < 2 || words[0][0] == '\0')
    return;
  l->holder = g_strndup (words[0], VM_MAX_BYTES);
  l->holder_count = g_ascii_strtoull (words[1], NULL, 10);
}

GBytes *
order_lease_value (const struct order_lease *l)
{
  char *text = g_strdup_printf ("%s %" G_GUINT64_FORMAT,
                                l->state == STATE_RELEASING ? "" : l->vm,
                                l->write_count);
  return g_bytes_new_take (text, strlen (text));
}

int64_t
order_lease_revision (const struct order_lease *l)
{
  return MAX (l->revision, 0);
}

/* Results of reads and writes.  */

/* Whether the key, as read, is as this VM's last write that succeeded left it,
   or as the one after it, whose outcome is unknown.  An earlier write that is
   late may be applied if the service was restored in between.  */
static bool
is_own_write (const struct order_lease *l)
{
  return l->holder && strcmp (l->holder, l->vm) == 0
         && (l->holder_count == l->renewed_count
             || l->holder_count == l->write_count);
}

void
order_lease_read_done (struct order_lease *l, bool ok, int64_t revision,
                       GBytes *value, int64_t now_ms)
{
  l->state = STATE_IDLE;
  if (!ok)
    {
      l->io_not_before_ms = now_ms + IO_RETRY_MS;
      return;
    }
  if (revision != l->revision)
    l->unchanged_since_ms = l->observed_ms = now_ms;
  l->revision = revision;
  l->read_ms = now_ms;
  read_page (l, value);
  bool still_held = l->renewal_unknown && is_own_write (l);
  l->renewal_unknown = false;
  l->state = still_held ? STATE_HOLDING : STATE_OBSERVING;
  /* Without a holder the key may be acquired at once.  Sending is delayed all
     the same: the key may have been removed while a VM held the lease.  */
  if (l->holder == NULL)
    l->unchanged_since_ms = now_ms - l->takeover_ms;
}

void
order_lease_store_restored (struct order_lease *l, int64_t now_ms)
{
  l->held_at_restore
      = l->held_from_ms != 0 && now_ms - l->held_from_ms < l->takeover_ms;
  l->held_from_ms = 0;
  l->restored_ms = now_ms;
  l->renewal_unknown = false;
}

static void
become_holder (struct order_lease *l, int64_t now_ms)
{
  g_free (l->holder);
  l->holder = g_strdup (l->vm);
  l->fencing_token = (uint64_t)l->revision;
  l->send_not_before_ms
      = l->renew_ms > 0
            ? l->observed_ms + ORDER_LEASE_SEND_WITHIN_MS + l->lease_ms
            : now_ms + SEND_DELAY_LEASES * l->lease_ms;
  l->is_resumed = l->held_at_restore;
  l->held_at_restore = false;
  l->renewed = false;
}

/* Another VM has written the key, or the last write may still be applied.  The
   lease counts as lost, and the next read as a change of the key.  */
static void
lose_lease (struct order_lease *l, enum order_lease_write_outcome outcome,
            int64_t now_ms)
{
  if (outcome == ORDER_LEASE_WRITE_RESTORED)
    order_lease_store_restored (l, now_ms);
  if (outcome == ORDER_LEASE_WRITE_CONFLICT)
    l->held_from_ms = 0;
  l->renewal_unknown = outcome != ORDER_LEASE_WRITE_RESTORED
                       && l->state == STATE_RENEWING && l->renew_ms > 0;
  l->state = STATE_IDLE;
  l->revision = -1;
  l->io_not_before_ms
      = now_ms + (l->renewal_unknown ? RENEWAL_READ_MS : IO_RETRY_MS);
}

void
order_lease_write_done (struct order_lease *l,
                        enum order_lease_write_outcome outcome,
                        int64_t revision, int64_t now_ms)
{
  enum state state = l->state;
  if (state == STATE_RELEASING)
    {
      l->state = STATE_IDLE;
      l->revision = -1;
      l->held_from_ms = 0;
      return;
    }
  switch (outcome)
    {
    case ORDER_LEASE_WRITE_OK:
      l->revision = revision;
      l->state = STATE_HOLDING;
      l->held_from_ms = l->write_started_ms;
      l->renewed_count = l->write_count;
      if (state == STATE_ACQUIRING)
        become_holder (l, now_ms);
      else
        l->renewed = true;
      return;
    case ORDER_LEASE_WRITE_NOT_DONE:
      l->io_not_before_ms = now_ms + IO_RETRY_MS;
      l->state = state == STATE_RENEWING ? STATE_HOLDING : STATE_IDLE;
      return;
    default:
      lose_lease (l, outcome, now_ms);
    }
}

bool
order_lease_may_replace (const struct order_lease *l, int64_t now_ms)
{
  if (order_lease_is_held (l) || l->state == STATE_ACQUIRING
      || held_recently (l, now_ms))
    return true;
  int64_t wait_ms = (l->holder ? l->takeover_ms : 0) + ORDER_LEASE_REPLACE_MS;
  return l->state == STATE_OBSERVING && now_ms - l->observed_ms >= wait_ms;
}

bool
order_lease_is_resumed (const struct order_lease *l)
{
  return order_lease_is_held (l) && l->is_resumed;
}

bool
order_lease_may_send (const struct order_lease *l, int64_t now_ms)
{
  return order_lease_is_held (l) && now_ms >= l->send_not_before_ms;
}

int64_t
order_lease_send_until_ms (const struct order_lease *l)
{
  return l->write_started_ms + ORDER_LEASE_SEND_WITHIN_MS;
}

uint64_t
order_lease_fencing_token (const struct order_lease *l)
{
  return l->fencing_token;
}

bool
order_lease_is_held (const struct order_lease *l)
{
  return l->state == STATE_HOLDING || l->state == STATE_RENEWING;
}
