/** @file
    Upstreams that have left: recognizes entries that a key-value service shows
    again after it was restored from an older copy.

    An upstream that left stays gone until it registers itself anew, with a
    later start or with a higher sequence number.  No I/O and no clock.  */
#ifndef DECIDE_DEPARTURES_H
#define DECIDE_DEPARTURES_H

#include <stdbool.h>
#include <stdint.h>

/** How long a departed upstream is remembered, in ms.  */
#define DEPARTURE_KEPT_MS 600000

struct departures;

/** An upstream's entry, as far as it dates it.  */
struct entry_date
{
  int64_t start_wall_ms; /**< start of the upstream on the wall clock */
  uint64_t sequence;     /**< rises with each entry that it writes */
};

/** Creates an empty table.  */
struct departures *departures_create (void);

/** Releases D, which may be NULL.  */
void departures_destroy (struct departures *d);

/** Records that upstream ID has left, by its last entry DATE, while the
   service had been restored RESTORES times.  */
void departures_add (struct departures *d, const char *id,
                     const struct entry_date *date, uint64_t restores,
                     int64_t now_ms);

/** Returns whether an entry of upstream ID that dates from DATE, read when the
    service had been restored RESTORES times, is one from before it left.  An
    entry that is not makes the upstream forgotten here.  */
bool departures_is_outdated (struct departures *d, const char *id,
                             const struct entry_date *date, uint64_t restores);

/** Forgets upstreams that left more than DEPARTURE_KEPT_MS ago.  */
void departures_expire (struct departures *d, int64_t now_ms);

#endif
