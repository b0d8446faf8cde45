/** @file
    Unit tests of request routing: the route table, attempts, the retry budget,
    the prefix index, the upstream table, placement and load shedding.  */
#include "decide/attempts.h"
#include "decide/placement.h"
#include "decide/load_shed.h"
#include "decide/prefix_index.h"
#include "decide/retry_bucket.h"
#include "decide/route_table.h"
#include "decide/upstreams.h"

#include <stdlib.h>
#include <string.h>

/* Route table and traffic split between the targets of a route.  */

/* Returns the targets of a route: service A, and service B unless it is
   NULL.  */
static GArray *
make_targets (const char *a, unsigned a_weight, const char *b,
              unsigned b_weight)
{
  GArray *out = g_array_new (FALSE, TRUE, sizeof (struct route_target));
  struct route_target first = { g_strdup (a), a_weight };
  struct route_target second = { g_strdup (b), b_weight };
  g_array_append_val (out, first);
  if (b)
    g_array_append_val (out, second);
  return out;
}

static void
add_route (struct route_table *t, const char *host, const char *prefix,
           GArray *targets)
{
  struct route r = { .name = g_strdup (prefix),
                     .host = g_strdup (host),
                     .prefix = g_strdup (prefix),
                     .targets = targets };
  route_table_add (t, &r);
}

static void
test_longest_prefix (void)
{
  struct route_table *t = route_table_create (3);
  add_route (t, "a.example", "/x/", make_targets ("s", 1, NULL, 0));
  add_route (t, "a.example", "/x/y/", make_targets ("s", 1, NULL, 0));
  add_route (t, "B.example", "/", make_targets ("s", 1, NULL, 0));
  route_table_finish (t);
  g_assert_cmpstr (route_table_find (t, "a.example", "/x/1")->name, ==, "/x/");
  g_assert_cmpstr (route_table_find (t, "A.Example:80", "/x/y/1")->name, ==,
                   "/x/y/");
  g_assert_cmpstr (route_table_find (t, "b.example", "/q")->name, ==, "/");
  g_assert_null (route_table_find (t, "a.example", "/x"));
  g_assert_null (route_table_find (t, "c.example", "/x/"));
  struct route_table *ref = route_table_ref (t);
  route_table_unref (t);
  g_assert_cmpuint (route_table_version (ref), ==, 3);
  route_table_unref (ref);
}

/* Returns what a search through all of PREFIXES, in the order of the table,
   finds: the number of the first one of those that are longest.  */
static int
search_all (const GPtrArray *prefixes, const char *target)
{
  int found = -1;
  size_t longest = 0;
  for (guint i = 0; i < prefixes->len; i++)
    {
      const char *prefix = g_ptr_array_index (prefixes, i);
      if (g_str_has_prefix (target, prefix)
          && (found < 0 || strlen (prefix) > longest))
        {
          found = (int)i;
          longest = strlen (prefix);
        }
    }
  return found;
}

/* Returns a random path of up to five short segments, so that many are
   prefixes of others; PIECES are what it is made of.  */
static char *
random_path (GRand *rand)
{
  static const char *const pieces[] = { "/", "a", "b/", "a/", "/ab", "\xc3" };
  GString *path = g_string_new ("/");
  for (gint n = g_rand_int_range (rand, 0, 6); n > 0; n--)
    g_string_append (
        path, pieces[g_rand_int_range (rand, 0, G_N_ELEMENTS (pieces))]);
  return g_string_free (path, FALSE);
}

/* Guards against an index that finds another route than a search through all
   routes of the host.  */
static void
test_index_finds_longest_prefix (void)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (62);
  for (unsigned round = 0; round < 300; round++)
    {
      g_autoptr (GPtrArray) prefixes = g_ptr_array_new_with_free_func (g_free);
      struct route_table *t = route_table_create (1);
      for (gint n = g_rand_int_range (rand, 0, 40); n > 0; n--)
        {
          char *prefix = random_path (rand);
          g_ptr_array_add (prefixes, prefix);
          struct route r = { .name = g_strdup_printf ("%u", prefixes->len - 1),
                             .host = g_strdup ("a.example"),
                             .prefix = g_strdup (prefix),
                             .targets = make_targets ("s", 1, NULL, 0) };
          route_table_add (t, &r);
        }
      route_table_finish (t);
      for (unsigned i = 0; i < 50; i++)
        {
          g_autofree char *target = random_path (rand);
          const struct route *r = route_table_find (t, "a.example", target);
          int expected = search_all (prefixes, target);
          g_assert_cmpint (r ? atoi (r->name) : -1, ==, expected);
        }
      route_table_unref (t);
    }
}

static void
test_split_by_weight (void)
{
  struct route r = { .targets = make_targets ("a", 90, "b", 10) };
  unsigned to_b = 0;
  for (unsigned i = 0; i < 10000; i++)
    {
      g_autofree char *request_id = g_strdup_printf ("request-%u", i);
      const char *service = route_pick_service (&r, request_id);
      g_assert_cmpstr (service, ==, route_pick_service (&r, request_id));
      to_b += strcmp (service, "b") == 0;
    }
  g_assert_cmpuint (to_b, >, 850);
  g_assert_cmpuint (to_b, <, 1150);
  for (guint i = 0; i < r.targets->len; i++)
    g_free (g_array_index (r.targets, struct route_target, i).service);
  g_array_free (r.targets, TRUE);
}

/* Attempts: all sequences of up to five outcomes.  */

/* Ends up to five attempts of one request and checks each step.  The digits of
   CODE in base 5, lowest first, are the outcomes.  MOST is the limit of
   attempts that are sent.  */
static void
check_sequence (bool repeatable, unsigned most, unsigned code)
{
  struct attempts a = attempts_init (repeatable, most);
  bool may_have_run = false;
  unsigned sent = 0;
  for (unsigned i = 0; i < 5; i++, code /= 5)
    {
      enum attempt_outcome outcome = code % 5;
      attempts_begin (&a);
      enum attempt_step step = attempts_ended (&a, outcome);
      sent += outcome != ATTEMPT_NOT_SENT;
      may_have_run
          |= outcome == ATTEMPT_NO_VALID_RESPONSE || outcome == ATTEMPT_FAILED;
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
        g_assert_true (outcome == ATTEMPT_ANSWERED
                       || outcome == ATTEMPT_FAILED);
      return;
    }
}

