/** @file
    Soak test of a small fleet: injects random faults from a seed and compares
    what callers received with what the stand-in engines and the stand-in
    service did.  */
#include "process/common.h"

#include "harness/relay.h"
#include "harness/soak.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VMS 4
#define ENGINES 4
#define CALLERS 6
#define TOKENS 60
#define RESUME_TIMEOUT_MS 25000
#define SETTLE_MS 12000

struct soak
{
  struct fleet *fleet;
  struct relay *kv_relay;
  struct relay *engine_relays[ENGINES];
  GMutex lock;
  GHashTable *keys; /* idempotency key -> struct key_state */
  gint stop;
  gint requests, complete, not_run, unknown, violations;
  unsigned seed;
};

/* Responses that callers received for one idempotency key.  */
struct key_state
{
  unsigned complete;
  unsigned not_run;
  unsigned other; /* outcome unknown, in progress, or no response */
};

struct caller
{
  struct soak *soak;
  GRand *rand;
  unsigned number;
};

/* Booking requests, some repeated under their idempotency key.  */

static struct key_state *
find_or_add_key_state (struct soak *s, const char *key)
{
  struct key_state *k = g_hash_table_lookup (s->keys, key);
  if (k == NULL)
    {
      k = g_new0 (struct key_state, 1);
      g_hash_table_insert (s->keys, g_strdup (key), k);
    }
  return k;
}

static void
run_booking (struct caller *c)
{
  struct soak *s = c->soak;
  g_autofree char *key = g_strdup_printf (
      "soak-%u-%u", c->number, soak_random_below (c->rand, 1000000));
  unsigned repeats = 1 + soak_random_below (c->rand, 3);
  for (unsigned i = 0; i < repeats; i++)
    {
      int status = request_booking (s->fleet, soak_random_below (c->rand, VMS),
                                    key, NULL);
      g_mutex_lock (&s->lock);
      struct key_state *k = find_or_add_key_state (s, key);
      k->complete += status == 201;
      k->not_run += status == 503;
      k->other += status != 201 && status != 503;
      g_mutex_unlock (&s->lock);
      g_atomic_int_inc (&s->requests);
      if (status == 201)
        g_atomic_int_inc (&s->complete);
      else if (status == 503 || status == 429)
        g_atomic_int_inc (&s->not_run);
      else
        g_atomic_int_inc (&s->unknown);
    }
}

/* Model streams, resumed after a disconnect.  */

/* Resumes a stream at random VMs until it is complete, an error event arrives
   or RESUME_TIMEOUT_MS have passed.  Returns the last HTTP status, or 0 if
   there was none.  */
static int
resume_stream (struct caller *c, struct stream_text *t)
{
  gint64 until = g_get_monotonic_time () + RESUME_TIMEOUT_MS * 1000;
  int status = 0;
  while (!t->done && !t->error && g_get_monotonic_time () < until)
    {
      g_autofree char *id = g_strdup (t->last_id);
      *strrchr (id, ':') = '\0';
      g_autofree char *path = g_strdup_printf ("/v1/streams/%s", id);
      g_autofree char *header
          = g_strdup_printf ("Last-Event-ID: %s\r\n", t->last_id);
      struct web *w = web_send_request (
          c->soak->fleet->http_addresses[soak_random_below (c->rand, VMS)],
          "GET", path, FLEET_CALLER_KEY, header, NULL);
      size_t at = 0;
      web_read_response (w, 4000);
      status = w->status;
      if (w->status == 200)
        stream_text_add (t, w->body, &at);
      web_close (w);
      if (!t->done)
        g_usleep (200000);
    }
  return status;
}

static void
run_stream (struct caller *c)
{
  struct soak *s = c->soak;
  g_autofree char *prompt = g_strdup_printf (
      "caller %u asks %u", c->number, soak_random_below (c->rand, 9999));
  g_autofree char *body = fleet_chat_body (prompt, TOKENS, true);
  struct web *w = web_send_request (
      s->fleet->http_addresses[soak_random_below (c->rand, VMS)], "POST",
      "/v1/chat/completions", FLEET_CALLER_KEY, NULL, body);
  struct stream_text *t = stream_text_create ();
  size_t at = 0;
  web_read_response (w, 6000);
  if (w->status == 200)
    stream_text_add (t, w->body, &at);
  int status = w->status;
  web_close (w);
  g_atomic_int_inc (&s->requests);
  if (status == 200 && t->last_id && !t->done && !t->error)
    status = resume_stream (c, t);
  if (t->done && !t->error)
    {
      g_atomic_int_inc (&s->complete);
      if (t->events != TOKENS + 1
          || !engine_text_matches (s->fleet, t->last_id, t->text->str))
        soak_violation (
            &s->violations,
            "a stream ended with [DONE] but its event count or its "
            "text is not what an engine sent");
    }
  else if (t->events > 0)
    soak_violation (&s->violations,
                    "stream incomplete after %u events (last status %d, error "
                    "event %d, last event id %s)",
                    t->events, status, t->error, t->last_id);
  else if (status == 503)
    g_atomic_int_inc (&s->not_run);
  else
    g_atomic_int_inc (&s->unknown);
  stream_text_destroy (t);
}

