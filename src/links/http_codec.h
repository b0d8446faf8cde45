/** @file
    Incremental HTTP/1.1 parser for one direction of a connection, on top of
    http_parser.  Parses a head only when it has arrived completely, and
    rejects messages that two parsers could interpret differently (request
    smuggling).  A response whose status line is not of HTTP/1 or has no status
    from 100 to 599 is rejected as soon as that shows.  */
#ifndef LINKS_HTTP_CODEC_H
#define LINKS_HTTP_CODEC_H

#include "base/http_head.h"

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

/** Most bytes to read from a connection at a time.  With the header of a
    buffer of libevent they fit 4 KiB; a whole 4 KiB, the most that libevent
    reads, would take 8 KiB.  */
#define HTTP_READ_BYTES ((size_t)4 * 1024 - 64)

/** Kind of messages that a codec parses.  */
enum http_side
{
  HTTP_SIDE_REQUESTS,
  HTTP_SIDE_RESPONSES
};

/** Parse state of the current message.  */
enum http_parse_state
{
  HTTP_IN_HEAD,  /**< the head is incomplete */
  HTTP_IN_BODY,  /**< the head is complete, the body is not */
  HTTP_COMPLETE, /**< the message is complete */
  HTTP_REJECTED  /**< malformed or over a size limit; see
                 http_codec_error_status and http_codec_error_message */
};

/** How the end of a body is determined.  */
enum http_framing
{
  HTTP_FRAMING_NONE,    /**< no body */
  HTTP_FRAMING_SIZED,   /**< Content-Length */
  HTTP_FRAMING_CHUNKED, /**< Transfer-Encoding: chunked */
  HTTP_FRAMING_CLOSE    /**< the body ends when the connection is closed */
};

/** Returns the limit of a head, in bytes, that HEAD_BYTES of a struct
    http_size_limits stands for.  */
size_t http_codec_head_limit (size_t head_bytes);

/** Name of FRAMING for logs: none, length, chunked or close.  */
const char *http_framing_name (enum http_framing framing);

/** Size limits of a message in bytes.  */
struct http_size_limits
{
  size_t head_bytes;   /**< 0 or more than 64 KiB: 64 KiB applies */
  uint64_t body_bytes; /**< of requests only; 0 for no limit */
};

/** Parser of the messages of one direction of a connection.  */
struct http_codec;

/** Creates a codec, ready for the first message.  */
struct http_codec *http_codec_create (enum http_side side,
                                      const struct http_size_limits *limits);

/** Frees C, which may be NULL.  */
void http_codec_destroy (struct http_codec *c);

/** Prepares C for the next message.  BODILESS: the message is the response to
    a HEAD request, which has no body even if its head announces one.  */
void http_codec_next (struct http_codec *c, bool bodiless);

/** Replaces the size limits.  */
void http_codec_set_limits (struct http_codec *c,
                            const struct http_size_limits *limits);

/** Parses and drains IN up to the end of the current message and appends body
    bytes to BODY.  Bytes of the next message stay in IN.  */
enum http_parse_state http_codec_feed (struct http_codec *c,
                                       struct evbuffer *in,
                                       struct evbuffer *body);

/** Notifies C that the peer has closed the connection, which completes a body
    with HTTP_FRAMING_CLOSE.  Returns the parse state.  */
enum http_parse_state http_codec_eof (struct http_codec *c);

/** Head of the current message, owned by C until http_codec_next; NULL in
    HTTP_IN_HEAD.  May be incomplete in HTTP_REJECTED.  */
struct http_head *http_codec_head (struct http_codec *c);

/** Framing of the body; sets LENGTH to its size in bytes for
    HTTP_FRAMING_SIZED, otherwise to 0.  */
enum http_framing http_codec_framing (const struct http_codec *c,
                                      uint64_t *length);

/** Whether the connection stays open for another message after this one.  */
bool http_codec_keep_alive (const struct http_codec *c);

/** After HTTP_REJECTED: status code of the error response, 400, 413 or 431. */
unsigned http_codec_error_status (const struct http_codec *c);

/** After HTTP_REJECTED: error message in English, which contains no quotation
    marks; "" if there is none.  */
const char *http_codec_error_message (const struct http_codec *c);

#endif
