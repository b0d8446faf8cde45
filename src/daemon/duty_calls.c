#include "daemon/duty_calls.h"

#include "base/clock.h"
#include "base/metrics.h"

#include <string.h>

/* Pause after the platform refused a call as it is busy or over its rate.  */
#define BUSY_PAUSE_MS 500
/* Span over which calls are counted for the rate limit: one second, and the
   most by which the transit times of two calls may differ.  */
#define RATE_SPAN_MS 1100

/* An attempt to connect that fails after this time or later got no answer.  */
#define UNREACHED_MIN_MS 300

struct duty_calls
{
  struct duty_calls_parts parts;
  GHashTable *open;     /* set of struct duty_call in progress */
  GArray *starts;       /* int64_t: when the latest calls were started; ring of
                           calls_per_s */
  guint next_start;     /* oldest element of the ring */
  int64_t unreached_ms; /* start of the first call since the platform was last
                           reached; 0 for none */
  int64_t not_before_ms; /* no calls before this time: the platform is busy */
};

/* A call in progress.  */
struct duty_call
{
  struct duty_calls *calls;
  struct pool_call *call; /* NULL if the call was not started */
  struct event *timer;
  unsigned status;
  int64_t started_ms; /* 0 if the call was not started */
  bool unreached;     /* no connection was established */
  void (*cb) (void *arg, unsigned status);
  void *arg;
};

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
  struct duty_calls *l = c->calls;
  unsigned status = c->status;
  void (*cb) (void *, unsigned) = c->cb;
  void *arg = c->arg;
  if (c->started_ms != 0 && !c->unreached)
    l->unreached_ms = 0;
  if (status / 100 != 2)
    metrics_add (METRIC_duty_calls_failed_total, 1);
  if (status == 429 || status == 503)
    l->not_before_ms = clock_boot_ms () + BUSY_PAUSE_MS;
  g_hash_table_remove (l->open, c);
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
  /* A refused connection ends earlier, and counts as reached.  */
  c->unreached = end == POOL_NOT_SENT
                 && clock_boot_ms () - c->started_ms >= UNREACHED_MIN_MS;
  call_end (c);
}

static void
on_call_timeout (evutil_socket_t fd, short what, void *arg)
{
  struct duty_call *c = arg;
  (void)fd;
  (void)what;
  c->status = DUTY_NOT_SENT;
  /* A call that could not be started has reached nobody either.  */
  c->unreached = c->call == NULL || !pool_call_bytes_sent (c->call);
  call_end (c);
}

static const struct pool_callbacks call_callbacks
    = { on_call_head, on_call_data, on_call_end };

/* Whether the rate allows a call at NOW_MS; if so, it is counted.  */
static bool
take_call (struct duty_calls *l, int64_t now_ms)
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
  struct duty_calls *l = c->calls;
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
duty_calls_post (struct duty_calls *l, struct http_head *head,
                 const char *body, uint64_t fence, bool in_time,
                 void (*cb) (void *arg, unsigned status), void *arg)
{
  static const struct timeval timeout
      = { DUTY_TIMEOUT_MS / 1000, DUTY_TIMEOUT_MS % 1000 * 1000 };
  static const struct timeval at_once = { 0, 0 };
  struct duty_call *c = g_new0 (struct duty_call, 1);
  c->calls = l;
  c->cb = cb;
  c->arg = arg;
  c->timer = evtimer_new (l->parts.base, on_call_timeout, c);
  g_hash_table_add (l->open, c);
  int64_t now = clock_boot_ms ();
  if (in_time && take_call (l, now))
    {
      c->call = start_call (c, head, body, fence);
      c->started_ms = now;
      if (l->unreached_ms == 0)
        l->unreached_ms = now;
    }
  metrics_add (METRIC_duty_calls_total, c->call != NULL);
  evtimer_add (c->timer, c->call ? &timeout : &at_once);
  http_head_destroy (head);
}

bool
duty_calls_must_wait (const struct duty_calls *l, int64_t now_ms)
{
  return now_ms < l->not_before_ms;
}

int64_t
duty_calls_unreached_ms (const struct duty_calls *l, int64_t now_ms)
{
  return l->unreached_ms == 0 ? 0 : now_ms - l->unreached_ms;
}

void
duty_calls_forget_unreached (struct duty_calls *l)
{
  l->unreached_ms = 0;
}

struct duty_calls *
duty_calls_create (const struct duty_calls_parts *parts)
{
  struct duty_calls *l = g_new0 (struct duty_calls, 1);
  l->parts = *parts;
  l->open = g_hash_table_new_full (NULL, NULL, call_free, NULL);
  l->starts = g_array_new (FALSE, TRUE, sizeof (int64_t));
  g_array_set_size (l->starts, MAX (parts->calls_per_s, 1));
  return l;
}

void
duty_calls_destroy (struct duty_calls *l)
{
  if (l == NULL)
    return;
  g_hash_table_destroy (l->open);
  g_array_unref (l->starts);
  g_free (l);
}
