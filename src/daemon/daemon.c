#include "daemon/daemon.h"

#include "base/error.h"
#include "base/log.h"
#include "config.h"
#include "daemon/apply.h"
#include "daemon/caller_api.h"
#include "daemon/calls.h"
#include "daemon/conf.h"
#include "daemon/engines.h"
#include "daemon/entry.h"
#include "daemon/gossip_link.h"
#include "daemon/home.h"
#include "daemon/operator_api.h"
#include "daemon/orders_link.h"
#include "daemon/route_server.h"
#include "daemon/vm_list.h"
#include "links/input_age.h"
#include "links/trace.h"

#include <inttypes.h>
#include <signal.h>
#include <string.h>
#include <sys/random.h>

#define LEAVE_TICK_MS 50
/* Shortest time between the announcements of leaving and of having left.  New
   work is still accepted meanwhile, as callers and home VMs learn of the
   shutdown only gradually.  */
#define LEAVE_MIN_MS 2000
/* How long the event loop still runs after the VM announced that it left.  */
#define LEFT_LINGER_MS 300

struct daemon
{
  struct context ctx;
  struct event *tick; /* of the loop's clock */
  struct http_server *server;
  struct caller_api caller_api;

  struct gossip_link *gossip;
  struct vm_list *vm_list;
  char **join; /* addresses of VMs to join through, NULL-terminated */
  struct conf *conf;
  struct applies *applies;
  struct entry *entry;
  struct engines *engines;
  struct home *home;
  struct calls *calls;
  struct orders_link *orders;
  struct operator_api *operators;
  struct route_server *routes; /* NULL if no front address is set */
};

/* A graceful shutdown.  */
struct shutdown
{
  struct daemon *d;
  struct event *timer;
  int64_t started_ms;
  int64_t left_ms; /* when this VM announced that it left; 0: not yet */
};

/* Callbacks between the components.  */

static void
on_file_changed (void *arg)
{
  struct daemon *d = arg;
  engines_file_changed (d->engines);
  calls_file_changed (d->calls);
  orders_link_file_changed (d->orders);
  route_server_file_changed (d->routes);
}

static int64_t
silence_ms (void *arg)
{
  const struct daemon *d = arg;
  return gossip_link_silence_ms (d->gossip);
}

static const struct conf_callbacks conf_callbacks
    = { on_file_changed, silence_ms };

static GBytes *
get_demand (void *arg)
{
  const struct daemon *d = arg;
  return entry_demand (d->entry);
}

static void
handle_demand (void *arg, const char *vm, GBytes *demand)
{
  struct daemon *d = arg;
  orders_link_handle_demand (d->orders, vm, demand);
}

static void
send_digest (void *arg, const struct member *to,
             const struct load_digest *digest)
{
  struct daemon *d = arg;
  gossip_link_send (d->gossip, to, MESSAGE_LOAD_DIGEST, digest);
}

static const struct engines_callbacks engines_callbacks
    = { get_demand, handle_demand, send_digest };

/* Passes a frame from this VM's entry component to its home component.  */
static void
deliver_to_own_home (void *arg, const struct frame *f)
{
  struct daemon *d = arg;
  home_handle_frame (d->home, 0, f);
}

/* Passes a frame from this VM's home component to its entry component.  */
static void
deliver_to_own_entry (void *arg, const struct frame *f)
{
  struct daemon *d = arg;
  entry_handle_frame (d->entry, 0, f);
}

/* Dispatch of peers' frames to the components.  */

