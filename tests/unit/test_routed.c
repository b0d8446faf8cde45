/** @file
    Decisions of the routed path: routes, attempts, the retry budget, the
   prefix index, the choice of an upstream.  */
#include "decide/attempts.h"
#include "decide/placement.h"
#include "decide/load_shed.h"
#include "decide/prefix_index.h"
#include "decide/retry_window.h"
#include "decide/route_table.h"
#include "decide/upstreams.h"

#include <string.h>

/* Routes.  */

static GArray *
targets (const char *a, unsigned x, const char *b, unsigned y)
{
  GArray *out = g_array_new (FALSE, TRUE, sizeof (struct route_target));
  struct route_target first = { g_strdup (a), x };
  struct route_target second = { g_strdup (b), y };
  g_array_append_val (out, first);
  if (b)
    g_array_append_val (out, second);
  return out;
}

static void
add_route (struct route_table *t, const char *host, const char *prefix,
           GArray *to)
{
  struct route r = { .name = g_strdup (prefix),
                     .host = g_strdup (host),
                     .prefix = g_strdup (prefix),
                     .targets = to };
  route_table_add (t, &r);
}

static void
test_longest_prefix (void)
{
  struct route_table *t = route_table_create (3);
  add_route (t, "a.example", "/x/", targets ("s", 1, NULL, 0));
  add_route (t, "a.example", "/x/y/", targets ("s", 1, NULL, 0));
  add_route (t, "B.example", "/", targets ("s", 1, NULL, 0));
  g_assert_cmpstr (route_table_find (t, "a.example", "/x/1")->name, ==, "/x/");
  g_assert_cmpstr (route_table_find (t, "A.Example:80", "/x/y/1")->name, ==,
                   "/x/y/");
  g_assert_cmpstr (route_table_find (t, "b.example", "/q")->name, ==, "/");
  g_assert_null (route_table_find (t, "a.example", "/x"));
  g_assert_null (route_table_find (t, "c.example", "/x/"));
  struct route_table *held = route_table_ref (t);
  route_table_unref (t);
  g_assert_cmpuint (route_table_version (held), ==, 3);
  route_table_unref (held);
}

static void
test_split_by_weight (void)
{
  struct route r = { .targets = targets ("a", 90, "b", 10) };
  unsigned to_b = 0;
  for (unsigned i = 0; i < 10000; i++)
    {
      g_autofree char *id = g_strdup_printf ("request-%u", i);
      const char *first = route_pick_service (&r, id);
      g_assert_cmpstr (first, ==, route_pick_service (&r, id));
      to_b += strcmp (first, "b") == 0;
    }
  g_assert_cmpuint (to_b, >, 850);
  g_assert_cmpuint (to_b, <, 1150);
  for (guint i = 0; i < r.targets->len; i++)
    g_free (g_array_index (r.targets, struct route_target, i).service);
  g_array_free (r.targets, TRUE);
}

/* Attempts: every sequence of outcomes, up to five.  */

static void
check_sequence (bool repeatable, unsigned most, unsigned code)
{
  struct attempts a = attempts_init (repeatable, most);
  bool may_have_run = false;
  unsigned sent = 0;
  for (unsigned i = 0; i < 5; i++, code /= 5)
    {
      enum attempt_outcome o = code % 5;
      enum attempt_step step = attempts_ended (&a, o);
      sent += o != ATTEMPT_NOT_SENT;
      may_have_run |= o == ATTEMPT_NO_VALID_RESPONSE || o == ATTEMPT_FAILED;
      if (step == ATTEMPT_RETRY)
        {
          g_assert_true (repeatable || !may_have_run);
          g_assert_cmpuint (sent, <, most);
          g_assert_true (attempts_give_up (&a)
                         == (may_have_run ? ATTEMPT_UNKNOWN : ATTEMPT_REFUSE));
          continue;
        }
      if (step == ATTEMPT_REFUSE)
        g_assert_false (may_have_run);
      if (step == ATTEMPT_PASS_ON)
        g_assert_true (o == ATTEMPT_ANSWERED || o == ATTEMPT_FAILED);
      return;
    }
}

static void
test_attempts_tell_the_truth (void)
{
  for (unsigned code = 0; code < 5 * 5 * 5 * 5 * 5; code++)
    for (unsigned most = 1; most <= 3; most++)
      {
        check_sequence (false, most, code);
        check_sequence (true, most, code);
      }
}

