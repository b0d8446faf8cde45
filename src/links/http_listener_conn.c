/** @file
    Connections of callers: reading of requests up to the end of each response,
    time-outs, and the end of a connection.  */
#include "links/http_listener_conn.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "links/bev_close.h"
#include "links/input_age.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* Most bytes that wait in a read buffer: more than the largest head.  */
#define INPUT_MAX_BYTES (96U * 1024)
/* Bytes of pipelined requests that are buffered while a response is
   incomplete, beside one read.  */
#define READ_AHEAD_BYTES (4U * 1024)
/* Time between shutdown of the sending side and close, during which input is
   discarded.  An immediate close would send a reset to a caller that is still
   sending, and the caller could lose the response.  */
#define LINGER_MS 500
/* A caller that takes no byte of its response for this long loses it.  One
   that is silent for 4 s does not: TCP may take until 6.4 s to send again.  */
#define RESPONSE_STALL_MS 10000
/* How often a response that is not yet written is checked for progress.  */
#define STALL_CHECK_MS 500
/* After a pause of this process, a time-out may be due before the input that
   arrived in time was read: it is checked again after this time.  */
#define INPUT_CHECK_MS 50
/* Least input in that time with which the time-out is put off again.  */
#define INPUT_CHECK_BYTES 4096
/* From this age on, which the loop states as the highest possible one, the
   kernel is asked for that of the last bytes.  */
#define INPUT_AGE_CHECK_MS 20
/* Buffers of the kernel for one connection.  Without a bound they would grow
   to several MB for a caller that sends or reads slowly.  */
#define SEND_BUFFER_BYTES (128 * 1024)
/* TCP_USER_TIMEOUT: the kernel drops a connection on which sent bytes stay
   unacknowledged, or the caller's receive window stays closed, for this
   long.  */
#define USER_TIMEOUT_MS 10000U

/* States of a connection.  */

static void
set_timer (struct http_listener_conn *c, unsigned ms)
{
  struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };
  evtimer_add (c->timer, &tv);
}

void
http_conn_free (struct http_listener_conn *c)
{
  g_hash_table_remove (c->listener->conns, c);
  if (c->state == CONN_RESPONDING)
    c->listener->open_requests--;
  http_body_end (c);
  http_output_close (c);
  event_free (c->timer);
  bev_close (c->bev);
  http_codec_destroy (c->codec);
  evbuffer_free (c->body);
  g_free (c);
}

/* Frees the connection, because the caller closed it or a time-out expired,
   and notifies the handler of a request without a complete response.  */
void
http_conn_lost (struct http_listener_conn *c)
{
  void (*on_close) (void *) = NULL;
  void *arg = c->request.on_close_arg;
  if (c->state == CONN_RESPONDING)
    on_close = c->request.on_close;
  http_conn_free (c);
  if (on_close)
    on_close (arg);
}

/* Shuts down the sending side; on_timer closes the connection.  */
static void
conn_linger (struct http_listener_conn *c)
{
  c->state = CONN_LINGERING;
  (void)shutdown (bufferevent_getfd (c->bev), SHUT_WR);
  struct evbuffer *in = bufferevent_get_input (c->bev);
  evbuffer_drain (in, evbuffer_get_length (in));
  set_timer (c, LINGER_MS);
}

/* Whether bytes of a response are not written yet, and the caller has taken
   some of them within RESPONSE_STALL_MS.  */
static bool
response_in_progress (struct http_listener_conn *c)
{
  size_t unwritten = evbuffer_get_length (bufferevent_get_output (c->bev));
  int64_t now = clock_ms ();
  if (unwritten != c->unwritten)
    c->progress_ms = now;
  c->unwritten = unwritten;
  return unwritten > 0 && now - c->progress_ms < RESPONSE_STALL_MS;
}

/* Reads pipelined input again: what was read is parsed, and a request is
   incomplete.  */
static void
read_ahead (struct http_listener_conn *c)
{
  if (c->ahead_paused)
    bufferevent_enable (c->bev, EV_READ);
  c->ahead_paused = false;
}

