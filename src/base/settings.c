#include "base/settings.h"

#include "base/address.h"
#include "base/log.h"
#include "generated/settings_table.h"

#include <argp.h>
#include <arpa/inet.h>
#include <string.h>

/* Option keys of argp; above the characters, so that no flag gets a short
   form.  */
#define FIRST_OPTION_KEY 1000

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  const char **values = state->input;
  if (key >= FIRST_OPTION_KEY && key < FIRST_OPTION_KEY + (int)setting_count)
    {
      values[key - FIRST_OPTION_KEY] = arg;
      return 0;
    }
  if (key == ARGP_KEY_ARG)
    argp_error (state, "unexpected argument '%s'", arg);
  return ARGP_ERR_UNKNOWN;
}

static struct argp_option *
create_options (void)
{
  struct argp_option *options = g_new0 (struct argp_option, setting_count + 1);
  for (size_t i = 0; i < setting_count; i++)
    {
      options[i].name = setting_defs[i].name;
      options[i].key = FIRST_OPTION_KEY + (int)i;
      options[i].arg = setting_defs[i].kind != SETTING_STR ? "NUMBER" : "TEXT";
      options[i].doc = setting_defs[i].doc;
    }
  return options;
}

static bool
parse_uint (const struct setting_def *def, const char *text, uint64_t *out)
{
  guint64 value = 0;
  g_autoptr (GError) error = NULL;
  if (g_ascii_string_to_unsigned (text, 10, def->min, def->max, &value,
                                  &error))
    {
      *out = value;
      return true;
    }
  g_printerr (
      "buckthornd: --%s (%s): '%s' is not a number from %" G_GUINT64_FORMAT
      " to %" G_GUINT64_FORMAT "\n",
      def->name, def->env, text, (guint64)def->min, (guint64)def->max);
  return false;
}

static bool
parse_real (const struct setting_def *def, const char *text, double *out)
{
  char *end = NULL;
  *out = g_ascii_strtod (text, &end);
  if (end != text && *end == '\0' && *out >= (double)def->min
      && *out <= (double)def->max)
    return true;
  g_printerr ("buckthornd: --%s (%s): '%s' is not a number from %d to %d\n",
              def->name, def->env, text, (int)def->min, (int)def->max);
  return false;
}

static bool
copy_text (const struct setting_def *def, const char *text, char **out)
{
  size_t n = strlen (text);
  *out = g_strdup (text);
  if (n >= def->min && n <= def->max)
    return true;
  g_printerr ("buckthornd: --%s (%s): length of %zu bytes is not from %d "
              "to %d\n",
              def->name, def->env, n, (int)def->min, (int)def->max);
  return false;
}

/* Reads the NAME=VALUE lines of the settings file; empty lines and lines that
   start with # are skipped.  */
static GHashTable *
read_file (const char *path, bool *ok)
{
  GHashTable *file_values
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  if (path == NULL || path[0] == '\0')
    return file_values;
  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      g_printerr ("buckthornd: --settings-file: %s\n", error->message);
      *ok = false;
      return file_values;
    }
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  for (unsigned i = 0; lines[i]; i++)
    {
      const char *line = g_strstrip (lines[i]);
      const char *eq = strchr (line, '=');
      if (line[0] == '\0' || line[0] == '#')
        continue;
      if (eq == NULL)
        {
          g_printerr ("buckthornd: %s:%u: '%s' is not NAME=VALUE\n", path,
                      i + 1, line);
          *ok = false;
          continue;
        }
      g_hash_table_replace (file_values, g_strndup (line, (gsize)(eq - line)),
                            g_strdup (eq + 1));
    }
  return file_values;
}

static bool
set_setting (const struct setting_def *def, const char *flag,
             GHashTable *file_values, struct settings *s)
{
  const char *text = flag;
  /* An empty number counts as not given: a template for the command line
     leaves it empty where it has no value.  */
  if (text && text[0] == '\0' && def->kind != SETTING_STR)
    text = NULL;
  if (text == NULL)
    text = g_getenv (def->env);
  if (text == NULL)
    text = g_hash_table_lookup (file_values, def->env);
  if (text == NULL)
    text = def->fallback;
  void *p = (char *)s + def->offset;
  if (text == NULL)
    {
      g_printerr ("buckthornd: --%s (%s) is required: %s\n", def->name,
                  def->env, def->doc);
      return false;
    }
  switch (def->kind)
    {
    case SETTING_UINT:
      return parse_uint (def, text, p);
    case SETTING_REAL:
      return parse_real (def, text, p);
    default:
      return copy_text (def, text, p);
    }
}

