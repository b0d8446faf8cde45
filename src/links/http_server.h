/** @file
    HTTP server of the callers' and operators' interface, over the listener of
    links/front.h.  */
#ifndef LINKS_HTTP_SERVER_H
#define LINKS_HTTP_SERVER_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct http_server;

/** One request being answered; lives until the server has sent the answer or
    the caller went away.  */
struct http_request;

/** Bounds on what callers may send.  */
struct http_limits
{
  size_t body_bytes;
  size_t header_bytes;
  unsigned connections;
};

/** Handles a request that has been read whole.  */
typedef void http_handler (void *arg, struct http_request *request);

/** Starts listening on IP:PORT.  Returns NULL and sets ERROR otherwise.  */
struct http_server *http_server_create (struct event_base *base,
                                        const char *ip, uint16_t port,
                                        const struct http_limits *limits,
                                        http_handler *handler, void *arg,
                                        GError **error);

/** Stops listening and releases the server.  */
void http_server_destroy (struct http_server *server);

/** Stops taking new connections.  */
void http_server_close_listener (struct http_server *server);

/** Requests being answered.  */
unsigned http_server_open_requests (const struct http_server *server);

/* What the caller sent.  */

/** Method, as "GET".  */
const char *http_request_method (const struct http_request *r);
/** Path without the query.  */
const char *http_request_path (const struct http_request *r);
/** Query as it was sent, without the question mark; NULL without one.  */
const char *http_request_raw_query (const struct http_request *r);
/** Value of a query argument, or NULL.  */
const char *http_request_query (const struct http_request *r,
                                const char *name);
/** Value of a header, or NULL.  */
const char *http_request_header (const struct http_request *r,
                                 const char *name);
/** Body, as one block; valid as long as the request.  */
const void *http_request_body (const struct http_request *r, size_t *size);

/* Answering.  */

/** Adds a header to the answer, before it is sent.  */
void http_request_set_header (struct http_request *r, const char *name,
                              const char *value);
/** Sends a whole answer; R is gone after this.  */
void http_request_reply (struct http_request *r, int status,
                         const char *content_type, const void *body,
                         size_t size);
/** Starts an answer of server-sent events.  */
void http_request_stream_start (struct http_request *r);
/** Sends SIZE bytes of the stream.  */
void http_request_stream_send (struct http_request *r, const void *data,
                               size_t size);
/** Bytes that wait for a slow caller.  */
size_t http_request_stream_backlog (const struct http_request *r);
/** Ends the stream; R is gone after this.  */
void http_request_stream_end (struct http_request *r);
/** Cuts the caller's connection; on_close runs.  */
void http_request_abort (struct http_request *r);
/** Sets what runs when the caller goes away before the answer ended; R is gone
    after it.  */
void http_request_on_close (struct http_request *r, void (*on_close) (void *),
                            void *arg);

#endif
