#include "base/http_head.h"

#include <math.h>
#include <string.h>

#define MS_PER_S 1000.0
/* Names and values are allocated in blocks of this size.  */
#define TEXT_BLOCK_BYTES 512
/* Memory of a byte of text: a block may be left half empty.  */
#define TEXT_FACTOR 2
/* The shortest field: a name of one character, a colon and the line end.  */
#define FIELD_WIRE_BYTES_MIN 4
/* Memory of a field beside its text: an array that grows has up to twice the
   elements that it needs.  */
#define FIELD_BYTES (2 * sizeof (struct http_field))

static const char *const hop_by_hop_fields[]
    = { "Connection", "Keep-Alive", "Transfer-Encoding", "TE",
        "Trailer",    "Upgrade",    "Proxy-Connection",  NULL };

struct http_head *
http_head_create (void)
{
  struct http_head *h = g_new0 (struct http_head, 1);
  h->minor = 1;
  h->fields = g_array_new (FALSE, FALSE, sizeof (struct http_field));
  h->text = g_string_chunk_new (TEXT_BLOCK_BYTES);
  return h;
}

void
http_head_destroy (struct http_head *h)
{
  if (h == NULL)
    return;
  g_free (h->method);
  g_free (h->target);
  g_free (h->reason);
  g_array_free (h->fields, TRUE);
  g_string_chunk_free (h->text);
  g_free (h);
}

size_t
http_head_memory (const struct http_head *h)
{
  size_t target = h->target ? strlen (h->target) + 1 : 0;
  return sizeof *h + TEXT_BLOCK_BYTES + target + TEXT_FACTOR * h->text_bytes
         + h->fields->len * FIELD_BYTES;
}

size_t
http_head_memory_max (size_t bytes)
{
  return sizeof (struct http_head) + TEXT_BLOCK_BYTES + TEXT_FACTOR * bytes
         + bytes / FIELD_WIRE_BYTES_MIN * FIELD_BYTES;
}

static struct http_field *
field_at (const struct http_head *h, guint i)
{
  return &g_array_index (h->fields, struct http_field, i);
}

struct http_head *
http_head_copy (const struct http_head *h)
{
  struct http_head *out = http_head_create ();
  out->method = g_strdup (h->method);
  out->target = g_strdup (h->target);
  out->status = h->status;
  out->reason = g_strdup (h->reason);
  out->minor = h->minor;
  for (guint i = 0; i < h->fields->len; i++)
    http_head_add (out, field_at (h, i)->name, field_at (h, i)->value);
  return out;
}

const char *
http_head_get (const struct http_head *h, const char *name)
{
  for (guint i = 0; i < h->fields->len; i++)
    if (g_ascii_strcasecmp (field_at (h, i)->name, name) == 0)
      return field_at (h, i)->value;
  return NULL;
}

unsigned
http_head_count (const struct http_head *h, const char *name)
{
  unsigned n = 0;
  for (guint i = 0; i < h->fields->len; i++)
    n += g_ascii_strcasecmp (field_at (h, i)->name, name) == 0;
  return n;
}

void
http_head_add (struct http_head *h, const char *name, const char *value)
{
  struct http_field f = { g_string_chunk_insert (h->text, name),
                          g_string_chunk_insert (h->text, value) };
  h->text_bytes += strlen (name) + strlen (value) + 2;
  g_array_append_val (h->fields, f);
}

void
http_head_remove (struct http_head *h, const char *name)
{
  for (guint i = h->fields->len; i > 0; i--)
    if (g_ascii_strcasecmp (field_at (h, i - 1)->name, name) == 0)
      g_array_remove_index (h->fields, i - 1);
}

void
http_head_set (struct http_head *h, const char *name, const char *value)
{
  http_head_remove (h, name);
  http_head_add (h, name, value);
}

static bool
list_contains (const char *value, const char *token)
{
  g_auto (GStrv) parts = g_strsplit (value, ",", -1);
  for (char **p = parts; *p; p++)
    if (g_ascii_strcasecmp (g_strstrip (*p), token) == 0)
      return true;
  return false;
}

bool
http_head_has_token (const struct http_head *h, const char *name,
                     const char *token)
{
  for (guint i = 0; i < h->fields->len; i++)
    if (g_ascii_strcasecmp (field_at (h, i)->name, name) == 0
        && list_contains (field_at (h, i)->value, token))
      return true;
  return false;
}

static bool
name_in_list (const char *name, const char *const *list)
{
  for (; *list; list++)
    if (g_ascii_strcasecmp (name, *list) == 0)
      return true;
  return false;
}

static guint
name_hash (gconstpointer name)
{
  g_autofree char *lower = g_ascii_strdown (name, -1);
  return g_str_hash (lower);
}

static gboolean
name_equal (gconstpointer a, gconstpointer b)
{
  return g_ascii_strcasecmp (a, b) == 0;
}

/* Removes the fields that NAMED, a comma-separated list, names, except those
   in KEEP.  Takes time by the sum of names and fields, as callers choose both.
 */
static void
remove_named (struct http_head *h, const char *named, const char *const *keep)
{
  g_auto (GStrv) names = g_strsplit (named, ",", -1);
  g_autoptr (GHashTable) set = g_hash_table_new (name_hash, name_equal);
  for (char **n = names; *n; n++)
    if (*g_strstrip (*n) && !name_in_list (*n, keep))
      g_hash_table_add (set, *n);
  guint kept = 0;
  for (guint i = 0; i < h->fields->len; i++)
    if (!g_hash_table_contains (set, field_at (h, i)->name))
      *field_at (h, kept++) = *field_at (h, i);
  g_array_set_size (h->fields, kept);
}

void
http_head_strip_hop_by_hop (struct http_head *h, const char *const *keep)
{
  const char *named = http_head_get (h, "Connection");
  if (named)
    remove_named (h, named, keep);
  for (const char *const *f = hop_by_hop_fields; *f; f++)
    http_head_remove (h, *f);
}

const char *
http_reason (unsigned status)
{
  switch (status)
    {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
    }
}

unsigned
http_head_retry_after_ms (const struct http_head *h)
{
  const char *text = http_head_get (h, "Retry-After");
  if (text == NULL)
    return 0;
  char *end = NULL;
  double seconds = g_ascii_strtod (text, &end);
  if (end == text || *end != '\0' || !(seconds > 0))
    return 0;
  return (unsigned)MIN (ceil (seconds * MS_PER_S), HTTP_RETRY_AFTER_MAX_MS);
}

void
http_head_write (const struct http_head *h, GString *out)
{
  if (h->method)
    g_string_append_printf (out, "%s %s HTTP/1.1\r\n", h->method, h->target);
  else
    g_string_append_printf (out, "HTTP/1.1 %u %s\r\n", h->status,
                            h->reason ? h->reason : http_reason (h->status));
  for (guint i = 0; i < h->fields->len; i++)
    {
      const struct http_field *f = field_at (h, i);
      g_string_append (out, f->name);
      g_string_append (out, ": ");
      g_string_append (out, f->value);
      g_string_append (out, "\r\n");
    }
  g_string_append (out, "\r\n");
}
