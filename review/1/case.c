/** @file
    The store is silent for half a second just after a change of the config.
    The next version moves the bookings to another service; from its bound on,
    and once the store has been calm for long enough, no VM may send a booking
    to the earlier service.  */
#include "rig.h"

#include <string.h>

#define VMS 9
#define ROUNDS 3
#define ROUND_US 13000000
#define SETTLE_US 5000000
/* From the first change of a round to the silence, its length, and the time
   until the second change.  */
#define SILENT_AFTER_US 60000
#define SILENT_US 500000
#define MOVE_AFTER_US 340000
/* configApplyMs and stableWindowMs of the site.  */
#define CONFIG_APPLY_US 2500000
#define STABLE_US 4000000
#define BOOKING_PAUSE_US 100000
#define DEADLINE_MS 2500

static struct rig *rig;
static const char *const services[] = { "panel-a", "panel-b", NULL };
static char *addresses[2][2];
static gint stopped;
static unsigned version;
static GMutex lock;
static GPtrArray *bookings; /* struct booking */

struct booking
{
  char *id;
  gint64 sent_us;
  unsigned vm;
  int status;
};

/* Time span of a round in which bookings must go to service NOW.  */
struct span
{
  gint64 from_us;
  gint64 to_us;
  unsigned now;
};

static gpointer
run_caller (gpointer arg)
{
  unsigned vm = GPOINTER_TO_UINT (arg);
  for (unsigned i = 0; !g_atomic_int_get (&stopped); i++)
    {
      struct booking *b = g_new0 (struct booking, 1);
      b->id = g_strdup_printf ("booking-%u-%u", vm, i);
      b->vm = vm;
      b->sent_us = g_get_monotonic_time ();
      struct web *w = rig_request (rig, vm, "POST", "/bookings/wait-15", b->id,
                                   DEADLINE_MS, "{\"cup\":1}");
      b->status = w->status;
      web_close (w);
      g_mutex_lock (&lock);
      g_ptr_array_add (bookings, b);
      g_mutex_unlock (&lock);
      g_usleep (BOOKING_PAUSE_US);
    }
  return NULL;
}

/* Writes the next version: bookings go to service TO, and one more route is
   there than before.  */
static void
write_version (unsigned to)
{
  json_t *routes = json_array ();
  version++;
  json_array_append_new (
      routes, rig_route ("bookings", services[to], "unsafe", 2500, 2));
  for (unsigned i = 0; i < version; i++)
    {
      g_autofree char *name = g_strdup_printf ("idle-%u", i);
      json_array_append_new (routes,
                             rig_route (name, services[0], "safe", 2500, 2));
    }
  rig_write_config (rig, version, routes, services);
  rig_record ("operator: version %u is acknowledged, bookings go to %s",
              version, services[to]);
}

/* Plays one round: a change, the silence, and the move from service BEFORE to
   the other one.  */
static struct span
play_round (unsigned before)
{
  struct span s = { .now = 1 - before };
  gint64 start_us = g_get_monotonic_time ();
  write_version (before);
  g_usleep (SILENT_AFTER_US);
  if (rig->trouble)
    {
      rig_store_faults (rig, "silent=1");
      rig_record ("store: silent");
    }
  g_usleep (SILENT_US);
  if (rig->trouble)
    {
      rig_store_faults (rig, "silent=0");
      rig_record ("store: answers again");
    }
  s.from_us = g_get_monotonic_time () + STABLE_US;
  g_usleep (MOVE_AFTER_US);
  write_version (s.now);
  s.from_us = MAX (s.from_us, g_get_monotonic_time () + CONFIG_APPLY_US);
  g_usleep ((gulong)(start_us + ROUND_US - g_get_monotonic_time ()));
  s.to_us = g_get_monotonic_time ();
  return s;
}

/* Whether the runners of SERVICE have run the booking ID.  */
static bool
has_run (json_t *const runs[2][2], unsigned service, const char *id)
{
  return json_object_get (runs[service][0], id)
         || json_object_get (runs[service][1], id);
}

/* Returns the number of bookings that were run by the service that only an
   older version allows.  */
static unsigned
count_stale (const struct span *spans)
{
  json_t *runs[2][2];
  unsigned stale = 0;
  for (unsigned i = 0; i < 4; i++)
    runs[i / 2][i % 2] = rig_runs (addresses[i / 2][i % 2]);
  for (guint k = 0; k < bookings->len; k++)
    {
      const struct booking *b = g_ptr_array_index (bookings, k);
      for (unsigned i = 0; i < ROUNDS; i++)
        if (b->sent_us > spans[i].from_us && b->sent_us < spans[i].to_us
            && has_run (runs, 1 - spans[i].now, b->id))
          {
            rig_record ("%s, sent to %s %.2f s after the bound, was run by "
                        "%s, answered %d",
                        b->id, rig->vms[b->vm].name,
                        (double)(b->sent_us - spans[i].from_us)
                            / G_USEC_PER_SEC,
                        services[1 - spans[i].now], b->status);
            stale++;
          }
    }
  return stale;
}

int
main (int argc, char **argv)
{
  struct proc *procs[4];
  GThread *callers[VMS];
  struct span spans[ROUNDS];
  if (argc != 2)
    return RIG_NOT_RUN;
  rig = rig_create (argv[1]);
  bookings = g_ptr_array_new ();
  for (unsigned i = 0; i < 4; i++)
    {
      g_autofree char *id = g_strdup_printf ("%s-%u", services[i / 2], i % 2);
      addresses[i / 2][i % 2] = rig_start_runner (rig, id, &procs[i]);
      rig_beat (rig, id, services[i / 2], addresses[i / 2][i % 2], 24, "ready",
                1);
    }
  write_version (0);
  if (!rig_start_vms (rig, VMS))
    return rig_finish (rig, RIG_NOT_RUN);
  g_usleep (SETTLE_US);
  for (unsigned i = 0; i < VMS; i++)
    callers[i] = g_thread_new ("caller", run_caller, GUINT_TO_POINTER (i));
  for (unsigned i = 0; i < ROUNDS; i++)
    spans[i] = play_round (i % 2);
  g_atomic_int_set (&stopped, 1);
  for (unsigned i = 0; i < VMS; i++)
    g_thread_join (callers[i]);
  unsigned stale = count_stale (spans);
  rig_record ("%u bookings, %u run by the earlier service after the bound",
              bookings->len, stale);
  for (unsigned i = 0; i < 4; i++)
    proc_destroy (procs[i]);
  if (bookings->len == 0)
    return rig_finish (rig, RIG_NOT_RUN);
  return rig_finish (rig, stale > 0 ? RIG_BROKEN : RIG_HELD);
}
