/** @file
    Unit tests of the HTTP listener: connections that it closes by itself, and
    callers that are silent for a while, in the same event loop.  */
#include "base/clock.h"
#include "links/http_listener.h"
#include "links/input_age.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUEST "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
#define LAST_REQUEST "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
#define IDLE_MS 200
#define READ_MS 200
/* More bytes than the kernel buffers for a connection.  */
#define LARGE_BYTES (24U * 1024 * 1024)
#define RECEIVE_BUFFER_BYTES 65536
/* Silence of a caller that loses nothing by it, and one that ends its
   connection.  */
#define SILENCE_MS 4000
#define GIVEN_UP_MS 12000
/* More connections than libevent takes events of at once; it starts with 32
   and has doubled that a few times once they are open.  */
#define CALLERS 400
/* A body that takes a busy process longer than READ_MS to read, 16 KiB at a
   time.  */
#define BODY_BYTES (512U * 1024)
#define BUSY_MS 30
/* A handler that holds the loop, and how exact the age of a request is.  */
#define HOLD_MS 400
#define AGE_ERROR_MS 100

/* The listener and the request that is in progress.  */
struct world
{
  struct event_base *base;
  struct http_listener *listener;
  struct sockaddr_in address;
  size_t response_bytes; /* of a response that is sent at once */
  bool hold;             /* start a stream, and go on in the test */
  struct inbound_request *held;
  unsigned requests;
  struct loop_clock *clock; /* NULL in most cases */
  int64_t waited_ms;        /* of the last request, before it was read */
};

static void
on_request (void *arg, struct inbound_request *r)
{
  struct world *w = arg;
  struct http_head *h = http_head_create ();
  h->status = 200;
  w->requests++;
  w->waited_ms = clock_ms () - inbound_request_since_ms (r);
  if (w->clock)
    event_base_loopbreak (w->base);
  if (w->hold)
    {
      inbound_request_stream_start (r, h, HTTP_FRAMING_CHUNKED, 0);
      w->held = r;
    }
  else
    {
      g_autofree char *body = g_strnfill (w->response_bytes, 'x');
      inbound_request_reply (r, h, body, w->response_bytes);
    }
  http_head_destroy (h);
}

static const struct http_listener_callbacks callbacks = { on_request, NULL };

static struct http_listener_limits
default_limits (void)
{
  return (struct http_listener_limits){ .head_bytes = 4096,
                                        .body_bytes = 1000,
                                        .read_ms = READ_MS,
                                        .idle_ms = IDLE_MS,
                                        .connections = 2 * CALLERS };
}

static uint16_t
unused_port (void)
{
  struct sockaddr_in sa
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof sa;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&sa, len), ==, 0);
  g_assert_cmpint (getsockname (fd, (struct sockaddr *)&sa, &len), ==, 0);
  close (fd);
  return ntohs (sa.sin_port);
}

static struct world *
world_create (void)
{
  struct world *w = g_new0 (struct world, 1);
  struct http_listener_limits limits = default_limits ();
  uint16_t port = unused_port ();
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", port);
  w->base = event_base_new ();
  w->response_bytes = 2;
  w->listener
      = http_listener_create (w->base, address, &limits, &callbacks, w, NULL);
  g_assert_nonnull (w->listener);
  w->address
      = (struct sockaddr_in){ .sin_family = AF_INET,
                              .sin_port = htons (port),
                              .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  return w;
}

static void
world_destroy (struct world *w)
{
  http_listener_destroy (w->listener);
  event_base_free (w->base);
  g_free (w);
}

/* Runs the event loop for MS milliseconds.  */
static void
run (struct world *w, unsigned ms)
{
  struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };
  event_base_loopexit (w->base, &tv);
  event_base_dispatch (w->base);
}

static int
caller_connect (const struct world *w)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int size = RECEIVE_BUFFER_BYTES;
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  g_assert_cmpint (
      connect (fd, (const struct sockaddr *)&w->address, sizeof w->address),
      ==, 0);
  return fd;
}

