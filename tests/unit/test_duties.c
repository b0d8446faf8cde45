/** @file
    The holder of the duties and its usage reports, simulated on virtual time:
    VMs that disagree on which of them leads, are killed, restarted or paused;
    writes and responses that are lost or late; a store that is restored from
   an older copy.  Guards against two holders that act in turn or with the same
    token, calls that arrive in the wrong order of their tokens, and two
    different reports for one window.  */
#include "decide/order_lease.h"
#include "decide/usage_reports.h"

#include <string.h>

#define VMS 4
#define STEP_MS 20
#define RUN_MS 180000
#define WINDOW_MS 5000
/* Parameters of daemon/duty_link.c.  */
#define LEASE_MS 3000
#define TAKEOVER_MS 2500
#define RENEW_MS 800
#define SETTLE_MS 1000
#define CALL_TIMEOUT_MS 1000
#define CALL_UNACKED_MS 1000
/* Time-out of a store request, and of its connection.  */
#define STORE_TIMEOUT_MS 1500
/* Revisions hold the era of the store above these bits, as in
   platform/store.c.  */
#define ERA_BITS 40
/* Time from the loss of a VM until the others notice.  */
#define NOTICE_MS 3000
#define LATE_MS 10000

/* Content of the store.  */
struct state
{
  int64_t revision; /* of the lease's key; 0 if it does not exist */
  GBytes *lease;
  GBytes *record;
};

enum op_kind
{
  OP_READ_LEASE,
  OP_READ_RECORD,
  OP_WRITE
};

/* A store request.  The outcome is unknown to the VM if there is no response
   within STORE_TIMEOUT_MS.  */
struct op
{
  enum op_kind kind;
  unsigned vm;
  unsigned process; /* of the VM; the response of another one is lost */
  int64_t started_ms;
  int64_t handle_ms;   /* when the store handles it */
  int64_t response_ms; /* when its response arrives; INT64_MAX: never */
  int64_t known_era;   /* era that the VM knew when it started it */
  int64_t compare;     /* revision that a write requires, with its era */
  GBytes *lease;
  GBytes *record; /* NULL: the write leaves it */
  bool handled;
  bool applied;
  int64_t era;        /* of the response */
  struct state found; /* what a read found */
};

/* A call to the platform.  */
struct call
{
  unsigned vm;
  unsigned process;
  uint64_t fence;
  uint64_t window;
  char *body;
  int64_t arrive_ms;   /* INT64_MAX: lost */
  int64_t response_ms; /* when the VM learns of the end */
  unsigned status;     /* that it learns */
  bool arrived;
};

struct vm
{
  struct order_lease *lease;
  struct usage_reports *reports;
  char name[8];
  unsigned process;
  bool alive;
  int64_t started_ms;
  int64_t frozen_until_ms;
  bool leader;
  bool observes;
  bool second;  /* it takes itself for the one that ranks second */
  bool cut_off; /* the store does not get its requests */
  int64_t era;  /* as last seen */
  uint64_t restores;
  uint64_t noted_restores;
  uint64_t held_restores; /* when the lease was acquired */
  bool held;
  bool loading;
  bool begun;
  bool was_begun;
  bool prepared;
  unsigned written; /* reports that it has written, for their texts */
};

struct sim
{
  GRand *rand;
  bool faults;
  int64_t now;
  int64_t era;
  struct state state;
  GArray *copies; /* struct state: copies that the store may return to */
  struct vm vms[VMS];
  GPtrArray *ops;
  GPtrArray *calls;
  uint64_t highest_fence;
  GHashTable *fences;    /* token -> VM + 1 */
  GHashTable *bodies;    /* window -> first report that arrived */
  int64_t acted_ms[VMS]; /* when a call of each last arrived; 0: never */
  int last_vm;
  unsigned holder_changes;
  int64_t latest_report_ms; /* largest time from a window's end to the arrival
                               of its first report */
};

