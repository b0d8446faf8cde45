/** @file
    Settings from the command line.  */
#include "base/settings.h"
#include "generated/settings_table.h"

#include <string.h>

/* Reads the settings that are required and EXTRA, an argument or NULL.  */
static struct settings *
read_with (const char *extra)
{
  const char *argv[] = { "buckthornd",
                         "--vm=a",
                         "--region=r",
                         "--failure-domain=d",
                         "--kv=127.0.0.1:1",
                         "--fleet-key-file=/none",
                         extra,
                         NULL };
  int argc = extra ? 7 : 6;
  return settings_reload (argc, (char **)argv);
}

/* An empty number is the setting's default, as the template of the command
   line has no value for it.  Guards against a VM that does not start with a
   platform that knows fewer settings.  */
static void
test_empty_number (void)
{
  struct settings *s = read_with ("--usage-late-s=");
  g_assert_nonnull (s);
  g_assert_cmpuint (s->usage_late_s, ==, 10);
  settings_destroy (s);
  s = read_with ("--retry-ratio=");
  g_assert_nonnull (s);
  g_assert_cmpfloat (s->retry_ratio, ==, 0.1);
  settings_destroy (s);
}

/* An empty number on the command line leaves the value of the environment in
   force; an empty one there is still an error.  */
static void
test_empty_environment (void)
{
  g_setenv ("BUCKTHORN_USAGE_WINDOW_S", "7", TRUE);
  struct settings *s = read_with ("--usage-window-s=");
  g_assert_nonnull (s);
  g_assert_cmpuint (s->usage_window_s, ==, 7);
  settings_destroy (s);
  g_setenv ("BUCKTHORN_USAGE_WINDOW_S", "", TRUE);
  g_assert_null (read_with (NULL));
  g_unsetenv ("BUCKTHORN_USAGE_WINDOW_S");
}

/* An empty text is a value; the address of duty calls is checked.  */
static void
test_texts (void)
{
  struct settings *s = read_with ("--duty-address=");
  g_assert_nonnull (s);
  g_assert_cmpstr (s->duty_address, ==, "");
  g_assert_cmpuint (s->duty_calls_per_s, ==, 50);
  settings_destroy (s);
  g_assert_null (read_with ("--duty-address=somewhere"));
  g_assert_null (read_with ("--log-level="));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/settings/empty-number", test_empty_number);
  g_test_add_func ("/settings/empty-environment", test_empty_environment);
  g_test_add_func ("/settings/texts", test_texts);
  return g_test_run ();
}
