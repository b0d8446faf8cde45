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
/* Expected time of a KV cache transfer between two engines.  */
#define TRANSFER_SAME_DOMAIN_MS 4.0
#define TRANSFER_SAME_REGION_MS 8.0
#define TRANSFER_OTHER_REGION_MS 60.0
/* Expected delay of the first token of a prompt that another engine has
   prefilled: DECODE_COST_MS for each request that runs at the decode engine,
   plus DECODE_PREFILL_SHARE of the time that the decode engine needs for its
   own prefill queue.  DECODE_COST_MS is also added to the cost of a short
   prompt for each request that runs at the engine.  */
#define DECODE_COST_MS 0.5
#define DECODE_PREFILL_SHARE 0.25
/* Cost of placing a prompt on an engine other than its preferred one, for each
   1,000 shared tokens: that engine would cache them a second time.  */
#define SPILL_COST_MS_PER_1000 24.0
/* Cost of an upstream with a failure rate of 1; lower rates cost in
   proportion.  */
#define FAILURE_COST_MS 400.0
/* One more decode engine is reserved for each time that the short requests
   fill this percentage of an engine's slots.  Placing a short request on an
   engine that is not reserved has a cost, so that it runs there only once the
   reserved engines have no free slot.  */
#define RESERVED_FILL_PERCENT 100
#define UNRESERVED_COST_MS 150.0
/* Cost of placing a long prompt on an engine, for each short request that it
   would delay there.  */
#define LONG_PROMPT_COST_MS 10.0
/* Expected wait until one more slot of a fully occupied engine is free.  */
#define SLOT_WAIT_MS 150.0

bool
placement_is_long_prompt (const struct prompt *prompt)
{
  return prompt && prompt->tokens >= LONG_PROMPT_MIN_TOKENS;
}

double
placement_wait_ms (enum upstream_work_kind work,
                   const struct upstream_load *load, uint64_t tokens,
                   unsigned slots, double tokens_per_ms)
{
  double prefill_ms = (double)(load->tokens + tokens) / tokens_per_ms;
  switch (work)
    {
    case UPSTREAM_WORK_PREFILL:
      return prefill_ms;
    case UPSTREAM_WORK_DECODE:
      return load->running * DECODE_COST_MS
             + prefill_ms * DECODE_PREFILL_SHARE;
    case UPSTREAM_WORK_SHORT_PROMPT:
      slots = MAX (slots, 1);
      if (load->running >= slots)
        prefill_ms += (load->running - slots + 1) * SLOT_WAIT_MS;
      return prefill_ms;
    default:
      return 0;
    }
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
is_decode_engine (const struct upstream *x, const char *service)
{
  return x->used && !x->info.leaving && x->info.role == UPSTREAM_DECODE
         && strcmp (x->info.service, service) == 0;
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
      if (!is_decode_engine (x, service))
        continue;
      engines++;
      slots = MAX (slots, x->info.slots);
      generating += upstreams_total_load (x, now_ms).generating;
    }
  unsigned capacity = MAX (slots * RESERVED_FILL_PERCENT / 100, 1);
  unsigned wanted
      = MIN (1 + generating / capacity, engines - MIN (engines, 1));
  for (; wanted > 0; wanted--)
    {
      struct upstream *first = NULL;
      for (guint i = 1; i < u->slots->len; i++)
        {
          struct upstream *x = upstreams_entry (u, i);
          if (is_decode_engine (x, service) && !x->reserved
              && (first == NULL || x->reserve_rank > first->reserve_rank))
            first = x;
        }
      if (first == NULL)
        return;
      first->reserved = true;
    }
}

static bool
is_eligible (const struct upstream *x, const struct placement_request *request)
{
  return x->used && !x->info.leaving
         && (x->info.role != UPSTREAM_PREFILL || may_disaggregate (request))
         && !(x->reserved && needs_long_prefill (request))
         && strcmp (x->info.service, request->service) == 0;
}

