#include "model/pool.h"

#include "decide/limits.h"
#include "decide/queue.h"
#include "decide/roles.h"
#include "model/workload.h"

#include <math.h>

#define TARGET_MS 550
#define SLOW_SHARE_MAX 0.05
#define ENTRIES_MAX 8
#define FULL_BATCH 23
#define MIXED_BATCH 11
#define PREFILL_BATCH 64
#define MIXED_DECODE_SHARE 0.75
#define LONG_OUTPUT_TOKENS 16
#define WAITING_MAX 256
#define REPORT_DELAY_US 2000
#define STALL_RETRY_US 20000
#define WARM_MS 60000
#define SECONDS_MAX 4000

struct pool;

struct slot
{
  struct pool *pool;
  unsigned number;
  struct engine_model *engine;
  struct queue *queue;
  bool draining;
  bool changing;
  bool gone;
  enum engine_role next_role;
  double queue_sum; /* of waiting tokens, sampled */
};

struct entry
{
  struct pool *pool;
  struct router *router;
  struct retry_budget retries;
};

/* A request on its way through the pool.  */
struct job
{
  struct pool *pool;
  struct entry *entry;
  struct workload_request request;
  struct slot *slot;
  struct slot *decode_at;
  uint64_t ticket;
  enum route_phase phase;
  int64_t start_us;
  int64_t first_us;
  unsigned tries;
  bool counted_cached;
};

struct pool
{
  struct pool_shape shape;
  struct vtime *time;
  struct slot *slots;
  struct entry entries[ENTRIES_MAX];
  struct roles *roles;
  struct pool_result result;
  uint64_t next_ticket;
  GHashTable *jobs; /* ticket -> struct job, waiting in a queue */
  GHashTable *seen; /* prefixes asked for so far */
  double demand_answers, demand_prefill_s, demand_decode_s;
  double mean_output[2];
  unsigned returns[SECONDS_MAX];
  int64_t threshold_changed_ms;
};

struct pool_shape
pool_shape_default (void)
{
  return (struct pool_shape){ .engines = 32,
                              .prefill = 10,
                              .mixed = 4,
                              .entries = 4,
                              .control = CONTROL_ROLES,
                              .mix = MIX_SWING,
                              .load = 0.7,
                              .change_cost = 20,
                              .report_every_ms = 2000,
                              .seconds = 600,
                              .seed = 1 };
}

static int64_t
now_ms (const struct pool *p)
{
  return vtime_ms (p->time);
}

/* Reports of loads to the entry VMs.  */

static struct route_load
load_of (const struct slot *s)
{
  return (struct route_load){
    .role = engine_model_role (s->engine),
    .running = queue_running (s->queue) + queue_waiting (s->queue),
    .queued_tokens = queue_prefill_tokens (s->queue),
    .usable = !s->draining && !s->changing && !s->gone
  };
}

struct report
{
  struct entry *entry;
  unsigned slot;
  struct route_load load;
  int64_t as_of_ms;
};

static void
on_report (void *arg)
{
  struct report *r = arg;
  router_set_load (r->entry->router, r->slot, &r->load, r->as_of_ms);
}

static void
report_to (struct pool *p, struct slot *s, struct entry *e)
{
  struct report *r = g_new (struct report, 1);
  *r = (struct report){ e, s->number, load_of (s), now_ms (p) };
  vtime_after (p->time, REPORT_DELAY_US, on_report, r, g_free);
}

static void
report_to_all (struct pool *p, struct slot *s)
{
  for (unsigned i = 0; i < p->shape.entries; i++)
    report_to (p, s, &p->entries[i]);
}

static void
on_reports (void *arg)
{
  struct pool *p = arg;
  for (unsigned i = 0; i < p->shape.engines; i++)
    for (unsigned j = 0; j < p->shape.entries; j++)
      if (!vtime_chance (p->time, p->shape.report_loss))
        report_to (p, &p->slots[i], &p->entries[j]);
  vtime_after (p->time, p->shape.report_every_ms * 1000, on_reports, p, NULL);
}

/* Requests.  */

static void start_job (struct job *j);
static void offer (struct job *j, struct slot *s, enum route_phase phase);
static void try_route (struct job *j);
static void slot_idle (struct slot *s);

