#include "decide/route.h"

#include "config.h"

#include <string.h>
#include <xxhash.h>

/* Points of each engine on the hash ring, and how many points a search visits
   at most.  */
#define RING_POINTS_PER_ENGINE 16
#define RING_WALK_POINTS_MAX 24
/* Cache of recent prefixes: number of buckets, and engines per prefix.  */
#define RECENT_SLOTS 8192U
#define RECENT_WAYS 2
/* Predicted time to the first token once the prompt is prefilled.  */
#define DECODE_START_MS 34
#define ROLES 3
/* Part of its prefill rate that a mixed engine keeps while it decodes a full
   batch.  */
#define MIXED_PREFILL_PERCENT 36
/* Decoding half a batch slows the prefill as much as decoding a full one,
   because the first requests of a batch already lengthen its steps.  */
#define MIXED_SLOWDOWN_FACTOR 2
/* A mixed engine is chosen only if its predicted first token is earlier than
   at a prefill or decode engine by this part of the time to the deadline.  */
#define MIXED_PENALTY_PERCENT 30

static const char *const role_names[ROLES] = { "mixed", "prefill", "decode" };

const char *
role_name (uint64_t role)
{
  return role < ROLES ? role_names[role] : "?";
}

uint64_t
role_from_name (const char *name, uint64_t fallback)
{
  for (uint64_t i = 0; name && i < ROLES; i++)
    if (strcmp (role_names[i], name) == 0)
      return i;
  return fallback;
}

struct engine
{
  char *name;
  uint32_t model;
  uint32_t region;
  uint32_t prefill_rate;  /* tokens per second */
  uint32_t batch;         /* largest batch while the role is decode */
  uint32_t mixed_batch;   /* largest batch while the role is mixed */
  struct route_load load; /* last report plus requests sent since */
  int64_t load_ms;        /* time as of which load.queued_tokens holds */
};

/* Point on a hash ring.  */
struct point
{
  uint64_t hash;
  route_engine engine;
};

/* Sums of load over the usable engines of one role.  */
struct role_sum
{
  uint64_t tokens; /* queued */
  uint64_t running;
  uint32_t usable; /* number of engines */
};

/* Hash ring of the engines of one model in one region.  */
struct ring
{
  uint32_t model;
  uint32_t region;
  GArray *points;  /* struct point, sorted by hash */
  GArray *members; /* route_engine */
  struct role_sum sums[ROLES];
};

/* Engines that recently got a prompt with this prefix, latest first.  */
struct recent
{
  uint64_t prefix;
  route_engine engines[RECENT_WAYS];
};

struct router
{
  GArray *engines;
  GHashTable *by_name;
  GPtrArray *rings;
  struct recent *recent;
  GRand *rand;
};

static struct engine *
engine_at (const struct router *r, route_engine e)
{
  return &g_array_index (r->engines, struct engine, e);
}

static void
engine_clear (void *p)
{
  g_free (((struct engine *)p)->name);
}

static void
ring_free (void *p)
{
  struct ring *ring = p;
  g_array_unref (ring->points);
  g_array_unref (ring->members);
  g_free (ring);
}

struct router *
router_create (uint64_t seed)
{
  struct router *r = g_new0 (struct router, 1);
  r->engines = g_array_new (FALSE, TRUE, sizeof (struct engine));
  g_array_set_clear_func (r->engines, engine_clear);
  r->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  r->rings = g_ptr_array_new_with_free_func (ring_free);
  r->recent = g_new0 (struct recent, RECENT_SLOTS);
  r->rand = g_rand_new_with_seed ((guint32)seed);
  return r;
}

void
router_destroy (struct router *r)
{
  if (r == NULL)
    return;
  g_hash_table_destroy (r->by_name);
  g_array_unref (r->engines);
  g_ptr_array_unref (r->rings);
  g_free (r->recent);
  g_rand_free (r->rand);
  g_free (r);
}

/* Engines, hash rings and load.  */

route_engine
router_add (struct router *r, const char *name, uint32_t model,
            uint32_t region)
{
  struct engine e = { .name = g_strdup (name),
                      .model = model,
                      .region = region,
                      .prefill_rate = ENGINE_DEFAULT_PREFILL_TOKENS_PER_S,
                      .batch = ENGINE_BATCH_MAX,
                      .mixed_batch = ENGINE_BATCH_MAX };
  g_array_append_val (r->engines, e);
  route_engine handle = r->engines->len - 1;
  g_hash_table_insert (r->by_name, e.name, GUINT_TO_POINTER (handle + 1));
  return handle;
}