/* Retry budget.  */

static void
test_retry_budget (void)
{
  enum
  {
    VMS = 6,
    SERVICE_WINDOW_MS = 10000
  };
  struct retry_bounds b = { 0.2, SERVICE_WINDOW_MS, 52 };
  struct retry_windows *w[VMS];
  unsigned taken[60000 / 100] = { 0 };
  unsigned asked[60000 / 100] = { 0 };
  for (unsigned i = 0; i < VMS; i++)
    w[i] = retry_windows_create (&b);
  /* Every request is tried again at once, while the load swings.  */
  for (unsigned t = 0; t < 60000; t += 100)
    for (unsigned i = 0; i < VMS; i++)
      for (unsigned k = 0; k < (t / 7000 % 2 ? 3 : 30); k++)
        {
          retry_windows_request (w[i], "s", t);
          asked[t / 100]++;
          taken[t / 100] += retry_windows_take (w[i], "s", VMS, t);
        }
  for (unsigned from = 0; from + 100 <= 600; from++)
    {
      unsigned requests = 0;
      unsigned retries = 0;
      for (unsigned i = from; i < from + 100; i++)
        {
          requests += asked[i];
          retries += taken[i];
        }
      unsigned before = 0;
      for (unsigned i = from >= 100 ? from - 100 : 0; i < from; i++)
        before += asked[i];
      g_assert_cmpfloat (retries, <=,
                         b.ratio * MAX (requests, before) + b.slack);
      g_assert_cmpuint (retries, >, 0);
    }
  for (unsigned i = 0; i < VMS; i++)
    retry_windows_destroy (w[i]);
}

/* Prefix index.  */

static struct prompt
make_prompt (uint64_t top, uint64_t subject, uint64_t own)
{
  struct prompt p = { .n_parts = 3, .tokens = 9000, .out_tokens = 2 };
  p.parts[0] = (struct prompt_part){ top, 2500 };
  p.parts[1] = (struct prompt_part){ subject, 3800 };
  p.parts[2] = (struct prompt_part){ own, 2700 };
  return p;
}

static void
test_prefixes (void)
{
  struct prefix_index *x = prefix_index_create (20000);
  struct prompt a = make_prompt (1, 10, 100);
  struct prompt b = make_prompt (1, 10, 101);
  struct prompt c = make_prompt (1, 11, 102);
  g_assert_cmpuint (prefix_index_match (x, &a), ==, 0);
  prefix_index_add (x, &a, 1);
  g_assert_cmpuint (prefix_index_match (x, &a), ==, 9000);
  g_assert_cmpuint (prefix_index_match (x, &b), ==, 6300);
  g_assert_cmpuint (prefix_index_match (x, &c), ==, 2500);
  /* The least recently used parts go first.  */
  for (unsigned i = 0; i < 4; i++)
    {
      struct prompt more = make_prompt (1, 20 + i, 200 + i);
      prefix_index_add (x, &more, 2 + i);
    }
  g_assert_cmpuint (prefix_index_match (x, &b), ==, 2500);
  prefix_index_destroy (x);
}

/* Upstreams.  */

static const char *
region_of (void *arg, const char *failure_domain)
{
  (void)arg;
  return failure_domain[0] == 'n' ? "north" : "south";
}

static struct upstreams *
make_table (void)
{
  struct upstream_locality place
      = { .failure_domain = "n1", .region = "north", .region_of = region_of };
  return upstreams_create (&place);
}

static void
put (struct upstreams *u, const char *id, const char *domain,
     enum upstream_role role, bool leaving)
{
  struct upstream_info info = { .id = (char *)(uintptr_t)id,
                                .service = (char *)"s",
                                .address = (char *)"127.0.0.1:1",
                                .failure_domain = (char *)(uintptr_t)domain,
                                .software = (char *)"v1",
                                .slots = 4,
                                .role = role,
                                .leaving = leaving };
  upstreams_put (u, &info);
}

static const char *
chosen (const struct upstreams *u, const struct prompt *p, int64_t now)
{
  struct placement_request request = { .service = "s", .prompt = p };
  struct upstream_choice c = placement_choose (u, &request, now);
  const struct upstream_info *info = upstreams_info (u, c.handle);
  return info ? info->id : NULL;
}

