/** @file
    Process tests of upstreams that work but are silent for some seconds:
    stand-ins are stopped with SIGSTOP and resumed, or pause in a response.  An
    upstream's silence must not end a request before the route's time-out.  */
#include "harness/site.h"
#include "process/common.h"

#include <signal.h>
#include <string.h>

#define VMS 2
#define SERVICES 3
/* The engines' numbers follow those of the services.  */
#define FIRST_ENGINE SERVICES
#define PREFILL_ENGINES 2
#define FIRST_DECODE (FIRST_ENGINE + PREFILL_ENGINES)
#define DECODE_ENGINES 2
#define ENGINES (PREFILL_ENGINES + DECODE_ENGINES)
/* Sets of upstreams, bit I for number I.  */
#define ALL_SERVICES 07U
#define ALL_PREFILL 030U
#define ALL_DECODE 0140U
#define ALL_UPSTREAMS (ALL_SERVICES | ALL_PREFILL | ALL_DECODE)
#define PREFILL_TOKENS_PER_MS 300
#define SHORT_PROMPT_TOKENS 100
#define LONG_PROMPT_TOKENS 9000
#define ROUTE_TIMEOUT_MS 7000
/* Outer limit of a test's waits: the route's time-out and the time in which a
   loaded test machine passes on a response.  */
#define WAIT_MS (ROUTE_TIMEOUT_MS + 8000)
/* Longest stop of a VM; a silence and the rest of a stream take less.  */
#define LEAVE_S 8
#define ROUTE_ATTEMPTS 2
/* Enough that no request is refused for want of slots.  */
#define SLOTS 64
#define SHORT_SILENCE_US 800000
/* Longer than two attempts that are given up after the stall time.  */
#define SILENCE_US 2200000
#define ENGINE_SILENCE_US 1600000
#define LONG_SILENCE_US 3000000
#define LONGEST_SILENCE_US 4000000
/* Body that the socket buffers of a stopped upstream do not hold.  */
#define BODY_BYTES 600000
#define MAX_BODY_BYTES 1000000
/* Longer than the silence and what follows it.  */
#define SHORT_TIMEOUT_MS 5000
#define FEW_CONNECTIONS 400
#define COPIES 3       /* requests of each kind at once */
#define QUICK_ROUNDS 8 /* of requests that lower the expected latencies */
#define REQUESTS_MAX 64
#define READ_SLICE_MS 2
#define FIVE_EVENTS                                                           \
  "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"  \
  "id: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"

static struct site *site;
static unsigned routes_version = 2;

/* What a response consists of.  */
enum content
{
  ECHO,     /* the VM keeps it until it has all */
  BIG_ECHO, /* the VM passes on its first part, which has an empty line */
  EVENTS
};

/* A kind of request.  */
struct kind
{
  const char *path;
  enum content content;
  unsigned body_bytes;
  unsigned tokens; /* tokens of its prompt; 0 for none */
};

/* A request in progress.  */
struct request
{
  const struct kind *kind;
  struct web *w;
  char *id;
};

/* The requests of a test.  */
struct requests
{
  struct request r[REQUESTS_MAX];
  unsigned n;
};

/* Requests that are in the midst of their response when a silence begins.  */
static const struct kind begun_kinds[]
    = { { "/safe/halves", ECHO, 0, 0 },
        { "/once/halves", ECHO, 0, 0 },
        { "/safe/big-halves", BIG_ECHO, 0, 0 },
        { "/once/big-halves", BIG_ECHO, 0, 0 },
        { "/stream/stream-spaced", EVENTS, 0, 0 },
        { "/live/stream-spaced", EVENTS, 0, 0 },
        { "/model/stream-spaced", EVENTS, 0, SHORT_PROMPT_TOKENS } };
