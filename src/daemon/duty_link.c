#include "daemon/duty_link.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "daemon/duty_calls.h"
#include "daemon/lease_link.h"

/* Key of the lease of all duties.  */
#define DUTIES_KEY "buckthornstand/duties"
#define TICK_MS 100
/* A live holder renews the lease three times in the takeover time, so that one
   failed write does not end its tenure.  */
#define TAKEOVER_MS 2500
#define RENEW_MS 800
/* A successor may act this long after the membership shows that the holder is
   gone.  */
#define SETTLE_MS 1000
/* VMs that observe the lease, so that two holders may be lost at once without
   a longer gap.  */
#define OBSERVERS 3
/* A holder whose calls get no connection for UNREACHED_MS may be cut off from
   the platform: it lets another VM try, and is no candidate for YIELD_MS.  */
#define UNREACHED_MS 3000
#define YIELD_MS 6000
/* Pause before a record that could not be read is read again.  */
#define LOAD_RETRY_MS 300

struct duty
{
  const struct duty_ops *ops;
  void *arg;
  GBytes *record; /* as read after the lease was acquired */
  bool prepared;  /* takes part in the renewal in flight */
};

struct duty_link
{
  struct duty_link_parts parts;
  struct lease_link *lease; /* NULL without duties or address */
  GArray *duties;           /* struct duty */
  struct duty_calls *calls;
  uint64_t restores;    /* of the store, when the lease was acquired */
  uint64_t tenure;      /* raised when the lease is acquired or lost */
  uint64_t load_tenure; /* tenure for which a record is being read */
  guint loaded;         /* records read in this tenure */
  int64_t load_at_ms;   /* no record is read before this time */
  bool loading;         /* a read of a record is in flight */
  bool held;            /* this VM holds the lease */
  bool was_begun; /* the duties were begun when the lease was last lost */
  bool begun;     /* the duties were begun */
};

void
duty_link_post (struct duty_link *l, struct http_head *head, const char *body,
                uint64_t fence, void (*cb) (void *arg, unsigned status),
                void *arg)
{
  bool in_time
      = l->held && lease_link_may_start (l->lease, fence, clock_boot_ms ());
  duty_calls_post (l->calls, head, body, fence, in_time, cb, arg);
}

/* Duties.  */

static struct duty *
duty_at (const struct duty_link *l, guint i)
{
  return &g_array_index (l->duties, struct duty, i);
}

static void
begin_duties (struct duty_link *l)
{
  int64_t now = clock_boot_ms ();
  l->begun = true;
  for (guint i = 0; i < l->duties->len; i++)
    {
      struct duty *d = duty_at (l, i);
      d->prepared = false;
      d->ops->begin (d->arg, d->record, now);
      g_clear_pointer (&d->record, g_bytes_unref);
    }
}

static void
end_duties (struct duty_link *l)
{
  bool begun = l->begun;
  l->begun = false;
  for (guint i = 0; begun && i < l->duties->len; i++)
    {
      struct duty *d = duty_at (l, i);
      d->ops->end (d->arg);
    }
}

static void
on_record (void *arg, enum kv_status status, const struct kv_value *values,
           size_t n)
{
  struct duty_link *l = arg;
  l->loading = false;
  if (l->load_tenure != l->tenure)
    return;
  /* After a restore the record says nothing about what was written before this
     VM acquired the lease, which it loses with its next renewal.  */
  if (status != KV_OK || l->restores != l->parts.kv->restores)
    {
      l->load_at_ms = clock_boot_ms () + LOAD_RETRY_MS;
      return;
    }
  struct duty *d = duty_at (l, l->loaded);
  g_clear_pointer (&d->record, g_bytes_unref);
  d->record = n > 0 ? g_bytes_ref (values[0].value) : NULL;
  l->loaded++;
}

/* Reads the next duty's record, or begins the duties once all are read.  */
static void
load_step (struct duty_link *l)
{
  if (l->loading || clock_boot_ms () < l->load_at_ms)
    return;
  if (l->loaded == l->duties->len)
    {
      begin_duties (l);
      return;
    }
  l->loading = true;
  l->load_tenure = l->tenure;
  kv_get (l->parts.kv, duty_at (l, l->loaded)->ops->record_key, false,
          on_record, l);
}

/* Yields the lease if the platform does not respond.  */
static void
yield_if_unreached (struct duty_link *l, int64_t now)
{
  if (!l->held || duty_calls_unreached_ms (l->calls, now) < UNREACHED_MS)
    return;
  log_event (LOG_WARN, "duties_yielded", "unreached_ms",
             log_num (duty_calls_unreached_ms (l->calls, now)), NULL);
  duty_calls_forget_unreached (l->calls);
  lease_link_yield (l->lease, YIELD_MS);
}

/* Functions of struct lease_link_ops.  */

