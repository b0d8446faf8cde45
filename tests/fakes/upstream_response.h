/** @file
    Responses of the stand-in for an upstream, including malformed ones: the
    state of one connection, and the response to each directive (see
    fake_upstream.c).  */
#ifndef TESTS_FAKES_UPSTREAM_RESPONSE_H
#define TESTS_FAKES_UPSTREAM_RESPONSE_H

#include "links/http_codec.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

/** Progress of a response that is sent before the request's body has
    arrived.  */
enum early_progress
{
  EARLY_WAITING,    /**< nothing was sent */
  EARLY_SENT,       /**< head and part of the body were sent */
  EARLY_HALF_CLOSED /**< the sending side was closed */
};

/** One connection, and the request in progress on it.  */
struct conn
{
  struct bufferevent *bev;
  struct http_codec *codec;
  struct evbuffer *body; /**< body of the request */
  struct event *timer;
  char *id;        /**< id of the request; NULL between requests */
  char *directive; /**< see fake_upstream.c; at an engine "read": remote
                      prefill, "generate": generation */
  char *rest;      /**< second half of a body; NULL for none */
  char *previous;  /**< latest response on this connection that has a length;
                      NULL for none */
  unsigned next_event_id;
  enum early_progress early; /**< see upstream_invalid.h */
  bool in_request;  /**< a request has arrived, its response has not ended */
  bool close_after; /**< close once the output is written */
};

/** Names of the header fields of one interface.  */
struct response_fields
{
  const char *id;       /**< request ID in a response; NULL: no such field */
  const char *instance; /**< names the instance that a request is for */
  const char *refused;  /**< says that the request was not run */
  const char *seal;     /**< instance that responded; NULL: no such field */
};

/** Sets the names of the header fields and the name of this instance.  */
void response_setup (const struct response_fields *fields,
                     const char *instance);

/** Each response states the limit TEXT, requests a second; none if TEXT is
    NULL.  */
void response_set_limit (const char *text);

/** Returns the start of a response head for the request ID.  The caller
   appends more fields and the empty line.  SEAL: add the seal of the instance.
 */
char *response_format_head (const char *id, const char *status, bool seal);

/** Resets the connection and releases C.  */
void response_conn_reset (struct conn *c);
/** Closes the connection and releases C.  */
void response_conn_free (struct conn *c);

/** Starts the response to the request on C as its directive says.  May release
    C.  */
void response_start (struct conn *c);
/** Continues the response when the timer of C expires.  May release C.  */
void response_continue (struct conn *c);
/** Starts the timer of C, which expires after MS.  */
void response_set_timer (struct conn *c, unsigned ms);

/** Sends a response to the request ID with the given BODY.  CONTENT_LENGTH may
    differ from the length of BODY.  SEAL: add the seal of the instance.  */
void response_send (struct conn *c, const char *id, const char *status,
                    bool seal, const char *body, size_t content_length);
/** Sends a complete response that repeats method, target, length and digest of
    the request on C.  */
void response_send_ok (struct conn *c);
/** Sends COUNT events at once and, unless HELD, the end of the stream.  */
void response_send_events (struct conn *c, unsigned count, bool held);
/** Responds with STATUS and the header field for "not run".  */
void response_refuse (struct conn *c, const char *status);
/** Ends the request on C after its response.  CLOSE: close the connection once
    the output is written.  */
void response_finish (struct conn *c, bool close);

#endif
