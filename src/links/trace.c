#include "links/trace.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

static FILE *trace_file;
static char vm_name[72];

bool
trace_open (const char *path, const char *vm)
{
  g_strlcpy (vm_name, vm, sizeof vm_name);
  if (path[0] == '\0')
    return true;
  trace_file = fopen (path, "ae");
  return trace_file != NULL;
}

void
trace_close (void)
{
  if (trace_file)
    (void)fclose (trace_file);
  trace_file = NULL;
}

/* Writes BYTES random bytes, at most 16, to OUT in hexadecimal; a fixed value
   if getrandom fails.  */
static void
random_hex (char *out, size_t bytes)
{
  guint8 data[16];
  if (getrandom (data, bytes, 0) != (ssize_t)bytes)
    memset (data, 1, bytes);
  for (size_t i = 0; i < bytes; i++)
    g_snprintf (out + 2 * i, 3, "%02x", data[i]);
}

static bool
is_hex (const char *text, size_t n)
{
  return strspn (text, "0123456789abcdef") >= n;
}

void
span_start (struct span *span, const char *name, const char *traceparent)
{
  memset (span, 0, sizeof *span);
  span->name = name;
  span->start_us = g_get_real_time ();
  random_hex (span->span_id, 8);
  if (traceparent && strlen (traceparent) >= 55
      && strncmp (traceparent, "00-", 3) == 0 && is_hex (traceparent + 3, 32)
      && traceparent[35] == '-' && is_hex (traceparent + 36, 16))
    {
      memcpy (span->trace_id, traceparent + 3, 32);
      memcpy (span->parent_id, traceparent + 36, 16);
    }
  else
    random_hex (span->trace_id, 16);
}

void
span_traceparent (const struct span *span, char *out)
{
  g_snprintf (out, TRACEPARENT_BYTES, "00-%s-%s-01", span->trace_id,
              span->span_id);
}

static json_t *
attribute (const char *key, const char *value)
{
  return json_pack ("{s:s,s:{s:s}}", "key", key, "value", "stringValue",
                    value);
}

void
span_end (const struct span *span, const char *result, const char *detail)
{
  if (trace_file == NULL || span->name == NULL)
    return;
  char start[24], end[24];
  g_snprintf (start, sizeof start, "%" G_GINT64_FORMAT "000", span->start_us);
  g_snprintf (end, sizeof end, "%" G_GINT64_FORMAT "000", g_get_real_time ());
  json_t *attributes = json_pack ("[o]", attribute ("result", result));
  if (detail)
    json_array_append_new (attributes, attribute ("detail", detail));
  json_t *root = json_pack (
      "{s:[{s:{s:[o,o]},s:[{s:{s:s},s:[{s:s,s:s,s:s,s:s,s:i,s:s,s:s,s:o}]}]}]"
      "}",
      "resourceSpans", "resource", "attributes",
      attribute ("service.name", "buckthornd"),
      attribute ("service.instance.id", vm_name), "scopeSpans", "scope",
      "name", "buckthornd", "spans", "traceId", span->trace_id, "spanId",
      span->span_id, "parentSpanId", span->parent_id, "name", span->name,
      "kind", 2, "startTimeUnixNano", start, "endTimeUnixNano", end,
      "attributes", attributes);
  json_dumpf (root, trace_file, JSON_COMPACT);
  (void)fputc ('\n', trace_file);
  (void)fflush (trace_file);
  json_decref (root);
}
