/** @file
    Site on the platform for process tests: a stand-in for the platform store,
    stand-ins for upstreams (the instances of one service, and engines),
    buckthornd processes (VMs) with routes-from=platform, and the routes in the
    store.  */
#ifndef TESTS_HARNESS_SITE_H
#define TESTS_HARNESS_SITE_H

#include "harness/proc.h"
#include "harness/web.h"

#include <jansson.h>

#define SITE_VMS_MAX 8
#define SITE_UPSTREAMS_MAX 12
#define SITE_HOST "site.example"
/** Latency objective of all routes, in milliseconds.  */
#define SITE_TARGET_MS 200

/** Prompt whose KV cache takes kv_fetch_ms, in tokens.  */
#define KV_FETCH_TOKENS 9000

/** A running site.  */
struct site
{
  char *bin; /**< directory of the programs */
  char *dir; /**< temporary directory of logs and settings files */
  unsigned n_vms;
  unsigned n_upstreams;
  char *store_address;
  const char *vm_store_addresses[SITE_VMS_MAX]; /**< store address that each VM
                                         uses, such as a relay's; owned by the
                                         test; NULL for store_address */
  struct proc *store;
  struct proc *upstreams[SITE_UPSTREAMS_MAX];
  char *upstream_addresses[SITE_UPSTREAMS_MAX]; /**< NULL if another instance
                                                   now has the address */
  char *upstream_configured_address[SITE_UPSTREAMS_MAX]; /**< address in each
                                                            entry */
  unsigned prefill_rates[SITE_UPSTREAMS_MAX]; /**< prefill rates of engines, in
                                                 tokens per ms */
  const char *stages[SITE_UPSTREAMS_MAX]; /**< "prefill" or "decode"; NULL if
                                             not an engine */
  unsigned upstream_starts[SITE_UPSTREAMS_MAX]; /**< starts of each instance;
                                                   its start time in its
                                                   entry */
  struct proc *vms[SITE_VMS_MAX];
  char *front_addresses[SITE_VMS_MAX]; /**< "IP:PORT" that serves routes */
  char *ready_addresses[SITE_VMS_MAX]; /**< "IP:PORT" of /api/ready */
  char *entry_addresses[SITE_VMS_MAX]; /**< "IP:PORT" of /api/resolve */
  uint16_t peer_ports[SITE_VMS_MAX];
  uint16_t metrics_ports[SITE_VMS_MAX];
  unsigned leave_s;           /**< longest time that a VM may take to stop */
  unsigned upstream_leave_ms; /**< time after which a draining instance gets
                                 no more requests */
  unsigned kv_fetch_ms;  /**< time in which an engine fetches the KV cache of
                            KV_FETCH_TOKENS tokens; 0: a few ms */
  unsigned timeout_ms;   /**< time-out of the routes except /stream/, /live/ */
  unsigned event_gap_ms; /**< target for gaps of the streams of engines; 0:
                            none, as at first; set before site_write_routes */
  unsigned retry_slack;  /**< retries per window that need no requests */
  unsigned max_body_bytes;    /**< longest body of a request */
  unsigned header_timeout_ms; /**< in which a request must arrive */
  unsigned memory_mb;         /**< setting memory-mb of the VMs */
  unsigned vm_connections;    /**< setting max-connections of the VMs */
  unsigned max_connections;   /**< to an instance of the service; a tenth of it
                                 to an engine */
  const char *crash_part; /**< instances end when they run a request with this
                             prompt part; NULL for none */
  const char *accounts;   /**< JSON of the accounts in the configuration; NULL
                             to leave them out */
  bool extra_is_public;   /**< the EXTRA route of site_write_routes needs no
                             key */
  unsigned slots;         /**< request slots in the entries of instances */
  bool quiet;             /**< VMs log warnings only */
};

/** Starts the store and UPSTREAMS instances "u0", "u1", ... of the service and
    writes their entries and version 1 of the routes.  BIN is the directory of
    the programs.  The VMs start with site_start.  */
struct site *site_create (const char *bin, unsigned vms, unsigned upstreams);

/** Starts one more instance, an engine of STAGE "prefill" or "decode", and
    writes its entry.  Its prefill rate is PREFILL_RATE tokens per
    millisecond, half of that for "decode".  */
void site_add_engine (struct site *s, const char *stage,
                      unsigned prefill_rate);

/** Starts one more instance of the service and writes its entry.  */
void site_add_instance (struct site *s);

/** Restarts instance I at the same address; kills its process first if it
    runs.  */
