#include "decide/placing.h"

#include "decide/upstreams_table.h"

#include <float.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Shares of prompts: an engine that only reads, reads twice as fast.  */
#define READER_WEIGHT 2.0
#define DECODER_WEIGHT 1.0
/* Transfer of a read prompt by distance.  */
#define TRANSFER_NEAR_MS 4.0
#define TRANSFER_REGION_MS 8.0
#define TRANSFER_FAR_MS 60.0
/* What a request at an engine, and the reading before it, cost one that is
   already read.  */
#define DECODE_SHARE_MS 0.5
#define DECODE_READING_PART 0.25
/* What another engine than a prompt's first choice must be faster by, for each
   1,000 shared tokens: it would cache them a second time.  */
#define SPILL_MS_PER_1000 24.0
/* What the failures of an instance, as a share of its latest outcomes, cost in
   the choice.  */
#define FAILURE_COST_MS 400.0
/* Requests that only generate, as a part of an engine's slots, for which one
   more engine is kept, and what another engine costs them.  Past its slots
   they run at engines that also read.  */
#define GENERATING_PERCENT 100
#define DISTURBED_MS 150.0
/* What a long prompt costs each request that only generates at its engine.  */
#define DISTURBING_MS 10.0
/* Wait for one more slot of an engine whose slots are all taken.  */
#define SLOT_WAIT_MS 150.0

bool
placing_is_long (const struct prompt *prompt)
{
  return prompt && prompt->tokens >= READ_APART_MIN_TOKENS;
}

double
placing_wait_ms (enum upstream_work_kind work,
                 const struct upstream_load *load, uint64_t tokens,
                 unsigned slots, double tokens_per_ms)
{
  double reading = (double)(load->tokens + tokens) / tokens_per_ms;
  switch (work)
    {
    case UPSTREAM_WORK_READ:
      return reading;
    case UPSTREAM_WORK_FETCH:
      return load->running * DECODE_SHARE_MS + reading * DECODE_READING_PART;
    case UPSTREAM_WORK_GENERATE:
      slots = MAX (slots, 1);
      if (load->running >= slots)
        reading += (load->running - slots + 1) * SLOT_WAIT_MS;
      return reading;
    default:
      return 0;
    }
}

static bool
was_tried (const struct upstream_ask *ask, upstream_handle h)
{
  for (unsigned i = 0; i < ask->n_tried; i++)
    if (ask->tried[i] == h)
      return true;
  return false;
}

/* The part by which prompts are gathered: the last one that is shared.  */
static uint64_t
gathering_part (const struct prompt *p)
{
  if (p->n_parts == 0)
    return 0;
  return p->parts[p->n_parts >= 2 ? p->n_parts - 2 : 0].id;
}

/* Weighted rendezvous: an engine's chance to rank first is its weight.  */
static double
rank (uint64_t part, const struct upstream *x)
{
  const char *id = x->info.id;
  double u = ((double)XXH64 (id, strlen (id), part) + 1) / 0x1p64;
  double weight
      = x->info.role == UPSTREAM_PREFILL ? READER_WEIGHT : DECODER_WEIGHT;
  return u < 1 ? weight / -log (u) : DBL_MAX;
}

static bool
may_read_apart (const struct upstream_ask *ask)
{
  return !ask->whole && ask->reader == 0 && placing_is_long (ask->prompt);
}

static bool
has_long_prompt (const struct upstream_ask *ask)
{
  return ask->reader == 0 && placing_is_long (ask->prompt);
}

static bool
is_decoder (const struct upstream *x, const char *service)
{
  return x->used && !x->info.leaving && x->info.role == UPSTREAM_DECODE
         && strcmp (x->info.service, service) == 0;
}

/* Decides which decoding engines of SERVICE are kept free of long prompts; all
   VMs find the same ones, in the order of keep_rank.  */
