/** @file
    Quarantine of prompt parts on virtual time: a fleet of VMs and upstreams
    with parts that crash upstreams, crashes for other reasons, and messages
    between VMs that are lost, late or doubled.  */
#include "decide/quarantine.h"

#include <stdio.h>
#include <string.h>

#define SEEDS 1000
#define MUTANT_SEEDS 40
#define VMS_MAX 6
#define UPSTREAMS_MAX 14
#define FLIGHTS_MAX 512
#define CULPRITS_MAX 2
#define STEP_MS 5
#define TICK_MS 50
#define RESEND_MS 250
#define PLAY_MS 30000
/* No crashes before this time.  */
#define CALM_MS 2000
/* The promise: later than this after the fifth crash of a part, no more than
   so many requests with it reach upstreams.  */
#define PROMISED_CRASHES 5
#define PROMISED_MS 4000
#define LATE_ARRIVALS_MAX 3
/* How long an upstream stays down, and until its entry is removed.  */
#define DOWN_MIN_MS 2000
#define DOWN_MAX_MS 4000
#define ENTRY_MIN_MS 2600
#define ENTRY_MAX_MS 3200
#define LATE_MESSAGE_MS 5000
/* Ids of parts.  */
#define FIRST_PART 1
#define CULPRIT_PART 100
#define ACCOUNT_PART 1000
#define LAST_PART 1000000

/* A mechanism that is taken out.  */
enum mutant
{
  COMPLETE,
  NO_CLEARING,
  NO_SHARING
};

struct flight
{
  unsigned vm;
  unsigned upstream;
  struct prompt prompt;
  int64_t end_ms; /* when it is answered, or crashes its upstream */
  int culprit;    /* index, or -1 */
};

struct upstream
{
  char id[16];
  int64_t started_ms;
  int64_t down_until_ms; /* 0: up */
  int64_t entry_gone_ms; /* when its entry is removed; 0: not due */
};

enum message_kind
{
  CRASH,
  ANSWER,
  STATE
};

struct message
{
  int64_t due_ms;
  unsigned to;
  enum message_kind kind;
  char upstream[16];
  struct crash_report crash;
  uint64_t parts[CRASH_EVIDENCE_PARTS_MAX];
  uint64_t part;
  int64_t at_ms;
  struct quarantine_entry state;
};

struct fleet
{
  GRand *random;
  enum mutant mutant;
  int64_t now_ms;
  unsigned n_vms;
  struct quarantine *vms[VMS_MAX];
  unsigned n_upstreams;
  struct upstream upstreams[UPSTREAMS_MAX];
  struct flight flights[FLIGHTS_MAX];
  unsigned n_flights;
  GPtrArray *messages;
  unsigned n_accounts;
  unsigned n_culprits;
  bool culprit_first; /* the first culprit is the first part of its prompts */
  unsigned sound_per_s;
  unsigned bad_per_s;
  unsigned other_crashes; /* in ten seconds, at random */
  int64_t rack_ms;        /* when several upstreams end one by one; 0: never */
  unsigned crashes[CULPRITS_MAX];
  int64_t bound_ms[CULPRITS_MAX]; /* 0 before the fifth crash */
  unsigned late[CULPRITS_MAX];
  unsigned innocents; /* convictions of innocent parts */
};

static int64_t
draw (struct fleet *f, int64_t from, int64_t to)
{
  return g_rand_int_range (f->random, (gint32)from, (gint32)to + 1);
}

/* Crashes.  */

static void
lose_flights (struct fleet *f, unsigned upstream)
{
  const struct upstream *u = &f->upstreams[upstream];
  for (unsigned i = 0; i < f->n_flights;)
    {
      struct flight *x = &f->flights[i];
      if (x->upstream != upstream)
        {
          i++;
          continue;
        }
      quarantine_record_lost (f->vms[x->vm], u->id, u->started_ms, &x->prompt,
                              f->now_ms);
      *x = f->flights[--f->n_flights];
    }
}

