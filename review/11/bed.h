/** @file
    Test bed of the cases in review/11 to review/15: a small deployment on
    loopback addresses.  The platform's store is the project's fake_store, the
    VMs are target/buckthornd, started with the command and the template of
    deploy/, and the servers are threads of the test program.  What is sent,
    run and answered goes to record.txt.  */
#ifndef REVIEW_BED_H
#define REVIEW_BED_H

#include "harness/proc.h"
#include "harness/web.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BED_IP "127.0.0.1"
#define BED_HOST "ficu95.example"
#define BED_VMS_MAX 9
#define BED_HEAD_MAX 65536
#define HEARTBEAT_MS 1200
#define READY_MS 20000

/* Time and record.  */

static int64_t bed_began_us;
static FILE *bed_record;
static pthread_mutex_t bed_lock = PTHREAD_MUTEX_INITIALIZER;

static inline int64_t
bed_ms (void)
{
  return (g_get_monotonic_time () - bed_began_us) / 1000;
}

static inline void __attribute__ ((format (printf, 1, 2)))
note (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  pthread_mutex_lock (&bed_lock);
  fprintf (bed_record, "%7.3f s  ", (double)bed_ms () / 1000);
  vfprintf (bed_record, format, args);
  fputc ('\n', bed_record);
  fflush (bed_record);
  pthread_mutex_unlock (&bed_lock);
  va_end (args);
}

static inline void
bed_sleep_ms (int64_t ms)
{
  if (ms > 0)
    g_usleep ((gulong)ms * 1000);
}

/* The case could not be played.  */
static inline void __attribute__ ((noreturn)) bed_give_up (const char *why)
{
  note ("the case could not run: %s", why);
  fprintf (stderr, "the case could not run: %s\n", why);
  exit (2);
}

/* Servers.  */

struct server;

/* A request as a server has read it.  */
struct request
{
  struct server *server;
  int fd;
  char *head; /* request line and header fields */
  char method[16];
  char target[512];
  char *body;
  size_t body_size;
};

/* Responds to R.  Returns whether the connection stays open.  */
typedef bool server_handler (struct request *r);

struct server
{
  char id[32];
  const char *service;
  const char *stage; /* "prefill", "decode" or NULL */
  const char *zone;
  int slots;
  int port;
  int fd;
  const char *state; /* "ready", "draining", or NULL: no entry */
  int64_t born_ms;
  server_handler *handler;
  int number; /* for the case */
};

/* Returns the value of header field NAME in HEAD, to be freed; or NULL.  */
static inline char *
field_of (const char *head, const char *name)
{
  g_auto (GStrv) lines = g_strsplit (head, "\r\n", -1);
  size_t n = strlen (name);
  for (char **l = lines + 1; lines[0] && *l; l++)
    if (g_ascii_strncasecmp (*l, name, n) == 0 && (*l)[n] == ':')
      return g_strstrip (g_strdup (*l + n + 1));
  return NULL;
}