static struct route_request
ask_of (const struct job *j, enum route_phase phase)
{
  const struct workload_request *w = &j->request;
  int64_t age = (vtime_us (j->pool->time) - j->start_us) / 1000;
  struct route_request request
      = { .phase = phase,
          .prompt_tokens = w->prompt_tokens,
          .avoid = j->slot ? j->slot->number : ROUTE_NONE,
          .now_ms = now_ms (j->pool) };
  request.deadline_ms = age >= TARGET_MS ? 0 : (uint32_t)(TARGET_MS - age);
  if (phase == PHASE_DECODE)
    request.deadline_ms = 60000;
  if (!j->pool->shape.blind)
    {
      request.prefix = w->prefix;
      request.prefix_tokens = w->prefix_tokens;
    }
  return request;
}

static void
job_return (void *arg)
{
  struct job *j = arg;
  struct pool *p = j->pool;
  unsigned second = (unsigned)(now_ms (p) / 1000);
  p->returns[MIN (second, SECONDS_MAX - 1)]++;
  p->result.tries++;
  j->start_us = vtime_us (p->time);
  j->slot = NULL;
  try_route (j);
}

/* A final refusal; its caller may come back when it was told to.  */
static void
refuse (struct job *j, uint32_t retry_after_ms)
{
  struct pool *p = j->pool;
  if (p->shape.clients_return && j->tries < 2)
    {
      j->tries++;
      vtime_after (p->time, (int64_t)retry_after_ms * 1000, job_return, j,
                   NULL);
      return;
    }
  p->result.refused++;
  g_free (j);
}

static void
leave_queue (struct job *j)
{
  struct slot *s = j->slot;
  queue_remove (s->queue, j->ticket);
  uint64_t ticket;
  while (queue_start_next (s->queue, &ticket))
    {
      struct job *next = g_hash_table_lookup (j->pool->jobs, &ticket);
      g_hash_table_remove (j->pool->jobs, &ticket);
      if (next)
        start_job (next);
    }
  /* The entry VM that had the request hears of the load with its end.  */
  report_to (j->pool, s, j->entry);
  slot_idle (s);
}

static void
on_stalled (void *arg)
{
  struct job *j = arg;
  struct route_request request = ask_of (j, PHASE_DECODE);
  request.avoid = ROUTE_NONE;
  struct route_choice c = router_pick (j->entry->router, &request);
  if (c.engine == ROUTE_NONE)
    {
      vtime_after (j->pool->time, STALL_RETRY_US, on_stalled, j, NULL);
      return;
    }
  router_record_sent (j->entry->router, c.engine, &request, false);
  offer (j, &j->pool->slots[c.engine], PHASE_DECODE);
}

static void
on_first (void *arg, bool cached)
{
  struct job *j = arg;
  struct pool *p = j->pool;
  j->first_us = vtime_us (p->time);
  p->result.cache_hits += cached;
  queue_prefilled (j->slot->queue, j->ticket);
  if (j->phase != PHASE_PREFILL)
    return;
  leave_queue (j);
  offer (j, j->decode_at, PHASE_DECODE);
}

static void
on_done (void *arg, double slow_share)
{
  struct job *j = arg;
  struct pool *p = j->pool;
  bool in_time = j->first_us - j->start_us <= TARGET_MS * 1000;
  p->result.whole++;
  bool steady = slow_share <= SLOW_SHARE_MAX;
  p->result.good += in_time && steady;
  p->result.late_first += !in_time;
  p->result.slow_tokens += !steady;
  double *mean = &p->mean_output[j->request.dossier];
  *mean += 0.02 * (j->request.output_tokens - *mean);
  leave_queue (j);
  g_free (j);
}

static void
on_lost (void *arg)
{
  struct job *j = arg;
  j->pool->result.lost++;
  queue_remove (j->slot->queue, j->ticket);
  g_free (j);
}

static void
start_job (struct job *j)
{
  const struct workload_request *w = &j->request;
  struct engine_request r = { .prompt_tokens = w->prompt_tokens,
                              .prefix = w->prefix,
                              .prefix_tokens = w->prefix_tokens,
                              .output_tokens = w->output_tokens,
                              .phase = j->phase,
                              .on_first = on_first,
                              .on_done = on_done,
                              .on_lost = on_lost,
                              .arg = j };
  engine_model_run (j->slot->engine, &r);
}

/* What the home VM takes the prompt for: it follows the cache's events, which
   come late, so that it knows what the engine held a moment ago.  */
static uint32_t
uncached_tokens (const struct job *j, const struct slot *s)
{
  const struct workload_request *w = &j->request;
  bool cached = engine_model_caches (s->engine, w->prefix);
  return cached ? w->prompt_tokens - w->prefix_tokens : w->prompt_tokens;
}