static gpointer
run_caller (gpointer arg)
{
  struct caller *c = arg;
  while (!g_atomic_int_get (&c->soak->stop))
    {
      if (soak_random_below (c->rand, 3) == 0)
        run_stream (c);
      else
        run_booking (c);
    }
  return NULL;
}

/* Fault injection.  */

static void
inject_vm_fault (struct soak *s, GRand *rand)
{
  struct fleet *f = s->fleet;
  unsigned vm = soak_random_below (rand, VMS);
  unsigned kind = soak_random_below (rand, 3);
  if (kind == 0)
    {
      proc_kill (f->vms[vm]);
      g_usleep (500000 + soak_random_below (rand, 2500000));
      fleet_start_vm (f, vm);
    }
  else if (kind == 1)
    {
      proc_signal (f->vms[vm], SIGSTOP);
      g_usleep (500000 + soak_random_below (rand, 4000000));
      proc_signal (f->vms[vm], SIGCONT);
    }
  else
    {
      proc_signal (f->vms[vm], SIGTERM);
      if (!proc_wait (f->vms[vm], 20000))
        soak_violation (&s->violations,
                        "vm%u did not exit within 20 s after SIGTERM", vm + 1);
      fleet_start_vm (f, vm);
    }
}

static void
inject_kv_fault (struct soak *s, GRand *rand)
{
  static const char *const faults[]
      = { "refuse=1", "drop_writes=3",      "late_ms=300",
          "silent=1", "reply_delay_ms=400", "watch_silent=1" };
  fleet_fault (s->fleet->kv_address,
               faults[soak_random_below (rand, G_N_ELEMENTS (faults))]);
  g_usleep (500000 + soak_random_below (rand, 2500000));
  fleet_fault (s->fleet->kv_address,
               "refuse=0&drop_writes=0&late_ms=0&silent=0&reply_delay_ms=0&"
               "watch_silent=0");
}

static void
inject_upstream_fault (struct soak *s, GRand *rand)
{
  unsigned engine = soak_random_below (rand, ENGINES);
  switch (soak_random_below (rand, 4))
    {
    case 0:
      fleet_fault (s->fleet->service_address, "drop_replies=2");
      break;
    case 1:
      fleet_fault (s->fleet->service_address, "reply_delay_ms=600");
      g_usleep (1000000);
      fleet_fault (s->fleet->service_address, "reply_delay_ms=0");
      break;
    case 2:
      relay_blackhole (s->engine_relays[engine]);
      break;
    default:
      relay_close_connections (s->engine_relays[engine], FALSE);
    }
}

static void
apply_changed_file (struct soak *s, GRand *rand)
{
  struct fleet *f = s->fleet;
  g_autofree char *extra = g_strdup_printf ("role_change_cost: %u\n",
                                            soak_random_below (rand, 1000));
  g_autofree char *text = fleet_config_file (f, extra);
  g_autoptr (GString) file = g_string_new (text);
  if (soak_random_below (rand, 2))
    g_string_replace (file, "versions: [\"1\", \"2\"]",
                      "versions: [\"2\", \"1\"]", 0);
  g_autofree char *path = fleet_write_file (f, "soak.yaml", file->str);
  int code = fleet_ctl (f, soak_random_below (rand, VMS), NULL, "apply", path,
                        NULL);
  if (code == 0)
    {
      /* An accepted file must be in force on every VM that runs.  A VM without
         a revision is down or not ready yet.  */
      unsigned newest = 0;
      for (unsigned vm = 0; vm < VMS; vm++)
        newest = MAX (newest, vm_revision (f, vm));
      for (unsigned vm = 0; vm < VMS; vm++)
        {
          unsigned revision = vm_revision (f, vm);
          if (revision != 0 && revision < newest)
            soak_violation (
                &s->violations,
                "vm%u has revision %u, not %u, after a successful apply",
                vm + 1, revision, newest);
        }
    }
}

