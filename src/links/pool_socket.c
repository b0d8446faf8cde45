#include "links/pool_socket.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/* TCP keep-alive: idle time before the first probe, interval and number of
   probes.  */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2

static void
set_options (int fd)
{
  int one = 1;
  int idle = KEEPALIVE_IDLE_S;
  int interval = KEEPALIVE_INTERVAL_S;
  int count = KEEPALIVE_PROBES;
  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  (void)setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval,
                    sizeof interval);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
}

int
pool_socket_open (void)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0)
    set_options (fd);
  return fd;
}

void
pool_socket_set_receive_bytes (int fd, size_t bytes)
{
  int size = (int)bytes;
  (void)setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
}

void
pool_socket_set_unacked_ms (int fd, unsigned ms)
{
  (void)setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

bool
pool_socket_is_acked (int fd)
{
  int unacked = 0;
  return ioctl (fd, SIOCOUTQ, &unacked) == 0 && unacked == 0;
}

bool
pool_socket_has_ended (int fd)
{
  struct pollfd p = { .fd = fd, .events = POLLRDHUP };
  return poll (&p, 1, 0) > 0;
}

bool
pool_socket_is_usable (int fd)
{
  char byte;
  ssize_t n = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}
