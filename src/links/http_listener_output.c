/** @file
    Memory of responses: what waits in the output of a connection counts in the
    budget (decide/memory_budget.h) until the caller has taken it, also after
    the response has ended.  A connection counts as a response as long as one
   is in progress there or some of it waits.  */
#include "links/http_listener_conn.h"

#include "base/metrics.h"

/* Bytes that wait in the process, beside those in the kernel's send buffer,
   with which a connection goes on with its next request.  */
#define UNREAD_AHEAD_BYTES ((size_t)4 * 1024)

static size_t
output_bytes (const struct http_listener_conn *c)
{
  return evbuffer_get_length (bufferevent_get_output (c->bev));
}

/* Counts what C has now, instead of what it had.  */
static void
count (struct http_listener_conn *c, size_t waiting, bool in_progress)
{
  struct memory_budget *b = c->memory_budget;
  bool counts = waiting > 0 || in_progress;
  if (b == NULL)
    return;
  if (counts && !c->counts_response)
    memory_budget_enter (b);
  if (waiting != c->counted_bytes)
    memory_budget_change (b, c->counted_bytes, waiting);
  if (!counts && c->counts_response)
    memory_budget_leave (b);
  c->counts_response = counts;
  c->counted_bytes = waiting;
  metrics_set (METRIC_responses_waiting_bytes,
               (int64_t)memory_budget_waiting (b));
}

static void
on_output_changed (struct evbuffer *output,
                   const struct evbuffer_cb_info *info, void *arg)
{
  struct http_listener_conn *c = arg;
  (void)info;
  count (c, evbuffer_get_length (output), c->in_response);
}

void
http_output_open (struct http_listener_conn *c)
{
  c->memory_budget = c->listener->limits.memory;
  if (c->memory_budget)
    evbuffer_add_cb (bufferevent_get_output (c->bev), on_output_changed, c);
}

void
http_output_close (struct http_listener_conn *c)
{
  if (c->memory_budget)
    evbuffer_remove_cb (bufferevent_get_output (c->bev), on_output_changed, c);
  count (c, 0, false);
}

void
http_output_set_response (struct http_listener_conn *c, bool in_response)
{
  c->in_response = in_response;
  count (c, output_bytes (c), in_response);
}

bool
http_output_is_full (const struct http_listener_conn *c)
{
  return output_bytes (c) > UNREAD_AHEAD_BYTES;
}