static inline bool
send_all (int fd, const char *data, size_t n)
{
  while (n > 0)
    {
      ssize_t sent = send (fd, data, n, MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      data += sent;
      n -= (size_t)sent;
    }
  return true;
}

static inline bool
send_text (int fd, const char *text)
{
  return send_all (fd, text, strlen (text));
}

/* Waits MS, or until the caller has closed the connection; returns whether it
   is still open.  */
static inline bool
wait_open (int fd, int64_t ms)
{
  int64_t end = bed_ms () + ms;
  for (;;)
    {
      int64_t left = end - bed_ms ();
      struct pollfd p = { fd, POLLRDHUP, 0 };
      if (poll (&p, 1, (int)MAX (left, 0)) > 0
          && (p.revents & (POLLRDHUP | POLLHUP | POLLERR)))
        return false;
      if (left <= 0)
        return true;
    }
}

/* Reads one request.  Returns false at the end of the connection.  */
static inline bool
read_request (struct server *s, int fd, struct request *r)
{
  char *buffer = g_malloc (BED_HEAD_MAX + 1);
  size_t n = 0;
  char *end = NULL;
  memset (r, 0, sizeof *r);
  r->server = s;
  r->fd = fd;
  while (end == NULL && n < BED_HEAD_MAX)
    {
      ssize_t got = recv (fd, buffer + n, BED_HEAD_MAX - n, 0);
      if (got <= 0)
        {
          g_free (buffer);
          return false;
        }
      n += (size_t)got;
      buffer[n] = '\0';
      end = strstr (buffer, "\r\n\r\n");
    }
  if (end == NULL)
    {
      g_free (buffer);
      return false;
    }
  size_t head = (size_t)(end - buffer) + 4;
  r->head = g_strndup (buffer, head);
  sscanf (r->head, "%15s %511s", r->method, r->target);
  g_autofree char *length = field_of (r->head, "Content-Length");
  r->body_size = length ? (size_t)g_ascii_strtoull (length, NULL, 10) : 0;
  r->body = g_malloc0 (r->body_size + 1);
  size_t have = MIN (n - head, r->body_size);
  memcpy (r->body, buffer + head, have);
  g_free (buffer);
  while (have < r->body_size)
    {
      ssize_t got = recv (fd, r->body + have, r->body_size - have, 0);
      if (got <= 0)
        return false;
      have += (size_t)got;
    }
  return true;
}

/* Sends a complete response.  EXTRA are header lines.  */
static inline bool
respond (struct request *r, const char *status, const char *extra,
         const char *body)
{
  g_autofree char *id = field_of (r->head, "X-Request-Id");
  g_autofree char *text = g_strdup_printf (
      "HTTP/1.1 %s\r\n%s%s%s%sContent-Length: %zu\r\n\r\n%s", status,
      id ? "X-Request-Id: " : "", id ? id : "", id ? "\r\n" : "",
      extra ? extra : "", strlen (body), body);
  return send_text (r->fd, text);
}

static inline char *
seal_of (const struct request *r)
{
  return g_strdup_printf ("X-Response-Seal: %s.07.5a2.600.0.c9f2a4d1\r\n",
                          r->server->id);
}

/* What all servers do: health, order, report, and the check of the instance.
   Returns whether R was answered.  */
static inline bool
respond_common (struct request *r, bool *keep)
{
  g_autofree char *expected = field_of (r->head, "X-Expect-Instance");
  if (expected && strcmp (expected, r->server->id) != 0)
    *keep = respond (r, "421 Misdirected Request", NULL, "");
  else if (strcmp (r->target, "/health") == 0)
    {
      g_autofree char *line
          = g_strdup_printf ("X-Instance: %s\r\n", r->server->id);
      *keep = respond (r, "200 OK", line, "");
    }
  else if (strcmp (r->target, "/api/order") == 0)
    {
      note ("server %s gets the order %s", r->server->id, r->body);
      *keep = respond (r, "202 Accepted", NULL, "");
    }
  else if (g_str_has_prefix (r->target, "/api/kv-handle/"))
    *keep = respond (r, "200 OK", NULL, "");
  else
    return false;
  return true;
}

struct server_conn
{
  struct server *server;
  int fd;
};

static inline void *
server_conn_run (void *arg)
{
  struct server_conn c = *(struct server_conn *)arg;
  g_free (arg);
  int one = 1;
  setsockopt (c.fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  bool open = true;
  while (open)
    {
      struct request r;
      bool got = read_request (c.server, c.fd, &r);
      open = got;
      if (got && !respond_common (&r, &open))
        open = c.server->handler (&r);
      g_free (r.head);
      g_free (r.body);
    }
  close (c.fd);
  return NULL;
}

static inline void
start_thread (void *(*run) (void *), void *arg)
{
  pthread_t t;
  if (pthread_create (&t, NULL, run, arg) != 0)
    bed_give_up ("no thread");
  pthread_detach (t);
}

static inline void *
server_accept (void *arg)
{
  struct server *s = arg;
  for (;;)
    {
      int fd = accept (s->fd, NULL, NULL);
      if (fd < 0)
        return NULL;
      struct server_conn *c = g_new (struct server_conn, 1);
      *c = (struct server_conn){ s, fd };
      start_thread (server_conn_run, c);
    }
}

static inline void
server_listen (struct server *s)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  socklen_t n = sizeof sa;
  int one = 1;
  sa.sin_addr.s_addr = inet_addr (BED_IP);
  s->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (s->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (s->fd, (struct sockaddr *)&sa, sizeof sa) != 0
      || listen (s->fd, 1024) != 0
      || getsockname (s->fd, (struct sockaddr *)&sa, &n) != 0)
    bed_give_up ("a server cannot listen");
  s->port = ntohs (sa.sin_port);
  start_thread (server_accept, s);
}

/* The deployment.  */

struct bed
{
  char *dir;
  struct proc *store;
  char *store_address;
  unsigned n_vms;
  struct proc *vms[BED_VMS_MAX];
  char *front[BED_VMS_MAX];
  char *ready[BED_VMS_MAX];
  char *settings[BED_VMS_MAX];
  const char *vm_store[BED_VMS_MAX]; /* NULL: the store itself */
  const char *zone[BED_VMS_MAX];
  struct server *servers[32];
  unsigned n_servers;
  const char *duty_address; /* NULL: no duties */
  int memory_mb;
};

static struct bed bed = { .memory_mb = 260 };

static inline void
store_post (const char *path, const char *body)
{
  struct web *w
      = web_request (bed.store_address, "POST", path, NULL, NULL, body);
  if (w->status != 200)
    bed_give_up ("the store refuses what the operator writes");
  web_close (w);
}

static inline void
store_put (const char *key, const char *value)
{
  g_autofree char *path = g_strdup_printf ("/op?key=%s", key);
  store_post (path, value);
}

/* Writes the entry of S, as the server itself does at each heartbeat.  */
static inline void
write_entry (const struct server *s)
{
  static int sequence;
  if (s->state == NULL)
    return;
  g_autofree char *key = g_strdup_printf ("servers/%s", s->id);
  g_autofree char *stage
      = s->stage ? g_strdup_printf (
            "\"stage\":\"%s\",\"models\":[{\"name\":\"m\",\"version\":1,"
            "\"adapters\":[]}],",
            s->stage)
                 : g_strdup ("");
  pthread_mutex_lock (&bed_lock);
  int seq = ++sequence;
  pthread_mutex_unlock (&bed_lock);
  g_autofree char *value = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"" BED_IP ":%d\",\"zone\":\"%s\","
      "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\",\"coldLeftMs\":0,%s"
      "\"seq\":%d,\"born\":%" G_GINT64_FORMAT "}",
      s->service, s->port, s->zone, s->slots, s->state, stage, seq,
      s->born_ms);
  store_put (key, value);
}

