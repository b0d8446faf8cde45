/** @file
    One model request of a caller at its entry VM.  Private to entry.c,
    entry_stream.c and entry_route.c.  */
#ifndef DAEMON_ENTRY_STREAM_H
#define DAEMON_ENTRY_STREAM_H

#include "daemon/conf.h"
#include "daemon/context.h"
#include "daemon/demand.h"
#include "decide/limits.h"
#include "decide/route.h"
#include "links/http_server.h"
#include "links/trace.h"

#include <jansson.h>

/** Handles a frame for the home VM if this VM is the home VM.  */
typedef void entry_home_callback (void *arg, const struct frame *f);

/** The model requests at this VM as entry VM.  */
struct entry
{
  const struct context *ctx;
  struct conf *conf;
  entry_home_callback *to_home;
  void *arg;
  GHashTable *streams; /* id -> struct entry_stream */
  uint64_t next_id;
  struct limits *limits;
  struct retry_budget retries;
  struct demand demand[DEMAND_MODELS_MAX];
  double mean_tokens[2]; /* mean events of a response; [1]: long_response */
};

/** A model request of a caller.  */
struct entry_stream
{
  struct entry *entry;
  uint64_t id;
  struct http_request *request; /* NULL once the caller has disconnected */
  char *caller;
  unsigned priority;
  json_t *body;     /* body as the caller sent it; NULL for a resumed stream */
  bool want_stream; /* respond with events, not with one JSON object */
  bool headers_sent;
  char *request_id;
  char *engine;
  peer_handle peer; /* connection to the home VM; 0: this VM is it */
  struct route_request routing; /* input of router_pick */
  enum route_phase phase;
  char *kv_source;
  char *decode_engine_id; /* chosen along with the prefill engine, or NULL */
  bool long_response;     /* max_tokens: none or > SHORT_RESPONSE_MAX_TOKENS */
  uint64_t offset;        /* events received so far */
  unsigned attempts;
  GString *response_text; /* content collected unless want_stream */
  char *finish_reason;
  int64_t start_us;
  int64_t deadline_ms; /* monotonic time by which the first token is due */
  struct span span;
};

/* End of a request.  Each of these functions releases S.  */

/** Releases P, a struct entry_stream.  */
void entry_stream_free (void *p);
/** Removes S without a log line or a response to the caller.  */
void entry_stream_remove (struct entry_stream *s);
/** Ends S with an error: an HTTP error response if no headers were sent yet,
    else an "error" event that ends the stream.  DETAIL is the message to the
    caller; if it is empty, the HTTP response has the text of RESULT, and the
    event has an empty message.  The event does not escape DETAIL, so it must
    not contain quotes, backslashes or line breaks.  */
void entry_stream_fail (struct entry_stream *s, enum result result,
                        const char *detail, uint64_t retry_after_ms);
/** Ends S with RESULT_OK: ends the stream, or sends the response that was
    collected.  */
void entry_stream_complete (struct entry_stream *s);

/* Exchange with the home VM.  */

/** Sends S to the home VM of its engine.  With MOVED, or if no home VM is
    known, this VM acts as the home VM.  With RESUME the engine continues
    the stream after the events already received.  */
void entry_stream_open (struct entry_stream *s, bool resume, bool moved);
/** Sends MESSAGE of TYPE to the home VM, or passes it to this process's home
    component if this VM is the home VM.  */
void entry_stream_send_to_home (struct entry_stream *s, unsigned type,
                                void *message);
/** Handles events from the home VM: forwards them to the caller, or collects
    their text.  Cuts the connection of a caller that reads too slowly.  */
void entry_stream_handle_data (struct entry_stream *s,
                               const struct stream_data *m);
/** Logs request_ended with the result of S and ends its trace span.  */
void entry_stream_log_end (const struct entry_stream *s, enum result result,
                           const char *detail);

/* Routing (entry_route.c).  */

/** Chooses an engine for S and opens S there; ends S with RESULT_NOT_RUN if
    no engine can meet its deadline.  */
void entry_route (struct entry_stream *s);
/** Retries S, whose attempt ended with RESULT for CAUSE, at another engine.
    Ends S with RESULT if S is a resumed stream or has received events, if its
   deadline has passed, or if its attempts or the retry budget are used up.  */
void entry_route_retry (struct entry_stream *s, enum result result,
                        const char *detail, uint64_t retry_after_ms,
                        enum retry_cause cause);
/** Starts the decode of S after its prefill: at the engine chosen in advance
    or, if that is no longer in the file in force, at a newly chosen one.  */
void entry_route_decode (struct entry_stream *s);

#endif
