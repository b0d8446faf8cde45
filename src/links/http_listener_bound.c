/** @file
    Bound of the connections of callers: at the bound, a new connection takes
    the place of one that does nothing.  If there is none, it is closed, and
   one that has sent requests ahead ends after its response, so that a later
   one finds room.  */
#include "links/http_listener_conn.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"

#include <sys/resource.h>

/* Descriptors for the store, other VMs, listeners and files.  */
#define OWN_DESCRIPTORS 64U
/* Each request may need a connection to an upstream as well.  */
#define DESCRIPTORS_PER_CALLER 2U
/* Used where the process has no limit.  */
#define DESCRIPTORS_MAX 1000000U
/* A connection is not closed for a new one within this time.  */
#define LEAST_AGE_MS 100
/* Nor is a request whose head is complete within this time.  */
#define LEAST_BODY_AGE_MS 1000

unsigned
http_bound_descriptors (void)
{
  struct rlimit limit = { 0 };
  unsigned n = DESCRIPTORS_MAX;
  if (getrlimit (RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < n)
    n = (unsigned)limit.rlim_cur;
  n = n > OWN_DESCRIPTORS ? n - OWN_DESCRIPTORS : 0;
  return MAX (n / DESCRIPTORS_PER_CALLER, 1);
}

/* Which connections are closed first.  */
enum use
{
  USE_ENDING,     /* refused, or its last response is written */
  USE_NO_REQUEST, /* no complete request so far, and no complete head */
  USE_IDLE,       /* between two requests, or in the head of the next */
  USE_WAITING,    /* its body waits for memory or arrives for long */
  USE_BUSY        /* not closed */
};

static enum use
get_use (const struct http_listener_conn *c, int64_t now_ms)
{
  bool in_body
      = c->state == CONN_READING && http_codec_head (c->codec) != NULL;
  if (c->state == CONN_LINGERING)
    return USE_ENDING;
  if (c->state == CONN_RESPONDING || c->state == CONN_FLUSHING
      || now_ms - c->since_ms < LEAST_AGE_MS)
    return USE_BUSY;
  if (!in_body)
    return c->requests == 0 ? USE_NO_REQUEST : USE_IDLE;
  bool is_late = now_ms - c->request_start_ms >= LEAST_BODY_AGE_MS;
  return c->waits_for_memory || is_late ? USE_WAITING : USE_BUSY;
}

bool
http_bound_close_one (struct http_listener *f)
{
  int64_t now_ms = clock_ms ();
  struct http_listener_conn *victim = NULL;
  enum use least = USE_BUSY;
  GHashTableIter it;
  gpointer key;
  g_hash_table_iter_init (&it, f->conns);
  while (g_hash_table_iter_next (&it, &key, NULL))
    {
      struct http_listener_conn *c = key;
      enum use use = get_use (c, now_ms);
      bool is_older = victim && use == least && c->since_ms < victim->since_ms;
      if (use < least || is_older)
        {
          victim = c;
          least = use;
        }
    }
  if (victim == NULL)
    return false;
  metrics_add (METRIC_caller_connections_replaced_total, 1);
  log_event (LOG_DEBUG, "connection_replaced", "use", log_num (least),
             "age_ms", log_num (now_ms - victim->since_ms), NULL);
  http_conn_lost (victim);
  return true;
}

/* Has a connection closed after its response whose caller has sent requests
   ahead of it: it would always be busy.  Those requests have not run.  */
static void
end_one_ahead (struct http_listener *f)
{
  GHashTableIter it;
  gpointer key;
  g_hash_table_iter_init (&it, f->conns);
  while (g_hash_table_iter_next (&it, &key, NULL))
    {
      struct http_listener_conn *c = key;
      if (c->state == CONN_RESPONDING && !c->close_after_response
          && !c->head_written
          && evbuffer_get_length (bufferevent_get_input (c->bev)) > 0)
        {
          c->close_after_response = true;
          metrics_add (METRIC_caller_connections_ended_ahead_total, 1);
          log_event (LOG_DEBUG, "connection_ends_ahead", "connections",
                     log_num (g_hash_table_size (f->conns)), NULL);
          return;
        }
    }
}

bool
http_bound_make_room (struct http_listener *f)
{
  unsigned bound = MIN (f->limits.connections, f->descriptors);
  if (g_hash_table_size (f->conns) < bound || http_bound_close_one (f))
    return true;
  end_one_ahead (f);
  return false;
}
