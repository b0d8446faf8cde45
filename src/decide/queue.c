#include "decide/queue.h"

#include "decide/route.h"

/* A running or waiting request.  */
struct entry
{
  struct queue_item item;
  uint64_t sequence; /* order of arrival */
  bool running;
  bool prefilled;
};

struct queue
{
  unsigned batch;       /* maximum number of running requests */
  unsigned waiting_max; /* maximum number of waiting requests */
  bool draining;
  uint32_t prefill_rate; /* tokens per second; 0 if unknown */
  bool mixed;            /* the engine both prefills and decodes */
  GHashTable *entries;   /* ticket -> struct entry */
  GSequence *waiting;    /* struct entry, sorted by compare_entries */
  unsigned running;
  uint32_t tokens; /* not yet prefilled, of all entries */
  uint64_t next_sequence;
};

struct queue *
queue_create (unsigned batch, unsigned waiting)
{
  struct queue *q = g_new0 (struct queue, 1);
  q->batch = batch;
  q->waiting_max = waiting;
  q->entries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  q->waiting = g_sequence_new (NULL);
  return q;
}

void
queue_destroy (struct queue *q)
{
  if (q == NULL)
    return;
  g_sequence_free (q->waiting);
  g_hash_table_destroy (q->entries);
  g_free (q);
}

/* Orders by priority, highest first, then by arrival.  */
static gint
compare_entries (gconstpointer a, gconstpointer b, gpointer arg)
{
  (void)arg;
  const struct entry *x = a, *y = b;
  if (x->item.priority != y->item.priority)
    return x->item.priority > y->item.priority ? -1 : 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static void
start (struct queue *q, struct entry *e)
{
  e->running = true;
  q->running++;
}

/* Time at which the first token of ITEM is expected: after the engine has
   prefilled all outstanding prompts and ITEM's own.  NOW_MS if the
   prefill rate is unknown or ITEM needs no prefill.  */
static int64_t
first_token_ms (const struct queue *q, const struct queue_item *item,
                int64_t now_ms)
{
  if (q->prefill_rate == 0 || item->prompt_tokens == 0)
    return now_ms;
  uint64_t tokens = (uint64_t)q->tokens + item->prompt_tokens;
  unsigned percent
      = q->mixed ? mixed_prefill_percent (q->running, q->batch) : 100;
  uint64_t rate = (uint64_t)q->prefill_rate * percent / 100;
  return now_ms + (int64_t)(tokens * 1000 / MAX (rate, 1));
}

enum queue_verdict
queue_admit (struct queue *q, const struct queue_item *item, int64_t now_ms)
{
  unsigned waiting = queue_waiting (q);
  bool starts_now = q->running < q->batch && waiting == 0;
  if (q->draining || first_token_ms (q, item, now_ms) > item->deadline_ms
      || (!starts_now && waiting >= q->waiting_max))
    return QUEUE_REFUSE;
  struct entry *e = g_new0 (struct entry, 1);
  e->item = *item;
  e->sequence = q->next_sequence++;
  g_hash_table_replace (q->entries, &e->item.ticket, e);
  q->tokens += item->prompt_tokens;
  if (!starts_now)
    {
      g_sequence_insert_sorted (q->waiting, e, compare_entries, NULL);
      return QUEUE_WAIT;
    }
  start (q, e);
  return QUEUE_START;
}

void
queue_prefilled (struct queue *q, uint64_t ticket)
{
  struct entry *e = g_hash_table_lookup (q->entries, &ticket);
  if (e == NULL || e->prefilled)
    return;
  e->prefilled = true;
  q->tokens -= e->item.prompt_tokens;
}

void
queue_remove (struct queue *q, uint64_t ticket)
{
  struct entry *e = g_hash_table_lookup (q->entries, &ticket);
  if (e == NULL)
    return;
  queue_prefilled (q, ticket);
  if (e->running)
    q->running--;
  else
    g_sequence_remove (
        g_sequence_lookup (q->waiting, e, compare_entries, NULL));
  g_hash_table_remove (q->entries, &ticket);
}

bool
queue_start_next (struct queue *q, uint64_t *ticket)
{
  GSequenceIter *first = g_sequence_get_begin_iter (q->waiting);
  if (q->running >= q->batch || g_sequence_iter_is_end (first))
    return false;
  struct entry *e = g_sequence_get (first);
  g_sequence_remove (first);
  start (q, e);
  *ticket = e->item.ticket;
  return true;
}

bool
queue_remove_expired (struct queue *q, int64_t now_ms, uint64_t *ticket)
{
  for (GSequenceIter *i = g_sequence_get_begin_iter (q->waiting);
       !g_sequence_iter_is_end (i); i = g_sequence_iter_next (i))
    {
      const struct entry *e = g_sequence_get (i);
      if (now_ms > e->item.deadline_ms)
        {
          *ticket = e->item.ticket;
          queue_remove (q, *ticket);
          return true;
        }
    }
  return false;
}

void
queue_set_prefill_rate (struct queue *q, uint32_t tokens_per_s, bool mixed)
{
  q->prefill_rate = tokens_per_s;
  q->mixed = mixed;
}

void
queue_set_batch (struct queue *q, unsigned batch)
{
  q->batch = MAX (batch, 1);
}

void
queue_set_draining (struct queue *q, bool draining)
{
  q->draining = draining;
}

unsigned
queue_running (const struct queue *q)
{
  return q->running;
}

unsigned
queue_waiting (const struct queue *q)
{
  return (unsigned)g_sequence_get_length (q->waiting);
}

uint32_t
queue_prefill_tokens (const struct queue *q)
{
  return q->tokens;
}
