#include "daemon/sse.h"

#include <string.h>

#define DONE_EVENT "data: [DONE]"
#define ID_FIELD "id:"

void
sse_init (struct sse *s)
{
  s->partial = NULL;
  s->done = false;
  s->last_id = NULL;
}

void
sse_clear (struct sse *s)
{
  sse_drop_partial (s);
  g_clear_pointer (&s->last_id, g_free);
}

void
sse_drop_partial (struct sse *s)
{
  if (s->partial)
    evbuffer_free (s->partial);
  s->partial = NULL;
}

size_t
sse_partial_bytes (const struct sse *s)
{
  return s->partial ? evbuffer_get_length (s->partial) : 0;
}

/* Length of the first event in DATA, including the empty line that ends it; 0
   if the event is incomplete.  Lines may end in LF or CR LF.  */
static size_t
event_length (const char *data, size_t n)
{
  const char *from = data;
  const char *nl;
  while ((nl = memchr (from, '\n', n - (size_t)(from - data))) != NULL)
    {
      size_t next = (size_t)(nl - data) + 1;
      if (next < n && data[next] == '\n')
        return next + 1;
      if (next + 1 < n && data[next] == '\r' && data[next + 1] == '\n')
        return next + 2;
      from = nl + 1;
    }
  return 0;
}

/* Sets last_id to the id field of EVENT, if it has one.  */
static void
store_last_id (struct sse *s, const char *event, size_t n)
{
  const char *line = event;
  const char *end = event + n;
  while (line < end)
    {
      const char *nl = memchr (line, '\n', (size_t)(end - line));
      const char *stop = nl ? nl : end;
      size_t size = (size_t)(stop - line);
      if (size > strlen (ID_FIELD)
          && strncmp (line, ID_FIELD, strlen (ID_FIELD)) == 0)
        {
          g_free (s->last_id);
          s->last_id
              = g_strndup (line + strlen (ID_FIELD), size - strlen (ID_FIELD));
          g_strstrip (s->last_id);
        }
      line = stop + 1;
    }
}

GBytes *
sse_feed (struct sse *s, struct evbuffer *body, unsigned *count)
{
  if (s->partial == NULL)
    s->partial = evbuffer_new ();
  evbuffer_add_buffer (s->partial, body);
  size_t n = evbuffer_get_length (s->partial);
  const char *data = n ? (const char *)evbuffer_pullup (s->partial, -1) : NULL;
  size_t complete = 0;
  *count = 0;
  while (data && complete < n)
    {
      size_t size = event_length (data + complete, n - complete);
      if (size == 0)
        break;
      if (strncmp (data + complete, DONE_EVENT, strlen (DONE_EVENT)) == 0)
        s->done = true;
      store_last_id (s, data + complete, size);
      complete += size;
      ++*count;
    }
  if (*count == 0)
    return NULL;
  GBytes *events = g_bytes_new (data, complete);
  evbuffer_drain (s->partial, complete);
  return events;
}
