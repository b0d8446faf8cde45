#include "decide/freshness.h"

/* A check is due when CHECK_PERCENT of the recovery time have passed since the
   last confirmation, and a random part of CHECK_SPREAD_PERCENT more: the VMs
   that ask first spare the others the call.  */
#define CHECK_PERCENT 45
#define CHECK_SPREAD_PERCENT (FRESHNESS_CHECK_MAX_PERCENT - CHECK_PERCENT)
/* Bounds of the time for which a long poll is held open.  POLL_PER_VM_MS gives
   some three answers a second in a small fleet, enough for the reports between
   VMs to keep all of them confirmed.  */
#define POLL_MIN_MS 500
#define POLL_PER_VM_MS 600
#define POLL_MAX_MS 15000

struct freshness
{
  unsigned recovery_ms;
  unsigned vms;
  int64_t confirmed_ms;
  int64_t check_ms;
  GRand *rand;
};

struct freshness *
freshness_create (unsigned recovery_ms, guint32 seed)
{
  struct freshness *f = g_new0 (struct freshness, 1);
  f->recovery_ms = recovery_ms;
  f->vms = 1;
  f->confirmed_ms = INT64_MIN;
  f->check_ms = INT64_MIN;
  f->rand = g_rand_new_with_seed (seed);
  return f;
}

void
freshness_destroy (struct freshness *f)
{
  if (f == NULL)
    return;
  g_rand_free (f->rand);
  g_free (f);
}

void
freshness_set_recovery_ms (struct freshness *f, unsigned recovery_ms)
{
  f->recovery_ms = recovery_ms;
}

void
freshness_set_vm_count (struct freshness *f, unsigned vms)
{
  f->vms = MAX (vms, 1);
}

/* Returns PERCENT of the recovery time, in ms.  */
static int64_t
recovery_part (const struct freshness *f, unsigned percent)
{
  return (int64_t)f->recovery_ms * percent / 100;
}

/* Returns a random number from MIN to MAX.  */
static int64_t
random_between (struct freshness *f, int64_t min, int64_t max)
{
  return g_rand_int_range (f->rand, (gint32)min, (gint32)max + 1);
}

void
freshness_confirm (struct freshness *f, int64_t at_ms)
{
  if (at_ms <= f->confirmed_ms)
    return;
  f->confirmed_ms = at_ms;
  f->check_ms
      = at_ms + recovery_part (f, CHECK_PERCENT)
        + random_between (f, 0, recovery_part (f, CHECK_SPREAD_PERCENT));
}

int64_t
freshness_confirmed_ms (const struct freshness *f)
{
  return f->confirmed_ms;
}

int64_t
freshness_check_ms (const struct freshness *f)
{
  return f->check_ms;
}

unsigned
freshness_poll_ms (struct freshness *f)
{
  int64_t longest = CLAMP ((int64_t)POLL_PER_VM_MS * f->vms,
                           recovery_part (f, CHECK_PERCENT), POLL_MAX_MS);
  return (unsigned)random_between (f, POLL_MIN_MS, longest);
}
