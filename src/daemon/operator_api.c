#include "daemon/operator_api.h"

#include "base/log.h"
#include "config.h"
#include "daemon/apply.h"
#include "daemon/conf.h"
#include "daemon/engines.h"
#include "daemon/orders_link.h"
#include "daemon/reply.h"
#include "decide/rank.h"

#include <inttypes.h>
#include <string.h>

#define STATUS_WAIT_MS 800
#define STATUS_TICK_MS 50
/* Operator name in the record of the first file.  */
#define BOOTSTRAP_OPERATOR "bootstrap"

/* A status request that waits for every VM to report its revision.  */
struct status_request
{
  struct operator_api *api;
  struct http_request *request;
  int64_t started_ms;
  GHashTable *revisions; /* VM id -> revision + 1, as unsigned */
  unsigned expected;     /* number of other VMs that were queried */
};

struct operator_api
{
  const struct context *ctx;
  struct conf *conf;
  struct applies *applies;
  struct engines *engines;
  struct orders_link *orders;
  GPtrArray *status_requests;
  struct event *timer;
};

/* A reply that waits for an apply or for the key-value service.  The
   operator's client may close the connection before the reply is sent.  */
struct pending_reply
{
  struct operator_api *api;
  struct http_request *request; /* NULL once the connection was closed */
};

static void
on_gone (void *arg)
{
  ((struct pending_reply *)arg)->request = NULL;
}

static struct pending_reply *
pending_reply_create (struct operator_api *o, struct http_request *r)
{
  struct pending_reply *p = g_new0 (struct pending_reply, 1);
  p->api = o;
  p->request = r;
  http_request_on_close (r, on_gone, p);
  return p;
}

/* POST /v1/operator/apply: applies a configuration file.  */

static void
on_applied (void *arg, enum result result, const char *text, uint64_t revision)
{
  struct pending_reply *p = arg;
  if (p->request)
    {
      http_request_on_close (p->request, NULL, NULL);
      reply_json (p->request, result_info (result)->http_status,
                  json_pack ("{s:s,s:i,s:s,s:I}", "result",
                             result_info (result)->name, "number", (int)result,
                             "message", text, "revision",
                             (json_int_t)revision));
    }
  g_free (p);
}

static json_t *
problems_json (const GArray *problems)
{
  json_t *out = json_array ();
  for (guint i = 0; i < problems->len; i++)
    {
      const struct config_file_problem *p
          = &g_array_index (problems, struct config_file_problem, i);
      json_array_append_new (out, json_pack ("{s:I,s:s,s:s}", "line",
                                             (json_int_t)p->line, "key",
                                             p->key, "reason", p->reason));
    }
  return out;
}

static void
reply_problems (struct http_request *r, const GArray *problems)
{
  const struct result_info *info = result_info (RESULT_FILE_INVALID);
  reply_json (r, info->http_status,
              json_pack ("{s:s,s:i,s:s,s:o}", "result", info->name, "number",
                         (int)info->code, "message", info->text, "problems",
                         problems_json (problems)));
}

static GPtrArray *
split_names (const char *text)
{
  GPtrArray *out = g_ptr_array_new_with_free_func (g_free);
  g_auto (GStrv) names = g_strsplit (text ? text : "", ",", -1);
  for (char **n = names; *n; n++)
    if ((*n)[0])
      g_ptr_array_add (out, g_strdup (*n));
  return out;
}

