/** @file
    Process tests of the duty that sizes a service: VMs order spot instances at
    a stand-in of the platform, which provides them as entries in the store. */
#include "harness/site.h"
#include "process/common.h"

#include <string.h>

#define VMS 2
#define DOMAINS 3
#define INITIAL_PER_DOMAIN 2
#define INITIAL (DOMAINS * INITIAL_PER_DOMAIN)
#define BOOT_MS 300
#define POLL_US 100000
#define RESPONSE_TIMEOUT_MS 5000
/* A VM acquires the lease and waits twice the lease time before it sends.  */
#define REPLACED_TIMEOUT_MS 40000
#define TAKEOVER_TIMEOUT_MS 40000

static const char *const domains[DOMAINS] = { "d", "e", "f" };

static struct site *site;
static struct proc *duties;
static char *duties_address;

/* Instances of the service as entries in the store.  */
static unsigned present[DOMAINS][2];
static unsigned next_id[DOMAINS][2];
static size_t handled; /* calls whose orders were carried out */
static int64_t sequence;

/* Writes the entry of instance NUMBER; removes it if STATE is NULL.  */
static void
write_entry (unsigned domain, bool spot, unsigned number, const char *state,
             int64_t leaves_ms)
{
  g_autofree char *key = g_strdup_printf ("servers/%s-%s-%u", domains[domain],
                                          spot ? "spot" : "regular", number);
  if (state == NULL)
    {
      site_store_remove (site, key);
      return;
    }
  json_t *root = json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:i, s:s, s:b}", "service",
      "m", "address", "127.0.0.1:9", "zone", domains[domain], "version", "v1",
      "slots", 16, "state", state, "coldLeftMs", 0, "seq",
      (json_int_t)++sequence, "born", 1, "stage", "decode", "spot", (int)spot);
  if (leaves_ms > 0)
    json_object_set_new (root, "leaves_ms", json_integer (leaves_ms));
  char *text = json_dumps (root, 0);
  json_decref (root);
  site_put (site, key, text);
  free (text);
}

static void
write_config (void)
{
  site_put (
      site, "op/config",
      "{\"version\":2,\"routes\":[{\"name\":\"model\",\"host\":\"" SITE_HOST
      "\",\"pathPrefix\":\"/model/"
      "\",\"kind\":\"streaming\",\"timeoutMs\":2000,"
      "\"targetLatencyMs\":200,\"priority\":0,\"service\":\"m\","
      "\"maxAttempts\":2,\"resumable\":true,\"sticky\":true}],"
      "\"services\":[{\"name\":\"m\",\"healthPath\":\"/health\","
      "\"maxConns\":160,\"engine\":{\"slots\":16,\"kvCapacity\":1000000},"
      "\"scaling\":{\"min\":1,\"max\":16,\"bootS\":0.3,\"spotPrice\":0.15,"
      "\"zonePrices\":{\"d\":1.0,\"e\":0.8,\"f\":1.25}}}],"
      "\"limits\":{\"maxHeaderBytes\":8192,\"maxBodyBytes\":100000,"
      "\"headerTimeoutMs\":1000,\"idleTimeoutMs\":4000}}");
}

/* Calls that the stand-in has got; a new reference.  */
static json_t *
get_calls (void)
{
  struct web *w
      = web_send_request (duties_address, "GET", "/seen", NULL, NULL, NULL);
  web_read_response (w, RESPONSE_TIMEOUT_MS);
  json_t *root = web_json (w);
  web_close (w);
  json_t *calls = json_incref (json_object_get (root, "calls"));
  json_decref (root);
  return calls;
}

static void
set_fault (const char *fault)
{
  g_autofree char *path = g_strdup_printf ("/fault?%s", fault);
  struct web *w
      = web_send_request (duties_address, "POST", path, NULL, NULL, "");
  web_read_response (w, RESPONSE_TIMEOUT_MS);
  g_assert_cmpint (w->status, ==, 200);
  web_close (w);
}

static unsigned
find_domain (const char *name)
{
  for (unsigned i = 0; i < DOMAINS; i++)
    if (g_strcmp0 (domains[i], name) == 0)
      return i;
  g_assert_not_reached ();
}

/* Provides what the accepted order BODY asks for.  */
static void
carry_out (const json_t *body)
{
  unsigned i
      = find_domain (json_string_value (json_object_get (body, "zone")));
  bool spot = json_is_true (json_object_get (body, "spot"));
  json_int_t desired = json_integer_value (json_object_get (body, "desired"));
  g_assert_cmpint (desired, <=, 16);
  for (; (json_int_t)present[i][spot] < desired; present[i][spot]++)
    write_entry (i, spot, next_id[i][spot]++, "ready", 0);
  while ((json_int_t)present[i][spot] > desired)
    {
      unsigned number = next_id[i][spot] - present[i][spot]--;
      write_entry (i, spot, number, "draining", 0);
      write_entry (i, spot, number, NULL, 0);
    }
}

/* Carries out the orders since the last call, a boot time after they were
   made.  */
