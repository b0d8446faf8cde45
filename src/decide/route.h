/** @file
    Request router: chooses the engine for a request, or refuses the request if
    no engine can deliver the first token before the deadline.

    Uses consistent hashing with bounded loads.  The position of an engine on
    the hash ring is computed from its name, so every VM sends the same prompt
    prefix to the same engine, whose KV cache then holds it.  Engines above
    the load bound are skipped, so that a popular prefix spills over to the
    next engines on the ring.  The candidates are the first two engines within
    the bound and two random ones.  The router chooses the candidate with the
    earliest predicted first token; a penalty for mixed engines gives prefill
    and decode engines precedence.

    Does no I/O and reads no clock.  */
#ifndef DECIDE_ROUTE_H
#define DECIDE_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Phases of a request that an engine runs.  */
enum engine_role
{
  ROLE_MIXED,   /**< prefill and decode */
  ROLE_PREFILL, /**< prefill only */
  ROLE_DECODE   /**< decode only */
};

/** Returns the name of ROLE, as used in configuration files and orders to
    engines; "?" for an invalid value.  */
const char *role_name (uint64_t role);

/** Returns the role called NAME, or FALLBACK if NAME is NULL or unknown.  */
uint64_t role_from_name (const char *name, uint64_t fallback);

/** Phase of a request that needs an engine.  */
enum route_phase
{
  PHASE_COMBINED, /**< prefill and decode on one engine */
  PHASE_PREFILL,  /**< prefill, then export of the KV cache */
  PHASE_DECODE    /**< import of the KV cache, then decode */
};

/** Handle of an engine in a router: its index in the order of router_add.  */
typedef uint32_t route_engine;

/** Handle of no engine.  */
#define ROUTE_NONE UINT32_MAX

/** State and load of an engine, as last reported.  */
struct route_load
{
  enum engine_role role;
  uint32_t running;       /**< requests in the batch */
  uint32_t queued_tokens; /**< prompt tokens not yet prefilled */
  bool usable;            /**< live, not draining, not leaving */
};

/** A request to route.  */
struct route_request
{
  uint32_t model;
  uint32_t region;
  enum route_phase phase;
  uint64_t prefix;        /**< hash of the start of the prompt; 0: no
                               cached prefix is looked for */
  uint32_t prefix_tokens; /**< length of the hashed start of the prompt */
  uint32_t prompt_tokens;
  uint32_t deadline_ms; /**< from now_ms until the first token */
  int64_t now_ms;       /**< monotonic */
  route_engine avoid;   /**< engine to exclude, as it refused the request;
                             or ROUTE_NONE */
};

/** Result of router_pick.  */
struct route_choice
{
  route_engine engine;     /**< ROUTE_NONE if the request is refused */
  uint32_t first_token_ms; /**< predicted time to the first token */
  uint32_t retry_after_ms; /**< for the caller of a refused request */
  bool cached;             /**< the engine likely caches the prefix */
};

struct router;

/** Creates an empty router.  SEED seeds its random generator, for the random
    candidates and the spread of retries.  */
struct router *router_create (uint64_t seed);

/** Frees R, which may be NULL.  */
void router_destroy (struct router *r);

/* Engines and their load.  */

/** Adds an engine with a unique name.  MODEL and REGION are numbers that the
    calling code assigns; requests match engines with equal numbers.  */
route_engine router_add (struct router *r, const char *name, uint32_t model,
                         uint32_t region);
/** Sets the prefill rate of E in tokens per second, and the largest batch that
    still meets the target time between tokens: BATCH while E is a decode
    engine, MIXED_BATCH while it is mixed.  Values of 0 count as 1.  */
void router_set_capacity (struct router *r, route_engine e,
                          uint32_t prefill_tokens_per_s, uint32_t batch,
                          uint32_t mixed_batch);
/** Builds the hash rings; to be called once, after the last router_add and
    before router_set_load.  */
void router_build_rings (struct router *r);
/** Replaces the load of E by LOAD, as of NOW_MS.  */
void router_set_load (struct router *r, route_engine e,
                      const struct route_load *load, int64_t now_ms);
/** Returns the load of E: the last report plus the requests sent since.  */
const struct route_load *router_load (const struct router *r, route_engine e);
/** Returns the engine called NAME, or ROUTE_NONE.  */
route_engine router_find (const struct router *r, const char *name);
/** Returns the number of engines.  */
size_t router_count (const struct router *r);
/** Returns the approximate memory use of R in bytes.  */
size_t router_bytes (const struct router *r);

/** Returns the percentage of its prefill rate that a mixed engine still has
    while it decodes RUNNING requests, with a largest batch of BATCH.  */
unsigned mixed_prefill_percent (unsigned running, unsigned batch);

/* Routing of requests.  */

/** Chooses an engine for REQUEST, or refuses it.  */
struct route_choice router_pick (struct router *r,
                                 const struct route_request *request);
/** Records that REQUEST was sent to E; it counts as load of E until the next
    report.  CACHED: E skips the prefill of the prefix.  */
void router_record_sent (struct router *r, route_engine e,
                         const struct route_request *request, bool cached);

#endif
