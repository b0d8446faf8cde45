#include "links/http_codec.h"

#include <http_parser.h>
#include <string.h>

/* Upper limit of the size of a head; a limit in http_size_limits can only
   lower it.  */
#define HEAD_MAX_BYTES (64U * 1024)
/* Most body bytes passed to http_parser in one call.  */
#define FEED_BYTES (64U * 1024)
/* Most memory for the text of a field that is kept between two heads.  */
#define KEPT_TEXT_BYTES 256
/* Length of the version and the status code, with the separator after each. */
#define STATUS_LINE_BYTES (sizeof "HTTP/1.1 200 " - 1)

struct http_codec
{
  enum http_side side;
  struct http_size_limits limits;
  struct http_parser parser;
  enum http_parse_state progress;
  struct http_head *head;
  GString *name;  /* of the header field being parsed */
  GString *value; /* of the header field being parsed */
  bool in_value;  /* the last parsed byte belongs to VALUE */
  bool bodiless;  /* response to a HEAD request */
  bool keep_alive;
  enum http_framing framing;
  uint64_t length;
  uint64_t body_parsed;  /* bytes of the body parsed so far */
  size_t framing_bytes;  /* of chunk lines and trailers since the last byte of
                            the body */
  struct evbuffer *body; /* BODY of http_codec_feed */
  unsigned error_status; /* status code of the error response */
  const char *reason;    /* error message */
};

static struct http_codec *
get_codec (http_parser *p)
{
  return p->data;
}

static void
refuse (struct http_codec *c, unsigned status, const char *reason)
{
  if (c->progress == HTTP_REJECTED)
    return;
  c->progress = HTTP_REJECTED;
  c->error_status = status;
  c->reason = reason;
}

/* Callbacks of http_parser.  */

/* Empties TEXT.  One that a long field has enlarged is replaced, as each
   connection keeps its own.  */
static void
clear_text (GString **text)
{
  if ((*text)->allocated_len <= KEPT_TEXT_BYTES)
    {
      g_string_truncate (*text, 0);
      return;
    }
  g_string_free (*text, TRUE);
  *text = g_string_new (NULL);
}

/* Adds the parsed header field to the head.  */
static void
add_parsed_field (struct http_codec *c)
{
  if (c->name->len > 0)
    {
      /* Trailing white space is not part of a value.  */
      while (c->value->len > 0
             && g_ascii_isspace (c->value->str[c->value->len - 1]))
        g_string_truncate (c->value, c->value->len - 1);
      http_head_add (c->head, c->name->str, c->value->str);
    }
  g_string_truncate (c->name, 0);
  g_string_truncate (c->value, 0);
  c->in_value = false;
}

static int
on_url (http_parser *p, const char *at, size_t n)
{
  struct http_codec *c = get_codec (p);
  g_autofree char *more = g_strndup (at, n);
  char *target
      = c->head->target ? g_strconcat (c->head->target, more, NULL) : NULL;
  if (target == NULL)
    target = g_steal_pointer (&more);
  g_free (c->head->target);
  c->head->target = target;
  return 0;
}

static int
on_status (http_parser *p, const char *at, size_t n)
{
  struct http_codec *c = get_codec (p);
  g_free (c->head->reason);
  c->head->reason = g_strndup (at, n);
  return 0;
}

static int
on_field (http_parser *p, const char *at, size_t n)
{
  struct http_codec *c = get_codec (p);
  if (c->progress != HTTP_IN_HEAD)
    return 0;
  if (c->in_value)
    add_parsed_field (c);
  g_string_append_len (c->name, at, (gssize)n);
  return 0;
}

static int
on_value (http_parser *p, const char *at, size_t n)
{
  struct http_codec *c = get_codec (p);
  if (c->progress != HTTP_IN_HEAD)
    return 0;
  c->in_value = true;
  g_string_append_len (c->value, at, (gssize)n);
  return 0;
}

static bool
response_has_no_body (const struct http_codec *c)
{
  unsigned status = c->head->status;
  return c->bodiless || status < 200 || status == 204 || status == 304;
}

