#include "decide/crash_evidence.h"

#include "decide/answered_parts.h"

#include <string.h>

#define CRASHES_MAX 128
#define MASK_WORDS (CRASHES_MAX / 64)
/* Crashes that follow each other within this time count as one: what ends
   several upstreams at once is not a request.  */
#define MOMENT_MS 50
/* A crash counts once it has been known for this time, in which answers that
   other VMs have seen arrive.  */
#define ANSWERS_WAIT_MS 300
/* The same for a part that was answered before the crashes: the culprit is
   more likely another one, which may need some more crashes to be found.  */
#define ANSWERED_PART_WAIT_MS 1000
/* After a change, culprits are sought for this time.  */
#define EVALUATE_MS (2 * ANSWERED_PART_WAIT_MS)
/* Broken connections whose upstream is not known to have crashed within this
   time are forgotten.  */
#define CONFIRM_MS 8000
/* A crash is forgotten after this time.  */
#define CRASH_KEEP_MS (10 * 60 * 1000)

/* Broken connections of one upstream, and whether it has crashed.  */
struct crash
{
  bool used;
  bool confirmed;
  bool responded; /* after the connections broke */
  bool seen_here; /* connections of this VM broke */
  bool unsent;    /* seen here and changed since it was last sent */
  bool explained; /* by a culprit; its list is then empty */
  char upstream[64];
  int64_t started_ms;
  int64_t at_ms;
  int64_t known_ms; /* when it was confirmed or last got a part */
  GArray *parts;    /* uint64_t */
};

struct crash_evidence
{
  struct crash crashes[CRASHES_MAX];
  GHashTable *listed; /* part -> number of crashes whose list has it */
  struct answered_parts *answered;
  unsigned next_visit; /* for crash_evidence_next */
  int64_t change_ms;   /* when a list or a crash last changed */
  uint64_t explained;
};

/* Crashes in which a part was in flight.  */
struct tally
{
  uint64_t part;
  uint64_t mask[MASK_WORDS]; /* bit I: crash I */
  unsigned moments;
  int64_t last_ms; /* time of the latest moment counted */
};

struct crash_evidence *
crash_evidence_create (void)
{
  struct crash_evidence *e = g_new0 (struct crash_evidence, 1);
  e->listed
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  e->answered = answered_parts_create ();
  return e;
}

/* Lists of parts.  */

static bool
list_has (const struct crash *c, uint64_t part)
{
  for (guint i = 0; c->used && i < c->parts->len; i++)
    if (g_array_index (c->parts, uint64_t, i) == part)
      return true;
  return false;
}

static unsigned
listed_count (const struct crash_evidence *e, uint64_t part)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (e->listed, &part));
}

static void
set_listed_count (struct crash_evidence *e, uint64_t part, unsigned n)
{
  if (n == 0)
    g_hash_table_remove (e->listed, &part);
  else
    g_hash_table_replace (e->listed, g_memdup2 (&part, sizeof part),
                          GUINT_TO_POINTER (n));
}

bool
crash_evidence_was_answered (const struct crash_evidence *e, uint64_t part)
{
  return answered_parts_knows (e->answered, part);
}

/* Adds PART to the list of C.  Returns whether that changed it.  */
static bool
add_part (struct crash_evidence *e, struct crash *c, uint64_t part)
{
  if (c->explained || c->parts->len >= CRASH_EVIDENCE_PARTS_MAX
      || list_has (c, part)
      || answered_parts_since (e->answered, part, c->at_ms))
    return false;
  g_array_append_val (c->parts, part);
  set_listed_count (e, part, listed_count (e, part) + 1);
  return true;
}

static void
remove_part (struct crash_evidence *e, struct crash *c, uint64_t part)
{
  for (guint i = 0; c->used && i < c->parts->len; i++)
    if (g_array_index (c->parts, uint64_t, i) == part)
      {
        g_array_remove_index_fast (c->parts, i);
        set_listed_count (e, part, listed_count (e, part) - 1);
        return;
      }
}

static void
clear_list (struct crash_evidence *e, struct crash *c)
{
  for (guint i = 0; i < c->parts->len; i++)
    {
      uint64_t part = g_array_index (c->parts, uint64_t, i);
      set_listed_count (e, part, listed_count (e, part) - 1);
    }
  g_array_set_size (c->parts, 0);
}

/* Table of crashes.  */

static void
drop_crash (struct crash_evidence *e, struct crash *c)
{
  if (!c->used)
    return;
  clear_list (e, c);
  g_array_unref (c->parts);
  memset (c, 0, sizeof *c);
}