/* Prepares the connection for its next request and parses input that has
   already arrived.  */
static void
conn_next_request (struct http_listener_conn *c)
{
  evtimer_del (c->timer);
  c->state = CONN_IDLE;
  c->request.on_close = NULL;
  c->since_ms = clock_ms ();
  http_body_end (c);
  c->waits_for_caller = http_output_is_full (c);
  if (c->waits_for_caller)
    {
      metrics_add (METRIC_caller_requests_held_total, 1);
      set_timer (c, STALL_CHECK_MS);
      return;
    }
  if (!c->in_conn_read)
    http_conn_read (c);
}

/* The caller of C has taken the responses so far.  */
static void
go_on (struct http_listener_conn *c)
{
  c->waits_for_caller = false;
  http_conn_read (c);
}

/* Called when the response has been passed completely to the output
   buffer.  */
void
http_conn_end_response (struct http_listener_conn *c)
{
  c->listener->open_requests--;
  c->unwritten = 0;
  http_output_set_response (c, false);
  if (!c->close_after_response)
    {
      conn_next_request (c);
      return;
    }
  c->state = CONN_FLUSHING;
  read_ahead (c);
  http_body_end (c);
  if (evbuffer_get_length (bufferevent_get_output (c->bev)) == 0)
    conn_linger (c);
  else
    set_timer (c, c->listener->limits.read_ms);
}

/* Sends an error response for a request that is malformed, too large or too
   late, and closes the connection after it.  */
void
http_conn_refuse (struct http_listener_conn *c, unsigned status,
                  const char *reason)
{
  struct http_listener *f = c->listener;
  g_autofree char *body = NULL;
  if (f->callbacks->on_refused)
    body = f->callbacks->on_refused (f->arg, status, reason);
  evbuffer_add_printf (bufferevent_get_output (c->bev),
                       "HTTP/1.1 %u %s\r\n%s%sContent-Length: %zu\r\n"
                       "Connection: close\r\n\r\n%s",
                       status, http_reason (status),
                       status == 503 ? "Retry-After: 1\r\n" : "",
                       body ? "Content-Type: application/json\r\n" : "",
                       body ? strlen (body) : 0, body ? body : "");
  c->state = CONN_FLUSHING;
  http_body_end (c);
  bufferevent_enable (c->bev, EV_READ);
  set_timer (c, f->limits.read_ms);
}

/* Reading of requests, and events of connections.  */

/* Returns since when the input has waited that was just read.  The loop knows
   the earliest time possible, and after a pause the kernel one that is closer
   to the true one.  */
static int64_t
input_since_ms (struct http_listener_conn *c)
{
  struct loop_clock *clock = c->listener->limits.clock;
  const struct loop_mark *accepted = c->was_read ? NULL : &c->accepted;
  int64_t now = clock_ms ();
  if (clock == NULL)
    return now;
  int64_t since = loop_clock_input_since_ms (clock, accepted);
  if (now - since < INPUT_AGE_CHECK_MS)
    return since;
  return now - input_age_ms (bufferevent_getfd (c->bev), now - since);
}

/* Notes since when the input has waited that was just read.  */
static void
note_input (struct http_listener_conn *c)
{
  if (c->left_bytes == 0)
    c->input_since_ms = input_since_ms (c);
  c->was_read = true;
  c->left_bytes = evbuffer_get_length (bufferevent_get_input (c->bev));
}

static void
conn_handle_request (struct http_listener_conn *c)
{
  struct http_listener *f = c->listener;
  if (!http_body_complete (c))
    return;
  evtimer_del (c->timer);
  c->state = CONN_RESPONDING;
  c->requests++;
  c->close_after_response = !http_codec_keep_alive (c->codec) || f->draining;
  c->head_written = false;
  c->request = (struct inbound_request){ .conn = c };
  f->open_requests++;
  f->callbacks->on_request (f->arg, &c->request);
}

