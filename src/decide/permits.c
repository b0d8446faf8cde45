#include "decide/permits.h"

#include "decide/placing.h"

/* A permit whose request is not said to be read, or to have ended, for as long
   is void: its VM is gone, or the note was lost.  */
#define READ_WITHIN_MS 3000
#define END_WITHIN_MS 16000
/* Speed of reading: least tokens that a sample needs, its bounds, and how much
   one changes what is believed.  */
#define SAMPLE_TOKENS 1000
#define SAMPLE_WEIGHT 0.1
#define TOKENS_PER_MS_MIN 15.0
#define TOKENS_PER_MS_MAX 800.0

/* An engine that this VM is the home of.  */
struct engine
{
  struct upstream_load load;
  double tokens_per_ms; /* 0 where it is not known */
  int64_t held_ms;      /* it takes nothing until then */
};

/* A permit.  */
struct permit
{
  char *key;
  struct engine *engine;
  enum upstream_work_kind work;
  uint64_t tokens;
  uint64_t ahead; /* tokens to read when it was given, its own included */
  int64_t given_ms;
  bool read;
};

struct permits
{
  GHashTable *engines; /* id -> struct engine */
  GHashTable *open;    /* VM/SEQ -> struct permit */
};

static void
permit_free (void *value)
{
  struct permit *permit = value;
  g_free (permit->key);
  g_free (permit);
}

struct permits *
permits_create (void)
{
  struct permits *p = g_new0 (struct permits, 1);
  p->engines = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  p->open = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, permit_free);
  return p;
}

void
permits_destroy (struct permits *p)
{
  if (p == NULL)
    return;
  g_hash_table_destroy (p->open);
  g_hash_table_destroy (p->engines);
  g_free (p);
}

static char *
key_of (const char *vm, uint64_t seq)
{
  return g_strdup_printf ("%s/%" G_GUINT64_FORMAT, vm, seq);
}

static struct engine *
engine_named (struct permits *p, const char *upstream)
{
  struct engine *e = g_hash_table_lookup (p->engines, upstream);
  if (e == NULL)
    {
      e = g_new0 (struct engine, 1);
      g_hash_table_insert (p->engines, g_strdup (upstream), e);
    }
  return e;
}

static struct engine *
engine_of (struct permits *p, const struct permit_question *q)
{
  struct engine *e = engine_named (p, q->upstream);
  if (e->tokens_per_ms == 0)
    e->tokens_per_ms
        = CLAMP (q->tokens_per_ms, TOKENS_PER_MS_MIN, TOKENS_PER_MS_MAX);
  return e;
}

/* The engine has read what it was given.  */
static void
settle_reading (struct permit *permit)
{
  if (!permit->read)
    permit->engine->load.tokens
        -= MIN (permit->engine->load.tokens, permit->tokens);
  permit->read = true;
}

void
permits_read (struct permits *p, const char *vm, uint64_t seq,
              unsigned took_ms)
{
  g_autofree char *key = key_of (vm, seq);
  struct permit *permit = g_hash_table_lookup (p->open, key);
  if (permit == NULL || permit->read)
    return;
  settle_reading (permit);
  if (permit->ahead < SAMPLE_TOKENS || took_ms == 0)
    return;
  double speed = CLAMP ((double)permit->ahead / took_ms, TOKENS_PER_MS_MIN,
                        TOKENS_PER_MS_MAX);
  struct engine *e = permit->engine;
  e->tokens_per_ms += (speed - e->tokens_per_ms) * SAMPLE_WEIGHT;
}

static void
settle (struct permit *permit)
{
  struct upstream_load *load = &permit->engine->load;
  settle_reading (permit);
  load->running -= MIN (load->running, 1);
  if (permit->work == UPSTREAM_WORK_GENERATE)
    load->generating -= MIN (load->generating, 1);
}

void
permits_ended (struct permits *p, const char *vm, uint64_t seq)
{
  g_autofree char *key = key_of (vm, seq);
  struct permit *permit = g_hash_table_lookup (p->open, key);
  if (permit == NULL)
    return;
  settle (permit);
  g_hash_table_remove (p->open, key);
}

static void
give (struct permits *p, struct engine *e, const struct permit_question *q,
      int64_t now_ms)
{
  /* A VM that has started again counts from the beginning.  */
  permits_ended (p, q->vm, q->seq);
  struct permit *permit = g_new0 (struct permit, 1);
  permit->key = key_of (q->vm, q->seq);
  permit->engine = e;
  permit->work = q->work;
  permit->tokens = q->tokens;
  permit->ahead = e->load.tokens + q->tokens;
  permit->given_ms = now_ms;
  e->load.running++;
  e->load.generating += q->work == UPSTREAM_WORK_GENERATE;
  e->load.tokens += q->tokens;
  g_hash_table_replace (p->open, permit->key, permit);
}

struct permit_decision
permits_ask (struct permits *p, const struct permit_question *q,
             int64_t now_ms)
{
  struct engine *e = engine_of (p, q);
  struct permit_decision d
      = { .load = e->load, .tokens_per_ms = e->tokens_per_ms };
  /* What an engine that takes nothing would have to read before.  */
  if (now_ms < e->held_ms)
    d.load.tokens
        += (uint64_t)((double)(e->held_ms - now_ms) * e->tokens_per_ms);
  d.wait_ms = placing_wait_ms (q->work, &d.load, q->tokens, q->slots,
                               e->tokens_per_ms);
  d.granted = d.wait_ms <= q->limit_ms && now_ms >= e->held_ms;
  if (d.granted)
    give (p, e, q, now_ms);
  return d;
}

void
permits_hold (struct permits *p, const char *upstream, int64_t until_ms)
{
  struct engine *e = engine_named (p, upstream);
  e->held_ms = until_ms;
  e->tokens_per_ms = 0;
}

void
permits_tick (struct permits *p, int64_t now_ms)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, p->open);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct permit *permit = value;
      int64_t within = permit->read ? END_WITHIN_MS : READ_WITHIN_MS;
      if (now_ms - permit->given_ms < within)
        continue;
      settle (permit);
      g_hash_table_iter_remove (&it);
    }
}

unsigned
permits_open (const struct permits *p)
{
  return g_hash_table_size (p->open);
}
