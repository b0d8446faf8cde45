#include "harness/site.h"

#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>

#define KV_BYTES_PER_TOKEN 100000
#define BITS_PER_BYTE 8
#define BITS_PER_MS_PER_MBIT_PER_S 1000
#define VM_IP "127.0.0.1"
/* Engines accept that much fewer connections than services.  */
#define ENGINE_CONNECTIONS_DIVISOR 10
#define RESPONSE_TIMEOUT_MS 10000
#define READY_TIMEOUT_MS 15000
#define POLL_INTERVAL_US 20000

/* Start of the stand-ins and writes to the store.  */

static struct proc *
start_fake (const struct site *s, const char *program, const char *name,
            char **flags, char **address)
{
  g_autofree char *path = g_build_filename (s->bin, program, NULL);
  g_autofree char *log = g_strdup_printf ("%s/%s.log", s->dir, name);
  g_autofree char *id = g_strdup_printf ("--id=%s", name);
  g_autoptr (GPtrArray) argv = g_ptr_array_new ();
  g_ptr_array_add (argv, path);
  g_ptr_array_add (argv, id);
  for (char **f = flags; f && *f; f++)
    g_ptr_array_add (argv, *f);
  g_ptr_array_add (argv, NULL);
  struct proc *p = proc_start (name, (char **)argv->pdata, log);
  g_free (*address);
  *address = g_strdup_printf (VM_IP ":%u", (unsigned)proc_read_port (p));
  return p;
}

static void
post (const char *address, const char *path, const char *body)
{
  struct web *w = web_send_request (address, "POST", path, NULL, NULL, body);
  web_read_response (w, RESPONSE_TIMEOUT_MS);
  if (w->status != 200)
    g_error ("POST to the stand-in %s%s: expected status 200, got %d", address,
             path, w->status);
  web_close (w);
}

void
site_put (const struct site *s, const char *key, const char *value)
{
  g_autofree char *path = g_strdup_printf ("/op?key=%s", key);
  post (s->store_address, path, value);
}

static void
add_route (const struct site *s, json_t *routes, const char *name,
           const char *kind, bool resumable)
{
  bool model = g_str_has_prefix (name, "model");
  g_autofree char *prefix = g_strdup_printf ("/%s/", name);
  json_t *route = json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:b, s:b}", "name", name,
      "host", SITE_HOST, "pathPrefix", prefix, "kind", kind, "timeoutMs",
      strcmp (kind, "streaming") == 0 && !model ? 60000 : (int)s->timeout_ms,
      "targetLatencyMs", SITE_TARGET_MS, "priority", 0, "service",
      model ? "m" : "s", "maxAttempts", 2, "resumable", resumable, "sticky",
      model);
  if (model && s->event_gap_ms > 0)
    json_object_set_new (route, "gapAimMs",
                         json_integer ((json_int_t)s->event_gap_ms));
  json_array_append_new (routes, route);
}

void
site_write_routes (const struct site *s, unsigned version, const char *extra)
{
  json_t *routes = json_array ();
  add_route (s, routes, "safe", "safe", false);
  add_route (s, routes, "once", "unsafe", false);
  add_route (s, routes, "stream", "streaming", true);
  add_route (s, routes, "live", "streaming", false);
  add_route (s, routes, "model", "streaming", true);
  add_route (s, routes, "model-live", "streaming", false);
  if (extra)
    {
      add_route (s, routes, extra, "safe", false);
      json_object_set_new (
          json_array_get (routes, json_array_size (routes) - 1), "public",
          json_boolean (s->extra_is_public));
    }
  json_t *engine
      = json_pack ("{s:i, s:i}", "slots", 16, "kvCapacity", 1000000);
  if (s->kv_fetch_ms > 0)
    {
      json_int_t bits
          = (json_int_t)KV_FETCH_TOKENS * KV_BYTES_PER_TOKEN * BITS_PER_BYTE;
      json_object_set_new (engine, "tokenKvBytes",
                           json_integer (KV_BYTES_PER_TOKEN));
      json_object_set_new (
          engine, "linkMbps",
          json_integer (bits / BITS_PER_MS_PER_MBIT_PER_S / s->kv_fetch_ms));
    }
  json_t *root = json_pack (
      "{s:i, s:o, s:[{s:s, s:s, s:i}, {s:s, s:s, s:i, s:o}], s:{s:i, "
      "s:i, s:i, s:i}}",
      "version", (int)version, "routes", routes, "services", "name", "s",
      "healthPath", "/health", "maxConns", (int)s->max_connections, "name",
      "m", "healthPath", "/health", "maxConns",
      (int)s->max_connections / ENGINE_CONNECTIONS_DIVISOR, "engine", engine,
      "limits", "maxHeaderBytes", 8192, "maxBodyBytes", (int)s->max_body_bytes,
      "headerTimeoutMs", (int)s->header_timeout_ms, "idleTimeoutMs", 4000);
  if (s->accounts)
    json_object_set_new (root, "tenants", json_loads (s->accounts, 0, NULL));
  char *text = json_dumps (root, 0);
  json_decref (root);
  site_put (s, "op/config", text);
  free (text);
}

