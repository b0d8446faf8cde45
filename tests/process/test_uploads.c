/** @file
    Process tests of uploads from callers that stay within no limit: too long,
    in very large or very small chunks, never completed, behind heads of very
    many fields, or beside callers that read no response.  The VM must live,
   its memory and its open descriptors must stay bounded, and it must answer an
    ordinary request afterwards.  */
#include "harness/crowd.h"
#include "process/common.h"

#include <signal.h>
#include <string.h>

#define CONNECTIONS_MAX 200
/* Callers halfway through a body: more than there are ordinary ones.  */
#define HALFWAY_CALLERS 400
/* Callers at the address that lists the VMs: as many as it accepts.  */
#define DIRECTORY_CALLERS 400
/* A crowd uploads 64 MB, if that is read.  */
#define CROWD 64
#define UNREAD_RESPONSES 60
#define SLOW_HEADS 300
#define LARGE_CHUNK_BYTES 65536U
/* Least length of a pattern of small chunks.  */
#define PATTERN_BYTES 65536U
/* Of ten uploads this many are never completed.  */
#define INCOMPLETE_OF_TEN 9
/* Bytes of a head of very many fields, just under the bound of 8,192.  */
#define MANY_FIELDS_BYTES 8000U
#define PLAY_MS 6000
#define ANSWER_TIMEOUT_MS 30000
#define STOP_TIMEOUT_MS 30000

static struct crowd *
create_crowd (void)
{
  return crowd_create (program_directory (), CONNECTIONS_MAX);
}

static GString *
create_large_chunk (struct crowd *c)
{
  GString *chunk = crowd_text (c, "");
  g_string_printf (chunk, "%x\r\n", LARGE_CHUNK_BYTES);
  g_autofree char *data = g_strnfill (LARGE_CHUNK_BYTES, 'x');
  g_string_append (chunk, data);
  g_string_append (chunk, "\r\n");
  return chunk;
}

/* A crowd of chunked uploads, of CHUNKS times CHUNK each.  Most of ten stop 9
   bytes before their end and stay open.  */
static void
add_chunked_crowd (struct crowd *c, const GString *chunk, size_t chunks)
{
  for (unsigned i = 0; i < CROWD; i++)
    {
      GString *head = crowd_head (c, "/once/ok", "Transfer-Encoding: chunked");
      bool complete = i % 10 >= INCOMPLETE_OF_TEN;
      size_t size = chunk->len * chunks;
      crowd_add (c, head, chunk, complete ? size : size - 9,
                 complete ? "0\r\n\r\n" : "");
    }
}

static void
add_large_chunks (struct crowd *c)
{
  add_chunked_crowd (c, create_large_chunk (c),
                     CROWD_BODY_MAX_BYTES / LARGE_CHUNK_BYTES);
}

/* Announced lengths far over the limit are not read.  */
static void
test_announced_too_long (void)
{
  struct crowd *c = create_crowd ();
  GString *pattern = create_large_chunk (c);
  for (unsigned i = 0; i < CROWD; i++)
    crowd_add (c, crowd_head (c, "/once/ok", "Content-Length: 4000000000"),
               pattern, 4000000000, "");
  crowd_play (c, PLAY_MS);
  for (guint i = 0; i < c->senders->len; i++)
    g_assert_true (((struct sender *)g_ptr_array_index (c->senders, i))->gone);
  crowd_end (c);
  crowd_destroy (c);
}

/* Chunked bodies without end.  */
static void
test_sent_too_long (void)
{
  struct crowd *c = create_crowd ();
  add_chunked_crowd (c, create_large_chunk (c), 60000);
  crowd_run (c, PLAY_MS);
}

static void
test_large_chunks (void)
{
  struct crowd *c = create_crowd ();
  add_large_chunks (c);
  crowd_run (c, PLAY_MS);
}

static void
test_small_chunks (void)
{
  struct crowd *c = create_crowd ();
  GString *chunks = crowd_text (c, "");
  while (chunks->len < PATTERN_BYTES)
    g_string_append (chunks, "1\r\nx\r\n");
  size_t per_pattern = chunks->len / strlen ("1\r\nx\r\n");
  add_chunked_crowd (c, chunks, CROWD_BODY_MAX_BYTES / per_pattern);
  crowd_run (c, PLAY_MS);
}

