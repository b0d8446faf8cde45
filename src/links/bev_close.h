/** @file
    End of a bufferevent and its socket.  */
#ifndef LINKS_BEV_CLOSE_H
#define LINKS_BEV_CLOSE_H

#include <event2/bufferevent.h>

/** Closes the socket of BEV and frees BEV.  bufferevent_free alone closes it
    after the handlers of this turn of the event loop: one that opens and
   closes many connections would have them all open at once.  */
void bev_close (struct bufferevent *bev);

#endif
