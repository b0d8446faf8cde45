#include "decide/refusal.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* Parts of the objective and of the caller's patience, the larger of which is
   the limit.  What is expected leaves out what differs between requests of one
   engine, so the limit stays below the objective.  */
#define LIMIT_OBJECTIVE 0.6
#define LIMIT_PATIENCE 0.1
/* Time that must be left after the first byte.  */
#define LEFT_MARGIN_MS 150.0
/* Callers honour a pause of up to a third of what is left; they come back
   spread over the second half of that.  */
#define PAUSE_PART (1.0 / 3)
#define PAUSE_SPREAD 0.5

double
refusal_limit_ms (double target_ms, double patience_ms, double left_ms)
{
  double limit
      = MAX (target_ms * LIMIT_OBJECTIVE, patience_ms * LIMIT_PATIENCE);
  return MIN (limit, left_ms - LEFT_MARGIN_MS);
}

bool
refusal_is_due (const struct upstream_choice *choice, double late_ms,
                double left_ms)
{
  switch (choice->room)
    {
    case UPSTREAM_IDLE:
      return false;
    case UPSTREAM_HAS_ROOM:
      return choice->expected_ms > left_ms;
    default:
      return choice->expected_ms > late_ms;
    }
}

unsigned
refusal_retry_after_ms (const char *id, double left_ms)
{
  double chance = (double)XXH64 (id, strlen (id), 0) / 0x1p64;
  double most = MAX (left_ms, 0) * PAUSE_PART;
  double ms = most * (1 - PAUSE_SPREAD * chance);
  return (unsigned)CLAMP (ms, REFUSAL_LEAST_MS, REFUSAL_MOST_MS);
}
