/** @file
    Contents of the messages about the quarantine of prompt parts.  Times are
    sent as ages, so that VMs need not agree on a clock.  */
#ifndef DAEMON_QUARANTINE_MESSAGES_H
#define DAEMON_QUARANTINE_MESSAGES_H

#include "decide/crash_evidence.h"
#include "decide/quarantine.h"
#include "generated/messages.h"

/** Most parts of a crash, answers and entries in one message, so that it fits
    into a datagram.  */
#define QUARANTINE_MESSAGE_PARTS_MAX 64
#define QUARANTINE_MESSAGE_ANSWERS_MAX 8
#define QUARANTINE_MESSAGE_STATES_MAX 4

/** Sets M to an empty message of VM about SERVICE, to be released with
    record_clear.  */
void quarantine_message_init (struct quarantine_report *m, const char *vm,
                              const char *service);
/** Whether M tells nothing.  */
bool quarantine_message_is_empty (const struct quarantine_report *m);
/** Returns the time of something that was sent AGE_MS after it; ages over a
   week count as a week.  */
int64_t quarantine_message_time (uint64_t age_ms, int64_t now);
/** Returns a duration from a message, at most a week.  */
int64_t quarantine_message_duration (uint64_t ms);
/** Adds a crash to M, with its parts from number FIRST on, as many as fit.  */
void quarantine_message_add_crash (struct quarantine_report *m,
                                   const struct crash_report *r,
                                   unsigned first, int64_t now);
/** Adds to M that a request with PART was answered at AT_MS.  */
void quarantine_message_add_answer (struct quarantine_report *m, uint64_t part,
                                    int64_t at_ms, int64_t now);
/** Adds an entry of the quarantine to M.  */
void quarantine_message_add_state (struct quarantine_report *m,
                                   const struct quarantine_entry *e,
                                   int64_t now);
/** Reads the part ids packed in BYTES, which may be NULL, into PARTS, of
    CRASH_EVIDENCE_PARTS_MAX, and returns their number.  */
unsigned quarantine_message_parts (GBytes *bytes, uint64_t *parts);

#endif
