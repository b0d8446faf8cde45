/** @file
    Permits: which requests may be sent to an engine now, decided by one VM for
    each engine.

    Load it answers: many VMs that all see the same engine free, as it was some
    hundred milliseconds ago, and all send it long prompts.  The engine's home
    VM counts what it has permitted and not yet heard the end of, so it knows
    the engine's queue to the request.  A permit is advice, not authority: two
    homes, or none, cost time but break no promise.  Pure.  */
#ifndef DECIDE_PERMITS_H
#define DECIDE_PERMITS_H

#include "decide/upstreams.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct permits;

/** A VM asks whether it may send a request.  */
struct permit_question
{
  const char *vm;       /**< that asks */
  uint64_t seq;         /**< its number of this question */
  const char *upstream; /**< the engine */
  enum upstream_work_kind work;
  uint64_t tokens;      /**< that the engine would have to read */
  unsigned slots;       /**< of the engine */
  double tokens_per_ms; /**< that it is believed to read, before the first
                           sample */
  double limit_ms;      /**< longest wait that is worth while */
};

/** The decision.  */
struct permit_decision
{
  bool granted;
  double wait_ms;            /**< expected until it has been read */
  double tokens_per_ms;      /**< that the engine reads, as measured here */
  struct upstream_load load; /**< of all VMs, without this request */
};

/** Makes a table that has permitted nothing.  */
struct permits *permits_create (void);

/** Releases P.  */
void permits_destroy (struct permits *p);

/** Decides on Q, and counts the request where it is permitted.  */
struct permit_decision permits_ask (struct permits *p,
                                    const struct permit_question *q,
                                    int64_t now_ms);

/** The request of VM's question SEQ has been read; the engine took TOOK_MS, or
    0 where that tells nothing.  */
void permits_read (struct permits *p, const char *vm, uint64_t seq,
                   unsigned took_ms);

/** That request has ended, or was not sent.  */
void permits_ended (struct permits *p, const char *vm, uint64_t seq);

/** UPSTREAM takes nothing until UNTIL_MS, and may read at another speed then.
 */
void permits_hold (struct permits *p, const char *upstream, int64_t until_ms);

/** Forgets permits of whose end nothing was heard for too long.  */
void permits_tick (struct permits *p, int64_t now_ms);

/** Permits whose end has not been heard.  */
unsigned permits_open (const struct permits *p);

#endif
