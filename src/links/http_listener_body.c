/** @file
    Memory of requests: a body is read as the budget (decide/memory_budget.h)
    grants bytes; what is not granted waits in the socket, whose buffer is
    bounded.  A head that takes much memory counts with the body.  */
#include "links/http_listener_conn.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"

#include <sys/socket.h>

/* An incomplete head up to this size counts as part of the connection, and so
   does a complete one that takes no more memory than the second.  */
#define HEAD_FREE_BYTES ((size_t)1024)
#define PARSED_HEAD_FREE_BYTES ((size_t)4 * 1024)
/* Least memory of a body without a length.  */
#define SMALL_STEP_BYTES ((size_t)1024)
/* A body without a length that exceeds MEMORY_SMALL_BODY_BYTES grows its
   memory by this factor.  */
#define GROWTH_FACTOR 4
/* Least bytes of a body that count as progress.  */
#define PROGRESS_BYTES 4096
/* Receive buffer of the kernel, which doubles it: for a connection, for one of
   a listener without a budget, and at most for one whose large body is read.
 */
#define RECEIVE_BUFFER_BYTES ((size_t)4 * 1024)
#define FREE_RECEIVE_BUFFER_BYTES ((size_t)32 * 1024)
#define LARGE_RECEIVE_BUFFER_BYTES ((size_t)128 * 1024)
/* Part of a body for which the kernel has a buffer, so that it keeps no more
   unread than the body's memory.  */
#define BUFFER_DIVISOR 2

static void
record_memory (const struct memory_budget *b)
{
  metrics_set (METRIC_bodies_reserved_bytes,
               (int64_t)memory_budget_bodies (b));
  metrics_set (METRIC_bodies_waiting, memory_budget_bodies_waiting (b));
}

/* Runs http_body_recheck from the event loop.  */
static void
schedule_recheck (struct http_listener *f)
{
  if (f->recheck_scheduled
      || memory_budget_bodies_waiting (f->limits.memory) == 0)
    return;
  f->recheck_scheduled = true;
  event_active (f->recheck, EV_TIMEOUT, 0);
}

void
http_body_note_head (struct http_listener_conn *c)
{
  size_t bytes = http_head_memory (http_codec_head (c->codec));
  c->head_bytes = bytes > PARSED_HEAD_FREE_BYTES ? bytes : 0;
}

static void
set_receive_buffer (evutil_socket_t fd, size_t bytes)
{
  int size = (int)bytes;
  (void)setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
}

void
http_body_bound_buffer (const struct http_listener *f, evutil_socket_t fd)
{
  set_receive_buffer (fd, f->limits.memory ? RECEIVE_BUFFER_BYTES
                                           : FREE_RECEIVE_BUFFER_BYTES);
}

/* Gives C, which has memory for a large body, a larger buffer of the kernel.
 */
static void
enlarge_buffer (struct http_listener_conn *c)
{
  size_t size = memory_body_reserved (c->memory) / BUFFER_DIVISOR;
  if (!memory_body_is_large (c->memory))
    return;
  set_receive_buffer (bufferevent_getfd (c->bev),
                      MIN (size, LARGE_RECEIVE_BUFFER_BYTES));
  c->has_large_buffer = true;
}

/* Gives C the buffer of a connection without memory for a large body.  */
static void
reset_buffer (struct http_listener_conn *c)
{
  if (c->has_large_buffer)
    http_body_bound_buffer (c->listener, bufferevent_getfd (c->bev));
  c->has_large_buffer = false;
}

void
http_body_end (struct http_listener_conn *c)
{
  evbuffer_drain (c->body, evbuffer_get_length (c->body));
  http_codec_next (c->codec, false);
  c->head_bytes = 0;
  reset_buffer (c);
  c->waits_for_memory = false;
  c->stall_ms = 0;
  if (c->memory == NULL)
    return;
  memory_body_release (c->memory);
  c->memory = NULL;
  record_memory (c->listener->limits.memory);
  schedule_recheck (c->listener);
}

/* Memory of the head and the body of the current request, as far as they are
   parsed.  */
static size_t
parsed_bytes (const struct http_listener_conn *c)
{
  return c->head_bytes + evbuffer_get_length (c->body);
}

/* The same with what is read and not parsed.  */
static size_t
read_bytes (const struct http_listener_conn *c)
{
  return parsed_bytes (c)
         + evbuffer_get_length (bufferevent_get_input (c->bev));
}

/* Bytes to reserve for the current request before its next read; 0 if it needs
   no more than it has.  */
static size_t
bytes_to_reserve (const struct http_listener_conn *c)
{
  size_t read = read_bytes (c);
  size_t reserved = c->memory ? memory_body_reserved (c->memory) : 0;
  uint64_t length = 0;
  if (http_codec_head (c->codec) == NULL)
    return read <= HEAD_FREE_BYTES || read <= reserved ? 0 : read;
  if (http_codec_framing (c->codec, &length) == HTTP_FRAMING_SIZED)
    {
      size_t whole = c->head_bytes + (size_t)length;
      return whole <= reserved ? 0 : whole;
    }
  if (read <= MEMORY_SMALL_BODY_BYTES)
    return read <= reserved ? 0 : MAX (read, SMALL_STEP_BYTES);
  if (read + HTTP_READ_BYTES <= reserved)
    return 0;
  size_t grown = MAX (reserved * GROWTH_FACTOR, read + HTTP_READ_BYTES);
  uint64_t limit = c->listener->limits.body_bytes;
  if (limit > 0)
    grown = MIN (grown, MAX (c->head_bytes + (size_t)limit, read));
  return grown <= reserved ? 0 : grown;
}

