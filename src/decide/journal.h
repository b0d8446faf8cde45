/** @file
    Idempotency journal: a non-idempotent call runs at most once.

    Idempotency keys hash to slots.  A slot is stored as one page, a value in
    the key-value service, with an entry for each key.  Before a call is sent,
    its claim must be stored in the page, written by compare-and-swap on the
    page's revision.  Safety depends on that alone, not on which VM writes the
    slot, on leases or on clocks.  Claims that arrive while a write is in
    flight share the next write.

    The module does no I/O: it takes events and the time, and returns actions.
    Times are of the wall clock, in milliseconds, because claims outlive the
    process that made them.  */
#ifndef DECIDE_JOURNAL_H
#define DECIDE_JOURNAL_H

#include "generated/messages.h"
#include "generated/results.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** State of an entry in a page.  */
enum journal_state
{
  JOURNAL_CLAIMED, /**< the call may be running, or its VM has died since */
  JOURNAL_DONE,    /**< the call ran; its response is stored */
  JOURNAL_UNKNOWN, /**< the call was sent; no complete response came */
  JOURNAL_DONE_TOO_LARGE /**< the call ran; its response was too large to
                              store */
};

/** Action that the calling code must take.  */
enum journal_action_kind
{
  JOURNAL_READ,  /**< read the page of SLOT, then call journal_read_done */
  JOURNAL_WRITE, /**< write PAGE if the stored page is at REVISION (0: none is
                      stored), then call journal_write_done */
  JOURNAL_SEND,  /**< the claim is stored: send the call of TICKET, then
                      call journal_finish */
  JOURNAL_ANSWER /**< answer the call of TICKET with RESULT */
};

/** An action; the fields that KIND does not use are 0.  */
struct journal_action
{
  enum journal_action_kind kind;
  unsigned slot;
  int64_t revision;
  GBytes *page;
  uint64_t ticket;
  enum result result;
  uint64_t retry_after_ms; /**< 0: none to be sent */
  bool replayed;           /**< the response is that of an earlier run */
  uint64_t status;         /**< HTTP status of the response */
  char *content_type;
  GBytes *body; /**< NULL for none */
};

/** A call to be run at most once.  */
struct journal_call
{
  uint64_t ticket; /**< id of the call, unique in the process */
  const char *key; /**< digest of the caller and the idempotency key */
  const char *request_digest; /**< digest of the request */
  int64_t deadline_ms;        /**< the call is not sent after this time */
  bool ask_only; /**< do not run the call, only report its outcome */
  /** The VM that was to run the call does not answer, and may have run it.  If
      it has claimed the key, its outcome is awaited: until the deadline while
      its process is live, and JOURNAL_AWAIT_MS in any case.  */
  bool taken_over;
};

/** Outcome of a call for which JOURNAL_SEND was returned.  */
struct journal_outcome
{
  enum journal_outcome_kind
  {
    JOURNAL_OUTCOME_ANSWERED, /**< a complete response came */
    JOURNAL_OUTCOME_NOT_SENT, /**< certainly did not reach the upstream */
    JOURNAL_OUTCOME_UNKNOWN   /**< no complete response; it may have run */
  } kind;
  uint64_t status;
  const char *content_type;
  GBytes *body;
};

struct journal;

/** Whether CLAIMER, the "VM:INCARNATION" of a process that made a claim, is
    still live.  */
typedef bool journal_live_fn (void *arg, const char *claimer);

/** Creates a journal for this process, whose name is CLAIMER,
    "VM:INCARNATION".  LIVE is called with ARG.  */
struct journal *journal_create (const char *claimer, journal_live_fn *live,
                                void *arg);

/** Releases J.  */
void journal_destroy (struct journal *j);

/** Creates an empty list of actions, of struct journal_action.  */
GArray *journal_actions_create (void);

/** Sets how long an entry is kept after its claim, and the number of pages
    that this VM may write in a second; 0 counts as 1.  */
void journal_configure (struct journal *j, int64_t retention_ms,
                        unsigned writes_per_s);

/** Adds CALL, which has arrived at this VM as the writer of SLOT.  The actions
    that follow are appended to OUT, as in the functions below.  */
void journal_claim (struct journal *j, unsigned slot,
                    const struct journal_call *call, int64_t now_ms,
                    GArray *out);
/** Reports the end of a JOURNAL_READ.  OK: the read succeeded; PAGE is NULL if
    none is stored.  */
void journal_read_done (struct journal *j, unsigned slot, bool ok,
                        int64_t revision, GBytes *page, int64_t now_ms,
                        GArray *out);
/** Reports a JOURNAL_READ to which no reply came in time.  The read is
   repeated for JOURNAL_KV_SILENCE_MS, then handled as failed.  */
void journal_read_unanswered (struct journal *j, unsigned slot, int64_t now_ms,
                              GArray *out);

/** Outcome of a write.  */
enum journal_write_outcome
{
  JOURNAL_WRITE_OK,
  JOURNAL_WRITE_CONFLICT, /**< the stored page was at another revision */
  JOURNAL_WRITE_NOT_DONE, /**< it was not applied and never will be */
  JOURNAL_WRITE_UNKNOWN   /**< it may have been applied, or may be later */
};
/** Reports the end of a JOURNAL_WRITE.  REVISION is the new revision of the
    page after JOURNAL_WRITE_OK and ignored otherwise.  */
void journal_write_done (struct journal *j, unsigned slot,
                         enum journal_write_outcome outcome, int64_t revision,
                         int64_t now_ms, GArray *out);
/** Reports the outcome of the call of TICKET after JOURNAL_SEND.  After
    JOURNAL_OUTCOME_UNKNOWN it may be called once more, with a late
    response.  */
void journal_finish (struct journal *j, unsigned slot, uint64_t ticket,
                     const struct journal_outcome *outcome, int64_t now_ms,
                     GArray *out);
/** Runs the timers: deadlines, delayed writes and the limit of writes.  To be
    called at least every 20 ms while journal_busy.  */
void journal_tick (struct journal *j, int64_t now_ms, GArray *out);
/** Whether calls wait for a read or a write, or outcomes are still to be
    stored.  */
bool journal_busy (const struct journal *j);

/** Number of JOURNAL_WRITE actions returned so far.  */
uint64_t journal_writes (const struct journal *j);

#endif
