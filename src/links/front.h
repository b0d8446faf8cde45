/** @file
    Listener for callers: reads requests whole, writes answers whole or in
    parts.  One request at a time is answered on a connection; what comes after
    it waits in the socket.  */
#ifndef LINKS_FRONT_H
#define LINKS_FRONT_H

#include "base/http_head.h"
#include "links/http_codec.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct front;

/** One request that is being answered.  It lives until its answer has been
    handed over whole, was aborted, or the caller went away.  */
struct front_request;

/** Bounds on what callers may send and on how long they may take.  */
struct front_limits
{
  size_t head_bytes;
  uint64_t body_bytes;
  unsigned read_ms;     /**< from the first byte of a request to its last */
  unsigned idle_ms;     /**< between requests */
  unsigned connections; /**< held at once; more are closed at once */
};

/** What the listener reports to.  */
struct front_events
{
  /** A request has been read whole; answer it now or later.  */
  void (*on_request) (void *arg, struct front_request *r);
  /** A request is refused by the listener itself; returns the JSON body of
      that answer, to be freed, or NULL for none.  May be NULL.  */
  char *(*on_refused) (void *arg, unsigned status, const char *reason);
};

/** Listens on IP:PORT of ADDRESS.  Returns NULL and sets ERROR where it
    cannot.  */
struct front *front_create (struct event_base *base, const char *address,
                            const struct front_limits *limits,
                            const struct front_events *events, void *arg,
                            GError **error);

/** Closes the listener and every connection.  */
void front_destroy (struct front *f);

/** Replaces the limits, for what is read from now on.  */
void front_set_limits (struct front *f, const struct front_limits *limits);

/** Answers from now on end their connection, and idle ones are closed once
    IDLE_MS have passed on them.  */
void front_drain (struct front *f, unsigned idle_ms);

/** Stops taking new connections.  */
void front_close_listener (struct front *f);

/** Requests being answered.  */
unsigned front_open_requests (const struct front *f);

/** Connections held.  */
unsigned front_connections (const struct front *f);

/* What the caller sent.  */

/** Head of R; the handler may change it.  */
struct http_head *front_request_head (struct front_request *r);
/** Body of R, whole.  */
struct evbuffer *front_request_body (struct front_request *r);
/** When the first byte of R was read, milliseconds of the monotonic clock.  */
int64_t front_request_since_ms (const struct front_request *r);

/* Answering.  */

/** Sets what runs when the caller leaves before the answer has ended; R is
    gone after it.  */
void front_request_watch (struct front_request *r, void (*on_gone) (void *),
                          void *arg);
/** Sends a whole answer; HEAD carries status and fields without
    Content-Length.  R is gone after this.  */
void front_request_reply (struct front_request *r,
                          const struct http_head *head, const void *body,
                          size_t size);
/** Starts an answer that comes in parts.  HTTP_FRAMING_CLOSE goes out in
    chunks where the caller can read them.  */
void front_request_start (struct front_request *r,
                          const struct http_head *head,
                          enum http_framing framing, uint64_t length);
/** Sends and drains DATA.  */
void front_request_send (struct front_request *r, struct evbuffer *data);
/** Bytes that the caller has not read yet.  */
size_t front_request_backlog (const struct front_request *r);
/** Ends the answer; R is gone after this.  */
void front_request_end (struct front_request *r);
/** Cuts the connection, so that the answer does not look whole.  R is gone
    after this; on_gone does not run.  */
void front_request_abort (struct front_request *r);

#endif
