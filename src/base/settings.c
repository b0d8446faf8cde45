#include "base/settings.h"

#include "base/address.h"
#include "base/log.h"
#include "generated/settings_table.h"

#include <argp.h>
#include <arpa/inet.h>
#include <string.h>

#define FIRST_KEY 1000

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  const char **values = state->input;
  if (key >= FIRST_KEY && key < FIRST_KEY + (int)setting_count)
    {
      values[key - FIRST_KEY] = arg;
      return 0;
    }
  if (key == ARGP_KEY_ARG)
    argp_error (state, "unexpected argument '%s'", arg);
  return ARGP_ERR_UNKNOWN;
}

static struct argp_option *
make_options (void)
{
  struct argp_option *options = g_new0 (struct argp_option, setting_count + 1);
  for (size_t i = 0; i < setting_count; i++)
    {
      options[i].name = setting_defs[i].name;
      options[i].key = FIRST_KEY + (int)i;
      options[i].arg = setting_defs[i].kind != SETTING_STR ? "NUMBER" : "TEXT";
      options[i].doc = setting_defs[i].doc;
    }
  return options;
}

static bool
store_number (const struct setting_def *def, const char *text, uint64_t *out)
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
store_real (const struct setting_def *def, const char *text, double *out)
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
store_text (const struct setting_def *def, const char *text, char **out)
{
  size_t n = strlen (text);
  *out = g_strdup (text);
  if (n >= def->min && n <= def->max)
    return true;
  g_printerr ("buckthornd: --%s (%s): length %zu is not from %d to %d\n",
              def->name, def->env, n, (int)def->min, (int)def->max);
  return false;
}

/* Lines NAME=VALUE of the settings file; empty lines and those that start with
   # are passed over.  */
static GHashTable *
read_file (const char *path, bool *ok)
{
  GHashTable *lines
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  if (path == NULL || path[0] == '\0')
    return lines;
  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      g_printerr ("buckthornd: --settings-file: %s\n", error->message);
      *ok = false;
      return lines;
    }
  g_auto (GStrv) rows = g_strsplit (text, "\n", -1);
  for (unsigned i = 0; rows[i]; i++)
    {
      const char *row = g_strstrip (rows[i]);
      const char *eq = strchr (row, '=');
      if (row[0] == '\0' || row[0] == '#')
        continue;
      if (eq == NULL)
        {
          g_printerr ("buckthornd: %s:%u: '%s' is not NAME=VALUE\n", path,
                      i + 1, row);
          *ok = false;
          continue;
        }
      g_hash_table_replace (lines, g_strndup (row, (gsize)(eq - row)),
                            g_strdup (eq + 1));
    }
  return lines;
}

static bool
store (const struct setting_def *def, const char *flag, GHashTable *lines,
       struct settings *s)
{
  const char *text = flag;
  if (text == NULL)
    text = g_getenv (def->env);
  if (text == NULL)
    text = g_hash_table_lookup (lines, def->env);
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
      return store_number (def, text, p);
    case SETTING_REAL:
      return store_real (def, text, p);
    default:
      return store_text (def, text, p);
    }
}

/* Names in the settings file that no setting has.  */
static bool
check_names (GHashTable *lines)
{
  GHashTableIter it;
  gpointer name;
  bool ok = true;
  g_hash_table_iter_init (&it, lines);
  while (g_hash_table_iter_next (&it, &name, NULL))
    {
      bool known = false;
      for (size_t i = 0; i < setting_count && !known; i++)
        known = strcmp (setting_defs[i].env, name) == 0;
      if (!known)
        g_printerr ("buckthornd: settings file: no setting is named %s\n",
                    (const char *)name);
      ok &= known;
    }
  return ok;
}

static bool
check_address (const char *flag, const char *text, bool needed)
{
  g_autofree char *ip = NULL;
  uint16_t port = 0;
  if (text == NULL || (text[0] == '\0' && !needed))
    return true;
  if (address_split (text, &ip, &port))
    return true;
  g_printerr ("buckthornd: --%s: '%s' is not IP:PORT\n", flag, text);
  return false;
}

/* Settings that one source of routes needs.  */
static bool
check_source (const struct settings *s)
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
                  "routes-from=file\n");
      ok = false;
    }
  ok &= check_address ("front-address", s->front_address, platform);
  ok &= check_address ("ready-address", s->ready_address, platform);
  ok &= check_address ("entry-address", s->entry_address, platform);
  return ok;
}

/* Checks what the table cannot express.  */
static bool
check_forms (const struct settings *s)
{
  bool ok = true;
  unsigned char addr[16];
  enum log_level level;
  if (s->ip && inet_pton (AF_INET, s->ip, addr) != 1)
    {
      g_printerr ("buckthornd: --ip: '%s' is not an IPv4 number\n", s->ip);
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
      g_printerr ("buckthornd: --operator-key-digest: need 64 hexadecimal "
                  "digits\n");
      ok = false;
    }
  return ok;
}

/* Path of the settings file: it cannot name another one itself.  */
static const char *
file_path (const char *const *values)
{
  for (size_t i = 0; i < setting_count; i++)
    if (strcmp (setting_defs[i].name, "settings-file") == 0)
      return values[i] ? values[i] : g_getenv (setting_defs[i].env);
  return NULL;
}

static struct settings *
settings_read (const char *const *values)
{
  struct settings *s = g_new0 (struct settings, 1);
  bool ok = true;
  g_autoptr (GHashTable) lines = read_file (file_path (values), &ok);
  ok &= check_names (lines);
  for (size_t i = 0; i < setting_count; i++)
    ok &= store (&setting_defs[i], values[i], lines, s);
  ok &= check_forms (s);
  ok &= check_source (s);
  if (ok)
    return s;
  settings_destroy (s);
  return NULL;
}

static struct settings *
parse (int argc, char **argv, unsigned flags)
{
  g_autofree const char **values = g_new0 (const char *, setting_count);
  g_autofree struct argp_option *options = make_options ();
  struct argp argp = { options,
                       parse_option,
                       NULL,
                       "Entry VM daemon: serves callers before model engines "
                       "and plain services.\vEach flag may be given as an "
                       "environment variable: --log-level as "
                       "BUCKTHORN_LOG_LEVEL.",
                       NULL,
                       NULL,
                       NULL };
  argp_err_exit_status = 2;
  argp_parse (&argp, argc, argv, flags, NULL, values);
  return settings_read (values);
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
