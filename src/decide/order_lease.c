#include "decide/order_lease.h"

#include <string.h>

/* Pause after a failed read or write of the key.  */
#define IO_RETRY_MS 1000
#define VM_MAX_BYTES 64
/* How many lease times a new holder waits before it sends: the first is the
   required minimum between the orders of two holders, the second covers an
   order of the previous holder that was still in flight.  */
#define SEND_DELAY_LEASES 2

/* States of this VM with regard to the lease.  */
enum state
{
  STATE_IDLE,      /* the value of the key is not known */
  STATE_READING,   /* a read is in flight */
  STATE_OBSERVING, /* the key was read; this VM waits to acquire it */
  STATE_ACQUIRING, /* the write that acquires the key is in flight */
  STATE_HOLDING,   /* this VM holds the lease */
  STATE_RENEWING   /* the write that renews the lease is in flight */
};

struct order_lease
{
  char *vm;
  int64_t lease_ms;
  enum state state;
  int64_t revision; /* of the key, as last read or written; -1: unknown */
  char *holder;     /* named by the key, NULL for none */
  uint64_t fencing_token;
  uint64_t write_count;
  int64_t
      unchanged_since_ms; /* since when the key has not been seen to change */
  int64_t write_started_ms;   /* when the last write was started */
  int64_t send_not_before_ms; /* no orders are sent before this time */
  int64_t io_not_before_ms; /* no read or write of the key before this time */
  bool renewed;             /* the lease was renewed and nothing sent since */
};

struct order_lease *
order_lease_create (const char *vm, int64_t lease_ms)
{
  struct order_lease *a = g_new0 (struct order_lease, 1);
  a->vm = g_strdup (vm);
  a->lease_ms = lease_ms;
  a->revision = -1;
  return a;
}

void
order_lease_set_duration (struct order_lease *a, int64_t lease_ms)
{
  a->lease_ms = lease_ms;
}

void
order_lease_destroy (struct order_lease *a)
{
  if (a == NULL)
    return;
  g_free (a->vm);
  g_free (a->holder);
  g_free (a);
}

/* Choice of the next action.  */

static enum order_lease_action
start_read (struct order_lease *a, int64_t now_ms)
{
  if (now_ms < a->io_not_before_ms)
    return ORDER_LEASE_NOTHING;
  a->state = STATE_READING;
  return ORDER_LEASE_READ;
}

static enum order_lease_action
start_write (struct order_lease *a, enum state state, int64_t now_ms)
{
  if (now_ms < a->io_not_before_ms)
    return ORDER_LEASE_NOTHING;
  a->state = state;
  a->write_started_ms = now_ms;
  a->write_count++;
  return ORDER_LEASE_WRITE;
}

/* Consumes the renewal.  Returns whether orders may be sent on it: only within
   ORDER_LEASE_SEND_WITHIN_MS of the start of its write, while no new holder
   can have begun to send.  */
static bool
use_renewal (struct order_lease *a, int64_t now_ms)
{
  bool fresh = a->renewed
               && now_ms - a->write_started_ms <= ORDER_LEASE_SEND_WITHIN_MS;
  a->renewed = false;
  return fresh;
}

enum order_lease_action
order_lease_next (struct order_lease *a, bool is_leader, bool has_orders,
                  int64_t now_ms)
{
  switch (a->state)
    {
    case STATE_IDLE:
      return is_leader ? start_read (a, now_ms) : ORDER_LEASE_NOTHING;
    case STATE_OBSERVING:
      if (!is_leader
          || now_ms - a->unchanged_since_ms < ORDER_LEASE_TAKEOVER_MS)
        return ORDER_LEASE_NOTHING;
      return start_write (a, STATE_ACQUIRING, now_ms);
    case STATE_HOLDING:
      if (use_renewal (a, now_ms))
        return ORDER_LEASE_SEND;
      if (!is_leader || !has_orders || now_ms < a->send_not_before_ms)
        return ORDER_LEASE_NOTHING;
      return start_write (a, STATE_RENEWING, now_ms);
    default:
      return ORDER_LEASE_NOTHING;
    }
}

/* Value of the key: "VM COUNT".  COUNT makes each write of a VM differ from
   its previous one.  */

static void
read_page (struct order_lease *a, GBytes *page)
{
  gsize size = 0;
  const char *data = page ? g_bytes_get_data (page, &size) : NULL;
  g_autofree char *text = g_strndup (data ? data : "", size);
  g_auto (GStrv) words = g_strsplit (text, " ", 3);
  g_clear_pointer (&a->holder, g_free);
  if (g_strv_length (words) < 2)
    return;
  a->holder = g_strndup (words[0], VM_MAX_BYTES);
}

GBytes *
order_lease_value (const struct order_lease *a)
{
  char *text
      = g_strdup_printf ("%s %" G_GUINT64_FORMAT, a->vm, a->write_count);
  return g_bytes_new_take (text, strlen (text));
}

int64_t
order_lease_revision (const struct order_lease *a)
{
  return MAX (a->revision, 0);
}

/* Ends of reads and writes.  */

void
order_lease_read_done (struct order_lease *a, bool ok, int64_t revision,
                       GBytes *page, int64_t now_ms)
{
  a->state = STATE_IDLE;
  if (!ok)
    {
      a->io_not_before_ms = now_ms + IO_RETRY_MS;
      return;
    }
  if (revision != a->revision)
    a->unchanged_since_ms = now_ms;
  a->revision = revision;
  read_page (a, page);
  a->state = STATE_OBSERVING;
  /* Without a holder the key may be acquired at once.  Sending is delayed all
     the same: the key may have been removed while a VM held the lease.  */
  if (a->holder == NULL)
    a->unchanged_since_ms = now_ms - ORDER_LEASE_TAKEOVER_MS;
}

static void
become_holder (struct order_lease *a, int64_t now_ms)
{
  g_free (a->holder);
  a->holder = g_strdup (a->vm);
  a->fencing_token = (uint64_t)a->revision;
  a->send_not_before_ms = now_ms + SEND_DELAY_LEASES * a->lease_ms;
  a->renewed = false;
}

void
order_lease_write_done (struct order_lease *a,
                        enum order_lease_write_outcome outcome,
                        int64_t revision, int64_t now_ms)
{
  enum state state = a->state;
  switch (outcome)
    {
    case ORDER_LEASE_WRITE_OK:
      a->revision = revision;
      a->state = STATE_HOLDING;
      if (state == STATE_ACQUIRING)
        become_holder (a, now_ms);
      else
        a->renewed = true;
      return;
    case ORDER_LEASE_WRITE_NOT_DONE:
      a->io_not_before_ms = now_ms + IO_RETRY_MS;
      a->state = state == STATE_RENEWING ? STATE_HOLDING : STATE_IDLE;
      return;
    default:
      /* Another VM has written the key, or this write may still be applied.
         The lease counts as lost, and the next read as a change of the
         key.  */
      a->state = STATE_IDLE;
      a->revision = -1;
      a->io_not_before_ms = now_ms + IO_RETRY_MS;
    }
}

uint64_t
order_lease_fencing_token (const struct order_lease *a)
{
  return a->fencing_token;
}

bool
order_lease_is_held (const struct order_lease *a)
{
  return a->state == STATE_HOLDING || a->state == STATE_RENEWING;
}
