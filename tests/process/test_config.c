/** @file
    Applying a configuration file: invalid files, operators that apply at the
    same time, lost replies and outages of the key-value service, regions that
    are down, VMs that are replaced or frozen, files over 1 MB, drains.  */
#include "process/common.h"

#include <signal.h>
#include <string.h>

/* Time within which an applied file must be in force at all VMs.  */
#define IN_FORCE_MS 5000
/* Time after a drain from which the engine must get no new requests.  */
#define DRAIN_MS 3000

/* Exit codes of buckthornctl; schema/results.json has them all.  */
enum exit_code
{
  EXIT_OK = 0,
  EXIT_FILE_INVALID = 3,
  EXIT_CONFLICT = 4,
  EXIT_REGION_UNREACHABLE = 5,
  EXIT_COMMITTED_BEHIND = 6,
  EXIT_PLATFORM_DOWN = 7
};

static struct fleet *fleet;

/* Applies the fleet's configuration file with role_change_cost COST through VM
   number VM.  Returns the exit code of buckthornctl, and stores its output in
   OUT unless that is NULL.  */
static int
apply_cost (unsigned vm, unsigned cost, char **out)
{
  g_autofree char *extra = g_strdup_printf ("role_change_cost: %u\n", cost);
  g_autofree char *text = fleet_config_file (fleet, extra);
  g_autofree char *name = g_strdup_printf ("cost-%u-%u.yaml", vm, cost);
  g_autofree char *path = fleet_write_file (fleet, name, text);
  return fleet_ctl (fleet, vm, out, "apply", path, NULL);
}

static void
test_bad_file (void)
{
  g_autofree char *path
      = fleet_write_file (fleet, "bad.yaml", "regions: []\ncolour: red\n");
  g_autofree char *out = NULL;
  unsigned before = vm_revision (fleet, 0);
  g_assert_cmpint (fleet_ctl (fleet, 0, &out, "apply", path, NULL), ==,
                   EXIT_FILE_INVALID);
  g_assert_nonnull (strstr (out, "bad.yaml:2: colour"));
  /* buckthornctl checks the file before it sends it; buckthornd checks it as
     well.  */
  struct web *w
      = web_request (fleet->http_addresses[0], "POST", "/v1/operator/apply",
                     FLEET_OPERATOR_KEY, NULL, "colour: red\n");
  g_assert_cmpint (w->status, ==, 422);
  web_close (w);
  g_assert_cmpuint (vm_revision (fleet, 0), ==, before);
}

static void
test_in_force_everywhere (void)
{
  unsigned before = vm_revision (fleet, 0);
  gint64 start = g_get_monotonic_time ();
  g_assert_cmpint (apply_cost (0, 7, NULL), ==, EXIT_OK);
  g_assert_cmpint (g_get_monotonic_time () - start, <, IN_FORCE_MS * 1000);
  /* apply succeeds only once every VM has the file in force.  */
  for (unsigned vm = 0; vm < fleet->shape.vms; vm++)
    g_assert_cmpuint (vm_revision (fleet, vm), ==, before + 1);
  g_assert_cmpint (fleet_ctl (fleet, 1, NULL, "status", NULL), ==, EXIT_OK);
}

/* One apply, run by a thread of its own.  */
struct operator_run
{
  unsigned vm;
  unsigned cost;
  int code;
  char *out;
};

static gpointer
run_operator (gpointer arg)
{
  struct operator_run *o = arg;
  o->code = apply_cost (o->vm, o->cost, &o->out);
  return NULL;
}

/* Two operators apply at the same time: each apply that succeeds makes its own
   revision, and one that ends in a conflict names the differing setting.  */
static void
test_two_operators (void)
{
  for (unsigned round = 0; round < 5; round++)
    {
      unsigned before = vm_revision (fleet, 0);
      struct operator_run a = { 0, 100 + round, 0, NULL };
      struct operator_run b = { 1, 200 + round, 0, NULL };
      GThread *thread_a = g_thread_new ("operator", run_operator, &a);
      GThread *thread_b = g_thread_new ("operator", run_operator, &b);
      g_thread_join (thread_a);
      g_thread_join (thread_b);
      unsigned succeeded = (a.code == EXIT_OK) + (b.code == EXIT_OK);
      g_assert_true (a.code == EXIT_OK || a.code == EXIT_CONFLICT);
      g_assert_true (b.code == EXIT_OK || b.code == EXIT_CONFLICT);
      g_assert_cmpuint (succeeded, >=, 1);
      g_assert_cmpuint (vm_revision (fleet, 0), ==, before + succeeded);
      if (a.code == EXIT_CONFLICT)
        g_assert_nonnull (strstr (a.out, "role_change_cost"));
      g_free (a.out);
      g_free (b.out);
    }
}

