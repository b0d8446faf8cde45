#include "decide/staffing_state.h"

#include <string.h>

/* Regular instances that are kept in any case, in percent of the need: spot
   instances of several failure domains may be reclaimed within one boot
   time.  */
#define BASE_PERCENT 10
/* Regular instances are ordered down in steps of at least this share: each
   step costs the caches of the instances that leave.  */
#define STEP_MIN_PERCENT 25
/* Spot instances are ordered down this long after a number was last raised,
   and only if at least this share and this many are too many.  A plan that
   covers no more replaces the present numbers only if it is cheaper by that
   share.  */
#define LOWER_AFTER_MS 20000
#define EXCESS_MIN_PERCENT 15
#define EXCESS_MIN 3

/* Services and failure domains.  */

static void
domain_clear (void *p)
{
  g_free (((struct staffing_domain *)p)->name);
}

static void
service_free (void *p)
{
  struct staffing_service *v = p;
  g_free (v->name);
  g_array_unref (v->domains);
  g_free (v);
}

struct staffing *
staffing_create (void)
{
  struct staffing *s = g_new0 (struct staffing, 1);
  s->services = g_ptr_array_new_with_free_func (service_free);
  return s;
}

void
staffing_destroy (struct staffing *s)
{
  if (s == NULL)
    return;
  g_ptr_array_unref (s->services);
  g_free (s);
}

struct staffing_service *
staffing_find_service (const struct staffing *s, const char *name)
{
  for (guint i = 0; i < s->services->len; i++)
    {
      struct staffing_service *v = g_ptr_array_index (s->services, i);
      if (strcmp (v->name, name) == 0)
        return v;
    }
  return NULL;
}

struct staffing_domain *
staffing_find_domain (const struct staffing_service *v, const char *name)
{
  for (guint i = 0; i < v->domains->len; i++)
    if (strcmp (staffing_domain_at (v, i)->name, name) == 0)
      return staffing_domain_at (v, i);
  return NULL;
}

unsigned
staffing_count_services (const struct staffing *s)
{
  return s->services->len;
}

const char *
staffing_service (const struct staffing *s, unsigned i)
{
  return ((struct staffing_service *)g_ptr_array_index (s->services, i))->name;
}

static void
pool_reset (struct staffing_pool *p)
{
  *p = (struct staffing_pool){ .wanted = STAFFING_NO_ORDER,
                               .recorded = STAFFING_NO_ORDER,
                               .accepted = STAFFING_NO_ORDER };
}

/* Sets the failure domains of V to those of C; the state of those that stay is
   kept.  */
static void
set_domains (struct staffing_service *v, const struct route_scaling *c)
{
  GArray *old = v->domains;
  GArray *domains = g_array_new (FALSE, TRUE, sizeof (struct staffing_domain));
  g_array_set_clear_func (domains, domain_clear);
  for (guint i = 0; i < c->domains->len; i++)
    {
      const struct scaling_domain *from
          = &g_array_index (c->domains, struct scaling_domain, i);
      const struct staffing_domain *known
          = old ? staffing_find_domain (v, from->name) : NULL;
      struct staffing_domain d = { 0 };
      pool_reset (&d.regular);
      pool_reset (&d.spot);
      if (known)
        d = *known;
      d.name = g_strdup (from->name);
      d.price = from->price;
      g_array_append_val (domains, d);
    }
  if (old)
    g_array_unref (old);
  v->domains = domains;
}

static void
set_service (void *arg, const struct route_service *service)
{
  struct staffing *s = arg;
  const struct route_scaling *c = &service->scaling;
  if (c->domains == NULL || c->domains->len == 0 || c->max == 0)
    return;
  struct staffing_service *v = staffing_find_service (s, service->name);
  if (v == NULL)
    {
      v = g_new0 (struct staffing_service, 1);
      v->name = g_strdup (service->name);
      g_ptr_array_add (s->services, v);
    }
  v->kept = true;
  v->min = c->min;
  v->max = c->max;
  v->boot_ms = c->boot_ms;
  v->spot_price = c->spot_price;
  set_domains (v, c);
}

