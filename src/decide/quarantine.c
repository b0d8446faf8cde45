#include "decide/quarantine.h"

#include <string.h>

#define ENTRIES_MAX 256
#define ANSWERS_OUT_MAX 64
/* The time to the next canary doubles up to this.  */
#define CANARY_INTERVAL_MAX_MS (60 * 60 * 1000)
/* An entry without a request is dropped this long after its canary was due;
   a released one is kept as long, so that old messages do not bring it
   back.  */
#define ENTRY_KEEP_MS (60 * 60 * 1000)
/* Crashes without an answer since from which a part is suspect.  */
#define SUSPECT_CRASHES 2

struct entry
{
  struct quarantine_entry shared; /* as other VMs get it */
  bool canary_out;                /* this VM has sent a canary */
  bool unsent;
};

/* An answer to be announced.  */
struct answer
{
  uint64_t part;
  int64_t at_ms;
};

struct quarantine
{
  struct crash_evidence *evidence;
  GHashTable *entries; /* part -> struct entry */
  unsigned n_convicted;
  int64_t canary_ms;
  struct answer answers[ANSWERS_OUT_MAX];
  unsigned n_answers;
  unsigned next_visit; /* for quarantine_next */
};

struct quarantine *
quarantine_create (void)
{
  struct quarantine *q = g_new0 (struct quarantine, 1);
  q->evidence = crash_evidence_create ();
  q->entries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  q->canary_ms = QUARANTINE_CANARY_MS;
  return q;
}

void
quarantine_destroy (struct quarantine *q)
{
  if (q == NULL)
    return;
  crash_evidence_destroy (q->evidence);
  g_hash_table_destroy (q->entries);
  g_free (q);
}

void
quarantine_set_canary_ms (struct quarantine *q, int64_t ms)
{
  q->canary_ms = ms;
}

struct crash_evidence *
quarantine_evidence (struct quarantine *q)
{
  return q->evidence;
}

/* Entries.  */

static struct entry *
find_entry (const struct quarantine *q, uint64_t part)
{
  return g_hash_table_lookup (q->entries, &part);
}

static struct entry *
find_convicted (const struct quarantine *q, uint64_t part)
{
  if (q->n_convicted == 0)
    return NULL;
  struct entry *e = find_entry (q, part);
  return e && !e->shared.released ? e : NULL;
}

static void
drop_entry (struct quarantine *q, struct entry *e)
{
  q->n_convicted -= !e->shared.released;
  g_hash_table_remove (q->entries, &e->shared.part);
}

/* Whether A is to be replaced before B.  */
static bool
replaced_before (const struct entry *a, const struct entry *b)
{
  if (a->shared.released != b->shared.released)
    return a->shared.released;
  return a->shared.convicted_ms < b->shared.convicted_ms;
}

