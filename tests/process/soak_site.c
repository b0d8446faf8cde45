/** @file
    All faults at once, from a seed, over a small site on the platform: what
    callers were told is compared with what the instances ran.

    Faults come in series from several threads and overlap: VMs and instances
    are killed, frozen, stopped and started; relays before VMs, instances and
    the store delay, cut, hold one way or both, and forget; the store fails;
    routes change; instances leave and come back.  */
#include "harness/relay.h"
#include "harness/site.h"
#include "harness/soak.h"
#include "process/common.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VMS 4
#define SERVICES 3
#define ENGINES 3
#define UPSTREAMS (SERVICES + ENGINES)
#define ENGINE_SPEED 300
#define CALLERS 8
#define INJECTORS 5
#define ANSWER_MS 8000
#define PATIENCE_MS 2500
#define RECOVER_MS 12000
#define CHECKS_AFTER 10

/* Bounds of the users: a VM is held to its promises once it and what it needs
   have been calm for CALM_US; a configuration and a leaving hold after
   APPLY_US.  */
#define MS_US 1000
/* Rounds of faults, and then of planned work alone, long enough for what is
   held to promises in calm.  */
#define ROUND_US (20000 * MS_US)
#define FAULTS_US (5000 * MS_US)
#define CALM_US (4000 * MS_US)
#define APPLY_US (2500 * MS_US)

/* Something that faults befall.  */
struct subject
{
  unsigned harmed; /* faults that it is under */
  gint64 since_us; /* end of the last one */
};

/* One request, as its caller saw it.  */
struct record
{
  bool once;
  bool plain; /* nothing odd was asked of an instance */
  bool calm;  /* all that it needed was calm from before until its end */
  bool whole;
  int status;
};

/* An instance was told to leave, and was back later.  */
struct leaving
{
  unsigned upstream;
  gint64 from_us; /* when it must have got its last request */
  gint64 to_us;
};

struct soak
{
  struct site *site;
  unsigned seed;
  gint64 start_us;
  gint stop;     /* no more faults */
  gint finished; /* threads that started processes may end */
  GMutex lock;
  GMutex vm_locks[VMS];
  GMutex upstream_locks[UPSTREAMS];
  GMutex routes_lock;
  struct subject vms[VMS];
  struct subject upstreams[UPSTREAMS];
  struct subject store;
  struct relay *to_store[VMS];
  struct relay *to_upstream[UPSTREAMS];
  struct relay *to_vm[VMS];
  GHashTable *records; /* request id -> struct record */
  GArray *leavings;    /* struct leaving */
  unsigned version;    /* of the routes */
  gint requests, answered, refused, unknown, faults, violations;
};

struct worker
{
  struct soak *soak;
  GRand *rand;
  unsigned number;
  unsigned sent;
};

static void
sleep_ms (GRand *rand, unsigned least, unsigned most)
{
  g_usleep ((least + soak_pick (rand, most - least)) * (gulong)MS_US);
}

/* What is calm.  */

static void
harm (struct soak *s, struct subject *x)
{
  g_mutex_lock (&s->lock);
  x->harmed++;
  g_mutex_unlock (&s->lock);
  g_atomic_int_inc (&s->faults);
}

static void
heal (struct soak *s, struct subject *x)
{
  g_mutex_lock (&s->lock);
  x->harmed--;
  x->since_us = g_get_monotonic_time ();
  g_mutex_unlock (&s->lock);
}

static bool
is_calm (const struct subject *x, gint64 from_us)
{
  return x->harmed == 0 && x->since_us + CALM_US <= from_us;
}

/* Whether VM and all instances have been calm since before FROM_US.  */
static bool
path_is_calm (struct soak *s, unsigned vm, gint64 from_us)
{
  g_mutex_lock (&s->lock);
  bool calm = is_calm (&s->vms[vm], from_us);
  for (unsigned i = 0; i < UPSTREAMS; i++)
    calm = calm && is_calm (&s->upstreams[i], from_us);
  g_mutex_unlock (&s->lock);
  return calm;
}

/* Whether VM, if it is below VMS, else all, and the store have been calm since
   before FROM_US.  */
