/** @file
    Connections that go silent for good while new ones work, VMs that are
    killed or frozen in mid-stream, engines that lose a connection: each stream
    ends whole, or, where its VM is gone, can be gone on with.  */
#include "process/common.h"

#include "harness/relay.h"

#include <signal.h>
#include <string.h>

/* A silent connection is found within 3 s (PEER_UNRESPONSIVE_MS,
   ENGINE_STREAM_STALL_MS), and the stream is whole soon after.  */
#define STREAM_MS 20000
#define TOKENS 200
#define VMS 4

static struct fleet *fleet;
static struct relay *kv_relay, *service_relay, *engine_relays[3];

static struct web *
open_stream (unsigned vm)
{
  g_autofree char *body = fleet_chat_body ("A long answer", TOKENS, true);
  struct web *w
      = web_open (fleet->http_addresses[vm], "POST", "/v1/chat/completions",
                  FLEET_CALLER_KEY, NULL, body);
  web_read_events (w, 10, STREAM_MS);
  return w;
}

static void
check_whole (struct web *w)
{
  web_finish (w, STREAM_MS);
  struct stream_text *t = stream_text_create ();
  size_t at = 0;
  stream_text_add (t, w->body, &at);
  g_assert_true (t->done && !t->error);
  g_assert_cmpuint (t->events, ==, TOKENS + 1);
  g_assert_true (engines_gave (fleet, t->last_id, t->text->str));
  stream_text_destroy (t);
  web_close (w);
}

/* The connections to all engines are forgotten in mid-stream.  */
static void
test_engine_link (void)
{
  for (unsigned vm = 0; vm < VMS; vm++)
    {
      struct web *w = open_stream (vm);
      for (unsigned i = 0; i < 3; i++)
        relay_forget (engine_relays[i]);
      check_whole (w);
    }
}

static void
test_engine_cut (void)
{
  struct web *w = open_stream (0);
  for (unsigned i = 0; i < 3; i++)
    relay_cut (engine_relays[i], FALSE);
  check_whole (w);
}

/* The key-value service's connections are forgotten: a booking right after is
   answered in truth, and those that follow run.  */
static void
test_kv_link (void)
{
  g_assert_cmpint (book (fleet, 0, "before", NULL), ==, 201);
  relay_forget (kv_relay);
  int status = book (fleet, 0, "after", NULL);
  unsigned runs = runs_of (fleet, "after");
  g_assert_true (status == 201 || status == 503);
  g_assert_cmpuint (runs, ==, status == 201 ? 1 : 0);
  for (unsigned i = 0; i < 100 && status != 201; i++)
    {
      g_usleep (100000);
      status = book (fleet, 1, "after", NULL);
    }
  g_assert_cmpint (status, ==, 201);
  g_assert_cmpuint (runs_of (fleet, "after"), ==, 1);
}

/* A service call that may not be repeated goes out on a new connection, so a
   forgotten one does not make it unknown.  */
static void
test_service_link (void)
{
  for (unsigned i = 0; i < 5; i++)
    {
      g_autofree char *key = g_strdup_printf ("service-%u", i);
      relay_forget (service_relay);
      g_assert_cmpint (book (fleet, i % VMS, key, NULL), ==, 201);
    }
}

static void
go_on (struct web *w, unsigned vm)
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
  w = web_open (fleet->http_addresses[vm], "GET", path, FLEET_CALLER_KEY,
                header, NULL);
  web_finish (w, STREAM_MS);
  at = 0;
  stream_text_add (t, w->body, &at);
  if (!t->done || t->error || t->events != TOKENS + 1)
    g_error ("not whole after the resume: status %d %s", w->status,
             w->body->str);
  g_assert_true (engines_gave (fleet, t->last_id, t->text->str));
  stream_text_destroy (t);
  web_close (w);
}

/* The caller's own connection is forgotten in mid-stream: it goes on at
   another VM, and nothing stays behind at the first.  */
static void
test_caller_link (void)
{
  struct relay *relay = relay_create (fleet->http_addresses[1]);
  g_autofree char *body = fleet_chat_body ("A long answer", TOKENS, true);
  struct web *w
      = web_open (relay_address (relay), "POST", "/v1/chat/completions",
                  FLEET_CALLER_KEY, NULL, body);
  web_read_events (w, 10, STREAM_MS);
  relay_forget (relay);
  web_finish (w, 1000);
  g_assert_false (w->whole);
  go_on (w, 2);
  relay_destroy (relay);
  for (unsigned i = 0; fleet_metric (fleet, 1, "streams_open") > 0; i++)
    {
      g_assert_cmpuint (i, <, 200);
      g_usleep (100000);
    }
}

/* Each VM in turn is killed while streams run through all: those through
   others end whole by themselves; its own are gone on with elsewhere.  */
static void
test_killed (void)
{
  for (unsigned victim = 0; victim < VMS; victim++)
    {
      struct web *streams[VMS];
      for (unsigned vm = 0; vm < VMS; vm++)
        streams[vm] = open_stream (vm);
      proc_kill (fleet->vms[victim]);
      web_finish (streams[victim], 1000);
      go_on (streams[victim], (victim + 1) % VMS);
      for (unsigned vm = 0; vm < VMS; vm++)
        if (vm != victim)
          check_whole (streams[vm]);
      fleet_start_vm (fleet, victim);
      g_assert_true (wait_revision (fleet, victim, 1, 15000));
      g_usleep (500000);
    }
}

static void
test_frozen (void)
{
  for (unsigned victim = 0; victim < VMS; victim++)
    {
      struct web *streams[VMS];
      for (unsigned vm = 0; vm < VMS; vm++)
        streams[vm] = open_stream (vm);
      proc_signal (fleet->vms[victim], SIGSTOP);
      for (unsigned vm = 0; vm < VMS; vm++)
        if (vm != victim)
          check_whole (streams[vm]);
      go_on (streams[victim], (victim + 1) % VMS);
      proc_signal (fleet->vms[victim], SIGCONT);
      g_usleep (1000000);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  programs_init (argv[0]);
  struct fleet_shape shape = fleet_shape_small ();
  shape.vms = VMS;
  fleet = fleet_create (programs (), &shape);
  kv_relay = relay_before (&fleet->kv_given);
  service_relay = relay_before (&fleet->service_given);
  for (unsigned i = 0; i < 3; i++)
    engine_relays[i] = relay_before (&fleet->engine_given[i]);
  fleet_start (fleet);
  fleet_apply (fleet);
  g_test_add_func ("/silent/engine-link", test_engine_link);
  g_test_add_func ("/silent/engine-cut", test_engine_cut);
  g_test_add_func ("/silent/kv-link", test_kv_link);
  g_test_add_func ("/silent/service-link", test_service_link);
  g_test_add_func ("/silent/caller-link", test_caller_link);
  g_test_add_func ("/silent/killed", test_killed);
  g_test_add_func ("/silent/frozen", test_frozen);
  int code = g_test_run ();
  fleet_destroy (fleet);
  relay_destroy (kv_relay);
  relay_destroy (service_relay);
  for (unsigned i = 0; i < 3; i++)
    relay_destroy (engine_relays[i]);
  return code;
}
