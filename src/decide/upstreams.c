#include "decide/upstreams_table.h"

#include <string.h>
#include <xxhash.h>

/* Age up to which load reported by another VM is used.  */
#define PEER_LOAD_MAX_AGE_MS 1500
/* Age up to which the total load reported by the home VM is used.  */
#define HOME_LOAD_MAX_AGE_MS 200
/* Part of an engine's KV capacity that is assumed to cache prefixes.  */
#define KV_CACHE_PERCENT 80
/* Low bits of a handle: index of the entry; the rest is its generation.  */
#define INDEX_BITS 16

/* Entries and handles.  */

void
upstream_info_clear (struct upstream_info *info)
{
  g_free (info->id);
  g_free (info->service);
  g_free (info->address);
  g_free (info->failure_domain);
  g_free (info->software_version);
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
  out->software_version = g_strdup (info->software_version);
}

static void
entry_clear (struct upstream *x)
{
  upstream_info_clear (&x->info);
  g_clear_pointer (&x->peer_loads, g_hash_table_destroy);
  g_clear_pointer (&x->prefix_index, prefix_index_destroy);
  x->used = false;
}

struct upstreams *
upstreams_create (const struct upstream_locality *locality)
{
  struct upstreams *u = g_new0 (struct upstreams, 1);
  u->locality = *locality;
  u->latency_factor = 1;
  u->resumed_ms = INT64_MIN;
  u->slots = g_array_new (FALSE, TRUE, sizeof (struct upstream));
  g_array_set_size (u->slots, 1);
  u->domains = g_ptr_array_new_with_free_func (g_free);
  u->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  u->vms = 1;
  u->engine_limits
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  u->short_demand
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  u->streams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return u;
}

void
upstreams_destroy (struct upstreams *u)
{
  if (u == NULL)
    return;
  for (guint i = 1; i < u->slots->len; i++)
    entry_clear (upstreams_entry (u, i));
  g_array_free (u->slots, TRUE);
  g_hash_table_destroy (u->by_id);
  g_hash_table_destroy (u->engine_limits);
  g_hash_table_destroy (u->short_demand);
  g_hash_table_destroy (u->streams);
  g_ptr_array_unref (u->domains);
  g_free (u);
}

/* Returns how many tokens of a KV cache of KV_TOKENS tokens are assumed to
   hold cached prefixes.  */
static uint64_t
cache_tokens (uint64_t kv_tokens)
{
  return kv_tokens * KV_CACHE_PERCENT / 100;
}

void
upstreams_set_engine_limits (struct upstreams *u, const char *service,
                             const struct engine_limits *limits)
{
  struct engine_limits *copy = g_new (struct engine_limits, 1);
  *copy = *limits;
  g_hash_table_replace (u->engine_limits, g_strdup (service), copy);
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      if (x->used && strcmp (x->info.service, service) == 0)
        prefix_index_set_capacity (x->prefix_index,
                                   cache_tokens (limits->kv_tokens));
    }
}

struct engine_limits
upstreams_engine_limits (const struct upstreams *u, const char *service)
{
  const struct engine_limits *limits
      = g_hash_table_lookup (u->engine_limits, service);
  return limits ? *limits : (struct engine_limits){ 0 };
}

upstream_handle
upstreams_handle_of (const struct upstreams *u, guint i)
{
  return ((uint32_t)upstreams_entry (u, i)->generation << INDEX_BITS) | i;
}

struct upstream *
upstreams_lookup (const struct upstreams *u, upstream_handle h)
{
  guint i = h & ((1U << INDEX_BITS) - 1);
  if (i == 0 || i >= u->slots->len)
    return NULL;
  struct upstream *x = upstreams_entry (u, i);
  return x->used && x->generation == h >> INDEX_BITS ? x : NULL;
}

upstream_handle
upstreams_find (const struct upstreams *u, const char *id)
{
  guint i = GPOINTER_TO_UINT (g_hash_table_lookup (u->by_id, id));
  return i ? upstreams_handle_of (u, i) : 0;
}

const struct upstream_info *
upstreams_info (const struct upstreams *u, upstream_handle h)
{
  const struct upstream *x = upstreams_lookup (u, h);
  return x ? &x->info : NULL;
}

