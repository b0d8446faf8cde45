/** @file
    Process tests of uploads from callers that stay within no limit: too long,
    in very large or very small chunks, never completed, or beside callers that
    read no response.  The VM must live, its memory and its open descriptors
    must stay bounded, and it must answer an ordinary request afterwards.  */
#include "harness/site.h"
#include "process/common.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define VMS 1
#define UPSTREAMS 1
/* Half of it may hold bodies and responses: 12 MB.  */
#define MEMORY_MB 24
#define BODY_MAX_BYTES (1024U * 1024)
#define CONNECTIONS_MAX 200
/* No caller of a test is ended by the time-out of its request.  */
#define HEADER_TIMEOUT_MS 60000
#define ROUTE_TIMEOUT_MS 60000
/* Growth over the memory in use before the crowd came, and open descriptors:
   the budget of 12 MB and as much for all else.  */
#define GROWTH_MAX_KIB (24 * 1024)
#define DESCRIPTORS_MAX (2 * CONNECTIONS_MAX + 60)
/* Growth that is left once the crowd has gone.  */
#define GROWTH_LEFT_KIB (12 * 1024)
/* A crowd uploads 64 MB, if that is read.  */
#define CROWD 64
#define UNREAD_RESPONSES 60
#define SLOW_HEADS 300
#define LARGE_CHUNK_BYTES 65536U
/* Least length of a pattern of small chunks.  */
#define PATTERN_BYTES 65536U
/* Of ten uploads this many are never completed.  */
#define INCOMPLETE_OF_TEN 9
#define PLAY_MS 6000
#define PART_MAX_BYTES (128U * 1024)
#define WARM_UP_REQUESTS 20
#define ANSWER_TIMEOUT_MS 30000
#define STOP_TIMEOUT_MS 30000
/* Freed memory that a sanitizer keeps cannot be told from memory in use.  */
#ifdef __SANITIZE_ADDRESS__
#define IS_SANITIZED true
#else
#define IS_SANITIZED false
#endif

/* One caller: sends HEAD, then PATTERN over and over up to SIZE bytes, then
   END, and reads nothing until the play ends.  */
struct sender
{
  int fd;
  const GString *head;
  const GString *pattern;
  const char *end;
  size_t size;
  size_t sent; /* bytes of all three */
  bool gone;   /* the VM closed the connection */
};

struct play
{
  struct site *site;
  GPtrArray *senders; /* of struct sender */
  long rest_kib;      /* memory before the crowd came */
  long most_kib;
  unsigned most_descriptors;
  size_t part_bytes; /* sent at a time */
};

static int
connect_to (const char *address)
{
  g_auto (GStrv) parts = g_strsplit (address, ":", 2);
  struct sockaddr_in sa
      = { .sin_family = AF_INET,
          .sin_port = htons ((uint16_t)g_ascii_strtoull (parts[1], NULL, 10)),
          .sin_addr.s_addr = inet_addr (parts[0]) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (fd, >=, 0);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&sa, sizeof sa), ==, 0);
  g_assert_cmpint (fcntl (fd, F_SETFL, O_NONBLOCK), ==, 0);
  return fd;
}

static void
sender_free (void *arg)
{
  struct sender *s = arg;
  close (s->fd);
  g_free (s);
}

static unsigned
count_descriptors (const struct proc *p)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/fd", (int)p->pid);
  g_autoptr (GDir) dir = g_dir_open (path, 0, NULL);
  unsigned n = 0;
  g_assert_nonnull (dir);
  while (g_dir_read_name (dir))
    n++;
  return n;
}

/* The VM runs, and its memory and descriptors are within their bounds.  */
static void
sample (struct play *p)
{
  struct proc *vm = p->site->vms[0];
  g_assert_false (proc_wait (vm, 0));
  long kib = proc_rss_kib (vm) - p->rest_kib;
  unsigned descriptors = count_descriptors (vm);
  p->most_kib = MAX (p->most_kib, kib);
  p->most_descriptors = MAX (p->most_descriptors, descriptors);
  g_assert_cmpint (kib, <, GROWTH_MAX_KIB);
  g_assert_cmpuint (descriptors, <, DESCRIPTORS_MAX);
}

