#include "harness/relay.h"

#include "harness/proc.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define POLL_MS 5

/* A forwarded connection: the socket of the client, the socket to the target
   and the bytes in transit between them.  */
struct connection
{
  int fd[2];           /* 0: client, 1: target */
  GString *pending[2]; /* bytes to send to fd[i] */
  gint64 due_us[2];    /* earliest send time of pending[i], set when its
                          first byte arrived */
  gboolean ended[2];   /* fd[i] was closed in an orderly way */
  gboolean blackholed;
};

struct relay
{
  char *target;
  char *address;
  int listener;
  GThread *thread;
  GMutex lock;
  gboolean stop;
  gboolean blackhole; /* requested; cleared once the thread has applied it */
  gboolean close_requested; /* cleared once the thread has applied it */
  gboolean refuse;
  gboolean hold[2]; /* hold back the bytes from fd[i] of each connection */
  guint delay_ms;
  guint connections;
  GPtrArray *connection_list; /* struct connection */
};

static struct sockaddr_in
sockaddr_of (const char *address)
{
  const char *colon = strrchr (address, ':');
  g_autofree char *ip = g_strndup (address, (gsize)(colon - address));
  struct sockaddr_in sa = { .sin_family = AF_INET };
  sa.sin_port = htons ((uint16_t)g_ascii_strtoull (colon + 1, NULL, 10));
  inet_pton (AF_INET, ip, &sa.sin_addr);
  return sa;
}

/* Closes both sides with a reset unless each byte that a side sent before it
   closed has been passed on: otherwise the other side would take what it got
   for all.  */
static void
connection_free (void *p)
{
  struct connection *x = p;
  gboolean orderly = (x->ended[0] && x->pending[1]->len == 0)
                     || (x->ended[1] && x->pending[0]->len == 0);
  struct linger reset = { 1, 0 };
  for (int i = 0; i < 2 && !orderly; i++)
    setsockopt (x->fd[i], SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  for (int i = 0; i < 2; i++)
    {
      close (x->fd[i]);
      g_string_free (x->pending[i], TRUE);
    }
  g_free (x);
}

static void
accept_connection (struct relay *r)
{
  int fd = accept (r->listener, NULL, NULL);
  if (fd < 0)
    return;
  struct sockaddr_in sa = sockaddr_of (r->target);
  int to = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (r->refuse || to < 0
      || connect (to, (struct sockaddr *)&sa, sizeof sa) != 0)
    {
      close (fd);
      if (to >= 0)
        close (to);
      return;
    }
  struct connection *x = g_new0 (struct connection, 1);
  x->fd[0] = fd;
  x->fd[1] = to;
  for (int i = 0; i < 2; i++)
    {
      fcntl (x->fd[i], F_SETFL, O_NONBLOCK);
      x->pending[i] = g_string_new (NULL);
    }
  r->connections++;
  g_ptr_array_add (r->connection_list, x);
}

/* Forwards bytes from fd[FROM] to the other socket, unless they are held
   back.  Returns false if either side has failed, or if fd[FROM] was closed
   and all its bytes were passed on; the caller then closes the connection.  */
static gboolean
forward_bytes (const struct relay *r, struct connection *x, int from)
{
  char buf[65536];
  GString *out = x->pending[1 - from];
  gint64 now = g_get_monotonic_time ();
  if (r->hold[from])
    return TRUE;
  ssize_t n = recv (x->fd[from], buf, sizeof buf, 0);
  if (n < 0 && errno != EAGAIN)
    return FALSE;
  x->ended[from] = n == 0;
  if (x->ended[from] && out->len == 0)
    return FALSE;
  if (n > 0 && out->len == 0)
    x->due_us[1 - from] = now + (gint64)r->delay_ms * 1000;
  if (n > 0)
    g_string_append_len (out, buf, n);
  if (out->len == 0 || now < x->due_us[1 - from])
    return TRUE;
  n = send (x->fd[1 - from], out->str, out->len, MSG_NOSIGNAL);
  if (n > 0)
    g_string_erase (out, 0, n);
  return n > 0 || errno == EAGAIN;
}

/* Polls all sockets once, accepts a connection, applies requested faults and
   forwards bytes.  Releases the lock during the poll.  */
static void
run_once (struct relay *r)
{
  g_autoptr (GArray) polls = g_array_new (FALSE, TRUE, sizeof (struct pollfd));
  struct pollfd p = { .fd = r->listener, .events = POLLIN };
  g_array_append_val (polls, p);
  for (guint i = 0; i < r->connection_list->len; i++)
    {
      struct connection *x = g_ptr_array_index (r->connection_list, i);
      for (int k = 0; k < 2 && !x->blackholed; k++)
        {
          p.fd = r->hold[k] ? -1 : x->fd[k];
          g_array_append_val (polls, p);
        }
    }
  g_mutex_unlock (&r->lock);
  int ready = poll ((struct pollfd *)(void *)polls->data, polls->len, POLL_MS);
  g_mutex_lock (&r->lock);
  if (ready > 0
      && (g_array_index (polls, struct pollfd, 0).revents & POLLIN) != 0)
    accept_connection (r);
  for (guint i = 0; i < r->connection_list->len; i++)
    {
      struct connection *x = g_ptr_array_index (r->connection_list, i);
      x->blackholed |= r->blackhole;
      if (r->close_requested
          || (!x->blackholed
              && (!forward_bytes (r, x, 0) || !forward_bytes (r, x, 1))))
        g_ptr_array_remove_index (r->connection_list, i--);
    }
  r->blackhole = FALSE;
  r->close_requested = FALSE;
}

static gpointer
relay_thread (gpointer arg)
{
  struct relay *r = arg;
  g_mutex_lock (&r->lock);
  while (!r->stop)
    run_once (r);
  g_mutex_unlock (&r->lock);
  return NULL;
}

struct relay *
relay_create (const char *target)
{
  struct relay *r = g_new0 (struct relay, 1);
  struct sockaddr_in sa = { .sin_family = AF_INET };
  socklen_t len = sizeof sa;
  inet_pton (AF_INET, "127.0.0.1", &sa.sin_addr);
  r->target = g_strdup (target);
  r->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (r->listener, (struct sockaddr *)&sa, sizeof sa) != 0
      || listen (r->listener, 64) != 0
      || getsockname (r->listener, (struct sockaddr *)&sa, &len) != 0)
    g_error ("relay cannot listen on a port of 127.0.0.1");
  r->address = g_strdup_printf ("127.0.0.1:%u", ntohs (sa.sin_port));
  r->connection_list = g_ptr_array_new_with_free_func (connection_free);
  g_mutex_init (&r->lock);
  r->thread = g_thread_new ("relay", relay_thread, r);
  return r;
}

