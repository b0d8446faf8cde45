/** @file
    Process tests of limits that upstreams state: requests a second that they
    accept from all VMs together.  VMs that have received such a response, half
    a second before or earlier, send the upstream at most one and a half times
    the limit and 5 more in any 4 seconds.  */
#include "harness/site.h"
#include "process/common.h"

#include <poll.h>
#include <stdlib.h>
#include <string.h>

#define VMS 4
#define UPSTREAMS 6
#define PREFILL_ENGINES 2
#define DECODE_ENGINES 4
#define PREFILL_TOKENS_PER_MS 100
#define PROMPT_TOKENS 3000
#define SLOTS 64
#define US_PER_S 1000000
#define US_PER_MS 1000
#define WINDOW_S 4
#define WINDOW_US (WINDOW_S * US_PER_S)
/* A VM that has received a limit follows it after this time.  */
#define FOLLOW_US (US_PER_S / 2)
#define ALLOWED_FACTOR 1.5
#define ALLOWED_MORE 5
/* Least part of a limit that is used where more is asked for.  */
#define USE_MIN 0.85
#define OPEN_MAX 1024
#define REQUESTS_MAX 4096
#define CALLER_WAIT_US (3 * US_PER_S)
#define TICK_US 2000
#define LIMITS_MAX 4
#define PREFILL_TOLD_US (US_PER_S / 2)

/* A limit that instances state from some time of a play on.  */
struct stated_limit
{
  unsigned at_ms;
  unsigned first;   /* instance */
  unsigned count;   /* of instances; 0: end of the list */
  const char *text; /* NULL: none any more */
};

/* A play: traffic, limits, and kills of VMs.  */
struct play
{
  unsigned per_s;
  unsigned length_ms;
  const char *path;
  unsigned percent_at_vm0;   /* 0: as many at each VM */
  bool engines;              /* requests with prompts, to engines */
  unsigned kill_interval_ms; /* of one VM after the other; 0: none */
  struct stated_limit limits[LIMITS_MAX];
};

struct open_request
{
  struct web *w;
  unsigned vm;
  gint64 sent_us;
};

struct run
{
  struct site *site;
  const struct play *play;
  gint64 start_us;
  struct open_request open[OPEN_MAX];
  unsigned n_open;
  unsigned n_sent;
  unsigned n_kills;
  unsigned n_limits;
  unsigned answered;
  unsigned refused;
  unsigned other;
  unsigned vm_of[REQUESTS_MAX];
  gint64 told_us[VMS][SITE_UPSTREAMS_MAX]; /* first response with a limit that
                                              the VM passed on; 0: none */
};

/* Traffic.  */

static unsigned
pick_vm (const struct play *p, unsigned n)
{
  if (p->percent_at_vm0 > 0 && n % 100 < p->percent_at_vm0)
    return 0;
  return n % VMS;
}

static struct web *
send_one (struct run *r, unsigned n)
{
  const struct play *p = r->play;
  g_autofree char *id = g_strdup_printf ("limited-%u.", n);
  g_autofree char *prompt
      = g_strdup_printf ("X-Token-Counts: %u,2\r\nX-Prompt-Prefix: %x:%u\r\n",
                         PROMPT_TOKENS, 4096 + n, PROMPT_TOKENS);
  g_autofree char *headers = g_strdup_printf ("%sX-Deadline-Ms: 2000\r\n",
                                              p->engines ? prompt : "");
  return site_send_request (r->site, r->vm_of[n], "GET", p->path, id, headers,
                            NULL);
}

static void
send_due (struct run *r, gint64 now)
{
  const struct play *p = r->play;
  for (; now >= r->start_us + (gint64)r->n_sent * US_PER_S / p->per_s;
       r->n_sent++)
    {
      g_assert_cmpuint (r->n_sent, <, REQUESTS_MAX);
      g_assert_cmpuint (r->n_open, <, OPEN_MAX);
      unsigned vm = pick_vm (p, r->n_sent);
      r->vm_of[r->n_sent] = vm;
      r->open[r->n_open++] = (struct open_request){
        .w = send_one (r, r->n_sent), .vm = vm, .sent_us = now
      };
    }
}

/* Records the limit that the response of O states, if it does.  */
static void
record_told (struct run *r, const struct open_request *o, gint64 now)
{
  g_autofree char *limit = web_header (o->w, "Server-Limit");
  g_autofree char *seal = web_header (o->w, "X-Response-Seal");
  if (limit == NULL || seal == NULL)
    return;
  unsigned i = (unsigned)strtoul (seal + 1, NULL, 10);
  g_assert_cmpuint (i, <, SITE_UPSTREAMS_MAX);
  if (r->told_us[o->vm][i] == 0)
    r->told_us[o->vm][i] = now;
}

