/** @file
    Cost of the routed path in one VM on loopback: processor time of a request
    and of an event, memory of open streams, time until it is ready.  The
    baseline of the first is the product's own path in the same run.
    "routed FOLDER".  */
#include "harness/fleet.h"
#include "harness/site.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#define REQUESTS 3000
#define REQUEST_BYTES 9000
#define STREAMS 200
#define STREAM_EVENTS 1000
#define OPEN_STREAMS 2000
#define ANSWER_MS 10000
/* Stated targets.  */
#define REQUEST_US_TARGET 150
#define EVENT_US_TARGET 5
#define OPEN_MIB_TARGET 64
#define READY_MS_TARGET 2000

static int status;

static void
show (const char *name, const char *metric, double value, const char *unit,
      double baseline)
{
  printf ("bench name=routed/%s metric=%s value=%.2f unit=%s baseline=%.2f "
          "ratio=%.2f\n",
          name, metric, value, unit, baseline, value / baseline);
}

static void
bound (const char *name, double value, double most)
{
  printf ("bound name=routed/%s value=%.2f <= %.2f %s\n", name, value, most,
          value <= most ? "met" : "NOT MET");
  if (value > most)
    status = 1;
}

/* Sends one more request on W's connection.  */
static void
send_again (struct web *w, const char *path, unsigned number, const char *body)
{
  g_autofree char *text = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: " SITE_HOST "\r\nX-Request-Id: %s-%u\r\n"
      "Content-Length: %zu\r\n\r\n%s",
      path, path, number, strlen (body), body);
  size_t n = strlen (text);
  w->status = 0;
  w->whole = false;
  g_string_truncate (w->head, 0);
  g_string_truncate (w->body, 0);
  if (send (w->fd, text, n, MSG_NOSIGNAL) != (ssize_t)n)
    g_error ("%s: the connection is gone", path);
}

/* Sends N requests one after the other on one connection, as callers do;
   processor time of the VM for each.  */
static double
request_us (const struct site *s, const char *path, unsigned n,
            unsigned body_bytes)
{
  g_autofree char *body = g_strnfill (body_bytes, 'p');
  struct web *w = site_send_request (s, 0, "POST", path, "first", NULL, body);
  web_read_response (w, ANSWER_MS);
  gint64 before = proc_cpu_us (s->vms[0]);
  for (unsigned i = 0; i < n; i++)
    {
      send_again (w, path, i, body);
      web_read_response (w, ANSWER_MS);
      if (w->status != 200 || !w->whole)
        g_error ("%s: %s", path, w->head->str);
    }
  double us = (double)(proc_cpu_us (s->vms[0]) - before) / n;
  web_close (w);
  return us;
}

/* The same of the product's own path, for a stream of two tokens.  */
static double
own_path_us (const char *bin)
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
  unsigned n = REQUESTS / 10;
  for (unsigned i = 0; i < n; i++)
    {
      struct web *w = web_send_request (f->http_addresses[0], "POST",
                                        "/v1/chat/completions",
                                        FLEET_CALLER_KEY, NULL, body);
      web_read_response (w, ANSWER_MS);
      web_close (w);
    }
  double us = (double)(proc_cpu_us (f->vms[0]) - before) / n;
  fleet_destroy (f);
  return us;
}

static double
open_mib (const struct site *s)
{
  struct web **streams = g_new (struct web *, OPEN_STREAMS);
  for (unsigned i = 0; i < OPEN_STREAMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("held-%u", i);
      streams[i]
          = site_send_request (s, 0, "POST", "/live/held", id, NULL, NULL);
      web_read_events (streams[i], 1, ANSWER_MS);
      if (streams[i]->status != 200)
        g_error ("stream %u: %s", i, streams[i]->head->str);
    }
  double mib = (double)proc_rss_kib (s->vms[0]) / 1024;
  for (unsigned i = 0; i < OPEN_STREAMS; i++)
    web_close (streams[i]);
  g_free (streams);
  return mib;
}

static bool
first_is_ready (void *arg)
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
  site_wait (first_is_ready, s, ANSWER_MS);
  double ready = (double)(g_get_monotonic_time () - start) / 1000;
  (void)request_us (s, "/live/two", REQUESTS / 10, REQUEST_BYTES);
  double request = request_us (s, "/live/two", REQUESTS, REQUEST_BYTES);
  double stream = request_us (s, "/live/fast", STREAMS, 0);
  double event = (stream - request) / STREAM_EVENTS;
  double mib = open_mib (s);
  site_destroy (s);
  double own = own_path_us (argv[1]);
  show ("request", "processor", request, "us", own);
  show ("event", "processor", event, "us", EVENT_US_TARGET);
  show ("open-streams", "memory", mib, "MiB", OPEN_MIB_TARGET);
  show ("start", "ready", ready, "ms", READY_MS_TARGET);
  bound ("request", request, REQUEST_US_TARGET);
  bound ("event", event, EVENT_US_TARGET);
  bound ("open-streams", mib, OPEN_MIB_TARGET);
  bound ("ready", ready, READY_MS_TARGET);
  return status;
}
