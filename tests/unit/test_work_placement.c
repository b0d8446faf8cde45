/** @file
    Placement by expected work: the estimates, the model of steps, and a load
   of streams beside long prompts, played on virtual time at engines of two
    speeds, by several VMs that know each other's load from reports.  Guards
    against streams that crowd on few or slow engines, so that their longest
    answers miss the deadline or the target for gaps.  */
#include "decide/load_shed.h"
#include "decide/placement.h"
#include "decide/step_model.h"
#include "decide/work_estimate.h"

#include <math.h>

#define ENGINES 24
#define VMS 6
#define SLOTS 24
#define SPEED_FAST 1.2
#define SPEED_SLOW 0.55
#define STEP_FIXED_MS 0.58
#define STEP_PER_REQUEST_MS 0.05
#define PREFILL_TOKENS_PER_MS 331.0
#define REPORT_MS 100
#define WARMUP_MS 20000
#define RUN_MS 80000
/* Streams.  */
#define STREAMS_PER_S 16.5
#define EVENTS_MAX 170
#define EVENTS_EXPONENT 1.361 /* gives a mean of 72 events */
#define EVENT_TOKENS_MAX 78
#define STREAM_TARGET_MS 400
#define STREAM_GAP_MS 200
#define STREAM_TIMEOUT_MS 15000
/* Long prompts: steady, and in bursts of a second.  */
#define LONG_PER_S 160.0
#define LONG_BURST_PER_S 600.0
#define BURST_EVERY_MS 4000
#define BURST_MS 1000
#define LONG_TARGET_MS 250
#define LONG_TIMEOUT_MS 2000
#define PREFIXES 60
#define SHARED_TOKENS 4000

enum policy
{
  POLICY_FIRST_TOKEN,    /* streams are placed like other requests */
  POLICY_WORK,           /* by their expected answer */
  POLICY_LEAST_REQUESTS, /* fewest requests, really running */
  POLICY_ORACLE          /* knows speeds, loads and sizes */
};
static const char *const policy_names[]
    = { "first-token", "work", "least-requests", "oracle" };

struct engine
{
  char id[8];
  double speed;
  double next_ms;      /* end of what it does; INFINITY if idle */
  GPtrArray *prefills; /* struct job */
  GPtrArray *decodes;  /* struct job */
  bool prefilling;     /* the first of PREFILLS */
  struct prefix_index *cache;
};

struct vm
{
  struct upstreams *upstreams;
  struct work_estimates *work;
};

struct job
{
  struct engine *engine;
  struct vm *vm;
  struct prompt prompt;
  bool is_stream;
  bool is_large;
  bool counted;
  unsigned events; /* still to send */
  unsigned events_all;
  unsigned tokens_left; /* of the current event */
  double arrived_ms;
  double first_ms; /* 0 before */
  double event_ms;
  double longest_gap_ms;
  struct upstream_work work;
};

/* What callers got; index 1: the largest tenth of the streams.  */
struct result
{
  unsigned asked[2];
  unsigned served[2];
  unsigned in_target[2];
  unsigned long_asked;
  unsigned long_in_target;
};

struct world
{
  GRand *rand;      /* arrivals and sizes: the same for each policy */
  GRand *step_rand; /* tokens of events, ties */
  enum policy policy;
  double now_ms;
  uint64_t jobs;
  struct engine engines[ENGINES];
  struct vm vms[VMS];
  struct result result;
};

static const char *
region_of (void *arg, const char *domain)
{
  (void)arg;
  (void)domain;
  return "north";
}

