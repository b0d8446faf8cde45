/** @file
    The commands of buckthornctl, such as apply, status and drain.  */
#ifndef CTL_COMMANDS_H
#define CTL_COMMANDS_H

#include <glib.h>
#include <stdbool.h>

/** Options and arguments of the command line.  */
struct ctl_options
{
  const char *vm;       /**< IP:PORT of the VM to connect to, or NULL */
  const char *key_file; /**< file with the operator's key, or NULL */
  const char *command;
  const char *argument; /**< file or engine of the command, or NULL */
  const char *expect; /**< revision that must be in force for apply, or NULL */
  GPtrArray *allowed_behind; /**< regions that may lag, const char * */
  bool json;                 /**< print JSON, not text */
  bool verify;               /**< check the digests of the history */
  bool yes;                  /**< drain without asking for confirmation */
};

/** Runs the command of OPTIONS.  Returns the exit code of the process.  */
int ctl_run (const struct ctl_options *options);

#endif
