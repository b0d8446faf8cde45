/** @file
    Process tests of prompt parts under which each upstream ends: four VMs and
    twelve upstreams get 60 sound requests a second and, after some seconds, 8
    with the crashing part.  An upstream is back after two seconds.  */
#include "harness/site.h"
#include "process/common.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VMS 4
#define UPSTREAMS 12
#define SOUND_PER_S 60
#define CRASHING_PER_S 8
#define US_PER_S 1000000
/* Sound requests alone, then all.  */
#define SOUND_US (3 * US_PER_S)
#define PLAY_US (16 * US_PER_S)
/* Time after the fifth crash, or the last if there are fewer, from which
   upstreams are protected, and how many arrivals may follow.  */
#define CRASHES_UNTIL_BOUND 5
#define BOUND_US (4 * US_PER_S)
#define LATE_ARRIVALS_MAX 3
/* Share of the sound requests that are answered, relative to before.  */
#define SOUND_KEPT 0.95
#define BACK_AFTER_US (2 * US_PER_S)
#define KILL_INTERVAL_US 700000
#define UNRELATED_KILLS 9
#define CALLER_WAIT_US (3 * US_PER_S)
#define TICK_US 2000
#define OPEN_MAX 512
#define SLOTS 64
#define PREFILL_TOKENS_PER_MS 500
/* A long prompt is prefilled at another engine than the one that decodes.  */
#define PROMPT_TOKENS 1460
#define LONG_PROMPT_TOKENS 3000
/* Parts that sound requests share, beside the first one.  */
#define MIDDLE_PARTS 20
#define CRASH_PART "bad"

/* What a play sends.  */
struct play
{
  const char *path;       /* of the requests with the crashing part */
  const char *sound_path; /* of the others */
  const char *parts;      /* prompt with the crashing part; NULL: none is sent,
                             and upstreams are killed instead */
  int restarted_vm;       /* VM that is killed and started midway, or -1 */
  bool engines;           /* the upstreams are engines, half of which only
                             prefill */
};

/* A request in progress.  */
struct open_request
{
  struct web *w;
  bool sound;
  gint64 sent_us;
};

/* Sound requests of a span of time.  */
struct sound_count
{
  unsigned sent;
  unsigned answered;
};

/* State of a play.  Times are of the monotonic clock.  */
struct run
{
  struct site *site;
  const struct play *play;
  gint64 start_us;
  struct open_request open[OPEN_MAX];
  unsigned n_open;
  unsigned n_sent;
  gint64 down_us[UPSTREAMS]; /* when it was seen to be down; 0: up */
  unsigned crashes;
  gint64 bound_us; /* BOUND_US after the fifth crash, the latest if there are
                      fewer; 0 before the first */
  struct sound_count before;
  struct sound_count after; /* of those sent after bound_us */
  unsigned kills;
};

/* Upstreams.  */

static void
check_upstream (struct run *r, unsigned i, gint64 now)
{
  struct site *s = r->site;
  if (r->down_us[i] == 0 && proc_wait (s->upstreams[i], 0))
    {
      r->down_us[i] = now;
      if (++r->crashes <= CRASHES_UNTIL_BOUND)
        {
          r->bound_us = now + BOUND_US;
          r->after = (struct sound_count){ 0 };
        }
    }
  if (r->down_us[i] == 0 || now < r->down_us[i] + BACK_AFTER_US)
    return;
  site_set_upstream_state (s, i, NULL);
  site_restart_upstream (s, i);
  site_set_upstream_state (s, i, "ready");
  r->down_us[i] = 0;
}

static void
kill_unrelated (struct run *r, gint64 now)
{
  if (r->play->parts || r->kills == UNRELATED_KILLS
      || now < r->start_us + SOUND_US + r->kills * KILL_INTERVAL_US)
    return;
  proc_kill (r->site->upstreams[r->kills++]);
}

/* Requests.  */

