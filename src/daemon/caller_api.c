#include "daemon/caller_api.h"

#include "base/metrics.h"
#include "config.h"
#include "daemon/reply.h"
#include "decide/rank.h"

#include <inttypes.h>
#include <string.h>

#define PATH_OPERATOR "/v1/operator/"
#define PATH_SERVICES "/v1/services/"
#define PATH_STREAMS "/v1/streams/"
#define PATH_CALLS "/v1/calls/"

/* List of entry VMs: those of this region first.  The order within this region
   and among the others depends on the caller's key, to spread callers.  */

struct candidate
{
  const struct member *member;
  bool other_region;
  uint64_t rank;
};

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const struct candidate *x = a, *y = b;
  if (x->other_region != y->other_region)
    return x->other_region ? 1 : -1;
  return x->rank > y->rank ? -1 : x->rank < y->rank;
}

static void
handle_entry (const struct caller_api *a, struct http_request *r)
{
  g_autoptr (GArray) found
      = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  g_autofree char *key_digest = request_key_digest (r);
  const GPtrArray *all = members_all (a->ctx->members);
  for (guint i = 0; i < all->len; i++)
    {
      const struct member *m = g_ptr_array_index (all, i);
      struct candidate c
          = { .member = m,
              .other_region
              = strcmp (m->info.region, a->ctx->settings->region) != 0,
              .rank = rank_weight (key_digest ? key_digest : "", m->info.id) };
      if (member_usable (m) && m->info.status == MEMBER_ALIVE)
        g_array_append_val (found, c);
    }
  g_array_sort (found, compare_candidates);
  json_t *addresses = json_array ();
  for (guint i = 0; i < found->len; i++)
    {
      const struct member *m
          = g_array_index (found, struct candidate, i).member;
      json_array_append_new (
          addresses,
          json_sprintf ("%s:%u", m->info.ip, (unsigned)m->info.http_port));
    }
  reply_json (r, 200,
              json_pack ("{s:o,s:I}", "addresses", addresses, "keep_s",
                         (json_int_t)a->ctx->settings->entry_ttl_s));
}

static void
handle_health (const struct caller_api *a, struct http_request *r)
{
  if (a->ctx->leaving)
    reply_error (r, RESULT_LEAVING, NULL, RETRY_AFTER_MIN_MS);
  else if (conf_file (a->conf) == NULL)
    reply_error (r, RESULT_NOT_READY, NULL, RETRY_AFTER_MIN_MS);
  else
    reply_json (r, 200,
                json_pack ("{s:s,s:I}", "status", "ready", "revision",
                           (json_int_t)conf_revision (a->conf)));
}

static void
handle_metrics (struct http_request *r)
{
  g_autoptr (GString) text = g_string_new (NULL);
  metrics_render (text);
  http_request_reply (r, 200, "text/plain; version=0.0.4", text->str,
                      text->len);
}

static void
handle_models (struct http_request *r, const struct file_caller *caller)
{
  json_t *list = json_array ();
  for (guint i = 0; i < caller->models->len; i++)
    json_array_append_new (
        list, json_pack ("{s:s,s:s}", "id",
                         (char *)g_ptr_array_index (caller->models, i),
                         "object", "model"));
  reply_json (r, 200, json_pack ("{s:s,s:o}", "object", "list", "data", list));
}

static void
handle_service (const struct caller_api *a, struct http_request *r,
                const struct file_caller *caller, const char *rest)
{
  const char *slash = strchr (rest, '/');
  g_autofree char *name
      = g_strndup (rest, slash ? (gsize)(slash - rest) : strlen (rest));
  if (entry_admit (a->entry, r, caller))
    calls_handle (a->calls, r, caller, name, slash ? slash : "/");
}

static void
handle_caller (const struct caller_api *a, struct http_request *r,
               const char *path, const struct file_caller *caller)
{
  bool post = strcmp (http_request_method (r), "POST") == 0;
  if (post && strcmp (path, "/v1/chat/completions") == 0)
    {
      if (entry_admit (a->entry, r, caller))
        entry_chat (a->entry, r, caller);
    }
  else if (g_str_has_prefix (path, PATH_STREAMS))
    entry_resume (a->entry, r, caller, path + strlen (PATH_STREAMS));
  else if (g_str_has_prefix (path, PATH_SERVICES))
    handle_service (a, r, caller, path + strlen (PATH_SERVICES));
  else if (g_str_has_prefix (path, PATH_CALLS))
    calls_query (a->calls, r, caller, path + strlen (PATH_CALLS));
  else if (strcmp (path, "/v1/models") == 0)
    handle_models (r, caller);
  else
    reply_error (r, RESULT_NOT_FOUND, NULL, 0);
}

static void
add_config_header (const struct caller_api *a, struct http_request *r)
{
  g_autofree char *text = g_strdup_printf (
      "revision=%" PRIu64 "%s", conf_revision (a->conf),
      conf_may_be_behind (a->conf) ? "; may-be-behind" : "");
  http_request_set_header (r, "X-Buckthorn-Config", text);
}

void
caller_api_handle (void *arg, struct http_request *r)
{
  const struct caller_api *a = arg;
  const char *path = http_request_path (r);
  if (strcmp (path, "/v1/entry") == 0)
    handle_entry (a, r);
  else if (strcmp (path, "/healthz") == 0)
    handle_health (a, r);
  else if (strcmp (path, "/metrics") == 0)
    handle_metrics (r);
  else if (g_str_has_prefix (path, PATH_OPERATOR))
    operator_api_handle (a->operators, r, path + strlen (PATH_OPERATOR));
  else if (conf_catalog (a->conf) == NULL)
    reply_error (r, RESULT_NOT_READY, NULL, RETRY_AFTER_MIN_MS);
  else
    {
      g_autofree char *digest = request_key_digest (r);
      const struct file_caller *caller
          = digest ? catalog_caller (conf_catalog (a->conf), digest) : NULL;
      metrics_add (METRIC_requests_total, 1);
      add_config_header (a, r);
      if (caller == NULL)
        reply_error (r, RESULT_UNAUTHORIZED, NULL, 0);
      else
        handle_caller (a, r, path, caller);
    }
}
