/** @file
    Records of applied files, which make up the audit trail.

    A record is a JSON object: revision, digest, bytes (size of the file),
    operator, time, file (its name), apply_id, previous (chain digest of the
    record before it; empty in the first) and chain, the record's own chain
    digest: SHA-256, in hex, over all the other fields but bytes.  Each chain
    digest covers the one before it, so that a changed record breaks the
    chain.  */
#ifndef BASE_APPLIED_RECORD_H
#define BASE_APPLIED_RECORD_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** Returns the revision of RECORD; 0 for NULL.  */
uint64_t applied_record_revision (const json_t *record);

/** Returns the string under KEY of any JSON object, not only of a record; an
    empty string if there is none.  */
const char *json_object_text (const json_t *object, const char *key);

/** Computes the chain digest of RECORD.  The calling code frees it.  */
char *applied_record_chain_digest (const json_t *record);

/** Decodes a record; NULL if it is malformed or its chain digest does not
    match its fields.  */
json_t *applied_record_decode (GBytes *bytes);

/** Encodes RECORD as compact JSON.  */
GBytes *applied_record_encode (const json_t *record);

/** Fields of a new record that describe the applied file.  */
struct applied_record_parts
{
  const char *digest; /**< SHA-256 of the file, 64 hexadecimal digits */
  size_t bytes;       /**< size of the file */
  const char *operator_name;
  const char *file_name;
  const char *apply_id;
};

/** Creates the record after PREVIOUS (NULL: the first record), with the time
    of the call.  */
json_t *applied_record_next (const json_t *previous,
                             const struct applied_record_parts *parts);

/** Checks HISTORY, an array of all records from revision 1 on: their digests,
    the sequence of revisions and the chain.  Returns NULL if it is intact,
    otherwise a description of the first fault, to be freed by the calling
    code.  */
char *applied_record_verify_history (const json_t *history);

#endif