static void
test_plain_prefers_near_until_full (void)
{
  struct upstreams *u = make_table ();
  struct placement_request request = { .service = "s" };
  put (u, "near", "n1", UPSTREAM_SERVICE, false);
  put (u, "far", "s1", UPSTREAM_SERVICE, false);
  put (u, "leaving", "n1", UPSTREAM_SERVICE, true);
  unsigned far = 0;
  for (unsigned i = 0; i < 8; i++)
    {
      struct upstream_work work;
      struct upstream_choice c = placement_choose (u, &request, 0);
      const char *id = upstreams_info (u, c.handle)->id;
      g_assert_cmpstr (id, !=, "leaving");
      far += strcmp (id, "far") == 0;
      g_assert_true (i >= 4 || strcmp (id, "near") == 0);
      upstreams_record_sent (u, &c, NULL, 0, &work);
    }
  g_assert_cmpuint (far, >, 0);
  upstreams_destroy (u);
}

static void
test_told_load_counts_and_ages (void)
{
  struct upstreams *u = make_table ();
  struct upstream_load load = { .running = 20 };
  put (u, "a", "n1", UPSTREAM_SERVICE, false);
  put (u, "b", "n2", UPSTREAM_SERVICE, false);
  g_assert_cmpstr (chosen (u, NULL, 0), ==, "a");
  upstreams_set_peer_load (u, "vm-2", "a", &load, 0);
  g_assert_cmpstr (chosen (u, NULL, 100), ==, "b");
  g_assert_cmpstr (chosen (u, NULL, 5000), ==, "a");
  upstreams_set_peer_load (u, "vm-2", "a", &load, 5000);
  upstreams_clear_peer_loads (u, "vm-2");
  g_assert_cmpstr (chosen (u, NULL, 5000), ==, "a");
  upstreams_destroy (u);
}

static void
test_failing_is_passed_over (void)
{
  struct upstreams *u = make_table ();
  struct placement_request request = { .service = "s" };
  put (u, "a", "n1", UPSTREAM_SERVICE, false);
  put (u, "b", "s1", UPSTREAM_SERVICE, false);
  for (unsigned i = 0; i < 12; i++)
    {
      struct upstream_work work;
      struct upstream_choice c = { .handle = upstreams_find (u, "a") };
      upstreams_record_sent (u, &c, NULL, i, &work);
      upstreams_record_outcome (u, &work, ATTEMPT_NO_VALID_RESPONSE, i);
    }
  g_assert_cmpstr (chosen (u, NULL, 20), ==, "b");
  /* Where there is no other, it is better than none.  */
  upstream_handle tried = upstreams_find (u, "b");
  request.tried = &tried;
  request.n_tried = 1;
  struct upstream_choice c = placement_choose (u, &request, 20);
  g_assert_cmpstr (upstreams_info (u, c.handle)->id, ==, "a");
  /* Its failures say nothing of how long an answer takes.  */
  g_assert_cmpfloat (c.expected_ms, <, 100);
  upstreams_destroy (u);
}

/* Time passes up to NOW.  */
static void
pass (struct upstreams *u, int64_t from, int64_t now)
{
  for (int64_t t = from; t < now; t += 50)
    upstreams_tick (u, t);
  upstreams_tick (u, now);
}

/* Sends COUNT requests to ID, each answered, or lost, after TOOK_MS; returns
   the time after them.  */
static int64_t
play (struct upstreams *u, const char *id, unsigned count,
      enum attempt_outcome outcome, int64_t took_ms, int64_t now)
{
  for (unsigned i = 0; i < count; i++)
    {
      struct upstream_work work;
      struct upstream_choice c = { .handle = upstreams_find (u, id) };
      pass (u, now, now + took_ms);
      upstreams_record_sent (u, &c, NULL, now, &work);
      now += took_ms;
      if (outcome == ATTEMPT_ANSWERED)
        upstreams_record_first_byte (u, &work, now);
      upstreams_record_outcome (u, &work, outcome, now);
    }
  return now;
}

/* Load: one of two instances was slow for a while, the other is busy.  It is
   passed over at once; tried again within some seconds, by few; and once it is
   quick it takes the larger part, as one that is new.  */