/* More connections than the VM accepts, each with a head that arrives a byte
   at a time: they must not use up the connections of ordinary callers.  */
static void
test_slow_heads (void)
{
  struct crowd *c = create_crowd ();
  GString *start = crowd_text (c, "GET /safe/ok HTTP/1.1\r\nHost: ");
  GString *byte = crowd_text (c, "a");
  c->part_bytes = 1;
  for (unsigned i = 0; i < SLOW_HEADS; i++)
    crowd_add (c, start, byte, CROWD_BODY_MAX_BYTES, "");
  crowd_run (c, PLAY_MS);
}

/* Guards against heads that take many times their bytes once they are complete
   and are part of no sum: each has very many fields, and a body to come.  */
static void
test_many_fields (void)
{
  struct crowd *c = create_crowd ();
  GString *none = crowd_text (c, "");
  g_autoptr (GString) fields = g_string_new ("Content-Length: 1000");
  while (fields->len < MANY_FIELDS_BYTES)
    g_string_append (fields, "\r\na:");
  for (unsigned i = 0; i < CONNECTIONS_MAX; i++)
    crowd_add (c, crowd_head (c, "/once/ok", fields->str), none, 0, "");
  crowd_run (c, PLAY_MS);
}

/* The same at the address that lists the VMs.  */
static void
test_many_fields_at_directory (void)
{
  struct crowd *c = create_crowd ();
  GString *none = crowd_text (c, "");
  g_autoptr (GString) fields = g_string_new ("Content-Length: 1000");
  while (fields->len < MANY_FIELDS_BYTES)
    g_string_append (fields, "\r\na:");
  c->address = c->site->entry_addresses[0];
  for (unsigned i = 0; i < DIRECTORY_CALLERS; i++)
    crowd_add (c, crowd_head (c, "/api/resolve", fields->str), none, 0, "");
  crowd_run (c, PLAY_MS);
}

/* Guards against a request inside the limits that is refused in calm: the
   longest body behind a head of very many fields.  */
static void
test_largest_request (void)
{
  struct crowd *c = create_crowd ();
  g_autoptr (GString) fields = g_string_new (NULL);
  while (fields->len < MANY_FIELDS_BYTES)
    g_string_append (fields, "a:\r\n");
  g_autofree char *body = g_strnfill (CROWD_BODY_MAX_BYTES, 'x');
  struct web *w = site_send_request (c->site, 0, "POST", "/once/ok", "largest",
                                     fields->str, body);
  web_read_response (w, ANSWER_TIMEOUT_MS);
  g_assert_cmpint (w->status, ==, 200);
  web_close (w);
  crowd_end (c);
  crowd_destroy (c);
}

/* Guards against bytes that the kernel holds unread, which grow with the
   connections: each caller is halfway through its body.  */
static void
test_halfway_bodies (void)
{
  struct crowd *c = crowd_create (program_directory (), HALFWAY_CALLERS);
  GString *bytes = create_large_chunk (c);
  g_autofree char *length
      = g_strdup_printf ("Content-Length: %u", CROWD_BODY_MAX_BYTES);
  for (unsigned i = 0; i < HALFWAY_CALLERS; i++)
    crowd_add (c, crowd_head (c, "/once/ok", length), bytes,
               CROWD_BODY_MAX_BYTES / 2, "");
  crowd_run (c, PLAY_MS);
}

/* The same with chunks, each caller just short of its end.  */
static void
test_halfway_chunks (void)
{
  struct crowd *c = crowd_create (program_directory (), HALFWAY_CALLERS);
  const GString *chunk = create_large_chunk (c);
  size_t size = chunk->len * (CROWD_BODY_MAX_BYTES / LARGE_CHUNK_BYTES);
  for (unsigned i = 0; i < HALFWAY_CALLERS; i++)
    crowd_add (c, crowd_head (c, "/once/ok", "Transfer-Encoding: chunked"),
               chunk, size - 9, "");
  crowd_run (c, PLAY_MS);
}

