/** @file
    A site with more upstreams than a few pages of the store's list hold.  */
#include "harness/site.h"
#include "process/common.h"

#include <string.h>

#define OTHERS 2100
#define READ_MS 20000
#define ANSWER_MS 5000

static struct site *site;

/* Upstreams that the VM knows, as its metrics tell.  */
static unsigned
known (void)
{
  g_autofree char *address
      = g_strdup_printf ("127.0.0.1:%u", (unsigned)site->metrics_ports[0]);
  struct web *w = web_open (address, "GET", "/metrics", NULL, NULL, NULL);
  web_finish (w, ANSWER_MS);
  const char *at = strstr (w->body->str, "\nbuckthorn_upstreams_known ");
  unsigned n = at ? (unsigned)g_ascii_strtoull (
                   at + strlen ("\nbuckthorn_upstreams_known "), NULL, 10)
                  : 0;
  web_close (w);
  return n;
}

static bool
knows (void *arg)
{
  return known () == GPOINTER_TO_UINT (arg);
}

static void
put_others (void)
{
  for (unsigned i = 0; i < OTHERS; i++)
    {
      g_autofree char *key = g_strdup_printf ("servers/other-%04u", i);
      site_put (site, key,
                "{\"service\":\"other\",\"address\":\"127.0.0.1:9\",\"zone\":"
                "\"d\",\"version\":\"v1\",\"slots\":1,\"state\":\"ready\","
                "\"seq\":1}");
    }
}

/* All are known though pages are refused in between, and the last one too.  */
static void
test_all_are_known (void)
{
  site_store_faults (site, "busy_pages=1");
  site_start (site);
  site_wait (knows, GUINT_TO_POINTER (OTHERS + 1), READ_MS);
  struct web *w = site_ask (site, 0, "GET", "/once/ok", "among-many");
  g_assert_cmpint (w->status, ==, 200);
  web_close (w);
}

/* Read again after history was lost, they are the same; none counts as gone.
 */
static void
test_read_again (void)
{
  site_store_forget (site);
  site_put (site, "servers/other-9999",
            "{\"service\":\"other\",\"address\":\"127.0.0.1:9\",\"zone\":"
            "\"d\",\"version\":\"v1\",\"slots\":1,\"state\":\"ready\","
            "\"seq\":1}");
  site_wait (knows, GUINT_TO_POINTER (OTHERS + 2), READ_MS);
  g_autofree char *log = site_log (site, 0);
  g_assert_null (strstr (log, "upstream_gone"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  programs_init (argv[0]);
  site = site_create (programs (), 1, 1);
  put_others ();
  g_test_add_func ("/many/all-are-known", test_all_are_known);
  g_test_add_func ("/many/read-again", test_read_again);
  int status = g_test_run ();
  site_destroy (site);
  return status;
}
