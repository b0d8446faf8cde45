/** @file
    Benchmark of one entry VM on loopback: time to the first token and events
    per second, each against direct connections to the same engines in the same
    run, and memory per open stream.  "speed FOLDER" runs the programs in
    FOLDER.  */
#include "harness/fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_TOKEN_REQUESTS 400
#define LOAD_THREADS 8
#define LOAD_STREAMS 60 /* concurrent streams per thread */
#define LOAD_TOKENS 400
#define LOAD_ROUNDS 4
#define OPEN_STREAMS 400
/* Events/s per core: ten times the 7,500 tokens/s that are one VM's share.  */
#define EVENTS_TARGET 75000
#define STREAM_BYTES_TARGET (32 * 1024)

static int exit_status;

/* Prints whether VALUE meets its target LIMIT: "<=" or ">=", as RELATION says.
   If not, the program ends with status 1.  */
static void
check_bound (const char *name, double value, const char *relation,
             double limit)
{
  bool ok = relation[0] == '<' ? value <= limit : value >= limit;
  printf ("bound name=speed/%s value=%.4f %s %.4f %s\n", name, value, relation,
          limit, ok ? "met" : "NOT MET");
  if (!ok)
    exit_status = 1;
}

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a, y = *(const double *)b;
  return x < y ? -1 : x > y;
}

struct latency
{
  double median;
  double p99;
};

/* Sends FIRST_TOKEN_REQUESTS requests one after the other and returns their
   times to the first token.  KEY is NULL if ADDRESS is that of an engine.  */
static struct latency
first_token_ms (const char *address, const char *key)
{
  g_autoptr (GArray) all = g_array_new (FALSE, FALSE, sizeof (double));
  g_autofree char *body = fleet_chat_body ("How sour?", 1, true);
  for (unsigned i = 0; i < FIRST_TOKEN_REQUESTS; i++)
    {
      g_autofree char *id_header
          = g_strdup_printf ("X-Request-Id: d%u\r\n", i);
      gint64 start = g_get_monotonic_time ();
      struct web *w
          = web_send_request (address, "POST", "/v1/chat/completions", key,
                              key ? NULL : id_header, body);
      web_read_events (w, 1, 5000);
      double ms = (double)(w->first_us - start) / 1000;
      g_array_append_val (all, ms);
      web_close (w);
    }
  g_array_sort (all, compare_doubles);
  return (struct latency){ g_array_index (all, double, all->len / 2),
                           g_array_index (all, double, all->len * 99 / 100) };
}

/* What one load thread sends, and the events that it received.  */
struct load_thread
{
  const char *address;
  const char *key; /* bearer token of the caller; NULL for a direct connection
                      to an engine */
  unsigned number; /* number of the thread, part of its request ids */
  unsigned events;
};

static gpointer
run_load_thread (gpointer arg)
{
  struct load_thread *l = arg;
  g_autofree char *body = fleet_chat_body ("Long", LOAD_TOKENS, true);
  for (unsigned round = 0; round < LOAD_ROUNDS; round++)
    {
      struct web *streams[LOAD_STREAMS];
      for (unsigned i = 0; i < LOAD_STREAMS; i++)
        {
          g_autofree char *id_header = g_strdup_printf (
              "X-Request-Id: l%u-%u-%u\r\n", l->number, round, i);
          streams[i]
              = web_send_request (l->address, "POST", "/v1/chat/completions",
                                  l->key, l->key ? NULL : id_header, body);
        }
      for (unsigned i = 0; i < LOAD_STREAMS; i++)
        {
          web_read_response (streams[i], 60000);
          const char *p = streams[i]->body->str;
          while ((p = strstr (p, "\n\n")) != NULL)
            {
              l->events++;
              p += 2;
            }
          web_close (streams[i]);
        }
    }
  return NULL;
}

/* Returns the events per second that the load threads receive from the N
   ADDRESSES, several engines or one VM.  If PROC isn't NULL, sets *CORES to
   the number of cores that it used.  */
static double
events_per_s (char *const *addresses, unsigned n, const char *key,
              const struct proc *proc, double *cores)
{
  struct load_thread loads[LOAD_THREADS];
  GThread *threads[LOAD_THREADS];
  gint64 start = g_get_monotonic_time ();
  gint64 cpu = proc ? proc_cpu_us (proc) : 0;
  unsigned events = 0;
  for (unsigned i = 0; i < LOAD_THREADS; i++)
    {
      loads[i] = (struct load_thread){ addresses[i % n], key, i, 0 };
      threads[i] = g_thread_new ("load", run_load_thread, &loads[i]);
    }
  for (unsigned i = 0; i < LOAD_THREADS; i++)
    {
      g_thread_join (threads[i]);
      events += loads[i].events;
    }
  double seconds = (double)(g_get_monotonic_time () - start) / 1e6;
  if (proc)
    *cores = (double)(proc_cpu_us (proc) - cpu) / 1e6 / seconds;
  return events / seconds;
}

