#include "ctl/commands.h"

#include "base/error.h"
#include "base/config_file_edit.h"
#include "base/applied_record.h"
#include "ctl/remote.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

struct command
{
  const char *name;
  bool needs_argument;                      /* one argument, else none */
  int (*run) (const struct ctl_options *o); /* returns the exit code */
};

static int
exit_code (enum result result)
{
  return result_info (result)->exit_code;
}

/* Requests and responses.  */

/* The body of R as JSON; NULL if it has none or is not JSON.  */
static json_t *
parse_response (const struct remote_response *r)
{
  return r->body ? json_loadb (r->body, r->size, 0, NULL) : NULL;
}

/* Prints the error in response R, or that there is no response.  Returns the
   exit code that belongs to the error.  */
static int
fail (const struct ctl_options *o, const struct remote_response *r)
{
  json_t *root = parse_response (r);
  json_t *error = json_object_get (root, "error");
  const char *code = json_object_text (error, "code");
  const struct result_info *info = result_by_name (code);
  if (r->status == 0)
    {
      g_printerr (
          "buckthornctl: no complete response from VM %s; name another "
          "VM with --vm\n",
          o->vm);
      info = result_info (RESULT_UNREACHABLE);
    }
  else
    g_printerr ("buckthornctl: %s: %s\n", code[0] ? code : "error",
                json_object_text (error, "message"));
  json_decref (root);
  return info ? info->exit_code : exit_code (RESULT_INTERNAL);
}

/* Gets PATH from the VM and prints the body unchanged with -o json.  SHOW
   prints it as text otherwise, and returns the exit code.  */
static int
get_and_show (const struct ctl_options *o, const char *path,
              int (*show) (const struct ctl_options *o, json_t *root))
{
  struct remote_response r;
  if (!remote_request (o, "GET", path, NULL, 0, &r))
    return exit_code (RESULT_USAGE);
  int code = 0;
  json_t *root = r.status == 200 ? parse_response (&r) : NULL;
  if (root == NULL)
    code = fail (o, &r);
  else
    {
      if (o->json)
        printf ("%.*s\n", (int)r.size, r.body);
      code = show (o, root);
    }
  json_decref (root);
  remote_response_clear (&r);
  return code;
}

/* Reading and checking configuration files.  */

static bool
read_file (const char *name, char **text, size_t *size)
{
  g_autoptr (GError) error = NULL;
  gsize n = 0;
  if (!g_file_get_contents (name, text, &n, &error))
    {
      g_printerr ("buckthornctl: %s\n", error->message);
      return false;
    }
  *size = n;
  return true;
}

/* Prints the errors of the file NAME as lines "NAME:LINE: KEY: REASON".  */
static void
print_problems (const char *name, const GArray *problems)
{
  for (guint i = 0; i < problems->len; i++)
    {
      const struct config_file_problem *p
          = &g_array_index (problems, struct config_file_problem, i);
      g_printerr ("%s:%zu: %s: %s\n", name, p->line, p->key, p->reason);
    }
  g_printerr ("%u problem%s; nothing was applied\n", problems->len,
              problems->len == 1 ? "" : "s");
}

/* Parses TEXT; NULL after printing its errors, with NAME as the file.  */
static struct file *
parse_file (const char *name, const char *text, size_t size)
{
  g_autoptr (GArray) problems = config_file_problems_create ();
  struct file *file = config_file_parse (text, size, problems);
  if (file == NULL)
    print_problems (name, problems);
  return file;
}

/* Reads and parses the file named on the command line and sets TEXT to its
   text, to be freed.  Sets CODE to the exit code; returns NULL after an error
   message.  */
static struct file *
read_file_argument (const struct ctl_options *o, char **text, size_t *size,
                    int *code)
{
  *code = exit_code (RESULT_USAGE);
  if (!read_file (o->argument, text, size))
    return NULL;
  struct file *file = parse_file (o->argument, *text, *size);
  *code = file ? 0 : exit_code (RESULT_FILE_INVALID);
  return file;
}

static int
run_check (const struct ctl_options *o)
{
  g_autofree char *text = NULL;
  size_t size = 0;
  int code = 0;
  struct file *file = read_file_argument (o, &text, &size, &code);
  if (file == NULL)
    return code;
  if (o->json)
    {
      json_t *root = record_to_json (&file_record, file);
      g_autofree char *out = json_dumps (root, JSON_INDENT (2));
      printf ("%s\n", out);
      json_decref (root);
    }
  else
    printf ("%s: valid: %u engines, %u services, %u routes, %u callers\n",
            o->argument, file->engines->len, file->services->len,
            file->routes->len, file->callers->len);
  config_file_destroy (file);
  return 0;
}