static bool
store_is_calm (struct soak *s, unsigned vm, gint64 from_us)
{
  g_mutex_lock (&s->lock);
  bool calm = is_calm (&s->store, from_us);
  for (unsigned i = 0; i < VMS; i++)
    calm = calm && ((vm < VMS && i != vm) || is_calm (&s->vms[i], from_us));
  g_mutex_unlock (&s->lock);
  return calm;
}

/* Callers.  */

static const char *const odd_directives[]
    = { "lost",  "reset", "cut",      "not-run", "busy",     "error",
        "extra", "stray", "unsigned", "garbage", "unframed", "slow" };
static const char *const plain_directives[] = { "ok", "chunked", "slow" };

/* A request's path, by chance; sets what is known of it.  */
static char *
pick_path (GRand *rand, struct record *r)
{
  unsigned kind = soak_pick (rand, 8);
  bool odd = soak_pick (rand, 3) == 0;
  unsigned at = soak_pick (rand, SERVICES);
  r->plain = !odd;
  if (kind == 0)
    return odd ? g_strdup_printf ("/stream/stream-cut@u%u", at)
               : g_strdup ("/stream/stream");
  r->once = kind <= 4;
  if (kind == 1)
    return odd ? g_strdup_printf ("/live/stream-cut@u%u", at)
               : g_strdup ("/live/stream");
  if (kind == 5)
    {
      r->plain = true;
      return g_strdup ("/model/x");
    }
  const char *prefix = r->once ? "once" : "safe";
  if (odd)
    return g_strdup_printf (
        "/%s/%s@u%u", prefix,
        odd_directives[soak_pick (rand, G_N_ELEMENTS (odd_directives))], at);
  return g_strdup_printf (
      "/%s/%s", prefix,
      plain_directives[soak_pick (rand, G_N_ELEMENTS (plain_directives))]);
}

/* Body of a whole answer to PATH.  */
static char *
expected_body (const char *path)
{
  unsigned events
      = strstr (path, "/stream") && !g_str_has_prefix (path, "/s/") ? 5 : 0;
  if (g_str_has_prefix (path, "/model/"))
    events = 2;
  g_autoptr (GString) body = g_string_new (NULL);
  for (unsigned i = 1; i <= events; i++)
    g_string_append_printf (body, "id: %u\ndata: piece %u\n\n", i, i);
  if (events == 0)
    {
      g_autofree char *sum
          = g_compute_checksum_for_data (G_CHECKSUM_SHA256, NULL, 0);
      g_string_append_printf (body, "GET %s 0 %s\n", path, sum);
    }
  return g_strdup (body->str);
}

static bool
is_refusal (int status)
{
  return status == 503 || status == 429 || status == 408 || status == 421;
}

static void
check_answer (struct soak *s, const struct web *w, const char *path,
              const char *id)
{
  g_autofree char *expected = expected_body (path);
  g_autofree char *seal = web_header (w, "X-Response-Seal");
  g_autofree char *answered = web_header (w, "X-Request-Id");
  if (w->status == 200 && w->whole && strcmp (w->body->str, expected) != 0)
    soak_violation (&s->violations, "%s %s: wrong answer: %s", id, path,
                    w->body->str);
  if (w->status == 200 && w->whole
      && (seal == NULL || g_strcmp0 (answered, id) != 0))
    soak_violation (&s->violations,
                    "%s %s: success of another request, or of no instance: %s",
                    id, path, w->head->str);
  if (w->status == 404 || w->status == 400)
    soak_violation (&s->violations,
                    "%s %s: status %d for a route that all versions have", id,
                    path, w->status);
  if (is_refusal (w->status) && seal)
    soak_violation (&s->violations,
                    "%s %s: a refusal bears an instance's mark", id, path);
}

static void
keep_record (struct soak *s, const char *id, const struct record *r)
{
  g_mutex_lock (&s->lock);
  g_hash_table_insert (s->records, g_strdup (id), g_memdup2 (r, sizeof *r));
  g_mutex_unlock (&s->lock);
  g_atomic_int_inc (&s->requests);
  if (r->status == 200 && r->whole)
    g_atomic_int_inc (&s->answered);
  else if (is_refusal (r->status))
    g_atomic_int_inc (&s->refused);
  else
    g_atomic_int_inc (&s->unknown);
}