/* Returns the VM's resident memory per open stream, in bytes.  */
static double
stream_bytes (const struct fleet *f)
{
  struct web *streams[OPEN_STREAMS];
  g_autofree char *body = fleet_chat_body ("Open", 100000, true);
  long before = proc_rss_kib (f->vms[0]);
  for (unsigned i = 0; i < OPEN_STREAMS; i++)
    {
      streams[i] = web_send_request (f->http_addresses[0], "POST",
                                     "/v1/chat/completions", FLEET_CALLER_KEY,
                                     NULL, body);
      web_read_events (streams[i], 1, 5000);
    }
  double bytes
      = (double)(proc_rss_kib (f->vms[0]) - before) * 1024 / OPEN_STREAMS;
  for (unsigned i = 0; i < OPEN_STREAMS; i++)
    web_close (streams[i]);
  return bytes;
}

/* Starts one VM and four engines that send a token every TOKEN_MS.  */
static struct fleet *
start_fleet (const char *bin, unsigned token_ms)
{
  struct fleet_shape shape = fleet_shape_small ();
  shape.vms = 1;
  shape.regions = 1;
  shape.domains_per_region = 1;
  shape.engines = 4;
  shape.token_ms = token_ms;
  shape.quiet = true;
  shape.deadline_ms = 60000;
  struct fleet *f = fleet_create (bin, &shape);
  fleet_start (f);
  /* Large batches, so that the engines don't limit the load.  */
  g_autofree char *text = fleet_config_file (f, NULL);
  g_autoptr (GString) file = g_string_new (text);
  g_string_replace (
      file, "    versions: ",
      "    batch: 4096\n    mixed_batch: 4096\n    versions: ", 0);
  g_autofree char *path = g_build_filename (f->dir, "speed.yaml", NULL);
  if (!g_file_set_contents (path, file->str, -1, NULL)
      || fleet_ctl (f, 0, NULL, "apply", path, NULL) != 0)
    g_error ("applying speed.yaml to the VM failed");
  return f;
}

int
main (int argc, char **argv)
{
  if (argc != 2)
    return 2;
  struct fleet *f = start_fleet (argv[1], 1);
  first_token_ms (f->http_addresses[0], FLEET_CALLER_KEY);
  struct latency direct = first_token_ms (f->engine_addresses[0], NULL);
  struct latency proxied
      = first_token_ms (f->http_addresses[0], FLEET_CALLER_KEY);
  printf ("bench name=speed/first-token metric=median value=%.3f unit=ms "
          "baseline=%.3f ratio=%.2f\n",
          proxied.median, direct.median, proxied.median / direct.median);
  printf ("bench name=speed/first-token metric=p99 value=%.3f unit=ms "
          "baseline=%.3f ratio=%.2f\n",
          proxied.p99, direct.p99, proxied.p99 / direct.p99);
  double cores = 0;
  double direct_rate
      = events_per_s (f->engine_addresses, 4, NULL, NULL, &cores);
  double events = events_per_s (f->http_addresses, 1, FLEET_CALLER_KEY,
                                f->vms[0], &cores);
  printf ("bench name=speed/events metric=rate value=%.0f unit=events/s "
          "baseline=%.0f ratio=%.2f\n",
          events, direct_rate, events / direct_rate);
  printf ("bench name=speed/events metric=cores value=%.2f unit=cores "
          "baseline=1 ratio=%.2f\n",
          cores, cores);
  printf ("bench name=speed/events metric=per-core value=%.0f unit=events/s "
          "baseline=%d ratio=%.2f\n",
          events / cores, EVENTS_TARGET, events / cores / EVENTS_TARGET);
  fleet_destroy (f);
  f = start_fleet (argv[1], 200);
  double bytes = stream_bytes (f);
  printf ("bench name=speed/stream metric=memory value=%.0f unit=B "
          "baseline=%d ratio=%.2f\n",
          bytes, STREAM_BYTES_TARGET, bytes / STREAM_BYTES_TARGET);
  fleet_destroy (f);
  check_bound ("events-per-core", events / cores, ">=", EVENTS_TARGET);
  check_bound ("stream-memory", bytes, "<=", STREAM_BYTES_TARGET);
  return exit_status;
}