static void
test_slow_is_tried_again (void)
{
  struct upstreams *u = make_table ();
  struct upstream_load busy = { .running = 8 };
  unsigned while_slow = 0;
  unsigned when_quick = 0;
  put (u, "a", "n1", UPSTREAM_SERVICE, false);
  put (u, "b", "n1", UPSTREAM_SERVICE, false);
  int64_t now = play (u, "a", 20, ATTEMPT_ANSWERED, 400, 0);
  now = play (u, "b", 20, ATTEMPT_ANSWERED, 10, now);
  int64_t quick = now + 20000;
  for (; now < quick + 20000; now += 100)
    {
      upstreams_set_peer_load (u, "vm-2", "b", &busy, now);
      const char *id = chosen (u, NULL, now);
      bool is_a = strcmp (id, "a") == 0;
      (now < quick ? &while_slow : &when_quick)[0] += is_a;
      play (u, id, 1, ATTEMPT_ANSWERED, is_a && now < quick ? 400 : 10, now);
    }
  g_test_message ("a of 200: %u while slow, %u when quick", while_slow,
                  when_quick);
  g_assert_cmpuint (while_slow, >=, 1);
  g_assert_cmpuint (while_slow, <=, 4);
  g_assert_cmpuint (when_quick, >, 100);
  put (u, "new", "n1", UPSTREAM_SERVICE, false);
  upstreams_set_peer_load (u, "vm-2", "a", &busy, now);
  g_assert_cmpstr (chosen (u, NULL, now), ==, "new");
  upstreams_destroy (u);
}

/* Load: all instances were too slow for any request's objective, so that
   requests are refused and nothing more is learned.  What is expected goes
   back by itself, so that some are sent again.  */
static void
test_slow_for_all_is_forgotten (void)
{
  struct upstreams *u = make_table ();
  struct placement_request request = { .service = "s" };
  put (u, "a", "n1", UPSTREAM_SERVICE, false);
  put (u, "b", "n1", UPSTREAM_SERVICE, false);
  int64_t now = 0;
  for (unsigned i = 0; i < 30; i++)
    {
      now = play (u, "a", 1, ATTEMPT_ANSWERED, 1000, now);
      now = play (u, "b", 1, ATTEMPT_ANSWERED, 1000, now);
    }
  g_assert_cmpfloat (placement_choose (u, &request, now).expected_ms, >, 300);
  g_assert_cmpfloat (placement_choose (u, &request, now + 10000).expected_ms,
                     <, 100);
  upstreams_destroy (u);
}

/* Load: a service with free slots whose answers take longer than the
   objective, or took so at its only one.  It is refused nothing that can end
   in time, and nothing at all while it runs nothing; once its slots are taken,
   what would be late is refused.  */
static void
test_free_slots_refuse_nothing (void)
{
  struct upstreams *u = make_table ();
  struct placement_request request = { .service = "s" };
  struct upstream_load some = { .running = 2 };
  struct upstream_load full = { .running = 4 };
  put (u, "a", "n1", UPSTREAM_SERVICE, false);
  int64_t now = play (u, "a", 20, ATTEMPT_ANSWERED, 400, 0);
  struct upstream_choice c = placement_choose (u, &request, now);
  g_assert_cmpfloat (c.expected_ms, >, 300);
  g_assert_false (load_shed_must_refuse (&c, 120, 2000));
  g_assert_false (load_shed_must_refuse (&c, 120, 200));
  upstreams_set_peer_load (u, "vm-2", "a", &some, now);
  c = placement_choose (u, &request, now);
  g_assert_false (load_shed_must_refuse (&c, 120, 2000));
  g_assert_true (load_shed_must_refuse (&c, 120, 200));
  upstreams_set_peer_load (u, "vm-2", "a", &full, now);
  c = placement_choose (u, &request, now);
  g_assert_true (load_shed_must_refuse (&c, 120, 2000));
  upstreams_destroy (u);
}

/* A VM that stood still with requests under way learns nothing from them.  */
static void
test_own_pause_is_no_slowness (void)
{
  struct upstreams *u = make_table ();
  struct placement_request request = { .service = "s" };
  struct upstream_work work[20];
  put (u, "a", "n1", UPSTREAM_SERVICE, false);
  int64_t now = play (u, "a", 20, ATTEMPT_ANSWERED, 10, 0);
  struct upstream_choice c = placement_choose (u, &request, now);
  for (unsigned i = 0; i < 20; i++)
    upstreams_record_sent (u, &c, NULL, now, &work[i]);
  now += 3000;
  for (unsigned i = 0; i < 20; i++)
    {
      g_assert_cmpuint (upstreams_record_first_byte (u, &work[i], now), ==, 0);
      upstreams_record_outcome (u, &work[i], ATTEMPT_ANSWERED, now);
    }
  g_assert_cmpfloat (placement_choose (u, &request, now).expected_ms, <, 40);
  upstreams_destroy (u);
}

