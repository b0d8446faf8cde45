#include "decide/staffing_plan.h"

#include <string.h>

unsigned
staffing_plan_covered (const struct staffing_counts *counts, unsigned n)
{
  unsigned sum = 0;
  unsigned most_spot = 0;
  for (unsigned i = 0; i < n; i++)
    {
      sum += counts[i].regular + counts[i].spot;
      most_spot = MAX (most_spot, counts[i].spot);
    }
  return sum - most_spot;
}

double
staffing_plan_price (const struct staffing_bounds *bounds,
                     const struct staffing_site *sites,
                     const struct staffing_counts *counts, unsigned n)
{
  double price = 0;
  for (unsigned i = 0; i < n; i++)
    price += sites[i].price
             * (counts[i].regular + bounds->spot_price * counts[i].spot);
  return price;
}

/* Whether one more instance of the kind SPOT may be planned for SITE.  */
static bool
may_add (const struct staffing_bounds *b, const struct staffing_site *site,
         const struct staffing_counts *planned, bool spot)
{
  if (planned->regular + planned->spot >= b->max)
    return false;
  if (spot)
    return site->has_spot;
  return site->has_regular || planned->regular < site->now.regular;
}

/* Adds one instance of the kind SPOT to the failure domain that has the fewest
   of that kind, and is the cheapest of these.  Even numbers make the loss of
   one failure domain the smallest.  Returns whether one could be added.  */
static bool
add_one (const struct staffing_bounds *b, const struct staffing_site *sites,
         unsigned n, bool spot, struct staffing_counts *out)
{
  int best = -1;
  unsigned fewest = 0;
  for (unsigned i = 0; i < n; i++)
    {
      unsigned count = spot ? out[i].spot : out[i].regular;
      if (!may_add (b, &sites[i], &out[i], spot))
        continue;
      if (best >= 0
          && (count > fewest
              || (count == fewest && sites[i].price >= sites[best].price)))
        continue;
      best = (int)i;
      fewest = count;
    }
  if (best < 0)
    return false;
  if (spot)
    out[best].spot++;
  else
    out[best].regular++;
  return true;
}

/* Raises each failure domain to the minimum, by spot instances if it has them.
   A kind that cannot be ordered is not raised, only kept.  */
static void
fill_minimum (const struct staffing_bounds *b,
              const struct staffing_site *sites, unsigned n,
              struct staffing_counts *out)
{
  for (unsigned i = 0; i < n; i++)
    while (out[i].regular + out[i].spot < b->min
           || out[i].regular < b->min_regular)
      {
        bool regular_first = out[i].regular < b->min_regular;
        bool keeps = out[i].regular < sites[i].now.regular;
        if (!regular_first && sites[i].has_spot)
          out[i].spot++;
        else if (keeps || (regular_first && sites[i].has_regular))
          out[i].regular++;
        else
          break;
      }
}

/* Plans with REGULAR regular instances and as few spot instances as cover the
   need.  */
static void
plan_with (const struct staffing_bounds *b, const struct staffing_site *sites,
           unsigned n, unsigned regular, struct staffing_counts *out)
{
  memset (out, 0, n * sizeof *out);
  for (unsigned i = 0; i < n; i++)
    if (!sites[i].has_spot)
      out[i].spot = MIN (sites[i].now.spot, b->max);
  for (unsigned i = 0; i < regular; i++)
    if (!add_one (b, sites, n, false, out))
      break;
  fill_minimum (b, sites, n, out);
  while (staffing_plan_covered (out, n) < b->needed
         && add_one (b, sites, n, true, out))
    ;
}

/* Instances that COUNTS lack of those that must be there now, and that must
   remain after a reclaim.  */
static unsigned
shortfall (const struct staffing_bounds *b,
           const struct staffing_counts *counts, unsigned n)
{
  unsigned covered = staffing_plan_covered (counts, n);
  unsigned total = 0;
  for (unsigned i = 0; i < n; i++)
    total += counts[i].regular + counts[i].spot;
  return (b->firm > total ? b->firm - total : 0)
         + (b->surviving > covered ? b->surviving - covered : 0);
}

void
staffing_plan (const struct staffing_bounds *bounds,
               const struct staffing_site *sites, unsigned n,
               struct staffing_counts *out)
{
  g_autofree struct staffing_counts *trial
      = g_new0 (struct staffing_counts, n);
  unsigned best_lack = 0;
  double best_price = 0;
  for (unsigned regular = bounds->base;
       regular <= MAX (bounds->base, bounds->needed); regular++)
    {
      plan_with (bounds, sites, n, regular, trial);
      unsigned lack = shortfall (bounds, trial, n);
      double price = staffing_plan_price (bounds, sites, trial, n);
      if (regular > bounds->base
          && (lack > best_lack || (lack == best_lack && price >= best_price)))
        continue;
      best_lack = lack;
      best_price = price;
      memcpy (out, trial, n * sizeof *out);
    }
}
