/** @file
    State of the engines at this VM: admission queues, polling of the engines,
    and load digests exchanged with the other home VMs of the region.  */
#ifndef DAEMON_ENGINES_H
#define DAEMON_ENGINES_H

#include "daemon/context.h"
#include "daemon/conf.h"
#include "decide/queue.h"

struct engines;

/** An engine whose home VM is this VM, or for which this VM has received
    requests or orders.  */
struct tracked_engine
{
  char *id;
  char *address;
  struct queue *queue;
  bool home_here;
  bool unresponsive; /**< no report for ENGINE_UNRESPONSIVE_MS after a poll */
  bool draining;     /**< takes no new requests; an order to it follows */
  uint64_t drain_fencing; /**< highest fencing token of a drain seen */
  uint64_t role; /**< enum engine_role; the file's until one is reported */
  bool polling;  /**< a poll is in flight */
  int64_t last_report_ms; /**< monotonic time of the last report, 0: none */
  int64_t last_poll_ms;   /**< monotonic time of the last poll */
  /** Monotonic time of the first poll after the last report; 0 for none.  */
  int64_t unanswered_since_ms;
};

/** Callbacks of the component.  */
struct engines_callbacks
{
  /** Returns the demand counted at this VM as entry VM; release it with
      g_bytes_unref.  */
  GBytes *(*get_demand) (void *arg);
  /** Handles the demand counted at VM; VM may be this one.  */
  void (*handle_demand) (void *arg, const char *vm, GBytes *demand);
  /** Sends a load digest to member TO.  */
  void (*send_digest) (void *arg, const struct member *to,
                       const struct load_digest *digest);
};

/** Creates the component; CALLBACKS are called with ARG.  */
struct engines *engines_create (const struct context *ctx, struct conf *conf,
                                const struct engines_callbacks *callbacks,
                                void *arg);

/** Releases E.  */
void engines_destroy (struct engines *e);

/** The engine named ID; its state is created if there is none yet.  NULL if
    the file in force has no such engine.  */
struct tracked_engine *engines_get (struct engines *e, const char *id);

/** All engines that have state at this VM.  The list is to be freed, its
    elements are not.  */
GList *engines_list (struct engines *e);

/** Updates the load, role and usability of ENGINE in the router.  */
void engines_update_router (struct engines *e, struct tracked_engine *engine);

/** Polls engines and sends load digests when due; call every 100 ms.  */
void engines_tick (struct engines *e);

/** Handles the load digest of another home VM; ignored if the sender has
    another revision of the file in force.  */
void engines_handle_digest (struct engines *e, const struct load_digest *m);

/** Updates all engines for a new file in force.  */
void engines_file_changed (struct engines *e);

/** Stops or resumes new requests to ENGINE.  Ignored if FENCING is lower
    than in an earlier call, or the file in force has no such engine.  */
void engines_set_draining (struct engines *e, const char *engine,
                           bool draining, uint64_t fencing);

/** Number of requests that run at ENGINE or wait for it through this VM.  */
unsigned engines_open_requests (const struct engines *e, const char *engine);

/** Milliseconds since ENGINE last reported to this VM; -1 for never.  */
int64_t engines_report_age_ms (const struct engines *e, const char *engine);

#endif
