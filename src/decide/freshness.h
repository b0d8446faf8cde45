/** @file
    Freshness of a copy of data that a service keeps: up to which time all
    changes are known, and when the service is to be asked again.  No I/O, no
    clock.

    Many VMs follow the same data with long polls.  A poll that was lost brings
    no change and no error until its time is over, so each VM rests on
    confirmations: answers to its own polls, and those that other VMs report.
    A VM without a recent confirmation asks at once, whatever the others do. */
#ifndef DECIDE_FRESHNESS_H
#define DECIDE_FRESHNESS_H

#include <glib.h>
#include <stdint.h>

/** Longest time without a confirmation before a check, in percent of the
    recovery time.  The rest is for a check that is lost and its retry, and for
    the grace period of entries that are found missing.  */
#define FRESHNESS_CHECK_MAX_PERCENT 55

struct freshness;

/** Creates the freshness of a copy that was not read yet, for one VM.
    RECOVERY_MS: see freshness_set_recovery_ms.  SEED is for random times.  */
struct freshness *freshness_create (unsigned recovery_ms, guint32 seed);

/** Destroys F, which may be NULL.  */
void freshness_destroy (struct freshness *f);

/** Sets the time after a disruption of the service within which the copy must
    be up to date again, in milliseconds.  The copy is checked when
    FRESHNESS_CHECK_MAX_PERCENT of it have passed without a confirmation, at
   the latest.  */
void freshness_set_recovery_ms (struct freshness *f, unsigned recovery_ms);

/** Sets the number of VMs that follow the data, this one included.  */
void freshness_set_vm_count (struct freshness *f, unsigned vms);

/** All changes up to AT_MS are known.  Earlier times than before have no
    effect.  */
void freshness_confirm (struct freshness *f, int64_t at_ms);

/** Returns the time up to which all changes are known; INT64_MIN for none.  */
int64_t freshness_confirmed_ms (const struct freshness *f);

/** Returns the time at which the service is to be asked, unless there is a
    confirmation before; INT64_MIN before the first one.  */
int64_t freshness_check_ms (const struct freshness *f);

/** Returns a random time for which the next long poll may be held open, in
    milliseconds.  It grows with the number of VMs, as each answer serves all
    of them.  */
unsigned freshness_poll_ms (struct freshness *f);

#endif
