/** @file
    Unit tests of the parser of event streams.  */
#include "daemon/sse.h"

#include <string.h>

/* Feeds TEXT in parts of PART bytes and appends the complete events to OUT.
   Returns their number.  */
static unsigned
feed (struct sse *s, const char *text, size_t part, GString *out)
{
  unsigned total = 0;
  struct evbuffer *data = evbuffer_new ();
  for (size_t at = 0, n = strlen (text); at < n; at += part)
    {
      unsigned count = 0;
      evbuffer_add (data, text + at, MIN (part, n - at));
      g_autoptr (GBytes) events = sse_feed (s, data, &count);
      gsize size = 0;
      const char *bytes = events ? g_bytes_get_data (events, &size) : "";
      g_string_append_len (out, bytes, (gssize)size);
      total += count;
    }
  evbuffer_free (data);
  return total;
}

/* A stream, the number of its whole events, and whether it ends in one.  */
struct stream_case
{
  const char *text;
  unsigned events;
  const char *last_id;
  bool in_event;
};

/* Every stream is also fed byte by byte and in parts of all lengths, so that
   each line end is split at least once.  */
static void
test_line_ends (void)
{
  static const struct stream_case cases[]
      = { { "", 0, NULL, false },
          { "id: 1\ndata: a\n\n", 1, "1", false },
          { "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", 2, "2",
            false },
          { "id: 1\rdata: a\r\rid: 2\rdata: b\r\r", 2, "2", false },
          { "id: 1\ndata: a\n\r\n", 1, "1", false },
          { "\n\nid: 1\ndata: a\n\n", 1, "1", false },
          { "id: 1\ndata: a\n\n\n", 1, "1", false },
          { "id: 1\ndata: a\n\n: ping\n", 1, "1", false },
          { "id: 1\ndata: a\n\n: pi", 1, "1", true },
          { "id: 1\ndata: a\n\ni", 1, "1", true },
          { "id: 1\ndata: a\n\nid: 2\n", 1, "1", true },
          { "id: 1\ndata: a\n\nid: 2\ndata: b", 1, "1", true },
          { "id: 1\ndata: a\n\nid: 2\ndata: b\n", 1, "1", true },
          { "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n", 1, "1", true },
          { "id: 1\rdata: a\r\rid: 2\rdata: b\r", 1, "1", true },
          { "data: a", 0, NULL, true } };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (size_t part = 1; part <= strlen (cases[i].text) + 1; part++)
      {
        struct sse s;
        g_autoptr (GString) out = g_string_new (NULL);
        sse_init (&s);
        g_assert_cmpuint (feed (&s, cases[i].text, part, out), ==,
                          cases[i].events);
        g_assert_cmpuint (s.events, ==, cases[i].events);
        g_assert_cmpstr (s.last_id, ==, cases[i].last_id);
        g_assert_true (sse_in_event (&s) == cases[i].in_event);
        g_assert_true (g_str_has_prefix (cases[i].text, out->str));
        g_assert_cmpuint (out->len + sse_partial_bytes (&s), ==,
                          strlen (cases[i].text));
        sse_clear (&s);
      }
}

static void
test_restart_discards_incomplete_event (void)
{
  struct sse s;
  g_autoptr (GString) out = g_string_new (NULL);
  sse_init (&s);
  feed (&s, "id: 1\ndata: a\n\nid: 2\nda", 100, out);
  sse_restart (&s);
  g_assert_false (sse_in_event (&s));
  g_assert_cmpuint (s.events, ==, 0);
  g_assert_cmpstr (s.last_id, ==, "1");
  feed (&s, "id: 2\ndata: b\n\n", 100, out);
  g_assert_cmpstr (out->str, ==, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  sse_clear (&s);
}

static void
test_event_without_end_is_oversized (void)
{
  struct sse s;
  g_autoptr (GString) out = g_string_new (NULL);
  g_autofree char *part = g_strnfill (SSE_EVENT_MAX_BYTES / 4, 'x');
  sse_init (&s);
  for (unsigned i = 0; i < 4; i++)
    {
      g_assert_false (sse_is_oversized (&s));
      feed (&s, part, strlen (part), out);
    }
  feed (&s, "x", 1, out);
  g_assert_true (sse_is_oversized (&s));
  sse_clear (&s);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/sse/line-ends", test_line_ends);
  g_test_add_func ("/sse/restart-discards-incomplete-event",
                   test_restart_discards_incomplete_event);
  g_test_add_func ("/sse/event-without-end-is-oversized",
                   test_event_without_end_is_oversized);
  return g_test_run ();
}