/* Load: an instance that failed all for a while, beside one that is busy.  A
   request that may be repeated tries it first; those that may run once follow
   after answers, or much later.  */
static void
test_failing_comes_back (void)
{
  struct upstreams *u = make_table ();
  struct upstream_load busy = { .running = 12 };
  struct placement_request once = { .service = "s" };
  struct placement_request again = { .service = "s", .repeatable = true };
  put (u, "a", "n1", UPSTREAM_SERVICE, false);
  put (u, "b", "n1", UPSTREAM_SERVICE, false);
  upstream_handle a = upstreams_find (u, "a");
  int64_t now = play (u, "a", 12, ATTEMPT_NO_VALID_RESPONSE, 10, 0);
  now += 4000;
  upstreams_set_peer_load (u, "vm-2", "b", &busy, now);
  g_assert_cmpuint (placement_choose (u, &again, now).handle, !=, a);
  now += 8000;
  upstreams_set_peer_load (u, "vm-2", "b", &busy, now);
  g_assert_cmpuint (placement_choose (u, &again, now).handle, ==, a);
  g_assert_cmpuint (placement_choose (u, &once, now).handle, !=, a);
  int64_t failed = play (u, "a", 1, ATTEMPT_NO_VALID_RESPONSE, 10, now);
  upstreams_set_peer_load (u, "vm-2", "b", &busy, failed);
  g_assert_cmpuint (placement_choose (u, &again, failed).handle, !=, a);
  now = play (u, "a", 8, ATTEMPT_ANSWERED, 10, failed + 8000);
  upstreams_set_peer_load (u, "vm-2", "b", &busy, now);
  g_assert_cmpuint (placement_choose (u, &once, now).handle, ==, a);
  upstreams_destroy (u);
}

/* An engine that went dark with requests under way: those that may be repeated
   leave it within their patience, and new ones go elsewhere; one that still
   answers others is only slow.  */
static void
test_silent_is_left (void)
{
  struct upstreams *u = make_table ();
  struct upstream_work a;
  struct upstream_work b;
  put (u, "dark", "n1", UPSTREAM_DECODE, false);
  struct upstream_choice c
      = { .handle = upstreams_find (u, "dark"), .expected_ms = 100 };
  upstreams_record_sent (u, &c, NULL, 1000, &a);
  upstreams_record_sent (u, &c, NULL, 1200, &b);
  put (u, "other", "s1", UPSTREAM_DECODE, false);
  g_assert_false (upstreams_has_stalled (u, &a, 1400));
  upstreams_record_bytes (u, c.handle, 1400);
  g_assert_false (upstreams_has_stalled (u, &a, 1850));
  g_assert_true (upstreams_has_stalled (u, &a, 1950));
  g_assert_true (upstreams_has_stalled (u, &b, 1950));
  g_assert_cmpstr (chosen (u, NULL, 1950), ==, "other");
  upstreams_record_outcome (u, &a, ATTEMPT_ANSWERED, 1960);
  g_assert_false (upstreams_has_stalled (u, &b, 1960));
  /* One that answers another VM is only busy.  */
  struct upstream_load told = { .running = 3, .quiet_ms = 40 };
  g_assert_true (upstreams_has_stalled (u, &b, 2600));
  upstreams_set_peer_load (u, "vm-2", "dark", &told, 2600);
  g_assert_false (upstreams_has_stalled (u, &b, 2600));
  g_assert_true (upstreams_has_stalled (u, &b, 3200));
  upstreams_destroy (u);
}

/* Load: answers take far longer than expected, as parts that should be cached
   are not.  What is expected follows within some 20 answers, so that more is
   refused at once, and goes back when they are quick again.  */
