/** @file
    buckthornd: the daemon that runs on each VM of the fleet.  */
#include "base/log.h"
#include "daemon/daemon.h"
#include "daemon/gateway.h"
#include "platform/adapter.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define EXIT_SETTINGS 2

const char *argp_program_version = "buckthornd 0.1";

/* Command line, kept to read the settings again on a reload.  */
struct arguments
{
  int argc;
  char **argv;
};

static struct settings *
reread_settings (void *arg)
{
  struct arguments *a = arg;
  return settings_reload (a->argc, a->argv);
}

/* Prints ERROR and returns the exit status.  */
static int
fail (const GError *error)
{
  g_printerr ("buckthornd: %s\n", error->message);
  return EXIT_SETTINGS;
}

/* Runs the daemon with routes and upstreams from the platform.  */
static int
run_gateway (struct settings *settings, struct arguments *a)
{
  g_autoptr (GError) error = NULL;
  struct gateway *g = gateway_create (settings, &platform_adapter,
                                      reread_settings, a, &error);
  if (g == NULL)
    return fail (error);
  gateway_run (g);
  gateway_destroy (g);
  return EXIT_SUCCESS;
}

/* Runs the daemon with routes and upstreams from the files that operators
   apply.  */
static int
run_daemon (struct settings *settings)
{
  g_autoptr (GError) error = NULL;
  struct daemon *d = daemon_create (settings, &error);
  if (d == NULL)
    return fail (error);
  daemon_run (d);
  daemon_destroy (d);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  /* A reload that is requested while the daemon starts must not end it.  */
  (void)signal (SIGHUP, SIG_IGN);
  struct arguments arguments = { argc, argv };
  struct settings *settings = settings_create (argc, argv);
  if (settings == NULL)
    return EXIT_SETTINGS;
  enum log_level level = LOG_INFO;
  (void)log_level_parse (settings->log_level, &level);
  log_setup (level, settings->vm);
  log_set_rate ((unsigned)settings->log_lines_per_s);
  (void)signal (SIGPIPE, SIG_IGN);
  return strcmp (settings->routes_from, "platform") == 0
             ? run_gateway (settings, &arguments)
             : run_daemon (settings);
}
