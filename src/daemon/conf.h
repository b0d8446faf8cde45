/** @file
    The file in force: staging, commit, spreading, and never stepping back.  */
#ifndef DAEMON_CONF_H
#define DAEMON_CONF_H

#include "daemon/catalog.h"
#include "daemon/context.h"

#include <jansson.h>

/** Keys in the key-value service.  */
#define CONF_KEY_HEAD "/buckthorn/head"
#define CONF_KEY_HISTORY "/buckthorn/history/"
#define CONF_KEY_BLOB "/buckthorn/blob/"

/** What a configuration asks and reports.  */
struct conf_events
{
  /** A new file is in force.  */
  void (*on_file_changed) (void *arg);
  /** Milliseconds since any other VM was heard; -1 for never.  */
  int64_t (*silence_ms) (void *arg);
};

/** Makes the part; reads the head and follows it.  */
struct conf *conf_create (const struct context *ctx,
                          const struct conf_events *events, void *arg);

/** Releases C.  */
void conf_destroy (struct conf *c);

/* What is in force.  */

/** Revision in force; 0 for none.  */
uint64_t conf_revision (const struct conf *c);
/** File in force, or NULL.  */
const struct file *conf_file (const struct conf *c);
/** Look-ups into the file in force, or NULL.  */
const struct catalog *conf_catalog (const struct conf *c);
/** Text of the file in force, or NULL.  */
GBytes *conf_text (const struct conf *c);
/** Head of the file in force, or NULL.  */
const json_t *conf_head (const struct conf *c);
/** Whether this VM knows that a newer file may be in force elsewhere.  */
bool conf_may_be_behind (const struct conf *c);

/* Following.  */

/** Member VM says that it has REVISION in force, which is newer.  */
void conf_hint (struct conf *c, const char *vm, uint64_t revision);
/** A frame about configuration came.  */
void conf_take_frame (struct conf *c, peer_handle peer, const char *vm,
                      const struct frame *frame);
/* For the applies of this VM (daemon/apply.h).  */

/** Parses a file; NULL with PROBLEMS filled where it does not hold.  */
struct file *conf_parse (GBytes *text, GArray *problems);
/** SHA-256 of a file, in hex.  To be freed.  */
char *conf_digest (GBytes *text);
/** Holds a file ready; takes FILE, its parsed form.  */
void conf_stage (struct conf *c, const char *digest, GBytes *text,
                 struct file *file);
/** Puts a file in force; false where it is not newer than what is.  */
bool conf_install (struct conf *c, GBytes *head_bytes, GBytes *text);

#endif
