#include "model/engine.h"

#include <math.h>

#define TOKEN_TARGET_US 34000 /* a longer decode step counts as slow */
#define KV_TRANSFER_US 20000  /* for a KV cache, between two engines */

/* A request that waits for or is in prefill, or that decodes.  */
struct job
{
  struct engine_request request;
  uint32_t tokens_left; /* prompt tokens still to be prefilled */
  bool cached;          /* the prefix was in the cache */
  uint64_t first_step;
  uint64_t last_step;         /* decode step that yields the last token */
  uint64_t slow_steps_before; /* slow steps of the engine at first_step */
};

struct cached_prefix
{
  uint64_t prefix;
  uint32_t tokens;
};

struct engine_model
{
  struct vtime *time;
  struct engine_rates rates;
  enum engine_role role;
  bool failed;
  bool stepping;
  GQueue prefill;      /* struct job */
  GPtrArray *batch;    /* struct job */
  uint64_t steps;      /* decode steps so far */
  uint64_t slow_steps; /* decode steps so far that took longer than
                          TOKEN_TARGET_US */
  GQueue cache;        /* struct cached_prefix, most recently used first */
  uint64_t cache_tokens;
  unsigned transfers; /* decode jobs whose KV cache is in transfer */
};

struct engine_rates
engine_rates_default (void)
{
  return (struct engine_rates){ .prefill_tokens_per_s = 87000,
                                .step_fixed_ms = 10,
                                .step_per_request_ms = 1,
                                .chunk = 1024,
                                .cache_tokens = 400000,
                                .change_ms = 4000 };
}

struct engine_model *
engine_model_create (struct vtime *time, const struct engine_rates *rates,
                     enum engine_role role)
{
  struct engine_model *e = g_new0 (struct engine_model, 1);
  e->time = time;
  e->rates = *rates;
  e->role = role;
  g_queue_init (&e->prefill);
  g_queue_init (&e->cache);
  e->batch = g_ptr_array_new_with_free_func (g_free);
  return e;
}

void
engine_model_destroy (struct engine_model *e)
{
  g_queue_clear_full (&e->prefill, g_free);
  g_queue_clear_full (&e->cache, g_free);
  g_ptr_array_unref (e->batch);
  g_free (e);
}

/* Prefix cache with least-recently-used eviction.  */

static GList *
cache_find (const struct engine_model *e, uint64_t prefix)
{
  for (GList *l = e->cache.head; l; l = l->next)
    if (((struct cached_prefix *)l->data)->prefix == prefix)
      return l;
  return NULL;
}

bool
engine_model_caches (const struct engine_model *e, uint64_t prefix)
{
  return prefix != 0 && cache_find (e, prefix) != NULL;
}

/* Marks PREFIX as used and returns whether it was cached; if not, caches it
   and evicts others as needed.  */
static bool
cache_lookup_or_insert (struct engine_model *e, uint64_t prefix,
                        uint32_t tokens)
{
  if (prefix == 0)
    return false;
  GList *found = cache_find (e, prefix);
  if (found)
    {
      g_queue_unlink (&e->cache, found);
      g_queue_push_head_link (&e->cache, found);
      return true;
    }
  struct cached_prefix *c = g_new (struct cached_prefix, 1);
  *c = (struct cached_prefix){ prefix, tokens };
  g_queue_push_head (&e->cache, c);
  e->cache_tokens += tokens;
  while (e->cache_tokens > e->rates.cache_tokens && e->cache.length > 1)
    {
      struct cached_prefix *old = g_queue_pop_tail (&e->cache);
      e->cache_tokens -= old->tokens;
      g_free (old);
    }
  return false;
}

/* Engine steps.  One step prefills a complete prompt on a prefill engine, or
   wherever the batch is empty.  Otherwise it decodes one token for each
   request of the batch and prefills at most one chunk of a prompt.  */

static void start_step (struct engine_model *e);

/* Returns how many prompt tokens the next step prefills.  */
static uint32_t
next_prefill_tokens (struct engine_model *e)
{
  const struct job *head = g_queue_peek_head (&e->prefill);
  if (head == NULL)
    return 0;
  return e->role == ROLE_PREFILL || e->batch->len == 0
             ? head->tokens_left
             : MIN (head->tokens_left, e->rates.chunk);
}

static int64_t
step_us (struct engine_model *e)
{
  double us = next_prefill_tokens (e) * 1e6 / e->rates.prefill_tokens_per_s;
  if (e->batch->len > 0)
    us += (e->rates.step_fixed_ms
           + e->rates.step_per_request_ms * e->batch->len)
          * 1000;
  return (int64_t)us + 1;
}

