/** @file
    Usage of client accounts: how many requests of each account began to run in
    each window of time, at this VM and, as far as they have reported it, at
    the others.  Window K begins K window lengths after the Unix epoch, in the
    time of decide/fleet_clock.

    Each VM sends its counts, which are cumulative within a window, to the VMs
    that may report them.  A receiver keeps the highest count of each account
    for each start of each VM, so that messages may be lost, repeated, split
    and reordered.  No I/O.  */
#ifndef DECIDE_USAGE_H
#define DECIDE_USAGE_H

#include "generated/messages.h"

#include <glib.h>
#include <stdint.h>

/** Size of the counts in one message, so that a datagram stays under 1,200
    bytes.  */
#define USAGE_MESSAGE_BYTES 900

/** Count of one account.  */
struct usage_total
{
  const char *account;
  uint64_t count;
};

struct usage;

/** Creates the counts of VM, which started at STARTED_MS of its wall clock, in
    windows of WINDOW_MS.  */
struct usage *usage_create (const char *vm, uint64_t started_ms,
                            int64_t window_ms);

/** Releases U, which may be NULL.  */
void usage_destroy (struct usage *u);

/** Number of the window at TIME_MS of the fleet.  */
uint64_t usage_window (const struct usage *u, int64_t time_ms);

/** Counts a request of ACCOUNT that began to run at this VM's upstreams at
    TIME_MS of the fleet.  */
void usage_count (struct usage *u, const char *account, int64_t time_ms);

/** Merges the counts of another VM.  */
void usage_merge (struct usage *u, const struct usage_counts *message);

/** Calls SEND with each message that holds this VM's own counts in WINDOW.  */
void usage_each_message (const struct usage *u, uint64_t window,
                         void (*send) (void *arg,
                                       const struct usage_counts *message),
                         void *arg);

/** Counts of all VMs in WINDOW as struct usage_total, ordered by account;
    valid until the next change of U.  */
GArray *usage_totals (const struct usage *u, uint64_t window);

/** Forgets the windows before FIRST, and those far after it.  To be called
    before usage_merge: only windows from FIRST on are merged.  */
void usage_forget (struct usage *u, uint64_t first);

#endif