static void
set_framing (struct http_codec *c, const http_parser *p)
{
  c->length = 0;
  if (c->side == HTTP_SIDE_RESPONSES && response_has_no_body (c))
    c->framing = HTTP_FRAMING_NONE;
  else if (http_head_count (c->head, "Transfer-Encoding") > 0)
    c->framing = HTTP_FRAMING_CHUNKED;
  else if (http_head_count (c->head, "Content-Length") > 0)
    {
      c->framing = HTTP_FRAMING_SIZED;
      c->length = p->content_length;
    }
  else
    c->framing = c->side == HTTP_SIDE_RESPONSES ? HTTP_FRAMING_CLOSE
                                                : HTTP_FRAMING_NONE;
}

static void
check_head (struct http_codec *c)
{
  const struct http_head *h = c->head;
  const char *coding = http_head_get (h, "Transfer-Encoding");
  if (coding
      && (http_head_count (h, "Transfer-Encoding") > 1
          || g_ascii_strcasecmp (coding, "chunked") != 0))
    refuse (c, 400,
            "Transfer-Encoding must be a single field with the value chunked");
  if (coding && http_head_count (h, "Content-Length") > 0)
    refuse (c, 400,
            "Content-Length and Transfer-Encoding must not both be present");
  if (http_head_count (h, "Content-Length") > 1)
    refuse (c, 400, "Content-Length must not be repeated");
  if (c->side == HTTP_SIDE_RESPONSES)
    return;
  if (http_head_count (h, "Host") != 1)
    refuse (c, 400, "a request must have exactly one Host field");
  if (h->target == NULL || h->target[0] != '/')
    refuse (c, 400, "the request target must be a path that starts with /");
  if (c->limits.body_bytes > 0 && c->length > c->limits.body_bytes)
    refuse (c, 413, "the request body exceeds the size limit");
}

static int
on_headers_complete (http_parser *p)
{
  struct http_codec *c = get_codec (p);
  add_parsed_field (c);
  clear_text (&c->name);
  clear_text (&c->value);
  c->head->minor = p->http_minor;
  if (c->side == HTTP_SIDE_REQUESTS)
    c->head->method = g_strdup (http_method_str (p->method));
  else
    c->head->status = p->status_code;
  set_framing (c, p);
  check_head (c);
  if (c->progress != HTTP_REJECTED)
    c->progress = HTTP_IN_BODY;
  if (c->progress == HTTP_REJECTED)
    return -1;
  c->keep_alive = http_should_keep_alive (p) != 0;
  return c->side == HTTP_SIDE_RESPONSES && response_has_no_body (c) ? 1 : 0;
}

static int
on_body (http_parser *p, const char *at, size_t n)
{
  struct http_codec *c = get_codec (p);
  c->body_parsed += n;
  if (c->side == HTTP_SIDE_REQUESTS && c->limits.body_bytes > 0
      && c->body_parsed > c->limits.body_bytes)
    {
      refuse (c, 413, "the request body exceeds the size limit");
      return -1;
    }
  evbuffer_add (c->body, at, n);
  return 0;
}

