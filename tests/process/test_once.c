/** @file
    Calls that run at most once (bookings with an idempotency key) while the
    service's responses or the writes to the key-value service are lost or
    late, the key-value service is down, and VMs are killed or frozen.  */
#include "process/common.h"

#include <signal.h>
#include <string.h>

static struct fleet *fleet;
static unsigned next_key;

static char *
new_key (void)
{
  return g_strdup_printf ("key-%u", ++next_key);
}

/* A booking that is repeated through any VM gets the first response again.  */
static void
test_replay (void)
{
  g_autofree char *key = new_key ();
  g_autofree char *first = NULL;
  g_assert_cmpint (request_booking (fleet, 0, key, &first), ==, 201);
  for (unsigned vm = 0; vm < fleet->shape.vms; vm++)
    {
      g_autofree char *replayed = NULL;
      g_assert_cmpint (request_booking (fleet, vm, key, &replayed), ==, 201);
      g_assert_cmpstr (replayed, ==, first);
    }
  g_assert_cmpuint (service_runs (fleet, key), ==, 1);
}

/* The service runs the booking and its response is lost: the outcome is
   reported as unknown (504), for repeats through any VM too, and the booking
   does not run again.  */
static void
test_lost_response (void)
{
  g_autofree char *key = new_key ();
  fleet_fault (fleet->service_address, "drop_replies=1");
  g_assert_cmpint (request_booking (fleet, 0, key, NULL), ==, 504);
  for (unsigned vm = 0; vm < fleet->shape.vms; vm++)
    g_assert_cmpint (request_booking (fleet, vm, key, NULL), ==, 504);
  g_assert_cmpuint (service_runs (fleet, key), ==, 1);
}

/* The service responds after the time-out: the caller gets 504, and a later
   query of the call returns the response.  */
static void
test_late_response (void)
{
  g_autofree char *key = new_key ();
  g_autofree char *path = g_strdup_printf ("/v1/calls/%s", key);
  fleet_fault (fleet->service_address, "reply_delay_ms=2500");
  g_assert_cmpint (request_booking (fleet, 0, key, NULL), ==, 504);
  fleet_fault (fleet->service_address, "reply_delay_ms=0");
  int status = 0;
  for (unsigned i = 0; i < 100 && status != 201; i++)
    {
      struct web *w = web_request (fleet->http_addresses[1], "GET", path,
                                   FLEET_CALLER_KEY, NULL, NULL);
      status = w->status;
      web_close (w);
      g_usleep (50000);
    }
  g_assert_cmpint (status, ==, 201);
  g_assert_cmpuint (service_runs (fleet, key), ==, 1);
}

/* The service's address refuses connections: the booking is reported as not
   run (503), and runs when it is repeated with the right address in force.  */
static void
test_service_down (void)
{
  g_autofree char *key = new_key ();
  g_autofree char *text = fleet_config_file (fleet, NULL);
  g_autoptr (GString) file = g_string_new (text);
  g_autofree char *unused_address = g_strdup_printf (
      "addresses: [127.0.0.1:%u]", proc_unused_port ("127.0.0.1"));
  g_autofree char *configured_address
      = g_strdup_printf ("addresses: [%s]", fleet->service_address);
  g_string_replace (file, configured_address, unused_address, 0);
  g_autofree char *path
      = fleet_write_file (fleet, "unused-address.yaml", file->str);
  g_assert_cmpint (fleet_ctl (fleet, 0, NULL, "apply", path, NULL), ==, 0);
  g_assert_cmpint (request_booking (fleet, 0, key, NULL), ==, 503);
  fleet_apply (fleet);
  g_assert_cmpint (request_booking (fleet, 1, key, NULL), ==, 201);
  g_assert_cmpuint (service_runs (fleet, key), ==, 1);
}

/* The key-value service carries out a write and its reply is lost: a booking
   runs at most once, exactly once if it got 201, and not at all if it got 503
   and its repeat did not succeed.  */
