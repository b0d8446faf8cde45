/** @file
    Version and role changes of engines, half of which check fencing tokens:
    under streaming load, and while VMs that may hold a region's orders are
    killed or frozen.  */
#include "process/common.h"

#include <signal.h>
#include <string.h>

#define CHANGE_TIMEOUT_MS 30000

static struct fleet *fleet;
static gint stop_load;

/* Sends one stream after the other through VM number ARG until stop_load is
   set; returns their number.  */
static gpointer
run_load (gpointer arg)
{
  unsigned vm = GPOINTER_TO_UINT (arg);
  guint count = 0;
  while (!g_atomic_int_get (&stop_load))
    {
      check_stream (fleet, vm, 25);
      count++;
    }
  return GUINT_TO_POINTER (count);
}

/* State that engine number ENGINE reports; to be released.  */
static json_t *
engine_state (unsigned engine)
{
  json_t *seen = fleet_fake_state (fleet->engine_addresses[engine]);
  json_t *state = json_incref (json_object_get (seen, "state"));
  json_decref (seen);
  return state;
}

/* State that engines must report: VALUE under KEY.  */
struct expected_state
{
  const char *key;
  const char *value;
  unsigned first_engine; /* engines below this number are ignored */
};

static bool
all_engines_report (void *arg)
{
  const struct expected_state *x = arg;
  bool all = true;
  for (unsigned i = x->first_engine; i < fleet->shape.engines; i++)
    {
      json_t *state = engine_state (i);
      const char *value = json_string_value (json_object_get (state, x->key));
      all = all && value && strcmp (value, x->value) == 0;
      json_decref (state);
    }
  return all;
}

/* Fails the test if a change cut a stream, or if an engine that checks no
   fencing tokens got a different order with a lower token than before.  */
static void
check_no_cuts_or_conflicts (void)
{
  for (unsigned i = 0; i < fleet->shape.engines; i++)
    {
      json_t *seen = fleet_fake_state (fleet->engine_addresses[i]);
      g_assert_cmpint (json_integer_value (json_object_get (seen, "cut")), ==,
                       0);
      g_assert_cmpint (
          json_integer_value (json_object_get (seen, "conflicts")), ==, 0);
      json_decref (seen);
    }
}

/* Applies the fleet's configuration file with the model's versions replaced by
   the line VERSIONS, through VM number VM.  */
static void
apply_versions (unsigned vm, const char *versions)
{
  g_autofree char *text = fleet_config_file (fleet, NULL);
  g_autoptr (GString) file = g_string_new (text);
  g_string_replace (file, "versions: [\"1\", \"2\"]", versions, 0);
  g_autofree char *path = fleet_write_file (fleet, "versions.yaml", file->str);
  g_autofree char *out = NULL;
  int code = fleet_ctl (fleet, vm, &out, "apply", path, NULL);
  if (code != 0)
    g_error ("apply of versions.yaml failed with exit code %d: %s", code, out);
}

/* All engines load another version while streams run through two VMs; every
   stream must complete.  */
static void
test_version_under_load (void)
{
  stop_load = 0;
  GThread *a = g_thread_new ("load", run_load, GUINT_TO_POINTER (0));
  GThread *b = g_thread_new ("load", run_load, GUINT_TO_POINTER (1));
  apply_versions (0, "versions: [\"2\", \"1\"]");
  struct expected_state two = { "version", "2", 0 };
  g_assert_true (fleet_wait (all_engines_report, &two, CHANGE_TIMEOUT_MS));
  g_atomic_int_set (&stop_load, 1);
  guint streams = GPOINTER_TO_UINT (g_thread_join (a));
  streams += GPOINTER_TO_UINT (g_thread_join (b));
  g_test_message ("%u streams completed during the version change", streams);
  g_assert_cmpuint (streams, >, 5);
  check_no_cuts_or_conflicts ();
}

/* engine1 becomes prefill-only and engine3 decode-only: of six streams at
   least three must use each of the two.  */
static void
test_prefill_and_decode (void)
{
  g_autofree char *text = fleet_config_file (fleet, NULL);
  g_autoptr (GString) file = g_string_new (text);
  g_string_replace (file, "  - id: engine1\n",
                    "  - id: engine1\n    role: prefill\n    pinned: true\n",
                    0);
  g_string_replace (file, "  - id: engine3\n",
                    "  - id: engine3\n    role: decode\n    pinned: true\n",
                    0);
  g_autofree char *path = fleet_write_file (fleet, "roles.yaml", file->str);
  g_assert_cmpint (fleet_ctl (fleet, 0, NULL, "apply", path, NULL), ==, 0);
  for (unsigned i = 0; i < 600; i++)
    {
      json_t *one = engine_state (0), *three = engine_state (2);
      bool changed
          = strcmp (json_string_value (json_object_get (one, "role")),
                    "prefill")
                == 0
            && strcmp (json_string_value (json_object_get (three, "role")),
                       "decode")
                   == 0;
      json_decref (one);
      json_decref (three);
      if (changed)
        break;
      g_assert_cmpuint (i, <, 599);
      g_usleep (50000);
    }
  /* An engine's home VM learns its role by polling it (each 1 s), entry VMs by
     the home VM's load report (each 2 s).  */
  g_usleep (4 * G_USEC_PER_SEC);
  unsigned prefilled = engine_runs (fleet, 0),
           decoded = engine_runs (fleet, 2);
  for (unsigned i = 0; i < 6; i++)
    check_stream (fleet, 0, 30);
  g_assert_cmpuint (engine_runs (fleet, 0), >=, prefilled + 3);
  g_assert_cmpuint (engine_runs (fleet, 2), >=, decoded + 3);
  check_no_cuts_or_conflicts ();
  fleet_apply (fleet);
  struct expected_state mixed = { "role", "mixed", 0 };
  g_assert_true (
      fleet_wait (all_engines_report, &mixed, 2 * CHANGE_TIMEOUT_MS));
}