static void
test_expect (void)
{
  g_autofree char *text = fleet_config_file (fleet, NULL);
  g_autofree char *path = fleet_write_file (fleet, "expect.yaml", text);
  g_assert_cmpint (
      fleet_ctl (fleet, 0, NULL, "apply", "--expect", "9999", path, NULL), ==,
      EXIT_CONFLICT);
}

/* The record of the applied file is written and the reply is lost, or the
   write takes effect late: the apply finds out and succeeds, and the file is
   applied once.  */
static void
test_lost_reply (void)
{
  unsigned before = vm_revision (fleet, 0);
  fleet_fault (fleet->kv_address, "drop_writes=1");
  g_assert_cmpint (apply_cost (0, 31, NULL), ==, EXIT_OK);
  g_assert_cmpuint (vm_revision (fleet, 1), ==, before + 1);
  fleet_fault (fleet->kv_address, "drop_writes=0&late_ms=300");
  /* Every write loses its reply and takes effect 300 ms later: the apply reads
     the history to see whether its own write did.  */
  g_assert_cmpint (apply_cost (1, 32, NULL), ==, EXIT_OK);
  fleet_fault (fleet->kv_address, "late_ms=0");
  g_assert_cmpuint (vm_revision (fleet, 0), ==, before + 2);
  g_assert_cmpint (fleet_ctl (fleet, 0, NULL, "history", "--verify", NULL), ==,
                   EXIT_OK);
}

/* The key-value service is down: apply changes nothing, streams still work,
   and apply works again after the outage.  */
static void
test_kv_down (void)
{
  unsigned before = vm_revision (fleet, 0);
  fleet_fault (fleet->kv_address, "refuse=1");
  g_assert_cmpint (apply_cost (0, 41, NULL), ==, EXIT_PLATFORM_DOWN);
  check_stream (fleet, 0, 10);
  fleet_fault (fleet->kv_address, "refuse=0");
  g_assert_cmpuint (vm_revision (fleet, 0), ==, before);
  g_assert_cmpint (apply_cost (0, 42, NULL), ==, EXIT_OK);
}

/* A VM that restarts while the key-value service is down gets the current file
   from other VMs, and serves with no older one.  */
static void
test_vm_replaced_in_outage (void)
{
  unsigned current = vm_revision (fleet, 0);
  fleet_fault (fleet->kv_address, "refuse=1");
  proc_kill (fleet->vms[2]);
  fleet_start_vm (fleet, 2);
  g_assert_true (wait_revision (fleet, 2, current, 15000));
  check_stream (fleet, 2, 10);
  fleet_fault (fleet->kv_address, "refuse=0");
}

/* The watch of the key-value service reports no changes: apply still brings
   the file in force at every VM, as the applying VM notifies the others.  */
static void
test_silent_watch (void)
{
  fleet_fault (fleet->kv_address, "watch_silent=1");
  g_assert_cmpint (apply_cost (0, 51, NULL), ==, EXIT_OK);
  fleet_fault (fleet->kv_address, "watch_silent=0");
}

/* A file of over 1 MB is stored in chunks of at most 1 MB, and a VM that
   restarts loads it.  */
static void
test_large_file (void)
{
  g_autoptr (GString) extra = g_string_new ("role_change_cost: 61\n");
  while (extra->len < 1200 * 1024)
    g_string_append (extra, "# a comment that fills the file up, line after "
                            "line after line after line\n");
  g_autofree char *text = fleet_config_file (fleet, extra->str);
  g_autofree char *path = fleet_write_file (fleet, "large.yaml", text);
  g_assert_cmpint (fleet_ctl (fleet, 0, NULL, "apply", path, NULL), ==,
                   EXIT_OK);
  unsigned current = vm_revision (fleet, 0);
  proc_kill (fleet->vms[3]);
  fleet_start_vm (fleet, 3);
  g_assert_true (wait_revision (fleet, 3, current, 15000));
  json_t *seen = fleet_fake_state (fleet->kv_address);
  g_assert_cmpint (json_integer_value (json_object_get (seen, "max_value")),
                   <=, 1000 * 1000);
  json_decref (seen);
}

/* All VMs of region2, those with odd numbers, are down: apply fails and
   changes nothing.  With --allow-behind region2 the file is committed and
   region2 reported as behind; its VMs catch up when they start.  */
