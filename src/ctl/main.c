/** @file
    buckthornctl: the command-line client of operators.  */
#include "ctl/commands.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

const char *argp_program_version = "buckthornctl 0.1";

static const char doc[]
    = "Checks and applies configuration files, and shows what is in force.\v"
      "Commands:\n"
      "  check FILE          check FILE without contacting a VM\n"
      "  apply FILE          apply FILE as the next revision\n"
      "  diff FILE           print what FILE would change\n"
      "  get                 print the file in force\n"
      "  status              print the revision in force on each VM and in\n"
      "                      each region; with --vm at the metrics port of a\n"
      "                      VM that runs with --routes-from=platform: its\n"
      "                      readiness, the version and age of its routes,\n"
      "                      and its upstreams\n"
      "  history             print who applied which file, and when\n"
      "  members             print the VMs known to the VM of --vm\n"
      "  engines             print the engines, their home VMs, roles and\n"
      "                      orders to change roles\n"
      "  drain ENGINE        apply the file in force with ENGINE set to\n"
      "                      state leaving: it gets no new requests\n"
      "  undrain ENGINE      apply the file in force with ENGINE set back\n"
      "                      to state serving\n"
      "\n"
      "Examples:\n"
      "  buckthornctl check serving.yaml\n"
      "  buckthornctl --vm 10.0.0.1:8080 --key-file ana.key apply "
      "serving.yaml\n"
      "  buckthornctl status -o json\n"
      "  buckthornctl history --verify\n"
      "\n"
      "Exit codes are listed in docs/reference/results.md.";

/* Keys by which argp reports the long options.  */
enum key
{
  OPTION_VM = 1000,
  OPTION_KEY_FILE,
  OPTION_EXPECT,
  OPTION_ALLOW_BEHIND,
  OPTION_VERIFY,
  OPTION_YES
};

static const struct argp_option options[] = {
  { "vm", OPTION_VM, "IP:PORT", 0,
    "Address of any VM of the system (environment: BUCKTHORN_VM)", 0 },
  { "key-file", OPTION_KEY_FILE, "FILE", 0,
    "File with the operator's key (environment: BUCKTHORN_KEY_FILE)", 0 },
  { "output", 'o', "FORMAT", 0, "Output format: text (default) or json", 0 },
  { "expect", OPTION_EXPECT, "REVISION", 0,
    "apply: apply only if this revision is in force", 0 },
  { "allow-behind", OPTION_ALLOW_BEHIND, "REGION", 0,
    "apply: apply even if this region cannot be reached; may be "
    "repeated",
    0 },
  { "verify", OPTION_VERIFY, NULL, 0, "history: check the chain of digests",
    0 },
  { "yes", 'y', NULL, 0, "drain: do not ask for confirmation", 0 },
  { 0 }
};

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  struct ctl_options *o = state->input;
  switch (key)
    {
    case OPTION_VM:
      o->vm = arg;
      break;
    case OPTION_KEY_FILE:
      o->key_file = arg;
      break;
    case 'o':
      if (strcmp (arg, "json") != 0 && strcmp (arg, "text") != 0)
        argp_error (state, "--output: '%s' is neither text nor json", arg);
      o->json = strcmp (arg, "json") == 0;
      break;
    case OPTION_EXPECT:
      o->expect = arg;
      break;
    case OPTION_ALLOW_BEHIND:
      g_ptr_array_add (o->allowed_behind, arg);
      break;
    case OPTION_VERIFY:
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
        argp_error (state, "missing command");
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
                           .allowed_behind = g_ptr_array_new () };
  argp_err_exit_status = 2;
  (void)signal (SIGPIPE, SIG_IGN);
  argp_parse (&argp, argc, argv, 0, NULL, &o);
  int code = ctl_run (&o);
  g_ptr_array_unref (o.allowed_behind);
  return code;
}
