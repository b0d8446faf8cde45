#include "decide/permits.h"

#include "decide/placement.h"

/* A permit whose request is not reported as prefilled expires
   PREFILL_TIMEOUT_MS after its expected arrival at the engine; one whose
   request is prefilled but not reported as ended, REQUEST_TIMEOUT_MS after
   it.  The VM that asked
   for it has failed, or its report was lost.  */
#define PREFILL_TIMEOUT_MS 3000
#define REQUEST_TIMEOUT_MS 16000
/* For this long after the first request for an engine, its cached prefixes are
   not known here: the VM's own count of tokens is taken.  */
#define CACHE_WARMUP_MS 4000
/* A request that takes longer than this many times its expected time, plus the
   delay of its report, is overdue.  */
#define OVERDUE_FACTOR 3
#define REPORT_DELAY_MS 50
/* Least time that counts for a request: one that was prefilled together with
   the one before it.  */
#define SERVICE_MS_MIN 0.1
/* Longest announced time until a request reaches its engine, and longest
   transfer, that count.  */
#define DELAY_MAX_MS 10000.0
#define TRANSFER_MAX_MS 10000.0
/* Part of an engine's KV capacity that is assumed to cache prefixes.  */
#define KV_CACHE_PERCENT 80

/* An engine that permits were requested for or that was paused.  */
struct engine
{
  struct upstream_load load;
  struct engine_model prefill; /* of prompts that it prefills */
  struct engine_model decode;  /* of prompts that another engine prefilled */
  struct prefix_index *cache;  /* of what its KV cache likely holds */
  int64_t started_ms;          /* start time on the wall clock; 0: unknown */
  int64_t first_ms;            /* when the first permit was requested */
  GQueue announced;      /* struct permit of requests that have not reached it,
                            in no order */
  GQueue prefilling;     /* struct permit of prompts that it has to prefill and
                            that are not reported as prefilled, in the order of
                            their grants */
  int64_t head_since_ms; /* when the first of them became the first */
  double done_ms; /* when it finished the latest request that was prefilled, on
                     a clock without the delay of reports */
  double link_free_ms; /* when its link has done the transfers of all open
                          permits */
  bool has_prefill;    /* the model is set */
  bool has_decode;
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
  int64_t arrives_ms; /* when its request is expected to reach the engine */
  bool arrived;       /* counted in the engine's load.running */
  double link_ms;     /* time of its transfer on the engine's link */
  bool prefilled;
  GList link; /* in struct engine.prefilling, until it is prefilled; unused
                 for decodes */
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

static void
engine_free (void *value)
{
  struct engine *e = value;
  g_queue_clear (&e->announced);
  prefix_index_destroy (e->cache);
  g_free (e);
}

struct permits *
permits_create (void)
{
  struct permits *p = g_new0 (struct permits, 1);
  p->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, engine_free);
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
      e->cache = prefix_index_create (0);
      g_queue_init (&e->announced);
      g_queue_init (&e->prefilling);
      g_hash_table_insert (p->engines, g_strdup (upstream), e);
    }
  return e;
}

static struct engine_model *
get_model (struct engine *e, enum upstream_work_kind work)
{
  return work == UPSTREAM_WORK_DECODE ? &e->decode : &e->prefill;
}

/* Discards what was learned of E, which has restarted or changes its role.  */
static void
forget_engine (struct engine *e)
{
  e->has_prefill = e->has_decode = false;
  prefix_index_clear (e->cache);
}

/* The engine of Q.  If it has no model for this kind of work yet, the model
   starts from the estimates in Q.  */
static struct engine *
get_engine_with_model (struct permits *p, const struct permit_request *q)
{
  struct engine *e = get_engine (p, q->upstream);
  if (q->started_ms > e->started_ms)
    {
      if (e->started_ms != 0)
        forget_engine (e);
      e->started_ms = q->started_ms;
    }
  bool *has_model
      = q->work == UPSTREAM_WORK_DECODE ? &e->has_decode : &e->has_prefill;
  if (!*has_model)
    engine_model_init_from (get_model (e, q->work), &q->rates);
  *has_model = true;
  return e;
}

/* Returns how long E has worked on the first request of its queue: at most as
   long as that request takes, as no later one can be done before it.  An
   engine that is overdue has stalled: nothing counts as done.  */
static double
progress_ms (const struct engine *e, int64_t now_ms)
{
  const struct permit *head
      = g_queue_peek_head ((GQueue *)(uintptr_t)&e->prefilling);
  if (head == NULL)
    return 0;
  double compute_ms = engine_model_compute_ms (&e->prefill, head->tokens);
  double elapsed_ms = (double)(now_ms - e->head_since_ms);
  double overdue_ms = (e->prefill.rates.fixed_ms + compute_ms) * OVERDUE_FACTOR
                      + REPORT_DELAY_MS;
  return elapsed_ms > overdue_ms ? 0 : MIN (elapsed_ms, compute_ms);
}