void
staffing_set_services (struct staffing *s, const struct route_table *routes)
{
  for (guint i = 0; i < s->services->len; i++)
    ((struct staffing_service *)g_ptr_array_index (s->services, i))->kept
        = false;
  route_table_each_service (routes, set_service, s);
  for (guint i = s->services->len; i-- > 0;)
    if (!((struct staffing_service *)g_ptr_array_index (s->services, i))->kept)
      g_ptr_array_remove_index (s->services, i);
}

void
staffing_forget (struct staffing *s)
{
  for (guint i = 0; i < s->services->len; i++)
    {
      struct staffing_service *v = g_ptr_array_index (s->services, i);
      memset (&v->demand, 0, sizeof v->demand);
      for (guint k = 0; k < v->domains->len; k++)
        {
          pool_reset (&staffing_domain_at (v, k)->regular);
          pool_reset (&staffing_domain_at (v, k)->spot);
        }
    }
}

/* Sums.  */

static struct staffing_counts
sum_ready (const struct staffing_service *v)
{
  struct staffing_counts sum = { 0 };
  for (guint i = 0; i < v->domains->len; i++)
    {
      sum.regular += staffing_domain_at (v, i)->regular.ready;
      sum.spot += staffing_domain_at (v, i)->spot.ready;
    }
  return sum;
}

static struct staffing_counts
sum_wanted (const struct staffing_service *v)
{
  struct staffing_counts sum = { 0 };
  for (guint i = 0; i < v->domains->len; i++)
    {
      sum.regular += (unsigned)staffing_domain_at (v, i)->regular.wanted;
      sum.spot += (unsigned)staffing_domain_at (v, i)->spot.wanted;
    }
  return sum;
}

/* Demand.  */

/* Part of X that its requests keep busy: all of it while a prompt waits for
   its prefill, as the other requests get later answers meanwhile.  */
static double
busy_part (const struct staffing_instance *x)
{
  double slots = MAX (x->slots, 1U);
  double decode = (double)x->generating / slots;
  double occupied = (double)x->running / slots;
  double work = (x->tokens > 0 ? 1 : 0) + decode;
  return MIN (MAX (work, occupied), 1);
}

static void
sample_demand (struct staffing_service *v,
               const struct staffing_instance *instances, unsigned n,
               int64_t now_ms)
{
  double busy = 0;
  unsigned running = 0;
  for (unsigned i = 0; i < n; i++)
    {
      busy += busy_part (&instances[i]);
      running += instances[i].running;
    }
  struct staffing_counts ready = sum_ready (v);
  unsigned count = ready.regular + (v->demand.initial == 0 ? ready.spot : 0);
  staffing_demand_sample (&v->demand, busy, running, count, MAX (v->min, 1U),
                          v->max * v->domains->len, now_ms);
}

/* Decisions.  */

static void
fill_sites (const struct staffing_service *v, int64_t now_ms,
            struct staffing_site *sites)
{
  for (guint i = 0; i < v->domains->len; i++)
    {
      const struct staffing_domain *d = staffing_domain_at (v, i);
      sites[i] = (struct staffing_site){
        .price = d->price,
        .has_regular = now_ms >= d->regular.unavailable_until_ms,
        .has_spot = now_ms >= d->spot.unavailable_until_ms,
        .now = { (unsigned)d->regular.wanted, (unsigned)d->spot.wanted },
      };
    }
}

static unsigned
count_with_spot (const struct staffing_site *sites, unsigned n)
{
  unsigned count = 0;
  for (unsigned i = 0; i < n; i++)
    count += sites[i].has_spot;
  return count;
}

static unsigned
sum_regular (const struct staffing_counts *counts, unsigned n)
{
  unsigned sum = 0;
  for (unsigned i = 0; i < n; i++)
    sum += counts[i].regular;
  return sum;
}

/* Whether the present numbers cover less than needed, are below the minimum
   of a failure domain, or cost much more than PLAN.  Otherwise they stay, even
   if PLAN distributes them differently.  */