static unsigned
below (struct sim *s, unsigned n)
{
  return (unsigned)g_rand_int_range (s->rand, 0, (gint32)n);
}

static bool
runs (const struct sim *s, const struct vm *v)
{
  return v->alive && s->now >= v->frozen_until_ms;
}

/* Store.  */

static void
state_clear (struct state *state)
{
  g_clear_pointer (&state->lease, g_bytes_unref);
  g_clear_pointer (&state->record, g_bytes_unref);
}

static struct state
state_copy (const struct state *from)
{
  struct state copy = *from;
  if (copy.lease)
    g_bytes_ref (copy.lease);
  if (copy.record)
    g_bytes_ref (copy.record);
  return copy;
}

static void
op_free (void *value)
{
  struct op *op = value;
  g_clear_pointer (&op->lease, g_bytes_unref);
  g_clear_pointer (&op->record, g_bytes_unref);
  state_clear (&op->found);
  g_free (op);
}

/* Of 20 requests on average with faults, one is handled up to 2 s late, one
   has no response, and one has a response that is up to 1.4 s late.  */
static struct op *
start_op (struct sim *s, unsigned vm, enum op_kind kind)
{
  struct op *op = g_new0 (struct op, 1);
  unsigned fault = s->faults ? below (s, 20) : 19;
  op->kind = kind;
  op->vm = vm;
  op->process = s->vms[vm].process;
  op->started_ms = s->now;
  op->known_era = s->vms[vm].era;
  op->handle_ms = s->now + 5 + below (s, fault == 0 ? 2000 : 60);
  op->response_ms = op->handle_ms + 5 + below (s, fault == 2 ? 1400 : 60);
  if (s->vms[vm].cut_off)
    op->handle_ms = INT64_MAX;
  if (fault == 1 || s->vms[vm].cut_off)
    op->response_ms = INT64_MAX;
  g_ptr_array_add (s->ops, op);
  return op;
}

static int64_t
store_revision (int64_t revision)
{
  return revision & (((int64_t)1 << ERA_BITS) - 1);
}

/* The store compares its own revisions, without the era.  */
static void
handle_op (struct sim *s, struct op *op)
{
  op->handled = true;
  op->era = s->era;
  if (op->kind != OP_WRITE)
    {
      op->found = state_copy (&s->state);
      return;
    }
  op->applied = store_revision (op->compare) == s->state.revision;
  if (!op->applied)
    return;
  g_clear_pointer (&s->state.lease, g_bytes_unref);
  s->state.lease = g_bytes_ref (op->lease);
  if (op->record)
    {
      g_clear_pointer (&s->state.record, g_bytes_unref);
      s->state.record = g_bytes_ref (op->record);
    }
  op->found.revision = ++s->state.revision;
}

/* Restores the store from a copy; revisions go on from the copy's.  */
static void
restore (struct sim *s, guint copy)
{
  state_clear (&s->state);
  s->state = state_copy (&g_array_index (s->copies, struct state, copy));
  s->era++;
}

/* VM, as in daemon/lease_link.c, daemon/duty_link.c and
   daemon/usage_link.c.  */

static void
note_change (struct vm *v)
{
  if (v->held)
    v->was_begun = v->begun;
  v->held = order_lease_is_held (v->lease);
  v->held_restores = v->restores;
  v->begun = false;
}

static void
see_era (struct vm *v, int64_t era)
{
  if (era > v->era)
    v->restores++;
  v->era = MAX (v->era, era);
}

static bool
was_restored (struct vm *v)
{
  bool restored = v->noted_restores != v->restores;
  v->noted_restores = v->restores;
  return restored;
}

