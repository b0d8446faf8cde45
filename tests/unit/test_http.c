/** @file
    HTTP codec and HTTP heads: parsing of split input, rejected messages, size
    limits, the end of a body, and removal of hop-by-hop fields.  */
#include "base/http_head.h"
#include "links/http_codec.h"

#include <string.h>

#define MANY_FIELDS 16000U

static const struct http_size_limits limits = { 4096, 1000 };

/* Feeds the SIZE bytes at TEXT to C in pieces of STEP bytes, until a piece is
   rejected.  Appends the parsed body to BODY and returns the parse state after
   the last piece.  */
static enum http_parse_state
feed (struct http_codec *c, const char *text, size_t size, size_t step,
      struct evbuffer *body)
{
  struct evbuffer *in = evbuffer_new ();
  enum http_parse_state p = HTTP_IN_HEAD;
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
body_text (struct evbuffer *body)
{
  size_t n = evbuffer_get_length (body);
  return g_strndup ((const char *)evbuffer_pullup (body, -1), n);
}

/* A request is parsed the same way whatever the size of the pieces in which it
   arrives.  */
static void
test_split_input (void)
{
  static const char text[] = "POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\n"
                             "X-One: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
  for (size_t step = 1; step <= sizeof text - 1; step++)
    {
      struct http_codec *c = http_codec_create (HTTP_SIDE_REQUESTS, &limits);
      struct evbuffer *body = evbuffer_new ();
      g_assert_cmpint (feed (c, text, sizeof text - 1, step, body), ==,
                       HTTP_COMPLETE);
      const struct http_head *h = http_codec_head (c);
      g_autofree char *got = body_text (body);
      g_assert_cmpstr (h->method, ==, "POST");
      g_assert_cmpstr (h->target, ==, "/a/b?c=d");
      g_assert_cmpstr (http_head_get (h, "x-one"), ==, "1");
      g_assert_cmpstr (got, ==, "hello world");
      g_assert_true (http_codec_keep_alive (c));
      evbuffer_free (body);
      http_codec_destroy (c);
    }
}

struct bad_request
{
  const char *text;
  unsigned status; /* expected status of the error response */
};

static const struct bad_request bad_requests[] = {
  /* The end of the body is ambiguous or its length malformed.  */
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
  /* Header lines that another parser may split differently: folded lines, a
     bare LF or CR, a space in a field name.  */
  { "GET /a HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n folded\r\n\r\n", 400 },
  { "GET /a HTTP/1.1\r\nHost: h\nX-A: 1\r\n\r\n", 400 },
  { "GET /a HTTP/1.1\r\nHost: h\rX-A: 1\r\n\r\n", 400 },
  { "GET /a HTTP/1.1\r\nHost: h\r\nX A: 1\r\n\r\n", 400 },
  /* Host missing or repeated, a target that is not a path, not HTTP.  */
  { "GET /a HTTP/1.1\r\nX-A: 1\r\n\r\n", 400 },
  { "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400 },
  { "GET a HTTP/1.1\r\nHost: h\r\n\r\n", 400 },
  { "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", 400 },
  { "hello there\r\n\r\n", 400 },
  /* Content-Length above the limit; test_size_limits has the chunked case.  */
  { "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", 413 },
};

static void
test_rejected_requests (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (bad_requests); i++)
    {
      const char *text = bad_requests[i].text;
      struct http_codec *c = http_codec_create (HTTP_SIDE_REQUESTS, &limits);
      struct evbuffer *body = evbuffer_new ();
      g_test_message ("%s", text);
      g_assert_cmpint (feed (c, text, strlen (text), strlen (text), body), ==,
                       HTTP_REJECTED);
      g_assert_cmpuint (http_codec_error_status (c), ==,
                        bad_requests[i].status);
      g_assert_cmpstr (http_codec_error_message (c), !=, "");
      evbuffer_free (body);
      http_codec_destroy (c);
    }
}

/* A head above its limit is rejected with 431, and a chunked body, whose
   length is not announced, with 413 once it exceeds its limit.  */
static void
test_size_limits (void)
{
  g_autoptr (GString) text
      = g_string_new ("GET /a HTTP/1.1\r\nHost: h\r\nX-Long: ");
  struct evbuffer *body = evbuffer_new ();
  struct http_codec *c = http_codec_create (HTTP_SIDE_REQUESTS, &limits);
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
  c = http_codec_create (HTTP_SIDE_REQUESTS, &limits);
  g_assert_cmpint (feed (c, text->str, text->len, 50, body), ==,
                   HTTP_REJECTED);
  g_assert_cmpuint (http_codec_error_status (c), ==, 413);
  http_codec_destroy (c);
  evbuffer_free (body);
}

/* Bytes after a message stay in the input buffer until http_codec_next, so a
   pipelined request is neither lost nor parsed early.  */
static void
test_next_message (void)
{
  static const char text[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
                             "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
  struct http_codec *c = http_codec_create (HTTP_SIDE_REQUESTS, &limits);
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

struct response
{
  const char *text;
  bool bodiless;                    /* response to a HEAD request */
  enum http_parse_state after_feed; /* parse state after TEXT was fed */
  enum http_parse_state after_eof;  /* parse state after the peer closed */
};

static const struct response responses[] = {
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

/* Guards against a truncated response that counts as complete: only a response
   without Content-Length and chunked coding may end with the connection.  */
static void
test_responses (void)
{
  static const struct http_size_limits no_limits = { 0, 0 };
  for (size_t i = 0; i < G_N_ELEMENTS (responses); i++)
    {
      const struct response *r = &responses[i];
      struct http_codec *c
          = http_codec_create (HTTP_SIDE_RESPONSES, &no_limits);
      struct evbuffer *body = evbuffer_new ();
      http_codec_next (c, r->bodiless);
      g_test_message ("%s", r->text);
      g_assert_cmpint (feed (c, r->text, strlen (r->text), 1, body), ==,
                       r->after_feed);
      g_assert_cmpint (http_codec_eof (c), ==, r->after_eof);
      evbuffer_free (body);
      http_codec_destroy (c);
    }
}

/* Status lines, each with whether it starts a response.  */
struct status_line
{
  const char *text;
  bool valid;
};

static const struct status_line status_lines[] = {
  { "HTTP/1.1 200 OK", true },      { "HTTP/1.0 200 OK", true },
  { "HTTP/1.1 200 ", true },        { "HTTP/1.1 200", true },
  { "HTTP/1.1 599 Odd", true },     { "HTTP/1.1 100 Continue", true },
  { "HTTP/1.1 600 Odd", false },    { "HTTP/1.1 999 Odd", false },
  { "HTTP/1.1 000 Odd", false },    { "HTTP/1.1 099 Odd", false },
  { "HTTP/1.1 2OO OK", false },     { "HTTP/1.1 2000 OK", false },
  { "HTTP/1.1 -200 OK", false },    { "HTTP/1.1 0200 OK", false },
  { "HTTP/1.1 +200 OK", false },    { "HTTP/1.1 20 OK", false },
  { "HTTP/1.1  200 OK", false },    { "HTTP/1.1\t200 OK", false },
  { "HTTP/1.1 200\tOK", false },    { "HTTP/1.1 200OK", false },
  { "HTTP/1.1 ", false },           { "HTTP/1.1", false },
  { "HTTP/0.9 200 OK", false },     { "HTTP/2.0 200 OK", false },
  { "HTTP/1 200 OK", false },       { "HTTP/1.01 200 OK", false },
  { "HTTP/01.1 200 OK", false },    { "HTTP/11.1 200 OK", false },
  { "http/1.1 200 OK", false },     { "ICY 200 OK", false },
  { " HTTP/1.1 200 OK", false },    { "200 OK", false },
  { "\r\nHTTP/1.1 200 OK", false },
};

/* Guards against a status that is passed on although it is outside 100 to 599
   or not exactly three digits, and against other versions than HTTP/1.  An
   invalid line is noticed without the rest of the head.  */
static void
test_status_lines (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (status_lines); i++)
    for (size_t step = 1; step < 3; step++)
      {
        const struct status_line *l = &status_lines[i];
        struct http_codec *c
            = http_codec_create (HTTP_SIDE_RESPONSES, &limits);
        struct evbuffer *body = evbuffer_new ();
        g_autofree char *start = g_strdup_printf ("%s\r\n", l->text);
        g_autofree char *text
            = g_strdup_printf ("%sContent-Length: 0\r\n\r\n", start);
        g_test_message ("%s", l->text);
        g_assert_cmpint (feed (c, start, strlen (start), step, body), ==,
                         l->valid ? HTTP_IN_HEAD : HTTP_REJECTED);
        http_codec_destroy (c);
        c = http_codec_create (HTTP_SIDE_RESPONSES, &limits);
        g_assert_cmpint (feed (c, text, strlen (text), strlen (text), body),
                         ==, l->valid ? HTTP_COMPLETE : HTTP_REJECTED);
        evbuffer_free (body);
        http_codec_destroy (c);
      }
}

/* Fields that Connection names are removed, except protected ones.  */
static void
test_strip_hop_fields (void)
{
  static const char *const protected_fields[] = { "X-Kept", NULL };
  struct http_head *h = http_head_create ();
  http_head_add (h, "Connection", "close, X-Named, x-kept");
  http_head_add (h, "X-Named", "1");
  http_head_add (h, "X-Kept", "2");
  http_head_add (h, "X-Other", "3");
  http_head_add (h, "Keep-Alive", "timeout=5");
  http_head_add (h, "TE", "trailers");
  g_assert_true (http_head_has_token (h, "connection", "X-NAMED"));
  http_head_strip_hop_by_hop (h, protected_fields);
  g_assert_null (http_head_get (h, "X-Named"));
  g_assert_null (http_head_get (h, "Connection"));
  g_assert_null (http_head_get (h, "Keep-Alive"));
  g_assert_null (http_head_get (h, "TE"));
  g_assert_cmpstr (http_head_get (h, "X-Kept"), ==, "2");
  g_assert_cmpstr (http_head_get (h, "X-Other"), ==, "3");
  http_head_destroy (h);
}

/* Guards against a head that takes time by the product of its fields and of
   the names in its Connection field, and against a field that is left in it.
 */
static void
test_many_hop_fields (void)
{
  static const char *const keep[] = { "keep-5", NULL };
  struct http_head *h = http_head_create ();
  g_autoptr (GString) named = g_string_new ("close");
  for (unsigned i = 0; i < MANY_FIELDS; i++)
    {
      g_autofree char *name
          = g_strdup_printf ("%s-%u", i % 2 ? "Keep" : "Drop", i);
      http_head_add (h, name, "x");
      if (i % 2 == 0 || i == 5)
        g_string_append_printf (named, ", %s", name);
    }
  http_head_add (h, "Connection", named->str);
  http_head_strip_hop_by_hop (h, keep);
  g_assert_cmpuint (h->fields->len, ==, MANY_FIELDS / 2);
  g_assert_nonnull (http_head_get (h, "Keep-5"));
  g_assert_null (http_head_get (h, "Drop-4"));
  g_assert_null (http_head_get (h, "Connection"));
  http_head_destroy (h);
}

/* Guards against heads whose memory is stated too low, or above what is set
   apart for the largest one.  */
static void
test_head_memory (void)
{
  static const char *const fields[]
      = { "a:\r\n", "name: value\r\n", "x: 0123456789012345678901234567\r\n" };
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      struct http_codec *c = http_codec_create (HTTP_SIDE_REQUESTS, &limits);
      struct evbuffer *body = evbuffer_new ();
      g_autoptr (GString) text
          = g_string_new ("GET / HTTP/1.1\r\nHost: a\r\n");
      while (text->len < limits.head_bytes - 100)
        g_string_append (text, fields[i]);
      g_string_append (text, "\r\n");
      feed (c, text->str, text->len, text->len, body);
      const struct http_head *h = http_codec_head (c);
      size_t memory = http_head_memory (h);
      g_assert_cmpuint (memory, >=,
                        h->fields->len * sizeof (struct http_field));
      g_assert_cmpuint (memory, >, text->len / 2);
      g_assert_cmpuint (memory, <=, http_head_memory_max (text->len));
      evbuffer_free (body);
      http_codec_destroy (c);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http/split-input", test_split_input);
  g_test_add_func ("/http/refusals", test_rejected_requests);
  g_test_add_func ("/http/bounds", test_size_limits);
  g_test_add_func ("/http/next-message", test_next_message);
  g_test_add_func ("/http/answers", test_responses);
  g_test_add_func ("/http/status-lines", test_status_lines);
  g_test_add_func ("/http/hop-fields", test_strip_hop_fields);
  g_test_add_func ("/http/many-hop-fields", test_many_hop_fields);
  g_test_add_func ("/http/head-memory-is-bounded", test_head_memory);
  return g_test_run ();
}
