/** @file
    Logger: one line of key=value pairs for each event, on standard output.

    It never waits for its reader, and writes a bounded number of lines a
    second; lines past that, and lines that the reader is too slow for, are
    counted and told.  */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdbool.h>
#include <stdint.h>

/** Levels, least first.  */
enum log_level
{
  LOG_DEBUG,
  LOG_INFO,
  LOG_WARN,
  LOG_ERROR
};

/** Sets the least level that is written and the VM named in each line.  */
void log_setup (enum log_level least, const char *vm);

/** Sets the most lines a second; a part of it is left to warnings.  */
void log_set_rate (unsigned lines_per_s);

/** Lines dropped since the start.  */
uint64_t log_dropped (void);

/** Parses a level's name; returns false for an unknown one.  */
bool log_level_parse (const char *name, enum log_level *out);

/** Writes one line for EVENT.  Then come pairs of a key and a text value,
    ended by NULL; values are quoted where they need it.  */
void log_event (enum log_level level, const char *event, ...)
    __attribute__ ((sentinel));

/** Returns VALUE as text in one of a few rotating buffers, for log_event.  */
const char *log_num (long long value);

#endif