static void
caller_send (int fd, const char *text)
{
  g_assert_cmpint (send (fd, text, strlen (text), MSG_NOSIGNAL), ==,
                   (ssize_t)strlen (text));
}

/* Reads what comes for FD within MS milliseconds, while the listener runs.  */
static GString *
caller_read (struct world *w, int fd, unsigned ms)
{
  GString *all = g_string_new (NULL);
  static char part[1 << 20];
  int64_t end = clock_ms () + ms;
  ssize_t n;
  do
    {
      run (w, 5);
      while ((n = recv (fd, part, sizeof part, MSG_DONTWAIT)) > 0)
        g_string_append_len (all, part, n);
    }
  while (clock_ms () < end && n < 0 && errno == EAGAIN);
  return all;
}

/* Requests that arrive while the event loop stands still past the idle time of
   their connections.  */
static void
test_requests_at_the_end_of_idle_time (void)
{
  struct world *w = world_create ();
  int fds[CALLERS];
  unsigned answered = 0;
  for (unsigned i = 0; i < CALLERS; i++)
    fds[i] = caller_connect (w);
  run (w, 50);
  g_assert_cmpuint (http_listener_connections (w->listener), ==, CALLERS);
  for (unsigned i = 0; i < CALLERS; i++)
    caller_send (fds[i], REQUEST);
  g_usleep (2 * IDLE_MS * 1000);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      GString *response = caller_read (w, fds[i], 20);
      answered += g_str_has_prefix (response->str, "HTTP/1.1 200");
      g_string_free (response, TRUE);
      close (fds[i]);
    }
  g_assert_cmpuint (answered, ==, CALLERS);
  world_destroy (w);
}

/* The rest of a request arrives while the event loop stands still past the
   time limit for reading it.  */
static void
test_requests_at_the_end_of_read_time (void)
{
  struct world *w = world_create ();
  int fds[CALLERS];
  unsigned answered = 0;
  for (unsigned i = 0; i < CALLERS; i++)
    {
      fds[i] = caller_connect (w);
      caller_send (fds[i], "GET /a HTTP/1.1\r\n");
    }
  run (w, 50);
  for (unsigned i = 0; i < CALLERS; i++)
    caller_send (fds[i], "Host: h\r\n\r\n");
  g_usleep (2 * READ_MS * 1000);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      GString *response = caller_read (w, fds[i], 20);
      answered += g_str_has_prefix (response->str, "HTTP/1.1 200");
      g_string_free (response, TRUE);
      close (fds[i]);
    }
  g_assert_cmpuint (answered, ==, CALLERS);
  world_destroy (w);
}

/* A caller that does not send the rest of its request is refused in time.  */
/* Other work between any two reads of a busy process.  */
static void
on_busy (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  g_usleep (BUSY_MS * 1000);
}

static struct event *
make_busy (struct world *w)
{
  static const struct timeval each = { 0, 1000 };
  struct event *busy = event_new (w->base, -1, EV_PERSIST, on_busy, NULL);
  event_add (busy, &each);
  return busy;
}

/* The whole request arrives in time, and is read piece by piece for longer
   than the caller may take to send it.  */
static void
test_body_that_is_read_slowly_is_not_refused (void)
{
  struct world *w = world_create ();
  struct http_listener_limits limits = default_limits ();
  struct event *busy = make_busy (w);
  g_autofree char *body = g_strnfill (BODY_BYTES, 'x');
  g_autofree char *head = g_strdup_printf ("POST /a HTTP/1.1\r\nHost: h\r\n"
                                           "Content-Length: %u\r\n\r\n",
                                           BODY_BYTES);
  limits.body_bytes = BODY_BYTES;
  http_listener_set_limits (w->listener, &limits);
  int fd = caller_connect (w);
  caller_send (fd, head);
  caller_send (fd, body);
  GString *response = caller_read (w, fd, 20 * READ_MS);
  g_assert_true (g_str_has_prefix (response->str, "HTTP/1.1 200"));
  g_string_free (response, TRUE);
  close (fd);
  event_free (busy);
  world_destroy (w);
}

struct trickle
{
  int fd;
  unsigned sent;
};

