#include "daemon/gateway.h"

#include "base/clock.h"
#include "base/address.h"
#include "base/file_stamp.h"
#include "base/log.h"
#include "base/metrics.h"
#include "daemon/discovery.h"
#include "daemon/domains.h"
#include "daemon/entry_addresses.h"
#include "daemon/fleet_duties.h"
#include "daemon/settings_update.h"
#include "daemon/vm_registry.h"
#include "daemon/prefill_split_link.h"
#include "daemon/inspect.h"
#include "daemon/proxy.h"
#include "links/input_age.h"

#include <event2/event.h>
#include <signal.h>
#include <string.h>

#define SECOND_MS 1000
/* Limits of the caller listener until the first routes set others.  */
#define DEFAULT_HEAD_BYTES (16U * 1024)
#define DEFAULT_READ_MS 3000
#define DEFAULT_IDLE_MS 15000
/* Limits of the listeners for readiness, entry-address and operator requests,
   which are small.  */
#define CONTROL_HEAD_BYTES 8192
#define CONTROL_BODY_BYTES 4096
#define CONTROL_CONNECTIONS 400
/* Fractions of the setting leave-deadline-s, counted from the stop signal.
   SHUTDOWN_ACCEPT_FRACTION: until then new connections are accepted.
   SHUTDOWN_ACCEPT_LONG_FRACTION: until then requests are accepted that may run
   past the end.
   SHUTDOWN_END_FRACTION: requests that are still open are ended.
   SHUTDOWN_FLUSH_FRACTION: the event loop ends, if the responses to these were
   not all written before.  */
#define SHUTDOWN_ACCEPT_FRACTION 0.45
#define SHUTDOWN_ACCEPT_LONG_FRACTION 0.3
#define SHUTDOWN_END_FRACTION 0.92
#define SHUTDOWN_FLUSH_FRACTION 0.95
/* Idle connections of callers are closed after this time during shutdown.  */
#define SHUTDOWN_IDLE_MS 1500
/* Least duration of a shutdown, unless SHUTDOWN_END_FRACTION comes first.  */
#define SHUTDOWN_MIN_MS 1200
/* Time in which a VM that has joined learns of the others, unless they are cut
   off.  */
#define JOIN_MS 10000

struct gateway
{
  struct event_base *base;
  struct loop_clock *clock;
  struct settings *settings;
  const struct platform_ops *platform;
  gateway_reload *reload;
  void *reload_arg;

  struct http_client *http;
  struct kv *kv;
  struct memory_budget *memory; /* of bodies and responses of callers */
  struct pool *pool;
  struct upstreams *upstreams;
  struct retry_buckets *retries;
  struct proxy *proxy;
  struct discovery *discovery;
  struct vm_registry *vm_registry;
  struct prefill_split *prefill_split;
  struct prefill_split_link *prefill_split_link;
  struct fleet_duties *duties;
  struct http_listener *callers; /* listener for callers */
  struct http_listener *ready;   /* listener for readiness probes */
  struct http_listener *entry;   /* listener for entry-address requests */
  struct http_listener
      *metrics;        /* listener for operators; NULL if metrics-port is 0 */
  GHashTable *regions; /* failure domain -> region */

  struct event *timer;
  int64_t second_ms;      /* when the settings file was last checked */
  int64_t joined_ms;      /* when the VM was first seen to have joined; or 0 */
  struct file_stamp file; /* stamp of the settings file as last read */
  int64_t leaving_ms;     /* earliest time of the stop signal; 0 before */
  bool was_ready;         /* readiness as last logged */
};

/* State that other components query.  */

static const char *
region_of (void *arg, const char *failure_domain)
{
  struct gateway *g = arg;
  return g_hash_table_lookup (g->regions, failure_domain);
}

static unsigned
count_vms (void *arg)
{
  const struct gateway *g = arg;
  return vm_registry_count_live (g->vm_registry);
}

static bool
is_ready (const struct gateway *g)
{
  return g->leaving_ms == 0 && discovery_is_complete (g->discovery);
}