static void
record_response (struct run *r, const struct open_request *o, gint64 now)
{
  record_told (r, o, now);
  if (o->w->complete && o->w->status == 200)
    r->answered++;
  else if (o->w->complete && o->w->status == 503)
    r->refused++;
  else
    r->other++;
}

static void
read_responses (struct run *r, gint64 now)
{
  for (unsigned i = 0; i < r->n_open;)
    {
      struct open_request *o = &r->open[i];
      struct pollfd fd = { .fd = o->w->fd, .events = POLLIN };
      if (!o->w->failed && poll (&fd, 1, 0) > 0)
        web_read_response (o->w, 1);
      if (!o->w->complete && !o->w->failed
          && now < o->sent_us + CALLER_WAIT_US)
        {
          i++;
          continue;
        }
      record_response (r, o, now);
      web_close (o->w);
      r->open[i] = r->open[--r->n_open];
    }
}

/* Callers do not see the response to a remote prefill.  Each VM gets one
   within PREFILL_TOLD_US.  */
static void
record_prefill_told (struct run *r, unsigned i, gint64 now)
{
  for (unsigned vm = 0; vm < VMS; vm++)
    r->told_us[vm][i] = now + PREFILL_TOLD_US;
}

static void
set_limits (struct run *r, gint64 now)
{
  for (; r->n_limits < LIMITS_MAX; r->n_limits++)
    {
      const struct stated_limit *l = &r->play->limits[r->n_limits];
      if (l->count == 0 || now < r->start_us + (gint64)l->at_ms * US_PER_MS)
        return;
      for (unsigned i = l->first; i < l->first + l->count; i++)
        {
          site_set_limit (r->site, i, l->text);
          if (r->play->engines && i < PREFILL_ENGINES)
            record_prefill_told (r, i, now);
        }
    }
}

/* Kills a VM that is due, and starts it again at once.  */
static void
restart_vms (struct run *r, gint64 now)
{
  gint64 interval_us = (gint64)r->play->kill_interval_ms * US_PER_MS;
  if (interval_us == 0 || now < r->start_us + (r->n_kills + 1) * interval_us)
    return;
  unsigned vm = r->n_kills++ % VMS;
  proc_kill (r->site->vms[vm]);
  site_start_vm (r->site, vm);
  memset (r->told_us[vm], 0, sizeof r->told_us[vm]);
}

/* What the instances got.  */

static int
compare_times (const void *a, const void *b)
{
  gint64 x = *(const gint64 *)a;
  gint64 y = *(const gint64 *)b;
  return (x > y) - (x < y);
}

/* Returns the times of the arrivals at instance I, in order: of all, or of
   those from VMs that had received its limit.  */
static GArray *
arrivals_at (const struct run *r, unsigned i, bool only_told)
{
  static const char key[] = "arrived=limited-";
  GArray *times = g_array_new (FALSE, FALSE, sizeof (gint64));
  g_autofree char *log = site_upstream_log (r->site, i);
  for (const char *at = log; (at = strstr (at, key)); at++)
    {
      unsigned n = (unsigned)strtoul (at + strlen (key), NULL, 10);
      gint64 us = g_ascii_strtoll (strstr (at, "at_us=") + strlen ("at_us="),
                                   NULL, 10);
      g_assert_cmpuint (n, <, r->n_sent);
      gint64 told_us = r->told_us[r->vm_of[n]][i];
      if (!only_told || (told_us != 0 && us >= told_us + FOLLOW_US))
        g_array_append_val (times, us);
    }
  g_array_sort (times, compare_times);
  return times;
}

/* The largest limit that instance I states between FROM_US and TO_US; -1 if
   it states none at some time.  */
static double
limit_between (const struct run *r, unsigned i, gint64 from_us, gint64 to_us)
{
  double largest = -1;
  const struct stated_limit *in_force = NULL;
  for (unsigned k = 0; k < LIMITS_MAX && r->play->limits[k].count > 0; k++)
    {
      const struct stated_limit *l = &r->play->limits[k];
      gint64 at_us = r->start_us + (gint64)l->at_ms * US_PER_MS;
      if (i < l->first || i >= l->first + l->count || at_us > to_us)
        continue;
      if (at_us <= from_us)
        largest = -1;
      else if (in_force == NULL || l->text == NULL)
        return -1;
      in_force = l;
      if (l->text)
        largest = MAX (largest, g_ascii_strtod (l->text, NULL));
    }
  return largest;
}