double
upstreams_rtt_ms (const struct upstreams *u, upstream_handle h)
{
  const struct upstream *x = upstreams_lookup (u, h);
  return x ? x->rtt_ms : 0;
}

static guint
find_free_entry (struct upstreams *u)
{
  for (guint i = 1; i < u->slots->len; i++)
    if (!upstreams_entry (u, i)->used)
      return i;
  g_array_set_size (u->slots, u->slots->len + 1);
  return u->slots->len - 1;
}

/* Returns the best known model of prompts that engines of SERVICE and ROLE
   prefill: the one with the most samples; NULL if there is none.  */
static const struct engine_model *
best_sampled_model (const struct upstreams *u, const char *service,
                    enum upstream_role role)
{
  const struct engine_model *best = NULL;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      if (x->used && x->info.role == role && x->prefill.rates.samples > 0
          && strcmp (x->info.service, service) == 0
          && (best == NULL || x->prefill.rates.samples > best->rates.samples))
        best = &x->prefill;
    }
  return best;
}

/* Sets the models of X to their priors.  The prefill model starts from that of
   a similar engine, if there is one.  */
static void
reset_models (const struct upstreams *u, struct upstream *x)
{
  enum engine_model_kind kind = x->info.role == UPSTREAM_PREFILL
                                    ? ENGINE_MODEL_PREFILL_ONLY
                                    : ENGINE_MODEL_COMBINED;
  const struct engine_model *similar
      = best_sampled_model (u, x->info.service, x->info.role);
  struct engine_rates rates = { 0 };
  if (similar)
    rates = engine_model_rates (similar);
  if (similar)
    engine_model_init_from (&x->prefill, &rates);
  else
    engine_model_init (&x->prefill, kind);
  engine_model_init (&x->decode, ENGINE_MODEL_DECODE);
  x->residence_ms = 0;
  x->pace = (struct step_pace){ 0 };
}

struct engine_model *
upstreams_model (struct upstream *x, enum upstream_work_kind work)
{
  return work == UPSTREAM_WORK_DECODE ? &x->decode : &x->prefill;
}

/* Failure domains and round-trip times.  */

bool
upstreams_same_region (const struct upstreams *u, unsigned a, unsigned b)
{
  const char *x
      = u->locality.region_of (u->locality.arg, u->domains->pdata[a]);
  const char *y
      = u->locality.region_of (u->locality.arg, u->domains->pdata[b]);
  return x && y && strcmp (x, y) == 0;
}

static unsigned
domain_index (struct upstreams *u, const char *domain)
{
  for (guint i = 0; i < u->domains->len; i++)
    if (strcmp (u->domains->pdata[i], domain) == 0)
      return i;
  g_ptr_array_add (u->domains, g_strdup (domain));
  return u->domains->len - 1;
}

static double
rtt_ms (const struct upstreams *u, const char *domain)
{
  if (strcmp (domain, u->locality.failure_domain) == 0)
    return SAME_DOMAIN_RTT_MS;
  const char *region = u->locality.region_of (u->locality.arg, domain);
  if (region && strcmp (region, u->locality.region) == 0)
    return SAME_REGION_RTT_MS;
  return OTHER_REGION_RTT_MS;
}

/* Sets the fields of X that are computed from its info.  */
static void
set_derived_fields (struct upstreams *u, struct upstream *x)
{
  x->rtt_ms = rtt_ms (u, x->info.failure_domain);
  x->domain = domain_index (u, x->info.failure_domain);
  x->reserve_rank = XXH64 (x->info.id, strlen (x->info.id), 0);
}

static void
add_entry (struct upstreams *u, const struct upstream_info *info)
{
  guint i = find_free_entry (u);
  struct upstream *x = upstreams_entry (u, i);
  uint16_t generation = (uint16_t)(x->generation + 1);
  struct engine_limits limits = upstreams_engine_limits (u, info->service);
  memset (x, 0, sizeof *x);
  x->generation = generation ? generation : 1;
  x->service_ms = DEFAULT_SERVICE_MS;
  x->peer_loads
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  x->prefix_index = prefix_index_create (cache_tokens (limits.kv_tokens));
  info_copy (&x->info, info);
  reset_models (u, x);
  x->used = true;
  set_derived_fields (u, x);
  g_hash_table_insert (u->by_id, g_strdup (info->id), GUINT_TO_POINTER (i));
}