/* Each VM in turn, and so every order holder, is killed and restarted in the
   middle of a version change.  */
static void
test_holder_killed (void)
{
  for (unsigned target = 0; target < fleet->shape.vms; target++)
    {
      const char *version = target % 2 ? "2" : "1";
      g_autofree char *versions = g_strdup_printf (
          "versions: [\"%s\", \"%s\"]", version, target % 2 ? "1" : "2");
      apply_versions ((target + 1) % fleet->shape.vms, versions);
      g_usleep (150000 * (target + 1));
      proc_kill (fleet->vms[target]);
      fleet_start_vm (fleet, target);
      struct expected_state expected = { "version", version, 0 };
      /* A copy of an order that the killed process sent may arrive until
         ORDER_DELIVERY_MAX_MS after its VM was seen to have restarted.  Until
         then the next holder can only send that same order again; it is
         carried out.  */
      g_assert_true (
          fleet_wait (all_engines_report, &expected, 2 * CHANGE_TIMEOUT_MS));
      check_no_cuts_or_conflicts ();
    }
}

/* A VM that may be an order holder is frozen in the middle of a change and
   resumes after 6 s: orders that it still sends must change nothing.  */
static void
test_holder_frozen (void)
{
  apply_versions (0, "versions: [\"1\", \"2\"]");
  struct expected_state one = { "version", "1", 0 };
  g_assert_true (fleet_wait (all_engines_report, &one, 2 * CHANGE_TIMEOUT_MS));
  apply_versions (0, "versions: [\"2\", \"1\"]");
  g_usleep (100000);
  proc_signal (fleet->vms[1], SIGSTOP);
  g_usleep (6 * G_USEC_PER_SEC);
  proc_signal (fleet->vms[1], SIGCONT);
  struct expected_state two = { "version", "2", 0 };
  g_assert_true (fleet_wait (all_engines_report, &two, 2 * CHANGE_TIMEOUT_MS));
  check_no_cuts_or_conflicts ();
}

/* Requests need more decode than two decode engines provide: the role
   controller must change one of the two prefill engines to decode, without
   cutting a stream.  */
static void
test_role_control (void)
{
  struct fleet_shape shape = fleet_shape_small ();
  shape.vms = 2;
  shape.regions = 1;
  shape.engines = 4;
  struct fleet *saved = fleet,
               *f = fleet_create (program_directory (), &shape);
  fleet = f;
  fleet_start (f);
  g_autofree char *text = fleet_config_file (f, "role_change_cost: 1\n");
  g_autoptr (GString) file = g_string_new (text);
  for (unsigned i = 1; i <= 4; i++)
    {
      g_autofree char *id = g_strdup_printf ("  - id: engine%u\n", i);
      g_autofree char *role = g_strdup_printf ("%s    role: %s\n", id,
                                               i <= 2 ? "prefill" : "decode");
      g_string_replace (file, id, role, 0);
    }
  /* Declares that one output token takes 0.1 s of an engine's time.  */
  g_string_replace (
      file, "    versions: ", "    token_us: 100000\n    versions: ", 0);
  g_autofree char *path = fleet_write_file (f, "control.yaml", file->str);
  g_assert_cmpint (fleet_ctl (f, 0, NULL, "apply", path, NULL), ==, 0);
  unsigned n_decode = 0;
  for (unsigned i = 0; i < 200 && n_decode < 3; i++)
    {
      check_stream (f, i % 2, 20);
      n_decode = 0;
      for (unsigned e = 0; e < 4; e++)
        {
          json_t *state = engine_state (e);
          n_decode
              += strcmp (json_string_value (json_object_get (state, "role")),
                         "decode")
                 == 0;
          json_decref (state);
        }
      g_usleep (100000);
    }
  g_assert_cmpuint (n_decode, ==, 3);
  check_no_cuts_or_conflicts ();
  double changes = fleet_metric (f, 0, "role_changes_total")
                   + fleet_metric (f, 1, "role_changes_total");
  g_assert_cmpfloat (changes, >=, 1);
  fleet_destroy (f);
  fleet = saved;
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  struct fleet_shape shape = fleet_shape_small ();
  shape.vms = 4;
  shape.engines = 4;
  fleet = fleet_create (program_directory (), &shape);
  fleet_start (fleet);
  fleet_apply (fleet);
  g_test_add_func ("/changes/version-under-load", test_version_under_load);
  g_test_add_func ("/changes/prefill-and-decode", test_prefill_and_decode);
  g_test_add_func ("/changes/role-control", test_role_control);
  g_test_add_func ("/changes/holder-frozen", test_holder_frozen);
  g_test_add_func ("/changes/holder-killed", test_holder_killed);
  int code = g_test_run ();
  fleet_destroy (fleet);
  return code;
}