static void
test_expectations_follow (void)
{
  struct upstreams *u = make_table ();
  struct prompt p = make_prompt (1, 10, 100);
  struct placement_request request = { .service = "s", .prompt = &p };
  put (u, "e1", "n1", UPSTREAM_DECODE, false);
  double before = placement_choose (u, &request, 0).expected_ms;
  pass (u, 0, 100000);
  for (unsigned i = 0; i < 20; i++)
    upstreams_record_latency (u, 100, 99400, 100000);
  struct upstream_choice c = placement_choose (u, &request, 0);
  g_assert_cmpfloat (c.expected_ms, >, 3 * before);
  g_assert_cmpfloat (c.uncorrected_ms, <, 1.01 * before);
  for (unsigned i = 0; i < 2000; i++)
    upstreams_record_latency (u, 100, 0, 100000);
  /* However late, what is quick without load is still sent.  */
  g_assert_cmpfloat (placement_choose (u, &request, 0).expected_ms, <=,
                     4 * before);
  for (unsigned i = 0; i < 60; i++)
    upstreams_record_latency (u, 100, 99940, 100000);
  g_assert_cmpfloat (placement_choose (u, &request, 0).expected_ms, <,
                     1.1 * before);
  upstreams_destroy (u);
}

/* What an engine was sent counts as cached there, within its memory, which may
   become known after the engine.  */
static void
test_sent_prompts_count_as_cached (void)
{
  struct upstreams *u = make_table ();
  struct upstream_work work;
  put (u, "e1", "n1", UPSTREAM_DECODE, false);
  upstreams_set_kv_capacity (u, "s", 50000);
  struct upstream_choice to = { .handle = upstreams_find (u, "e1") };
  for (unsigned i = 0; i < 4; i++)
    {
      struct prompt p = make_prompt (1, 20 + i, 200 + i);
      upstreams_record_sent (u, &to, &p, i, &work);
      upstreams_record_cancel (u, &work);
    }
  struct prompt again = make_prompt (1, 20, 200);
  struct placement_request request = { .service = "s", .prompt = &again };
  g_assert_cmpuint (placement_choose (u, &request, 10).tokens, ==, 0);
  upstreams_destroy (u);
}

/* All VMs choose the same engine for one subject, and subjects spread.  */
static void
test_subjects_have_homes (void)
{
  struct upstreams *u = make_table ();
  struct upstreams *v = make_table ();
  static const char *const ids[] = { "e1", "e2", "e3", "e4" };
  unsigned seen[4] = { 0 };
  for (unsigned i = 0; i < 4; i++)
    {
      put (u, ids[i], "n1", UPSTREAM_DECODE, false);
      put (v, ids[3 - i], "n1", UPSTREAM_DECODE, false);
    }
  for (unsigned i = 0; i < 400; i++)
    {
      struct prompt p = make_prompt (1, 1000 + i, 5000 + i);
      const char *id = chosen (u, &p, 0);
      g_assert_cmpstr (id, ==, chosen (v, &p, 0));
      seen[id[1] - '1']++;
    }
  /* One is kept free of long prompts.  */
  unsigned kept = 0;
  for (unsigned i = 0; i < 4; i++)
    {
      kept += seen[i] == 0;
      g_assert_true (seen[i] == 0 || seen[i] > 60);
    }
  g_assert_cmpuint (kept, ==, 1);
  upstreams_destroy (u);
  upstreams_destroy (v);
}

/* What an engine's home VM tells replaces what other VMs told, changes as this
   VM's own load does, and is forgotten.  */
static void
test_home_tells (void)
{
  struct upstreams *u = make_table ();
  put (u, "e1", "n1", UPSTREAM_DECODE, false);
  upstream_handle h = upstreams_find (u, "e1");
  struct upstream_load heard = { .running = 1, .tokens = 1000 };
  struct upstream_load told = { .running = 3, .tokens = 9000 };
  struct prompt p = make_prompt (1, 2, 3);
  struct placement_request request = { .service = "s", .prompt = &p };
  upstreams_set_peer_load (u, "other", "e1", &heard, 0);
  upstreams_set_home_load (u, h, &told, 100, 50);
  g_assert_cmpuint (upstreams_all_load (u, h, 60).tokens, ==, 9000);
  g_assert_cmpfloat (upstreams_prefill_rate (u, h), ==, 100);
  struct upstream_choice c = placement_choose (u, &request, 60);
  struct upstream_work work;
  upstreams_record_sent (u, &c, &p, 60, &work);
  g_assert_cmpuint (upstreams_all_load (u, h, 70).tokens, ==, 9000 + c.tokens);
  g_assert_cmpuint (upstreams_all_load (u, h, 70).running, ==, 4);
  upstreams_record_cancel (u, &work);
  g_assert_cmpuint (upstreams_all_load (u, h, 80).tokens, ==, 9000);
  g_assert_cmpuint (upstreams_all_load (u, h, 1000).tokens, ==, 1000);
  upstreams_destroy (u);
}