/* Whether an ordinary request is answered.  A VM that is overloaded may refuse
   it once.  */
static bool
is_answered (void *arg)
{
  struct play *p = arg;
  static unsigned number;
  g_autofree char *id = g_strdup_printf ("ordinary-%u", number++);
  struct web *w = site_request (p->site, 0, "GET", "/safe/ok", id);
  bool answered = w->complete && w->status == 200;
  web_close (w);
  sample (p);
  return answered;
}

static struct play *
play_create (void)
{
  struct play *p = g_new0 (struct play, 1);
  p->site = site_create (program_directory (), VMS, UPSTREAMS);
  p->site->timeout_ms = ROUTE_TIMEOUT_MS;
  p->site->max_body_bytes = BODY_MAX_BYTES;
  p->site->header_timeout_ms = HEADER_TIMEOUT_MS;
  p->site->memory_mb = MEMORY_MB;
  p->site->vm_connections = CONNECTIONS_MAX;
  p->senders = g_ptr_array_new_with_free_func (sender_free);
  p->part_bytes = PART_MAX_BYTES;
  site_write_routes (p->site, 2, NULL);
  site_start (p->site);
  p->rest_kib = proc_rss_kib (p->site->vms[0]);
  for (unsigned i = 0; i < WARM_UP_REQUESTS; i++)
    g_assert_true (is_answered (p));
  p->rest_kib = proc_rss_kib (p->site->vms[0]);
  p->most_kib = 0;
  return p;
}

static void
add_sender (struct play *p, const GString *head, const GString *pattern,
            size_t size, const char *end)
{
  struct sender *s = g_new0 (struct sender, 1);
  s->fd = connect_to (p->site->front_addresses[0]);
  s->head = head;
  s->pattern = pattern;
  s->size = size;
  s->end = end;
  g_ptr_array_add (p->senders, s);
}

/* Returns what S sends next, of N bytes; 0 at its end.  */
static const char *
next_part (const struct sender *s, size_t *n)
{
  size_t at = s->sent;
  if (at < s->head->len)
    {
      *n = s->head->len - at;
      return s->head->str + at;
    }
  at -= s->head->len;
  if (at < s->size)
    {
      size_t in_pattern = at % s->pattern->len;
      *n = MIN (s->pattern->len - in_pattern, s->size - at);
      return s->pattern->str + in_pattern;
    }
  at -= s->size;
  *n = strlen (s->end) - at;
  return s->end + at;
}

static void
send_parts (const struct play *p, struct sender *s)
{
  size_t left = p->part_bytes;
  while (!s->gone && left > 0)
    {
      size_t n = 0;
      const char *part = next_part (s, &n);
      n = MIN (n, left);
      if (n == 0)
        return;
      ssize_t sent = send (s->fd, part, n, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0 && errno == EAGAIN)
        return;
      s->gone = sent < 0;
      s->sent += s->gone ? 0 : (size_t)sent;
      left -= s->gone ? 0 : (size_t)sent;
    }
}

static void
play_for (struct play *p, unsigned ms)
{
  gint64 end_us = g_get_monotonic_time () + (gint64)ms * 1000;
  while (g_get_monotonic_time () < end_us)
    {
      for (guint i = 0; i < p->senders->len; i++)
        send_parts (p, g_ptr_array_index (p->senders, i));
      sample (p);
      g_usleep (5000);
    }
}

static bool
has_fallen (void *arg)
{
  struct play *p = arg;
  sample (p);
  return proc_rss_kib (p->site->vms[0]) - p->rest_kib < GROWTH_LEFT_KIB;
}