static char *
headers_of (GRand *rand, const char *id, const char *path)
{
  g_autofree char *prompt
      = g_str_has_prefix (path, "/model/")
            ? g_strdup_printf ("X-Token-Counts: %u,2\r\n"
                               "X-Prompt-Prefix: a%u:1000,%s:%u\r\n",
                               2000 + soak_pick (rand, 2000),
                               soak_pick (rand, 5), "ff", 1000)
            : g_strdup ("");
  return g_strdup_printf ("Host: " SITE_HOST "\r\nX-Request-Id: %s\r\n"
                          "X-Deadline-Ms: %u\r\n%s",
                          id, PATIENCE_MS, prompt);
}

/* One request, on the connection W where it is kept, else on a new one.
   Returns its connection, or NULL.  */
static struct web *
run_request (struct worker *c, struct web *w, unsigned vm)
{
  struct soak *s = c->soak;
  struct record r = { 0 };
  g_autofree char *path = pick_path (c->rand, &r);
  g_autofree char *id
      = g_strdup_printf ("%u-%u-%u", s->seed, c->number, c->sent++);
  g_autofree char *headers = headers_of (c->rand, id, path);
  const char *address = relay_address (s->to_vm[vm]);
  gint64 start_us = g_get_monotonic_time ();
  r.calm = path_is_calm (s, vm, start_us);
  if (w)
    web_again (w, address, "GET", path, headers);
  else
    w = web_open (address, "GET", path, NULL, headers, NULL);
  web_finish (w, ANSWER_MS);
  r.calm = r.calm && path_is_calm (s, vm, start_us);
  r.status = w->status;
  r.whole = w->whole;
  check_answer (s, w, path, id);
  keep_record (s, id, &r);
  if (web_is_kept (w))
    return w;
  web_close (w);
  return NULL;
}

static gpointer
run_caller (gpointer arg)
{
  struct worker *c = arg;
  struct web *w = NULL;
  unsigned vm = 0;
  while (!g_atomic_int_get (&c->soak->stop))
    {
      if (w && soak_pick (c->rand, 8) == 0)
        {
          web_close (w);
          w = NULL;
        }
      if (w == NULL)
        vm = soak_pick (c->rand, VMS);
      w = run_request (c, w, vm);
      sleep_ms (c->rand, 1, 20);
    }
  web_close (w);
  return NULL;
}

/* Faults.  */

static void
note_own_end (struct soak *s, unsigned vm)
{
  if (s->site->vms[vm]->pid > 0 && proc_wait (s->site->vms[vm], 0))
    soak_violation (&s->violations, "vm%u ended by itself, status %d", vm,
                    s->site->vms[vm]->status);
}

/* Planned: nothing that it has read may be lost.  */
static void
stop_vm (struct soak *s, GRand *rand, unsigned vm)
{
  struct proc *p = s->site->vms[vm];
  proc_signal (p, SIGTERM);
  if (!proc_wait (p, (s->site->leave_s + 5) * 1000))
    soak_violation (&s->violations, "vm%u did not end after SIGTERM", vm);
  site_start_vm (s->site, vm);
  sleep_ms (rand, 500, 1500);
}

static void
fault_vm (struct soak *s, GRand *rand, unsigned vm)
{
  struct proc *p = s->site->vms[vm];
  note_own_end (s, vm);
  switch (soak_pick (rand, 4))
    {
    case 0:
      harm (s, &s->vms[vm]);
      proc_kill (p);
      sleep_ms (rand, 100, 2000);
      site_start_vm (s->site, vm);
      heal (s, &s->vms[vm]);
      break;
    case 1:
      harm (s, &s->vms[vm]);
      proc_signal (p, SIGSTOP);
      sleep_ms (rand, 100, 4000);
      proc_signal (p, SIGCONT);
      heal (s, &s->vms[vm]);
      break;
    case 2:
      stop_vm (s, rand, vm);
      break;
    default:
      proc_signal (p, SIGHUP);
    }
}

