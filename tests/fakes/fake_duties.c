/** @file
    Stand-in for the platform's control address: accepts the duty calls of the
    VMs.  GET /seen returns all calls in their order: path, holder, fence, body
    and the status of the response.  Faults: those of faults.h, and
      no_spot  1: answer 409 to orders of spot instances
      limited  1: answer 429 to all calls  */
#include "fakes/faults.h"

#include <string.h>

static json_t *calls; /* array of objects */

static const char *
field (struct evhttp_request *req, const char *name)
{
  const char *value
      = evhttp_find_header (evhttp_request_get_input_headers (req), name);
  return value ? value : "";
}

static int
choose_status (const json_t *body)
{
  if (fault ("limited"))
    return 429;
  if (fault ("no_spot") && json_is_true (json_object_get (body, "spot")))
    return 409;
  return body ? 200 : 400;
}

static void
handle (struct evhttp_request *req, const char *path, struct evkeyvalq *query)
{
  (void)query;
  if (strcmp (path, "/seen") == 0)
    {
      fake_reply_json (req, 200, json_pack ("{s:O}", "calls", calls));
      return;
    }
  json_t *body = fake_body_json (req);
  int status = choose_status (body);
  json_t *call = json_pack ("{s:s, s:s, s:s, s:i}", "path", path, "holder",
                            field (req, "X-Duty-Holder"), "fence",
                            field (req, "X-Fence-Token"), "status", status);
  json_object_set_new (call, "body", body ? body : json_null ());
  json_array_append_new (calls, call);
  fake_reply (req, status, "text/plain", "");
}

int
main (int argc, char **argv)
{
  calls = json_array ();
  fake_run (argc, argv, handle);
  json_decref (calls);
  return 0;
}
