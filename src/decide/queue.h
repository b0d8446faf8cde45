/** @file
    Admission queue of one engine, kept by the engine's home VM (the VM that
    sends the engine its requests): decides which requests run, wait, or are
    refused.

    The module does no I/O and reads no clock.  */
#ifndef DECIDE_QUEUE_H
#define DECIDE_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A request for the engine.  */
struct queue_item
{
  uint64_t ticket;        /**< unique in the process */
  unsigned priority;      /**< 0 to 9; 9 goes first */
  uint32_t prompt_tokens; /**< tokens to be prefilled */
  int64_t deadline_ms;    /**< latest time of the first token, on the clock of
                               now_ms */
};

/** Admission decision on a request.  */
enum queue_verdict
{
  QUEUE_START, /**< send it to the engine now */
  QUEUE_WAIT,  /**< queued; queue_start_next starts it later, or
                    queue_remove_expired removes it */
  QUEUE_REFUSE /**< the queue is full or draining, or the first token
                     would come after the deadline */
};

struct queue;

/** Creates the queue of an engine that runs up to BATCH requests concurrently.
    Up to WAITING more wait in the queue.  */
struct queue *queue_create (unsigned batch, unsigned waiting);

/** Releases Q.  */
void queue_destroy (struct queue *q);

/** Decides on ITEM, which has just arrived, and records it unless it is
    refused.  */
enum queue_verdict queue_admit (struct queue *q, const struct queue_item *item,
                                int64_t now_ms);
/** Records that the first token of the request TICKET has arrived, which
    shows that its prompt is prefilled.  */
void queue_prefilled (struct queue *q, uint64_t ticket);
/** Removes the request TICKET, running or waiting, which has ended or was
    cancelled.  */
void queue_remove (struct queue *q, uint64_t ticket);
/** Marks the first waiting request as running and sets TICKET to it.  Returns
    false if none waits or the engine is full.  */
bool queue_start_next (struct queue *q, uint64_t *ticket);
/** Removes a waiting request whose deadline has passed and sets TICKET to it.
    Returns false if there is none.  */
bool queue_remove_expired (struct queue *q, int64_t now_ms, uint64_t *ticket);
/** Sets the engine's prefill rate in tokens per second, 0 if unknown.  MIXED
    says that the engine also decodes, which slows its prefill.  With a known
    rate, a request is refused on arrival if the prompts ahead of it would
    delay its first token past its deadline.  */
void queue_set_prefill_rate (struct queue *q, uint32_t tokens_per_s,
                             bool mixed);
/** Sets how many requests may run concurrently, at least 1.  */
void queue_set_batch (struct queue *q, unsigned batch);
/** Sets whether all new requests are refused.  */
void queue_set_draining (struct queue *q, bool draining);

/** Number of requests running at the engine.  */
unsigned queue_running (const struct queue *q);
/** Number of requests waiting in the queue.  */
unsigned queue_waiting (const struct queue *q);
/** Prompt tokens not yet prefilled, of running and waiting requests.  */
uint32_t queue_prefill_tokens (const struct queue *q);

#endif
