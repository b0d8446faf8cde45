#include "decide/rate_lender.h"

#include <glib.h>

#define MS_PER_S 1000.0
/* A bucket holds the tokens of this time and BUCKET_MIN more: those that come
   while no request waits.  */
#define BUCKET_MIN 2
#define BUCKET_MS 100.0
/* A limit for which no VM asks is forgotten after this time.  */
#define FORGET_MS 30000
/* Most upstreams and, of each, VMs that are remembered.  */
#define UPSTREAMS_MAX 8192
#define BORROWERS_MAX 1024

/* A VM that wants tokens.  */
struct borrower
{
  char *vm;
  unsigned wanted;
  unsigned granted; /* in the current step */
  int64_t asked_ms; /* on its own clock */
  int64_t seen_ms;
};

/* One limit.  */
struct bucket
{
  double per_s;
  double tokens;
  int64_t start_ms;  /* first token */
  int64_t filled_ms; /* when tokens were last added */
  int64_t asked_ms;  /* latest request */
  GArray *borrowers; /* struct borrower */
  guint next;        /* whose turn it is */
};

struct rate_lender
{
  GHashTable *buckets; /* upstream -> struct bucket */
};

static void
borrower_clear (void *p)
{
  struct borrower *b = p;
  g_free (b->vm);
}

static void
bucket_destroy (void *p)
{
  struct bucket *b = p;
  g_array_free (b->borrowers, TRUE);
  g_free (b);
}

struct rate_lender *
rate_lender_create (void)
{
  struct rate_lender *l = g_new0 (struct rate_lender, 1);
  l->buckets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      bucket_destroy);
  return l;
}

void
rate_lender_destroy (struct rate_lender *l)
{
  if (l == NULL)
    return;
  g_hash_table_destroy (l->buckets);
  g_free (l);
}

/* Returns the bucket of UPSTREAM, a new one if there is none; NULL if there
   are too many.  */
static struct bucket *
get_bucket (struct rate_lender *l, const char *upstream, int64_t now_ms)
{
  struct bucket *b = g_hash_table_lookup (l->buckets, upstream);
  if (b || g_hash_table_size (l->buckets) >= UPSTREAMS_MAX)
    return b;
  b = g_new0 (struct bucket, 1);
  b->start_ms = now_ms + RATE_LENDER_START_MS;
  b->filled_ms = b->start_ms;
  b->borrowers = g_array_new (FALSE, TRUE, sizeof (struct borrower));
  g_array_set_clear_func (b->borrowers, borrower_clear);
  g_hash_table_insert (l->buckets, g_strdup (upstream), b);
  return b;
}

/* Returns the borrower VM of B, a new one if there is none; NULL if there are
   too many.  */
static struct borrower *
get_borrower (struct bucket *b, const char *vm)
{
  for (guint i = 0; i < b->borrowers->len; i++)
    {
      struct borrower *x = &g_array_index (b->borrowers, struct borrower, i);
      if (g_str_equal (x->vm, vm))
        return x;
    }
  if (b->borrowers->len >= BORROWERS_MAX)
    return NULL;
  struct borrower added = { .vm = g_strdup (vm), .asked_ms = INT64_MIN };
  g_array_append_val (b->borrowers, added);
  return &g_array_index (b->borrowers, struct borrower, b->borrowers->len - 1);
}

static double
lent_per_s (const struct bucket *b)
{
  return MAX (b->per_s * RATE_LENDER_PART, RATE_LENDER_MIN_PER_S);
}

static double
bucket_size (const struct bucket *b)
{
  return BUCKET_MIN + lent_per_s (b) * BUCKET_MS / MS_PER_S;
}

void
rate_lender_ask (struct rate_lender *l, const struct rate_request *q,
                 int64_t now_ms)
{
  struct bucket *b = get_bucket (l, q->upstream, now_ms);
  struct borrower *x = b ? get_borrower (b, q->vm) : NULL;
  if (x == NULL
      || (q->asked_ms <= x->asked_ms
          && now_ms - x->seen_ms <= RATE_LENDER_WANTED_MS))
    return;
  x->asked_ms = q->asked_ms;
  x->seen_ms = now_ms;
  x->wanted = q->wanted;
  b->asked_ms = now_ms;
  b->per_s = q->per_s;
  b->tokens = MIN (b->tokens + q->returned, bucket_size (b));
}

void
rate_lender_drop (struct rate_lender *l, const char *upstream)
{
  g_hash_table_remove (l->buckets, upstream);
}

static void
fill (struct bucket *b, double part, int64_t now_ms)
{
  if (now_ms <= b->filled_ms)
    return;
  double s = (double)(now_ms - b->filled_ms) / MS_PER_S;
  b->filled_ms = now_ms;
  b->tokens = MIN (b->tokens + lent_per_s (b) * part * s, bucket_size (b));
}

static void
remove_old_borrowers (struct bucket *b, int64_t now_ms)
{
  for (guint i = b->borrowers->len; i > 0; i--)
    {
      const struct borrower *x
          = &g_array_index (b->borrowers, struct borrower, i - 1);
      if (now_ms - x->seen_ms > FORGET_MS)
        g_array_remove_index (b->borrowers, i - 1);
    }
}

static bool
wants_token (const struct borrower *x, int64_t now_ms)
{
  return x->wanted > 0 && now_ms - x->seen_ms <= RATE_LENDER_WANTED_MS;
}

/* Returns the next borrower of B in turn that wants a token, or NULL.  */
static struct borrower *
next_borrower (struct bucket *b, int64_t now_ms)
{
  for (guint i = 0; i < b->borrowers->len; i++)
    {
      guint at = (b->next + i) % b->borrowers->len;
      struct borrower *x = &g_array_index (b->borrowers, struct borrower, at);
      if (!wants_token (x, now_ms))
        continue;
      b->next = at + 1;
      return x;
    }
  return NULL;
}

static void
lend (struct bucket *b, const char *upstream, int64_t now_ms,
      rate_lender_visit *visit, void *arg)
{
  struct borrower *x = NULL;
  while (b->tokens >= 1 && (x = next_borrower (b, now_ms)))
    {
      b->tokens -= 1;
      x->wanted--;
      x->granted++;
    }
  for (guint i = 0; i < b->borrowers->len; i++)
    {
      x = &g_array_index (b->borrowers, struct borrower, i);
      if (x->granted == 0)
        continue;
      visit (arg, upstream, x->vm, x->granted, x->asked_ms);
      x->granted = 0;
    }
}

void
rate_lender_step (struct rate_lender *l, double part, int64_t now_ms,
                  rate_lender_visit *visit, void *arg)
{
  GHashTableIter it;
  gpointer upstream;
  gpointer value;
  g_hash_table_iter_init (&it, l->buckets);
  while (g_hash_table_iter_next (&it, &upstream, &value))
    {
      struct bucket *b = value;
      if (now_ms - b->asked_ms > FORGET_MS)
        {
          g_hash_table_iter_remove (&it);
          continue;
        }
      remove_old_borrowers (b, now_ms);
      fill (b, part, now_ms);
      lend (b, upstream, now_ms, visit, arg);
    }
}

void
rate_lender_foreach (struct rate_lender *l,
                     void (*visit) (void *arg, const char *upstream),
                     void *arg)
{
  g_autoptr (GList) upstreams = g_hash_table_get_keys (l->buckets);
  for (GList *u = upstreams; u; u = u->next)
    visit (arg, u->data);
}
