/** @file
    Calls to the platform's control address, against a server in the same event
    loop: rate, time-out, pauses, and a platform that cannot be reached.  */
#include "daemon/duty_calls.h"

#include "base/clock.h"
#include "platform/adapter.h"

#include <arpa/inet.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALLS_PER_S 5

/* A server, the calls to it and what came of them.  */
struct site
{
  struct event_base *base;
  struct evhttp *server;
  struct pool *pool;
  struct duty_calls *calls;
  char *address;
  int status;       /* of the responses; 0: none */
  unsigned arrived; /* calls at the server */
  char *last_call;  /* holder, token and body of the latest */
  unsigned ended;   /* calls that ended here */
  unsigned statuses[32];
};

static void
on_request (struct evhttp_request *req, void *arg)
{
  struct site *s = arg;
  struct evkeyvalq *fields = evhttp_request_get_input_headers (req);
  struct evbuffer *body = evhttp_request_get_input_buffer (req);
  g_autofree char *text = g_strndup ((const char *)evbuffer_pullup (body, -1),
                                     evbuffer_get_length (body));
  s->arrived++;
  g_free (s->last_call);
  s->last_call
      = g_strdup_printf ("%s %s %s %s", evhttp_request_get_uri (req),
                         evhttp_find_header (fields, "X-Duty-Holder"),
                         evhttp_find_header (fields, "X-Fence-Token"), text);
  if (s->status != 0)
    evhttp_send_reply (req, s->status, NULL, NULL);
}

static void
on_status (void *arg, unsigned status)
{
  struct site *s = arg;
  s->statuses[s->ended++] = status;
}

/* Calls go to ADDRESS, or to a server of the site's own if it is NULL.  */
static struct site *
site_create (const char *address)
{
  struct site *s = g_new0 (struct site, 1);
  s->base = event_base_new ();
  s->pool = pool_create (s->base, 0);
  s->server = evhttp_new (s->base);
  s->status = 200;
  struct evhttp_bound_socket *socket
      = evhttp_bind_socket_with_handle (s->server, "127.0.0.1", 0);
  struct sockaddr_in own = { 0 };
  socklen_t size = sizeof own;
  getsockname (evhttp_bound_socket_get_fd (socket), (struct sockaddr *)&own,
               &size);
  s->address = address
                   ? g_strdup (address)
                   : g_strdup_printf ("127.0.0.1:%u", ntohs (own.sin_port));
  evhttp_set_gencb (s->server, on_request, s);
  struct duty_calls_parts parts = { .base = s->base,
                                    .platform = &platform_adapter,
                                    .pool = s->pool,
                                    .vm = "vm-a",
                                    .address = s->address,
                                    .calls_per_s = CALLS_PER_S };
  s->calls = duty_calls_create (&parts);
  return s;
}

static void
site_destroy (struct site *s)
{
  duty_calls_destroy (s->calls);
  pool_destroy (s->pool);
  evhttp_free (s->server);
  event_base_free (s->base);
  g_free (s->address);
  g_free (s->last_call);
  g_free (s);
}

static void
post (struct site *s, uint64_t fence, bool in_time)
{
  struct http_head *head = http_head_create ();
  head->target = g_strdup ("/usage");
  duty_calls_post (s->calls, head, "{\"window\":1}", fence, in_time, on_status,
                   s);
}

/* Runs the loop until COUNT calls have ended.  Returns the time in ms.  */
static int64_t
run_until_ended (struct site *s, unsigned count)
{
  int64_t start = clock_ms ();
  while (s->ended < count && clock_ms () - start < 5000)
    event_base_loop (s->base, EVLOOP_ONCE);
  g_assert_cmpuint (s->ended, ==, count);
  return clock_ms () - start;
}

static void
test_call (void)
{
  struct site *s = site_create (NULL);
  post (s, 12, true);
  run_until_ended (s, 1);
  g_assert_cmpuint (s->statuses[0], ==, 200);
  g_assert_cmpstr (s->last_call, ==, "/usage vm-a 12 {\"window\":1}");
  /* Too late after its renewal, a call is not made.  */
  post (s, 12, false);
  run_until_ended (s, 2);
  g_assert_cmpuint (s->statuses[1], ==, DUTY_NOT_SENT);
  g_assert_cmpuint (s->arrived, ==, 1);
  site_destroy (s);
}

