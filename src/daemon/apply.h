/** @file
    An operator's apply at the VM that was asked: stages, commits, tells, and
    answers.  */
#ifndef DAEMON_APPLY_H
#define DAEMON_APPLY_H

#include "daemon/context.h"
#include "daemon/conf.h"

struct applies;

/** What an operator applies.  */
struct apply_order
{
  const char *operator_name;
  const char *file_name;
  GBytes *text;
  uint64_t expect;         /**< revision that must be in force, 0 for any */
  const GPtrArray *behind; /**< regions that may stay behind */
};

/** Reports how an apply ended; REVISION is 0 unless it was committed.  */
typedef void apply_done (void *arg, enum result result, const char *text,
                         uint64_t revision);

/** Makes the part.  */
struct applies *applies_create (const struct context *ctx, struct conf *conf);

/** Releases A; an apply that runs ends without a report.  */
void applies_destroy (struct applies *a);

/** Applies a file that has been checked.  DONE runs once.  */
void applies_start (struct applies *a, const struct apply_order *order,
                    apply_done *done, void *arg);

/** VM staged a file, or says what it has in force.  */
void applies_take_frame (struct applies *a, const char *vm,
                         const struct frame *frame);

/** The connection to VM is gone.  */
void applies_peer_gone (struct applies *a, const char *vm);

#endif