/* Updates of routes and upstreams.  */

/* Limits of the listener for callers; defaults for those that L leaves 0.  */
static struct http_listener_limits
listener_limits (const struct gateway *g, const struct caller_limits *l)
{
  const struct settings *s = g->settings;
  return (struct http_listener_limits){
    .head_bytes = l->head_bytes ? l->head_bytes : DEFAULT_HEAD_BYTES,
    .body_bytes = l->body_bytes ? l->body_bytes : s->max_body_bytes,
    .read_ms = l->read_ms ? l->read_ms : DEFAULT_READ_MS,
    .idle_ms = l->idle_ms ? l->idle_ms : DEFAULT_IDLE_MS,
    .connections = (unsigned)s->max_connections,
    .stall_ms = (unsigned)s->upload_stall_ms,
    .memory = g->memory,
    .clock = g->clock
  };
}

static void
set_caller_limits (struct gateway *g, const struct caller_limits *l)
{
  struct http_listener_limits limits = listener_limits (g, l);
  memory_budget_set_largest (g->memory,
                             http_listener_largest_request (&limits));
  http_listener_set_limits (g->callers, &limits);
}

/* Argument of set_engine_limits.  */
struct limits_visit
{
  struct gateway *gateway;
  const struct route_table *table;
};

static void
set_engine_limits (void *arg, const struct route_service *s)
{
  const struct limits_visit *v = arg;
  if (!s->is_engine)
    return;
  struct engine_limits limits = { .kv_tokens = s->kv_tokens,
                                  .kv_bytes_per_token = s->kv_bytes_per_token,
                                  .link_mbit_per_s = s->link_mbit_per_s,
                                  .role_change_ms = s->role_change_ms };
  limits.event_gap_ms = route_table_event_gap_ms (v->table, s->name);
  upstreams_set_engine_limits (v->gateway->upstreams, s->name, &limits);
}

static void
on_routes (void *arg, struct route_table *table)
{
  struct gateway *g = arg;
  set_caller_limits (g, route_table_limits (table));
  fleet_duties_set_routes (g->duties, table);
  struct limits_visit v = { g, table };
  route_table_each_service (table, set_engine_limits, &v);
  proxy_set_routes (g->proxy, table);
}

static void
on_upstream_gone (void *arg, const char *id)
{
  struct gateway *g = arg;
  pool_close_idle (g->pool, id);
}

static void
on_upstream_ended (void *arg, const struct upstream_info *upstream)
{
  struct gateway *g = arg;
  quarantine_link_record_gone (vm_registry_quarantine (g->vm_registry),
                               upstream);
}

static const struct discovery_callbacks discovery_callbacks
    = { on_routes, on_upstream_ended, on_upstream_gone };

/* Readiness, entry-address and operator requests.  */

static void
on_ready_request (void *arg, struct inbound_request *request)
{
  struct gateway *g = arg;
  bool is_probe
      = g->platform->is_readiness_probe (inbound_request_head (request));
  inspect_reply (request, !is_probe ? 404 : (is_ready (g) ? 200 : 503), NULL,
                 NULL);
}

/* Responds with the addresses of VMs that a caller should connect to.  */
static void
on_entry_request (void *arg, struct inbound_request *request)
{
  struct gateway *g = arg;
  struct entry_query q;
  if (!g->platform->read_entry_query (inbound_request_head (request), &q))
    {
      inspect_reply (request, 404, NULL, NULL);
      return;
    }
  g_autoptr (GPtrArray) addresses
      = entry_addresses (vm_registry_members (g->vm_registry), region_of, g,
                         q.failure_domain, q.region);
  if (addresses->len > 0 && (is_ready (g) || g->leaving_ms != 0))
    {
      g_autofree char *body = g->platform->write_entry_response (
          addresses, (double)g->settings->entry_ttl_s);
      inspect_reply (request, 200, "application/json", body);
    }
  else
    inspect_reply (request, 503, NULL, NULL);
  g_free (q.host);
  g_free (q.region);
  g_free (q.failure_domain);
}