/* Gets and parses the file in force; sets TEXT, unless NULL, to its text, to
   be freed.  Sets CODE to the exit code; returns NULL after an error
   message.  */
static struct file *
get_file_in_force (const struct ctl_options *o, char **text, size_t *size,
                   int *code)
{
  struct remote_response r;
  *code = exit_code (RESULT_USAGE);
  if (!remote_request (o, "GET", "/v1/operator/file", NULL, 0, &r))
    return NULL;
  if (r.status != 200)
    {
      *code = fail (o, &r);
      remote_response_clear (&r);
      return NULL;
    }
  struct file *file = parse_file ("(file in force)", r.body, r.size);
  *code = file ? 0 : exit_code (RESULT_INTERNAL);
  if (text)
    {
      *text = g_steal_pointer (&r.body);
      *size = r.size;
    }
  remote_response_clear (&r);
  return file;
}

static int
run_diff (const struct ctl_options *o)
{
  g_autofree char *text = NULL;
  size_t size = 0;
  int code = 0;
  struct file *proposed = read_file_argument (o, &text, &size, &code);
  if (proposed == NULL)
    return code;
  struct file *current = get_file_in_force (o, NULL, NULL, &code);
  if (current)
    {
      g_autofree char *lines = config_file_diff (current, proposed);
      printf ("%s", lines[0] ? lines : "no differences\n");
    }
  config_file_destroy (current);
  config_file_destroy (proposed);
  return code;
}

/* Applying files.  */

/* Path and query of the request that applies the file NAME.  */
static char *
apply_path (const struct ctl_options *o, const char *name)
{
  g_autofree char *base = g_path_get_basename (name);
  g_autofree char *escaped = g_uri_escape_string (base, NULL, FALSE);
  GString *path = g_string_new ("/v1/operator/apply");
  g_string_append_printf (path, "?name=%s", escaped);
  if (o->expect)
    g_string_append_printf (path, "&expect=%s", o->expect);
  for (guint i = 0; i < o->allowed_behind->len; i++)
    g_string_append_printf (
        path, "%s%s", i ? "," : "&behind=",
        (const char *)g_ptr_array_index (o->allowed_behind, i));
  return g_string_free (path, FALSE);
}

/* After a conflict, prints what TEXT, the file that was not applied, would
   change in the file now in force.  */
static void
show_conflict (const struct ctl_options *o, const char *text, size_t size)
{
  int code = 0;
  struct file *proposed = parse_file ("(file to apply)", text, size);
  struct file *current = get_file_in_force (o, NULL, NULL, &code);
  if (proposed && current)
    {
      g_autofree char *lines = config_file_diff (current, proposed);
      g_printerr ("changes from the file in force to yours:\n%s",
                  lines[0] ? lines : "no differences\n");
    }
  config_file_destroy (proposed);
  config_file_destroy (current);
}

/* Prints the errors in the file NAME that the VM found.  */
static void
print_remote_problems (const char *name, const json_t *root)
{
  size_t i;
  json_t *p;
  json_array_foreach (json_object_get (root, "problems"), i, p)
    g_printerr ("%s:%" JSON_INTEGER_FORMAT ": %s: %s\n", name,
                json_integer_value (json_object_get (p, "line")),
                json_object_text (p, "key"), json_object_text (p, "reason"));
}

/* Sends TEXT to be applied, with NAME for the history.  Prints the result and
   returns its exit code.  */
static int
apply_text (const struct ctl_options *o, const char *name, const char *text,
            size_t size)
{
  struct remote_response r;
  g_autofree char *path = apply_path (o, name);
  if (!remote_request (o, "POST", path, text, size, &r))
    return exit_code (RESULT_USAGE);
  json_t *root = parse_response (&r);
  const struct result_info *info
      = result_by_name (json_object_text (root, "result"));
  int code = 0;
  if (info == NULL)
    code = fail (o, &r);
  else
    {
      code = info->exit_code;
      if (o->json)
        printf ("%.*s\n", (int)r.size, r.body);
      else
        (code == 0 ? g_print : g_printerr) (
            "%s: %s\n", info->name, json_object_text (root, "message"));
      print_remote_problems (name, root);
      if (info->code == RESULT_CONFLICT)
        show_conflict (o, text, size);
    }
  json_decref (root);
  remote_response_clear (&r);
  return code;
}

