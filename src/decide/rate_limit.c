#include "decide/rate_limit.h"

/* Takes over OTHER.  Returns whether that changed the limit.  */
static bool
take_over (struct rate_limit *l, const struct rate_limit *other)
{
  bool changed = l->in_force != other->in_force
                 || (other->in_force && l->per_s != other->per_s);
  *l = *other;
  return changed;
}

bool
rate_limit_state (struct rate_limit *l, double per_s, int64_t now_ms)
{
  struct rate_limit stated = { true, per_s, now_ms };
  return take_over (l, &stated);
}

bool
rate_limit_state_none (struct rate_limit *l, int64_t now_ms)
{
  struct rate_limit none = { false, 0, now_ms };
  if (!l->in_force || now_ms - l->stated_ms < RATE_LIMIT_REORDER_MS)
    return false;
  return take_over (l, &none);
}

bool
rate_limit_merge (struct rate_limit *l, const struct rate_limit *other)
{
  if (other->stated_ms <= l->stated_ms)
    return false;
  return take_over (l, other);
}
