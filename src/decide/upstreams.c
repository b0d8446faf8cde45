#include "decide/upstreams.h"

#include <float.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Round trips by distance, before anything was measured.  */
#define NEAR_RTT_MS 1.0
#define REGION_RTT_MS 3.0
#define FAR_RTT_MS 25.0
/* Speed of an engine's reading before it was measured.  */
#define READ_TOKENS_PER_MS 150.0
#define READ_APART_TOKENS_PER_MS 300.0
/* Prompts below this many tokens are not read apart: the second call and the
   transfer would take longer.  */
#define READ_APART_MIN_TOKENS 1500
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
#define READ_TOKENS_PER_MS_MIN 15.0
#define READ_TOKENS_PER_MS_MAX 800.0
#define READ_SAMPLE_TOKENS 1000
#define READ_SAMPLE_WEIGHT 0.1
/* Time of a plain request before it was measured.  */
#define SERVICE_MS 20.0
#define SERVICE_SAMPLE_WEIGHT 0.05
/* An engine's own time for a token of the answer's start.  */
#define FIRST_TOKEN_MS 8.0
/* What another engine than a prompt's first choice must be faster by, for each
   1,000 shared tokens: it would cache them a second time.  */
#define SPILL_MS_PER_1000 4.0
/* Load that another VM told is used for as long.  */
#define HEARD_MS 1500
/* Outcomes: weight of the latest, and the share of failures from which an
   instance is passed over for a while.  */
#define FAILURE_WEIGHT 0.25
#define FAILURE_SHARE_BAD 0.7
#define FAILURE_REST_MS 1500
#define FAILURE_COST_MS 400.0
/* An instance that was full is passed over for as long.  */
#define FULL_REST_MS 60
/* An instance that answers none of its requests for as long is passed over; a
   request is tried elsewhere once this many times its expected time, and no
   less than that, has passed too.  Plain requests may take long one by one. */
#define ENGINE_QUIET_MS 500
#define SERVICE_QUIET_MS 900
#define QUIET_FACTOR 3.0
/* Part of an engine's memory that is taken as cache.  */
#define CACHE_PERCENT 80
/* Part of an engine's slots that requests which only generate may fill before
   one more engine is kept for them, and what another engine costs them.  */
#define GENERATING_PERCENT 75
#define DISTURBED_MS 150.0
/* What a long prompt costs each request that only generates at its engine.  */
#define DISTURBING_MS 10.0
/* Wait for one more slot of an engine whose slots are all taken.  */
#define SLOT_WAIT_MS 150.0
#define INDEX_BITS 16

struct heard
{
  struct upstream_load load;
  int64_t at_ms;
};

struct upstream
{
  struct upstream_info info;
  uint16_t generation;
  bool used;
  struct upstream_load own;
  bool kept;         /* free of long prompts, as of the latest choice */
  GHashTable *heard; /* vm -> struct heard */
  struct prefixes *prefixes;
  double tokens_per_ms;
  double service_ms;
  double failures; /* share of the latest outcomes, 0 to 1 */
  int64_t failed_ms;
  int64_t
      heard_ms; /* when it last sent a byte, or got work after having none */
  int64_t full_until_ms;
};

struct upstreams
{
  struct upstream_place place;
  GArray *slots;      /* struct upstream; 0 is never used */
  GHashTable *by_id;  /* id -> index */
  GHashTable *memory; /* service -> tokens */
};

/* The table.  */

void
upstream_info_clear (struct upstream_info *info)
{
  g_free (info->id);
  g_free (info->service);
  g_free (info->address);
  g_free (info->failure_domain);
  g_free (info->software);
  memset (info, 0, sizeof *info);
}

static void
info_copy (struct upstream_info *out, const struct upstream_info *info)
{
  *out = *info;
  out->id = g_strdup (info->id);
  out->service = g_strdup (info->service);
  out->address = g_strdup (info->address);
  out->failure_domain = g_strdup (info->failure_domain);
  out->software = g_strdup (info->software);
}

static void
slot_clear (struct upstream *x)
{
  upstream_info_clear (&x->info);
  g_clear_pointer (&x->heard, g_hash_table_destroy);
  g_clear_pointer (&x->prefixes, prefixes_destroy);
  x->used = false;
}

struct upstreams *
upstreams_create (const struct upstream_place *place)
{
  struct upstreams *u = g_new0 (struct upstreams, 1);
  u->place = *place;
  u->slots = g_array_new (FALSE, TRUE, sizeof (struct upstream));
  g_array_set_size (u->slots, 1);
  u->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  u->memory = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return u;
}

