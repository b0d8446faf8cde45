#include "decide/load_shed.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* The limit on the wait for earlier requests is the larger of these fractions
   of the latency objective and of the caller's time-out.  The rest of the
   objective is for the request itself.  */
#define TARGET_FRACTION 0.5
#define TIMEOUT_FRACTION 0.1
/* Time reserved after the first byte for the rest of the response.  */
#define RESPONSE_MARGIN_MS 150.0
/* Callers honor a retry delay of up to a third of their remaining time.  The
   delays are spread over the upper half of that range.  */
#define RETRY_AFTER_MAX_FRACTION (1.0 / 3)
#define RETRY_AFTER_JITTER 0.5

double
load_shed_limit_ms (double target_ms, double timeout_ms)
{
  return MAX (target_ms * TARGET_FRACTION, timeout_ms * TIMEOUT_FRACTION);
}

double
load_shed_first_byte_max_ms (double remaining_ms)
{
  return remaining_ms - RESPONSE_MARGIN_MS;
}

bool
load_shed_ask_home (const struct upstream_choice *choice,
                    unsigned permit_requests)
{
  return choice->work != UPSTREAM_WORK_PLAIN && permit_requests == 0
         && !choice->has_home_load;
}

bool
load_shed_must_refuse (const struct upstream_choice *choice, double limit_ms,
                       double remaining_ms)
{
  if (choice->median_done_ms > remaining_ms)
    return true;
  switch (choice->occupancy)
    {
    case UPSTREAM_IDLE:
      return false;
    case UPSTREAM_HAS_FREE_SLOTS:
      return choice->expected_ms > remaining_ms;
    default:
      break;
    }
  if (choice->expected_ms > load_shed_first_byte_max_ms (remaining_ms))
    return true;
  /* A plain service has no queue estimate: all of its expected time counts. */
  double wait_ms = choice->work == UPSTREAM_WORK_PLAIN ? choice->expected_ms
                                                       : choice->queue_ms;
  return wait_ms > limit_ms;
}

bool
load_shed_decode_may_bind (const struct upstream_choice *decode,
                           unsigned slots,
                           const struct upstream_choice *prefill)
{
  double link_wait_ms = MAX (decode->link_wait_ms, prefill->link_wait_ms);
  return decode->running >= MAX (slots, 1) || link_wait_ms > prefill->wait_ms;
}

unsigned
load_shed_retry_after_ms (const char *id, double remaining_ms)
{
  double hash_fraction = (double)XXH64 (id, strlen (id), 0) / 0x1p64;
  double max_ms = MAX (remaining_ms, 0) * RETRY_AFTER_MAX_FRACTION;
  double ms = max_ms * (1 - RETRY_AFTER_JITTER * hash_fraction);
  return (unsigned)CLAMP (ms, LOAD_SHED_RETRY_AFTER_MIN_MS,
                          LOAD_SHED_RETRY_AFTER_MAX_MS);
}
