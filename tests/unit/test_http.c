/** @file
    Heads and the HTTP codec: what is read, what is refused, how a body's end
   is known.  */
#include "base/http_head.h"
#include "links/http_codec.h"

#include <string.h>

static const struct http_size_limits bounds = { 4096, 1000 };

/* Feeds TEXT in pieces of STEP bytes; returns the progress after the last.  */
static enum http_progress
feed (struct http_codec *c, const char *text, size_t size, size_t step,
      struct evbuffer *body)
{
  struct evbuffer *in = evbuffer_new ();
  enum http_progress p = HTTP_IN_HEAD;
  for (size_t at = 0; at < size; at += step)
    {
      evbuffer_add (in, text + at, MIN (step, size - at));
      p = http_codec_feed (c, in, body);
      if (p == HTTP_REJECTED)
        break;
    }
  evbuffer_free (in);
  return p;
}

static char *
text_of (struct evbuffer *body)
{
  size_t n = evbuffer_get_length (body);
  return g_strndup ((const char *)evbuffer_pullup (body, -1), n);
}

static void
test_any_split (void)
{
  static const char text[] = "POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\n"
                             "X-One: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
  for (size_t step = 1; step <= sizeof text - 1; step++)
    {
      struct http_codec *c = http_codec_create (HTTP_SIDE_REQUESTS, &bounds);
      struct evbuffer *body = evbuffer_new ();
      g_assert_cmpint (feed (c, text, sizeof text - 1, step, body), ==,
                       HTTP_COMPLETE);
      const struct http_head *h = http_codec_head (c);
      g_autofree char *got = text_of (body);
      g_assert_cmpstr (h->method, ==, "POST");
      g_assert_cmpstr (h->target, ==, "/a/b?c=d");
      g_assert_cmpstr (http_head_get (h, "x-one"), ==, "1");
      g_assert_cmpstr (got, ==, "hello world");
      g_assert_true (http_codec_keep_alive (c));
      evbuffer_free (body);
      http_codec_destroy (c);
    }
}

struct refusal
{
  const char *text;
  unsigned status;
};

static const struct refusal refusals[] = {
  /* Two readings of where the body ends.  */
  { "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    "Transfer-Encoding: chunked\r\n\r\n",
    400 },
  { "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    "Content-Length: 4\r\n\r\n",
    400 },
  { "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
    400 },
  { "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n",
    400 },
  { "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", 400 },
  { "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc", 400 },
  /* Lines that parsers split differently.  */
  { "GET /a HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n folded\r\n\r\n", 400 },
  { "GET /a HTTP/1.1\r\nHost: h\nX-A: 1\r\n\r\n", 400 },
  { "GET /a HTTP/1.1\r\nHost: h\rX-A: 1\r\n\r\n", 400 },
  { "GET /a HTTP/1.1\r\nHost: h\r\nX A: 1\r\n\r\n", 400 },
  /* No single host, no path, no HTTP.  */
  { "GET /a HTTP/1.1\r\nX-A: 1\r\n\r\n", 400 },
  { "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400 },
  { "GET a HTTP/1.1\r\nHost: h\r\n\r\n", 400 },
  { "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", 400 },
  { "hello there\r\n\r\n", 400 },
  /* Over the bound of the body, told and untold.  */
  { "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", 413 },
};

static void
test_refusals (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (refusals); i++)
    {
      const char *text = refusals[i].text;
      struct http_codec *c = http_codec_create (HTTP_SIDE_REQUESTS, &bounds);
      struct evbuffer *body = evbuffer_new ();
      g_test_message ("%s", text);
      g_assert_cmpint (feed (c, text, strlen (text), strlen (text), body), ==,
                       HTTP_REJECTED);
      g_assert_cmpuint (http_codec_error_status (c), ==, refusals[i].status);
      g_assert_cmpstr (http_codec_error_message (c), !=, "");
      evbuffer_free (body);
      http_codec_destroy (c);
    }
}

static void
test_bounds (void)
{
  g_autoptr (GString) text
      = g_string_new ("GET /a HTTP/1.1\r\nHost: h\r\nX-Long: ");
  struct evbuffer *body = evbuffer_new ();
  struct http_codec *c = http_codec_create (HTTP_SIDE_REQUESTS, &bounds);
  for (unsigned i = 0; i < 5000; i++)
    g_string_append_c (text, 'x');
  g_assert_cmpint (feed (c, text->str, text->len, 100, body), ==,
                   HTTP_REJECTED);
  g_assert_cmpuint (http_codec_error_status (c), ==, 431);
  http_codec_destroy (c);

  g_string_assign (text, "POST /a HTTP/1.1\r\nHost: h\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n");
  for (unsigned i = 0; i < 20; i++)
    g_string_append_printf (text, "40\r\n%064u\r\n", i);
  c = http_codec_create (HTTP_SIDE_REQUESTS, &bounds);
  g_assert_cmpint (feed (c, text->str, text->len, 50, body), ==,
                   HTTP_REJECTED);
  g_assert_cmpuint (http_codec_error_status (c), ==, 413);
  http_codec_destroy (c);
  evbuffer_free (body);
}