static void
on_trickle (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct trickle *t = arg;
  t->sent += send (t->fd, "x", 1, MSG_NOSIGNAL | MSG_DONTWAIT) == 1;
}

/* Some byte is always unread at a busy process.  */
static void
test_trickled_body_is_refused (void)
{
  static const struct timeval each = { 0, 1000 };
  struct world *w = world_create ();
  struct trickle t = { .fd = caller_connect (w) };
  struct event *trickle = event_new (w->base, -1, EV_PERSIST, on_trickle, &t);
  struct event *busy = make_busy (w);
  caller_send (t.fd, "POST /a HTTP/1.1\r\nHost: h\r\n"
                     "Content-Length: 1000\r\n\r\n");
  event_add (trickle, &each);
  GString *response = caller_read (w, t.fd, 4 * READ_MS);
  g_assert_true (g_str_has_prefix (response->str, "HTTP/1.1 408"));
  g_string_free (response, TRUE);
  event_free (trickle);
  event_free (busy);
  close (t.fd);
  world_destroy (w);
}

static void
test_incomplete_request_is_refused (void)
{
  struct world *w = world_create ();
  int fd = caller_connect (w);
  caller_send (fd, "GET /a HTTP/1.1\r\n");
  GString *response = caller_read (w, fd, 2 * READ_MS);
  g_assert_true (g_str_has_prefix (response->str, "HTTP/1.1 408"));
  g_string_free (response, TRUE);
  close (fd);
  world_destroy (w);
}

/* A response that its caller does not read for longer than the idle time, and
   for longer than the time limit of a last response.  */
static void
check_unread_response (const char *request, bool drain)
{
  struct world *w = world_create ();
  int fd = caller_connect (w);
  w->response_bytes = LARGE_BYTES;
  caller_send (fd, request);
  run (w, 50);
  g_assert_cmpuint (w->requests, ==, 1);
  if (drain)
    http_listener_drain (w->listener, IDLE_MS);
  run (w, SILENCE_MS);
  GString *response = caller_read (w, fd, 5000);
  g_assert_cmpuint (response->len, >, LARGE_BYTES);
  g_string_free (response, TRUE);
  close (fd);
  world_destroy (w);
}

/* A caller that takes nothing of its response any more is given up.  */
static void
test_unread_response_is_dropped (void)
{
  struct world *w = world_create ();
  int fd = caller_connect (w);
  w->response_bytes = LARGE_BYTES;
  caller_send (fd, REQUEST);
  run (w, 50);
  g_assert_cmpuint (w->requests, ==, 1);
  run (w, GIVEN_UP_MS);
  g_assert_cmpuint (http_listener_connections (w->listener), ==, 0);
  close (fd);
  world_destroy (w);
}

static void
test_unread_response (void)
{
  check_unread_response (REQUEST, false);
}

static void
test_unread_last_response (void)
{
  check_unread_response (LAST_REQUEST, false);
}

static void
test_unread_response_in_drain (void)
{
  check_unread_response (REQUEST, true);
}

/* A response whose head was sent before the drain does not say that the
   connection closes: the next request on it is answered.  */
static void
check_next_request_in_drain (bool pipelined)
{
  struct world *w = world_create ();
  int fd = caller_connect (w);
  w->hold = true;
  caller_send (fd, REQUEST);
  GString *response = caller_read (w, fd, 50);
  g_assert_nonnull (w->held);
  g_assert_null (strstr (response->str, "Connection: close"));
  w->hold = false;
  http_listener_drain (w->listener, IDLE_MS);
  if (pipelined)
    {
      caller_send (fd, REQUEST);
      run (w, 50);
    }
  inbound_request_stream_end (w->held);
  run (w, 50);
  if (!pipelined)
    caller_send (fd, REQUEST);
  g_string_free (response, TRUE);
  response = caller_read (w, fd, 100);
  g_assert_cmpuint (w->requests, ==, 2);
  g_assert_nonnull (strstr (response->str, "Connection: close"));
  g_string_free (response, TRUE);
  close (fd);
  world_destroy (w);
}

