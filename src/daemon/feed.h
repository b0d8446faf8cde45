/** @file
    Follows all keys under one prefix of the key-value service: reads them
    once, waits for changes, reads them again where history was lost.  It goes
    on by itself through outages.  */
#ifndef DAEMON_FEED_H
#define DAEMON_FEED_H

#include "links/kv.h"

#include <event2/event.h>

struct feed;

/** What a feed reports to.  */
struct feed_events
{
  /** KEY stands at REVISION with VALUE, or was removed where VALUE is NULL. */
  void (*on_change) (void *arg, const char *key, GBytes *value,
                     int64_t revision);
  /** A batch of changes has been reported.  LISTED: it was everything that
      stands, and REMOVED keys of before were reported as removed.  */
  void (*on_batch) (void *arg, bool listed);
  /** The service was lost or regained.  */
  void (*on_state) (void *arg, bool up);
};

/** Starts to follow PREFIX.  Changes in quick succession are gathered for up
   to GATHER_MOST_MS; 0 for the least.  */
struct feed *feed_create (struct event_base *base, struct kv *kv,
                          const char *prefix, unsigned gather_most_ms,
                          const struct feed_events *events, void *arg);

/** Changes the longest pause in which changes are gathered.  */
void feed_set_gather (struct feed *f, unsigned gather_most_ms);

/** Releases F.  */
void feed_destroy (struct feed *f);

/** Revision of the latest change under the prefix that is known here.  */
int64_t feed_revision (const struct feed *f);

/** Another VM knows of a change at REVISION.  Where this one does not hear of
    it soon, it reads everything: the call that waits may have been lost.  */
void feed_hint (struct feed *f, int64_t revision);

/** Milliseconds since the service last answered; -1 for never.  */
int64_t feed_age_ms (const struct feed *f);

/** Whether everything has been read once.  */
bool feed_is_listed (const struct feed *f);

#endif