static void
make_room (struct quarantine *q)
{
  GHashTableIter iter;
  void *value = NULL;
  struct entry *first = NULL;
  if (g_hash_table_size (q->entries) < ENTRIES_MAX)
    return;
  g_hash_table_iter_init (&iter, q->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (first == NULL || replaced_before (value, first))
      first = value;
  if (first)
    drop_entry (q, first);
}

/* Replaces the entry of a part by STATE.  */
static struct entry *
put_entry (struct quarantine *q, const struct quarantine_entry *state)
{
  struct entry *e = find_entry (q, state->part);
  if (e == NULL)
    {
      make_room (q);
      e = g_new0 (struct entry, 1);
      e->shared.part = state->part;
      e->shared.released = true;
      g_hash_table_insert (q->entries, &e->shared.part, e);
    }
  q->n_convicted += e->shared.released && !state->released;
  q->n_convicted -= !e->shared.released && state->released;
  e->shared = *state;
  e->canary_out = false;
  return e;
}

static void
release (struct quarantine *q, struct entry *e)
{
  e->shared.released = true;
  e->unsent = true;
  q->n_convicted--;
}

/* What this VM sees.  */

/* A request with PART was lost: if it was a canary, the next one waits
   longer.  */
static void
record_lost_canary (struct quarantine *q, uint64_t part, int64_t now_ms)
{
  struct entry *e = find_convicted (q, part);
  if (e == NULL || !e->canary_out)
    return;
  e->canary_out = false;
  e->shared.interval_ms
      = MAX (e->shared.interval_ms,
             MIN (e->shared.interval_ms * 2, CANARY_INTERVAL_MAX_MS));
  e->shared.canary_ms = now_ms + e->shared.interval_ms;
  e->unsent = true;
}

void
quarantine_record_lost (struct quarantine *q, const char *id,
                        int64_t started_ms, const struct prompt *prompt,
                        int64_t now_ms)
{
  uint64_t parts[PROMPT_PARTS_MAX];
  unsigned n = prompt_shared_parts (prompt);
  for (unsigned i = 0; i < n; i++)
    {
      parts[i] = prompt->parts[i].id;
      record_lost_canary (q, parts[i], now_ms);
    }
  if (n == 0)
    return;
  struct crash_report lost = { .upstream = id,
                               .started_ms = started_ms,
                               .at_ms = now_ms,
                               .parts = parts,
                               .n_parts = n };
  crash_evidence_record_lost (q->evidence, &lost);
}

/* Remembers the answer to a request with PART, to be announced.  */
static void
announce_answer (struct quarantine *q, uint64_t part, int64_t at_ms)
{
  if (q->n_answers < ANSWERS_OUT_MAX)
    q->answers[q->n_answers++] = (struct answer){ part, at_ms };
}

void
quarantine_record_answer (struct quarantine *q, const struct prompt *prompt,
                          int64_t now_ms)
{
  for (unsigned i = 0; i < prompt_shared_parts (prompt); i++)
    {
      uint64_t part = prompt->parts[i].id;
      struct entry *e = find_convicted (q, part);
      if (e)
        release (q, e);
      if (crash_evidence_clear (q->evidence, part, now_ms))
        announce_answer (q, part, now_ms);
    }
}

/* Decisions.  */

enum quarantine_verdict
quarantine_check (struct quarantine *q, const struct prompt *prompt,
                  bool (*may_try) (void *arg, uint64_t part), void *arg,
                  int64_t now_ms, unsigned *wait_ms)
{
  bool convicted = false;
  int64_t wait = 0;
  if (q->n_convicted == 0)
    return QUARANTINE_PASS;
  for (unsigned i = 0; i < prompt_shared_parts (prompt); i++)
    {
      const struct entry *e = find_convicted (q, prompt->parts[i].id);
      if (e == NULL)
        continue;
      convicted = true;
      if (now_ms < e->shared.canary_ms)
        wait = MAX (wait, e->shared.canary_ms - now_ms);
      else if (!may_try (arg, e->shared.part))
        wait = MAX (wait, e->shared.interval_ms);
    }
  *wait_ms = (unsigned)wait;
  if (!convicted)
    return QUARANTINE_PASS;
  if (wait > 0)
    return QUARANTINE_REFUSE;
  for (unsigned i = 0; i < prompt_shared_parts (prompt); i++)
    {
      struct entry *e = find_convicted (q, prompt->parts[i].id);
      if (e == NULL)
        continue;
      e->canary_out = true;
      e->shared.canary_ms = now_ms + e->shared.interval_ms;
      e->unsent = true;
    }
  return QUARANTINE_CANARY;
}

bool
quarantine_blocks (const struct quarantine *q, const struct prompt *prompt)
{
  if (q->n_convicted == 0)
    return false;
  for (unsigned i = 0; i < prompt_shared_parts (prompt); i++)
    if (find_convicted (q, prompt->parts[i].id))
      return true;
  return false;
}

bool
quarantine_suspects (const struct quarantine *q, const struct prompt *prompt)
{
  for (unsigned i = 0; i < prompt_shared_parts (prompt); i++)
    if (crash_evidence_count (q->evidence, prompt->parts[i].id)
        >= SUSPECT_CRASHES)
      return true;
  return false;
}

static void
convict (struct quarantine *q, const struct crash_culprit *c, int64_t now_ms)
{
  const struct entry *old = find_entry (q, c->part);
  struct quarantine_entry state = { .part = c->part,
                                    .round = old ? old->shared.round + 1 : 1,
                                    .crashes = c->crashes,
                                    .convicted_ms = now_ms,
                                    .canary_ms = now_ms + q->canary_ms,
                                    .interval_ms = q->canary_ms };
  put_entry (q, &state)->unsent = true;
}

/* Crashes that a convicted part explains convict no other part.  */
static void
explain_crashes (void *arg, const struct quarantine_entry *entry)
{
  crash_evidence_explain (arg, entry->part);
}

static gboolean
is_expired (void *key, void *value, void *arg)
{
  (void)key;
  const struct entry *e = value;
  const int64_t *now_ms = arg;
  return *now_ms - e->shared.canary_ms > ENTRY_KEEP_MS;
}

void
quarantine_tick (struct quarantine *q, int64_t now_ms)
{
  struct crash_culprit c;
  crash_evidence_tick (q->evidence, now_ms);
  if (q->n_convicted > 0)
    quarantine_foreach (q, explain_crashes, q->evidence);
  while (crash_evidence_find_culprit (q->evidence, now_ms, &c))
    convict (q, &c, now_ms);
  if (g_hash_table_size (q->entries) == 0)
    return;
  g_hash_table_foreach_remove (q->entries, is_expired, &now_ms);
  q->n_convicted = quarantine_count (q);
}

/* Entries and answers exchanged between VMs.  */

/* Merges ENTRY, of the same round, into E.  */
static bool
merge_round (struct quarantine *q, struct entry *e,
             const struct quarantine_entry *entry)
{
  if (e->shared.released)
    return false;
  if (entry->released)
    {
      e->shared.released = true;
      q->n_convicted--;
      return true;
    }
  e->shared.interval_ms = MAX (e->shared.interval_ms, entry->interval_ms);
  e->shared.canary_ms = MAX (e->shared.canary_ms, entry->canary_ms);
  return false;
}

/* Whether ENTRY, a conviction by another VM, is contradicted by an answer that
   this VM has seen and the other one has not.  */
static bool
is_contradicted (const struct quarantine *q,
                 const struct quarantine_entry *entry)
{
  return !entry->released && entry->crashes < CRASH_EVIDENCE_CULPRIT_TIED
         && crash_evidence_was_answered (q->evidence, entry->part);
}

bool
quarantine_merge (struct quarantine *q, const struct quarantine_entry *entry,
                  int64_t now_ms)
{
  struct entry *e = find_entry (q, entry->part);
  if (entry->released)
    (void)crash_evidence_clear (q->evidence, entry->part, now_ms);
  if (e && e->shared.round == entry->round)
    return merge_round (q, e, entry);
  if (e && e->shared.round > entry->round)
    return false;
  bool contradicted = is_contradicted (q, entry);
  e = put_entry (q, entry);
  if (contradicted)
    release (q, e);
  return true;
}

void
quarantine_merge_answer (struct quarantine *q, uint64_t part, int64_t at_ms)
{
  (void)crash_evidence_clear (q->evidence, part, at_ms);
  /* Announced already.  */
  for (unsigned i = 0; i < q->n_answers; i++)
    if (q->answers[i].part == part)
      {
        q->answers[i] = q->answers[--q->n_answers];
        return;
      }
}

bool
quarantine_next_unsent (struct quarantine *q, struct quarantine_entry *out)
{
  GHashTableIter iter;
  void *value = NULL;
  g_hash_table_iter_init (&iter, q->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct entry *e = value;
      if (!e->unsent)
        continue;
      e->unsent = false;
      *out = e->shared;
      return true;
    }
  return false;
}

unsigned
quarantine_next (struct quarantine *q, struct quarantine_entry *out,
                 unsigned max)
{
  unsigned n = 0;
  unsigned at = 0;
  unsigned all = g_hash_table_size (q->entries);
  GHashTableIter iter;
  void *value = NULL;
  g_hash_table_iter_init (&iter, q->entries);
  while (n < max && g_hash_table_iter_next (&iter, NULL, &value))
    if (at++ >= q->next_visit)
      out[n++] = ((const struct entry *)value)->shared;
  q->next_visit = q->next_visit + n >= all ? 0 : q->next_visit + n;
  return n;
}

bool
quarantine_next_answer (struct quarantine *q, uint64_t *part, int64_t *at_ms)
{
  if (q->n_answers == 0)
    return false;
  const struct answer *a = &q->answers[--q->n_answers];
  *part = a->part;
  *at_ms = a->at_ms;
  return true;
}

unsigned
quarantine_entries (const struct quarantine *q)
{
  return g_hash_table_size (q->entries);
}

static void
count_convicted (void *arg, const struct quarantine_entry *entry)
{
  (void)entry;
  ++*(unsigned *)arg;
}

unsigned
quarantine_count (const struct quarantine *q)
{
  unsigned n = 0;
  quarantine_foreach (q, count_convicted, &n);
  return n;
}

void
quarantine_foreach (const struct quarantine *q,
                    void (*visit) (void *arg,
                                   const struct quarantine_entry *entry),
                    void *arg)
{
  GHashTableIter iter;
  void *value = NULL;
  g_hash_table_iter_init (&iter, q->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry *e = value;
      if (!e->shared.released)
        visit (arg, &e->shared);
    }
}
