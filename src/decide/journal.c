#include "decide/journal.h"

#include "config.h"

#include <string.h>

#define WRITES_PER_S_DEFAULT 10
/* How long outcomes wait to share a write of claims before they are written
   without one.  */
#define CHANGES_DELAY_MS 200
/* Not used.  */
#define ENTRY_OVERHEAD_BYTES 300

/* A call that waits for a read or a write of the page before it is sent.  */
struct waiting_call
{
  uint64_t ticket;
  char *key;
  char *claim;
  char *request_digest;
  int64_t deadline_ms;
  bool ask_only;
  bool reread; /* the page was read after the call arrived */
  bool taken_over;
  int64_t await_until_ms; /* of a call that was taken over */
  int64_t recheck_ms;     /* not to be checked before */
};

/* A call that was handed out for sending by JOURNAL_SEND.  */
struct running_call
{
  uint64_t ticket;
  char *key;
  char *claim;
  bool answered_unknown; /* a late response may still come */
};

enum slot_io
{
  SLOT_IDLE,
  SLOT_READING,
  SLOT_WRITING,
  SLOT_READING_BACK /* reading to see if a write with no reply was applied */
};

struct slot
{
  unsigned number;
  enum slot_io io;
  bool loaded; /* entries and revision were read */
  int64_t revision;
  GHashTable *entries; /* key -> struct journal_entry, as read or written */
  GPtrArray *waiting;  /* struct waiting_call, not in the write in flight */
  GPtrArray *batch;    /* struct waiting_call, in the write in flight */
  GHashTable *running; /* ticket -> struct running_call */
  GHashTable *unsent_claims; /* claims that are in the page, or may still get
                                there, and whose calls were not sent */
  GPtrArray *changes;       /* struct journal_entry, outcomes not stored yet */
  int64_t changes_since_ms; /* when the first of changes was added, or a read
                               or write of the page last failed */
  bool writing_changes;     /* not used */
  int64_t unanswered_since_ms; /* first of the reads without a reply, or 0 */
  int64_t read_after_ms;       /* no read before */
  guint changes_in_write; /* how many of changes the write in flight holds */
};

struct journal
{
  char *claimer;
  journal_live_fn *live;
  void *arg;
  GHashTable *slots; /* number -> struct slot */
  int64_t retention_ms;
  double write_tokens; /* token bucket of the write limit */
  double writes_per_s;
  int64_t write_tokens_ms; /* of the last refill, 0 for none */
  uint64_t last_claim_number;
  uint64_t writes;
};

/* Creation and release.  */

static void
waiting_call_free (void *p)
{
  struct waiting_call *w = p;
  g_free (w->key);
  g_free (w->claim);
  g_free (w->request_digest);
  g_free (w);
}

static void
running_call_free (void *p)
{
  struct running_call *r = p;
  g_free (r->key);
  g_free (r->claim);
  g_free (r);
}

static void
entry_free (void *p)
{
  record_clear (&journal_entry_record, p);
  g_free (p);
}

static void
slot_free (void *p)
{
  struct slot *s = p;
  g_hash_table_destroy (s->entries);
  g_ptr_array_unref (s->waiting);
  g_ptr_array_unref (s->batch);
  g_hash_table_destroy (s->running);
  g_hash_table_destroy (s->unsent_claims);
  g_ptr_array_unref (s->changes);
  g_free (s);
}

static struct slot *
slot_get (struct journal *j, unsigned number)
{
  struct slot *s = g_hash_table_lookup (j->slots, GUINT_TO_POINTER (number));
  if (s)
    return s;
  s = g_new0 (struct slot, 1);
  s->number = number;
  s->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  s->waiting = g_ptr_array_new_with_free_func (waiting_call_free);
  s->batch = g_ptr_array_new_with_free_func (waiting_call_free);
  s->running = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                      running_call_free);
  s->unsent_claims
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->changes = g_ptr_array_new_with_free_func (entry_free);
  g_hash_table_insert (j->slots, GUINT_TO_POINTER (number), s);
  return s;
}