void
site_store_remove (const struct site *s, const char *key)
{
  g_autofree char *path = g_strdup_printf ("/op?key=%s&remove=1", key);
  post (s->store_address, path, "");
}

void
site_set_upstream_state (const struct site *s, unsigned i, const char *state)
{
  static int sequence; /* over all instances */
  g_autofree char *key = g_strdup_printf ("servers/u%u", i);
  if (state == NULL)
    {
      site_store_remove (s, key);
      return;
    }
  json_t *root = json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:I}",
                            "service", s->stages[i] ? "m" : "s", "address",
                            s->upstream_configured_address[i], "zone", "d",
                            "version", "v1", "slots", (int)s->slots, "state",
                            state, "coldLeftMs", 0, "seq", ++sequence, "born",
                            (json_int_t)s->upstream_starts[i]);
  if (s->stages[i])
    json_object_set_new (root, "stage", json_string (s->stages[i]));
  char *text = json_dumps (root, 0);
  json_decref (root);
  site_put (s, key, text);
  free (text);
}

void
site_store_faults (const struct site *s, const char *faults)
{
  g_autofree char *path = g_strdup_printf ("/fault?%s", faults);
  post (s->store_address, path, "");
}

void
site_store_restore (const struct site *s, unsigned undone)
{
  g_autofree char *path = g_strdup_printf ("/op?restore=%u", undone);
  post (s->store_address, path, "");
}

void
site_store_drop_history (const struct site *s)
{
  post (s->store_address, "/op?forget=1", "");
}

/* Start and end of the instances, the VMs and the site.  */

/* Starts instance number I, on a new port unless FLAGS contain "--port".  */
static void
start_upstream (struct site *s, unsigned i, char **flags)
{
  g_autofree char *name = g_strdup_printf ("u%u", i);
  s->upstreams[i] = start_fake (s, "fake_upstream", name, flags,
                                &s->upstream_addresses[i]);
  s->upstream_starts[i]++;
}

/* Returns the flags that instance number I keeps over a restart.  */
static GPtrArray *
upstream_flags (const struct site *s, unsigned i)
{
  GPtrArray *flags = g_ptr_array_new_with_free_func (g_free);
  if (s->stages[i])
    {
      g_ptr_array_add (flags, g_strdup_printf ("--stage=%s", s->stages[i]));
      g_ptr_array_add (flags,
                       g_strdup_printf ("--speed=%u", s->prefill_rates[i]));
      if (s->kv_fetch_ms > 0)
        g_ptr_array_add (flags,
                         g_strdup_printf ("--kv-fetch-ms=%u", s->kv_fetch_ms));
    }
  if (s->crash_part)
    g_ptr_array_add (flags,
                     g_strdup_printf ("--crash-part=%s", s->crash_part));
  return flags;
}

/* Starts instance number I with the flags that it keeps, and writes its
   entry.  */
static void
add_upstream (struct site *s, unsigned i)
{
  g_autoptr (GPtrArray) flags = upstream_flags (s, i);
  g_ptr_array_add (flags, NULL);
  start_upstream (s, i, (char **)flags->pdata);
  s->upstream_configured_address[i] = g_strdup (s->upstream_addresses[i]);
  site_set_upstream_state (s, i, "ready");
}

void
site_add_instance (struct site *s)
{
  g_assert_cmpuint (s->n_upstreams, <, SITE_UPSTREAMS_MAX);
  add_upstream (s, s->n_upstreams++);
}

