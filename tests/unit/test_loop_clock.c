/** @file
    Clock of the event loop: since when input may have waited, on a real loop
    with a socket pair.  */
#include "links/loop_clock.h"

#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HOLD_MS 300
/* Most that a time may be too early, and the test's own delays.  */
#define ERROR_MS 60

static struct event_base *base;
static struct loop_clock *loop;
static int ends[2];
static int64_t sent_ms;
static int64_t waited_ms; /* as the clock says, when the byte was read */
static int64_t delay_ms;  /* the true time */

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static void
send_byte (void)
{
  sent_ms = now_ms ();
  g_assert_cmpint (write (ends[1], "x", 1), ==, 1);
}

static void
on_byte (evutil_socket_t fd, short what, void *arg)
{
  char byte;
  (void)what;
  (void)arg;
  g_assert_cmpint (read (fd, &byte, 1), ==, 1);
  waited_ms = now_ms () - loop_clock_input_since_ms (loop, NULL);
  delay_ms = now_ms () - sent_ms;
  event_base_loopbreak (base);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  loop_clock_tick (loop);
}

/* Holds the loop, and sends the byte when half of that time is over.  */
static void
on_hold (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  LOOP_WORK_AUTO struct loop_work work = loop_work_begin (loop, "test", 1);
  g_usleep (HOLD_MS * 1000 / 2);
  send_byte ();
  g_usleep (HOLD_MS * 1000 / 2);
}

/* The same, by work that the clock knows nothing of.  */
static void
on_unknown_hold (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  g_usleep (HOLD_MS * 1000 / 2);
  send_byte ();
  g_usleep (HOLD_MS * 1000 / 2);
}

static void
on_send (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  send_byte ();
}

/* Runs the loop until the byte is read; it comes as the handler SEND says,
   AFTER_MS from now.  */
static void
run (event_callback_fn send, unsigned after_ms)
{
  static const struct timeval tick = { 0, LOOP_TICK_MS * 1000 };
  struct timeval after = { 0, after_ms * 1000 };
  base = event_base_new ();
  loop = loop_clock_create (base);
  g_assert_cmpint (socketpair (AF_UNIX, SOCK_STREAM, 0, ends), ==, 0);
  struct event *byte
      = event_new (base, ends[0], EV_READ | EV_PERSIST, on_byte, NULL);
  struct event *timer = event_new (base, -1, EV_PERSIST, on_tick, NULL);
  struct event *sender = evtimer_new (base, send, NULL);
  event_add (byte, NULL);
  event_add (timer, &tick);
  evtimer_add (sender, &after);
  loop_clock_run (loop);
  event_free (byte);
  event_free (timer);
  event_free (sender);
  close (ends[0]);
  close (ends[1]);
  loop_clock_destroy (loop);
  event_base_free (base);
}

/* Guards against a request that was sent while the loop was held, and whose
   time begins only when it is read.  */
static void
test_input_waits_for_work (void)
{
  run (on_hold, 120);
  g_assert_cmpint (delay_ms, >=, HOLD_MS / 2 - 1);
  g_assert_cmpint (waited_ms, >=, delay_ms - 1);
  g_assert_cmpint (waited_ms, <=, delay_ms + HOLD_MS / 2 + ERROR_MS);
}

/* Guards against the same where no handler of that turn has asked for the
   time.  */
static void
test_input_waits_for_unknown_work (void)
{
  run (on_unknown_hold, 120);
  g_assert_cmpint (delay_ms, >=, HOLD_MS / 2 - 1);
  g_assert_cmpint (waited_ms, >=, delay_ms - 1);
  g_assert_cmpint (waited_ms, <=, delay_ms + HOLD_MS / 2 + ERROR_MS);
}

/* Guards against a fresh request that counts as one that has waited.  */
static void
test_idle_loop_adds_nothing (void)
{
  run (on_send, 220);
  g_assert_cmpint (waited_ms, <=, delay_ms + ERROR_MS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/loop-clock/input-waits-for-work",
                   test_input_waits_for_work);
  g_test_add_func ("/loop-clock/input-waits-for-unknown-work",
                   test_input_waits_for_unknown_work);
  g_test_add_func ("/loop-clock/idle-loop-adds-nothing",
                   test_idle_loop_adds_nothing);
  return g_test_run ();
}
