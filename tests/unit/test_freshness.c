/** @file
    Freshness of copies, on virtual time: a fleet of VMs follows one revision
    of a service that is silent for a while, with random reports between the
    VMs.  A poll that is sent in a silence is lost with nothing to show for it,
    and so is one on a connection that passes nothing any more.  */
#include "decide/freshness.h"

#include <stdbool.h>

#define SEEDS 1000
#define VMS_MAX 195
#define STEP_MS 10
#define DAY_MS 40000
#define REPORT_INTERVAL_MS 500
/* Time after the change within which all VMs must use it, and time after a
   disruption of the service from which this holds.  */
#define APPLY_MS 2500
#define RECOVERY_MS 4000
/* Time after which a call without a wait has failed, longest delay of the next
   try, and time of a call that is answered.  */
#define CALL_TIMEOUT_MS 1500
#define RETRY_MS 500
#define CALL_MS 60
/* Delay of the poll after a change.  */
#define BATCH_MIN_MS 150
#define BATCH_MAX_MS 600
#define SILENCES 4
#define CHANGES 12

/* What a VM waits for.  */
enum state
{
  STATE_PAUSE, /* starts a poll at next_ms */
  STATE_POLL,  /* the poll ends at next_ms without a change */
  STATE_CALL,  /* the call without a wait ends at next_ms */
  STATE_RETRY  /* starts such a call at next_ms */
};

struct vm
{
  struct freshness *freshness;
  unsigned revision; /* of the latest change that it knows */
  enum state state;
  int64_t sent_ms; /* when its poll or call was sent */
  int64_t next_ms;
  bool lost; /* its poll or call has no answer */
};

struct silence
{
  int64_t start_ms;
  int64_t end_ms;
};

struct fleet
{
  struct vm vms[VMS_MAX];
  unsigned n;
  struct silence silences[SILENCES];
  int64_t changes_ms[CHANGES]; /* when each revision was acknowledged */
  GRand *rand;
  unsigned late;   /* VMs that used an old revision for too long */
  unsigned calls;  /* to the service */
  unsigned checks; /* of them those that a check caused */
};

static bool
is_silent (const struct fleet *f, int64_t now)
{
  for (unsigned i = 0; i < SILENCES; i++)
    if (now >= f->silences[i].start_ms && now < f->silences[i].end_ms)
      return true;
  return false;
}

/* Revision of the service at NOW.  */
static unsigned
service_revision (const struct fleet *f, int64_t now)
{
  unsigned revision = 0;
  for (unsigned i = 0; i < CHANGES; i++)
    revision += f->changes_ms[i] <= now;
  return revision;
}

static void
send_call (struct fleet *f, struct vm *v, enum state state, int64_t now)
{
  f->calls++;
  v->state = state;
  v->sent_ms = now;
  v->lost = is_silent (f, now);
  if (state == STATE_POLL)
    v->next_ms = now + freshness_poll_ms (v->freshness);
  else
    v->next_ms = now + (v->lost ? CALL_TIMEOUT_MS : CALL_MS);
}

/* V has an answer with the state of the service at AT_MS.  */
static void
receive (struct fleet *f, struct vm *v, int64_t at_ms, int64_t now)
{
  unsigned revision = service_revision (f, at_ms);
  bool changed = revision > v->revision;
  v->revision = revision;
  freshness_confirm (v->freshness, at_ms);
  v->state = STATE_PAUSE;
  v->next_ms = now;
  if (changed)
    v->next_ms += g_rand_int_range (f->rand, BATCH_MIN_MS, BATCH_MAX_MS);
}

/* Advances the open poll of V.  One that would be answered in a silence is
   lost.  */
static void
step_poll (struct fleet *f, struct vm *v, int64_t now)
{
  bool answer = now >= v->next_ms || service_revision (f, now) > v->revision;
  if (answer && is_silent (f, now))
    v->lost = true;
  if (v->lost && now >= v->next_ms + CALL_TIMEOUT_MS)
    send_call (f, v, STATE_CALL, now);
  else if (!v->lost && answer)
    receive (f, v, now, now);
}

static void
step_vm (struct fleet *f, struct vm *v, int64_t now)
{
  if (v->state == STATE_POLL)
    step_poll (f, v, now);
  else if (now < v->next_ms)
    return;
  else if (v->state == STATE_PAUSE)
    send_call (f, v, STATE_POLL, now);
  else if (v->state == STATE_RETRY)
    send_call (f, v, STATE_CALL, now);
  else if (!v->lost)
    receive (f, v, v->sent_ms, now);
  else
    {
      v->state = STATE_RETRY;
      v->next_ms = now + RETRY_MS;
    }
}

/* A VM reports to a random one, and is answered.  */
static void
report (struct fleet *f, struct vm *a)
{
  struct vm *b = &f->vms[g_rand_int_range (f->rand, 0, (gint32)f->n)];
  int64_t at_a = freshness_confirmed_ms (a->freshness);
  int64_t at_b = freshness_confirmed_ms (b->freshness);
  if (b->revision >= a->revision)
    freshness_confirm (b->freshness, at_a);
  if (a->revision >= b->revision)
    freshness_confirm (a->freshness, at_b);
}

/* Whether V must know the change I at NOW.  */
static bool
is_due (const struct fleet *f, unsigned i, int64_t now)
{
  if (now <= f->changes_ms[i] + APPLY_MS)
    return false;
  for (unsigned k = 0; k < SILENCES; k++)
    if (now >= f->silences[k].start_ms
        && now <= f->silences[k].end_ms + RECOVERY_MS)
      return false;
  return true;
}