struct journal *
journal_create (const char *claimer, journal_live_fn *live, void *arg)
{
  struct journal *j = g_new0 (struct journal, 1);
  j->claimer = g_strdup (claimer);
  j->live = live;
  j->arg = arg;
  j->slots = g_hash_table_new_full (NULL, NULL, NULL, slot_free);
  j->retention_ms = G_MAXINT64 / 2;
  j->writes_per_s = WRITES_PER_S_DEFAULT;
  j->write_tokens = 1;
  return j;
}

void
journal_destroy (struct journal *j)
{
  if (j == NULL)
    return;
  g_hash_table_destroy (j->slots);
  g_free (j->claimer);
  g_free (j);
}

static void
action_clear (void *p)
{
  struct journal_action *a = p;
  if (a->page)
    g_bytes_unref (a->page);
  if (a->body)
    g_bytes_unref (a->body);
  g_free (a->content_type);
}

GArray *
journal_actions_create (void)
{
  GArray *out = g_array_new (FALSE, TRUE, sizeof (struct journal_action));
  g_array_set_clear_func (out, action_clear);
  return out;
}

void
journal_configure (struct journal *j, int64_t retention_ms,
                   unsigned writes_per_s)
{
  j->retention_ms = retention_ms;
  j->writes_per_s = MAX (writes_per_s, 1);
}

uint64_t
journal_writes (const struct journal *j)
{
  return j->writes;
}

/* Actions for the calling code.  */

static void
emit (GArray *out, struct journal_action a)
{
  g_array_append_val (out, a);
}

static void
answer (GArray *out, uint64_t ticket, enum result result)
{
  struct journal_action a
      = { .kind = JOURNAL_ANSWER, .ticket = ticket, .result = result };
  if (result == RESULT_NOT_RUN || result == RESULT_IN_PROGRESS)
    a.retry_after_ms = RETRY_AFTER_MIN_MS;
  emit (out, a);
}

/* Answers W, which was not sent from here.  Whether the VM from which it was
   taken over has run it is unknown.  */
static void
answer_unsent (GArray *out, const struct waiting_call *w, enum result result)
{
  bool unknown = w->taken_over && result == RESULT_NOT_RUN;
  answer (out, w->ticket, unknown ? RESULT_OUTCOME_UNKNOWN : result);
}

static void
add_stored_answer (GArray *out, uint64_t ticket, const struct journal_entry *e)
{
  struct journal_action a
      = { .kind = JOURNAL_ANSWER, .ticket = ticket, .replayed = true };
  a.result = e->state == JOURNAL_DONE ? RESULT_OK : RESULT_ANSWER_TOO_LARGE;
  a.status = e->status;
  a.content_type = g_strdup (e->content_type);
  a.body = e->body ? g_bytes_ref (e->body) : NULL;
  emit (out, a);
}

static void
start_read (struct slot *s, enum slot_io io, GArray *out)
{
  s->io = io;
  emit (out,
        (struct journal_action){ .kind = JOURNAL_READ, .slot = s->number });
}

/* Answers all calls in LIST with RESULT and empties LIST.  */
static void
add_answers (GPtrArray *list, enum result result, GArray *out)
{
  for (guint i = 0; i < list->len; i++)
    {
      answer_unsent (out, g_ptr_array_index (list, i), result);
    }
  g_ptr_array_set_size (list, 0);
}

/* Check of a call against the entry of its key.  A claim is
   "VM:INCARNATION:NUMBER".  */

static bool
claim_is_own (const struct journal *j, const char *claim)
{
  size_t n = strlen (j->claimer);
  return strncmp (claim, j->claimer, n) == 0 && claim[n] == ':';
}

static bool
claim_is_running (const struct slot *s, const char *claim)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, s->running);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (strcmp (((struct running_call *)value)->claim, claim) == 0)
      return true;
  return false;
}