static struct upstream *
slot_at (const struct upstreams *u, guint i)
{
  return &g_array_index (u->slots, struct upstream, i);
}

void
upstreams_destroy (struct upstreams *u)
{
  if (u == NULL)
    return;
  for (guint i = 1; i < u->slots->len; i++)
    slot_clear (slot_at (u, i));
  g_array_free (u->slots, TRUE);
  g_hash_table_destroy (u->by_id);
  g_hash_table_destroy (u->memory);
  g_free (u);
}

void
upstreams_set_memory (struct upstreams *u, const char *service,
                      uint64_t kv_tokens)
{
  uint64_t *tokens = g_new (uint64_t, 1);
  *tokens = kv_tokens;
  g_hash_table_replace (u->memory, g_strdup (service), tokens);
}

static upstream_handle
handle_of (const struct upstreams *u, guint i)
{
  return ((uint32_t)slot_at (u, i)->generation << INDEX_BITS) | i;
}

static struct upstream *
find (const struct upstreams *u, upstream_handle h)
{
  guint i = h & ((1U << INDEX_BITS) - 1);
  if (i == 0 || i >= u->slots->len)
    return NULL;
  struct upstream *x = slot_at (u, i);
  return x->used && x->generation == h >> INDEX_BITS ? x : NULL;
}

upstream_handle
upstreams_find (const struct upstreams *u, const char *id)
{
  guint i = GPOINTER_TO_UINT (g_hash_table_lookup (u->by_id, id));
  return i ? handle_of (u, i) : 0;
}

const struct upstream_info *
upstreams_info (const struct upstreams *u, upstream_handle h)
{
  const struct upstream *x = find (u, h);
  return x ? &x->info : NULL;
}

static guint
free_slot (struct upstreams *u)
{
  for (guint i = 1; i < u->slots->len; i++)
    if (!slot_at (u, i)->used)
      return i;
  g_array_set_size (u->slots, u->slots->len + 1);
  return u->slots->len - 1;
}

static void
add (struct upstreams *u, const struct upstream_info *info)
{
  guint i = free_slot (u);
  struct upstream *x = slot_at (u, i);
  uint16_t generation = (uint16_t)(x->generation + 1);
  const uint64_t *tokens = g_hash_table_lookup (u->memory, info->service);
  memset (x, 0, sizeof *x);
  x->generation = generation ? generation : 1;
  x->used = true;
  x->tokens_per_ms = info->role == UPSTREAM_PREFILL ? READ_APART_TOKENS_PER_MS
                                                    : READ_TOKENS_PER_MS;
  x->service_ms = SERVICE_MS;
  x->heard = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  x->prefixes = prefixes_create (tokens ? *tokens * CACHE_PERCENT / 100 : 0);
  info_copy (&x->info, info);
  g_hash_table_insert (u->by_id, g_strdup (info->id), GUINT_TO_POINTER (i));
}

static bool
same_info (const struct upstream_info *a, const struct upstream_info *b)
{
  return strcmp (a->service, b->service) == 0
         && strcmp (a->address, b->address) == 0
         && strcmp (a->failure_domain, b->failure_domain) == 0
         && a->slots == b->slots && a->leaving == b->leaving
         && a->role == b->role && a->born_ms == b->born_ms;
}

bool
upstreams_put (struct upstreams *u, const struct upstream_info *info,
               int64_t now_ms)
{
  (void)now_ms;
  guint i = GPOINTER_TO_UINT (g_hash_table_lookup (u->by_id, info->id));
  if (i == 0)
    {
      add (u, info);
      return true;
    }
  struct upstream *x = slot_at (u, i);
  if (same_info (&x->info, info))
    return false;
  /* Another start, or another place: what is known of it is void.  */
  if (x->info.born_ms != info->born_ms
      || strcmp (x->info.address, info->address) != 0)
    {
      upstreams_remove (u, info->id);
      add (u, info);
      return true;
    }
  upstream_info_clear (&x->info);
  info_copy (&x->info, info);
  return true;
}

bool
upstreams_remove (struct upstreams *u, const char *id)
{
  guint i = GPOINTER_TO_UINT (g_hash_table_lookup (u->by_id, id));
  if (i == 0)
    return false;
  g_hash_table_remove (u->by_id, id);
  slot_clear (slot_at (u, i));
  return true;
}