void site_restart_upstream (struct site *s, unsigned i);

/** Kills instance FROM and starts a new instance at its address, without an
    entry in the store.  Returns the number of the new instance.  */
unsigned site_reuse_address (struct site *s, unsigned from);

/** Kills all processes, removes the temporary directory and releases S.  */
void site_destroy (struct site *s);

/** Starts VM number I, counted from 0; kills its process first if it runs.  */
void site_start_vm (struct site *s, unsigned i);

/** Writes TEXT, lines of NAME=VALUE, to the settings file of VM number I,
    which reads it at start and after each change.  */
void site_write_settings (const struct site *s, unsigned i, const char *text);

/** Starts all VMs and waits until each is ready, lists the addresses of all
    and has a retry budget; fails the test after 15 s.  */
void site_start (struct site *s);

/** Instance I states the limit TEXT, requests a second, in its responses from
    now on; none if TEXT is NULL.  */
void site_set_limit (const struct site *s, unsigned i, const char *text);

/** Returns whether VM number I reports that it is ready.  */
bool site_is_ready (const struct site *s, unsigned i);

/** Returns the number of VM addresses in the response of VM number I to
    /api/resolve; 0 without a response.  */
unsigned site_listed_vms (const struct site *s, unsigned i);

/** Returns the time in seconds for which callers may cache the response of VM
    number I to /api/resolve ("ttlS"); -1 if it states none.  */
double site_listed_vms_ttl_s (const struct site *s, unsigned i);

/** Calls CHECK with ARG every 20 ms until it returns true; fails the test
    after TIMEOUT_MS.  */
void site_wait (bool (*check) (void *arg), void *arg, unsigned timeout_ms);

/** Writes version VERSION of the routes to the store.  Path prefixes: /safe/
    (idempotent), /once/ (not idempotent), /stream/ (resumable stream), /live/
    (stream that cannot be resumed), /model/ (resumable stream from engines),
    /model-live/ (the same, not resumable).
    EXTRA, NULL for none, names one more idempotent route, /EXTRA/.  */
void site_write_routes (const struct site *s, unsigned version,
                        const char *extra);

/** Writes the entry of instance I in the store with STATE, such as "ready" or
    "draining"; removes the entry if STATE is NULL.  */
void site_set_upstream_state (const struct site *s, unsigned i,
                              const char *state);

/** Writes VALUE under KEY in the store, unaffected by its faults.  */
void site_put (const struct site *s, const char *key, const char *value);

/** Sets faults "name=value&..." of the store.  */
void site_store_faults (const struct site *s, const char *faults);

/** Removes KEY from the store.  */
void site_store_remove (const struct site *s, const char *key);

/** Restores the store from a copy: the last UNDONE writes are lost, and the
   era rises.  */
void site_store_restore (const struct site *s, unsigned undone);

/** Drops the store's history of changes and ends the watches in progress.  */
void site_store_drop_history (const struct site *s);

/** Sends a request with the request ID to VM number I and returns without
    waiting for the response.  HEADERS, NULL for none, are complete lines, each
    with its CR LF.  */
struct web *site_send_request (const struct site *s, unsigned i,
                               const char *method, const char *path,
                               const char *id, const char *headers,
                               const char *body);

/** Sends a request without a body and waits up to 10 s for its response.  */
struct web *site_request (const struct site *s, unsigned i, const char *method,
                          const char *path, const char *id);

/** Returns how often instance UPSTREAM, or all of them for -1, ran the request
    ID.  */
unsigned site_runs (const struct site *s, int upstream, const char *id);

/** Returns the number of connections closed on instance I before it had sent
    the response.  */
unsigned site_disconnects (const struct site *s, unsigned i);

/** Returns the request line and header fields of the request ID as instance I
    received them, to be freed; NULL if it did not.  */
char *site_request_head (const struct site *s, unsigned i, const char *id);

/** Returns the value of the metric buckthorn_NAME of VM number I; -1 if it has
    none.  */
double site_metric (const struct site *s, unsigned i, const char *name);

/** Returns the log of VM number I, to be freed.  */
char *site_log (const struct site *s, unsigned i);

/** Returns the log of instance I, to be freed: a line for each request that it
    ran, each prefill and each role change order.  */
char *site_upstream_log (const struct site *s, unsigned i);

/** Returns the number of lines in the logs of COUNT instances from number
   FIRST on that start with TEXT.  */
unsigned site_count_upstream_lines (const struct site *s, unsigned first,
                                    unsigned count, const char *text);

#endif