void
site_add_engine (struct site *s, const char *stage, unsigned prefill_rate)
{
  unsigned i = s->n_upstreams++;
  g_assert_cmpuint (i, <, SITE_UPSTREAMS_MAX);
  s->stages[i] = stage;
  s->prefill_rates[i] = prefill_rate;
  add_upstream (s, i);
}

void
site_restart_upstream (struct site *s, unsigned i)
{
  g_autoptr (GPtrArray) flags = upstream_flags (s, i);
  const char *colon = strrchr (s->upstream_addresses[i], ':');
  g_ptr_array_add (flags, g_strdup_printf ("--port=%s", colon + 1));
  g_ptr_array_add (flags, NULL);
  proc_destroy (s->upstreams[i]);
  start_upstream (s, i, (char **)flags->pdata);
}

void
site_set_limit (const struct site *s, unsigned i, const char *text)
{
  g_autofree char *path = g_strdup_printf ("/limit/%s", text ? text : "none");
  struct web *w = web_send_request (s->upstream_addresses[i], "GET", path,
                                    NULL, NULL, NULL);
  web_read_response (w, RESPONSE_TIMEOUT_MS);
  g_assert_cmpint (w->status, ==, 200);
  web_close (w);
}

unsigned
site_reuse_address (struct site *s, unsigned from)
{
  unsigned i = s->n_upstreams++;
  g_assert_cmpuint (i, <, SITE_UPSTREAMS_MAX);
  g_autofree char *address = g_steal_pointer (&s->upstream_addresses[from]);
  g_autofree char *port
      = g_strdup_printf ("--port=%s", strrchr (address, ':') + 1);
  char *flags[] = { port, NULL };
  proc_kill (s->upstreams[from]);
  start_upstream (s, i, flags);
  s->upstream_configured_address[i] = g_strdup (s->upstream_addresses[i]);
  return i;
}

struct site *
site_create (const char *bin, unsigned vms, unsigned upstreams)
{
  struct site *s = g_new0 (struct site, 1);
  s->bin = g_strdup (bin);
  s->dir = g_dir_make_tmp ("buckthorn-site-XXXXXX", NULL);
  s->n_vms = vms;
  s->n_upstreams = upstreams;
  s->leave_s = 5;
  s->upstream_leave_ms = 2500;
  s->slots = 6;
  s->timeout_ms = 2000;
  s->retry_slack = 1000;
  s->max_connections = 8000;
  s->max_body_bytes = 100000;
  s->header_timeout_ms = 1000;
  s->vm_connections = 4000;
  s->store = start_fake (s, "fake_store", "store", NULL, &s->store_address);
  for (unsigned i = 0; i < upstreams; i++)
    add_upstream (s, i);
  site_write_routes (s, 1, NULL);
  return s;
}

static void
remove_dir (const char *dir)
{
  g_autoptr (GDir) d = g_dir_open (dir, 0, NULL);
  const char *name;
  while (d && (name = g_dir_read_name (d)) != NULL)
    {
      g_autofree char *path = g_build_filename (dir, name, NULL);
      g_unlink (path);
    }
  g_rmdir (dir);
}

void
site_destroy (struct site *s)
{
  for (unsigned i = 0; i < s->n_vms; i++)
    {
      proc_destroy (s->vms[i]);
      g_free (s->front_addresses[i]);
      g_free (s->ready_addresses[i]);
      g_free (s->entry_addresses[i]);
    }
  for (unsigned i = 0; i < s->n_upstreams; i++)
    {
      proc_destroy (s->upstreams[i]);
      g_free (s->upstream_addresses[i]);
      g_free (s->upstream_configured_address[i]);
    }
  proc_destroy (s->store);
  remove_dir (s->dir);
  g_free (s->store_address);
  g_free (s->dir);
  g_free (s->bin);
  g_free (s);
}

static char *
unused_address (void)
{
  return g_strdup_printf (VM_IP ":%u", (unsigned)proc_unused_port (VM_IP));
}

static char *
settings_path (const struct site *s, unsigned i)
{
  return g_strdup_printf ("%s/vm%u.conf", s->dir, i);
}

void
site_write_settings (const struct site *s, unsigned i, const char *text)
{
  g_autofree char *path = settings_path (s, i);
  if (!g_file_set_contents (path, text, -1, NULL))
    g_error ("cannot write the settings file %s", path);
}