static void
test_lost_write_replies (void)
{
  unsigned succeeded = 0;
  for (unsigned i = 0; i < 12; i++)
    {
      g_autofree char *key = new_key ();
      fleet_fault (fleet->kv_address, "drop_writes=1");
      int first = request_booking (fleet, i % fleet->shape.vms, key, NULL);
      int second
          = request_booking (fleet, (i + 1) % fleet->shape.vms, key, NULL);
      g_assert_true (first == 201 || first == 503 || first == 409);
      g_assert_true (second == 201 || second == 409 || second == 503
                     || second == 504);
      succeeded += first == 201;
      g_assert_cmpuint (service_runs (fleet, key), <=, 1);
      g_assert_true (first != 201 || service_runs (fleet, key) == 1);
      if (first == 503 && second != 201)
        g_assert_cmpuint (service_runs (fleet, key), ==, 0);
    }
  fleet_fault (fleet->kv_address, "drop_writes=0");
  /* After a lost reply the VM reads the page back, so most bookings succeed
     at once.  */
  g_assert_cmpuint (succeeded, >, 6);
}

/* The key-value service drops the reply of a write and carries it out 400 ms
   later: the booking is refused as not run.  */
static void
test_late_writes (void)
{
  for (unsigned i = 0; i < 4; i++)
    {
      g_autofree char *key = new_key ();
      fleet_fault (fleet->kv_address, "late_ms=400");
      int first = request_booking (fleet, 0, key, NULL);
      fleet_fault (fleet->kv_address, "late_ms=0");
      g_assert_cmpint (first, ==, 503);
      g_assert_cmpuint (service_runs (fleet, key), ==, 0);
      g_usleep (600000);
      /* The claim of the key has been written by now, but the call was never
         sent to the service.  */
      int second = request_booking (fleet, 0, key, NULL);
      g_assert_true (second == 201 || second == 409 || second == 504);
      g_assert_cmpuint (service_runs (fleet, key), ==, second == 201 ? 1 : 0);
    }
}

/* The key-value service is down: bookings are refused at once with
   Retry-After, and streams still work.  */
static void
test_kv_outage (void)
{
  g_autofree char *key = new_key ();
  fleet_fault (fleet->kv_address, "refuse=1");
  gint64 start = g_get_monotonic_time ();
  struct web *w = web_request (fleet->http_addresses[0], "POST",
                               "/v1/services/booking/book", FLEET_CALLER_KEY,
                               "Idempotency-Key: outage\r\n", "{}");
  g_autofree char *retry_after = web_header (w, "Retry-After");
  g_assert_cmpint (w->status, ==, 503);
  g_assert_nonnull (retry_after);
  g_assert_cmpint (g_get_monotonic_time () - start, <, 2 * G_USEC_PER_SEC);
  web_close (w);
  check_stream (fleet, 1, 20);
  fleet_fault (fleet->kv_address, "refuse=0");
  g_assert_cmpuint (service_runs (fleet, "outage"), ==, 0);
  g_assert_cmpint (request_booking (fleet, 0, "outage", NULL), ==, 201);
}

/* One booking, sent by a thread of its own.  */
struct booking
{
  unsigned vm;
  char *key;
  int status;
};

static gpointer
run_booking (gpointer arg)
{
  struct booking *b = arg;
  b->status = request_booking (fleet, b->vm, b->key, NULL);
  return NULL;
}

/* Sends SIGNAL, SIGKILL or SIGSTOP, to VM number TARGET while bookings through
   all VMs are at the service, and repeats each through another VM.  No booking
   may run twice, and each that got 201 must have run.  */
