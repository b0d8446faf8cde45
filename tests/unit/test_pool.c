/** @file
    Unit tests of the pool of connections, against a socket of the test.  */
#include "links/pool.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RESPONSE "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

static struct event_base *base;
static struct pool *pool;
static char address[32];
static unsigned ended;
static const char *next_upstream; /* of a call at the end of the first one */

static void send_call (const char *upstream);

static void
on_head (void *arg, struct http_head *head, enum http_framing framing,
         uint64_t length)
{
  (void)arg;
  (void)head;
  (void)framing;
  (void)length;
}

static void
on_data (void *arg, struct evbuffer *data)
{
  (void)arg;
  evbuffer_drain (data, evbuffer_get_length (data));
}

static void
on_end (void *arg, enum pool_outcome end)
{
  (void)arg;
  g_test_message ("ended with %d", end);
  if (next_upstream && ended == 0)
    send_call (next_upstream);
  ended++;
}

static const struct pool_callbacks callbacks = { on_head, on_data, on_end };

static void
send_call (const char *upstream)
{
  struct http_head *h = http_head_create ();
  h->method = g_strdup ("GET");
  h->target = g_strdup ("/a");
  struct pool_request r = { .upstream = upstream,
                            .address = address,
                            .connections = 4,
                            .head = h,
                            .reuse_ms = 60000 };
  (void)pool_send (pool, &r, &callbacks, NULL);
  http_head_destroy (h);
}

static void
run (unsigned ms)
{
  struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };
  event_base_loopexit (base, &tv);
  event_base_dispatch (base);
}

/* Starts to listen for the calls, and creates a pool that keeps CONNECTIONS.
   Returns the socket.  */
static int
begin (unsigned connections)
{
  struct sockaddr_in sa
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof sa;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&sa, len), ==, 0);
  g_assert_cmpint (getsockname (fd, (struct sockaddr *)&sa, &len), ==, 0);
  g_assert_cmpint (listen (fd, 8), ==, 0);
  g_snprintf (address, sizeof address, "127.0.0.1:%u", ntohs (sa.sin_port));
  ended = 0;
  next_upstream = NULL;
  base = event_base_new ();
  pool = pool_create (base, connections);
  return fd;
}

static void
finish (int fd)
{
  close (fd);
  pool_destroy (pool);
  event_base_free (base);
}

/* Accepts a connection at FD and responds to a call on it.  */
static int
respond (int fd)
{
  char part[4096];
  int conn = accept (fd, NULL, NULL);
  g_assert_cmpint (recv (conn, part, sizeof part, 0), >, 0);
  g_assert_cmpint (send (conn, RESPONSE, strlen (RESPONSE), 0), >, 0);
  return conn;
}

/* The next call starts in on_end, when the upstream has already closed the
   connection.  */
static void
test_next_call_after_close (void)
{
  int fd = begin (0);
  next_upstream = "u0";
  send_call ("u0");
  run (50);
  close (respond (fd));
  run (50);
  g_assert_cmpuint (ended, ==, 1);
  int conn = respond (fd);
  run (50);
  g_assert_cmpuint (ended, ==, 2);
  close (conn);
  finish (fd);
}

/* Guards against idle connections that use up the descriptors: at the bound
   the one that has been idle for longest is closed, and only idle ones are. */
static void
test_bound_of_all_upstreams (void)
{
  static const char *const upstreams[] = { "u0", "u1", "u2" };
  int conns[G_N_ELEMENTS (upstreams) + 1];
  int fd = begin (2);
  for (unsigned i = 0; i < G_N_ELEMENTS (upstreams); i++)
    {
      send_call (upstreams[i]);
      run (50);
      conns[i] = respond (fd);
      run (50);
    }
  g_assert_cmpuint (ended, ==, G_N_ELEMENTS (upstreams));
  g_assert_cmpuint (pool_connections (pool, "u0"), ==, 0);
  g_assert_cmpuint (pool_connections (pool, "u1"), ==, 1);
  g_assert_cmpuint (pool_connections (pool, "u2"), ==, 1);
  send_call ("u1");
  send_call ("u2");
  send_call ("u0");
  run (50);
  g_assert_cmpuint (pool_connections (pool, "u0"), ==, 1);
  g_assert_cmpuint (pool_connections (pool, "u1"), ==, 1);
  g_assert_cmpuint (pool_connections (pool, "u2"), ==, 1);
  conns[G_N_ELEMENTS (upstreams)] = accept (fd, NULL, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (conns); i++)
    close (conns[i]);
  finish (fd);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pool/next-call-after-close", test_next_call_after_close);
  g_test_add_func ("/pool/bound-of-all-upstreams",
                   test_bound_of_all_upstreams);
  return g_test_run ();
}