static bool
claimer_is_live (const struct journal *j, const char *claim)
{
  const char *end = strrchr (claim, ':');
  g_autofree char *claimer
      = g_strndup (claim, end ? (gsize)(end - claim) : strlen (claim));
  return j->live (j->arg, claimer);
}

/* How to continue with a call.  */
enum claim_check
{
  CHECK_CLAIM,   /* the call may claim its key: write the claim */
  CHECK_REREAD,  /* the page may have changed: read it again first */
  CHECK_AWAIT,   /* the outcome of another process is awaited */
  CHECK_ANSWERED /* an answer was added to the actions */
};

static enum claim_check
check_claimed_entry (struct journal *j, struct slot *s, struct waiting_call *w,
                     const struct journal_entry *e, int64_t now_ms,
                     GArray *out)
{
  if (claim_is_own (j, e->claim))
    {
      if (g_hash_table_contains (s->unsent_claims, e->claim) && !w->ask_only)
        return CHECK_CLAIM;
      answer (out, w->ticket,
              claim_is_running (s, e->claim) ? RESULT_IN_PROGRESS
                                             : RESULT_OUTCOME_UNKNOWN);
      return CHECK_ANSWERED;
    }
  if (!w->reread)
    return CHECK_REREAD;
  bool live = claimer_is_live (j, e->claim);
  if (w->taken_over && (live || now_ms < w->await_until_ms))
    {
      w->reread = false;
      w->recheck_ms = now_ms + JOURNAL_AWAIT_INTERVAL_MS;
      return CHECK_AWAIT;
    }
  answer (out, w->ticket, live ? RESULT_IN_PROGRESS : RESULT_OUTCOME_UNKNOWN);
  return CHECK_ANSWERED;
}

static const struct journal_entry *
entry_find (const struct slot *s, const char *key)
{
  for (guint i = s->changes->len; i-- > 0;)
    {
      const struct journal_entry *e = g_ptr_array_index (s->changes, i);
      if (strcmp (e->key, key) == 0 && e->state != JOURNAL_CLAIMED)
        return e;
    }
  return g_hash_table_lookup (s->entries, key);
}

static enum claim_check
check_call (struct journal *j, struct slot *s, struct waiting_call *w,
            int64_t now_ms, GArray *out)
{
  const struct journal_entry *e = entry_find (s, w->key);
  if (e == NULL && w->ask_only && !w->reread)
    return CHECK_REREAD;
  if (e == NULL && w->ask_only)
    {
      answer (out, w->ticket, RESULT_NOT_FOUND);
      return CHECK_ANSWERED;
    }
  if (e == NULL)
    return CHECK_CLAIM;
  if (!w->ask_only && strcmp (e->request_digest, w->request_digest) != 0)
    {
      answer (out, w->ticket, RESULT_KEY_REUSED);
      return CHECK_ANSWERED;
    }
  if (e->state == JOURNAL_CLAIMED)
    return check_claimed_entry (j, s, w, e, now_ms, out);
  if (e->state == JOURNAL_UNKNOWN)
    answer (out, w->ticket, RESULT_OUTCOME_UNKNOWN);
  else
    add_stored_answer (out, w->ticket, e);
  return CHECK_ANSWERED;
}

/* Encoding and decoding of pages.  */

static struct journal_entry *
entry_copy (const struct journal_entry *e)
{
  struct journal_entry *c = g_new0 (struct journal_entry, 1);
  *c = *e;
  c->key = g_strdup (e->key);
  c->claim = g_strdup (e->claim);
  c->request_digest = g_strdup (e->request_digest);
  c->content_type = g_strdup (e->content_type);
  c->body = e->body ? g_bytes_ref (e->body) : NULL;
  return c;
}

static struct journal_entry *
entry_for_claim (const struct waiting_call *w, int64_t now_ms)
{
  struct journal_entry *e = g_new0 (struct journal_entry, 1);
  e->key = g_strdup (w->key);
  e->claim = g_strdup (w->claim);
  e->request_digest = g_strdup (w->request_digest);
  e->content_type = g_strdup ("");
  e->state = JOURNAL_CLAIMED;
  e->claimed_ms = (uint64_t)now_ms;
  return e;
}

