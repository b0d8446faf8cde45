#include "harness/site_soak.h"

#include <string.h>

#define ANSWER_MS 8000
#define PATIENCE_MS 2500

/* Callers.  */

static const char *const odd_directives[]
    = { "lost",  "reset", "cut",      "not-run", "busy",     "error",
        "extra", "stray", "unsigned", "garbage", "unframed", "slow" };
static const char *const plain_directives[] = { "ok", "chunked", "slow" };

/* A request's path, by chance; sets what is known of it.  */
static char *
pick_path (GRand *rand, struct record *r)
{
  unsigned kind = soak_random_below (rand, 8);
  bool odd = soak_random_below (rand, 3) == 0;
  unsigned at = soak_random_below (rand, SERVICES);
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
    return g_strdup_printf ("/%s/%s@u%u", prefix,
                            odd_directives[soak_random_below (
                                rand, G_N_ELEMENTS (odd_directives))],
                            at);
  return g_strdup_printf ("/%s/%s", prefix,
                          plain_directives[soak_random_below (
                              rand, G_N_ELEMENTS (plain_directives))]);
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

bool
soak_is_refusal (int status)
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
  if (soak_is_refusal (w->status) && seal)
    soak_violation (&s->violations,
                    "%s %s: a refusal bears an instance's mark", id, path);
}

void
soak_add_record (struct soak *s, const char *id, const struct record *r)
{
  g_mutex_lock (&s->lock);
  g_hash_table_insert (s->records, g_strdup (id), g_memdup2 (r, sizeof *r));
  g_mutex_unlock (&s->lock);
  g_atomic_int_inc (&s->requests);
  if (r->status == 200 && r->whole)
    g_atomic_int_inc (&s->answered);
  else if (soak_is_refusal (r->status))
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
                               2000 + soak_random_below (rand, 2000),
                               soak_random_below (rand, 5), "ff", 1000)
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
  r.calm = soak_path_is_healthy (s, vm, start_us);
  if (w)
    web_send_next_request (w, address, "GET", path, headers);
  else
    w = web_send_request (address, "GET", path, NULL, headers, NULL);
  web_read_response (w, ANSWER_MS);
  r.calm = r.calm && soak_path_is_healthy (s, vm, start_us);
  r.status = w->status;
  r.whole = w->whole;
  check_answer (s, w, path, id);
  soak_add_record (s, id, &r);
  if (web_is_keep_alive (w))
    return w;
  web_close (w);
  return NULL;
}

gpointer
soak_run_caller (gpointer arg)
{
  struct worker *c = arg;
  struct web *w = NULL;
  unsigned vm = 0;
  while (!g_atomic_int_get (&c->soak->stop))
    {
      if (w && soak_random_below (c->rand, 8) == 0)
        {
          web_close (w);
          w = NULL;
        }
      if (w == NULL)
        vm = soak_random_below (c->rand, VMS);
      w = run_request (c, w, vm);
      soak_sleep_ms (c->rand, 1, 20);
    }
  web_close (w);
  return NULL;
}