static int
on_message_complete (http_parser *p)
{
  struct http_codec *c = get_codec (p);
  c->progress = HTTP_COMPLETE;
  http_parser_pause (p, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_url = on_url,
  .on_status = on_status,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

/* Passing of input to http_parser.  */

/* Runs http_parser on DATA; USED is set to the number of bytes parsed.  */
static void
run_parser (struct http_codec *c, const void *data, size_t n, size_t *used)
{
  *used = http_parser_execute (&c->parser, &parser_settings, data, n);
  enum http_errno error = HTTP_PARSER_ERRNO (&c->parser);
  if (error != HPE_OK && error != HPE_PAUSED)
    refuse (c, 400, http_errno_description (error));
  else if (c->parser.upgrade && c->progress != HTTP_COMPLETE)
    refuse (c, 400, "protocol upgrades are not supported");
}

/* Whether the N bytes at LINE are, as far as they go, the start of a status
   line of HTTP/1: one digit of a minor version, one space, a status code of
   three digits from 100 to 599, and a space or the end of the line.
   http_parser also accepts other versions, more spaces and leading zeros, and
   codes up to 999.  */
static bool
status_line_is_valid (const char *line, size_t n)
{
  static const char pattern[STATUS_LINE_BYTES + 1] = "HTTP/1.0 100 ";
  for (size_t i = 0; i < n; i++)
    {
      bool is_end = i == STATUS_LINE_BYTES - 1;
      bool is_first_digit = i == STATUS_LINE_BYTES - 4;
      if (is_first_digit && (line[i] < '1' || line[i] > '5'))
        return false;
      if (is_end && line[i] == '\r')
        continue;
      if (g_ascii_isdigit (pattern[i]) && i != sizeof "HTTP/" - 1)
        {
          if (!g_ascii_isdigit (line[i]))
            return false;
        }
      else if (line[i] != pattern[i])
        return false;
    }
  return true;
}

/* Refuses the response if the part of its status line that is in IN is
   invalid.  */
static void
check_status_line (struct http_codec *c, struct evbuffer *in)
{
  char line[STATUS_LINE_BYTES];
  ev_ssize_t n = evbuffer_copyout (in, line, sizeof line);
  if (n > 0 && !status_line_is_valid (line, (size_t)n))
    refuse (c, 400,
            "the status line must be HTTP/1.x and a status of 100 "
            "to 599");
}

/* Whether every line of HEAD ends in CR LF and none contains NUL or continues
   on the next line (obsolete line folding).  Parsers disagree on other
   heads.  */
static bool
lines_are_valid (const char *head, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      if (head[i] == '\0')
        return false;
      if (head[i] == '\n' && (i == 0 || head[i - 1] != '\r'))
        return false;
      if (head[i] == '\r' && (i + 1 >= n || head[i + 1] != '\n'))
        return false;
      if (head[i] == '\n' && i + 1 < n
          && (head[i + 1] == ' ' || head[i + 1] == '\t'))
        return false;
    }
  return true;
}

/* Whether C is allowed in a field name (tchar in RFC 9110).  */
static bool
is_tchar (char c)
{
  return g_ascii_isalnum (c)
         || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c) != NULL);
}

/* Whether each line after the start line is NAME: VALUE, with no white space
   in the name or between the name and the colon.  */
static bool
field_names_are_valid (const char *head, size_t n)
{
  const char *end = head + n - 2; /* start of the empty line */
  const char *line = memchr (head, '\n', n);
  for (line = line ? line + 1 : end; line < end;)
    {
      const char *at = line;
      while (at < end && is_tchar (*at))
        at++;
      if (at == line || *at != ':')
        return false;
      const char *nl = memchr (at, '\n', (size_t)(end - at));
      line = nl ? nl + 1 : end;
    }
  return true;
}

size_t
http_codec_head_limit (size_t head_bytes)
{
  return head_bytes > 0 && head_bytes < HEAD_MAX_BYTES ? head_bytes
                                                       : HEAD_MAX_BYTES;
}

static void
feed_head (struct http_codec *c, struct evbuffer *in)
{
  /* Skip empty lines before a request line.  */
  unsigned char start[2];
  while (c->side == HTTP_SIDE_REQUESTS
         && evbuffer_copyout (in, start, sizeof start) == 2 && start[0] == '\r'
         && start[1] == '\n')
    evbuffer_drain (in, 2);
  if (c->side == HTTP_SIDE_RESPONSES)
    check_status_line (c, in);
  size_t limit = http_codec_head_limit (c->limits.head_bytes);
  struct evbuffer_ptr end = evbuffer_search (in, "\r\n\r\n", 4, NULL);
  size_t size = end.pos < 0 ? evbuffer_get_length (in) : (size_t)end.pos + 4;
  if (size > limit)
    refuse (c, 431, "the header exceeds the size limit");
  if (end.pos < 0 || c->progress == HTTP_REJECTED)
    return;
  const char *head = (const char *)evbuffer_pullup (in, (ev_ssize_t)size);
  if (!lines_are_valid (head, size) || !field_names_are_valid (head, size))
    {
      refuse (c, 400,
              "malformed header line: expected NAME: VALUE, ended by CR LF");
      return;
    }
  size_t used = 0;
  run_parser (c, head, size, &used);
  evbuffer_drain (in, size);
  if (c->progress == HTTP_IN_HEAD)
    refuse (c, 400, "the start line is missing");
}