static bool
is_worth_raising (const struct staffing_service *v,
                  const struct staffing_bounds *bounds,
                  const struct staffing_site *sites,
                  const struct staffing_counts *plan)
{
  guint n = v->domains->len;
  g_autofree struct staffing_counts *now = g_new0 (struct staffing_counts, n);
  for (guint i = 0; i < n; i++)
    {
      now[i] = sites[i].now;
      if (now[i].regular + now[i].spot < bounds->min
          || now[i].regular < bounds->min_regular)
        return true;
    }
  double price = staffing_plan_price (bounds, sites, now, n);
  double planned = staffing_plan_price (bounds, sites, plan, n);
  return staffing_plan_covered (now, n) < bounds->needed
         || planned * 100 < price * (100 - EXCESS_MIN_PERCENT);
}

/* Number of one kind that fits beside OTHER, the instances of the other kind
   that are there or wanted, up to PLANNED.  */
static int
fit (const struct staffing_service *v, unsigned planned,
     const struct staffing_pool *other)
{
  unsigned taken = MAX (other->ready, (unsigned)other->wanted);
  return (int)MIN (planned, v->max > taken ? v->max - taken : 0);
}

/* Raises what is wanted to PLAN; of regular instances no more than PLAN has in
   all.  */
static bool
raise_to_plan (struct staffing_service *v, const struct staffing_counts *plan,
               int64_t now_ms)
{
  bool raised = false;
  guint n = v->domains->len;
  int missing = (int)sum_regular (plan, n) - (int)sum_wanted (v).regular;
  for (guint i = 0; i < n; i++)
    {
      struct staffing_domain *d = staffing_domain_at (v, i);
      int regular = fit (v, plan[i].regular, &d->spot);
      int more = MIN (regular - d->regular.wanted, missing);
      if (more > 0)
        {
          missing -= more;
          staffing_want (&d->regular, (unsigned)(d->regular.wanted + more),
                         now_ms);
          raised = true;
        }
      int spot = fit (v, plan[i].spot, &d->regular);
      if (spot > d->spot.wanted)
        {
          staffing_want (&d->spot, (unsigned)spot, now_ms);
          raised = true;
        }
    }
  if (raised)
    v->raised_ms = now_ms;
  return raised;
}

/* Regular instances that V must keep beside the spot instances that have been
   ready for a while: the firm number must be there, and after the loss of a
   failure domain as many as PLAN covers of those needed.  */
static unsigned
regular_to_keep (const struct staffing_service *v,
                 const struct staffing_counts *plan, int64_t now_ms)
{
  unsigned sum = 0;
  unsigned most = 0;
  for (guint i = 0; i < v->domains->len; i++)
    {
      const struct staffing_pool *p = &staffing_domain_at (v, i)->spot;
      if (now_ms - p->ready_since_ms < STAFFING_SETTLE_MS)
        continue;
      sum += p->ready;
      most = MAX (most, p->ready);
    }
  unsigned needed = v->demand.needed;
  unsigned covered
      = MIN (needed, staffing_plan_covered (plan, v->domains->len));
  unsigned firm = v->demand.firm;
  unsigned missing = firm > sum ? firm - sum : 0;
  unsigned uncovered = covered > sum - most ? covered - (sum - most) : 0;
  return MAX (missing, uncovered);
}

/* Gives V TOTAL regular instances, those of PLAN first and the others where
   they are now.  */
static void
lower_regular_to (struct staffing_service *v,
                  const struct staffing_counts *plan, unsigned total,
                  int64_t now_ms)
{
  guint n = v->domains->len;
  g_autofree unsigned *target = g_new0 (unsigned, n);
  unsigned sum = 0;
  for (guint i = 0; i < n; i++)
    {
      int now = staffing_domain_at (v, i)->regular.wanted;
      target[i] = MIN (plan[i].regular, (unsigned)now);
      sum += target[i];
    }
  for (bool added = true; sum < total && added;)
    {
      added = false;
      for (guint i = 0; i < n && sum < total; i++)
        if ((int)target[i] < staffing_domain_at (v, i)->regular.wanted)
          {
            target[i]++;
            sum++;
            added = true;
          }
    }
  for (guint i = 0; i < n; i++)
    if ((int)target[i] != staffing_domain_at (v, i)->regular.wanted)
      staffing_want (&staffing_domain_at (v, i)->regular, target[i], now_ms);
}

