#include "daemon/rate_messages.h"

#define MILLI 1000.0
/* Ages and limits in messages are cut at these.  */
#define AGE_MAX_MS ((uint64_t)7 * 24 * 3600 * 1000)
#define MILLI_PER_S_MAX ((uint64_t)1000000000)

struct rate_state
rate_message_state (const struct upstream_info *info,
                    const struct rate_limit *limit, int64_t now)
{
  return (struct rate_state){
    .upstream = info->id,
    .started_ms = (uint64_t)MAX (info->start_wall_ms, 0),
    .in_force = limit->in_force,
    .milli_per_s = (uint64_t)(limit->per_s * MILLI),
    .age_ms = (uint64_t)MAX (now - limit->stated_ms, 0),
  };
}

struct rate_limit
rate_message_limit (const struct rate_state *s, int64_t now)
{
  return (struct rate_limit){
    .in_force = s->in_force,
    .per_s = (double)MIN (s->milli_per_s, MILLI_PER_S_MAX) / MILLI,
    .stated_ms = now - (int64_t)MIN (s->age_ms, AGE_MAX_MS),
  };
}