static int
run_apply (const struct ctl_options *o)
{
  g_autofree char *text = NULL;
  size_t size = 0;
  int code = 0;
  struct file *file = read_file_argument (o, &text, &size, &code);
  if (file == NULL)
    return code;
  config_file_destroy (file);
  return apply_text (o, o->argument, text, size);
}

/* Asks the operator on the terminal; true without asking with --yes or if
   standard input is not a terminal.  */
static bool
confirm (const struct ctl_options *o, const char *question)
{
  if (o->yes || !isatty (STDIN_FILENO))
    return true;
  char line[8] = "";
  printf ("%s [y/N] ", question);
  (void)fflush (stdout);
  return fgets (line, sizeof line, stdin)
         && (line[0] == 'y' || line[0] == 'Y');
}

/* Applies the file in force with the state of one engine changed.  */
static int
set_engine_state (const struct ctl_options *o, const char *state)
{
  g_autofree char *text = NULL;
  size_t size = 0;
  int code = 0;
  struct file *file = get_file_in_force (o, &text, &size, &code);
  if (file == NULL)
    return code;
  config_file_destroy (file);
  g_autofree char *edited
      = config_file_set_engine_state (text, size, o->argument, state);
  if (edited == NULL)
    {
      g_printerr ("buckthornctl: the file in force has no engine '%s'\n",
                  o->argument);
      return exit_code (RESULT_NOT_FOUND);
    }
  g_autofree char *name = g_strdup_printf ("%s-%s", state, o->argument);
  return apply_text (o, name, edited, strlen (edited));
}

static int
run_drain (const struct ctl_options *o)
{
  g_autofree char *question = g_strdup_printf (
      "Drain engine %s (it gets no new requests)?", o->argument);
  return confirm (o, question) ? set_engine_state (o, "leaving")
                               : exit_code (RESULT_USAGE);
}

static int
run_undrain (const struct ctl_options *o)
{
  return set_engine_state (o, "serving");
}

/* Commands that show the file in force, the fleet and the history.  */

static int
run_get (const struct ctl_options *o)
{
  g_autofree char *text = NULL;
  size_t size = 0;
  int code = 0;
  struct file *file = get_file_in_force (o, &text, &size, &code);
  if (file == NULL)
    return code;
  if (o->json)
    {
      json_t *root = record_to_json (&file_record, file);
      g_autofree char *out = json_dumps (root, JSON_INDENT (2));
      printf ("%s\n", out);
      json_decref (root);
    }
  else
    printf ("%s", text);
  config_file_destroy (file);
  return 0;
}

/* Prints one line for each object of LIST, with the values of KEYS as columns
   separated by tabs, under a line with the keys.  */
static void
print_table (const json_t *list, const char *const *keys)
{
  for (size_t k = 0; keys[k]; k++)
    printf ("%s%s", k ? "\t" : "", keys[k]);
  printf ("\n");
  size_t i;
  json_t *item;
  json_array_foreach (list, i, item)
    {
      for (size_t k = 0; keys[k]; k++)
        {
          json_t *v = json_object_get (item, keys[k]);
          g_autofree char *text
              = json_is_string (v)
                    ? g_strdup (json_string_value (v))
                    : json_dumps (v ? v : json_null (),
                                  JSON_ENCODE_ANY | JSON_COMPACT);
          printf ("%s%s", k ? "\t" : "", text);
        }
      printf ("\n");
    }
}

/* Prints the status of a VM with --routes-from=platform; the exit code says
   whether it is ready.  */
static int
show_routed_status (const struct ctl_options *o, json_t *root)
{
  static const char *const upstreams[]
      = { "upstream",       "service",     "address",
          "failure_domain", "role",        "leaving",
          "running",        "connections", NULL };
  bool ready = json_is_true (json_object_get (root, "ready"));
  if (!o->json)
    {
      printf ("%s: %s, routes version %" JSON_INTEGER_FORMAT
              ", confirmed %" JSON_INTEGER_FORMAT
              " ms ago, %" JSON_INTEGER_FORMAT " VMs, %" JSON_INTEGER_FORMAT
              " requests open\n",
              json_object_text (root, "vm"), ready ? "ready" : "not ready",
              json_integer_value (json_object_get (root, "routes_version")),
              json_integer_value (json_object_get (root, "routes_age_ms")),
              json_integer_value (json_object_get (root, "vms")),
              json_integer_value (json_object_get (root, "open")));
      print_table (json_object_get (root, "upstreams"), upstreams);
    }
  return ready ? 0 : exit_code (RESULT_NOT_READY);
}