static void
test_next_request_in_drain (void)
{
  check_next_request_in_drain (false);
}

static void
test_pipelined_request_in_drain (void)
{
  check_next_request_in_drain (true);
}

/* New limits neither close a connection with a request in progress nor leave
   one that is being read without an answer.  */
static void
test_limits_change (void)
{
  struct world *w = world_create ();
  int held = caller_connect (w), reading = caller_connect (w),
      idle = caller_connect (w);
  w->hold = true;
  caller_send (held, REQUEST);
  run (w, 20);
  w->hold = false;
  caller_send (reading, "POST /a HTTP/1.1\r\nHost: h\r\n"
                        "Content-Length: 900\r\n\r\n0123456789");
  run (w, 20);
  struct http_listener_limits smaller = { .head_bytes = 512,
                                          .body_bytes = 10,
                                          .read_ms = 1,
                                          .idle_ms = 1,
                                          .connections = 1 };
  http_listener_set_limits (w->listener, &smaller);
  g_autofree char *rest = g_strnfill (890, 'x');
  caller_send (reading, rest);
  caller_send (idle, REQUEST);
  GString *response = caller_read (w, reading, 50);
  g_assert_true (g_str_has_prefix (response->str, "HTTP/1.1 "));
  g_string_free (response, TRUE);
  response = caller_read (w, idle, 50);
  g_assert_true (g_str_has_prefix (response->str, "HTTP/1.1 200"));
  g_string_free (response, TRUE);
  inbound_request_stream_end (w->held);
  response = caller_read (w, held, 50);
  g_assert_nonnull (strstr (response->str, "0\r\n\r\n"));
  g_string_free (response, TRUE);
  close (held);
  close (reading);
  close (idle);
  world_destroy (w);
}

/* Memory of request bodies, and the limit of connections.  */

#define LARGE_BODY_BYTES 60000
/* Room for one large body.  */
#define BUDGET_BYTES 100000
#define STALL_MS 300
#define LONG_READ_MS 5000
#define FEW_CONNECTIONS 8
#define RESPONSE_READS_MAX 100
#define LARGE_HEAD                                                            \
  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n"

static struct memory_budget *
limit_memory (struct world *w)
{
  struct memory_budget *b = memory_budget_create (BUDGET_BYTES);
  struct http_listener_limits limits = default_limits ();
  limits.body_bytes = LARGE_BODY_BYTES;
  limits.read_ms = LONG_READ_MS;
  limits.idle_ms = LONG_READ_MS;
  limits.stall_ms = STALL_MS;
  limits.memory = b;
  memory_budget_set_largest (b, http_listener_largest_request (&limits));
  http_listener_set_limits (w->listener, &limits);
  return b;
}

static void
check_response (struct world *w, int fd, const char *start)
{
  GString *response = caller_read (w, fd, 50);
  for (unsigned i = 0; response->len == 0 && i < RESPONSE_READS_MAX; i++)
    {
      g_string_free (response, TRUE);
      response = caller_read (w, fd, 50);
    }
  g_assert_true (g_str_has_prefix (response->str, start));
  g_string_free (response, TRUE);
}

/* A large body waits in the socket while another one has the memory, and is
   read once that is answered.  A small one does not wait.  */
static void
test_body_waits_for_memory (void)
{
  struct world *w = world_create ();
  struct memory_budget *b = limit_memory (w);
  g_autofree char *body = g_strnfill (LARGE_BODY_BYTES, 'x');
  int first = caller_connect (w), second = caller_connect (w),
      small = caller_connect (w);
  caller_send (first, LARGE_HEAD);
  run (w, 20);
  caller_send (second, LARGE_HEAD);
  caller_send (second, body);
  run (w, 50);
  g_assert_cmpuint (memory_budget_bodies_waiting (b), ==, 1);
  g_assert_cmpuint (memory_budget_bodies (b), <, BUDGET_BYTES);
  caller_send (small, "POST /a HTTP/1.1\r\nHost: h\r\n"
                      "Content-Length: 3\r\n\r\nabc");
  check_response (w, small, "HTTP/1.1 200");
  g_assert_cmpuint (w->requests, ==, 1);
  caller_send (first, body);
  check_response (w, first, "HTTP/1.1 200");
  check_response (w, second, "HTTP/1.1 200");
  g_assert_cmpuint (w->requests, ==, 3);
  close (first);
  close (second);
  close (small);
  run (w, 20);
  g_assert_cmpuint (memory_budget_bodies (b), ==, 0);
  world_destroy (w);
  memory_budget_destroy (b);
}