void
relay_destroy (struct relay *r)
{
  g_mutex_lock (&r->lock);
  r->stop = TRUE;
  g_mutex_unlock (&r->lock);
  g_thread_join (r->thread);
  close (r->listener);
  g_ptr_array_unref (r->connection_list);
  g_mutex_clear (&r->lock);
  g_free (r->target);
  g_free (r->address);
  g_free (r);
}

const char *
relay_address (const struct relay *r)
{
  return r->address;
}

struct relay *
relay_insert (char **address)
{
  struct relay *r = relay_create (*address);
  g_free (*address);
  *address = g_strdup (relay_address (r));
  return r;
}

/* Waits until the thread has cleared FLAG, so that the fault does not affect
   connections accepted after the call.  The calling thread holds the lock.  */
static void
wait_applied (struct relay *r, const gboolean *flag)
{
  while (*flag)
    {
      g_mutex_unlock (&r->lock);
      g_usleep (1000);
      g_mutex_lock (&r->lock);
    }
}

void
relay_blackhole (struct relay *r)
{
  g_mutex_lock (&r->lock);
  r->blackhole = TRUE;
  wait_applied (r, &r->blackhole);
  g_mutex_unlock (&r->lock);
}

void
relay_close_connections (struct relay *r, gboolean refuse)
{
  g_mutex_lock (&r->lock);
  r->close_requested = TRUE;
  r->refuse = refuse;
  wait_applied (r, &r->close_requested);
  g_mutex_unlock (&r->lock);
}

void
relay_hold (struct relay *r, gboolean to_target, gboolean from_target)
{
  g_mutex_lock (&r->lock);
  r->hold[0] = to_target;
  r->hold[1] = from_target;
  g_mutex_unlock (&r->lock);
}

void
relay_delay (struct relay *r, guint ms)
{
  g_mutex_lock (&r->lock);
  r->delay_ms = ms;
  g_mutex_unlock (&r->lock);
}

guint
relay_connections (struct relay *r)
{
  g_mutex_lock (&r->lock);
  guint n = r->connections;
  g_mutex_unlock (&r->lock);
  return n;
}
