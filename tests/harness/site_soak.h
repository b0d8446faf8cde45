/** @file
    The soak of a small site (tests/process/soak_site.c): what its callers, its
    faults and its checks share.

    Faults come in series from several threads and overlap: VMs and instances
    are killed, frozen, stopped and started; relays before VMs, instances and
    the store delay, cut, hold one way or both, and forget; the store fails;
    routes change; instances leave and come back.  */
#ifndef TESTS_HARNESS_SITE_SOAK_H
#define TESTS_HARNESS_SITE_SOAK_H

#include "harness/relay.h"
#include "harness/site.h"
#include "harness/soak.h"

#define VMS 4
#define SERVICES 3
#define ENGINES 3
#define UPSTREAMS (SERVICES + ENGINES)
#define MS_US 1000

/** Something that faults befall.  */
struct subject
{
  unsigned active_faults;   /**< faults that it is under */
  gint64 last_fault_end_us; /**< end of the last one */
};

/** One request, as its caller saw it.  */
struct record
{
  bool once;
  bool plain; /**< nothing odd was asked of an instance */
  bool calm;  /* all that it needed was calm from before until its end */
  bool whole;
  int status;
};

/** An instance was told to leave, and was back later.  */
struct leaving
{
  unsigned upstream;
  gint64 from_us; /**< when it must have got its last request */
  gint64 to_us;
};

/** A run: the site, the relays in it, and what is known of it.  */
struct soak
{
  struct site *site;
  unsigned seed;
  gint64 start_us;
  gint stop;     /* no more faults */
  gint finished; /**< threads that started processes may end */
  GMutex lock;
  GMutex vm_locks[VMS];
  GMutex upstream_locks[UPSTREAMS];
  GMutex routes_lock;
  struct subject vms[VMS];
  struct subject upstreams[UPSTREAMS];
  struct subject store;
  struct relay *to_store[VMS];
  struct relay *to_upstream[UPSTREAMS];
  struct relay *to_vm[VMS];
  GHashTable *records;   /**< request id -> struct record */
  GArray *drain_periods; /* struct leaving */
  unsigned version;      /* of the routes */
  gint requests, answered, refused, unknown, faults, violations;
};

/** A thread that asks as callers do, or injects faults.  */
struct worker
{
  struct soak *soak;
  GRand *rand;
  unsigned number;
  unsigned sent;
};

/** Waits from LEAST to MOST milliseconds, by chance.  */
void soak_sleep_ms (GRand *rand, unsigned least, unsigned most);

/* What is calm.  */

/** A fault befalls X.  */
void soak_fault_begin (struct soak *s, struct subject *x);
/** A fault of X ends.  */
void soak_fault_end (struct soak *s, struct subject *x);
/** Whether X has been calm since long before FROM_US.  */
bool soak_is_healthy (const struct subject *x, gint64 from_us);
/** Whether VM and all instances have been calm since long before FROM_US.  */
bool soak_path_is_healthy (struct soak *s, unsigned vm, gint64 from_us);
/** Whether VM, if it is below VMS, else all, and the store have been.  */
bool soak_store_is_healthy (struct soak *s, unsigned vm, gint64 from_us);

/* Callers.  */

/** Asks until the run stops; ARG is struct worker.  */
gpointer soak_run_caller (gpointer arg);
/** Whether STATUS says that the request was refused as not run.  */
bool soak_is_refusal (int status);
/** Remembers what the caller of the request ID saw.  */
void soak_add_record (struct soak *s, const char *id, const struct record *r);

/* Faults.  */

/** Injects faults until the run stops; ARG is struct worker.  */
gpointer soak_run_injector (gpointer arg);
/** VM has ended; its end by itself is a violation.  */
void soak_check_unexpected_exit (struct soak *s, unsigned vm);

#endif