static void
vm_init (struct world *w, struct vm *v)
{
  static const struct upstream_locality here
      = { .failure_domain = "n1", .region = "north", .region_of = region_of };
  struct engine_limits limits
      = { .kv_tokens = 400000,
          .event_gap_ms = w->policy == POLICY_WORK ? STREAM_GAP_MS : 0 };
  v->upstreams = upstreams_create (&here);
  v->work = work_estimates_create ();
  upstreams_set_engine_limits (v->upstreams, "s", &limits);
  upstreams_set_vm_count (v->upstreams, VMS);
  for (unsigned i = 0; i < ENGINES; i++)
    {
      struct upstream_info info = { .id = w->engines[i].id,
                                    .service = (char *)"s",
                                    .address = (char *)"127.0.0.1:1",
                                    .failure_domain = (char *)"n1",
                                    .software_version = (char *)"v1",
                                    .slots = SLOTS,
                                    .role = UPSTREAM_DECODE };
      upstreams_put (v->upstreams, &info);
    }
}

static void
world_init (struct world *w, guint32 seed, enum policy policy)
{
  memset (w, 0, sizeof *w);
  w->rand = g_rand_new_with_seed (seed);
  w->step_rand = g_rand_new_with_seed (seed);
  w->policy = policy;
  w->now_ms = 1;
  for (unsigned i = 0; i < ENGINES; i++)
    {
      struct engine *e = &w->engines[i];
      g_snprintf (e->id, sizeof e->id, "e%u", i);
      e->speed = i % 2 ? SPEED_FAST : SPEED_SLOW;
      e->next_ms = INFINITY;
      e->prefills = g_ptr_array_new_with_free_func (g_free);
      e->decodes = g_ptr_array_new_with_free_func (g_free);
      e->cache = prefix_index_create (400000);
    }
  for (unsigned i = 0; i < VMS; i++)
    vm_init (w, &w->vms[i]);
}

static void
world_clear (struct world *w)
{
  for (unsigned i = 0; i < ENGINES; i++)
    {
      g_ptr_array_unref (w->engines[i].prefills);
      g_ptr_array_unref (w->engines[i].decodes);
      prefix_index_destroy (w->engines[i].cache);
    }
  for (unsigned i = 0; i < VMS; i++)
    {
      upstreams_destroy (w->vms[i].upstreams);
      work_estimates_destroy (w->vms[i].work);
    }
  g_rand_free (w->rand);
  g_rand_free (w->step_rand);
}

/* Engines.  */

static double
step_ms (const struct engine *e, unsigned batch)
{
  return (STEP_FIXED_MS + STEP_PER_REQUEST_MS * batch) / e->speed;
}

static double
prefill_ms (const struct engine *e, const struct prompt *p)
{
  uint64_t cached = prefix_index_match (e->cache, p);
  return (double)(p->tokens - cached) / PREFILL_TOKENS_PER_MS / e->speed;
}

/* Starts the next prefill or decode step of E.  They alternate while there are
   both; a prefill waits for a slot.  */
static void
engine_continue (struct world *w, struct engine *e)
{
  bool may_prefill = e->prefills->len > 0 && e->decodes->len < SLOTS;
  e->prefilling = may_prefill && !(e->prefilling && e->decodes->len > 0);
  if (e->prefilling)
    {
      struct job *j = g_ptr_array_index (e->prefills, 0);
      e->next_ms = w->now_ms + prefill_ms (e, &j->prompt);
      prefix_index_add (e->cache, &j->prompt, (int64_t)w->now_ms);
    }
  else if (e->decodes->len > 0)
    e->next_ms = w->now_ms + step_ms (e, e->decodes->len);
  else
    e->next_ms = INFINITY;
}

static unsigned
draw_tokens (struct world *w)
{
  return (unsigned)g_rand_int_range (w->step_rand, 1, EVENT_TOKENS_MAX + 1);
}

static struct work_key
key_of (const struct job *j)
{
  return (struct work_key){ .route = j->is_stream ? "short" : "long",
                            .service = "s",
                            .max_tokens = j->prompt.out_tokens };
}

