#include "daemon/usage_link.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "decide/fleet_clock.h"
#include "decide/rank.h"
#include "decide/usage.h"
#include "decide/usage_reports.h"

#include <string.h>

#define USAGE_KEY "buckthornstand/usage"
#define MS_PER_S 1000
/* Interval at which the counts are sent and other VMs are asked for their
   clocks.  */
#define SEND_MS 500
/* How long after the end of a window its counts are sent.  */
#define REPEAT_MS 3000
/* VMs that the counts are sent to: the holder and its successor.  */
#define RECEIVERS 2
/* A VM that has been a receiver for this long has got the counts of all others
   that can reach it.  */
#define RECEIVED_MS 1500
/* How long a VM sends the windows that may not have been reported to a new
   receiver: longer than RECEIVED_MS, as messages are lost.  */
#define NEW_RECEIVER_MS 3000
/* A longer gap between two ticks means that this process did not run.  */
#define PAUSE_MIN_MS 1500
/* Clocks asked for at each tick: all of a fleet of 90 VMs several times in
   FLEET_CLOCK_KEEP_MS; more for START_MS after the start.  */
#define CLOCKS_PER_TICK 3
#define CLOCKS_PER_TICK_AT_START 12
/* No reports so soon after the start: this VM may not have joined the others
   yet.  */
#define START_MS 5000

/* A VM that this one sends its counts to.  */
struct receiver
{
  char *vm;
  uint64_t incarnation;
  int64_t since_ms;
};

struct usage_link
{
  struct usage_link_parts parts;
  struct usage *usage;
  struct usage_reports *reports;
  struct fleet_clock *clock;
  struct event *timer;
  struct receiver receivers[RECEIVERS];
  int64_t started_ms;        /* of clock_boot_ms */
  int64_t receiving_from_ms; /* since when this VM is a receiver; 0: is not */
  int64_t resent_ms; /* at RECEIVING_FROM_MS the others sent it again the
                        windows that had ended less than this time earlier */
  int64_t tick_ms;   /* when the timer last ran */
  guint next_asked;  /* index of the next member asked for its clock */
  GHashTable *sent;  /* set of struct sent_report in flight */
};

static int64_t
fleet_time (const struct usage_link *l)
{
  return fleet_clock_time (l->clock, wall_ms (), clock_boot_ms ());
}

static int64_t
late_ms (const struct usage_link *l)
{
  return (int64_t)l->parts.late_s * MS_PER_S;
}

void
usage_link_record_start (struct usage_link *l, const char *account,
                         int64_t began_ms)
{
  if (l)
    usage_count (l->usage, account,
                 fleet_time (l) - MAX (clock_ms () - began_ms, 0));
}

/* Messages.  */

/* A receiver of messages.  */
struct target
{
  struct usage_link *link;
  const struct member *member;
};

static void
send_counts (void *arg, const struct usage_counts *message)
{
  const struct target *t = arg;
  t->link->parts.peers.send (t->link->parts.peers.arg, t->member,
                             MESSAGE_USAGE_COUNTS, message);
}

/* Sends TO the counts of the windows that end after FROM_MS of the fleet.  */
static void
send_windows (struct usage_link *l, const struct member *to, int64_t from_ms,
              int64_t now_ms)
{
  struct target t = { l, to };
  uint64_t current = usage_window (l->usage, now_ms);
  for (uint64_t w = usage_window (l->usage, from_ms); w <= current; w++)
    usage_each_message (l->usage, w, send_counts, &t);
}

/* Takes note that the receiver at PLACE is M, and returns since when.  */
static int64_t
note_receiver (struct usage_link *l, unsigned place, const struct member *m,
               int64_t now)
{
  struct receiver *r = &l->receivers[place];
  const struct receiver *other = &l->receivers[1 - place];
  bool same = r->vm && strcmp (r->vm, m->info.id) == 0
              && member_same_start (r->incarnation, m->info.incarnation);
  if (same)
    return r->since_ms;
  bool moved = other->vm && strcmp (other->vm, m->info.id) == 0
               && member_same_start (other->incarnation, m->info.incarnation);
  g_free (r->vm);
  r->vm = g_strdup (m->info.id);
  r->incarnation = m->info.incarnation;
  r->since_ms = moved ? other->since_ms : now;
  return r->since_ms;
}

