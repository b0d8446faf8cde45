/** @file
    Process tests of how responses end: a VM proxies responses that their
    upstream breaks off, most of them without length or chunks, so that only
    the end of the connection delimits them.  */
#include "harness/site.h"
#include "process/common.h"

#include <string.h>

#define TIMEOUT_MS 10000
/* Shortest time-out of the routes.  */
#define ROUTE_TIMEOUT_MS 2000
#define VMS 1
#define UPSTREAMS 2
#define TWO_EVENTS "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
#define FIVE_EVENTS                                                           \
  TWO_EVENTS                                                                  \
  "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"

static struct site *site;

/* Expects five events and returns the number of runs.  */
static unsigned
expect_whole (const char *path, const char *id)
{
  struct web *w = site_request (site, 0, "POST", path, id);
  g_assert_cmpint (w->status, ==, 200);
  g_assert_true (w->complete);
  g_assert_cmpstr (w->body->str, ==, FIVE_EVENTS);
  web_close (w);
  return site_runs (site, -1, id);
}

/* Expects a response that ends after BODY and is seen to be incomplete.  */
static void
expect_aborted (const char *path, const char *id, const char *body)
{
  struct web *w = site_request (site, 0, "POST", path, id);
  g_assert_false (w->complete);
  g_assert_true (w->failed);
  g_assert_cmpstr (w->body->str, ==, body);
  g_assert_cmpuint (site_runs (site, -1, id), ==, 1);
  web_close (w);
}

/* Expects the status for "the outcome is unknown".  */
static void
expect_unknown (const char *path, const char *id)
{
  struct web *w = site_request (site, 0, "POST", path, id);
  g_assert_true (w->complete);
  g_assert_cmpint (w->status, ==, 502);
  g_assert_cmpuint (site_runs (site, -1, id), ==, 1);
  web_close (w);
}

static char *
log_line (const char *event, const char *id)
{
  g_autofree char *log = site_log (site, 0);
  g_autofree char *key = g_strdup_printf ("event=%s request=%s ", event, id);
  const char *line = strstr (log, key);
  g_assert_nonnull (line);
  return g_strndup (line, strcspn (line, "\n"));
}

static void
test_closed_inside_event_is_not_complete (void)
{
  expect_aborted ("/live/stream-bare-cut", "cut-1", TWO_EVENTS);
  expect_aborted ("/live/stream-bare-line", "cut-2", TWO_EVENTS);
  g_autofree char *line = log_line ("attempt_failed", "cut-1");
  g_assert_nonnull (strstr (line, "framing=close partial_bytes=8"));
}

static void
test_closed_before_first_event_is_not_success (void)
{
  expect_unknown ("/live/stream-bare-first", "first-1");
  expect_unknown ("/live/stream-bare-empty", "first-2");
}

/* The chunks end properly, so that their framing says that it is complete.  */
static void
test_last_chunk_inside_event_is_not_complete (void)
{
  expect_aborted ("/live/stream-short", "short-1", TWO_EVENTS);
}

static void
test_reset_between_events_is_not_complete (void)
{
  expect_aborted ("/live/stream-bare-reset", "reset-1", TWO_EVENTS);
}

static void
test_truncated_stream_resumes_elsewhere (void)
{
  static const char *const after_events[]
      = { "stream-bare-cut", "stream-bare-line", "stream-bare-reset",
          "stream-short" };
  for (size_t i = 0; i < G_N_ELEMENTS (after_events); i++)
    {
      g_autofree char *path = g_strdup_printf ("/stream/%s", after_events[i]);
      g_autofree char *id = g_strdup_printf ("resume-%zu", i);
      g_assert_cmpuint (expect_whole (path, id), ==, 2);
    }
}

/* Nothing was sent to the caller, so that the request is repeated whole.  One
   instance truncates it, whichever is chosen first.  */
static void
test_stream_without_event_is_repeated (void)
{
  static const char *const before_events[]
      = { "stream-bare-first", "stream-bare-empty" };
  for (size_t i = 0; i < G_N_ELEMENTS (before_events); i++)
    {
      unsigned runs = 0;
      for (unsigned u = 0; u < UPSTREAMS; u++)
        {
          g_autofree char *path
              = g_strdup_printf ("/stream/%s@u%u", before_events[i], u);
          g_autofree char *id = g_strdup_printf ("repeat-%zu-%u", i, u);
          runs += expect_whole (path, id);
        }
      g_assert_cmpuint (runs, >, UPSTREAMS);
    }
}

