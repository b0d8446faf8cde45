/** @file
    Engines that a prompt prefers, as they likely cache its prefix.  */
#include "decide/placement_parts.h"

#include <float.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Relative shares of prompts: a prefill engine prefills twice as fast as one
   that also decodes.  */
#define PREFILL_ENGINE_WEIGHT 2.0
#define DECODE_ENGINE_WEIGHT 1.0

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
unsigned
placement_affinity_rank (const struct affinity *a, guint engine)
{
  unsigned rank = 0;
  while (rank < AFFINITY_RANKS && a->engines[rank] != engine)
    rank++;
  return rank;
}

/* Fills A for the prompt of REQUEST; empty without a prompt.  */
void
placement_find_affinity (const struct upstreams *u,
                         const struct placement_request *request,
                         int64_t now_ms, struct affinity *a)
{
  memset (a, 0, sizeof *a);
  if (request->prompt == NULL)
    return;
  uint64_t part = affinity_part (request->prompt);
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      if (placement_is_eligible (x, request, now_ms))
        affinity_insert (a, i, rendezvous_score (part, x));
    }
}

/* Returns the tokens before the last part of P, which may be shared with other
   requests.  */
uint64_t
placement_shared_tokens (const struct prompt *p)
{
  uint64_t own = p->n_parts > 0 ? p->parts[p->n_parts - 1].tokens : 0;
  return p->n_parts >= 2 && p->tokens > own ? p->tokens - own : 0;
}

uint64_t
placement_tokens_to_prefill (const struct upstream *x, const struct prompt *p,
                             bool is_preferred)
{
  uint64_t cached = prefix_index_match (x->prefix_index, p);
  /* Other VMs also send prompts with these shared parts to the preferred
     engine, so it is assumed to cache them even if this VM sent none.  */
  if (is_preferred)
    cached = MAX (cached, placement_shared_tokens (p));
  return p->tokens > cached ? p->tokens - cached : 0;
}