/* Reports the names in the settings file that are not settings.  */
static bool
check_names (GHashTable *file_values)
{
  GHashTableIter it;
  gpointer name;
  bool ok = true;
  g_hash_table_iter_init (&it, file_values);
  while (g_hash_table_iter_next (&it, &name, NULL))
    {
      bool known = false;
      for (size_t i = 0; i < setting_count && !known; i++)
        known = strcmp (setting_defs[i].env, name) == 0;
      if (!known)
        g_printerr ("buckthornd: settings file: unknown setting '%s'\n",
                    (const char *)name);
      ok &= known;
    }
  return ok;
}

static bool
check_address (const char *flag, const char *text, bool required)
{
  g_autofree char *ip = NULL;
  uint16_t port = 0;
  if (text == NULL || (text[0] == '\0' && !required))
    return true;
  if (address_split (text, &ip, &port))
    return true;
  g_printerr ("buckthornd: --%s: '%s' is not an IPv4 address and port, "
              "IP:PORT\n",
              flag, text);
  return false;
}

/* Checks --routes-from and the settings that the chosen source of routes
   requires.  */
static bool
check_routes_from (const struct settings *s)
{
  bool platform = s->routes_from && strcmp (s->routes_from, "platform") == 0;
  bool ok = true;
  if (s->routes_from && !platform && strcmp (s->routes_from, "file") != 0)
    {
      g_printerr ("buckthornd: --routes-from: '%s' is neither file nor "
                  "platform\n",
                  s->routes_from);
      ok = false;
    }
  if (!platform && s->fleet_key_file && s->fleet_key_file[0] == '\0')
    {
      g_printerr ("buckthornd: --fleet-key-file is required with "
                  "--routes-from=file\n");
      ok = false;
    }
  ok &= check_address ("front-address", s->front_address, platform);
  ok &= check_address ("ready-address", s->ready_address, platform);
  ok &= check_address ("entry-address", s->entry_address, platform);
  return ok;
}

/* Checks formats that the generated table cannot express.  */
static bool
check_formats (const struct settings *s)
{
  bool ok = true;
  unsigned char addr[16];
  enum log_level level;
  if (s->ip && inet_pton (AF_INET, s->ip, addr) != 1)
    {
      g_printerr ("buckthornd: --ip: '%s' is not an IPv4 address\n", s->ip);
      ok = false;
    }
  if (s->log_level && !log_level_parse (s->log_level, &level))
    {
      g_printerr (
          "buckthornd: --log-level: '%s' is none of debug, info, warn, "
          "error\n",
          s->log_level);
      ok = false;
    }
  size_t n = s->operator_key_digest ? strlen (s->operator_key_digest) : 0;
  if (n != 0 && n != 64)
    {
      g_printerr ("buckthornd: --operator-key-digest: expected 64 hexadecimal "
                  "digits\n");
      ok = false;
    }
  return ok;
}

/* Returns the path of the settings file.  It comes from the flag or the
   environment only: the settings file cannot name another one.  */
static const char *
settings_file_path (const char *const *values)
{
  for (size_t i = 0; i < setting_count; i++)
    if (strcmp (setting_defs[i].name, "settings-file") == 0)
      return values[i] ? values[i] : g_getenv (setting_defs[i].env);
  return NULL;
}

static struct settings *
read_settings (const char *const *values)
{
  struct settings *s = g_new0 (struct settings, 1);
  bool ok = true;
  g_autoptr (GHashTable) file_values
      = read_file (settings_file_path (values), &ok);
  ok &= check_names (file_values);
  for (size_t i = 0; i < setting_count; i++)
    ok &= set_setting (&setting_defs[i], values[i], file_values, s);
  ok &= check_formats (s);
  ok &= check_routes_from (s);
  if (ok)
    return s;
  settings_destroy (s);
  return NULL;
}

static struct settings *
parse (int argc, char **argv, unsigned flags)
{
  g_autofree const char **values = g_new0 (const char *, setting_count);
  g_autofree struct argp_option *options = create_options ();
  struct argp argp = { options,
                       parse_option,
                       NULL,
                       "Daemon of one VM: receives requests from callers and "
                       "forwards them to model engines and plain services."
                       "\vEach flag may also be given as an environment "
                       "variable, for example --log-level as "
                       "BUCKTHORN_LOG_LEVEL.",
                       NULL,
                       NULL,
                       NULL };
  argp_err_exit_status = 2;
  argp_parse (&argp, argc, argv, flags, NULL, values);
  return read_settings (values);
}

struct settings *
settings_create (int argc, char **argv)
{
  return parse (argc, argv, 0);
}

struct settings *
settings_reload (int argc, char **argv)
{
  return parse (argc, argv, ARGP_NO_EXIT);
}

void
settings_destroy (struct settings *s)
{
  if (s == NULL)
    return;
  for (size_t i = 0; i < setting_count; i++)
    if (setting_defs[i].kind == SETTING_STR)
      g_free (*(char **)((char *)s + setting_defs[i].offset));
  g_free (s);
}
