#include "daemon/duty_link.h"

#include "base/clock.h"
#include "base/log.h"
#include "daemon/lease_link.h"

#include <string.h>

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
/* Pause after the platform refused a call as it is busy or over its rate.  */
#define BUSY_PAUSE_MS 500
/* Pause before a record that could not be read is read again.  */
#define LOAD_RETRY_MS 300
/* The rate limit counts the calls of this time: a second, and what two calls
   may differ in the time that they take to arrive.  */
#define RATE_SPAN_MS 1100

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
  GHashTable *calls;        /* set of struct duty_call in progress */
  GArray *starts;       /* int64_t: when the latest calls were started; ring of
                           calls_per_s */
  guint next_start;     /* oldest element of the ring */
  uint64_t restores;    /* of the store, when the lease was acquired */
  uint64_t tenure;      /* raised when the lease is acquired or lost */
  uint64_t load_tenure; /* tenure for which a record is being read */
  guint loaded;         /* records read in this tenure */
  int64_t load_at_ms;   /* no record is read before this time */
  bool loading;         /* a read of a record is in flight */
  bool held;            /* this VM holds the lease */
  bool was_begun; /* the duties were begun when the lease was last lost */
  bool begun;     /* the duties were begun */
  int64_t not_before_ms; /* no calls before this time: the platform is busy */
};

/* A call in progress.  */
struct duty_call
{
  struct duty_link *link;
  struct pool_call *call; /* NULL if the call was not started */
  struct event *timer;
  unsigned status;
  void (*cb) (void *arg, unsigned status);
  void *arg;
};

/* Calls.  */

static void
call_free (void *value)
{
  struct duty_call *c = value;
  if (c->call)
    pool_cancel (c->call);
  event_free (c->timer);
  g_free (c);
}

static void
call_end (struct duty_call *c)
{
  struct duty_link *l = c->link;
  unsigned status = c->status;
  void (*cb) (void *, unsigned) = c->cb;
  void *arg = c->arg;
  if (status == 429 || status == 503)
    l->not_before_ms = clock_boot_ms () + BUSY_PAUSE_MS;
  g_hash_table_remove (l->calls, c);
  cb (arg, status);
}

static void
on_call_head (void *arg, struct http_head *head, enum http_framing framing,
              uint64_t length)
{
  struct duty_call *c = arg;
  (void)framing;
  (void)length;
  c->status = head->status;
}

static void
on_call_data (void *arg, struct evbuffer *data)
{
  (void)arg;
  evbuffer_drain (data, evbuffer_get_length (data));
}

static void
on_call_end (void *arg, enum pool_outcome end)
{
  struct duty_call *c = arg;
  c->call = NULL;
  if (end != POOL_COMPLETE)
    c->status = DUTY_NOT_SENT;
  call_end (c);
}

static void
on_call_timeout (evutil_socket_t fd, short what, void *arg)
{
  struct duty_call *c = arg;
  (void)fd;
  (void)what;
  c->status = DUTY_NOT_SENT;
  call_end (c);
}

static const struct pool_callbacks call_callbacks
    = { on_call_head, on_call_data, on_call_end };

/* Whether the rate allows a call at NOW_MS; if so, it is counted.  */
static bool
take_call (struct duty_link *l, int64_t now_ms)
{
  int64_t *oldest = &g_array_index (l->starts, int64_t, l->next_start);
  if (*oldest != 0 && now_ms - *oldest < RATE_SPAN_MS)
    return false;
  *oldest = now_ms;
  l->next_start = (l->next_start + 1) % l->starts->len;
  return true;
}

static struct pool_call *
start_call (struct duty_call *c, struct http_head *head, const char *body,
            uint64_t fence)
{
  struct duty_link *l = c->link;
  size_t size = strlen (body);
  g_autofree char *length = g_strdup_printf ("%zu", size);
  g_free (head->method);
  head->method = g_strdup ("POST");
  http_head_set (head, "Host", l->parts.address);
  http_head_set (head, "Content-Type", "application/json");
  http_head_set (head, "Content-Length", length);
  l->parts.platform->set_duty_fields (head, l->parts.vm, fence);
  struct evbuffer *data = evbuffer_new ();
  evbuffer_add (data, body, size);
  struct pool_request r = { .upstream = l->parts.address,
                            .address = l->parts.address,
                            .connections = G_MAXUINT16,
                            .head = head,
                            .body = data,
                            .new_connection = true };
  struct pool_call *call = pool_send (l->parts.pool, &r, &call_callbacks, c);
  evbuffer_free (data);
  return call;
}

void
duty_link_post (struct duty_link *l, struct http_head *head, const char *body,
                uint64_t fence, void (*cb) (void *arg, unsigned status),
                void *arg)
{
  static const struct timeval timeout
      = { DUTY_TIMEOUT_MS / 1000, DUTY_TIMEOUT_MS % 1000 * 1000 };
  static const struct timeval at_once = { 0, 0 };
  struct duty_call *c = g_new0 (struct duty_call, 1);
  int64_t now = clock_boot_ms ();
  c->link = l;
  c->cb = cb;
  c->arg = arg;
  c->timer = evtimer_new (l->parts.base, on_call_timeout, c);
  g_hash_table_add (l->calls, c);
  if (l->held && lease_link_may_start (l->lease, fence, now)
      && take_call (l, now))
    c->call = start_call (c, head, body, fence);
  evtimer_add (c->timer, c->call ? &timeout : &at_once);
  http_head_destroy (head);
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

/* Functions of struct lease_link_ops.  */

static bool
has_due (void *arg)
{
  struct duty_link *l = arg;
  int64_t now = clock_boot_ms ();
  if (l->held && !l->begun)
    load_step (l);
  if (!l->begun || now < l->not_before_ms)
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
  bool may_send = l->begun && now_ms >= l->not_before_ms;
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
  l->calls = g_hash_table_new_full (NULL, NULL, call_free, NULL);
  l->starts = g_array_new (FALSE, TRUE, sizeof (int64_t));
  g_array_set_size (l->starts, MAX (parts->calls_per_s, 1));
  return l;
}

void
duty_link_destroy (struct duty_link *l)
{
  if (l == NULL)
    return;
  lease_link_destroy (l->lease);
  g_hash_table_destroy (l->calls);
  g_array_unref (l->starts);
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
