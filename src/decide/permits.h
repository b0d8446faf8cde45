/** @file
    Permits: admission control of the requests sent to an engine, decided by
    one VM per engine, the engine's home VM.

    Without permits, many VMs would see the same engine idle in load reports
    that are some hundred milliseconds old, and all send it long prompts at the
    same time.  The home VM counts the requests that it has permitted and whose
    end has not been reported, so it knows the engine's queue exactly.

    Permits are advisory: if two VMs act as home VM of an engine, or none does,
    requests may wait longer, but no guarantee on them is broken.

    The module does no I/O and reads no clock.  */
#ifndef DECIDE_PERMITS_H
#define DECIDE_PERMITS_H

#include "decide/upstreams.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct permits;

/** A VM's request for a permit to send one request to an engine.  */
struct permit_request
{
  const char *vm;       /**< VM that asks for the permit */
  uint64_t seq;         /**< number that VM gave this permit request */
  const char *upstream; /**< id of the engine */
  enum upstream_work_kind work;
  uint64_t tokens;      /**< prompt tokens that the engine would have to
                             prefill */
  unsigned slots;       /**< number of requests that the engine runs
                             concurrently */
  double tokens_per_ms; /**< estimated prefill rate of the engine, used
                             until it has been measured here */
  double limit_ms;      /**< longest acceptable wait; the permit is refused
                             if the expected wait is longer */
};

/** Answer to a permit request.  */
struct permit_decision
{
  bool granted;
  double wait_ms;       /**< expected time until the request is prefilled */
  double tokens_per_ms; /**< prefill rate of the engine, as estimated
                             here */
  struct upstream_load load; /**< of the engine's open permits, of all VMs,
                                  without this request; the rest of a pause
                                  counts as tokens */
};

/** Creates a table without permits.  */
struct permits *permits_create (void);

/** Releases P.  */
void permits_destroy (struct permits *p);

/** Decides whether Q is granted.  A granted request counts as load of the
    engine until it ends or its permit expires.  */
struct permit_decision permits_request (struct permits *p,
                                        const struct permit_request *q,
                                        int64_t now_ms);

/** Records that the engine has prefilled the request of VM's permit SEQ.
    TOOK_MS is the time that the engine took, 0 if unknown; it updates the
    estimate of the engine's prefill rate.  */
void permits_request_prefilled (struct permits *p, const char *vm,
                                uint64_t seq, unsigned took_ms);

/** Records that the request of VM's permit SEQ has ended or was not sent.  */
void permits_request_ended (struct permits *p, const char *vm, uint64_t seq);

/** Refuses all permits for the engine UPSTREAM until UNTIL_MS and discards the
    estimate of its prefill rate, as the rate may differ afterwards.  */
void permits_pause_engine (struct permits *p, const char *upstream,
                           int64_t until_ms);

/** Removes permits whose requests were not reported as prefilled, or as ended,
    in time.  To be called regularly.  */
void permits_expire (struct permits *p, int64_t now_ms);

/** Number of permits granted whose requests have not ended.  */
unsigned permits_open (const struct permits *p);

#endif
