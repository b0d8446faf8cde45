#include "decide/placement.h"

#include "decide/upstreams_table.h"

#include <float.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Relative shares of prompts: a prefill engine prefills twice as fast as one
   that also decodes.  */
#define PREFILL_ENGINE_WEIGHT 2.0
#define DECODE_ENGINE_WEIGHT 1.0
/* KV cache transfers between failure domains, and between regions, have these
   fractions of the rate within one failure domain.  */
#define TRANSFER_SLOWDOWN_DOMAIN 2.0
#define TRANSFER_SLOWDOWN_REGION 10.0
/* Size of a token in the KV cache and rate of a link if the configuration does
   not state them.  */
#define DEFAULT_KV_BYTES_PER_TOKEN 100000.0
#define DEFAULT_LINK_MBIT_PER_S 1e6
#define BITS_PER_BYTE 8.0
#define BITS_PER_MS_PER_MBIT_PER_S 1000.0
/* Delay of other requests for each ms that a transfer occupies the links of
   two engines: the transfers of an engine run one after the other.  */
#define LINK_COST 10.0
/* Engines that a prompt prefers, in order; see struct affinity.  Placing it on
   the second one costs the time of prefilling its shared parts there,
   SPILL_COST times over, and on later ones three and seven times as much: they
   would be cached once more, and delay others.  The factor rises from IDLE to
   BUSY with the queues of all engines.  */
#define AFFINITY_RANKS 3
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
/* One more decode engine is reserved for each time that the short requests
   fill this percentage of an engine's slots, or keep an engine's prefill busy
   for this share of the time.  Placing a short request on an engine that is
   not reserved has a cost, so that it runs there only once the reserved
   engines have no free slot.  */
#define RESERVED_FILL_PERCENT 100
#define RESERVED_BUSY_MAX 0.5
#define UNRESERVED_COST_MS 150.0
/* Least weight of a limited upstream, in requests a second, by which waiting
   requests ask for tokens.  */
#define TOKEN_WEIGHT_MIN 0.25
/* Age from which on a stated limit is probed, and the weight for that.  */
#define PROBE_MS 1000
#define PROBE_WEIGHT 1000.0
/* Golden ratio: its multiples, modulo 1, are spread evenly.  */
#define TOKEN_TURN_STEP 0.6180339887498949
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

static bool
was_tried (const struct placement_request *request, upstream_handle h)
{
  for (unsigned i = 0; i < request->n_tried; i++)
    if (request->tried[i] == h)
      return true;
  return false;
}

/* Returns the id of the prompt part that selects the preferred engine: the
   last part that may be shared with other requests, or else the only part; 0
   without parts.  */
static uint64_t
affinity_part (const struct prompt *p)
{
  if (p->n_parts == 0)
    return 0;
  return p->parts[p->n_parts >= 2 ? p->n_parts - 2 : 0].id;
}

/* Weighted rendezvous hashing: the chance of an engine to have the highest
   score is proportional to its weight.  */
static double
rendezvous_score (uint64_t part, const struct upstream *x)
{
  const char *id = x->info.id;
  double u = ((double)XXH64 (id, strlen (id), part) + 1) / 0x1p64;
  double weight = x->info.role == UPSTREAM_PREFILL ? PREFILL_ENGINE_WEIGHT
                                                   : DECODE_ENGINE_WEIGHT;
  return u < 1 ? weight / -log (u) : DBL_MAX;
}

static bool
may_disaggregate (const struct placement_request *request)
{
  return !request->exclude_prefill_engines && request->prefill_engine == 0
         && placement_is_long_prompt (request->prompt);
}

static bool
needs_long_prefill (const struct placement_request *request)
{
  return request->prefill_engine == 0
         && placement_is_long_prompt (request->prompt);
}

static bool
is_decode_engine (const struct upstream *x, const char *service,
                  int64_t now_ms)
{
  return upstreams_entry_accepts (x, now_ms) && x->info.role == UPSTREAM_DECODE
         && strcmp (x->info.service, service) == 0;
}

/* Whether X may be reserved: one whose requests a second are limited may take
   too few.  */
static bool
may_reserve (const struct upstream *x, const char *service, int64_t now_ms)
{
  return is_decode_engine (x, service, now_ms) && !x->rate.limit.in_force;
}

