/** @file
    Adapter of the users' platform: decoding of the configuration and of
    upstream entries, including malformed ones; header fields; queries for
    entry addresses; remote prefill; role orders.  */
#include "platform/adapter.h"

#include <jansson.h>
#include <string.h>

static const char config[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"r1\",\"host\":\"a.example\",\"pathPrefix\":\"/x/\","
      "\"kind\":\"streaming\",\"timeoutMs\":15000,\"targetLatencyMs\":150,"
      "\"priority\":1,\"service\":\"m\",\"maxAttempts\":2,\"sticky\":true,"
      "\"resumable\":true,\"gapAimMs\":150},"
      "{\"name\":\"r2\",\"host\":\"a.example\",\"pathPrefix\":\"/y/\","
      "\"kind\":\"unsafe\",\"timeoutMs\":2000,\"targetLatencyMs\":200,"
      "\"priority\":0,\"trafficSplit\":[{\"service\":\"p\",\"weight\":90},"
      "{\"service\":\"q\",\"weight\":10}],\"maxAttempts\":1}],"
      "\"services\":[{\"name\":\"m\",\"healthPath\":\"/health\","
      "\"maxConns\":160,\"engine\":{\"slots\":16,\"kvCapacity\":685000,"
      "\"tokenKvBytes\":18432,\"linkMbps\":550000.0,"
      "\"stageSwitchS\":2.5}}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static void
test_config (void)
{
  g_autoptr (GError) error = NULL;
  struct route_table *t
      = platform_decode_routes (config, strlen (config), &error);
  g_assert_no_error (error);
  g_assert_cmpuint (route_table_version (t), ==, 7);
  const struct route *r = route_table_find (t, "a.example", "/x/1");
  g_assert_cmpint (r->kind, ==, ROUTE_STREAM);
  g_assert_true (r->resumable && r->has_prompts && route_repeatable (r));
  g_assert_cmpuint (r->timeout_ms, ==, 15000);
  g_assert_cmpuint (r->attempts, ==, 2);
  r = route_table_find (t, "a.example", "/y/1");
  g_assert_cmpint (r->kind, ==, ROUTE_ONCE);
  g_assert_false (route_repeatable (r));
  g_assert_cmpuint (r->targets->len, ==, 2);
  const struct route_service *s = route_table_service (t, "m");
  g_assert_true (s->is_engine);
  g_assert_cmpuint (s->kv_tokens, ==, 685000);
  g_assert_cmpuint (s->kv_bytes_per_token, ==, 18432);
  g_assert_cmpfloat (s->link_mbit_per_s, ==, 550000);
  g_assert_cmpuint (s->role_change_ms, ==, 2500);
  g_assert_cmpuint (route_table_limits (t)->idle_ms, ==, 15000);
  route_table_unref (t);
}

/* Replaces the first FROM in the configuration by TO.  The result must be
   rejected with an error message that contains ERROR_LOCATION.  */
static void
expect_config_error (const char *from, const char *to,
                     const char *error_location)
{
  g_autoptr (GString) text = g_string_new (config);
  g_autoptr (GError) error = NULL;
  g_assert_cmpuint (g_string_replace (text, from, to, 1), ==, 1);
  g_assert_null (platform_decode_routes (text->str, text->len, &error));
  g_assert_nonnull (strstr (error->message, error_location));
}

/* Guards against a key that reaches an upstream, and against an account that
   callers choose themselves.  */
static void
test_accounts (void)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GString) text = g_string_new (config);
  g_string_replace (text, "\"limits\"",
                    "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\","
                    "\"k2\"],\"priority\":3},{\"name\":\"t2\","
                    "\"apiKeys\":[\"k2\",\"k3\"]},{\"name\":\"t3\","
                    "\"apiKeys\":[]}],\"limits\"",
                    1);
  g_string_replace (text, "\"maxAttempts\":2",
                    "\"maxAttempts\":2,\"public\":true", 1);
  struct route_table *t
      = platform_decode_routes (text->str, text->len, &error);
  g_assert_no_error (error);
  g_assert_true (route_table_requires_keys (t));
  g_assert_true (route_table_find (t, "a.example", "/x/")->is_public);
  g_assert_false (route_table_find (t, "a.example", "/y/")->is_public);
  const struct route_account *a = route_table_account (t, "k1");
  g_assert_cmpstr (a->name, ==, "t1");
  g_assert_true (a->has_priority && a->priority == 3);
  /* A key of two accounts stays with the first one.  */
  g_assert_true (route_table_account (t, "k2") == a);
  a = route_table_account (t, "k3");
  g_assert_cmpstr (a->name, ==, "t2");
  g_assert_false (a->has_priority);
  g_assert_null (route_table_account (t, "k"));
  g_assert_null (route_table_account (t, ""));
  g_assert_null (route_table_account (t, NULL));
  route_table_unref (t);
}