/* J sends an event.  */
static void
send_event (struct world *w, struct job *j)
{
  int64_t now = (int64_t)ceil (w->now_ms);
  if (j->first_ms <= 0)
    {
      j->first_ms = w->now_ms;
      (void)upstreams_record_first_byte (j->vm->upstreams, &j->work, now);
    }
  else
    j->longest_gap_ms = MAX (j->longest_gap_ms, w->now_ms - j->event_ms);
  j->event_ms = w->now_ms;
  j->events--;
  j->tokens_left = draw_tokens (w);
  struct work_key key = key_of (j);
  double left
      = work_estimates_left (j->vm->work, &key, j->events_all - j->events);
  upstreams_record_bytes (j->vm->upstreams, &j->work, now);
  if (j->is_stream)
    upstreams_record_events (j->vm->upstreams, &j->work, 1, left, now);
}

static void
count_result (struct world *w, const struct job *j, bool served)
{
  struct result *r = &w->result;
  double first_ms = j->first_ms - j->arrived_ms;
  if (!j->counted)
    return;
  if (!j->is_stream)
    {
      r->long_in_target += served && first_ms <= LONG_TARGET_MS;
      return;
    }
  bool in_target = served && first_ms <= STREAM_TARGET_MS
                   && j->longest_gap_ms <= STREAM_GAP_MS;
  r->served[0] += served;
  r->served[1] += served && j->is_large;
  r->in_target[0] += in_target;
  r->in_target[1] += in_target && j->is_large;
}

/* J has ended; it is freed by the calling code.  */
static void
job_ended (struct world *w, struct job *j, bool served)
{
  int64_t now = (int64_t)ceil (w->now_ms);
  count_result (w, j, served);
  if (!served)
    {
      upstreams_record_cancel (j->vm->upstreams, &j->work);
      return;
    }
  struct work_key key = key_of (j);
  struct work_done done
      = { .values = { j->events_all, 0, w->now_ms - j->first_ms } };
  work_estimates_record (j->vm->work, &key, &done);
  upstreams_record_outcome (j->vm->upstreams, &j->work, ATTEMPT_ANSWERED, now);
}

static void
drop_expired (struct world *w, GPtrArray *jobs)
{
  for (guint i = jobs->len; i-- > 0;)
    {
      struct job *j = g_ptr_array_index (jobs, i);
      double timeout_ms = j->is_stream ? STREAM_TIMEOUT_MS : LONG_TIMEOUT_MS;
      if (w->now_ms - j->arrived_ms <= timeout_ms)
        continue;
      job_ended (w, j, false);
      g_ptr_array_remove_index (jobs, i);
    }
}

static void
engine_step_ended (struct world *w, struct engine *e)
{
  if (e->prefilling)
    {
      struct job *j = g_ptr_array_steal_index (e->prefills, 0);
      g_ptr_array_add (e->decodes, j);
      send_event (w, j);
    }
  else
    for (guint i = 0; i < e->decodes->len; i++)
      {
        struct job *j = g_ptr_array_index (e->decodes, i);
        if (--j->tokens_left == 0)
          send_event (w, j);
      }
  for (guint i = e->decodes->len; i-- > 0;)
    {
      struct job *j = g_ptr_array_index (e->decodes, i);
      if (j->events > 0)
        continue;
      job_ended (w, j, true);
      g_ptr_array_remove_index (e->decodes, i);
    }
  drop_expired (w, e->decodes);
  drop_expired (w, e->prefills);
  engine_continue (w, e);
}

/* Placement.  */

/* Returns what the engine of the lowest cost has to beat.  */
static double
oracle_cost (const struct engine *e, const struct job *j)
{
  double queue_ms = 0;
  double left = 0;
  for (guint i = 0; i < e->prefills->len; i++)
    queue_ms += prefill_ms (e, &((struct job *)e->prefills->pdata[i])->prompt);
  for (guint i = 0; i < e->decodes->len; i++)
    left += ((struct job *)e->decodes->pdata[i])->events;
  unsigned batch = e->decodes->len + e->prefills->len + 1;
  double tokens = (EVENT_TOKENS_MAX + 1) / 2.0;
  double compute_ms = prefill_ms (e, &j->prompt);
  if (!j->is_stream)
    return queue_ms + compute_ms * (1 + e->decodes->len);
  return queue_ms + compute_ms + j->events * tokens * step_ms (e, batch)
         + left * tokens * STEP_PER_REQUEST_MS / e->speed;
}