static void
handle_apply (struct operator_api *o, struct http_request *r,
              const char *operator_name)
{
  size_t n = 0;
  const char *body = http_request_body (r, &n);
  const char *name = http_request_query (r, "name");
  const char *expect = http_request_query (r, "expect");
  g_autofree char *file_name = g_uri_unescape_string (name ? name : "-", NULL);
  g_autoptr (GArray) problems = config_file_problems_create ();
  struct file *file = config_file_parse (body, n, problems);
  if (file == NULL)
    {
      reply_problems (r, problems);
      return;
    }
  config_file_destroy (file);
  g_autoptr (GBytes) text = g_bytes_new (body, n);
  g_autoptr (GPtrArray) behind
      = split_names (http_request_query (r, "behind"));
  struct apply_request apply
      = { .operator_name = operator_name,
          .file_name = file_name ? file_name : "-",
          .text = text,
          .expected_revision
          = expect ? g_ascii_strtoull (expect, NULL, 10) : 0,
          .allowed_behind = behind };
  applies_start (o->applies, &apply, on_applied, pending_reply_create (o, r));
}

/* Replies with the file in force, the history, members and engines.  */

static void
handle_file (struct operator_api *o, struct http_request *r)
{
  GBytes *text = conf_text (o->conf);
  if (text == NULL)
    {
      reply_error (r, RESULT_NOT_FOUND,
                   "no configuration file has been applied yet", 0);
      return;
    }
  gsize n = 0;
  const void *data = g_bytes_get_data (text, &n);
  char number[24];
  g_snprintf (number, sizeof number, "%" PRIu64, conf_revision (o->conf));
  http_request_set_header (r, "X-Buckthorn-Revision", number);
  http_request_reply (r, 200, "application/yaml", data, n);
}

static void
on_history (void *arg, enum kv_status status, const struct kv_value *values,
            size_t n)
{
  struct pending_reply *p = arg;
  if (p->request && status != KV_OK)
    {
      http_request_on_close (p->request, NULL, NULL);
      reply_error (p->request, RESULT_PLATFORM_DOWN, NULL, KV_RETRY_MS);
    }
  else if (p->request)
    {
      json_t *records = json_array ();
      for (size_t i = 0; i < n; i++)
        {
          gsize size = 0;
          const char *data = g_bytes_get_data (values[i].value, &size);
          json_t *record = json_loadb (data, size, 0, NULL);
          json_array_append_new (records, record ? record : json_null ());
        }
      http_request_on_close (p->request, NULL, NULL);
      reply_json (p->request, 200, json_pack ("{s:o}", "history", records));
    }
  g_free (p);
}

static void
handle_history (struct operator_api *o, struct http_request *r)
{
  kv_get (o->ctx->kv, CONF_KEY_HISTORY, true, on_history,
          pending_reply_create (o, r));
}

static json_t *
member_json (const struct member *m)
{
  return json_pack ("{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I}", "vm", m->info.id,
                    "region", m->info.region, "failure_domain",
                    m->info.failure_domain, "ip", m->info.ip, "status",
                    m->leaving ? "leaving"
                               : member_status_name (m->info.status),
                    "http_port", (json_int_t)m->info.http_port, "peer_port",
                    (json_int_t)m->info.peer_port, "incarnation",
                    (json_int_t)m->info.incarnation);
}

static void
handle_members (struct operator_api *o, struct http_request *r)
{
  json_t *list = json_array ();
  const GPtrArray *all = members_all (o->ctx->members);
  for (guint i = 0; i < all->len; i++)
    json_array_append_new (list, member_json (g_ptr_array_index (all, i)));
  reply_json (r, 200, json_pack ("{s:o}", "members", list));
}

static json_t *
engine_json (struct operator_api *o, const struct file_engine *f)
{
  const struct catalog *catalog = conf_catalog (o->conf);
  struct router *router = catalog_router (catalog);
  const struct route_load *load
      = router_load (router, router_find (router, f->id));
  const struct member *home
      = rank_engine_home (o->ctx->members, f->id, f->region);
  return json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:s}", "engine",
                    f->id, "model", f->model, "region", f->region,
                    "failure_domain", f->failure_domain, "home",
                    home ? home->info.id : "", "role", role_name (load->role),
                    "usable", load->usable, "running",
                    (json_int_t)load->running, "queued_tokens",
                    (json_int_t)load->queued_tokens, "report_age_ms",
                    (json_int_t)engines_report_age_ms (o->engines, f->id),
                    "order", orders_link_state_name (o->orders, f->id));
}

