/** @file
    The idempotency journal under faults: writers that die, writes that are
    lost, land late or conflict, services that lose their answers.  */
#include "decide/journal.h"
#include "decide/rank.h"
#include "model/vtime.h"

#include <string.h>

#define WRITERS 3
#define KEYS 6
#define SEEDS 400
#define RUN_MS 20000
#define QUIET_MS 40000
#define DEADLINE_MS 3000
#define SLOT 0

struct world;

struct writer
{
  struct world *world;
  unsigned number;
  unsigned starts;
  char *claimer;
  struct journal *journal;
};

/* One call of a caller.  */
struct call
{
  uint64_t ticket;
  unsigned key;
  unsigned writer;
  unsigned writer_start;
  bool ask_only;
  bool sent;
  bool answered;
  enum result result;
};

struct world
{
  struct vtime *time;
  struct writer writers[WRITERS];
  GPtrArray *calls;
  GBytes *page;
  int64_t revision;
  bool down;
  bool faults;
  unsigned runs[KEYS];
  unsigned writes;
  unsigned unknown;
  unsigned whole;
  unsigned seed;
};

static void run_actions (struct writer *w, GArray *actions);

static int64_t
now_ms (const struct world *x)
{
  /* The wall clock does not start at 0.  */
  return 1000000 + vtime_ms (x->time);
}

static bool
claimer_lives (void *arg, const char *claimer)
{
  struct world *x = arg;
  for (unsigned i = 0; i < WRITERS; i++)
    if (x->writers[i].journal && strcmp (x->writers[i].claimer, claimer) == 0)
      return true;
  return false;
}

static void
writer_start (struct writer *w)
{
  w->starts++;
  g_free (w->claimer);
  w->claimer = g_strdup_printf ("vm%u:%u", w->number, w->starts);
  w->journal = journal_create (w->claimer, claimer_lives, w->world);
  journal_configure (w->journal, 3600 * 1000, 20);
}

/* An operation of the service or of the key-value service in flight.  */
struct op
{
  struct writer *writer;
  unsigned start; /* of the writer that asked */
  enum
  {
    OP_READ,
    OP_WRITE,
    OP_CALL
  } kind;
  int64_t revision;
  GBytes *page;
  uint64_t ticket;
  unsigned key;
  /* What the effect gave, for the reply.  */
  enum journal_write_outcome how;
  bool ok;
  struct journal_outcome outcome;
};

static void
op_free (void *p)
{
  struct op *op = p;
  if (op->page)
    g_bytes_unref (op->page);
  g_free (op);
}

static struct op *
op_copy (const struct op *op)
{
  struct op *copy = g_new0 (struct op, 1);
  *copy = *op;
  copy->page = op->page ? g_bytes_ref (op->page) : NULL;
  return copy;
}

static void
on_reply (void *arg)
{
  struct op *op = arg;
  struct writer *w = op->writer;
  if (w->journal == NULL || w->starts != op->start)
    return; /* whoever asked is dead */
  g_autoptr (GArray) out = journal_actions_create ();
  int64_t now = now_ms (w->world);
  if (op->kind == OP_READ)
    journal_read_done (w->journal, SLOT, op->ok, op->revision, op->page, now,
                       out);
  else if (op->kind == OP_WRITE)
    journal_write_done (w->journal, SLOT, op->how, op->revision, now, out);
  else
    journal_finish (w->journal, SLOT, op->ticket, &op->outcome, now, out);
  run_actions (w, out);
}

static void
reply_after (struct world *x, const struct op *op, int64_t ms)
{
  vtime_after (x->time, ms * 1000, on_reply, op_copy (op), op_free);
}

static bool
store (struct world *x, const struct op *op)
{
  x->writes++;
  if (op->revision != x->revision)
    return false;
  if (x->page)
    g_bytes_unref (x->page);
  x->page = g_bytes_ref (op->page);
  x->revision++;
  return true;
}

static void
on_late_write (void *arg)
{
  struct op *op = arg;
  store (op->writer->world, op);
}