static void
write_done (struct sim *s, struct vm *v, const struct op *op, bool responded)
{
  enum order_lease_write_outcome outcome = ORDER_LEASE_WRITE_UNKNOWN;
  bool held_before = order_lease_is_held (v->lease);
  if (responded)
    see_era (v, op->era);
  /* As in platform/store.c, a comparison of revisions says nothing in another
     era, and an answer of an earlier era is outdated.  */
  if (responded && (op->era == op->known_era || op->compare == 0)
      && op->era == v->era)
    outcome = op->applied ? ORDER_LEASE_WRITE_OK : ORDER_LEASE_WRITE_CONFLICT;
  if (was_restored (v))
    {
      if (outcome == ORDER_LEASE_WRITE_OK)
        order_lease_store_restored (v->lease, s->now);
      else
        outcome = ORDER_LEASE_WRITE_RESTORED;
    }
  order_lease_write_done (v->lease, outcome,
                          op->era << ERA_BITS | op->found.revision, s->now);
  if (!held_before || !order_lease_is_held (v->lease))
    note_change (v);
}

static void
read_done (struct sim *s, struct vm *v, const struct op *op, bool responded)
{
  if (responded)
    see_era (v, op->era);
  /* An answer of an earlier era is outdated.  */
  bool ok = responded && op->era == v->era;
  if (was_restored (v))
    order_lease_store_restored (v->lease, s->now);
  order_lease_read_done (
      v->lease, ok,
      op->found.revision ? op->era << ERA_BITS | op->found.revision : 0,
      op->found.lease, s->now);
  if (order_lease_is_held (v->lease))
    note_change (v);
}

static void
record_done (struct sim *s, struct vm *v, const struct op *op, bool responded)
{
  struct usage_holder holder = { .started_ms = v->started_ms };
  if (responded)
    see_era (v, op->era);
  v->loading = false;
  if (!responded || op->era != v->era || !v->held
      || v->held_restores != v->restores)
    return;
  holder.era = (uint64_t)v->era;
  holder.saw_restore = v->restores > 0;
  holder.is_resumed = v->was_begun && order_lease_is_resumed (v->lease);
  usage_reports_begin (v->reports, op->found.record, &holder, s->now);
  v->begun = true;
}

static void
step_ops (struct sim *s)
{
  for (guint i = 0; i < s->ops->len; i++)
    {
      struct op *op = g_ptr_array_index (s->ops, i);
      struct vm *v = &s->vms[op->vm];
      if (!op->handled && s->now >= op->handle_ms)
        handle_op (s, op);
      bool same = v->process == op->process && v->alive;
      bool responded = op->handled && s->now >= op->response_ms;
      bool timed_out = s->now - op->started_ms > STORE_TIMEOUT_MS;
      if (same && (!runs (s, v) || (!responded && !timed_out)))
        continue;
      if (!same && !op->handled)
        continue;
      if (same && op->process != G_MAXUINT)
        (op->kind == OP_WRITE        ? write_done
         : op->kind == OP_READ_LEASE ? read_done
                                     : record_done) (s, v, op, responded);
      /* A request that timed out may still be handled.  */
      if (op->handled)
        g_ptr_array_remove_index (s->ops, i--);
      else
        op->process = G_MAXUINT - 1;
    }
}

static char *
write_text (void *arg, uint64_t window)
{
  struct vm *v = arg;
  return g_strdup_printf ("%s/%u/%u/%" G_GUINT64_FORMAT, v->name, v->process,
                          ++v->written, window);
}

static void
start_write (struct sim *s, unsigned i)
{
  struct vm *v = &s->vms[i];
  if (order_lease_revision (v->lease) != 0
      && order_lease_revision (v->lease) >> ERA_BITS != v->era)
    {
      order_lease_write_done (v->lease,
                              was_restored (v) ? ORDER_LEASE_WRITE_RESTORED
                                               : ORDER_LEASE_WRITE_CONFLICT,
                              0, s->now);
      note_change (v);
      return;
    }
  struct op *op = start_op (s, i, OP_WRITE);
  op->compare = order_lease_revision (v->lease);
  op->lease = order_lease_value (v->lease);
  v->prepared = order_lease_may_send (v->lease, s->now) && v->begun
                && usage_reports_is_due (v->reports, s->now);
  if (!v->prepared)
    return;
  usage_reports_write (v->reports, 0, s->now, write_text, v);
  op->record = usage_reports_record (v->reports);
}