void
crash_evidence_destroy (struct crash_evidence *e)
{
  if (e == NULL)
    return;
  for (unsigned i = 0; i < CRASHES_MAX; i++)
    drop_crash (e, &e->crashes[i]);
  g_hash_table_destroy (e->listed);
  answered_parts_destroy (e->answered);
  g_free (e);
}

static struct crash *
find_crash (struct crash_evidence *e, const char *upstream, int64_t started_ms)
{
  for (unsigned i = 0; i < CRASHES_MAX; i++)
    if (e->crashes[i].used && e->crashes[i].started_ms == started_ms
        && strcmp (e->crashes[i].upstream, upstream) == 0)
      return &e->crashes[i];
  return NULL;
}

/* Whether A is to be replaced before B.  */
static bool
replaced_before (const struct crash *a, const struct crash *b)
{
  if (a->used != b->used)
    return !a->used;
  bool a_empty = a->used && a->parts->len == 0;
  bool b_empty = b->used && b->parts->len == 0;
  if (a_empty != b_empty)
    return a_empty;
  return a->at_ms < b->at_ms;
}

/* Returns the entry of the crash R, a new one if there is none.  */
static struct crash *
get_crash (struct crash_evidence *e, const struct crash_report *r)
{
  struct crash *c = find_crash (e, r->upstream, r->started_ms);
  if (c)
    {
      c->at_ms = MIN (c->at_ms, r->at_ms);
      return c;
    }
  c = &e->crashes[0];
  for (unsigned i = 1; i < CRASHES_MAX; i++)
    if (replaced_before (&e->crashes[i], c))
      c = &e->crashes[i];
  drop_crash (e, c);
  c->used = true;
  g_strlcpy (c->upstream, r->upstream, sizeof c->upstream);
  c->started_ms = r->started_ms;
  c->at_ms = r->at_ms;
  c->parts = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  return c;
}

/* Adds the parts of R to its crash.  Returns whether any was new.  */
static bool
add_parts (struct crash_evidence *e, struct crash *c,
           const struct crash_report *r)
{
  bool changed = false;
  for (unsigned i = 0; i < r->n_parts; i++)
    changed |= add_part (e, c, r->parts[i]);
  return changed;
}

static void
confirm (struct crash_evidence *e, struct crash *c, int64_t now_ms)
{
  if (c->confirmed)
    return;
  e->change_ms = MAX (e->change_ms, now_ms);
  c->confirmed = true;
  c->known_ms = now_ms;
  c->unsent = c->seen_here;
}

/* What this VM sees.  */

void
crash_evidence_record_lost (struct crash_evidence *e,
                            const struct crash_report *lost)
{
  struct crash *c = get_crash (e, lost);
  c->seen_here = true;
  e->change_ms = MAX (e->change_ms, lost->at_ms);
  if (!add_parts (e, c, lost) || !c->confirmed)
    return;
  c->known_ms = MAX (c->known_ms, lost->at_ms);
  c->unsent = true;
}

void
crash_evidence_record_response (struct crash_evidence *e, const char *upstream,
                                int64_t sent_ms)
{
  for (unsigned i = 0; i < CRASHES_MAX; i++)
    {
      struct crash *c = &e->crashes[i];
      if (c->used && !c->confirmed && sent_ms > c->at_ms
          && strcmp (c->upstream, upstream) == 0)
        c->responded = true;
    }
}

/* Confirms the crashes of UPSTREAM; IF_SILENT: unless it has responded since
   its connections broke.  */
static void
confirm_all (struct crash_evidence *e, const char *upstream, bool if_silent,
             int64_t now_ms)
{
  for (unsigned i = 0; i < CRASHES_MAX; i++)
    {
      struct crash *c = &e->crashes[i];
      if (c->used && !(if_silent && c->responded)
          && now_ms - c->at_ms <= CONFIRM_MS
          && strcmp (c->upstream, upstream) == 0)
        confirm (e, c, now_ms);
    }
}

void
crash_evidence_record_refused (struct crash_evidence *e, const char *upstream,
                               int64_t now_ms)
{
  confirm_all (e, upstream, true, now_ms);
}

void
crash_evidence_record_gone (struct crash_evidence *e, const char *upstream,
                            int64_t now_ms)
{
  confirm_all (e, upstream, false, now_ms);
}

/* Evidence exchanged between VMs.  */

void
crash_evidence_merge (struct crash_evidence *e,
                      const struct crash_report *report, int64_t now_ms)
{
  struct crash *c = get_crash (e, report);
  confirm (e, c, now_ms);
  if (!add_parts (e, c, report))
    return;
  c->known_ms = now_ms;
  e->change_ms = MAX (e->change_ms, now_ms);
}

