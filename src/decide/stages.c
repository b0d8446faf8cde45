#include "decide/stages.h"

#include "decide/upstreams_table.h"

#include <string.h>

/* Arrivals are counted over windows; one is enough to decide by.  */
#define WINDOW_MS 2000
#define ARRIVALS_MIN 10
/* Tokens that an engine reads in a millisecond where it only reads.  */
#define READ_TOKENS_PER_MS_OF_ALL 250.0
/* Engines that only read, at most, as a part of all: the others fetch.  */
#define READERS_PERCENT_MOST 55
/* Reading must be this many times the generating, and as many engines' worth
   as are to read, for engines to be changed; and is let go below the second.
 */
#define READING_FACTOR 3.0
#define READING_FACTOR_BACK 1.5
/* Part of the wanted readers that the reading must keep busy.  */
#define READERS_BUSY_PERCENT 25
/* An engine is not changed again for as long; and at most this part of all is
   changed at once.  */
#define DWELL_MS 15000
#define AT_ONCE_PERCENT 12

/* What came for one service.  */
struct demand
{
  int64_t since_ms; /* start of the current window */
  uint64_t read;    /* tokens, in it */
  unsigned arrivals;
  double read_per_ms; /* of the window before */
  unsigned arrivals_before;
};

struct stages
{
  GHashTable *demands; /* service -> struct demand */
  GHashTable *ordered; /* engine -> when, int64_t */
};

struct stages *
stages_create (void)
{
  struct stages *s = g_new0 (struct stages, 1);
  s->demands = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  s->ordered = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return s;
}

void
stages_destroy (struct stages *s)
{
  if (s == NULL)
    return;
  g_hash_table_destroy (s->demands);
  g_hash_table_destroy (s->ordered);
  g_free (s);
}

/* Demand.  */

static void
turn_window (struct demand *d, int64_t now_ms)
{
  int64_t ms = now_ms - d->since_ms;
  if (ms < WINDOW_MS)
    return;
  d->read_per_ms = (double)d->read / (double)ms;
  d->arrivals_before = d->arrivals;
  d->read = d->arrivals = 0;
  d->since_ms = now_ms;
}

void
stages_arrived (struct stages *s, const char *service,
                const struct prompt *prompt, int64_t now_ms)
{
  struct demand *d = g_hash_table_lookup (s->demands, service);
  if (d == NULL)
    {
      d = g_new0 (struct demand, 1);
      d->since_ms = now_ms;
      g_hash_table_insert (s->demands, g_strdup (service), d);
    }
  turn_window (d, now_ms);
  d->arrivals++;
  d->read += prompt->tokens;
}

/* Deciding.  */

static bool
is_engine (const struct upstream *x, const char *service)
{
  return x->used && !x->info.leaving && x->info.role != UPSTREAM_SERVICE
         && strcmp (x->info.service, service) == 0;
}

static bool
may_change (const struct stages *s, const struct upstream *x, int64_t now_ms)
{
  const int64_t *at = g_hash_table_lookup (s->ordered, x->info.id);
  return at == NULL || now_ms - *at >= DWELL_MS;
}

static unsigned
count_in_domain (const struct upstreams *u, const struct upstream *like)
{
  unsigned n = 0;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_slot (u, i);
      n += is_engine (x, like->info.service) && x->info.role == like->info.role
           && x->domain == like->domain;
    }
  return n;
}

static bool
was_chosen (const GArray *out, upstream_handle h)
{
  for (guint i = 0; i < out->len; i++)
    if (g_array_index (out, struct stage_change, i).upstream == h)
      return true;
  return false;
}

/* The engine of the ROLE that is changed next: of the failure domain that has
   most of them, the one that ranks last; the others are kept for those that
   only generate.  */
