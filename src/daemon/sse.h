/** @file
    Server-sent events as engines stream them: splits whole events off.  */
#ifndef DAEMON_SSE_H
#define DAEMON_SSE_H

#include <event2/buffer.h>
#include <glib.h>
#include <stdbool.h>

/** Parser of one stream.  */
struct sse
{
  struct evbuffer *rest; /**< bytes of an event that is not whole yet */
  bool done;             /**< the event "data: [DONE]" came */
  char *last_id;         /**< id of the last whole event that had one */
};

/** Makes S ready.  */
void sse_init (struct sse *s);

/** Releases what S holds; S can be fed again.  */
void sse_clear (struct sse *s);

/** Drops the bytes of an event that is not whole; another answer goes on from
    the last whole one.  */
void sse_drop_rest (struct sse *s);

/** Takes all of BODY.  Returns the whole events, each ended by an empty line,
    and their number in COUNT; NULL where there is none.  */
GBytes *sse_feed (struct sse *s, struct evbuffer *body, unsigned *count);

#endif