/* The home VM's queue takes the request or says no at once.  */
static void
offer (struct job *j, struct slot *s, enum route_phase phase)
{
  struct pool *p = j->pool;
  j->slot = s;
  j->phase = phase;
  j->ticket = ++p->next_ticket;
  struct queue_item item
      = { .ticket = j->ticket,
          .priority = 5,
          .prompt_tokens = phase == PHASE_DECODE ? 0 : uncached_tokens (j, s),
          .deadline_ms = j->start_us / 1000 + TARGET_MS };
  if (phase == PHASE_DECODE)
    item.deadline_ms = now_ms (p) + 60000;
  enum queue_verdict v
      = s->gone ? QUEUE_REFUSE : queue_admit (s->queue, &item, now_ms (p));
  if (v == QUEUE_REFUSE)
    {
      /* The refusal tells the engine's load as it is.  */
      struct route_load load = load_of (s);
      router_set_load (j->entry->router, s->number, &load, now_ms (p));
    }
  if (v == QUEUE_START)
    start_job (j);
  else if (v == QUEUE_WAIT)
    g_hash_table_insert (p->jobs, &j->ticket, j);
  else if (phase == PHASE_DECODE)
    vtime_after (p->time, STALL_RETRY_US, on_stalled, j, NULL);
  else if (retry_budget_withdraw (&j->entry->retries))
    {
      p->result.retries++;
      try_route (j);
    }
  else
    refuse (j, 1000);
}

static void
try_route (struct job *j)
{
  struct pool *p = j->pool;
  struct router *router = j->entry->router;
  struct route_request request = ask_of (j, PHASE_PREFILL);
  struct route_choice c = router_pick (router, &request);
  if (c.engine == ROUTE_NONE)
    {
      refuse (j, c.retry_after_ms);
      return;
    }
  struct slot *s = &p->slots[c.engine];
  request.phase = PHASE_COMBINED;
  bool only_prefill = router_load (router, c.engine)->role == ROLE_PREFILL;
  if (only_prefill || j->request.output_tokens > LONG_OUTPUT_TOKENS)
    {
      /* A place to decode is found and counted before the prefill starts.  */
      struct route_request decode = ask_of (j, PHASE_DECODE);
      struct route_choice d = router_pick (router, &decode);
      if (d.engine == ROUTE_NONE && only_prefill)
        {
          refuse (j, d.retry_after_ms);
          return;
        }
      if (only_prefill
          || (d.engine != ROUTE_NONE
              && router_load (router, d.engine)->role == ROLE_DECODE))
        {
          router_record_sent (router, d.engine, &decode, false);
          j->decode_at = &p->slots[d.engine];
          request.phase = PHASE_PREFILL;
        }
    }
  router_record_sent (router, c.engine, &request, c.cached);
  offer (j, s, request.phase);
}

static void
count_demand (struct pool *p, const struct workload_request *w)
{
  struct engine_rates rates = engine_rates_default ();
  bool known = g_hash_table_contains (p->seen, &w->prefix);
  if (!known)
    {
      uint64_t *key = g_new (uint64_t, 1);
      *key = w->prefix;
      g_hash_table_add (p->seen, key);
    }
  p->result.cache_ideal += known;
  uint32_t tokens
      = known ? w->prompt_tokens - w->prefix_tokens : w->prompt_tokens;
  p->demand_answers++;
  p->demand_prefill_s += tokens / rates.prefill_tokens_per_s;
  /* Output lengths are known only by their mean.  */
  p->demand_decode_s += p->mean_output[w->dossier] * workload_token_s ();
}

static void
on_arrival (void *arg)
{
  struct pool *p = arg;
  double t = (double)vtime_us (p->time) / 1e6;
  if (t >= p->shape.seconds)
    return;
  struct job *j = g_new0 (struct job, 1);
  j->pool = p;
  j->entry = &p->entries[vtime_between (p->time, 0, p->shape.entries - 1)];
  j->request = workload_draw (&p->shape, p->time, t);
  j->start_us = vtime_us (p->time);
  p->result.arrivals++;
  p->result.tries++;
  retry_budget_deposit (&j->entry->retries);
  count_demand (p, &j->request);
  try_route (j);
  double gap = vtime_exponential (p->time, 1 / workload_rate (&p->shape, t));
  vtime_after (p->time, (int64_t)(gap * 1e6), on_arrival, p, NULL);
}

/* Role changes.  */

static unsigned
batch_of (enum engine_role role)
{
  if (role == ROLE_PREFILL)
    return PREFILL_BATCH;
  return role == ROLE_MIXED ? MIXED_BATCH : FULL_BATCH;
}

