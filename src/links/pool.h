/** @file
    Connections to upstreams: one request at a time on each, kept for the next
    one only after an answer that left no doubt.  */
#ifndef LINKS_POOL_H
#define LINKS_POOL_H

#include "base/http_head.h"
#include "links/http_codec.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

struct pool;

/** One request under way at an upstream.  */
struct pool_call;

/** How a call ended.  */
enum pool_end
{
  POOL_WHOLE,    /**< a whole answer came, of this request */
  POOL_NOT_SENT, /**< it failed before a byte left */
  POOL_CUT,      /**< bytes left; closed or reset before a whole answer */
  POOL_SPOILED,  /**< bytes left; what came is no answer of this request */
  POOL_SILENT    /**< bytes left; the peer acknowledges nothing */
};

/** What to send.  */
struct pool_request
{
  const char *upstream;   /**< instance, key of its connections */
  const char *address;    /**< IP:PORT */
  unsigned connections;   /**< most to hold to UPSTREAM, busy ones included */
  const char *id_field;   /**< field of head and answer that names the request;
                               NULL where answers name none */
  struct http_head *head; /**< borrowed */
  struct evbuffer *body;  /**< borrowed; not drained */
  unsigned reuse_ms;      /**< longest idle time of a connection to use */
  bool fresh;             /**< open a connection of its own */
};

/** What a call reports to.  Callbacks run from the loop, never from within
    pool_send.  */
struct pool_events
{
  /** The head of the answer is there.  */
  void (*on_head) (void *arg, struct http_head *head,
                   enum http_framing framing, uint64_t length);
  /** Body bytes have come; drain DATA.  */
  void (*on_data) (void *arg, struct evbuffer *data);
  /** The call ended; it is gone after this.  */
  void (*on_end) (void *arg, enum pool_end end);
};

/** Counts of a pool, since it was made.  */
struct pool_counts
{
  uint64_t opened;
  uint64_t reused;
  uint64_t stray_answers; /**< answers of other requests, passed over */
};

/** Makes a pool.  */
struct pool *pool_create (struct event_base *base);

/** Releases POOL; calls under way end without a callback.  */
void pool_destroy (struct pool *pool);

/** Sends REQUEST.  Returns NULL where no connection may be opened now.  */
struct pool_call *pool_send (struct pool *pool,
                             const struct pool_request *request,
                             const struct pool_events *events, void *arg);

/** Ends CALL without a callback and closes its connection, so that the
    upstream stops.  */
void pool_cancel (struct pool_call *call);

/** Stops or goes on reading the answer.  */
void pool_pause (struct pool_call *call, bool paused);

/** Whether a byte of CALL has left.  */
bool pool_call_sent (const struct pool_call *call);

/** Closes the idle connections to UPSTREAM.  */
void pool_forget (struct pool *pool, const char *upstream);

/** Connections to UPSTREAM, busy and idle.  */
unsigned pool_connections (const struct pool *pool, const char *upstream);

/** Counts.  */
const struct pool_counts *pool_counts (const struct pool *pool);

#endif
