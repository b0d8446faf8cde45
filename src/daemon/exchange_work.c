/** @file
    Expected and measured work of a request: its events, for the estimates of
    later requests and for placement.  */
#include "base/clock.h"
#include "daemon/exchange.h"

static struct work_key
work_key (const struct exchange *e)
{
  return (struct work_key){ .route = e->route->name,
                            .service = e->service,
                            .max_tokens = e->facts.prompt.out_tokens,
                            .hint = e->facts.prompt.length_hint };
}

bool
exchange_expect_stream (const struct exchange *e, int64_t now,
                        struct placement_stream *out)
{
  if (e->route->kind != ROUTE_STREAM || e->route->event_gap_ms == 0)
    return false;
  struct work_key key = work_key (e);
  struct work_estimate events
      = work_estimates_find (e->proxy->work, &key, WORK_EVENTS);
  if (events.samples <= 0)
    return false;
  *out = (struct placement_stream){ .events = events.mean,
                                    .events_median = events.median,
                                    .events_high = events.high,
                                    .gap_ms = e->route->event_gap_ms,
                                    .left_ms = (double)(e->until_ms - now) };
  if (e->events == 0)
    return true;
  double left = work_estimates_left (e->proxy->work, &key, e->events);
  out->events = left;
  out->events_median = left;
  out->events_high = MAX (events.high - e->events, left);
  return true;
}

void
exchange_record_events (struct attempt *a, unsigned count)
{
  struct exchange *e = a->exchange;
  struct work_key key = work_key (e);
  int64_t now = clock_ms ();
  e->events += count;
  e->event_ms = now;
  if (e->first_event_ms == 0)
    e->first_event_ms = now;
  upstreams_record_events (
      e->proxy->parts.upstreams, &a->work, count,
      work_estimates_left (e->proxy->work, &key, e->events), now);
}

void
exchange_record_work (struct exchange *e, bool is_complete)
{
  if (e->events == 0)
    return;
  struct work_key key = work_key (e);
  struct work_done done
      = { .values
          = { [WORK_EVENTS] = e->events,
              [WORK_MS] = (double)(e->event_ms - e->first_event_ms) } };
  if (!is_complete)
    {
      double left = work_estimates_left (e->proxy->work, &key, e->events);
      done.values[WORK_MS] *= 1 + left / e->events;
      done.values[WORK_EVENTS] += left;
    }
  work_estimates_record (e->proxy->work, &key, &done);
}