void
router_set_capacity (struct router *r, route_engine e,
                     uint32_t prefill_tokens_per_s, uint32_t batch,
                     uint32_t mixed_batch)
{
  engine_at (r, e)->mixed_batch = MAX (mixed_batch, 1);
  engine_at (r, e)->prefill_rate = MAX (prefill_tokens_per_s, 1);
  engine_at (r, e)->batch = MAX (batch, 1);
}

static struct ring *
ring_find (const struct router *r, uint32_t model, uint32_t region)
{
  for (guint i = 0; i < r->rings->len; i++)
    {
      struct ring *ring = g_ptr_array_index (r->rings, i);
      if (ring->model == model && ring->region == region)
        return ring;
    }
  return NULL;
}

static gint
compare_points (gconstpointer a, gconstpointer b)
{
  const struct point *x = a, *y = b;
  return x->hash < y->hash ? -1 : x->hash > y->hash;
}

static void
ring_add (struct ring *ring, const struct engine *e, route_engine handle)
{
  g_array_append_val (ring->members, handle);
  for (unsigned i = 0; i < RING_POINTS_PER_ENGINE; i++)
    {
      struct point p = { XXH64 (e->name, strlen (e->name), i + 1), handle };
      g_array_append_val (ring->points, p);
    }
}

void
router_build_rings (struct router *r)
{
  g_ptr_array_set_size (r->rings, 0);
  for (route_engine i = 0; i < r->engines->len; i++)
    {
      const struct engine *e = engine_at (r, i);
      struct ring *ring = ring_find (r, e->model, e->region);
      if (ring == NULL)
        {
          ring = g_new0 (struct ring, 1);
          ring->model = e->model;
          ring->region = e->region;
          ring->points = g_array_new (FALSE, FALSE, sizeof (struct point));
          ring->members = g_array_new (FALSE, FALSE, sizeof (route_engine));
          g_ptr_array_add (r->rings, ring);
        }
      ring_add (ring, e, i);
    }
  for (guint i = 0; i < r->rings->len; i++)
    g_array_sort (((struct ring *)g_ptr_array_index (r->rings, i))->points,
                  compare_points);
}

/* Adds the load of one engine to the sums of RING (SIGN 1), or subtracts it
   (SIGN -1).  */
static void
ring_add_load (struct ring *ring, const struct route_load *load, int sign)
{
  if (ring == NULL || !load->usable)
    return;
  struct role_sum *sum = &ring->sums[load->role];
  sum->tokens += (uint64_t)((int64_t)sign * load->queued_tokens);
  sum->running += (uint64_t)((int64_t)sign * load->running);
  sum->usable += (uint32_t)sign;
}

void
router_set_load (struct router *r, route_engine e,
                 const struct route_load *load, int64_t now_ms)
{
  struct engine *engine = engine_at (r, e);
  struct ring *ring = ring_find (r, engine->model, engine->region);
  ring_add_load (ring, &engine->load, -1);
  engine->load = *load;
  engine->load_ms = now_ms;
  ring_add_load (ring, load, 1);
}

const struct route_load *
router_load (const struct router *r, route_engine e)
{
  return &engine_at (r, e)->load;
}

route_engine
router_find (const struct router *r, const char *name)
{
  guint found = GPOINTER_TO_UINT (g_hash_table_lookup (r->by_name, name));
  return found ? found - 1 : ROUTE_NONE;
}

size_t
router_count (const struct router *r)
{
  return r->engines->len;
}

size_t
router_bytes (const struct router *r)
{
  size_t n = sizeof *r + RECENT_SLOTS * sizeof (struct recent);
  n += r->engines->len * (sizeof (struct engine) + 32);
  for (guint i = 0; i < r->rings->len; i++)
    {
      const struct ring *ring = g_ptr_array_index (r->rings, i);
      n += ring->points->len * sizeof (struct point)
           + ring->members->len * sizeof (route_engine);
    }
  return n;
}

/* Cache of recent prefixes.  A new prefix replaces the one in its bucket.  */

static struct recent *
recent_slot (const struct router *r, uint64_t prefix)
{
  return &r->recent[prefix % RECENT_SLOTS];
}

static bool
recent_holds (const struct router *r, uint64_t prefix, route_engine e)
{
  const struct recent *slot = recent_slot (r, prefix);
  if (prefix == 0 || slot->prefix != prefix)
    return false;
  for (unsigned i = 0; i < RECENT_WAYS; i++)
    if (slot->engines[i] == e)
      return true;
  return false;
}

