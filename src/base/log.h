/** @file
    Logger: writes one line of key=value pairs for each event to standard
    output.

    Writing never blocks, and the number of lines per second is limited.  Lines
    over the limit, and lines that standard output does not accept at once, are
    dropped and counted; the next line written reports how many.  */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdbool.h>
#include <stdint.h>

/** Severity levels, lowest first.  */
enum log_level
{
  LOG_DEBUG,
  LOG_INFO,
  LOG_WARN,
  LOG_ERROR
};

/** Sets the lowest level that is written, and the VM's name, which each line
    contains.  */
void log_setup (enum log_level lowest, const char *vm);

/** Limits the log to LINES_PER_S lines per second, at least 1; a fifth of them
    is reserved for warnings and errors.  */
void log_set_rate (unsigned lines_per_s);

/** Returns the number of lines dropped since the program started.  */
uint64_t log_dropped (void);

/** Parses NAME (debug, info, warn or error) into OUT; false for any other
    name.  */
bool log_level_parse (const char *name, enum log_level *out);

/** Writes one line for EVENT.  The arguments after EVENT are pairs of strings,
    key and value, ended by NULL; values are quoted where necessary, and a NULL
    value is written as an empty one.  */
void log_event (enum log_level level, const char *event, ...)
    __attribute__ ((sentinel));

/** Formats VALUE for log_event; the text is valid for the next 23 calls.  */
const char *log_num (long long value);

#endif