static struct queue *
queue_for (enum engine_role role)
{
  struct queue *q = queue_create (batch_of (role), WAITING_MAX);
  double rate = engine_rates_default ().prefill_tokens_per_s;
  queue_set_prefill_rate (q, (uint32_t)rate, role == ROLE_MIXED);
  return q;
}

static void
on_changed (void *arg)
{
  struct slot *s = arg;
  s->changing = false;
  s->draining = false;
  queue_destroy (s->queue);
  s->queue = queue_for (s->next_role);
  report_to_all (s->pool, s);
}

/* A drained engine starts its change.  */
static void
slot_idle (struct slot *s)
{
  if (!s->draining || s->changing || s->gone || queue_running (s->queue) > 0
      || queue_waiting (s->queue) > 0 || !engine_model_idle (s->engine))
    return;
  s->changing = true;
  engine_model_change (s->engine, s->next_role, on_changed, s);
}

static bool
change_role (struct pool *p, enum engine_role from, enum engine_role to)
{
  struct slot *best = NULL;
  for (unsigned i = 0; i < p->shape.engines; i++)
    {
      struct slot *s = &p->slots[i];
      if (s->gone || s->draining || s->changing
          || engine_model_role (s->engine) != from)
        continue;
      if (best == NULL
          || queue_running (s->queue) < queue_running (best->queue))
        best = s;
    }
  if (best == NULL)
    return false;
  best->draining = true;
  best->next_role = to;
  queue_set_draining (best->queue, true);
  report_to_all (p, best);
  p->result.role_changes++;
  p->result.late_changes += now_ms (p) > WARM_MS;
  slot_idle (best);
  return true;
}

static struct roles_split
split_of (const struct pool *p)
{
  struct roles_split split = { 0 };
  for (unsigned i = 0; i < p->shape.engines; i++)
    {
      const struct slot *s = &p->slots[i];
      if (s->gone)
        continue;
      if (s->draining || s->changing)
        split.changing++;
      else if (engine_model_role (s->engine) == ROLE_PREFILL)
        split.prefill++;
      else if (engine_model_role (s->engine) == ROLE_DECODE)
        split.decode++;
      else
        split.mixed++;
    }
  return split;
}

/* Plain thresholds: an engine goes where queues grow.  */
static void
threshold_control (struct pool *p)
{
  double tokens = 0, running = 0, prefill = 0, decode = 0;
  for (unsigned i = 0; i < p->shape.engines; i++)
    {
      struct slot *s = &p->slots[i];
      if (s->gone || s->draining || s->changing)
        continue;
      if (engine_model_role (s->engine) == ROLE_PREFILL)
        {
          prefill++;
          tokens += queue_prefill_tokens (s->queue);
        }
      else
        {
          decode++;
          running += queue_running (s->queue);
        }
    }
  double wait_s = tokens / fmax (prefill, 1) / 87000;
  double fill = running / fmax (decode, 1) / FULL_BATCH;
  if (wait_s > 0.15 && decode > 1 && fill < 0.9)
    change_role (p, ROLE_DECODE, ROLE_PREFILL);
  else if (fill > 0.9 && prefill > 1 && wait_s < 0.1)
    change_role (p, ROLE_PREFILL, ROLE_DECODE);
}

static void
on_control (void *arg)
{
  struct pool *p = arg;
  struct roles_split split = split_of (p);
  roles_demand (p->roles, p->demand_answers, p->demand_prefill_s,
                p->demand_decode_s, now_ms (p));
  p->demand_answers = p->demand_prefill_s = p->demand_decode_s = 0;
  if (p->shape.control == CONTROL_THRESHOLD)
    threshold_control (p);
  else if (p->shape.control == CONTROL_ROLES)
    {
      struct roles_decision d = roles_decide (p->roles, &split, now_ms (p));
      if (d.from != d.to)
        change_role (p, d.from, d.to);
    }
  vtime_after (p->time, 1000000, on_control, p, NULL);
}

/* Samples, and engines that are withdrawn.  */

static void
on_sample (void *arg)
{
  struct pool *p = arg;
  for (unsigned i = 0; i < p->shape.engines; i++)
    if (engine_model_role (p->slots[i].engine) != ROLE_DECODE)
      p->slots[i].queue_sum += queue_prefill_tokens (p->slots[i].queue);
  vtime_after (p->time, 250000, on_sample, p, NULL);
}

