/** @file
    Sockets of the pool's connections to upstreams: their options, and what the
    kernel knows of them.  */
#ifndef LINKS_POOL_SOCKET_H
#define LINKS_POOL_SOCKET_H

#include <stdbool.h>
#include <stddef.h>

/** Opens a TCP socket that does not block and has keep-alive probes.  Returns
    -1 if there is no descriptor left.  */
int pool_socket_open (void);

/** Bounds the kernel's buffer for what was not read from FD to BYTES, which it
    doubles.  Without a bound it would grow to several MB while reading is
    paused.  */
void pool_socket_set_receive_bytes (int fd, size_t bytes);

/** The connection FD counts as lost when sent bytes or probes stay
    unacknowledged for MS.  */
void pool_socket_set_unacked_ms (int fd, unsigned ms);

/** Whether the peer of FD has acknowledged all bytes that were written.  */
bool pool_socket_is_acked (int fd);

/** Whether the peer of FD has closed or reset the connection, though bytes
   that came before may be unread.  */
bool pool_socket_has_ended (int fd);

/** Whether the idle connection FD is still usable: open and with nothing to
    read.  The event loop may not have reported input or a close yet.  */
bool pool_socket_is_usable (int fd);

#endif
