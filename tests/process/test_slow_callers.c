/** @file
    Process tests of callers that read slowly or not at all: a large response
    still arrives whole, and upstreams that send without end cost a VM a
   bounded amount of memory.  */
#include "harness/site.h"
#include "harness/site_checks.h"
#include "process/common.h"

#include <string.h>
#include <sys/socket.h>

#define VMS 1
#define UPSTREAMS 3
/* Time-out of the routes.  */
#define ROUTE_TIMEOUT_MS 10000
#define TIMEOUT_MS 10000
#define LARGE_BYTES 6000000U
/* A caller behind a link of 24 Mbit/s.  */
#define SLOW_PART_BYTES 30000
#define SLOW_PART_MS 10
#define SLOW_CALLERS 4
/* Callers that read nothing, and how long they stay.  */
#define DEAF_CALLERS 180
#define DEAF_MS 3000
/* A VM may have 260 MB; this leaves it a reserve.  */
#define MEMORY_MAX_MB 200.0
#define SOUND_REQUESTS 50
/* Time within which a response that is none must be given up.  */
#define GIVE_UP_MS 2000

static struct site *site;

/* Reads what has arrived on the socket of W, at most N bytes, without waiting.
   Returns false if the connection has ended.  */
static bool
read_part (struct web *w, size_t n)
{
  g_autofree char *part = g_malloc (n);
  ssize_t got = recv (w->fd, part, n, MSG_DONTWAIT);
  if (got > 0)
    g_string_append_len (w->raw, part, got);
  return got != 0;
}

static void
test_large_response (void)
{
  struct web *callers[SLOW_CALLERS];
  for (unsigned i = 0; i < SLOW_CALLERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("large-%u", i);
      callers[i]
          = site_send_request (site, 0, "GET", "/safe/large", id, NULL, NULL);
    }
  unsigned parts = LARGE_BYTES / SLOW_PART_BYTES + SLOW_PART_MS;
  for (unsigned k = 0; k < parts; k++)
    {
      for (unsigned i = 0; i < SLOW_CALLERS; i++)
        g_assert_true (read_part (callers[i], SLOW_PART_BYTES));
      g_usleep (SLOW_PART_MS * 1000);
    }
  for (unsigned i = 0; i < SLOW_CALLERS; i++)
    {
      web_read_response (callers[i], TIMEOUT_MS);
      g_assert_true (callers[i]->complete);
      g_assert_cmpint (callers[i]->status, ==, 200);
      g_assert_cmpuint (callers[i]->body->len, ==, LARGE_BYTES);
      web_close (callers[i]);
    }
}

/* Returns the anonymous memory of VM number 0, in MB.  Memory that a sanitizer
   holds back cannot be told from memory in use, so that a build with one
   returns 0.  */
static double
anonymous_mb (void)
{
#ifdef __SANITIZE_ADDRESS__
  return 0;
#else
  g_autofree char *path
      = g_strdup_printf ("/proc/%d/status", (int)site->vms[0]->pid);
  g_autofree char *text = NULL;
  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  const char *line = strstr (text, "RssAnon:");
  g_assert_nonnull (line);
  return g_ascii_strtod (line + strlen ("RssAnon:"), NULL) / 1024;
#endif
}

/* Callers that read nothing, before an upstream that sends PATH without end:
   the VM's memory stays bounded, and sound requests beside them are served. */
static void
play_deaf_callers (const char *path)
{
  struct web *callers[DEAF_CALLERS];
  double most_mb = 0;
  for (unsigned i = 0; i < DEAF_CALLERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("deaf-%s-%u", path, i);
      callers[i] = site_send_request (site, 0, "GET", path, id, NULL, NULL);
    }
  gint64 end_us = g_get_monotonic_time () + DEAF_MS * 1000;
  for (unsigned n = 0; n < SOUND_REQUESTS || g_get_monotonic_time () < end_us;
       n++)
    {
      g_autofree char *id = g_strdup_printf ("sound-%s-%u", path, n);
      site_expect_echo (site, "/safe/ok", id);
      most_mb = MAX (most_mb, anonymous_mb ());
      g_usleep (20000);
    }
  for (unsigned i = 0; i < DEAF_CALLERS; i++)
    web_close (callers[i]);
  g_test_message ("%s: %.0f MB at most", path, most_mb);
  g_assert_cmpfloat (most_mb, <, MEMORY_MAX_MB);
}

static void
test_endless_bodies (void)
{
  play_deaf_callers ("/safe/endless-body");
}

static void
test_endless_events (void)
{
  play_deaf_callers ("/live/long-bare");
  play_deaf_callers ("/live/stream-endless");
}

/* Heads and interim responses without end are no response: the attempt ends
   soon, and the caller learns of it.  */
static void
test_endless_heads (void)
{
  static const char *const paths[]
      = { "/once/endless-head", "/once/endless-interim" };
  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      gint64 start_us = g_get_monotonic_time ();
      struct web *w = site_request (site, 0, "GET", paths[i], paths[i]);
      g_assert_cmpint (w->status, ==, 502);
      g_assert_cmpint (g_get_monotonic_time () - start_us, <,
                       GIVE_UP_MS * 1000);
      web_close (w);
      play_deaf_callers (paths[i]);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  site = site_create (program_directory (), VMS, UPSTREAMS);
  site->timeout_ms = ROUTE_TIMEOUT_MS;
  site_write_routes (site, 2, NULL);
  site_start (site);
  g_test_add_func ("/slow-callers/large-response", test_large_response);
  g_test_add_func ("/slow-callers/endless-bodies", test_endless_bodies);
  g_test_add_func ("/slow-callers/endless-events", test_endless_events);
  g_test_add_func ("/slow-callers/endless-heads", test_endless_heads);
  int result = g_test_run ();
  site_destroy (site);
  return result;
}