/* Calls.  Their connection may take until the call's time-out, and the bytes
   may be sent again until they are given up.  */

static void
call_free (void *value)
{
  struct call *c = value;
  g_free (c->body);
  g_free (c);
}

static void
send_report (struct sim *s, unsigned i)
{
  struct vm *v = &s->vms[i];
  uint64_t window = 0;
  if (!v->begun || !v->prepared)
    return;
  v->prepared = false;
  usage_reports_written (v->reports);
  const char *body = usage_reports_next (v->reports, s->now, &window);
  if (body == NULL)
    return;
  struct call *c = g_new0 (struct call, 1);
  unsigned fault = s->faults ? below (s, 10) : 9;
  c->vm = i;
  c->process = v->process;
  c->fence = order_lease_fencing_token (v->lease);
  c->window = window;
  c->body = g_strdup (body);
  c->arrive_ms
      = s->now + 5
        + below (s, fault == 0 ? CALL_TIMEOUT_MS + CALL_UNACKED_MS : 60);
  if (fault == 1)
    c->arrive_ms = INT64_MAX;
  bool ends = fault > 2 && c->arrive_ms < s->now + CALL_TIMEOUT_MS;
  c->response_ms = ends ? c->arrive_ms + 20 : s->now + CALL_TIMEOUT_MS;
  c->status = ends ? (fault == 3 ? 503 : 200) : 0;
  g_ptr_array_add (s->calls, c);
}

/* Checks the invariants on C, which arrives.  */
static void
check_call (struct sim *s, const struct call *c)
{
  uint64_t owner = c->vm + 1;
  uint64_t *known = g_hash_table_lookup (s->fences, &c->fence);
  g_assert_cmpuint (c->fence, >=, s->highest_fence);
  g_assert_true (known == NULL || *known == owner);
  g_hash_table_insert (s->fences, g_memdup2 (&c->fence, sizeof c->fence),
                       g_memdup2 (&owner, sizeof owner));
  s->highest_fence = c->fence;
  if (s->last_vm >= 0 && s->last_vm != (int)c->vm)
    {
      s->holder_changes++;
      if (s->acted_ms[c->vm] != 0)
        g_assert_cmpint (s->now - s->acted_ms[c->vm], >, LEASE_MS);
    }
  s->last_vm = (int)c->vm;
  s->acted_ms[c->vm] = s->now;
  const char *first = g_hash_table_lookup (s->bodies, &c->window);
  if (first)
    {
      g_assert_cmpstr (first, ==, c->body);
      return;
    }
  g_hash_table_insert (s->bodies, g_memdup2 (&c->window, sizeof c->window),
                       g_strdup (c->body));
  int64_t after = s->now - (int64_t)(c->window + 1) * WINDOW_MS;
  s->latest_report_ms = MAX (s->latest_report_ms, after);
}

static void
step_calls (struct sim *s)
{
  for (guint i = 0; i < s->calls->len; i++)
    {
      struct call *c = g_ptr_array_index (s->calls, i);
      struct vm *v = &s->vms[c->vm];
      if (!c->arrived && s->now >= c->arrive_ms)
        {
          c->arrived = true;
          check_call (s, c);
        }
      bool over = c->arrived || c->arrive_ms == INT64_MAX;
      if (s->now >= c->response_ms && c->process != G_MAXUINT
          && (v->process != c->process || runs (s, v)))
        {
          if (v->process == c->process)
            usage_reports_responded (v->reports, c->window, c->status, s->now);
          c->process = G_MAXUINT;
        }
      if (over && c->process == G_MAXUINT)
        g_ptr_array_remove_index (s->calls, i--);
    }
}