static void
test_whole_without_length (void)
{
  g_assert_cmpuint (expect_whole ("/live/stream-bare", "whole-1"), ==, 1);
  g_assert_cmpuint (expect_whole ("/stream/stream-bare", "whole-2"), ==, 1);
  g_assert_cmpuint (expect_whole ("/once/stream-bare", "whole-4"), ==, 1);
  struct web *w = site_request (site, 0, "GET", "/once/unframed", "whole-3");
  g_assert_cmpint (w->status, ==, 200);
  g_assert_true (w->complete);
  g_assert_true (g_str_has_prefix (w->body->str, "GET /once/unframed 0 "));
  web_close (w);
}

/* Event streams without length, closed within an event, on plain routes.  */
static void
test_truncated_events_on_plain_routes (void)
{
  static const char *const ends[]
      = { "stream-bare-cut", "stream-bare-line", "stream-bare-first" };
  for (size_t i = 0; i < G_N_ELEMENTS (ends); i++)
    {
      g_autofree char *once = g_strdup_printf ("/once/%s", ends[i]);
      g_autofree char *once_id = g_strdup_printf ("plain-once-%zu", i);
      expect_unknown (once, once_id);
      for (unsigned u = 0; u < UPSTREAMS; u++)
        {
          g_autofree char *safe = g_strdup_printf ("/safe/%s@u%u", ends[i], u);
          g_autofree char *id = g_strdup_printf ("plain-safe-%zu-%u", i, u);
          g_assert_cmpuint (expect_whole (safe, id), <=, 2);
        }
    }
}

/* The upstream sends a part of the head, and closes.  */
static void
test_closed_inside_head_is_not_success (void)
{
  static const unsigned percents[]
      = { 1, 10, 25, 40, 55, 70, 85, 95, 99, 100 };
  for (size_t i = 0; i < G_N_ELEMENTS (percents); i++)
    {
      unsigned p = percents[i];
      g_autofree char *once = g_strdup_printf ("/once/head-%u", p);
      g_autofree char *live = g_strdup_printf ("/live/stream-head-%u", p);
      g_autofree char *once_id = g_strdup_printf ("head-once-%u", p);
      g_autofree char *live_id = g_strdup_printf ("head-live-%u", p);
      expect_unknown (once, once_id);
      expect_unknown (live, live_id);
      for (unsigned u = 0; u < UPSTREAMS; u++)
        {
          g_autofree char *safe = g_strdup_printf ("/safe/head-%u@u%u", p, u);
          g_autofree char *stream
              = g_strdup_printf ("/stream/stream-head-%u@u%u", p, u);
          g_autofree char *id = g_strdup_printf ("head-%u-%u", p, u);
          g_autofree char *echo = g_strdup_printf ("POST %s ", safe);
          struct web *w = site_request (site, 0, "POST", safe, id);
          g_assert_cmpint (w->status, ==, 200);
          g_assert_true (w->complete);
          g_assert_true (g_str_has_prefix (w->body->str, echo));
          web_close (w);
          g_autofree char *stream_id = g_strdup_printf ("heads-%u-%u", p, u);
          g_assert_cmpuint (expect_whole (stream, stream_id), <=, 2);
        }
    }
}

static struct web *
send_http10 (const char *path, const char *id)
{
  g_autofree char *lines
      = g_strdup_printf ("Host: " SITE_HOST "\r\nX-Request-Id: %s\r\n", id);
  return web_send_http10_request (site->front_addresses[0], path, lines);
}

/* An HTTP/1.0 caller takes a closed connection for a complete response.  */
static void
test_http10_caller_sees_reset (void)
{
  struct web *w = send_http10 ("/live/stream-bare-cut", "old-1");
  web_read_response (w, TIMEOUT_MS);
  g_assert_true (w->reset);
  web_close (w);
  w = send_http10 ("/live/stream-bare", "old-2");
  web_read_response (w, TIMEOUT_MS);
  g_assert_true (w->failed);
  g_assert_false (w->reset);
  g_assert_cmpstr (w->body->str, ==, FIVE_EVENTS);
  web_close (w);
}

static void
test_http10_caller_of_killed_vm_sees_reset (void)
{
  struct web *w = send_http10 ("/live/long-bare", "old-3");
  web_read_events (w, 2, TIMEOUT_MS);
  proc_kill (site->vms[0]);
  web_read_response (w, TIMEOUT_MS);
  g_assert_true (w->reset);
  web_close (w);
  site_start (site);
}