#define SCALING                                                               \
  "\"scaling\":{\"min\":1,\"max\":16,\"bootS\":4.5,\"spotPrice\":0.15,"       \
  "\"zonePrices\":{\"a\":0.8,\"b\":1.25}},"

/* Guards against orders beyond the bounds that the configuration states, and
   against orders for services whose number of instances is fixed.  */
static void
test_scaling (void)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GString) text = g_string_new (config);
  struct route_table *t
      = platform_decode_routes (text->str, text->len, &error);
  g_assert_no_error (error);
  g_assert_null (route_table_service (t, "m")->scaling.domains);
  route_table_unref (t);
  g_string_replace (text, "\"healthPath\"", SCALING "\"healthPath\"", 1);
  t = platform_decode_routes (text->str, text->len, &error);
  g_assert_no_error (error);
  const struct route_scaling *s = &route_table_service (t, "m")->scaling;
  g_assert_cmpuint (s->min, ==, 1);
  g_assert_cmpuint (s->max, ==, 16);
  g_assert_cmpuint (s->boot_ms, ==, 4500);
  g_assert_cmpfloat (s->spot_price, ==, 0.15);
  g_assert_cmpuint (s->domains->len, ==, 2);
  const struct scaling_domain *d
      = &g_array_index (s->domains, struct scaling_domain, 1);
  g_assert_cmpstr (d->name, ==, "b");
  g_assert_cmpfloat (d->price, ==, 1.25);
  route_table_unref (t);
}

/* Returns the key that is read from AUTHORIZATION, and checks that the
   caller's own account field is removed.  */
static char *
read_key (const char *authorization, const char *second)
{
  struct request_info info;
  struct http_head *h = http_head_create ();
  http_head_add (h, "X-Request-Id", "r1");
  http_head_add (h, "x-tenant", "forged");
  if (authorization)
    http_head_add (h, "Authorization", authorization);
  if (second)
    http_head_add (h, "authorization", second);
  platform_adapter.requests->read_request (h, &info);
  g_assert_null (http_head_get (h, "X-Tenant"));
  struct forwarded_info f = { .upstream = "u1", .account = "t1" };
  f.remove_key = true;
  platform_adapter.requests->set_forwarded_fields (h, &f);
  g_assert_cmpuint (http_head_count (h, "X-Tenant"), ==, 1);
  g_assert_cmpstr (http_head_get (h, "X-Tenant"), ==, "t1");
  g_assert_cmpuint (http_head_count (h, "Authorization"), ==, 0);
  http_head_destroy (h);
  g_free (info.id);
  return info.key;
}

static void
test_keys (void)
{
  g_autofree char *key = read_key ("Bearer k1", NULL);
  g_assert_cmpstr (key, ==, "k1");
  g_autofree char *spaces = read_key ("bearer  k1 ", NULL);
  g_assert_cmpstr (spaces, ==, "k1");
  g_assert_null (read_key (NULL, NULL));
  g_assert_null (read_key ("Basic azE=", NULL));
  g_assert_null (read_key ("Bearer", NULL));
  /* Which of two keys counts is undefined.  */
  g_assert_null (read_key ("Bearer k1", "Bearer k2"));
}