/* Returns the time that E still needs for the requests that it got.  */
static double
backlog_ms (const struct engine *e, int64_t now_ms)
{
  return MAX (engine_model_compute_ms (&e->prefill, e->load.tokens)
                  - progress_ms (e, now_ms),
              0);
}

/* Learns from PERMIT, whose request was prefilled TOOK_MS after its grant.
   Requests are prefilled in the order of their grants.  */
static void
learn_prefill (const struct permit *permit, unsigned took_ms, int64_t now_ms)
{
  struct engine *e = permit->engine;
  double granted_ms = (double)permit->granted_ms;
  double done_ms = granted_ms + took_ms;
  struct engine_sample s
      = { .from_idle = e->done_ms <= granted_ms,
          .tokens = permit->tokens,
          .took_ms
          = MAX (done_ms - MAX (granted_ms, e->done_ms), SERVICE_MS_MIN) };
  if (permit->work == UPSTREAM_WORK_DECODE)
    s = (struct engine_sample){ .from_idle = true,
                                .tokens = permit->tokens_at_grant,
                                .took_ms = took_ms };
  else
    e->done_ms = MAX (e->done_ms, done_ms);
  (void)engine_model_learn (get_model (e, permit->work), &s, now_ms);
}

/* Counts the request of PERMIT as running at its engine.  */
static void
count_arrival (struct permit *permit)
{
  if (permit->arrived)
    return;
  g_queue_remove (&permit->engine->announced, permit);
  permit->arrived = true;
  permit->engine->load.running++;
}

/* Counts the requests that are expected to have reached E by NOW_MS.  */
static void
count_arrivals (struct engine *e, int64_t now_ms)
{
  for (GList *l = e->announced.head; l;)
    {
      struct permit *permit = l->data;
      l = l->next;
      if (permit->arrives_ms <= now_ms)
        count_arrival (permit);
    }
}

/* Marks the request of PERMIT as prefilled and subtracts its tokens from the
   engine's load, unless that is done already.  */
static void
finish_prefill (struct permit *permit, int64_t now_ms)
{
  struct engine *e = permit->engine;
  if (permit->prefilled)
    return;
  permit->prefilled = true;
  e->load.tokens -= MIN (e->load.tokens, permit->tokens);
  if (permit->work == UPSTREAM_WORK_DECODE)
    return;
  if (g_queue_peek_head_link (&e->prefilling) == &permit->link)
    e->head_since_ms = now_ms;
  g_queue_unlink (&e->prefilling, &permit->link);
}

void
permits_request_prefilled (struct permits *p, const char *vm, uint64_t seq,
                           unsigned took_ms, int64_t now_ms)
{
  g_autofree char *key = permit_key (vm, seq);
  struct permit *permit = g_hash_table_lookup (p->open, key);
  if (permit == NULL || permit->prefilled)
    return;
  count_arrival (permit);
  finish_prefill (permit, now_ms);
  if (took_ms > 0)
    learn_prefill (permit, took_ms, now_ms);
}

/* Removes the request of PERMIT from the engine's load.  */
static void
remove_load (struct permit *permit, int64_t now_ms)
{
  struct upstream_load *load = &permit->engine->load;
  /* Without a first token, or a prefill that ended, there was no transfer.  */
  if (!permit->prefilled)
    permit->engine->link_free_ms -= permit->link_ms;
  finish_prefill (permit, now_ms);
  if (permit->arrived)
    load->running -= MIN (load->running, 1);
  else
    g_queue_remove (&permit->engine->announced, permit);
  if (permit->work == UPSTREAM_WORK_SHORT_PROMPT)
    load->generating -= MIN (load->generating, 1);
}

void
permits_request_ended (struct permits *p, const char *vm, uint64_t seq,
                       int64_t now_ms)
{
  g_autofree char *key = permit_key (vm, seq);
  struct permit *permit = g_hash_table_lookup (p->open, key);
  if (permit == NULL)
    return;
  remove_load (permit, now_ms);
  g_hash_table_remove (p->open, key);
}

/* Returns how many tokens of Q's prompt E has to prefill.  */
static uint64_t
tokens_to_prefill (struct engine *e, const struct permit_request *q,
                   int64_t now_ms)
{
  if (e->first_ms == 0)
    e->first_ms = now_ms;
  if (q->prompt == NULL || q->work == UPSTREAM_WORK_DECODE
      || now_ms - e->first_ms < CACHE_WARMUP_MS)
    return q->tokens;
  uint64_t cached = prefix_index_match (e->cache, q->prompt);
  return q->prompt->tokens > cached ? q->prompt->tokens - cached : 0;
}

/* Records that E gets the prompt of Q.  */
static void
add_to_cache (struct engine *e, const struct permit_request *q, int64_t now_ms)
{
  if (q->prompt == NULL)
    return;
  prefix_index_set_capacity (e->cache, q->kv_tokens * KV_CACHE_PERCENT / 100);
  prefix_index_add (e->cache, q->prompt, now_ms);
}

