#include "fakes/faults.h"

#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

static struct event_base *base;
static GHashTable *faults; /* name -> value */
static fake_handler *handler;
static int flag_count;
static char **flags;
static bool bypass_faults; /* set while /seen or /op is handled */

struct event_base *
fake_base (void)
{
  return base;
}

int64_t
fault (const char *name)
{
  return (int64_t)GPOINTER_TO_SIZE (g_hash_table_lookup (faults, name));
}

void
fault_set (const char *name, int64_t value)
{
  g_hash_table_replace (faults, g_strdup (name),
                        GSIZE_TO_POINTER ((gsize)value));
}

const char *
fake_flag (const char *name, const char *fallback)
{
  size_t n = strlen (name);
  for (int i = 1; i < flag_count; i++)
    if (strncmp (flags[i], "--", 2) == 0
        && strncmp (flags[i] + 2, name, n) == 0 && flags[i][2 + n] == '=')
      return flags[i] + 3 + n;
  return fallback;
}

const char *
fake_query (struct evkeyvalq *query, const char *name)
{
  return evhttp_find_header (query, name);
}

json_t *
fake_body_json (struct evhttp_request *req)
{
  struct evbuffer *in = evhttp_request_get_input_buffer (req);
  size_t n = evbuffer_get_length (in);
  return n ? json_loadb ((const char *)evbuffer_pullup (in, -1), n, 0, NULL)
           : NULL;
}

void
fake_close_connection (struct evhttp_request *req)
{
  struct evhttp_connection *conn = evhttp_request_get_connection (req);
  shutdown (bufferevent_getfd (evhttp_connection_get_bufferevent (conn)),
            SHUT_RDWR);
}

/* Replies, subject to the reply faults.  */

struct delayed_reply
{
  struct evhttp_request *req;
  int status;
  char *type;
  char *text;
  struct event *timer;
};

static void
send_reply (struct evhttp_request *req, int status, const char *type,
            const char *text)
{
  struct evbuffer *out = evhttp_request_get_output_buffer (req);
  evhttp_add_header (evhttp_request_get_output_headers (req), "Content-Type",
                     type);
  evbuffer_add (out, text, strlen (text));
  evhttp_send_reply (req, status, "", NULL);
}

static void
on_reply_delay_end (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct delayed_reply *d = arg;
  send_reply (d->req, d->status, d->type, d->text);
  event_free (d->timer);
  g_free (d->type);
  g_free (d->text);
  g_free (d);
}

static void
timer_add (struct event *timer, int64_t ms)
{
  struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };
  evtimer_add (timer, &tv);
}

void
fake_reply (struct evhttp_request *req, int status, const char *type,
            const char *text)
{
  int64_t drops = fault ("drop_replies");
  if (bypass_faults)
    {
      send_reply (req, status, type, text);
      return;
    }
  if (fault ("unanswered"))
    return;
  if (drops > 0)
    {
      fault_set ("drop_replies", drops - 1);
      fake_close_connection (req);
      return;
    }
  int64_t delay = fault ("reply_delay_ms");
  if (delay == 0)
    {
      send_reply (req, status, type, text);
      return;
    }
  struct delayed_reply *d = g_new0 (struct delayed_reply, 1);
  *d = (struct delayed_reply){ req, status, g_strdup (type), g_strdup (text),
                               NULL };
  d->timer = evtimer_new (base, on_reply_delay_end, d);
  timer_add (d->timer, delay);
}

void
fake_reply_json (struct evhttp_request *req, int status, json_t *root)
{
  g_autofree char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  fake_reply (req, status, "application/json", text);
}

/* Dispatch of requests, subject to the faults before the handler.  */

struct delayed_request
{
  struct evhttp_request *req;
  struct event *timer;
};

static void
dispatch (struct evhttp_request *req)
{
  struct evkeyvalq query;
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (req);
  const char *text = evhttp_uri_get_query (uri);
  evhttp_parse_query_str (text ? text : "", &query);
  handler (req, evhttp_uri_get_path (uri), &query);
  evhttp_clear_headers (&query);
}

static void
on_request_delay_end (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct delayed_request *d = arg;
  dispatch (d->req);
  event_free (d->timer);
  g_free (d);
}

static void
set_faults (struct evhttp_request *req)
{
  struct evkeyvalq query;
  struct evkeyval *kv;
  const char *text
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (req));
  evhttp_parse_query_str (text ? text : "", &query);
  TAILQ_FOREACH (kv, &query, next)
    fault_set (kv->key, g_ascii_strtoll (kv->value, NULL, 10));
  evhttp_clear_headers (&query);
  send_reply (req, 200, "text/plain", "set\n");
}

/* Disables Nagle's algorithm, as engines do, so that small responses are sent
   at once.  */
static void
set_nodelay (struct evhttp_request *req)
{
  struct evhttp_connection *conn = evhttp_request_get_connection (req);
  int on = 1;
  setsockopt (bufferevent_getfd (evhttp_connection_get_bufferevent (conn)),
              IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

static void
on_request (struct evhttp_request *req, void *arg)
{
  (void)arg;
  set_nodelay (req);
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (req));
  if (strcmp (path, "/fault") == 0)
    set_faults (req);
  else if (strcmp (path, "/seen") == 0 || strcmp (path, "/op") == 0)
    {
      bypass_faults = true;
      dispatch (req);
      bypass_faults = false;
    }
  else if (fault ("silent"))
    return;
  else if (fault ("refuse"))
    send_reply (req, 503, "text/plain", "refused: the fault refuse is set\n");
  else if (fault ("delay_ms"))
    {
      struct delayed_request *d = g_new0 (struct delayed_request, 1);
      d->req = req;
      d->timer = evtimer_new (base, on_request_delay_end, d);
      timer_add (d->timer, fault ("delay_ms"));
    }
  else
    dispatch (req);
}

static void
on_term (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  event_base_loopbreak (base);
}

void
fake_run (int argc, char **argv, fake_handler *cb)
{
  flag_count = argc;
  flags = argv;
  handler = cb;
  (void)signal (SIGPIPE, SIG_IGN);
  base = event_base_new ();
  faults = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  struct evhttp *http = evhttp_new (base);
  evhttp_set_allowed_methods (http, EVHTTP_REQ_GET | EVHTTP_REQ_POST
                                        | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
  evhttp_set_gencb (http, on_request, NULL);
  uint16_t port
      = (uint16_t)g_ascii_strtoull (fake_flag ("port", "0"), NULL, 10);
  struct evhttp_bound_socket *bound
      = evhttp_bind_socket_with_handle (http, "127.0.0.1", port);
  if (bound == NULL)
    g_error ("cannot listen on 127.0.0.1:%u", port);
  struct sockaddr_in ss = { .sin_family = AF_INET };
  socklen_t len = sizeof ss;
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&ss,
               &len);
  printf ("port=%u\n", (unsigned)g_ntohs (ss.sin_port));
  (void)fflush (stdout);
  struct event *term = evsignal_new (base, SIGTERM, on_term, NULL);
  event_add (term, NULL);
  event_base_dispatch (base);
  event_free (term);
  evhttp_free (http);
  event_base_free (base);
  g_hash_table_destroy (faults);
}
