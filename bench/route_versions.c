/** @file
    Processor time to take in versions of the routes: the longest step, which
    holds the event loop, and what a small change costs beside a version of
    which nothing is known.  */
#include "harness/route_versions.h"
#include "platform/adapter.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define STEP_MS_TARGET 5.0
#define CHANGE_PART_TARGET 0.05
#define ROUNDS 5

/* Times of one version, in ms of processor time.  */
struct times
{
  double whole;
  double longest_step;
};

static int exit_status;

static double
cpu_ms (void)
{
  struct timespec t = { 0 };
  (void)clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

/* Takes in VALUE, in place of the version *TABLE, and returns the longest step
   in ms; 0 without TIMED, as the clock takes as long as a step.  */
static double
take_in (struct route_decoder *d, GBytes *value, struct route_table **table,
         bool timed)
{
  uint64_t version = 0;
  struct route_table *next = NULL;
  double longest = 0;
  double start = timed ? cpu_ms () : 0;
  bool more = platform_begin_routes (d, value, &version, NULL);
  while (more)
    {
      more = platform_decode_step (d, &next, NULL) == ROUTE_DECODE_MORE;
      if (!more)
        {
          route_table_unref (*table);
          *table = next;
        }
      double end = timed ? cpu_ms () : 0;
      longest = MAX (longest, end - start);
      start = end;
    }
  return longest;
}

/* Takes in VALUE and keeps the least times of T and this.  */
static void
measure_version (struct times *t, struct route_decoder *d, GBytes *value,
                 struct route_table **table, bool timed)
{
  double start = cpu_ms ();
  double longest = take_in (d, value, table, timed);
  if (timed)
    t->longest_step = MIN (t->longest_step, longest);
  else
    t->whole = MIN (t->whole, cpu_ms () - start);
}

static void
check_bound (const char *name, double value, double bound)
{
  bool met = value <= bound;
  printf ("bound name=route-versions/%s value=%.3f <= %.2f %s\n", name, value,
          bound, met ? "met" : "NOT MET");
  if (!met)
    exit_status = 1;
}

/* Measures a first version and a change of one route, the best of ROUNDS.  */
static void
measure (const struct version_size *size)
{
  struct times first = { 1e9, 1e9 };
  struct times change = { 1e9, 1e9 };
  g_autoptr (GBytes) one = version_write (size, 1);
  g_autoptr (GBytes) two = version_write (size, 2);
  for (unsigned i = 0; i < 2 * ROUNDS; i++)
    {
      struct route_decoder *d = platform_create_route_decoder ();
      struct route_table *table = NULL;
      bool timed = i % 2 != 0;
      measure_version (&first, d, one, &table, timed);
      measure_version (&change, d, two, &table, timed);
      route_table_unref (table);
      platform_destroy_route_decoder (d);
    }
  printf ("bench name=route-versions/%s metric=processor value=%.3f unit=ms "
          "change=%.3f bytes=%zu\n",
          size->name, first.whole, change.whole, g_bytes_get_size (one));
  g_autofree char *step = g_strdup_printf ("%s/longest-step", size->name);
  check_bound (step, MAX (first.longest_step, change.longest_step),
               STEP_MS_TARGET);
  g_autofree char *part = g_strdup_printf ("%s/change-of-whole", size->name);
  check_bound (part, change.whole / first.whole, CHANGE_PART_TARGET);
}

int
main (void)
{
  static const struct version_size sizes[]
      = { { "routes-of-one-host", 4260, 1, 40 },
          { "routes-of-six-hosts", 4260, 6, 40 },
          { "accounts", 60, 6, 14000 } };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure (&sizes[i]);
  return exit_status;
}