static void
crash (struct fleet *f, unsigned upstream)
{
  struct upstream *u = &f->upstreams[upstream];
  if (u->down_until_ms > 0)
    return;
  u->down_until_ms = f->now_ms + draw (f, DOWN_MIN_MS, DOWN_MAX_MS);
  u->entry_gone_ms = f->now_ms + draw (f, ENTRY_MIN_MS, ENTRY_MAX_MS);
  lose_flights (f, upstream);
}

static void
crash_by_culprit (struct fleet *f, const struct flight *x)
{
  unsigned c = (unsigned)x->culprit;
  if (++f->crashes[c] == PROMISED_CRASHES)
    f->bound_ms[c] = f->now_ms + PROMISED_MS;
  crash (f, x->upstream);
}

/* Crashes for other reasons: at random, and a rack whose upstreams end one
   after the other.  */
static void
crash_others (struct fleet *f)
{
  int64_t at = f->now_ms - f->rack_ms;
  if (f->now_ms >= CALM_MS && draw (f, 1, 10000 / STEP_MS) <= f->other_crashes)
    crash (f, (unsigned)draw (f, 0, f->n_upstreams - 1));
  if (f->rack_ms > 0 && at >= 0 && at % 200 == 0 && at / 200 < 5)
    crash (f, (unsigned)(at / 200) % f->n_upstreams);
}

static void
update_upstream (struct fleet *f, struct upstream *u)
{
  if (u->entry_gone_ms > 0 && f->now_ms >= u->entry_gone_ms)
    {
      u->entry_gone_ms = 0;
      for (unsigned i = 0; i < f->n_vms; i++)
        crash_evidence_record_gone (quarantine_evidence (f->vms[i]), u->id,
                                    f->now_ms);
    }
  if (u->down_until_ms == 0 || f->now_ms < u->down_until_ms
      || u->entry_gone_ms > 0)
    return;
  u->down_until_ms = 0;
  u->started_ms = f->now_ms;
}

/* Requests.  */

static bool
may_try (void *arg, uint64_t part)
{
  (void)arg;
  (void)part;
  return false;
}

/* A few accounts make most of the requests.  */
static unsigned
draw_account (struct fleet *f)
{
  double x = g_rand_double (f->random);
  return (unsigned)(x * x * x * f->n_accounts);
}

static struct prompt
draw_prompt (struct fleet *f, int culprit)
{
  static uint64_t last = LAST_PART;
  struct prompt p = { .n_parts = 3 };
  p.parts[0].id = FIRST_PART;
  p.parts[1].id = ACCOUNT_PART + draw_account (f);
  p.parts[2].id = last++;
  if (culprit >= 0)
    p.parts[culprit == 0 && f->culprit_first ? 0 : 1].id
        = CULPRIT_PART + (unsigned)culprit;
  return p;
}

static void
send_request (struct fleet *f, int culprit)
{
  unsigned wait_ms = 0;
  unsigned vm = (unsigned)draw (f, 0, f->n_vms - 1);
  struct flight x
      = { .vm = vm, .culprit = culprit, .prompt = draw_prompt (f, culprit) };
  if (quarantine_check (f->vms[vm], &x.prompt, may_try, NULL, f->now_ms,
                        &wait_ms)
      != QUARANTINE_PASS)
    return;
  for (unsigned tries = 0; tries < 3; tries++)
    {
      x.upstream = (unsigned)draw (f, 0, f->n_upstreams - 1);
      const struct upstream *u = &f->upstreams[x.upstream];
      if (u->down_until_ms == 0)
        break;
      crash_evidence_record_refused (quarantine_evidence (f->vms[vm]), u->id,
                                     f->now_ms);
    }
  if (f->upstreams[x.upstream].down_until_ms > 0
      || f->n_flights == FLIGHTS_MAX)
    return;
  x.end_ms = f->now_ms + (culprit >= 0 ? draw (f, 20, 70) : draw (f, 40, 300));
  if (culprit >= 0 && f->bound_ms[culprit] > 0
      && f->now_ms > f->bound_ms[culprit])
    f->late[culprit]++;
  f->flights[f->n_flights++] = x;
}