/* A body that stops loses its memory to one that waits; alone it keeps it.  */
static void
test_stalled_body_is_refused (void)
{
  struct world *w = world_create ();
  struct memory_budget *b = limit_memory (w);
  g_autofree char *body = g_strnfill (LARGE_BODY_BYTES, 'x');
  int first = caller_connect (w), second = caller_connect (w);
  caller_send (first, LARGE_HEAD);
  run (w, 3 * STALL_MS);
  g_assert_cmpuint (memory_budget_bodies (b), ==, LARGE_BODY_BYTES);
  caller_send (second, LARGE_HEAD);
  caller_send (second, body);
  run (w, 4 * STALL_MS);
  check_response (w, first, "HTTP/1.1 408");
  check_response (w, second, "HTTP/1.1 200");
  g_assert_cmpuint (w->requests, ==, 1);
  close (first);
  close (second);
  world_destroy (w);
  memory_budget_destroy (b);
}

/* Callers that are silent, or amid their first head, give way to new ones at
   the limit of connections.  */
static void
test_silent_callers_give_way (void)
{
  struct world *w = world_create ();
  struct http_listener_limits limits = default_limits ();
  int silent[FEW_CONNECTIONS];
  limits.read_ms = LONG_READ_MS;
  limits.idle_ms = LONG_READ_MS;
  limits.connections = FEW_CONNECTIONS;
  http_listener_set_limits (w->listener, &limits);
  for (unsigned i = 0; i < FEW_CONNECTIONS; i++)
    {
      silent[i] = caller_connect (w);
      if (i % 2 == 0)
        caller_send (silent[i], "GET /a HTTP");
    }
  run (w, 300);
  g_assert_cmpuint (http_listener_connections (w->listener), ==,
                    FEW_CONNECTIONS);
  int fd = caller_connect (w);
  caller_send (fd, REQUEST);
  check_response (w, fd, "HTTP/1.1 200");
  g_assert_cmpuint (http_listener_connections (w->listener), <=,
                    FEW_CONNECTIONS);
  for (unsigned i = 0; i < FEW_CONNECTIONS; i++)
    close (silent[i]);
  close (fd);
  world_destroy (w);
}

/* A chunk line or a trailer without end is refused, whatever a body may
   have.  */
static void
test_endless_framing_is_refused (void)
{
  static const char *const starts[] = { "5;a=", "0\r\nA: " };
  for (size_t i = 0; i < G_N_ELEMENTS (starts); i++)
    {
      struct world *w = world_create ();
      g_autofree char *part = g_strnfill (3000, 'x');
      int fd = caller_connect (w);
      caller_send (fd, "POST /a HTTP/1.1\r\nHost: h\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n");
      caller_send (fd, starts[i]);
      for (unsigned k = 0; k < 3; k++)
        {
          caller_send (fd, part);
          run (w, 10);
        }
      check_response (w, fd, "HTTP/1.1 400");
      g_assert_cmpuint (w->requests, ==, 0);
      close (fd);
      world_destroy (w);
    }
}

/* A request that a handler sends while it holds the loop.  */
struct held_send
{
  struct world *w;
  int fd;      /* open connection; -1: a new one is opened */
  bool at_end; /* send at the end of the hold, not at its start */
};

static void
held_send (struct held_send *h)
{
  if (h->fd < 0)
    h->fd = caller_connect (h->w);
  g_assert_cmpint (send (h->fd, REQUEST, strlen (REQUEST), 0), ==,
                   (ssize_t)strlen (REQUEST));
}