/* The crowd leaves.  */
static void
end_crowd (struct play *p)
{
  g_test_message ("grew by %ld KiB, %u descriptors", p->most_kib,
                  p->most_descriptors);
  site_wait (is_answered, p, ANSWER_TIMEOUT_MS);
  g_ptr_array_set_size (p->senders, 0);
  if (!IS_SANITIZED)
    site_wait (has_fallen, p, ANSWER_TIMEOUT_MS);
  site_wait (is_answered, p, ANSWER_TIMEOUT_MS);
}

static void
play_destroy (struct play *p)
{
  site_destroy (p->site);
  g_ptr_array_free (p->senders, TRUE);
  g_free (p);
}

static GString *
create_head (const char *path, const char *framing)
{
  static unsigned number;
  GString *head = g_string_new (NULL);
  g_string_printf (head,
                   "POST %s HTTP/1.1\r\nHost: " SITE_HOST
                   "\r\nX-Request-Id: upload-%u\r\n%s\r\n\r\n",
                   path, number++, framing);
  return head;
}

static GString *
create_large_chunk (void)
{
  GString *chunk = g_string_new (NULL);
  g_string_printf (chunk, "%x\r\n", LARGE_CHUNK_BYTES);
  g_autofree char *data = g_strnfill (LARGE_CHUNK_BYTES, 'x');
  g_string_append (chunk, data);
  g_string_append (chunk, "\r\n");
  return chunk;
}

static void
free_text (void *text)
{
  g_string_free (text, TRUE);
}

/* A crowd of chunked uploads, of CHUNKS times CHUNK each.  MOST of ten stop 9
   bytes before their end and stay open.  */
static void
add_chunked_crowd (struct play *p, GPtrArray *texts, GString *chunk,
                   size_t chunks, unsigned most)
{
  g_ptr_array_add (texts, chunk);
  for (unsigned i = 0; i < CROWD; i++)
    {
      GString *head = create_head ("/once/ok", "Transfer-Encoding: chunked");
      bool complete = i % 10 >= most;
      size_t size = chunk->len * chunks;
      g_ptr_array_add (texts, head);
      add_sender (p, head, chunk, complete ? size : size - 9,
                  complete ? "0\r\n\r\n" : "");
    }
}

/* Announced lengths far over the limit are not read.  */
static void
test_announced_too_long (void)
{
  struct play *p = play_create ();
  g_autoptr (GPtrArray) texts = g_ptr_array_new_with_free_func (free_text);
  GString *pattern = create_large_chunk ();
  g_ptr_array_add (texts, pattern);
  for (unsigned i = 0; i < CROWD; i++)
    {
      GString *head = create_head ("/once/ok", "Content-Length: 4000000000");
      g_ptr_array_add (texts, head);
      add_sender (p, head, pattern, 4000000000, "");
    }
  play_for (p, PLAY_MS);
  for (guint i = 0; i < p->senders->len; i++)
    g_assert_true (((struct sender *)g_ptr_array_index (p->senders, i))->gone);
  end_crowd (p);
  play_destroy (p);
}

/* Chunked bodies without end.  */
static void
test_sent_too_long (void)
{
  struct play *p = play_create ();
  g_autoptr (GPtrArray) texts = g_ptr_array_new_with_free_func (free_text);
  add_chunked_crowd (p, texts, create_large_chunk (), 60000,
                     INCOMPLETE_OF_TEN);
  play_for (p, PLAY_MS);
  end_crowd (p);
  play_destroy (p);
}

static void
test_large_chunks (void)
{
  struct play *p = play_create ();
  g_autoptr (GPtrArray) texts = g_ptr_array_new_with_free_func (free_text);
  add_chunked_crowd (p, texts, create_large_chunk (),
                     BODY_MAX_BYTES / LARGE_CHUNK_BYTES, INCOMPLETE_OF_TEN);
  play_for (p, PLAY_MS);
  end_crowd (p);
  play_destroy (p);
}

