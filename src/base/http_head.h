/** @file
    Head of an HTTP/1.1 message: start line and header fields in order.  */
#ifndef BASE_HTTP_HEAD_H
#define BASE_HTTP_HEAD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/** One header field, as it was sent.  */
struct http_field
{
  char *name;
  char *value;
};

/** Start line and fields.  */
struct http_head
{
  char *method;    /**< NULL in an answer */
  char *target;    /**< path and query; NULL in an answer */
  unsigned status; /**< 0 in a request */
  char *reason;    /**< NULL in a request */
  unsigned minor;  /**< 1 for HTTP/1.1, 0 for HTTP/1.0 */
  GArray *fields;  /**< struct http_field */
};

/** Makes an empty head of HTTP/1.1.  */
struct http_head *http_head_create (void);

/** Releases H.  */
void http_head_destroy (struct http_head *h);

/** Makes a copy of H.  */
struct http_head *http_head_copy (const struct http_head *h);

/* Fields.  Names compare without regard to case.  */

/** Value of the first field NAME, or NULL.  */
const char *http_head_get (const struct http_head *h, const char *name);
/** Number of fields NAME.  */
unsigned http_head_count (const struct http_head *h, const char *name);
/** Adds a field at the end.  */
void http_head_add (struct http_head *h, const char *name, const char *value);
/** Removes all fields NAME.  */
void http_head_remove (struct http_head *h, const char *name);
/** Replaces all fields NAME by one.  */
void http_head_set (struct http_head *h, const char *name, const char *value);
/** Whether a field NAME lists TOKEN between commas.  */
bool http_head_lists (const struct http_head *h, const char *name,
                      const char *token);
/** Removes what concerns one connection only: Connection and the fields that
    it names, Keep-Alive, Transfer-Encoding, TE, Trailer, Upgrade,
    Proxy-Connection.  Fields of KEEP, ended by NULL, stay even if named.  */
void http_head_strip_hop (struct http_head *h, const char *const *keep);

/** Appends the head with its empty line.  */
void http_head_write (const struct http_head *h, GString *out);

/** Standard reason phrase of STATUS.  */
const char *http_reason (unsigned status);

#endif