/* A read or write reaches the key-value service.  */
static void
on_kv (void *arg)
{
  struct op *op = arg;
  struct world *x = op->writer->world;
  double chance = x->faults ? 0.15 : 0;
  if (op->kind == OP_READ)
    {
      op->ok = !x->down && !vtime_chance (x->time, chance);
      op->revision = x->revision;
      op->page = x->page ? g_bytes_ref (x->page) : NULL;
      reply_after (x, op, op->ok ? vtime_between (x->time, 1, 30) : 1500);
      return;
    }
  op->how = JOURNAL_WRITE_UNKNOWN;
  if (x->down)
    {
      op->how = vtime_chance (x->time, 0.5) ? JOURNAL_WRITE_NOT_DONE
                                            : JOURNAL_WRITE_UNKNOWN;
      reply_after (x, op, 1500);
    }
  else if (vtime_chance (x->time, chance))
    {
      /* It lands now, later or never; the reply is lost.  */
      int64_t kind = vtime_between (x->time, 0, 2);
      if (kind == 0)
        store (x, op);
      else if (kind == 1)
        vtime_after (x->time, vtime_between (x->time, 1, 4000) * 1000,
                     on_late_write, op_copy (op), op_free);
      reply_after (x, op, vtime_between (x->time, 5, 1500));
    }
  else
    {
      op->how = store (x, op) ? JOURNAL_WRITE_OK : JOURNAL_WRITE_CONFLICT;
      op->revision = x->revision;
      reply_after (x, op, vtime_between (x->time, 1, 30));
    }
}

/* A call reaches the service, or does not.  */
static void
on_call (void *arg)
{
  struct op *op = arg;
  struct world *x = op->writer->world;
  double chance = x->faults ? 0.1 : 0;
  op->outcome = (struct journal_outcome){ JOURNAL_OUTCOME_ANSWERED, 201,
                                          "text/plain", NULL };
  if (vtime_chance (x->time, chance))
    op->outcome.kind = JOURNAL_OUTCOME_NOT_SENT;
  else
    {
      x->runs[op->key]++;
      if (x->runs[op->key] > 1)
        g_error ("seed %u: key %u ran %u times", x->seed, op->key,
                 x->runs[op->key]);
      if (vtime_chance (x->time, chance))
        op->outcome.kind = JOURNAL_OUTCOME_UNKNOWN;
    }
  reply_after (x, op, vtime_between (x->time, 1, 200));
  /* An answer may still come after the call was told as lost.  */
  if (op->outcome.kind == JOURNAL_OUTCOME_UNKNOWN
      && vtime_chance (x->time, 0.5))
    {
      op->outcome.kind = JOURNAL_OUTCOME_ANSWERED;
      reply_after (x, op, 2000);
    }
}

static struct call *
call_of (const struct world *x, uint64_t ticket)
{
  return g_ptr_array_index (x->calls, ticket - 1);
}

static void
take_answer (struct world *x, const struct journal_action *a)
{
  struct call *c = call_of (x, a->ticket);
  if (c->answered)
    g_error ("seed %u: call %u answered twice", x->seed, (unsigned)a->ticket);
  c->answered = true;
  c->result = a->result;
  x->unknown += a->result == RESULT_OUTCOME_UNKNOWN;
  x->whole += a->result == RESULT_OK;
  if (a->result == RESULT_OK && x->runs[c->key] != 1)
    g_error ("seed %u: an answer for a key that never ran", x->seed);
}

static void
run_action (struct writer *w, const struct journal_action *a)
{
  struct world *x = w->world;
  struct op *op = g_new0 (struct op, 1);
  op->writer = w;
  op->start = w->starts;
  op->revision = a->revision;
  op->ticket = a->ticket;
  int64_t us = vtime_between (x->time, 100, 20000);
  if (a->kind == JOURNAL_READ || a->kind == JOURNAL_WRITE)
    {
      op->kind = a->kind == JOURNAL_READ ? OP_READ : OP_WRITE;
      op->page = a->page ? g_bytes_ref (a->page) : NULL;
      vtime_after (x->time, us, on_kv, op, op_free);
      return;
    }
  if (a->kind == JOURNAL_ANSWER)
    {
      take_answer (x, a);
      g_free (op);
      return;
    }
  struct call *c = call_of (x, a->ticket);
  if (c->answered)
    g_error ("seed %u: a call is sent after its answer", x->seed);
  c->sent = true;
  op->kind = OP_CALL;
  op->key = c->key;
  /* The writer may be paused between its decision and the send.  */
  if (x->faults && vtime_chance (x->time, 0.1))
    us += vtime_between (x->time, 0, 3000) * 1000;
  vtime_after (x->time, us, on_call, op, op_free);
}

static void
run_actions (struct writer *w, GArray *actions)
{
  for (guint i = 0; i < actions->len; i++)
    run_action (w, &g_array_index (actions, struct journal_action, i));
}

