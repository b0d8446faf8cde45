/** @file
    Reservation of decode engines for short prompts.  */
#include "decide/placement_parts.h"

#include <string.h>

/* One more decode engine is reserved for each time that the short requests
   fill this percentage of an engine's slots, or keep an engine's prefill busy
   for this share of the time.  */
#define RESERVED_FILL_PERCENT 100
#define RESERVED_BUSY_MAX 0.5

/* Whether X may be reserved: one whose requests a second are limited may take
   too few.  */
static bool
may_reserve (const struct upstream *x, const char *service, int64_t now_ms)
{
  return placement_is_decode_engine (x, service, now_ms)
         && !x->rate.limit.in_force;
}

/* Marks the decode engines of SERVICE that are reserved for short prompts:
   one, and one more for each engine that the short requests fill, but not all.
   All VMs reserve them in the same order, that of reserve_rank.  */
void
placement_mark_reserved (const struct upstreams *u, const char *service,
                         int64_t now_ms)
{
  unsigned engines = 0;
  unsigned slots = 0;
  unsigned generating = 0;
  for (guint i = 1; i < u->slots->len; i++)
    {
      struct upstream *x = upstreams_entry (u, i);
      x->reserved = false;
      if (!may_reserve (x, service, now_ms))
        continue;
      engines++;
      slots = MAX (slots, x->info.slots);
      generating += upstreams_total_load (x, now_ms).generating;
    }
  unsigned capacity = MAX (slots * RESERVED_FILL_PERCENT / 100, 1);
  double busy = upstreams_short_demand (u, service, now_ms);
  unsigned wanted
      = 1 + MAX (generating / capacity, (unsigned)(busy / RESERVED_BUSY_MAX));
  wanted = MIN (wanted, engines - MIN (engines, 1));
  for (; wanted > 0; wanted--)
    {
      struct upstream *first = NULL;
      for (guint i = 1; i < u->slots->len; i++)
        {
          struct upstream *x = upstreams_entry (u, i);
          if (may_reserve (x, service, now_ms) && !x->reserved
              && (first == NULL || x->reserve_rank > first->reserve_rank))
            first = x;
        }
      if (first == NULL)
        return;
      first->reserved = true;
    }
}