static void
on_operator_request (void *arg, struct inbound_request *request)
{
  const struct gateway *g = arg;
  struct inspect_parts parts = { .vm = g->settings->vm,
                                 .ready = is_ready (g),
                                 .proxy = g->proxy,
                                 .discovery = g->discovery,
                                 .vm_registry = g->vm_registry,
                                 .upstreams = g->upstreams,
                                 .pool = g->pool,
                                 .kv = g->kv };
  inspect_handle_request (&parts, request);
}

static const struct http_listener_callbacks ready_callbacks
    = { on_ready_request, NULL };
static const struct http_listener_callbacks entry_callbacks
    = { on_entry_request, NULL };
static const struct http_listener_callbacks metrics_callbacks
    = { on_operator_request, NULL };

/* Timer and signals: readiness, reload of settings, shutdown.  */

/* Logs a change of readiness; joins the other VMs once this VM is ready.  */
static void
update_readiness (struct gateway *g)
{
  bool ready = is_ready (g);
  if (ready == g->was_ready)
    return;
  g->was_ready = ready;
  if (ready)
    vm_registry_join (g->vm_registry);
  const struct route_table *t = proxy_routes (g->proxy);
  log_event (LOG_INFO, ready ? "ready" : "not_ready", "routes_version",
             log_num (t ? (long long)route_table_version (t) : -1),
             "upstreams", log_num (upstreams_count (g->upstreams)), NULL);
}

/* Stops accepting connections of callers after SHUTDOWN_ACCEPT_FRACTION of the
   shutdown time.  Returns whether the event loop should end.  */
static bool
shutdown_step (const struct gateway *g, int64_t now)
{
  int64_t elapsed_ms = now - g->leaving_ms;
  double total_ms = (double)g->settings->leave_deadline_s * SECOND_MS;
  if ((double)elapsed_ms >= total_ms * SHUTDOWN_END_FRACTION)
    proxy_end_requests (g->proxy);
  if ((double)elapsed_ms >= total_ms * SHUTDOWN_FLUSH_FRACTION)
    return true;
  if ((double)elapsed_ms >= total_ms * SHUTDOWN_ACCEPT_FRACTION)
    http_listener_stop_accepting (g->callers);
  return elapsed_ms >= SHUTDOWN_MIN_MS
         && (double)elapsed_ms >= total_ms * SHUTDOWN_ACCEPT_FRACTION
         && proxy_open_requests (g->proxy) == 0
         && http_listener_connections (g->callers) == 0;
}

static void
apply_settings (struct gateway *g)
{
  const struct settings *s = g->settings;
  struct retry_bounds bounds
      = { .ratio = s->retry_ratio,
          .window_ms = (unsigned)s->retry_window_s * SECOND_MS,
          .slack = (unsigned)s->retry_slack };
  enum log_level level = LOG_INFO;
  (void)log_level_parse (s->log_level, &level);
  log_setup (level, s->vm);
  log_set_rate ((unsigned)s->log_lines_per_s);
  retry_buckets_set_bounds (g->retries, &bounds);
}

static struct discovery_times
discovery_times (const struct settings *s)
{
  return (struct discovery_times){ .leave_ms = (unsigned)s->upstream_leave_ms,
                                   .recovery_ms
                                   = (unsigned)s->kv_recovery_ms };
}

/* Applies the settings that can change at run time; addresses and names need a
   restart.  */
static void
reload_settings (struct gateway *g, const char *why)
{
  g->file = file_stamp (g->settings->settings_file);
  struct settings *s = g->reload (g->reload_arg);
  if (s == NULL)
    {
      log_event (LOG_ERROR, "reload_refused", "why", why, "effect",
                 "invalid settings; previous ones stay in force", NULL);
      return;
    }
  bool fixed_unchanged = settings_update (g->settings, s);
  settings_destroy (s);
  apply_settings (g);
  struct discovery_times times = discovery_times (g->settings);
  discovery_set_times (g->discovery, &times);
  quarantine_link_set_canary_s (vm_registry_quarantine (g->vm_registry),
                                (unsigned)g->settings->quarantine_s);
  prefill_split_link_set_lease (g->prefill_split_link,
                                (int64_t)g->settings->order_lease_ms);
  fleet_duties_set (g->duties, g->settings);
  log_event (LOG_INFO, "reloaded", "why", why, "needs_restart",
             fixed_unchanged ? "false" : "true", NULL);
}