/* Requests that are sent during a silence.  */
static const struct kind new_kinds[]
    = { { "/safe/ok", ECHO, 0, 0 },
        { "/once/ok", ECHO, 0, 0 },
        { "/safe/ok", ECHO, BODY_BYTES, 0 },
        { "/once/ok", ECHO, BODY_BYTES, 0 },
        { "/stream/stream", EVENTS, 0, 0 },
        { "/live/stream", EVENTS, 0, 0 },
        { "/model/stream", EVENTS, 0, SHORT_PROMPT_TOKENS },
        { "/model/stream", EVENTS, 0, LONG_PROMPT_TOKENS } };
/* The same that another upstream may answer.  */
static const struct kind begun_repeatable[]
    = { { "/safe/halves", ECHO, 0, 0 },
        { "/stream/stream-spaced", EVENTS, 0, 0 },
        { "/model/stream-spaced", EVENTS, 0, SHORT_PROMPT_TOKENS } };
static const struct kind new_repeatable[]
    = { { "/safe/ok", ECHO, 0, 0 },
        { "/safe/ok", ECHO, BODY_BYTES, 0 },
        { "/stream/stream", EVENTS, 0, 0 },
        { "/model/stream", EVENTS, 0, SHORT_PROMPT_TOKENS },
        { "/model/stream", EVENTS, 0, LONG_PROMPT_TOKENS } };
/* Requests in whose response the upstream itself pauses.  */
static const struct kind pausing_kinds[]
    = { { "/safe/late", ECHO, 0, 0 },
        { "/once/late", ECHO, 0, 0 },
        { "/safe/halves", ECHO, 0, 0 },
        { "/once/halves", ECHO, 0, 0 },
        { "/safe/big-halves", BIG_ECHO, 0, 0 },
        { "/once/big-halves", BIG_ECHO, 0, 0 },
        { "/stream/stream-gap", EVENTS, 0, 0 },
        { "/live/stream-gap", EVENTS, 0, 0 },
        { "/model/stream-gap", EVENTS, 0, SHORT_PROMPT_TOKENS } };

/* Requests.  */

/* Returns the header fields of a prompt that shares no part with others.  */
static char *
prompt_headers (unsigned tokens)
{
  static unsigned part = 4096;
  return g_strdup_printf ("X-Token-Counts: %u,5\r\nX-Prompt-Prefix: %x:%u\r\n",
                          tokens, part++, tokens);
}

/* Sends a request of kind K; VMs take turns.  */
static void
send_kind (struct requests *all, const char *name, const struct kind *k)
{
  static unsigned n;
  g_assert_cmpuint (all->n, <, REQUESTS_MAX);
  struct request *r = &all->r[all->n++];
  g_autofree char *headers = k->tokens ? prompt_headers (k->tokens) : NULL;
  g_autofree char *body
      = k->body_bytes ? g_strnfill (k->body_bytes, 'b') : NULL;
  r->kind = k;
  r->id = g_strdup_printf ("%s-%u.", name, n);
  r->w = site_send_request (site, n++ % site->n_vms, body ? "POST" : "GET",
                            k->path, r->id, headers, body);
}

/* Sends COPIES of each of the N KINDS.  */
static void
send_kinds (struct requests *all, const char *name, const struct kind *kinds,
            size_t n)
{
  for (size_t i = 0; i < n * COPIES; i++)
    send_kind (all, name, &kinds[i / COPIES]);
}

static bool
has_run (void *arg)
{
  return site_runs (site, -1, arg) > 0;
}

/* Waits until each request has a part of its response, or runs if the VM
   passes on no part.  */
static void
await_begun (struct requests *all)
{
  for (unsigned i = 0; i < all->n; i++)
    if (all->r[i].kind->content == ECHO)
      site_wait (has_run, all->r[i].id, WAIT_MS);
    else
      web_read_events (all->r[i].w, 1, WAIT_MS);
}

static gint64
in_us (gint64 us)
{
  return g_get_monotonic_time () + us;
}

/* Reads what arrives until all responses have ended, or until END_US; returns
   whether they have.  Callers must go on reading: one that does not take a
   long response for 3 s is disconnected.  */