static void
mark_kept (const struct upstreams *u, const char *service, int64_t now_ms)
{
  unsigned decoders = 0;
  unsigned slots = 0;
  unsigned generating = 0;
  for (guint i = 1; i < u->slots->len; i++)
    {
      struct upstream *x = upstreams_slot (u, i);
      x->kept = false;
      if (!is_decoder (x, service))
        continue;
      decoders++;
      slots = MAX (slots, x->info.slots);
      generating += upstreams_whole_load (x, now_ms).generating;
    }
  unsigned room = MAX (slots * GENERATING_PERCENT / 100, 1);
  unsigned wanted = MIN (1 + generating / room, decoders - MIN (decoders, 1));
  for (; wanted > 0; wanted--)
    {
      struct upstream *first = NULL;
      for (guint i = 1; i < u->slots->len; i++)
        {
          struct upstream *x = upstreams_slot (u, i);
          if (is_decoder (x, service) && !x->kept
              && (first == NULL || x->keep_rank > first->keep_rank))
            first = x;
        }
      if (first == NULL)
        return;
      first->kept = true;
    }
}

static bool
takes (const struct upstream *x, const struct upstream_ask *ask)
{
  return x->used && !x->info.leaving
         && (x->info.role != UPSTREAM_PREFILL || may_read_apart (ask))
         && !(x->kept && has_long_prompt (ask))
         && strcmp (x->info.service, ask->service) == 0;
}

static guint
find_home (const struct upstreams *u, const struct upstream_ask *ask)
{
  guint home = 0;
  double highest = 0;
  if (ask->prompt == NULL)
    return 0;
  uint64_t part = gathering_part (ask->prompt);
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_slot (u, i);
      if (!takes (x, ask))
        continue;
      double r = rank (part, x);
      if (home == 0 || r > highest)
        {
          home = i;
          highest = r;
        }
    }
  return home;
}

/* Time of a transfer from an engine of one failure domain to one of another.
 */
static double
transfer_ms (const struct upstreams *u, unsigned from, unsigned to)
{
  if (from == to)
    return TRANSFER_NEAR_MS;
  return upstreams_same_region (u, from, to) ? TRANSFER_REGION_MS
                                             : TRANSFER_FAR_MS;
}

/* Time to the first token at X of a prompt that has been read, without its
   transfer.  */
static double
decode_ms (const struct upstream *x, int64_t now_ms)
{
  struct upstream_load load = upstreams_whole_load (x, now_ms);
  return x->rtt_ms + FIRST_TOKEN_MS
         + placing_wait_ms (UPSTREAM_WORK_FETCH, &load, 0, x->info.slots,
                            x->tokens_per_ms);
}

/* Fills BEST, one for each failure domain, with the shortest time in which a
   prompt that an engine there has read gets its first token elsewhere.  */
static void
find_nearest_decode (const struct upstreams *u, const char *service,
                     int64_t now_ms, double *best)
{
  unsigned n = u->domains->len;
  g_autofree double *at = g_new (double, n);
  for (unsigned d = 0; d < n; d++)
    at[d] = best[d] = DBL_MAX;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_slot (u, i);
      if (!x->used || x->info.leaving || x->info.role != UPSTREAM_DECODE
          || strcmp (x->info.service, service) != 0
          || upstreams_is_resting (x, now_ms))
        continue;
      at[x->domain] = MIN (at[x->domain], decode_ms (x, now_ms));
    }
  for (unsigned from = 0; from < n; from++)
    for (unsigned to = 0; to < n; to++)
      if (at[to] < DBL_MAX)
        best[from] = MIN (best[from], at[to] + transfer_ms (u, from, to));
}

static uint64_t
shared_tokens (const struct prompt *p)
{
  uint64_t own = p->n_parts > 0 ? p->parts[p->n_parts - 1].tokens : 0;
  return p->n_parts >= 2 && p->tokens > own ? p->tokens - own : 0;
}

static double
spill_ms (const struct prompt *p)
{
  return (double)shared_tokens (p) / 1000 * SPILL_MS_PER_1000;
}

static uint64_t
tokens_to_read (const struct upstream *x, const struct prompt *p, bool is_home)
{
  uint64_t cached = prefixes_match (x->prefixes, p);
  /* Other VMs send the same parts to the same home.  */
  if (is_home)
    cached = MAX (cached, shared_tokens (p));
  return p->tokens > cached ? p->tokens - cached : 0;
}

/* One search for an instance.  */
struct search
{
  const struct upstreams *u;
  const struct upstream_ask *ask;
  double *nearest; /* of each failure domain, find_nearest_decode */
  double usual_ms; /* of plain requests */
  int64_t now_ms;
};

/* Fills what is expected of X, and returns what it is ranked by: the same
   time, and what choosing it costs others or risks.  */