/* VMs that share the retry budgets.  A VM that has just started may be cut off
   from some that are listed.  */
static unsigned
count_budget_vms (struct gateway *g, int64_t now)
{
  if (g->joined_ms == 0)
    g->joined_ms = now;
  unsigned live = count_vms (g);
  if (now - g->joined_ms > JOIN_MS)
    return live;
  return MAX (live, vm_registry_count_listed (g->vm_registry));
}

/* VMS VMs share the retry budgets and the limits of upstreams.  */
static void
set_sharing_vms (struct gateway *g, unsigned vms, int64_t now)
{
  retry_buckets_set_vms (g->retries, vms, now);
  if (retry_buckets_shared_by (g->retries, now) > 0)
    rate_limit_link_set_vms (vm_registry_limits (g->vm_registry), vms);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct gateway *g = arg;
  int64_t now = clock_ms ();
  loop_clock_tick (g->clock);
  upstreams_tick (g->upstreams, now);
  update_readiness (g);
  if (g->leaving_ms != 0 && shutdown_step (g, now))
    event_base_loopbreak (g->base);
  if (now - g->second_ms < SECOND_MS)
    return;
  g->second_ms = now;
  upstreams_set_vm_count (g->upstreams, count_vms (g));
  discovery_set_vm_count (g->discovery, count_vms (g));
  if (vm_registry_has_joined (g->vm_registry))
    set_sharing_vms (g, count_budget_vms (g, now), now);
  metrics_set (METRIC_retry_shared_by,
               retry_buckets_shared_by (g->retries, now));
  struct file_stamp file = file_stamp (g->settings->settings_file);
  if (!file_stamp_equal (&file, &g->file))
    reload_settings (g, "file_changed");
}

static void
on_stop (evutil_socket_t signal, short what, void *arg)
{
  (void)what;
  struct gateway *g = arg;
  if (g->leaving_ms != 0)
    return;
  g->leaving_ms = loop_clock_input_since_ms (g->clock, NULL);
  log_event (LOG_INFO, "stopping", "signal", log_num (signal), "open",
             log_num (proxy_open_requests (g->proxy)), "deadline_s",
             log_num ((long long)g->settings->leave_deadline_s), NULL);
  vm_registry_announce_leaving (g->vm_registry);
  prefill_split_link_leave (g->prefill_split_link);
  fleet_duties_leave (g->duties);
  double total_ms = (double)g->settings->leave_deadline_s * SECOND_MS;
  proxy_set_shutdown (
      g->proxy,
      g->leaving_ms + (int64_t)(total_ms * SHUTDOWN_ACCEPT_LONG_FRACTION),
      g->leaving_ms + (int64_t)(total_ms * SHUTDOWN_END_FRACTION));
  http_listener_drain (g->callers, SHUTDOWN_IDLE_MS);
}

static void
on_reload (evutil_socket_t signal, short what, void *arg)
{
  (void)signal;
  (void)what;
  reload_settings (arg, "signal");
}

/* Creation, event loop and destruction.  */

