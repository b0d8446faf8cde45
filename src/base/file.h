/** @file
    The applied file: YAML text checked whole against the schema.  */
#ifndef BASE_FILE_H
#define BASE_FILE_H

#include "generated/file_tables.h"

/** One thing wrong with a file.  */
struct file_problem
{
  size_t line; /**< from 1; 0 where the text has none */
  char *key;   /**< path of keys, as engines[2].region */
  char *reason;
};

/** Parses TEXT of SIZE bytes.  Returns NULL and fills PROBLEMS, an array of
    struct file_problem, where anything is wrong.  */
struct file *file_parse (const char *text, size_t size, GArray *problems);

/** Makes the array for file_parse.  */
GArray *file_problems_create (void);

/** Returns problems as lines "line N: key: reason", to be freed.  */
char *file_problems_text (const GArray *problems);

/** Releases FILE.  */
void file_destroy (struct file *file);

/** Looks up by name; NULL where there is none.  */
const struct file_engine *file_find_engine (const struct file *f,
                                            const char *id);
const struct file_service *file_find_service (const struct file *f,
                                              const char *name);
const struct file_caller *file_find_caller (const struct file *f,
                                            const char *key_digest);
const struct file_operator *file_find_operator (const struct file *f,
                                                const char *key_digest);

/** Whether TEXTS holds TEXT.  */
bool texts_hold (const GPtrArray *texts, const char *text);

#endif