static void
on_frame (void *arg, peer_handle peer, const char *vm, const struct frame *f)
{
  struct daemon *d = arg;
  switch (f->type)
    {
    case MESSAGE_STREAM_OPEN:
    case MESSAGE_STREAM_CANCEL:
      home_handle_frame (d->home, peer, f);
      break;
    case MESSAGE_STREAM_DATA:
    case MESSAGE_STREAM_END:
      entry_handle_frame (d->entry, peer, f);
      break;
    case MESSAGE_CALL_OPEN:
    case MESSAGE_CALL_END:
      calls_handle_frame (d->calls, peer, f);
      break;
    case MESSAGE_ENGINE_DRAIN:
    case MESSAGE_ENGINE_DRAINED:
    case MESSAGE_ORDER_ASK:
    case MESSAGE_ORDER_ANSWER:
      orders_link_handle_frame (d->orders, peer, vm, f);
      break;
    case MESSAGE_CONF_IN_FORCE:
      operator_api_record_revision (
          d->operators, vm,
          ((const struct conf_in_force *)f->message)->revision);
      applies_handle_frame (d->applies, vm, f);
      break;
    case MESSAGE_CONF_STAGED:
      applies_handle_frame (d->applies, vm, f);
      break;
    case MESSAGE_CONF_STAGE:
    case MESSAGE_CONF_COMMIT:
    case MESSAGE_CONF_WANT:
    case MESSAGE_CONF_HAVE:
      conf_handle_frame (d->conf, peer, vm, f);
      break;
    default:
      log_event (LOG_WARN, "frame_unexpected", "peer", vm, "type",
                 log_num (f->type), NULL);
    }
}

static void
on_gone (void *arg, peer_handle peer, const char *vm)
{
  struct daemon *d = arg;
  home_peer_closed (d->home, peer);
  entry_peer_closed (d->entry, peer);
  calls_peer_closed (d->calls, peer);
  applies_peer_closed (d->applies, vm);
}

static const struct peer_callbacks peer_callbacks = { on_frame, on_gone };

/* Callbacks of the gossip component.  */

static const char *
get_join_address (void *arg, unsigned i)
{
  const struct daemon *d = arg;
  return i < g_strv_length (d->join) ? d->join[i] : NULL;
}

static struct gossip_revisions
get_revisions (void *arg)
{
  const struct daemon *d = arg;
  return (struct gossip_revisions){ .revision = conf_revision (d->conf) };
}

static void
on_peer_revisions (void *arg, const char *from,
                   const struct gossip_revisions *known)
{
  struct daemon *d = arg;
  if (known->revision > conf_revision (d->conf))
    conf_hint_revision (d->conf, from, known->revision);
}

static void
on_datagram (void *arg, const struct frame *f)
{
  struct daemon *d = arg;
  if (f->type == MESSAGE_LOAD_DIGEST)
    engines_handle_digest (d->engines, f->message);
}

static bool
create_gossip (struct daemon *d, GError **error)
{
  const struct settings *s = d->ctx.settings;
  struct gossip_parts parts = { .base = d->ctx.base,
                                .members = d->ctx.members,
                                .ip = s->ip,
                                .port = (uint16_t)s->peer_port,
                                .region = s->region,
                                .fleet_key = d->ctx.fleet_key,
                                .get_join_address = get_join_address,
                                .get_revisions = get_revisions,
                                .on_peer_revisions = on_peer_revisions,
                                .on_frame = on_datagram,
                                .arg = d };
  d->join = g_strsplit (s->join, ",", -1);
  d->gossip = gossip_link_create (&parts, error);
  return d->gossip != NULL;
}

/* Graceful shutdown: the VM announces that it is leaving, waits until running
   requests have ended or the deadline leave-deadline-s has passed, and
   announces that it has left.  */

static bool
has_open_work (const struct daemon *d)
{
  return entry_open_requests (d->entry) > 0 || home_open_requests (d->home) > 0
         || calls_open_count (d->calls) > 0
         || route_server_open_requests (d->routes) > 0
         || http_server_open_requests (d->server) > 0;
}

static void
on_shutdown_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct shutdown *s = arg;
  struct daemon *d = s->d;
  int64_t now = clock_ms ();
  int64_t age = now - s->started_ms;
  bool deadline_passed
      = age > (int64_t)d->ctx.settings->leave_deadline_s * 1000;
  if (s->left_ms == 0 && age >= LEAVE_MIN_MS
      && (deadline_passed || !has_open_work (d)))
    {
      log_event (deadline_passed ? LOG_WARN : LOG_INFO, "left",
                 "deadline_passed", deadline_passed ? "true" : "false", NULL);
      http_server_close_listener (d->server);
      route_server_close_listener (d->routes);
      gossip_link_announce_left (d->gossip);
      s->left_ms = now;
    }
  if (s->left_ms != 0 && now - s->left_ms >= LEFT_LINGER_MS)
    {
      event_free (s->timer);
      event_base_loopbreak (d->ctx.base);
      g_free (s);
    }
}

