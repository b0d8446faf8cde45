/** @file
    Fleet for process tests: buckthornd processes (VMs) in several regions,
    stand-ins for the key-value service, the VM list, the model engines and one
    plain service, and a configuration file that lists the upstreams.  */
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

/** Size and settings of a fleet.  */
struct fleet_shape
{
  unsigned vms;
  unsigned regions;
  unsigned domains_per_region;
  unsigned engines;
  unsigned token_ms;     /**< time in which an engine decodes a token */
  unsigned prefill_rate; /**< of each engine, in tokens per second */
  unsigned change_ms;    /**< duration of an engine's role change */
  unsigned service_timeout_ms;
  unsigned deadline_ms; /**< longest wait of the caller for the first token */
  unsigned requests_per_s; /**< rate limit of the caller, 0 for none */
  bool quiet;              /**< VMs log warnings only and write no traces */
  bool serve_routes;       /**< each VM serves routes at a front address */
};

/** A running fleet.  */
struct fleet
{
  struct fleet_shape shape;
  char *bin; /**< directory of the programs */
  char *dir; /**< temporary directory of logs, keys and configuration
                  files */
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
  char *front_addresses[FLEET_VMS_MAX]; /**< "IP:PORT" that serves routes, or
                                           NULL */
  char *extra_services_yaml; /**< YAML lines added to "services", or NULL */
  /* Addresses that the VMs and the configuration file use.  A test may replace
     one by the address of a relay before it starts the VMs.  */
  char *kv_configured_address;
  char *service_configured_address;
  char *engine_configured_address[FLEET_ENGINES_MAX];
};

/** Returns the shape of a small fleet: 3 VMs, 2 regions, 3 engines.  */
struct fleet_shape fleet_shape_small (void);

/** Starts the stand-ins and reserves the ports of the VMs.  BIN is the
    directory of the programs.  */
struct fleet *fleet_create (const char *bin, const struct fleet_shape *shape);

/** Kills all processes, removes the temporary directory (kept if the
    environment variable BUCKTHORN_TEST_KEEP is set) and releases F.  */
void fleet_destroy (struct fleet *f);

/** Starts VM number I, counted from 0; kills its process first if it runs.  */
void fleet_start_vm (struct fleet *f, unsigned i);

/** Starts all VMs and waits until each counts all of them as live; fails the
    test after 20 s.  */
void fleet_start (struct fleet *f);

/** Returns the name of VM number I, to be freed.  */
char *fleet_vm_name (unsigned i);

/** Returns the region of VM number I, to be freed.  */
char *fleet_vm_region (const struct fleet *f, unsigned i);

/** Returns the text of the configuration file, to be freed.  EXTRA, NULL for
    none, is appended.  */
char *fleet_config_file (const struct fleet *f, const char *extra);

/** Runs buckthornctl against VM number VM with the arguments after OUT, ended
    by NULL.  Returns its exit code, -1 if it did not start or was killed, and
    in OUT, unless NULL, its standard output and error, to be freed.  */
int fleet_ctl (const struct fleet *f, unsigned vm, char **out, ...)
    __attribute__ ((sentinel));

/** Applies the configuration file through VM number 0; fails the test unless
    buckthornctl succeeds.  */
void fleet_apply (const struct fleet *f);

/** Sets faults "name=value&..." of the stand-in at ADDRESS.  */
void fleet_fault (const char *address, const char *faults);

/** Returns the record (GET /seen) of the stand-in at ADDRESS, to be released
    with json_decref; NULL if it did not respond.  */
json_t *fleet_fake_state (const char *address);

/** Calls CHECK with ARG every 20 ms until it returns true; returns false after
    TIMEOUT_MS.  */
bool fleet_wait (bool (*check) (void *arg), void *arg, unsigned timeout_ms);

/** Returns the value of the metric buckthorn_NAME of VM number I; -1 if it is
    missing.  */
double fleet_metric (const struct fleet *f, unsigned i, const char *name);

/** Returns the JSON body of a chat completion request, to be freed.  */
char *fleet_chat_body (const char *prompt, unsigned tokens, bool stream);

#endif
