#include "daemon/inspect.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"

#include <jansson.h>
#include <string.h>

#define METRICS_TARGET "/metrics"
#define STATUS_TARGET "/v1/operator/status"

void
inspect_reply (struct inbound_request *request, unsigned status,
               const char *type, const char *body)
{
  struct http_head *h = http_head_create ();
  h->status = status;
  if (type)
    http_head_add (h, "Content-Type", type);
  inbound_request_reply (request, h, body, body ? strlen (body) : 0);
  http_head_destroy (h);
}

static void
reply_metrics (const struct inspect_parts *p, struct inbound_request *request)
{
  const struct pool_counts *counts = pool_counts (p->pool);
  metrics_set_counter (METRIC_upstream_opened_total, counts->opened);
  metrics_set_counter (METRIC_upstream_reused_total, counts->reused);
  metrics_set_counter (METRIC_stray_answers_total, counts->stray_responses);
  metrics_set_counter (METRIC_kv_reads_total, p->kv->reads + p->kv->watches);
  metrics_set_counter (METRIC_kv_writes_total, p->kv->writes);
  metrics_set_counter (METRIC_log_lines_dropped_total, log_dropped ());
  g_autoptr (GString) text = g_string_new (NULL);
  metrics_render (text);
  inspect_reply (request, 200, "text/plain; version=0.0.4", text->str);
}

static const char *
role_name (enum upstream_role role)
{
  static const char *const names[] = { "service", "prefill", "decode" };
  return names[role];
}

static json_t *
upstream_json (const struct inspect_parts *p, const char *id)
{
  upstream_handle h = upstreams_find (p->upstreams, id);
  const struct upstream_info *info = upstreams_info (p->upstreams, h);
  struct upstream_load load = upstreams_own_load (p->upstreams, h);
  struct upstream_load all = upstreams_all_load (p->upstreams, h, clock_ms ());
  return json_pack ("{s:s, s:s, s:s, s:s, s:s, s:b, s:i, s:i, s:I, s:i}",
                    "upstream", info->id, "service", info->service, "address",
                    info->address, "failure_domain", info->failure_domain,
                    "role", role_name (info->role), "leaving", info->leaving,
                    "running", (int)load.running, "running_of_all",
                    (int)all.running, "tokens", (json_int_t)load.tokens,
                    "connections", (int)pool_connections (p->pool, id));
}

static void
add_quarantined (void *arg, const char *service,
                 const struct quarantine_entry *entry)
{
  json_t *list = arg;
  g_autofree char *part
      = g_strdup_printf ("%" G_GINT64_MODIFIER "x", entry->part);
  int64_t now = clock_ms ();
  json_array_append_new (
      list,
      json_pack ("{s:s, s:s, s:i, s:I, s:I}", "part", part, "service", service,
                 "crashes", (int)entry->crashes, "age_ms",
                 (json_int_t)(now - entry->convicted_ms), "next_canary_ms",
                 (json_int_t)(entry->canary_ms - now)));
}

static void
add_limit (void *arg, upstream_handle h, const struct upstream_info *info,
           struct upstream_rate *rate)
{
  (void)h;
  json_t *list = arg;
  if (!rate->limit.in_force)
    return;
  json_array_append_new (
      list,
      json_pack ("{s:s, s:s, s:f, s:I, s:i}", "upstream", info->id, "service",
                 info->service, "per_s", rate->limit.per_s, "age_ms",
                 (json_int_t)(clock_ms () - rate->limit.stated_ms), "tokens",
                 (int)rate->tokens.lent));
}

static void
reply_status (const struct inspect_parts *p, struct inbound_request *request)
{
  const struct route_table *routes = proxy_routes (p->proxy);
  json_t *list = json_array ();
  g_autoptr (GPtrArray) ids = upstreams_ids (p->upstreams);
  for (guint i = 0; i < ids->len; i++)
    json_array_append_new (list,
                           upstream_json (p, g_ptr_array_index (ids, i)));
  json_t *quarantined = json_array ();
  quarantine_link_foreach (vm_registry_quarantine (p->vm_registry),
                           add_quarantined, quarantined);
  json_t *limits = json_array ();
  upstreams_foreach_rate (p->upstreams, add_limit, limits);
  json_t *root = json_pack (
      "{s:s, s:b, s:I, s:I, s:i, s:i, s:o, s:o, s:o}", "vm", p->vm, "ready",
      p->ready, "routes_version",
      (json_int_t)(routes ? (int64_t)route_table_version (routes) : -1),
      "routes_age_ms", (json_int_t)discovery_routes_age_ms (p->discovery),
      "vms", (int)vm_registry_count_live (p->vm_registry), "open",
      (int)proxy_open_requests (p->proxy), "upstreams", list,
      "quarantined_parts", quarantined, "limits", limits);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  inspect_reply (request, 200, "application/json", text);
  free (text);
}

void
inspect_handle_request (const struct inspect_parts *p,
                        struct inbound_request *request)
{
  const struct http_head *h = inbound_request_head (request);
  if (strcmp (h->method, "GET") == 0
      && strcmp (h->target, METRICS_TARGET) == 0)
    reply_metrics (p, request);
  else if (strcmp (h->method, "GET") == 0
           && strcmp (h->target, STATUS_TARGET) == 0)
    reply_status (p, request);
  else
    inspect_reply (request, 404, NULL, NULL);
}
