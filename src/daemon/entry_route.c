#include "base/metrics.h"
#include "daemon/entry_stream.h"
#include "daemon/request_id.h"

#define TRIES_MAX 3

static void
choose (struct entry_stream *s, route_engine engine, bool cached)
{
  const struct context *ctx = s->entry->ctx;
  const struct catalog *catalog = conf_catalog (s->entry->conf);
  const char *name = catalog_engine (catalog, engine)->id;
  router_record_sent (catalog_router (catalog), engine, &s->ask, cached);
  g_free (s->engine);
  g_free (s->request_id);
  s->engine = g_strdup (name);
  s->request_id = request_id_make (ctx->fleet_key, s->caller, name);
  s->tries++;
  entry_stream_open (s, false, false);
}

/* Chooses an engine in this VM's region, or in another one where this has no
   room in time.  */
static struct route_choice
pick (struct entry_stream *s)
{
  const struct context *ctx = s->entry->ctx;
  const struct catalog *catalog = conf_catalog (s->entry->conf);
  struct router *router = catalog_router (catalog);
  const struct file *file = conf_file (s->entry->conf);
  uint32_t own = catalog_region (catalog, ctx->settings->region);
  s->ask.region = own;
  struct route_choice best = router_pick (router, &s->ask);
  for (uint32_t i = 0; best.engine == ROUTE_NONE && i < file->regions->len;
       i++)
    {
      s->ask.region = i;
      struct route_choice far = router_pick (router, &s->ask);
      if (i != own && far.engine != ROUTE_NONE)
        best = far;
    }
  return best;
}

/* Decides whether ENGINE runs the request whole or only prefills it, and finds
   a place to decode then.  Returns false where it was refused.  */
static bool
plan_phase (struct entry_stream *s, route_engine engine)
{
  const struct catalog *catalog = conf_catalog (s->entry->conf);
  struct router *router = catalog_router (catalog);
  bool only_prefill = router_load (router, engine)->role == ROLE_PREFILL;
  s->phase = PHASE_WHOLE;
  if (!only_prefill && !s->long_answer)
    return true;
  struct route_request ask = s->ask;
  ask.phase = PHASE_DECODE;
  ask.avoid = ROUTE_NONE;
  struct route_choice d = router_pick (router, &ask);
  bool found = d.engine != ROUTE_NONE;
  if (!found && only_prefill)
    {
      entry_stream_fail (s, RESULT_NOT_RUN, "no engine has room to decode",
                         d.retry_after_ms);
      return false;
    }
  if (only_prefill
      || (found && router_load (router, d.engine)->role == ROLE_DECODE))
    {
      s->phase = PHASE_PREFILL;
      router_record_sent (router, d.engine, &ask, false);
      g_free (s->decode_engine);
      s->decode_engine = g_strdup (catalog_engine (catalog, d.engine)->id);
    }
  return true;
}

void
entry_route (struct entry_stream *s)
{
  s->ask.phase = s->phase == PHASE_DECODE ? PHASE_DECODE : PHASE_PREFILL;
  s->ask.now_ms = clock_ms ();
  s->ask.deadline_ms = (uint32_t)MAX (s->deadline_ms - s->ask.now_ms, 0);
  struct route_choice c = pick (s);
  if (c.engine == ROUTE_NONE)
    {
      entry_stream_fail (s, RESULT_NOT_RUN, "no engine has room in time",
                         c.retry_after_ms);
      return;
    }
  if (s->phase != PHASE_DECODE && !plan_phase (s, c.engine))
    return;
  s->ask.phase = s->phase;
  choose (s, c.engine, c.cached);
}

void
entry_route_again (struct entry_stream *s, enum result result,
                   const char *detail, uint64_t retry_after_ms)
{
  const struct catalog *catalog = conf_catalog (s->entry->conf);
  bool can = s->offset == 0 && s->body && s->tries < TRIES_MAX
             && clock_ms () < s->deadline_ms
             && retry_budget_withdraw (&s->entry->retries);
  if (!can)
    {
      entry_stream_fail (s, result, detail, retry_after_ms);
      return;
    }
  metrics_add (METRIC_retries_total, 1);
  s->ask.avoid = router_find (catalog_router (catalog), s->engine);
  entry_route (s);
}

void
entry_route_decode (struct entry_stream *s)
{
  const struct catalog *catalog = conf_catalog (s->entry->conf);
  route_engine e = s->decode_engine ? router_find (catalog_router (catalog),
                                                   s->decode_engine)
                                    : ROUTE_NONE;
  s->ask.phase = PHASE_DECODE;
  if (e == ROUTE_NONE)
    {
      entry_route (s);
      return;
    }
  g_free (s->engine);
  g_free (s->request_id);
  s->engine = g_strdup (s->decode_engine);
  s->request_id
      = request_id_make (s->entry->ctx->fleet_key, s->caller, s->engine);
  entry_stream_open (s, false, false);
}