static struct engine *
choose_known (struct world *w, const struct job *j)
{
  struct engine *best = NULL;
  double best_cost = INFINITY;
  for (unsigned i = 0; i < ENGINES; i++)
    {
      struct engine *e = &w->engines[i];
      double cost = w->policy == POLICY_ORACLE
                        ? oracle_cost (e, j)
                        : e->prefills->len + e->decodes->len
                              + g_rand_double (w->step_rand) / 2;
      if (cost < best_cost)
        {
          best_cost = cost;
          best = e;
        }
    }
  return best;
}

/* Chooses an engine for J as a VM does; C is filled.  NULL: J is refused.  */
static struct engine *
choose_by_placement (struct world *w, struct job *j, struct upstream_choice *c)
{
  double target_ms = j->is_stream ? STREAM_TARGET_MS : LONG_TARGET_MS;
  double timeout_ms = j->is_stream ? STREAM_TIMEOUT_MS : LONG_TIMEOUT_MS;
  struct work_key key = key_of (j);
  struct work_estimate events
      = work_estimates_find (j->vm->work, &key, WORK_EVENTS);
  struct placement_stream stream = { .events = events.mean,
                                     .events_median = events.median,
                                     .events_high = events.high,
                                     .gap_ms = STREAM_GAP_MS,
                                     .left_ms = timeout_ms };
  struct placement_request request
      = { .service = "s",
          .prompt = &j->prompt,
          .stream = w->policy == POLICY_WORK && j->is_stream ? &stream : NULL,
          .limit_ms = load_shed_limit_ms (target_ms, timeout_ms) };
  *c = placement_choose (j->vm->upstreams, &request, (int64_t)w->now_ms);
  if (c->handle == 0
      || load_shed_must_refuse (c, request.limit_ms, timeout_ms))
    return NULL;
  const char *id = upstreams_info (j->vm->upstreams, c->handle)->id;
  return &w->engines[atoi (id + 1)];
}

static void
place (struct world *w, struct job *j)
{
  struct upstream_choice c = { 0 };
  struct engine *e = w->policy <= POLICY_WORK ? choose_by_placement (w, j, &c)
                                              : choose_known (w, j);
  if (e == NULL)
    {
      g_free (j);
      return;
    }
  j->engine = e;
  if (c.handle != 0)
    upstreams_record_sent (j->vm->upstreams, &c, &j->prompt,
                           (int64_t)w->now_ms, &j->work);
  g_ptr_array_add (e->prefills, j);
  if (isinf (e->next_ms))
    engine_continue (w, e);
}

static struct job *
draw_job (struct world *w, bool is_stream)
{
  struct job *j = g_new0 (struct job, 1);
  double u = g_rand_double (w->rand);
  struct prompt *p = &j->prompt;
  uint64_t own_id = 1000 + ++w->jobs;
  j->vm = &w->vms[g_rand_int_range (w->rand, 0, VMS)];
  j->is_stream = is_stream;
  j->arrived_ms = w->now_ms;
  j->counted
      = w->now_ms >= WARMUP_MS && w->now_ms < RUN_MS - STREAM_TIMEOUT_MS;
  j->events = is_stream
                  ? (unsigned)MAX (EVENTS_MAX * pow (u, EVENTS_EXPONENT), 2)
                  : 2;
  j->events_all = j->events;
  j->is_large = is_stream && u >= 0.9;
  p->out_tokens = (uint64_t)EVENTS_MAX * EVENT_TOKENS_MAX;
  if (is_stream)
    p->parts[p->n_parts++] = (struct prompt_part){ own_id, 200 };
  else
    {
      p->parts[p->n_parts++] = (struct prompt_part){
        1 + (uint64_t)g_rand_int_range (w->rand, 0, PREFIXES), SHARED_TOKENS
      };
      p->parts[p->n_parts++] = (struct prompt_part){
        own_id, (uint32_t)g_rand_int_range (w->rand, 500, 4000)
      };
    }
  for (unsigned i = 0; i < p->n_parts; i++)
    p->tokens += p->parts[i].tokens;
  if (j->counted)
    {
      w->result.asked[0] += is_stream;
      w->result.asked[1] += j->is_large;
      w->result.long_asked += !is_stream;
    }
  return j;
}

