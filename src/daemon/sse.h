/** @file
    Parser of server-sent events from engines: splits a byte stream into
    complete events.  */
#ifndef DAEMON_SSE_H
#define DAEMON_SSE_H

#include <event2/buffer.h>
#include <glib.h>
#include <stdbool.h>

/** State of the parser of one stream.  */
struct sse
{
  struct evbuffer *partial; /**< bytes of an event that is not complete yet */
  bool done;                /**< the event "data: [DONE]" was received */
  char *last_id;            /**< id of the last complete event with an id */
};

/** Initializes S.  */
void sse_init (struct sse *s);

/** Releases the memory that S holds.  S can be fed again and keeps `done`.  */
void sse_clear (struct sse *s);

/** Discards the bytes of an incomplete event.  To be called before S is fed
    from another response that continues after the last complete event.  */
void sse_drop_partial (struct sse *s);

/** Number of bytes received of an event that is not complete yet.  */
size_t sse_partial_bytes (const struct sse *s);

/** Moves all bytes of BODY into S.  Returns the events that are complete now,
    each with the empty line that ends it, and sets COUNT to their number.
    Returns NULL and sets COUNT to 0 if there is none.  */
GBytes *sse_feed (struct sse *s, struct evbuffer *body, unsigned *count);

#endif