static bool
read_until (struct requests *all, gint64 end_us)
{
  bool ended = false;
  while (!ended && g_get_monotonic_time () < end_us)
    {
      ended = true;
      for (unsigned i = 0; i < all->n; i++)
        {
          struct web *w = all->r[i].w;
          web_read_response (w, READ_SLICE_MS);
          ended = ended && (w->complete || w->failed);
        }
    }
  return ended;
}

static bool
is_whole (const struct request *r)
{
  const struct web *w = r->w;
  const struct kind *k = r->kind;
  g_autofree char *echo = g_strdup_printf (
      "%s %s %u ", k->body_bytes ? "POST" : "GET", k->path, k->body_bytes);
  if (!w->complete || w->status != 200)
    return false;
  return k->content == EVENTS ? strcmp (w->body->str, FIVE_EVENTS) == 0
                              : g_str_has_prefix (w->body->str, echo);
}

static unsigned
runs_max (const struct kind *k)
{
  bool once = g_str_has_prefix (k->path, "/once/")
              || g_str_has_prefix (k->path, "/live/");
  return once ? 1 : ROUTE_ATTEMPTS;
}

/* Returns the logs of all upstreams.  */
static char *
read_upstream_logs (void)
{
  g_autoptr (GString) all = g_string_new (NULL);
  for (unsigned i = 0; i < site->n_upstreams; i++)
    {
      g_autofree char *log = site_upstream_log (site, i);
      g_string_append (all, log);
    }
  return g_strdup (all->str);
}

/* Returns how often the request ID ran according to LOGS.  */
static unsigned
count_runs (const char *logs, const char *id)
{
  g_autofree char *line = g_strdup_printf ("run=%s at_us=", id);
  unsigned n = 0;
  for (const char *at = strstr (logs, line); at; at = strstr (at + 1, line))
    n++;
  return n;
}

/* Expects that each request is answered whole and ran no more often than it
   may; reports all for which that is not so.  */
static void
expect_whole (struct requests *all)
{
  unsigned wrong = 0;
  (void)read_until (all, in_us (WAIT_MS * 1000));
  g_autofree char *logs = read_upstream_logs ();
  for (unsigned i = 0; i < all->n; i++)
    {
      struct request *r = &all->r[i];
      unsigned runs = count_runs (logs, r->id);
      if (!is_whole (r) || runs < 1 || runs > runs_max (r->kind))
        {
          wrong++;
          g_test_message (
              "%s %s, body of %u bytes: status %d, complete %d, "
              "failed %d, runs %u, %" G_GSIZE_FORMAT " bytes of response",
              r->id, r->kind->path, r->kind->body_bytes, r->w->status,
              r->w->complete, r->w->failed, runs, r->w->body->len);
        }
      web_close (r->w);
      g_free (r->id);
    }
  if (wrong > 0)
    g_test_fail_printf ("%u of %u requests not answered whole", wrong, all->n);
}

/* Sends quick requests, which must be answered, so that no test depends on the
   latencies that VMs have learned from the silences before it.  */
static void
settle (void)
{
  static const struct kind quick[]
      = { { "/safe/ok", ECHO, 0, 0 },
          { "/model/stream", EVENTS, 0, SHORT_PROMPT_TOKENS } };
  struct requests all = { .n = 0 };
  for (unsigned i = 0; i < QUICK_ROUNDS; i++)
    send_kinds (&all, "quick", quick, G_N_ELEMENTS (quick));
  expect_whole (&all);
}

/* Silences.  */

/* Upstreams that fall silent, and what happens meanwhile.  */
struct silence
{
  const char *name;
  unsigned upstreams; /* bit I: number I; 0: one service and one engine, which
                         run the first and the last request that has begun */
  gint64 us;
  void (*beside) (void);
};

static void
signal_upstreams (unsigned upstreams, int signal)
{
  for (unsigned i = 0; i < site->n_upstreams; i++)
    if (upstreams & 1U << i)
      proc_signal (site->upstreams[i], signal);
}