static void
entries_put (GHashTable *entries, struct journal_entry *e)
{
  g_hash_table_replace (entries, e->key, e);
}

/* Applies the changes of S to ENTRIES, each only if the entry of its key still
   holds the same claim.  A change in state JOURNAL_CLAIMED releases the claim:
   the entry is removed.  Other changes store the outcome.  */
static void
changes_apply (const struct slot *s, GHashTable *entries)
{
  for (guint i = 0; i < s->changes->len; i++)
    {
      const struct journal_entry *c = g_ptr_array_index (s->changes, i);
      const struct journal_entry *current
          = g_hash_table_lookup (entries, c->key);
      if (current == NULL || strcmp (current->claim, c->claim) != 0)
        continue;
      if (c->state == JOURNAL_CLAIMED)
        g_hash_table_remove (entries, c->key);
      else
        {
          struct journal_entry *done = entry_copy (c);
          done->claimed_ms = current->claimed_ms;
          entries_put (entries, done);
        }
    }
}

static gboolean
entry_expired (gpointer key, gpointer value, gpointer arg)
{
  (void)key;
  const struct journal_entry *e = value;
  return (int64_t)e->claimed_ms < *(int64_t *)arg;
}

/* Returns the entries to write: those of the page, with the changes applied
   and expired entries removed, and a claim for each call of the batch.  */
static GHashTable *
entries_for_write (struct journal *j, struct slot *s, int64_t now_ms)
{
  GHashTable *next
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, s->entries);
  while (g_hash_table_iter_next (&it, NULL, &value))
    entries_put (next, entry_copy (value));
  changes_apply (s, next);
  int64_t oldest_ms = now_ms - j->retention_ms;
  g_hash_table_foreach_remove (next, entry_expired, &oldest_ms);
  for (guint i = 0; i < s->batch->len; i++)
    entries_put (next,
                 entry_for_claim (g_ptr_array_index (s->batch, i), now_ms));
  return next;
}

static GBytes *
page_encode (GHashTable *entries)
{
  struct journal_page page
      = { .entries = record_list_create (&journal_entry_record) };
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, entries);
  while (g_hash_table_iter_next (&it, NULL, &value))
    g_array_append_vals (page.entries, value, 1);
  GByteArray *out = g_byte_array_new ();
  record_encode (&journal_page_record, &page, out);
  g_array_free (page.entries, TRUE);
  return g_byte_array_free_to_bytes (out);
}

static bool
page_decode (GBytes *bytes, GHashTable *entries)
{
  struct journal_page page;
  gsize n = 0;
  const void *data = g_bytes_get_data (bytes, &n);
  if (!record_decode (&journal_page_record, data, n, &page))
    return false;
  for (guint i = 0; i < page.entries->len; i++)
    entries_put (entries, entry_copy (&g_array_index (
                              page.entries, struct journal_entry, i)));
  record_clear (&journal_page_record, &page);
  return true;
}

/* Writes of claims and outcomes.  */

/* Takes a token of the write limit.  The bucket is refilled at writes_per_s
   and holds the tokens of 250 ms, but at least one.  */
static bool
take_write_token (struct journal *j, int64_t now_ms)
{
  if (j->write_tokens_ms != 0)
    j->write_tokens
        += (double)(now_ms - j->write_tokens_ms) / 1000 * j->writes_per_s;
  j->write_tokens_ms = now_ms;
  j->write_tokens = MIN (j->write_tokens, MAX (j->writes_per_s / 4, 1));
  if (j->write_tokens < 1)
    return false;
  j->write_tokens -= 1;
  return true;
}

/* Checks the waiting calls: moves those that may claim their key to the batch,
   answers others, and leaves those that need a new read of the page.  Returns
   whether any need that read.  */
