/** @file
    Stages: how many engines of a service only read prompts, and how many also
    generate.

    Load it answers: a mix in which nearly all work is reading, on engines most
    of which read at half speed, between the tokens of what they generate; and
    its swing back.  An engine that only reads, reads faster, but what it has
    read must be fetched by one that generates; so at most a part of them is
    changed, for as long as the mix asks for it, and each but rarely.  Pure. */
#ifndef DECIDE_STAGES_H
#define DECIDE_STAGES_H

#include "decide/upstreams.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct stages;

/** Makes the controller; it has seen nothing.  */
struct stages *stages_create (void);

/** Releases S.  */
void stages_destroy (struct stages *s);

/** A request with PROMPT came to this VM for SERVICE.  */
void stages_arrived (struct stages *s, const char *service,
                     const struct prompt *prompt, int64_t now_ms);

/** One engine's change.  */
struct stage_change
{
  upstream_handle upstream;
  enum upstream_role to;
};

/** What a decision rests on; goes into its log line.  */
struct stage_inputs
{
  unsigned engines;
  unsigned readers;
  unsigned wanted_readers;
  double reading;    /**< engines' worth of it, of all VMs */
  double generating; /**< slots that it takes, in engines' worth */
};

/** Decides what to change among the engines in U, of which VMS VMs like this
    one get the requests.  Appends struct stage_change to OUT; INPUTS is of the
    last service with a change.  */
void stages_decide (struct stages *s, const struct upstreams *u, unsigned vms,
                    int64_t now_ms, GArray *out, struct stage_inputs *inputs);

/** The order to change ENGINE was sent: it is not changed again for a while.
 */
void stages_ordered (struct stages *s, const char *engine, int64_t now_ms);

#endif