static void
test_attempts_all_sequences (void)
{
  for (unsigned code = 0; code < 5 * 5 * 5 * 5 * 5; code++)
    for (unsigned most = 1; most <= 3; most++)
      {
        check_sequence (false, most, code);
        check_sequence (true, most, code);
      }
}

/* One request with up to two attempts open, in random order; SEED is
   printed.  */
static void
check_hedged (guint32 seed)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  bool repeatable = g_rand_boolean (rand);
  unsigned most = (unsigned)g_rand_int_range (rand, 1, 5);
  struct attempts a = attempts_init (repeatable, most);
  enum attempt_step step = ATTEMPT_RETRY;
  unsigned sent = 0;
  unsigned open = 0;
  bool may_have_run = false;
  g_test_message ("seed %u", seed);
  for (unsigned i = 0; i < 30; i++)
    {
      bool may_begin
          = open == 0 ? step == ATTEMPT_RETRY : attempts_may_hedge (&a);
      g_assert_true (open == 0 || !may_begin || repeatable);
      if (may_begin && (open == 0 || g_rand_boolean (rand)))
        {
          g_assert_true (attempts_may_begin (&a));
          attempts_begin (&a);
          open++;
          g_assert_cmpuint (sent + open, <=, most);
          continue;
        }
      if (open == 0)
        break;
      g_assert_true (repeatable || !attempts_may_begin (&a));
      open--;
      if (open == 1 && g_rand_int_range (rand, 0, 4) == 0)
        {
          attempts_cancelled (&a);
          sent++;
          may_have_run = true;
          continue;
        }
      enum attempt_outcome outcome = g_rand_int_range (rand, 0, 5);
      step = attempts_ended (&a, outcome);
      sent += outcome != ATTEMPT_NOT_SENT;
      may_have_run
          |= outcome == ATTEMPT_NO_VALID_RESPONSE || outcome == ATTEMPT_FAILED;
      g_assert_true (step != ATTEMPT_RETRY || sent + open < most);
      g_assert_true (step != ATTEMPT_RETRY || repeatable || !may_have_run);
    }
  g_assert_true (may_have_run == (attempts_give_up (&a) == ATTEMPT_UNKNOWN));
}

static void
test_attempts_hedged (void)
{
  for (guint32 seed = 1; seed <= 2000; seed++)
    check_hedged (seed);
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
  struct retry_buckets *w[VMS];
  unsigned retry_counts[60000 / 100] = { 0 };
  unsigned request_counts[60000 / 100] = { 0 };
  for (unsigned i = 0; i < VMS; i++)
    {
      w[i] = retry_buckets_create (&b, 0);
      retry_buckets_set_vms (w[i], VMS, 0);
    }
  /* Every request asks for one retry at once.  Every 7 s the load changes
     between 30 and 3 requests per VM and 100 ms.  */
  for (unsigned t = 0; t < 60000; t += 100)
    for (unsigned i = 0; i < VMS; i++)
      for (unsigned k = 0; k < (t / 7000 % 2 ? 3 : 30); k++)
        {
          retry_buckets_record_request (w[i], "s", t);
          request_counts[t / 100]++;
          retry_counts[t / 100]
              += retry_buckets_take (w[i], "s", 1, RETRY_URGENT, t);
        }
  /* The retries of all VMs in any window of 10 s stay within the ratio of its
     requests, or of those of the window before it if they are more, plus the
     slack.  */
  for (unsigned from = 0; from + 100 <= 600; from++)
    {
      unsigned requests = 0;
      unsigned retries = 0;
      for (unsigned i = from; i < from + 100; i++)
        {
          requests += request_counts[i];
          retries += retry_counts[i];
        }
      unsigned previous = 0;
      for (unsigned i = from >= 100 ? from - 100 : 0; i < from; i++)
        previous += request_counts[i];
      g_assert_cmpfloat (retries, <=,
                         b.ratio * MAX (requests, previous) + b.slack);
      g_assert_cmpuint (retries, >, 0);
    }
  for (unsigned i = 0; i < VMS; i++)
    retry_buckets_destroy (w[i]);
}

/* Prefix index.  */

/* Returns a prompt of three parts: COMMON is the id of the part that most
   prompts share, SHARED that of the part that some share, and OWN that of the
   part specific to the request.  */
static struct prompt
make_prompt (uint64_t common, uint64_t shared, uint64_t own)
{
  struct prompt p = { .n_parts = 3, .tokens = 9000, .out_tokens = 2 };
  p.parts[0] = (struct prompt_part){ common, 2500 };
  p.parts[1] = (struct prompt_part){ shared, 3800 };
  p.parts[2] = (struct prompt_part){ own, 2700 };
  return p;
}

static void
test_prefix_index_match (void)
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
  /* The least recently used parts are evicted first.  */
  for (unsigned i = 0; i < 4; i++)
    {
      struct prompt more = make_prompt (1, 20 + i, 200 + i);
      prefix_index_add (x, &more, 2 + i);
    }
  g_assert_cmpuint (prefix_index_match (x, &b), ==, 2500);
  prefix_index_destroy (x);
}

/* Upstream table, placement and load shedding.  */

static const char *
region_of (void *arg, const char *failure_domain)
{
  (void)arg;
  return failure_domain[0] == 'n' ? "north" : "south";
}

static struct upstreams *
make_upstreams (void)
{
  struct upstream_locality locality
      = { .failure_domain = "n1", .region = "north", .region_of = region_of };
  return upstreams_create (&locality);
}

static void
put_upstream (struct upstreams *u, const char *id, const char *domain,
              enum upstream_role role, bool leaving)
{
  struct upstream_info info = { .id = (char *)(uintptr_t)id,
                                .service = (char *)"s",
                                .address = (char *)"127.0.0.1:1",
                                .failure_domain = (char *)(uintptr_t)domain,
                                .software_version = (char *)"v1",
                                .slots = 4,
                                .role = role,
                                .leaving = leaving };
  upstreams_put (u, &info);
}