/* Returns the index of the engine with the highest rendezvous score for the
   prompt of REQUEST; 0 if there is none.  */
static guint
find_preferred (const struct upstreams *u,
                const struct placement_request *request)
{
  guint preferred = 0;
  double highest = 0;
  if (request->prompt == NULL)
    return 0;
  uint64_t part = affinity_part (request->prompt);
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      if (!is_eligible (x, request))
        continue;
      double r = rendezvous_score (part, x);
      if (preferred == 0 || r > highest)
        {
          preferred = i;
          highest = r;
        }
    }
  return preferred;
}

/* Returns the expected time of a KV cache transfer between engines in the
   failure domains with indexes FROM and TO.  */
static double
transfer_ms (const struct upstreams *u, unsigned from, unsigned to)
{
  if (from == to)
    return TRANSFER_SAME_DOMAIN_MS;
  return upstreams_same_region (u, from, to) ? TRANSFER_SAME_REGION_MS
                                             : TRANSFER_OTHER_REGION_MS;
}

/* Returns the expected time to the first token at X of a prompt that another
   engine has prefilled, without the KV cache transfer.  */
static double
decode_ms (const struct upstream *x, int64_t now_ms)
{
  struct upstream_load load = upstreams_total_load (x, now_ms);
  return x->rtt_ms + FIRST_TOKEN_MS
         + placement_wait_ms (UPSTREAM_WORK_DECODE, &load, 0, x->info.slots,
                              x->tokens_per_ms);
}

/* Sets FASTEST_MS[D], for the index D of each failure domain, to the shortest
   expected time from the end of a prefill in D to the first token at any
   decode engine of SERVICE, transfer included; DBL_MAX if there is no such
   engine.  */
static void
find_fastest_decode (const struct upstreams *u, const char *service,
                     int64_t now_ms, double *fastest_ms)
{
  unsigned n = u->domains->len;
  g_autofree double *local_ms = g_new (double, n);
  for (unsigned d = 0; d < n; d++)
    local_ms[d] = fastest_ms[d] = DBL_MAX;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      if (!x->used || x->info.leaving || x->info.role != UPSTREAM_DECODE
          || strcmp (x->info.service, service) != 0
          || upstreams_is_deprioritized (x, now_ms))
        continue;
      local_ms[x->domain] = MIN (local_ms[x->domain], decode_ms (x, now_ms));
    }
  for (unsigned from = 0; from < n; from++)
    for (unsigned to = 0; to < n; to++)
      if (local_ms[to] < DBL_MAX)
        fastest_ms[from]
            = MIN (fastest_ms[from], local_ms[to] + transfer_ms (u, from, to));
}

/* Returns the tokens before the last part of P, which may be shared with other
   requests.  */
static uint64_t
shared_tokens (const struct prompt *p)
{
  uint64_t own = p->n_parts > 0 ? p->parts[p->n_parts - 1].tokens : 0;
  return p->n_parts >= 2 && p->tokens > own ? p->tokens - own : 0;
}

static double
spill_cost_ms (const struct prompt *p)
{
  return (double)shared_tokens (p) / 1000 * SPILL_COST_MS_PER_1000;
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
  double *fastest_decode_ms; /* see find_fastest_decode */
  double best_service_ms; /* upstreams_best_service_ms, for plain requests */
  int64_t now_ms;
};

/* Estimates the request at X and fills OUT.  Returns the cost that upstreams
   are compared by: the uncorrected latency, plus the delay for other requests,
   the risk of failure, and the cost of caching a prefix twice.  */