/* Prints the status; the exit code says whether the file is in force in every
   region or, of a VM with --routes-from=platform, whether it is ready.  */
static int
show_status (const struct ctl_options *o, json_t *root)
{
  if (json_object_get (root, "routes_version"))
    return show_routed_status (o, root);
  static const char *const regions[]
      = { "region", "in_force", "live", "behind", NULL };
  static const char *const vms[]
      = { "vm", "region", "failure_domain", "status", "revision", NULL };
  bool all_in_force = true;
  size_t i;
  json_t *region;
  json_array_foreach (json_object_get (root, "regions"), i, region)
    all_in_force
        = all_in_force && json_is_true (json_object_get (region, "in_force"));
  if (!o->json)
    {
      json_t *record = json_object_get (root, "head");
      printf ("revision %" JSON_INTEGER_FORMAT " (%s by %s at %s)%s\n",
              json_integer_value (json_object_get (root, "revision")),
              json_object_text (record, "file"),
              json_object_text (record, "operator"),
              json_object_text (record, "time"),
              json_is_true (json_object_get (root, "may_be_behind"))
                  ? "; a newer revision may be in force on other VMs"
                  : "");
      print_table (json_object_get (root, "regions"), regions);
      printf ("\n");
      print_table (json_object_get (root, "vms"), vms);
    }
  return all_in_force ? 0 : exit_code (RESULT_COMMITTED_BEHIND);
}

static int
run_status (const struct ctl_options *o)
{
  return get_and_show (o, "/v1/operator/status", show_status);
}

/* Prints the applied files; with --verify checks the chain of digests.  */
static int
show_history (const struct ctl_options *o, json_t *root)
{
  static const char *const keys[]
      = { "revision", "time", "operator", "file", "digest", NULL };
  json_t *records = json_object_get (root, "history");
  if (!o->json)
    print_table (records, keys);
  if (!o->verify)
    return 0;
  g_autofree char *chain_error = applied_record_verify_history (records);
  if (chain_error)
    {
      g_printerr (
          "buckthornctl: the chain of digests in the history is broken: "
          "%s\n",
          chain_error);
      return exit_code (RESULT_INTERNAL);
    }
  if (!o->json)
    printf ("the chain of %zu digests holds\n", json_array_size (records));
  return 0;
}

static int
run_history (const struct ctl_options *o)
{
  return get_and_show (o, "/v1/operator/history", show_history);
}

static int
show_members (const struct ctl_options *o, json_t *root)
{
  static const char *const keys[] = { "vm", "region",    "failure_domain",
                                      "ip", "http_port", "status",
                                      NULL };
  if (!o->json)
    print_table (json_object_get (root, "members"), keys);
  return 0;
}

static int
run_members (const struct ctl_options *o)
{
  return get_and_show (o, "/v1/operator/members", show_members);
}

static int
show_engines (const struct ctl_options *o, json_t *root)
{
  static const char *const keys[]
      = { "engine", "model",         "region",  "home",
          "role",   "usable",        "running", "queued_tokens",
          "order",  "report_age_ms", NULL };
  if (!o->json)
    print_table (json_object_get (root, "engines"), keys);
  return 0;
}

static int
run_engines (const struct ctl_options *o)
{
  return get_and_show (o, "/v1/operator/engines", show_engines);
}

static const struct command commands[]
    = { { "check", true, run_check },      { "apply", true, run_apply },
        { "diff", true, run_diff },        { "get", false, run_get },
        { "status", false, run_status },   { "history", false, run_history },
        { "members", false, run_members }, { "engines", false, run_engines },
        { "drain", true, run_drain },      { "undrain", true, run_undrain } };

int
ctl_run (const struct ctl_options *o)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      if (strcmp (commands[i].name, o->command) != 0)
        continue;
      if (commands[i].needs_argument != (o->argument != NULL))
        {
          g_printerr ("buckthornctl: command '%s' takes %s argument\n",
                      o->command, commands[i].needs_argument ? "one" : "no");
          return exit_code (RESULT_USAGE);
        }
      return commands[i].run (o);
    }
  g_printerr ("buckthornctl: unknown command '%s'; see --help\n", o->command);
  return exit_code (RESULT_USAGE);
}
