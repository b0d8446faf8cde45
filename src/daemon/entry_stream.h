/** @file
    One model request of a caller, at its entry VM; for the files of the entry
    part only.  */
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

/** Takes a frame for the home VM where that is this VM.  */
typedef void entry_to_home (void *arg, const struct frame *f);

/** The entry part.  */
struct entry
{
  const struct context *ctx;
  struct conf *conf;
  entry_to_home *to_home;
  void *arg;
  GHashTable *streams; /* id -> struct entry_stream */
  uint64_t next_id;
  struct limits *limits;
  struct retry_budget retries;
  struct demand demand[DEMAND_MODELS_MAX];
  double mean_tokens[2]; /* of answers that may be long, and short ones */
};

/** A model request of a caller.  */
struct entry_stream
{
  struct entry *entry;
  uint64_t id;
  struct http_request *request; /* NULL once the caller went away */
  char *caller;
  unsigned priority;
  json_t *body;     /* as the caller sent it; NULL where only resumed */
  bool want_stream; /* events, or one whole answer */
  bool headers_sent;
  char *request_id;
  char *engine;
  peer_handle peer; /* home VM's connection, 0 for this VM */
  struct route_request ask;
  enum route_phase phase;
  char *kv_source;
  char
      *decode_engine; /* that was found when the prefill was routed, or NULL */
  bool long_answer;   /* more than a few tokens may come */
  uint64_t offset;    /* events that came */
  unsigned tries;
  GString *text; /* of a whole answer */
  char *finish_reason;
  int64_t start_us;
  int64_t deadline_ms; /* for the first token, on the monotonic clock */
  struct span span;
};

/* Ending; S is gone after each of these.  */

/** Releases P, a struct entry_stream.  */
void entry_stream_free (void *p);
/** Forgets S without a word.  */
void entry_stream_remove (struct entry_stream *s);
/** Tells the caller that the answer is not whole, in the form that the answer
    has taken so far.  */
void entry_stream_fail (struct entry_stream *s, enum result result,
                        const char *detail, uint64_t retry_after_ms);
/** Ends a whole answer.  */
void entry_stream_whole (struct entry_stream *s);

/* The home VM.  */

/** Opens S at the home VM of its engine, or, with MOVED, at this VM.  RESUME:
    it goes on after the events that came.  */
void entry_stream_open (struct entry_stream *s, bool resume, bool moved);
/** Sends a frame to the home VM.  */
void entry_stream_to_home (struct entry_stream *s, unsigned type,
                           void *message);
/** Events came from the home VM.  */
void entry_stream_take (struct entry_stream *s, const struct stream_data *m);
/** Writes the line that says how S ended.  */
void entry_stream_log_end (const struct entry_stream *s, enum result result,
                           const char *detail);

/* Routing (entry_route.c).  */

/** Chooses an engine and opens S there, or refuses it.  */
void entry_route (struct entry_stream *s);
/** A request that did not run may go to another engine.  */
void entry_route_again (struct entry_stream *s, enum result result,
                        const char *detail, uint64_t retry_after_ms);
/** The prompt is prefilled: goes on where a place was found, or, where that
    engine has left the file, anywhere.  */
void entry_route_decode (struct entry_stream *s);

#endif