static void
send_to_receivers (struct usage_link *l)
{
  const struct member *self
      = g_ptr_array_index (members_all (l->parts.peers.members), 0);
  int64_t now = clock_boot_ms ();
  int64_t time = fleet_time (l);
  for (unsigned place = 0; place < RECEIVERS; place++)
    {
      const struct member *m
          = rank_order_at (l->parts.peers.members, self->info.region, place);
      if (m == NULL || m == self)
        {
          /* Whoever comes to this place later has not got the counts.  */
          g_clear_pointer (&l->receivers[place].vm, g_free);
          continue;
        }
      bool is_new = now - note_receiver (l, place, m, now) < NEW_RECEIVER_MS;
      send_windows (l, m, time - (is_new ? late_ms (l) : REPEAT_MS), time);
    }
}

static void
ask_clocks (struct usage_link *l)
{
  const GPtrArray *all = members_all (l->parts.peers.members);
  int64_t now = clock_boot_ms ();
  unsigned count = now - l->started_ms < START_MS ? CLOCKS_PER_TICK_AT_START
                                                  : CLOCKS_PER_TICK;
  struct clock_ask ask
      = { .from = (char *)l->parts.vm, .asked_ms = (uint64_t)now };
  guint others = all->len - 1;
  for (guint i = 0; i < MIN (count, others); i++)
    {
      const struct member *m
          = g_ptr_array_index (all, 1 + l->next_asked++ % others);
      if (member_live (m))
        l->parts.peers.send (l->parts.peers.arg, m, MESSAGE_CLOCK_ASK, &ask);
    }
}

static void
answer_clock (struct usage_link *l, const struct clock_ask *ask)
{
  const struct member *m = members_find (l->parts.peers.members, ask->from);
  struct clock_answer answer = { .from = (char *)l->parts.vm,
                                 .asked_ms = ask->asked_ms,
                                 .wall_ms = (uint64_t)wall_ms () };
  if (m)
    l->parts.peers.send (l->parts.peers.arg, m, MESSAGE_CLOCK_ANSWER, &answer);
}

void
usage_link_handle_frame (struct usage_link *l, const struct frame *frame)
{
  if (l == NULL)
    return;
  if (frame->type == MESSAGE_USAGE_COUNTS)
    usage_merge (l->usage, frame->message);
  else if (frame->type == MESSAGE_CLOCK_ASK)
    answer_clock (l, frame->message);
  else if (frame->type == MESSAGE_CLOCK_ANSWER)
    {
      const struct clock_answer *a = frame->message;
      fleet_clock_record (l->clock, a->from, (int64_t)a->asked_ms,
                          (int64_t)a->wall_ms, clock_boot_ms ());
    }
}

void
usage_link_flush (struct usage_link *l)
{
  if (l)
    send_to_receivers (l);
}

/* Takes note of whether the others send this VM their counts.  What they sent
   while this process did not run may be lost.  */
static void
note_own_place (struct usage_link *l)
{
  const struct member *self
      = g_ptr_array_index (members_all (l->parts.peers.members), 0);
  int64_t now = clock_boot_ms ();
  bool paused = l->tick_ms != 0 && now - l->tick_ms > PAUSE_MIN_MS;
  unsigned place = rank_order_place (l->parts.peers.members, self->info.region,
                                     self->info.id);
  l->tick_ms = now;
  if (place >= RECEIVERS)
    l->receiving_from_ms = 0;
  else if (l->receiving_from_ms == 0 || paused)
    {
      l->resent_ms = l->receiving_from_ms == 0 ? late_ms (l) : REPEAT_MS;
      l->receiving_from_ms = now;
    }
}

/* Forgets the windows that get no report any more.  */
static void
forget_windows (struct usage_link *l)
{
  uint64_t current = usage_window (l->usage, fleet_time (l));
  usage_forget (l->usage, current - MIN (current, USAGE_REPORTS_MAX + 1));
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  struct usage_link *l = arg;
  (void)fd;
  (void)what;
  note_own_place (l);
  ask_clocks (l);
  send_to_receivers (l);
  forget_windows (l);
}

/* The duty.  */

static void
begin_duty (void *arg, GBytes *record, int64_t now_ms)
{
  struct usage_link *l = arg;
  int64_t time = fleet_time (l);
  struct usage_holder holder
      = { .era = l->parts.kv->era,
          .saw_restore = l->parts.kv->restores > 0,
          .is_resumed = duty_link_is_resumed (l->parts.duties),
          .started_ms = time - (now_ms - l->started_ms) };
  usage_reports_begin (l->reports, record, &holder, time);
}

static bool
duty_is_due (void *arg, int64_t now_ms)
{
  const struct usage_link *l = arg;
  return l->receiving_from_ms != 0
         && now_ms - l->receiving_from_ms >= RECEIVED_MS
         && now_ms - l->tick_ms <= PAUSE_MIN_MS
         && now_ms - l->started_ms >= START_MS
         && usage_reports_is_due (l->reports, fleet_time (l));
}