static upstream_handle
next_to_change (const struct stages *s, const struct upstreams *u,
                const char *service, enum upstream_role role,
                const GArray *out, int64_t now_ms)
{
  upstream_handle best = 0;
  unsigned most = 0;
  uint64_t lowest = 0;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_slot (u, i);
      upstream_handle h = upstreams_handle_of (u, i);
      if (!is_engine (x, service) || x->info.role != role
          || !may_change (s, x, now_ms) || was_chosen (out, h))
        continue;
      unsigned n = count_in_domain (u, x);
      uint64_t rank = x->keep_rank;
      for (guint k = 0; k < out->len; k++)
        {
          const struct upstream *o = upstreams_at (
              u, g_array_index (out, struct stage_change, k).upstream);
          n -= o
               && strcmp (o->info.failure_domain, x->info.failure_domain) == 0;
        }
      if (n < 2 && role == UPSTREAM_DECODE)
        continue;
      if (best == 0 || n > most || (n == most && rank < lowest))
        {
          best = h;
          most = n;
          lowest = rank;
        }
    }
  return best;
}

/* Engines of SERVICE that have been ordered and do not say so yet.  */
static unsigned
count_changing (const struct stages *s, const struct upstreams *u,
                const char *service, int64_t now_ms)
{
  unsigned n = 0;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_slot (u, i);
      const int64_t *at
          = x->used ? g_hash_table_lookup (s->ordered, x->info.id) : NULL;
      n += at && is_engine (x, service) && now_ms - *at < DWELL_MS / 3;
    }
  return n;
}

/* How many engines of SERVICE are to read only.  */
static unsigned
wanted_readers (const struct stage_inputs *in)
{
  unsigned most = in->engines * READERS_PERCENT_MOST / 100;
  double busy = (double)most * READERS_BUSY_PERCENT / 100;
  if (in->reading > in->generating * READING_FACTOR && in->reading > busy)
    return MAX (in->readers, most);
  if (in->reading < in->generating * READING_FACTOR_BACK)
    return MIN (in->readers,
                (unsigned)(in->engines * in->reading
                           / MAX (in->reading + in->generating, 1)));
  return in->readers;
}

static void
decide_service (struct stages *s, const struct upstreams *u,
                const char *service, unsigned vms, int64_t now_ms, GArray *out,
                struct stage_inputs *inputs)
{
  struct demand *d = g_hash_table_lookup (s->demands, service);
  struct stage_inputs in = { 0 };
  turn_window (d, now_ms);
  if (d->arrivals_before < ARRIVALS_MIN)
    return;
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_slot (u, i);
      in.engines += is_engine (x, service);
      in.readers += is_engine (x, service) && x->info.role == UPSTREAM_PREFILL;
    }
  in.reading = d->read_per_ms * vms / READ_TOKENS_PER_MS_OF_ALL;
  in.wanted_readers = wanted_readers (&in);
  unsigned changing = count_changing (s, u, service, now_ms);
  unsigned at_once = MAX (in.engines * AT_ONCE_PERCENT / 100, 1);
  enum upstream_role from
      = in.wanted_readers > in.readers ? UPSTREAM_DECODE : UPSTREAM_PREFILL;
  unsigned missing = from == UPSTREAM_DECODE ? in.wanted_readers - in.readers
                                             : in.readers - in.wanted_readers;
  missing -= MIN (missing, changing);
  guint before = out->len;
  for (; missing > 0 && changing + (out->len - before) < at_once; missing--)
    {
      struct stage_change c
          = { next_to_change (s, u, service, from, out, now_ms),
              from == UPSTREAM_DECODE ? UPSTREAM_PREFILL : UPSTREAM_DECODE };
      if (c.upstream == 0)
        break;
      g_array_append_val (out, c);
    }
  if (out->len > before)
    *inputs = in;
}

void
stages_decide (struct stages *s, const struct upstreams *u, unsigned vms,
               int64_t now_ms, GArray *out, struct stage_inputs *inputs)
{
  GHashTableIter it;
  gpointer service;
  g_hash_table_iter_init (&it, s->demands);
  while (g_hash_table_iter_next (&it, &service, NULL))
    decide_service (s, u, service, vms, now_ms, out, inputs);
}

void
stages_ordered (struct stages *s, const char *engine, int64_t now_ms)
{
  int64_t *at = g_new (int64_t, 1);
  *at = now_ms;
  g_hash_table_replace (s->ordered, g_strdup (engine), at);
}
