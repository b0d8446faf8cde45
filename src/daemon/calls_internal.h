/** @file
    Internal to calls.c and calls_dispatch.c: the state of a call on its entry
    VM and on the VM that sends it to the service.  */
#ifndef DAEMON_CALLS_INTERNAL_H
#define DAEMON_CALLS_INTERNAL_H

#include "daemon/conf.h"
#include "daemon/context.h"
#include "decide/journal.h"
#include "links/http_client.h"
#include "links/http_server.h"
#include "links/trace.h"

/** State of a call on its entry VM, which received it from the caller.  */
struct entry_call
{
  struct calls *calls;
  uint64_t id;
  struct http_request *request; /* NULL once the caller has disconnected */
  struct call_open open;
  peer_handle peer; /* connection to the journal writer; 0: this VM is it */
  int64_t start_us;
  int64_t deadline_ms;
  struct span span;
};

/** State of a call on the VM that sends it to the service: the writer of its
    journal slot, or the entry VM if the call is idempotent.  */
struct dispatched_call
{
  struct calls *calls;
  uint64_t ticket;
  peer_handle peer; /* connection to the entry VM; 0: this VM is it */
  struct call_open open;
  unsigned slot;
  bool journaled;
  bool end_sent; /* call_end was sent to the entry VM */
  unsigned addresses_tried;
  unsigned first_address;
  struct http_call *http;
  int64_t start_us;
  int64_t unknown_after_ms; /* monotonic time after which a sent call without
                               a response is reported as unknown */
  struct span span;
};

/** All calls that this VM handles.  */
struct calls
{
  const struct context *ctx;
  struct conf *conf;
  GHashTable *entry;      /* id -> struct entry_call */
  GHashTable *dispatched; /* ticket -> struct dispatched_call */
  struct journal *journal;
  uint64_t next_id;
  uint64_t next_ticket;
  struct event *timer;
  unsigned next_address;
};

/** Deep copy of FROM; release TO with record_clear.  */
void call_open_copy (struct call_open *to, const struct call_open *from);
/** Key under which the journal stores CALLER's idempotency key KEY: a SHA-256
    digest in hex.  To be freed.  */
char *call_journal_key (const char *caller, const char *key);

/* On the entry VM (calls.c).  */

/** Replies to the caller of the call that ended with M.  M is ignored unless
    the call is open and was last sent to PEER.  */
void calls_entry_finish (struct calls *calls, peer_handle peer,
                         const struct call_end *m);

/* On the VM that sends the call (calls_dispatch.c).  */

/** Releases P, a struct dispatched_call, and cancels its HTTP request.  */
void calls_dispatch_free (void *p);
/** Adds a call received from PEER, 0 for this VM, to the table.  */
struct dispatched_call *calls_dispatch_create (struct calls *c,
                                               peer_handle peer,
                                               const struct call_open *m);
/** Claims the idempotency key of a call from PEER in the journal, or looks it
    up if M only queries the key.  TAKEN_OVER: another VM was to do so and does
    not answer.  */
void calls_dispatch_journaled (struct calls *c, peer_handle peer,
                               const struct call_open *m, bool taken_over);
/** Sends a call to the next address of its service.  The service must be in
    the file in force.  */
void calls_dispatch_send (struct dispatched_call *o);
/** Runs the actions that the journal returned.  */
void calls_dispatch_run_actions (struct calls *c, GArray *actions);
/** Reports journaled calls without a response within the time-out of their
    service as unknown to the journal; a late response is still recorded.  */
void calls_dispatch_expire (struct calls *c);

#endif
