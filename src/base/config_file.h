/** @file
    The configuration file that operators apply: YAML text, checked against
    the schema in schema/file.json.  */
#ifndef BASE_CONFIG_FILE_H
#define BASE_CONFIG_FILE_H

#include "generated/file_tables.h"

/** One error in a file.  */
struct config_file_problem
{
  size_t line;  /**< counted from 1; 0 if the error has no line */
  char *key;    /**< path of the key, such as engines[2].region; "(file)"
                     for the top level */
  char *reason; /**< what is wrong, to be read after the key */
};

/** Parses and checks SIZE bytes of TEXT.  Returns the file, to be released
    with config_file_destroy; on errors NULL, with every error found appended
    to PROBLEMS, an array of struct config_file_problem.  References between
    lists, unique values of list entries and route prefixes are only checked if
    everything else is valid.  */
struct file *config_file_parse (const char *text, size_t size,
                                GArray *problems);

/** Creates the empty array that config_file_parse appends errors to.  */
GArray *config_file_problems_create (void);

/** Returns the text of PROBLEMS, one "line N: key: reason" per line.  To be
    freed with g_free.  */
char *config_file_problems_text (const GArray *problems);

/** Releases FILE, which may be NULL.  */
void config_file_destroy (struct file *file);

/** Finds an engine by id, a service by name, or a caller or operator by the
    digest of its key.  Returns NULL if F has none.  */
const struct file_engine *config_file_find_engine (const struct file *f,
                                                   const char *id);
const struct file_service *config_file_find_service (const struct file *f,
                                                     const char *name);
const struct file_caller *config_file_find_caller (const struct file *f,
                                                   const char *key_digest);
const struct file_operator *config_file_find_operator (const struct file *f,
                                                       const char *key_digest);

/** Whether TEXTS, an array of char *, contains a string equal to TEXT.  */
bool string_array_contains (const GPtrArray *texts, const char *text);

#endif