static void
fault_all_vms (struct soak *s, GRand *rand)
{
  unsigned locked = 0;
  while (locked < VMS && g_mutex_trylock (&s->vm_locks[locked]))
    locked++;
  if (locked < VMS)
    {
      while (locked > 0)
        g_mutex_unlock (&s->vm_locks[--locked]);
      return;
    }
  for (unsigned i = 0; i < VMS; i++)
    {
      note_own_end (s, i);
      harm (s, &s->vms[i]);
      proc_kill (s->site->vms[i]);
    }
  sleep_ms (rand, 100, 1500);
  for (unsigned i = 0; i < VMS; i++)
    {
      site_start_vm (s->site, i);
      heal (s, &s->vms[i]);
      g_mutex_unlock (&s->vm_locks[i]);
    }
}

/* The instance leaves, as its entry says or by losing it, and is back.  */
static void
leave (struct soak *s, GRand *rand, unsigned i)
{
  gint64 before_us = g_get_monotonic_time ();
  site_write_upstream (s->site, i, soak_pick (rand, 2) ? "draining" : NULL);
  struct leaving l = { i, g_get_monotonic_time () + APPLY_US, 0 };
  sleep_ms (rand, 3000, 4500);
  l.to_us = g_get_monotonic_time ();
  g_mutex_lock (&s->lock);
  bool calm = is_calm (&s->upstreams[i], before_us);
  g_mutex_unlock (&s->lock);
  if (calm && store_is_calm (s, VMS, before_us))
    {
      g_mutex_lock (&s->lock);
      g_array_append_val (s->leavings, l);
      g_mutex_unlock (&s->lock);
    }
  site_write_upstream (s->site, i, "ready");
}

static void
fault_relay (struct soak *s, GRand *rand, struct relay *r,
             struct subject *subject)
{
  unsigned ways = 1 + soak_pick (rand, 3);
  harm (s, subject);
  switch (soak_pick (rand, 4))
    {
    case 0:
      relay_cut (r, soak_pick (rand, 2));
      sleep_ms (rand, 10, 1500);
      relay_cut (r, FALSE);
      break;
    case 1:
      relay_forget (r);
      break;
    case 2:
      relay_delay (r, 20 + soak_pick (rand, 300));
      sleep_ms (rand, 300, 2500);
      relay_delay (r, 0);
      break;
    default:
      relay_hold (r, (ways & 1) != 0, (ways & 2) != 0);
      sleep_ms (rand, 100, 3000);
      relay_hold (r, FALSE, FALSE);
    }
  heal (s, subject);
}

static void
fault_upstream (struct soak *s, GRand *rand, unsigned i)
{
  struct proc *p = s->site->upstreams[i];
  switch (soak_pick (rand, 4))
    {
    case 0:
      harm (s, &s->upstreams[i]);
      proc_kill (p);
      sleep_ms (rand, 100, 2000);
      site_restart_upstream (s->site, i);
      heal (s, &s->upstreams[i]);
      break;
    case 1:
      harm (s, &s->upstreams[i]);
      proc_signal (p, SIGSTOP);
      sleep_ms (rand, 100, 2500);
      proc_signal (p, SIGCONT);
      heal (s, &s->upstreams[i]);
      break;
    case 2:
      leave (s, rand, i);
      break;
    default:
      fault_relay (s, rand, s->to_upstream[i], &s->upstreams[i]);
    }
}

static void
fault_store (struct soak *s, GRand *rand)
{
  static const char *const faults[]
      = { "refuse=1", "silent=1", "reply_delay_ms=300", "drop_replies=5" };
  harm (s, &s->store);
  if (soak_pick (rand, 4) == 0)
    site_store_forget (s->site);
  else
    site_store_faults (s->site,
                       faults[soak_pick (rand, G_N_ELEMENTS (faults))]);
  sleep_ms (rand, 200, 4000);
  site_store_faults (s->site,
                     "refuse=0&silent=0&reply_delay_ms=0&drop_replies=0");
  heal (s, &s->store);
}

/* Status of a request to VM of the path that version VERSION added.  */
static int
ask_version (struct soak *s, unsigned vm, unsigned version)
{
  g_autofree char *path = g_strdup_printf ("/x%u/ok", version);
  g_autofree char *id
      = g_strdup_printf ("%u-v%u-%u-%u", s->seed, version, vm, s->version);
  struct record r = { .plain = true };
  struct web *w = site_ask (s->site, vm, "GET", path, id);
  int status = r.status = w->status;
  r.whole = w->whole;
  keep_record (s, id, &r);
  web_close (w);
  return status;
}