/* Sends 100 Continue if the caller waits for it before it sends the body.  */
void
http_conn_send_continue (struct http_listener_conn *c)
{
  const struct http_head *h = http_codec_head (c->codec);
  if (h && http_head_has_token (h, "Expect", "100-continue")
      && evbuffer_get_length (c->body) == 0)
    evbuffer_add_printf (bufferevent_get_output (c->bev),
                         "HTTP/1.1 100 Continue\r\n\r\n");
}

/* Parses the input up to the end of one request.  */
static void
conn_parse_request (struct http_listener_conn *c)
{
  struct evbuffer *in = bufferevent_get_input (c->bev);
  bool had_head = http_codec_head (c->codec) != NULL;
  if (c->state == CONN_IDLE)
    {
      c->state = CONN_READING;
      c->late_input = false;
      c->request_start_ms = clock_ms ();
      c->request_since_ms = c->input_since_ms;
      set_timer (c, c->listener->limits.read_ms);
    }
  enum http_parse_state progress = http_codec_feed (c->codec, in, c->body);
  if (!had_head && (progress == HTTP_IN_BODY || progress == HTTP_COMPLETE))
    http_body_note_head (c);
  switch (progress)
    {
    case HTTP_COMPLETE:
      conn_handle_request (c);
      break;
    case HTTP_REJECTED:
      http_conn_refuse (c, http_codec_error_status (c->codec),
                        http_codec_error_message (c->codec));
      break;
    case HTTP_IN_BODY:
      if (http_body_claim (c) && !had_head && !c->waits_for_memory)
        http_conn_send_continue (c);
      break;
    default:
      (void)http_body_claim (c);
      break;
    }
}

/* Parses the input until a request waits for its response, a request is
   incomplete, or the connection is closed.  */
void
http_conn_read (struct http_listener_conn *c)
{
  struct http_listener *f = c->listener;
  struct evbuffer *in = bufferevent_get_input (c->bev);
  c->in_conn_read = true;
  while (evbuffer_get_length (in) > 0 && !c->waits_for_memory
         && !c->waits_for_caller
         && (c->state == CONN_IDLE || c->state == CONN_READING))
    {
      size_t before = evbuffer_get_length (in);
      conn_parse_request (c);
      /* The handler may have freed the connection.  */
      if (!g_hash_table_contains (f->conns, c))
        return;
      if (c->state == CONN_READING && evbuffer_get_length (in) == before)
        break;
    }
  c->in_conn_read = false;
  c->left_bytes = evbuffer_get_length (in);
  if (c->waits_for_memory || c->waits_for_caller)
    return;
  if (c->state == CONN_IDLE)
    set_timer (c, f->limits.idle_ms);
  if (c->state == CONN_IDLE || c->state == CONN_READING)
    read_ahead (c);
}

static void
on_readable (struct bufferevent *bev, void *arg)
{
  struct http_listener_conn *c = arg;
  if (c->state == CONN_FLUSHING || c->state == CONN_LINGERING)
    {
      struct evbuffer *in = bufferevent_get_input (bev);
      evbuffer_drain (in, evbuffer_get_length (in));
      return;
    }
  note_input (c);
  bool is_ahead = c->state == CONN_RESPONDING || c->waits_for_caller;
  if (is_ahead
      && evbuffer_get_length (bufferevent_get_input (bev)) > READ_AHEAD_BYTES)
    {
      c->ahead_paused = true;
      bufferevent_disable (bev, EV_READ);
    }
  if (!is_ahead)
    http_conn_read (c);
}

static void
on_written (struct bufferevent *bev, void *arg)
{
  (void)bev;
  struct http_listener_conn *c = arg;
  if (c->state == CONN_FLUSHING)
    conn_linger (c);
  else if (c->waits_for_caller)
    go_on (c);
  else if (c->state == CONN_IDLE)
    set_timer (c, c->listener->limits.idle_ms);
  else if (c->state == CONN_RESPONDING && c->request.on_drained)
    c->request.on_drained (c->request.on_drained_arg);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  (void)bev;
  struct http_listener_conn *c = arg;
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    http_conn_lost (c);
}

