#include "daemon/role_link.h"

#include "base/log.h"
#include "base/metrics.h"
#include "daemon/conf.h"
#include "decide/roles.h"

#include <string.h>

/* Highest decode rate of a mixed engine, as a fraction of the rate of a
   decode-only engine.  */
#define MIXED_DECODE_SHARE 0.75

/* Latest demand counters received from one VM.  */
struct vm_demand
{
  struct demand last[DEMAND_MODELS_MAX];
  bool known;
};

/* Role control of one model, and its demand since the last decision.  */
struct model_state
{
  struct roles *roles;
  double requests;
  double prefill_ms;
  double decode_ms;
};

struct role_link
{
  const struct context *ctx;
  const struct conf *conf;
  role_link_change_callback *change;
  void *arg;
  GHashTable *vm_demands; /* vm -> struct vm_demand */
  struct model_state model_states[DEMAND_MODELS_MAX];
};

struct role_link *
role_link_create (const struct context *ctx, const struct conf *conf,
                  role_link_change_callback *change, void *arg)
{
  struct role_link *l = g_new0 (struct role_link, 1);
  struct roles_config initial = { .mixed_decode = MIXED_DECODE_SHARE };
  l->ctx = ctx;
  l->conf = conf;
  l->change = change;
  l->arg = arg;
  l->vm_demands
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (size_t i = 0; i < DEMAND_MODELS_MAX; i++)
    l->model_states[i].roles = roles_create (&initial);
  return l;
}

void
role_link_destroy (struct role_link *l)
{
  if (l == NULL)
    return;
  for (size_t i = 0; i < DEMAND_MODELS_MAX; i++)
    roles_destroy (l->model_states[i].roles);
  g_hash_table_destroy (l->vm_demands);
  g_free (l);
}

void
role_link_handle_demand (struct role_link *l, const char *vm, GBytes *demand)
{
  struct vm_demand *c = g_hash_table_lookup (l->vm_demands, vm);
  if (c == NULL)
    {
      c = g_new0 (struct vm_demand, 1);
      g_hash_table_insert (l->vm_demands, g_strdup (vm), c);
    }
  struct demand now[DEMAND_MODELS_MAX];
  size_t n = demand_unpack (demand, now, DEMAND_MODELS_MAX);
  for (size_t i = 0; i < n; i++)
    {
      /* The counters of a VM restart from 0 when the VM restarts; the first
         values after that only set the base.  */
      bool not_reset = now[i].requests >= c->last[i].requests;
      if (c->known && not_reset)
        {
          l->model_states[i].requests += now[i].requests - c->last[i].requests;
          l->model_states[i].prefill_ms
              += now[i].prefill_ms - c->last[i].prefill_ms;
          l->model_states[i].decode_ms
              += now[i].decode_ms - c->last[i].decode_ms;
        }
      c->last[i] = now[i];
    }
  c->known = true;
}

/* Counts the usable engines of MODEL in this VM's region by role.  Sets
   LEAST_LOADED of each role to the engine with the fewest running requests
   that is not pinned.  */
static struct roles_split
count_roles (const struct role_link *l, uint32_t model,
             const struct file_engine *least_loaded[3])
{
  const struct catalog *catalog = conf_catalog (l->conf);
  const struct file *file = conf_file (l->conf);
  struct router *router = catalog_router (catalog);
  uint32_t running[3] = { UINT32_MAX, UINT32_MAX, UINT32_MAX };
  struct roles_split split = { 0 };
  for (guint i = 0; i < file->engines->len; i++)
    {
      const struct file_engine *f
          = &g_array_index (file->engines, struct file_engine, i);
      const struct route_load *load = router_load (router, i);
      if (strcmp (f->region, l->ctx->settings->region) != 0
          || catalog_model_index (catalog, f->model) != model || !load->usable)
        continue;
      split.prefill += load->role == ROLE_PREFILL;
      split.decode += load->role == ROLE_DECODE;
      split.mixed += load->role == ROLE_MIXED;
      if (!f->pinned && load->running < running[load->role])
        {
          running[load->role] = load->running;
          least_loaded[load->role] = f;
        }
    }
  return split;
}

static const char *
format_tenths (double value)
{
  return log_num ((long long)(value * 10));
}

static void
log_change (const struct file_engine *f, const struct roles_decision *d)
{
  metrics_add (METRIC_role_changes_total, 1);
  log_event (LOG_INFO, "role_change", "engine", f->id, "from",
             role_name (d->from), "to", role_name (d->to),
             "prefill_demand_tenths", format_tenths (d->inputs.prefill_demand),
             "decode_demand_tenths", format_tenths (d->inputs.decode_demand),
             "arrivals_per_s_tenths", format_tenths (d->inputs.arrivals_per_s),
             "lost_now_tenths", format_tenths (d->inputs.lost_now),
             "lost_after_tenths", format_tenths (d->inputs.lost_after),
             "worth_tenths", format_tenths (d->inputs.worth), "price_tenths",
             format_tenths (d->inputs.price), NULL);
}

static void
decide_model (struct role_link *l, uint32_t model, bool busy)
{
  const struct file *file = conf_file (l->conf);
  const struct file_model *m
      = &g_array_index (file->models, struct file_model, model);
  struct model_state *s = &l->model_states[model];
  const struct file_engine *least_loaded[3] = { NULL, NULL, NULL };
  struct roles_split split = count_roles (l, model, least_loaded);
  struct roles_config config = { .change_cost = (double)file->role_change_cost,
                                 .change_s = (double)m->role_change_ms / 1000,
                                 .mixed_decode = MIXED_DECODE_SHARE,
                                 .floor = 1 };
  int64_t now = clock_ms ();
  split.changing = busy;
  roles_configure (s->roles, &config);
  roles_demand (s->roles, s->requests, s->prefill_ms / 1000,
                s->decode_ms / 1000, now);
  s->requests = s->prefill_ms = s->decode_ms = 0;
  struct roles_decision d = roles_decide (s->roles, &split, now);
  if (d.from == d.to || least_loaded[d.from] == NULL)
    return;
  log_change (least_loaded[d.from], &d);
  l->change (l->arg, least_loaded[d.from]->id, d.to);
}

void
role_link_decide (struct role_link *l, bool busy)
{
  const struct file *file = conf_file (l->conf);
  for (uint32_t i = 0; file && i < file->models->len && i < DEMAND_MODELS_MAX;
       i++)
    decide_model (l, i, busy);
}
