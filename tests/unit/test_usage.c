/** @file
    Usage of client accounts: counting and merging, the fleet's clock, and the
    reports of one holder.  */
#include "decide/fleet_clock.h"
#include "decide/usage.h"
#include "decide/usage_reports.h"

#include <string.h>

#define WINDOW_MS 5000
#define ACCOUNTS 200

static uint64_t
total_of (const struct usage *u, uint64_t window, const char *account)
{
  g_autoptr (GArray) totals = usage_totals (u, window);
  for (guint i = 0; i < totals->len; i++)
    {
      const struct usage_total *t
          = &g_array_index (totals, struct usage_total, i);
      if (strcmp (t->account, account) == 0)
        return t->count;
    }
  return 0;
}

/* Messages of one VM as they go over the wire.  */
static void
encode_message (void *arg, const struct usage_counts *message)
{
  GByteArray *data = g_byte_array_new ();
  record_encode (&usage_counts_record, message, data);
  g_assert_cmpuint (data->len, <, 1100);
  g_ptr_array_add (arg, data);
}

static void
free_message (gpointer data)
{
  g_byte_array_unref (data);
}

static GPtrArray *
messages_of (const struct usage *u, uint64_t window)
{
  GPtrArray *messages = g_ptr_array_new_with_free_func (free_message);
  usage_each_message (u, window, encode_message, messages);
  return messages;
}

static void
merge_message (struct usage *u, const GByteArray *data)
{
  struct usage_counts message;
  g_assert_true (
      record_decode (&usage_counts_record, data->data, data->len, &message));
  usage_merge (u, &message);
  record_clear (&usage_counts_record, &message);
}

/* A request counts in the window in which it began, also at the window's
   edges; accounts without requests are left out.  Guards against requests
   counted in the neighbouring window.  */
static void
test_windows (void)
{
  struct usage *u = usage_create ("a", 1, WINDOW_MS);
  usage_count (u, "x", 10 * WINDOW_MS);
  usage_count (u, "x", 11 * WINDOW_MS - 1);
  usage_count (u, "x", 11 * WINDOW_MS);
  g_assert_cmpuint (total_of (u, 10, "x"), ==, 2);
  g_assert_cmpuint (total_of (u, 11, "x"), ==, 1);
  g_autoptr (GArray) none = usage_totals (u, 9);
  g_assert_cmpuint (none->len, ==, 0);
  usage_forget (u, 11);
  g_assert_cmpuint (total_of (u, 10, "x"), ==, 0);
  g_assert_cmpuint (total_of (u, 11, "x"), ==, 1);
  usage_destroy (u);
}

/* Counts of many accounts are split over datagrams.  Messages that are lost,
   repeated and reordered neither lose nor double a count, as long as the last
   of each arrives.  */
static void
test_merging (void)
{
  struct usage *sender = usage_create ("a", 1, WINDOW_MS);
  struct usage *receiver = usage_create ("b", 1, WINDOW_MS);
  usage_forget (receiver, 90);
  for (unsigned round = 0; round < 5; round++)
    {
      for (unsigned i = 0; i < ACCOUNTS; i++)
        {
          g_autofree char *name = g_strdup_printf ("account-%u", i);
          usage_count (sender, name, 100 * WINDOW_MS + round * 900);
        }
      g_autoptr (GPtrArray) messages = messages_of (sender, 100);
      g_assert_cmpuint (messages->len, >, 3);
      for (guint i = 0; i < messages->len; i++)
        if (round == 4 || (i + round) % 3 != 0)
          {
            merge_message (
                receiver, g_ptr_array_index (messages, messages->len - 1 - i));
            merge_message (
                receiver, g_ptr_array_index (messages, messages->len - 1 - i));
          }
    }
  usage_count (receiver, "account-7", 100 * WINDOW_MS);
  g_autoptr (GArray) totals = usage_totals (receiver, 100);
  g_assert_cmpuint (totals->len, ==, ACCOUNTS);
  g_assert_cmpuint (total_of (receiver, 100, "account-3"), ==, 5);
  g_assert_cmpuint (total_of (receiver, 100, "account-7"), ==, 6);
  usage_destroy (sender);
  usage_destroy (receiver);
}