static inline void *
heartbeats (void *arg)
{
  (void)arg;
  for (;;)
    {
      bed_sleep_ms (HEARTBEAT_MS);
      for (unsigned i = 0; i < bed.n_servers; i++)
        write_entry (bed.servers[i]);
    }
  return NULL;
}

static inline void
add_server (struct server *s)
{
  s->zone = s->zone ? s->zone : "mvd-a";
  s->born_ms = g_get_real_time () / 1000;
  s->state = "ready";
  server_listen (s);
  bed.servers[bed.n_servers++] = s;
  write_entry (s);
}

static inline void
bed_stop (void)
{
  for (unsigned i = 0; i < bed.n_vms; i++)
    proc_destroy (bed.vms[i]);
  bed.n_vms = 0;
  proc_destroy (bed.store);
  bed.store = NULL;
}

/* Starts the record and the store.  */
static inline void
bed_open (const char *record)
{
  bed_began_us = g_get_monotonic_time ();
  bed_record = fopen (record, "w");
  if (bed_record == NULL)
    exit (2);
  signal (SIGPIPE, SIG_IGN);
  bed.dir = g_dir_make_tmp ("buckthorn-review-XXXXXX", NULL);
  g_autofree char *log = g_strdup_printf ("%s/store.log", bed.dir);
  char *argv[]
      = { (char *)"build/release/bin/fake_store", (char *)"--id=store", NULL };
  if (!g_file_test (argv[0], G_FILE_TEST_IS_EXECUTABLE)
      || !g_file_test ("target/buckthornd", G_FILE_TEST_IS_EXECUTABLE))
    bed_give_up ("a program is not built");
  bed.store = proc_start ("store", argv, log);
  bed.store_address
      = g_strdup_printf (BED_IP ":%u", (unsigned)proc_read_port (bed.store));
  atexit (bed_stop);
  start_thread (heartbeats, NULL);
}

/* Returns the template of the settings filled in for VM I.  */
static inline char *
fill_template (unsigned i, const char *name)
{
  g_autofree char *text = NULL;
  if (!g_file_get_contents ("deploy/buckthornd.conf", &text, NULL, NULL))
    bed_give_up ("no template");
  const char *zone = bed.zone[i] ? bed.zone[i] : "mvd-a";
  g_autofree char *peer
      = g_strdup_printf ("%u", (unsigned)proc_unused_port (BED_IP));
  g_autofree char *metrics = g_strdup_printf (
      "BUCKTHORN_METRICS_PORT=%u", (unsigned)proc_unused_port (BED_IP));
  g_autofree char *entry
      = g_strdup_printf (BED_IP ":%u", (unsigned)proc_unused_port (BED_IP));
  const char *const fields[][2]
      = { { "{{node}}", name },
          { "{{region}}", "montevideo" },
          { "{{zone}}", zone },
          { "{{ip}}", BED_IP },
          { "{{portRange.0}}", peer },
          { "{{platform.address}}",
            bed.vm_store[i] ? bed.vm_store[i] : bed.store_address },
          { "{{listen.front}}", bed.front[i] },
          { "{{listen.ready}}", bed.ready[i] },
          { "{{listen.directory}}", entry },
          { "{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", "mvd-a=montevideo" },
          { "BUCKTHORN_METRICS_PORT=9100", metrics },
          { "{{bounds.graceS}}", "8" },
          { "{{bounds.drainMs}}", "2500" },
          { "{{bounds.leaseMs}}", "3000" },
          { "{{bounds.retryBudgetRatio}}", "0.2" },
          { "{{bounds.budgetWindowS}}", "10" },
          { "{{bounds.retrySlack}}", "58" } };
  GString *out = g_string_new (text);
  for (size_t k = 0; k < G_N_ELEMENTS (fields); k++)
    g_string_replace (out, fields[k][0], fields[k][1], 0);
  return g_string_free (out, FALSE);
}

