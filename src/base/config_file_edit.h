/** @file
    Differences between two configuration files, and edits of a file's text
    that leave the operator's comments and layout as they are.  */
#ifndef BASE_CONFIG_FILE_EDIT_H
#define BASE_CONFIG_FILE_EDIT_H

#include "base/config_file.h"

/** Lists the changes from A to B with values as JSON, one line for each key:
    engines[e1].role: "mixed" -> "decode".  A list whose entries have neither
    name nor id is one value.  To be freed with g_free; empty without
    differences.  */
char *config_file_diff (const struct file *a, const struct file *b);

/** Returns a copy of the SIZE bytes of TEXT with the key state of the engine
    whose id is ENGINE set to STATE; the key is added if it is missing.
    Returns NULL if TEXT is not YAML or has no such engine.  To be freed
    with g_free.  */
char *config_file_set_engine_state (const char *text, size_t size,
                                    const char *engine, const char *state);

#endif
