#include "daemon/gateway.h"

#include "base/clock.h"
#include "base/address.h"
#include "base/log.h"
#include "base/metrics.h"
#include "daemon/discovery.h"
#include "daemon/roster.h"
#include "daemon/inspect.h"
#include "daemon/proxy.h"

#include <event2/event.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>

#define TICK_MS 50
#define SECOND_MS 1000
/* Limits of callers before the first routes are known.  */
#define FIRST_HEAD_BYTES (16U * 1024)
#define FIRST_READ_MS 3000
#define FIRST_IDLE_MS 15000
/* Questions of the platform are small.  */
#define QUESTION_HEAD_BYTES 8192
#define QUESTION_BODY_BYTES 4096
#define QUESTION_CONNECTIONS 400
/* Parts of the time that a stop may take: until then new requests are taken,
   and at the end of it what is still open is cut.  */
#define STOP_TAKE_PART 0.45
#define STOP_END_PART 0.92
#define STOP_IDLE_MS 1500
#define STOP_QUIET_MS 1200

struct gateway
{
  struct event_base *base;
  struct settings *settings;
  const struct platform_ops *platform;
  gateway_reload *reload;
  void *reload_arg;

  struct http_client *http;
  struct kv *kv;
  struct pool *pool;
  struct upstreams *upstreams;
  struct retry_windows *retries;
  struct proxy *proxy;
  struct discovery *discovery;
  struct roster *roster;
  struct front *callers;
  struct front *ready;
  struct front *entry;
  struct front *metrics;
  GHashTable *regions; /* failure domain -> region */

  struct event *timer;
  int64_t second_ms;
  int64_t file_changed_ns;
  int64_t leaving_ms; /* since when; 0 while it is not */
  bool was_ready;
};

/* What other parts ask.  */

static const char *
region_of (void *arg, const char *failure_domain)
{
  struct gateway *r = arg;
  return g_hash_table_lookup (r->regions, failure_domain);
}

static unsigned
count_vms (void *arg)
{
  const struct gateway *r = arg;
  return roster_size (r->roster);
}

static bool
is_ready (const struct gateway *r)
{
  return r->leaving_ms == 0 && discovery_is_complete (r->discovery);
}

/* Routes.  */

static void
set_caller_limits (struct gateway *r, const struct caller_limits *l)
{
  struct front_limits limits
      = { .head_bytes = l->head_bytes ? l->head_bytes : FIRST_HEAD_BYTES,
          .body_bytes
          = l->body_bytes ? l->body_bytes : r->settings->max_body_bytes,
          .read_ms = l->read_ms ? l->read_ms : FIRST_READ_MS,
          .idle_ms = l->idle_ms ? l->idle_ms : FIRST_IDLE_MS,
          .connections = (unsigned)r->settings->max_connections };
  front_set_limits (r->callers, &limits);
}

static void
on_routes (void *arg, struct route_table *table)
{
  struct gateway *r = arg;
  set_caller_limits (r, route_table_limits (table));
  proxy_set_routes (r->proxy, table);
}

static void
on_upstream_gone (void *arg, const char *id)
{
  struct gateway *r = arg;
  pool_forget (r->pool, id);
}

static const struct discovery_events discovery_events
    = { on_routes, on_upstream_gone };

/* Callers and questions.  */

static void
on_caller (void *arg, struct front_request *request)
{
  struct gateway *r = arg;
  proxy_take (r->proxy, request);
}

static char *
on_refused (void *arg, unsigned status, const char *reason)
{
  (void)arg;
  metrics_add (METRIC_bad_requests_total, 1);
  log_event (LOG_WARN, "request_refused", "status", log_num (status), "reason",
             reason, NULL);
  return NULL;
}

static void
on_ready_question (void *arg, struct front_request *request)
{
  struct gateway *r = arg;
  bool asked = r->platform->is_ready_question (front_request_head (request));
  inspect_reply (request, !asked ? 404 : (is_ready (r) ? 200 : 503), NULL,
                 NULL);
}