static void
check_vm_failure (unsigned target, int signal)
{
  g_autoptr (GPtrArray) threads = g_ptr_array_new ();
  struct booking bookings[9];
  fleet_fault (fleet->service_address, "reply_delay_ms=700");
  for (unsigned i = 0; i < G_N_ELEMENTS (bookings); i++)
    {
      bookings[i] = (struct booking){ i % fleet->shape.vms, new_key (), 0 };
      g_ptr_array_add (threads,
                       g_thread_new ("booking", run_booking, &bookings[i]));
    }
  g_usleep (300000);
  if (signal == SIGKILL)
    proc_kill (fleet->vms[target]);
  else
    proc_signal (fleet->vms[target], signal);
  for (guint i = 0; i < threads->len && signal == SIGKILL; i++)
    g_thread_join (g_ptr_array_index (threads, i));
  fleet_fault (fleet->service_address, "reply_delay_ms=0");
  for (unsigned i = 0; i < G_N_ELEMENTS (bookings); i++)
    {
      unsigned vm = (target + 1 + i % 2) % fleet->shape.vms;
      int status = request_booking (fleet, vm, bookings[i].key, NULL);
      unsigned runs = service_runs (fleet, bookings[i].key);
      g_assert_cmpuint (runs, <=, 1);
      if (status == 201)
        g_assert_cmpuint (runs, ==, 1);
      g_assert_true (status == 201 || status == 409 || status == 504
                     || status == 503);
    }
  if (signal == SIGSTOP)
    {
      proc_signal (fleet->vms[target], SIGCONT);
      for (guint i = 0; i < threads->len; i++)
        g_thread_join (g_ptr_array_index (threads, i));
    }
  else
    fleet_start_vm (fleet, target);
  g_assert_true (wait_revision (fleet, target, 1, 20000));
  for (unsigned i = 0; i < G_N_ELEMENTS (bookings); i++)
    {
      unsigned runs = service_runs (fleet, bookings[i].key);
      g_assert_cmpuint (runs, <=, 1);
      /* The first attempt got 201 only if the booking ran.  */
      if (bookings[i].status == 201)
        g_assert_cmpuint (runs, ==, 1);
      g_free (bookings[i].key);
    }
}

static void
test_vm_killed (void)
{
  for (unsigned vm = 0; vm < fleet->shape.vms; vm++)
    check_vm_failure (vm, SIGKILL);
}

static void
test_vm_frozen (void)
{
  for (unsigned vm = 0; vm < fleet->shape.vms; vm++)
    check_vm_failure (vm, SIGSTOP);
}

/* Six bookings with the same key, sent at once through all VMs, run once.  */
static void
test_race (void)
{
  for (unsigned round = 0; round < 10; round++)
    {
      g_autofree char *key = new_key ();
      struct booking bookings[6];
      GThread *threads[6];
      for (unsigned i = 0; i < 6; i++)
        {
          bookings[i] = (struct booking){ i % fleet->shape.vms, key, 0 };
          threads[i] = g_thread_new ("booking", run_booking, &bookings[i]);
        }
      unsigned succeeded = 0;
      for (unsigned i = 0; i < 6; i++)
        {
          g_thread_join (threads[i]);
          succeeded += bookings[i].status == 201;
        }
      g_assert_cmpuint (succeeded, >=, 1);
      g_assert_cmpuint (service_runs (fleet, key), ==, 1);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  struct fleet_shape shape = fleet_shape_small ();
  shape.vms = 4;
  fleet = fleet_create (program_directory (), &shape);
  fleet_start (fleet);
  fleet_apply (fleet);
  g_test_add_func ("/once/once", test_replay);
  g_test_add_func ("/once/race", test_race);
  g_test_add_func ("/once/lost-answer", test_lost_response);
  g_test_add_func ("/once/late-answer", test_late_response);
  g_test_add_func ("/once/service-down", test_service_down);
  g_test_add_func ("/once/lost-writes", test_lost_write_replies);
  g_test_add_func ("/once/late-writes", test_late_writes);
  g_test_add_func ("/once/outage", test_kv_outage);
  g_test_add_func ("/once/killed", test_vm_killed);
  g_test_add_func ("/once/frozen", test_vm_frozen);
  int code = g_test_run ();
  fleet_destroy (fleet);
  return code;
}