static void
on_hold (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct held_send *h = arg;
  if (!h->at_end)
    held_send (h);
  g_usleep (HOLD_MS * 1000);
  if (h->at_end)
    held_send (h);
}

static void
on_clock_tick (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  loop_clock_tick (arg);
}

/* Returns for how long the listener takes a request to have waited that is
   sent at the start or the end of a hold, on an open or a new connection.  */
static int64_t
waited_after_hold (bool open_connection, bool at_end)
{
  static const struct timeval tick = { 0, LOOP_TICK_MS * 1000 };
  static const struct timeval later = { 0, 120000 };
  struct world *w = world_create ();
  struct http_listener_limits limits = default_limits ();
  struct held_send h
      = { w, open_connection ? caller_connect (w) : -1, at_end };
  w->clock = limits.clock = loop_clock_create (w->base);
  input_age_probe (w->base);
  limits.idle_ms = limits.read_ms = 10 * HOLD_MS;
  http_listener_set_limits (w->listener, &limits);
  struct event *ticks
      = event_new (w->base, -1, EV_PERSIST, on_clock_tick, w->clock);
  struct event *hold = evtimer_new (w->base, on_hold, &h);
  event_add (ticks, &tick);
  evtimer_add (hold, &later);
  loop_clock_run (w->clock);
  int64_t waited_ms = w->waited_ms;
  close (h.fd);
  event_free (ticks);
  event_free (hold);
  struct loop_clock *clock = w->clock;
  world_destroy (w);
  loop_clock_destroy (clock);
  return waited_ms;
}

/* Guards against a request that came at the end of a pause, and is refused as
   if it had waited for all of it.  */
static void
test_fresh_request_after_hold (void)
{
  g_assert_cmpint (waited_after_hold (true, true), <=, AGE_ERROR_MS);
  g_assert_cmpint (waited_after_hold (false, true), <=, AGE_ERROR_MS);
}

/* Guards against a request that came at the start of a pause, and whose time
   begins at its end.  */
static void
test_old_request_after_hold (void)
{
  g_assert_cmpint (waited_after_hold (true, false), >=,
                   HOLD_MS - AGE_ERROR_MS);
  g_assert_cmpint (waited_after_hold (false, false), >=,
                   HOLD_MS - AGE_ERROR_MS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/listener/requests-at-the-end-of-idle-time",
                   test_requests_at_the_end_of_idle_time);
  g_test_add_func ("/listener/requests-at-the-end-of-read-time",
                   test_requests_at_the_end_of_read_time);
  g_test_add_func ("/listener/body-that-is-read-slowly-is-not-refused",
                   test_body_that_is_read_slowly_is_not_refused);
  g_test_add_func ("/listener/trickled-body-is-refused",
                   test_trickled_body_is_refused);
  g_test_add_func ("/listener/incomplete-request-is-refused",
                   test_incomplete_request_is_refused);
  g_test_add_func ("/listener/unread-response", test_unread_response);
  g_test_add_func ("/listener/unread-last-response",
                   test_unread_last_response);
  g_test_add_func ("/listener/unread-response-in-drain",
                   test_unread_response_in_drain);
  g_test_add_func ("/listener/unread-response-is-dropped",
                   test_unread_response_is_dropped);
  g_test_add_func ("/listener/next-request-in-drain",
                   test_next_request_in_drain);
  g_test_add_func ("/listener/pipelined-request-in-drain",
                   test_pipelined_request_in_drain);
  g_test_add_func ("/listener/limits-change", test_limits_change);
  g_test_add_func ("/listener/body-waits-for-memory",
                   test_body_waits_for_memory);
  g_test_add_func ("/listener/stalled-body-is-refused",
                   test_stalled_body_is_refused);
  g_test_add_func ("/listener/silent-callers-give-way",
                   test_silent_callers_give_way);
  g_test_add_func ("/listener/fresh-request-after-hold",
                   test_fresh_request_after_hold);
  g_test_add_func ("/listener/old-request-after-hold",
                   test_old_request_after_hold);
  g_test_add_func ("/listener/endless-framing-is-refused",
                   test_endless_framing_is_refused);
  return g_test_run ();
}