/* Returns the upstreams that have run the request ID.  */
static unsigned
find_upstreams (const char *id)
{
  unsigned found = 0;
  for (unsigned i = 0; i < site->n_upstreams; i++)
    {
      g_autofree char *log = site_upstream_log (site, i);
      found |= count_runs (log, id) > 0 ? 1U << i : 0;
    }
  return found;
}

/* Starts the silence S once the requests of ALL have begun.  Returns the
   upstreams that are silent.  */
static unsigned
start_silence (const struct silence *s, struct requests *all)
{
  await_begun (all);
  unsigned upstreams = s->upstreams;
  if (upstreams == 0)
    upstreams = find_upstreams (all->r[0].id)
                | find_upstreams (all->r[all->n - 1].id);
  g_assert_cmpuint (upstreams, !=, 0);
  signal_upstreams (upstreams, SIGSTOP);
  return upstreams;
}

/* Runs requests through the silence S, which begins once those of the kinds
   BEGUN have begun and before those of the kinds NEW are sent.  */
static void
play (const struct silence *s, const struct kind *begun, size_t n_begun,
      const struct kind *new, size_t n_new)
{
  struct requests all = { .n = 0 };
  settle ();
  send_kinds (&all, s->name, begun, n_begun);
  unsigned silent = start_silence (s, &all);
  gint64 end_us = in_us (s->us);
  send_kinds (&all, s->name, new, n_new);
  if (s->beside)
    s->beside ();
  (void)read_until (&all, end_us);
  gint64 left_us = end_us - g_get_monotonic_time ();
  if (left_us > 0)
    g_usleep ((gulong)left_us);
  signal_upstreams (silent, SIGCONT);
  expect_whole (&all);
}

static void
play_all (const struct silence *s)
{
  play (s, begun_kinds, G_N_ELEMENTS (begun_kinds), new_kinds,
        G_N_ELEMENTS (new_kinds));
}

static void
play_engines (const struct silence *s)
{
  static const struct kind begun[]
      = { { "/model/stream-spaced", EVENTS, 0, SHORT_PROMPT_TOKENS } };
  static const struct kind new[]
      = { { "/model/stream", EVENTS, 0, SHORT_PROMPT_TOKENS },
          { "/model/stream", EVENTS, 0, LONG_PROMPT_TOKENS } };
  play (s, begun, G_N_ELEMENTS (begun), new, G_N_ELEMENTS (new));
}

/* A text that the first VMS VMs log.  */
struct logged
{
  const char *text;
  unsigned vms;
};

static size_t log_lengths[VMS]; /* at mark_logs */

/* Has await_log ignore what VMs have logged so far.  */
static void
mark_logs (void)
{
  for (unsigned i = 0; i < site->n_vms; i++)
    {
      g_autofree char *log = site_log (site, i);
      log_lengths[i] = strlen (log);
    }
}

static bool
logs_have (void *arg)
{
  const struct logged *x = arg;
  for (unsigned i = 0; i < x->vms; i++)
    {
      g_autofree char *log = site_log (site, i);
      if (strstr (log + log_lengths[i], x->text) == NULL)
        return false;
    }
  return true;
}

static void
await_log (const char *text, unsigned vms)
{
  struct logged x = { text, vms };
  site_wait (logs_have, &x, WAIT_MS);
}

/* All upstreams fall silent: no request has a better one.  */
static void
test_silence_of_all_ends_no_answer (void)
{
  static const struct silence s
      = { "all", ALL_UPSTREAMS, LONG_SILENCE_US, NULL };
  mark_logs ();
  play_all (&s);
  await_log ("event=upstream_silence_ended", VMS);
  await_log (" how=woke ", VMS);
}

static void
test_short_silence (void)
{
  static const struct silence s
      = { "short", ALL_UPSTREAMS, SHORT_SILENCE_US, NULL };
  play_all (&s);
}

