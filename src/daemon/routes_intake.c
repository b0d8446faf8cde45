#include "daemon/routes_intake.h"

#include "base/log.h"
#include "base/metrics.h"

/* Most versions that wait.  Older ones matter only if all later ones are
   invalid.  */
#define WAITING_MAX 4

/* A version that waits to be decoded.  */
struct candidate
{
  GBytes *value;
  int64_t revision;
};

struct routes_intake
{
  const struct platform_ops *platform;
  struct route_decoder *decoder;
  struct slices *slices;
  routes_intake_cb *on_routes;
  void *arg;
  GQueue waiting;   /* struct candidate, newest first */
  bool decoding;    /* a version is being decoded */
  int64_t revision; /* of that version */
  uint64_t decoded; /* its number */
  bool has_routes;  /* a version is in force */
  uint64_t version; /* its number */
};

static void
candidate_free (void *p)
{
  struct candidate *c = p;
  g_bytes_unref (c->value);
  g_free (c);
}

/* Returns the number of the version in force; -1 for none.  */
static long long
previous_version (const struct routes_intake *i)
{
  return i->has_routes ? (long long)i->version : -1;
}

static void
log_passed_over (const struct routes_intake *i)
{
  log_event (LOG_INFO, "routes_passed_over", "version",
             log_num ((long long)i->decoded), "previous_version",
             log_num (previous_version (i)), "revision", log_num (i->revision),
             NULL);
}

static void
log_in_force (const struct routes_intake *i, const struct route_table *table)
{
  log_event (LOG_INFO, "routes_in_force", "version",
             log_num ((long long)i->decoded), "previous_version",
             log_num (previous_version (i)), "revision", log_num (i->revision),
             "routes", log_num (route_table_count (table)), "accounts",
             log_num (route_table_count_accounts (table)), "keys_required",
             route_table_requires_keys (table) ? "true" : "false", NULL);
}

static void
log_malformed (const struct routes_intake *i, const GError *error)
{
  log_event (LOG_ERROR, "routes_malformed", "key", i->platform->routes_key,
             "revision", log_num (i->revision), "error", error->message, NULL);
}

/* Begins to decode C.  Returns false if it is invalid or not newer than the
   version in force.  */
static bool
begin (struct routes_intake *i, const struct candidate *c)
{
  g_autoptr (GError) error = NULL;
  i->revision = c->revision;
  if (!i->platform->begin_routes (i->decoder, c->value, &i->decoded, &error))
    {
      log_malformed (i, error);
      return false;
    }
  if (!i->has_routes || i->decoded > i->version)
    return true;
  log_passed_over (i);
  return false;
}

/* Begins with the newest candidate that can be taken.  Returns whether there
   is one.  */
static bool
begin_next (struct routes_intake *i)
{
  while (!i->decoding && !g_queue_is_empty (&i->waiting))
    {
      struct candidate *c = g_queue_pop_head (&i->waiting);
      i->decoding = begin (i, c);
      candidate_free (c);
    }
  return i->decoding;
}

/* Puts TABLE in force.  What is older than it need not be decoded.  */
static void
put_in_force (struct routes_intake *i, struct route_table *table)
{
  log_in_force (i, table);
  struct candidate *c;
  while ((c = g_queue_peek_tail (&i->waiting)) != NULL
         && c->revision < i->revision)
    {
      log_event (LOG_INFO, "routes_superseded", "revision",
                 log_num (c->revision), NULL);
      candidate_free (g_queue_pop_tail (&i->waiting));
    }
  i->has_routes = true;
  i->version = i->decoded;
  metrics_set (METRIC_routes_version, (int64_t)i->version);
  i->on_routes (i->arg, table);
}

/* Decodes one element.  */
static bool
step (void *arg)
{
  struct routes_intake *i = arg;
  g_autoptr (GError) error = NULL;
  struct route_table *table = NULL;
  if (!begin_next (i))
    return false;
  switch (i->platform->decode_step (i->decoder, &table, &error))
    {
    case ROUTE_DECODE_MORE:
      return true;
    case ROUTE_DECODE_DONE:
      i->decoding = false;
      put_in_force (i, table);
      break;
    case ROUTE_DECODE_FAILED:
      i->decoding = false;
      log_malformed (i, error);
      break;
    }
  return !g_queue_is_empty (&i->waiting);
}

struct routes_intake *
routes_intake_create (struct event_base *base, struct loop_clock *clock,
                      const struct platform_ops *platform,
                      routes_intake_cb *on_routes, void *arg)
{
  struct routes_intake *i = g_new0 (struct routes_intake, 1);
  i->platform = platform;
  i->decoder = platform->create_route_decoder ();
  i->slices = slices_create (base, clock, "routes", step, i);
  i->on_routes = on_routes;
  i->arg = arg;
  g_queue_init (&i->waiting);
  return i;
}

void
routes_intake_destroy (struct routes_intake *i)
{
  if (i == NULL)
    return;
  slices_destroy (i->slices);
  i->platform->destroy_route_decoder (i->decoder);
  g_queue_clear_full (&i->waiting, candidate_free);
  g_free (i);
}

void
routes_intake_add (struct routes_intake *i, GBytes *value, int64_t revision)
{
  struct candidate *c = g_new (struct candidate, 1);
  *c = (struct candidate){ g_bytes_ref (value), revision };
  g_queue_push_head (&i->waiting, c);
  if (g_queue_get_length (&i->waiting) > WAITING_MAX)
    candidate_free (g_queue_pop_tail (&i->waiting));
}

void
routes_intake_start (struct routes_intake *i)
{
  if (i->decoding || g_queue_is_empty (&i->waiting))
    return;
  const struct candidate *newest = g_queue_peek_head (&i->waiting);
  slices_start (i->slices, g_bytes_get_size (newest->value));
}

bool
routes_intake_has_routes (const struct routes_intake *i)
{
  return i->has_routes;
}
