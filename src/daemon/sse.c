#include "daemon/sse.h"

#include <string.h>

#define DONE_EVENT "data: [DONE]"
#define ID_FIELD "id:"

void
sse_init (struct sse *s)
{
  *s = (struct sse){ 0 };
}

void
sse_clear (struct sse *s)
{
  sse_restart (s);
  g_clear_pointer (&s->last_id, g_free);
}

void
sse_restart (struct sse *s)
{
  if (s->partial)
    evbuffer_free (s->partial);
  s->partial = NULL;
  s->events = 0;
}

/* One line of a stream.  */
struct line
{
  const char *text;
  size_t size; /* without the line end */
  size_t next; /* offset of the next line */
  bool ended;  /* the line end has arrived */
};

/* Returns the line at offset AT of DATA.  Lines end in LF, CR LF or CR.  */
static struct line
line_at (const char *data, size_t n, size_t at)
{
  const char *text = data + at;
  const char *lf = memchr (text, '\n', n - at);
  size_t size = lf ? (size_t)(lf - text) : n - at;
  const char *cr = memchr (text, '\r', size);
  if (cr)
    size = (size_t)(cr - text);
  bool is_crlf = cr && at + size + 1 < n && cr[1] == '\n';
  bool ended = cr || lf;
  return (struct line){ text, size, at + size + (is_crlf ? 2 : ended), ended };
}

/* Length of the first event in DATA, including the empty line that ends it; 0
   if the event is incomplete.  */
static size_t
event_length (const char *data, size_t n)
{
  bool has_line = false;
  for (size_t at = 0; at < n;)
    {
      struct line l = line_at (data, n, at);
      if (!l.ended)
        return 0;
      if (l.size == 0 && has_line)
        return l.next;
      has_line = has_line || l.size > 0;
      at = l.next;
    }
  return 0;
}

/* Sets last_id to the id field of EVENT, if it has one.  */
static void
store_last_id (struct sse *s, const char *event, size_t n)
{
  size_t prefix = strlen (ID_FIELD);
  for (size_t at = 0; at < n;)
    {
      struct line l = line_at (event, n, at);
      if (l.size > prefix && strncmp (l.text, ID_FIELD, prefix) == 0)
        {
          g_free (s->last_id);
          s->last_id
              = g_strstrip (g_strndup (l.text + prefix, l.size - prefix));
        }
      at = l.next;
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
  s->events += *count;
  if (*count == 0)
    return NULL;
  GBytes *events = g_bytes_new (data, complete);
  evbuffer_drain (s->partial, complete);
  return events;
}

size_t
sse_partial_bytes (const struct sse *s)
{
  return s->partial ? evbuffer_get_length (s->partial) : 0;
}

bool
sse_is_oversized (const struct sse *s)
{
  return sse_partial_bytes (s) > SSE_EVENT_MAX_BYTES;
}

bool
sse_in_event (const struct sse *s)
{
  size_t n = sse_partial_bytes (s);
  if (n == 0)
    return false;
  const char *data = (const char *)evbuffer_pullup (s->partial, -1);
  for (size_t at = 0; at < n;)
    {
      struct line l = line_at (data, n, at);
      if (!l.ended || (l.size > 0 && l.text[0] != ':'))
        return true;
      at = l.next;
    }
  return false;
}