static void
send_requests (struct fleet *f)
{
  for (unsigned i = 0; i < f->sound_per_s * STEP_MS / 1000 + 1; i++)
    if (draw (f, 1, 1000) <= (int64_t)f->sound_per_s * STEP_MS)
      send_request (f, -1);
  for (unsigned c = 0; c < f->n_culprits && f->now_ms >= CALM_MS; c++)
    if (draw (f, 1, 1000) <= (int64_t)f->bad_per_s * STEP_MS)
      send_request (f, (int)c);
}

static void
end_requests (struct fleet *f)
{
  for (unsigned i = 0; i < f->n_flights;)
    {
      struct flight x = f->flights[i];
      if (f->now_ms < x.end_ms)
        {
          i++;
          continue;
        }
      if (x.culprit >= 0)
        {
          crash_by_culprit (f, &x);
          i = 0;
          continue;
        }
      if (f->mutant != NO_CLEARING)
        quarantine_record_answer (f->vms[x.vm], &x.prompt, f->now_ms);
      f->flights[i] = f->flights[--f->n_flights];
    }
}

/* Messages.  */

static void
post (struct fleet *f, const struct message *m, unsigned to)
{
  unsigned copies = draw (f, 1, 100) <= 5 ? 2 : 1;
  if (f->mutant == NO_SHARING || draw (f, 1, 100) <= 10)
    return;
  for (unsigned i = 0; i < copies; i++)
    {
      struct message *copy = g_memdup2 (m, sizeof *m);
      copy->to = to;
      copy->due_ms
          = f->now_ms
            + (draw (f, 1, 100) == 1 ? LATE_MESSAGE_MS : draw (f, 1, 30));
      g_ptr_array_add (f->messages, copy);
    }
}

static void
post_to_all (struct fleet *f, const struct message *m, unsigned from)
{
  for (unsigned i = 0; i < f->n_vms; i++)
    if (i != from)
      post (f, m, i);
}

static struct message
crash_message (const struct crash_report *r)
{
  struct message m = { .kind = CRASH, .crash = *r };
  g_strlcpy (m.upstream, r->upstream, sizeof m.upstream);
  for (unsigned i = 0; i < r->n_parts; i++)
    m.parts[i] = r->parts[i];
  return m;
}

/* A part is innocent unless it is a culprit's, or all its requests have one.
 */
static void
count_innocent (struct fleet *f, const struct quarantine_entry *e)
{
  if (e->part < CULPRIT_PART || e->part >= CULPRIT_PART + CULPRITS_MAX)
    f->innocents++;
}

static void
send_news (struct fleet *f, unsigned from)
{
  struct quarantine *q = f->vms[from];
  struct crash_report r;
  struct message m;
  while (crash_evidence_next_unsent (quarantine_evidence (q), &r))
    {
      m = crash_message (&r);
      post_to_all (f, &m, from);
    }
  m = (struct message){ .kind = ANSWER };
  while (quarantine_next_answer (q, &m.part, &m.at_ms))
    post_to_all (f, &m, from);
  m = (struct message){ .kind = STATE };
  while (quarantine_next_unsent (q, &m.state))
    {
      count_innocent (f, &m.state);
      post_to_all (f, &m, from);
    }
}

static void
resend (struct fleet *f, unsigned from)
{
  struct crash_report r;
  struct quarantine_entry entries[8];
  unsigned to = (unsigned)draw (f, 0, f->n_vms - 1);
  if (crash_evidence_next (quarantine_evidence (f->vms[from]), &r))
    {
      struct message m = crash_message (&r);
      post (f, &m, to);
    }
  unsigned n = quarantine_next (f->vms[from], entries, G_N_ELEMENTS (entries));
  for (unsigned i = 0; i < n; i++)
    {
      struct message m = { .kind = STATE, .state = entries[i] };
      post (f, &m, to);
    }
}

/* Delays show in the times that a VM computes from ages.  */
static void
receive (struct fleet *f, struct message *m)
{
  struct quarantine *q = f->vms[m->to];
  m->crash.upstream = m->upstream;
  m->crash.parts = m->parts;
  if (m->kind == CRASH)
    crash_evidence_merge (quarantine_evidence (q), &m->crash, f->now_ms);
  else if (m->kind == ANSWER)
    quarantine_merge_answer (q, m->part, m->at_ms);
  else
    (void)quarantine_merge (q, &m->state, f->now_ms);
}