static bool
open_listeners (struct gateway *g, GError **error)
{
  const struct settings *s = g->settings;
  static const struct caller_limits none;
  struct http_listener_limits callers = listener_limits (g, &none);
  struct http_listener_limits control_limits
      = { .head_bytes = CONTROL_HEAD_BYTES,
          .body_bytes = CONTROL_BODY_BYTES,
          .read_ms = DEFAULT_READ_MS,
          .idle_ms = DEFAULT_IDLE_MS,
          .connections = CONTROL_CONNECTIONS,
          .memory = g->memory };
  g_autofree char *metrics
      = g_strdup_printf ("%s:%u", s->ip, (unsigned)s->metrics_port);
  memory_budget_set_largest (g->memory,
                             http_listener_largest_request (&callers));
  g->callers
      = http_listener_create (g->base, s->front_address, &callers,
                              &proxy_listener_callbacks, g->proxy, error);
  if (g->callers)
    g->ready
        = http_listener_create (g->base, s->ready_address, &control_limits,
                                &ready_callbacks, g, error);
  if (g->ready)
    g->entry
        = http_listener_create (g->base, s->entry_address, &control_limits,
                                &entry_callbacks, g, error);
  if (g->entry && s->metrics_port > 0)
    g->metrics = http_listener_create (g->base, metrics, &control_limits,
                                       &metrics_callbacks, g, error);
  return g->entry && (s->metrics_port == 0 || g->metrics);
}

static uint16_t
address_port (const char *address)
{
  g_autofree char *ip = NULL;
  uint16_t port = 0;
  (void)address_split (address, &ip, &port);
  return port;
}

/* Latest revisions that this VM has seen, for gossip.  */
static struct gossip_revisions
get_revisions (void *arg)
{
  const struct gateway *g = arg;
  struct discovery_revisions known = discovery_revisions (g->discovery);
  return (struct gossip_revisions){ known.routes, known.routes_age_ms,
                                    known.upstreams, known.upstreams_age_ms };
}

/* Another VM has seen the revisions KNOWN.  */
static void
on_peer_revisions (void *arg, const struct gossip_revisions *known)
{
  struct gateway *g = arg;
  struct discovery_revisions theirs
      = { known->revision, known->age_ms, known->upstreams_revision,
          known->upstreams_age_ms };
  discovery_hint_revisions (g->discovery, &theirs);
}

static void
on_tokens (void *arg)
{
  const struct gateway *g = arg;
  proxy_tokens_arrived (g->proxy);
}

static void
create_duties (struct gateway *g)
{
  struct fleet_duties_parts duties = { .base = g->base,
                                       .kv = g->kv,
                                       .pool = g->pool,
                                       .platform = g->platform,
                                       .vm_registry = g->vm_registry,
                                       .upstreams = g->upstreams,
                                       .settings = g->settings };
  g->duties = fleet_duties_create (&duties);
}

static void
create_components (struct gateway *g)
{
  const struct settings *s = g->settings;
  struct upstream_locality place = { .failure_domain = s->failure_domain,
                                     .region = s->region,
                                     .region_of = region_of,
                                     .arg = g };
  struct retry_bounds bounds = { 0 };
  g->regions = domains_parse (s->domains);
  g->http = http_client_create (g->base);
  g->kv = g->platform->open_kv (g->base, g->http, s->kv);
  g->memory = memory_budget_create (memory_budget_total_of (s->memory_mb));
  g->pool = pool_create (
      g->base, MIN ((unsigned)s->max_connections, http_bound_descriptors ()));
  g->upstreams = upstreams_create (&place);
  g->retries = retry_buckets_create (&bounds, clock_ms ());
  apply_settings (g);
  struct vm_registry_parts vm_registry
      = { .base = g->base,
          .kv = g->kv,
          .upstreams = g->upstreams,
          .vm = s->vm,
          .ip = s->ip,
          .peer_port = (uint16_t)s->peer_port,
          .front_port = address_port (s->front_address),
          .failure_domain = s->failure_domain,
          .region_of = region_of,
          .get_revisions = get_revisions,
          .on_peer_revisions = on_peer_revisions,
          .arg = g };
  g->vm_registry = vm_registry_create (&vm_registry);
  quarantine_link_set_canary_s (vm_registry_quarantine (g->vm_registry),
                                (unsigned)s->quarantine_s);
  g->prefill_split = prefill_split_create ();
  create_duties (g);
  struct proxy_parts parts
      = { .base = g->base,
          .requests = g->platform->requests,
          .pool = g->pool,
          .memory = g->memory,
          .upstreams = g->upstreams,
          .statements = vm_registry_statements (g->vm_registry),
          .retries = g->retries,
          .permits = vm_registry_permits (g->vm_registry),
          .quarantine = vm_registry_quarantine (g->vm_registry),
          .prefill_split = g->prefill_split,
          .usage = fleet_duties_usage (g->duties),
          .count_vms = count_vms,
          .arg = g };
  g->proxy = proxy_create (&parts);
  rate_limit_link_on_tokens (vm_registry_limits (g->vm_registry), on_tokens,
                             g);
  struct prefill_split_link_parts orders
      = { .base = g->base,
          .kv = g->kv,
          .platform = g->platform,
          .pool = g->pool,
          .upstreams = g->upstreams,
          .statements = vm_registry_statements (g->vm_registry),
          .prefill_split = g->prefill_split,
          .permits = vm_registry_permits (g->vm_registry),
          .members = vm_registry_members (g->vm_registry),
          .lease_ms = (int64_t)s->order_lease_ms,
          .vm = s->vm };
  g->prefill_split_link = prefill_split_link_create (&orders);
  struct discovery_times times = discovery_times (s);
  g->discovery
      = discovery_create (g->base, g->clock, g->kv, g->platform, g->upstreams,
                          &times, &discovery_callbacks, g);
}

