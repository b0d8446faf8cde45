/** @file
    Head of an HTTP/1.1 message: start line and header fields in order.  */
#ifndef BASE_HTTP_HEAD_H
#define BASE_HTTP_HEAD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/** Longest time that http_head_retry_after_ms returns.  */
#define HTTP_RETRY_AFTER_MAX_MS 300000

/** One header field; spelling and case as received.  */
struct http_field
{
  const char *name;
  const char *value;
};

/** Start line and header fields of a request or a response.  */
struct http_head
{
  char *method;       /**< NULL in a response */
  char *target;       /**< path and query; NULL in a response */
  unsigned status;    /**< 0 in a request */
  char *reason;       /**< NULL in a request */
  unsigned minor;     /**< minor version: 1 for HTTP/1.1, 0 for HTTP/1.0 */
  GArray *fields;     /**< of struct http_field, in order */
  GStringChunk *text; /**< names and values of the fields, those included that
                         were removed */
  size_t text_bytes;  /**< size of TEXT */
};

/** Creates an HTTP/1.1 head without fields; release it with
    http_head_destroy.  */
struct http_head *http_head_create (void);

/** Releases H, which may be NULL.  */
void http_head_destroy (struct http_head *h);

/** Returns a deep copy of H.  */
struct http_head *http_head_copy (const struct http_head *h);

/** Returns the bytes of memory that H takes, about.  */
size_t http_head_memory (const struct http_head *h);

/** Returns the most that http_head_memory can be of a head that has BYTES on
    the wire.  */
size_t http_head_memory_max (size_t bytes);

/* Access to header fields.  Names are compared case-insensitively.  */

/** Returns the value of the first field NAME, or NULL.  */
const char *http_head_get (const struct http_head *h, const char *name);
/** Returns the number of fields NAME.  */
unsigned http_head_count (const struct http_head *h, const char *name);
/** Appends a field, even if the head already has one of that name.  */
void http_head_add (struct http_head *h, const char *name, const char *value);
/** Removes all fields NAME.  */
void http_head_remove (struct http_head *h, const char *name);
/** Replaces all fields NAME by one at the end.  */
void http_head_set (struct http_head *h, const char *name, const char *value);
/** Whether the comma-separated list in some field NAME contains TOKEN, without
    regard to case.  */
bool http_head_has_token (const struct http_head *h, const char *name,
                          const char *token);
/** Removes the hop-by-hop fields: the fields that the first Connection field
    names, except those in KEEP (a NULL-terminated list), and Connection,
    Keep-Alive, Transfer-Encoding, TE, Trailer, Upgrade and Proxy-Connection
    themselves.  */
void http_head_strip_hop_by_hop (struct http_head *h, const char *const *keep);

/** Returns the time that the Retry-After field of H states in milliseconds, up
    to HTTP_RETRY_AFTER_MAX_MS; 0 if there is no such field or if it is not a
    positive number of seconds.  */
unsigned http_head_retry_after_ms (const struct http_head *h);

/** Appends H in wire format, with the empty line that ends it, to OUT.  */
void http_head_write (const struct http_head *h, GString *out);

/** Returns the standard reason phrase of STATUS, or "Status" for one that this
    module does not know.  */
const char *http_reason (unsigned status);

#endif