bool
crash_evidence_clear (struct crash_evidence *e, uint64_t part, int64_t at_ms)
{
  bool cleared = false;
  answered_parts_record (e->answered, part, at_ms);
  if (!crash_evidence_lists (e, part))
    return false;
  for (unsigned i = 0; i < CRASHES_MAX; i++)
    {
      struct crash *c = &e->crashes[i];
      if (!c->used || c->at_ms > at_ms || !list_has (c, part))
        continue;
      remove_part (e, c, part);
      cleared |= c->confirmed;
      e->change_ms = MAX (e->change_ms, at_ms);
    }
  return cleared;
}

static void
fill_report (const struct crash *c, struct crash_report *out)
{
  *out = (struct crash_report){ .upstream = c->upstream,
                                .started_ms = c->started_ms,
                                .at_ms = c->at_ms,
                                .parts = (const uint64_t *)c->parts->data,
                                .n_parts = c->parts->len };
}

bool
crash_evidence_next_unsent (struct crash_evidence *e, struct crash_report *out)
{
  for (unsigned i = 0; i < CRASHES_MAX; i++)
    {
      struct crash *c = &e->crashes[i];
      if (!c->used || !c->unsent)
        continue;
      c->unsent = false;
      fill_report (c, out);
      return true;
    }
  return false;
}

bool
crash_evidence_next (struct crash_evidence *e, struct crash_report *out)
{
  for (unsigned n = 0; n < CRASHES_MAX; n++)
    {
      const struct crash *c = &e->crashes[e->next_visit];
      e->next_visit = (e->next_visit + 1) % CRASHES_MAX;
      if (!c->used || !c->confirmed || c->explained || c->parts->len == 0)
        continue;
      fill_report (c, out);
      return true;
    }
  return false;
}

/* Decisions.  */

bool
crash_evidence_lists (const struct crash_evidence *e, uint64_t part)
{
  return g_hash_table_size (e->listed) > 0 && listed_count (e, part) > 0;
}

unsigned
crash_evidence_count (const struct crash_evidence *e, uint64_t part)
{
  unsigned n = 0;
  if (!crash_evidence_lists (e, part))
    return 0;
  for (unsigned i = 0; i < CRASHES_MAX; i++)
    n += e->crashes[i].confirmed && list_has (&e->crashes[i], part);
  return n;
}

static int
compare_times (const void *a, const void *b)
{
  const struct crash *const *x = a;
  const struct crash *const *y = b;
  return ((*x)->at_ms > (*y)->at_ms) - ((*x)->at_ms < (*y)->at_ms);
}

/* Returns the crashes known for WAIT_MS, the earliest first.  */
static GPtrArray *
crashes_known_for (struct crash_evidence *e, int64_t wait_ms, int64_t now_ms)
{
  GPtrArray *all = g_ptr_array_new ();
  for (unsigned i = 0; i < CRASHES_MAX; i++)
    {
      struct crash *c = &e->crashes[i];
      if (c->used && c->confirmed && c->parts->len > 0
          && now_ms - c->known_ms >= wait_ms)
        g_ptr_array_add (all, c);
    }
  g_ptr_array_sort (all, compare_times);
  return all;
}

static void
count_crash (struct tally *t, unsigned crash, int64_t at_ms)
{
  t->mask[crash / 64] |= (uint64_t)1 << (crash % 64);
  if (t->moments > 0 && at_ms - t->last_ms < MOMENT_MS)
    return;
  t->moments++;
  t->last_ms = at_ms;
}

/* Returns struct tally by part, of the parts that may be culprits.  */
static GHashTable *
tally_parts (const struct crash_evidence *e, const GPtrArray *crashes)
{
  GHashTable *tallies
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  for (guint i = 0; i < crashes->len; i++)
    {
      const struct crash *c = g_ptr_array_index (crashes, i);
      for (guint j = 0; j < c->parts->len; j++)
        {
          uint64_t part = g_array_index (c->parts, uint64_t, j);
          if (listed_count (e, part) < CRASH_EVIDENCE_CULPRIT)
            continue;
          struct tally *t = g_hash_table_lookup (tallies, &part);
          if (t == NULL)
            {
              t = g_new0 (struct tally, 1);
              t->part = part;
              g_hash_table_insert (tallies, &t->part, t);
            }
          count_crash (t, (unsigned)(c - e->crashes), c->at_ms);
        }
    }
  return tallies;
}