static double
expect (const struct search *s, const struct upstream *x, bool is_home,
        struct upstream_choice *out)
{
  const struct upstreams *u = s->u;
  const struct upstream_ask *ask = s->ask;
  const struct upstream *reader = upstreams_at (u, ask->reader);
  struct upstream_load load = upstreams_whole_load (x, s->now_ms);
  double ms = x->rtt_ms;
  double cost
      = upstreams_failures (x, ask->repeatable, s->now_ms) * FAILURE_COST_MS;
  if (reader)
    {
      out->work = UPSTREAM_WORK_FETCH;
      out->wait_ms = placing_wait_ms (out->work, &load, 0, x->info.slots,
                                      x->tokens_per_ms);
      ms = transfer_ms (u, reader->domain, x->domain)
           + decode_ms (x, s->now_ms);
    }
  else if (ask->prompt)
    {
      out->tokens = tokens_to_read (x, ask->prompt, is_home);
      out->reads_apart = x->info.role == UPSTREAM_PREFILL;
      out->work = has_long_prompt (ask) ? UPSTREAM_WORK_READ
                                        : UPSTREAM_WORK_GENERATE;
      out->wait_ms = placing_wait_ms (out->work, &load, out->tokens,
                                      x->info.slots, x->tokens_per_ms);
      ms += out->wait_ms;
      ms += out->reads_apart ? s->nearest[x->domain] : FIRST_TOKEN_MS;
      cost += is_home ? 0 : spill_ms (ask->prompt);
      if (has_long_prompt (ask))
        cost += load.generating * DISTURBING_MS;
      if (!has_long_prompt (ask) && x->info.role == UPSTREAM_DECODE)
        cost += load.running * DECODE_SHARE_MS + (x->kept ? 0 : DISTURBED_MS);
    }
  else
    {
      double turns = (double)load.running / (double)MAX (x->info.slots, 1);
      if (turns < 1)
        out->room = load.running > 0 ? UPSTREAM_HAS_ROOM : UPSTREAM_IDLE;
      ms += upstreams_service_ms (x, s->usual_ms, s->now_ms)
            * (1 + (turns < 1 ? turns / 8 : turns));
    }
  out->plain_ms = ms;
  out->expected_ms = ms * (has_long_prompt (ask) ? u->stretch : 1);
  return ms + cost;
}

/* How far an instance that is expected to answer in EXPECTED_MS is to be put
   off; a lower one goes first, whatever it costs.  */
static unsigned
put_off (const struct upstream *x, const struct upstream_ask *ask,
         double expected_ms, int64_t now_ms)
{
  bool late = ask->limit_ms > 0 && expected_ms > ask->limit_ms;
  return (upstreams_is_resting (x, now_ms) ? 2 : 0) + (late ? 1 : 0);
}

struct upstream_choice
placing_choose (const struct upstreams *u, const struct upstream_ask *ask,
                int64_t now_ms)
{
  struct upstream_choice best = { 0 };
  unsigned best_off = 0;
  double best_cost = DBL_MAX;
  double next_cost = DBL_MAX;
  g_autofree double *nearest = g_new0 (double, u->domains->len + 1);
  struct search s
      = { .u = u, .ask = ask, .nearest = nearest, .now_ms = now_ms };
  if (ask->prompt)
    mark_kept (u, ask->service, now_ms);
  else
    s.usual_ms = upstreams_usual_ms (u, ask->service, now_ms);
  guint home = find_home (u, ask);
  if (may_read_apart (ask))
    find_nearest_decode (u, ask->service, now_ms, nearest);
  unsigned candidates = 0;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_slot (u, i);
      if (!takes (x, ask) || was_tried (ask, upstreams_handle_of (u, i)))
        continue;
      struct upstream_choice c
          = { .handle = upstreams_handle_of (u, i), .is_home = i == home };
      double cost = expect (&s, x, c.is_home, &c);
      unsigned off = put_off (x, ask, c.expected_ms, now_ms);
      candidates++;
      if (best.handle
          && (off > best_off || (off == best_off && cost >= best_cost)))
        {
          next_cost = MIN (next_cost, cost);
          continue;
        }
      next_cost = best_cost;
      best_cost = cost;
      best = c;
      best_off = off;
    }
  best.candidates = candidates;
  best.margin_ms = MAX (next_cost - best_cost, 0);
  return best;
}