static void
on_entry_question (void *arg, struct front_request *request)
{
  struct gateway *r = arg;
  struct entry_question q;
  if (!r->platform->read_entry_question (front_request_head (request), &q))
    {
      inspect_reply (request, 404, NULL, NULL);
      return;
    }
  g_autoptr (GPtrArray) addresses
      = roster_entry_addresses (r->roster, q.failure_domain, q.region);
  if (addresses->len > 0 && (is_ready (r) || r->leaving_ms != 0))
    {
      g_autofree char *body = r->platform->write_entry_answer (
          addresses, (double)r->settings->entry_ttl_s);
      inspect_reply (request, 200, "application/json", body);
    }
  else
    inspect_reply (request, 503, NULL, NULL);
  g_free (q.host);
  g_free (q.region);
  g_free (q.failure_domain);
}

static void
on_inspection (void *arg, struct front_request *request)
{
  const struct gateway *r = arg;
  struct inspect_parts parts = { .vm = r->settings->vm,
                                 .ready = is_ready (r),
                                 .proxy = r->proxy,
                                 .discovery = r->discovery,
                                 .roster = r->roster,
                                 .upstreams = r->upstreams,
                                 .pool = r->pool,
                                 .kv = r->kv };
  inspect_answer (&parts, request);
}

static const struct front_events caller_events = { on_caller, on_refused };
static const struct front_events ready_events = { on_ready_question, NULL };
static const struct front_events entry_events = { on_entry_question, NULL };
static const struct front_events metrics_events = { on_inspection, NULL };

/* Time: readiness, reload, the end of a stop.  */

static void
log_readiness (struct gateway *r)
{
  bool ready = is_ready (r);
  if (ready == r->was_ready)
    return;
  r->was_ready = ready;
  if (ready)
    roster_join (r->roster);
  const struct route_table *t = proxy_routes (r->proxy);
  log_event (LOG_INFO, ready ? "ready" : "not_ready", "routes_version",
             log_num (t ? (long long)route_table_version (t) : -1),
             "upstreams", log_num (upstreams_count (r->upstreams)), NULL);
}

static bool
stop_is_over (const struct gateway *r, int64_t now)
{
  int64_t age = now - r->leaving_ms;
  double all = (double)r->settings->leave_deadline_s * SECOND_MS;
  if ((double)age >= all * STOP_END_PART)
    return true;
  if ((double)age >= all * STOP_TAKE_PART)
    front_close_listener (r->callers);
  return age >= STOP_QUIET_MS && (double)age >= all * STOP_TAKE_PART
         && proxy_open (r->proxy) == 0 && front_connections (r->callers) == 0;
}

static int64_t
file_time (const struct gateway *r)
{
  struct stat st;
  const char *path = r->settings->settings_file;
  if (path[0] == '\0' || stat (path, &st) != 0)
    return 0;
  return (int64_t)st.st_mtim.tv_sec * 1000000000 + st.st_mtim.tv_nsec;
}

static void
apply_settings (struct gateway *r)
{
  const struct settings *s = r->settings;
  struct retry_bounds bounds
      = { .ratio = s->retry_ratio,
          .window_ms = (unsigned)s->retry_window_s * SECOND_MS,
          .slack = (unsigned)s->retry_slack };
  enum log_level level = LOG_INFO;
  (void)log_level_parse (s->log_level, &level);
  log_setup (level, s->vm);
  log_set_rate ((unsigned)s->log_lines_per_s);
  retry_windows_set_bounds (r->retries, &bounds);
}