static void
feed_body (struct http_codec *c, struct evbuffer *in)
{
  while (c->progress == HTTP_IN_BODY && evbuffer_get_length (in) > 0)
    {
      size_t n = evbuffer_get_contiguous_space (in);
      n = MIN (n, FEED_BYTES);
      const void *data = evbuffer_pullup (in, (ev_ssize_t)n);
      size_t used = 0;
      uint64_t before = c->body_parsed;
      run_parser (c, data, n, &used);
      evbuffer_drain (in, MIN (used, n));
      c->framing_bytes = c->body_parsed > before ? 0 : c->framing_bytes + used;
      if (c->progress == HTTP_IN_BODY
          && c->framing_bytes > http_codec_head_limit (c->limits.head_bytes))
        refuse (c, 400, "a chunk line or the trailer exceeds the size limit");
    }
}

enum http_parse_state
http_codec_feed (struct http_codec *c, struct evbuffer *in,
                 struct evbuffer *body)
{
  c->body = body;
  if (c->progress == HTTP_IN_HEAD)
    feed_head (c, in);
  if (c->progress == HTTP_IN_BODY)
    feed_body (c, in);
  return c->progress;
}

enum http_parse_state
http_codec_eof (struct http_codec *c)
{
  if (c->progress == HTTP_IN_BODY && c->framing == HTTP_FRAMING_CLOSE)
    c->progress = HTTP_COMPLETE;
  return c->progress;
}

const char *
http_framing_name (enum http_framing framing)
{
  static const char *const names[] = { [HTTP_FRAMING_NONE] = "none",
                                       [HTTP_FRAMING_SIZED] = "length",
                                       [HTTP_FRAMING_CHUNKED] = "chunked",
                                       [HTTP_FRAMING_CLOSE] = "close" };
  return names[framing];
}

/* Creation, release, reset and queries of a codec.  */

struct http_codec *
http_codec_create (enum http_side side, const struct http_size_limits *limits)
{
  struct http_codec *c = g_new0 (struct http_codec, 1);
  c->side = side;
  c->limits = *limits;
  c->name = g_string_new (NULL);
  c->value = g_string_new (NULL);
  http_codec_next (c, false);
  return c;
}

void
http_codec_destroy (struct http_codec *c)
{
  if (c == NULL)
    return;
  http_head_destroy (c->head);
  g_string_free (c->name, TRUE);
  g_string_free (c->value, TRUE);
  g_free (c);
}

void
http_codec_next (struct http_codec *c, bool bodiless)
{
  http_head_destroy (c->head);
  c->head = http_head_create ();
  clear_text (&c->name);
  clear_text (&c->value);
  c->in_value = false;
  c->progress = HTTP_IN_HEAD;
  c->bodiless = bodiless;
  c->keep_alive = false;
  c->framing = HTTP_FRAMING_NONE;
  c->length = 0;
  c->body_parsed = 0;
  c->framing_bytes = 0;
  http_parser_init (&c->parser, c->side == HTTP_SIDE_REQUESTS ? HTTP_REQUEST
                                                              : HTTP_RESPONSE);
  c->parser.data = c;
}

void
http_codec_set_limits (struct http_codec *c,
                       const struct http_size_limits *limits)
{
  c->limits = *limits;
}

struct http_head *
http_codec_head (struct http_codec *c)
{
  return c->progress == HTTP_IN_HEAD ? NULL : c->head;
}

enum http_framing
http_codec_framing (const struct http_codec *c, uint64_t *length)
{
  *length = c->length;
  return c->framing;
}

bool
http_codec_keep_alive (const struct http_codec *c)
{
  return c->keep_alive;
}

unsigned
http_codec_error_status (const struct http_codec *c)
{
  return c->error_status;
}

const char *
http_codec_error_message (const struct http_codec *c)
{
  return c->reason ? c->reason : "";
}