/* Marks the decode engines of SERVICE that are reserved for short prompts:
   one, and one more for each engine that the short requests fill, but not all.
   All VMs reserve them in the same order, that of reserve_rank.  */
static void
mark_reserved (const struct upstreams *u, const char *service, int64_t now_ms)
{
  unsigned engines = 0;
  unsigned slots = 0;
  unsigned generating = 0;
  for (guint i = 1; i < u->slots->len; i++)
    {
      struct upstream *x = upstreams_entry (u, i);
      x->reserved = false;
      if (!may_reserve (x, service, now_ms))
        continue;
      engines++;
      slots = MAX (slots, x->info.slots);
      generating += upstreams_total_load (x, now_ms).generating;
    }
  unsigned capacity = MAX (slots * RESERVED_FILL_PERCENT / 100, 1);
  double busy = upstreams_short_demand (u, service, now_ms);
  unsigned wanted
      = 1 + MAX (generating / capacity, (unsigned)(busy / RESERVED_BUSY_MAX));
  wanted = MIN (wanted, engines - MIN (engines, 1));
  for (; wanted > 0; wanted--)
    {
      struct upstream *first = NULL;
      for (guint i = 1; i < u->slots->len; i++)
        {
          struct upstream *x = upstreams_entry (u, i);
          if (may_reserve (x, service, now_ms) && !x->reserved
              && (first == NULL || x->reserve_rank > first->reserve_rank))
            first = x;
        }
      if (first == NULL)
        return;
      first->reserved = true;
    }
}

static bool
may_send (const struct upstream *x, const struct placement_request *request,
          int64_t now_ms)
{
  return request->ignore_limits ? upstreams_entry_accepts (x, now_ms)
                                : upstreams_entry_admits (x, now_ms);
}

static bool
is_eligible (const struct upstream *x, const struct placement_request *request,
             int64_t now_ms)
{
  return may_send (x, request, now_ms)
         && (x->info.role != UPSTREAM_PREFILL || may_disaggregate (request))
         && !(x->reserved && needs_long_prefill (request))
         && strcmp (x->info.service, request->service) == 0;
}

/* Engines that a prompt prefers, by rendezvous hash: index and score, best
   first.  A prefix that is too popular for the first one spills over to the
   next, always in the same order, so that few engines cache it.  */
struct affinity
{
  guint engines[AFFINITY_RANKS]; /* index; 0 for none */
  double scores[AFFINITY_RANKS];
};

static void
affinity_insert (struct affinity *a, guint engine, double score)
{
  unsigned at = AFFINITY_RANKS;
  while (at > 0 && (a->engines[at - 1] == 0 || score > a->scores[at - 1]))
    at--;
  for (unsigned i = AFFINITY_RANKS - 1; i > at; i--)
    {
      a->engines[i] = a->engines[i - 1];
      a->scores[i] = a->scores[i - 1];
    }
  if (at < AFFINITY_RANKS)
    {
      a->engines[at] = engine;
      a->scores[at] = score;
    }
}

/* Returns the rank of ENGINE in A, from 0; AFFINITY_RANKS if it has none.  */
static unsigned
affinity_rank (const struct affinity *a, guint engine)
{
  unsigned rank = 0;
  while (rank < AFFINITY_RANKS && a->engines[rank] != engine)
    rank++;
  return rank;
}

/* Fills A for the prompt of REQUEST; empty without a prompt.  */
static void
find_affinity (const struct upstreams *u,
               const struct placement_request *request, int64_t now_ms,
               struct affinity *a)
{
  memset (a, 0, sizeof *a);
  if (request->prompt == NULL)
    return;
  uint64_t part = affinity_part (request->prompt);
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      if (is_eligible (x, request, now_ms))
        affinity_insert (a, i, rendezvous_score (part, x));
    }
}

/* Returns the time that the KV cache of PROMPT takes between two engines of
   SERVICE in the same failure domain.  */
static double
local_transfer_ms (const struct upstreams *u, const char *service,
                   const struct prompt *prompt)
{
  struct engine_limits limits = upstreams_engine_limits (u, service);
  double bytes = limits.kv_bytes_per_token > 0
                     ? (double)limits.kv_bytes_per_token
                     : DEFAULT_KV_BYTES_PER_TOKEN;
  double mbit_per_s = limits.link_mbit_per_s > 0 ? limits.link_mbit_per_s
                                                 : DEFAULT_LINK_MBIT_PER_S;
  return (double)prompt->tokens * bytes * BITS_PER_BYTE
         / (mbit_per_s * BITS_PER_MS_PER_MBIT_PER_S);
}

