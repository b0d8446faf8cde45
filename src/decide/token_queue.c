#include "decide/token_queue.h"

#include <glib.h>
#include <math.h>

#define MS_PER_S 1000.0
/* Time constant of the measured rate of tokens.  */
#define RATE_MS 1000.0

/* Waiting requests of one service, and the rate of its tokens.  */
struct line
{
  GArray *waiters; /* struct token_waiter, first to go first */
  double sent;     /* decaying number of requests sent with a token: at a
                      steady rate, that of RATE_MS */
  int64_t sent_ms; /* when SENT was last updated */
  double share_per_s;
};

struct token_queue
{
  GHashTable *lines; /* service -> struct line */
  unsigned length;
};

static void
line_destroy (void *p)
{
  struct line *l = p;
  g_array_free (l->waiters, TRUE);
  g_free (l);
}

struct token_queue *
token_queue_create (void)
{
  struct token_queue *q = g_new0 (struct token_queue, 1);
  q->lines
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, line_destroy);
  return q;
}

void
token_queue_destroy (struct token_queue *q)
{
  if (q == NULL)
    return;
  g_hash_table_destroy (q->lines);
  g_free (q);
}

static struct line *
get_line (struct token_queue *q, const char *service)
{
  struct line *l = g_hash_table_lookup (q->lines, service);
  if (l)
    return l;
  l = g_new0 (struct line, 1);
  l->waiters = g_array_new (FALSE, FALSE, sizeof (struct token_waiter));
  g_hash_table_insert (q->lines, g_strdup (service), l);
  return l;
}

static struct token_waiter *
waiter_at (const struct line *l, guint i)
{
  return &g_array_index (l->waiters, struct token_waiter, i);
}

static void
decay (struct line *l, int64_t now_ms)
{
  l->sent *= exp (-(double)MAX (now_ms - l->sent_ms, 0) / RATE_MS);
  l->sent_ms = now_ms;
}

void
token_queue_record_sent (struct token_queue *q, const char *service,
                         int64_t now_ms)
{
  struct line *l = get_line (q, service);
  decay (l, now_ms);
  l->sent += 1;
}

/* Whether A goes before B.  */
static bool
goes_before (const struct token_waiter *a, const struct token_waiter *b)
{
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a->start_by_ms < b->start_by_ms;
}

void
token_queue_add (struct token_queue *q, const struct token_waiter *w,
                 double share_per_s, int64_t now_ms)
{
  struct line *l = get_line (q, w->service);
  guint at = l->waiters->len;
  while (at > 0 && goes_before (w, waiter_at (l, at - 1)))
    at--;
  decay (l, now_ms);
  l->share_per_s = share_per_s;
  g_array_insert_val (l->waiters, at, *w);
  q->length++;
}

static void
remove_at (struct token_queue *q, struct line *l, guint i)
{
  g_array_remove_index (l->waiters, i);
  q->length--;
}

void
token_queue_remove (struct token_queue *q, const void *request)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, q->lines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct line *l = value;
      for (guint i = 0; i < l->waiters->len; i++)
        if (waiter_at (l, i)->request == request)
          {
            remove_at (q, l, i);
            return;
          }
    }
}

void *
token_queue_first (const struct token_queue *q, const char *service)
{
  const struct line *l = g_hash_table_lookup (q->lines, service);
  return l && l->waiters->len > 0 ? waiter_at (l, 0)->request : NULL;
}

/* Whether the turn of number I in L is expected too late.  The first one waits
   as long as it can: its turn may come at any time.  */
static bool
is_late (const struct line *l, guint i, int64_t now_ms)
{
  const struct token_waiter *w = waiter_at (l, i);
  double left_ms = (double)(w->start_by_ms - now_ms);
  double per_s = MAX (l->sent * MS_PER_S / RATE_MS, l->share_per_s);
  return left_ms <= 0 || (i > 0 && i * MS_PER_S > per_s * left_ms);
}

void *
token_queue_take_late (struct token_queue *q, int64_t now_ms)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, q->lines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct line *l = value;
      decay (l, now_ms);
      for (guint i = l->waiters->len; i > 0; i--)
        if (is_late (l, i - 1, now_ms))
          {
            void *request = waiter_at (l, i - 1)->request;
            remove_at (q, l, i - 1);
            return request;
          }
    }
  return NULL;
}

void
token_queue_serve (struct token_queue *q, const char *service,
                   bool (*serve) (void *arg, void *request), void *arg)
{
  const struct line *l = g_hash_table_lookup (q->lines, service);
  for (guint left = l ? l->waiters->len : 0; left > 0; left--)
    {
      void *request = token_queue_first (q, service);
      if (request == NULL || !serve (arg, request))
        return;
    }
}

void
token_queue_foreach_service (struct token_queue *q,
                             void (*visit) (void *arg, const char *service),
                             void *arg)
{
  g_autoptr (GList) services = g_hash_table_get_keys (q->lines);
  for (GList *s = services; s; s = s->next)
    if (token_queue_first (q, s->data))
      visit (arg, s->data);
}

unsigned
token_queue_length (const struct token_queue *q)
{
  return q->length;
}
