#include "decide/permits.h"

#include "decide/placement.h"

/* A permit whose request is not reported as prefilled expires
   PREFILL_TIMEOUT_MS after its grant; one whose request is prefilled but not
   reported as ended, REQUEST_TIMEOUT_MS after its grant.  The VM that asked
   for it has failed, or its report was lost.  */
#define PREFILL_TIMEOUT_MS 3000
#define REQUEST_TIMEOUT_MS 16000
/* Estimate of an engine's prefill rate, a moving average of samples: the
   minimum number of tokens that make a sample, the weight of a new sample, and
   the range of samples and of initial estimates.  */
#define SAMPLE_TOKENS_MIN 1000
#define SAMPLE_WEIGHT 0.1
#define TOKENS_PER_MS_MIN 15.0
#define TOKENS_PER_MS_MAX 800.0

/* An engine that permits were requested for or that was paused.  */
struct engine
{
  struct upstream_load load;
  double tokens_per_ms;    /* prefill rate; 0 if unknown */
  int64_t paused_until_ms; /* no permits are granted before that */
};

/* A granted permit.  */
struct permit
{
  char *key;
  struct engine *engine;
  enum upstream_work_kind work;
  uint64_t tokens;          /* to be prefilled for the request */
  uint64_t tokens_at_grant; /* to be prefilled by the engine when the permit
                               was granted, including this request's */
  int64_t granted_ms;
  bool prefilled;
};

struct permits
{
  GHashTable *engines; /* upstream id -> struct engine */
  GHashTable *open;    /* "VM/SEQ" -> struct permit */
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

/* Key of a permit in the table of open permits.  */
static char *
permit_key (const char *vm, uint64_t seq)
{
  return g_strdup_printf ("%s/%" G_GUINT64_FORMAT, vm, seq);
}

/* The engine UPSTREAM, which is added if it is missing.  */
static struct engine *
get_engine (struct permits *p, const char *upstream)
{
  struct engine *e = g_hash_table_lookup (p->engines, upstream);
  if (e == NULL)
    {
      e = g_new0 (struct engine, 1);
      g_hash_table_insert (p->engines, g_strdup (upstream), e);
    }
  return e;
}

/* The engine of Q.  If its prefill rate is unknown, the estimate in Q is
   taken.  */
static struct engine *
get_engine_with_rate (struct permits *p, const struct permit_request *q)
{
  struct engine *e = get_engine (p, q->upstream);
  if (e->tokens_per_ms == 0)
    e->tokens_per_ms
        = CLAMP (q->tokens_per_ms, TOKENS_PER_MS_MIN, TOKENS_PER_MS_MAX);
  return e;
}

/* Marks the request of PERMIT as prefilled and subtracts its tokens from the
   engine's load, unless that is done already.  */
static void
finish_prefill (struct permit *permit)
{
  if (!permit->prefilled)
    permit->engine->load.tokens
        -= MIN (permit->engine->load.tokens, permit->tokens);
  permit->prefilled = true;
}

void
permits_request_prefilled (struct permits *p, const char *vm, uint64_t seq,
                           unsigned took_ms)
{
  g_autofree char *key = permit_key (vm, seq);
  struct permit *permit = g_hash_table_lookup (p->open, key);
  if (permit == NULL || permit->prefilled)
    return;
  finish_prefill (permit);
  if (permit->tokens_at_grant < SAMPLE_TOKENS_MIN || took_ms == 0)
    return;
  double rate = CLAMP ((double)permit->tokens_at_grant / took_ms,
                       TOKENS_PER_MS_MIN, TOKENS_PER_MS_MAX);
  struct engine *e = permit->engine;
  e->tokens_per_ms += (rate - e->tokens_per_ms) * SAMPLE_WEIGHT;
}

/* Removes the request of PERMIT from the engine's load.  */
static void
remove_load (struct permit *permit)
{
  struct upstream_load *load = &permit->engine->load;
  finish_prefill (permit);
  load->running -= MIN (load->running, 1);
  if (permit->work == UPSTREAM_WORK_SHORT_PROMPT)
    load->generating -= MIN (load->generating, 1);
}

void
permits_request_ended (struct permits *p, const char *vm, uint64_t seq)
{
  g_autofree char *key = permit_key (vm, seq);
  struct permit *permit = g_hash_table_lookup (p->open, key);
  if (permit == NULL)
    return;
  remove_load (permit);
  g_hash_table_remove (p->open, key);
}

/* Records a permit for Q and adds the request to the load of the engine E.  */
static void
grant (struct permits *p, struct engine *e, const struct permit_request *q,
       int64_t now_ms)
{
  /* A restarted VM reuses its sequence numbers: an older permit of the same
     number is obsolete.  */
  permits_request_ended (p, q->vm, q->seq);
  struct permit *permit = g_new0 (struct permit, 1);
  permit->key = permit_key (q->vm, q->seq);
  permit->engine = e;
  permit->work = q->work;
  permit->tokens = q->tokens;
  permit->tokens_at_grant = e->load.tokens + q->tokens;
  permit->granted_ms = now_ms;
  e->load.running++;
  e->load.generating += q->work == UPSTREAM_WORK_SHORT_PROMPT;
  e->load.tokens += q->tokens;
  g_hash_table_replace (p->open, permit->key, permit);
}

struct permit_decision
permits_request (struct permits *p, const struct permit_request *q,
                 int64_t now_ms)
{
  struct engine *e = get_engine_with_rate (p, q);
  struct permit_decision d
      = { .load = e->load, .tokens_per_ms = e->tokens_per_ms };
  /* A paused engine counts as busy: the rest of the pause is added as the
     tokens that the engine could prefill in that time.  */
  if (now_ms < e->paused_until_ms)
    d.load.tokens += (uint64_t)((double)(e->paused_until_ms - now_ms)
                                * e->tokens_per_ms);
  d.wait_ms = placement_wait_ms (q->work, &d.load, q->tokens, q->slots,
                                 e->tokens_per_ms);
  d.granted = d.wait_ms <= q->limit_ms && now_ms >= e->paused_until_ms;
  if (d.granted)
    grant (p, e, q, now_ms);
  return d;
}

void
permits_pause_engine (struct permits *p, const char *upstream,
                      int64_t until_ms)
{
  struct engine *e = get_engine (p, upstream);
  e->paused_until_ms = until_ms;
  e->tokens_per_ms = 0;
}

void
permits_expire (struct permits *p, int64_t now_ms)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, p->open);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct permit *permit = value;
      int64_t timeout
          = permit->prefilled ? REQUEST_TIMEOUT_MS : PREFILL_TIMEOUT_MS;
      if (now_ms - permit->granted_ms < timeout)
        continue;
      remove_load (permit);
      g_hash_table_iter_remove (&it);
    }
}

unsigned
permits_open (const struct permits *p)
{
  return g_hash_table_size (p->open);
}