static void
send_request (struct run *r, bool sound, gint64 now)
{
  unsigned n = r->n_sent++;
  const struct play *p = r->play;
  g_autofree char *id = g_strdup_printf ("%s-%u", sound ? "sound" : "bad", n);
  g_autofree char *parts
      = sound ? g_strdup_printf ("aa:800,%x:410,%x:250",
                                 0x100 + n % MIDDLE_PARTS, 0x10000 + n)
              : g_strdup_printf ("%s,%x:250", p->parts, 0x10000 + n);
  g_autofree char *headers = g_strdup_printf (
      "X-Token-Counts: %u,2\r\nX-Prompt-Prefix: %s\r\n"
      "X-Deadline-Ms: 2000\r\n",
      p->engines ? LONG_PROMPT_TOKENS : PROMPT_TOKENS, parts);
  g_assert_cmpuint (r->n_open, <, OPEN_MAX);
  r->open[r->n_open++] = (struct open_request){
    .w
    = site_send_request (r->site, n % VMS, "GET",
                         sound ? p->sound_path : p->path, id, headers, NULL),
    .sound = sound,
    .sent_us = now
  };
}

/* Sends what is due at NOW at PER_S requests a second since FROM_US.  */
static void
send_due (struct run *r, bool sound, unsigned per_s, gint64 from_us,
          unsigned *sent, gint64 now)
{
  for (; now >= from_us + (gint64)*sent * US_PER_S / per_s; (*sent)++)
    send_request (r, sound, now);
}

static void
count_sound (struct run *r, const struct open_request *o)
{
  struct sound_count *c = NULL;
  if (o->sent_us < r->start_us + SOUND_US)
    c = &r->before;
  else if (r->bound_us > 0 && o->sent_us > r->bound_us)
    c = &r->after;
  if (c == NULL || !o->sound)
    return;
  c->sent++;
  c->answered += o->w->complete && o->w->status == 200;
}

/* Reads the responses that have arrived, and drops the requests that are over
   or whose caller gives up.  */
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
      count_sound (r, o);
      web_close (o->w);
      r->open[i] = r->open[--r->n_open];
    }
}

/* Evidence of a play.  */

/* Returns how many requests with the crashing part reached upstreams, and in
   LATE how many after the bound.  */
static unsigned
count_arrivals (const struct run *r, unsigned *late)
{
  unsigned n = 0;
  *late = 0;
  for (unsigned i = 0; i < UPSTREAMS; i++)
    {
      g_autofree char *log = site_upstream_log (r->site, i);
      for (const char *at = log; (at = strstr (at, "crash_part=")); at++)
        {
          const char *time = strstr (at, "at_us=");
          n++;
          if (time && r->bound_us > 0
              && g_ascii_strtoll (time + strlen ("at_us="), NULL, 10)
                     > r->bound_us)
            ++*late;
        }
    }
  return n;
}

static double
share (const struct sound_count *c)
{
  return c->sent > 0 ? (double)c->answered / c->sent : 0;
}

static void
check_run (const struct run *r)
{
  unsigned late = 0;
  unsigned arrivals = count_arrivals (r, &late);
  g_test_message ("crashes %u, arrivals %u, late %u; sound answered %.3f of "
                  "%u before, %.3f of %u after the bound",
                  r->crashes, arrivals, late, share (&r->before),
                  r->before.sent, share (&r->after), r->after.sent);
  g_assert_cmpuint (r->crashes, >=, r->play->parts ? 1 : UNRELATED_KILLS);
  g_assert_cmpuint (late, <=, LATE_ARRIVALS_MAX);
  if (r->after.sent > 0)
    g_assert_cmpfloat (share (&r->after), >=, SOUND_KEPT * share (&r->before));
}