/* Takes over what may change while it runs; addresses and names may not.  */
static void
reload_settings (struct gateway *r, const char *why)
{
  struct settings *s = r->reload (r->reload_arg);
  r->file_changed_ns = file_time (r);
  if (s == NULL)
    {
      log_event (LOG_ERROR, "reload_refused", "why", why, "kept",
                 "the settings in force", NULL);
      return;
    }
  bool same_place = strcmp (s->front_address, r->settings->front_address) == 0
                    && strcmp (s->kv, r->settings->kv) == 0
                    && strcmp (s->vm, r->settings->vm) == 0;
  r->settings->retry_ratio = s->retry_ratio;
  r->settings->retry_window_s = s->retry_window_s;
  r->settings->retry_slack = s->retry_slack;
  r->settings->entry_ttl_s = s->entry_ttl_s;
  r->settings->leave_deadline_s = s->leave_deadline_s;
  g_free (r->settings->log_level);
  r->settings->log_level = g_strdup (s->log_level);
  settings_destroy (s);
  apply_settings (r);
  log_event (LOG_INFO, "reloaded", "why", why, "needs_restart",
             same_place ? "false" : "true", NULL);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct gateway *r = arg;
  int64_t now = clock_ms ();
  log_readiness (r);
  if (r->leaving_ms != 0 && stop_is_over (r, now))
    event_base_loopbreak (r->base);
  if (now - r->second_ms < SECOND_MS)
    return;
  r->second_ms = now;
  if (file_time (r) != r->file_changed_ns)
    reload_settings (r, "file_changed");
}

static void
on_stop (evutil_socket_t signal, short what, void *arg)
{
  (void)what;
  struct gateway *r = arg;
  if (r->leaving_ms != 0)
    return;
  r->leaving_ms = clock_ms ();
  log_event (LOG_INFO, "stopping", "signal", log_num (signal), "open",
             log_num (proxy_open (r->proxy)), "deadline_s",
             log_num ((long long)r->settings->leave_deadline_s), NULL);
  roster_leave (r->roster);
  front_drain (r->callers, STOP_IDLE_MS);
}

static void
on_reload (evutil_socket_t signal, short what, void *arg)
{
  (void)signal;
  (void)what;
  reload_settings (arg, "signal");
}

/* Making and releasing.  */

/* DOMAIN=REGION,...  */
static GHashTable *
read_domains (const char *text)
{
  GHashTable *regions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_auto (GStrv) parts = g_strsplit (text, ",", -1);
  for (char **p = parts; *p; p++)
    {
      char *eq = strchr (*p, '=');
      if (eq)
        g_hash_table_replace (regions, g_strndup (*p, (gsize)(eq - *p)),
                              g_strdup (eq + 1));
    }
  return regions;
}

static bool
listen_for_all (struct gateway *r, GError **error)
{
  const struct settings *s = r->settings;
  struct front_limits callers
      = { .head_bytes = FIRST_HEAD_BYTES,
          .body_bytes = s->max_body_bytes,
          .read_ms = FIRST_READ_MS,
          .idle_ms = FIRST_IDLE_MS,
          .connections = (unsigned)s->max_connections };
  struct front_limits questions = { .head_bytes = QUESTION_HEAD_BYTES,
                                    .body_bytes = QUESTION_BODY_BYTES,
                                    .read_ms = FIRST_READ_MS,
                                    .idle_ms = FIRST_IDLE_MS,
                                    .connections = QUESTION_CONNECTIONS };
  g_autofree char *metrics
      = g_strdup_printf ("%s:%u", s->ip, (unsigned)s->metrics_port);
  r->callers = front_create (r->base, s->front_address, &callers,
                             &caller_events, r, error);
  if (r->callers)
    r->ready = front_create (r->base, s->ready_address, &questions,
                             &ready_events, r, error);
  if (r->ready)
    r->entry = front_create (r->base, s->entry_address, &questions,
                             &entry_events, r, error);
  if (r->entry && s->metrics_port > 0)
    r->metrics = front_create (r->base, metrics, &questions, &metrics_events,
                               r, error);
  return r->entry && (s->metrics_port == 0 || r->metrics);
}

