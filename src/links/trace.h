/** @file
    Trace spans, one for each hop of a request, written to a file as lines of
    OTLP JSON.  */
#ifndef LINKS_TRACE_H
#define LINKS_TRACE_H

#include <stdbool.h>
#include <stdint.h>

/** Size of a W3C traceparent with its terminating NUL.  */
#define TRACEPARENT_BYTES 56

/** A span that has started.  */
struct span
{
  char trace_id[33];
  char span_id[17];
  char parent_id[17]; /**< empty for the root of a trace */
  const char *name;   /**< a string literal, not freed */
  int64_t start_us;
};

/** Opens the file at PATH, to which spans are appended with VM as their
    service instance; an empty PATH disables spans.  Returns false with errno
    set if the file cannot be opened.  */
bool trace_open (const char *path, const char *vm);

/** Flushes and closes the file.  */
void trace_close (void);

/** Starts SPAN as a child of TRACEPARENT (W3C Trace Context), or as the root
    of a new trace if that is NULL or malformed.  */
void span_start (struct span *span, const char *name, const char *traceparent);

/** Writes the traceparent for the next hop to OUT, which has room for
    TRACEPARENT_BYTES.  */
void span_traceparent (const struct span *span, char *out);

/** Ends SPAN and writes it to the file; RESULT and DETAIL become attributes,
    DETAIL only if it is not NULL.  */
void span_end (const struct span *span, const char *result,
               const char *detail);

#endif