static void
test_bad_config (void)
{
  expect_config_error ("\"limits\"", "\"tenants\":{},\"limits\"", "tenants");
  expect_config_error ("\"limits\"",
                       "\"tenants\":[{\"name\":\"a b\"}],\"limits\"",
                       "tenants[0]: 'name'");
  expect_config_error ("\"unsafe\"", "\"once\"", "routes[1]");
  expect_config_error ("\"host\":\"a.example\"", "\"host\":5", "routes[0]");
  expect_config_error ("2000", "-1", "routes[1]: 'timeoutMs'");
  expect_config_error ("160", "\"many\"", "services[0]: 'maxConns'");
  expect_config_error ("\"healthPath\"", "\"scaling\":7,\"healthPath\"",
                       "services[0]: 'scaling'");
  expect_config_error ("\"healthPath\"",
                       "\"scaling\":{\"min\":3,\"max\":2},\"healthPath\"",
                       "services[0]: 'min'");
  expect_config_error ("\"healthPath\"",
                       "\"scaling\":{\"min\":1,\"max\":2,\"zonePrices\":"
                       "{\"a\":-1}},\"healthPath\"",
                       "services[0]: 'a'");
  expect_config_error ("\"version\":7", "\"version\":\"7\"", "version");
  expect_config_error ("}}", "}", "line 1");
}

/* Decodes TEXT as an upstream entry.  Returns whether it is valid; if not, the
   error must name the key or the line.  */
static bool
check_decode (const char *text, struct upstream_info *info)
{
  g_autoptr (GError) error = NULL;
  bool ok = platform_decode_upstream ("servers/i-1", text, strlen (text), info,
                                      &error);
  g_assert_true (ok == (error == NULL));
  if (!ok)
    g_assert_true (strstr (error->message, "servers/i-1")
                   || strstr (error->message, "line"));
  return ok;
}

