/** @file
    Parser of server-sent events from engines: splits a byte stream into
    complete events.  */
#ifndef DAEMON_SSE_H
#define DAEMON_SSE_H

#include <event2/buffer.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Largest event in bytes.  */
#define SSE_EVENT_MAX_BYTES (256U * 1024)

/** State of the parser of one stream.  */
struct sse
{
  struct evbuffer *partial; /**< bytes of an event that is not complete yet */
  uint64_t events;          /**< complete events of the current response */
  bool done;                /**< the event "data: [DONE]" was received */
  char *last_id;            /**< id of the last complete event with an id */
};

/** Initializes S.  */
void sse_init (struct sse *s);

/** Releases the memory that S holds.  S can be fed again and keeps `done`.  */
void sse_clear (struct sse *s);

/** Prepares S for another response that continues after the last complete
    event: discards the bytes of an incomplete event.  */
void sse_restart (struct sse *s);

/** Moves all bytes of BODY into S.  Returns the events that are complete now,
    each with the empty line that ends it, and sets COUNT to their number.
    Returns NULL and sets COUNT to 0 if there is none.  */
GBytes *sse_feed (struct sse *s, struct evbuffer *body, unsigned *count);

/** Number of bytes received since the last complete event.  */
size_t sse_partial_bytes (const struct sse *s);

/** Whether the incomplete event exceeds SSE_EVENT_MAX_BYTES.  */
bool sse_is_oversized (const struct sse *s);

/** Whether a stream that ends here was broken off within an event.  Empty
    lines and whole comment lines after the last event belong to none.  */
bool sse_in_event (const struct sse *s);

#endif
