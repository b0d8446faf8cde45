/** @file
    Fuzz target: HTTP from a caller or an upstream.  The codec must give the
    same progress, and the same body of a complete message, whether it gets
    the input at once or byte by byte.  A head that it accepts must parse
    again, with as many fields, after it has been written out.  The status of
   an accepted response is from 100 to 599.  */
#include "links/http_codec.h"

#include <string.h>

/* libFuzzer requires this name.  NOLINTNEXTLINE */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static const struct http_size_limits size_limits = { 2048, 1024 };

struct parser
{
  struct http_codec *codec;
  struct evbuffer *in;
  struct evbuffer *body;
  enum http_parse_state progress;
};

static void
parser_init (struct parser *p, enum http_side side)
{
  p->codec = http_codec_create (side, &size_limits);
  p->in = evbuffer_new ();
  p->body = evbuffer_new ();
  p->progress = HTTP_IN_HEAD;
}

static void
parser_clear (struct parser *p)
{
  http_codec_destroy (p->codec);
  evbuffer_free (p->in);
  evbuffer_free (p->body);
}

static void
feed (struct parser *p, const uint8_t *data, size_t size, size_t step)
{
  for (size_t at = 0; at < size && p->progress < HTTP_COMPLETE; at += step)
    {
      evbuffer_add (p->in, data + at, step < size - at ? step : size - at);
      p->progress = http_codec_feed (p->codec, p->in, p->body);
    }
}

static void
check_same_result (struct parser *a, struct parser *b)
{
  size_t n = evbuffer_get_length (a->body);
  if (a->progress != b->progress)
    __builtin_trap ();
  if (a->progress == HTTP_COMPLETE
      && (n != evbuffer_get_length (b->body)
          || (n > 0
              && memcmp (evbuffer_pullup (a->body, -1),
                         evbuffer_pullup (b->body, -1), n)
                     != 0)))
    __builtin_trap ();
}

static void
check_round_trip (struct parser *a, enum http_side side)
{
  struct parser again;
  const struct http_head *h = http_codec_head (a->codec);
  g_autoptr (GString) text = g_string_new (NULL);
  if (h == NULL || a->progress == HTTP_REJECTED)
    return;
  if (side == HTTP_SIDE_RESPONSES && (h->status < 100 || h->status > 599))
    __builtin_trap ();
  http_head_write (h, text);
  parser_init (&again, side);
  feed (&again, (const uint8_t *)text->str, text->len, text->len);
  const struct http_head *other = http_codec_head (again.codec);
  if (again.progress == HTTP_REJECTED || other == NULL
      || other->fields->len != h->fields->len)
    __builtin_trap ();
  parser_clear (&again);
}

/* NOLINTNEXTLINE */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const enum http_side sides[]
      = { HTTP_SIDE_REQUESTS, HTTP_SIDE_RESPONSES };
  for (unsigned i = 0; i < 2; i++)
    {
      struct parser at_once;
      struct parser bytes;
      parser_init (&at_once, sides[i]);
      parser_init (&bytes, sides[i]);
      feed (&at_once, data, size, size ? size : 1);
      feed (&bytes, data, size, 1);
      check_same_result (&at_once, &bytes);
      check_round_trip (&at_once, sides[i]);
      parser_clear (&at_once);
      parser_clear (&bytes);
    }
  return 0;
}