static double
estimate (const struct search *s, const struct upstream *x, bool is_preferred,
          struct upstream_choice *out)
{
  const struct upstreams *u = s->u;
  const struct placement_request *request = s->request;
  const struct upstream *prefill_engine
      = upstreams_lookup (u, request->prefill_engine);
  struct upstream_load load = upstreams_total_load (x, s->now_ms);
  double ms = x->rtt_ms;
  double cost = upstreams_failure_rate (x, request->repeatable, s->now_ms)
                * FAILURE_COST_MS;
  if (prefill_engine)
    {
      out->work = UPSTREAM_WORK_DECODE;
      out->wait_ms = placement_wait_ms (out->work, &load, 0, x->info.slots,
                                        x->tokens_per_ms);
      ms = transfer_ms (u, prefill_engine->domain, x->domain)
           + decode_ms (x, s->now_ms);
    }
  else if (request->prompt)
    {
      out->tokens = tokens_to_prefill (x, request->prompt, is_preferred);
      out->remote_prefill = x->info.role == UPSTREAM_PREFILL;
      out->work = needs_long_prefill (request) ? UPSTREAM_WORK_PREFILL
                                               : UPSTREAM_WORK_SHORT_PROMPT;
      out->wait_ms = placement_wait_ms (out->work, &load, out->tokens,
                                        x->info.slots, x->tokens_per_ms);
      ms += out->wait_ms;
      ms += out->remote_prefill ? s->fastest_decode_ms[x->domain]
                                : FIRST_TOKEN_MS;
      cost += is_preferred ? 0 : spill_cost_ms (request->prompt);
      if (needs_long_prefill (request))
        cost += load.generating * LONG_PROMPT_COST_MS;
      if (!needs_long_prefill (request) && x->info.role == UPSTREAM_DECODE)
        cost += load.running * DECODE_COST_MS
                + (x->reserved ? 0 : UNRESERVED_COST_MS);
    }
  else
    {
      double utilization
          = (double)load.running / (double)MAX (x->info.slots, 1);
      if (utilization < 1)
        out->occupancy
            = load.running > 0 ? UPSTREAM_HAS_FREE_SLOTS : UPSTREAM_IDLE;
      ms += upstreams_service_ms (x, s->best_service_ms, s->now_ms)
            * (1 + (utilization < 1 ? utilization / 8 : utilization));
    }
  out->uncorrected_ms = ms;
  out->expected_ms
      = ms * (needs_long_prefill (request) ? u->latency_factor : 1);
  return ms + cost;
}

/* Returns the tier of X, from 0 to 3.  Upstreams of a lower tier are chosen
   first, whatever their cost.  */
static unsigned
priority_tier (const struct upstream *x,
               const struct placement_request *request, double expected_ms,
               int64_t now_ms)
{
  bool late = request->limit_ms > 0 && expected_ms > request->limit_ms;
  return (upstreams_is_deprioritized (x, now_ms) ? 2 : 0) + (late ? 1 : 0);
}

struct upstream_choice
placement_choose (const struct upstreams *u,
                  const struct placement_request *request, int64_t now_ms)
{
  struct upstream_choice best = { 0 };
  unsigned best_tier = 0;
  double best_cost = DBL_MAX;
  double next_cost = DBL_MAX;
  g_autofree double *fastest_decode_ms = g_new0 (double, u->domains->len + 1);
  struct search s = { .u = u,
                      .request = request,
                      .fastest_decode_ms = fastest_decode_ms,
                      .now_ms = now_ms };
  if (request->prompt)
    mark_reserved (u, request->service, now_ms);
  else
    s.best_service_ms
        = upstreams_best_service_ms (u, request->service, now_ms);
  guint preferred = find_preferred (u, request);
  if (may_disaggregate (request))
    find_fastest_decode (u, request->service, now_ms, fastest_decode_ms);
  unsigned candidates = 0;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      if (!is_eligible (x, request)
          || was_tried (request, upstreams_handle_of (u, i)))
        continue;
      struct upstream_choice c = { .handle = upstreams_handle_of (u, i),
                                   .is_preferred = i == preferred };
      double cost = estimate (&s, x, c.is_preferred, &c);
      unsigned tier = priority_tier (x, request, c.expected_ms, now_ms);
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