static bool
fill_batch (struct journal *j, struct slot *s, int64_t now_ms, GArray *out)
{
  g_autoptr (GPtrArray) calls = s->waiting;
  s->waiting = g_ptr_array_new_with_free_func (waiting_call_free);
  g_ptr_array_set_free_func (calls, NULL);
  g_autoptr (GHashTable) claimed = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < s->batch->len; i++)
    g_hash_table_add (claimed,
                      ((struct waiting_call *)s->batch->pdata[i])->key);
  bool reread = false;
  for (guint i = 0; i < calls->len; i++)
    {
      struct waiting_call *w = g_ptr_array_index (calls, i);
      if (now_ms > w->deadline_ms)
        {
          answer_unsent (out, w, RESULT_NOT_RUN);
          waiting_call_free (w);
          continue;
        }
      enum claim_check check = now_ms < w->recheck_ms
                                   ? CHECK_AWAIT
                                   : check_call (j, s, w, now_ms, out);
      if (check == CHECK_ANSWERED)
        waiting_call_free (w);
      else if (check == CHECK_CLAIM && g_hash_table_contains (claimed, w->key))
        {
          answer (out, w->ticket, RESULT_IN_PROGRESS);
          waiting_call_free (w);
        }
      else if (check == CHECK_CLAIM)
        {
          g_hash_table_add (claimed, w->key);
          g_ptr_array_add (s->batch, w);
        }
      else
        {
          reread = reread || check == CHECK_REREAD;
          g_ptr_array_add (s->waiting, w);
        }
    }
  return reread;
}

static void
start_write (struct journal *j, struct slot *s, int64_t now_ms, GArray *out)
{
  g_autoptr (GHashTable) next = entries_for_write (j, s, now_ms);
  GBytes *page = page_encode (next);
  if (g_bytes_get_size (page) > JOURNAL_PAGE_MAX_BYTES && s->batch->len > 0)
    {
      /* The page is full: claims are refused until older entries expire.  */
      g_bytes_unref (page);
      add_answers (s->batch, RESULT_NOT_RUN, out);
      return;
    }
  s->io = SLOT_WRITING;
  s->changes_in_write = s->changes->len;
  j->writes++;
  emit (out, (struct journal_action){ .kind = JOURNAL_WRITE,
                                      .slot = s->number,
                                      .revision = s->revision,
                                      .page = page });
}

static bool
changes_due (const struct slot *s, int64_t now_ms)
{
  return s->changes->len > 0
         && now_ms - s->changes_since_ms >= CHANGES_DELAY_MS;
}

/* Answers the waiting calls that need no claim, and starts the next read or
   write of the slot if one is needed.  Does nothing while one is in
   flight.  */
static void
slot_advance (struct journal *j, struct slot *s, int64_t now_ms, GArray *out)
{
  if (s->io != SLOT_IDLE)
    return;
  if (now_ms < s->read_after_ms)
    return;
  if (s->batch->len > 0)
    {
      start_read (s, SLOT_READING_BACK, out);
      return;
    }
  if (!s->loaded)
    {
      if (s->waiting->len > 0 || changes_due (s, now_ms))
        start_read (s, SLOT_READING, out);
      return;
    }
  bool reread = fill_batch (j, s, now_ms, out);
  if (s->batch->len == 0 && reread)
    {
      start_read (s, SLOT_READING, out);
      return;
    }
  if (s->batch->len == 0 && !changes_due (s, now_ms))
    return;
  if (take_write_token (j, now_ms))
    {
      start_write (j, s, now_ms, out);
      return;
    }
  /* The write limit is reached: the calls of the batch wait and are checked
     again next time.  */
  for (guint i = 0; i < s->batch->len; i++)
    g_ptr_array_add (s->waiting, g_ptr_array_index (s->batch, i));
  g_ptr_array_set_free_func (s->batch, NULL);
  g_ptr_array_set_size (s->batch, 0);
  g_ptr_array_set_free_func (s->batch, waiting_call_free);
}