static char *
write_report (void *arg, uint64_t window)
{
  const struct usage_link *l = arg;
  g_autoptr (GArray) totals = usage_totals (l->usage, window);
  uint64_t sum = 0;
  for (guint i = 0; i < totals->len; i++)
    sum += g_array_index (totals, struct usage_total, i).count;
  log_event (LOG_INFO, "usage_written", "window", log_num ((long long)window),
             "accounts", log_num (totals->len), "requests",
             log_num ((long long)sum), "clocks",
             log_num (fleet_clock_known (l->clock, clock_boot_ms ())), NULL);
  return l->parts.platform->write_usage_report (window, totals);
}

/* Returns the time of the fleet from which on this VM has the counts of the
   windows that end.  */
static int64_t
counted_from_ms (const struct usage_link *l, int64_t time, int64_t now_ms)
{
  return time - (now_ms - l->receiving_from_ms) - l->resent_ms + RECEIVED_MS;
}

static GBytes *
prepare_duty (void *arg, int64_t now_ms)
{
  struct usage_link *l = arg;
  int64_t time = fleet_time (l);
  unsigned left_out = usage_reports_write (
      l->reports, counted_from_ms (l, time, now_ms), time, write_report, l);
  metrics_add (METRIC_usage_windows_left_out_total, left_out);
  if (left_out > 0)
    log_event (LOG_WARN, "usage_windows_left_out", "windows",
               log_num (left_out), NULL);
  return usage_reports_record (l->reports);
}

/* A report in flight.  */
struct sent_report
{
  struct usage_link *link;
  uint64_t window;
};

static void
on_response (void *arg, unsigned status)
{
  const struct sent_report *s = arg;
  struct usage_link *l = s->link;
  int64_t time = fleet_time (l);
  bool accepted
      = usage_reports_responded (l->reports, s->window, status, time);
  int64_t end = (int64_t)(s->window + 1) * l->parts.window_s * MS_PER_S;
  log_event (accepted ? LOG_INFO : LOG_WARN, "usage_report", "window",
             log_num ((long long)s->window), "accepted",
             accepted ? "true" : "false", "status", log_num (status),
             "late_ms", log_num (MAX (time - end - late_ms (l), 0)), NULL);
  metrics_add (METRIC_usage_reports_total, accepted);
  g_hash_table_remove (l->sent, s);
}

static void
send_duty (void *arg, uint64_t fence, int64_t now_ms)
{
  struct usage_link *l = arg;
  uint64_t window = 0;
  (void)now_ms;
  usage_reports_written (l->reports);
  const char *body = usage_reports_next (l->reports, fleet_time (l), &window);
  if (body == NULL)
    return;
  struct http_head *head = http_head_create ();
  struct sent_report *s = g_new0 (struct sent_report, 1);
  *s = (struct sent_report){ l, window };
  g_hash_table_add (l->sent, s);
  head->target = g_strdup (l->parts.platform->usage_path);
  duty_link_post (l->parts.duties, head, body, fence, on_response, s);
}

static void
end_duty (void *arg)
{
  (void)arg;
}

static const struct duty_ops usage_duty = { USAGE_KEY,   begin_duty,
                                            duty_is_due, prepare_duty,
                                            send_duty,   end_duty };

struct usage_link *
usage_link_create (const struct usage_link_parts *parts)
{
  static const struct timeval tick = { 0, SEND_MS * 1000 };
  struct usage_link *l = g_new0 (struct usage_link, 1);
  int64_t window_ms = (int64_t)parts->window_s * MS_PER_S;
  l->parts = *parts;
  l->started_ms = clock_boot_ms ();
  l->usage = usage_create (parts->vm, (uint64_t)wall_ms (), window_ms);
  l->reports = usage_reports_create (window_ms);
  l->clock = fleet_clock_create ();
  l->sent = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  l->timer = event_new (parts->base, -1, EV_PERSIST, on_tick, l);
  event_add (l->timer, &tick);
  duty_link_add (parts->duties, &usage_duty, l);
  return l;
}

void
usage_link_destroy (struct usage_link *l)
{
  if (l == NULL)
    return;
  event_free (l->timer);
  for (unsigned i = 0; i < RECEIVERS; i++)
    g_free (l->receivers[i].vm);
  usage_reports_destroy (l->reports);
  usage_destroy (l->usage);
  fleet_clock_destroy (l->clock);
  g_hash_table_destroy (l->sent);
  g_free (l);
}
