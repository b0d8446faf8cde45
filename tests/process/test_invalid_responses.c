/** @file
    Process tests of responses that are not valid: status lines that are not
    of HTTP/1 or have no status from 100 to 599, and responses that begin
    while the VM still writes the upload and end after a part of their body.
    A caller that got either would take it for the upstream's response.  */
#include "harness/site.h"
#include "process/common.h"

#include <string.h>
#include <sys/socket.h>

#define TIMEOUT_MS 15000
/* Time-out of the routes.  */
#define ROUTE_TIMEOUT_MS 8000
#define VMS 3
#define UPSTREAMS 2
/* More than the socket buffers of both ends hold.  */
#define UPLOAD_BYTES 12000000
#define MAX_BODY_BYTES (UPLOAD_BYTES + 1000000)
/* Longest time from an invalid status line to the end of the attempt; far less
   than the time-out of the routes.  */
#define NOTICED_MS 1000
/* Budget that no test here uses up.  */
#define RETRY_SLACK 100000
#define TWO_EVENTS "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
#define FIVE_EVENTS                                                           \
  TWO_EVENTS                                                                  \
  "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"

static struct site *site;
static unsigned request_count;

/* Directives for status lines that are not valid.  */
static const char *const invalid_lines[]
    = { "status-600",  "status-999",   "status-000",   "status-099",
        "status-2OO",  "status-2000",  "status--200",  "status-0200",
        "status-20",   "status-+20",   "status-",      "status-700",
        "version-0.9", "version-2.0",  "version-3.1",  "version-11.1",
        "version-1",   "version-01.1", "version-1.01", "no-head" };

static char *
next_id (void)
{
  return g_strdup_printf ("invalid-%u", ++request_count);
}

static unsigned
closed_by_vms (void)
{
  return site_disconnects (site, 0) + site_disconnects (site, 1);
}

/* Expects "the outcome is unknown" soon, one run and a closed connection.  */
static void
expect_unknown (const char *route, const char *line)
{
  g_autofree char *id = next_id ();
  g_autofree char *path = g_strdup_printf ("/%s/%s", route, line);
  unsigned closed = closed_by_vms ();
  gint64 start_us = g_get_monotonic_time ();
  struct web *w = site_request (site, request_count % VMS, "POST", path, id);
  gint64 ms = (g_get_monotonic_time () - start_us) / 1000;
  g_test_message ("%s: %d after %d ms", path, w->status, (int)ms);
  g_assert_true (w->complete);
  g_assert_cmpint (w->status, ==, 502);
  g_assert_cmpint (ms, <, NOTICED_MS);
  g_assert_cmpuint (site_runs (site, -1, id), ==, 1);
  g_assert_cmpuint (closed_by_vms (), >, closed);
  web_close (w);
}

/* One of the instances sends LINE: the caller gets the other's response.  */
static void
expect_retry (const char *route, const char *line, unsigned instance)
{
  g_autofree char *id = next_id ();
  bool events = strcmp (route, "stream") == 0;
  g_autofree char *path
      = g_strdup_printf ("/%s/%s@u%u", route, line, instance);
  g_autofree char *echo = g_strdup_printf ("POST %s ", path);
  struct web *w = site_request (site, request_count % VMS, "POST", path, id);
  g_test_message ("%s: %d", path, w->status);
  g_assert_true (w->complete);
  g_assert_cmpint (w->status, ==, 200);
  g_assert_true (g_str_has_prefix (w->body->str, echo));
  g_assert_cmpuint (site_runs (site, -1, id), <=, 2);
  g_assert_true (!events || site_runs (site, -1, id) >= 1);
  web_close (w);
}

/* Guards against 600 and above that are passed on to callers, a status below
   100 that is waited out as an interim response, and other near-valid status
   lines that one parser accepts and another does not.  */
static void
test_invalid_status_lines (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (invalid_lines); i++)
    {
      expect_unknown ("once", invalid_lines[i]);
      expect_unknown ("live", invalid_lines[i]);
      for (unsigned u = 0; u < UPSTREAMS; u++)
        {
          expect_retry ("safe", invalid_lines[i], u);
          expect_retry ("stream", invalid_lines[i], u);
        }
    }
}