static bool
replace_regular (struct staffing_service *v,
                 const struct staffing_counts *plan, int64_t now_ms)
{
  unsigned planned = sum_regular (plan, v->domains->len);
  unsigned wanted = sum_wanted (v).regular;
  unsigned total = MAX (planned, regular_to_keep (v, plan, now_ms));
  if (total >= wanted || (wanted - total) * 100 < wanted * STEP_MIN_PERCENT)
    return false;
  lower_regular_to (v, plan, total, now_ms);
  return true;
}

/* Whether all that is wanted is ready.  */
static bool
is_complete (const struct staffing_service *v)
{
  for (guint i = 0; i < v->domains->len; i++)
    {
      const struct staffing_domain *d = staffing_domain_at (v, i);
      if (d->spot.wanted > (int)d->spot.ready
          || d->regular.wanted > (int)d->regular.ready)
        return false;
    }
  return true;
}

static bool
lower_spot (struct staffing_service *v, const struct staffing_counts *plan,
            int64_t now_ms)
{
  unsigned planned = 0;
  unsigned wanted = sum_wanted (v).spot;
  for (guint i = 0; i < v->domains->len; i++)
    planned += plan[i].spot;
  if (now_ms - v->raised_ms < LOWER_AFTER_MS || planned + EXCESS_MIN > wanted
      || (wanted - planned) * 100 < wanted * EXCESS_MIN_PERCENT
      || !is_complete (v))
    return false;
  for (guint i = 0; i < v->domains->len; i++)
    {
      struct staffing_pool *p = &staffing_domain_at (v, i)->spot;
      if (p->wanted > (int)plan[i].spot)
        staffing_want (p, plan[i].spot, now_ms);
    }
  return true;
}

static enum staffing_reason
apply_plan (struct staffing_service *v, const struct staffing_bounds *bounds,
            const struct staffing_site *sites,
            const struct staffing_counts *plan, int64_t now_ms)
{
  bool lost = v->lost;
  v->lost = false;
  if (is_worth_raising (v, bounds, sites, plan)
      && raise_to_plan (v, plan, now_ms))
    return lost ? STAFFING_LOST : STAFFING_NEED;
  if (replace_regular (v, plan, now_ms))
    return STAFFING_REPLACED;
  if (lower_spot (v, plan, now_ms))
    return STAFFING_LESS;
  return lost ? STAFFING_LOST : STAFFING_NO_CHANGE;
}

void
staffing_decide (struct staffing *s, const char *service,
                 const struct staffing_instance *instances, unsigned n,
                 int64_t now_ms, struct staffing_decision *out)
{
  memset (out, 0, sizeof *out);
  struct staffing_service *v = staffing_find_service (s, service);
  if (v == NULL || n == 0)
    return;
  staffing_observe (v, instances, n, now_ms);
  sample_demand (v, instances, n, now_ms);
  guint domains = v->domains->len;
  g_autofree struct staffing_site *sites
      = g_new0 (struct staffing_site, domains);
  g_autofree struct staffing_counts *plan
      = g_new0 (struct staffing_counts, domains);
  unsigned needed = v->demand.needed;
  unsigned base = (needed * BASE_PERCENT + 99) / 100;
  struct staffing_bounds bounds = { .min = v->min,
                                    .max = v->max,
                                    .spot_price = v->spot_price,
                                    .base = MIN (base, domains),
                                    .min_regular = v->min_regular,
                                    .needed = needed,
                                    .firm = v->demand.firm,
                                    .surviving = v->demand.surviving };
  fill_sites (v, now_ms, sites);
  staffing_plan (&bounds, sites, domains, plan);
  out->reason = apply_plan (v, &bounds, sites, plan, now_ms);
  out->has_traffic = v->demand.has_traffic;
  out->busy = v->demand.busy;
  out->needed = needed;
  out->failure_domains = count_with_spot (sites, domains);
  out->ready = sum_ready (v);
  out->wanted = sum_wanted (v);
}

const char *
staffing_reason_name (enum staffing_reason reason)
{
  static const char *const names[] = { [STAFFING_NO_CHANGE] = "no_change",
                                       [STAFFING_NEED] = "need",
                                       [STAFFING_LOST] = "lost",
                                       [STAFFING_REPLACED] = "replaced",
                                       [STAFFING_LESS] = "less" };
  return names[reason];
}