static void
test_upstreams (void)
{
  struct upstream_info info;
  g_assert_true (check_decode (
      "{\"service\":\"m\",\"address\":\"10.0.0.9:8080\",\"zone\":\"a\","
      "\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"coldLeftMs\":0,"
      "\"stage\":\"decode\",\"seq\":4,\"born\":17,\"unknown\":[1]}",
      &info));
  g_assert_cmpstr (info.id, ==, "i-1");
  g_assert_cmpstr (info.address, ==, "10.0.0.9:8080");
  g_assert_cmpint (info.role, ==, UPSTREAM_DECODE);
  g_assert_cmpint (info.start_wall_ms, ==, 17);
  g_assert_false (info.leaving);
  upstream_info_clear (&info);
  static const char *const invalid[] = {
    "",
    "[]",
    "{}",
    "\xff\xfe",
    "{\"service\":\"m\",\"address\":\"10.0.0.9:8080\",\"zone\":\"a\","
    "\"state\":\"asleep\"}",
    "{\"service\":7,\"address\":\"10.0.0.9:8080\",\"zone\":\"a\","
    "\"state\":\"ready\"}",
    "{\"service\":\"m\",\"address\":\"nowhere\",\"zone\":\"a\","
    "\"state\":\"ready\"}",
    "{\"service\":\"m\",\"address\":\"10.0.0.9:8080\",\"zone\":\"a\","
    "\"state\":\"ready\",\"stage\":\"both\"}",
    "{\"service\":\"m\",\"address\":\"10.0.0.9:8080\",\"zone\":\"a\","
    "\"state\":\"ready\",\"slots\":\"six\"}",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    g_assert_false (check_decode (invalid[i], &info));
}

/* A spot instance that is reclaimed must be told from one that an order
   removes: the failure domain then has none for some seconds.  */
static void
test_spot_entries (void)
{
  static const char entry[]
      = "{\"service\":\"m\",\"address\":\"10.0.0.9:8080\",\"zone\":\"a\","
        "\"version\":\"v1\",\"slots\":1,\"coldLeftMs\":0,\"seq\":1,%s}";
  struct upstream_info info;
  g_autofree char *plain = g_strdup_printf (entry, "\"state\":\"ready\"");
  g_assert_true (check_decode (plain, &info));
  g_assert_false (info.spot || info.leaving);
  upstream_info_clear (&info);
  g_autofree char *reclaimed = g_strdup_printf (
      entry,
      "\"state\":\"draining\",\"spot\":true,\"leaves_ms\":1700000002500");
  g_assert_true (check_decode (reclaimed, &info));
  g_assert_true (info.spot && info.leaving);
  g_assert_cmpuint (info.leave_ms, ==, 1700000002500);
  upstream_info_clear (&info);
  g_autofree char *ordered
      = g_strdup_printf (entry, "\"state\":\"draining\",\"spot\":true");
  g_assert_true (check_decode (ordered, &info));
  g_assert_true (info.spot && info.leaving && info.leave_ms == 0);
  upstream_info_clear (&info);
  g_autofree char *invalid
      = g_strdup_printf (entry, "\"state\":\"ready\",\"spot\":\"yes\"");
  g_assert_false (check_decode (invalid, &info));
}

#define ENTRY(more)                                                           \
  "{\"service\":\"m\",\"address\":\"10.0.0.9:8080\",\"zone\":\"a\","          \
  "\"version\":\"v1\",\"slots\":1,\"state\":\"ready\",\"coldLeftMs\":0,"      \
  "\"seq\":1," more "}"

static void
test_odd_entry_names_no_upstream (void)
{
  static const char *const odd[] = {
    ENTRY ("\"slots\":1e300"),
    ENTRY ("\"slots\":4294967296"),
    ENTRY ("\"slots\":99999999999999999999999"),
    ENTRY ("\"slots\":-1"),
    ENTRY ("\"coldLeftMs\":1e18"),
    ENTRY ("\"born\":1e300"),
    ENTRY ("\"born\":18446744073709551615"),
    ENTRY ("\"seq\":1e20"),
    ENTRY ("\"address\":\"10.0.0.9:0\""),
    ENTRY ("\"address\":\"10.0.0.9:65536\""),
    ENTRY ("\"address\":\"10.0.0.9:99999999999999999999\""),
    ENTRY ("\"address\":\"10.0.0.9:-80\""),
    ENTRY ("\"service\":\"\""),
    ENTRY ("\"slots\":1.5"),
    ENTRY ("\"seq\":1.5"),
    ENTRY ("\"born\":1.5"),
  };
  struct upstream_info info;
  g_assert_true (check_decode (ENTRY ("\"born\":1"), &info));
  upstream_info_clear (&info);
  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      bool named = check_decode (odd[i], &info);
      g_test_message ("%s: %s", odd[i], named ? "named" : "refused");
      g_assert_false (named);
    }
}

/* Another writer's entry lacks a field, or has one of another type: it names
   no upstream until the owner writes it again.  */
static void
test_incomplete_entry_names_no_upstream (void)
{
  static const char *const required[]
      = { "service", "address", "zone", "version",
          "slots",   "state",   "seq",  "coldLeftMs" };
  static const char *const other_types[]
      = { "null", "true", "[]", "{}", "[1]", "{\"a\":\"b\"}" };
  struct upstream_info info;
  for (size_t i = 0; i < G_N_ELEMENTS (required); i++)
    {
      json_t *entry = json_loads (ENTRY ("\"born\":1"), 0, NULL);
      json_object_del (entry, required[i]);
      char *text = json_dumps (entry, 0);
      g_test_message ("without %s", required[i]);
      g_assert_false (check_decode (text, &info));
      free (text);
      for (size_t k = 0; k < G_N_ELEMENTS (other_types); k++)
        {
          json_object_set_new (
              entry, required[i],
              json_loads (other_types[k], JSON_DECODE_ANY, NULL));
          text = json_dumps (entry, 0);
          g_test_message ("%s: %s", required[i], other_types[k]);
          g_assert_false (check_decode (text, &info));
          free (text);
        }
      json_decref (entry);
    }
}