/* Whether the part of OTHER was in flight at all crashes of T, too.  */
static bool
covers (const struct tally *other, const struct tally *t)
{
  for (unsigned i = 0; i < MASK_WORDS; i++)
    if ((t->mask[i] & ~other->mask[i]) != 0)
      return false;
  return true;
}

/* Whether the part of T is a culprit: it was in flight at enough crashes, and
   no other part that was never answered at all of them.  */
static bool
is_culprit (const struct crash_evidence *e, GHashTable *tallies,
            const struct tally *t)
{
  GHashTableIter iter;
  void *value = NULL;
  if (t->moments < CRASH_EVIDENCE_CULPRIT)
    return false;
  if (t->moments >= CRASH_EVIDENCE_CULPRIT_TIED)
    return true;
  g_hash_table_iter_init (&iter, tallies);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct tally *other = value;
      if (other != t && covers (other, t)
          && !crash_evidence_was_answered (e, other->part))
        return false;
    }
  return true;
}

/* Returns the culprit with the most crashes, or NULL.  ANSWERED: among the
   parts that were answered before the crashes, which need more of them; else
   among the others.  */
static const struct tally *
worst_culprit (const struct crash_evidence *e, GHashTable *tallies,
               bool answered)
{
  GHashTableIter iter;
  void *value = NULL;
  const struct tally *worst = NULL;
  g_hash_table_iter_init (&iter, tallies);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct tally *t = value;
      if (crash_evidence_was_answered (e, t->part) == answered
          && (!answered || t->moments >= CRASH_EVIDENCE_CULPRIT_TIED)
          && (worst == NULL || t->moments > worst->moments)
          && is_culprit (e, tallies, t))
        worst = t;
    }
  return worst;
}

/* Whether another part was in flight at just the same crashes as T.  */
static bool
has_equal (GHashTable *tallies, const struct tally *t)
{
  GHashTableIter iter;
  void *value = NULL;
  g_hash_table_iter_init (&iter, tallies);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (value != t && covers (value, t) && covers (t, value))
      return true;
  return false;
}

static void
forget_part (struct crash_evidence *e, uint64_t part)
{
  for (unsigned i = 0; i < CRASHES_MAX; i++)
    remove_part (e, &e->crashes[i], part);
}

/* Finds a culprit as worst_culprit, among crashes known for WAIT_MS.  */
static bool
find_culprit (struct crash_evidence *e, bool answered, int64_t wait_ms,
              int64_t now_ms, struct crash_culprit *out)
{
  g_autoptr (GPtrArray) crashes = crashes_known_for (e, wait_ms, now_ms);
  if (crashes->len < CRASH_EVIDENCE_CULPRIT)
    return false;
  g_autoptr (GHashTable) tallies = tally_parts (e, crashes);
  const struct tally *worst = worst_culprit (e, tallies, answered);
  if (worst == NULL)
    return false;
  *out = (struct crash_culprit){ worst->part, worst->moments };
  /* The next call finds the other part, as both are equally suspect.  */
  if (has_equal (tallies, worst))
    forget_part (e, worst->part);
  else
    crash_evidence_explain (e, worst->part);
  return true;
}

bool
crash_evidence_find_culprit (struct crash_evidence *e, int64_t now_ms,
                             struct crash_culprit *out)
{
  if (now_ms - e->change_ms > EVALUATE_MS)
    return false;
  return find_culprit (e, false, ANSWERS_WAIT_MS, now_ms, out)
         || find_culprit (e, true, ANSWERED_PART_WAIT_MS, now_ms, out);
}

void
crash_evidence_explain (struct crash_evidence *e, uint64_t part)
{
  if (!crash_evidence_lists (e, part))
    return;
  for (unsigned i = 0; i < CRASHES_MAX; i++)
    {
      struct crash *c = &e->crashes[i];
      if (!c->confirmed || !list_has (c, part))
        continue;
      clear_list (e, c);
      c->explained = true;
      e->explained++;
    }
}

void
crash_evidence_tick (struct crash_evidence *e, int64_t now_ms)
{
  for (unsigned i = 0; i < CRASHES_MAX; i++)
    {
      struct crash *c = &e->crashes[i];
      int64_t keep_ms = c->confirmed ? CRASH_KEEP_MS : CONFIRM_MS;
      if (c->used && now_ms - c->at_ms > keep_ms)
        drop_crash (e, c);
    }
}

void
crash_evidence_totals (const struct crash_evidence *e, uint64_t *explained,
                       unsigned *unexplained)
{
  *explained = e->explained;
  *unexplained = 0;
  for (unsigned i = 0; i < CRASHES_MAX; i++)
    *unexplained += e->crashes[i].confirmed && !e->crashes[i].explained;
}
