/** @file
    Connections that hang (stay open and pass no more bytes) while new ones
    work, engine connections that break, VMs that are killed or frozen in
    mid-stream: each stream completes or, where its VM is down, can be resumed
    through another VM.  */
#include "process/common.h"

#include "harness/relay.h"

#include <signal.h>
#include <string.h>

/* A hung connection is detected within 3 s (PEER_UNRESPONSIVE_MS,
   ENGINE_STREAM_STALL_MS), and the stream completes soon after.  */
#define STREAM_TIMEOUT_MS 20000
#define STREAM_TOKENS 200
#define VMS 4

static struct fleet *fleet;
static struct relay *kv_relay, *service_relay, *engine_relays[3];

/* Starts a stream through VM number VM and reads its first 10 events.  */
static struct web *
open_stream (unsigned vm)
{
  g_autofree char *body
      = fleet_chat_body ("A long answer", STREAM_TOKENS, true);
  struct web *w = web_send_request (fleet->http_addresses[vm], "POST",
                                    "/v1/chat/completions", FLEET_CALLER_KEY,
                                    NULL, body);
  web_read_events (w, 10, STREAM_TIMEOUT_MS);
  return w;
}

/* Reads stream W to its end and closes it; fails the test unless it has all
   tokens, as an engine generated them.  */
static void
check_complete (struct web *w)
{
  web_read_response (w, STREAM_TIMEOUT_MS);
  struct stream_text *t = stream_text_create ();
  size_t at = 0;
  stream_text_add (t, w->body, &at);
  g_assert_true (t->done && !t->error);
  g_assert_cmpuint (t->events, ==, STREAM_TOKENS + 1);
  g_assert_true (engine_text_matches (fleet, t->last_id, t->text->str));
  stream_text_destroy (t);
  web_close (w);
}

/* All connections to engines hang in mid-stream.  */
static void
test_engine_connections_hang (void)
{
  for (unsigned vm = 0; vm < VMS; vm++)
    {
      struct web *w = open_stream (vm);
      for (unsigned i = 0; i < 3; i++)
        relay_blackhole (engine_relays[i]);
      check_complete (w);
    }
}

/* All connections to engines break in mid-stream.  */
static void
test_engine_connections_break (void)
{
  struct web *w = open_stream (0);
  for (unsigned i = 0; i < 3; i++)
    relay_close_connections (engine_relays[i], FALSE);
  check_complete (w);
}

/* All connections to the key-value service hang: a booking right after gets
   201 only if it ran and 503 only if it did not, and its repeats succeed.  */
static void
test_kv_connections_hang (void)
{
  g_assert_cmpint (request_booking (fleet, 0, "before", NULL), ==, 201);
  relay_blackhole (kv_relay);
  int status = request_booking (fleet, 0, "after", NULL);
  unsigned runs = service_runs (fleet, "after");
  g_assert_true (status == 201 || status == 503);
  g_assert_cmpuint (runs, ==, status == 201 ? 1 : 0);
  for (unsigned i = 0; i < 100 && status != 201; i++)
    {
      g_usleep (100000);
      status = request_booking (fleet, 1, "after", NULL);
    }
  g_assert_cmpint (status, ==, 201);
  g_assert_cmpuint (service_runs (fleet, "after"), ==, 1);
}

/* All connections to the service hang: a booking, which must not be sent
   twice, is sent on a new connection and so does not get lost.  */
static void
test_service_connections_hang (void)
{
  for (unsigned i = 0; i < 5; i++)
    {
      g_autofree char *key = g_strdup_printf ("service-%u", i);
      relay_blackhole (service_relay);
      g_assert_cmpint (request_booking (fleet, i % VMS, key, NULL), ==, 201);
    }
}

/* Closes W, resumes its stream through VM number VM after the last event that
   came, and checks that the stream is complete.  */
