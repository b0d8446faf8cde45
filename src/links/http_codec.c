#include "links/http_codec.h"

#include <http_parser.h>
#include <string.h>

/* Heads are never let grow past this, whatever the bounds say.  */
#define HEAD_MAX_BYTES (64U * 1024)
/* Largest part of a body that is parsed at once.  */
#define FEED_BYTES (64U * 1024)

struct http_codec
{
  enum http_side side;
  struct http_bounds bounds;
  struct http_parser parser;
  enum http_progress progress;
  struct http_head *head;
  GString *name;
  GString *value;
  bool in_value;
  bool bodiless;
  bool keep_alive;
  enum http_framing framing;
  uint64_t length;
  uint64_t body_seen;
  struct evbuffer *body;
  unsigned refusal;
  const char *reason;
};

static struct http_codec *
codec_of (http_parser *p)
{
  return p->data;
}

static void
refuse (struct http_codec *c, unsigned status, const char *reason)
{
  if (c->progress == HTTP_BAD)
    return;
  c->progress = HTTP_BAD;
  c->refusal = status;
  c->reason = reason;
}

/* Callbacks of the parser.  */

static void
flush_field (struct http_codec *c)
{
  if (c->name->len > 0)
    {
      /* Trailing blanks are no part of a value.  */
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
  struct http_codec *c = codec_of (p);
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
  struct http_codec *c = codec_of (p);
  g_free (c->head->reason);
  c->head->reason = g_strndup (at, n);
  return 0;
}

static int
on_field (http_parser *p, const char *at, size_t n)
{
  struct http_codec *c = codec_of (p);
  if (c->progress != HTTP_IN_HEAD)
    return 0;
  if (c->in_value)
    flush_field (c);
  g_string_append_len (c->name, at, (gssize)n);
  return 0;
}

static int
on_value (http_parser *p, const char *at, size_t n)
{
  struct http_codec *c = codec_of (p);
  if (c->progress != HTTP_IN_HEAD)
    return 0;
  c->in_value = true;
  g_string_append_len (c->value, at, (gssize)n);
  return 0;
}

static bool
answer_without_body (const struct http_codec *c)
{
  unsigned status = c->head->status;
  return c->bodiless || status < 200 || status == 204 || status == 304;
}

static void
find_framing (struct http_codec *c, const http_parser *p)
{
  c->length = 0;
  if (c->side == HTTP_SIDE_ANSWERS && answer_without_body (c))
    c->framing = HTTP_FRAMING_NONE;
  else if (http_head_count (c->head, "Transfer-Encoding") > 0)
    c->framing = HTTP_FRAMING_CHUNKED;
  else if (http_head_count (c->head, "Content-Length") > 0)
    {
      c->framing = HTTP_FRAMING_SIZED;
      c->length = p->content_length;
    }
  else
    c->framing = c->side == HTTP_SIDE_ANSWERS ? HTTP_FRAMING_CLOSE
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
    refuse (c, 400, "Transfer-Encoding is not chunked");
  if (coding && http_head_count (h, "Content-Length") > 0)
    refuse (c, 400, "Content-Length beside Transfer-Encoding");
  if (http_head_count (h, "Content-Length") > 1)
    refuse (c, 400, "more than one Content-Length");
  if (c->side == HTTP_SIDE_ANSWERS)
    return;
  if (http_head_count (h, "Host") != 1)
    refuse (c, 400, "not one Host");
  if (h->target == NULL || h->target[0] != '/')
    refuse (c, 400, "the target is no path");
  if (c->bounds.body_bytes > 0 && c->length > c->bounds.body_bytes)
    refuse (c, 413, "the body is over its bound");
}

static int
on_headers_complete (http_parser *p)
{
  struct http_codec *c = codec_of (p);
  flush_field (c);
  c->head->minor = p->http_minor;
  if (c->side == HTTP_SIDE_REQUESTS)
    c->head->method = g_strdup (http_method_str (p->method));
  else
    c->head->status = p->status_code;
  find_framing (c, p);
  check_head (c);
  if (c->progress != HTTP_BAD)
    c->progress = HTTP_IN_BODY;
  if (c->progress == HTTP_BAD)
    return -1;
  c->keep_alive = http_should_keep_alive (p) != 0;
  return c->side == HTTP_SIDE_ANSWERS && answer_without_body (c) ? 1 : 0;
}

static int
on_body (http_parser *p, const char *at, size_t n)
{
  struct http_codec *c = codec_of (p);
  c->body_seen += n;
  if (c->side == HTTP_SIDE_REQUESTS && c->bounds.body_bytes > 0
      && c->body_seen > c->bounds.body_bytes)
    {
      refuse (c, 413, "the body is over its bound");
      return -1;
    }
  evbuffer_add (c->body, at, n);
  return 0;
}

static int
on_message_complete (http_parser *p)
{
  struct http_codec *c = codec_of (p);
  c->progress = HTTP_WHOLE;
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

/* Feeding.  */

static void
run_parser (struct http_codec *c, const void *data, size_t n, size_t *used)
{
  *used = http_parser_execute (&c->parser, &parser_settings, data, n);
  enum http_errno error = HTTP_PARSER_ERRNO (&c->parser);
  if (error != HPE_OK && error != HPE_PAUSED)
    refuse (c, 400, http_errno_description (error));
  else if (c->parser.upgrade && c->progress != HTTP_WHOLE)
    refuse (c, 400, "an upgrade is not taken");
}

/* A head in which lines end otherwise than by CR LF, or go on in the next
   line, is read differently by different parsers.  */
static bool
lines_are_plain (const char *head, size_t n)
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

/* Whether C may stand in the name of a field.  */
static bool
is_token (char c)
{
  return g_ascii_isalnum (c)
         || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c) != NULL);
}

