/** @file
    Small deployment for the scripts of the review: the project's stand-ins of
    the platform store and of runners, and buckthornd processes that are
    started as deploy/system.toml says, with a settings file made from
    deploy/buckthornd.conf.  All addresses are loopback addresses.  */
#ifndef REVIEW_RIG2_H
#define REVIEW_RIG2_H

#include "harness/proc.h"
#include "harness/web.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define RIG_VMS_MAX 9
#define RIG_HOST "site.example"

/** Exit statuses of a script.  */
#define RIG_HELD 0
#define RIG_BROKEN 1
#define RIG_NOT_RUN 2

/** One buckthornd process and its addresses.  */
struct rig_vm
{
  char name[16];
  struct proc *proc;
  char *settings_path;
  char *front;
  char *ready;
};

/** A deployment.  */
struct rig
{
  char *dir; /**< temporary folder of logs and settings files */
  bool trouble;
  struct proc *store;
  char *store_address;
  struct rig_vm vms[RIG_VMS_MAX];
  unsigned n_vms;
};

/** Starts the store.  CASE_DIR gets record.txt.  The disruption is left out if
    TROUBLE=0 is set in the environment.  */
struct rig *rig_create (const char *case_dir);

/** Ends all processes, removes the temporary folder and returns STATUS.  */
int rig_finish (struct rig *r, int status);

/** Appends a line to record.txt, with the time since the start; may be called
    by any thread.  */
void rig_record (const char *format, ...) G_GNUC_PRINTF (1, 2);

/** Starts one more runner of the project, named ID.  Returns its address.  */
char *rig_start_runner (struct rig *r, const char *id, struct proc **proc);

/** Writes VALUE under KEY in the store, as the operator, a runner or another
    writer does.  */
void rig_put (const struct rig *r, const char *key, const char *value);

/** Sets the faults "name=value&..." of the store.  */
void rig_store_faults (const struct rig *r, const char *faults);

/** Writes the complete entry of the runner ID, as its heartbeat does.  */
void rig_beat (const struct rig *r, const char *id, const char *service,
               const char *address, unsigned slots, const char *state,
               unsigned seq);

/** Returns one route for rig_write_config.  */
json_t *rig_route (const char *name, const char *service, const char *kind,
                   unsigned timeout_ms, unsigned max_attempts);

/** Writes version VERSION of the configuration.  Takes ROUTES over.  SERVICES
    are names, ended by NULL.  */
void rig_write_config (const struct rig *r, unsigned version, json_t *routes,
                       const char *const *services);

/** Starts COUNT buckthornd processes and waits until all are ready.  Returns
    false if they are not within 15 s.  */
bool rig_start_vms (struct rig *r, unsigned count);

/** Starts the process of VM number I again after its end.  */
void rig_restart_vm (struct rig *r, unsigned i);

/** Whether VM number I reports that it is ready.  */
bool rig_is_ready (const struct rig *r, unsigned i);

/** Sends a request with the id ID to VM number I and reads its response.
    Returns the connection.  */
struct web *rig_request (const struct rig *r, unsigned i, const char *method,
                         const char *path, const char *id,
                         unsigned deadline_ms, const char *body);

/** Returns the ids of the requests that the runner at ADDRESS has run, with
    the number of runs of each; to be released with json_decref.  */
json_t *rig_runs (const char *address);

#endif