void
site_start_vm (struct site *s, unsigned i)
{
  g_autofree char *path = g_build_filename (s->bin, "buckthornd", NULL);
  g_autofree char *name = g_strdup_printf ("vm%u", i);
  g_autofree char *log = g_strdup_printf ("%s/%s.log", s->dir, name);
  g_autofree char *leave = g_strdup_printf ("%u", s->leave_s);
  g_autofree char *upstream_leave
      = g_strdup_printf ("%u", s->upstream_leave_ms);
  g_autofree char *settings = settings_path (s, i);
  char *store = s->vm_store_addresses[i]
                    ? (char *)(uintptr_t)s->vm_store_addresses[i]
                    : s->store_address;
  if (s->front_addresses[i] == NULL)
    {
      site_write_settings (s, i, "");
      s->front_addresses[i] = unused_address ();
      s->ready_addresses[i] = unused_address ();
      s->entry_addresses[i] = unused_address ();
      s->peer_ports[i] = proc_unused_port (VM_IP);
      s->metrics_ports[i] = proc_unused_port (VM_IP);
    }
  g_autofree char *peer = g_strdup_printf ("%u", s->peer_ports[i]);
  g_autofree char *metrics = g_strdup_printf ("%u", s->metrics_ports[i]);
  g_autofree char *connections = g_strdup_printf ("%u", s->vm_connections);
  g_autofree char *memory = g_strdup_printf ("%u", s->memory_mb);
  g_autofree char *retry_slack = g_strdup_printf ("%u", s->retry_slack);
  char *argv[] = { path,
                   "--vm",
                   name,
                   "--region",
                   "r",
                   "--failure-domain",
                   "d",
                   "--domains",
                   "d=r",
                   "--ip",
                   VM_IP,
                   "--routes-from",
                   "platform",
                   "--kv",
                   store,
                   "--front-address",
                   s->front_addresses[i],
                   "--ready-address",
                   s->ready_addresses[i],
                   "--entry-address",
                   s->entry_addresses[i],
                   "--peer-port",
                   peer,
                   "--metrics-port",
                   metrics,
                   "--leave-deadline-s",
                   leave,
                   "--settings-file",
                   settings,
                   "--upstream-leave-ms",
                   upstream_leave,
                   "--retry-slack",
                   retry_slack,
                   "--max-connections",
                   connections,
                   "--memory-mb",
                   memory,
                   "--log-level",
                   s->quiet ? (char *)"warn" : (char *)"info",
                   NULL };
  proc_destroy (s->vms[i]);
  s->vms[i] = proc_start_logged (name, argv, log);
}

bool
site_is_ready (const struct site *s, unsigned i)
{
  struct web *w = web_send_request (s->ready_addresses[i], "GET", "/api/ready",
                                    NULL, NULL, NULL);
  web_read_response (w, RESPONSE_TIMEOUT_MS);
  bool ready = w->status == 200;
  web_close (w);
  return ready;
}

static json_t *
query_entries (const struct site *s, unsigned i)
{
  struct web *w = web_send_request (
      s->entry_addresses[i], "GET",
      "/api/resolve?name=" SITE_HOST "&region=r&zone=d", NULL, NULL, NULL);
  web_read_response (w, RESPONSE_TIMEOUT_MS);
  json_t *root = web_json (w);
  web_close (w);
  return root;
}

unsigned
site_listed_vms (const struct site *s, unsigned i)
{
  json_t *root = query_entries (s, i);
  unsigned n = (unsigned)json_array_size (json_object_get (root, "addrs"));
  json_decref (root);
  return n;
}

double
site_listed_vms_ttl_s (const struct site *s, unsigned i)
{
  json_t *root = query_entries (s, i);
  const json_t *ttl = json_object_get (root, "ttlS");
  double seconds = ttl ? json_number_value (ttl) : -1;
  json_decref (root);
  return seconds;
}

static bool
all_vms_ready (void *arg)
{
  const struct site *s = arg;
  for (unsigned i = 0; i < s->n_vms; i++)
    if (!site_is_ready (s, i) || site_listed_vms (s, i) != s->n_vms)
      return false;
  return true;
}

