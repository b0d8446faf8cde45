/** @file
    What this VM knows of engines: their queues, their reports, and the loads
    that home VMs tell each other.  */
#ifndef DAEMON_ENGINES_H
#define DAEMON_ENGINES_H

#include "daemon/context.h"
#include "daemon/conf.h"
#include "decide/queue.h"

struct engines;

/** An engine that this VM is home of, or was asked for as such.  */
struct home_engine
{
  char *id;
  char *address;
  struct queue *queue;
  bool home_here;
  bool silent;   /**< it did not answer for ENGINE_SILENT_MS */
  bool draining; /**< an order is to come */
  uint64_t drain_fencing;
  uint64_t role; /**< as the engine itself says */
  bool polling;
  int64_t polled_ms;      /**< when its last report came */
  int64_t asked_ms;       /**< when it was last asked */
  int64_t first_asked_ms; /**< since the last report */
};

/** What engines ask and report.  */
struct engines_events
{
  /** Demand that this VM has seen as entry VM; to be released.  */
  GBytes *(*own_demand) (void *arg);
  /** Demand that VM has seen.  */
  void (*take_demand) (void *arg, const char *vm, GBytes *demand);
  /** Sends a digest of loads to TO.  */
  void (*send_digest) (void *arg, const struct member *to,
                       const struct load_digest *digest);
};

/** Makes the part.  */
struct engines *engines_create (const struct context *ctx, struct conf *conf,
                                const struct engines_events *events,
                                void *arg);

/** Releases E.  */
void engines_destroy (struct engines *e);

/** The engine named ID, or NULL where the file in force has none.  */
struct home_engine *engines_get (struct engines *e, const char *id);

/** All engines that this VM has had to do with, to be freed as a list.  */
GList *engines_all (struct engines *e);

/** Tells the router what this VM knows of ENGINE.  */
void engines_told (struct engines *e, struct home_engine *engine);

/** Polls engines and tells of their loads; call each 100 ms.  */
void engines_tick (struct engines *e);

/** Another home VM tells of its engines.  */
void engines_take_digest (struct engines *e, const struct load_digest *m);

/** A new file is in force.  */
void engines_file_changed (struct engines *e);

/** Takes no new work for ENGINE, or takes it again; told again with a lower
    FENCING number than before, does nothing.  */
void engines_set_draining (struct engines *e, const char *engine,
                           bool draining, uint64_t fencing);

/** Requests at ENGINE and waiting for it, as this VM knows.  */
unsigned engines_open (const struct engines *e, const char *engine);

/** Milliseconds since ENGINE's own report, as this VM knows; -1 for none.  */
int64_t engines_report_age_ms (const struct engines *e, const char *engine);

#endif
