#include "daemon/upstream_statements.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"

struct upstream_statements
{
  struct upstream_statements_parts parts;
};

struct upstream_statements *
upstream_statements_create (const struct upstream_statements_parts *parts)
{
  struct upstream_statements *s = g_new0 (struct upstream_statements, 1);
  s->parts = *parts;
  return s;
}

void
upstream_statements_destroy (struct upstream_statements *s)
{
  g_free (s);
}

/* Tells the other VMs that the upstream ID is leaving.  */
static void
send_hints (const struct upstream_statements *s, const char *id)
{
  struct upstream_leaving m = { .upstream = (char *)(uintptr_t)id };
  if (s->parts.peers.members)
    vm_broadcast_all (&s->parts.peers, MESSAGE_UPSTREAM_LEAVING, &m);
}

static void
record_leaving (struct upstream_statements *s, upstream_handle h,
                const char *request)
{
  if (!upstreams_record_leaving (s->parts.upstreams, h))
    return;
  const char *id = upstreams_info (s->parts.upstreams, h)->id;
  metrics_add (METRIC_upstreams_leaving_total, 1);
  log_event (LOG_INFO, "upstream_leaving", "upstream", id, "request", request,
             NULL);
  send_hints (s, id);
}

static void
record_pause (struct upstream_statements *s, upstream_handle h,
              unsigned for_ms, const char *request)
{
  const struct upstream_info *upstream
      = upstreams_info (s->parts.upstreams, h);
  upstreams_pause (s->parts.upstreams, h, for_ms, clock_ms ());
  metrics_add (METRIC_upstream_pauses_total, 1);
  log_event (LOG_INFO, "upstream_paused", "upstream",
             upstream ? upstream->id : "", "request", request, "for_ms",
             log_num (for_ms), NULL);
}

void
upstream_statements_record (struct upstream_statements *s, upstream_handle h,
                            const struct response_info *info,
                            const char *request)
{
  if (info->leaving)
    record_leaving (s, h, request);
  if (info->retry_after_ms > 0)
    record_pause (s, h, info->retry_after_ms, request);
  if (s->parts.limits)
    rate_limit_link_record (s->parts.limits, h, info, request);
}

void
upstream_statements_handle_frame (struct upstream_statements *s,
                                  const struct frame *f)
{
  if (f->type != MESSAGE_UPSTREAM_LEAVING)
    return;
  const struct upstream_leaving *m = f->message;
  upstream_handle h = upstreams_find (s->parts.upstreams, m->upstream);
  upstreams_pause (s->parts.upstreams, h, STATEMENT_HINT_MS, clock_ms ());
  log_event (LOG_INFO, "upstream_leaving_hint", "upstream", m->upstream,
             "known", h != 0 ? "true" : "false", NULL);
}