/* A version adds one path and drops that of the one before.  */
static void
change_routes (struct soak *s)
{
  gint64 before_us = g_get_monotonic_time ();
  g_autofree char *extra = g_strdup_printf ("x%u", ++s->version);
  site_write_routes (s->site, s->version, extra);
  g_usleep (APPLY_US);
  for (unsigned vm = 0; vm < VMS; vm++)
    {
      if (!g_mutex_trylock (&s->vm_locks[vm]))
        continue;
      if (store_is_calm (s, vm, before_us) && site_is_ready (s->site, vm))
        {
          int now = ask_version (s, vm, s->version);
          int old = ask_version (s, vm, s->version - 1);
          if (store_is_calm (s, vm, before_us)
              && (now == 404 || (s->version > 2 && old != 404 && old != 503)))
            soak_violation (&s->violations,
                            "vm%u: version %u is not in force: %d, and %d", vm,
                            s->version, now, old);
        }
      g_mutex_unlock (&s->vm_locks[vm]);
    }
}

static void
try_vm (struct soak *s, GRand *rand, bool planned)
{
  unsigned vm = soak_pick (rand, VMS);
  if (!g_mutex_trylock (&s->vm_locks[vm]))
    return;
  if (!planned)
    fault_vm (s, rand, vm);
  else if (soak_pick (rand, 2))
    stop_vm (s, rand, vm);
  else
    proc_signal (s->site->vms[vm], SIGHUP);
  g_mutex_unlock (&s->vm_locks[vm]);
}

static void
try_upstream (struct soak *s, GRand *rand, bool planned)
{
  unsigned i = soak_pick (rand, UPSTREAMS);
  if (!g_mutex_trylock (&s->upstream_locks[i]))
    return;
  if (planned)
    leave (s, rand, i);
  else
    fault_upstream (s, rand, i);
  g_mutex_unlock (&s->upstream_locks[i]);
}

static void
try_routes (struct soak *s)
{
  if (!g_mutex_trylock (&s->routes_lock))
    return;
  change_routes (s);
  g_mutex_unlock (&s->routes_lock);
}

static void
inject_planned (struct soak *s, GRand *rand)
{
  unsigned kind = soak_pick (rand, 4);
  if (kind == 0)
    try_vm (s, rand, true);
  else if (kind < 3)
    try_upstream (s, rand, true);
  else
    try_routes (s);
}

static void
inject_fault (struct soak *s, GRand *rand)
{
  unsigned vm = soak_pick (rand, VMS);
  switch (soak_pick (rand, 13))
    {
    case 0:
    case 1:
    case 2:
      try_vm (s, rand, false);
      break;
    case 3:
    case 4:
    case 5:
      try_upstream (s, rand, false);
      break;
    case 6:
      fault_store (s, rand);
      break;
    case 7:
      fault_relay (s, rand, s->to_store[vm], &s->vms[vm]);
      break;
    case 8:
      fault_relay (s, rand, s->to_vm[vm], &s->vms[vm]);
      break;
    case 9:
      if (soak_pick (rand, 4) == 0)
        fault_all_vms (s, rand);
      break;
    default:
      try_routes (s);
    }
}

static gpointer
run_injector (gpointer arg)
{
  struct worker *w = arg;
  while (!g_atomic_int_get (&w->soak->stop))
    {
      gint64 at = (g_get_monotonic_time () - w->soak->start_us) % ROUND_US;
      if (at < FAULTS_US)
        inject_fault (w->soak, w->rand);
      else
        inject_planned (w->soak, w->rand);
      sleep_ms (w->rand, 10, 600);
    }
  /* Processes end with the thread that started them.  */
  while (!g_atomic_int_get (&w->soak->finished))
    g_usleep (10 * MS_US);
  return NULL;
}

/* The end.  */