/* Adds PERMIT to the queue of E, unless its prompt is already prefilled.  */
static void
enqueue (struct engine *e, struct permit *permit, int64_t now_ms)
{
  permit->link.data = permit;
  if (permit->work == UPSTREAM_WORK_DECODE)
    return;
  if (e->prefilling.length == 0)
    e->head_since_ms = now_ms;
  g_queue_push_tail_link (&e->prefilling, &permit->link);
}

/* Records a permit for Q, with TOKENS to prefill, and adds the request to the
   load of the engine E.  */
static void
grant (struct permits *p, struct engine *e, const struct permit_request *q,
       uint64_t tokens, int64_t now_ms)
{
  /* A restarted VM reuses its sequence numbers: an older permit of the same
     number is obsolete.  */
  permits_request_ended (p, q->vm, q->seq, now_ms);
  struct permit *permit = g_new0 (struct permit, 1);
  permit->key = permit_key (q->vm, q->seq);
  permit->engine = e;
  permit->work = q->work;
  permit->tokens = tokens;
  permit->tokens_at_grant
      = tokens + engine_model_tokens_in (&e->prefill, backlog_ms (e, now_ms));
  permit->granted_ms = now_ms;
  permit->link_ms = CLAMP (q->link_ms, 0, TRANSFER_MAX_MS);
  e->link_free_ms = MAX (e->link_free_ms, (double)now_ms) + permit->link_ms;
  permit->arrives_ms = now_ms + (int64_t)CLAMP (q->delay_ms, 0, DELAY_MAX_MS);
  g_queue_push_tail (&e->announced, permit);
  count_arrivals (e, now_ms);
  e->load.generating += q->work == UPSTREAM_WORK_SHORT_PROMPT;
  e->load.tokens += tokens;
  enqueue (e, permit, now_ms);
  add_to_cache (e, q, now_ms);
  g_hash_table_replace (p->open, permit->key, permit);
}

/* Returns how long Q would wait for earlier requests at E, of which QUEUE_MS
   is for prefill and slots.  Transfers on the engine's link run one after the
   other, beside the computation: before a decode, and after a prefill that
   ends in WAIT_MS.  */
static double
total_queue_ms (const struct engine *e, const struct permit_request *q,
                double queue_ms, double wait_ms, int64_t now_ms)
{
  if (q->link_ms <= 0)
    return queue_ms;
  double link_wait_ms = MAX (e->link_free_ms - (double)now_ms, 0);
  if (q->work == UPSTREAM_WORK_DECODE)
    return MAX (queue_ms, link_wait_ms);
  return queue_ms + MAX (link_wait_ms - wait_ms, 0);
}

struct permit_decision
permits_request (struct permits *p, const struct permit_request *q,
                 int64_t now_ms)
{
  struct engine *e = get_engine_with_model (p, q);
  struct engine_model *model = get_model (e, q->work);
  engine_model_age (&e->prefill, now_ms);
  engine_model_age (model, now_ms);
  count_arrivals (e, now_ms);
  struct permit_decision d = { .load = e->load,
                               .rates = engine_model_rates (model),
                               .tokens = tokens_to_prefill (e, q, now_ms) };
  d.load.tokens = engine_model_tokens_in (&e->prefill, backlog_ms (e, now_ms));
  /* A paused engine counts as busy: the rest of the pause is added as the
     tokens that the engine could prefill in that time.  */
  if (now_ms < e->paused_until_ms)
    d.load.tokens += engine_model_tokens_in (
        model, (double)(e->paused_until_ms - now_ms));
  struct placement_engine engine
      = { .model = model, .slots = q->slots, .residence_ms = q->residence_ms };
  d.wait_ms = placement_wait_ms (q->work, &d.load, d.tokens, &engine);
  double queue_ms = placement_queue_ms (q->work, &d.load, &engine);
  queue_ms = total_queue_ms (e, q, queue_ms, d.wait_ms, now_ms);
  d.granted = queue_ms <= q->queue_limit_ms && d.wait_ms <= q->wait_limit_ms
              && now_ms >= e->paused_until_ms;
  if (d.granted)
    grant (p, e, q, d.tokens, now_ms);
  d.load.link_wait_ms = (uint32_t)MAX (e->link_free_ms - (double)now_ms, 0);
  return d;
}

void
permits_pause_engine (struct permits *p, const char *upstream,
                      int64_t until_ms)
{
  struct engine *e = get_engine (p, upstream);
  e->paused_until_ms = until_ms;
  forget_engine (e);
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
      if (now_ms - permit->arrives_ms < timeout)
        continue;
      remove_load (permit, now_ms);
      g_hash_table_iter_remove (&it);
    }
}

unsigned
permits_open (const struct permits *p)
{
  return g_hash_table_size (p->open);
}