GPtrArray *
upstreams_ids (const struct upstreams *u)
{
  GPtrArray *out = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter it;
  gpointer id;
  g_hash_table_iter_init (&it, u->by_id);
  while (g_hash_table_iter_next (&it, &id, NULL))
    g_ptr_array_add (out, g_strdup (id));
  return out;
}

unsigned
upstreams_count (const struct upstreams *u)
{
  return g_hash_table_size (u->by_id);
}

/* Load.  */

static struct upstream_load
whole_load (const struct upstream *x, int64_t now_ms)
{
  struct upstream_load sum = x->own;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, x->heard);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct heard *h = value;
      if (now_ms - h->at_ms > HEARD_MS)
        continue;
      sum.running += h->load.running;
      sum.generating += h->load.generating;
      sum.tokens += h->load.tokens;
    }
  return sum;
}

struct upstream_load
upstreams_own_load (const struct upstreams *u, upstream_handle h)
{
  const struct upstream *x = find (u, h);
  return x ? x->own : (struct upstream_load){ 0 };
}

void
upstreams_unhear (struct upstreams *u, const char *vm)
{
  for (guint i = 1; i < u->slots->len; i++)
    if (slot_at (u, i)->used)
      g_hash_table_remove (slot_at (u, i)->heard, vm);
}

void
upstreams_hear (struct upstreams *u, const char *vm, const char *id,
                const struct upstream_load *load, int64_t now_ms)
{
  struct upstream *x = find (u, upstreams_find (u, id));
  if (x == NULL)
    return;
  struct heard *h = g_hash_table_lookup (x->heard, vm);
  if (h == NULL)
    {
      h = g_new (struct heard, 1);
      g_hash_table_insert (x->heard, g_strdup (vm), h);
    }
  h->load = *load;
  h->at_ms = now_ms;
}

/* Choosing.  */

static double
rtt_ms (const struct upstreams *u, const struct upstream *x)
{
  if (strcmp (x->info.failure_domain, u->place.failure_domain) == 0)
    return NEAR_RTT_MS;
  const char *region
      = u->place.region_of (u->place.arg, x->info.failure_domain);
  if (region && strcmp (region, u->place.region) == 0)
    return REGION_RTT_MS;
  return FAR_RTT_MS;
}

static bool
was_tried (const struct upstream_ask *ask, upstream_handle h)
{
  for (unsigned i = 0; i < ask->n_tried; i++)
    if (ask->tried[i] == h)
      return true;
  return false;
}

static int64_t
quiet_ms (const struct upstream *x)
{
  return x->info.role == UPSTREAM_SERVICE ? SERVICE_QUIET_MS : ENGINE_QUIET_MS;
}

static bool
is_quiet (const struct upstream *x, int64_t now_ms)
{
  return x->own.running > 0 && now_ms - x->heard_ms > quiet_ms (x);
}

static bool
is_resting (const struct upstream *x, int64_t now_ms)
{
  return now_ms < x->full_until_ms || is_quiet (x, now_ms)
         || (x->failures > FAILURE_SHARE_BAD
             && now_ms - x->failed_ms < FAILURE_REST_MS);
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
  return ask->prompt && !ask->whole && ask->reader == 0
         && ask->prompt->tokens >= READ_APART_MIN_TOKENS;
}

static bool
has_long_prompt (const struct upstream_ask *ask)
{
  return ask->prompt && ask->reader == 0
         && ask->prompt->tokens >= READ_APART_MIN_TOKENS;
}

static bool
is_decoder (const struct upstream *x, const char *service)
{
  return x->used && !x->info.leaving && x->info.role == UPSTREAM_DECODE
         && strcmp (x->info.service, service) == 0;
}