/* The rule must not refuse the status codes at the bounds of the valid range
   that callers may get.  */
static void
test_valid_status_lines (void)
{
  static const char *const lines[] = { "200", "226", "300", "404", "599" };
  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    {
      g_autofree char *id = next_id ();
      g_autofree char *path = g_strdup_printf ("/once/full-%s", lines[i]);
      g_autofree char *shown = g_strdup_printf ("HTTP/1.1 %s ", lines[i]);
      struct web *w = site_request (site, 0, "POST", path, id);
      g_assert_true (w->complete);
      g_assert_true (g_str_has_prefix (w->head->str, shown));
      g_assert_cmpstr (w->body->str, ==, "odd\n");
      web_close (w);
    }
}

static void
send_bytes (struct web *w, const char *text, size_t n)
{
  while (n > 0)
    {
      ssize_t sent = send (w->fd, text, n, MSG_NOSIGNAL);
      if (sent <= 0)
        return;
      text += sent;
      n -= (size_t)sent;
    }
}

/* Sends a POST with UPLOAD_BYTES, as chunks if CHUNKED, and reads the
   response.  */
static struct web *
upload (const char *path, const char *id, bool chunked)
{
  g_autofree char *body = g_strnfill (UPLOAD_BYTES, 'b');
  unsigned vm = request_count % VMS;
  struct web *w
      = site_send_request (site, vm, "POST", path, id,
                           chunked ? "Transfer-Encoding: chunked\r\n" : NULL,
                           chunked ? NULL : body);
  if (chunked)
    {
      g_autofree char *size = g_strdup_printf ("%x\r\n", UPLOAD_BYTES / 2);
      for (unsigned i = 0; i < 2; i++)
        {
          send_bytes (w, size, strlen (size));
          send_bytes (w, body, UPLOAD_BYTES / 2);
          send_bytes (w, "\r\n", 2);
        }
      send_bytes (w, "0\r\n\r\n", 5);
    }
  web_read_response (w, TIMEOUT_MS);
  g_test_message ("%s by vm%u, chunked %d: %d, complete %d", path, vm, chunked,
                  w->status, w->complete);
  return w;
}

/* Ends of a part of a response; all but an unframed one that is half-closed
   also show without regard to the upload.  */
static const char *const early_ends[]
    = { "unframed-reset", "unframed-half", "unframed-close",
        "sized-reset",    "sized-half",    "sized-close",
        "chunked-reset",  "chunked-half",  "chunked-close" };

/* Expects that the response to a plain request that begins as KIND says is not
   taken for complete: unknown on a route that is not repeated, and the other
   instance's on one that is.  */
static void
check_plain (const char *kind, bool chunked)
{
  g_autofree char *id = next_id ();
  g_autofree char *once = g_strdup_printf ("/once/%s", kind);
  struct web *w = upload (once, id, chunked);
  g_assert_true (w->complete);
  g_assert_cmpint (w->status, ==, 502);
  g_assert_cmpuint (site_runs (site, -1, id), ==, 1);
  web_close (w);
  for (unsigned u = 0; u < UPSTREAMS; u++)
    {
      g_autofree char *safe_id = next_id ();
      g_autofree char *safe = g_strdup_printf ("/safe/%s@u%u", kind, u);
      g_autofree char *echo
          = g_strdup_printf ("POST %s %d ", safe, UPLOAD_BYTES);
      w = upload (safe, safe_id, chunked);
      g_assert_true (w->complete);
      g_assert_cmpint (w->status, ==, 200);
      g_assert_true (g_str_has_prefix (w->body->str, echo));
      web_close (w);
    }
}

/* The same for streams.  Two events were sent, if the VM read them before it
   saw the end of the connection.  */
static void
check_events (const char *kind, bool chunked)
{
  g_autofree char *id = next_id ();
  g_autofree char *live = g_strdup_printf ("/live/%s", kind);
  struct web *w = upload (live, id, chunked);
  g_assert_true (w->status == 502 || !w->complete);
  g_assert_true (w->status == 502 || strcmp (w->body->str, TWO_EVENTS) == 0);
  g_assert_cmpuint (site_runs (site, -1, id), ==, 1);
  web_close (w);
  for (unsigned u = 0; u < UPSTREAMS; u++)
    {
      g_autofree char *stream_id = next_id ();
      g_autofree char *stream = g_strdup_printf ("/stream/%s@u%u", kind, u);
      w = upload (stream, stream_id, chunked);
      g_assert_true (w->complete);
      g_assert_cmpint (w->status, ==, 200);
      g_assert_cmpstr (w->body->str, ==, FIVE_EVENTS);
      web_close (w);
    }
}

