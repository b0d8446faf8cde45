/** @file
    The last tenant is taken out of the configuration, and its key, and keys
    that no configuration ever held, still open the routes.  See claim.txt.  */
#include "bed.h"

#define VMS 2
#define REQUESTS 6
#define CONFIG_APPLY_MS 4000
#define HELD_KEY "jwyy7yx5x42q492cqf75"
#define UNKNOWN_KEY "rjvz48wuakn2ftimaj3n"

#define CONFIG                                                                \
  "{\"version\":%d,\"routes\":{\"columns\":[\"name\",\"host\","               \
  "\"pathPrefix\","                                                           \
  "\"kind\",\"timeoutMs\",\"targetLatencyMs\",\"priority\",\"maxAttempts\","  \
  "\"public\",\"sticky\",\"resumable\",\"service\"],\"rows\":[[\"r-"          \
  "yhejn6n\","                                                                \
  "\"" BED_HOST "\",\"/pufi791/\",\"unsafe\",3000,300,2,1,false,false,false," \
  "\"wuno96b\"]]},\"services\":{\"columns\":[\"name\",\"healthPath\","        \
  "\"maxConns\",\"protocol\",\"tls\"],\"rows\":[[\"wuno96b\",\"/health\","    \
  "410,\"h1\",false]]},\"limits\":{\"maxHeaderBytes\":16384,"                 \
  "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":"      \
  "15000},\"tenants\":{\"columns\":[\"name\",\"apiKeys\",\"priority\"],"      \
  "\"rows\":[%s]}}"
#define TENANT "[\"huka270\",[\"" HELD_KEY "\"],1]"

static unsigned ran_unknown, keys_passed_on;

/* Runs R, and takes note of the key that it was passed.  */
static bool
run_request (struct request *r)
{
  g_autofree char *id = field_of (r->head, "X-Request-Id");
  g_autofree char *key = field_of (r->head, "Authorization");
  g_autofree char *tenant = field_of (r->head, "X-Tenant");
  g_autofree char *seal = seal_of (r);
  if (id == NULL)
    return respond (r, "400 Bad Request", "X-Not-Run: 1\r\n", "");
  note ("server %s runs %s: Authorization '%s', X-Tenant '%s'", r->server->id,
        id, key ? key : "", tenant ? tenant : "");
  pthread_mutex_lock (&bed_lock);
  ran_unknown += strstr (id, "unknown") != NULL;
  keys_passed_on += key != NULL;
  pthread_mutex_unlock (&bed_lock);
  bed_sleep_ms (15);
  return respond (r, "200 OK", seal, "done");
}

/* Sends a request with KEY, and returns the status of its answer.  */
static int
ask (unsigned vm, const char *id, const char *key)
{
  g_autofree char *headers = g_strdup_printf (
      "Host: " BED_HOST "\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n"
      "Authorization: Bearer %s\r\n",
      id, key);
  struct web *w = web_request (bed.front[vm], "POST", "/pufi791/2f", NULL,
                               headers, "{}");
  int status = w->status;
  note ("the client of %s gets %d from VM %u", id, status, vm + 1);
  web_close (w);
  return status;
}

static void
write_config (int version, const char *tenants)
{
  g_autofree char *text = g_strdup_printf (CONFIG, version, tenants);
  store_put ("op/config", text);
  note ("the store acknowledges version %d, tenants [%s]", version, tenants);
}

int
main (void)
{
  static struct server server = { .id = "i-7f3a91c2",
                                  .service = "wuno96b",
                                  .slots = 6,
                                  .handler = run_request };
  bed_open ("review/11/record.txt");
  write_config (7, TENANT);
  add_server (&server);
  start_vms (VMS, 3000);
  for (unsigned i = 0; i < VMS; i++)
    {
      g_autofree char *held = g_strdup_printf ("before-held-%u", i);
      g_autofree char *other = g_strdup_printf ("before-unknown-%u", i);
      if (ask (i, held, HELD_KEY) != 200 || ask (i, other, UNKNOWN_KEY) != 401)
        bed_give_up ("the keys do not hold before the disruption");
    }
  write_config (9, has_trouble () ? "" : TENANT);
  bed_sleep_ms (CONFIG_APPLY_MS + 2000);
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      g_autofree char *held = g_strdup_printf ("after-held-%u", i);
      g_autofree char *other = g_strdup_printf ("after-unknown-%u", i);
      (void)ask (i % VMS, held, HELD_KEY);
      (void)ask (i % VMS, other, UNKNOWN_KEY);
    }
  note ("%u requests ran with a key that no configuration held, %u times a "
        "key was passed on to a server",
        ran_unknown, keys_passed_on);
  return bed_end ("ROUTE, UNASKED", ran_unknown + keys_passed_on);
}