static void
test_small_chunks (void)
{
  struct play *p = play_create ();
  g_autoptr (GPtrArray) texts = g_ptr_array_new_with_free_func (free_text);
  GString *chunks = g_string_new (NULL);
  while (chunks->len < PATTERN_BYTES)
    g_string_append (chunks, "1\r\nx\r\n");
  size_t per_pattern = chunks->len / strlen ("1\r\nx\r\n");
  add_chunked_crowd (p, texts, chunks, BODY_MAX_BYTES / per_pattern,
                     INCOMPLETE_OF_TEN);
  play_for (p, PLAY_MS);
  end_crowd (p);
  play_destroy (p);
}

/* More connections than the VM accepts, each with a head that arrives a byte
   at a time: they must not use up the connections of ordinary callers.  */
static void
test_slow_heads (void)
{
  struct play *p = play_create ();
  g_autoptr (GPtrArray) texts = g_ptr_array_new_with_free_func (free_text);
  GString *start = g_string_new ("GET /safe/ok HTTP/1.1\r\nHost: ");
  GString *byte = g_string_new ("a");
  g_ptr_array_add (texts, start);
  g_ptr_array_add (texts, byte);
  p->part_bytes = 1;
  for (unsigned i = 0; i < SLOW_HEADS; i++)
    add_sender (p, start, byte, BODY_MAX_BYTES, "");
  play_for (p, PLAY_MS);
  end_crowd (p);
  play_destroy (p);
}

/* Responses that wait for callers and bodies that are read share one budget.
 */
static void
test_beside_unread_responses (void)
{
  struct play *p = play_create ();
  struct web *unread[UNREAD_RESPONSES];
  g_autoptr (GPtrArray) texts = g_ptr_array_new_with_free_func (free_text);
  for (unsigned i = 0; i < UNREAD_RESPONSES; i++)
    {
      g_autofree char *id = g_strdup_printf ("unread-%u", i);
      unread[i] = site_send_request (p->site, 0, "GET", "/safe/endless-body",
                                     id, NULL, NULL);
    }
  add_chunked_crowd (p, texts, create_large_chunk (),
                     BODY_MAX_BYTES / LARGE_CHUNK_BYTES, INCOMPLETE_OF_TEN);
  play_for (p, PLAY_MS);
  end_crowd (p);
  for (unsigned i = 0; i < UNREAD_RESPONSES; i++)
    web_close (unread[i]);
  play_destroy (p);
}

/* The settings are reloaded beside the crowd, and SIGTERM ends the process. */
static void
test_reload_and_stop (void)
{
  struct play *p = play_create ();
  g_autoptr (GPtrArray) texts = g_ptr_array_new_with_free_func (free_text);
  add_chunked_crowd (p, texts, create_large_chunk (),
                     BODY_MAX_BYTES / LARGE_CHUNK_BYTES, INCOMPLETE_OF_TEN);
  for (unsigned i = 0; i < 3; i++)
    {
      play_for (p, PLAY_MS / 3);
      proc_signal (p->site->vms[0], SIGHUP);
    }
  site_wait (is_answered, p, ANSWER_TIMEOUT_MS);
  proc_signal (p->site->vms[0], SIGTERM);
  g_assert_true (proc_wait (p->site->vms[0], STOP_TIMEOUT_MS));
  g_assert_cmpint (p->site->vms[0]->status, ==, 0);
  play_destroy (p);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  /* Freed memory that the sanitizer withholds is not the VM's.  */
  g_setenv ("ASAN_OPTIONS",
            "quarantine_size_mb=1:thread_local_quarantine_size_kb=64", TRUE);
  g_test_add_func ("/uploads/announced-too-long", test_announced_too_long);
  g_test_add_func ("/uploads/sent-too-long", test_sent_too_long);
  g_test_add_func ("/uploads/large-chunks", test_large_chunks);
  g_test_add_func ("/uploads/small-chunks", test_small_chunks);
  g_test_add_func ("/uploads/slow-heads", test_slow_heads);
  g_test_add_func ("/uploads/beside-unread-responses",
                   test_beside_unread_responses);
  g_test_add_func ("/uploads/reload-and-stop", test_reload_and_stop);
  return g_test_run ();
}
