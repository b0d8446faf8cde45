/** @file
    Split of a service's engines between prefill-only engines (the role
    UPSTREAM_PREFILL) and decode engines, which both prefill and decode
    (UPSTREAM_DECODE).

    An engine that also decodes prefills at half the rate, between the tokens
    that it generates.  A prefill-only engine prefills faster, but a decode
    engine must then fetch the KV cache from it.  So a mix that is nearly all
    prefill gets many prefill-only engines.  Their number is limited by the
    requests that generate: these fill no more than a part of the slots of the
    decode engines, of which each failure domain keeps one.  Engines change
    back when generating requests need them, or when the prefill-only engines
    are nearly idle.

    A change has a price, in time of an engine: the engine takes no requests
    while it changes, its running requests run again elsewhere, and its cached
    prefixes are lost.

    The module does no I/O and reads no clock.  */
#ifndef DECIDE_PREFILL_SPLIT_H
#define DECIDE_PREFILL_SPLIT_H

#include "decide/upstreams.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct prefill_split;

/** Creates a controller that has recorded no requests.  */
struct prefill_split *prefill_split_create (void);

/** Releases S.  */
void prefill_split_destroy (struct prefill_split *s);

/** Records that a request with PROMPT for SERVICE arrived at this VM.  The
    part of a long prompt that the engines in U are known to cache need not be
    prefilled.  */
void prefill_split_record_request (struct prefill_split *s,
                                   const struct upstreams *u,
                                   const char *service,
                                   const struct prompt *prompt,
                                   int64_t now_ms);

/** A change of one engine's role.  */
struct prefill_split_change
{
  upstream_handle upstream;
  enum upstream_role to; /**< new role */
};

/** Inputs of the decision on a service, for the log.  */
struct prefill_split_inputs
{
  unsigned engines;         /**< of the service, without those leaving */
  unsigned prefill_engines; /**< prefill-only engines now */
  unsigned wanted_prefill_engines; /**< prefill-only engines wanted */
  double prefill_demand; /**< of all VMs' prompts, in prefill-only engines that
                              they would keep busy if nothing were cached */
  double uncached_demand; /**< the same for the parts of long prompts that are
                               not known to be cached */
  bool is_idle;           /**< the prefill-only engines are nearly idle */
  double decode_demand; /**< of the generating requests of all VMs, in engines
                             whose slots they fill */
  double expected_decode_demand; /**< the same when a change ordered now is
                                      done */
};

/** Decides which engines in U change their role.  The requests recorded here
    are taken as the share of one VM out of VMS.  Appends a struct
    prefill_split_change to OUT for each change, and sets INPUTS to those of
    the last service with a change; INPUTS stays as it is if there is none.  */
void prefill_split_decide (struct prefill_split *s, const struct upstreams *u,
                           unsigned vms, int64_t now_ms, GArray *out,
                           struct prefill_split_inputs *inputs);

/** Records that ENGINE was ordered to change its role to TO, so that it is not
    changed again for some time.  */
void prefill_split_record_order (struct prefill_split *s, const char *engine,
                                 enum upstream_role to, int64_t now_ms);

/** Returns the time for which an engine of SERVICE takes no requests when it
    changes its role: its running requests end, then it changes.  The default
    if SERVICE is NULL.  */
unsigned prefill_split_change_ms (const struct upstreams *u,
                                  const char *service);

#endif