static void
resume_stream (struct web *w, unsigned vm)
{
  struct stream_text *t = stream_text_create ();
  size_t at = 0;
  stream_text_add (t, w->body, &at);
  g_assert_nonnull (t->last_id);
  g_autofree char *header
      = g_strdup_printf ("Last-Event-ID: %s\r\n", t->last_id);
  g_autofree char *id = g_strdup (t->last_id);
  *strrchr (id, ':') = '\0';
  g_autofree char *path = g_strdup_printf ("/v1/streams/%s", id);
  web_close (w);
  w = web_send_request (fleet->http_addresses[vm], "GET", path,
                        FLEET_CALLER_KEY, header, NULL);
  web_read_response (w, STREAM_TIMEOUT_MS);
  at = 0;
  stream_text_add (t, w->body, &at);
  if (!t->done || t->error || t->events != STREAM_TOKENS + 1)
    g_error ("stream incomplete after the resume: status %d, body %s",
             w->status, w->body->str);
  g_assert_true (engine_text_matches (fleet, t->last_id, t->text->str));
  stream_text_destroy (t);
  web_close (w);
}

/* The caller's connection hangs in mid-stream: the stream is resumed through
   another VM, and the first VM has no stream open soon after.  */
static void
test_caller_connection_hangs (void)
{
  struct relay *relay = relay_create (fleet->http_addresses[1]);
  g_autofree char *body
      = fleet_chat_body ("A long answer", STREAM_TOKENS, true);
  struct web *w = web_send_request (relay_address (relay), "POST",
                                    "/v1/chat/completions", FLEET_CALLER_KEY,
                                    NULL, body);
  web_read_events (w, 10, STREAM_TIMEOUT_MS);
  relay_blackhole (relay);
  web_read_response (w, 1000);
  g_assert_false (w->complete);
  resume_stream (w, 2);
  relay_destroy (relay);
  for (unsigned i = 0; fleet_metric (fleet, 1, "streams_open") > 0; i++)
    {
      g_assert_cmpuint (i, <, 200);
      g_usleep (100000);
    }
}

/* Each VM in turn is killed while streams run through all: those through other
   VMs complete, and the one through the killed VM is resumed through another
   one.  */
static void
test_vm_killed (void)
{
  for (unsigned target = 0; target < VMS; target++)
    {
      struct web *streams[VMS];
      for (unsigned vm = 0; vm < VMS; vm++)
        streams[vm] = open_stream (vm);
      proc_kill (fleet->vms[target]);
      web_read_response (streams[target], 1000);
      resume_stream (streams[target], (target + 1) % VMS);
      for (unsigned vm = 0; vm < VMS; vm++)
        if (vm != target)
          check_complete (streams[vm]);
      fleet_start_vm (fleet, target);
      g_assert_true (wait_revision (fleet, target, 1, 15000));
      g_usleep (500000);
    }
}

/* Each VM in turn is frozen while streams run through all: those through other
   VMs complete, and the one through the frozen VM is resumed through another
   one.  */
static void
test_vm_frozen (void)
{
  for (unsigned target = 0; target < VMS; target++)
    {
      struct web *streams[VMS];
      for (unsigned vm = 0; vm < VMS; vm++)
        streams[vm] = open_stream (vm);
      proc_signal (fleet->vms[target], SIGSTOP);
      for (unsigned vm = 0; vm < VMS; vm++)
        if (vm != target)
          check_complete (streams[vm]);
      resume_stream (streams[target], (target + 1) % VMS);
      proc_signal (fleet->vms[target], SIGCONT);
      g_usleep (1000000);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  struct fleet_shape shape = fleet_shape_small ();
  shape.vms = VMS;
  fleet = fleet_create (program_directory (), &shape);
  kv_relay = relay_insert (&fleet->kv_configured_address);
  service_relay = relay_insert (&fleet->service_configured_address);
  for (unsigned i = 0; i < 3; i++)
    engine_relays[i] = relay_insert (&fleet->engine_configured_address[i]);
  fleet_start (fleet);
  fleet_apply (fleet);
  g_test_add_func ("/silent/engine-link", test_engine_connections_hang);
  g_test_add_func ("/silent/engine-connections-break",
                   test_engine_connections_break);
  g_test_add_func ("/silent/kv-link", test_kv_connections_hang);
  g_test_add_func ("/silent/service-link", test_service_connections_hang);
  g_test_add_func ("/silent/caller-link", test_caller_connection_hangs);
  g_test_add_func ("/silent/killed", test_vm_killed);
  g_test_add_func ("/silent/frozen", test_vm_frozen);
  int code = g_test_run ();
  fleet_destroy (fleet);
  relay_destroy (kv_relay);
  relay_destroy (service_relay);
  for (unsigned i = 0; i < 3; i++)
    relay_destroy (engine_relays[i]);
  return code;
}