/* Returns the time for which a KV cache transfer, which takes LOCAL_MS within
   a failure domain, occupies the links of two engines in the failure domains
   with indexes FROM and TO.  */
static double
link_ms (const struct upstreams *u, double local_ms, unsigned from,
         unsigned to)
{
  if (from == to)
    return local_ms;
  return local_ms
         * (upstreams_same_region (u, from, to) ? TRANSFER_SLOWDOWN_DOMAIN
                                                : TRANSFER_SLOWDOWN_REGION);
}

/* Returns the expected time of such a transfer.  */
static double
transfer_ms (const struct upstreams *u, double local_ms, unsigned from,
             unsigned to)
{
  double rtt_ms = OTHER_REGION_RTT_MS;
  if (from == to)
    rtt_ms = SAME_DOMAIN_RTT_MS;
  else if (upstreams_same_region (u, from, to))
    rtt_ms = SAME_REGION_RTT_MS;
  return rtt_ms + link_ms (u, local_ms, from, to);
}

/* Returns the time until the transfers are done that are known to wait for the
   link of X.  */
static double
link_wait_ms (const struct upstream *x, int64_t now_ms)
{
  double age_ms = (double)(now_ms - x->home_load_ms);
  return MAX (x->home_load.link_wait_ms - age_ms, 0);
}

/* Returns the expected time at X, for a request of kind WORK with TOKENS to
   prefill.  */
static double
wait_at (const struct upstream *x, enum upstream_work_kind work,
         uint64_t tokens, const struct upstream_load *load)
{
  struct placement_engine engine
      = { .model = work == UPSTREAM_WORK_DECODE ? &x->decode : &x->prefill,
          .slots = x->info.slots,
          .residence_ms = x->residence_ms };
  return placement_wait_ms (work, load, tokens, &engine);
}

/* Returns the expected time to the first token at X of a prompt that another
   engine has prefilled, without the KV cache transfer.  */
static double
decode_ms (const struct upstream *x, int64_t now_ms)
{
  struct upstream_load load = upstreams_total_load (x, now_ms);
  return x->rtt_ms + link_wait_ms (x, now_ms)
         + wait_at (x, UPSTREAM_WORK_DECODE, 0, &load);
}

/* Best decode after a prefill in one failure domain.  */
struct decode_option
{
  double ms;   /* from the end of the prefill to the first token; DBL_MAX if
                  there is no decode engine */
  double cost; /* the same plus the cost of the transfer */
};

/* Sets BEST[D], for the index D of each failure domain, to the decode with the
   lowest cost after a prefill in D, at any decode engine that may get REQUEST.
   LOCAL is the time in ms of a transfer within a failure domain.  Returns
   whether there is none for want of a token.  */
static bool
find_best_decode (const struct upstreams *u,
                  const struct placement_request *request, double local,
                  int64_t now_ms, struct decode_option *best)
{
  unsigned n = u->domains->len;
  bool lacks_token = false;
  bool found = false;
  g_autofree double *fastest = g_new (double, n);
  for (unsigned d = 0; d < n; d++)
    {
      fastest[d] = DBL_MAX;
      best[d] = (struct decode_option){ DBL_MAX, DBL_MAX };
    }
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      if (!is_decode_engine (x, request->service, now_ms)
          || upstreams_is_deprioritized (x, now_ms))
        continue;
      if (!may_send (x, request, now_ms))
        {
          lacks_token = true;
          continue;
        }
      found = true;
      fastest[x->domain] = MIN (fastest[x->domain], decode_ms (x, now_ms));
    }
  for (unsigned from = 0; from < n; from++)
    for (unsigned to = 0; to < n; to++)
      {
        if (fastest[to] == DBL_MAX)
          continue;
        double ms = fastest[to] + transfer_ms (u, local, from, to);
        double cost = ms + link_ms (u, local, from, to) * LINK_COST;
        if (cost < best[from].cost)
          best[from] = (struct decode_option){ ms, cost };
      }
  return lacks_token && !found;
}

/* Returns the tokens before the last part of P, which may be shared with other
   requests.  */
static uint64_t
shared_tokens (const struct prompt *p)
{
  uint64_t own = p->n_parts > 0 ? p->parts[p->n_parts - 1].tokens : 0;
  return p->n_parts >= 2 && p->tokens > own ? p->tokens - own : 0;
}

