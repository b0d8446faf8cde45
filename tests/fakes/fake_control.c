/** @file
    Stand-in for the platform's control address, which takes duty calls.

    POST /usage                 a usage report, kept with its header fields and
                                the time of its arrival
    GET /seen                   {"reports": [{"holder", "fence", "window",
                                "counts", "at_ms", "status"}, ...]} in the
   order of arrival

    Fault of its own: status, the status of responses to duty calls, 0 for
    200.  */
#include "fakes/faults.h"

#define MS_PER_US 1000

static json_t *reports;

static void
add_field (json_t *report, struct evhttp_request *req, const char *name,
           const char *field)
{
  const char *value
      = evhttp_find_header (evhttp_request_get_input_headers (req), field);
  json_object_set_new (report, name, json_string (value ? value : ""));
}

static void
post_usage (struct evhttp_request *req)
{
  json_t *report = fake_body_json (req);
  int status = fault ("status") ? (int)fault ("status") : 200;
  if (!json_is_object (report))
    {
      json_decref (report);
      fake_reply (req, 400, "text/plain", "no report\n");
      return;
    }
  add_field (report, req, "holder", "X-Duty-Holder");
  add_field (report, req, "fence", "X-Fence-Token");
  json_object_set_new (report, "at_ms",
                       json_integer (g_get_real_time () / MS_PER_US));
  json_object_set_new (report, "status", json_integer (status));
  json_array_append_new (reports, report);
  fake_reply (req, status, "application/json", "{}");
}

static void
handle (struct evhttp_request *req, const char *path, struct evkeyvalq *query)
{
  (void)query;
  if (reports == NULL)
    reports = json_array ();
  if (g_strcmp0 (path, "/usage") == 0)
    post_usage (req);
  else if (g_strcmp0 (path, "/seen") == 0)
    fake_reply_json (req, 200, json_pack ("{s:O}", "reports", reports));
  else
    fake_reply (req, 404, "text/plain", "no such path\n");
}

int
main (int argc, char **argv)
{
  fake_run (argc, argv, handle);
  return 0;
}