/* Checks each 4 s in which instance I states a limit throughout.  */
static void
check_limit (const struct run *r, unsigned i)
{
  g_autoptr (GArray) times = arrivals_at (r, i, true);
  double worst = 0;
  unsigned worst_arrivals = 0;
  for (guint first = 0; first < times->len; first++)
    {
      gint64 from = g_array_index (times, gint64, first);
      double limit = limit_between (r, i, from, from + WINDOW_US);
      guint k = first;
      while (k < times->len
             && g_array_index (times, gint64, k) < from + WINDOW_US)
        k++;
      double allowed = limit * ALLOWED_FACTOR * WINDOW_S + ALLOWED_MORE;
      if (limit >= 0 && (k - first) / allowed > worst)
        {
          worst = (k - first) / allowed;
          worst_arrivals = k - first;
        }
    }
  if (worst > 0)
    g_test_message ("u%u: %u arrivals in the worst %u s, %.1f allowed", i,
                    worst_arrivals, WINDOW_S, worst_arrivals / worst);
  g_assert_cmpfloat (worst, <=, 1);
}

/* Part of its limit that instance I has used from FROM_MS to TO_MS.  */
static double
part_used (const struct run *r, unsigned i, unsigned from_ms, unsigned to_ms)
{
  g_autoptr (GArray) times = arrivals_at (r, i, false);
  gint64 from = r->start_us + (gint64)from_ms * US_PER_MS;
  gint64 to = r->start_us + (gint64)to_ms * US_PER_MS;
  unsigned n = 0;
  for (guint k = 0; k < times->len; k++)
    {
      gint64 at = g_array_index (times, gint64, k);
      n += at >= from && at < to;
    }
  double used
      = n * 1000.0 / (to_ms - from_ms) / limit_between (r, i, from, to);
  g_test_message ("u%u: %.2f of the limit used", i, used);
  return used;
}

static struct run *
run_create (const struct play *p)
{
  struct run *r = g_new0 (struct run, 1);
  r->play = p;
  r->site
      = site_create (program_directory (), VMS, p->engines ? 0 : UPSTREAMS);
  r->site->slots = SLOTS;
  for (unsigned i = 0; p->engines && i < PREFILL_ENGINES + DECODE_ENGINES; i++)
    site_add_engine (r->site, i < PREFILL_ENGINES ? "prefill" : "decode",
                     PREFILL_TOKENS_PER_MS);
  site_start (r->site);
  return r;
}

static void
run_destroy (struct run *r)
{
  site_destroy (r->site);
  g_free (r);
}

static struct run *
play (const struct play *p)
{
  struct run *r = run_create (p);
  r->start_us = g_get_monotonic_time ();
  gint64 end_us = r->start_us + (gint64)p->length_ms * US_PER_MS;
  gint64 now = r->start_us;
  while (now < end_us || r->n_open > 0)
    {
      if (now < end_us)
        {
          set_limits (r, now);
          send_due (r, now);
          restart_vms (r, now);
        }
      read_responses (r, now);
      g_usleep (TICK_US);
      now = g_get_monotonic_time ();
    }
  g_test_message ("%u sent, %u answered, %u refused, %u other", r->n_sent,
                  r->answered, r->refused, r->other);
  for (unsigned i = 0; i < r->site->n_upstreams; i++)
    check_limit (r, i);
  return r;
}

/* Tests.  */

static void
test_one_instance_limited (void)
{
  static const struct play p = { .per_s = 60,
                                 .length_ms = 9000,
                                 .path = "/safe/ok",
                                 .limits = { { 1000, 0, 1, "4" } } };
  struct run *r = play (&p);
  g_assert_cmpuint (r->answered, ==, r->n_sent);
  run_destroy (r);
}

static void
test_two_instances_limited (void)
{
  static const struct play p
      = { .per_s = 60,
          .length_ms = 9000,
          .path = "/once/ok",
          .limits = { { 1000, 0, 1, "3" }, { 1000, 1, 1, "0.8" } } };
  struct run *r = play (&p);
  g_assert_cmpuint (r->answered, ==, r->n_sent);
  run_destroy (r);
}

static void
all_limited (const char *path)
{
  const struct play p = { .per_s = 60,
                          .length_ms = 11000,
                          .path = path,
                          .limits = { { 1000, 0, UPSTREAMS, "3" } } };
  struct run *r = play (&p);
  for (unsigned i = 0; i < UPSTREAMS; i++)
    g_assert_cmpfloat (part_used (r, i, 4000, 11000), >=, USE_MIN);
  g_assert_cmpuint (r->other, ==, 0);
  run_destroy (r);
}

static void
test_all_instances_limited (void)
{
  all_limited ("/safe/ok");
}

static void
test_all_instances_limited_at_most_once (void)
{
  all_limited ("/once/ok");
}

