/** @file
    HTTP server of the API for callers and operators, on top of the listener
    in links/http_listener.h.  */
#ifndef LINKS_HTTP_SERVER_H
#define LINKS_HTTP_SERVER_H

#include "links/loop_clock.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** HTTP server on one address.  */
struct http_server;

/** One request that has no complete response yet.  It is freed when its
    response ends, when it is aborted, or when the caller disconnects.  */
struct http_request;

/** Limits on callers.  */
struct http_limits
{
  size_t body_bytes;   /**< of a request body; 0 for no limit */
  size_t header_bytes; /**< of a request head; 0 or more than 64 KiB: 64 KiB */
  unsigned connections;     /**< open at a time; others are closed on accept */
  struct loop_clock *clock; /**< of the event loop; NULL for none */
};

/** Handles a request that has been received completely.  It may respond
    before it returns or later.  */
typedef void http_handler (void *arg, struct http_request *request);

/** Creates a server that listens on IP:PORT.  Returns NULL and sets ERROR
    (RESULT_USAGE) if it cannot listen there.  */
struct http_server *http_server_create (struct event_base *base,
                                        const char *ip, uint16_t port,
                                        const struct http_limits *limits,
                                        http_handler *handler, void *arg,
                                        GError **error);

/** Frees SERVER, which may be NULL, and closes its listener and every
    connection.  */
void http_server_destroy (struct http_server *server);

/** Stops accepting connections; open ones stay.  */
void http_server_close_listener (struct http_server *server);

/** Number of requests without a complete response.  */
unsigned http_server_open_requests (const struct http_server *server);

/* Reading of a request.  */

/** Earliest time at which the first byte of R can have come, in milliseconds
   of the monotonic clock.  */
int64_t http_request_since_ms (const struct http_request *r);
/** Method, such as "GET".  */
const char *http_request_method (const struct http_request *r);
/** Path without the query.  */
const char *http_request_path (const struct http_request *r);
/** Query as it was sent, not decoded and without the question mark; NULL if
    there is none.  */
const char *http_request_raw_query (const struct http_request *r);
/** Decoded value of the query parameter NAME; NULL if it is missing or the
    query cannot be parsed.  */
const char *http_request_query (const struct http_request *r,
                                const char *name);
/** Value of the first header field NAME, or NULL.  */
const char *http_request_header (const struct http_request *r,
                                 const char *name);
/** Body in contiguous memory, valid as long as R; sets SIZE to its size in
    bytes.  */
const void *http_request_body (const struct http_request *r, size_t *size);

/* Sending of a response.  */

/** Adds a header field to the response.  Call it before
    http_request_reply or http_request_stream_start.  */
void http_request_set_header (struct http_request *r, const char *name,
                              const char *value);
/** Sends a complete response and frees R.  */
void http_request_reply (struct http_request *r, int status,
                         const char *content_type, const void *body,
                         size_t size);
/** Starts a response with status 200 that is a stream of server-sent
    events.  */
void http_request_stream_start (struct http_request *r);
/** Sends SIZE bytes of the stream.  */
void http_request_stream_send (struct http_request *r, const void *data,
                               size_t size);
/** Number of bytes that are buffered because the caller reads slowly.  */
size_t http_request_stream_backlog (const struct http_request *r);
/** Ends the stream and frees R.  */
void http_request_stream_end (struct http_request *r);
/** Closes the connection, so that the caller sees an incomplete response.
    Frees R, then runs on_close.  */
void http_request_abort (struct http_request *r);
/** Sets the callback for a caller that disconnects before the response has
    ended, and for http_request_abort.  R is already freed when it runs.  */
void http_request_on_close (struct http_request *r, void (*on_close) (void *),
                            void *arg);

#endif