static void
play (const struct play *p)
{
  struct run r = { .play = p };
  unsigned sound = 0;
  unsigned crashing = 0;
  bool restarted = p->restarted_vm < 0;
  r.site = site_create (program_directory (), VMS, 0);
  r.site->slots = SLOTS;
  r.site->crash_part = p->parts ? CRASH_PART : NULL;
  for (unsigned i = 0; i < UPSTREAMS; i++)
    if (p->engines)
      site_add_engine (r.site, i % 2 == 0 ? "prefill" : "decode",
                       PREFILL_TOKENS_PER_MS);
    else
      site_add_instance (r.site);
  site_start (r.site);
  r.start_us = g_get_monotonic_time ();
  gint64 now = r.start_us;
  while (now < r.start_us + PLAY_US || r.n_open > 0)
    {
      bool sending = now < r.start_us + PLAY_US;
      if (sending)
        send_due (&r, true, SOUND_PER_S, r.start_us, &sound, now);
      if (sending && p->parts)
        send_due (&r, false, CRASHING_PER_S, r.start_us + SOUND_US, &crashing,
                  now);
      kill_unrelated (&r, now);
      for (unsigned i = 0; i < UPSTREAMS; i++)
        check_upstream (&r, i, now);
      read_responses (&r, now);
      if (!restarted && now > r.start_us + PLAY_US / 2)
        {
          site_start_vm (r.site, (unsigned)p->restarted_vm);
          restarted = true;
        }
      g_usleep (TICK_US);
      now = g_get_monotonic_time ();
    }
  check_run (&r);
  site_destroy (r.site);
}

static void
test_part_in_the_middle_ends_few_upstreams (void)
{
  play (&(struct play){ .path = "/safe/ok",
                        .sound_path = "/safe/slow",
                        .parts = "aa:800," CRASH_PART ":410",
                        .restarted_vm = -1 });
}

static void
test_first_part_ends_few_upstreams (void)
{
  play (&(struct play){ .path = "/safe/ok",
                        .sound_path = "/safe/slow",
                        .parts = CRASH_PART ":800,101:410",
                        .restarted_vm = -1 });
}

static void
test_request_that_may_run_once_ends_few_upstreams (void)
{
  play (&(struct play){ .path = "/once/ok",
                        .sound_path = "/safe/slow",
                        .parts = "aa:800," CRASH_PART ":410",
                        .restarted_vm = -1 });
}

static void
test_stream_that_crashes_after_an_event_ends_few_upstreams (void)
{
  play (&(struct play){ .path = "/stream/stream",
                        .sound_path = "/stream/stream",
                        .parts = "aa:800," CRASH_PART ":410",
                        .restarted_vm = -1 });
}

static void
test_restarted_vm_sends_no_crashing_request (void)
{
  play (&(struct play){ .path = "/safe/ok",
                        .sound_path = "/safe/slow",
                        .parts = "aa:800," CRASH_PART ":410",
                        .restarted_vm = 1 });
}

/* Half of the engines prefill; those that decode crash.  */
static void
test_prefilled_request_ends_few_engines (void)
{
  play (&(struct play){ .path = "/model/stream",
                        .sound_path = "/model/stream",
                        .parts = "aa:800," CRASH_PART ":410",
                        .restarted_vm = -1,
                        .engines = true });
}

static void
test_unrelated_crashes_block_no_request (void)
{
  play (&(struct play){
      .path = "/safe/ok", .sound_path = "/safe/slow", .restarted_vm = -1 });
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  program_directory_init (argv[0]);
  g_test_add_func ("/crashing-requests/part-in-the-middle",
                   test_part_in_the_middle_ends_few_upstreams);
  g_test_add_func ("/crashing-requests/first-part",
                   test_first_part_ends_few_upstreams);
  g_test_add_func ("/crashing-requests/may-run-once",
                   test_request_that_may_run_once_ends_few_upstreams);
  g_test_add_func ("/crashing-requests/stream-after-an-event",
                   test_stream_that_crashes_after_an_event_ends_few_upstreams);
  g_test_add_func ("/crashing-requests/restarted-vm",
                   test_restarted_vm_sends_no_crashing_request);
  g_test_add_func ("/crashing-requests/prefilled-elsewhere",
                   test_prefilled_request_ends_few_engines);
  g_test_add_func ("/crashing-requests/unrelated-crashes",
                   test_unrelated_crashes_block_no_request);
  return g_test_run ();
}
