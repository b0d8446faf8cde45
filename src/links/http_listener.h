/** @file
    HTTP/1.1 listener for callers.  Receives complete requests; sends responses
    as a whole or in parts.  A connection handles one request at a time;
    pipelined requests wait in its read buffer and in the socket.  */
#ifndef LINKS_HTTP_LISTENER_H
#define LINKS_HTTP_LISTENER_H

#include "base/http_head.h"
#include "decide/memory_budget.h"
#include "links/http_codec.h"
#include "links/loop_clock.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Listening socket with its connections.  */
struct http_listener;

/** One request that has no complete response yet.  It is freed when its
    response ends, when it is aborted, or when the caller disconnects.  */
struct inbound_request;

/** Size limits, time-outs and connection limit.  */
struct http_listener_limits
{
  size_t head_bytes;   /**< of a request head; 0 or more than 64 KiB: 64 KiB */
  uint64_t body_bytes; /**< of a request body; 0 for no limit */
  unsigned read_ms;    /**< from the first byte of a request to its last */
  unsigned idle_ms; /**< without a request before the connection is closed */
  unsigned connections; /**< open at a time; at this number, one that does
                           nothing is closed for a new one */
  unsigned stall_ms;    /**< without progress of a body while others wait for
                           memory, before it is refused; 0: no bound */
  struct memory_budget *memory; /**< of requests and of responses that wait,
                                   which listeners may share; NULL for no
                                   bound.  memory_budget_set_largest is the
                                   owner's to call */
  struct loop_clock *clock;     /**< of the event loop; NULL for none */
};

/** Callbacks of the listener.  */
struct http_listener_callbacks
{
  /** A request has arrived completely.  The callback may respond before it
      returns or later.  */
  void (*on_request) (void *arg, struct inbound_request *r);
  /** The listener rejects a request with STATUS (400, 408, 413, 431 or 503)
      for REASON, a message in English.  Returns the JSON body of the error
      response, which the listener frees, or NULL for none.  May be NULL.  */
  char *(*on_refused) (void *arg, unsigned status, const char *reason);
};

/** Returns the most memory that one request within LIMITS takes.  */
size_t
http_listener_largest_request (const struct http_listener_limits *limits);

/** Returns for how many connections of callers the process has descriptors, if
    each needs one to an upstream as well.  */
unsigned http_bound_descriptors (void);

/** Creates a listener on ADDRESS (IP:PORT).  Returns NULL and sets ERROR
    (RESULT_USAGE) if ADDRESS is malformed or cannot be listened on.
    CALLBACKS must outlive the listener.  */
struct http_listener *
http_listener_create (struct event_base *base, const char *address,
                      const struct http_listener_limits *limits,
                      const struct http_listener_callbacks *callbacks,
                      void *arg, GError **error);

/** Frees F, which may be NULL; closes the listener and every connection.
    on_close does not run.  */
void http_listener_destroy (struct http_listener *f);

/** Replaces the limits.  Size limits apply to input parsed from now on,
    time-outs to timers started from now on.  */
void http_listener_set_limits (struct http_listener *f,
                               const struct http_listener_limits *limits);

/** Starts draining: each connection is closed after its next response whose
    head is not sent yet, or after IDLE_MS without a request.  */
void http_listener_drain (struct http_listener *f, unsigned idle_ms);

/** Stops accepting connections; open ones stay.  */
void http_listener_stop_accepting (struct http_listener *f);

/** Number of requests without a complete response.  */
unsigned http_listener_open_requests (const struct http_listener *f);

/** Number of open connections.  */
unsigned http_listener_connections (const struct http_listener *f);

/* Reading of a request.  */

/** Head of R; the handler may change it.  */
struct http_head *inbound_request_head (struct inbound_request *r);
/** Complete body of R; the handler may drain it.  */
struct evbuffer *inbound_request_body (struct inbound_request *r);
/** Time at which the first byte of R was read, in milliseconds of the
    monotonic clock.  */
int64_t inbound_request_start_ms (const struct inbound_request *r);
/** Earliest time at which the first byte of R can have come: it may have
   waited for the event loop, or behind other requests of its connection.  */
int64_t inbound_request_since_ms (const struct inbound_request *r);

/* Sending of a response.  */

/** Sets the callback for a caller that disconnects before the response has
    ended.  R is already freed when it runs.  */
void inbound_request_on_close (struct inbound_request *r,
                               void (*on_close) (void *), void *arg);
/** Sets the callback that runs whenever all bytes of the response that were
    passed on so far are written to the socket, and more may follow.  */
void inbound_request_on_drained (struct inbound_request *r,
                                 void (*on_drained) (void *), void *arg);
/** Sends a complete response and frees R.  HEAD has the status and the fields
    other than Content-Length.  */
void inbound_request_reply (struct inbound_request *r,
                            const struct http_head *head, const void *body,
                            size_t size);
/** Starts a response whose body is sent in parts.  LENGTH is its size for
    HTTP_FRAMING_SIZED.  HTTP_FRAMING_CLOSE is sent as chunked to HTTP/1.1
    callers, and HTTP_FRAMING_CHUNKED as ended by close to HTTP/1.0 callers,
    which cannot parse chunks.  */
void inbound_request_stream_start (struct inbound_request *r,
                                   const struct http_head *head,
                                   enum http_framing framing, uint64_t length);
/** Sends DATA as a part of the body and drains it.  */
void inbound_request_stream_send (struct inbound_request *r,
                                  struct evbuffer *data);
/** Number of response bytes not yet written to the socket.  */
size_t inbound_request_stream_backlog (const struct inbound_request *r);
/** Ends the response and frees R.  */
void inbound_request_stream_end (struct inbound_request *r);
/** Closes the connection, so that the caller sees an incomplete response, and
    frees R.  on_close does not run.  */
void inbound_request_abort (struct inbound_request *r);

#endif