/* Starts VM I with the command of deploy/system.toml.  */
static inline void
start_vm (unsigned i)
{
  g_autofree char *name = g_strdup_printf ("front-mvd-a-%u", i + 1);
  g_autofree char *log = g_strdup_printf ("%s/%s.log", bed.dir, name);
  if (bed.front[i] == NULL)
    {
      bed.front[i] = g_strdup_printf (BED_IP ":%u",
                                      (unsigned)proc_unused_port (BED_IP));
      bed.ready[i] = g_strdup_printf (BED_IP ":%u",
                                      (unsigned)proc_unused_port (BED_IP));
      bed.settings[i] = g_strdup_printf ("%s/%s.conf", bed.dir, name);
      g_autofree char *text = fill_template (i, name);
      if (!g_file_set_contents (bed.settings[i], text, -1, NULL))
        bed_give_up ("no settings file");
    }
  g_autofree char *file
      = g_strdup_printf ("--settings-file=%s", bed.settings[i]);
  g_autofree char *memory = g_strdup_printf ("--memory-mb=%d", bed.memory_mb);
  g_autofree char *duty = g_strdup_printf (
      "--duty-address=%s", bed.duty_address ? bed.duty_address : "");
  bool duties = bed.duty_address != NULL;
  char *argv[]
      = { (char *)"target/buckthornd",
          file,
          (char *)"--kv-recovery-ms=4000",
          duty,
          (char *)(duties ? "--duty-calls-per-s=20" : "--duty-calls-per-s="),
          (char *)(duties ? "--usage-window-s=5" : "--usage-window-s="),
          (char *)(duties ? "--usage-late-s=10" : "--usage-late-s="),
          memory,
          NULL };
  proc_destroy (bed.vms[i]);
  bed.vms[i] = proc_start_logged (name, argv, log);
  bed.n_vms = MAX (bed.n_vms, i + 1);
  note ("%s starts, front %s", name, bed.front[i]);
}

static inline bool
is_ready (unsigned i)
{
  struct web *w
      = web_send_request (bed.ready[i], "GET", "/api/ready", NULL, NULL, NULL);
  web_read_response (w, 1000);
  bool ready = w->status == 200;
  web_close (w);
  return ready;
}

/* Starts N VMs, waits until they are ready, and then for SETTLE_MS.  */
static inline void
start_vms (unsigned n, int64_t settle_ms)
{
  for (unsigned i = 0; i < n; i++)
    start_vm (i);
  for (unsigned i = 0; i < n; i++)
    {
      int64_t end = bed_ms () + READY_MS;
      while (!is_ready (i))
        {
          if (bed_ms () > end)
            bed_give_up ("a VM does not become ready");
          bed_sleep_ms (50);
        }
    }
  note ("all VMs are ready");
  bed_sleep_ms (settle_ms);
}

/* Without it the same is played without the disruption.  */
static inline bool
has_trouble (void)
{
  const char *text = getenv ("TROUBLE");
  return text == NULL || strcmp (text, "0") != 0;
}

/* Ends the case: BROKEN is how often the rule was broken.  */
static inline int
bed_end (const char *rule, unsigned broken)
{
  note ("%s: %s, %u times", rule, broken > 0 ? "broken" : "held", broken);
  printf ("%s: %s, %u times\n", rule, broken > 0 ? "broken" : "held", broken);
  bed_stop ();
  if (getenv ("KEEP_LOGS") == NULL)
    {
      g_autoptr (GDir) d = g_dir_open (bed.dir, 0, NULL);
      const char *name;
      while (d && (name = g_dir_read_name (d)) != NULL)
        {
          g_autofree char *path = g_build_filename (bed.dir, name, NULL);
          g_unlink (path);
        }
      g_rmdir (bed.dir);
    }
  else
    printf ("logs: %s\n", bed.dir);
  return broken > 0 ? 1 : 0;
}

#endif
