/** @file
    Helpers of the process tests, demos and soaks.  */
#ifndef TESTS_PROCESS_COMMON_H
#define TESTS_PROCESS_COMMON_H

#include "harness/fleet.h"

/** Directory of buckthornd and the stand-ins: the parent of the directory that
    holds the test program.  */
const char *program_directory (void);

/** Derives program_directory () from ARGV0, the path of the test program; call
    this first in main.  */
void program_directory_init (const char *argv0);

/** Requests a stream of TOKENS tokens through VM number VM; fails the test
    unless the response is complete and its text is what an engine generated
    for it.  */
void check_stream (const struct fleet *f, unsigned vm, unsigned tokens);

/** Whether an engine generated exactly TEXT for the stream to which the event
    id EVENT_ID, "STREAM:NUMBER", belongs.  */
bool engine_text_matches (const struct fleet *f, const char *event_id,
                          const char *text);

/** Sends a booking with the idempotency key KEY through VM number VM.  Returns
    the HTTP status, or 0 if the response was incomplete, and stores the
    response body, to be freed, in BODY unless that is NULL.  */
int request_booking (const struct fleet *f, unsigned vm, const char *key,
                     char **body);

/** Number of times that the service has run the booking KEY.  */
unsigned service_runs (const struct fleet *f, const char *key);

/** Number of requests that engine number ENGINE has started to run.  */
unsigned engine_runs (const struct fleet *f, unsigned engine);

/** Writes TEXT to the file NAME in the fleet's directory; returns its path, to
    be freed.  */
char *fleet_write_file (const struct fleet *f, const char *name,
                        const char *text);

/** Revision of the configuration file in force at VM number VM; 0 if the VM
    reports none.  */
unsigned vm_revision (const struct fleet *f, unsigned vm);

/** Waits up to TIMEOUT_MS until VM number VM has REVISION or a later one in
    force; returns whether it has.  */
bool wait_revision (const struct fleet *f, unsigned vm, unsigned revision,
                    unsigned timeout_ms);

#endif
