/** @file
    Tests of daemon/prefix_watch.h with a key-value service whose answers the
    test gives.  */
#include "daemon/prefix_watch.h"

#include <glib.h>

/* Longest wait for a request that the watch sends by a timer of its own.  */
#define SENT_WITHIN_MS 5000
#define RECOVERY_MS 4000

/* A request that was not answered yet.  */
struct call
{
  bool is_list;
  kv_changes_cb *cb;
  void *arg;
};

/* A service that keeps requests until the test answers them.  */
struct scripted_kv
{
  struct kv kv;
  struct event_base *base;
  GPtrArray *calls; /* of struct call, the latest last */
  struct prefix_watch *watch;
  unsigned losses; /* reported by the watch */
  bool up;
};

static void
add_call (struct kv *kv, bool is_list, kv_changes_cb *cb, void *arg)
{
  struct scripted_kv *s = (struct scripted_kv *)kv;
  struct call *c = g_new0 (struct call, 1);
  *c = (struct call){ is_list, cb, arg };
  g_ptr_array_add (s->calls, c);
}

static void
scripted_list (struct kv *kv, const char *prefix, kv_changes_cb *cb, void *arg)
{
  (void)prefix;
  add_call (kv, true, cb, arg);
}

static void
scripted_changes (struct kv *kv, const char *prefix, int64_t after,
                  unsigned wait_ms, kv_changes_cb *cb, void *arg)
{
  (void)prefix;
  (void)after;
  (void)wait_ms;
  add_call (kv, false, cb, arg);
}

static const struct kv_ops scripted_ops
    = { .list = scripted_list, .changes = scripted_changes };

static void
on_change (void *arg, const char *key, GBytes *value, int64_t revision)
{
  (void)arg;
  (void)key;
  (void)value;
  (void)revision;
}

static void
on_batch (void *arg, bool listed)
{
  (void)arg;
  (void)listed;
}

static void
on_state (void *arg, bool up, int64_t failed_age_ms)
{
  struct scripted_kv *s = arg;
  (void)failed_age_ms;
  s->up = up;
  s->losses += !up;
}

static const struct prefix_watch_callbacks callbacks
    = { on_change, on_batch, on_state };

static void
setup (struct scripted_kv *s)
{
  *s = (struct scripted_kv){ .kv.ops = &scripted_ops, .up = true };
  s->base = event_base_new ();
  s->calls = g_ptr_array_new_with_free_func (g_free);
  s->watch = prefix_watch_create (s->base, &s->kv, "p/", 0, RECOVERY_MS,
                                  &callbacks, s);
}

static void
teardown (struct scripted_kv *s)
{
  prefix_watch_destroy (s->watch);
  g_ptr_array_unref (s->calls);
  event_base_free (s->base);
}

/* Runs the loop until a request of the kind IS_LIST waits; returns the latest
   one, to be answered.  */
static struct call *
await_call (struct scripted_kv *s, bool is_list)
{
  gint64 end_us = g_get_monotonic_time () + SENT_WITHIN_MS * 1000;
  while (g_get_monotonic_time () < end_us)
    {
      for (guint i = s->calls->len; i-- > 0;)
        {
          struct call *c = g_ptr_array_index (s->calls, i);
          if (c->is_list == is_list)
            return g_ptr_array_steal_index (s->calls, i);
        }
      event_base_loop (s->base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
      g_usleep (1000);
    }
  g_assert_not_reached ();
}

static void
answer (struct call *c, enum kv_status status, int64_t as_of)
{
  c->cb (c->arg, status, NULL, 0, as_of);
  g_free (c);
}

/* Guards against a list that was sent in an outage, is lost, and counts as a
   loss of the service when it times out, although the service has answered a
   later one; and against a watch that waits for the lost list meanwhile.  */
static void
test_late_failure_is_no_loss (void)
{
  struct scripted_kv s;
  setup (&s);
  answer (await_call (&s, true), KV_OK, 5);
  answer (await_call (&s, false), KV_NOT_DONE, 0);
  g_assert_cmpuint (s.losses, ==, 1);
  struct call *lost = await_call (&s, true);
  prefix_watch_hint (s.watch, 9, 0);
  answer (await_call (&s, true), KV_OK, 9);
  g_assert_true (s.up);
  struct call *poll = await_call (&s, false);
  answer (lost, KV_UNKNOWN, 0);
  g_assert_cmpuint (s.losses, ==, 1);
  answer (poll, KV_NOT_DONE, 0);
  g_assert_cmpuint (s.losses, ==, 2);
  answer (await_call (&s, true), KV_OK, 9);
  g_assert_true (s.up);
  teardown (&s);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/prefix-watch/late-failure-is-no-loss",
                   test_late_failure_is_no_loss);
  return g_test_run ();
}
