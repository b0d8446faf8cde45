#include "links/bev_close.h"

#include <unistd.h>

void
bev_close (struct bufferevent *bev)
{
  evutil_socket_t fd = bufferevent_getfd (bev);
  if (fd >= 0)
    {
      (void)bufferevent_setfd (bev, -1);
      close (fd);
    }
  bufferevent_free (bev);
}