/* Guards against the start of a 200 that is taken for a whole response, where
   the end of the connection would delimit it, although the upstream has not
   got the whole request.  */
static void
test_part_during_upload (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (early_ends); i++)
    for (unsigned chunked = 0; chunked < 2; chunked++)
      {
        g_autofree char *kind = g_strdup_printf ("early-%s", early_ends[i]);
        check_plain (kind, chunked);
      }
}

static void
test_events_during_upload (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (early_ends); i++)
    {
      g_autofree char *kind
          = g_strdup_printf ("stream-early-events-%s", early_ends[i]);
      check_events (kind, i % 2 == 1);
    }
}

/* The upstream is silent first, so that a second attempt runs beside it.  */
static void
test_part_with_hedge (void)
{
  for (size_t i = 0; i < 3; i++)
    {
      g_autofree char *id = next_id ();
      g_autofree char *both
          = g_strdup_printf ("/safe/early-late-%s", early_ends[i]);
      struct web *w = upload (both, id, i % 2 == 1);
      g_assert_true (w->status != 200 || !w->complete);
      web_close (w);
      for (unsigned u = 0; u < UPSTREAMS; u++)
        {
          g_autofree char *one_id = next_id ();
          g_autofree char *one = g_strdup_printf ("%s@u%u", both, u);
          g_autofree char *echo
              = g_strdup_printf ("POST %s %d ", one, UPLOAD_BYTES);
          w = upload (one, one_id, i % 2 == 1);
          g_assert_cmpint (w->status, ==, 200);
          g_assert_true (w->complete);
          g_assert_true (g_str_has_prefix (w->body->str, echo));
          web_close (w);
        }
    }
}

/* The same for streams: the caller gets the whole stream of one instance, or
   sees that the part is not complete.  */
static void
test_events_with_hedge (void)
{
  for (size_t i = 0; i < 3; i++)
    {
      g_autofree char *kind
          = g_strdup_printf ("stream-early-late-events-%s", early_ends[i]);
      check_events (kind, i % 2 == 1);
    }
}

/* Whether the VM of number ARG has a retry budget for the service, which it
   gets only after the first request for it.  */
static bool
may_retry (void *arg)
{
  bool retried = true;
  for (unsigned u = 0; u < UPSTREAMS; u++)
    {
      g_autofree char *id = next_id ();
      g_autofree char *path = g_strdup_printf ("/safe/cut@u%u", u);
      struct web *w
          = site_request (site, GPOINTER_TO_UINT (arg), "POST", path, id);
      retried = retried && w->status == 200;
      web_close (w);
    }
  return retried;
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  site = site_create (program_directory (), VMS, UPSTREAMS);
  site->max_body_bytes = MAX_BODY_BYTES;
  site->timeout_ms = ROUTE_TIMEOUT_MS;
  site->retry_slack = RETRY_SLACK;
  site_write_routes (site, 2, NULL);
  site_start (site);
  for (unsigned i = 0; i < VMS; i++)
    site_wait (may_retry, GUINT_TO_POINTER (i), TIMEOUT_MS);
  g_test_add_func ("/invalid-responses/status-lines",
                   test_invalid_status_lines);
  g_test_add_func ("/invalid-responses/valid-status-lines",
                   test_valid_status_lines);
  g_test_add_func ("/invalid-responses/part-during-upload",
                   test_part_during_upload);
  g_test_add_func ("/invalid-responses/events-during-upload",
                   test_events_during_upload);
  g_test_add_func ("/invalid-responses/part-with-hedge", test_part_with_hedge);
  g_test_add_func ("/invalid-responses/events-with-hedge",
                   test_events_with_hedge);
  int result = g_test_run ();
  site_destroy (site);
  return result;
}