static uint64_t
tokens_to_prefill (const struct upstream *x, const struct prompt *p,
                   bool is_preferred)
{
  uint64_t cached = prefix_index_match (x->prefix_index, p);
  /* Other VMs also send prompts with these shared parts to the preferred
     engine, so it is assumed to cache them even if this VM sent none.  */
  if (is_preferred)
    cached = MAX (cached, shared_tokens (p));
  return p->tokens > cached ? p->tokens - cached : 0;
}

/* State of one placement_choose call.  */
struct search
{
  const struct upstreams *u;
  const struct placement_request *request;
  struct decode_option *decode; /* by failure domain; see find_best_decode */
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
      if (!is_eligible (x, request, now_ms))
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

/* Estimates the decode at X of a prompt that PREFILL_ENGINE has prefilled.  */
static void
estimate_decode (const struct search *s, const struct upstream *x,
                 const struct upstream *prefill_engine,
                 const struct upstream_load *load, struct upstream_choice *out,
                 struct latency *l)
{
  unsigned from = prefill_engine->domain;
  out->work = UPSTREAM_WORK_DECODE;
  out->wait_ms = wait_at (x, out->work, 0, load);
  out->transfer_ms = transfer_ms (s->u, s->local_transfer_ms, from, x->domain)
                     + link_wait_ms (x, s->now_ms);
  out->link_ms = link_ms (s->u, s->local_transfer_ms, from, x->domain);
  l->ms += out->transfer_ms + out->wait_ms;
  l->cost += out->link_ms * LINK_COST;
}

/* Estimates a request at X whose prompt X has to prefill.  */
static void
estimate_prompt (const struct search *s, const struct upstream *x,
                 unsigned rank, const struct upstream_load *load,
                 struct upstream_choice *out, struct latency *l)
{
  const struct placement_request *request = s->request;
  bool is_long = needs_long_prefill (request);
  out->tokens = tokens_to_prefill (x, request->prompt, rank == 0);
  out->remote_prefill = x->info.role == UPSTREAM_PREFILL;
  out->work = is_long ? UPSTREAM_WORK_PREFILL : UPSTREAM_WORK_SHORT_PROMPT;
  out->wait_ms = wait_at (x, out->work, out->tokens, load);
  out->compute_ms = engine_model_compute_ms (&x->prefill, out->tokens);
  out->queue_ms = out->wait_ms - out->compute_ms - x->prefill.rates.fixed_ms;
  /* The permit takes a round trip of its own.  */
  l->ms += x->rtt_ms + out->wait_ms;
  if (out->remote_prefill)
    {
      l->ms += MAX (link_wait_ms (x, s->now_ms) - out->wait_ms, 0);
      l->ms += s->decode[x->domain].ms;
      l->cost += s->decode[x->domain].cost - s->decode[x->domain].ms;
    }
  l->cost
      += engine_model_compute_ms (&x->prefill, shared_tokens (request->prompt))
         * spill_factor (s, rank);
  if (is_long)
    l->cost += load->generating * out->compute_ms * INTERFERENCE_SHARE;
  else if (x->info.role == UPSTREAM_DECODE)
    l->cost += x->reserved ? 0 : UNRESERVED_COST_MS;
}

/* Estimates a plain request at X.  */
static void
estimate_plain (const struct search *s, const struct upstream *x,
                const struct upstream_load *load, struct upstream_choice *out,
                struct latency *l)
{
  double utilization = (double)load->running / (double)MAX (x->info.slots, 1);
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
  out->link_wait_ms = link_wait_ms (x, s->now_ms);
  out->residence_ms = x->residence_ms;
  out->kv_tokens = s->kv_tokens;
  const struct engine_model *model
      = out->work == UPSTREAM_WORK_DECODE ? &x->decode : &x->prefill;
  out->model_samples = model->rates.samples;
  out->model_age_ms
      = model->updated_ms != 0 ? s->now_ms - model->updated_ms : -1;
  out->uncorrected_ms = l.ms;
  out->expected_ms
      = l.ms * (needs_long_prefill (request) ? u->latency_factor : 1);
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
      mark_reserved (u, request->service, now_ms);
      s.kv_tokens = upstreams_engine_limits (u, request->service).kv_tokens;
      s.local_transfer_ms
          = local_transfer_ms (u, request->service, request->prompt);
    }
  else
    s.best_service_ms
        = upstreams_best_service_ms (u, request->service, now_ms);
  struct affinity affinity;
  find_affinity (u, request, now_ms, &affinity);
  if (needs_long_prefill (request))
    s.pressure = find_pressure (u, request, now_ms);
  if (may_disaggregate (request))
    s.decode_limited
        = find_best_decode (u, request, s.local_transfer_ms, now_ms, decode);
  unsigned candidates = 0;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      if (!is_eligible (x, request, now_ms)
          || (s.decode_limited && x->info.role == UPSTREAM_PREFILL)
          || was_tried (request, upstreams_handle_of (u, i)))
        continue;
      struct upstream_choice c = { .handle = upstreams_handle_of (u, i),
                                   .is_preferred = i == affinity.engines[0] };
      unsigned rank = affinity_rank (&affinity, i);
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

/* Limits of requests a second.  */

/* Whether X would be eligible for REQUEST if it had a token.  */
static bool
lacks_token (const struct upstream *x, const struct placement_request *request,
             int64_t now_ms)
{
  struct placement_request unlimited = *request;
  if (!x->rate.limit.in_force || upstreams_entry_admits (x, now_ms))
    return false;
  unlimited.ignore_limits = true;
  return is_eligible (x, &unlimited, now_ms);
}

bool
placement_lacks_token (const struct upstreams *u,
                       const struct placement_request *request, int64_t now_ms)
{
  for (guint i = 1; i < u->slots->len; i++)
    if (lacks_token (upstreams_entry (u, i), request, now_ms)
        && !was_tried (request, upstreams_handle_of (u, i)))
      return true;
  return false;
}

/* Counts REQUEST, which is placed elsewhere, as demand of the upstreams that
   it would be sent to if none were limited.  */
static void
record_preferred (struct upstreams *u, const struct placement_request *request,
                  int64_t now_ms)
{
  struct placement_request unlimited = *request;
  unlimited.ignore_limits = true;
  struct upstream_choice best = placement_choose (u, &unlimited, now_ms);
  upstream_handle decode = 0;
  if (best.remote_prefill)
    {
      unlimited.prefill_engine = best.handle;
      decode = placement_choose (u, &unlimited, now_ms).handle;
    }
  for (guint i = 1; i < u->slots->len; i++)
    {
      struct upstream *x = upstreams_entry (u, i);
      upstream_handle h = upstreams_handle_of (u, i);
      if (x->used && (h == best.handle || h == decode)
          && !upstreams_entry_admits (x, now_ms))
        rate_tokens_record_miss (&x->rate.tokens, now_ms);
    }
}

/* How often X is asked for tokens.  A limit that was stated long ago may no
   longer hold, which only a request can tell.  */
static double
token_weight (const struct upstream *x, int64_t now_ms)
{
  if (now_ms - x->rate.limit.stated_ms > PROBE_MS)
    return PROBE_WEIGHT;
  return MAX (x->rate.limit.per_s, TOKEN_WEIGHT_MIN);
}

/* Counts REQUEST, which waits, as demand of one upstream that may get it: each
   in turn, as often as its limit says.  */
static void
record_in_turn (struct upstreams *u, const struct placement_request *request,
                int64_t now_ms)
{
  double sum = 0;
  for (guint i = 1; i < u->slots->len; i++)
    if (lacks_token (upstreams_entry (u, i), request, now_ms))
      sum += token_weight (upstreams_entry (u, i), now_ms);
  u->token_turn = fmod (u->token_turn + TOKEN_TURN_STEP, 1);
  double left = u->token_turn * sum;
  for (guint i = 1; i < u->slots->len; i++)
    {
      struct upstream *x = upstreams_entry (u, i);
      if (!lacks_token (x, request, now_ms))
        continue;
      left -= token_weight (x, now_ms);
      if (left >= 0)
        continue;
      rate_tokens_record_miss (&x->rate.tokens, now_ms);
      return;
    }
}

void
placement_record_misses (struct upstreams *u,
                         const struct placement_request *request,
                         upstream_handle chosen, int64_t now_ms)
{
  if (!placement_lacks_token (u, request, now_ms))
    return;
  if (chosen != 0)
    record_preferred (u, request, now_ms);
  else
    record_in_turn (u, request, now_ms);
}