static void
recent_put (struct router *r, uint64_t prefix, route_engine e)
{
  struct recent *slot = recent_slot (r, prefix);
  if (prefix == 0 || recent_holds (r, prefix, e))
    return;
  if (slot->prefix != prefix)
    for (unsigned i = 0; i < RECENT_WAYS; i++)
      slot->engines[i] = ROUTE_NONE;
  slot->prefix = prefix;
  memmove (slot->engines + 1, slot->engines,
           (RECENT_WAYS - 1) * sizeof *slot->engines);
  slot->engines[0] = e;
}

/* Load limits and latency prediction.  */

static bool
role_takes (enum engine_role role, enum route_phase phase)
{
  if (role == ROLE_MIXED)
    return true;
  if (phase == PHASE_COMBINED)
    return false;
  return (role == ROLE_PREFILL) == (phase == PHASE_PREFILL);
}

static bool
engine_takes (const struct router *r, route_engine e,
              const struct route_request *request)
{
  const struct engine *engine = engine_at (r, e);
  return engine->load.usable && e != request->avoid
         && role_takes (engine->load.role, request->phase);
}

static uint32_t
batch_limit (const struct engine *engine)
{
  return engine->load.role == ROLE_MIXED ? engine->mixed_batch : engine->batch;
}

static bool
has_slot (const struct engine *engine, const struct route_request *request)
{
  return request->phase == PHASE_PREFILL && engine->load.role == ROLE_PREFILL
             ? true
             : engine->load.running < batch_limit (engine);
}

unsigned
mixed_prefill_percent (unsigned running, unsigned batch)
{
  unsigned decoding = MIN (MIXED_SLOWDOWN_FACTOR * running, batch);
  return 100 - (100 - MIXED_PREFILL_PERCENT) * decoding / MAX (batch, 1);
}

/* Returns the tokens per second that ENGINE prefills at its present load.  */
static uint64_t
prefill_rate (const struct engine *engine)
{
  if (engine->load.role != ROLE_MIXED)
    return engine->prefill_rate;
  return MAX (
      (uint64_t)engine->prefill_rate
          * mixed_prefill_percent (engine->load.running, engine->mixed_batch)
          / 100,
      1);
}

/* Returns the prompt tokens that are still queued: those of the last report,
   less what the engine should have prefilled since.  */
static uint64_t
tokens_waiting (const struct engine *engine, int64_t now_ms)
{
  int64_t age = MAX (now_ms - engine->load_ms, 0);
  uint64_t done = prefill_rate (engine) * (uint64_t)age / 1000;
  return engine->load.queued_tokens > done ? engine->load.queued_tokens - done
                                           : 0;
}

/* Returns whether the load of E is within the bound of its ring: at most
   ROUTE_LOAD_BOUND_PERCENT of the mean over the engines that run this phase,
   plus one request.  */
static bool
engine_in_bound (const struct router *r, const struct ring *ring,
                 route_engine e, const struct route_request *request)
{
  const struct engine *engine = engine_at (r, e);
  uint64_t tokens = 0, running = 0, n = 0;
  for (unsigned role = 0; role < ROLES; role++)
    if (role_takes ((enum engine_role)role, request->phase))
      {
        tokens += ring->sums[role].tokens;
        running += ring->sums[role].running;
        n += ring->sums[role].usable;
      }
  n = MAX (n, 1);
  return engine->load.queued_tokens
             <= tokens * ROUTE_LOAD_BOUND_PERCENT / 100 / n
                    + request->prompt_tokens
         && (request->phase != PHASE_DECODE
             || engine->load.running
                    <= running * ROUTE_LOAD_BOUND_PERCENT / 100 / n + 1);
}

static uint32_t
first_token_ms (const struct router *r, route_engine e,
                const struct route_request *request, bool *cached)
{
  const struct engine *engine = engine_at (r, e);
  uint64_t tokens = tokens_waiting (engine, request->now_ms);
  *cached = recent_holds (r, request->prefix, e);
  if (request->phase == PHASE_DECODE)
    return DECODE_START_MS + engine->load.running;
  tokens += *cached ? request->prompt_tokens - request->prefix_tokens
                    : request->prompt_tokens;
  uint64_t ms = tokens * 1000 / prefill_rate (engine) + DECODE_START_MS;
  return (uint32_t)MIN (ms, UINT32_MAX);
}

/* State of one router_pick call.  */
struct search
{
  struct router *r;
  const struct ring *ring;
  const struct route_request *request;
  struct route_choice best;
  uint32_t best_score_ms;
  uint32_t soonest_ms; /* earliest first token at an engine with a free
                          slot */
};

/* Returns the value that candidates are compared by, lower is better: the
   predicted time MS, plus a penalty for a mixed engine, which is better kept
   for either kind of work.  */