static void
deliver (struct fleet *f)
{
  for (guint i = 0; i < f->messages->len;)
    {
      struct message *m = g_ptr_array_index (f->messages, i);
      if (f->now_ms < m->due_ms)
        {
          i++;
          continue;
        }
      receive (f, m);
      g_ptr_array_remove_index_fast (f->messages, i);
    }
}

/* Plays.  */

static void
fleet_setup (struct fleet *f, unsigned seed, enum mutant mutant)
{
  memset (f, 0, sizeof *f);
  f->random = g_rand_new_with_seed (seed);
  f->mutant = mutant;
  f->messages = g_ptr_array_new_with_free_func (g_free);
  f->n_vms = (unsigned)draw (f, 2, VMS_MAX);
  f->n_upstreams = (unsigned)draw (f, 8, UPSTREAMS_MAX);
  f->n_accounts = (unsigned)(draw (f, 1, 2) == 1 ? draw (f, 2, 40) : 25000);
  f->n_culprits = (unsigned)draw (f, 0, CULPRITS_MAX);
  f->culprit_first = draw (f, 1, 3) == 1;
  f->sound_per_s = (unsigned)draw (f, 20, 180);
  f->bad_per_s = (unsigned)draw (f, 1, 8);
  f->other_crashes = (unsigned)draw (f, 0, 5);
  f->rack_ms = draw (f, 1, 3) == 1 ? draw (f, 600, 2000) * 10 : 0;
  for (unsigned i = 0; i < f->n_vms; i++)
    f->vms[i] = quarantine_create ();
  for (unsigned i = 0; i < f->n_upstreams; i++)
    g_snprintf (f->upstreams[i].id, sizeof f->upstreams[i].id, "u%u", i);
}

static void
fleet_clear (struct fleet *f)
{
  for (unsigned i = 0; i < f->n_vms; i++)
    quarantine_destroy (f->vms[i]);
  g_ptr_array_unref (f->messages);
  g_rand_free (f->random);
}

static void
step (struct fleet *f)
{
  end_requests (f);
  crash_others (f);
  for (unsigned i = 0; i < f->n_upstreams; i++)
    update_upstream (f, &f->upstreams[i]);
  send_requests (f);
  deliver (f);
  for (unsigned i = 0; i < f->n_vms && f->now_ms % TICK_MS == 0; i++)
    {
      quarantine_tick (f->vms[i], f->now_ms);
      send_news (f, i);
      if (f->now_ms % RESEND_MS == 0)
        resend (f, i);
    }
  f->now_ms += STEP_MS;
}

/* What a number of plays showed.  */
struct summary
{
  unsigned culprits; /* with five crashes or more */
  unsigned missed;   /* of these, with too many late arrivals */
  unsigned innocents;
  unsigned crashes;
};

static struct summary
play_seeds (unsigned seeds, enum mutant mutant)
{
  struct summary s = { 0 };
  static struct fleet f;
  for (unsigned seed = 1; seed <= seeds; seed++)
    {
      fleet_setup (&f, seed, mutant);
      while (f.now_ms < PLAY_MS)
        step (&f);
      for (unsigned c = 0; c < f.n_culprits; c++)
        {
          bool missed = f.late[c] > LATE_ARRIVALS_MAX;
          s.crashes += f.crashes[c];
          s.culprits += f.bound_ms[c] > 0;
          s.missed += missed;
          if (missed && mutant == COMPLETE)
            g_test_message ("seed %u: culprit %u, %u late arrivals", seed, c,
                            f.late[c]);
        }
      s.innocents += f.innocents;
      if (f.innocents > 0 && mutant == COMPLETE)
        g_test_message ("seed %u: %u innocent parts convicted", seed,
                        f.innocents);
      fleet_clear (&f);
    }
  g_test_message ("%u seeds: %u crashes, %u culprits with five, %u missed, "
                  "%u innocents convicted",
                  seeds, s.crashes, s.culprits, s.missed, s.innocents);
  return s;
}

static void
test_culprits_are_convicted_and_innocents_are_not (void)
{
  struct summary s = play_seeds (SEEDS, COMPLETE);
  g_assert_cmpuint (s.culprits, >, 0);
  g_assert_cmpuint (s.missed, ==, 0);
  g_assert_cmpuint (s.innocents, ==, 0);
}

