/** @file
    Request ids of the form NONCE.ENGINE.MAC.  The id names the engine that
    runs the request, and the MAC proves which caller it was issued to, so any
    VM of the fleet can resume the stream without stored state.  NONCE and MAC
    are 16 hex digits each.  */
#ifndef DAEMON_REQUEST_ID_H
#define DAEMON_REQUEST_ID_H

#include <stdbool.h>
#include <stdint.h>

/** Returns a new id for a request of CALLER at ENGINE, to be freed with
    g_free.  Ends the process if the system has no random bytes.  */
char *request_id_make (const char *fleet_key, const char *caller,
                       const char *engine);

/** Whether ID is well-formed and was issued to CALLER.  Sets ENGINE, to be
    freed with g_free, only if it returns true.  */
bool request_id_check (const char *fleet_key, const char *caller,
                       const char *id, char **engine);

/** Splits an event id "REQUEST_ID:COUNT".  COUNT, at most 2^32 - 1, is the
    number of events up to and including this one.  Returns false if the id
    is malformed; else REQUEST_ID is to be freed with g_free.  */
bool event_id_parse (const char *event_id, char **request_id, uint64_t *count);

#endif