static void
test_silence_of_one (void)
{
  static const struct silence s = { "one", 0, LONGEST_SILENCE_US, NULL };
  play_all (&s);
}

/* The engines that prefill are silent while prompts are prefilled there.  */
static void
test_silence_in_remote_prefill (void)
{
  static const struct silence s
      = { "prefill", ALL_PREFILL, ENGINE_SILENCE_US, NULL };
  play_engines (&s);
}

/* The engines that decode are silent while they fetch prefilled KV caches.  */
static void
test_silence_after_remote_prefill (void)
{
  static const struct silence s
      = { "decode", ALL_DECODE, ENGINE_SILENCE_US, NULL };
  play_engines (&s);
}

/* Requests that may be repeated are answered by others during the silence.  */
static void
test_silence_of_one_delays_no_answer (void)
{
  static const struct silence s = { "delay", 0, 0, NULL };
  struct requests all = { .n = 0 };
  settle ();
  send_kinds (&all, s.name, begun_repeatable, G_N_ELEMENTS (begun_repeatable));
  unsigned silent = start_silence (&s, &all);
  send_kinds (&all, s.name, new_repeatable, G_N_ELEMENTS (new_repeatable));
  if (!read_until (&all, in_us (ROUTE_TIMEOUT_MS * 1000)))
    g_test_fail_printf ("an answer waits for the silent upstream");
  signal_upstreams (silent, SIGCONT);
  expect_whole (&all);
}

/* Each request is silent on its own, at upstreams that answer others.  */
static void
test_silence_of_single_requests (void)
{
  struct requests all = { .n = 0 };
  settle ();
  send_kinds (&all, "single", pausing_kinds, G_N_ELEMENTS (pausing_kinds));
  expect_whole (&all);
}

/* Silences beside other events.  */

/* Writes the next version of the routes, with one more route EXTRA unless it
   is NULL, and waits until it is in force.  */
static void
write_next_routes (const char *extra)
{
  g_autofree char *text = g_strdup_printf ("event=routes_in_force version=%u ",
                                           ++routes_version);
  mark_logs ();
  site_write_routes (site, routes_version, extra);
  await_log (text, VMS);
}

static void
add_route (void)
{
  write_next_routes ("changed");
}

static void
change_version (void)
{
  write_next_routes (NULL);
}

/* Requests that have arrived keep the time-out that they had.  */
static void
shorten_timeout (void)
{
  site->timeout_ms = SHORT_TIMEOUT_MS;
  write_next_routes (NULL);
}

static void
lower_connection_limits (void)
{
  site->max_connections = FEW_CONNECTIONS;
  write_next_routes (NULL);
}

static void
test_silence_beside_new_routes (void)
{
  static const struct silence s
      = { "routes", ALL_UPSTREAMS, SILENCE_US, add_route };
  play_all (&s);
}

static void
test_silence_beside_new_version (void)
{
  static const struct silence s
      = { "version", ALL_UPSTREAMS, SILENCE_US, change_version };
  play_all (&s);
}

static void
test_silence_beside_new_connection_limits (void)
{
  static const struct silence s
      = { "limits", ALL_UPSTREAMS, SILENCE_US, lower_connection_limits };
  play_all (&s);
}

static void
test_silence_beside_new_timeout (void)
{
  static const struct silence s
      = { "timeout", ALL_UPSTREAMS, SILENCE_US, shorten_timeout };
  play_all (&s);
  site->timeout_ms = ROUTE_TIMEOUT_MS;
  write_next_routes (NULL);
}

static void
reload_vms (void)
{
  mark_logs ();
  for (unsigned i = 0; i < VMS; i++)
    proc_signal (site->vms[i], SIGHUP);
  await_log ("event=reloaded why=signal", VMS);
}

static void
test_silence_beside_reload (void)
{
  static const struct silence s
      = { "reload", ALL_UPSTREAMS, SILENCE_US, reload_vms };
  play_all (&s);
}