static void
test_most_requests_at_one_vm (void)
{
  static const struct play p = { .per_s = 60,
                                 .length_ms = 11000,
                                 .path = "/safe/ok",
                                 .percent_at_vm0 = 90,
                                 .limits = { { 1000, 0, UPSTREAMS, "4" } } };
  struct run *r = play (&p);
  for (unsigned i = 0; i < UPSTREAMS; i++)
    g_assert_cmpfloat (part_used (r, i, 4000, 11000), >=, USE_MIN);
  run_destroy (r);
}

static void
test_vms_killed_in_turn (void)
{
  static const struct play p = { .per_s = 60,
                                 .length_ms = 12000,
                                 .path = "/safe/ok",
                                 .kill_interval_ms = 2000,
                                 .limits = { { 1000, 0, 2, "4" } } };
  run_destroy (play (&p));
}

static void
test_limit_falls (void)
{
  static const struct play p = { .per_s = 60,
                                 .length_ms = 11000,
                                 .path = "/safe/ok",
                                 .limits = { { 1000, 0, UPSTREAMS, "8" },
                                             { 5000, 0, UPSTREAMS, "2" } } };
  struct run *r = play (&p);
  for (unsigned i = 0; i < UPSTREAMS; i++)
    g_assert_cmpfloat (part_used (r, i, 7000, 11000), >=, USE_MIN);
  run_destroy (r);
}

static void
test_limit_rises (void)
{
  static const struct play p = { .per_s = 60,
                                 .length_ms = 11000,
                                 .path = "/safe/ok",
                                 .limits = { { 1000, 0, UPSTREAMS, "1" },
                                             { 5000, 0, UPSTREAMS, "6" } } };
  struct run *r = play (&p);
  for (unsigned i = 0; i < UPSTREAMS; i++)
    g_assert_cmpfloat (part_used (r, i, 7000, 11000), >=, USE_MIN);
  run_destroy (r);
}

/* After the end of all limits nothing is refused any more.  */
static void
test_limit_ends (void)
{
  static const struct play p = { .per_s = 60,
                                 .length_ms = 5000,
                                 .path = "/safe/ok",
                                 .limits = { { 500, 0, UPSTREAMS, "2" },
                                             { 4000, 0, UPSTREAMS, NULL } } };
  static const struct play after
      = { .per_s = 60, .length_ms = 2000, .path = "/safe/ok" };
  struct run *r = play (&p);
  g_usleep (US_PER_S);
  r->play = &after;
  r->start_us = g_get_monotonic_time ();
  r->n_sent = r->answered = 0;
  while (g_get_monotonic_time () < r->start_us + 2 * US_PER_S || r->n_open > 0)
    {
      gint64 now = g_get_monotonic_time ();
      if (now < r->start_us + 2 * US_PER_S)
        send_due (r, now);
      read_responses (r, now);
      g_usleep (TICK_US);
    }
  g_assert_cmpuint (r->answered, ==, r->n_sent);
  run_destroy (r);
}

static void
engines_limited (unsigned first, unsigned count, const char *limit)
{
  const struct play p = { .per_s = 40,
                          .length_ms = 9000,
                          .path = "/model/ok",
                          .engines = true,
                          .limits = { { 1000, first, count, limit } } };
  struct run *r = play (&p);
  g_assert_cmpuint (r->other, ==, 0);
  run_destroy (r);
}

static void
test_prefill_engine_limited (void)
{
  engines_limited (0, 1, "4");
}

static void
test_decode_engines_limited (void)
{
  engines_limited (PREFILL_ENGINES, 2, "3");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  program_directory_init (argv[0]);
  g_test_add_func ("/stated-limits/one-instance-limited",
                   test_one_instance_limited);
  g_test_add_func ("/stated-limits/two-instances-limited",
                   test_two_instances_limited);
  g_test_add_func ("/stated-limits/all-instances-limited",
                   test_all_instances_limited);
  g_test_add_func ("/stated-limits/all-instances-limited-at-most-once",
                   test_all_instances_limited_at_most_once);
  g_test_add_func ("/stated-limits/most-requests-at-one-vm",
                   test_most_requests_at_one_vm);
  g_test_add_func ("/stated-limits/vms-killed-in-turn",
                   test_vms_killed_in_turn);
  g_test_add_func ("/stated-limits/limit-falls", test_limit_falls);
  g_test_add_func ("/stated-limits/limit-rises", test_limit_rises);
  g_test_add_func ("/stated-limits/limit-ends", test_limit_ends);
  g_test_add_func ("/stated-limits/prefill-engine-limited",
                   test_prefill_engine_limited);
  g_test_add_func ("/stated-limits/decode-engines-limited",
                   test_decode_engines_limited);
  return g_test_run ();
}
