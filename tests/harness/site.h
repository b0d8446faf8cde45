/** @file
    A small site on the platform for tests: its store, instances of one
   service, VMs, and the routes that the operator wrote.  */
#ifndef TESTS_HARNESS_SITE_H
#define TESTS_HARNESS_SITE_H

#include "harness/proc.h"
#include "harness/web.h"

#include <jansson.h>

#define SITE_VMS_MAX 8
#define SITE_UPSTREAMS_MAX 12
#define SITE_HOST "site.example"
/** Latency objective of all routes.  */
#define SITE_TARGET_MS 200

/** A running site.  */
struct site
{
  char *bin;
  char *dir;
  unsigned n_vms;
  unsigned n_upstreams;
  char *store_address;
  const char
      *vm_store_addresses[SITE_VMS_MAX]; /**< where each VM looks for it; NULL
                                    for the store itself, else the caller's */
  struct proc *store;
  struct proc *upstreams[SITE_UPSTREAMS_MAX];
  char *upstream_addresses[SITE_UPSTREAMS_MAX]; /**< NULL once given away */
  char *
      upstream_configured_address[SITE_UPSTREAMS_MAX]; /**< in their entries */
  unsigned prefill_rates[SITE_UPSTREAMS_MAX];          /**< of engines */
  const char *stages[SITE_UPSTREAMS_MAX]; /**< of engines; NULL for others */
  struct proc *vms[SITE_VMS_MAX];
  char *fronts[SITE_VMS_MAX];
  char *ready_addresses[SITE_VMS_MAX];
  char *entries[SITE_VMS_MAX];
  uint16_t peer_ports[SITE_VMS_MAX];
  uint16_t metrics_ports[SITE_VMS_MAX];
  unsigned leave_s;           /**< time that a stop may take */
  unsigned upstream_leave_ms; /**< within which one that leaves gets no more */
  unsigned slots;             /**< that instances say they have */
  bool quiet;                 /**< VMs log warnings only */
};

/** Starts the store and UPSTREAMS instances "u0", ..., writes their entries
   and routes of version 1.  BIN holds the programs.  */
struct site *site_create (const char *bin, unsigned vms, unsigned upstreams);

/** Starts one more instance, an engine of STAGE "prefill" or "decode" that
    reads SPEED tokens in a millisecond, and writes its entry.  */
void site_add_engine (struct site *s, const char *stage, unsigned speed);

/** Starts instance I anew at its address, after its end.  */
void site_restart_upstream (struct site *s, unsigned i);

/** Kills instance FROM and starts one more instance at its address, for which
    it writes no entry.  Returns its number.  */
unsigned site_reuse_address (struct site *s, unsigned from);

/** Ends all processes and releases S.  */
void site_destroy (struct site *s);

/** Starts VM number I, again or for the first time.  */
void site_start_vm (struct site *s, unsigned i);

/** Writes TEXT, lines of NAME=VALUE, as the settings file of VM number I,
   which it finds when it starts and when it changes.  */
void site_write_settings (const struct site *s, unsigned i, const char *text);

/** Starts all VMs and waits until each is ready and names all.  */
void site_start (struct site *s);

/** Whether VM number I says that it is ready.  */
bool site_is_ready (const struct site *s, unsigned i);

/** Number of addresses that VM number I names; 0 where it names none.  */
unsigned site_listed_vms (const struct site *s, unsigned i);

/** Seconds for which VM number I lets callers keep its answer; -1 where it
    names no addresses.  */
double site_listed_vms_ttl_s (const struct site *s, unsigned i);

/** Waits until CHECK holds for ARG; fails the test after TIMEOUT_MS.  */
void site_wait (bool (*check) (void *arg), void *arg, unsigned timeout_ms);

/** Writes routes of VERSION.  Each has a path prefix of its kind: /safe/,
    /once/, /stream/ (can be resumed), /live/ (cannot), /model/ (to engines,
   can be resumed); EXTRA, NULL for none, is one more idempotent prefix.  */
void site_write_routes (const struct site *s, unsigned version,
                        const char *extra);

/** Writes the entry of instance I with STATE, or removes it where STATE is
    NULL.  */
void site_set_upstream_state (const struct site *s, unsigned i,
                              const char *state);

/** Writes VALUE under KEY as the operator does.  */
void site_put (const struct site *s, const char *key, const char *value);

/** Sets faults of the store.  */
void site_store_faults (const struct site *s, const char *faults);

/** Drops the store's history.  */
void site_store_drop_history (const struct site *s);

/** Sends a request with ID to VM number I; HEADERS, NULL for none, are whole
    lines.  */
struct web *site_send_request (const struct site *s, unsigned i,
                               const char *method, const char *path,
                               const char *id, const char *headers,
                               const char *body);

/** The same, read to its end.  */
struct web *site_request (const struct site *s, unsigned i, const char *method,
                          const char *path, const char *id);

/** How often all instances ran the request ID; UPSTREAM -1 for all.  */
unsigned site_runs (const struct site *s, int upstream, const char *id);

/** Callers that left instance I before their answer.  */
unsigned site_disconnects (const struct site *s, unsigned i);

/** Head of the request ID as instance I got it, to be freed; NULL for none. */
char *site_request_head (const struct site *s, unsigned i, const char *id);

/** Log of VM number I, to be freed.  */
char *site_log (const struct site *s, unsigned i);

/** What instance I has told of its runs and readings, to be freed.  */
char *site_upstream_log (const struct site *s, unsigned i);

#endif
