#include "decide/placement.h"

#include "decide/placement_parts.h"

#include <float.h>
#include <string.h>

/* Placing a prompt on the second of the engines that it prefers costs the time
   of prefilling its shared parts there times a factor, and on later ones three
   and seven times as much: the parts would be cached once more, and their
   prefill would delay other requests.  The factor rises from IDLE to BUSY with
   the queues of all engines.  */
#define SPILL_COST_IDLE 1.0
#define SPILL_COST_BUSY 8.0
/* Up to this pressure (see find_pressure) no prompt waits longer than its
   limit for the engine that caches its prefix.  */
#define PRESSURE_MAX 0.4
/* Length of a full queue for requests without a limit.  */
#define DEFAULT_LIMIT_MS 200.0
/* Part of the time that a long prompt keeps an engine busy by which each short
   request there is delayed.  */
#define INTERFERENCE_SHARE 0.25
/* Cost of an upstream with a failure rate of 1; lower rates cost in
   proportion.  */
#define FAILURE_COST_MS 400.0
/* Cost of placing a short request on an engine that is not reserved, so that
   it runs there only once the reserved engines have no free slot.  */
#define UNRESERVED_COST_MS 150.0
/* Mean time that a request occupies a slot, before the first sample.  */
#define DEFAULT_RESIDENCE_MS 200.0

bool
placement_is_long_prompt (const struct prompt *prompt)
{
  return prompt && prompt->tokens >= LONG_PROMPT_MIN_TOKENS;
}

/* Returns the expected wait until a slot is free for one more request.  */
static double
slot_wait_ms (const struct upstream_load *load,
              const struct placement_engine *engine)
{
  unsigned slots = MAX (engine->slots, 1);
  if (load->running < slots)
    return 0;
  double residence_ms
      = engine->residence_ms > 0 ? engine->residence_ms : DEFAULT_RESIDENCE_MS;
  return (load->running - slots + 1) * residence_ms / slots;
}

double
placement_queue_ms (enum upstream_work_kind work,
                    const struct upstream_load *load,
                    const struct placement_engine *engine)
{
  if (work == UPSTREAM_WORK_PLAIN)
    return 0;
  return slot_wait_ms (load, engine)
         + engine_model_compute_ms (engine->model, load->tokens);
}

double
placement_wait_ms (enum upstream_work_kind work,
                   const struct upstream_load *load, uint64_t tokens,
                   const struct placement_engine *engine)
{
  if (work == UPSTREAM_WORK_PLAIN)
    return 0;
  return placement_queue_ms (work, load, engine)
         + engine_model_first_token_ms (engine->model, tokens);
}

bool
placement_was_tried (const struct placement_request *request,
                     upstream_handle h)
{
  for (unsigned i = 0; i < request->n_tried; i++)
    if (request->tried[i] == h)
      return true;
  return false;
}

bool
placement_may_disaggregate (const struct placement_request *request)
{
  return !request->exclude_prefill_engines && request->prefill_engine == 0
         && placement_is_long_prompt (request->prompt);
}

bool
placement_needs_long_prefill (const struct placement_request *request)
{
  return request->prefill_engine == 0
         && placement_is_long_prompt (request->prompt);
}

bool
placement_is_decode_engine (const struct upstream *x, const char *service,
                            int64_t now_ms)
{
  return upstreams_entry_accepts (x, now_ms) && x->info.role == UPSTREAM_DECODE
         && strcmp (x->info.service, service) == 0;
}

bool
placement_may_send (const struct upstream *x,
                    const struct placement_request *request, int64_t now_ms)
{
  return request->ignore_limits ? upstreams_entry_accepts (x, now_ms)
                                : upstreams_entry_admits (x, now_ms);
}

bool
placement_is_eligible (const struct upstream *x,
                       const struct placement_request *request, int64_t now_ms)
{
  return placement_may_send (x, request, now_ms)
         && (x->info.role != UPSTREAM_PREFILL
             || placement_may_disaggregate (request))
         && !(x->reserved && placement_needs_long_prefill (request))
         && strcmp (x->info.service, request->service) == 0;
}