static void
handle_engines (struct operator_api *o, struct http_request *r)
{
  const struct file *file = conf_file (o->conf);
  json_t *list = json_array ();
  for (guint i = 0; file && i < file->engines->len; i++)
    json_array_append_new (
        list, engine_json (
                  o, &g_array_index (file->engines, struct file_engine, i)));
  reply_json (r, 200, json_pack ("{s:o}", "engines", list));
}

/* GET /v1/operator/status: queries each live VM for the revision that it has
   in force, and replies once all have reported or after STATUS_WAIT_MS.  */

static void
on_status_closed (void *arg)
{
  struct status_request *s = arg;
  g_ptr_array_remove_fast (s->api->status_requests, s);
}

static void
status_request_free (void *p)
{
  struct status_request *s = p;
  g_hash_table_destroy (s->revisions);
  g_free (s);
}

static json_t *
vms_json (const struct status_request *s)
{
  json_t *list = json_array ();
  const GPtrArray *all = members_all (s->api->ctx->members);
  for (guint i = 0; i < all->len; i++)
    {
      const struct member *m = g_ptr_array_index (all, i);
      guint reported
          = GPOINTER_TO_UINT (g_hash_table_lookup (s->revisions, m->info.id));
      json_t *vm = member_json (m);
      json_object_set_new (vm, "revision",
                           reported ? json_integer (reported - 1)
                                    : json_null ());
      json_array_append_new (list, vm);
    }
  return list;
}

/* REGION has the file in force if it has a live VM and all its live VMs
   reported the revision of this VM or a later one.  */
static json_t *
region_json (const struct status_request *s, const char *region)
{
  uint64_t revision = conf_revision (s->api->conf);
  const GPtrArray *all = members_all (s->api->ctx->members);
  json_t *behind = json_array ();
  unsigned live = 0;
  for (guint i = 0; i < all->len; i++)
    {
      const struct member *m = g_ptr_array_index (all, i);
      if (strcmp (m->info.region, region) != 0 || !member_live (m))
        continue;
      guint reported
          = GPOINTER_TO_UINT (g_hash_table_lookup (s->revisions, m->info.id));
      live++;
      if (reported < revision + 1)
        json_array_append_new (behind, json_string (m->info.id));
    }
  bool in_force = live > 0 && json_array_size (behind) == 0;
  return json_pack ("{s:s,s:b,s:i,s:o}", "region", region, "in_force",
                    in_force, "live", (int)live, "behind", behind);
}

static void
status_reply (struct status_request *s)
{
  struct conf *conf = s->api->conf;
  const struct file *file = conf_file (conf);
  json_t *regions = json_array ();
  for (guint i = 0; file && i < file->regions->len; i++)
    json_array_append_new (
        regions, region_json (s, g_ptr_array_index (file->regions, i)));
  json_t *record = conf_applied_record (conf)
                       ? json_deep_copy (conf_applied_record (conf))
                       : json_null ();
  http_request_on_close (s->request, NULL, NULL);
  reply_json (s->request, 200,
              json_pack ("{s:s,s:I,s:b,s:o,s:o,s:o}", "asked",
                         s->api->ctx->settings->vm, "revision",
                         (json_int_t)conf_revision (conf), "may_be_behind",
                         conf_may_be_behind (conf), "head", record, "regions",
                         regions, "vms", vms_json (s)));
  g_ptr_array_remove_fast (s->api->status_requests, s);
}

