/** @file
    Split of a service's engines between prefill-only engines (the role
    UPSTREAM_PREFILL) and decode engines, which both prefill and decode
    (UPSTREAM_DECODE).

    It serves request mixes that are nearly all prefill: an engine that also
    decodes prefills at half the rate, between the tokens that it generates.  A
    prefill-only engine prefills faster, but a decode engine must then fetch
    the KV cache from it.  So the number of prefill-only engines is limited,
    and each engine changes its role only rarely.

    Engines should change back when the share of prefill falls again.  Known
    fault: this never happens, because decode demand is not measured.

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

/** Records that a request with PROMPT for SERVICE arrived at this VM.  */
void prefill_split_record_request (struct prefill_split *s,
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
  double prefill_demand; /**< prefill demand of all VMs, in prefill-only
                              engines that it keeps busy */
  double decode_demand;  /**< decode demand, in engines whose slots it fills;
                              not measured, always 0 */
};

/** Decides which engines in U change their role.  The requests recorded here
    are taken as the share of one VM out of VMS.  Appends a struct
    prefill_split_change to OUT for each change, and sets INPUTS to those of
    the last service with a change; INPUTS stays as it is if there is none.  */
void prefill_split_decide (struct prefill_split *s, const struct upstreams *u,
                           unsigned vms, int64_t now_ms, GArray *out,
                           struct prefill_split_inputs *inputs);

/** Records that ENGINE was ordered to change its role, so that it is not
    changed again for some time.  */
void prefill_split_record_order (struct prefill_split *s, const char *engine,
                                 int64_t now_ms);

#endif