static void
on_withdraw (void *arg)
{
  struct pool *p = arg;
  for (unsigned i = 0; i < p->shape.withdraw; i++)
    {
      struct slot *s = &p->slots[(i * 5) % p->shape.engines];
      s->gone = true;
      engine_model_withdraw (s->engine);
      report_to_all (p, s);
    }
}

/* Making and releasing.  */

static enum engine_role
role_at_start (const struct pool_shape *shape, unsigned i)
{
  /* Spread over the numbers, so that withdrawals hit all roles.  */
  unsigned k = i * 7 % shape->engines;
  if (shape->engines % 7 == 0)
    k = i;
  if (k < shape->prefill)
    return ROLE_PREFILL;
  return k < shape->prefill + shape->mixed ? ROLE_MIXED : ROLE_DECODE;
}

static void
pool_init (struct pool *p, const struct pool_shape *shape)
{
  struct engine_rates rates = engine_rates_default ();
  p->shape = *shape;
  p->time = vtime_create (shape->seed);
  p->jobs = g_hash_table_new (g_int64_hash, g_int64_equal);
  p->seen = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  p->mean_output[0] = 200;
  p->mean_output[1] = 2;
  p->slots = g_new0 (struct slot, shape->engines);
  struct roles_config config = { .change_cost = shape->change_cost,
                                 .change_s = 10,
                                 .mixed_decode = MIXED_DECODE_SHARE,
                                 .floor = 1 };
  p->roles = roles_create (&config);
  for (unsigned i = 0; i < shape->engines; i++)
    {
      enum engine_role role = role_at_start (shape, i);
      p->slots[i] = (struct slot){ .pool = p, .number = i };
      p->slots[i].engine = engine_model_create (p->time, &rates, role);
      p->slots[i].queue = queue_for (role);
    }
  for (unsigned j = 0; j < shape->entries; j++)
    {
      struct entry *e = &p->entries[j];
      e->pool = p;
      e->router = router_create (shape->seed * 31 + j);
      for (unsigned i = 0; i < shape->engines; i++)
        {
          g_autofree char *name = g_strdup_printf ("engine%u", i);
          router_add (e->router, name, 0, 0);
          router_set_speed (e->router, i, (uint32_t)rates.prefill_tokens_per_s,
                            FULL_BATCH, MIXED_BATCH);
        }
      router_build_rings (e->router);
      for (unsigned i = 0; i < shape->engines; i++)
        {
          struct route_load load = load_of (&p->slots[i]);
          router_set_load (e->router, i, &load, 0);
        }
    }
}

static void
pool_clear (struct pool *p)
{
  vtime_destroy (p->time);
  for (unsigned i = 0; i < p->shape.engines; i++)
    {
      engine_model_destroy (p->slots[i].engine);
      queue_destroy (p->slots[i].queue);
    }
  for (unsigned j = 0; j < p->shape.entries; j++)
    router_destroy (p->entries[j].router);
  roles_destroy (p->roles);
  g_hash_table_destroy (p->jobs);
  g_hash_table_destroy (p->seen);
  g_free (p->slots);
}

static void
finish_result (struct pool *p)
{
  double most = 0, sum = 0, n = 0;
  for (unsigned i = 0; i < p->shape.engines; i++)
    {
      double q = p->slots[i].queue_sum;
      most = fmax (most, q);
      sum += q;
      n += q > 0;
    }
  p->result.hottest = sum > 0 ? most / (sum / fmax (n, 1)) : 0;
  p->result.bound = workload_bound (&p->shape);
  double returns = 0, peak = 0, seconds = 0;
  for (unsigned i = 0; i < SECONDS_MAX; i++)
    {
      returns += p->returns[i];
      peak = fmax (peak, p->returns[i]);
      seconds += p->returns[i] > 0;
    }
  p->result.return_peak = seconds > 0 ? peak / (returns / seconds) : 0;
}

struct pool_result
pool_run (const struct pool_shape *shape)
{
  struct pool p = { .next_ticket = 0 };
  pool_init (&p, shape);
  vtime_after (p.time, 1000, on_arrival, &p, NULL);
  vtime_after (p.time, 100000, on_reports, &p, NULL);
  vtime_after (p.time, 1000000, on_control, &p, NULL);
  vtime_after (p.time, 250000, on_sample, &p, NULL);
  if (shape->withdraw)
    vtime_after (p.time, (int64_t)shape->seconds * 500000, on_withdraw, &p,
                 NULL);
  vtime_run (p.time, (int64_t)(shape->seconds + 30) * 1000000);
  finish_result (&p);
  struct pool_result result = p.result;
  pool_clear (&p);
  return result;
}