/* What follows a message stays in the buffer.  */
static void
test_next_message (void)
{
  static const char text[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
                             "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
  struct http_codec *c = http_codec_create (HTTP_SIDE_REQUESTS, &bounds);
  struct evbuffer *in = evbuffer_new ();
  struct evbuffer *body = evbuffer_new ();
  evbuffer_add (in, text, sizeof text - 1);
  g_assert_cmpint (http_codec_feed (c, in, body), ==, HTTP_COMPLETE);
  g_assert_cmpstr (http_codec_head (c)->target, ==, "/a");
  g_assert_cmpint (http_codec_feed (c, in, body), ==, HTTP_COMPLETE);
  g_assert_cmpstr (http_codec_head (c)->target, ==, "/a");
  http_codec_next (c, false);
  g_assert_cmpint (http_codec_feed (c, in, body), ==, HTTP_COMPLETE);
  g_assert_cmpstr (http_codec_head (c)->target, ==, "/b");
  evbuffer_free (in);
  evbuffer_free (body);
  http_codec_destroy (c);
}

struct answer
{
  const char *text;
  bool bodiless;
  enum http_progress fed; /* after the bytes */
  enum http_progress end; /* after the peer's end */
};

static const struct answer answers[] = {
  { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, HTTP_COMPLETE,
    HTTP_COMPLETE },
  { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", false, HTTP_IN_BODY,
    HTTP_IN_BODY },
  { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false,
    HTTP_IN_BODY, HTTP_IN_BODY },
  { "HTTP/1.1 200 OK\r\n\r\nok", false, HTTP_IN_BODY, HTTP_COMPLETE },
  { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true, HTTP_COMPLETE,
    HTTP_COMPLETE },
  { "HTTP/1.1 204 None\r\n\r\n", false, HTTP_COMPLETE, HTTP_COMPLETE },
  { "HTTP/1.1 200 OK\r\nContent-", false, HTTP_IN_HEAD, HTTP_IN_HEAD },
  { "\x01\x02 no answer\r\n\r\n", false, HTTP_REJECTED, HTTP_REJECTED },
  { "\r\n\r\n", false, HTTP_REJECTED, HTTP_REJECTED },
};

static void
test_answers (void)
{
  static const struct http_size_limits none = { 0, 0 };
  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      const struct answer *a = &answers[i];
      struct http_codec *c = http_codec_create (HTTP_SIDE_RESPONSES, &none);
      struct evbuffer *body = evbuffer_new ();
      http_codec_next (c, a->bodiless);
      g_test_message ("%s", a->text);
      g_assert_cmpint (feed (c, a->text, strlen (a->text), 1, body), ==,
                       a->fed);
      g_assert_cmpint (http_codec_eof (c), ==, a->end);
      evbuffer_free (body);
      http_codec_destroy (c);
    }
}

static void
test_hop_fields (void)
{
  static const char *const keep[] = { "X-Kept", NULL };
  struct http_head *h = http_head_create ();
  http_head_add (h, "Connection", "close, X-Named, x-kept");
  http_head_add (h, "X-Named", "1");
  http_head_add (h, "X-Kept", "2");
  http_head_add (h, "X-Other", "3");
  http_head_add (h, "Keep-Alive", "timeout=5");
  http_head_add (h, "TE", "trailers");
  g_assert_true (http_head_has_token (h, "connection", "X-NAMED"));
  http_head_strip_hop_by_hop (h, keep);
  g_assert_null (http_head_get (h, "X-Named"));
  g_assert_null (http_head_get (h, "Connection"));
  g_assert_null (http_head_get (h, "Keep-Alive"));
  g_assert_null (http_head_get (h, "TE"));
  g_assert_cmpstr (http_head_get (h, "X-Kept"), ==, "2");
  g_assert_cmpstr (http_head_get (h, "X-Other"), ==, "3");
  http_head_destroy (h);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http/any-split", test_any_split);
  g_test_add_func ("/http/refusals", test_refusals);
  g_test_add_func ("/http/bounds", test_bounds);
  g_test_add_func ("/http/next-message", test_next_message);
  g_test_add_func ("/http/answers", test_answers);
  g_test_add_func ("/http/hop-fields", test_hop_fields);
  return g_test_run ();
}