double
site_metric (const struct site *s, unsigned i, const char *name)
{
  g_autofree char *address
      = g_strdup_printf (VM_IP ":%u", s->metrics_ports[i]);
  struct web *w = web_request (address, "GET", "/metrics", NULL, NULL, NULL);
  g_autofree char *start = g_strdup_printf ("\nbuckthorn_%s ", name);
  const char *line = w->body ? strstr (w->body->str, start) : NULL;
  double value = line ? g_ascii_strtod (line + strlen (start), NULL) : -1;
  web_close (w);
  return value;
}

static bool
all_vms_may_retry (void *arg)
{
  const struct site *s = arg;
  for (unsigned i = 0; i < s->n_vms; i++)
    if (site_metric (s, i, "retry_shared_by") <= 0)
      return false;
  return true;
}

void
site_wait (bool (*check) (void *arg), void *arg, unsigned timeout_ms)
{
  gint64 end = g_get_monotonic_time () + (gint64)timeout_ms * 1000;
  while (!check (arg))
    {
      if (g_get_monotonic_time () > end)
        g_error ("the awaited condition was not met within %u ms", timeout_ms);
      g_usleep (POLL_INTERVAL_US);
    }
}

void
site_start (struct site *s)
{
  for (unsigned i = 0; i < s->n_vms; i++)
    site_start_vm (s, i);
  site_wait (all_vms_ready, s, READY_TIMEOUT_MS);
  site_wait (all_vms_may_retry, s, READY_TIMEOUT_MS);
}

/* Requests to the VMs.  */

struct web *
site_send_request (const struct site *s, unsigned i, const char *method,
                   const char *path, const char *id, const char *headers,
                   const char *body)
{
  g_autofree char *lines
      = g_strdup_printf ("Host: " SITE_HOST "\r\nX-Request-Id: %s\r\n%s", id,
                         headers ? headers : "");
  return web_send_request (s->front_addresses[i], method, path, NULL, lines,
                           body);
}

struct web *
site_request (const struct site *s, unsigned i, const char *method,
              const char *path, const char *id)
{
  struct web *w = site_send_request (s, i, method, path, id, NULL, NULL);
  web_read_response (w, RESPONSE_TIMEOUT_MS);
  return w;
}

/* Records and logs of the instances.  */

static json_t *
request_record (const struct site *s, unsigned i)
{
  if (s->upstream_addresses[i] == NULL)
    return NULL;
  struct web *w = web_send_request (s->upstream_addresses[i], "GET", "/seen",
                                    NULL, NULL, NULL);
  web_read_response (w, RESPONSE_TIMEOUT_MS);
  json_t *root = web_json (w);
  web_close (w);
  return root;
}

unsigned
site_runs (const struct site *s, int upstream, const char *id)
{
  unsigned n = 0;
  for (unsigned i = 0; i < s->n_upstreams; i++)
    {
      if (upstream >= 0 && (unsigned)upstream != i)
        continue;
      json_t *root = request_record (s, i);
      n += (unsigned)json_integer_value (
          json_object_get (json_object_get (root, "runs"), id));
      json_decref (root);
    }
  return n;
}

unsigned
site_disconnects (const struct site *s, unsigned i)
{
  json_t *root = request_record (s, i);
  unsigned n = (unsigned)json_integer_value (json_object_get (root, "left"));
  json_decref (root);
  return n;
}

char *
site_request_head (const struct site *s, unsigned i, const char *id)
{
  json_t *root = request_record (s, i);
  char *text = g_strdup (json_string_value (
      json_object_get (json_object_get (root, "heads"), id)));
  json_decref (root);
  return text;
}

static char *
read_log (const struct site *s, const char *kind, unsigned i)
{
  g_autofree char *path = g_strdup_printf ("%s/%s%u.log", s->dir, kind, i);
  char *text = NULL;
  if (!g_file_get_contents (path, &text, NULL, NULL))
    text = g_strdup ("");
  return text;
}

char *
site_log (const struct site *s, unsigned i)
{
  return read_log (s, "vm", i);
}

char *
site_upstream_log (const struct site *s, unsigned i)
{
  return read_log (s, "u", i);
}

unsigned
site_count_upstream_lines (const struct site *s, unsigned first,
                           unsigned count, const char *text)
{
  unsigned n = 0;
  for (unsigned i = first; i < first + count; i++)
    {
      g_autofree char *log = site_upstream_log (s, i);
      g_auto (GStrv) lines = g_strsplit (log, "\n", -1);
      for (char **l = lines; *l; l++)
        n += g_str_has_prefix (*l, text);
    }
  return n;
}
