#include "daemon/route_server.h"

#include "base/log.h"
#include "base/metrics.h"
#include "daemon/file_routes.h"
#include "daemon/proxy.h"
#include "links/default_request_ops.h"

#define MS_PER_S 1000
/* Period of upstreams_tick, which detects pauses of this process.  */
#define TICK_MS 50
/* Longest time for which a caller may send one request, and for which its
   connection may be idle between two.  */
#define REQUEST_READ_MS 3000
#define CALLER_IDLE_MS 15000
/* During shutdown, requests whose deadline lies past this share of
   leave-deadline-s are refused, so that those accepted end before the process
   does.  */
#define SHUTDOWN_DEADLINE_SHARE 0.92
/* Idle connections of callers close after this time in a shutdown.  */
#define SHUTDOWN_IDLE_MS 1500
/* Time in which a VM that starts learns of the others.  */
#define JOIN_MS 2000

struct route_server
{
  const struct context *ctx;
  const struct conf *conf;
  struct memory_budget *memory; /* of bodies and responses of callers */
  struct pool *pool;
  struct upstreams *upstreams;
  struct upstream_statements *statements;
  struct retry_buckets *retries;
  struct proxy *proxy;
  struct http_listener *listener;
  struct event *timer;
  int64_t start_ms; /* when it was created */
};

/* Callbacks for the proxy and the upstream table.  */

/* The file gives replicas a region and no failure domain, so a region is
   treated as a single failure domain.  */
static const char *
region_of (void *arg, const char *region)
{
  (void)arg;
  return region;
}

static unsigned
count_vms (void *arg)
{
  const struct route_server *r = arg;
  return members_count_live (r->ctx->members);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct route_server *r = arg;
  int64_t now = clock_ms ();
  upstreams_tick (r->upstreams, now);
  if (now >= r->start_ms + JOIN_MS)
    retry_buckets_set_vms (r->retries, count_vms (r), now);
  metrics_set (METRIC_retry_shared_by,
               retry_buckets_shared_by (r->retries, now));
}

/* Loading of the configuration file.  */

static void
on_gone (void *arg, const char *id)
{
  struct route_server *r = arg;
  log_event (LOG_INFO, "upstream_gone", "upstream", id, "why",
             "not_in_the_file", NULL);
  pool_close_idle (r->pool, id);
}

void
route_server_file_changed (struct route_server *r)
{
  const struct file *file = r ? conf_file (r->conf) : NULL;
  if (file == NULL)
    return;
  uint64_t revision = conf_revision (r->conf);
  file_routes_upstreams (file, r->upstreams, on_gone, r);
  proxy_set_routes (r->proxy, file_routes_table (file, revision));
  log_event (LOG_INFO, "routes_in_force", "revision",
             log_num ((long long)revision), "routes",
             log_num (file->routes->len), "upstreams",
             log_num (upstreams_count (r->upstreams)), NULL);
}

/* Creation and destruction.  */

static void
create_components (struct route_server *r)
{
  const struct settings *s = r->ctx->settings;
  struct upstream_locality place = { .failure_domain = s->region,
                                     .region = s->region,
                                     .region_of = region_of };
  struct retry_bounds bounds
      = { .ratio = s->retry_ratio,
          .window_ms = (unsigned)s->retry_window_s * MS_PER_S,
          .slack = (unsigned)s->retry_slack };
  r->memory = memory_budget_create (memory_budget_total_of (s->memory_mb));
  r->pool = pool_create (r->ctx->base, MIN ((unsigned)s->max_connections,
                                            http_bound_descriptors ()));
  r->upstreams = upstreams_create (&place);
  r->retries = retry_buckets_create (&bounds, clock_ms ());
  struct upstream_statements_parts statements = { .upstreams = r->upstreams };
  r->statements = upstream_statements_create (&statements);
  struct proxy_parts parts = { .base = r->ctx->base,
                               .requests = &default_request_ops,
                               .pool = r->pool,
                               .memory = r->memory,
                               .upstreams = r->upstreams,
                               .statements = r->statements,
                               .retries = r->retries,
                               .count_vms = count_vms,
                               .arg = r };
  r->proxy = proxy_create (&parts);
  r->timer = context_add_timer (r->ctx, TICK_MS, on_tick, r);
}

struct route_server *
route_server_create (const struct context *ctx, const struct conf *conf,
                     GError **error)
{
  const struct settings *s = ctx->settings;
  if (s->front_address[0] == '\0')
    return NULL;
  struct http_listener_limits limits
      = { .head_bytes = (unsigned)s->max_header_bytes,
          .body_bytes = s->max_body_bytes,
          .read_ms = REQUEST_READ_MS,
          .idle_ms = CALLER_IDLE_MS,
          .connections = (unsigned)s->max_connections,
          .stall_ms = (unsigned)s->upload_stall_ms,
          .clock = ctx->clock };
  struct route_server *r = g_new0 (struct route_server, 1);
  r->ctx = ctx;
  r->conf = conf;
  r->start_ms = clock_ms ();
  create_components (r);
  limits.memory = r->memory;
  memory_budget_set_largest (r->memory,
                             http_listener_largest_request (&limits));
  r->listener
      = http_listener_create (ctx->base, s->front_address, &limits,
                              &proxy_listener_callbacks, r->proxy, error);
  if (r->listener)
    return r;
  route_server_destroy (r);
  return NULL;
}

void
route_server_destroy (struct route_server *r)
{
  if (r == NULL)
    return;
  event_free (r->timer);
  proxy_destroy (r->proxy);
  http_listener_destroy (r->listener);
  memory_budget_destroy (r->memory);
  pool_destroy (r->pool);
  upstream_statements_destroy (r->statements);
  retry_buckets_destroy (r->retries);
  upstreams_destroy (r->upstreams);
  g_free (r);
}

/* Draining of the listener at shutdown.  */

void
route_server_leave (struct route_server *r)
{
  if (r == NULL)
    return;
  int64_t now = clock_ms ();
  double shutdown_ms = (double)r->ctx->settings->leave_deadline_s * MS_PER_S;
  proxy_set_shutdown (r->proxy, now,
                      now + (int64_t)(shutdown_ms * SHUTDOWN_DEADLINE_SHARE));
  http_listener_drain (r->listener, SHUTDOWN_IDLE_MS);
}

void
route_server_close_listener (struct route_server *r)
{
  if (r)
    http_listener_stop_accepting (r->listener);
}

unsigned
route_server_open_requests (const struct route_server *r)
{
  return r ? proxy_open_requests (r->proxy) : 0;
}