void
journal_claim (struct journal *j, unsigned slot,
               const struct journal_call *call, int64_t now_ms, GArray *out)
{
  struct slot *s = slot_get (j, slot);
  struct waiting_call *w = g_new0 (struct waiting_call, 1);
  w->ticket = call->ticket;
  w->key = g_strdup (call->key);
  w->request_digest = g_strdup (call->request_digest);
  w->claim = g_strdup_printf ("%s:%" G_GUINT64_FORMAT, j->claimer,
                              (guint64)++j->last_claim_number);
  w->deadline_ms = call->deadline_ms;
  w->ask_only = call->ask_only;
  w->taken_over = call->taken_over;
  w->await_until_ms = now_ms + JOURNAL_AWAIT_MS;
  g_ptr_array_add (s->waiting, w);
  slot_advance (j, s, now_ms, out);
}

/* Results of reads and writes.  */

/* Drops the claims from unsent_claims that the page does not hold.  To be
   called when the page has a new revision: a write against the old one can no
   longer be applied.  */
static void
prune_unsent_claims (struct slot *s)
{
  GHashTableIter it;
  gpointer claim;
  g_hash_table_iter_init (&it, s->unsent_claims);
  while (g_hash_table_iter_next (&it, &claim, NULL))
    {
      bool stored = false;
      GHashTableIter entries;
      gpointer value;
      g_hash_table_iter_init (&entries, s->entries);
      while (!stored && g_hash_table_iter_next (&entries, NULL, &value))
        stored = strcmp (((struct journal_entry *)value)->claim, claim) == 0;
      if (!stored)
        g_hash_table_iter_remove (&it);
    }
}

static void
fail_batch (struct slot *s, bool may_be_applied, enum result result,
            GArray *out)
{
  for (guint i = 0; may_be_applied && i < s->batch->len; i++)
    {
      struct waiting_call *w = g_ptr_array_index (s->batch, i);
      g_hash_table_add (s->unsent_claims, g_strdup (w->claim));
    }
  add_answers (s->batch, result, out);
}

static void
send_claimed_call (struct slot *s, struct waiting_call *w, int64_t now_ms,
                   GArray *out)
{
  if (now_ms > w->deadline_ms)
    {
      g_hash_table_add (s->unsent_claims, g_strdup (w->claim));
      answer (out, w->ticket, RESULT_NOT_RUN);
      return;
    }
  struct running_call *r = g_new0 (struct running_call, 1);
  r->ticket = w->ticket;
  r->key = g_strdup (w->key);
  r->claim = g_strdup (w->claim);
  g_hash_table_replace (s->running, &r->ticket, r);
  emit (out, (struct journal_action){ .kind = JOURNAL_SEND,
                                      .slot = s->number,
                                      .ticket = w->ticket });
}

/* Called when the page was read after a write without a reply.  Calls whose
   claim is in the page are sent.  The others are never sent and are answered
   with RESULT_NOT_RUN.  If the revision has not changed, the write may still
   be applied, so their claims are added to unsent_claims.  */
static void
resolve_batch (struct slot *s, bool page_changed, int64_t now_ms, GArray *out)
{
  for (guint i = 0; i < s->batch->len; i++)
    {
      struct waiting_call *w = g_ptr_array_index (s->batch, i);
      const struct journal_entry *e = g_hash_table_lookup (s->entries, w->key);
      if (e && strcmp (e->claim, w->claim) == 0)
        {
          send_claimed_call (s, w, now_ms, out);
          continue;
        }
      if (!page_changed)
        g_hash_table_add (s->unsent_claims, g_strdup (w->claim));
      answer_unsent (out, w, RESULT_NOT_RUN);
    }
  g_ptr_array_set_size (s->batch, 0);
}

