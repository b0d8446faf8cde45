#include "links/input_age.h"

#include "base/log.h"

#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

#define US_PER_MS 1000
/* Least age that shows that the kernel tells it.  */
#define TOLD_MIN_MS (INPUT_AGE_PROBE_MS / 2)

/* Whether the kernel tells ages; false until that is known.  */
static bool is_told;
/* Ends of the connection on which it is found out; -1 for none.  */
static int probe_ends[2] = { -1, -1 };

/* Returns the age that the kernel states for FD; -1 for none.  */
static int64_t
stated_age_ms (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t size = sizeof info;
  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return -1;
  return info.tcpi_last_data_recv;
}

static void
close_probe (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (probe_ends); i++)
    {
      if (probe_ends[i] >= 0)
        close (probe_ends[i]);
      probe_ends[i] = -1;
    }
}

static void
on_probe_end (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  is_told = stated_age_ms (probe_ends[0]) >= TOLD_MIN_MS;
  log_event (LOG_INFO, "input_age_probed", "told", is_told ? "true" : "false",
             NULL);
  close_probe ();
}

/* Connects the process to itself and sends a byte to PROBE_ENDS[0].  Returns
   false if that fails.  */
static bool
open_probe (int listener)
{
  struct sockaddr_in sa
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof sa;
  if (bind (listener, (struct sockaddr *)&sa, size) != 0
      || listen (listener, 1) != 0
      || getsockname (listener, (struct sockaddr *)&sa, &size) != 0)
    return false;
  probe_ends[1] = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (probe_ends[1] < 0
      || connect (probe_ends[1], (struct sockaddr *)&sa, size) != 0)
    return false;
  probe_ends[0] = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
  return probe_ends[0] >= 0 && send (probe_ends[1], "", 1, MSG_NOSIGNAL) == 1;
}

void
input_age_probe (struct event_base *base)
{
  static const struct timeval end = { 0, INPUT_AGE_PROBE_MS * US_PER_MS };
  if (is_told || probe_ends[0] >= 0)
    return;
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool ok = listener >= 0 && open_probe (listener)
            && event_base_once (base, -1, EV_TIMEOUT, on_probe_end, NULL, &end)
                   == 0;
  if (listener >= 0)
    close (listener);
  if (!ok)
    close_probe ();
}

int64_t
input_age_ms (int fd, int64_t most_ms)
{
  int64_t age_ms = is_told ? stated_age_ms (fd) : -1;
  return age_ms >= 0 ? MIN (age_ms, most_ms) : most_ms;
}
