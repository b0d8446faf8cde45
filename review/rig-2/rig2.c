#include "rig2.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define IP "127.0.0.1"
#define BIN "target"
#define RESPONSE_TIMEOUT_MS 10000
#define READY_TIMEOUT_MS 15000
#define POLL_MS 20

static FILE *record;
static GMutex record_lock;
static gint64 start_us;

void
rig_record (const char *format, ...)
{
  va_list ap;
  va_start (ap, format);
  g_mutex_lock (&record_lock);
  (void)fprintf (record, "%8.3f ",
                 (double)(g_get_monotonic_time () - start_us) / 1e6);
  (void)vfprintf (record, format, ap);
  (void)fputc ('\n', record);
  (void)fflush (record);
  g_mutex_unlock (&record_lock);
  va_end (ap);
}

/* Starts a stand-in of the project, which prints its port first.  */
static struct proc *
start_stand_in (struct rig *r, const char *program, const char *id,
                char **address)
{
  g_autofree char *path = g_build_filename (BIN, program, NULL);
  g_autofree char *log = g_strdup_printf ("%s/%s.log", r->dir, id);
  g_autofree char *flag = g_strdup_printf ("--id=%s", id);
  char *argv[] = { path, flag, NULL };
  struct proc *p = proc_start (id, argv, log);
  *address = g_strdup_printf (IP ":%u", (unsigned)proc_read_port (p));
  return p;
}

struct rig *
rig_create (const char *case_dir)
{
  struct rig *r = g_new0 (struct rig, 1);
  const char *trouble = g_getenv ("TROUBLE");
  g_autofree char *path = g_build_filename (case_dir, "record.txt", NULL);
  record = fopen (path, "w");
  if (record == NULL)
    exit (RIG_NOT_RUN);
  (void)signal (SIGPIPE, SIG_IGN);
  start_us = g_get_monotonic_time ();
  r->trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  r->dir = g_dir_make_tmp ("review-XXXXXX", NULL);
  r->store = start_stand_in (r, "fake_store", "store", &r->store_address);
  rig_record ("start, trouble=%d", r->trouble);
  return r;
}

int
rig_finish (struct rig *r, int status)
{
  static const char *const names[] = { "held", "broken", "not run" };
  for (unsigned i = 0; i < r->n_vms; i++)
    proc_destroy (r->vms[i].proc);
  proc_destroy (r->store);
  rig_record ("end: the rule was %s", names[status]);
  g_autoptr (GDir) dir = g_dir_open (r->dir, 0, NULL);
  const char *name;
  while (dir && (name = g_dir_read_name (dir)) != NULL)
    {
      g_autofree char *path = g_build_filename (r->dir, name, NULL);
      g_unlink (path);
    }
  g_rmdir (r->dir);
  return status;
}

char *
rig_start_runner (struct rig *r, const char *id, struct proc **proc)
{
  char *address = NULL;
  *proc = start_stand_in (r, "fake_upstream", id, &address);
  return address;
}

/* Sends a request of the script to the store.  */
static void
post_to_store (const struct rig *r, const char *path, const char *value)
{
  struct web *w
      = web_send_request (r->store_address, "POST", path, NULL, NULL, value);
  web_read_response (w, RESPONSE_TIMEOUT_MS);
  if (w->status != 200)
    exit (RIG_NOT_RUN);
  web_close (w);
}

void
rig_put (const struct rig *r, const char *key, const char *value)
{
  g_autofree char *path = g_strdup_printf ("/op?key=%s", key);
  post_to_store (r, path, value);
}

void
rig_store_faults (const struct rig *r, const char *faults)
{
  g_autofree char *path = g_strdup_printf ("/fault?%s", faults);
  post_to_store (r, path, "");
}

void
rig_beat (const struct rig *r, const char *id, const char *service,
          const char *address, unsigned slots, const char *state, unsigned seq)
{
  g_autofree char *key = g_strconcat ("servers/", id, NULL);
  json_t *root = json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:i}", "service", service,
      "address", address, "zone", "zone-a", "version", "v1", "slots",
      (int)slots, "state", state, "coldLeftMs", 0, "seq", (int)seq, "born", 1);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  rig_put (r, key, text);
  free (text);
}

json_t *
rig_route (const char *name, const char *service, const char *kind,
           unsigned timeout_ms, unsigned max_attempts)
{
  g_autofree char *prefix = g_strdup_printf ("/%s/", name);
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:b, s:b}", "name", name,
      "host", RIG_HOST, "pathPrefix", prefix, "kind", kind, "timeoutMs",
      (int)timeout_ms, "targetLatencyMs", 300, "priority", 2, "service",
      service, "maxAttempts", (int)max_attempts, "sticky", 0, "resumable", 0);
}

void
rig_write_config (const struct rig *r, unsigned version, json_t *routes,
                  const char *const *services)
{
  json_t *list = json_array ();
  for (; *services; services++)
    json_array_append_new (list, json_pack ("{s:s, s:s, s:i, s:s, s:b}",
                                            "name", *services, "healthPath",
                                            "/health", "maxConns", 110,
                                            "protocol", "h1", "tls", 0));
  json_t *root
      = json_pack ("{s:i, s:o, s:o, s:{s:i, s:i, s:i, s:i}}", "version",
                   (int)version, "routes", routes, "services", list, "limits",
                   "maxHeaderBytes", 16384, "maxBodyBytes", 4194304,
                   "headerTimeoutMs", 3000, "idleTimeoutMs", 15000);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  rig_put (r, "op/config", text);
  free (text);
}