/* Responses without end must not fill the VM's memory until the time-out.  */
static void
test_endless_responses_are_cut_off (void)
{
  static const char *const paths[]
      = { "/live/stream-endless", "/once/endless-error" };
  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      g_autofree char *id = g_strdup_printf ("endless-%zu", i);
      unsigned before
          = site_disconnects (site, 0) + site_disconnects (site, 1);
      gint64 start_us = g_get_monotonic_time ();
      expect_unknown (paths[i], id);
      gint64 ms = (g_get_monotonic_time () - start_us) / 1000;
      g_assert_cmpint (ms, <, ROUTE_TIMEOUT_MS);
      g_assert_cmpuint (
          site_disconnects (site, 0) + site_disconnects (site, 1), >, before);
    }
}

static void
test_refused_resume_is_not_complete (void)
{
  struct web *w
      = site_request (site, 0, "POST", "/stream/stream-gone", "gone-1");
  g_assert_false (w->complete);
  g_assert_cmpstr (w->body->str, ==, TWO_EVENTS);
  web_close (w);
}

/* The upstream pauses, and its hedge refuses to resume the stream.  */
static void
test_refused_hedge_keeps_stream (void)
{
  g_assert_cmpuint (expect_whole ("/stream/stream-gap-gone", "gone-2"), ==, 2);
}

/* The stream breaks off, and the next upstream does not continue it.  */
static void
test_error_of_next_upstream_is_not_in_stream (void)
{
  static const char *const directives[]
      = { "stream-error", "stream-busy", "stream-not-run", "stream-page",
          "stream-other" };
  for (size_t i = 0; i < G_N_ELEMENTS (directives); i++)
    {
      g_autofree char *path = g_strdup_printf ("/stream/%s", directives[i]);
      struct web *w = site_request (site, 0, "POST", path, directives[i]);
      g_test_message ("%s", directives[i]);
      g_assert_cmpint (w->status, ==, 200);
      g_assert_false (w->complete);
      g_assert_cmpstr (w->body->str, ==, TWO_EVENTS);
      web_close (w);
    }
}

/* The stream pauses, and its hedge does not continue it.  */
static void
test_error_of_hedge_is_not_in_stream (void)
{
  g_assert_cmpuint (expect_whole ("/stream/stream-gap-error", "gap-1"), ==, 2);
  g_assert_cmpuint (expect_whole ("/stream/stream-gap-page", "gap-2"), ==, 2);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  site = site_create (program_directory (), VMS, UPSTREAMS);
  site_start (site);
  g_test_add_func ("/response-ends/whole-without-length",
                   test_whole_without_length);
  g_test_add_func ("/response-ends/closed-inside-event-is-not-complete",
                   test_closed_inside_event_is_not_complete);
  g_test_add_func ("/response-ends/closed-before-first-event-is-not-success",
                   test_closed_before_first_event_is_not_success);
  g_test_add_func ("/response-ends/last-chunk-inside-event-is-not-complete",
                   test_last_chunk_inside_event_is_not_complete);
  g_test_add_func ("/response-ends/reset-between-events-is-not-complete",
                   test_reset_between_events_is_not_complete);
  g_test_add_func ("/response-ends/truncated-stream-resumes-elsewhere",
                   test_truncated_stream_resumes_elsewhere);
  g_test_add_func ("/response-ends/stream-without-event-is-repeated",
                   test_stream_without_event_is_repeated);
  g_test_add_func ("/response-ends/truncated-events-on-plain-routes",
                   test_truncated_events_on_plain_routes);
  g_test_add_func ("/response-ends/closed-inside-head-is-not-success",
                   test_closed_inside_head_is_not_success);
  g_test_add_func ("/response-ends/http10-caller-sees-reset",
                   test_http10_caller_sees_reset);
  g_test_add_func ("/response-ends/http10-caller-of-killed-vm-sees-reset",
                   test_http10_caller_of_killed_vm_sees_reset);
  g_test_add_func ("/response-ends/endless-responses-are-cut-off",
                   test_endless_responses_are_cut_off);
  g_test_add_func ("/response-ends/refused-resume-is-not-complete",
                   test_refused_resume_is_not_complete);
  g_test_add_func ("/response-ends/error-of-next-upstream-is-not-in-stream",
                   test_error_of_next_upstream_is_not_in_stream);
  g_test_add_func ("/response-ends/error-of-hedge-is-not-in-stream",
                   test_error_of_hedge_is_not_in_stream);
  g_test_add_func ("/response-ends/refused-hedge-keeps-stream",
                   test_refused_hedge_keeps_stream);
  int result = g_test_run ();
  site_destroy (site);
  return result;
}