/* A VM that restarts counts from 0 again.  Guards against the new process's
   counts replacing those of the old one.  */
static void
test_restarted_vm (void)
{
  struct usage *receiver = usage_create ("b", 1, WINDOW_MS);
  usage_forget (receiver, 90);
  for (uint64_t start = 1; start <= 2; start++)
    {
      struct usage *sender = usage_create ("a", start, WINDOW_MS);
      for (unsigned i = 0; i < 4 - start; i++)
        usage_count (sender, "x", 100 * WINDOW_MS);
      g_autoptr (GPtrArray) messages = messages_of (sender, 100);
      merge_message (receiver, g_ptr_array_index (messages, 0));
      usage_destroy (sender);
    }
  g_assert_cmpuint (total_of (receiver, 100, "x"), ==, 5);
  usage_destroy (receiver);
}

/* Messages with windows that no clock shows must not fill the memory.  */
static void
test_wrong_windows (void)
{
  struct usage *u = usage_create ("b", 1, WINDOW_MS);
  struct usage *sender = usage_create ("a", 1, WINDOW_MS);
  usage_forget (u, 1000);
  for (unsigned w = 0; w < 5000; w++)
    {
      usage_count (sender, "x", (int64_t)w * WINDOW_MS);
      g_autoptr (GPtrArray) messages = messages_of (sender, w);
      if (messages->len > 0)
        merge_message (u, g_ptr_array_index (messages, 0));
      usage_forget (sender, w);
    }
  unsigned kept = 0;
  for (unsigned w = 0; w < 5000; w++)
    kept += total_of (u, w, "x") > 0;
  g_assert_cmpuint (kept, <=, 64);
  g_assert_cmpuint (total_of (u, 999, "x"), ==, 0);
  g_assert_cmpuint (total_of (u, 1000, "x"), ==, 1);
  usage_destroy (sender);
  usage_destroy (u);
}

/* Fleet clock.  */

#define VMS 89
#define MINUTE_MS 60000
#define TRUE_MS INT64_C (1767225600000)

/* VMs with steady clocks that differ, and wall clocks of which 40% jump.  */
struct clocks
{
  GRand *rand;
  struct fleet_clock *clock[VMS];
  int64_t steady_ms[VMS]; /* of the steady clock at time 0 */
  int64_t error_ms[VMS];  /* of the wall clock */
};

static int
below (GRand *rand, int n)
{
  return g_rand_int_range (rand, 0, n);
}

static int64_t
wall_of (const struct clocks *s, int vm, int64_t now)
{
  return TRUE_MS + now + s->error_ms[vm];
}

/* VM asks another for its clock; the directions take up to 30 ms and 40 ms. */
static void
ask_clock (struct clocks *s, int vm, int other, int64_t now)
{
  g_autofree char *name = g_strdup_printf ("vm-%d", other);
  int64_t there = now + 1 + below (s->rand, 30);
  int64_t back = there + 1 + below (s->rand, 40);
  fleet_clock_record (s->clock[vm], name, s->steady_ms[vm] + now,
                      wall_of (s, other, there), s->steady_ms[vm] + back);
}

/* Largest error of the fleet's time at any VM.  */
static int64_t
largest_error (const struct clocks *s, int64_t now)
{
  int64_t worst = 0;
  for (int vm = 0; vm < VMS; vm++)
    {
      int64_t time = fleet_clock_time (s->clock[vm], wall_of (s, vm, now),
                                       s->steady_ms[vm] + now);
      worst = MAX (worst, ABS (time - TRUE_MS - now));
    }
  return worst;
}

/* 40% of the clocks jump by up to 5 s, all in one direction or both, at once
   or one by one, and also the own one.  Each VM's time stays within 60 ms of
   the true time: the sound clocks are wrong by up to 20 ms, and the two
   directions of an answer differ by up to 40 ms.  Guards against windows that
   the VMs bound differently.  */
