/** @file
    HTTP calls to engines, services and the platform, one answer or a stream
    each, over the connections of links/pool.h.  */
#ifndef LINKS_HTTP_CLIENT_H
#define LINKS_HTTP_CLIENT_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Pool of connections, one for the process.  */
struct http_client;

/** One call in flight.  */
struct http_call;

/** How a call ended.  */
enum http_end
{
  HTTP_END_WHOLE,    /**< a whole answer came */
  HTTP_END_NOT_SENT, /**< it failed before a byte left */
  HTTP_END_LOST      /**< bytes left, no whole answer came */
};

/** Answer of a call; valid only within the callback.  */
struct http_answer
{
  enum http_end end;
  int status;               /**< 0 unless whole */
  const char *content_type; /**< never NULL */
  struct evbuffer *body;    /**< what on_data has not taken; may be NULL */
};

/** What to call.  */
struct http_order
{
  const char *address; /**< IP:PORT */
  const char *method;  /**< GET, POST, PUT or DELETE */
  const char *path;
  const char *content_type; /**< NULL without a body */
  const void *body;
  size_t body_size;
  const char *traceparent;     /**< NULL for none */
  const char *request_id;      /**< X-Request-Id, NULL for none */
  const char *idempotency_key; /**< NULL for none */
  const char *authorization;   /**< Authorization, NULL for none */
  unsigned timeout_ms; /**< longest silence before the answer is whole */
  bool fresh;          /**< never use a connection that was idle */
};

/** What a call reports to.  */
struct http_events
{
  /** Body bytes of a 200 answer as they come; drains BODY.  May be NULL. */
  void (*on_data) (void *arg, struct evbuffer *body);
  /** The call ended; the handle is gone after this.  */
  void (*on_end) (void *arg, const struct http_answer *answer);
};

/** Makes the pool on BASE.  */
struct http_client *http_client_create (struct event_base *base);

/** Releases the pool; calls in flight end without a callback.  */
void http_client_destroy (struct http_client *client);

/** Starts a call.  The callbacks run later, never from within.  */
struct http_call *http_client_call (struct http_client *client,
                                    const struct http_order *order,
                                    const struct http_events *events,
                                    void *arg);

/** Ends CALL without a callback and closes its connection.  */
void http_call_cancel (struct http_call *call);

/** Whether a byte of CALL has left this process.  */
bool http_call_sent (const struct http_call *call);

#endif