/* Load reports.  */

struct report
{
  struct vm *from;
  struct vm *to;
  char name[8];
  int64_t now_ms;
};

static void
report_one (void *arg, const char *id, upstream_handle h)
{
  struct report *r = arg;
  struct upstream_load load = upstreams_own_load (r->from->upstreams, h);
  load.quiet_ms
      = upstreams_last_byte_age_ms (r->from->upstreams, h, r->now_ms);
  upstreams_add_stream_load (r->from->upstreams, h, r->now_ms, &load);
  upstreams_set_peer_load (r->to->upstreams, r->name, id, &load, r->now_ms);
}

static void
send_reports (struct world *w)
{
  struct report r = { .now_ms = (int64_t)w->now_ms };
  for (unsigned i = 0; i < VMS; i++)
    {
      upstreams_tick (w->vms[i].upstreams, r.now_ms);
      g_snprintf (r.name, sizeof r.name, "vm%u", i);
      r.from = &w->vms[i];
      for (unsigned k = 0; k < VMS; k++)
        if (k != i)
          {
            r.to = &w->vms[k];
            upstreams_clear_peer_loads (r.to->upstreams, r.name);
            upstreams_foreach_loaded (r.from->upstreams, report_one, &r);
          }
    }
}

/* The load.  */

static double
next_after (struct world *w, double per_s)
{
  return w->now_ms - log (1 - g_rand_double (w->rand)) * 1000 / per_s;
}

static double
long_rate (const struct world *w)
{
  return fmod (w->now_ms, BURST_EVERY_MS) < BURST_MS ? LONG_BURST_PER_S
                                                     : LONG_PER_S;
}

static struct engine *
next_engine (struct world *w)
{
  struct engine *first = &w->engines[0];
  for (unsigned i = 1; i < ENGINES; i++)
    if (w->engines[i].next_ms < first->next_ms)
      first = &w->engines[i];
  return first;
}

static double
share (unsigned n, unsigned of)
{
  return (double)n / MAX (of, 1);
}

static struct result
play (guint32 seed, enum policy policy, double load, double long_load)
{
  struct world w;
  world_init (&w, seed, policy);
  double stream_ms = next_after (&w, STREAMS_PER_S * load);
  double long_ms = next_after (&w, long_rate (&w) * long_load);
  double report_ms = REPORT_MS;
  while (w.now_ms < RUN_MS)
    {
      struct engine *e = next_engine (&w);
      double at = MIN (MIN (stream_ms, long_ms), MIN (report_ms, e->next_ms));
      w.now_ms = at;
      if (at >= e->next_ms)
        engine_step_ended (&w, e);
      else if (at >= stream_ms)
        {
          place (&w, draw_job (&w, true));
          stream_ms = next_after (&w, STREAMS_PER_S * load);
        }
      else if (at >= long_ms)
        {
          place (&w, draw_job (&w, false));
          long_ms = next_after (&w, long_rate (&w) * long_load);
        }
      else
        {
          send_reports (&w);
          report_ms += REPORT_MS;
        }
    }
  struct result r = w.result;
  g_test_message (
      "seed %u load %.1f/%.1f %s: streams served %.3f in target %.3f; "
      "largest tenth served %.3f in target %.3f of %u; long "
      "prompts in target %.3f",
      seed, load, long_load, policy_names[policy],
      share (r.served[0], r.asked[0]), share (r.in_target[0], r.asked[0]),
      share (r.served[1], r.asked[1]), share (r.in_target[1], r.asked[1]),
      r.asked[1], share (r.long_in_target, r.long_asked));
  world_clear (&w);
  return r;
}

/* Returns the share of all streams, or of the largest tenth, in their
   target.  */
static double
in_target (const struct result *r, unsigned tenth)
{
  return share (r->in_target[tenth], r->asked[tenth]);
}