static bool
same_info (const struct upstream_info *a, const struct upstream_info *b)
{
  return strcmp (a->service, b->service) == 0
         && strcmp (a->address, b->address) == 0
         && strcmp (a->failure_domain, b->failure_domain) == 0
         && a->slots == b->slots && a->leaving == b->leaving
         && a->spot == b->spot && a->leave_ms == b->leave_ms
         && a->role == b->role && a->start_wall_ms == b->start_wall_ms;
}

bool
upstreams_put (struct upstreams *u, const struct upstream_info *info)
{
  guint i = GPOINTER_TO_UINT (g_hash_table_lookup (u->by_id, info->id));
  if (i == 0)
    {
      add_entry (u, info);
      return true;
    }
  struct upstream *x = upstreams_entry (u, i);
  struct upstream_info wanted = *info;
  wanted.leaving |= x->said_leaving;
  x->info.sequence = info->sequence;
  if (same_info (&x->info, &wanted))
    return false;
  /* A restart or a new address: what was learned no longer applies.  */
  if (x->info.start_wall_ms != info->start_wall_ms
      || strcmp (x->info.address, info->address) != 0)
    {
      upstreams_remove (u, info->id);
      add_entry (u, info);
      return true;
    }
  bool new_role = x->info.role != info->role;
  upstream_info_clear (&x->info);
  info_copy (&x->info, &wanted);
  if (new_role)
    reset_models (u, x);
  set_derived_fields (u, x);
  return true;
}

void
upstreams_set_role (struct upstreams *u, const char *id,
                    enum upstream_role role)
{
  struct upstream *x = upstreams_lookup (u, upstreams_find (u, id));
  if (x == NULL || x->info.role == role || x->info.role == UPSTREAM_SERVICE)
    return;
  x->info.role = role;
  reset_models (u, x);
}

bool
upstreams_remove (struct upstreams *u, const char *id)
{
  guint i = GPOINTER_TO_UINT (g_hash_table_lookup (u->by_id, id));
  if (i == 0)
    return false;
  g_hash_table_remove (u->by_id, id);
  entry_clear (upstreams_entry (u, i));
  return true;
}

/* Limits of requests a second.  */

struct upstream_rate *
upstreams_rate (struct upstreams *u, upstream_handle h)
{
  struct upstream *x = upstreams_lookup (u, h);
  return x ? &x->rate : NULL;
}

bool
upstreams_is_limited (const struct upstreams *u, upstream_handle h)
{
  const struct upstream *x = upstreams_lookup (u, h);
  return x && x->rate.limit.in_force;
}

bool
upstreams_take_token (struct upstreams *u, upstream_handle h, int64_t now_ms)
{
  struct upstream_rate *r = upstreams_rate (u, h);
  if (r == NULL || !r->limit.in_force)
    return r != NULL;
  return rate_tokens_take (&r->tokens, now_ms);
}

void
upstreams_give_back_token (struct upstreams *u, upstream_handle h,
                           int64_t now_ms)
{
  struct upstream_rate *r = upstreams_rate (u, h);
  if (r && r->limit.in_force)
    rate_tokens_give_back (&r->tokens, now_ms);
}

void
upstreams_foreach_rate (const struct upstreams *u,
                        void (*visit) (void *arg, upstream_handle h,
                                       const struct upstream_info *info,
                                       struct upstream_rate *rate),
                        void *arg)
{
  for (guint i = 1; i < u->slots->len; i++)
    {
      struct upstream *x = upstreams_entry (u, i);
      if (x->used && x->rate.limit.stated_ms != 0)
        visit (arg, upstreams_handle_of (u, i), &x->info, &x->rate);
    }
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

/* Load of this VM and of all VMs.  */

/* Returns a reported TOTAL, corrected by how this VM's own part of it has
   changed since the report.  */
static uint64_t
adjust_total (uint64_t total, uint64_t own_at_report, uint64_t own_now)
{
  uint64_t sum = total + own_now;
  return sum > own_at_report ? sum - own_at_report : 0;
}

bool
upstreams_has_home_load (const struct upstream *x, int64_t now_ms)
{
  return x->home_load_ms != 0
         && now_ms - x->home_load_ms <= HOME_LOAD_MAX_AGE_MS;
}

struct upstream_load
upstreams_total_load (const struct upstream *x, int64_t now_ms)
{
  struct upstream_load sum = x->own;
  bool has_home_load = upstreams_has_home_load (x, now_ms);
  sum.events_left = (uint32_t)MIN (x->events_left, UINT32_MAX);
  if (has_home_load)
    {
      const struct upstream_load *home = &x->home_load;
      const struct upstream_load *own_before = &x->own_at_report;
      sum.running = (uint32_t)adjust_total (home->running, own_before->running,
                                            x->own.running);
      sum.generating = (uint32_t)adjust_total (
          home->generating, own_before->generating, x->own.generating);
      sum.tokens
          = adjust_total (home->tokens, own_before->tokens, x->own.tokens);
    }
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, x->peer_loads);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct peer_load *p = value;
      if (now_ms - p->at_ms > PEER_LOAD_MAX_AGE_MS)
        continue;
      sum.events_left += p->load.events_left;
      if (has_home_load)
        continue;
      sum.running += p->load.running;
      sum.generating += p->load.generating;
      sum.tokens += p->load.tokens;
    }
  return sum;
}

