/** @file
    Answers of the stand-in of an upstream, down to the bytes: one connection,
    and what becomes of a request by its directive (see fake_upstream.c).  */
#ifndef TESTS_FAKES_UPSTREAM_RESPONSE_H
#define TESTS_FAKES_UPSTREAM_RESPONSE_H

#include "links/http_codec.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

/** One connection, and the request on it.  */
struct conn
{
  struct bufferevent *bev;
  struct http_codec *codec;
  struct evbuffer *body;
  struct event *timer;
  char *id;
  char *directive;
  unsigned next_event;
  bool working;
  bool close_after;
};

/** Names of header fields.  */
struct answer_fields
{
  const char *id;       /**< of a request, in its answer; NULL for none */
  const char *instance; /**< that is meant */
  const char *refused;
  const char *mark; /**< of the instance; NULL for none */
};

/** Sets the fields' names, and the instance that answers.  */
void answer_setup (const struct answer_fields *fields, const char *instance);

/** Closes and releases C.  */
void answer_conn_free (struct conn *c);

/** Does to the request on C what its directive says.  */
void answer_run (struct conn *c);
/** Goes on with it after its timer.  */
void answer_go_on (struct conn *c);
/** Sets its timer.  */
void answer_arm (struct conn *c, unsigned ms);

/** Sends BODY as the answer to the request ID, with a length of TOLD, bearing
    the instance's mark where MARK.  */
void answer_sized (struct conn *c, const char *id, const char *status,
                   bool mark, const char *body, size_t told);
/** Sends a whole answer that names what was asked.  */
void answer_ok (struct conn *c);
/** Sends COUNT events at once; the end follows unless HELD.  */
void answer_burst (struct conn *c, unsigned count, bool held);
/** Refuses the request as not run.  */
void answer_refuse (struct conn *c, const char *status);
/** The request has been answered; CLOSE ends the connection once all is sent.
 */
void answer_finish (struct conn *c, bool close);

#endif