static void
handle_status (struct operator_api *o, struct http_request *r)
{
  struct status_request *s = g_new0 (struct status_request, 1);
  s->api = o;
  s->request = r;
  s->started_ms = clock_ms ();
  s->revisions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_ptr_array_add (o->status_requests, s);
  http_request_on_close (r, on_status_closed, s);
  g_hash_table_replace (s->revisions, g_strdup (o->ctx->settings->vm),
                        GUINT_TO_POINTER ((guint)conf_revision (o->conf) + 1));
  const GPtrArray *all = members_all (o->ctx->members);
  /* Without a record, conf_commit only queries the revision in force.  */
  struct conf_commit query = { .head = NULL };
  for (guint i = 1; i < all->len; i++)
    {
      const struct member *m = g_ptr_array_index (all, i);
      if (member_live (m)
          && context_send (o->ctx, m->info.id, MESSAGE_CONF_COMMIT, &query)
                 != 0)
        s->expected++;
    }
}

void
operator_api_record_revision (struct operator_api *o, const char *vm,
                              uint64_t revision)
{
  for (guint i = 0; i < o->status_requests->len; i++)
    {
      struct status_request *s = g_ptr_array_index (o->status_requests, i);
      g_hash_table_replace (s->revisions, g_strdup (vm),
                            GUINT_TO_POINTER ((guint)revision + 1));
    }
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct operator_api *o = arg;
  for (guint i = 0; i < o->status_requests->len; i++)
    {
      struct status_request *s = g_ptr_array_index (o->status_requests, i);
      bool complete = g_hash_table_size (s->revisions) > s->expected;
      if (complete || clock_ms () - s->started_ms >= STATUS_WAIT_MS)
        {
          status_reply (s);
          i--;
        }
    }
}

/* Authentication and dispatch of requests.  */

/* Returns the name of the operator whose key R carries, or NULL.  Until a file
   is in force, only the key of the setting operator-key-digest is valid.  */
static const char *
authenticate_operator (const struct operator_api *o,
                       const struct http_request *r)
{
  g_autofree char *digest = request_key_digest (r);
  const struct file *file = conf_file (o->conf);
  if (digest == NULL)
    return NULL;
  if (file)
    {
      const struct file_operator *op
          = config_file_find_operator (file, digest);
      return op ? op->name : NULL;
    }
  return strcmp (digest, o->ctx->settings->operator_key_digest) == 0
             ? BOOTSTRAP_OPERATOR
             : NULL;
}

void
operator_api_handle (struct operator_api *o, struct http_request *r,
                     const char *endpoint)
{
  const char *name = authenticate_operator (o, r);
  bool post = strcmp (http_request_method (r), "POST") == 0;
  if (name == NULL)
    reply_error (r, RESULT_UNAUTHORIZED, NULL, 0);
  else if (post && strcmp (endpoint, "apply") == 0)
    handle_apply (o, r, name);
  else if (strcmp (endpoint, "file") == 0)
    handle_file (o, r);
  else if (strcmp (endpoint, "history") == 0)
    handle_history (o, r);
  else if (strcmp (endpoint, "status") == 0)
    handle_status (o, r);
  else if (strcmp (endpoint, "members") == 0)
    handle_members (o, r);
  else if (strcmp (endpoint, "engines") == 0)
    handle_engines (o, r);
  else
    reply_error (r, RESULT_NOT_FOUND, NULL, 0);
}

struct operator_api *
operator_api_create (const struct context *ctx, struct conf *conf,
                     struct applies *applies, struct engines *engines,
                     struct orders_link *orders)
{
  struct operator_api *o = g_new0 (struct operator_api, 1);
  o->ctx = ctx;
  o->conf = conf;
  o->applies = applies;
  o->engines = engines;
  o->orders = orders;
  o->status_requests = g_ptr_array_new_with_free_func (status_request_free);
  o->timer = context_add_timer (ctx, STATUS_TICK_MS, on_timer, o);
  return o;
}

void
operator_api_destroy (struct operator_api *o)
{
  if (o == NULL)
    return;
  event_free (o->timer);
  g_ptr_array_unref (o->status_requests);
  g_free (o);
}