/* Returns the expected time at X, for a request of kind WORK with TOKENS to
   prefill.  */
double
placement_wait_at (const struct upstream *x, enum upstream_work_kind work,
                   uint64_t tokens, const struct upstream_load *load)
{
  struct placement_engine engine
      = { .model = work == UPSTREAM_WORK_DECODE ? &x->decode : &x->prefill,
          .slots = x->info.slots,
          .residence_ms = x->residence_ms };
  return placement_wait_ms (work, load, tokens, &engine);
}

/* State of one placement_choose call.  */
struct search
{
  const struct upstreams *u;
  const struct placement_request *request;
  struct decode_option *decode; /* by failure domain; see
                                   placement_find_best_decode */
  double local_transfer_ms;     /* see local_transfer_ms; for prompts */
  uint64_t kv_tokens;           /* capacity of an engine's KV cache */
  double pressure;              /* see find_pressure; for long prompts */
  double best_service_ms; /* upstreams_best_service_ms, for plain requests */
  bool decode_limited;    /* no decode engine has a token, and some need one */
  int64_t now_ms;
};

/* Returns how busy the engines are that may prefill the prompt of REQUEST,
   from 0 (idle) to 1 (all have queues as long as the limit).  */
static double
find_pressure (const struct upstreams *u,
               const struct placement_request *request, int64_t now_ms)
{
  double sum = 0;
  unsigned n = 0;
  double limit_ms
      = request->limit_ms > 0 ? request->limit_ms : DEFAULT_LIMIT_MS;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      if (!placement_is_eligible (x, request, now_ms))
        continue;
      struct upstream_load load = upstreams_total_load (x, now_ms);
      double queue_ms = engine_model_compute_ms (&x->prefill, load.tokens);
      sum += MIN (queue_ms / limit_ms, 1);
      n++;
    }
  return n > 0 ? sum / n : 0;
}

/* Returns the cost of placing a prompt on its engine of RANK, in times of
   prefilling its shared parts.  */
static double
spill_factor (const struct search *s, unsigned rank)
{
  double cost
      = SPILL_COST_IDLE + (SPILL_COST_BUSY - SPILL_COST_IDLE) * s->pressure;
  return cost * (double)((1U << rank) - 1);
}

/* Latency and cost of a request at one upstream, in ms.  */
struct latency
{
  double ms;   /* uncorrected */
  double cost; /* delay for other requests, risk of failure, caching twice */
};

/* Returns the cost of the answer at X after its first event, which is expected
   after FIRST_MS, if the request is placed by its answer.  A long prompt is
   not: its prefill is most of its work, and a cost that keeps it off the
   engines that are not reserved would leave it only the links of the reserved
   ones.  */
static double
stream_cost (const struct search *s, const struct upstream *x,
             const struct upstream_load *load, double first_ms,
             struct upstream_choice *out)
{
  const struct prompt *p = s->request->prompt;
  if (s->request->stream == NULL || placement_is_long_prompt (p))
    return 0;
  uint64_t part = p && p->n_parts > 0 ? p->parts[p->n_parts - 1].id : 0;
  return placement_estimate_stream (s->u, x, s->request->stream, load,
                                    first_ms, part + (uint64_t)s->now_ms,
                                    s->now_ms, out);
}

/* Estimates the decode at X of a prompt that PREFILL_ENGINE has prefilled.  */
static void
estimate_decode (const struct search *s, const struct upstream *x,
                 const struct upstream *prefill_engine,
                 const struct upstream_load *load, struct upstream_choice *out,
                 struct latency *l)
{
  unsigned from = prefill_engine->domain;
  out->work = UPSTREAM_WORK_DECODE;
  out->wait_ms = placement_wait_at (x, out->work, 0, load);
  out->transfer_ms
      = placement_transfer_ms (s->u, s->local_transfer_ms, from, x->domain)
        + placement_link_wait_ms (x, s->now_ms);
  out->link_ms
      = placement_link_ms (s->u, s->local_transfer_ms, from, x->domain);
  l->ms += out->transfer_ms + out->wait_ms;
  l->cost += out->link_ms * LINK_COST;
  l->cost += stream_cost (s, x, load, l->ms, out);
}