/* What the page asks for: the largest tenth is served at least 0.9 as often as
   all, and at least 0.75 of the streams are in their target.  */
static void
check_acceptance (const struct result *r)
{
  g_assert_cmpfloat (share (r->served[1], r->asked[1]), >=,
                     0.9 * share (r->served[0], r->asked[0]));
  g_assert_cmpfloat (in_target (r, 0), >=, 0.75);
}

/* Streams beside a steady load of long prompts with bursts, as seen where they
   crowded on 13 of 45 engines: nearly all are in their target, about as many
   as with fewest requests, which needs the true loads, and as an oracle gets.
   The placement by first tokens loses a quarter of the largest tenth.  */
static void
test_observed_load (void)
{
  for (guint32 seed = 1; seed <= 2; seed++)
    {
      struct result before = play (seed, POLICY_FIRST_TOKEN, 1, 1);
      struct result work = play (seed, POLICY_WORK, 1, 1);
      struct result least = play (seed, POLICY_LEAST_REQUESTS, 1, 1);
      struct result oracle = play (seed, POLICY_ORACLE, 1, 1);
      check_acceptance (&work);
      g_assert_cmpfloat (in_target (&work, 0), >=, in_target (&before, 0));
      g_assert_cmpfloat (in_target (&work, 1), >=, in_target (&before, 1));
      g_assert_cmpfloat (in_target (&work, 0), >=,
                         in_target (&least, 0) - 0.03);
      g_assert_cmpfloat (in_target (&work, 0), >=,
                         0.95 * in_target (&oracle, 0));
      g_assert_cmpfloat (in_target (&work, 1), >=, 0.9);
      g_assert_cmpuint (work.long_in_target, >=,
                        before.long_in_target * 99 / 100);
    }
}

/* Three times as many streams: guards against a reserved set that does not
   grow with them.  */
static void
test_many_streams (void)
{
  struct result before = play (1, POLICY_FIRST_TOKEN, 3, 1);
  struct result work = play (1, POLICY_WORK, 3, 1);
  struct result least = play (1, POLICY_LEAST_REQUESTS, 3, 1);
  check_acceptance (&work);
  g_assert_cmpfloat (in_target (&work, 1), >=, in_target (&before, 1));
  g_assert_cmpfloat (in_target (&work, 1), >=, in_target (&least, 1));
  g_assert_cmpuint (work.long_in_target, >=, before.long_in_target * 99 / 100);
}

/* Bursts of long prompts that keep all engines busy for a second: guards
   against streams that share their engines with long prompts, and against
   engines kept from the long prompts meanwhile.  */
static void
test_bursts (void)
{
  for (guint32 seed = 1; seed <= 2; seed++)
    {
      struct result before = play (seed, POLICY_FIRST_TOKEN, 1, 2.5);
      struct result work = play (seed, POLICY_WORK, 1, 2.5);
      struct result least = play (seed, POLICY_LEAST_REQUESTS, 1, 2.5);
      check_acceptance (&work);
      g_assert_cmpfloat (in_target (&work, 0), >=,
                         in_target (&before, 0) + 0.15);
      g_assert_cmpfloat (in_target (&work, 0), >=, in_target (&least, 0));
      g_assert_cmpuint (work.long_in_target, >=,
                        before.long_in_target * 97 / 100);
    }
}

/* Few streams beside long prompts that keep all engines busy: guards against a
   reserved set that changes while streams run, so that long prompts reach
   them.  */
static void
test_few_streams (void)
{
  struct result before = play (1, POLICY_FIRST_TOKEN, 0.3, 4);
  struct result work = play (1, POLICY_WORK, 0.3, 4);
  check_acceptance (&work);
  g_assert_cmpfloat (in_target (&work, 0), >=, in_target (&before, 0) - 0.03);
  g_assert_cmpuint (work.long_in_target, >=, before.long_in_target * 97 / 100);
}

