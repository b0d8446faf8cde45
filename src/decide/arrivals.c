#include "decide/arrivals.h"

#include <glib.h>

/* Tokens that the given calls cost.  */
static unsigned
cost_of (unsigned runs, unsigned prefills, bool accepted)
{
  unsigned calls = runs + prefills - (accepted && prefills > 0);
  return calls > 1 ? calls - 1 : 0;
}

static unsigned
unpaid (const struct arrivals *a, unsigned cost)
{
  return cost > a->paid ? cost - a->paid : 0;
}

unsigned
arrivals_cost (const struct arrivals *a, enum call_kind kind)
{
  if (kind == CALL_RUN)
    return unpaid (a, cost_of (a->runs + 1, a->prefills, a->accepted));
  unsigned refused = cost_of (a->runs, a->prefills + 1, a->accepted);
  unsigned accepted = cost_of (a->runs + 1, a->prefills + 1, true);
  return unpaid (a, MAX (refused, accepted));
}

void
arrivals_pay (struct arrivals *a, unsigned n)
{
  a->paid += n;
}

void
arrivals_sent (struct arrivals *a, enum call_kind kind)
{
  g_assert (arrivals_cost (a, kind) == 0);
  if (kind == CALL_RUN)
    a->runs++;
  else
    a->prefills++;
}

void
arrivals_not_sent (struct arrivals *a, enum call_kind kind)
{
  unsigned *calls = kind == CALL_RUN ? &a->runs : &a->prefills;
  g_assert (*calls > 0);
  --*calls;
}

void
arrivals_accepted (struct arrivals *a)
{
  a->accepted = true;
}

unsigned
arrivals_left_over (const struct arrivals *a)
{
  unsigned cost = cost_of (a->runs, a->prefills, a->accepted);
  return a->paid > cost ? a->paid - cost : 0;
}