/* Calls over the rate end without a status, and are not made.  */
static void
test_rate (void)
{
  struct site *s = site_create (NULL);
  for (unsigned i = 0; i < CALLS_PER_S + 3; i++)
    post (s, 1, true);
  run_until_ended (s, CALLS_PER_S + 3);
  g_assert_cmpuint (s->arrived, ==, CALLS_PER_S);
  g_usleep (1200000);
  post (s, 1, true);
  run_until_ended (s, CALLS_PER_S + 4);
  g_assert_cmpuint (s->arrived, ==, CALLS_PER_S + 1);
  site_destroy (s);
}

/* A busy platform is left alone for a while.  */
static void
test_busy (void)
{
  static const int statuses[] = { 429, 503 };
  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    {
      struct site *s = site_create (NULL);
      s->status = statuses[i];
      post (s, 1, true);
      run_until_ended (s, 1);
      int64_t now = clock_boot_ms ();
      g_assert_cmpuint (s->statuses[0], ==, (unsigned)statuses[i]);
      g_assert_true (duty_calls_must_wait (s->calls, now));
      g_assert_false (duty_calls_must_wait (s->calls, now + 1000));
      site_destroy (s);
    }
}

/* A call without a response ends after its time-out; the platform counts as
   reached, as it is slow for all VMs.  */
static void
test_no_response (void)
{
  struct site *s = site_create (NULL);
  s->status = 0;
  post (s, 1, true);
  int64_t took = run_until_ended (s, 1);
  g_assert_cmpuint (s->statuses[0], ==, DUTY_NOT_SENT);
  g_assert_cmpint (took, >=, DUTY_TIMEOUT_MS - 10);
  g_assert_cmpint (took, <, DUTY_TIMEOUT_MS + 500);
  g_assert_cmpint (duty_calls_unreached_ms (s->calls, clock_boot_ms ()), ==,
                   0);
  site_destroy (s);
}

/* A platform that answers no attempt to connect, as behind a partition: a
   listener whose queue is full.  Guards against a holder that keeps the duties
   although it is cut off.  */
static void
test_unreached (void)
{
  struct sockaddr_in own
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof own;
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (bind (listener, (struct sockaddr *)&own, size), ==, 0);
  g_assert_cmpint (listen (listener, 0), ==, 0);
  getsockname (listener, (struct sockaddr *)&own, &size);
  int waiting[4];
  for (size_t i = 0; i < G_N_ELEMENTS (waiting); i++)
    {
      waiting[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect (waiting[i], (struct sockaddr *)&own, size);
    }
  g_autofree char *address
      = g_strdup_printf ("127.0.0.1:%u", ntohs (own.sin_port));
  struct site *s = site_create (address);
  post (s, 1, true);
  run_until_ended (s, 1);
  g_assert_cmpuint (s->statuses[0], ==, DUTY_NOT_SENT);
  post (s, 1, true);
  run_until_ended (s, 2);
  /* The kernel may give up an attempt before the time-out.  */
  g_assert_cmpint (duty_calls_unreached_ms (s->calls, clock_boot_ms ()), >=,
                   DUTY_TIMEOUT_MS);
  duty_calls_forget_unreached (s->calls);
  g_assert_cmpint (duty_calls_unreached_ms (s->calls, clock_boot_ms ()), ==,
                   0);
  site_destroy (s);
  for (size_t i = 0; i < G_N_ELEMENTS (waiting); i++)
    close (waiting[i]);
  close (listener);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/duty-calls/call", test_call);
  g_test_add_func ("/duty-calls/rate", test_rate);
  g_test_add_func ("/duty-calls/busy", test_busy);
  g_test_add_func ("/duty-calls/no-response", test_no_response);
  g_test_add_func ("/duty-calls/unreached", test_unreached);
  return g_test_run ();
}