/* Whether each line after the first is NAME: VALUE, with no blank in or after
   the name.  */
static bool
names_are_tokens (const char *head, size_t n)
{
  const char *end = head + n - 2; /* without the empty line */
  const char *line = memchr (head, '\n', n);
  for (line = line ? line + 1 : end; line < end;)
    {
      const char *at = line;
      while (at < end && is_token (*at))
        at++;
      if (at == line || *at != ':')
        return false;
      const char *nl = memchr (at, '\n', (size_t)(end - at));
      line = nl ? nl + 1 : end;
    }
  return true;
}

static size_t
head_bound (const struct http_codec *c)
{
  size_t bound = c->bounds.head_bytes;
  return bound > 0 && bound < HEAD_MAX_BYTES ? bound : HEAD_MAX_BYTES;
}

static void
feed_head (struct http_codec *c, struct evbuffer *in)
{
  /* Empty lines before a request line are passed over.  */
  unsigned char lead[2];
  while (c->side == HTTP_SIDE_REQUESTS
         && evbuffer_copyout (in, lead, sizeof lead) == 2 && lead[0] == '\r'
         && lead[1] == '\n')
    evbuffer_drain (in, 2);
  size_t bound = head_bound (c);
  struct evbuffer_ptr end = evbuffer_search (in, "\r\n\r\n", 4, NULL);
  size_t size = end.pos < 0 ? evbuffer_get_length (in) : (size_t)end.pos + 4;
  if (size > bound)
    refuse (c, 431, "the header fields are over their bound");
  if (end.pos < 0 || c->progress == HTTP_BAD)
    return;
  const char *head = (const char *)evbuffer_pullup (in, (ev_ssize_t)size);
  if (!lines_are_plain (head, size) || !names_are_tokens (head, size))
    {
      refuse (c, 400, "malformed line in the header");
      return;
    }
  size_t used = 0;
  run_parser (c, head, size, &used);
  evbuffer_drain (in, size);
  if (c->progress == HTTP_IN_HEAD)
    refuse (c, 400, "no start line");
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
      run_parser (c, data, n, &used);
      evbuffer_drain (in, MIN (used, n));
    }
}

enum http_progress
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

enum http_progress
http_codec_eof (struct http_codec *c)
{
  if (c->progress == HTTP_IN_BODY && c->framing == HTTP_FRAMING_CLOSE)
    c->progress = HTTP_WHOLE;
  return c->progress;
}

/* Making and reading.  */

struct http_codec *
http_codec_create (enum http_side side, const struct http_bounds *bounds)
{
  struct http_codec *c = g_new0 (struct http_codec, 1);
  c->side = side;
  c->bounds = *bounds;
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
  g_string_truncate (c->name, 0);
  g_string_truncate (c->value, 0);
  c->in_value = false;
  c->progress = HTTP_IN_HEAD;
  c->bodiless = bodiless;
  c->keep_alive = false;
  c->framing = HTTP_FRAMING_NONE;
  c->length = 0;
  c->body_seen = 0;
  http_parser_init (&c->parser, c->side == HTTP_SIDE_REQUESTS ? HTTP_REQUEST
                                                              : HTTP_RESPONSE);
  c->parser.data = c;
}

void
http_codec_set_bounds (struct http_codec *c, const struct http_bounds *bounds)
{
  c->bounds = *bounds;
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
http_codec_refusal (const struct http_codec *c)
{
  return c->refusal;
}

const char *
http_codec_reason (const struct http_codec *c)
{
  return c->reason ? c->reason : "";
}