static void
test_deeply_nested_entry_names_no_upstream (void)
{
  g_autoptr (GString) text = g_string_new (NULL);
  struct upstream_info info;
  for (unsigned i = 0; i < 500000; i++)
    g_string_append (text, "{\"a\":[");
  g_assert_false (check_decode (text->str, &info));
}

/* The id goes into a header field of each request to the upstream.  */
static void
test_id_with_line_break_names_no_upstream (void)
{
  static const char *const keys[]
      = { "servers/", "servers/i-1\r\nX-Kv-Hold: 1", "servers/i 1",
          "servers/i\t1" };
  struct upstream_info info;
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      g_autoptr (GError) error = NULL;
      const char *text = ENTRY ("\"slots\":1");
      g_assert_false (platform_decode_upstream (keys[i], text, strlen (text),
                                                &info, &error));
      g_assert_nonnull (error);
    }
}

/* Header fields that only buckthornd may set are removed from a caller's
   request, so that a caller cannot forge them.  */
static void
test_request_fields (void)
{
  static const char *const reserved_fields[]
      = { "X-Stage",  "X-Kv-Source",       "X-Kv-Hold",
          "X-Pin-Ms", "X-Kv-Backup",       "X-Expect-Instance",
          "Kv-Fetch", "X-Request-Urgency", "x-expect-version" };
  struct http_head *h = http_head_create ();
  struct request_info info;
  http_head_add (h, "X-Request-Id", "9c41");
  http_head_add (h, "X-Deadline-Ms", "2000");
  http_head_add (h, "X-Token-Counts", "1460,80");
  http_head_add (h, "X-Length-Hint", "37");
  http_head_add (h, "X-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,e4:250");
  for (size_t i = 0; i < G_N_ELEMENTS (reserved_fields); i++)
    http_head_add (h, reserved_fields[i], "1");
  platform_adapter.requests->read_request (h, &info);
  g_assert_cmpstr (info.id, ==, "9c41");
  g_assert_cmpint (info.caller_timeout_ms, ==, 2000);
  g_assert_true (info.has_prompt);
  g_assert_cmpuint (info.prompt.n_parts, ==, 3);
  g_assert_cmpuint (info.prompt.parts[1].id, ==, 0x91bd3f06);
  g_assert_cmpuint (info.prompt.tokens, ==, 1460);
  g_assert_cmpuint (info.prompt.out_tokens, ==, 80);
  g_assert_cmpuint (info.prompt.length_hint, ==, 37);
  for (size_t i = 0; i < G_N_ELEMENTS (reserved_fields); i++)
    g_assert_null (http_head_get (h, reserved_fields[i]));
  struct forwarded_info forwarded
      = { .upstream = "i-1", .caller_timeout_ms = 1500 };
  platform_adapter.requests->set_forwarded_fields (h, &forwarded);
  g_assert_cmpstr (http_head_get (h, "X-Expect-Instance"), ==, "i-1");
  g_assert_cmpstr (http_head_get (h, "X-Deadline-Ms"), ==, "1500");
  g_assert_null (http_head_get (h, "X-Stage"));
  g_assert_cmpstr (http_head_get (h, "X-Token-Counts"), ==, "1460,80");
  g_free (info.id);
  http_head_destroy (h);
}

/* X-Not-Run or status 421 says that the upstream did not run the request;
   status 503 alone does not.  */
