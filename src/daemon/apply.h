/** @file
    Applies a configuration file on behalf of an operator, on the VM that
    received the request: stages the file on all VMs, commits its record in the
    key-value service, notifies the VMs, and reports the result.  */
#ifndef DAEMON_APPLY_H
#define DAEMON_APPLY_H

#include "daemon/context.h"
#include "daemon/conf.h"

struct applies;

/** An operator's request to apply a file.  */
struct apply_request
{
  const char *operator_name;
  const char *file_name;      /**< for the history only; no file is opened */
  GBytes *text;               /**< contents of the file */
  uint64_t expected_revision; /**< revision that must be in force; 0: any */
  const GPtrArray *allowed_behind; /**< regions (char *) that the commit
                                doesn't wait for; NULL: none */
};

/** Called with the result of an apply.  TEXT explains it to the operator;
    REVISION is 0 unless the file was committed.  */
typedef void apply_done (void *arg, enum result result, const char *text,
                         uint64_t revision);

/** Creates the applies of this VM; at most one runs at a time.  */
struct applies *applies_create (const struct context *ctx, struct conf *conf);

/** Releases APPLIES, which may be NULL.  The callback of a running apply isn't
    called.  */
void applies_destroy (struct applies *applies);

/** Applies a file that was parsed without errors.  Copies REQUEST.  Calls DONE
    once: at once with RESULT_CONFLICT while another apply runs, else when the
    apply ended.  */
void applies_start (struct applies *applies,
                    const struct apply_request *request, apply_done *done,
                    void *arg);

/** Handles a frame from VM: the result of staging (conf_staged), or the
    revision that VM has in force (conf_in_force).  */
void applies_handle_frame (struct applies *applies, const char *vm,
                           const struct frame *frame);

/** Handles the loss of the connection to VM.  */
void applies_peer_closed (struct applies *applies, const char *vm);

#endif