void
journal_read_done (struct journal *j, unsigned slot, bool ok, int64_t revision,
                   GBytes *page, int64_t now_ms, GArray *out)
{
  struct slot *s = slot_get (j, slot);
  enum slot_io previous_io = s->io;
  s->io = SLOT_IDLE;
  GHashTable *entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  if (ok && page && !page_decode (page, entries))
    ok = false;
  s->read_after_ms = 0;
  if (ok)
    s->unanswered_since_ms = 0;
  if (!ok)
    {
      g_hash_table_destroy (entries);
      s->loaded = false;
      fail_batch (s, previous_io == SLOT_READING_BACK, RESULT_NOT_RUN, out);
      add_answers (s->waiting, RESULT_NOT_RUN, out);
      s->changes_since_ms = now_ms;
      return;
    }
  bool page_changed = revision != s->revision;
  g_hash_table_destroy (s->entries);
  s->entries = entries;
  s->revision = revision;
  s->loaded = true;
  if (previous_io == SLOT_READING_BACK)
    resolve_batch (s, page_changed, now_ms, out);
  if (page_changed)
    prune_unsent_claims (s);
  for (guint i = 0; i < s->waiting->len; i++)
    ((struct waiting_call *)g_ptr_array_index (s->waiting, i))->reread = true;
  slot_advance (j, s, now_ms, out);
}

void
journal_read_unanswered (struct journal *j, unsigned slot, int64_t now_ms,
                         GArray *out)
{
  struct slot *s = slot_get (j, slot);
  if (s->unanswered_since_ms == 0)
    s->unanswered_since_ms = now_ms;
  if (now_ms - s->unanswered_since_ms >= JOURNAL_KV_SILENCE_MS)
    {
      journal_read_done (j, slot, false, 0, NULL, now_ms, out);
      return;
    }
  s->io = SLOT_IDLE;
  s->loaded = false;
  s->read_after_ms = now_ms + JOURNAL_KV_RETRY_MS;
  for (guint i = 0; i < s->batch->len; i++)
    {
      struct waiting_call *w = g_ptr_array_index (s->batch, i);
      if (now_ms <= w->deadline_ms)
        continue;
      g_hash_table_add (s->unsent_claims, g_strdup (w->claim));
      answer_unsent (out, w, RESULT_NOT_RUN);
      g_ptr_array_remove_index (s->batch, i--);
    }
}

static void
write_succeeded (struct journal *j, struct slot *s, int64_t revision,
                 int64_t now_ms, GArray *out)
{
  GHashTable *next = entries_for_write (j, s, now_ms);
  g_hash_table_destroy (s->entries);
  s->entries = next;
  s->revision = revision;
  g_ptr_array_remove_range (s->changes, 0, s->changes_in_write);
  prune_unsent_claims (s);
  for (guint i = 0; i < s->batch->len; i++)
    send_claimed_call (s, g_ptr_array_index (s->batch, i), now_ms, out);
  g_ptr_array_set_size (s->batch, 0);
}

static void
requeue_batch (struct slot *s)
{
  g_ptr_array_set_free_func (s->batch, NULL);
  for (guint i = 0; i < s->batch->len; i++)
    g_ptr_array_add (s->waiting, g_ptr_array_index (s->batch, i));
  g_ptr_array_set_size (s->batch, 0);
  g_ptr_array_set_free_func (s->batch, waiting_call_free);
}

void
journal_write_done (struct journal *j, unsigned slot,
                    enum journal_write_outcome outcome, int64_t revision,
                    int64_t now_ms, GArray *out)
{
  struct slot *s = slot_get (j, slot);
  s->io = SLOT_IDLE;
  switch (outcome)
    {
    case JOURNAL_WRITE_OK:
      write_succeeded (j, s, revision, now_ms, out);
      break;
    case JOURNAL_WRITE_CONFLICT:
      requeue_batch (s);
      start_read (s, SLOT_READING, out);
      return;
    case JOURNAL_WRITE_NOT_DONE:
      fail_batch (s, false, RESULT_NOT_RUN, out);
      s->changes_since_ms = now_ms;
      break;
    case JOURNAL_WRITE_UNKNOWN:
      start_read (s, SLOT_READING_BACK, out);
      return;
    }
  slot_advance (j, s, now_ms, out);
}