static void
test_without_clearing_innocents_are_convicted (void)
{
  g_assert_cmpuint (play_seeds (MUTANT_SEEDS, NO_CLEARING).innocents, >, 0);
}

static void
test_without_sharing_culprits_are_missed (void)
{
  g_assert_cmpuint (play_seeds (MUTANT_SEEDS, NO_SHARING).missed, >, 0);
}

/* One VM.  */

static const struct prompt bad_prompt
    = { .parts = { { FIRST_PART, 800 }, { CULPRIT_PART, 400 }, { 7, 200 } },
        .n_parts = 3 };
static const struct prompt sound_prompt
    = { .parts = { { FIRST_PART, 800 }, { ACCOUNT_PART, 400 }, { 8, 200 } },
        .n_parts = 3 };

/* Upstream number I crashes under bad_prompt at AT_MS.  */
static void
crash_once (struct quarantine *q, unsigned i, int64_t at_ms)
{
  char id[16];
  g_snprintf (id, sizeof id, "u%u", i);
  quarantine_record_lost (q, id, 0, &bad_prompt, at_ms);
  crash_evidence_record_refused (quarantine_evidence (q), id, at_ms + 10);
  quarantine_record_answer (q, &sound_prompt, at_ms + 20);
}

static struct quarantine *
convicted_quarantine (void)
{
  struct quarantine *q = quarantine_create ();
  quarantine_set_canary_ms (q, 60000);
  for (unsigned i = 0; i < 3; i++)
    crash_once (q, i, 1000 * (i + 1));
  quarantine_tick (q, 4000);
  return q;
}

static bool
always (void *arg, uint64_t part)
{
  (void)arg;
  (void)part;
  return true;
}

static enum quarantine_verdict
check_at (struct quarantine *q, const struct prompt *p, int64_t now_ms,
          bool may)
{
  unsigned wait_ms = 0;
  return quarantine_check (q, p, may ? always : may_try, NULL, now_ms,
                           &wait_ms);
}

static void
test_conviction_spares_other_parts (void)
{
  struct quarantine *q = convicted_quarantine ();
  g_assert_cmpuint (quarantine_count (q), ==, 1);
  g_assert_cmpint (check_at (q, &bad_prompt, 5000, true), ==,
                   QUARANTINE_REFUSE);
  g_assert_cmpint (check_at (q, &sound_prompt, 5000, true), ==,
                   QUARANTINE_PASS);
  quarantine_destroy (q);
}

static void
test_answered_canary_releases (void)
{
  struct quarantine *q = convicted_quarantine ();
  g_assert_cmpint (check_at (q, &bad_prompt, 64000, false), ==,
                   QUARANTINE_REFUSE);
  g_assert_cmpint (check_at (q, &bad_prompt, 64000, true), ==,
                   QUARANTINE_CANARY);
  g_assert_cmpint (check_at (q, &bad_prompt, 64001, true), ==,
                   QUARANTINE_REFUSE);
  quarantine_record_answer (q, &bad_prompt, 64100);
  g_assert_cmpint (check_at (q, &bad_prompt, 64200, true), ==,
                   QUARANTINE_PASS);
  quarantine_destroy (q);
}

static void
test_lost_canary_doubles_the_wait (void)
{
  struct quarantine *q = convicted_quarantine ();
  g_assert_cmpint (check_at (q, &bad_prompt, 64000, true), ==,
                   QUARANTINE_CANARY);
  crash_once (q, 9, 64050);
  quarantine_tick (q, 65000);
  g_assert_cmpint (check_at (q, &bad_prompt, 64050 + 119000, true), ==,
                   QUARANTINE_REFUSE);
  g_assert_cmpint (check_at (q, &bad_prompt, 64050 + 120000, true), ==,
                   QUARANTINE_CANARY);
  quarantine_destroy (q);
}