void
upstreams_foreach_loaded (const struct upstreams *u,
                          void (*visit) (void *arg, const char *id,
                                         upstream_handle h),
                          void *arg)
{
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      if (x->used && (x->own.running > 0 || x->own.tokens > 0))
        visit (arg, x->info.id, upstreams_handle_of (u, i));
    }
}

struct upstream_load
upstreams_own_load (const struct upstreams *u, upstream_handle h)
{
  const struct upstream *x = upstreams_lookup (u, h);
  return x ? x->own : (struct upstream_load){ 0 };
}

uint32_t
upstreams_last_byte_age_ms (const struct upstreams *u, upstream_handle h,
                            int64_t now_ms)
{
  const struct upstream *x = upstreams_lookup (u, h);
  return x ? (uint32_t)CLAMP (now_ms - x->active_ms, 0, UINT32_MAX) : 0;
}

struct upstream_load
upstreams_all_load (const struct upstreams *u, upstream_handle h,
                    int64_t now_ms)
{
  const struct upstream *x = upstreams_lookup (u, h);
  return x ? upstreams_total_load (x, now_ms) : (struct upstream_load){ 0 };
}

void
upstreams_set_home_load (struct upstreams *u, upstream_handle h,
                         const struct upstream_load *load,
                         enum upstream_work_kind work,
                         const struct engine_rates *rates, int64_t now_ms)
{
  struct upstream *x = upstreams_lookup (u, h);
  if (x == NULL)
    return;
  x->home_load = *load;
  x->own_at_report = x->own;
  x->home_load_ms = now_ms;
  engine_model_set_rates (upstreams_model (x, work), rates, now_ms);
}

struct engine_rates
upstreams_rates (const struct upstreams *u, upstream_handle h,
                 enum upstream_work_kind work)
{
  struct upstream *x = upstreams_lookup (u, h);
  if (x)
    return engine_model_rates (upstreams_model (x, work));
  struct engine_model prior;
  engine_model_init (&prior, ENGINE_MODEL_COMBINED);
  return engine_model_rates (&prior);
}

void
upstreams_set_vm_count (struct upstreams *u, unsigned vms)
{
  u->vms = MAX (vms, 1);
}

void
upstreams_clear_peer_loads (struct upstreams *u, const char *vm)
{
  for (guint i = 1; i < u->slots->len; i++)
    if (upstreams_entry (u, i)->used)
      g_hash_table_remove (upstreams_entry (u, i)->peer_loads, vm);
}

void
upstreams_set_peer_load (struct upstreams *u, const char *vm, const char *id,
                         const struct upstream_load *load, int64_t now_ms)
{
  struct upstream *x = upstreams_lookup (u, upstreams_find (u, id));
  if (x == NULL)
    return;
  struct peer_load *p = g_hash_table_lookup (x->peer_loads, vm);
  if (p == NULL)
    {
      p = g_new (struct peer_load, 1);
      g_hash_table_insert (x->peer_loads, g_strdup (vm), p);
    }
  p->load = *load;
  p->at_ms = now_ms;
  upstreams_learn_reported_gap (u, x, load, now_ms);
  /* An upstream that answers another VM is responsive.  */
  if (load->running > 0)
    x->active_ms = MAX (x->active_ms, now_ms - load->quiet_ms);
}