static void
start_shutdown (struct daemon *d)
{
  if (d->ctx.leaving)
    return;
  d->ctx.leaving = true;
  log_event (LOG_INFO, "leaving", NULL);
  gossip_link_announce_leaving (d->gossip);
  route_server_leave (d->routes);
  struct shutdown *s = g_new0 (struct shutdown, 1);
  s->d = d;
  s->started_ms = loop_clock_input_since_ms (d->ctx.clock, NULL);
  s->timer = context_add_timer (&d->ctx, LEAVE_TICK_MS, on_shutdown_timer, s);
}

static void
on_signal (evutil_socket_t signal, short what, void *arg)
{
  (void)signal;
  (void)what;
  start_shutdown (arg);
}

/* Creation and destruction of the daemon.  */

static char *
read_fleet_key (const char *path, GError **error)
{
  char *text = NULL;
  if (!g_file_get_contents (path, &text, NULL, error))
    return NULL;
  g_strstrip (text);
  if (strlen (text) >= FLEET_KEY_MIN_BYTES)
    return text;
  g_set_error (error, BUCKTHORN_ERROR, RESULT_USAGE,
               "%s: the fleet key must have at least %d characters", path,
               FLEET_KEY_MIN_BYTES);
  g_free (text);
  return NULL;
}

static struct members *
create_members (const struct daemon *d)
{
  struct settings *s = d->ctx.settings;
  struct member_update self = { .id = s->vm,
                                .ip = s->ip,
                                .http_port = s->http_port,
                                .peer_port = s->peer_port,
                                .region = s->region,
                                .failure_domain = s->failure_domain,
                                .incarnation = d->ctx.incarnation };
  guint32 seed = 0;
  if (getrandom (&seed, sizeof seed, 0) != (ssize_t)sizeof seed)
    g_error ("getrandom failed: no random seed for the members");
  return members_create (&self, seed, clock_ms ());
}

static bool
create_links (struct daemon *d, GError **error)
{
  struct settings *s = d->ctx.settings;
  struct http_limits limits = { .body_bytes = s->max_body_bytes,
                                .header_bytes = s->max_header_bytes,
                                .connections = (unsigned)s->max_connections,
                                .clock = d->ctx.clock };
  d->ctx.fleet_key = read_fleet_key (s->fleet_key_file, error);
  if (d->ctx.fleet_key == NULL)
    return false;
  if (!trace_open (s->trace_file, s->vm))
    {
      g_set_error (error, BUCKTHORN_ERROR, RESULT_USAGE,
                   "cannot open the trace file %s for writing", s->trace_file);
      return false;
    }
  d->ctx.peers
      = peers_create (d->ctx.base, s->vm, s->ip, (uint16_t)s->peer_port,
                      d->ctx.fleet_key, &peer_callbacks, d, error);
  if (d->ctx.peers == NULL)
    return false;
  d->server
      = http_server_create (d->ctx.base, s->ip, (uint16_t)s->http_port,
                            &limits, caller_api_handle, &d->caller_api, error);
  d->ctx.http = http_client_create (d->ctx.base);
  d->ctx.kv = kv_etcd_create (d->ctx.base, d->ctx.http, s->kv);
  return d->server != NULL;
}

/* With EPOLL_USE_CHANGELIST, libevent collects changes of event registrations
   until the loop waits.  A write that completes at once adds and removes its
   event in between and so costs no epoll_ctl call.  */