static void
check_vm (struct fleet *f, const struct vm *v, int64_t now)
{
  for (unsigned i = 0; i < CHANGES; i++)
    if (v->revision <= i && is_due (f, i, now))
      {
        f->late++;
        return;
      }
}

static void
step (struct fleet *f, int64_t now, bool checks)
{
  for (unsigned i = 0; i < f->n; i++)
    {
      struct vm *v = &f->vms[i];
      step_vm (f, v, now);
      if (checks && v->state == STATE_POLL
          && now >= freshness_check_ms (v->freshness))
        {
          f->checks++;
          send_call (f, v, STATE_CALL, now);
        }
      if ((now + (int64_t)i * STEP_MS) % REPORT_INTERVAL_MS == 0)
        report (f, v);
      check_vm (f, v, now);
    }
}

/* Draws silences, and changes just before, in and just after them.  */
static void
draw_day (struct fleet *f, bool silences)
{
  for (unsigned i = 0; i < SILENCES; i++)
    {
      int64_t start = 3000 + (int64_t)i * 9000;
      int64_t change = start - g_rand_int_range (f->rand, 0, 400);
      int64_t end = start + g_rand_int_range (f->rand, 40, 2500);
      f->silences[i] = (struct silence){ start, silences ? end : start };
      f->changes_ms[3 * i] = change;
      f->changes_ms[3 * i + 1] = end + g_rand_int_range (f->rand, 0, 1500);
      f->changes_ms[3 * i + 2]
          = f->changes_ms[3 * i + 1] + g_rand_int_range (f->rand, 0, 1500);
    }
}

static struct fleet *
play (guint32 seed, unsigned vms, bool silences, bool checks)
{
  struct fleet *f = g_new0 (struct fleet, 1);
  f->n = vms;
  f->rand = g_rand_new_with_seed (seed);
  draw_day (f, silences);
  for (unsigned i = 0; i < vms; i++)
    {
      f->vms[i].freshness
          = freshness_create (RECOVERY_MS, g_rand_int (f->rand));
      freshness_set_vm_count (f->vms[i].freshness, vms);
      freshness_confirm (f->vms[i].freshness, 0);
      send_call (f, &f->vms[i], STATE_POLL, 0);
    }
  for (int64_t now = STEP_MS; now < DAY_MS; now += STEP_MS)
    step (f, now, checks);
  return f;
}

static void
fleet_destroy (struct fleet *f)
{
  for (unsigned i = 0; i < f->n; i++)
    freshness_destroy (f->vms[i].freshness);
  g_rand_free (f->rand);
  g_free (f);
}

static const unsigned fleet_sizes[] = { 1, 2, 6, 9, 40, VMS_MAX };

/* Each VM knows each change on time, whatever the silences swallow.  */
static void
test_changes_after_silences (void)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      unsigned vms = fleet_sizes[seed % 4];
      if (seed % 40 == 0)
        vms = fleet_sizes[4 + seed / 40 % 2];
      struct fleet *f = play (seed, vms, true, true);
      if (f->late > 0)
        g_error ("seed %u, %u VMs: late in %u steps", seed, vms, f->late);
      fleet_destroy (f);
    }
}

/* The property fails without checks, so it can fail.  */
static void
test_late_without_checks (void)
{
  unsigned late = 0;
  for (guint32 seed = 1; seed <= 10; seed++)
    {
      struct fleet *f = play (seed, 9, true, false);
      late += f->late > 0;
      fleet_destroy (f);
    }
  g_assert_cmpuint (late, >, 0);
}

/* Without a disruption, answers to others spare most checks: a large fleet
   sends fewer calls a VM than a small one.  */
static void
test_calls_in_calm (void)
{
  double before = G_MAXDOUBLE;
  for (unsigned i = 1; i < G_N_ELEMENTS (fleet_sizes); i++)
    {
      unsigned vms = fleet_sizes[i];
      struct fleet *f = play (i, vms, false, true);
      double calls = f->calls * 1000.0 / vms / DAY_MS;
      g_test_message ("%u VMs: %.2f calls a second a VM, %.2f of them checks",
                      vms, calls, f->checks * 1000.0 / vms / DAY_MS);
      g_assert_cmpuint (f->late, ==, 0);
      g_assert_cmpfloat (calls, <, before);
      before = calls;
      fleet_destroy (f);
    }
}

/* A confirmation of an earlier time than before changes nothing.  */
static void
test_confirmations (void)
{
  struct freshness *f = freshness_create (RECOVERY_MS, 1);
  g_assert_cmpint (freshness_confirmed_ms (f), ==, INT64_MIN);
  freshness_confirm (f, 5000);
  int64_t check_ms = freshness_check_ms (f);
  g_assert_cmpint (check_ms, >, 5000);
  g_assert_cmpint (check_ms, <=,
                   5000 + RECOVERY_MS * FRESHNESS_CHECK_MAX_PERCENT / 100);
  freshness_confirm (f, 4999);
  g_assert_cmpint (freshness_confirmed_ms (f), ==, 5000);
  g_assert_cmpint (freshness_check_ms (f), ==, check_ms);
  freshness_destroy (f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/freshness/changes-after-silences",
                   test_changes_after_silences);
  g_test_add_func ("/freshness/late-without-checks", test_late_without_checks);
  g_test_add_func ("/freshness/calls-in-calm", test_calls_in_calm);
  g_test_add_func ("/freshness/confirmations", test_confirmations);
  return g_test_run ();
}
