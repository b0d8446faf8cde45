/** @file
    Contents of the messages about the quarantine of prompt parts.  Times are
    sent as ages, so that VMs need not agree on a clock.  */
#ifndef DAEMON_QUARANTINE_MESSAGES_H
#define DAEMON_QUARANTINE_MESSAGES_H

#include "decide/crash_evidence.h"
#include "decide/quarantine.h"
#include "generated/messages.h"

/** Sets M to an empty message of VM about SERVICE, to be released with
    record_clear.  */
void quarantine_message_init (struct quarantine_report *m, const char *vm,
                              const char *service);
/** Whether M tells nothing.  */
bool quarantine_message_is_empty (const struct quarantine_report *m);
/** Returns the time since AT_MS; 0 if that lies after NOW.  */
uint64_t quarantine_message_age_ms (int64_t at_ms, int64_t now);
/** Adds a crash to M.  */
void quarantine_message_add_crash (struct quarantine_report *m,
                                   const struct crash_report *r, int64_t now);
/** Adds an entry of the quarantine to M.  */
void quarantine_message_add_state (struct quarantine_report *m,
                                   const struct quarantine_entry *e,
                                   int64_t now);
/** Reads the part ids packed in BYTES into PARTS, of CRASH_EVIDENCE_PARTS_MAX,
    and returns their number.  */
unsigned quarantine_message_parts (GBytes *bytes, uint64_t *parts);

#endif
