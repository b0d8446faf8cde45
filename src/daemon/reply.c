#include "daemon/reply.h"

#include "base/metrics.h"

#include <glib.h>
#include <string.h>

#define BEARER_PREFIX "Bearer "

void
reply_json (struct http_request *r, int status, json_t *root)
{
  g_autofree char *text = json_dumps (root, JSON_COMPACT);
  g_autofree char *body = g_strconcat (text, "\n", NULL);
  json_decref (root);
  http_request_reply (r, status, "application/json", body, strlen (body));
}

static void
count_result (enum result result)
{
  if (result == RESULT_OUTCOME_UNKNOWN)
    metrics_add (METRIC_unknown_total, 1);
  else if (result == RESULT_UNAUTHORIZED)
    metrics_add (METRIC_unauthorized_total, 1);
  else if (result == RESULT_UPSTREAM_ERROR || result == RESULT_STREAM_LOST)
    metrics_add (METRIC_failed_total, 1);
  else
    metrics_add (METRIC_not_run_total, 1);
}

void
reply_error (struct http_request *r, enum result result, const char *text,
             uint64_t retry_after_ms)
{
  const struct result_info *info = result_info (result);
  count_result (result);
  if (retry_after_ms > 0)
    {
      char number[24];
      g_snprintf (number, sizeof number, "%" G_GUINT64_FORMAT,
                  (guint64)(retry_after_ms + 999) / 1000);
      http_request_set_header (r, "Retry-After", number);
      g_snprintf (number, sizeof number, "%" G_GUINT64_FORMAT,
                  (guint64)retry_after_ms);
      http_request_set_header (r, "Retry-After-Ms", number);
    }
  if (result == RESULT_UNAUTHORIZED)
    http_request_set_header (r, "WWW-Authenticate", "Bearer");
  reply_json (r, info->http_status,
              json_pack ("{s:{s:s,s:i,s:s}}", "error", "code", info->name,
                         "number", (int)info->code, "message",
                         text ? text : info->text));
}

char *
request_key_digest (const struct http_request *r)
{
  const char *header = http_request_header (r, "Authorization");
  if (header == NULL
      || strncmp (header, BEARER_PREFIX, strlen (BEARER_PREFIX)) != 0)
    return NULL;
  return g_compute_checksum_for_string (G_CHECKSUM_SHA256,
                                        header + strlen (BEARER_PREFIX), -1);
}