static void
join_batch (struct engine_model *e, struct job *j)
{
  j->first_step = e->steps;
  j->last_step = e->steps + MAX (j->request.output_tokens, 1) - 1;
  j->slow_steps_before = e->slow_steps;
  g_ptr_array_add (e->batch, j);
}

static void
finish_prefill (struct engine_model *e)
{
  struct job *j = g_queue_pop_head (&e->prefill);
  j->request.on_first (j->request.arg, j->cached);
  if (j->request.phase == PHASE_PREFILL)
    g_free (j);
  else
    join_batch (e, j);
}

static void
finish_jobs (struct engine_model *e)
{
  for (guint i = 0; i < e->batch->len; i++)
    {
      struct job *j = g_ptr_array_index (e->batch, i);
      if (e->steps < j->last_step)
        continue;
      double n = (double)(e->steps - j->first_step);
      double slow = (double)(e->slow_steps - j->slow_steps_before);
      struct engine_request r = j->request;
      g_ptr_array_remove_index_fast (e->batch, i--);
      r.on_done (r.arg, n > 0 ? slow / n : 0);
    }
}

struct step
{
  struct engine_model *engine;
  uint32_t prefill_tokens;
  int64_t us;
};

static void
on_step (void *arg)
{
  struct step *s = arg;
  struct engine_model *e = s->engine;
  e->stepping = false;
  if (e->failed)
    return;
  if (e->batch->len > 0)
    {
      e->steps++;
      e->slow_steps += s->us > TOKEN_TARGET_US;
    }
  struct job *head = g_queue_peek_head (&e->prefill);
  if (head && s->prefill_tokens > 0)
    {
      head->tokens_left -= MIN (s->prefill_tokens, head->tokens_left);
      if (head->tokens_left == 0)
        finish_prefill (e);
    }
  finish_jobs (e);
  start_step (e);
}

static void
start_step (struct engine_model *e)
{
  if (e->stepping || (e->batch->len == 0 && e->prefill.length == 0))
    return;
  struct step *s = g_new (struct step, 1);
  *s = (struct step){ e, next_prefill_tokens (e), step_us (e) };
  e->stepping = true;
  vtime_schedule (e->time, s->us, on_step, s, g_free);
}

/* A decode job whose KV cache is in transfer to ENGINE.  */
struct kv_transfer
{
  struct engine_model *engine;
  struct job *job;
};

static void
on_kv_received (void *arg)
{
  struct kv_transfer *a = arg;
  a->engine->transfers--;
  if (a->engine->failed)
    {
      a->job->request.on_lost (a->job->request.arg);
      g_free (a->job);
      return;
    }
  join_batch (a->engine, a->job);
  start_step (a->engine);
}

void
engine_model_submit (struct engine_model *e, const struct engine_request *r)
{
  struct job *j = g_new0 (struct job, 1);
  j->request = *r;
  if (r->phase == PHASE_DECODE)
    {
      struct kv_transfer *a = g_new (struct kv_transfer, 1);
      *a = (struct kv_transfer){ e, j };
      e->transfers++;
      vtime_schedule (e->time, KV_TRANSFER_US, on_kv_received, a, g_free);
      return;
    }
  j->cached = cache_lookup_or_insert (e, r->prefix, r->prefix_tokens);
  j->tokens_left
      = MAX (r->prompt_tokens - (j->cached ? r->prefix_tokens : 0), 1);
  g_queue_push_tail (&e->prefill, j);
  start_step (e);
}

/* Callback for the end of a role change.  */
struct role_change
{
  void (*on_changed) (void *arg);
  void *arg;
};

static void
on_role_changed (void *arg)
{
  struct role_change *c = arg;
  c->on_changed (c->arg);
}

void
engine_model_change_role (struct engine_model *e, enum engine_role role,
                          void (*on_changed) (void *arg), void *arg)
{
  struct role_change *c = g_new (struct role_change, 1);
  *c = (struct role_change){ on_changed, arg };
  e->role = role;
  vtime_schedule (e->time, e->rates.change_ms * 1000, on_role_changed, c,
                  g_free);
}

void
engine_model_fail (struct engine_model *e)
{
  e->failed = true;
  struct job *j;
  while ((j = g_queue_pop_head (&e->prefill)) != NULL)
    {
      j->request.on_lost (j->request.arg);
      g_free (j);
    }
  while (e->batch->len > 0)
    {
      j = g_ptr_array_index (e->batch, e->batch->len - 1);
      struct engine_request r = j->request;
      g_ptr_array_set_size (e->batch, (gint)e->batch->len - 1);
      r.on_lost (r.arg);
    }
}

enum engine_role
engine_model_role (const struct engine_model *e)
{
  return e->role;
}

bool
engine_model_idle (const struct engine_model *e)
{
  return e->batch->len == 0 && e->prefill.length == 0 && e->transfers == 0;
}