static void
refuse_for_memory (struct http_listener_conn *c, size_t size)
{
  metrics_add (METRIC_bodies_refused_total, 1);
  log_event (
      LOG_WARN, "body_refused", "bytes", log_num ((long long)size),
      "reserved_bytes",
      log_num ((long long)memory_budget_bodies (c->listener->limits.memory)),
      "waiting",
      log_num (memory_budget_bodies_waiting (c->listener->limits.memory)),
      NULL);
  http_conn_refuse (c, 503, "no memory for the request body");
}

static void
start_waiting (struct http_listener_conn *c)
{
  c->waits_for_memory = true;
  bufferevent_disable (c->bev, EV_READ);
  metrics_add (METRIC_bodies_paused_total, 1);
  http_listener_recheck_later (c->listener);
}

static void
create_memory (struct http_listener_conn *c)
{
  const struct http_listener_limits *limits = &c->listener->limits;
  if (c->memory == NULL)
    c->memory = memory_body_create (limits->memory,
                                    c->request_start_ms + limits->read_ms, c);
}

/* Reserves SIZE bytes for the request of C.  Returns false if it was
   refused.  */
static bool
reserve (struct http_listener_conn *c, size_t size)
{
  struct http_listener *f = c->listener;
  size_t read = MIN (read_bytes (c), size);
  create_memory (c);
  enum memory_grant grant = memory_body_grow (c->memory, size, read);
  record_memory (f->limits.memory);
  if (grant == MEMORY_REFUSED)
    {
      refuse_for_memory (c, size);
      return false;
    }
  if (grant == MEMORY_WAITS)
    start_waiting (c);
  else
    enlarge_buffer (c);
  return true;
}

bool
http_body_claim (struct http_listener_conn *c)
{
  if (c->listener->limits.memory == NULL || c->waits_for_memory)
    return true;
  size_t size = bytes_to_reserve (c);
  return size == 0 || reserve (c, size);
}

bool
http_body_complete (struct http_listener_conn *c)
{
  size_t size = parsed_bytes (c);
  reset_buffer (c);
  if (c->listener->limits.memory == NULL || (size == 0 && c->memory == NULL))
    return true;
  create_memory (c);
  bool has_memory = memory_body_take (c->memory, size);
  record_memory (c->listener->limits.memory);
  if (!has_memory)
    {
      refuse_for_memory (c, size);
      return false;
    }
  schedule_recheck (c->listener);
  return true;
}

/* Whether the body of C has large memory and makes no progress at NOW_MS.  */
static bool
is_stalled (struct http_listener_conn *c, int64_t now_ms)
{
  size_t bytes = evbuffer_get_length (c->body);
  if (c->state != CONN_READING || c->memory == NULL
      || !memory_body_is_large (c->memory))
    {
      c->stall_ms = 0;
      return false;
    }
  if (c->stall_ms == 0 || bytes >= c->stall_bytes + PROGRESS_BYTES
      || bytes < c->stall_bytes)
    {
      c->stall_ms = now_ms;
      c->stall_bytes = bytes;
    }
  return now_ms - c->stall_ms >= c->listener->limits.stall_ms;
}

/* While bodies wait for memory, refuses those that have it and make no
   progress.  */
static void
refuse_stalled (struct http_listener *f)
{
  int64_t now_ms = clock_ms ();
  g_autoptr (GList) conns = g_hash_table_get_keys (f->conns);
  for (GList *l = conns; l; l = l->next)
    {
      struct http_listener_conn *c = l->data;
      if (!is_stalled (c, now_ms))
        continue;
      metrics_add (METRIC_bodies_stalled_total, 1);
      log_event (LOG_WARN, "body_stalled", "bytes",
                 log_num ((long long)c->stall_bytes), "reserved_bytes",
                 log_num ((long long)memory_body_reserved (c->memory)), NULL);
      http_conn_refuse (c, 408,
                        "the request body made no progress while others wait");
    }
}

/* Resumes reading C, whose body was granted memory.  */
static void
resume (struct http_listener_conn *c)
{
  c->waits_for_memory = false;
  c->stall_ms = 0;
  enlarge_buffer (c);
  bufferevent_enable (c->bev, EV_READ);
  if (evbuffer_get_length (c->body) == 0)
    http_conn_send_continue (c);
  http_conn_read (c);
}

bool
http_body_recheck (struct http_listener *f)
{
  struct memory_budget *b = f->limits.memory;
  if (b == NULL || memory_budget_bodies_waiting (b) == 0)
    return false;
  if (f->limits.stall_ms > 0)
    refuse_stalled (f);
  for (;;)
    {
      struct http_listener_conn *c = memory_budget_next (b);
      if (c == NULL)
        break;
      resume (c);
    }
  record_memory (b);
  return memory_budget_bodies_waiting (b) > 0;
}
