/** @file
    Fuzz target of the event stream parser: however the input is split, the
    same events are found, no byte is lost and the end is judged alike.  */
#include "daemon/sse.h"

#include <event2/buffer.h>

/* libFuzzer requires this name.  NOLINTNEXTLINE */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* What the parser made of the input.  */
struct outcome
{
  uint64_t events;
  bool in_event;
  char *last_id;
};

static struct outcome
parse (const uint8_t *data, size_t size, size_t part)
{
  struct sse s;
  size_t forwarded = 0;
  struct evbuffer *in = evbuffer_new ();
  sse_init (&s);
  for (size_t at = 0; at < size; at += part)
    {
      unsigned count = 0;
      evbuffer_add (in, data + at, MIN (part, size - at));
      g_autoptr (GBytes) events = sse_feed (&s, in, &count);
      forwarded += events ? g_bytes_get_size (events) : 0;
      g_assert ((events != NULL) == (count > 0));
    }
  g_assert (forwarded + sse_partial_bytes (&s) == size);
  struct outcome o = { s.events, sse_in_event (&s), g_strdup (s.last_id) };
  sse_clear (&s);
  evbuffer_free (in);
  return o;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0)
    return 0;
  size_t part = 1 + data[0] % 16;
  struct outcome whole = parse (data + 1, size - 1, size);
  struct outcome split = parse (data + 1, size - 1, part);
  g_assert (whole.events == split.events);
  g_assert (whole.in_event == split.in_event);
  g_assert (g_strcmp0 (whole.last_id, split.last_id) == 0);
  g_free (whole.last_id);
  g_free (split.last_id);
  return 0;
}