/* Estimates a request at X whose prompt X has to prefill.  */
static void
estimate_prompt (const struct search *s, const struct upstream *x,
                 unsigned rank, const struct upstream_load *load,
                 struct upstream_choice *out, struct latency *l)
{
  const struct placement_request *request = s->request;
  bool is_long = placement_needs_long_prefill (request);
  out->tokens = placement_tokens_to_prefill (x, request->prompt, rank == 0);
  out->remote_prefill = x->info.role == UPSTREAM_PREFILL;
  out->work = is_long ? UPSTREAM_WORK_PREFILL : UPSTREAM_WORK_SHORT_PROMPT;
  out->wait_ms = placement_wait_at (x, out->work, out->tokens, load);
  out->compute_ms = engine_model_compute_ms (&x->prefill, out->tokens);
  out->queue_ms = out->wait_ms - out->compute_ms - x->prefill.rates.fixed_ms;
  /* The permit takes a round trip of its own.  */
  l->ms += x->rtt_ms + out->wait_ms;
  if (out->remote_prefill)
    {
      l->ms += MAX (placement_link_wait_ms (x, s->now_ms) - out->wait_ms, 0);
      l->ms += s->decode[x->domain].ms;
      l->cost += s->decode[x->domain].cost - s->decode[x->domain].ms;
    }
  l->cost += engine_model_compute_ms (
                 &x->prefill, placement_shared_tokens (request->prompt))
             * spill_factor (s, rank);
  if (is_long && load->generating > 0)
    l->cost += load->generating * out->compute_ms * INTERFERENCE_SHARE
               * placement_gap_factor (s->u, x, out->compute_ms, s->now_ms);
  else if (!is_long && x->info.role == UPSTREAM_DECODE)
    l->cost += x->reserved && !x->reserve_ends ? 0 : UNRESERVED_COST_MS;
  if (!out->remote_prefill)
    l->cost += stream_cost (s, x, load, l->ms, out);
}

/* Estimates a plain request at X.  One that has begun more responses at once
   than it states slots does not queue the requests beyond them.  */
static void
estimate_plain (const struct search *s, const struct upstream *x,
                const struct upstream_load *load, struct upstream_choice *out,
                struct latency *l)
{
  unsigned at_once = MAX (MAX (x->info.slots, x->begun), 1);
  double utilization = (double)load->running / (double)at_once;
  if (utilization < 1)
    out->occupancy
        = load->running > 0 ? UPSTREAM_HAS_FREE_SLOTS : UPSTREAM_IDLE;
  l->ms += upstreams_service_ms (x, s->best_service_ms, s->now_ms)
           * (1 + (utilization < 1 ? utilization / 8 : utilization));
}

/* Estimates the request at X and fills OUT.  Returns the cost that upstreams
   are compared by: the uncorrected latency, plus the delay for other requests,
   the risk of failure, and the cost of caching a prefix twice.  */