static void
platform_step (void)
{
  json_t *calls = get_calls ();
  if (json_array_size (calls) > handled)
    g_usleep (BOOT_MS * 1000);
  for (; handled < json_array_size (calls); handled++)
    {
      const json_t *call = json_array_get (calls, handled);
      const char *duty = json_string_value (json_object_get (call, "path"));
      if (g_strcmp0 (duty, "/scale") == 0
          && json_integer_value (json_object_get (call, "status")) == 200)
        carry_out (json_object_get (call, "body"));
    }
  json_decref (calls);
}

static unsigned
count (bool spot)
{
  unsigned n = 0;
  for (unsigned i = 0; i < DOMAINS; i++)
    n += present[i][spot];
  return n;
}

/* Instances that remain if the failure domain with the most spot instances
   loses these.  */
static unsigned
count_covered (void)
{
  unsigned most = 0;
  for (unsigned i = 0; i < DOMAINS; i++)
    most = MAX (most, present[i][1]);
  return count (false) + count (true) - most;
}

/* Runs the platform until there are at most REGULAR regular instances and the
   initial number is covered; there must always be at least LEAST.  */
static void
run_until_covered (unsigned regular, unsigned least, unsigned timeout_ms)
{
  gint64 end = g_get_monotonic_time () + (gint64)timeout_ms * 1000;
  while (count (false) > regular || count_covered () < INITIAL)
    {
      platform_step ();
      g_assert_cmpuint (count (false) + count (true), >=, least);
      if (g_get_monotonic_time () > end)
        g_error ("%u regular and %u spot instances after %u ms", count (false),
                 count (true), timeout_ms);
      g_usleep (POLL_US);
    }
}

/* Number of the VM that made the last call, and its fencing token.  */
static unsigned
last_holder (gint64 *fence)
{
  json_t *calls = get_calls ();
  const json_t *call = json_array_get (calls, json_array_size (calls) - 1);
  const char *holder = json_string_value (json_object_get (call, "holder"));
  *fence = g_ascii_strtoll (
      json_string_value (json_object_get (call, "fence")), NULL, 10);
  g_assert_true (g_str_has_prefix (holder, "vm"));
  unsigned vm = (unsigned)(holder[2] - '0');
  json_decref (calls);
  return vm;
}

/* Before the first request, spot instances replace regular ones, and there are
   never fewer instances than at first; also if the platform has a shortage and
   limits the rate of calls in the meantime.  */
static void
test_replaces (void)
{
  set_fault ("limited=1");
  gint64 end = g_get_monotonic_time () + (gint64)REPLACED_TIMEOUT_MS * 1000;
  json_t *calls = get_calls ();
  while (json_array_size (calls) == 0 && g_get_monotonic_time () < end)
    {
      json_decref (calls);
      g_usleep (POLL_US);
      calls = get_calls ();
    }
  g_assert_cmpuint (json_array_size (calls), >, 0);
  json_decref (calls);
  set_fault ("limited=0");
  run_until_covered (1, INITIAL, REPLACED_TIMEOUT_MS);
}

/* The successor of a holder that was killed goes on from its record: the
   reclaimed instances are replaced, with a higher token.  */
static void
test_takeover (void)
{
  gint64 before = 0;
  gint64 after = 0;
  unsigned holder = last_holder (&before);
  proc_kill (site->vms[holder]);
  unsigned lost = 0;
  while (present[lost][1] == 0)
    lost++;
  for (; present[lost][1] > 0; present[lost][1]--)
    write_entry (lost, true, next_id[lost][1] - present[lost][1], "draining",
                 g_get_real_time () / 1000 + 2500);
  set_fault ("no_spot=1");
  run_until_covered (INITIAL, 1, TAKEOVER_TIMEOUT_MS);
  g_assert_cmpuint (last_holder (&after), !=, holder);
  g_assert_cmpint (after, >, before);
  json_t *calls = get_calls ();
  size_t i;
  json_t *call;
  json_array_foreach (calls, i, call)
    {
      const char *fence = json_string_value (json_object_get (call, "fence"));
      gint64 token = g_ascii_strtoll (fence, NULL, 10);
      g_assert_true (token == before || token == after);
    }
  json_decref (calls);
}

static void
start_duties (void)
{
  g_autofree char *path
      = g_build_filename (program_directory (), "fake_duties", NULL);
  g_autofree char *log = g_strdup_printf ("%s/duties.log", site->dir);
  char *argv[] = { path, NULL };
  duties = proc_start ("duties", argv, log);
  duties_address
      = g_strdup_printf ("127.0.0.1:%u", (unsigned)proc_read_port (duties));
  g_setenv ("BUCKTHORN_DUTY_ADDRESS", duties_address, TRUE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  site = site_create (program_directory (), VMS, 0);
  start_duties ();
  write_config ();
  for (unsigned i = 0; i < DOMAINS; i++)
    for (unsigned k = 0; k < INITIAL_PER_DOMAIN; k++, present[i][0]++)
      write_entry (i, false, next_id[i][0]++, "ready", 0);
  site_start (site);
  g_test_add_func ("/sizing/replaces", test_replaces);
  g_test_add_func ("/sizing/takeover", test_takeover);
  int status = g_test_run ();
  site_destroy (site);
  proc_destroy (duties);
  g_free (duties_address);
  return status;
}
