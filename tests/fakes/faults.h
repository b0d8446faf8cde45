/** @file
    HTTP server that all stand-ins share.  A test can inject faults into it.

    POST /fault?NAME=VALUE&... sets faults, each an integer, 0 for off:
      delay_ms        time before a request is handled
      reply_delay_ms  time between the handling of a request and its response
      drop_replies    number of requests to handle without a response: their
                      connections are closed instead
      refuse          1: answer 503 without handling the request
      silent          1: accept requests, neither handle nor answer them
      unanswered      1: handle requests, never answer them
    A stand-in may define faults of its own, which it reads with fault ().

    GET /seen and POST /op let the test inspect and control the stand-in.
    Faults do not apply to them.  */
#ifndef TESTS_FAKES_FAULTS_H
#define TESTS_FAKES_FAULTS_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** Handles a request and sends its response.  */
typedef void fake_handler (struct evhttp_request *req, const char *path,
                           struct evkeyvalq *query);

/** Runs a stand-in that listens on 127.0.0.1 until SIGTERM.  The flag --port
    sets the port (0: any free port); the port in use is printed as "port=N".
    Aborts when the port cannot be bound.  */
void fake_run (int argc, char **argv, fake_handler *handler);

/** Returns the value of the fault NAME, 0 unless set.  */
int64_t fault (const char *name);

/** Sets the fault NAME to VALUE.  */
void fault_set (const char *name, int64_t value);

/** Returns the value of the flag --NAME=VALUE, or FALLBACK.  Flags are known
    from the start of fake_run, so in all handlers.  */
const char *fake_flag (const char *name, const char *fallback);

/** Returns the stand-in's event loop.  */
struct event_base *fake_base (void);

/** Replies with the JSON of ROOT, subject to the reply faults.  Takes over
    the reference to ROOT.  */
void fake_reply_json (struct evhttp_request *req, int status, json_t *root);

/** Replies with TEXT of the content type TYPE, subject to the reply
    faults.  */
void fake_reply (struct evhttp_request *req, int status, const char *type,
                 const char *text);

/** Shuts down REQ's connection without a reply.  */
void fake_close_connection (struct evhttp_request *req);

/** Parses the body of REQ as JSON.  Returns a new reference, or NULL if the
    body is empty or malformed.  */
json_t *fake_body_json (struct evhttp_request *req);

/** Returns the value of the parameter NAME of QUERY, or NULL.  */
const char *fake_query (struct evkeyvalq *query, const char *name);

#endif