static void
test_response_fields (void)
{
  struct http_head *h = http_head_create ();
  struct response_info info;
  h->status = 503;
  platform_adapter.requests->read_response (h, &info);
  g_assert_false (info.not_run);
  http_head_add (h, "X-Not-Run", "1");
  platform_adapter.requests->read_response (h, &info);
  g_assert_true (info.not_run);
  http_head_remove (h, "X-Not-Run");
  h->status = 421;
  platform_adapter.requests->read_response (h, &info);
  g_assert_true (info.not_run);
  platform_adapter.requests->set_retry_after (h, 1250);
  g_assert_cmpstr (http_head_get (h, "Retry-After"), ==, "1.250");
  http_head_destroy (h);
}

/* Retry-After counts in a 503 only, and absurd values are bounded; the mark of
   an upstream that is leaving does not count in a response from another
   instance at its address.  */
static void
test_upstream_statements (void)
{
  static const struct
  {
    const char *text;
    unsigned ms;
  } cases[] = { { "2", 2000 },
                { "0.25", 250 },
                { "0", 0 },
                { "-3", 0 },
                { "nan", 0 },
                { "soon", 0 },
                { "", 0 },
                { "inf", HTTP_RETRY_AFTER_MAX_MS },
                { "31536000", HTTP_RETRY_AFTER_MAX_MS } };
  struct response_info info;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct http_head *h = http_head_create ();
      http_head_add (h, "Retry-After", cases[i].text);
      h->status = 503;
      platform_adapter.requests->read_response (h, &info);
      g_assert_cmpuint (info.retry_after_ms, ==, cases[i].ms);
      g_assert_false (info.leaving);
      h->status = 200;
      http_head_add (h, "Server-Leaving", "1");
      platform_adapter.requests->read_response (h, &info);
      g_assert_cmpuint (info.retry_after_ms, ==, 0);
      g_assert_true (info.leaving);
      h->status = 421;
      platform_adapter.requests->read_response (h, &info);
      g_assert_false (info.leaving);
      http_head_destroy (h);
    }
}

/* A limit is a decimal number, stated once; only a success of the upstream
   itself tells by its absence that there is none.  */
static void
test_stated_limits (void)
{
  static const struct
  {
    const char *text;
    enum limit_statement limit;
    double per_s;
  } cases[] = { { "7.3", LIMIT_STATED, 7.3 },
                { "0", LIMIT_STATED, 0 },
                { "12", LIMIT_STATED, 12 },
                { "", LIMIT_UNKNOWN, 0 },
                { "nan", LIMIT_UNKNOWN, 0 },
                { "-3", LIMIT_UNKNOWN, 0 },
                { "inf", LIMIT_UNKNOWN, 0 },
                { "1e9", LIMIT_UNKNOWN, 0 },
                { "0x10", LIMIT_UNKNOWN, 0 },
                { "4, 5", LIMIT_UNKNOWN, 0 },
                { "4.5.6", LIMIT_UNKNOWN, 0 },
                { ".", LIMIT_UNKNOWN, 0 },
                { "9999999", LIMIT_UNKNOWN, 0 },
                { "1000000000000000000000000000", LIMIT_UNKNOWN, 0 } };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct response_info info = { 0 };
      struct http_head *h = http_head_create ();
      h->status = 200;
      http_head_add (h, "X-Response-Seal", "s");
      platform_adapter.requests->read_response (h, &info);
      g_assert_cmpint (info.limit, ==, LIMIT_NONE);
      http_head_add (h, "Server-Limit", cases[i].text);
      platform_adapter.requests->read_response (h, &info);
      g_assert_cmpint (info.limit, ==, cases[i].limit);
      if (cases[i].limit == LIMIT_STATED)
        g_assert_cmpfloat (info.limit_per_s, ==, cases[i].per_s);
      h->status = 421;
      platform_adapter.requests->read_response (h, &info);
      g_assert_cmpint (info.limit, ==, LIMIT_UNKNOWN);
      h->status = 200;
      http_head_add (h, "Server-Limit", "8");
      platform_adapter.requests->read_response (h, &info);
      g_assert_cmpint (info.limit, ==, LIMIT_UNKNOWN);
      http_head_remove (h, "Server-Limit");
      h->status = 503;
      platform_adapter.requests->read_response (h, &info);
      g_assert_cmpint (info.limit, ==, LIMIT_UNKNOWN);
      http_head_destroy (h);
    }
}