/* Guards against sending a stream that ends after its deadline at every
   engine, against refusing one that may end in time or comes to an idle
   engine, and against refusals without recent samples.  */
static void
test_refusal (void)
{
  struct world w;
  struct upstream_choice sent = { .work = UPSTREAM_WORK_SHORT_PROMPT };
  struct upstream_work work[ENGINES];
  world_init (&w, 1, POLICY_WORK);
  struct upstreams *u = w.vms[0].upstreams;
  struct prompt p = { .n_parts = 1, .tokens = 200 };
  struct placement_stream stream = { .events = 100,
                                     .events_median = 100,
                                     .events_high = 150,
                                     .gap_ms = STREAM_GAP_MS,
                                     .left_ms = 15000 };
  struct placement_request request
      = { .service = "s", .prompt = &p, .stream = &stream, .limit_ms = 1500 };
  int64_t now = 1000;
  upstreams_tick (u, now);
  for (unsigned i = 0; i < ENGINES; i++)
    {
      sent.handle = upstreams_find (u, w.engines[i].id);
      upstreams_record_sent (u, &sent, &p, now, &work[i]);
    }
  for (unsigned k = 0; k < 30; k++)
    {
      now += 300;
      upstreams_tick (u, now);
      for (unsigned i = 0; i < ENGINES; i++)
        upstreams_record_events (u, &work[i], 1, 50, now);
    }
  struct upstream_choice c = placement_choose (u, &request, now);
  g_assert_cmpfloat (c.median_done_ms, >, 20000);
  g_assert_true (load_shed_must_refuse (&c, 1500, 15000));
  stream.events = stream.events_median = stream.events_high = 20;
  c = placement_choose (u, &request, now);
  g_assert_false (load_shed_must_refuse (&c, 1500, 15000));
  stream.events = stream.events_median = stream.events_high = 100;
  c = placement_choose (u, &request, now + 10000);
  g_assert_false (load_shed_must_refuse (&c, 1500, 15000));
  upstreams_record_cancel (u, &work[0]);
  c = placement_choose (u, &request, now);
  g_assert_cmpstr (upstreams_info (u, c.handle)->id, ==, w.engines[0].id);
  g_assert_false (load_shed_must_refuse (&c, 1500, 15000));
  world_clear (&w);
}

/* Guards against any effect where no route has a target for gaps: the same
   requests go to the same engines, whatever is known of streams.  */
static void
test_without_target (void)
{
  struct world w;
  world_init (&w, 1, POLICY_FIRST_TOKEN);
  struct upstreams *a = w.vms[0].upstreams;
  struct upstreams *b = w.vms[1].upstreams;
  struct upstream_work works[2];
  for (unsigned i = 0; i < 300; i++)
    {
      int64_t now = 1000 + (int64_t)i * 20;
      struct job *j = draw_job (&w, i % 3 != 0);
      struct placement_request request
          = { .service = "s", .prompt = &j->prompt, .limit_ms = 200 };
      struct upstream_choice c = placement_choose (a, &request, now);
      struct upstream_choice d = placement_choose (b, &request, now);
      g_assert_cmpstr (upstreams_info (a, c.handle)->id, ==,
                       upstreams_info (b, d.handle)->id);
      g_assert_cmpfloat (c.median_done_ms, ==, 0);
      upstreams_record_sent (a, &c, &j->prompt, now, &works[0]);
      upstreams_record_sent (b, &d, &j->prompt, now, &works[1]);
      /* Only A hears of gaps.  */
      for (unsigned k = 1; k < 10; k++)
        upstreams_record_events (a, &works[0], 1, 5, now + k);
      g_free (j);
    }
  world_clear (&w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/work-placement/observed-load", test_observed_load);
  g_test_add_func ("/work-placement/many-streams", test_many_streams);
  g_test_add_func ("/work-placement/bursts", test_bursts);
  g_test_add_func ("/work-placement/few-streams", test_few_streams);
  g_test_add_func ("/work-placement/refusal", test_refusal);
  g_test_add_func ("/work-placement/without-target", test_without_target);
  return g_test_run ();
}