static uint64_t
keep_rank (const struct upstream *x)
{
  return XXH64 (x->info.id, strlen (x->info.id), 0);
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
      struct upstream *x = slot_at (u, i);
      x->kept = false;
      if (!is_decoder (x, service))
        continue;
      decoders++;
      slots = MAX (slots, x->info.slots);
      generating += whole_load (x, now_ms).generating;
    }
  unsigned room = MAX (slots * GENERATING_PERCENT / 100, 1);
  unsigned wanted = MIN (1 + generating / room, decoders - MIN (decoders, 1));
  for (; wanted > 0; wanted--)
    {
      struct upstream *first = NULL;
      for (guint i = 1; i < u->slots->len; i++)
        {
          struct upstream *x = slot_at (u, i);
          if (is_decoder (x, service) && !x->kept
              && (first == NULL || keep_rank (x) > keep_rank (first)))
            first = x;
        }
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
      const struct upstream *x = slot_at (u, i);
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

/* Time of a transfer between two engines.  */
static double
transfer_ms (const struct upstreams *u, const struct upstream *from,
             const struct upstream *to)
{
  const char *a = from->info.failure_domain;
  const char *b = to->info.failure_domain;
  if (strcmp (a, b) == 0)
    return TRANSFER_NEAR_MS;
  const char *x = u->place.region_of (u->place.arg, a);
  const char *y = u->place.region_of (u->place.arg, b);
  return x && y && strcmp (x, y) == 0 ? TRANSFER_REGION_MS : TRANSFER_FAR_MS;
}

/* Wait for a slot at X.  */
static double
slot_wait_ms (const struct upstream *x, const struct upstream_load *load)
{
  unsigned slots = MAX (x->info.slots, 1);
  return load->running >= slots ? (load->running - slots + 1) * SLOT_WAIT_MS
                                : 0;
}

/* Time to the first token at X of a prompt that FROM has read.  */
static double
decode_ms (const struct upstreams *u, const struct upstream *from,
           const struct upstream *x, int64_t now_ms)
{
  struct upstream_load load = whole_load (x, now_ms);
  return transfer_ms (u, from, x) + rtt_ms (u, x) + FIRST_TOKEN_MS
         + load.running * DECODE_SHARE_MS
         + (double)load.tokens / x->tokens_per_ms * DECODE_READING_PART;
}

/* The shortest such time, of engines that take whole requests.  */
static double
nearest_decode_ms (const struct upstreams *u, const struct upstream *from,
                   int64_t now_ms)
{
  double best = DBL_MAX;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = slot_at (u, i);
      if (!x->used || x->info.leaving || x->info.role != UPSTREAM_DECODE
          || strcmp (x->info.service, from->info.service) != 0
          || is_resting (x, now_ms))
        continue;
      best = MIN (best, decode_ms (u, from, x, now_ms));
    }
  return best;
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

/* Fills what is expected of X, and returns what it is ranked by: the same
   time, and what choosing it costs others or risks.  */
static double
expect (const struct upstreams *u, const struct upstream *x, bool is_home,
        const struct upstream_ask *ask, int64_t now_ms,
        struct upstream_choice *out)
{
  const struct upstream *reader = find (u, ask->reader);
  struct upstream_load load = whole_load (x, now_ms);
  double ms = rtt_ms (u, x);
  double cost = x->failures * FAILURE_COST_MS;
  if (reader)
    ms = decode_ms (u, reader, x, now_ms);
  else if (ask->prompt)
    {
      out->tokens = tokens_to_read (x, ask->prompt, is_home);
      out->reads_apart = x->info.role == UPSTREAM_PREFILL;
      ms += (double)(load.tokens + out->tokens) / x->tokens_per_ms;
      ms += out->reads_apart ? nearest_decode_ms (u, x, now_ms)
                             : FIRST_TOKEN_MS;
      cost += is_home ? 0 : spill_ms (ask->prompt);
      if (has_long_prompt (ask))
        cost += load.generating * DISTURBING_MS;
      if (!has_long_prompt (ask) && x->info.role == UPSTREAM_DECODE)
        {
          ms += slot_wait_ms (x, &load);
          cost
              += load.running * DECODE_SHARE_MS + (x->kept ? 0 : DISTURBED_MS);
        }
    }
  else
    {
      double turns = (double)load.running / (double)MAX (x->info.slots, 1);
      ms += x->service_ms * (1 + (turns < 1 ? turns / 8 : turns));
    }
  out->expected_ms = ms;
  return ms + cost;
}

struct upstream_choice
upstreams_choose (const struct upstreams *u, const struct upstream_ask *ask,
                  int64_t now_ms)
{
  struct upstream_choice best = { 0 };
  bool best_rests = false;
  double best_cost = DBL_MAX;
  if (ask->prompt)
    mark_kept (u, ask->service, now_ms);
  guint home = find_home (u, ask);
  unsigned candidates = 0;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = slot_at (u, i);
      if (!takes (x, ask) || was_tried (ask, handle_of (u, i)))
        continue;
      struct upstream_choice c
          = { .handle = handle_of (u, i), .is_home = i == home };
      bool rests = is_resting (x, now_ms);
      double cost = expect (u, x, c.is_home, ask, now_ms, &c);
      candidates++;
      if (best.handle
          && (rests > best_rests
              || (rests == best_rests && cost >= best_cost)))
        continue;
      best_cost = cost;
      best = c;
      best_rests = rests;
    }
  best.candidates = candidates;
  return best;
}