static void
test_entry_query (void)
{
  struct http_head *h = http_head_create ();
  struct entry_query q;
  h->method = g_strdup ("GET");
  h->target = g_strdup ("/api/resolve?name=a.example&region=r&zone=z%2Da");
  g_assert_true (platform_adapter.read_entry_query (h, &q));
  g_assert_cmpstr (q.host, ==, "a.example");
  g_assert_cmpstr (q.region, ==, "r");
  g_assert_cmpstr (q.failure_domain, ==, "z-a");
  g_free (q.host);
  g_free (q.region);
  g_free (q.failure_domain);
  g_assert_false (platform_adapter.is_readiness_probe (h));
  http_head_destroy (h);
  g_autoptr (GPtrArray) addresses = g_ptr_array_new ();
  g_ptr_array_add (addresses, (char *)"10.0.0.1:80");
  g_autofree char *body = platform_adapter.write_entry_response (addresses, 2);
  g_assert_cmpstr (body, ==, "{\"addrs\":[\"10.0.0.1:80\"],\"ttlS\":2.0}");
}

/* The body of a prefill response names the KV cache to fetch, which DELETE
   releases.  */
static void
test_prefill_handle (void)
{
  static const char body[] = "{\"kvHandle\":\"3fa0\",\"tokens\":1460}";
  g_autofree char *handle = platform_adapter.requests->parse_prefill_handle (
      "10.0.0.9:8080", body, strlen (body));
  g_assert_cmpstr (handle, ==, "10.0.0.9:8080/3fa0");
  struct http_head *h
      = platform_adapter.requests->build_prefill_release (handle);
  g_assert_cmpstr (h->method, ==, "DELETE");
  g_assert_cmpstr (h->target, ==, "/api/kv-handle/3fa0");
  http_head_destroy (h);
  static const char *const invalid[]
      = { "{}", "{\"kvHandle\":7}", "{\"kvHandle\":\"\"}",
          "{\"kvHandle\":\"3f HTTP/1.1\\r\\nX-Kv-Hold: 1\"}" };
  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    g_assert_null (platform_adapter.requests->parse_prefill_handle (
        "10.0.0.9:8080", invalid[i], strlen (invalid[i])));
}

/* A role order names its engine, so that no other engine that got the same
   address executes it.  */
static void
test_role_order (void)
{
  struct upstream_info info
      = { .id = (char *)"i-1", .address = (char *)"10.0.0.1:80" };
  g_autofree char *body = NULL;
  struct http_head *h = platform_adapter.write_role_order (
      &info, UPSTREAM_PREFILL, "vm-a", 5000000000, &body);
  json_t *root = json_loads (body, 0, NULL);
  g_assert_cmpstr (h->method, ==, "POST");
  g_assert_cmpstr (h->target, ==, "/api/order");
  g_assert_cmpstr (http_head_get (h, "X-Expect-Instance"), ==, "i-1");
  g_assert_cmpstr (json_string_value (json_object_get (root, "op")), ==,
                   "stage");
  g_assert_cmpstr (json_string_value (json_object_get (root, "stage")), ==,
                   "prefill");
  g_assert_cmpstr (json_string_value (json_object_get (root, "holder")), ==,
                   "vm-a");
  g_assert_cmpint (json_integer_value (json_object_get (root, "fence")), ==,
                   5000000000);
  json_decref (root);
  http_head_destroy (h);
}