static char *
unused_address (void)
{
  return g_strdup_printf (IP ":%u", (unsigned)proc_unused_port (IP));
}

/* Fills deploy/buckthornd.conf in with the settings of a small deployment.  */
static void
write_settings (const struct rig *r, struct rig_vm *vm)
{
  g_autofree char *entry = unused_address ();
  g_autofree char *peer
      = g_strdup_printf ("%u", (unsigned)proc_unused_port (IP));
  g_autofree char *metrics
      = g_strdup_printf ("=%u", (unsigned)proc_unused_port (IP));
  g_autofree char *template = NULL;
  const char *const values[][2]
      = { { "{{node}}", vm->name },
          { "{{region}}", "region" },
          { "{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", "zone-a=region" },
          { "{{zone}}", "zone-a" },
          { "{{ip}}", IP },
          { "{{portRange.0}}", peer },
          { "{{platform.address}}", r->store_address },
          { "{{listen.front}}", vm->front },
          { "{{listen.ready}}", vm->ready },
          { "{{listen.directory}}", entry },
          /* One port for each VM: all are on one machine here.  */
          { "=9100", metrics },
          { "{{bounds.graceS}}", "8" },
          { "{{bounds.drainMs}}", "2500" },
          { "{{bounds.leaseMs}}", "3000" },
          { "{{bounds.retryBudgetRatio}}", "0.2" },
          { "{{bounds.budgetWindowS}}", "10" },
          { "{{bounds.retrySlack}}", "58" } };
  if (!g_file_get_contents ("deploy/buckthornd.conf", &template, NULL, NULL))
    exit (RIG_NOT_RUN);
  g_autoptr (GString) lines = g_string_new (NULL);
  g_auto (GStrv) split = g_strsplit (template, "\n", -1);
  for (char **l = split; *l; l++)
    if (**l != '#')
      g_string_append_printf (lines, "%s\n", *l);
  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    g_string_replace (lines, values[i][0], values[i][1], 0);
  if (strstr (lines->str, "{{"))
    exit (RIG_NOT_RUN);
  g_file_set_contents (vm->settings_path, lines->str, -1, NULL);
}

void
rig_restart_vm (struct rig *r, unsigned i)
{
  struct rig_vm *vm = &r->vms[i];
  g_autofree char *flag
      = g_strdup_printf ("--settings-file=%s", vm->settings_path);
  g_autofree char *log = g_strdup_printf ("%s/%s.log", r->dir, vm->name);
  /* The words of "run" in deploy/system.toml, filled in.  */
  char *argv[] = { (char *)(uintptr_t)(BIN "/buckthornd"),
                   flag,
                   (char *)(uintptr_t) "--kv-recovery-ms=4000",
                   (char *)(uintptr_t) "--duty-address=",
                   (char *)(uintptr_t) "--duty-calls-per-s=",
                   (char *)(uintptr_t) "--usage-window-s=",
                   (char *)(uintptr_t) "--usage-late-s=",
                   (char *)(uintptr_t) "--memory-mb=260",
                   NULL };
  proc_destroy (vm->proc);
  vm->proc = proc_start_logged (vm->name, argv, log);
}

bool
rig_is_ready (const struct rig *r, unsigned i)
{
  struct web *w = web_send_request (r->vms[i].ready, "GET", "/api/ready", NULL,
                                    NULL, NULL);
  web_read_response (w, 1000);
  bool ready = w->status == 200;
  web_close (w);
  return ready;
}

bool
rig_start_vms (struct rig *r, unsigned count)
{
  for (; r->n_vms < count; r->n_vms++)
    {
      struct rig_vm *vm = &r->vms[r->n_vms];
      g_snprintf (vm->name, sizeof vm->name, "front-%u", r->n_vms + 1);
      vm->front = unused_address ();
      vm->ready = unused_address ();
      vm->settings_path = g_strdup_printf ("%s/%s.conf", r->dir, vm->name);
      write_settings (r, vm);
      rig_restart_vm (r, r->n_vms);
    }
  for (unsigned waited = 0; waited < READY_TIMEOUT_MS; waited += POLL_MS)
    {
      unsigned ready = 0;
      for (unsigned i = 0; i < count; i++)
        ready += rig_is_ready (r, i);
      if (ready == count)
        return true;
      g_usleep (POLL_MS * 1000);
    }
  return false;
}

struct web *
rig_request (const struct rig *r, unsigned i, const char *method,
             const char *path, const char *id, unsigned deadline_ms,
             const char *body)
{
  g_autofree char *headers
      = g_strdup_printf ("Host: " RIG_HOST "\r\nX-Request-Id: %s\r\n"
                         "X-Deadline-Ms: %u\r\n",
                         id, deadline_ms);
  struct web *w
      = web_send_request (r->vms[i].front, method, path, NULL, headers, body);
  web_read_response (w, deadline_ms + 1000);
  return w;
}

json_t *
rig_runs (const char *address)
{
  struct web *w = web_send_request (address, "GET", "/seen", NULL, NULL, NULL);
  web_read_response (w, RESPONSE_TIMEOUT_MS);
  json_t *root = web_json (w);
  json_t *runs = json_incref (json_object_get (root, "runs"));
  json_decref (root);
  web_close (w);
  return runs;
}
