/** @file
    Unit tests of the HTTP client against a server in the same event loop that
    sends responses without length or chunks.  */
#include "links/http_client.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#define HEAD "HTTP/1.1 200 OK\r\n\r\n"
#define PART_BYTES 65536
#define CALL_TIMEOUT_MS 20000
#define LINGER_S 0

/* How the server ends a response after its first bytes.  */
enum server_end
{
  SERVER_CLOSES,
  SERVER_RESETS,
  SERVER_GOES_ON /* the body has no end */
};

/* The server, its only connection and the outcome of the only call.  */
struct world
{
  struct event_base *base;
  struct evconnlistener *listener;
  struct bufferevent *conn;
  enum server_end end;
  const char *response; /* its first bytes */
  char *part;           /* sent again and again with SERVER_GOES_ON */
  bool responding;      /* the first bytes were passed to the connection */
  bool ended;
  enum http_outcome outcome;
  int status;
  GString *received;
};

static void
close_conn (struct world *w)
{
  struct linger reset = { 1, LINGER_S };
  if (w->end == SERVER_RESETS)
    setsockopt (bufferevent_getfd (w->conn), SOL_SOCKET, SO_LINGER, &reset,
                sizeof reset);
  bufferevent_free (w->conn);
  w->conn = NULL;
}

static void
on_request (struct bufferevent *bev, void *arg)
{
  struct world *w = arg;
  struct evbuffer *in = bufferevent_get_input (bev);
  if (evbuffer_search (in, "\r\n\r\n", 4, NULL).pos < 0)
    return;
  evbuffer_drain (in, evbuffer_get_length (in));
  w->responding = true;
  evbuffer_add_printf (bufferevent_get_output (bev), "%s", w->response);
}

static void
on_written (struct bufferevent *bev, void *arg)
{
  struct world *w = arg;
  if (!w->responding)
    return;
  if (w->end == SERVER_GOES_ON)
    bufferevent_write (bev, w->part, PART_BYTES);
  else
    close_conn (w);
}

static void
on_conn_event (struct bufferevent *bev, short what, void *arg)
{
  (void)bev;
  (void)what;
  close_conn (arg);
}

static void
on_accept (struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
           int len, void *arg)
{
  (void)l;
  (void)sa;
  (void)len;
  struct world *w = arg;
  w->conn = bufferevent_socket_new (w->base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (w->conn, on_request, on_written, on_conn_event, w);
  bufferevent_enable (w->conn, EV_READ | EV_WRITE);
}

static void
on_end (void *arg, const struct http_response *a)
{
  struct world *w = arg;
  w->ended = true;
  w->outcome = a->end;
  w->status = a->status;
  if (a->body)
    g_string_append_len (w->received,
                         (const char *)evbuffer_pullup (a->body, -1),
                         (gssize)evbuffer_get_length (a->body));
  event_base_loopbreak (w->base);
}

static const struct http_client_callbacks callbacks = { NULL, on_end, NULL };

/* Calls a server that sends RESPONSE and then ends as END says.  */
static struct world *
play (const char *response, enum server_end end)
{
  struct world *w = g_new0 (struct world, 1);
  struct sockaddr_in sa
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof sa;
  w->base = event_base_new ();
  w->end = end;
  w->response = response;
  w->part = g_strnfill (PART_BYTES, 'x');
  w->received = g_string_new (NULL);
  w->listener
      = evconnlistener_new_bind (w->base, on_accept, w, LEV_OPT_CLOSE_ON_FREE,
                                 -1, (struct sockaddr *)&sa, sizeof sa);
  g_assert_nonnull (w->listener);
  getsockname (evconnlistener_get_fd (w->listener), (struct sockaddr *)&sa,
               &len);
  g_autofree char *address
      = g_strdup_printf ("127.0.0.1:%u", (unsigned)ntohs (sa.sin_port));
  struct http_client *c = http_client_create (w->base);
  struct http_client_request request = { .address = address,
                                         .method = "GET",
                                         .path = "/",
                                         .timeout_ms = CALL_TIMEOUT_MS };
  http_client_call (c, &request, &callbacks, w);
  event_base_dispatch (w->base);
  http_client_destroy (c);
  g_assert_true (w->ended);
  return w;
}

static void
world_destroy (struct world *w)
{
  if (w->conn)
    bufferevent_free (w->conn);
  evconnlistener_free (w->listener);
  event_base_free (w->base);
  g_string_free (w->received, TRUE);
  g_free (w->part);
  g_free (w);
}

static void
test_closed_response_is_complete (void)
{
  struct world *w = play (HEAD "{\"a\":1}", SERVER_CLOSES);
  g_assert_cmpint (w->outcome, ==, HTTP_OUTCOME_COMPLETE);
  g_assert_cmpstr (w->received->str, ==, "{\"a\":1}");
  world_destroy (w);
}

static void
test_reset_response_is_not_complete (void)
{
  struct world *w = play (HEAD "{\"a\":1}", SERVER_RESETS);
  g_assert_cmpint (w->outcome, ==, HTTP_OUTCOME_UNKNOWN);
  g_assert_cmpint (w->status, ==, 0);
  world_destroy (w);
}

static void
test_endless_response_ends_the_call (void)
{
  struct world *w = play (HEAD "x", SERVER_GOES_ON);
  g_assert_cmpint (w->outcome, ==, HTTP_OUTCOME_UNKNOWN);
  world_destroy (w);
}

/* A status outside 100 to 599 is no response, to the store's client either. */
static void
test_invalid_status_is_not_complete (void)
{
  static const char *const codes[] = { "600", "999", "000", "099", "2000" };
  for (size_t i = 0; i < G_N_ELEMENTS (codes); i++)
    {
      g_autofree char *response = g_strdup_printf (
          "HTTP/1.1 %s Odd\r\nContent-Length: 2\r\n\r\nok", codes[i]);
      struct world *w = play (response, SERVER_CLOSES);
      g_assert_cmpint (w->outcome, ==, HTTP_OUTCOME_UNKNOWN);
      g_assert_cmpint (w->status, ==, 0);
      world_destroy (w);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http-client/closed-response-is-complete",
                   test_closed_response_is_complete);
  g_test_add_func ("/http-client/reset-response-is-not-complete",
                   test_reset_response_is_not_complete);
  g_test_add_func ("/http-client/endless-response-ends-the-call",
                   test_endless_response_ends_the_call);
  g_test_add_func ("/http-client/invalid-status-is-not-complete",
                   test_invalid_status_is_not_complete);
  return g_test_run ();
}
