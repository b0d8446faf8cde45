/** @file
    A small fleet for tests: stand-ins of the platform and of upstreams, VMs in
    regions, and an example file that names them all.  */
#ifndef TESTS_HARNESS_FLEET_H
#define TESTS_HARNESS_FLEET_H

#include "harness/proc.h"
#include "harness/web.h"

#include <jansson.h>

#define FLEET_VMS_MAX 80
#define FLEET_ENGINES_MAX 16
#define FLEET_CALLER_KEY "caller-key-for-tests"
#define FLEET_OPERATOR_KEY "operator-key-for-tests"
#define FLEET_MODEL "taster"

/** What to start.  */
struct fleet_shape
{
  unsigned vms;
  unsigned regions;
  unsigned domains_per_region;
  unsigned engines;
  unsigned token_ms;
  unsigned prefill_rate; /**< tokens a second */
  unsigned change_ms;    /**< time of a role change */
  unsigned service_timeout_ms;
  unsigned deadline_ms;    /**< of the caller, for the first token */
  unsigned requests_per_s; /**< of the caller, 0 for none */
  bool quiet;              /**< VMs log warnings only */
  bool fronts;             /**< VMs serve routes, each at its front */
};

/** A running fleet.  */
struct fleet
{
  struct fleet_shape shape;
  char *bin;
  char *dir; /**< logs, keys, files */
  struct proc *kv;
  struct proc *vm_list;
  struct proc *service;
  struct proc *engines[FLEET_ENGINES_MAX];
  struct proc *vms[FLEET_VMS_MAX];
  char *kv_address;
  char *vm_list_address;
  char *service_address;
  char *engine_addresses[FLEET_ENGINES_MAX];
  char *http_addresses[FLEET_VMS_MAX];
  char *peer_addresses[FLEET_VMS_MAX];
  char *fronts[FLEET_VMS_MAX]; /**< for callers of routes, or NULL */
  char *extra_services_yaml;   /**< lines in the file's services, or NULL */
  /* Where the VMs and the file look for these; relays may stand before them.
   */
  char *kv_configured_address;
  char *service_configured_address;
  char *engine_configured_address[FLEET_ENGINES_MAX];
};

/** Shape of the demo: 3 VMs, 2 regions, 3 engines.  */
struct fleet_shape fleet_shape_small (void);

/** Starts the stand-ins.  BIN holds the programs.  */
struct fleet *fleet_create (const char *bin, const struct fleet_shape *shape);

/** Ends all processes and releases F.  */
void fleet_destroy (struct fleet *f);

/** Starts VM number I, again or for the first time.  */
void fleet_start_vm (struct fleet *f, unsigned i);

/** Starts all VMs and waits until each sees all.  */
void fleet_start (struct fleet *f);

/** Name of VM number I.  */
char *fleet_vm_name (unsigned i);

/** Region of VM number I.  */
char *fleet_vm_region (const struct fleet *f, unsigned i);

/** The example file; PATCH, NULL for none, stands at its end.  To be freed. */
char *fleet_config_file (const struct fleet *f, const char *extra);

/** Runs buckthornctl with ARGS (NULL-terminated) at VM number I; returns its
    exit code and, where OUT is not NULL, its standard output.  */
int fleet_ctl (const struct fleet *f, unsigned vm, char **out, ...)
    __attribute__ ((sentinel));

/** Applies the example file through VM number 0; fails the test otherwise. */
void fleet_apply (const struct fleet *f);

/** Sets faults of a stand-in: "name=value&...".  */
void fleet_fault (const char *address, const char *faults);

/** What a stand-in has seen.  */
json_t *fleet_fake_state (const char *address);

/** Waits up to TIMEOUT_MS until CHECK holds; returns whether it did.  */
bool fleet_wait (bool (*check) (void *arg), void *arg, unsigned timeout_ms);

/** Value of a metric of VM number I, without the prefix; -1 for none.  */
double fleet_metric (const struct fleet *f, unsigned i, const char *name);

/** A chat request's body.  */
char *fleet_chat_body (const char *prompt, unsigned tokens, bool stream);

#endif
