/** @file
    When prompt parts were last answered in full.  The latest few thousand
   parts are remembered, no matter how long ago.  No I/O.  */
#ifndef DECIDE_ANSWERED_PARTS_H
#define DECIDE_ANSWERED_PARTS_H

#include <stdbool.h>
#include <stdint.h>

struct answered_parts;

/** Creates an empty memory.  */
struct answered_parts *answered_parts_create (void);
/** Frees A.  */
void answered_parts_destroy (struct answered_parts *a);

/** Records that a request with PART was answered in full at AT_MS.  */
void answered_parts_record (struct answered_parts *a, uint64_t part,
                            int64_t at_ms);
/** Whether an answer to PART is remembered.  */
bool answered_parts_knows (const struct answered_parts *a, uint64_t part);
/** Whether PART was answered at or after AT_MS.  */
bool answered_parts_since (const struct answered_parts *a, uint64_t part,
                           int64_t at_ms);

#endif
