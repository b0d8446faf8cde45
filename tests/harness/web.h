/** @file
    A caller's HTTP, blocking, for tests: whole answers and streams.  */
#ifndef TESTS_HARNESS_WEB_H
#define TESTS_HARNESS_WEB_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/** An answer, or as much of it as came.  */
struct web
{
  int fd;
  int status;    /**< 0 until the head came */
  GString *raw;  /**< bytes not yet decoded */
  GString *head; /**< headers */
  GString *body; /**< decoded so far */
  bool whole;    /**< the answer has ended as HTTP says */
  bool failed;   /**< the connection ended or timed out before */
  bool chunked;
  gint64 length;   /**< Content-Length, -1 for none */
  gint64 first_us; /**< when the first body byte came, 0 for never */
};

/** Sends a request; KEY is a Bearer key or NULL, HEADERS whole lines or NULL;
    Host is ADDRESS unless they start with another one.  */
struct web *web_send_request (const char *address, const char *method,
                              const char *path, const char *key,
                              const char *headers, const char *body);

/** Sends one more request on W's connection, whose last answer was whole, and
    forgets that answer.  */
void web_send_next_request (struct web *w, const char *address,
                            const char *method, const char *path,
                            const char *headers);

/** Whether W's connection takes one more request.  */
bool web_is_keep_alive (const struct web *w);

/** Reads until the answer is whole or failed, or TIMEOUT_MS have passed.  */
void web_read_response (struct web *w, unsigned timeout_ms);

/** Reads until the body holds COUNT events of a stream, or as
 * web_read_response.  */
void web_read_events (struct web *w, unsigned count, unsigned timeout_ms);

/** Closes the connection and releases W.  */
void web_close (struct web *w);

/** Value of a header of the answer, to be freed; NULL for none.  */
char *web_header (const struct web *w, const char *name);

/** Body as JSON, or NULL.  */
json_t *web_json (const struct web *w);

/** One request from first to last; to be closed.  */
struct web *web_request (const char *address, const char *method,
                         const char *path, const char *key,
                         const char *headers, const char *body);

/* Streams of model answers.  */

/** What a stream said.  */
struct stream_text
{
  GString *text;   /**< contents, joined */
  char *last_id;   /**< of the last whole event, or NULL */
  unsigned events; /**< with an id */
  bool done;       /**< the stream ended with [DONE] */
  bool error;      /**< an error event came */
};

/** Makes an empty text.  */
struct stream_text *stream_text_create (void);
/** Adds the whole events of BODY from *AT on; moves *AT past them.  */
void stream_text_add (struct stream_text *t, const GString *body, size_t *at);
/** Releases T.  */
void stream_text_destroy (struct stream_text *t);

#endif