/* A prompt stays at its first choice while that is in time, and goes to
   another engine, which has to read more, rather than be late.  */
static void
test_late_come_last (void)
{
  struct upstreams *u = make_table ();
  struct prompt p = make_prompt (1, 2, 3);
  struct placement_request request
      = { .service = "s", .prompt = &p, .whole = true, .limit_ms = 200 };
  put (u, "e1", "n1", UPSTREAM_DECODE, false);
  put (u, "e2", "n1", UPSTREAM_DECODE, false);
  put (u, "e3", "n1", UPSTREAM_DECODE, false);
  struct upstream_choice home = placement_choose (u, &request, 0);
  g_assert_true (home.is_preferred);
  struct upstream_load busy = { .running = 1, .tokens = 60000 };
  upstreams_set_home_load (u, home.handle, &busy, 150, 50);
  struct upstream_choice other = placement_choose (u, &request, 60);
  g_assert_cmpuint (other.handle, !=, home.handle);
  g_assert_cmpfloat (other.expected_ms, <=, 200);
  /* Where all are late, the first choice is as good as any.  */
  request.limit_ms = 1;
  struct upstream_choice late = placement_choose (u, &request, 60);
  g_assert_cmpuint (late.handle, !=, 0);
  upstreams_destroy (u);
}

/* Load: questions whose answers take seconds, beside dossiers.  The questions
   fill kept engines, more of them as they get more, and no dossier goes there;
   one engine is always left to dossiers.  */
static void
test_engines_are_kept_for_short_prompts (void)
{
  struct upstreams *u = make_table ();
  static const char *const ids[] = { "e1", "e2", "e3", "e4" };
  struct prompt small = { .n_parts = 1, .tokens = 200, .out_tokens = 90 };
  small.parts[0] = (struct prompt_part){ 7, 200 };
  for (unsigned i = 0; i < 4; i++)
    put (u, ids[i], "n1", UPSTREAM_DECODE, false);
  for (unsigned n = 0; n < 40; n++)
    {
      struct placement_request request = { .service = "s", .prompt = &small };
      struct upstream_choice c = placement_choose (u, &request, 0);
      struct upstream_work work;
      unsigned reading[5] = { 0 };
      for (unsigned i = 0; i < 100; i++)
        {
          struct prompt p = make_prompt (1, 1000 + i, 5000 + i);
          reading[chosen (u, &p, 0)[1] - '0']++;
        }
      unsigned prefill_engines = 0;
      for (unsigned i = 1; i <= 4; i++)
        prefill_engines += reading[i] > 0;
      /* One more is kept for each 4, an engine's slots.  */
      g_assert_cmpuint (prefill_engines, ==, n / 4 >= 2 ? 1 : 3 - n / 4);
      unsigned chosen_engine
          = (unsigned)(upstreams_info (u, c.handle)->id[1] - '0');
      if (n < 4)
        g_assert_cmpuint (reading[chosen_engine], ==, 0);
      upstreams_record_sent (u, &c, &small, 0, &work);
    }
  upstreams_destroy (u);
}

/* Load that fits the other engines does not wait for a busy home.  */
static void
test_busy_home_spills (void)
{
  struct upstreams *u = make_table ();
  struct prompt p = make_prompt (1, 10, 100);
  put (u, "e1", "n1", UPSTREAM_DECODE, false);
  put (u, "e2", "n1", UPSTREAM_DECODE, false);
  put (u, "e3", "n1", UPSTREAM_DECODE, false);
  g_autofree char *home = g_strdup (chosen (u, &p, 0));
  struct upstream_load load = { .running = 10, .tokens = 60000 };
  upstreams_set_peer_load (u, "vm-2", home, &load, 0);
  g_assert_cmpstr (chosen (u, &p, 0), !=, home);
  upstreams_destroy (u);
}

