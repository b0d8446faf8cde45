/** @file
    Incremental HTTP/1.1 parser of one direction of a connection, over
    http_parser.  It takes a head only once it is there whole, and refuses what
    two parsers could read in two ways.  */
#ifndef LINKS_HTTP_CODEC_H
#define LINKS_HTTP_CODEC_H

#include "base/http_head.h"

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

/** What the codec reads.  */
enum http_side
{
  HTTP_SIDE_REQUESTS,
  HTTP_SIDE_ANSWERS
};

/** How far the current message has come.  */
enum http_progress
{
  HTTP_IN_HEAD, /**< the head is not there whole */
  HTTP_IN_BODY, /**< the head is there, the body is not */
  HTTP_WHOLE,   /**< the message has ended */
  HTTP_BAD      /**< malformed or over a bound; see http_codec_refusal */
};

/** How the end of a body is known.  */
enum http_framing
{
  HTTP_FRAMING_NONE,  /**< there is no body */
  HTTP_FRAMING_SIZED, /**< Content-Length */
  HTTP_FRAMING_CHUNKED,
  HTTP_FRAMING_CLOSE /**< it ends with the connection */
};

/** Bounds in bytes; 0 for none.  */
struct http_bounds
{
  size_t head_bytes;
  uint64_t body_bytes;
};

struct http_codec;

/** Makes a codec.  */
struct http_codec *http_codec_create (enum http_side side,
                                      const struct http_bounds *bounds);

/** Releases C.  */
void http_codec_destroy (struct http_codec *c);

/** Prepares C for the next message.  BODILESS: an answer to HEAD, which has no
    body whatever its head says.  */
void http_codec_next (struct http_codec *c, bool bodiless);

/** Replaces the bounds.  */
void http_codec_set_bounds (struct http_codec *c,
                            const struct http_bounds *bounds);

/** Parses and drains IN up to the end of the message; appends body bytes to
    BODY.  */
enum http_progress http_codec_feed (struct http_codec *c, struct evbuffer *in,
                                    struct evbuffer *body);

/** The peer has closed its side: HTTP_WHOLE where that ends the body.  */
enum http_progress http_codec_eof (struct http_codec *c);

/** Head of the current message; NULL before HTTP_IN_BODY.  */
struct http_head *http_codec_head (struct http_codec *c);

/** Framing and, for HTTP_FRAMING_SIZED, length of the body.  */
enum http_framing http_codec_framing (const struct http_codec *c,
                                      uint64_t *length);

/** Whether the connection may carry another message after this one.  */
bool http_codec_keep_alive (const struct http_codec *c);

/** Status with which a bad request is refused: 400, 413 or 431.  */
unsigned http_codec_refusal (const struct http_codec *c);

/** Why the message is bad, in words.  */
const char *http_codec_reason (const struct http_codec *c);

#endif