static struct event_base *
create_event_base (void)
{
  struct event_config *config = event_config_new ();
  event_config_set_flag (config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  struct event_base *base = event_base_new_with_config (config);
  event_config_free (config);
  return base;
}

/* Each component gets the components that it depends on as arguments; it
   reaches the others through the callbacks above.  */
static void
create_components (struct daemon *d)
{
  const struct context *ctx = &d->ctx;
  struct vm_list_parts list = { .base = ctx->base,
                                .http = ctx->http,
                                .members = ctx->members,
                                .address = ctx->settings->vm_list };
  d->vm_list = vm_list_create (&list);
  d->conf = conf_create (ctx, &conf_callbacks, d);
  d->applies = applies_create (ctx, d->conf);
  d->entry = entry_create (ctx, d->conf, deliver_to_own_home, d);
  d->engines = engines_create (ctx, d->conf, &engines_callbacks, d);
  d->home = home_create (ctx, d->conf, d->engines, deliver_to_own_entry, d);
  d->calls = calls_create (ctx, d->conf);
  d->orders = orders_link_create (ctx, d->conf, d->engines, d->vm_list);
  d->operators
      = operator_api_create (ctx, d->conf, d->applies, d->engines, d->orders);
  d->caller_api
      = (struct caller_api){ ctx, d->conf, d->entry, d->calls, d->operators };
}

/* Listens at the front address, if there is one.  Returns false and sets ERROR
   if that fails.  */
static bool
create_route_server (struct daemon *d, GError **error)
{
  g_autoptr (GError) listen_error = NULL;
  d->routes = route_server_create (&d->ctx, d->conf, &listen_error);
  if (listen_error == NULL)
    return true;
  g_propagate_error (error, g_steal_pointer (&listen_error));
  return false;
}

static void
on_loop_tick (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  const struct daemon *d = arg;
  loop_clock_tick (d->ctx.clock);
}

struct daemon *
daemon_create (struct settings *settings, GError **error)
{
  struct daemon *d = g_new0 (struct daemon, 1);
  d->ctx.base = create_event_base ();
  d->ctx.clock = loop_clock_create (d->ctx.base);
  input_age_probe (d->ctx.base);
  d->tick = context_add_timer (&d->ctx, LOOP_TICK_MS, on_loop_tick, d);
  d->ctx.settings = settings;
  d->ctx.incarnation = member_first_incarnation (wall_ms ());
  d->ctx.members = create_members (d);
  if (!create_links (d, error))
    {
      daemon_destroy (d);
      return NULL;
    }
  create_components (d);
  if (!create_route_server (d, error) || !create_gossip (d, error))
    {
      daemon_destroy (d);
      return NULL;
    }
  return d;
}

void
daemon_run (struct daemon *d)
{
  struct event *term = evsignal_new (d->ctx.base, SIGTERM, on_signal, d);
  struct event *intr = evsignal_new (d->ctx.base, SIGINT, on_signal, d);
  event_add (term, NULL);
  event_add (intr, NULL);
  log_event (LOG_INFO, "started", "ip", d->ctx.settings->ip, "http_port",
             log_num ((long long)d->ctx.settings->http_port), "peer_port",
             log_num ((long long)d->ctx.settings->peer_port), "region",
             d->ctx.settings->region, "failure_domain",
             d->ctx.settings->failure_domain, NULL);
  loop_clock_run (d->ctx.clock);
  event_free (term);
  event_free (intr);
}

void
daemon_destroy (struct daemon *d)
{
  if (d == NULL)
    return;
  http_server_destroy (d->server);
  route_server_destroy (d->routes);
  gossip_link_destroy (d->gossip);
  vm_list_destroy (d->vm_list);
  g_strfreev (d->join);
  operator_api_destroy (d->operators);
  orders_link_destroy (d->orders);
  entry_destroy (d->entry);
  calls_destroy (d->calls);
  home_destroy (d->home);
  engines_destroy (d->engines);
  applies_destroy (d->applies);
  conf_destroy (d->conf);
  kv_destroy (d->ctx.kv);
  peers_destroy (d->ctx.peers);
  http_client_destroy (d->ctx.http);
  members_destroy (d->ctx.members);
  trace_close ();
  settings_destroy (d->ctx.settings);
  g_free (d->ctx.fleet_key);
  event_free (d->tick);
  loop_clock_destroy (d->ctx.clock);
  event_base_free (d->ctx.base);
  g_free (d);
}