static void
test_late_message_does_not_undo_a_release (void)
{
  struct quarantine *a = convicted_quarantine ();
  struct quarantine *b = quarantine_create ();
  struct quarantine_entry convicted;
  struct quarantine_entry released;
  g_assert_true (quarantine_next_unsent (a, &convicted));
  g_assert_true (quarantine_merge (b, &convicted, 4500));
  g_assert_false (quarantine_merge (b, &convicted, 4500));
  g_assert_cmpuint (quarantine_count (b), ==, 1);
  quarantine_record_answer (a, &bad_prompt, 5000);
  g_assert_true (quarantine_next_unsent (a, &released));
  g_assert_true (quarantine_merge (b, &released, 4500));
  g_assert_false (quarantine_merge (b, &convicted, 4500));
  g_assert_cmpuint (quarantine_count (b), ==, 0);
  quarantine_destroy (a);
  quarantine_destroy (b);
}

/* Connections that break at upstreams that go on responding.  */
static void
test_reset_connections_are_no_crash (void)
{
  struct quarantine *q = quarantine_create ();
  for (unsigned i = 0; i < 6; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "u%u", i);
      quarantine_record_lost (q, id, 0, &bad_prompt, 1000 * (i + 1));
      crash_evidence_record_response (quarantine_evidence (q), id,
                                      1000 * (i + 1) + 5);
      crash_evidence_record_refused (quarantine_evidence (q), id,
                                     1000 * (i + 1) + 500);
    }
  quarantine_tick (q, 9000);
  g_assert_cmpuint (quarantine_count (q), ==, 0);
  quarantine_destroy (q);
}

/* All upstreams that have the only requests of a part are killed at once.  */
static void
test_crashes_at_one_moment_convict_nobody (void)
{
  struct quarantine *q = quarantine_create ();
  for (unsigned i = 0; i < 8; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "u%u", i);
      quarantine_record_lost (q, id, 0, &bad_prompt, 1000 + i);
      crash_evidence_record_refused (quarantine_evidence (q), id, 1100);
    }
  quarantine_tick (q, 9000);
  g_assert_cmpuint (quarantine_count (q), ==, 0);
  quarantine_destroy (q);
}

/* The tables stay within their bounds, and the latest culprit is found.  */
static void
test_flood_of_crashes (void)
{
  struct quarantine *q = quarantine_create ();
  for (unsigned i = 0; i < 5000; i++)
    {
      struct prompt p = bad_prompt;
      char id[16];
      p.parts[0].id = LAST_PART + i;
      p.parts[1].id = 2 * (uint64_t)LAST_PART + i;
      g_snprintf (id, sizeof id, "x%u", i);
      quarantine_record_lost (q, id, 0, &p, 1000 + i);
      crash_evidence_record_refused (quarantine_evidence (q), id, 1000 + i);
    }
  for (unsigned i = 0; i < 3; i++)
    crash_once (q, i, 10000 + 1000 * i);
  quarantine_tick (q, 13000);
  g_assert_cmpint (check_at (q, &bad_prompt, 13000, true), ==,
                   QUARANTINE_REFUSE);
  quarantine_destroy (q);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/quarantine/culprits-convicted-innocents-not",
                   test_culprits_are_convicted_and_innocents_are_not);
  g_test_add_func ("/quarantine/mutant-no-clearing",
                   test_without_clearing_innocents_are_convicted);
  g_test_add_func ("/quarantine/mutant-no-sharing",
                   test_without_sharing_culprits_are_missed);
  g_test_add_func ("/quarantine/conviction-spares-other-parts",
                   test_conviction_spares_other_parts);
  g_test_add_func ("/quarantine/answered-canary-releases",
                   test_answered_canary_releases);
  g_test_add_func ("/quarantine/lost-canary-doubles-the-wait",
                   test_lost_canary_doubles_the_wait);
  g_test_add_func ("/quarantine/late-message-does-not-undo-a-release",
                   test_late_message_does_not_undo_a_release);
  g_test_add_func ("/quarantine/reset-connections-are-no-crash",
                   test_reset_connections_are_no_crash);
  g_test_add_func ("/quarantine/crashes-at-one-moment",
                   test_crashes_at_one_moment_convict_nobody);
  g_test_add_func ("/quarantine/flood-of-crashes", test_flood_of_crashes);
  return g_test_run ();
}
