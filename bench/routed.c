/** @file
    Benchmark of routed requests, which one VM relays by the platform's routes,
    on loopback: processor time per request and per event, memory with open
    streams, and time until the VM is ready.  The baseline of a request is a
    chat completion through buckthornd in the same run.  "routed FOLDER" runs
    the programs in FOLDER.  */
#include "harness/fleet.h"
#include "harness/site.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#define REQUEST_COUNT 3000
#define REQUEST_BYTES 9000
#define STREAM_COUNT 200
#define STREAM_EVENTS 1000
#define OPEN_STREAMS 2000
#define RESPONSE_TIMEOUT_MS 10000
/* Targets, as in bench/bounds.  */
#define REQUEST_US_TARGET 150
#define EVENT_US_TARGET 5
#define OPEN_MIB_TARGET 64
#define READY_MS_TARGET 2000

static int exit_status;

static void
print_metric (const char *name, const char *metric, double value,
              const char *unit, double baseline)
{
  printf ("bench name=routed/%s metric=%s value=%.2f unit=%s baseline=%.2f "
          "ratio=%.2f\n",
          name, metric, value, unit, baseline, value / baseline);
}

static void
check_limit (const char *name, double value, double limit)
{
  printf ("bound name=routed/%s value=%.2f <= %.2f %s\n", name, value, limit,
          value <= limit ? "met" : "NOT MET");
  if (value > limit)
    exit_status = 1;
}

/* Sends one more request on the open connection of W and clears the previous
   response.  */
static void
send_next (struct web *w, const char *path, unsigned number, const char *body)
{
  g_autofree char *text = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: " SITE_HOST "\r\nX-Request-Id: %s-%u\r\n"
      "Content-Length: %zu\r\n\r\n%s",
      path, path, number, strlen (body), body);
  size_t n = strlen (text);
  w->status = 0;
  w->complete = false;
  g_string_truncate (w->head, 0);
  g_string_truncate (w->body, 0);
  if (send (w->fd, text, n, MSG_NOSIGNAL) != (ssize_t)n)
    g_error ("%s: sending a request on the open connection failed", path);
}

/* Sends N requests one after the other on one connection, as callers do.
   Returns the VM's processor time per request, in microseconds.  */
static double
request_us (const struct site *s, const char *path, unsigned n,
            unsigned body_bytes)
{
  g_autofree char *body = g_strnfill (body_bytes, 'p');
  struct web *w = site_send_request (s, 0, "POST", path, "first", NULL, body);
  web_read_response (w, RESPONSE_TIMEOUT_MS);
  gint64 before = proc_cpu_us (s->vms[0]);
  for (unsigned i = 0; i < n; i++)
    {
      send_next (w, path, i, body);
      web_read_response (w, RESPONSE_TIMEOUT_MS);
      if (w->status != 200 || !w->complete)
        g_error ("%s: expected a complete response with status 200, got: %s",
                 path, w->head->str);
    }
  double us = (double)(proc_cpu_us (s->vms[0]) - before) / n;
  web_close (w);
  return us;
}

/* Returns the VM's processor time, in microseconds, per chat completion with a
   stream of two tokens, each on a connection of its own.  */
static double
chat_completion_us (const char *bin)
{
  struct fleet_shape shape = fleet_shape_small ();
  shape.vms = 1;
  shape.regions = 1;
  shape.domains_per_region = 1;
  shape.token_ms = 1;
  shape.quiet = true;
  struct fleet *f = fleet_create (bin, &shape);
  fleet_start (f);
  fleet_apply (f);
  g_autofree char *prompt = g_strnfill (REQUEST_BYTES, 'p');
  g_autofree char *body = fleet_chat_body (prompt, 2, true);
  gint64 before = proc_cpu_us (f->vms[0]);
  unsigned n = REQUEST_COUNT / 10;
  for (unsigned i = 0; i < n; i++)
    {
      struct web *w = web_send_request (f->http_addresses[0], "POST",
                                        "/v1/chat/completions",
                                        FLEET_CALLER_KEY, NULL, body);
      web_read_response (w, RESPONSE_TIMEOUT_MS);
      web_close (w);
    }
  double us = (double)(proc_cpu_us (f->vms[0]) - before) / n;
  fleet_destroy (f);
  return us;
}

/* Returns the resident memory of the VM, in MiB, with OPEN_STREAMS open.  */
static double
open_streams_mib (const struct site *s)
{
  struct web **streams = g_new (struct web *, OPEN_STREAMS);
  for (unsigned i = 0; i < OPEN_STREAMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("held-%u", i);
      streams[i]
          = site_send_request (s, 0, "POST", "/live/held", id, NULL, NULL);
      web_read_events (streams[i], 1, RESPONSE_TIMEOUT_MS);
      if (streams[i]->status != 200)
        g_error ("stream %u: expected status 200, got: %s", i,
                 streams[i]->head->str);
    }
  double mib = (double)proc_rss_kib (s->vms[0]) / 1024;
  for (unsigned i = 0; i < OPEN_STREAMS; i++)
    web_close (streams[i]);
  g_free (streams);
  return mib;
}

static bool
vm_is_ready (void *arg)
{
  return site_is_ready (arg, 0);
}

int
main (int argc, char **argv)
{
  if (argc != 2)
    return 2;
  struct site *s = site_create (argv[1], 1, 2);
  s->quiet = true;
  s->slots = 2 * OPEN_STREAMS;
  for (unsigned i = 0; i < 2; i++)
    site_set_upstream_state (s, i, "ready");
  gint64 start = g_get_monotonic_time ();
  site_start_vm (s, 0);
  site_wait (vm_is_ready, s, RESPONSE_TIMEOUT_MS);
  double ready = (double)(g_get_monotonic_time () - start) / 1000;
  (void)request_us (s, "/live/two", REQUEST_COUNT / 10, REQUEST_BYTES);
  double request = request_us (s, "/live/two", REQUEST_COUNT, REQUEST_BYTES);
  double stream = request_us (s, "/live/fast", STREAM_COUNT, 0);
  double event = (stream - request) / STREAM_EVENTS;
  double mib = open_streams_mib (s);
  site_destroy (s);
  double chat_us = chat_completion_us (argv[1]);
  print_metric ("request", "processor", request, "us", chat_us);
  print_metric ("event", "processor", event, "us", EVENT_US_TARGET);
  print_metric ("open-streams", "memory", mib, "MiB", OPEN_MIB_TARGET);
  print_metric ("start", "ready", ready, "ms", READY_MS_TARGET);
  check_limit ("request", request, REQUEST_US_TARGET);
  check_limit ("event", event, EVENT_US_TARGET);
  check_limit ("open-streams", mib, OPEN_MIB_TARGET);
  check_limit ("ready", ready, READY_MS_TARGET);
  return exit_status;
}