static bool
is_candidate (const struct sim *s, const struct vm *v)
{
  return v->leader
         || (v->second && order_lease_may_replace (v->lease, s->now));
}

static enum order_lease_action
next_action (struct sim *s, struct vm *v)
{
  bool candidate = is_candidate (s, v);
  bool orders
      = candidate && v->begun && usage_reports_is_due (v->reports, s->now);
  enum order_lease_action action
      = order_lease_next (v->lease, candidate, orders, s->now);
  if (action == ORDER_LEASE_NOTHING && v->observes)
    action = order_lease_observe (v->lease, s->now);
  return action;
}

static void
step_vm (struct sim *s, unsigned i)
{
  struct vm *v = &s->vms[i];
  if (!runs (s, v))
    return;
  if (is_candidate (s, v) && v->held && !v->begun && !v->loading)
    {
      v->loading = true;
      start_op (s, i, OP_READ_RECORD);
    }
  switch (next_action (s, v))
    {
    case ORDER_LEASE_READ:
      start_op (s, i, OP_READ_LEASE);
      break;
    case ORDER_LEASE_WRITE:
      start_write (s, i);
      break;
    case ORDER_LEASE_SEND:
      send_report (s, i);
      break;
    default:
      break;
    }
}

/* Starts a process of VM I.  It has read its routes from the store before it
   joins the fleet, and so knows the era.  */
static void
start_process (struct sim *s, unsigned i)
{
  struct vm *v = &s->vms[i];
  order_lease_destroy (v->lease);
  usage_reports_destroy (v->reports);
  *v = (struct vm){ .process = v->process + 1,
                    .alive = true,
                    .started_ms = s->now,
                    .leader = v->leader,
                    .observes = v->observes,
                    .second = v->second,
                    .era = s->era };
  g_snprintf (v->name, sizeof v->name, "vm%u", i);
  v->lease = order_lease_create (v->name, LEASE_MS, TAKEOVER_MS);
  order_lease_keep_renewed (v->lease, RENEW_MS);
  v->reports = usage_reports_create (WINDOW_MS);
}

static struct sim *
sim_create (guint32 seed, bool faults)
{
  struct sim *s = g_new0 (struct sim, 1);
  s->rand = g_rand_new_with_seed (seed);
  s->faults = faults;
  s->now = 1000 * WINDOW_MS + below (s, WINDOW_MS);
  s->last_vm = -1;
  s->copies = g_array_new (FALSE, FALSE, sizeof (struct state));
  s->ops = g_ptr_array_new_with_free_func (op_free);
  s->calls = g_ptr_array_new_with_free_func (call_free);
  s->fences
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  s->bodies
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  for (unsigned i = 0; i < VMS; i++)
    start_process (s, i);
  return s;
}

static void
sim_destroy (struct sim *s)
{
  for (unsigned i = 0; i < VMS; i++)
    {
      order_lease_destroy (s->vms[i].lease);
      usage_reports_destroy (s->vms[i].reports);
    }
  for (guint i = 0; i < s->copies->len; i++)
    state_clear (&g_array_index (s->copies, struct state, i));
  state_clear (&s->state);
  g_array_unref (s->copies);
  g_ptr_array_unref (s->ops);
  g_ptr_array_unref (s->calls);
  g_hash_table_destroy (s->fences);
  g_hash_table_destroy (s->bodies);
  g_rand_free (s->rand);
  g_free (s);
}

static void
step (struct sim *s)
{
  step_ops (s);
  step_calls (s);
  for (unsigned i = 0; i < VMS; i++)
    step_vm (s, i);
  s->now += STEP_MS;
}

/* Leadership changes as on VMs with different views; processes are killed,
   restarted and paused; the store is copied and restored.  */
