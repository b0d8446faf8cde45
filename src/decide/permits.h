/** @file
    Permits: admission control of the requests sent to an engine, decided by
    one VM per engine, the engine's home VM.

    Without permits, many VMs would see the same engine idle in load reports
    that are some hundred milliseconds old, and all send it long prompts at the
    same time.  The home VM counts the requests that it has permitted and whose
    end has not been reported, so it knows the engine's queue exactly.  It also
    sees the prompts of all VMs, so it knows best which prefixes the engine's
   KV cache holds and how much of a prompt is left to prefill.

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
  uint64_t tokens; /**< prompt tokens that the engine would have to prefill,
                        as far as VM knows */
  const struct prompt *prompt; /**< the prompt; NULL if unknown */
  uint64_t kv_tokens;          /**< capacity of the engine's KV cache */
  int64_t started_ms;          /**< start time of the engine on the wall clock;
                                    0 if unknown */
  unsigned slots;              /**< number of requests that the engine runs
                                    concurrently */
  struct engine_rates rates;   /**< VM's estimates for this kind of work, used
                                    until there are samples here */
  double residence_ms;         /**< mean time that a request occupies a slot */
  double link_ms;              /**< time for which the KV cache transfer of the
                                    request occupies the engine's link; 0 for none */
  double delay_ms;       /**< time until the request reaches the engine */
  double queue_limit_ms; /**< longest acceptable wait for earlier requests */
  double wait_limit_ms;  /**< longest acceptable time to the first token, or
                              to the end of a remote prefill */
};

/** Answer to a permit request.  */
struct permit_decision
{
  bool granted;
  uint64_t tokens; /**< prompt tokens that the engine has to prefill */
  double wait_ms;  /**< expected time until the first token, or until
                        the end of a remote prefill */
  struct engine_rates rates; /**< of the engine for this kind of work, as
                                  estimated here */
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
    TOOK_MS is the time that the engine took, 0 if unknown; the engine's model
    learns from it.  */
void permits_request_prefilled (struct permits *p, const char *vm,
                                uint64_t seq, unsigned took_ms,
                                int64_t now_ms);

/** Records that the request of VM's permit SEQ has ended or was not sent.  */
void permits_request_ended (struct permits *p, const char *vm, uint64_t seq,
                            int64_t now_ms);

/** Refuses all permits for the engine UPSTREAM until UNTIL_MS and discards its
    models, as its speed may differ afterwards.  */
void permits_pause_engine (struct permits *p, const char *upstream,
                           int64_t until_ms);

/** Removes permits whose requests were not reported as prefilled, or as ended,
    in time.  To be called regularly.  */
void permits_expire (struct permits *p, int64_t now_ms);

/** Number of permits granted whose requests have not ended.  */
unsigned permits_open (const struct permits *p);

#endif
