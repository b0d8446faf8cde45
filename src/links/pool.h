/** @file
    Pool of HTTP/1.1 connections to upstreams.  A connection carries one
    request at a time.  It is reused only after a complete response to that
    request, with no request or response bytes left over.  */
#ifndef LINKS_POOL_H
#define LINKS_POOL_H

#include "base/http_head.h"
#include "links/http_codec.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

/** Default of pool_request.unacked_ms.  */
#define POOL_UNACKED_MS 1000
/** Default of receive_bytes in struct pool_request.  */
#define POOL_RECEIVE_BYTES (64 * 1024)

/** Connections to all upstreams of a component.  */
struct pool;

/** One request in flight to an upstream.  */
struct pool_call;

/** How a call ended.  */
enum pool_outcome
{
  POOL_COMPLETE,     /**< the complete response to this request arrived */
  POOL_NOT_SENT,     /**< failed before any request byte was sent */
  POOL_DISCONNECTED, /**< request bytes were sent; the connection was closed or
                reset before the response was complete */
  POOL_BAD_RESPONSE, /**< request bytes were sent; the response is malformed or
                    does not carry the id of this request */
  POOL_UNRESPONSIVE  /**< request bytes were sent; the host of the upstream
                   acknowledged neither bytes nor probes in time */
};

/** Request to send, and rules for the choice of its connection.  */
struct pool_request
{
  const char *upstream; /**< id of the instance; key of its connections */
  const char *address;  /**< IP:PORT */
  unsigned connections; /**< most connections to UPSTREAM, busy and idle */
  const char *id_field; /**< field with the request id, in the head of the
                             request and of its response; NULL to accept any
                             response */
  bool id_optional; /**< a response need not have the id.  The connection is
                         then not reused, as a late copy of the response could
                         not be told from the next one */
  struct http_head *head; /**< head of the request; borrowed */
  struct evbuffer *body;  /**< body of the request; borrowed, not drained */
  unsigned reuse_ms;    /**< do not reuse a connection that was idle longer */
  bool new_connection;  /**< always open a new connection */
  size_t receive_bytes; /**< the kernel's buffer for the response, which it
                           doubles; 0: POOL_RECEIVE_BYTES */
  unsigned unacked_ms;  /**< the connection counts as lost when sent bytes stay
                             unacknowledged for this long; 0 for the default,
                             POOL_UNACKED_MS */
};

/** Callbacks of a call.  They run from the event loop, never from within
    pool_send.  */
struct pool_callbacks
{
  /** The head of the response has arrived; not called for 1xx responses.  */
  void (*on_head) (void *arg, struct http_head *head,
                   enum http_framing framing, uint64_t length);
  /** Body bytes have arrived in DATA.  The callback drains what it
      processes; the rest is passed again with the next bytes.  */
  void (*on_data) (void *arg, struct evbuffer *data);
  /** The call ended; the call has been freed.  */
  void (*on_end) (void *arg, enum pool_outcome end);
};

/** Counters of a pool since its creation.  */
struct pool_counts
{
  uint64_t opened;          /**< connections opened */
  uint64_t reused;          /**< requests sent on an idle connection */
  uint64_t stray_responses; /**< responses skipped because they carry the id of
                               another request */
};

/** Creates a pool whose connections run on BASE.  It keeps at most CONNECTIONS
    of them, 0 for no bound, to all upstreams: at the bound the connection that
    has been idle for longest is closed for a new one.  Only calls in progress
    can exceed it.  */
struct pool *pool_create (struct event_base *base, unsigned connections);

/** Frees POOL, which may be NULL; calls in flight are cancelled without a
    callback.  */
void pool_destroy (struct pool *pool);

/** Sends REQUEST.  Returns NULL if REQUEST->connections connections to the
    upstream are busy already, or if a new one could not be opened.  CALLBACKS
    must outlive the call.  */
struct pool_call *pool_send (struct pool *pool,
                             const struct pool_request *request,
                             const struct pool_callbacks *callbacks,
                             void *arg);

/** Cancels CALL, which may be NULL, without a callback.  Closes its
    connection, so that the upstream notices and stops the request.  */
void pool_cancel (struct pool_call *call);

/** Stops reading the response of CALL if PAUSED, otherwise resumes it.  */
void pool_pause (struct pool_call *call, bool paused);

/** Whether any byte of the request was written to the socket.  */
bool pool_call_bytes_sent (const struct pool_call *call);

/** Whether the upstream has closed or reset the connection of CALL, whose
    response may be unread in part.  */
bool pool_call_has_ended (const struct pool_call *call);

/** Closes the idle connections to UPSTREAM; busy ones stay open.  */
void pool_close_idle (struct pool *pool, const char *upstream);

/** Number of connections to UPSTREAM, busy and idle.  */
unsigned pool_connections (const struct pool *pool, const char *upstream);

/** Counters of POOL; valid as long as POOL.  */
const struct pool_counts *pool_counts (const struct pool *pool);

#endif
