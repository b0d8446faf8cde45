#include "base/metrics.h"
#include "daemon/entry_stream.h"
#include "daemon/request_id.h"

/* Attempts of one request, the first one included.  */
#define ATTEMPTS_MAX 3

/* Sends S to ENGINE under a new request id, and counts it as load there until
   the engine's next load report.  CACHED: the prompt's prefix is expected in
   the engine's KV cache.  */
static void
open_at_engine (struct entry_stream *s, route_engine engine, bool cached)
{
  const struct context *ctx = s->entry->ctx;
  const struct catalog *catalog = conf_catalog (s->entry->conf);
  const char *name = catalog_engine (catalog, engine)->id;
  router_record_sent (catalog_router (catalog), engine, &s->routing, cached);
  g_free (s->engine);
  g_free (s->request_id);
  s->engine = g_strdup (name);
  s->request_id = request_id_make (ctx->fleet_key, s->caller, name);
  s->attempts++;
  entry_stream_open (s, false, false);
}

/* Chooses an engine in this VM's region or, if none there can meet the
   deadline, in the first other region of the file that has one.  */
static struct route_choice
pick_engine (struct entry_stream *s)
{
  const struct context *ctx = s->entry->ctx;
  const struct catalog *catalog = conf_catalog (s->entry->conf);
  struct router *router = catalog_router (catalog);
  const struct file *file = conf_file (s->entry->conf);
  uint32_t own_region = catalog_region_index (catalog, ctx->settings->region);
  s->routing.region = own_region;
  struct route_choice best = router_pick (router, &s->routing);
  for (uint32_t i = 0; best.engine == ROUTE_NONE && i < file->regions->len;
       i++)
    {
      s->routing.region = i;
      struct route_choice other = router_pick (router, &s->routing);
      if (i != own_region && other.engine != ROUTE_NONE)
        best = other;
    }
  return best;
}

/* Decides whether ENGINE runs the complete request or only its prefill, and
   chooses the engine for the decode in the second case.  A short response is
   split only if ENGINE is prefill-only.  If no engine can decode it then, ends
   S and returns false.  */
static bool
plan_phase (struct entry_stream *s, route_engine engine)
{
  const struct catalog *catalog = conf_catalog (s->entry->conf);
  struct router *router = catalog_router (catalog);
  bool prefill_only = router_load (router, engine)->role == ROLE_PREFILL;
  s->phase = PHASE_COMBINED;
  if (!prefill_only && !s->long_response)
    return true;
  struct route_request decode_request = s->routing;
  decode_request.phase = PHASE_DECODE;
  decode_request.avoid = ROUTE_NONE;
  struct route_choice decode = router_pick (router, &decode_request);
  bool found = decode.engine != ROUTE_NONE;
  if (!found && prefill_only)
    {
      entry_stream_fail (s, RESULT_NOT_RUN,
                         "no engine can take the decode of the request",
                         decode.retry_after_ms);
      return false;
    }
  if (prefill_only
      || (found && router_load (router, decode.engine)->role == ROLE_DECODE))
    {
      s->phase = PHASE_PREFILL;
      router_record_sent (router, decode.engine, &decode_request, false);
      g_free (s->decode_engine_id);
      s->decode_engine_id
          = g_strdup (catalog_engine (catalog, decode.engine)->id);
    }
  return true;
}

void
entry_route (struct entry_stream *s)
{
  s->routing.phase = s->phase == PHASE_DECODE ? PHASE_DECODE : PHASE_PREFILL;
  s->routing.now_ms = clock_ms ();
  s->routing.deadline_ms
      = (uint32_t)MAX (s->deadline_ms - s->routing.now_ms, 0);
  struct route_choice c = pick_engine (s);
  if (c.engine == ROUTE_NONE)
    {
      entry_stream_fail (s, RESULT_NOT_RUN,
                         "no engine can send the first token within the "
                         "deadline",
                         c.retry_after_ms);
      return;
    }
  if (s->phase != PHASE_DECODE && !plan_phase (s, c.engine))
    return;
  s->routing.phase = s->phase;
  open_at_engine (s, c.engine, c.cached);
}

void
entry_route_retry (struct entry_stream *s, enum result result,
                   const char *detail, uint64_t retry_after_ms,
                   enum retry_cause cause)
{
  const struct catalog *catalog = conf_catalog (s->entry->conf);
  bool may_retry = s->offset == 0 && s->body && s->attempts < ATTEMPTS_MAX
                   && clock_ms () < s->deadline_ms
                   && retry_budget_withdraw (&s->entry->retries, cause);
  if (!may_retry)
    {
      entry_stream_fail (s, result, detail, retry_after_ms);
      return;
    }
  metrics_add (METRIC_retries_total, 1);
  s->routing.avoid = router_find (catalog_router (catalog), s->engine);
  entry_route (s);
}

void
entry_route_decode (struct entry_stream *s)
{
  const struct catalog *catalog = conf_catalog (s->entry->conf);
  route_engine e = s->decode_engine_id ? router_find (catalog_router (catalog),
                                                      s->decode_engine_id)
                                       : ROUTE_NONE;
  s->routing.phase = PHASE_DECODE;
  if (e == ROUTE_NONE)
    {
      entry_route (s);
      return;
    }
  g_free (s->engine);
  g_free (s->request_id);
  s->engine = g_strdup (s->decode_engine_id);
  s->request_id
      = request_id_make (s->entry->ctx->fleet_key, s->caller, s->engine);
  entry_stream_open (s, false, false);
}
