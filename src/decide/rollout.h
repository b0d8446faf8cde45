/** @file
    Rollout of a configuration file, run by the VM that the operator asked.

    The phases are: staged, when every live VM of each required region has
    validated and stored the file; committed, by one compare-and-swap of the
    applied record in the key-value service; in force, when every live VM of a
    region reports the revision.  The apply succeeds only once the file is in
    force in every region.

    No I/O: functions take events and the time and append actions to OUT for
    the calling code to execute.  */
#ifndef DECIDE_ROLLOUT_H
#define DECIDE_ROLLOUT_H

#include "generated/results.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Action that the calling code must take.  */
enum rollout_action_kind
{
  ROLLOUT_STAGE, /**< send the file to VM, then call rollout_staged */
  ROLLOUT_WRITE, /**< write the applied record, then call rollout_written */
  ROLLOUT_READ_BACK, /**< read whether the record was written, then call
                          rollout_read_back */
  ROLLOUT_NOTIFY,    /**< notify VM that the file is committed */
  ROLLOUT_DONE       /**< return RESULT and TEXT to the operator */
};

/** One action.  */
struct rollout_action
{
  enum rollout_action_kind kind;
  char *vm;
  enum result result;
  char *text;
};

/** Outcome of writing the applied record.  */
enum rollout_write_outcome
{
  ROLLOUT_WRITE_OK,
  ROLLOUT_WRITE_CONFLICT, /**< the record has changed since it was read */
  ROLLOUT_WRITE_NOT_DONE, /**< not written: unreachable or refused */
  ROLLOUT_WRITE_UNKNOWN   /**< the outcome is unknown */
};

/** Outcome of reading back whether the applied record was written.  */
enum rollout_read_outcome
{
  ROLLOUT_READ_OURS,      /**< this apply was committed */
  ROLLOUT_READ_OTHER,     /**< another apply committed this revision */
  ROLLOUT_READ_UNCHANGED, /**< no apply has committed this revision */
  ROLLOUT_READ_FAILED     /**< the key-value service did not answer */
};

struct rollout;

/** Creates a rollout of REVISION.  REGIONS names the regions that must have
    the file in force; BEHIND names those that the operator allows not to stage
    it before the commit.  Both are arrays of char * and are copied.  */
struct rollout *rollout_create (uint64_t revision, const GPtrArray *regions,
                                const GPtrArray *behind);

/** Destroys R, which may be NULL.  */
void rollout_destroy (struct rollout *r);

/** Creates an empty array of struct rollout_action that frees its
    elements.  */
GArray *rollout_actions_create (void);

/** Records whether VM of REGION is live.  Call for all live VMs before
    rollout_start, and on each change after it.  */
void rollout_set_member_live (struct rollout *r, const char *vm,
                              const char *region, bool live, GArray *out);
/** Starts staging the file on all live VMs.  */
void rollout_start (struct rollout *r, int64_t now_ms, GArray *out);
/** VM answered the staging request: OK if it stored the valid file, otherwise
    DETAIL is the reason.  */
void rollout_staged (struct rollout *r, const char *vm, bool ok,
                     const char *detail, int64_t now_ms, GArray *out);
/** The write of the applied record ended.  */
void rollout_written (struct rollout *r, enum rollout_write_outcome outcome,
                      int64_t now_ms, GArray *out);
/** The read after an uncertain write ended.  */
void rollout_read_back (struct rollout *r, enum rollout_read_outcome seen,
                        int64_t now_ms, GArray *out);
/** VM reported that it has REVISION in force.  */
void rollout_in_force (struct rollout *r, const char *vm, uint64_t revision,
                       int64_t now_ms, GArray *out);
/** Handles time-outs and repeats.  Call at least every 100 ms.  */
void rollout_tick (struct rollout *r, int64_t now_ms, GArray *out);

#endif