static void
inject_faults (struct sim *s, bool restores)
{
  unsigned i = below (s, VMS);
  struct vm *v = &s->vms[i];
  if (below (s, 300) == 0)
    v->leader = !v->leader;
  if (below (s, 300) == 0)
    v->observes = !v->observes;
  if (below (s, 300) == 0)
    v->second = !v->second;
  if (below (s, 400) == 0)
    v->frozen_until_ms = s->now + 100 + below (s, 9000);
  if (below (s, 500) == 0)
    v->alive = false;
  else if (!v->alive && below (s, 60) == 0)
    start_process (s, i);
  if (restores && below (s, 150) == 0 && s->copies->len < 64)
    {
      struct state copy = state_copy (&s->state);
      g_array_append_val (s->copies, copy);
    }
  if (restores && s->copies->len > 0 && below (s, 700) == 0)
    restore (s, below (s, s->copies->len));
}

static void
run_seeds (bool restores)
{
  unsigned holder_changes = 0;
  unsigned windows = 0;
  for (guint32 seed = 1; seed <= 300; seed++)
    {
      struct sim *s = sim_create (seed, true);
      int64_t end = s->now + RUN_MS;
      s->vms[0].leader = true;
      while (s->now < end)
        {
          step (s);
          inject_faults (s, restores);
        }
      holder_changes += s->holder_changes;
      windows += g_hash_table_size (s->bodies);
      sim_destroy (s);
    }
  g_test_message ("%u windows reported, %u changes of the holder", windows,
                  holder_changes);
  g_assert_cmpuint (holder_changes, >, 100);
  g_assert_cmpuint (windows, >, 1000);
}

static void
test_faults (void)
{
  run_seeds (false);
}

static void
test_restores (void)
{
  run_seeds (true);
}

/* Runs until S->now is END.  */
static void
run_until (struct sim *s, int64_t end)
{
  while (s->now < end)
    step (s);
}

/* All windows that ended until LATE_MS before the end, from FIRST on, were
   reported.  */
static void
check_all_reported (const struct sim *s, uint64_t first)
{
  uint64_t last = (uint64_t)(s->now - LATE_MS) / WINDOW_MS;
  for (uint64_t w = first; w < last; w++)
    g_assert_nonnull (g_hash_table_lookup (s->bodies, &w));
}

/* The holder is killed at any time relative to the windows; the others notice
   after NOTICE_MS.  Each window is reported within LATE_MS of its end.  Guards
   against a successor that waits too long before it acts.  */
static void
test_killed_holder (void)
{
  int64_t latest = 0;
  for (guint32 seed = 1; seed <= 250; seed++)
    {
      struct sim *s = sim_create (seed, false);
      uint64_t first = (uint64_t)s->now / WINDOW_MS;
      s->vms[0].leader = s->vms[0].observes = s->vms[1].observes = true;
      run_until (s, s->now + 30000 + seed * 20);
      s->vms[0].alive = false;
      run_until (s, s->now + NOTICE_MS + SETTLE_MS);
      s->vms[0].leader = false;
      s->vms[1].leader = true;
      run_until (s, s->now + 40000);
      check_all_reported (s, first);
      /* The first holder waits at the start.  */
      g_assert_cmpint (s->latest_report_ms, <=, LATE_MS);
      g_assert_cmpuint (s->holder_changes, ==, 1);
      latest = MAX (latest, s->latest_report_ms);
      sim_destroy (s);
    }
  g_test_message ("latest report %d ms after its window's end", (int)latest);
}

/* A live holder is not taken over while another VM also takes itself for the
   first, and a lost response to a renewal does not end its tenure.  Guards
   against gaps in which nothing is reported.  */
