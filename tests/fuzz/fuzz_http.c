/** @file
    Fuzz target: bytes from a caller or an upstream.  Fed whole and byte by
    byte, the codec must come to the same end; a head that it took must be read
    the same once it has been written again.  */
#include "links/http_codec.h"

#include <string.h>

/* The fuzzer calls it by this name.  NOLINTNEXTLINE */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static const struct http_size_limits bounds = { 2048, 1024 };

struct reading
{
  struct http_codec *codec;
  struct evbuffer *in;
  struct evbuffer *body;
  enum http_progress progress;
};

static void
reading_open (struct reading *r, enum http_side side)
{
  r->codec = http_codec_create (side, &bounds);
  r->in = evbuffer_new ();
  r->body = evbuffer_new ();
  r->progress = HTTP_IN_HEAD;
}

static void
reading_close (struct reading *r)
{
  http_codec_destroy (r->codec);
  evbuffer_free (r->in);
  evbuffer_free (r->body);
}

static void
feed (struct reading *r, const uint8_t *data, size_t size, size_t step)
{
  for (size_t at = 0; at < size && r->progress < HTTP_COMPLETE; at += step)
    {
      evbuffer_add (r->in, data + at, step < size - at ? step : size - at);
      r->progress = http_codec_feed (r->codec, r->in, r->body);
    }
}

static void
check_same (struct reading *a, struct reading *b)
{
  size_t n = evbuffer_get_length (a->body);
  if (a->progress != b->progress)
    __builtin_trap ();
  if (a->progress == HTTP_COMPLETE
      && (n != evbuffer_get_length (b->body)
          || memcmp (evbuffer_pullup (a->body, -1),
                     evbuffer_pullup (b->body, -1), n)
                 != 0))
    __builtin_trap ();
}

static void
check_written_again (struct reading *a, enum http_side side)
{
  struct reading again;
  const struct http_head *h = http_codec_head (a->codec);
  g_autoptr (GString) text = g_string_new (NULL);
  if (h == NULL || a->progress == HTTP_REJECTED)
    return;
  http_head_write (h, text);
  reading_open (&again, side);
  feed (&again, (const uint8_t *)text->str, text->len, text->len);
  const struct http_head *other = http_codec_head (again.codec);
  if (again.progress == HTTP_REJECTED || other == NULL
      || other->fields->len != h->fields->len)
    __builtin_trap ();
  reading_close (&again);
}

/* NOLINTNEXTLINE */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const enum http_side sides[]
      = { HTTP_SIDE_REQUESTS, HTTP_SIDE_RESPONSES };
  for (unsigned i = 0; i < 2; i++)
    {
      struct reading whole;
      struct reading bytes;
      reading_open (&whole, sides[i]);
      reading_open (&bytes, sides[i]);
      feed (&whole, data, size, size ? size : 1);
      feed (&bytes, data, size, 1);
      check_same (&whole, &bytes);
      check_written_again (&whole, sides[i]);
      reading_close (&whole);
      reading_close (&bytes);
    }
  return 0;
}