static void
claim (struct world *x, unsigned key, unsigned writer, bool ask_only)
{
  struct writer *w = &x->writers[writer];
  struct call *c = g_new0 (struct call, 1);
  g_autofree char *name = g_strdup_printf ("key%u", key);
  g_ptr_array_add (x->calls, c);
  *c = (struct call){ .ticket = x->calls->len,
                      .key = key,
                      .writer = writer,
                      .writer_start = w->starts,
                      .ask_only = ask_only };
  struct journal_call call = { .ticket = c->ticket,
                               .key = name,
                               .request_digest = "same",
                               .deadline_ms = now_ms (x) + DEADLINE_MS,
                               .ask_only = ask_only };
  g_autoptr (GArray) out = journal_actions_create ();
  journal_claim (w->journal, SLOT, &call, now_ms (x), out);
  run_actions (w, out);
}

/* Each 10 ms: the writers' time, callers, faults.  */
static void
on_tick (void *arg)
{
  struct world *x = arg;
  int64_t now = vtime_ms (x->time);
  x->faults = now < RUN_MS;
  for (unsigned i = 0; i < WRITERS; i++)
    {
      struct writer *w = &x->writers[i];
      if (w->journal == NULL)
        {
          if (vtime_chance (x->time, 0.02) || !x->faults)
            writer_start (w);
          continue;
        }
      g_autoptr (GArray) out = journal_actions_create ();
      journal_tick (w->journal, now_ms (x), out);
      run_actions (w, out);
      if (x->faults && vtime_chance (x->time, 0.001))
        {
          journal_destroy (w->journal);
          w->journal = NULL;
        }
    }
  if (x->faults && vtime_chance (x->time, 0.002))
    x->down = !x->down;
  if (!x->faults)
    x->down = false;
  unsigned writer = (unsigned)vtime_between (x->time, 0, WRITERS - 1);
  unsigned key = (unsigned)vtime_between (x->time, 0, KEYS - 1);
  if (x->writers[writer].journal && now < QUIET_MS - 10000
      && vtime_chance (x->time, 0.05))
    claim (x, key, writer, vtime_chance (x->time, 0.2));
  if (now < QUIET_MS)
    vtime_after (x->time, 10000, on_tick, x, NULL);
}

static void
check_end (const struct world *x)
{
  for (guint i = 0; i < x->calls->len; i++)
    {
      const struct call *c = g_ptr_array_index (x->calls, i);
      const struct writer *w = &x->writers[c->writer];
      bool died = w->journal == NULL || w->starts != c->writer_start;
      if (!c->answered && !died)
        g_error ("seed %u: call %u of a live writer has no answer", x->seed,
                 i + 1);
    }
}

static void
run_world (unsigned seed, unsigned *unknown, unsigned *whole)
{
  struct world x = { .time = vtime_create (seed), .seed = seed };
  x.calls = g_ptr_array_new_with_free_func (g_free);
  for (unsigned i = 0; i < WRITERS; i++)
    {
      x.writers[i].world = &x;
      x.writers[i].number = i;
      writer_start (&x.writers[i]);
    }
  vtime_after (x.time, 0, on_tick, &x, NULL);
  vtime_run (x.time, (int64_t)QUIET_MS * 1000);
  check_end (&x);
  *unknown += x.unknown;
  *whole += x.whole;
  for (unsigned i = 0; i < WRITERS; i++)
    {
      journal_destroy (x.writers[i].journal);
      g_free (x.writers[i].claimer);
    }
  g_ptr_array_unref (x.calls);
  if (x.page)
    g_bytes_unref (x.page);
  vtime_destroy (x.time);
}

static void
test_faults (void)
{
  unsigned unknown = 0, whole = 0;
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    run_world (seed, &unknown, &whole);
  g_test_message ("%d seeds: whole=%u unknown=%u", SEEDS, whole, unknown);
  /* The faults do bring about what they are for.  */
  g_assert_cmpuint (unknown, >, 0);
  g_assert_cmpuint (whole, >, SEEDS);
}

/* Single steps.  */

static bool
nobody_lives (void *arg, const char *claimer)
{
  (void)arg;
  (void)claimer;
  return false;
}

static struct journal_action *
action (GArray *out, guint i)
{
  g_assert_cmpuint (i, <, out->len);
  return &g_array_index (out, struct journal_action, i);
}

/* A journal whose page was read, with one write in flight for KEY.  */
static struct journal *
journal_writing (GArray *out, const char *key)
{
  struct journal *j = journal_create ("vm1:1", nobody_lives, NULL);
  struct journal_call call = {
    .ticket = 1, .key = key, .request_digest = "d", .deadline_ms = 99999
  };
  journal_claim (j, SLOT, &call, 1000, out);
  g_assert_cmpint (action (out, 0)->kind, ==, JOURNAL_READ);
  journal_read_done (j, SLOT, true, 0, NULL, 1000, out);
  g_assert_cmpint (action (out, 1)->kind, ==, JOURNAL_WRITE);
  return j;
}