static void
test_jumping_clocks (void)
{
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      struct clocks s = { .rand = g_rand_new_with_seed (seed) };
      for (int vm = 0; vm < VMS; vm++)
        {
          s.clock[vm] = fleet_clock_create ();
          s.steady_ms[vm] = below (s.rand, 1000000);
          s.error_ms[vm] = below (s.rand, 41) - 20;
        }
      int jumped = VMS * 2 / 5;
      int direction = seed % 3 == 0 ? 0 : seed % 3 == 1 ? 1 : -1;
      for (int64_t now = 0; now < 2 * MINUTE_MS; now += 1000)
        {
          for (int vm = 0; vm < VMS; vm++)
            for (int i = 0; i < 6; i++)
              ask_clock (&s, vm, below (s.rand, VMS), now);
          int vm = (int)(now / 1000) - 30;
          if (vm >= 0 && vm < jumped)
            s.error_ms[vm] = (direction ? direction
                              : vm % 2  ? 1
                                        : -1)
                             * (1000 + below (s.rand, 4000));
          if (now > 20000)
            g_assert_cmpint (largest_error (&s, now), <=, 60);
        }
      for (int vm = 0; vm < VMS; vm++)
        fleet_clock_destroy (s.clock[vm]);
      g_rand_free (s.rand);
    }
}

/* An answer that came back late, as when this process was paused, and clocks
   of VMs that are gone are not used.  */
static void
test_unusable_clocks (void)
{
  struct fleet_clock *c = fleet_clock_create ();
  fleet_clock_record (c, "a", 1000, TRUE_MS + 9000, 1500);
  fleet_clock_record (c, "a", 2000, TRUE_MS + 9000, 1500);
  g_assert_cmpuint (fleet_clock_known (c, 2000), ==, 0);
  g_assert_cmpint (fleet_clock_time (c, TRUE_MS, 2000), ==, TRUE_MS);
  fleet_clock_record (c, "a", 2000, TRUE_MS + 9000, 2010);
  fleet_clock_record (c, "b", 2000, TRUE_MS + 9000, 2010);
  g_assert_cmpuint (fleet_clock_known (c, 2010), ==, 2);
  g_assert_cmpint (fleet_clock_time (c, TRUE_MS, 2005), ==, TRUE_MS + 9000);
  int64_t later = 2011 + FLEET_CLOCK_KEEP_MS;
  g_assert_cmpuint (fleet_clock_known (c, later), ==, 0);
  g_assert_cmpint (fleet_clock_time (c, TRUE_MS, later), ==, TRUE_MS);
  fleet_clock_destroy (c);
}

/* Reports.  */

static char *
write_number (void *arg, uint64_t window)
{
  return g_strdup_printf ("%u of %" G_GUINT64_FORMAT, ++*(unsigned *)arg,
                          window);
}

static struct usage_reports *
begin (GBytes *record, uint64_t era, bool saw_restore, int64_t started_ms,
       int64_t now_ms)
{
  struct usage_reports *r = usage_reports_create (WINDOW_MS);
  struct usage_holder holder
      = { .era = era, .saw_restore = saw_restore, .started_ms = started_ms };
  usage_reports_begin (r, record, &holder, now_ms);
  return r;
}

/* The first holder reports each window from that of its start on, also the
   empty ones, once, in order, and repeats a report exactly until it is
   accepted.  */
static void
test_reports (void)
{
  unsigned written = 0;
  uint64_t window = 0;
  int64_t now = 102 * WINDOW_MS + USAGE_REPORT_DELAY_MS;
  struct usage_reports *r
      = begin (NULL, 0, false, 100 * WINDOW_MS + 1, 100 * WINDOW_MS + 10);
  g_assert_false (usage_reports_is_due (r, 101 * WINDOW_MS + 10));
  g_assert_true (usage_reports_is_due (r, now));
  g_assert_cmpuint (usage_reports_write (r, 0, now, write_number, &written),
                    ==, 0);
  g_assert_cmpuint (written, ==, 2);
  /* Nothing is sent before the record is written.  */
  g_assert_null (usage_reports_next (r, now, &window));
  g_autoptr (GBytes) record = usage_reports_record (r);
  g_assert_nonnull (record);
  usage_reports_written (r);
  g_assert_cmpstr (usage_reports_next (r, now, &window), ==, "1 of 100");
  g_assert_null (usage_reports_next (r, now, &window));
  g_assert_false (usage_reports_responded (r, 100, 503, now));
  g_assert_false (usage_reports_is_due (r, now));
  now += USAGE_REPORT_RETRY_MS;
  g_assert_true (usage_reports_is_due (r, now));
  g_assert_cmpstr (usage_reports_next (r, now, &window), ==, "1 of 100");
  g_assert_true (usage_reports_responded (r, 100, 200, now));
  g_autoptr (GBytes) shorter = usage_reports_record (r);
  usage_reports_written (r);
  g_assert_cmpstr (usage_reports_next (r, now, &window), ==, "2 of 101");
  usage_reports_destroy (r);
  /* A successor repeats what is in the record.  */
  struct usage_reports *next = begin (record, 0, false, 1, now);
  g_assert_cmpuint (usage_reports_write (next, 0, now, write_number, &written),
                    ==, 0);
  g_assert_cmpuint (written, ==, 2);
  g_assert_cmpstr (usage_reports_next (next, now, &window), ==, "1 of 100");
  g_assert_true (usage_reports_responded (next, 100, 200, now));
  usage_reports_written (next);
  g_assert_cmpstr (usage_reports_next (next, now, &window), ==, "2 of 101");
  usage_reports_destroy (next);
}

