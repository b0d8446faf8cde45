/** @file
    Configuration file in force on this VM: stages files, puts committed ones
    in force, passes them to other VMs, and never goes back to an older
    revision.

    Each applied file has a record (base/applied_record.h) with its revision
    and digest.  A commit writes the record of the file to
    CONF_KEY_APPLIED_RECORD.  */
#ifndef DAEMON_CONF_H
#define DAEMON_CONF_H

#include "daemon/catalog.h"
#include "daemon/context.h"

#include <jansson.h>

/** Keys in the key-value service: the record of the file in force; prefix of
    the records of all applied files; prefix of the files' contents.  */
#define CONF_KEY_APPLIED_RECORD "/buckthorn/head"
#define CONF_KEY_HISTORY "/buckthorn/history/"
#define CONF_KEY_BLOB "/buckthorn/blob/"

/** Callbacks of a configuration.  */
struct conf_callbacks
{
  /** Called after a new file was put in force.  */
  void (*on_file_changed) (void *arg);
  /** Returns the milliseconds since the last datagram from another VM; -1 if
      there was none yet.  */
  int64_t (*silence_ms) (void *arg);
};

/** Creates a configuration without a file; reads the current record from the
    key-value service, puts its file in force and keeps it up to date.
    CALLBACKS is kept, not copied.  */
struct conf *conf_create (const struct context *ctx,
                          const struct conf_callbacks *callbacks, void *arg);

/** Releases C; it may be NULL.  */
void conf_destroy (struct conf *c);

/* File in force.  */

/** Revision in force; 0 for none.  */
uint64_t conf_revision (const struct conf *c);
/** File in force, or NULL.  */
const struct file *conf_file (const struct conf *c);
/** Look-ups into the file in force, or NULL.  */
const struct catalog *conf_catalog (const struct conf *c);
/** Text of the file in force, or NULL.  */
GBytes *conf_text (const struct conf *c);
/** Record of the file in force, or NULL.  */
const json_t *conf_applied_record (const struct conf *c);
/** Whether a newer file may be in force elsewhere without this VM knowing: it
    has lately neither read the record nor heard from another VM.  */
bool conf_may_be_behind (const struct conf *c);

/* Updates from other VMs.  */

/** Handles a report of member VM that it has REVISION in force: requests the
    file from it if REVISION is newer.  */
void conf_hint_revision (struct conf *c, const char *vm, uint64_t revision);
/** Handles a frame from VM that stages, commits, requests or carries a file;
    replies to PEER, its connection.  */
void conf_handle_frame (struct conf *c, peer_handle peer, const char *vm,
                        const struct frame *frame);

/* Functions for the applies of this VM (daemon/apply.h).  */

/** Parses a file.  Returns NULL and fills PROBLEMS if it is invalid.  */
struct file *conf_parse (GBytes *text, GArray *problems);
/** Returns the SHA-256 of a file in hex; the caller frees it.  */
char *conf_digest (GBytes *text);
/** Keeps a file ready to be put in force.  Takes ownership of FILE, its parsed
    form.  At most APPLY_STAGED_MAX files are kept; the oldest one is
    dropped.  */
void conf_stage (struct conf *c, const char *digest, GBytes *text,
                 struct file *file);
/** Puts a file in force.  Returns false if its record is malformed or no newer
    than the file in force, if TEXT doesn't match the record's digest, or if
    TEXT can't be parsed.  */
bool conf_install (struct conf *c, GBytes *record_bytes, GBytes *text);

#endif
