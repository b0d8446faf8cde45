/** @file
    Benchmark of the quarantine of prompt parts: processor time that one
   request costs where 10,000 parts are known, and that of the timer.  */
#include "decide/quarantine.h"

#include <stdio.h>

#define PARTS_KNOWN 10000
#define PARTS_PER_CRASH 200
#define CRASHES (PARTS_KNOWN / PARTS_PER_CRASH)
#define CONVICTED 64
#define REQUESTS 1000000
#define TICKS 2000
#define TICK_MS 50
#define PROMPT_PARTS 4
/* Target, as in bench/bounds.  */
#define REQUEST_US_TARGET 0.3

static bool
may_try (void *arg, uint64_t part)
{
  (void)arg;
  (void)part;
  return false;
}

/* Fills the lists of CRASHES crashes, and convicts some other parts.  */
static void
fill (struct quarantine *q)
{
  uint64_t parts[PARTS_PER_CRASH];
  for (unsigned i = 0; i < CRASHES; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "u%u", i);
      for (unsigned j = 0; j < PARTS_PER_CRASH; j++)
        parts[j] = 1 + (uint64_t)i * PARTS_PER_CRASH + j;
      struct crash_report r = { .upstream = id,
                                .at_ms = 1000 + i,
                                .parts = parts,
                                .n_parts = PARTS_PER_CRASH };
      crash_evidence_merge (quarantine_evidence (q), &r, r.at_ms);
    }
  for (unsigned i = 0; i < CONVICTED; i++)
    {
      struct quarantine_entry e = { .part = 2 * PARTS_KNOWN + i,
                                    .round = 1,
                                    .crashes = CRASH_EVIDENCE_CULPRIT,
                                    .canary_ms = G_MAXINT32 };
      (void)quarantine_merge (q, &e, 2000);
    }
}

static struct prompt
draw_prompt (GRand *random)
{
  struct prompt p = { .n_parts = PROMPT_PARTS };
  for (unsigned i = 0; i < PROMPT_PARTS; i++)
    p.parts[i].id = (uint64_t)g_rand_int_range (random, 3 * PARTS_KNOWN,
                                                4 * PARTS_KNOWN);
  return p;
}

static double
elapsed_us (gint64 start_us, unsigned n)
{
  return (double)(g_get_monotonic_time () - start_us) / n;
}

static void
print_time (const char *name, double us)
{
  printf ("bench name=quarantine/%s metric=processor value=%.3f unit=us "
          "baseline=%.2f ratio=%.2f\n",
          name, us, REQUEST_US_TARGET, us / REQUEST_US_TARGET);
}

int
main (void)
{
  struct quarantine *q = quarantine_create ();
  g_autoptr (GRand) random = g_rand_new_with_seed (1);
  static struct prompt prompts[1024];
  unsigned refused = 0;
  unsigned wait_ms = 0;
  fill (q);
  for (unsigned i = 0; i < G_N_ELEMENTS (prompts); i++)
    prompts[i] = draw_prompt (random);
  gint64 start = g_get_monotonic_time ();
  for (unsigned i = 0; i < REQUESTS; i++)
    refused += quarantine_check (q, &prompts[i % G_N_ELEMENTS (prompts)],
                                 may_try, NULL, 3000, &wait_ms)
               != QUARANTINE_PASS;
  double check = elapsed_us (start, REQUESTS);
  start = g_get_monotonic_time ();
  for (unsigned i = 0; i < REQUESTS; i++)
    quarantine_record_answer (q, &prompts[i % G_N_ELEMENTS (prompts)], 3000);
  double answer = elapsed_us (start, REQUESTS);
  start = g_get_monotonic_time ();
  for (unsigned i = 0; i < TICKS; i++)
    quarantine_tick (q, 3000 + i * TICK_MS);
  double tick = elapsed_us (start, TICKS);
  quarantine_destroy (q);
  print_time ("check", check);
  print_time ("answer", answer);
  print_time ("tick", tick);
  printf ("bound name=quarantine/check value=%.3f <= %.2f %s\n", check,
          REQUEST_US_TARGET, check <= REQUEST_US_TARGET ? "met" : "NOT MET");
  return check <= REQUEST_US_TARGET && refused == 0 ? 0 : 1;
}
