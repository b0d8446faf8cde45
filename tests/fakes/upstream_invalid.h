/** @file
    Responses of the stand-in for an upstream that are not valid, or that begin
    before the body of the request has arrived.

      status-STATUS, version-VERSION
                 complete response with that text in place of the status code,
                 or with that HTTP version; the connection stays open
      no-head    a body without a head; the connection stays open
      full-STATUS
                 as status-STATUS, but further requests on the connection are
                 served
      early-KIND, stream-early-KIND
                 runs the request and sends a part of a 200, both before the
                 body has arrived, which is not read.  KIND is a list of words:
                 "late": after 1500 ms; "events": 2 events of a stream;
                 "sized", "chunked" or "unframed"; and how the connection ends
                 20 ms later: "reset", "close" or "half", which closes the
                 sending side only  */
#ifndef TESTS_FAKES_UPSTREAM_INVALID_H
#define TESTS_FAKES_UPSTREAM_INVALID_H

#include "fakes/upstream_response.h"

/** Sends the response on C that the directive D asks for.  Returns false for
    other directives than the first three groups above.  */
bool response_send_invalid (struct conn *c, const char *d);

/** Whether DIRECTIVE asks for a response before the body has arrived.  */
bool response_is_early (const char *directive);
/** Starts the response to a request on C whose body has not arrived, for a
    directive for that; stops reading.  */
void response_start_early (struct conn *c);
/** Continues it when the timer of C expires.  May release C.  */
void response_continue_early (struct conn *c);

#endif