static void
test_large_prompts_are_read_apart (void)
{
  struct upstreams *u = make_table ();
  put (u, "reader", "n1", UPSTREAM_PREFILL, false);
  put (u, "decoder", "n1", UPSTREAM_DECODE, false);
  put (u, "far-decoder", "s1", UPSTREAM_DECODE, false);
  unsigned apart = 0;
  for (unsigned i = 0; i < 200; i++)
    {
      struct prompt p = make_prompt (1, 1000 + i, 5000 + i);
      struct placement_request request = { .service = "s", .prompt = &p };
      struct upstream_choice c = placement_choose (u, &request, 0);
      g_assert_true (c.remote_prefill
                     == (c.handle == upstreams_find (u, "reader")));
      apart += c.remote_prefill;
      /* Once it has been read, a near engine generates.  */
      request.prefill_engine = upstreams_find (u, "reader");
      c = placement_choose (u, &request, 0);
      g_assert_cmpstr (upstreams_info (u, c.handle)->id, ==, "decoder");
      g_assert_cmpuint (c.tokens, ==, 0);
      /* A short prompt, and one whose reading failed, are not.  */
      request.prefill_engine = 0;
      request.whole = true;
      c = placement_choose (u, &request, 0);
      g_assert_false (c.remote_prefill);
    }
  struct prompt small = { .n_parts = 1, .tokens = 200 };
  small.parts[0] = (struct prompt_part){ 7, 200 };
  g_assert_cmpstr (chosen (u, &small, 0), !=, "reader");
  g_assert_cmpuint (apart, >, 50);
  g_assert_cmpuint (apart, <=, 200);
  upstreams_destroy (u);
}

static void
test_handles_end_with_their_instance (void)
{
  struct upstreams *u = make_table ();
  struct upstream_work work;
  put (u, "a", "n1", UPSTREAM_SERVICE, false);
  upstream_handle old = upstreams_find (u, "a");
  struct upstream_choice c = { .handle = old };
  upstreams_record_sent (u, &c, NULL, 0, &work);
  g_assert_true (upstreams_remove (u, "a"));
  g_assert_null (upstreams_info (u, old));
  put (u, "b", "n1", UPSTREAM_SERVICE, false);
  upstreams_record_outcome (u, &work, ATTEMPT_NO_VALID_RESPONSE, 1);
  upstream_handle b = upstreams_find (u, "b");
  g_assert_cmpuint (b, !=, old);
  g_assert_cmpuint (upstreams_own_load (u, b).running, ==, 0);
  upstreams_destroy (u);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/routes/longest-prefix", test_longest_prefix);
  g_test_add_func ("/routes/split", test_split_by_weight);
  g_test_add_func ("/attempts/truth", test_attempts_tell_the_truth);
  g_test_add_func ("/retry-window/bound", test_retry_budget);
  g_test_add_func ("/prefixes/match", test_prefixes);
  g_test_add_func ("/upstreams/home-tells", test_home_tells);
  g_test_add_func ("/upstreams/late-come-last", test_late_come_last);
  g_test_add_func ("/upstreams/near-until-full",
                   test_plain_prefers_near_until_full);
  g_test_add_func ("/upstreams/told-load", test_told_load_counts_and_ages);
  g_test_add_func ("/upstreams/failing", test_failing_is_passed_over);
  g_test_add_func ("/upstreams/slow-is-tried-again", test_slow_is_tried_again);
  g_test_add_func ("/upstreams/slow-for-all", test_slow_for_all_is_forgotten);
  g_test_add_func ("/upstreams/free-slots", test_free_slots_refuse_nothing);
  g_test_add_func ("/upstreams/own-pause", test_own_pause_is_no_slowness);
  g_test_add_func ("/upstreams/failing-comes-back", test_failing_comes_back);
  g_test_add_func ("/upstreams/silent", test_silent_is_left);
  g_test_add_func ("/upstreams/expectations", test_expectations_follow);
  g_test_add_func ("/upstreams/cached", test_sent_prompts_count_as_cached);
  g_test_add_func ("/upstreams/homes", test_subjects_have_homes);
  g_test_add_func ("/upstreams/kept", test_engines_are_kept_for_short_prompts);
  g_test_add_func ("/upstreams/spill", test_busy_home_spills);
  g_test_add_func ("/upstreams/read-apart", test_large_prompts_are_read_apart);
  g_test_add_func ("/upstreams/handles", test_handles_end_with_their_instance);
  return g_test_run ();
}
