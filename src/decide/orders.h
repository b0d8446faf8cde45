/** @file
    Role and version orders to the engines of one region: which VM may send
    them, and which order each engine last received.

    One page in the key-value service stores the fencing token, the holder
    (the one process that may send orders) and every order that is not settled
    yet.  The holder records an order as intended by compare-and-swap, drains
    the engine, sends the order until the engine's own report shows it, and
    then records it as done.  A new holder raises the fencing token, resends
    each unfinished order under the new token, and only then issues different
    ones.

    An engine that ignores fencing tokens could still execute a delayed copy
    of an earlier order.  Such an engine gets a different order only once the
    earlier one is settled, that is, once no copy can arrive any more: for each
    sender, every copy was answered or failed before a byte left, or was sent
    before the engine's last start, or the sender is gone.  An operator can
    also release the order.  Until then the engine keeps its role.

    No I/O: functions take events and the time (monotonic milliseconds) and
    return actions for the calling code to execute.  */
#ifndef DECIDE_ORDERS_H
#define DECIDE_ORDERS_H

#include "generated/messages.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** State of an engine's last order.  */
enum order_state
{
  ORDER_NONE,
  ORDER_INTENDED, /**< recorded; may have been sent */
  ORDER_DONE,     /**< reported by the engine; copies of it may still arrive */
  ORDER_SETTLED   /**< reported by the engine; no copy can arrive any more */
};

/** Configured state of an engine.  */
struct order_target
{
  const char *engine;
  uint64_t role;       /**< enum engine_role */
  const char *version; /**< model version, or "" for whichever is loaded */
  bool checks_fencing; /**< the engine rejects lower fencing tokens */
  const char *release; /**< order id that an operator released, or "" */
  const char *group;   /**< engines that can replace each other */
};

/** State that an engine reports.  */
struct order_report
{
  const char *order_id; /**< last order that it executed, or "" */
  uint64_t role;        /**< enum engine_role */
  const char *version;
  bool changing;      /**< it is executing an order */
  int64_t started_ms; /**< earliest possible start, on this VM's clock */
};

/** Outcome of sending an order.  */
enum order_send_outcome
{
  ORDER_SEND_ANSWERED,
  ORDER_SEND_REJECTED, /**< the engine has seen a higher fencing token */
  ORDER_SEND_NOT_SENT, /**< failed before a byte left */
  ORDER_SEND_UNKNOWN   /**< no complete response; the order may still
                             arrive */
};

/** Action that the calling code must take.  */
enum orders_action_kind
{
  ORDERS_READ,    /**< read the page, then call orders_read_done */
  ORDERS_WRITE,   /**< write PAGE if its revision is still REVISION, then call
                       orders_write_done */
  ORDERS_DRAIN,   /**< drain ENGINE, then call orders_drained */
  ORDERS_UNDRAIN, /**< let ENGINE receive requests again */
  ORDERS_SEND,    /**< send the order, then call orders_send_done */
  ORDERS_QUERY_SENDER /**< ask SENDER's VM whether its sends to ENGINE have all
                           ended, then call orders_sender_answered */
};

/** One action.  Fields that KIND does not use are zero.  */
struct orders_action
{
  enum orders_action_kind kind;
  int64_t revision;
  GBytes *page;
  char *engine;
  char *order_id;
  char *version;
  char *sender;
  uint64_t role;
  uint64_t fencing;
};

/** Outcome of writing the page.  */
enum orders_write_outcome
{
  ORDERS_WRITE_OK,
  ORDERS_WRITE_CONFLICT, /**< the page has another revision */
  ORDERS_WRITE_NOT_DONE, /**< not written: unreachable or refused */
  ORDERS_WRITE_UNKNOWN   /**< the outcome is unknown */
};

struct orders;

/** Creates the order state of one region for the process SELF, written as
    "VM:INCARNATION".  */
struct orders *orders_create (const char *self);

/** Destroys O, which may be NULL.  */
void orders_destroy (struct orders *o);

/** Creates an empty array of struct orders_action that frees its elements.  */
GArray *orders_actions_create (void);

/* Which process may send orders.  */

/** Sets whether the member table elects this VM as the region's holder.  */
void orders_set_elected (struct orders *o, bool elected);
/** Whether this process is the holder, by the last page that it read or
    wrote.  */
bool orders_is_holder (const struct orders *o);
/** Handles a question from a VM whose fencing token is FENCING: a token
    above the page's makes this process step down as holder.  Returns whether
    it is not the holder and no copy that it sent to ENGINE can arrive any
    more.  */
bool orders_handle_sender_query (struct orders *o, const char *engine,
                                 uint64_t fencing);
/** SENDER answered that it sends no more orders to ENGINE; CLEAN is the result
    of orders_handle_sender_query there.  */
void orders_sender_answered (struct orders *o, const char *engine,
                             const char *sender, bool clean, int64_t now_ms);
/** SENDER's process ended longer ago than any of its sends can take.  */
void orders_sender_ended (struct orders *o, const char *sender);

/* Configured and reported state of the engines.  */

/** Sets the configured state of an engine; TARGET is copied.  */
void orders_set_target (struct orders *o, const struct order_target *target);
/** Stops issuing new orders to engines whose target was not set since the last
    call.  */
void orders_drop_unset_targets (struct orders *o);
/** Limits the orders that load another version to N at once, at least 1.
    Independently, at most a quarter of a group, or one engine of a small
    group, has an unfinished order at once.  */
void orders_set_loads_at_once (struct orders *o, unsigned n);
/** ENGINE reported its state.  */
void orders_report (struct orders *o, const char *engine,
                    const struct order_report *report);
/** Whether ENGINE has reported its state since this process started.  */
bool orders_has_report (const struct orders *o, const char *engine);
/** ENGINE is drained: it runs no requests and receives no new ones.  */
void orders_drained (struct orders *o, const char *engine);
/** A send to ENGINE ended with OUTCOME; its connection was closed at
    CLOSED_MS.  */
void orders_send_done (struct orders *o, const char *engine,
                       enum order_send_outcome outcome, int64_t closed_ms);

/* Page I/O and the clock.  */

/** A read of the page ended.  If OK, PAGE is its value at REVISION, or NULL if
    there is none yet.  If not OK, or if PAGE does not decode, the state does
    not change.  */
void orders_read_done (struct orders *o, bool ok, int64_t revision,
                       GBytes *page);
/** A write of the page ended; on ORDERS_WRITE_OK the page is at REVISION.  */
void orders_write_done (struct orders *o, enum orders_write_outcome outcome,
                        int64_t revision);
/** Appends all actions that are due to OUT.  Call after each event and every
    100 ms.  */
void orders_tick (struct orders *o, int64_t now_ms, GArray *out);

/** Number of orders that are intended but not done.  */
unsigned orders_unfinished_count (const struct orders *o);
/** State of ENGINE's order for operators: "none", "intended", "draining",
    "sent" or "unsettled".  */
const char *orders_state_name (const struct orders *o, const char *engine);
/** ENGINE's unsettled order as the page stores it, or NULL.  */
const struct order_entry *orders_entry (const struct orders *o,
                                        const char *engine);

#endif