static uint32_t
score_ms (const struct search *s, route_engine e, uint32_t ms)
{
  bool mixed = engine_at (s->r, e)->load.role == ROLE_MIXED;
  return mixed ? ms + s->request->deadline_ms * MIXED_PENALTY_PERCENT / 100
               : ms;
}

static void
consider (struct search *s, route_engine e)
{
  bool cached = false;
  uint32_t ms = first_token_ms (s->r, e, s->request, &cached);
  if (!has_slot (engine_at (s->r, e), s->request))
    return;
  s->soonest_ms = MIN (s->soonest_ms, ms);
  if (ms > s->request->deadline_ms
      || (s->best.engine != ROUTE_NONE
          && score_ms (s, e, ms) >= s->best_score_ms))
    return;
  s->best_score_ms = score_ms (s, e, ms);
  s->best = (struct route_choice){ .engine = e,
                                   .first_token_ms = ms,
                                   .cached = cached };
}

static guint
ring_start (const struct ring *ring, uint64_t hash)
{
  guint low = 0, high = ring->points->len;
  while (low < high)
    {
      guint mid = (low + high) / 2;
      if (g_array_index (ring->points, struct point, mid).hash < hash)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

/* Considers the first two engines within the bound, from the position of the
   prefix on the ring.  */
static void
consider_ring (struct search *s)
{
  guint n = s->ring->points->len;
  guint start = ring_start (s->ring, s->request->prefix);
  route_engine seen = ROUTE_NONE;
  unsigned found = 0;
  for (guint i = 0; i < n && i < RING_WALK_POINTS_MAX && found < 2; i++)
    {
      route_engine e
          = g_array_index (s->ring->points, struct point, (start + i) % n)
                .engine;
      if (e == seen || !engine_takes (s->r, e, s->request)
          || !engine_in_bound (s->r, s->ring, e, s->request))
        continue;
      consider (s, e);
      seen = e;
      found++;
    }
}

static void
consider_random (struct search *s, unsigned tries)
{
  guint n = s->ring->members->len;
  for (unsigned i = 0; i < tries; i++)
    {
      guint at = (guint)g_rand_int_range (s->r->rand, 0, (gint32)n);
      route_engine e = g_array_index (s->ring->members, route_engine, at);
      if (engine_takes (s->r, e, s->request))
        consider (s, e);
    }
}

/* Considers every engine, regardless of the bound, before a request is
   refused.  */
static void
consider_all (struct search *s)
{
  for (guint i = 0; i < s->ring->members->len; i++)
    {
      route_engine e = g_array_index (s->ring->members, route_engine, i);
      if (engine_takes (s->r, e, s->request))
        consider (s, e);
    }
}

/* Returns the delay in ms after which the caller should retry: the time by
   which the earliest first token misses the deadline, at least
   RETRY_AFTER_MIN_MS, plus a random delay that spreads the retries.  */
static uint32_t
retry_after (struct search *s)
{
  uint32_t wait = RETRY_AFTER_MIN_MS;
  if (s->soonest_ms != UINT32_MAX && s->soonest_ms > s->request->deadline_ms)
    wait = MAX (wait, s->soonest_ms - s->request->deadline_ms);
  return wait
         + (uint32_t)g_rand_int_range (s->r->rand, 0, RETRY_AFTER_SPREAD_MS);
}

struct route_choice
router_pick (struct router *r, const struct route_request *request)
{
  struct search s = { .r = r, .request = request, .soonest_ms = UINT32_MAX };
  s.best.engine = ROUTE_NONE;
  s.ring = ring_find (r, request->model, request->region);
  if (s.ring && s.ring->members->len > 0)
    {
      consider_ring (&s);
      consider_random (&s, 2);
      if (s.best.engine == ROUTE_NONE)
        consider_all (&s);
    }
  if (s.best.engine != ROUTE_NONE)
    return s.best;
  uint32_t wait = retry_after (&s);
  return (struct route_choice){ .engine = ROUTE_NONE, .retry_after_ms = wait };
}

void
router_record_sent (struct router *r, route_engine e,
                    const struct route_request *request, bool cached)
{
  struct engine *engine = engine_at (r, e);
  struct route_load load = engine->load;
  load.queued_tokens = (uint32_t)tokens_waiting (engine, request->now_ms);
  if (request->phase != PHASE_DECODE)
    load.queued_tokens += cached
                              ? request->prompt_tokens - request->prefix_tokens
                              : request->prompt_tokens;
  if (request->phase != PHASE_PREFILL)
    load.running++;
  router_set_load (r, e, &load, request->now_ms);
  if (request->phase != PHASE_DECODE)
    recent_put (r, request->prefix, e);
}