/* Outcomes of calls.  */

static struct journal_entry *
change_create (const struct running_call *r, const struct journal_outcome *o)
{
  struct journal_entry *c = g_new0 (struct journal_entry, 1);
  c->key = g_strdup (r->key);
  c->claim = g_strdup (r->claim);
  c->request_digest = g_strdup ("");
  c->content_type = g_strdup (o->content_type ? o->content_type : "");
  c->status = o->status;
  gsize n = o->body ? g_bytes_get_size (o->body) : 0;
  if (o->kind == JOURNAL_OUTCOME_NOT_SENT)
    c->state = JOURNAL_CLAIMED;
  else if (o->kind == JOURNAL_OUTCOME_UNKNOWN)
    c->state = JOURNAL_UNKNOWN;
  else if (n > JOURNAL_BODY_MAX_BYTES)
    c->state = JOURNAL_DONE_TOO_LARGE;
  else
    c->state = JOURNAL_DONE;
  if (c->state == JOURNAL_DONE && n > 0)
    c->body = g_bytes_ref (o->body);
  return c;
}

static void
add_outcome_answer (GArray *out, uint64_t ticket,
                    const struct journal_outcome *o)
{
  if (o->kind == JOURNAL_OUTCOME_NOT_SENT)
    answer (out, ticket, RESULT_NOT_RUN);
  else if (o->kind == JOURNAL_OUTCOME_UNKNOWN)
    answer (out, ticket, RESULT_OUTCOME_UNKNOWN);
  else
    emit (out, (struct journal_action){
                   .kind = JOURNAL_ANSWER,
                   .ticket = ticket,
                   .result = RESULT_OK,
                   .status = o->status,
                   .content_type = g_strdup (o->content_type),
                   .body = o->body ? g_bytes_ref (o->body) : NULL });
}

void
journal_finish (struct journal *j, unsigned slot, uint64_t ticket,
                const struct journal_outcome *o, int64_t now_ms, GArray *out)
{
  struct slot *s = slot_get (j, slot);
  struct running_call *r = g_hash_table_lookup (s->running, &ticket);
  if (r == NULL)
    return;
  struct journal_entry *c = change_create (r, o);
  const struct journal_entry *current
      = g_hash_table_lookup (s->entries, r->key);
  if (current)
    {
      g_free (c->request_digest);
      c->request_digest = g_strdup (current->request_digest);
    }
  if (s->changes->len == 0)
    s->changes_since_ms = now_ms;
  g_ptr_array_add (s->changes, c);
  if (o->kind == JOURNAL_OUTCOME_NOT_SENT)
    g_hash_table_add (s->unsent_claims, g_strdup (r->claim));
  bool already_answered = r->answered_unknown;
  if (!already_answered)
    add_outcome_answer (out, ticket, o);
  r->answered_unknown = o->kind == JOURNAL_OUTCOME_UNKNOWN;
  if (!r->answered_unknown || already_answered)
    g_hash_table_remove (s->running, &ticket);
  slot_advance (j, s, now_ms, out);
}

static void
expire_waiting (struct slot *s, int64_t now_ms, GArray *out)
{
  for (guint i = 0; i < s->waiting->len; i++)
    {
      struct waiting_call *w = g_ptr_array_index (s->waiting, i);
      if (now_ms > w->deadline_ms)
        {
          answer_unsent (out, w, RESULT_NOT_RUN);
          g_ptr_array_remove_index (s->waiting, i--);
        }
    }
}

void
journal_tick (struct journal *j, int64_t now_ms, GArray *out)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, j->slots);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      expire_waiting (value, now_ms, out);
      slot_advance (j, value, now_ms, out);
    }
}

bool
journal_busy (const struct journal *j)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, j->slots);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct slot *s = value;
      if (s->waiting->len > 0 || s->batch->len > 0 || s->changes->len > 0)
        return true;
    }
  return false;
}
