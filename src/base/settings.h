/** @file
    Settings from flags and environment variables, checked whole.  */
#ifndef BASE_SETTINGS_H
#define BASE_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Kinds of settings.  */
enum setting_kind
{
  SETTING_STR,
  SETTING_UINT,
  SETTING_REAL /**< double */
};

/** One setting, generated from schema/settings.json.  */
struct setting_def
{
  const char *name; /**< flag, without dashes before it */
  const char *env;
  enum setting_kind kind;
  const char *fallback; /**< NULL where the setting is required */
  uint64_t min;         /**< least value or length */
  uint64_t max;         /**< largest value or length */
  const char *doc;
  bool required;
  size_t offset; /**< in struct settings */
};

struct settings;

/** Reads flags of ARGV, then the environment, then the settings file that
    they name, then the defaults.  Returns NULL after it has written every
    problem to standard error.  */
struct settings *settings_create (int argc, char **argv);

/** Reads the same flags and environment with the settings file as it is now.
    Returns NULL, with every problem written, where it is wrong.  */
struct settings *settings_reload (int argc, char **argv);

/** Releases SETTINGS.  */
void settings_destroy (struct settings *settings);

#endif
