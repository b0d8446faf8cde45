/** @file
    Calls to plain services, on the entry VM and on the writer of their journal
    slot; for the files of this part only.  */
#ifndef DAEMON_CALLS_TABLE_H
#define DAEMON_CALLS_TABLE_H

#include "daemon/conf.h"
#include "daemon/context.h"
#include "decide/journal.h"
#include "links/http_client.h"
#include "links/http_server.h"
#include "links/trace.h"

/** A call as its entry VM sees it.  */
struct entry_call
{
  struct calls *calls;
  uint64_t id;
  struct http_request *request; /* NULL once the caller went away */
  struct call_open open;
  peer_handle peer; /* connection to the writer, 0 for this VM */
  int64_t start_us;
  int64_t deadline_ms;
  struct span span;
};

/** A call as the writer of its journal slot sees it, or an idempotent one.  */
struct owned_call
{
  struct calls *calls;
  uint64_t ticket;
  peer_handle peer; /* of the entry VM, 0 for this VM */
  struct call_open open;
  unsigned slot;
  bool journaled;
  bool told; /* the entry VM has its answer */
  unsigned addresses_tried;
  unsigned first_address;
  struct http_call *http;
  int64_t start_us;
  int64_t give_up_ms; /* when a sent call counts as lost */
  struct span span;
};

/** The part.  */
struct calls
{
  const struct context *ctx;
  struct conf *conf;
  GHashTable *entry; /* id -> struct entry_call */
  GHashTable *owned; /* ticket -> struct owned_call */
  struct journal *journal;
  uint64_t next_id;
  uint64_t next_ticket;
  struct event *timer;
  unsigned next_address;
};

/** Copies FROM.  */
void call_open_copy (struct call_open *to, const struct call_open *from);
/** Name of CALLER's KEY in the journal; to be freed.  */
char *call_key_digest (const char *caller, const char *key);

/* The entry's side (calls.c).  */

/** The call that PEER was given ended with M.  */
void calls_entry_end (struct calls *calls, peer_handle peer,
                      const struct call_end *m);

/* The writer's side (calls_owned.c).  */

/** Releases P, a struct owned_call.  */
void calls_owned_free (void *p);
/** Makes a call that came from PEER, 0 for this VM.  */
struct owned_call *calls_owned_create (struct calls *c, peer_handle peer,
                                       const struct call_open *m);
/** Takes a call from PEER into the journal.  */
void calls_owned_open (struct calls *c, peer_handle peer,
                       const struct call_open *m);
/** Sends a call to its service.  */
void calls_owned_send (struct owned_call *o);
/** Carries out what the journal asks for.  */
void calls_owned_run (struct calls *c, GArray *actions);
/** Calls that their service has not answered in time count as lost.  */
void calls_owned_tick (struct calls *c);

#endif