static uint16_t
port_of (const char *address)
{
  g_autofree char *ip = NULL;
  uint16_t port = 0;
  (void)address_split (address, &ip, &port);
  return port;
}

static void
make_parts (struct gateway *r)
{
  const struct settings *s = r->settings;
  struct upstream_place place = { .failure_domain = s->failure_domain,
                                  .region = s->region,
                                  .region_of = region_of,
                                  .arg = r };
  struct retry_bounds bounds = { 0 };
  r->regions = read_domains (s->domains);
  r->http = http_client_create (r->base);
  r->kv = r->platform->open_kv (r->base, r->http, s->kv);
  r->pool = pool_create (r->base);
  r->upstreams = upstreams_create (&place);
  r->retries = retry_windows_create (&bounds);
  apply_settings (r);
  struct roster_parts roster = { .base = r->base,
                                 .kv = r->kv,
                                 .upstreams = r->upstreams,
                                 .vm = s->vm,
                                 .ip = s->ip,
                                 .peer_port = (uint16_t)s->peer_port,
                                 .front_port = port_of (s->front_address),
                                 .failure_domain = s->failure_domain,
                                 .region_of = region_of,
                                 .arg = r };
  r->roster = roster_create (&roster);
  struct proxy_parts parts = { .base = r->base,
                               .platform = r->platform,
                               .pool = r->pool,
                               .upstreams = r->upstreams,
                               .retries = r->retries,
                               .count_vms = count_vms,
                               .arg = r };
  r->proxy = proxy_create (&parts);
  r->discovery = discovery_create (r->base, r->kv, r->platform, r->upstreams,
                                   &discovery_events, r);
}

struct gateway *
gateway_create (struct settings *settings, const struct platform_ops *platform,
                gateway_reload *reload, void *arg, GError **error)
{
  static const struct timeval tick = { 0, TICK_MS * 1000 };
  struct gateway *r = g_new0 (struct gateway, 1);
  r->base = event_base_new ();
  r->settings = settings;
  r->platform = platform;
  r->reload = reload;
  r->reload_arg = arg;
  r->file_changed_ns = file_time (r);
  if (!listen_for_all (r, error))
    {
      gateway_destroy (r);
      return NULL;
    }
  make_parts (r);
  r->timer = event_new (r->base, -1, EV_PERSIST, on_tick, r);
  event_add (r->timer, &tick);
  return r;
}

void
gateway_run (struct gateway *r)
{
  struct event *term = evsignal_new (r->base, SIGTERM, on_stop, r);
  struct event *intr = evsignal_new (r->base, SIGINT, on_stop, r);
  struct event *hup = evsignal_new (r->base, SIGHUP, on_reload, r);
  event_add (term, NULL);
  event_add (intr, NULL);
  event_add (hup, NULL);
  log_event (LOG_INFO, "started", "front", r->settings->front_address,
             "region", r->settings->region, "failure_domain",
             r->settings->failure_domain, "kv", r->settings->kv, NULL);
  event_base_dispatch (r->base);
  roster_left (r->roster);
  log_event (LOG_INFO, "stopped", "cut", log_num (proxy_open (r->proxy)),
             NULL);
  event_free (term);
  event_free (intr);
  event_free (hup);
}

void
gateway_destroy (struct gateway *r)
{
  if (r == NULL)
    return;
  if (r->timer)
    event_free (r->timer);
  discovery_destroy (r->discovery);
  roster_destroy (r->roster);
  proxy_destroy (r->proxy);
  front_destroy (r->callers);
  front_destroy (r->ready);
  front_destroy (r->entry);
  front_destroy (r->metrics);
  pool_destroy (r->pool);
  kv_destroy (r->kv);
  http_client_destroy (r->http);
  upstreams_destroy (r->upstreams);
  retry_windows_destroy (r->retries);
  g_clear_pointer (&r->regions, g_hash_table_destroy);
  settings_destroy (r->settings);
  event_base_free (r->base);
  g_free (r);
}
