/** @file
    Budget of the memory that callers fill: request bodies that are read, and
    response bytes that wait for slow callers.  It bounds the sum of both,
    whatever callers and upstreams do.  No I/O, no clock.

    Responses: every response that is in progress, or of which some waits, may
    use an equal part of 2/5 of the total, at most of 32 MB: half of it, its
    share, in the process, and half in the kernel, which holds what is not read
    of a paused upstream.

    Bodies take the rest.  A body reserves memory before it is read
    (memory_body_grow), all of it at once if its length is known.  Bodies of at
    most MEMORY_SMALL_BODY_BYTES have a part of their own, so that they do not
    wait for larger ones.  A head that takes much memory counts with its body,
    also if there is none.  Larger ones wait for memory in the order of their
    deadlines.  Memory of the size of the largest body is set apart for one of
    them, the first that has to wait: so bodies that grow while they arrive
    cannot block each other for good.  What waiting bodies have already read is
    bounded too.  */
#ifndef DECIDE_MEMORY_BUDGET_H
#define DECIDE_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Least and greatest share of a response, in bytes.  */
#define MEMORY_SHARE_MIN_BYTES ((size_t)16 * 1024)
#define MEMORY_SHARE_MAX_BYTES ((size_t)128 * 1024)
/** Least and greatest size that memory_budget_receive_bytes returns.  */
#define MEMORY_RECEIVE_MIN_BYTES ((size_t)4 * 1024)
#define MEMORY_RECEIVE_MAX_BYTES ((size_t)64 * 1024)
/** Longest body that counts as small.  */
#define MEMORY_SMALL_BODY_BYTES ((size_t)16 * 1024)

struct memory_budget;

/** Memory of one request body.  */
struct memory_body;

/** Result of memory_body_grow.  */
enum memory_grant
{
  MEMORY_GRANTED, /**< the body may be read up to the size asked for */
  MEMORY_WAITS,   /**< memory_budget_next returns its owner later */
  MEMORY_REFUSED  /**< neither can be granted; the body is to be released */
};

/** Creates a budget of TOTAL bytes without responses and bodies.  */
struct memory_budget *memory_budget_create (size_t total);

/** Destroys B, which may be NULL.  All bodies must have been released.  */
void memory_budget_destroy (struct memory_budget *b);

/** Returns the total of a machine with MEMORY_MB; 0: a machine of 260 MB.  */
size_t memory_budget_total_of (uint64_t memory_mb);

/* Responses.  */

/** A response starts.  */
void memory_budget_enter (struct memory_budget *b);

/** A response that has started ends, and nothing of it waits any more.  */
void memory_budget_leave (struct memory_budget *b);

/** Of one response TO bytes wait, instead of FROM bytes; 0 at its start.  */
void memory_budget_change (struct memory_budget *b, size_t from, size_t to);

/** Returns the bytes that one response may keep waiting now.  Once there are
    more responses than the total holds shares of MEMORY_SHARE_MIN_BYTES, each
    keeps that.  */
size_t memory_budget_share (const struct memory_budget *b);

/** Returns the size of the kernel's buffer for the response to a request that
    is sent now, one of REQUESTS without a complete response: a power of 2.  */
size_t memory_budget_receive_bytes (const struct memory_budget *b,
                                    size_t requests);

/** Returns the bytes that wait, of all responses.  */
size_t memory_budget_waiting (const struct memory_budget *b);

/** Whether responses use up their part of the total.  */
bool memory_budget_is_used_up (const struct memory_budget *b);

/** Whether the upstream of a response of which WAITING bytes wait must pause
    until the caller has taken all of them: it has more than its share, or the
    part of all responses is used up and it has more than the least one.  */
bool memory_budget_is_exceeded (const struct memory_budget *b, size_t waiting);

/* Request bodies.  */

/** Sets the size of the largest body to BYTES.  Applies to bodies that grow
    from now on.  */
void memory_budget_set_largest (struct memory_budget *b, size_t bytes);

/** Adds a body without memory.  It must have arrived at DEADLINE_MS; OWNER is
    returned by memory_budget_next.  */
struct memory_body *memory_body_create (struct memory_budget *b,
                                        int64_t deadline_ms, void *owner);

/** Reserves SIZE bytes for M, instead of what it has.  READ of them, at most
    SIZE, are read already, and stay reserved if M waits.  M must not be
    waiting.  */
enum memory_grant memory_body_grow (struct memory_body *m, size_t size,
                                    size_t read);

/** M is complete and has SIZE bytes: reserves just these, without waiting.
    Returns false, and keeps what M has, if they are more and not free.  M must
    not be waiting.  */
bool memory_body_take (struct memory_body *m, size_t size);

/** Releases M, which may be NULL, with its memory.  */
void memory_body_release (struct memory_body *m);

/** Returns the bytes reserved for M.  */
size_t memory_body_reserved (const struct memory_body *m);

/** Whether M counts as larger than a small body and does not wait.  */
bool memory_body_is_large (const struct memory_body *m);

/** Grants the body that waits with the earliest deadline what it asked for, if
    that is free.  Returns its owner; NULL if none can go on.  To be called
    until it returns NULL, after memory was returned.  */
void *memory_budget_next (struct memory_budget *b);

/** Returns the bytes that are reserved for bodies.  */
size_t memory_budget_bodies (const struct memory_budget *b);

/** Returns the number of bodies that wait for memory.  */
unsigned memory_budget_bodies_waiting (const struct memory_budget *b);

#endif
