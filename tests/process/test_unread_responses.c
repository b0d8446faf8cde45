/** @file
    Process tests of responses that callers do not read, after their upstreams
    are done with them.  The VM must live, its memory and its open descriptors
    must stay bounded, and it must answer an ordinary request afterwards.  */
#include "harness/crowd.h"
#include "process/common.h"

#define CONNECTIONS_MAX 400
/* Callers that ask for one response each, one after the other: more than the
   send buffer of the kernel, and less than what a VM keeps of one.  */
#define SINGLE_CALLERS 200
#define SINGLE_PATH "/safe/bytes-450000"
#define START_GAP_MS 20
/* Callers that ask for many responses each before they read the first.  */
#define AHEAD_CALLERS 64
#define AHEAD_PATH "/safe/bytes-120000"
#define REQUESTS_AHEAD 20
#define PLAY_MS 6000

/* Guards against responses that are in no sum once their upstreams are done.
 */
static void
test_single (void)
{
  struct crowd *c = crowd_create (program_directory (), CONNECTIONS_MAX);
  GString *none = crowd_text (c, "");
  c->start_gap_ms = START_GAP_MS;
  for (unsigned i = 0; i < SINGLE_CALLERS; i++)
    crowd_add (c, crowd_head (c, SINGLE_PATH, "Content-Length: 0"), none, 0,
               "");
  crowd_run (c, PLAY_MS);
}

/* Guards against a connection that goes on with its next request whatever
   waits there of the responses before.  */
static void
test_ahead (void)
{
  struct crowd *c = crowd_create (program_directory (), CONNECTIONS_MAX);
  GString *none = crowd_text (c, "");
  c->start_gap_ms = START_GAP_MS;
  for (unsigned i = 0; i < AHEAD_CALLERS; i++)
    {
      GString *requests = crowd_text (c, "");
      for (unsigned k = 0; k < REQUESTS_AHEAD; k++)
        g_string_append (requests,
                         crowd_head (c, AHEAD_PATH, "Content-Length: 0")->str);
      crowd_add (c, requests, none, 0, "");
    }
  crowd_run (c, PLAY_MS);
}

/* The same at the address that lists the VMs.  */
static void
test_ahead_at_directory (void)
{
  struct crowd *c = crowd_create (program_directory (), CONNECTIONS_MAX);
  GString *none = crowd_text (c, "");
  const GString *request = crowd_text (
      c, "GET /api/resolve?name=" SITE_HOST
         "&region=r&zone=d HTTP/1.1\r\nHost: " SITE_HOST "\r\n\r\n");
  c->address = c->site->entry_addresses[0];
  for (unsigned i = 0; i < SINGLE_CALLERS; i++)
    crowd_add (c, none, request, CROWD_BODY_MAX_BYTES, "");
  crowd_run (c, PLAY_MS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  g_test_add_func ("/unread-responses/single", test_single);
  g_test_add_func ("/unread-responses/ahead", test_ahead);
  g_test_add_func ("/unread-responses/ahead-at-directory",
                   test_ahead_at_directory);
  return g_test_run ();
}