static void
test_region_down (void)
{
  unsigned before = vm_revision (fleet, 0);
  for (unsigned vm = 1; vm < fleet->shape.vms; vm += 2)
    proc_kill (fleet->vms[vm]);
  g_assert_cmpint (apply_cost (0, 71, NULL), ==, EXIT_REGION_UNREACHABLE);
  g_assert_cmpuint (vm_revision (fleet, 0), ==, before);
  g_autofree char *text = fleet_config_file (fleet, "role_change_cost: 72\n");
  g_autofree char *path = fleet_write_file (fleet, "behind.yaml", text);
  g_autofree char *out = NULL;
  g_assert_cmpint (fleet_ctl (fleet, 0, &out, "apply", "--allow-behind",
                              "region2", path, NULL),
                   ==, EXIT_COMMITTED_BEHIND);
  g_assert_nonnull (strstr (out, "region2"));
  g_assert_cmpuint (vm_revision (fleet, 0), ==, before + 1);
  for (unsigned vm = 1; vm < fleet->shape.vms; vm += 2)
    fleet_start_vm (fleet, vm);
  for (unsigned vm = 1; vm < fleet->shape.vms; vm += 2)
    g_assert_true (wait_revision (fleet, vm, before + 1, 15000));
}

/* A VM is frozen while a file is applied: the apply is not accepted while that
   VM is a live member, and the VM catches up soon after it resumes.  */
static void
test_vm_frozen (void)
{
  unsigned before = vm_revision (fleet, 0);
  proc_signal (fleet->vms[2], SIGSTOP);
  int code = apply_cost (0, 81, NULL);
  /* Exit code 8 is stage_failed: the VM did not stage the file.  The other
     codes are correct once membership has removed the VM.  */
  g_assert_true (code == EXIT_OK || code == 8
                 || code == EXIT_COMMITTED_BEHIND);
  unsigned current = vm_revision (fleet, 0);
  g_assert_cmpuint (current, ==, code == 8 ? before : before + 1);
  proc_signal (fleet->vms[2], SIGCONT);
  g_assert_true (wait_revision (fleet, 2, current, 15000));
}

/* A drained engine gets no new requests, and gets some after the undrain.  */
static void
test_drain (void)
{
  g_assert_cmpint (fleet_ctl (fleet, 0, NULL, "drain", "engine1", NULL), ==,
                   EXIT_OK);
  g_usleep (DRAIN_MS * 1000);
  unsigned before = engine_runs (fleet, 0);
  for (unsigned i = 0; i < 20; i++)
    check_stream (fleet, i % fleet->shape.vms, 2);
  g_assert_cmpuint (engine_runs (fleet, 0), ==, before);
  g_assert_cmpint (fleet_ctl (fleet, 0, NULL, "undrain", "engine1", NULL), ==,
                   EXIT_OK);
  g_usleep (DRAIN_MS * 1000);
  for (unsigned i = 0; i < 40 && engine_runs (fleet, 0) == before; i++)
    check_stream (fleet, i % fleet->shape.vms, 2);
  g_assert_cmpuint (engine_runs (fleet, 0), >, before);
}

static void
test_history (void)
{
  g_autofree char *out = NULL;
  g_assert_cmpint (fleet_ctl (fleet, 0, &out, "history", "--verify", NULL), ==,
                   EXIT_OK);
  g_assert_nonnull (strstr (out, "bootstrap"));
  g_assert_nonnull (strstr (out, "ana"));
  g_assert_nonnull (strstr (out, "leaving-engine1"));
  g_assert_nonnull (strstr (out, "digests holds"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  struct fleet_shape shape = fleet_shape_small ();
  shape.vms = 6;
  fleet = fleet_create (program_directory (), &shape);
  fleet_start (fleet);
  fleet_apply (fleet);
  g_test_add_func ("/config/bad-file", test_bad_file);
  g_test_add_func ("/config/in-force-everywhere", test_in_force_everywhere);
  g_test_add_func ("/config/two-operators", test_two_operators);
  g_test_add_func ("/config/expect", test_expect);
  g_test_add_func ("/config/lost-reply", test_lost_reply);
  g_test_add_func ("/config/service-down", test_kv_down);
  g_test_add_func ("/config/replaced-in-outage", test_vm_replaced_in_outage);
  g_test_add_func ("/config/silent-watch", test_silent_watch);
  g_test_add_func ("/config/large-file", test_large_file);
  g_test_add_func ("/config/drain", test_drain);
  g_test_add_func ("/config/frozen", test_vm_frozen);
  g_test_add_func ("/config/region-down", test_region_down);
  g_test_add_func ("/config/history", test_history);
  int code = g_test_run ();
  fleet_destroy (fleet);
  return code;
}
