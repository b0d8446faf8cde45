/** @file
    Process tests of client accounts on the platform's routes: a caller's key
    stays at the VM, the instance learns the account's name, and a key that a
    new version of the configuration takes away is refused by all VMs.  */
#include "harness/site.h"
#include "harness/site_checks.h"
#include "process/common.h"

#include <string.h>

#define TIMEOUT_MS 10000
#define VMS 2
#define UPSTREAMS 2

static struct site *site;

static const char both_keys[]
    = "[{\"name\":\"acme\",\"apiKeys\":[\"key-a\",\"key-b\"],"
      "\"priority\":1},{\"name\":\"other\",\"apiKeys\":[\"key-c\"]}]";
static const char one_key[]
    = "[{\"name\":\"acme\",\"apiKeys\":[\"key-b\"]},"
      "{\"name\":\"other\",\"apiKeys\":[\"key-c\",\"key-d\"]}]";

/* Sends a request with FIELDS to VM number VM, and returns its status.  */
static int
status_of (unsigned vm, const char *path, const char *id, const char *fields)
{
  struct web *w = site_send_request (site, vm, "POST", path, id, fields, "{}");
  web_read_response (w, TIMEOUT_MS);
  int status = w->status;
  web_close (w);
  return status;
}

/* The head of request ID at the instance that ran it.  */
static char *
head_at_instance (const char *id)
{
  char *head = NULL;
  for (unsigned i = 0; i < UPSTREAMS && head == NULL; i++)
    head = site_request_head (site, i, id);
  g_assert_nonnull (head);
  return head;
}

/* Guards against a key or a forged account that reaches an instance.  */
static void
test_account_is_named (void)
{
  static const char *const paths[] = { "/safe/ok", "/once/ok" };
  for (unsigned i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      g_autofree char *id = g_strdup_printf ("named-%u", i);
      int status = status_of (i % VMS, paths[i], id,
                              "Authorization: Bearer key-a\r\n"
                              "X-Tenant: other\r\nX-TENANT: other\r\n");
      g_assert_cmpint (status, ==, 200);
      g_autofree char *head = head_at_instance (id);
      g_assert_nonnull (strstr (head, "X-Tenant: acme\r\n"));
      g_assert_null (strstr (head, "other"));
      g_assert_null (strstr (head, "key-a"));
      g_assert_null (strstr (head, "uthorization"));
    }
}

/* Guards against a request that runs without a key of the configuration.  */
static void
test_unknown_keys (void)
{
  static const char *const fields[]
      = { "",
          "X-Tenant: acme\r\n",
          "Authorization: Bearer key-x\r\n",
          "Authorization: Basic key-a\r\n",
          "Authorization: Bearer \r\n",
          "Authorization: Bearer key-a\r\nAuthorization: Bearer key-c\r\n",
          "Authorization: Bearer key-a,key-b\r\n" };
  for (unsigned i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      g_autofree char *id = g_strdup_printf ("unknown-%u", i);
      g_assert_cmpint (status_of (i % VMS, "/once/ok", id, fields[i]), ==,
                       401);
      g_assert_cmpuint (site_runs (site, -1, id), ==, 0);
    }
}

/* Whether all VMs refuse KEY.  */
static bool
is_refused (void *key)
{
  static unsigned count;
  g_autofree char *field
      = g_strdup_printf ("Authorization: Bearer %s\r\n", (char *)key);
  bool refused = true;
  for (unsigned i = 0; i < VMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("probe-%u", count++);
      refused &= status_of (i, "/safe/ok", id, field) == 401;
    }
  return refused;
}

/* Whether all VMs accept KEY.  */
static bool
is_accepted (void *key)
{
  static unsigned count;
  g_autofree char *field
      = g_strdup_printf ("Authorization: Bearer %s\r\n", (char *)key);
  bool accepted = true;
  for (unsigned i = 0; i < VMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("added-%u", count++);
      accepted &= status_of (i, "/safe/ok", id, field) == 200;
    }
  return accepted;
}

/* Guards against a VM that goes on with the keys of an earlier version.  */
static void
test_keys_change (void)
{
  g_assert_false (is_refused ((char *)"key-a"));
  site->accounts = one_key;
  site_write_routes (site, 2, NULL);
  site_wait (is_refused, (char *)"key-a", TIMEOUT_MS);
  site_wait (is_accepted, (char *)"key-d", TIMEOUT_MS);
  g_assert_true (is_accepted ((char *)"key-b"));
}

/* Guards against routes that are open to everybody, and a key that reaches an
   instance, once a version has taken away the last account.  */
static void
test_last_account_removed (void)
{
  static const char *const no_accounts[]
      = { "{\"columns\":[\"name\",\"apiKeys\"],\"rows\":[]}", "[]" };
  static const char *const fields[]
      = { "", "X-Tenant: acme\r\n", "Authorization: Bearer key-x\r\n",
          "Authorization: Bearer key-b\r\n" };
  unsigned version = 2;
  for (unsigned i = 0; i < G_N_ELEMENTS (no_accounts); i++)
    {
      site->accounts = one_key;
      site_write_routes (site, ++version, "welcome");
      site_wait (is_accepted, (char *)"key-b", TIMEOUT_MS);
      site->accounts = no_accounts[i];
      site_write_routes (site, ++version, "welcome");
      site_wait (is_refused, (char *)"key-b", TIMEOUT_MS);
      for (unsigned k = 0; k < VMS * G_N_ELEMENTS (fields); k++)
        {
          g_autofree char *id = g_strdup_printf ("emptied-%u-%u", i, k);
          int status = status_of (k % VMS, "/once/ok", id, fields[k / VMS]);
          g_assert_cmpint (status, ==, 401);
          g_assert_cmpuint (site_runs (site, -1, id), ==, 0);
        }
      g_autofree char *id = g_strdup_printf ("public-%u", i);
      int status = status_of (i % VMS, "/welcome/ok", id, fields[3]);
      g_assert_cmpint (status, ==, 200);
      g_autofree char *head = head_at_instance (id);
      g_assert_null (strstr (head, "key-b"));
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  site = site_create (program_directory (), VMS, UPSTREAMS);
  site->accounts = both_keys;
  site->extra_is_public = true;
  site_write_routes (site, 1, NULL);
  site_start (site);
  g_test_add_func ("/accounts/named", test_account_is_named);
  g_test_add_func ("/accounts/unknown-keys", test_unknown_keys);
  g_test_add_func ("/accounts/keys-change", test_keys_change);
  g_test_add_func ("/accounts/last-account-removed",
                   test_last_account_removed);
  int status = g_test_run ();
  site_destroy (site);
  return status;
}
