/** @file
    HTTP client for engines, services and the platform.  A call has one
    response, delivered as a whole or streamed.  Connections come from
    links/pool.h.  */
#ifndef LINKS_HTTP_CLIENT_H
#define LINKS_HTTP_CLIENT_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Largest response body, in bytes, that a call holds for its callbacks.  A
    larger one ends the call like a lost connection.  */
#define HTTP_CLIENT_BODY_MAX_BYTES (16U * 1024 * 1024)

/** HTTP client with its pool of connections.  */
struct http_client;

/** One call in flight.  */
struct http_call;

/** Outcome of a call.  */
enum http_outcome
{
  HTTP_OUTCOME_COMPLETE, /**< the complete response arrived */
  HTTP_OUTCOME_NOT_SENT, /**< failed before any request byte was sent */
  HTTP_OUTCOME_UNKNOWN   /**< request bytes were sent, but no complete response
                      arrived; the peer may have run the request */
};

/** Response to a call; valid only within the callback.  */
struct http_response
{
  enum http_outcome end;
  int status;               /**< 0 unless END is HTTP_OUTCOME_COMPLETE */
  const char *content_type; /**< "" if there is none, never NULL */
  const char *field;     /**< value of the header field that the request named;
                            NULL     if there is none */
  struct evbuffer *body; /**< bytes that on_data has not drained; NULL unless
                            END is HTTP_OUTCOME_COMPLETE */
};

/** Request of a call; borrowed during http_client_call.  */
struct http_client_request
{
  const char *address;      /**< IP:PORT */
  const char *method;       /**< GET, POST, PUT or DELETE */
  const char *path;         /**< path and query */
  const char *content_type; /**< NULL or "" for none */
  const void *body;
  size_t body_size;
  const char *traceparent;     /**< NULL or "" for none */
  const char *request_id;      /**< X-Request-Id, NULL or "" for none */
  const char *idempotency_key; /**< NULL or "" for none */
  const char *authorization;   /**< Authorization, NULL or "" for none */
  const char *field;   /**< header field to report of the response; NULL for
                          none; outlives the call */
  unsigned timeout_ms; /**< the call fails if no part of the response arrives
                           for this long */
  bool new_connection; /**< always open a new connection */
};

/** Callbacks of a call.  */
struct http_client_callbacks
{
  /** Body bytes of a response with status 200 have arrived.  Drains from BODY
      what it has processed.  May be NULL: BODY is then left to on_end.  */
  void (*on_data) (void *arg, struct evbuffer *body);
  /** The call ended; it is freed after this callback returns.  */
  void (*on_end) (void *arg, const struct http_response *response);
  /** Frees ARG if the client is destroyed while the call is in flight.  May be
      NULL: ARG has another owner.  Calls nothing else.  */
  void (*free_arg) (void *arg);
};

/** Creates a client whose calls run on BASE.  */
struct http_client *http_client_create (struct event_base *base);

/** Frees CLIENT, which may be NULL; of calls in flight, which are cancelled,
    only free_arg is called.  */
void http_client_destroy (struct http_client *client);

/** Starts a call.  Never returns NULL; failures are reported to on_end.
    Callbacks run from the event loop, never from within this function.
    CALLBACKS must outlive the call.  */
struct http_call *
http_client_call (struct http_client *client,
                  const struct http_client_request *request,
                  const struct http_client_callbacks *callbacks, void *arg);

/** Cancels CALL without a callback and closes its connection.  Does nothing
    if CALL is NULL or on_end is running.  */
void http_call_cancel (struct http_call *call);

/** Whether any byte of the request was written to the socket.  */
bool http_call_bytes_sent (const struct http_call *call);

#endif