/* What one line of an instance tells.  */
static void
check_line (struct soak *s, unsigned upstream, const char *line,
            GHashTable *runs)
{
  char id[64];
  gint64 at_us = 0;
  if (sscanf (line, "mixed=%63s", id) == 1)
    soak_violation (&s->violations,
                    "%s went on from what was read for another", id);
  if (sscanf (line, "run=%63s at_us=%" G_GINT64_FORMAT, id, &at_us) != 2)
    return;
  gpointer n = g_hash_table_lookup (runs, id);
  g_hash_table_replace (runs, g_strdup (id),
                        GUINT_TO_POINTER (GPOINTER_TO_UINT (n) + 1));
  for (guint i = 0; i < s->leavings->len; i++)
    {
      const struct leaving *l
          = &g_array_index (s->leavings, struct leaving, i);
      if (l->upstream == upstream && at_us > l->from_us && at_us < l->to_us)
        soak_violation (&s->violations,
                        "u%u got %s %d ms after it must get no more", upstream,
                        id, (int)((at_us - l->from_us) / MS_US));
    }
}

static void
check_record (struct soak *s, const char *id, const struct record *r,
              unsigned runs)
{
  if (r->once && runs > 1)
    soak_violation (&s->violations, "%s ran %u times", id, runs);
  if (is_refusal (r->status) && runs > 0)
    soak_violation (&s->violations, "%s was told as not run (%d), and ran", id,
                    r->status);
  if (r->status == 200 && r->whole && runs == 0)
    soak_violation (&s->violations, "%s was answered, and did not run", id);
  if (r->calm && r->plain && !r->whole && runs > 0)
    soak_violation (
        &s->violations,
        "%s was sent on and got no whole answer (status %d), in calm", id,
        r->status);
}

static void
check_runs (struct soak *s)
{
  g_autoptr (GHashTable) runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (unsigned i = 0; i < UPSTREAMS; i++)
    {
      g_autofree char *log = site_upstream_log (s->site, i);
      g_auto (GStrv) lines = g_strsplit (log, "\n", -1);
      for (char **l = lines; *l; l++)
        check_line (s, i, *l, runs);
    }
  GHashTableIter it;
  gpointer id;
  gpointer value;
  g_hash_table_iter_init (&it, runs);
  while (g_hash_table_iter_next (&it, &id, &value))
    if (!g_hash_table_contains (s->records, id))
      soak_violation (&s->violations, "%s ran, and nobody sent it",
                      (char *)id);
  g_hash_table_iter_init (&it, s->records);
  while (g_hash_table_iter_next (&it, &id, &value))
    check_record (s, id, value,
                  GPOINTER_TO_UINT (g_hash_table_lookup (runs, id)));
}

static void
check_logs (struct soak *s)
{
  static const char *const bad[]
      = { "Sanitizer", "runtime error", "CRITICAL", "assertion" };
  for (unsigned vm = 0; vm < VMS; vm++)
    {
      g_autofree char *log = site_log (s->site, vm);
      for (guint i = 0; i < G_N_ELEMENTS (bad); i++)
        {
          const char *at = strstr (log, bad[i]);
          if (at)
            soak_violation (&s->violations, "vm%u: %.300s", vm, at);
        }
      note_own_end (s, vm);
    }
}

static bool
all_ready (void *arg)
{
  const struct soak *s = arg;
  for (unsigned vm = 0; vm < VMS; vm++)
    if (!site_is_ready (s->site, vm) || site_entries (s->site, vm) != VMS)
      return false;
  return true;
}

/* Once nothing fails any more, every VM serves.  */
static void
check_recovery (struct soak *s)
{
  gint64 until = g_get_monotonic_time () + (gint64)RECOVER_MS * MS_US;
  while (!all_ready (s) && g_get_monotonic_time () < until)
    g_usleep (50 * MS_US);
  if (!all_ready (s))
    soak_violation (&s->violations,
                    "the VMs do not all know each other after %u ms",
                    RECOVER_MS);
  for (unsigned vm = 0; vm < VMS; vm++)
    for (unsigned i = 0; i < CHECKS_AFTER; i++)
      {
        g_autofree char *id
            = g_strdup_printf ("%u-after-%u-%u", s->seed, vm, i);
        struct web *w = site_ask (s->site, vm, "GET", "/once/ok", id);
        struct record r
            = { .once = true, .whole = w->whole, .status = w->status };
        if (w->status != 200)
          soak_violation (&s->violations,
                          "vm%u: status %d after the last fault", vm,
                          w->status);
        keep_record (s, id, &r);
        web_close (w);
      }
}