static bool
has_due (void *arg)
{
  struct duty_link *l = arg;
  int64_t now = clock_boot_ms ();
  if (l->held && !l->begun)
    load_step (l);
  yield_if_unreached (l, now);
  if (!l->begun || duty_calls_must_wait (l->calls, now))
    return false;
  for (guint i = 0; i < l->duties->len; i++)
    if (duty_at (l, i)->ops->is_due (duty_at (l, i)->arg, now))
      return true;
  return false;
}

static void
add_records (void *arg, GArray *puts, int64_t now_ms)
{
  struct duty_link *l = arg;
  bool may_send = l->begun && !duty_calls_must_wait (l->calls, now_ms);
  for (guint i = 0; i < l->duties->len; i++)
    {
      struct duty *d = duty_at (l, i);
      d->prepared = may_send && d->ops->is_due (d->arg, now_ms);
      GBytes *record = d->prepared ? d->ops->prepare (d->arg, now_ms) : NULL;
      struct kv_put put = { d->ops->record_key, record };
      if (record)
        g_array_append_val (puts, put);
    }
}

static void
send_duties (void *arg, uint64_t fence, int64_t now_ms)
{
  struct duty_link *l = arg;
  for (guint i = 0; i < l->duties->len; i++)
    {
      struct duty *d = duty_at (l, i);
      if (l->begun && d->prepared)
        d->ops->send (d->arg, fence, now_ms);
      d->prepared = false;
    }
}

static void
on_lease_changed (void *arg, bool held, int64_t revision,
                  enum kv_status status)
{
  struct duty_link *l = arg;
  if (held != l->held)
    log_event (LOG_INFO, held ? "duties_taken" : "duties_lost", "fencing",
               log_num ((long long)lease_link_fence (l->lease)), "revision",
               log_num (revision), "status", log_num (status), NULL);
  if (l->held)
    l->was_begun = l->begun;
  end_duties (l);
  l->held = held;
  duty_calls_forget_unreached (l->calls);
  metrics_set (METRIC_duty_holder, held);
  l->restores = l->parts.kv->restores;
  l->tenure++;
  l->loaded = 0;
  l->load_at_ms = 0;
}

static const struct lease_link_ops lease_ops
    = { has_due, add_records, send_duties, on_lease_changed };

/* Creation and destruction.  */

static void
duty_clear (void *value)
{
  struct duty *d = value;
  g_clear_pointer (&d->record, g_bytes_unref);
}

static void
start_lease (struct duty_link *l)
{
  struct lease_link_parts lease
      = { .base = l->parts.base,
          .kv = l->parts.kv,
          .members = l->parts.members,
          .vm = l->parts.vm,
          .key = DUTIES_KEY,
          .ops = &lease_ops,
          .arg = l,
          .lease_ms = MAX (l->parts.lease_ms, DUTY_LEASE_MIN_MS),
          .takeover_ms = TAKEOVER_MS,
          .renew_ms = RENEW_MS,
          .settle_ms = SETTLE_MS,
          .second_replaces = true,
          .observers = OBSERVERS,
          .tick_ms = TICK_MS };
  l->lease = lease_link_create (&lease);
}

struct duty_link *
duty_link_create (const struct duty_link_parts *parts)
{
  struct duty_link *l = g_new0 (struct duty_link, 1);
  l->parts = *parts;
  l->duties = g_array_new (FALSE, FALSE, sizeof (struct duty));
  g_array_set_clear_func (l->duties, duty_clear);
  struct duty_calls_parts calls = { .base = parts->base,
                                    .platform = parts->platform,
                                    .pool = parts->pool,
                                    .vm = parts->vm,
                                    .address = parts->address,
                                    .calls_per_s = parts->calls_per_s };
  l->calls = duty_calls_create (&calls);
  return l;
}

void
duty_link_destroy (struct duty_link *l)
{
  if (l == NULL)
    return;
  lease_link_destroy (l->lease);
  duty_calls_destroy (l->calls);
  g_array_unref (l->duties);
  g_free (l);
}

void
duty_link_add (struct duty_link *l, const struct duty_ops *ops, void *arg)
{
  struct duty d = { .ops = ops, .arg = arg };
  g_array_append_val (l->duties, d);
  if (l->lease == NULL && duty_link_is_enabled (l))
    start_lease (l);
}

void
duty_link_leave (struct duty_link *l)
{
  if (l->lease)
    lease_link_leave (l->lease, true);
}

void
duty_link_set_lease (struct duty_link *l, int64_t lease_ms)
{
  l->parts.lease_ms = lease_ms;
  if (l->lease)
    lease_link_set_lease (l->lease, MAX (lease_ms, DUTY_LEASE_MIN_MS));
}

bool
duty_link_is_enabled (const struct duty_link *l)
{
  return l->parts.address[0] != '\0';
}

bool
duty_link_is_resumed (const struct duty_link *l)
{
  return l->lease && l->was_begun && lease_link_is_resumed (l->lease);
}