/* Guards against a buffer of the kernel that stays large for good: each caller
   is halfway through its second body.  */
static void
test_second_bodies (void)
{
  struct crowd *c = create_crowd ();
  GString *bytes = create_large_chunk (c);
  g_autofree char *first = g_strdup_printf ("Content-Length: %zu", bytes->len);
  g_autofree char *second
      = g_strdup_printf ("Content-Length: %u", CROWD_BODY_MAX_BYTES);
  for (unsigned i = 0; i < CONNECTIONS_MAX; i++)
    {
      GString *head = crowd_head (c, "/once/ok", first);
      g_string_append_len (head, bytes->str, (gssize)bytes->len);
      g_string_append (head, crowd_head (c, "/once/ok", second)->str);
      crowd_add (c, head, bytes, CROWD_BODY_MAX_BYTES / 2, "");
    }
  crowd_run (c, PLAY_MS);
}

/* Guards against requests that are sent ahead of a response, and held in each
   connection: each caller sends many behind one that takes long.  */
static void
test_requests_ahead (void)
{
  struct crowd *c = crowd_create (program_directory (), HALFWAY_CALLERS);
  const GString *ahead = crowd_head (c, "/once/ok", "Content-Length: 0");
  for (unsigned i = 0; i < HALFWAY_CALLERS; i++)
    crowd_add (c, crowd_head (c, "/once/wait-20000", "Content-Length: 0"),
               ahead, CROWD_BODY_MAX_BYTES, "");
  crowd_run (c, PLAY_MS);
}

/* Responses that wait for callers and bodies that are read share one budget.
 */
static void
test_beside_unread_responses (void)
{
  struct crowd *c = create_crowd ();
  struct web *unread[UNREAD_RESPONSES];
  for (unsigned i = 0; i < UNREAD_RESPONSES; i++)
    {
      g_autofree char *id = g_strdup_printf ("unread-%u", i);
      unread[i] = site_send_request (c->site, 0, "GET", "/safe/endless-body",
                                     id, NULL, NULL);
    }
  add_large_chunks (c);
  crowd_play (c, PLAY_MS);
  crowd_end (c);
  for (unsigned i = 0; i < UNREAD_RESPONSES; i++)
    web_close (unread[i]);
  crowd_destroy (c);
}

/* The settings are reloaded beside the crowd, and SIGTERM ends the process. */
static void
test_reload_and_stop (void)
{
  struct crowd *c = create_crowd ();
  struct proc *vm = c->site->vms[0];
  add_large_chunks (c);
  for (unsigned i = 0; i < 3; i++)
    {
      crowd_play (c, PLAY_MS / 3);
      proc_signal (vm, SIGHUP);
    }
  crowd_expect_answer (c);
  proc_signal (vm, SIGTERM);
  g_assert_true (proc_wait (vm, STOP_TIMEOUT_MS));
  g_assert_cmpint (vm->status, ==, 0);
  crowd_destroy (c);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  g_test_add_func ("/uploads/announced-too-long", test_announced_too_long);
  g_test_add_func ("/uploads/sent-too-long", test_sent_too_long);
  g_test_add_func ("/uploads/large-chunks", test_large_chunks);
  g_test_add_func ("/uploads/small-chunks", test_small_chunks);
  g_test_add_func ("/uploads/slow-heads", test_slow_heads);
  g_test_add_func ("/uploads/many-fields", test_many_fields);
  g_test_add_func ("/uploads/many-fields-at-directory",
                   test_many_fields_at_directory);
  g_test_add_func ("/uploads/largest-request", test_largest_request);
  g_test_add_func ("/uploads/halfway-bodies", test_halfway_bodies);
  g_test_add_func ("/uploads/halfway-chunks", test_halfway_chunks);
  g_test_add_func ("/uploads/second-bodies", test_second_bodies);
  g_test_add_func ("/uploads/requests-ahead", test_requests_ahead);
  g_test_add_func ("/uploads/beside-unread-responses",
                   test_beside_unread_responses);
  g_test_add_func ("/uploads/reload-and-stop", test_reload_and_stop);
  return g_test_run ();
}