static void
put_relays (struct soak *s)
{
  for (unsigned i = 0; i < VMS; i++)
    {
      s->to_store[i] = relay_create (s->site->store_address);
      s->site->vm_store[i] = relay_address (s->to_store[i]);
    }
  for (unsigned i = 0; i < UPSTREAMS; i++)
    {
      s->to_upstream[i] = relay_before (&s->site->upstream_given[i]);
      site_write_upstream (s->site, i, "ready");
    }
}

static void
start (struct soak *s, const char *bin)
{
  s->site = site_create (bin, VMS, SERVICES);
  site_add_engine (s->site, "prefill", ENGINE_SPEED);
  for (unsigned i = 1; i < ENGINES; i++)
    site_add_engine (s->site, "decode", ENGINE_SPEED);
  s->version = 1;
  put_relays (s);
  site_start (s->site);
  for (unsigned i = 0; i < VMS; i++)
    s->to_vm[i] = relay_create (s->site->fronts[i]);
  s->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  s->leavings = g_array_new (FALSE, FALSE, sizeof (struct leaving));
}

/* Keeps what a failed run left.  */
static void
keep_logs (const struct soak *s)
{
  const char *to = g_getenv ("SOAK_LOGS");
  for (unsigned i = 0; to && i < VMS + UPSTREAMS; i++)
    {
      g_autofree char *text = i < VMS ? site_log (s->site, i)
                                      : site_upstream_log (s->site, i - VMS);
      g_autofree char *path
          = g_strdup_printf ("%s/%s%u-seed%u.log", to, i < VMS ? "vm" : "u",
                             i < VMS ? i : i - VMS, s->seed);
      if (!g_file_set_contents (path, text, -1, NULL))
        printf ("cannot write %s\n", path);
    }
}

int
main (int argc, char **argv)
{
  if (argc != 4)
    {
      (void)fprintf (stderr,
                     "usage: soak_site FOLDER-OF-PROGRAMS SEED SECONDS\n");
      return 2;
    }
  static struct soak s;
  struct worker workers[CALLERS + INJECTORS];
  GThread *threads[CALLERS + INJECTORS];
  s.seed = (unsigned)atoi (argv[2]);
  printf ("seed=%u seconds=%s\n", s.seed, argv[3]);
  start (&s, argv[1]);
  s.start_us = g_get_monotonic_time ();
  for (unsigned i = 0; i < CALLERS + INJECTORS; i++)
    {
      GRand *rand = g_rand_new_with_seed (s.seed * 1000 + i);
      workers[i] = (struct worker){ &s, rand, i, 0 };
      threads[i] = g_thread_new (
          "worker", i < CALLERS ? run_caller : run_injector, &workers[i]);
    }
  g_usleep ((gulong)atoi (argv[3]) * G_USEC_PER_SEC);
  g_atomic_int_set (&s.stop, 1);
  for (unsigned i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
  /* Faults that are under way end by themselves.  */
  for (unsigned i = 0; i < VMS; i++)
    g_mutex_lock (&s.vm_locks[i]);
  for (unsigned i = 0; i < UPSTREAMS; i++)
    g_mutex_lock (&s.upstream_locks[i]);
  g_mutex_lock (&s.routes_lock);
  while (s.store.harmed > 0)
    g_usleep (10 * MS_US);
  check_recovery (&s);
  check_runs (&s);
  check_logs (&s);
  printf ("soak_site: requests=%d answered=%d refused=%d unknown=%d faults=%d "
          "violations=%d\n",
          s.requests, s.answered, s.refused, s.unknown, s.faults,
          s.violations);
  if (s.violations > 0)
    keep_logs (&s);
  g_atomic_int_set (&s.finished, 1);
  for (unsigned i = 0; i < INJECTORS; i++)
    g_thread_join (threads[CALLERS + i]);
  for (unsigned i = 0; i < CALLERS + INJECTORS; i++)
    g_rand_free (workers[i].rand);
  site_destroy (s.site);
  return s.violations == 0 ? 0 : 1;
}