/* Checks the body of the order for DESIRED instances, SPOT or regular.  */
static void
check_scale_order (unsigned desired, bool spot)
{
  struct scale_order order = {
    .service = "m", .failure_domain = "a", .spot = spot, .desired = desired
  };
  g_autofree char *body = NULL;
  struct http_head *h = platform_adapter.write_scale_order (&order, &body);
  json_t *root = json_loads (body, 0, NULL);
  g_assert_cmpstr (h->method, ==, "POST");
  g_assert_cmpstr (h->target, ==, "/scale");
  g_assert_cmpstr (json_string_value (json_object_get (root, "service")), ==,
                   "m");
  g_assert_cmpstr (json_string_value (json_object_get (root, "zone")), ==,
                   "a");
  g_assert_cmpint (json_integer_value (json_object_get (root, "desired")), ==,
                   desired);
  /* An order without the field is one for regular instances.  */
  g_assert_true (spot ? json_is_true (json_object_get (root, "spot"))
                      : json_object_get (root, "spot") == NULL);
  json_decref (root);
  http_head_destroy (h);
}

static void
test_scale_order (void)
{
  check_scale_order (6, false);
  check_scale_order (0, true);
}

/* The fields and the body of a usage report as the platform expects them; a
   window without requests has empty counts.  */
static void
test_usage_report (void)
{
  g_autoptr (GArray) totals
      = g_array_new (FALSE, FALSE, sizeof (struct usage_total));
  g_autofree char *empty
      = platform_adapter.write_usage_report (353445120, totals);
  g_assert_cmpstr (empty, ==, "{\"window\":353445120,\"counts\":{}}");
  struct usage_total values[] = { { "huka270", 412 }, { "puhu251", 3 } };
  g_array_append_vals (totals, values, 2);
  g_autofree char *body
      = platform_adapter.write_usage_report (353445120, totals);
  g_assert_cmpstr (body, ==,
                   "{\"window\":353445120,"
                   "\"counts\":{\"huka270\":412,\"puhu251\":3}}");
  g_assert_cmpstr (platform_adapter.usage_path, ==, "/usage");
  struct http_head *h = http_head_create ();
  platform_adapter.set_duty_fields (h, "front-erie-a-1", 12);
  g_assert_cmpstr (http_head_get (h, "X-Duty-Holder"), ==, "front-erie-a-1");
  g_assert_cmpstr (http_head_get (h, "X-Fence-Token"), ==, "12");
  http_head_destroy (h);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform/config", test_config);
  g_test_add_func ("/platform/bad-config", test_bad_config);
  g_test_add_func ("/platform/accounts", test_accounts);
  g_test_add_func ("/platform/keys", test_keys);
  g_test_add_func ("/platform/upstreams", test_upstreams);
  g_test_add_func ("/platform/odd-entry-names-no-upstream",
                   test_odd_entry_names_no_upstream);
  g_test_add_func ("/platform/incomplete-entry-names-no-upstream",
                   test_incomplete_entry_names_no_upstream);
  g_test_add_func ("/platform/deeply-nested-entry-names-no-upstream",
                   test_deeply_nested_entry_names_no_upstream);
  g_test_add_func ("/platform/id-with-line-break-names-no-upstream",
                   test_id_with_line_break_names_no_upstream);
  g_test_add_func ("/platform/request-fields", test_request_fields);
  g_test_add_func ("/platform/answer-fields", test_response_fields);
  g_test_add_func ("/platform/upstream-statements", test_upstream_statements);
  g_test_add_func ("/platform/stated-limits", test_stated_limits);
  g_test_add_func ("/platform/entry-query", test_entry_query);
  g_test_add_func ("/platform/prefill-handle", test_prefill_handle);
  g_test_add_func ("/platform/role-order", test_role_order);
  g_test_add_func ("/platform/scaling", test_scaling);
  g_test_add_func ("/platform/spot-entries", test_spot_entries);
  g_test_add_func ("/platform/scale-order", test_scale_order);
  g_test_add_func ("/platform/usage-report", test_usage_report);
  return g_test_run ();
}
