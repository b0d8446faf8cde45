/** @file
    buckthornctl: operators' command line.  */
#include "ctl/commands.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

const char *argp_program_version = "buckthornctl 0.1";

static const char doc[]
    = "Applies files and reads back what is in force.\v"
      "Commands:\n"
      "  check FILE          check a file, offline\n"
      "  apply FILE          apply a file as one unit\n"
      "  diff FILE           what FILE would change\n"
      "  get                 print the file in force\n"
      "  status              where which revision is in force; of a VM with\n"
      "                      --routes-from=platform, asked at its metrics\n"
      "                      port: its routes, their age, its upstreams\n"
      "  history             who applied what, and when\n"
      "  members             VMs as the asked one sees them\n"
      "  engines             engines, their home VMs, roles and orders\n"
      "  drain ENGINE        apply the file in force with ENGINE leaving\n"
      "  undrain ENGINE      apply it with ENGINE serving again\n"
      "\n"
      "Examples:\n"
      "  buckthornctl check serving.yaml\n"
      "  buckthornctl --vm 10.0.0.1:8080 --key-file ana.key apply "
      "serving.yaml\n"
      "  buckthornctl status -o json\n"
      "  buckthornctl history --verify\n"
      "\n"
      "Exit codes are those of docs/reference/results.md.";

enum key
{
  KEY_VM = 1000,
  KEY_KEY_FILE,
  KEY_EXPECT,
  KEY_ALLOW_BEHIND,
  KEY_VERIFY,
  KEY_YES
};

static const struct argp_option options[] = {
  { "vm", KEY_VM, "IP:PORT", 0,
    "Any VM of the system (environment: BUCKTHORN_VM)", 0 },
  { "key-file", KEY_KEY_FILE, "FILE", 0,
    "File with the operator's key (environment: BUCKTHORN_KEY_FILE)", 0 },
  { "output", 'o', "FORMAT", 0, "text or json", 0 },
  { "expect", KEY_EXPECT, "REVISION", 0,
    "apply: only if this revision is in force", 0 },
  { "allow-behind", KEY_ALLOW_BEHIND, "REGION", 0,
    "apply: go on without this region if it cannot be reached; may be "
    "repeated",
    0 },
  { "verify", KEY_VERIFY, NULL, 0, "history: check the chain of digests", 0 },
  { "yes", 'y', NULL, 0, "drain: do not ask", 0 },
  { 0 }
};

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  struct ctl_options *o = state->input;
  switch (key)
    {
    case KEY_VM:
      o->vm = arg;
      break;
    case KEY_KEY_FILE:
      o->key_file = arg;
      break;
    case 'o':
      if (strcmp (arg, "json") != 0 && strcmp (arg, "text") != 0)
        argp_error (state, "--output: '%s' is neither text nor json", arg);
      o->json = strcmp (arg, "json") == 0;
      break;
    case KEY_EXPECT:
      o->expect = arg;
      break;
    case KEY_ALLOW_BEHIND:
      g_ptr_array_add (o->behind, arg);
      break;
    case KEY_VERIFY:
      o->verify = true;
      break;
    case 'y':
      o->yes = true;
      break;
    case ARGP_KEY_ARG:
      if (state->arg_num == 0)
        o->command = arg;
      else if (state->arg_num == 1)
        o->argument = arg;
      else
        argp_error (state, "too many arguments");
      break;
    case ARGP_KEY_END:
      if (o->command == NULL)
        argp_error (state, "a command is needed");
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

int
main (int argc, char **argv)
{
  struct argp argp
      = { options, parse, "COMMAND [ARGUMENT]", doc, NULL, NULL, NULL };
  struct ctl_options o = { .vm = getenv ("BUCKTHORN_VM"),
                           .key_file = getenv ("BUCKTHORN_KEY_FILE"),
                           .behind = g_ptr_array_new () };
  argp_err_exit_status = 2;
  (void)signal (SIGPIPE, SIG_IGN);
  argp_parse (&argp, argc, argv, 0, NULL, &o);
  int code = ctl_run (&o);
  g_ptr_array_unref (o.behind);
  return code;
}