/* Service 0 and engine 5 say that they leave; the entry of service 1 is
   removed.  */
static void
let_some_leave (void)
{
  mark_logs ();
  site_set_upstream_state (site, 0, "draining");
  site_set_upstream_state (site, FIRST_DECODE, "draining");
  site_set_upstream_state (site, 1, NULL);
  await_log ("event=upstream_known upstream=u0 ", VMS);
  await_log ("event=upstream_known upstream=u5 ", VMS);
  await_log ("event=upstream_gone upstream=u1 ", VMS);
}

static void
restore_upstreams (void)
{
  static const unsigned left[] = { 0, 1, FIRST_DECODE };
  mark_logs ();
  for (size_t i = 0; i < G_N_ELEMENTS (left); i++)
    {
      site_restart_upstream (site, left[i]);
      site_set_upstream_state (site, left[i], "ready");
    }
  await_log ("event=upstream_known upstream=u0 ", VMS);
  await_log ("event=upstream_known upstream=u1 ", VMS);
  await_log ("event=upstream_known upstream=u5 ", VMS);
}

/* Upstreams leave while they and all others are silent.  */
static void
test_silence_beside_leaving (void)
{
  static const struct silence s
      = { "leaving", ALL_UPSTREAMS, SILENCE_US, let_some_leave };
  play_all (&s);
  restore_upstreams ();
}

/* No other upstream of the service accepts requests.  */
static void
test_silence_of_last_upstream (void)
{
  static const struct silence s = { "last", ALL_UPSTREAMS, SILENCE_US, NULL };
  let_some_leave ();
  play_all (&s);
  restore_upstreams ();
}

static void
stop_first_vm (void)
{
  mark_logs ();
  proc_signal (site->vms[0], SIGTERM);
  await_log ("event=stopping", 1);
}

/* The budget allows no second attempt: the first one is kept.  */
static void
test_silence_without_retry_budget (void)
{
  static const struct silence s = { "budget", 01U, SILENCE_US, NULL };
  struct site *other = site;
  struct requests all = { .n = 0 };
  site = site_create (program_directory (), 1, 2);
  site->timeout_ms = ROUTE_TIMEOUT_MS;
  site->retry_slack = 0;
  site_write_routes (site, 2, NULL);
  site_start (site);
  mark_logs ();
  site_write_settings (site, 0, "BUCKTHORN_RETRY_RATIO=0\n");
  await_log ("event=reloaded why=file_changed", 1);
  send_kinds (&all, s.name, begun_repeatable, 2);
  unsigned silent = start_silence (&s, &all);
  send_kinds (&all, s.name, new_repeatable, 1);
  (void)read_until (&all, in_us (s.us));
  signal_upstreams (silent, SIGCONT);
  expect_whole (&all);
  site_destroy (site);
  site = other;
}

/* The VM of SITE has sent a hedge.  */
static bool
has_hedged (void *arg)
{
  (void)arg;
  return site_metric (site, 0, "hedges_sent_total") > 0;
}

/* Upstream ARG has closed a connection that the VM has still open.  */
static bool
has_left (void *arg)
{
  const char *address = site->upstream_addresses[GPOINTER_TO_UINT (arg)];
  return proc_is_left_by (site->vms[0], address);
}

/* Both upstreams are silent.  Number CUT then sends a part of its stream and
   closes the connection, and the VM reads both in one go.  */
static void
play_cut (unsigned cut)
{
  struct requests all = { .n = 0 };
  g_autofree char *path = g_strdup_printf ("/stream/stream-cut@u%u", cut);
  const struct kind kind = { path, EVENTS, 0, 0 };
  g_autofree char *name = g_strdup_printf ("cut-%u", cut);
  signal_upstreams (03U, SIGSTOP);
  send_kind (&all, name, &kind);
  site_wait (has_hedged, NULL, WAIT_MS);
  proc_signal (site->vms[0], SIGSTOP);
  proc_signal (site->upstreams[cut], SIGCONT);
  site_wait (has_left, GUINT_TO_POINTER (cut), WAIT_MS);
  proc_signal (site->vms[0], SIGCONT);
  proc_signal (site->upstreams[1 - cut], SIGCONT);
  expect_whole (&all);
}