/* Whether the read time-out of C may be put off for input that is unread:
   once, and then as long as this process is what the request waits for.  A
   caller that sends a few bytes at a time may always have some unread.  */
static bool
may_wait_for_input (struct http_listener_conn *c)
{
  size_t bytes = evbuffer_get_length (c->body)
                 + evbuffer_get_length (bufferevent_get_input (c->bev));
  bool progress = bytes >= c->late_bytes + INPUT_CHECK_BYTES;
  bool first = !c->late_input;
  c->late_input = true;
  c->late_bytes = bytes;
  return first || progress;
}

/* Whether the socket holds input that the event loop has not read yet, and
   that is to be waited for.  */
static bool
has_unread_input (struct http_listener_conn *c)
{
  char byte;
  if (c->state != CONN_IDLE
      && (c->state != CONN_READING || !may_wait_for_input (c)))
    return false;
  return recv (bufferevent_getfd (c->bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT)
         > 0;
}

/* Records that the connection is closed although its caller has not closed
   it.  */
static void
record_close (const struct http_listener_conn *c)
{
  size_t unread = evbuffer_get_length (bufferevent_get_input (c->bev));
  if (c->state == CONN_LINGERING)
    return;
  if (c->unwritten > 0)
    {
      log_event (LOG_INFO, "response_unread", "unwritten_bytes",
                 log_num ((long long)c->unwritten), NULL);
      return;
    }
  metrics_add (METRIC_caller_idle_closed_total, 1);
  log_event (LOG_DEBUG, "caller_idle", "idle_limit_ms",
             log_num (c->listener->limits.idle_ms), "unread_bytes",
             log_num ((long long)unread), NULL);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct http_listener_conn *c = arg;
  if (c->waits_for_memory)
    http_conn_refuse (c, 503, "no memory for the request body in time");
  else if (!c->waits_for_caller && has_unread_input (c))
    set_timer (c, INPUT_CHECK_MS);
  else if (c->state == CONN_READING)
    http_conn_refuse (
        c, 408, "the request did not arrive completely within the time limit");
  else if (c->state != CONN_LINGERING && response_in_progress (c))
    set_timer (c, STALL_CHECK_MS);
  else
    {
      record_close (c);
      http_conn_lost (c);
    }
}

/* Creation of a connection.  */

static void
set_options (evutil_socket_t fd)
{
  int one = 1;
  int send = SEND_BUFFER_BYTES;
  unsigned timeout = USER_TIMEOUT_MS;
  (void)setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &send, sizeof send);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
                    sizeof timeout);
}

void
http_conn_create (struct http_listener *f, evutil_socket_t fd)
{
  struct http_size_limits size_limits
      = { f->limits.head_bytes, f->limits.body_bytes };
  struct http_listener_conn *c = g_new0 (struct http_listener_conn, 1);
  set_options (fd);
  c->listener = f;
  c->since_ms = clock_ms ();
  if (f->limits.clock)
    c->accepted = loop_clock_mark (f->limits.clock);
  c->bev = bufferevent_socket_new (f->base, fd, BEV_OPT_CLOSE_ON_FREE);
  c->codec = http_codec_create (HTTP_SIDE_REQUESTS, &size_limits);
  c->body = evbuffer_new ();
  c->timer = evtimer_new (f->base, on_timer, c);
  g_hash_table_add (f->conns, c);
  bufferevent_setcb (c->bev, on_readable, on_written, on_event, c);
  bufferevent_setwatermark (c->bev, EV_READ, 0, INPUT_MAX_BYTES);
  bufferevent_set_max_single_read (c->bev, HTTP_READ_BYTES);
  http_output_open (c);
  bufferevent_enable (c->bev, EV_READ | EV_WRITE);
  set_timer (c, f->limits.idle_ms);
}

void
http_conn_drain (struct http_listener_conn *c, unsigned idle_ms)
{
  /* A response whose head is written did not announce the close, so the
     caller may send another request after it.  */
  if (c->state == CONN_RESPONDING && !c->head_written)
    c->close_after_response = true;
  if (c->state == CONN_IDLE)
    set_timer (c, idle_ms);
}
