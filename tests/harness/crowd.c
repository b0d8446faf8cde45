#include "harness/crowd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define VMS 1
#define UPSTREAMS 1
/* No caller of a test is ended by the time-out of its request.  */
#define HEADER_TIMEOUT_MS 60000
#define ROUTE_TIMEOUT_MS 60000
/* Descriptors of the VM: two for each caller, and its own.  */
#define DESCRIPTORS_PER_CALLER 2
#define OWN_DESCRIPTORS_MAX 60
/* Growth that is left once the crowd has gone.  */
#define GROWTH_LEFT_KIB (CROWD_GROWTH_MAX_KIB / 2)
#define PART_MAX_BYTES (128U * 1024)
#define WARM_UP_REQUESTS 20
#define ANSWER_TIMEOUT_MS 30000
#define PLAY_STEP_US 5000
#define US_PER_MS 1000
/* Freed memory that a sanitizer keeps cannot be told from memory in use.  */
#ifdef __SANITIZE_ADDRESS__
#define IS_SANITIZED true
#else
#define IS_SANITIZED false
#endif

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

static void
text_free (void *text)
{
  g_string_free (text, TRUE);
}

/* The VM.  */

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

/* Memory over that before the crowd came.  */
static long
growth_kib (const struct crowd *c)
{
  return proc_rss_kib (c->site->vms[0]) - c->rest_kib
         + proc_unread_kib (c->site->vms[0], c->address);
}

/* The VM runs, and its memory and descriptors are within their bounds.  */
static void
sample (struct crowd *c)
{
  struct proc *vm = c->site->vms[0];
  g_assert_false (proc_wait (vm, 0));
  long kib = growth_kib (c);
  unsigned descriptors = count_descriptors (vm);
  c->most_kib = MAX (c->most_kib, kib);
  c->most_descriptors = MAX (c->most_descriptors, descriptors);
  g_assert_cmpint (kib, <, CROWD_GROWTH_MAX_KIB);
  g_assert_cmpuint (descriptors, <,
                    DESCRIPTORS_PER_CALLER * c->connections
                        + OWN_DESCRIPTORS_MAX);
}

/* Whether an ordinary request is answered.  A VM that is overloaded may refuse
   it once.  */
static bool
is_answered (void *arg)
{
  struct crowd *c = arg;
  static unsigned number;
  g_autofree char *id = g_strdup_printf ("ordinary-%u", number++);
  struct web *w = site_request (c->site, 0, "GET", "/safe/ok", id);
  bool answered = w->complete && w->status == 200;
  web_close (w);
  sample (c);
  return answered;
}

static bool
has_fallen (void *arg)
{
  struct crowd *c = arg;
  sample (c);
  return growth_kib (c) < GROWTH_LEFT_KIB;
}

struct crowd *
crowd_create (const char *bin, unsigned connections)
{
  struct crowd *c = g_new0 (struct crowd, 1);
  /* Freed memory that the sanitizer withholds is not the VM's.  */
  g_setenv ("ASAN_OPTIONS",
            "quarantine_size_mb=1:thread_local_quarantine_size_kb=64", TRUE);
  c->site = site_create (bin, VMS, UPSTREAMS);
  c->site->timeout_ms = ROUTE_TIMEOUT_MS;
  c->site->max_body_bytes = CROWD_BODY_MAX_BYTES;
  c->site->header_timeout_ms = HEADER_TIMEOUT_MS;
  c->site->memory_mb = CROWD_MEMORY_MB;
  c->site->vm_connections = connections;
  c->connections = connections;
  c->senders = g_ptr_array_new_with_free_func (sender_free);
  c->texts = g_ptr_array_new_with_free_func (text_free);
  c->part_bytes = PART_MAX_BYTES;
  site_write_routes (c->site, 2, NULL);
  site_start (c->site);
  c->address = c->site->front_addresses[0];
  c->rest_kib = proc_rss_kib (c->site->vms[0]);
  for (unsigned i = 0; i < WARM_UP_REQUESTS; i++)
    g_assert_true (is_answered (c));
  c->rest_kib = proc_rss_kib (c->site->vms[0]);
  c->most_kib = 0;
  return c;
}

void
crowd_destroy (struct crowd *c)
{
  site_destroy (c->site);
  g_ptr_array_free (c->senders, TRUE);
  g_ptr_array_free (c->texts, TRUE);
  g_free (c);
}

void
crowd_expect_answer (struct crowd *c)
{
  site_wait (is_answered, c, ANSWER_TIMEOUT_MS);
}

void
crowd_end (struct crowd *c)
{
  g_test_message ("grew by %ld KiB, %u descriptors", c->most_kib,
                  c->most_descriptors);
  crowd_expect_answer (c);
  g_ptr_array_set_size (c->senders, 0);
  if (!IS_SANITIZED)
    site_wait (has_fallen, c, ANSWER_TIMEOUT_MS);
  crowd_expect_answer (c);
}

/* What callers send.  */

GString *
crowd_text (struct crowd *c, const char *text)
{
  GString *s = g_string_new (text);
  g_ptr_array_add (c->texts, s);
  return s;
}

GString *
crowd_head (struct crowd *c, const char *path, const char *fields)
{
  static unsigned number;
  GString *head = crowd_text (c, "");
  g_string_printf (head,
                   "POST %s HTTP/1.1\r\nHost: " SITE_HOST
                   "\r\nX-Request-Id: upload-%u\r\n%s\r\n\r\n",
                   path, number++, fields);
  return head;
}

void
crowd_add (struct crowd *c, const GString *head, const GString *pattern,
           size_t size, const char *end)
{
  struct sender *s = g_new0 (struct sender, 1);
  s->fd = connect_to (c->address);
  s->head = head;
  s->pattern = pattern;
  s->size = size;
  s->end = end;
  g_ptr_array_add (c->senders, s);
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
send_parts (const struct crowd *c, struct sender *s)
{
  size_t left = c->part_bytes;
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

void
crowd_play (struct crowd *c, unsigned ms)
{
  gint64 begin_us = g_get_monotonic_time ();
  gint64 end_us = begin_us + (gint64)ms * US_PER_MS;
  for (gint64 now_us = begin_us; now_us < end_us;
       now_us = g_get_monotonic_time ())
    {
      guint started = c->senders->len;
      if (c->start_gap_ms > 0)
        started = MIN (started, (guint)((now_us - begin_us) / US_PER_MS
                                        / c->start_gap_ms));
      for (guint i = 0; i < started; i++)
        send_parts (c, g_ptr_array_index (c->senders, i));
      sample (c);
      g_usleep (PLAY_STEP_US);
    }
}

void
crowd_run (struct crowd *c, unsigned ms)
{
  crowd_play (c, ms);
  crowd_end (c);
  crowd_destroy (c);
}