/* Guards against a part of a stream that cancels the attempt beside it
   although the connection has ended already, so that no attempt is left.  */
static void
test_cut_beside_other (void)
{
  struct site *other = site;
  for (unsigned cut = 0; cut < 2; cut++)
    {
      site = site_create (program_directory (), 1, 2);
      site->timeout_ms = ROUTE_TIMEOUT_MS;
      site_write_routes (site, 2, NULL);
      site_start (site);
      play_cut (cut);
      site_destroy (site);
    }
  site = other;
}

/* A VM that stops has time until LEAVE_S for the requests in progress.  */
static void
test_silence_beside_stop (void)
{
  static const struct silence s
      = { "stop", ALL_UPSTREAMS, SILENCE_US, stop_first_vm };
  play_all (&s);
  g_assert_true (proc_wait (site->vms[0], LEAVE_S * 1000));
  g_assert_cmpint (site->vms[0]->status, ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  site = site_create (program_directory (), VMS, SERVICES);
  site->timeout_ms = ROUTE_TIMEOUT_MS;
  site->max_body_bytes = MAX_BODY_BYTES;
  site->leave_s = LEAVE_S;
  site->slots = SLOTS;
  for (unsigned i = 0; i < SERVICES; i++)
    site_set_upstream_state (site, i, "ready");
  for (unsigned i = 0; i < ENGINES; i++)
    site_add_engine (site, i < PREFILL_ENGINES ? "prefill" : "decode",
                     PREFILL_TOKENS_PER_MS);
  site_write_routes (site, routes_version, NULL);
  site_start (site);
  g_test_add_func ("/silent-upstreams/silence-of-all-ends-no-answer",
                   test_silence_of_all_ends_no_answer);
  g_test_add_func ("/silent-upstreams/short-silence", test_short_silence);
  g_test_add_func ("/silent-upstreams/silence-of-one", test_silence_of_one);
  g_test_add_func ("/silent-upstreams/silence-of-one-delays-no-answer",
                   test_silence_of_one_delays_no_answer);
  g_test_add_func ("/silent-upstreams/silence-in-remote-prefill",
                   test_silence_in_remote_prefill);
  g_test_add_func ("/silent-upstreams/silence-after-remote-prefill",
                   test_silence_after_remote_prefill);
  g_test_add_func ("/silent-upstreams/silence-of-single-requests",
                   test_silence_of_single_requests);
  g_test_add_func ("/silent-upstreams/silence-beside-new-routes",
                   test_silence_beside_new_routes);
  g_test_add_func ("/silent-upstreams/silence-beside-new-version",
                   test_silence_beside_new_version);
  g_test_add_func ("/silent-upstreams/silence-beside-new-connection-limits",
                   test_silence_beside_new_connection_limits);
  g_test_add_func ("/silent-upstreams/silence-beside-new-timeout",
                   test_silence_beside_new_timeout);
  g_test_add_func ("/silent-upstreams/silence-beside-reload",
                   test_silence_beside_reload);
  g_test_add_func ("/silent-upstreams/silence-beside-leaving",
                   test_silence_beside_leaving);
  g_test_add_func ("/silent-upstreams/silence-of-last-upstream",
                   test_silence_of_last_upstream);
  g_test_add_func ("/silent-upstreams/silence-without-retry-budget",
                   test_silence_without_retry_budget);
  g_test_add_func ("/silent-upstreams/cut-beside-other",
                   test_cut_beside_other);
  g_test_add_func ("/silent-upstreams/silence-beside-stop",
                   test_silence_beside_stop);
  int result = g_test_run ();
  site_destroy (site);
  return result;
}
