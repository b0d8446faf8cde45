/** @file
    Stand-in for the platform's VM list.  PUT /v1/vms sets the list.  GET
    /v1/vms returns the list as it was lag_ms ago; lag_ms is a fault of this
    stand-in, see faults.h.  */
#include "fakes/faults.h"

#include <string.h>

struct snapshot
{
  gint64 set_us;
  char *text;
};

static GArray *snapshots; /* struct snapshot, oldest first */

/* Returns the list of lag_ms ago: the first one if all are newer, an empty
   list if none was set.  */
static const char *
lagged_list (void)
{
  gint64 limit = g_get_monotonic_time () - fault ("lag_ms") * 1000;
  const char *text = "{\"vms\":[]}";
  for (guint i = 0; i < snapshots->len; i++)
    {
      const struct snapshot *s
          = &g_array_index (snapshots, struct snapshot, i);
      if (s->set_us <= limit || i == 0)
        text = s->text;
    }
  return text;
}

static void
handle (struct evhttp_request *req, const char *path, struct evkeyvalq *query)
{
  (void)query;
  if (strcmp (path, "/v1/vms") != 0)
    fake_reply (req, 404, "text/plain", "no such path\n");
  else if (evhttp_request_get_command (req) == EVHTTP_REQ_PUT)
    {
      json_t *body = fake_body_json (req);
      struct snapshot s = { g_get_monotonic_time (),
                            body ? json_dumps (body, JSON_COMPACT) : NULL };
      json_decref (body);
      if (s.text)
        g_array_append_val (snapshots, s);
      fake_reply (req, s.text ? 200 : 400, "text/plain", "\n");
    }
  else
    fake_reply (req, 200, "application/json", lagged_list ());
}

int
main (int argc, char **argv)
{
  snapshots = g_array_new (FALSE, FALSE, sizeof (struct snapshot));
  fake_run (argc, argv, handle);
  g_array_unref (snapshots);
  return 0;
}