struct gateway *
gateway_create (struct settings *settings, const struct platform_ops *platform,
                gateway_reload *reload, void *arg, GError **error)
{
  static const struct timeval tick = { 0, LOOP_TICK_MS * 1000 };
  struct gateway *g = g_new0 (struct gateway, 1);
  g->base = event_base_new ();
  g->clock = loop_clock_create (g->base);
  input_age_probe (g->base);
  g->settings = settings;
  g->platform = platform;
  g->reload = reload;
  g->reload_arg = arg;
  g->file = file_stamp (g->settings->settings_file);
  create_components (g);
  if (!open_listeners (g, error))
    {
      gateway_destroy (g);
      return NULL;
    }
  g->timer = event_new (g->base, -1, EV_PERSIST, on_tick, g);
  event_add (g->timer, &tick);
  return g;
}

void
gateway_run (struct gateway *g)
{
  struct event *term = evsignal_new (g->base, SIGTERM, on_stop, g);
  struct event *intr = evsignal_new (g->base, SIGINT, on_stop, g);
  struct event *hup = evsignal_new (g->base, SIGHUP, on_reload, g);
  event_add (term, NULL);
  event_add (intr, NULL);
  event_add (hup, NULL);
  log_event (LOG_INFO, "started", "front", g->settings->front_address,
             "region", g->settings->region, "failure_domain",
             g->settings->failure_domain, "kv", g->settings->kv, NULL);
  loop_clock_run (g->clock);
  fleet_duties_stop (g->duties);
  vm_registry_announce_left (g->vm_registry);
  log_event (LOG_INFO, "stopped", "cut",
             log_num (proxy_open_requests (g->proxy)), NULL);
  event_free (term);
  event_free (intr);
  event_free (hup);
}

void
gateway_destroy (struct gateway *g)
{
  if (g == NULL)
    return;
  if (g->timer)
    event_free (g->timer);
  discovery_destroy (g->discovery);
  prefill_split_link_destroy (g->prefill_split_link);
  proxy_destroy (g->proxy);
  fleet_duties_destroy (g->duties);
  prefill_split_destroy (g->prefill_split);
  vm_registry_destroy (g->vm_registry);
  http_listener_destroy (g->callers);
  http_listener_destroy (g->ready);
  http_listener_destroy (g->entry);
  http_listener_destroy (g->metrics);
  memory_budget_destroy (g->memory);
  pool_destroy (g->pool);
  kv_destroy (g->kv);
  http_client_destroy (g->http);
  upstreams_destroy (g->upstreams);
  retry_buckets_destroy (g->retries);
  g_clear_pointer (&g->regions, g_hash_table_destroy);
  settings_destroy (g->settings);
  loop_clock_destroy (g->clock);
  event_base_free (g->base);
  g_free (g);
}
