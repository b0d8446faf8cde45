/** @file
    Process tests of a site whose list of upstreams in the platform store
    takes several pages.  */
#include "harness/site.h"
#include "process/common.h"

#include <string.h>

#define OTHER_UPSTREAMS 2100
#define LIST_TIMEOUT_MS 20000

static struct site *site;

static bool
knows_count (void *arg)
{
  double known = site_metric (site, 0, "upstreams_known");
  return (unsigned)known == GPOINTER_TO_UINT (arg);
}

static void
put_other_upstreams (void)
{
  for (unsigned i = 0; i < OTHER_UPSTREAMS; i++)
    {
      g_autofree char *key = g_strdup_printf ("servers/other-%04u", i);
      site_put (site, key,
                "{\"service\":\"other\",\"address\":\"127.0.0.1:9\",\"zone\":"
                "\"d\",\"version\":\"v1\",\"slots\":1,\"state\":\"ready\","
                "\"coldLeftMs\":0,\"seq\":1}");
    }
}

/* The VM learns of all upstreams although the store refuses a read of a page
   after the first whenever its count of reads is a multiple of 3.  The last
   upstream in the list, u0, serves a request.  */
static void
test_all_known (void)
{
  site_store_faults (site, "busy_pages=1");
  site_start (site);
  site_wait (knows_count, GUINT_TO_POINTER (OTHER_UPSTREAMS + 1),
             LIST_TIMEOUT_MS);
  struct web *w = site_request (site, 0, "GET", "/once/ok", "among-many");
  g_assert_cmpint (w->status, ==, 200);
  web_close (w);
}

/* The store drops its history, so that the VM has to read the whole list
   again: no upstream may be taken for removed.  */
static void
test_list_reread (void)
{
  site_store_drop_history (site);
  site_put (site, "servers/other-9999",
            "{\"service\":\"other\",\"address\":\"127.0.0.1:9\",\"zone\":"
            "\"d\",\"version\":\"v1\",\"slots\":1,\"state\":\"ready\","
            "\"coldLeftMs\":0,\"seq\":1}");
  site_wait (knows_count, GUINT_TO_POINTER (OTHER_UPSTREAMS + 2),
             LIST_TIMEOUT_MS);
  g_autofree char *log = site_log (site, 0);
  g_assert_null (strstr (log, "upstream_gone"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  site = site_create (program_directory (), 1, 1);
  put_other_upstreams ();
  g_test_add_func ("/many/all-upstreams-known", test_all_known);
  g_test_add_func ("/many/list-reread", test_list_reread);
  int status = g_test_run ();
  site_destroy (site);
  return status;
}
