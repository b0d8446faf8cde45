/** @file
    Quarantine of prompt parts that end each upstream that runs them: which
    requests are refused, and when one of them is tried again.

    A part is convicted by the evidence of crashes (decide/crash_evidence).
    Requests with it are refused until a canary is due: one request that is
    sent all the same.  If that is answered, the part is released; if its
    upstream crashes, the next canary is due after twice the time.

    VMs exchange their entries.  An entry is replaced by one of a later round,
    and within a round a release wins, so late and repeated messages change
    nothing.  Answers the load that one part takes from all callers: each of
    its requests costs an upstream and all that it runs.  No I/O; times are of
    one monotonic clock in ms.  */
#ifndef DECIDE_QUARANTINE_H
#define DECIDE_QUARANTINE_H

#include "decide/crash_evidence.h"
#include "decide/prefix_index.h"

#include <stdbool.h>
#include <stdint.h>

/** Default time from a conviction to its first canary.  */
#define QUARANTINE_CANARY_MS (2 * 60 * 1000)

/** What is to be done with a request.  */
enum quarantine_verdict
{
  QUARANTINE_PASS,   /**< no part of it is convicted */
  QUARANTINE_REFUSE, /**< it must reach no upstream */
  QUARANTINE_CANARY  /**< send it to one upstream, once */
};

/** A part that is or was convicted.  */
struct quarantine_entry
{
  uint64_t part;
  uint64_t round;       /**< counts the convictions of the part, from 1 */
  bool released;        /**< the conviction of this round has ended */
  unsigned crashes;     /**< that convicted it */
  int64_t convicted_ms; /**< when it was convicted */
  int64_t canary_ms;    /**< when the next canary is due */
  int64_t interval_ms;  /**< from one canary to the next */
};

struct quarantine;

/** Creates an object without entries.  */
struct quarantine *quarantine_create (void);
/** Frees Q, which may be NULL.  */
void quarantine_destroy (struct quarantine *q);

/** Sets the time from a conviction to its first canary, for later ones.  */
void quarantine_set_canary_ms (struct quarantine *q, int64_t ms);

/** The evidence that convicts parts; owned by Q.  */
struct crash_evidence *quarantine_evidence (struct quarantine *q);

/* What this VM sees.  */

/** The connection of a request with PROMPT to the upstream ID, which was
    started at STARTED_MS on the wall clock, broke off.  */
void quarantine_record_lost (struct quarantine *q, const char *id,
                             int64_t started_ms, const struct prompt *prompt,
                             int64_t now_ms);
/** A request with PROMPT was answered in full.  */
void quarantine_record_answer (struct quarantine *q,
                               const struct prompt *prompt, int64_t now_ms);

/* Decisions.  */

/** Decides on a request with PROMPT.  MAY_TRY: this VM may send a canary for
    the part, one VM of the fleet at a time.  Sets WAIT_MS to the time until
    the next canary if the request is refused.  */
enum quarantine_verdict
quarantine_check (struct quarantine *q, const struct prompt *prompt,
                  bool (*may_try) (void *arg, uint64_t part), void *arg,
                  int64_t now_ms, unsigned *wait_ms);
/** Whether a part of PROMPT is convicted.  */
bool quarantine_blocks (const struct quarantine *q,
                        const struct prompt *prompt);
/** Whether a part of PROMPT was in flight at several crashes and not answered
    since, so that a retry may end one more upstream.  */
bool quarantine_suspects (const struct quarantine *q,
                          const struct prompt *prompt);
/** Convicts the parts that the evidence tells; to be called several times a
    second.  */
void quarantine_tick (struct quarantine *q, int64_t now_ms);

/* Entries and answers exchanged between VMs.  */

/** Merges an entry of another VM.  A conviction by few crashes ends at once if
    this VM has seen the part answered.  Returns whether Q's entry changed.  */
bool quarantine_merge (struct quarantine *q,
                       const struct quarantine_entry *entry, int64_t now_ms);
/** Merges that another VM has seen a request with PART answered at AT_MS.  */
void quarantine_merge_answer (struct quarantine *q, uint64_t part,
                              int64_t at_ms);
/** Fills OUT with an entry that this VM has changed since the last call for
    it; returns false if there is none.  */
bool quarantine_next_unsent (struct quarantine *q,
                             struct quarantine_entry *out);
/** Fills OUT with up to MAX entries, others at each call; returns their
    number.  */
unsigned quarantine_next (struct quarantine *q, struct quarantine_entry *out,
                          unsigned max);
/** Takes a part whose answer, seen by this VM, has cleared evidence; returns
    false if there is none.  */
bool quarantine_next_answer (struct quarantine *q, uint64_t *part,
                             int64_t *at_ms);

/** Number of entries, released ones included.  */
unsigned quarantine_entries (const struct quarantine *q);
/** Number of convicted parts.  */
unsigned quarantine_count (const struct quarantine *q);
/** Calls VISIT for each convicted part.  */
void quarantine_foreach (const struct quarantine *q,
                         void (*visit) (void *arg,
                                        const struct quarantine_entry *entry),
                         void *arg);

#endif
