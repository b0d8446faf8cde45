/** @file
    JSON responses and error responses of the HTTP API for callers and
    operators, and the key of a request.  */
#ifndef DAEMON_REPLY_H
#define DAEMON_REPLY_H

#include "generated/results.h"
#include "links/http_server.h"

#include <jansson.h>

/** Responds to R with STATUS and ROOT as the JSON body; takes ownership of
    ROOT.  */
void reply_json (struct http_request *r, int status, json_t *root);

/** Responds to R with RESULT, which is not RESULT_OK, and counts it in the
    metrics.  The HTTP status is that of RESULT; the JSON body holds the name
    and number of RESULT and TEXT, or the standard text of RESULT if TEXT is
    NULL.  If RETRY_AFTER_MS is not 0, Retry-After (seconds, rounded up) and
    Retry-After-Ms are set.  */
void reply_error (struct http_request *r, enum result result, const char *text,
                  uint64_t retry_after_ms);

/** Returns the SHA-256, in hex, of the Bearer key in the Authorization header
    of R, or NULL without such a header.  To be freed with g_free.  */
char *request_key_digest (const struct http_request *r);

#endif