static void
test_two_candidates (void)
{
  for (guint32 seed = 1; seed <= 50; seed++)
    {
      struct sim *s = sim_create (seed, false);
      uint64_t first = (uint64_t)s->now / WINDOW_MS;
      s->vms[0].leader = s->vms[0].observes = true;
      run_until (s, s->now + 10000);
      s->vms[1].leader = true;
      int64_t end = s->now + 100000;
      while (s->now < end)
        {
          step (s);
          for (guint i = 0; i < s->ops->len && s->now % 7000 < STEP_MS; i++)
            {
              struct op *op = g_ptr_array_index (s->ops, i);
              if (op->vm == 0)
                op->response_ms = INT64_MAX;
            }
        }
      check_all_reported (s, first);
      g_assert_cmpuint (s->holder_changes, ==, 0);
      sim_destroy (s);
    }
}

/* The first VM is cut off from the store but alive, as the others see it: the
   second one takes over, and keeps the lease when the first is back.  Guards
   against a fleet without reports because of one VM.  */
static void
test_first_cut_off (void)
{
  int64_t latest = 0;
  for (guint32 seed = 1; seed <= 250; seed++)
    {
      struct sim *s = sim_create (seed, false);
      uint64_t first = (uint64_t)s->now / WINDOW_MS;
      s->vms[0].leader = s->vms[0].observes = true;
      s->vms[1].second = s->vms[1].observes = true;
      run_until (s, s->now + 30000 + seed * 20);
      s->vms[0].cut_off = true;
      run_until (s, s->now + 30000);
      s->vms[0].cut_off = false;
      run_until (s, s->now + 30000);
      check_all_reported (s, first);
      g_assert_cmpint (s->latest_report_ms, <=, LATE_MS);
      g_assert_cmpuint (s->holder_changes, ==, 1);
      latest = MAX (latest, s->latest_report_ms);
      sim_destroy (s);
    }
  g_test_message ("latest report %d ms after its window's end", (int)latest);
}

/* A holder that stops releases the lease; its successor acts within twice the
   lease time.  */
static void
test_release (void)
{
  struct order_lease *a = order_lease_create ("a", LEASE_MS, TAKEOVER_MS);
  struct order_lease *b = order_lease_create ("b", LEASE_MS, TAKEOVER_MS);
  order_lease_keep_renewed (a, RENEW_MS);
  order_lease_keep_renewed (b, RENEW_MS);
  g_assert_cmpint (order_lease_next (a, true, true, 1000), ==,
                   ORDER_LEASE_READ);
  order_lease_read_done (a, true, 0, NULL, 1000);
  g_assert_cmpint (order_lease_next (a, true, true, 1000), ==,
                   ORDER_LEASE_WRITE);
  order_lease_write_done (a, ORDER_LEASE_WRITE_OK, 5, 1010);
  g_assert_cmpint (order_lease_release (a, 2000), ==, ORDER_LEASE_WRITE);
  g_autoptr (GBytes) value = order_lease_value (a);
  order_lease_write_done (a, ORDER_LEASE_WRITE_OK, 6, 2010);
  g_assert_false (order_lease_is_held (a));
  g_assert_cmpint (order_lease_observe (b, 2020), ==, ORDER_LEASE_READ);
  order_lease_read_done (b, true, 6, value, 2030);
  g_assert_cmpint (order_lease_next (b, true, true, 2030), ==,
                   ORDER_LEASE_WRITE);
  order_lease_write_done (b, ORDER_LEASE_WRITE_OK, 7, 2040);
  g_assert_false (order_lease_may_send (b, 2030 + LEASE_MS));
  g_assert_true (
      order_lease_may_send (b, 2030 + LEASE_MS + ORDER_LEASE_SEND_WITHIN_MS));
  order_lease_destroy (a);
  order_lease_destroy (b);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/duties/faults", test_faults);
  g_test_add_func ("/duties/restores", test_restores);
  g_test_add_func ("/duties/killed-holder", test_killed_holder);
  g_test_add_func ("/duties/two-candidates", test_two_candidates);
  g_test_add_func ("/duties/first-cut-off", test_first_cut_off);
  g_test_add_func ("/duties/release", test_release);
  return g_test_run ();
}