/* Returns the id of the upstream that placement chooses, or NULL.  */
static const char *
chosen_id (const struct upstreams *u, const struct prompt *p, int64_t now)
{
  struct placement_request request = { .service = "s", .prompt = p };
  struct upstream_choice c = placement_choose (u, &request, now);
  const struct upstream_info *info = upstreams_info (u, c.handle);
  return info ? info->id : NULL;
}

/* An upstream that stated that it accepts no requests gets none until that
   time is over, though it is the nearest; a shorter statement afterwards does
   not end it early.  */
static void
test_paused_gets_no_requests (void)
{
  struct upstreams *u = make_upstreams ();
  put_upstream (u, "near", "n1", UPSTREAM_SERVICE, false);
  put_upstream (u, "far", "s1", UPSTREAM_SERVICE, false);
  upstream_handle near = upstreams_find (u, "near");
  upstream_handle far = upstreams_find (u, "far");
  g_assert_cmpstr (chosen_id (u, NULL, 1000), ==, "near");
  upstreams_pause (u, near, 2000, 1000);
  upstreams_pause (u, near, 100, 1000);
  g_assert_cmpstr (chosen_id (u, NULL, 2999), ==, "far");
  g_assert_cmpuint (upstreams_pause_left_ms (u, "s", 1000), ==, 0);
  upstreams_pause (u, far, 3000, 1000);
  g_assert_null (chosen_id (u, NULL, 2999));
  g_assert_cmpuint (upstreams_pause_left_ms (u, "s", 1500), ==, 1500);
  g_assert_cmpstr (chosen_id (u, NULL, 3000), ==, "near");
  upstreams_destroy (u);
}

/* An upstream that stated that it is leaving stays so when its entry is read
   again, and is used again once it has restarted.  */
static void
test_said_leaving_until_restart (void)
{
  struct upstreams *u = make_upstreams ();
  struct upstream_info info = { .id = (char *)"a",
                                .service = (char *)"s",
                                .address = (char *)"127.0.0.1:1",
                                .failure_domain = (char *)"n1",
                                .software_version = (char *)"v1",
                                .slots = 4,
                                .role = UPSTREAM_SERVICE,
                                .start_wall_ms = 1 };
  upstreams_put (u, &info);
  g_assert_true (upstreams_record_leaving (u, upstreams_find (u, "a")));
  g_assert_false (upstreams_record_leaving (u, upstreams_find (u, "a")));
  g_assert_false (upstreams_put (u, &info));
  info.slots = 5;
  g_assert_true (upstreams_put (u, &info));
  g_assert_null (chosen_id (u, NULL, 1000));
  info.start_wall_ms = 2;
  g_assert_true (upstreams_put (u, &info));
  g_assert_cmpstr (chosen_id (u, NULL, 1000), ==, "a");
  upstreams_destroy (u);
}

