/** @file
    Settings of buckthornd from flags, environment variables and a settings
    file.  All are checked, and every problem is reported.  */
#ifndef BASE_SETTINGS_H
#define BASE_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Types of setting values.  */
enum setting_kind
{
  SETTING_STR,  /**< char * */
  SETTING_UINT, /**< uint64_t */
  SETTING_REAL  /**< double */
};

/** One setting, generated from schema/settings.json.  */
struct setting_def
{
  const char *name; /**< flag, without the leading dashes */
  const char *env;  /**< environment variable and name in the settings file */
  enum setting_kind kind;
  const char *fallback; /**< default, NULL for a required setting */
  uint64_t min;         /**< smallest value, or shortest length in bytes */
  uint64_t max;         /**< largest value, or longest length in bytes */
  const char *doc;      /**< help text */
  bool required;
  size_t offset; /**< of the value in struct settings */
};

struct settings;

/** Reads all settings.  A flag in ARGV takes precedence over the environment
    variable, that over the settings file, and that over the default.  Returns
    NULL if a value is missing or wrong, after writing every problem to
    standard error; a malformed command line, --help and --usage exit.  */
struct settings *settings_create (int argc, char **argv);

/** Reads all settings again, to pick up changes of the settings file.  Returns
    NULL if a value is missing or wrong, after writing every problem to
    standard error.  */
struct settings *settings_reload (int argc, char **argv);

/** Releases SETTINGS, which may be NULL.  */
void settings_destroy (struct settings *settings);

#endif
