/** @file
    Budget of the memory in which response bytes wait for slow callers.  Every
    response in progress may use an equal share of it, so the sum is bounded
    whatever callers and upstreams do.  No I/O, no clock.  */
#ifndef DECIDE_MEMORY_BUDGET_H
#define DECIDE_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>

/** Least and greatest share of a response, in bytes.  */
#define MEMORY_SHARE_MIN_BYTES ((size_t)16 * 1024)
#define MEMORY_SHARE_MAX_BYTES ((size_t)256 * 1024)

struct memory_budget;

/** Creates a budget of TOTAL bytes without responses.  */
struct memory_budget *memory_budget_create (size_t total);

/** Destroys B, which may be NULL.  */
void memory_budget_destroy (struct memory_budget *b);

/** A response starts.  */
void memory_budget_enter (struct memory_budget *b);

/** A response that has started, and of which WAITING bytes wait, ends.  */
void memory_budget_leave (struct memory_budget *b, size_t waiting);

/** Of one response TO bytes wait, instead of FROM bytes; 0 at its start.  */
void memory_budget_change (struct memory_budget *b, size_t from, size_t to);

/** Returns the bytes that one response may keep waiting now.  Once there are
    more responses than the total holds shares of MEMORY_SHARE_MIN_BYTES, each
    keeps that.  */
size_t memory_budget_share (const struct memory_budget *b);

/** Returns the bytes that wait, of all responses.  */
size_t memory_budget_waiting (const struct memory_budget *b);

/** Whether the upstream of a response of which WAITING bytes wait must pause
    until the caller has taken all of them: it has more than its share, or the
    total is used up and it has more than the least one.  */
bool memory_budget_is_exceeded (const struct memory_budget *b, size_t waiting);

#endif