static void
test_outage_is_not_run_at_once (void)
{
  g_autoptr (GArray) out = journal_actions_create ();
  struct journal *j = journal_create ("vm1:1", nobody_lives, NULL);
  struct journal_call call = {
    .ticket = 1, .key = "k", .request_digest = "d", .deadline_ms = 99999
  };
  journal_claim (j, SLOT, &call, 1000, out);
  journal_read_done (j, SLOT, false, 0, NULL, 1000, out);
  g_assert_cmpint (action (out, 1)->kind, ==, JOURNAL_ANSWER);
  g_assert_cmpint (action (out, 1)->result, ==, RESULT_NOT_RUN);
  g_assert_cmpuint (action (out, 1)->retry_after_ms, >, 0);
  journal_destroy (j);
}

static void
test_lost_reply_is_read_back (void)
{
  g_autoptr (GArray) out = journal_actions_create ();
  struct journal *j = journal_writing (out, "k");
  g_autoptr (GBytes) page = g_bytes_ref (action (out, 1)->page);
  journal_write_done (j, SLOT, JOURNAL_WRITE_UNKNOWN, 0, 1000, out);
  g_assert_cmpint (action (out, 2)->kind, ==, JOURNAL_READ);
  journal_read_done (j, SLOT, true, 7, page, 1000, out);
  g_assert_cmpint (action (out, 3)->kind, ==, JOURNAL_SEND);
  journal_destroy (j);
}

static void
test_claim_of_dead_writer_is_unknown (void)
{
  g_autoptr (GArray) out = journal_actions_create ();
  struct journal *dead = journal_writing (out, "k");
  g_autoptr (GBytes) page = g_bytes_ref (action (out, 1)->page);
  journal_destroy (dead);
  g_autoptr (GArray) later = journal_actions_create ();
  struct journal *j = journal_create ("vm2:1", nobody_lives, NULL);
  struct journal_call call = {
    .ticket = 9, .key = "k", .request_digest = "d", .deadline_ms = 99999
  };
  journal_claim (j, SLOT, &call, 1000, later);
  journal_read_done (j, SLOT, true, 1, page, 1000, later);
  g_assert_cmpint (action (later, 1)->kind, ==, JOURNAL_ANSWER);
  g_assert_cmpint (action (later, 1)->result, ==, RESULT_OUTCOME_UNKNOWN);
  journal_destroy (j);
}

static void
test_other_request_under_same_key (void)
{
  g_autoptr (GArray) out = journal_actions_create ();
  struct journal *j = journal_writing (out, "k");
  journal_write_done (j, SLOT, JOURNAL_WRITE_OK, 1, 1000, out);
  struct journal_call call = {
    .ticket = 2, .key = "k", .request_digest = "other", .deadline_ms = 99999
  };
  journal_claim (j, SLOT, &call, 1000, out);
  g_assert_cmpint (action (out, out->len - 1)->result, ==, RESULT_KEY_REUSED);
  journal_destroy (j);
}

/* Group commit: many claims, few writes.  */
static void
test_group_commit (void)
{
  g_autoptr (GArray) out = journal_actions_create ();
  struct journal *j = journal_writing (out, "first");
  for (unsigned i = 0; i < 100; i++)
    {
      g_autofree char *key = g_strdup_printf ("k%u", i);
      struct journal_call call = { .ticket = i + 2,
                                   .key = key,
                                   .request_digest = "d",
                                   .deadline_ms = 99999 };
      journal_claim (j, SLOT, &call, 1000, out);
    }
  journal_write_done (j, SLOT, JOURNAL_WRITE_OK, 1, 1500, out);
  journal_tick (j, 2000, out);
  g_assert_cmpuint (journal_writes (j), ==, 2);
  journal_write_done (j, SLOT, JOURNAL_WRITE_OK, 2, 2000, out);
  unsigned sends = 0;
  for (guint i = 0; i < out->len; i++)
    sends += action (out, i)->kind == JOURNAL_SEND;
  g_assert_cmpuint (sends, ==, 101);
  journal_destroy (j);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/journal/faults", test_faults);
  g_test_add_func ("/journal/outage", test_outage_is_not_run_at_once);
  g_test_add_func ("/journal/lost-reply", test_lost_reply_is_read_back);
  g_test_add_func ("/journal/dead-writer",
                   test_claim_of_dead_writer_is_unknown);
  g_test_add_func ("/journal/key-reused", test_other_request_under_same_key);
  g_test_add_func ("/journal/group-commit", test_group_commit);
  return g_test_run ();
}