static double
estimate (const struct search *s, const struct upstream *x, unsigned rank,
          struct upstream_choice *out)
{
  const struct upstreams *u = s->u;
  const struct placement_request *request = s->request;
  const struct upstream *prefill_engine
      = upstreams_lookup (u, request->prefill_engine);
  struct upstream_load load = upstreams_total_load (x, s->now_ms);
  struct latency l
      = { .ms = x->rtt_ms,
          .cost = upstreams_failure_rate (x, request->repeatable, s->now_ms)
                  * FAILURE_COST_MS };
  if (prefill_engine)
    estimate_decode (s, x, prefill_engine, &load, out, &l);
  else if (request->prompt)
    estimate_prompt (s, x, rank, &load, out, &l);
  else
    estimate_plain (s, x, &load, out, &l);
  out->has_home_load = upstreams_has_home_load (x, s->now_ms);
  out->running = load.running;
  out->link_wait_ms = placement_link_wait_ms (x, s->now_ms);
  out->residence_ms = x->residence_ms;
  out->kv_tokens = s->kv_tokens;
  const struct engine_model *model
      = out->work == UPSTREAM_WORK_DECODE ? &x->decode : &x->prefill;
  out->model_samples = model->rates.samples;
  out->model_age_ms
      = model->updated_ms != 0 ? s->now_ms - model->updated_ms : -1;
  out->uncorrected_ms = l.ms;
  out->expected_ms
      = l.ms
        * (placement_needs_long_prefill (request) ? u->latency_factor : 1);
  return l.ms + l.cost;
}

/* Whether a request that would wait too long at its choice C is better placed
   on another upstream.  While most engines have long queues that is not so for
   a long prompt: elsewhere its prefix would be prefilled and cached once more,
   which delays the others by more than this request gains.  */
static bool
should_avoid_queue (const struct search *s, const struct upstream_choice *c)
{
  double limit_ms = s->request->limit_ms;
  if (limit_ms <= 0)
    return false;
  if (c->work == UPSTREAM_WORK_PLAIN)
    return c->expected_ms > limit_ms;
  return c->queue_ms > limit_ms && s->pressure < PRESSURE_MAX;
}

/* Returns the tier of X, from 0 to 3.  Upstreams of a lower tier are chosen
   first, whatever their cost.  */
static unsigned
priority_tier (const struct search *s, const struct upstream *x,
               const struct upstream_choice *c)
{
  return (upstreams_is_deprioritized (x, s->now_ms) ? 2 : 0)
         + (should_avoid_queue (s, c) ? 1 : 0);
}

struct upstream_choice
placement_choose (const struct upstreams *u,
                  const struct placement_request *request, int64_t now_ms)
{
  struct upstream_choice best = { 0 };
  unsigned best_tier = 0;
  double best_cost = DBL_MAX;
  double next_cost = DBL_MAX;
  g_autofree struct decode_option *decode
      = g_new0 (struct decode_option, u->domains->len + 1);
  struct search s
      = { .u = u, .request = request, .decode = decode, .now_ms = now_ms };
  if (request->prompt)
    {
      placement_mark_reserved (u, request->service, now_ms);
      s.kv_tokens = upstreams_engine_limits (u, request->service).kv_tokens;
      s.local_transfer_ms
          = placement_local_transfer_ms (u, request->service, request->prompt);
    }
  else
    s.best_service_ms
        = upstreams_best_service_ms (u, request->service, now_ms);
  struct affinity affinity;
  placement_find_affinity (u, request, now_ms, &affinity);
  if (placement_needs_long_prefill (request))
    s.pressure = find_pressure (u, request, now_ms);
  if (placement_may_disaggregate (request))
    s.decode_limited = placement_find_best_decode (
        u, request, s.local_transfer_ms, now_ms, decode);
  unsigned candidates = 0;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      if (!placement_is_eligible (x, request, now_ms)
          || (s.decode_limited && x->info.role == UPSTREAM_PREFILL)
          || placement_was_tried (request, upstreams_handle_of (u, i)))
        continue;
      struct upstream_choice c = { .handle = upstreams_handle_of (u, i),
                                   .is_preferred = i == affinity.engines[0] };
      unsigned rank = placement_affinity_rank (&affinity, i);
      double cost = estimate (&s, x, rank, &c);
      unsigned tier = priority_tier (&s, x, &c);
      candidates++;
      if (best.handle
          && (tier > best_tier || (tier == best_tier && cost >= best_cost)))
        {
          next_cost = MIN (next_cost, cost);
          continue;
        }
      next_cost = best_cost;
      best_cost = cost;
      best = c;
      best_tier = tier;
    }
  best.candidates = candidates;
  best.margin_ms = MAX (next_cost - best_cost, 0);
  return best;
}