/* Windows are left out whose counts this VM was not sent, and those that an
   earlier holder may have reported, as the record is of another era of the
   key-value service or was lost with it.  */
static void
test_left_out_windows (void)
{
  unsigned written = 0;
  int64_t now = 103 * WINDOW_MS + USAGE_REPORT_DELAY_MS;
  struct usage_reports *r = begin (NULL, 1, false, 100 * WINDOW_MS, now);
  g_assert_cmpuint (
      usage_reports_write (r, 102 * WINDOW_MS, now, write_number, &written),
      ==, 1);
  g_assert_cmpuint (written, ==, 2);
  g_autoptr (GBytes) record = usage_reports_record (r);
  usage_reports_destroy (r);
  now += 2 * WINDOW_MS;
  struct usage_reports *restored[]
      = { begin (record, 2, true, 1, now), begin (NULL, 2, true, 1, now) };
  for (size_t i = 0; i < G_N_ELEMENTS (restored); i++)
    {
      written = 0;
      usage_reports_write (restored[i], 0, now, write_number, &written);
      g_assert_cmpuint (written, ==, 0);
      usage_reports_write (restored[i], 0, now + WINDOW_MS, write_number,
                           &written);
      g_assert_cmpuint (written, ==, 1);
      usage_reports_destroy (restored[i]);
    }
}

/* A report that the platform refuses does not keep the others back; after a
   long time without the platform the oldest are dropped.  */
static void
test_refused_reports (void)
{
  unsigned written = 0;
  uint64_t window = 0;
  int64_t now = 102 * WINDOW_MS + USAGE_REPORT_DELAY_MS;
  struct usage_reports *r = begin (NULL, 0, false, 100 * WINDOW_MS, now);
  usage_reports_write (r, 0, now, write_number, &written);
  usage_reports_written (r);
  g_assert_cmpstr (usage_reports_next (r, now, &window), ==, "1 of 100");
  g_assert_false (usage_reports_responded (r, 100, 400, now));
  now += USAGE_REPORT_RETRY_MS;
  g_assert_cmpstr (usage_reports_next (r, now, &window), ==, "2 of 101");
  for (unsigned i = 0; i < 60; i++)
    {
      now += WINDOW_MS;
      usage_reports_write (r, 0, now, write_number, &written);
    }
  usage_reports_written (r);
  g_assert_cmpstr (usage_reports_next (r, now, &window), ==, "31 of 130");
  usage_reports_destroy (r);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/usage/windows", test_windows);
  g_test_add_func ("/usage/merging", test_merging);
  g_test_add_func ("/usage/restarted-vm", test_restarted_vm);
  g_test_add_func ("/usage/wrong-windows", test_wrong_windows);
  g_test_add_func ("/usage/clocks/jumping", test_jumping_clocks);
  g_test_add_func ("/usage/clocks/unusable", test_unusable_clocks);
  g_test_add_func ("/usage/reports/repeated", test_reports);
  g_test_add_func ("/usage/reports/left-out", test_left_out_windows);
  g_test_add_func ("/usage/reports/refused", test_refused_reports);
  return g_test_run ();
}
