/** @file
    Stand-in for a plain service.  Each request to /book makes a booking; the
    bookings are counted for each idempotency key ("-": no key).  GET /seen
    returns the counts.  */
#include "fakes/faults.h"

#include <string.h>

static GHashTable *runs;         /* idempotency key -> number of bookings */
static gint64 bookings, lookups; /* requests to /book and to /status */

static json_t *
runs_json (void)
{
  json_t *out = json_object ();
  GHashTableIter it;
  gpointer key, value;
  g_hash_table_iter_init (&it, runs);
  while (g_hash_table_iter_next (&it, &key, &value))
    json_object_set_new (out, key,
                         json_integer ((json_int_t)GPOINTER_TO_SIZE (value)));
  return out;
}

static void
book (struct evhttp_request *req)
{
  const char *key = evhttp_find_header (evhttp_request_get_input_headers (req),
                                        "Idempotency-Key");
  if (key == NULL)
    key = "-";
  gsize n = GPOINTER_TO_SIZE (g_hash_table_lookup (runs, key)) + 1;
  g_hash_table_replace (runs, g_strdup (key), GSIZE_TO_POINTER (n));
  bookings++;
  fake_reply_json (
      req, 201,
      json_pack ("{s:I,s:s}", "booking", (json_int_t)bookings, "key", key));
}

static void
handle (struct evhttp_request *req, const char *path, struct evkeyvalq *query)
{
  (void)query;
  if (strcmp (path, "/seen") == 0)
    fake_reply_json (req, 200,
                     json_pack ("{s:I,s:I,s:o}", "bookings",
                                (json_int_t)bookings, "lookups",
                                (json_int_t)lookups, "runs", runs_json ()));
  else if (strcmp (path, "/book") == 0)
    book (req);
  else if (strcmp (path, "/status") == 0)
    {
      lookups++;
      fake_reply_json (req, 200,
                       json_pack ("{s:I}", "bookings", (json_int_t)bookings));
    }
  else
    fake_reply (req, 404, "text/plain", "no such path\n");
}

int
main (int argc, char **argv)
{
  runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fake_run (argc, argv, handle);
  g_hash_table_destroy (runs);
  return 0;
}
