#include "base/json_split.h"

#include <stdbool.h>
#include <string.h>

/* Depths of arrays whose elements are parts: a member of the outermost object,
   or of an object in it.  */
#define ARRAY_DEPTH_MIN 2
#define ARRAY_DEPTH_MAX 3

struct scan
{
  const char *at;
  const char *end;
  struct json_split *out;
  const char *copied; /* up to here the outline is complete */
};

static struct scan
scan_begin (const char *text, size_t size)
{
  struct json_split *out = g_new (struct json_split, 1);
  if (size == 0)
    text = "";
  out->outline = g_string_new (NULL);
  out->parts = g_array_new (FALSE, FALSE, sizeof (struct json_part));
  return (struct scan){ text, text + size, out, text };
}

/* Moves S from behind an opening quote to the closing one.  Returns false if
   the string has escapes or does not end.  */
static bool
find_quote (struct scan *s)
{
  bool plain = true;
  while (s->at < s->end && *s->at != '"')
    {
      if (*s->at == '\\')
        {
          plain = false;
          s->at++;
        }
      s->at++;
    }
  s->at = MIN (s->at, s->end);
  return plain && s->at < s->end;
}

/* Puts the number of PART, the next one, in place of [FROM, TO).  */
static void
take_part (struct scan *s, const char *from, const char *to,
           struct json_part part)
{
  g_string_append_len (s->out->outline, s->copied, from - s->copied);
  g_string_append_printf (s->out->outline, "%u", s->out->parts->len);
  g_array_append_val (s->out->parts, part);
  s->copied = to;
}

static struct json_split *
scan_end (struct scan *s)
{
  g_string_append_len (s->out->outline, s->copied, s->end - s->copied);
  return s->out;
}

/* Moves S to the end of the element that begins there: the comma or bracket
   that follows, or the end of the text.  */
static void
skip_element (struct scan *s)
{
  int depth = 0;
  for (; s->at < s->end; s->at++)
    switch (*s->at)
      {
      case '"':
        s->at++;
        (void)find_quote (s);
        break;
      case '{':
      case '[':
        depth++;
        break;
      case '}':
      case ']':
        if (depth-- == 0)
          return;
        break;
      case ',':
        if (depth == 0)
          return;
        break;
      default:
        break;
      }
  s->at = MIN (s->at, s->end);
}

/* Takes the elements of the array whose bracket S has just passed.  */
static void
take_elements (struct scan *s)
{
  while (s->at < s->end && *s->at != ']' && *s->at != '}')
    {
      if (*s->at == ',' || g_ascii_isspace (*s->at))
        {
          s->at++;
          continue;
        }
      const char *from = s->at;
      skip_element (s);
      take_part (s, from, s->at,
                 (struct json_part){ from, (size_t)(s->at - from) });
    }
}

struct json_split *
json_split_elements (const char *text, size_t size)
{
  struct scan s = scan_begin (text, size);
  int depth = 0;
  while (s.at < s.end)
    {
      char c = *s.at++;
      if (c == '"')
        {
          (void)find_quote (&s);
          s.at = MIN (s.at + 1, s.end);
        }
      else if (c == '}' || c == ']')
        depth--;
      else if (c == '{' || c == '[')
        {
          depth++;
          if (c == '[' && depth >= ARRAY_DEPTH_MIN && depth <= ARRAY_DEPTH_MAX)
            take_elements (&s);
        }
    }
  return scan_end (&s);
}

/* Whether the string whose closing quote is at S is the name of a member.  */
static bool
is_name (const struct scan *s)
{
  const char *next = s->at + 1;
  while (next < s->end && g_ascii_isspace (*next))
    next++;
  return next < s->end && *next == ':';
}

struct json_split *
json_split_strings (const char *text, size_t size, size_t least)
{
  struct scan s = scan_begin (text, size);
  const char *quote;
  while ((quote = memchr (s.at, '"', (size_t)(s.end - s.at))) != NULL)
    {
      s.at = quote + 1;
      bool plain = find_quote (&s);
      size_t length = (size_t)(s.at - quote - 1);
      if (plain && length >= least && !is_name (&s))
        take_part (&s, quote, s.at + 1,
                   (struct json_part){ quote + 1, length });
      s.at = MIN (s.at + 1, s.end);
    }
  return scan_end (&s);
}

void
json_split_free (struct json_split *s)
{
  if (s == NULL)
    return;
  g_string_free (s->outline, TRUE);
  g_array_unref (s->parts);
  g_free (s);
}
