#include "harness/site_soak.h"

/* Settle time.  Checks that faults may suspend apply again once a VM and
   everything it depends on have been free of faults for this time.  */
#define SETTLE_US (4000 * MS_US)

void
soak_sleep_ms (GRand *rand, unsigned least, unsigned most)
{
  g_usleep ((least + soak_pick (rand, most - least)) * (gulong)MS_US);
}

/* Faults in progress.  */

void
soak_harm (struct soak *s, struct subject *x)
{
  g_mutex_lock (&s->lock);
  x->harmed++;
  g_mutex_unlock (&s->lock);
  g_atomic_int_inc (&s->faults);
}

void
soak_heal (struct soak *s, struct subject *x)
{
  g_mutex_lock (&s->lock);
  x->harmed--;
  x->since_us = g_get_monotonic_time ();
  g_mutex_unlock (&s->lock);
}

bool
soak_is_calm (const struct subject *x, gint64 from_us)
{
  return x->harmed == 0 && x->since_us + SETTLE_US <= from_us;
}

bool
soak_path_is_calm (struct soak *s, unsigned vm, gint64 from_us)
{
  g_mutex_lock (&s->lock);
  bool calm = soak_is_calm (&s->vms[vm], from_us);
  for (unsigned i = 0; i < UPSTREAMS; i++)
    calm = calm && soak_is_calm (&s->upstreams[i], from_us);
  g_mutex_unlock (&s->lock);
  return calm;
}

bool
soak_store_is_calm (struct soak *s, unsigned vm, gint64 from_us)
{
  g_mutex_lock (&s->lock);
  bool calm = soak_is_calm (&s->store, from_us);
  for (unsigned i = 0; i < VMS; i++)
    calm = calm
           && ((vm < VMS && i != vm) || soak_is_calm (&s->vms[i], from_us));
  g_mutex_unlock (&s->lock);
  return calm;
}