static void
run_faults (struct soak *s, unsigned seconds)
{
  GRand *rand = g_rand_new_with_seed (s->seed);
  gint64 until = g_get_monotonic_time () + (gint64)seconds * G_USEC_PER_SEC;
  while (g_get_monotonic_time () < until)
    {
      switch (soak_random_below (rand, 4))
        {
        case 0:
          inject_vm_fault (s, rand);
          break;
        case 1:
          inject_kv_fault (s, rand);
          break;
        case 2:
          inject_upstream_fault (s, rand);
          break;
        default:
          apply_changed_file (s, rand);
        }
      g_usleep (soak_random_below (rand, 800000));
    }
  g_rand_free (rand);
}

/* Checks after the run.  */

static void
check_keys (struct soak *s)
{
  json_t *seen = fleet_fake_state (s->fleet->service_address);
  json_t *runs = json_object_get (seen, "runs");
  GHashTableIter it;
  gpointer key, value;
  g_hash_table_iter_init (&it, s->keys);
  while (g_hash_table_iter_next (&it, &key, &value))
    {
      const struct key_state *k = value;
      json_int_t n = json_integer_value (json_object_get (runs, key));
      if (n > 1)
        soak_violation (&s->violations,
                        "booking %s ran %d times, expected at most 1",
                        (char *)key, (int)n);
      if (k->complete > 0 && n != 1)
        soak_violation (&s->violations,
                        "booking %s got 201 but did not run exactly once",
                        (char *)key);
      if (k->complete == 0 && k->other == 0 && n != 0)
        soak_violation (&s->violations,
                        "booking %s got only 503 (not run) but ran",
                        (char *)key);
    }
  json_decref (seen);
}

static void
check_engines (struct soak *s)
{
  for (unsigned i = 0; i < ENGINES; i++)
    {
      json_t *seen = fleet_fake_state (s->fleet->engine_addresses[i]);
      json_int_t cut = json_integer_value (json_object_get (seen, "cut"));
      json_int_t conflicts
          = json_integer_value (json_object_get (seen, "conflicts"));
      if (cut > 0 || conflicts > 0)
        soak_violation (
            &s->violations,
            "engine%u: %d streams cut by orders, %d orders accepted "
            "despite an outdated fencing token",
            i + 1, (int)cut, (int)conflicts);
      json_decref (seen);
    }
}

static void
start (struct soak *s, const char *bin)
{
  struct fleet_shape shape = fleet_shape_small ();
  shape.vms = VMS;
  shape.engines = ENGINES;
  s->fleet = fleet_create (bin, &shape);
  s->kv_relay = relay_insert (&s->fleet->kv_configured_address);
  for (unsigned i = 0; i < ENGINES; i++)
    s->engine_relays[i]
        = relay_insert (&s->fleet->engine_configured_address[i]);
  fleet_start (s->fleet);
  fleet_apply (s->fleet);
  s->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_mutex_init (&s->lock);
}

int
main (int argc, char **argv)
{
  if (argc != 4)
    {
      (void)fprintf (stderr, "usage: soak PROGRAM-FOLDER SEED SECONDS\n");
      return 2;
    }
  struct soak s = { .seed = (unsigned)atoi (argv[2]) };
  struct caller callers[CALLERS];
  GThread *threads[CALLERS];
  printf ("seed=%u seconds=%s\n", s.seed, argv[3]);
  start (&s, argv[1]);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      callers[i]
          = (struct caller){ &s, g_rand_new_with_seed (s.seed * 100 + i), i };
      threads[i] = g_thread_new ("caller", run_caller, &callers[i]);
    }
  run_faults (&s, (unsigned)atoi (argv[3]));
  g_usleep (2 * G_USEC_PER_SEC);
  g_atomic_int_set (&s.stop, 1);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      g_thread_join (threads[i]);
      g_rand_free (callers[i].rand);
    }
  /* Requests in flight may still reach the stand-ins.  */
  g_usleep (SETTLE_MS * 1000 / 4);
  check_keys (&s);
  check_engines (&s);
  printf (
      "soak: requests=%d complete=%d not_run=%d unknown=%d violations=%d\n",
      s.requests, s.complete, s.not_run, s.unknown, s.violations);
  fleet_destroy (s.fleet);
  relay_destroy (s.kv_relay);
  for (unsigned i = 0; i < ENGINES; i++)
    relay_destroy (s.engine_relays[i]);
  return s.violations == 0 ? 0 : 1;
}