/* Outcomes.  */

void
upstreams_sent (struct upstreams *u, const struct upstream_choice *choice,
                const struct prompt *prompt, int64_t now_ms,
                struct upstream_work *work)
{
  struct upstream *x = find (u, choice->handle);
  memset (work, 0, sizeof *work);
  if (x == NULL)
    return;
  work->handle = choice->handle;
  work->tokens = choice->tokens;
  work->ahead = whole_load (x, now_ms).tokens + choice->tokens;
  work->sent_ms = now_ms;
  work->expected_ms = choice->expected_ms;
  work->open = true;
  work->reading = true;
  if (x->own.running == 0)
    x->heard_ms = now_ms;
  work->generating = prompt && prompt->tokens < READ_APART_MIN_TOKENS
                     && x->info.role == UPSTREAM_DECODE;
  x->own.running++;
  x->own.generating += work->generating;
  x->own.tokens += work->tokens;
  if (prompt)
    prefixes_add (x->prefixes, prompt, now_ms);
}

static void
stop_reading (struct upstream *x, struct upstream_work *work)
{
  if (work->reading)
    x->own.tokens -= MIN (x->own.tokens, work->tokens);
  work->reading = false;
}

void
upstreams_first_byte (struct upstreams *u, struct upstream_work *work,
                      int64_t now_ms)
{
  struct upstream *x = find (u, work->handle);
  if (x == NULL || !work->reading)
    return;
  stop_reading (x, work);
  double ms
      = (double)(now_ms - work->sent_ms) - rtt_ms (u, x) - FIRST_TOKEN_MS;
  if (work->ahead < READ_SAMPLE_TOKENS)
    return;
  double speed = (double)work->ahead / MAX (ms, 1);
  speed = CLAMP (speed, READ_TOKENS_PER_MS_MIN, READ_TOKENS_PER_MS_MAX);
  x->tokens_per_ms += (speed - x->tokens_per_ms) * READ_SAMPLE_WEIGHT;
}

void
upstreams_heard (struct upstreams *u, upstream_handle h, int64_t now_ms)
{
  struct upstream *x = find (u, h);
  if (x)
    x->heard_ms = now_ms;
}

bool
upstreams_is_silent (const struct upstreams *u,
                     const struct upstream_work *work, int64_t now_ms)
{
  const struct upstream *x = find (u, work->handle);
  double wait = work->expected_ms * QUIET_FACTOR;
  return x && work->open && is_quiet (x, now_ms)
         && now_ms - work->sent_ms > quiet_ms (x)
         && (double)(now_ms - work->sent_ms) > wait;
}

static struct upstream *
close_work (struct upstreams *u, struct upstream_work *work)
{
  struct upstream *x = find (u, work->handle);
  if (x == NULL || !work->open)
    return NULL;
  stop_reading (x, work);
  x->own.running -= MIN (x->own.running, 1);
  x->own.generating -= MIN (x->own.generating, work->generating ? 1 : 0);
  work->open = false;
  return x;
}

void
upstreams_cancelled (struct upstreams *u, struct upstream_work *work)
{
  (void)close_work (u, work);
}

void
upstreams_ended (struct upstreams *u, struct upstream_work *work,
                 enum attempt_outcome outcome, int64_t now_ms)
{
  struct upstream *x = close_work (u, work);
  if (x == NULL)
    return;
  if (outcome != ATTEMPT_NOT_SENT && outcome != ATTEMPT_LOST)
    x->heard_ms = now_ms;
  if (outcome == ATTEMPT_NOT_RUN)
    {
      x->full_until_ms = now_ms + FULL_REST_MS;
      return;
    }
  bool failed = outcome != ATTEMPT_ANSWERED;
  x->failures += ((failed ? 1.0 : 0.0) - x->failures) * FAILURE_WEIGHT;
  if (failed)
    x->failed_ms = now_ms;
  else if (x->info.role == UPSTREAM_SERVICE)
    {
      double ms = (double)(now_ms - work->sent_ms) - rtt_ms (u, x);
      x->service_ms += (MAX (ms, 1) - x->service_ms) * SERVICE_SAMPLE_WEIGHT;
    }
}
