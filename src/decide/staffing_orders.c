/** @file
    Numbers of instances that decide/staffing sees and orders.  */
#include "decide/staffing_state.h"

/* Instances that were ordered and are not ready after this many boot times and
   this time in addition count as unavailable.  */
#define BOOT_TIMES 2
#define BOOT_MARGIN_MS 2000
/* Pause after an order without a usable response.  */
#define RETRY_MS 1000
/* Most orders that are sent at a time; the platform limits the rate of calls
   of all duties together.  */
#define BATCH_MAX 20

/* Observation of the instances.  */

void
staffing_want (struct staffing_pool *p, unsigned count, int64_t now_ms)
{
  if ((int)count > p->wanted)
    p->was_complete = false;
  p->wanted = (int)count;
  p->is_ordered = true;
  p->changed_ms = now_ms;
}

/* Treats P for some time as if no more instances were available than are
   ready.  */
static void
mark_unavailable (struct staffing_service *v, struct staffing_pool *p,
                  int64_t now_ms)
{
  v->lost |= now_ms >= p->unavailable_until_ms;
  p->unavailable_until_ms = now_ms + STAFFING_UNAVAILABLE_MS;
  p->is_ordered = false;
  p->was_complete = false;
  p->wanted = p->accepted = (int)p->ready;
}

/* Whether P lacks instances that the platform has accepted to provide: half of
   them have gone at once, or they are not ready in time.  */
static bool
lacks_instances (const struct staffing_service *v,
                 const struct staffing_pool *p, int64_t now_ms)
{
  int ready = (int)p->ready;
  int64_t patience_ms = (int64_t)v->boot_ms * BOOT_TIMES + BOOT_MARGIN_MS;
  if (p->accepted != p->wanted || ready >= p->wanted)
    return false;
  return (p->was_complete && p->wanted >= 2 && ready * 2 <= p->wanted)
         || now_ms - p->changed_ms > patience_ms;
}

/* Updates P, whose numbers were just counted; it had BEFORE ready ones.  */
static void
update_pool (struct staffing_service *v, struct staffing_pool *p,
             unsigned before, int64_t now_ms)
{
  if (p->ready > before || p->ready_since_ms == 0)
    p->ready_since_ms = now_ms;
  if (p->ready != before)
    p->changed_ms = now_ms;
  /* The record may be of an older copy of the store.  An order that would
     remove instances is decided anew.  */
  if (p->is_restored && (int)p->ready > p->wanted)
    p->is_ordered = false;
  p->is_restored = false;
  if (p->reclaimed || (p->is_ordered && lacks_instances (v, p, now_ms)))
    mark_unavailable (v, p, now_ms);
  if (!p->is_ordered)
    p->wanted = p->accepted = (int)p->ready;
  else if ((int)p->ready >= p->wanted)
    p->was_complete = true;
  /* The platform did not carry out an accepted order.  */
  if (p->is_ordered && p->accepted == p->wanted && (int)p->ready > p->wanted
      && now_ms - p->changed_ms
             > (int64_t)v->boot_ms * BOOT_TIMES + BOOT_MARGIN_MS)
    {
      p->accepted = STAFFING_NO_ORDER;
      p->changed_ms = now_ms;
    }
}

static void
count_instance (const struct staffing_service *v,
                const struct staffing_instance *x)
{
  struct staffing_domain *d = staffing_find_domain (v, x->failure_domain);
  if (d == NULL)
    return;
  struct staffing_pool *p = x->spot ? &d->spot : &d->regular;
  if (x->leaving)
    p->leaving++;
  else
    p->ready++;
  p->reclaimed |= x->spot && x->reclaimed;
}

void
staffing_observe (struct staffing_service *v,
                  const struct staffing_instance *instances, unsigned n,
                  int64_t now_ms)
{
  guint domains = v->domains->len;
  g_autofree struct staffing_counts *before
      = g_new0 (struct staffing_counts, domains);
  for (guint i = 0; i < domains; i++)
    {
      struct staffing_domain *d = staffing_domain_at (v, i);
      before[i] = (struct staffing_counts){ d->regular.ready, d->spot.ready };
      d->regular.ready = d->regular.leaving = 0;
      d->spot.ready = d->spot.leaving = 0;
      d->spot.reclaimed = false;
    }
  for (unsigned i = 0; i < n; i++)
    count_instance (v, &instances[i]);
  for (guint i = 0; i < domains; i++)
    {
      struct staffing_domain *d = staffing_domain_at (v, i);
      update_pool (v, &d->regular, before[i].regular, now_ms);
      update_pool (v, &d->spot, before[i].spot, now_ms);
    }
}

/* Orders.  */

static bool
pool_is_due (const struct staffing_pool *p, int64_t now_ms)
{
  return p->is_ordered && p->wanted != p->accepted && !p->in_flight
         && now_ms >= p->not_before_ms;
}

bool
staffing_is_due (const struct staffing *s, int64_t now_ms)
{
  for (guint i = 0; i < s->services->len; i++)
    {
      const struct staffing_service *v = g_ptr_array_index (s->services, i);
      for (guint k = 0; k < v->domains->len; k++)
        if (pool_is_due (&staffing_domain_at (v, k)->regular, now_ms)
            || pool_is_due (&staffing_domain_at (v, k)->spot, now_ms))
          return true;
    }
  return false;
}

static void
take_order (const struct staffing_service *v, const struct staffing_domain *d,
            struct staffing_pool *p, int64_t now_ms, GArray *out)
{
  if (out->len >= BATCH_MAX || !pool_is_due (p, now_ms)
      || p->recorded != p->wanted)
    return;
  struct staffing_order order = { .service = v->name,
                                  .failure_domain = d->name,
                                  .spot = p == &d->spot,
                                  .desired = (unsigned)p->wanted };
  p->in_flight = true;
  g_array_append_val (out, order);
}

void
staffing_take_orders (struct staffing *s, int64_t now_ms, GArray *out)
{
  for (guint i = 0; i < s->services->len; i++)
    {
      const struct staffing_service *v = g_ptr_array_index (s->services, i);
      for (guint k = 0; k < v->domains->len; k++)
        {
          struct staffing_domain *d = staffing_domain_at (v, k);
          take_order (v, d, &d->regular, now_ms, out);
          take_order (v, d, &d->spot, now_ms, out);
        }
    }
}

void
staffing_record_outcome (struct staffing *s,
                         const struct staffing_order *order,
                         enum staffing_outcome outcome, int64_t now_ms)
{
  struct staffing_service *v = staffing_find_service (s, order->service);
  struct staffing_domain *d
      = v ? staffing_find_domain (v, order->failure_domain) : NULL;
  if (d == NULL)
    return;
  struct staffing_pool *p = order->spot ? &d->spot : &d->regular;
  if (!p->in_flight)
    return;
  p->in_flight = false;
  p->accepted = STAFFING_NO_ORDER;
  switch (outcome)
    {
    case STAFFING_ACCEPTED:
      p->accepted = (int)order->desired;
      p->changed_ms = now_ms;
      return;
    case STAFFING_UNKNOWN:
      p->not_before_ms = now_ms + RETRY_MS;
      return;
    case STAFFING_REFUSED:
      /* The bounds may hold for the regular instances alone.  */
      if (!order->spot && order->desired < v->min)
        v->min_regular = v->min;
      break;
    default:
      break;
    }
  p->not_before_ms = now_ms + STAFFING_UNAVAILABLE_MS;
  mark_unavailable (v, p, now_ms);
}