static void
test_nearest_service_until_full (void)
{
  struct upstreams *u = make_upstreams ();
  struct placement_request request = { .service = "s" };
  put_upstream (u, "near", "n1", UPSTREAM_SERVICE, false);
  put_upstream (u, "far", "s1", UPSTREAM_SERVICE, false);
  put_upstream (u, "leaving", "n1", UPSTREAM_SERVICE, true);
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
test_reported_load_counts_and_expires (void)
{
  struct upstreams *u = make_upstreams ();
  struct upstream_load load = { .running = 20 };
  put_upstream (u, "a", "n1", UPSTREAM_SERVICE, false);
  put_upstream (u, "b", "n2", UPSTREAM_SERVICE, false);
  g_assert_cmpstr (chosen_id (u, NULL, 0), ==, "a");
  upstreams_set_peer_load (u, "vm-2", "a", &load, 0);
  g_assert_cmpstr (chosen_id (u, NULL, 100), ==, "b");
  g_assert_cmpstr (chosen_id (u, NULL, 5000), ==, "a");
  upstreams_set_peer_load (u, "vm-2", "a", &load, 5000);
  upstreams_clear_peer_loads (u, "vm-2");
  g_assert_cmpstr (chosen_id (u, NULL, 5000), ==, "a");
  upstreams_destroy (u);
}

static void
test_failing_is_deprioritized (void)
{
  struct upstreams *u = make_upstreams ();
  struct placement_request request = { .service = "s" };
  put_upstream (u, "a", "n1", UPSTREAM_SERVICE, false);
  put_upstream (u, "b", "s1", UPSTREAM_SERVICE, false);
  for (unsigned i = 0; i < 12; i++)
    {
      struct upstream_work work;
      struct upstream_choice c = { .handle = upstreams_find (u, "a") };
      upstreams_record_sent (u, &c, NULL, i, &work);
      upstreams_record_outcome (u, &work, ATTEMPT_NO_VALID_RESPONSE, i);
    }
  g_assert_cmpstr (chosen_id (u, NULL, 20), ==, "b");
  /* The failing upstream is still chosen if no other one is left.  */
  upstream_handle tried = upstreams_find (u, "b");
  request.tried = &tried;
  request.n_tried = 1;
  struct upstream_choice c = placement_choose (u, &request, 20);
  g_assert_cmpstr (upstreams_info (u, c.handle)->id, ==, "a");
  /* Failures do not raise the expected latency.  */
  g_assert_cmpfloat (c.expected_ms, <, 100);
  upstreams_destroy (u);
}

/* Ticks U every 50 ms from FROM to NOW, so that it detects no pause of this
   process.  */
static void
tick_until (struct upstreams *u, int64_t from, int64_t now)
{
  for (int64_t t = from; t < now; t += 50)
    upstreams_tick (u, t);
  upstreams_tick (u, now);
}

/* Sends COUNT requests to upstream ID, one after another from NOW on.  Each
   ends with OUTCOME after TOOK_MS.  Returns the time at which the last one
   ended.  */
static int64_t
send_requests (struct upstreams *u, const char *id, unsigned count,
               enum attempt_outcome outcome, int64_t took_ms, int64_t now)
{
  for (unsigned i = 0; i < count; i++)
    {
      struct upstream_work work;
      struct upstream_choice c = { .handle = upstreams_find (u, id) };
      tick_until (u, now, now + took_ms);
      upstreams_record_sent (u, &c, NULL, now, &work);
      now += took_ms;
      if (outcome == ATTEMPT_ANSWERED)
        upstreams_record_first_byte (u, &work, now);
      upstreams_record_outcome (u, &work, outcome, now);
    }
  return now;
}

/* One of two instances is slow for a while, and the other is busy.  The slow
   one is avoided at once, but still gets a few requests within seconds, so
   that its recovery is noticed.  Once it is fast, it gets most requests.  A
   new instance is likewise preferred to busy ones.  */
static void
test_slow_is_probed (void)
{
  struct upstreams *u = make_upstreams ();
  struct upstream_load busy = { .running = 8 };
  unsigned while_slow = 0;
  unsigned while_fast = 0;
  put_upstream (u, "a", "n1", UPSTREAM_SERVICE, false);
  put_upstream (u, "b", "n1", UPSTREAM_SERVICE, false);
  int64_t now = send_requests (u, "a", 20, ATTEMPT_ANSWERED, 400, 0);
  now = send_requests (u, "b", 20, ATTEMPT_ANSWERED, 10, now);
  int64_t fast_from = now + 20000;
  for (; now < fast_from + 20000; now += 100)
    {
      upstreams_set_peer_load (u, "vm-2", "b", &busy, now);
      const char *id = chosen_id (u, NULL, now);
      bool is_a = strcmp (id, "a") == 0;
      (now < fast_from ? &while_slow : &while_fast)[0] += is_a;
      send_requests (u, id, 1, ATTEMPT_ANSWERED,
                     is_a && now < fast_from ? 400 : 10, now);
    }
  g_test_message ("instance a got %u of 200 requests while slow, %u of 200 "
                  "while fast",
                  while_slow, while_fast);
  g_assert_cmpuint (while_slow, >=, 1);
  g_assert_cmpuint (while_slow, <=, 4);
  g_assert_cmpuint (while_fast, >, 100);
  put_upstream (u, "new", "n1", UPSTREAM_SERVICE, false);
  upstreams_set_peer_load (u, "vm-2", "a", &busy, now);
  g_assert_cmpstr (chosen_id (u, NULL, now), ==, "new");
  upstreams_destroy (u);
}

/* All instances were too slow for the latency objective of any request, so
   that requests are refused and no new latencies are measured.  The expected
   latency decays by itself, so that some requests are sent again.  */
static void
test_expected_latency_decays (void)
{
  struct upstreams *u = make_upstreams ();
  struct placement_request request = { .service = "s" };
  put_upstream (u, "a", "n1", UPSTREAM_SERVICE, false);
  put_upstream (u, "b", "n1", UPSTREAM_SERVICE, false);
  int64_t now = 0;
  for (unsigned i = 0; i < 30; i++)
    {
      now = send_requests (u, "a", 1, ATTEMPT_ANSWERED, 1000, now);
      now = send_requests (u, "b", 1, ATTEMPT_ANSWERED, 1000, now);
    }
  g_assert_cmpfloat (placement_choose (u, &request, now).expected_ms, >, 300);
  g_assert_cmpfloat (placement_choose (u, &request, now + 10000).expected_ms,
                     <, 100);
  upstreams_destroy (u);
}

/* Guards against requests that are refused beside responses that go on for
   long, as their callers read slowly: the instance has begun them all, more
   than it states slots, so that a new request does not wait for them.  Those
   that have not begun still queue.  */
static void
test_begun_responses_queue_nothing (void)
{
  enum
  {
    OPEN = 40
  };
  struct upstream_work work[OPEN];
  struct upstreams *u = make_upstreams ();
  struct placement_request request = { .service = "s" };
  put_upstream (u, "a", "n1", UPSTREAM_SERVICE, false);
  int64_t now = send_requests (u, "a", 20, ATTEMPT_ANSWERED, 100, 0);
  struct upstream_choice c;
  for (unsigned i = 0; i < OPEN; i++)
    {
      c = placement_choose (u, &request, now);
      upstreams_record_sent (u, &c, NULL, now, &work[i]);
    }
  c = placement_choose (u, &request, now);
  g_assert_true (load_shed_must_refuse (&c, 800, 10000));
  now += 100;
  for (unsigned i = 0; i < OPEN; i++)
    upstreams_record_first_byte (u, &work[i], now);
  c = placement_choose (u, &request, now);
  g_assert_cmpint (c.occupancy, !=, UPSTREAM_HAS_FREE_SLOTS);
  g_assert_false (load_shed_must_refuse (&c, 800, 10000));
  for (unsigned i = 0; i < OPEN; i++)
    upstreams_record_cancel (u, &work[i]);
  c = placement_choose (u, &request, now);
  g_assert_cmpint (c.occupancy, ==, UPSTREAM_IDLE);
  for (unsigned i = 0; i < OPEN; i++)
    upstreams_record_sent (u, &c, NULL, now, &work[i]);
  c = placement_choose (u, &request, now);
  g_assert_true (load_shed_must_refuse (&c, 800, 10000));
  upstreams_destroy (u);
}

/* The only instance of a service is slower than the latency objective, or was
   when last measured.  An idle instance gets every request, one with free
   slots every request that can be answered before its time-out, and a full one
   only requests that are expected to stay within the limit.  */
static void
test_free_slots_prevent_shedding (void)
{
  struct upstreams *u = make_upstreams ();
  struct placement_request request = { .service = "s" };
  struct upstream_load partial = { .running = 2 };
  struct upstream_load full = { .running = 4 };
  put_upstream (u, "a", "n1", UPSTREAM_SERVICE, false);
  int64_t now = send_requests (u, "a", 20, ATTEMPT_ANSWERED, 400, 0);
  struct upstream_choice c = placement_choose (u, &request, now);
  g_assert_cmpfloat (c.expected_ms, >, 300);
  g_assert_false (load_shed_must_refuse (&c, 120, 2000));
  g_assert_false (load_shed_must_refuse (&c, 120, 200));
  upstreams_set_peer_load (u, "vm-2", "a", &partial, now);
  c = placement_choose (u, &request, now);
  g_assert_false (load_shed_must_refuse (&c, 120, 2000));
  g_assert_true (load_shed_must_refuse (&c, 120, 200));
  upstreams_set_peer_load (u, "vm-2", "a", &full, now);
  c = placement_choose (u, &request, now);
  g_assert_true (load_shed_must_refuse (&c, 120, 2000));
  upstreams_destroy (u);
}

/* Latencies of requests that were in flight while this process was paused are
   ignored.  */
static void
test_process_pause_is_ignored (void)
{
  struct upstreams *u = make_upstreams ();
  struct placement_request request = { .service = "s" };
  struct upstream_work work[20];
  put_upstream (u, "a", "n1", UPSTREAM_SERVICE, false);
  int64_t now = send_requests (u, "a", 20, ATTEMPT_ANSWERED, 10, 0);
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

/* One instance failed all requests for a while, and the other is busy.
   Repeatable requests return to the failed instance first.  Requests that must
   not run twice return once it has answered some, or much later.  */
static void
test_failing_is_probed (void)
{
  struct upstreams *u = make_upstreams ();
  struct upstream_load busy = { .running = 12 };
  struct placement_request at_most_once = { .service = "s" };
  struct placement_request repeatable = { .service = "s", .repeatable = true };
  put_upstream (u, "a", "n1", UPSTREAM_SERVICE, false);
  put_upstream (u, "b", "n1", UPSTREAM_SERVICE, false);
  upstream_handle a = upstreams_find (u, "a");
  int64_t now = send_requests (u, "a", 12, ATTEMPT_NO_VALID_RESPONSE, 10, 0);
  now += 4000;
  upstreams_set_peer_load (u, "vm-2", "b", &busy, now);
  g_assert_cmpuint (placement_choose (u, &repeatable, now).handle, !=, a);
  now += 8000;
  upstreams_set_peer_load (u, "vm-2", "b", &busy, now);
  g_assert_cmpuint (placement_choose (u, &repeatable, now).handle, ==, a);
  g_assert_cmpuint (placement_choose (u, &at_most_once, now).handle, !=, a);
  int64_t failed_ms
      = send_requests (u, "a", 1, ATTEMPT_NO_VALID_RESPONSE, 10, now);
  upstreams_set_peer_load (u, "vm-2", "b", &busy, failed_ms);
  g_assert_cmpuint (placement_choose (u, &repeatable, failed_ms).handle, !=,
                    a);
  now = send_requests (u, "a", 8, ATTEMPT_ANSWERED, 10, failed_ms + 8000);
  upstreams_set_peer_load (u, "vm-2", "b", &busy, now);
  g_assert_cmpuint (placement_choose (u, &at_most_once, now).handle, ==, a);
  upstreams_destroy (u);
}

/* An engine stops responding while requests are in flight.  They count as
   stalled after the stall time and three times their expected time, so that
   they can be retried elsewhere, and new requests go to another engine.  An
   engine that still sends bytes to any VM is only slow.  */
static void
test_unresponsive_is_avoided (void)
{
  struct upstreams *u = make_upstreams ();
  struct upstream_work a;
  struct upstream_work b;
  put_upstream (u, "dark", "n1", UPSTREAM_DECODE, false);
  struct upstream_choice c
      = { .handle = upstreams_find (u, "dark"), .expected_ms = 100 };
  upstreams_record_sent (u, &c, NULL, 1000, &a);
  c.expected_ms = 240;
  upstreams_record_sent (u, &c, NULL, 1200, &b);
  put_upstream (u, "other", "s1", UPSTREAM_DECODE, false);
  g_assert_false (upstreams_has_stalled (u, &a, 1400));
  upstreams_record_bytes (u, &a, 1400);
  g_assert_false (upstreams_has_stalled (u, &a, 1850));
  g_assert_true (upstreams_has_stalled (u, &a, 1950));
  g_assert_true (upstreams_has_stalled (u, &b, 1950));
  g_assert_cmpstr (chosen_id (u, NULL, 1950), ==, "other");
  upstreams_record_outcome (u, &a, ATTEMPT_ANSWERED, 1960);
  g_assert_false (upstreams_has_stalled (u, &b, 1960));
  /* An engine that sends bytes to another VM is responsive.  */
  struct upstream_load report = { .running = 3, .quiet_ms = 40 };
  g_assert_true (upstreams_has_stalled (u, &b, 2600));
  upstreams_set_peer_load (u, "vm-2", "dark", &report, 2600);
  g_assert_false (upstreams_has_stalled (u, &b, 2600));
  g_assert_true (upstreams_has_stalled (u, &b, 3200));
  upstreams_destroy (u);
}

/* One request gets no byte while its engine serves others: its connection may
   be lost.  */
static void
test_single_request_stalls (void)
{
  struct upstreams *u = make_upstreams ();
  struct upstream_work quick;
  struct upstream_work queued;
  struct upstream_work other;
  put_upstream (u, "busy", "n1", UPSTREAM_DECODE, false);
  struct upstream_choice c
      = { .handle = upstreams_find (u, "busy"), .expected_ms = 100 };
  upstreams_record_sent (u, &c, NULL, 1000, &quick);
  upstreams_record_sent (u, &c, NULL, 1000, &other);
  c.expected_ms = 300;
  upstreams_record_sent (u, &c, NULL, 1000, &queued);
  for (int64_t at = 1100; at <= 2900; at += 100)
    {
      upstreams_record_bytes (u, &other, at);
      g_assert_true (upstreams_has_stalled (u, &quick, at) == (at > 2000));
      g_assert_true (upstreams_has_stalled (u, &queued, at) == (at > 2800));
      g_assert_false (upstreams_has_stalled (u, &other, at));
    }
  upstreams_destroy (u);
}

static const struct prompt short_prompt
    = { .parts = { { 7, 200 } }, .n_parts = 1, .tokens = 200 };

/* Lets ENGINE refuse a request at NOW, and returns the time for which another
   engine is chosen.  */
static int64_t
refused_for_ms (struct upstreams *u, const char *engine, int64_t now)
{
  struct prompt p = short_prompt;
  struct upstream_choice c = { .handle = upstreams_find (u, engine),
                               .work = UPSTREAM_WORK_SHORT_PROMPT };
  struct upstream_work work;
  upstreams_record_sent (u, &c, &p, now, &work);
  upstreams_record_outcome (u, &work, ATTEMPT_NOT_RUN, now);
  int64_t ms = 0;
  while (ms < 10000 && strcmp (chosen_id (u, &p, now + ms), engine) != 0)
    ms += 10;
  return ms;
}

/* An engine that goes on refusing requests, as during a change of its role, is
   asked ever more rarely, until it answers one.  */
static void
test_refusals_lengthen_cooldown (void)
{
  struct upstreams *u = make_upstreams ();
  put_upstream (u, "e1", "n1", UPSTREAM_DECODE, false);
  put_upstream (u, "e2", "s1", UPSTREAM_DECODE, false);
  g_autofree char *e = g_strdup (chosen_id (u, &short_prompt, 0));
  int64_t first = refused_for_ms (u, e, 1000);
  int64_t second = refused_for_ms (u, e, 3000);
  g_assert_cmpint (first, >, 0);
  g_assert_cmpint (second, >=, 2 * first - 10);
  for (unsigned i = 0; i < 10; i++)
    g_assert_cmpint (refused_for_ms (u, e, 5000 + 3000 * i), <, 1000);
  struct upstream_choice c = { .handle = upstreams_find (u, e) };
  struct upstream_work work;
  upstreams_record_sent (u, &c, NULL, 50000, &work);
  upstreams_record_outcome (u, &work, ATTEMPT_ANSWERED, 50001);
  g_assert_cmpint (refused_for_ms (u, e, 51000), ==, first);
  upstreams_destroy (u);
}

/* A KV cache that cannot be fetched is the fault of the engine that prefilled
   it, which gets no prompts for a while; the decode engine stays in use.  */
static void
test_lost_cache (void)
{
  struct upstreams *u = make_upstreams ();
  struct prompt p = make_prompt (1, 2, 3);
  struct placement_request request = { .service = "s", .prompt = &p };
  put_upstream (u, "reader-1", "n1", UPSTREAM_PREFILL, false);
  put_upstream (u, "reader-2", "n1", UPSTREAM_PREFILL, false);
  put_upstream (u, "decoder", "n1", UPSTREAM_DECODE, false);
  struct upstream_choice before = placement_choose (u, &request, 0);
  g_assert_true (before.remote_prefill);
  for (unsigned i = 0; i < 3; i++)
    upstreams_record_lost_cache (u, before.handle, 1000);
  struct upstream_choice after = placement_choose (u, &request, 1100);
  g_assert_true (after.handle != before.handle);
  struct upstream_choice later = placement_choose (u, &request, 5000);
  g_assert_true (later.handle == before.handle);
  upstreams_destroy (u);
}

/* Answers take far longer than estimated, because prompt parts that should be
   cached are not.  The correction of expected latencies rises within about 20
   answers, so that more requests are refused at once, and falls again when
   answers are fast.  */
static void
test_latency_correction (void)
{
  struct upstreams *u = make_upstreams ();
  struct prompt p = make_prompt (1, 10, 100);
  struct placement_request request = { .service = "s", .prompt = &p };
  put_upstream (u, "e1", "n1", UPSTREAM_DECODE, false);
  double before = placement_choose (u, &request, 0).expected_ms;
  tick_until (u, 0, 100000);
  for (unsigned i = 0; i < 20; i++)
    upstreams_record_latency (u, 100, 99400, 100000);
  struct upstream_choice c = placement_choose (u, &request, 0);
  g_assert_cmpfloat (c.expected_ms, >, 3 * before);
  g_assert_cmpfloat (c.uncorrected_ms, <, 1.01 * before);
  for (unsigned i = 0; i < 2000; i++)
    upstreams_record_latency (u, 100, 0, 100000);
  /* The correction is bounded, so that a request that is fast without load is
     still sent, however slow the measured answers were.  */
  g_assert_cmpfloat (placement_choose (u, &request, 0).expected_ms, <=,
                     4 * before);
  for (unsigned i = 0; i < 60; i++)
    upstreams_record_latency (u, 100, 99940, 100000);
  g_assert_cmpfloat (placement_choose (u, &request, 0).expected_ms, <,
                     1.1 * before);
  upstreams_destroy (u);
}

/* Prompts that were sent to an engine count as cached there, up to its KV
   cache capacity, which may become known after the engine itself.  */
static void
test_sent_prompts_count_as_cached (void)
{
  struct upstreams *u = make_upstreams ();
  struct upstream_work work;
  put_upstream (u, "e1", "n1", UPSTREAM_DECODE, false);
  struct engine_limits limits = { .kv_tokens = 50000 };
  upstreams_set_engine_limits (u, "s", &limits);
  struct upstream_choice c = { .handle = upstreams_find (u, "e1") };
  for (unsigned i = 0; i < 4; i++)
    {
      struct prompt p = make_prompt (1, 20 + i, 200 + i);
      upstreams_record_sent (u, &c, &p, i, &work);
      upstreams_record_cancel (u, &work);
    }
  struct prompt again = make_prompt (1, 20, 200);
  struct placement_request request = { .service = "s", .prompt = &again };
  g_assert_cmpuint (placement_choose (u, &request, 10).tokens, ==, 0);
  upstreams_destroy (u);
}

/* All VMs choose the same engine for prompts with the same shared part, and
   different shared parts spread over the engines.  */
static void
test_shared_parts_have_preferred_engine (void)
{
  struct upstreams *u = make_upstreams ();
  struct upstreams *v = make_upstreams ();
  static const char *const ids[] = { "e1", "e2", "e3", "e4" };
  unsigned counts[4] = { 0 };
  for (unsigned i = 0; i < 4; i++)
    {
      put_upstream (u, ids[i], "n1", UPSTREAM_DECODE, false);
      put_upstream (v, ids[3 - i], "n1", UPSTREAM_DECODE, false);
    }
  for (unsigned i = 0; i < 400; i++)
    {
      struct prompt p = make_prompt (1, 1000 + i, 5000 + i);
      const char *id = chosen_id (u, &p, 0);
      g_assert_cmpstr (id, ==, chosen_id (v, &p, 0));
      counts[id[1] - '1']++;
    }
  /* One engine is reserved for short prompts.  */
  unsigned reserved = 0;
  for (unsigned i = 0; i < 4; i++)
    {
      reserved += counts[i] == 0;
      g_assert_true (counts[i] == 0 || counts[i] > 60);
    }
  g_assert_cmpuint (reserved, ==, 1);
  upstreams_destroy (u);
  upstreams_destroy (v);
}

/* The load report of an engine's home VM replaces the reports of other VMs, is
   adjusted by later changes of this VM's own load, and expires.  */
static void
test_home_load_report (void)
{
  struct upstreams *u = make_upstreams ();
  put_upstream (u, "e1", "n1", UPSTREAM_DECODE, false);
  upstream_handle h = upstreams_find (u, "e1");
  struct upstream_load peer_report = { .running = 1, .tokens = 1000 };
  struct upstream_load home_report = { .running = 3, .tokens = 9000 };
  struct prompt p = make_prompt (1, 2, 3);
  struct placement_request request = { .service = "s", .prompt = &p };
  upstreams_set_peer_load (u, "other", "e1", &peer_report, 0);
  struct engine_rates rates = { .fixed_ms = 5, .ms_per_1000 = 10 };
  upstreams_set_home_load (u, h, &home_report, UPSTREAM_WORK_PREFILL, &rates,
                           50);
  g_assert_cmpuint (upstreams_all_load (u, h, 60).tokens, ==, 9000);
  g_assert_cmpfloat (upstreams_rates (u, h, UPSTREAM_WORK_PREFILL).ms_per_1000,
                     ==, 10);
  g_assert_cmpfloat (upstreams_rates (u, h, UPSTREAM_WORK_DECODE).ms_per_1000,
                     !=, 10);
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

/* A prompt stays on its preferred engine while that one is expected to stay
   within the latency limit.  Otherwise it goes to another engine that does,
   even if that one has more tokens to prefill.  */
static void
test_engines_over_limit_rank_last (void)
{
  struct upstreams *u = make_upstreams ();
  struct prompt p = make_prompt (1, 2, 3);
  struct placement_request request = { .service = "s",
                                       .prompt = &p,
                                       .exclude_prefill_engines = true,
                                       .limit_ms = 200 };
  put_upstream (u, "e1", "n1", UPSTREAM_DECODE, false);
  put_upstream (u, "e2", "n1", UPSTREAM_DECODE, false);
  put_upstream (u, "e3", "n1", UPSTREAM_DECODE, false);
  struct upstream_choice preferred = placement_choose (u, &request, 0);
  g_assert_true (preferred.is_preferred);
  struct upstream_load busy = { .running = 1, .tokens = 60000 };
  struct engine_rates rates = { .fixed_ms = 8, .ms_per_1000 = 1000.0 / 150 };
  upstreams_set_home_load (u, preferred.handle, &busy, UPSTREAM_WORK_PREFILL,
                           &rates, 50);
  struct upstream_choice other = placement_choose (u, &request, 60);
  g_assert_cmpuint (other.handle, !=, preferred.handle);
  g_assert_cmpfloat (other.expected_ms, <=, 200);
  /* If all engines exceed the limit, one is still chosen.  */
  request.limit_ms = 1;
  struct upstream_choice over_limit = placement_choose (u, &request, 60);
  g_assert_cmpuint (over_limit.handle, !=, 0);
  upstreams_destroy (u);
}

/* Short prompts, whose answers take seconds, run beside long prompts.  The
   more short ones run, the more engines are reserved for them, and no long
   prompt is placed on a reserved engine.  One engine always remains for long
   prompts.  */
static void
test_engines_reserved_for_short_prompts (void)
{
  struct upstreams *u = make_upstreams ();
  static const char *const ids[] = { "e1", "e2", "e3", "e4" };
  struct prompt small = { .n_parts = 1, .tokens = 200, .out_tokens = 90 };
  small.parts[0] = (struct prompt_part){ 7, 200 };
  for (unsigned i = 0; i < 4; i++)
    put_upstream (u, ids[i], "n1", UPSTREAM_DECODE, false);
  for (unsigned n = 0; n < 40; n++)
    {
      struct placement_request request = { .service = "s", .prompt = &small };
      struct upstream_choice c = placement_choose (u, &request, 0);
      struct upstream_work work;
      unsigned long_prompts[5] = { 0 };
      for (unsigned i = 0; i < 100; i++)
        {
          struct prompt p = make_prompt (1, 1000 + i, 5000 + i);
          long_prompts[chosen_id (u, &p, 0)[1] - '0']++;
        }
      unsigned unreserved = 0;
      for (unsigned i = 1; i <= 4; i++)
        unreserved += long_prompts[i] > 0;
      /* One more engine is reserved for each 4 short requests, as many as an
         engine has slots.  */
      g_assert_cmpuint (unreserved, ==, n / 4 >= 2 ? 1 : 3 - n / 4);
      unsigned chosen_engine
          = (unsigned)(upstreams_info (u, c.handle)->id[1] - '0');
      if (n < 4)
        g_assert_cmpuint (long_prompts[chosen_engine], ==, 0);
      upstreams_record_sent (u, &c, &small, 0, &work);
    }
  upstreams_destroy (u);
}

/* A prompt does not wait for its preferred engine if that one is busy and
   others have capacity.  */
static void
test_busy_preferred_engine_spills (void)
{
  struct upstreams *u = make_upstreams ();
  struct prompt p = make_prompt (1, 10, 100);
  put_upstream (u, "e1", "n1", UPSTREAM_DECODE, false);
  put_upstream (u, "e2", "n1", UPSTREAM_DECODE, false);
  put_upstream (u, "e3", "n1", UPSTREAM_DECODE, false);
  g_autofree char *preferred = g_strdup (chosen_id (u, &p, 0));
  struct upstream_load load = { .running = 10, .tokens = 60000 };
  upstreams_set_peer_load (u, "vm-2", preferred, &load, 0);
  g_assert_cmpstr (chosen_id (u, &p, 0), !=, preferred);
  upstreams_destroy (u);
}

static void
test_long_prompts_use_remote_prefill (void)
{
  struct upstreams *u = make_upstreams ();
  put_upstream (u, "reader", "n1", UPSTREAM_PREFILL, false);
  put_upstream (u, "decoder", "n1", UPSTREAM_DECODE, false);
  put_upstream (u, "far-decoder", "s1", UPSTREAM_DECODE, false);
  unsigned remote = 0;
  for (unsigned i = 0; i < 200; i++)
    {
      struct prompt p = make_prompt (1, 1000 + i, 5000 + i);
      struct placement_request request = { .service = "s", .prompt = &p };
      struct upstream_choice c = placement_choose (u, &request, 0);
      g_assert_true (c.remote_prefill
                     == (c.handle == upstreams_find (u, "reader")));
      remote += c.remote_prefill;
      /* After a remote prefill, the nearest engine decodes.  */
      request.prefill_engine = upstreams_find (u, "reader");
      c = placement_choose (u, &request, 0);
      g_assert_cmpstr (upstreams_info (u, c.handle)->id, ==, "decoder");
      g_assert_cmpuint (c.tokens, ==, 0);
      /* A prompt whose remote prefill failed is not sent to a prefill engine
         again.  */
      request.prefill_engine = 0;
      request.exclude_prefill_engines = true;
      c = placement_choose (u, &request, 0);
      g_assert_false (c.remote_prefill);
    }
  /* A short prompt is not sent to a prefill engine either.  */
  struct prompt small = { .n_parts = 1, .tokens = 200 };
  small.parts[0] = (struct prompt_part){ 7, 200 };
  g_assert_cmpstr (chosen_id (u, &small, 0), !=, "reader");
  g_assert_cmpuint (remote, >, 50);
  g_assert_cmpuint (remote, <=, 200);
  upstreams_destroy (u);
}

static void
test_removal_invalidates_handle (void)
{
  struct upstreams *u = make_upstreams ();
  struct upstream_work work;
  put_upstream (u, "a", "n1", UPSTREAM_SERVICE, false);
  upstream_handle old = upstreams_find (u, "a");
  struct upstream_choice c = { .handle = old };
  upstreams_record_sent (u, &c, NULL, 0, &work);
  g_assert_true (upstreams_remove (u, "a"));
  g_assert_null (upstreams_info (u, old));
  put_upstream (u, "b", "n1", UPSTREAM_SERVICE, false);
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
  g_test_add_func ("/route-table/longest-prefix", test_longest_prefix);
  g_test_add_func ("/route-table/index-finds-longest-prefix",
                   test_index_finds_longest_prefix);
  g_test_add_func ("/route-table/split-by-weight", test_split_by_weight);
  g_test_add_func ("/attempts/all-sequences", test_attempts_all_sequences);
  g_test_add_func ("/attempts/hedged", test_attempts_hedged);
  g_test_add_func ("/retry-window/bound", test_retry_budget);
  g_test_add_func ("/prefix-index/match-and-evict", test_prefix_index_match);
  g_test_add_func ("/upstreams/home-load-report", test_home_load_report);
  g_test_add_func ("/upstreams/over-limit-ranked-last",
                   test_engines_over_limit_rank_last);
  g_test_add_func ("/upstreams/nearest-until-full",
                   test_nearest_service_until_full);
  g_test_add_func ("/upstreams/reported-load",
                   test_reported_load_counts_and_expires);
  g_test_add_func ("/upstreams/paused", test_paused_gets_no_requests);
  g_test_add_func ("/upstreams/said-leaving", test_said_leaving_until_restart);
  g_test_add_func ("/upstreams/failing", test_failing_is_deprioritized);
  g_test_add_func ("/upstreams/slow-is-tried-again", test_slow_is_probed);
  g_test_add_func ("/upstreams/expected-latency-decays",
                   test_expected_latency_decays);
  g_test_add_func ("/upstreams/free-slots", test_free_slots_prevent_shedding);
  g_test_add_func ("/upstreams/begun-responses-queue-nothing",
                   test_begun_responses_queue_nothing);
  g_test_add_func ("/upstreams/process-pause-ignored",
                   test_process_pause_is_ignored);
  g_test_add_func ("/upstreams/failing-comes-back", test_failing_is_probed);
  g_test_add_func ("/upstreams/unresponsive-is-avoided",
                   test_unresponsive_is_avoided);
  g_test_add_func ("/upstreams/single-request-stalls",
                   test_single_request_stalls);
  g_test_add_func ("/upstreams/latency-correction", test_latency_correction);
  g_test_add_func ("/upstreams/refusals-lengthen-cooldown",
                   test_refusals_lengthen_cooldown);
  g_test_add_func ("/upstreams/lost-cache", test_lost_cache);
  g_test_add_func ("/upstreams/cached", test_sent_prompts_count_as_cached);
  g_test_add_func ("/upstreams/preferred-engine",
                   test_shared_parts_have_preferred_engine);
  g_test_add_func ("/upstreams/reserved-engines",
                   test_engines_reserved_for_short_prompts);
  g_test_add_func ("/upstreams/spill", test_busy_preferred_engine_spills);
  g_test_add_func ("/upstreams/remote-prefill",
                   test_long_prompts_use_remote_prefill);
  g_test_add_func ("/upstreams/handles", test_removal_invalidates_handle);
  return g_test_run ();
}
