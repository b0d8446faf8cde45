/** @file
    Evidence that a prompt part ends the upstreams that run it: which parts
   were in flight at each upstream that has crashed, and which of them have
   been answered since.

    A crash breaks off every request at its upstream, so most parts in its list
    are innocent.  A part that is answered in full leaves the lists of all
    earlier crashes.  A part that stays in the lists of several crashes, while
    no other part explains them, is a culprit.

    A broken connection alone is no crash: it counts as one once the upstream
    refuses connections or its entry is removed or replaced.  Evidence of
    several VMs is merged; the order, number and delay of reports do not
    matter.  Bounded tables, no I/O; times are of one monotonic clock in ms. */
#ifndef DECIDE_CRASH_EVIDENCE_H
#define DECIDE_CRASH_EVIDENCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Crashes that make a part a culprit that was not answered before them.  */
#define CRASH_EVIDENCE_CULPRIT 3
/** The same if another part was in flight at all of these crashes, too, as one
    of the two may be innocent; and for a part that was answered before.  */
#define CRASH_EVIDENCE_CULPRIT_TIED 5
/** Most parts kept of one crash.  */
#define CRASH_EVIDENCE_PARTS_MAX 256

/** One crash and the parts that were in flight there.  */
struct crash_report
{
  const char *upstream; /**< id of the instance */
  int64_t started_ms;   /**< its start time on the wall clock, which tells
                             restarts under one id apart; 0 if unknown */
  int64_t at_ms;        /**< when the first connection broke */
  const uint64_t *parts;
  unsigned n_parts;
};

/** A part and the crashes that it explains.  */
struct crash_culprit
{
  uint64_t part;
  unsigned crashes;
};

struct crash_evidence;

/** Creates an empty table.  */
struct crash_evidence *crash_evidence_create (void);
/** Frees E, which may be NULL.  */
void crash_evidence_destroy (struct crash_evidence *e);

/* What this VM sees.  */

/** Connections to the upstream of LOST broke off at LOST->at_ms, with requests
    that have these parts.  */
void crash_evidence_record_lost (struct crash_evidence *e,
                                 const struct crash_report *lost);
/** UPSTREAM has responded to a request sent at SENT_MS.  */
void crash_evidence_record_response (struct crash_evidence *e,
                                     const char *upstream, int64_t sent_ms);
/** UPSTREAM has refused a connection.  */
void crash_evidence_record_refused (struct crash_evidence *e,
                                    const char *upstream, int64_t now_ms);
/** The entry of UPSTREAM, which was not leaving, was removed, or replaced by
    one with a later start.  */
void crash_evidence_record_gone (struct crash_evidence *e,
                                 const char *upstream, int64_t now_ms);

/* Evidence exchanged between VMs.  */

/** Adds a crash that another VM has seen.  */
void crash_evidence_merge (struct crash_evidence *e,
                           const struct crash_report *report, int64_t now_ms);
/** A request with PART was answered in full at AT_MS, by this or another VM.
    Returns whether PART was in the list of a crash before that.  */
bool crash_evidence_clear (struct crash_evidence *e, uint64_t part,
                           int64_t at_ms);
/** Fills OUT with a crash that this VM has seen and that has changed since the
    last call for it; returns false if there is none.  OUT is valid until the
    next change of E.  */
bool crash_evidence_next_unsent (struct crash_evidence *e,
                                 struct crash_report *out);
/** Fills OUT with one of the crashes that nothing explains yet, another one at
    each call; returns false if there is none.  */
bool crash_evidence_next (struct crash_evidence *e, struct crash_report *out);

/* Decisions.  */

/** Whether PART is in the list of a crash or of broken connections that may
    be one.  */
bool crash_evidence_lists (const struct crash_evidence *e, uint64_t part);
/** Whether an answer to a request with PART is remembered, before or after a
    crash.  */
bool crash_evidence_was_answered (const struct crash_evidence *e,
                                  uint64_t part);
/** Number of crashes whose list has PART.  */
unsigned crash_evidence_count (const struct crash_evidence *e, uint64_t part);
/** Finds a culprit.  The crashes that it explains no longer count for other
    parts.  Returns false if there is none.  */
bool crash_evidence_find_culprit (struct crash_evidence *e, int64_t now_ms,
                                  struct crash_culprit *out);
/** PART is a known culprit: it explains the crashes whose list has it.  */
void crash_evidence_explain (struct crash_evidence *e, uint64_t part);
/** Drops what is too old to count.  */
void crash_evidence_tick (struct crash_evidence *e, int64_t now_ms);
/** Numbers of crashes known, explained and not.  */
void crash_evidence_totals (const struct crash_evidence *e,
                            uint64_t *explained, unsigned *unexplained);

#endif
