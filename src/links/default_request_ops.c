#include "links/default_request_ops.h"

#include <string.h>
#include <sys/random.h>

#define FIELD_ID "X-Request-Id"
#define FIELD_DEADLINE "X-Deadline-Ms"
#define FIELD_UPSTREAM "X-Upstream"
#define FIELD_REFUSED "X-Refused"
#define FIELD_LAST_EVENT "Last-Event-ID"
#define ID_BYTES 8
#define STATUS_UNAVAILABLE 503
#define STATUS_MISDIRECTED 421 /* Misdirected Request */
#define SECOND_MS 1000

/* Header fields that are forwarded even if a Connection field lists them.  */
static const char *const protected_fields[]
    = { FIELD_ID, FIELD_DEADLINE,   FIELD_LAST_EVENT,
        "Host",   "Content-Length", FIELD_REFUSED,
        NULL };

static char *
generate_id (void)
{
  guint8 bytes[ID_BYTES];
  char text[2 * ID_BYTES + 1];
  if (getrandom (bytes, sizeof bytes, 0) != (ssize_t)sizeof bytes)
    g_error ("getrandom failed: cannot generate a request id");
  for (unsigned i = 0; i < ID_BYTES; i++)
    g_snprintf (text + 2 * i, 3, "%02x", bytes[i]);
  return g_strdup (text);
}

static void
read_request (struct http_head *h, struct request_info *out)
{
  memset (out, 0, sizeof *out);
  const char *id = http_head_get (h, FIELD_ID);
  const char *deadline = http_head_get (h, FIELD_DEADLINE);
  gint64 ms = -1;
  if (deadline
      && !g_ascii_string_to_signed (deadline, 10, 0, G_MAXINT32, &ms, NULL))
    ms = -1;
  out->caller_timeout_ms = ms;
  out->id = id && id[0] ? g_strdup (id) : generate_id ();
  http_head_set (h, FIELD_ID, out->id);
  http_head_remove (h, FIELD_UPSTREAM);
}

static void
set_forwarded_fields (struct http_head *h, const struct forwarded_info *m)
{
  char text[24];
  g_snprintf (text, sizeof text, "%" G_GINT64_FORMAT, m->caller_timeout_ms);
  http_head_set (h, FIELD_DEADLINE, text);
  http_head_set (h, FIELD_UPSTREAM, m->upstream);
  if (m->resume_after)
    http_head_set (h, FIELD_LAST_EVENT, m->resume_after);
}

static void
read_response (const struct http_head *h, struct response_info *out)
{
  out->not_run
      = http_head_get (h, FIELD_REFUSED) || h->status == STATUS_MISDIRECTED;
  /* Upstreams of the product's own file are identified by their address
     only.  Their responses have no field that identifies the sender.  */
  out->sent_by_upstream = true;
  out->leaving = false;
  out->limit = LIMIT_UNKNOWN;
  out->retry_after_ms
      = h->status == STATUS_UNAVAILABLE ? http_head_retry_after_ms (h) : 0;
}

static void
set_retry_after (struct http_head *h, unsigned retry_after_ms)
{
  char text[24];
  g_snprintf (text, sizeof text, "%u",
              (retry_after_ms + SECOND_MS - 1) / SECOND_MS);
  http_head_set (h, "Retry-After", text);
}

const struct request_ops default_request_ops = {
  .id_field = FIELD_ID,
  .protected_fields = protected_fields,
  .read_request = read_request,
  .set_forwarded_fields = set_forwarded_fields,
  .read_response = read_response,
  .set_retry_after = set_retry_after,
};
