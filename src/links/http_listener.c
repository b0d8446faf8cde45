#include "links/http_listener_conn.h"

#include "base/address.h"
#include "base/error.h"
#include "base/log.h"
#include "base/metrics.h"

#include <errno.h>
#include <netinet/in.h>
#include <unistd.h>

#define LISTEN_BACKLOG 1024
/* How often bodies that wait for memory, and a listener without descriptors,
   are checked.  */
#define RECHECK_MS 250

/* Accepting of connections, and checks that are due later.  */

static void
on_accept (struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
           int len, void *arg)
{
  (void)l;
  (void)sa;
  (void)len;
  struct http_listener *f = arg;
  if (http_bound_make_room (f))
    {
      http_conn_create (f, fd);
      return;
    }
  metrics_add (METRIC_caller_connections_refused_total, 1);
  close (fd);
}

void
http_listener_recheck_later (struct http_listener *f)
{
  static const struct timeval later = { 0, RECHECK_MS * 1000 };
  if (!evtimer_pending (f->recheck, NULL))
    evtimer_add (f->recheck, &later);
}

/* No descriptor is left: closes a connection that does nothing, or stops
   accepting until the next check.  */
static void
on_accept_error (struct evconnlistener *l, void *arg)
{
  struct http_listener *f = arg;
  log_event (LOG_WARN, "accept_failed", "why", g_strerror (errno),
             "connections", log_num (g_hash_table_size (f->conns)), NULL);
  if (http_bound_close_one (f))
    return;
  evconnlistener_disable (l);
  http_listener_recheck_later (f);
}

static void
on_recheck (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct http_listener *f = arg;
  f->recheck_scheduled = false;
  if (f->listener)
    evconnlistener_enable (f->listener);
  if (http_body_recheck (f))
    http_listener_recheck_later (f);
}

/* Creation, limits, draining and release of the listener.  */

size_t
http_listener_largest_request (const struct http_listener_limits *limits)
{
  size_t head = http_codec_head_limit (limits->head_bytes);
  return (size_t)limits->body_bytes + http_head_memory_max (head);
}

struct http_listener *
http_listener_create (struct event_base *base, const char *address,
                      const struct http_listener_limits *limits,
                      const struct http_listener_callbacks *callbacks,
                      void *arg, GError **error)
{
  struct sockaddr_in sa;
  if (!address_to_sockaddr (address, &sa))
    {
      g_set_error (error, BUCKTHORN_ERROR, RESULT_USAGE,
                   "listen address '%s' is not IP:PORT", address);
      return NULL;
    }
  struct http_listener *f = g_new0 (struct http_listener, 1);
  f->base = base;
  f->limits = *limits;
  f->callbacks = callbacks;
  f->arg = arg;
  f->conns = g_hash_table_new (NULL, NULL);
  f->listener = evconnlistener_new_bind (
      base, on_accept, f, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      LISTEN_BACKLOG, (struct sockaddr *)&sa, sizeof sa);
  if (f->listener)
    {
      /* Connections inherit it, also before they are accepted.  */
      http_body_bound_buffer (f, evconnlistener_get_fd (f->listener));
      f->descriptors = http_bound_descriptors ();
      evconnlistener_set_error_cb (f->listener, on_accept_error);
      f->recheck = evtimer_new (base, on_recheck, f);
      return f;
    }
  g_set_error (error, BUCKTHORN_ERROR, RESULT_USAGE, "cannot listen on %s: %s",
               address, g_strerror (errno));
  g_hash_table_destroy (f->conns);
  g_free (f);
  return NULL;
}

void
http_listener_destroy (struct http_listener *f)
{
  if (f == NULL)
    return;
  http_listener_stop_accepting (f);
  g_autoptr (GList) conns = g_hash_table_get_keys (f->conns);
  for (GList *l = conns; l; l = l->next)
    http_conn_free (l->data);
  g_hash_table_destroy (f->conns);
  event_free (f->recheck);
  g_free (f);
}

void
http_listener_set_limits (struct http_listener *f,
                          const struct http_listener_limits *limits)
{
  f->limits = *limits;
  struct http_size_limits size_limits
      = { limits->head_bytes, limits->body_bytes };
  GHashTableIter it;
  gpointer key;
  g_hash_table_iter_init (&it, f->conns);
  while (g_hash_table_iter_next (&it, &key, NULL))
    http_codec_set_limits (((struct http_listener_conn *)key)->codec,
                           &size_limits);
}

void
http_listener_drain (struct http_listener *f, unsigned idle_ms)
{
  f->draining = true;
  f->limits.idle_ms = idle_ms;
  GHashTableIter it;
  gpointer key;
  g_hash_table_iter_init (&it, f->conns);
  while (g_hash_table_iter_next (&it, &key, NULL))
    http_conn_drain (key, idle_ms);
}

void
http_listener_stop_accepting (struct http_listener *f)
{
  if (f->listener)
    evconnlistener_free (f->listener);
  f->listener = NULL;
}

unsigned
http_listener_open_requests (const struct http_listener *f)
{
  return f->open_requests;
}

unsigned
http_listener_connections (const struct http_listener *f)
{
  return g_hash_table_size (f->conns);
}
