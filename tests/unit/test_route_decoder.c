/** @file
    Decoding of versions of the routes one after the other: each table is the
    same as that of a decoder without a history.  */
#include "platform/adapter.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 3
#define PREFIXES 12
#define KEYS 9
#define VERSIONS 400

static json_t *
random_route (GRand *rand)
{
  g_autofree char *host
      = g_strdup_printf ("h%d.example", g_rand_int_range (rand, 0, HOSTS));
  g_autofree char *prefix
      = g_strdup_printf ("/p%d/", g_rand_int_range (rand, 0, PREFIXES));
  return json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i}", "name", "r", "host",
                    host, "pathPrefix", prefix, "kind", "safe", "timeoutMs",
                    g_rand_int_range (rand, 1, 4), "service", "s",
                    "maxAttempts", 1);
}

static json_t *
random_account (GRand *rand)
{
  g_autofree char *name
      = g_strdup_printf ("t%d", g_rand_int_range (rand, 0, 6));
  json_t *keys = json_array ();
  for (gint n = g_rand_int_range (rand, 0, 3); n > 0; n--)
    json_array_append_new (
        keys, json_sprintf ("k%d", g_rand_int_range (rand, 0, KEYS)));
  return json_pack ("{s:s, s:o}", "name", name, "apiKeys", keys);
}

/* Replaces, adds or removes a random element of LIST.  */
static void
change (GRand *rand, json_t *list, json_t *(*element) (GRand *rand))
{
  size_t n = json_array_size (list);
  size_t at = n > 0 ? (size_t)g_rand_int_range (rand, 0, (gint)n) : 0;
  gint what = g_rand_int_range (rand, 0, 3);
  if (what == 0 || n == 0)
    json_array_insert_new (list, at, element (rand));
  else if (what == 1)
    json_array_remove (list, at);
  else
    json_array_set_new (list, at, element (rand));
}

/* Decodes TEXT with D, which may be NULL for a new decoder.  */
static struct route_table *
decode (struct route_decoder *d, const char *text)
{
  g_autoptr (GBytes) value = g_bytes_new (text, strlen (text));
  g_autoptr (GError) error = NULL;
  struct route_table *table = NULL;
  uint64_t version = 0;
  if (d == NULL)
    return platform_decode_routes (text, strlen (text), NULL);
  if (!platform_begin_routes (d, value, &version, &error))
    return NULL;
  while (platform_decode_step (d, &table, &error) == ROUTE_DECODE_MORE)
    continue;
  return table;
}

static const char *
account_name (const struct route_table *t, const char *key)
{
  const struct route_account *a = route_table_account (t, key);
  return a ? a->name : "";
}

static void
check_same (const struct route_table *a, const struct route_table *b)
{
  g_assert_cmpuint (route_table_version (a), ==, route_table_version (b));
  g_assert_cmpuint (route_table_count (a), ==, route_table_count (b));
  for (unsigned host = 0; host < HOSTS; host++)
    for (unsigned prefix = 0; prefix < PREFIXES; prefix++)
      {
        g_autofree char *name = g_strdup_printf ("h%u.example", host);
        g_autofree char *target = g_strdup_printf ("/p%u/x", prefix);
        const struct route *x = route_table_find (a, name, target);
        const struct route *y = route_table_find (b, name, target);
        g_assert_cmpint (x != NULL, ==, y != NULL);
        if (x)
          g_assert_cmpuint (x->timeout_ms, ==, y->timeout_ms);
      }
  g_assert_cmpint (route_table_requires_keys (a), ==,
                   route_table_requires_keys (b));
  for (unsigned key = 0; key < KEYS; key++)
    {
      g_autofree char *text = g_strdup_printf ("k%u", key);
      g_assert_cmpstr (account_name (a, text), ==, account_name (b, text));
    }
}

/* Returns LIST, of objects, as a table that names its columns once.  */
static json_t *
as_table (const json_t *list)
{
  static const char *const names[]
      = { "name",      "host",    "pathPrefix",  "kind",
          "timeoutMs", "service", "maxAttempts", "apiKeys" };
  json_t *columns = json_array ();
  json_t *rows = json_array ();
  size_t i;
  json_t *object;
  for (size_t k = 0; k < G_N_ELEMENTS (names); k++)
    json_array_append_new (columns, json_string (names[k]));
  json_array_foreach (list, i, object)
    {
      json_t *row = json_array ();
      for (size_t k = 0; k < G_N_ELEMENTS (names); k++)
        {
          json_t *value = json_object_get (object, names[k]);
          json_array_append_new (row,
                                 value ? json_incref (value) : json_null ());
        }
      json_array_append_new (rows, row);
    }
  return json_pack ("{s:o, s:o}", "columns", columns, "rows", rows);
}

/* Returns a version with ROUTES and ACCOUNTS; every sixth one is invalid.  */
static char *
write_version (GRand *rand, unsigned version, json_t *routes, json_t *accounts)
{
  json_t *root = json_pack ("{s:i, s:O, s:[{s:s}], s:O}", "version",
                            (int)version, "routes", routes, "services", "name",
                            "s", "tenants", accounts);
  if (g_rand_int_range (rand, 0, 6) == 0)
    json_array_append_new (json_object_get (root, "services"),
                           json_pack ("{s:i}", "name", 1));
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

/* Decodes TEXT with D, with tables in place of its arrays of objects.  */
static struct route_table *
decode_as_tables (struct route_decoder *d, const char *text)
{
  json_t *root = json_loads (text, 0, NULL);
  const char *const names[] = { "routes", "services", "tenants" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    json_object_set_new (root, names[i],
                         as_table (json_object_get (root, names[i])));
  char *tables = json_dumps (root, JSON_COMPACT);
  struct route_table *t = decode (d, tables);
  json_decref (root);
  free (tables);
  return t;
}

/* Guards against a route, a time-out or a key of a version before that a
   change leaves in force, and against one that it loses.  */
static void
test_differences_equal_whole (void)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (62);
  struct route_decoder *d = platform_create_route_decoder ();
  struct route_decoder *tables = platform_create_route_decoder ();
  json_t *routes = json_array ();
  json_t *accounts = json_array ();
  unsigned valid = 0;
  for (unsigned version = 1; version <= VERSIONS; version++)
    {
      for (gint n = g_rand_int_range (rand, 0, 5); n > 0; n--)
        {
          change (rand, routes, random_route);
          change (rand, accounts, random_account);
        }
      char *text = write_version (rand, version, routes, accounts);
      struct route_table *a = decode (d, text);
      struct route_table *b = decode (NULL, text);
      struct route_table *c = decode_as_tables (tables, text);
      g_assert_cmpint (a != NULL, ==, b != NULL);
      g_assert_cmpint (a != NULL, ==, c != NULL);
      if (a)
        {
          valid++;
          check_same (a, b);
          check_same (a, c);
        }
      route_table_unref (c);
      route_table_unref (a);
      route_table_unref (b);
      free (text);
    }
  g_assert_cmpuint (valid, >, VERSIONS / 2);
  json_decref (routes);
  json_decref (accounts);
  platform_destroy_route_decoder (d);
  platform_destroy_route_decoder (tables);
}

/* Guards against routes that are open to everybody because the list of
   accounts is there and empty, in each form and after each kind of version. */
static void
test_empty_accounts_require_keys (void)
{
  static const struct
  {
    const char *member;
    bool requires_keys;
  } versions[]
      = { { "", false },
          { ",\"tenants\":[]", true },
          { ",\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k1\"]}]", true },
          { ",\"tenants\":{\"columns\":[\"name\"],\"rows\":[]}", true },
          { "", false },
          { ",\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k1\"]}]", true },
          { ",\"tenants\":[]", true },
          { ",\"tenants\":[{\"name\":\"t\",\"apiKeys\":[]}]", true } };
  struct route_decoder *d = platform_create_route_decoder ();
  for (size_t i = 0; i < G_N_ELEMENTS (versions); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "{\"version\":%zu,\"routes\":[],\"services\":[]%s}", i,
          versions[i].member);
      struct route_table *t = decode (d, text);
      g_assert_cmpint (route_table_requires_keys (t), ==,
                       versions[i].requires_keys);
      g_assert_cmpint (route_table_account (t, "k1") != NULL, ==,
                       strstr (text, "k1") != NULL);
      g_assert_null (route_table_account (t, "k2"));
      route_table_unref (t);
    }
  platform_destroy_route_decoder (d);
}

/* Guards against a version that is dropped half decoded and leaves something
   behind in the next one.  */
static void
test_dropped_version_leaves_nothing (void)
{
  static const char dropped[]
      = "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"a\","
        "\"pathPrefix\":\"/x/\",\"kind\":\"safe\",\"service\":\"s\"}],"
        "\"services\":[]}";
  struct route_decoder *d = platform_create_route_decoder ();
  g_autoptr (GBytes) value = g_bytes_new (dropped, strlen (dropped));
  uint64_t version = 0;
  struct route_table *table = NULL;
  g_assert_true (platform_begin_routes (d, value, &version, NULL));
  g_assert_cmpint (platform_decode_step (d, &table, NULL), ==,
                   ROUTE_DECODE_MORE);
  table = decode (d, "{\"version\":2,\"routes\":[],\"services\":[]}");
  g_assert_cmpuint (route_table_version (table), ==, 2);
  g_assert_cmpuint (route_table_count (table), ==, 0);
  g_assert_null (route_table_find (table, "a", "/x/"));
  route_table_unref (table);
  platform_destroy_route_decoder (d);
}

/* Guards against a table whose rows do not fit its columns.  */
static void
test_malformed_tables (void)
{
  static const char *const malformed[]
      = { "{\"columns\":[\"name\"],\"rows\":[[\"a\",1]]}",
          "{\"columns\":[\"name\"],\"rows\":[[]]}",
          "{\"columns\":[\"name\"],\"rows\":[{\"name\":\"a\"}]}",
          "{\"columns\":[7],\"rows\":[]}",
          "{\"columns\":[\"name\"}],\"rows\":[]}",
          "{\"columns\":7,\"rows\":[]}",
          "{\"columns\":[\"name\"]}",
          "{\"rows\":[]}" };
  for (size_t i = 0; i < G_N_ELEMENTS (malformed); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "{\"version\":1,\"routes\":[],\"services\":%s}", malformed[i]);
      g_assert_null (decode (NULL, text));
    }
  struct route_table *t
      = decode (NULL, "{\"version\":1,\"routes\":[],\"services\":{"
                      "\"columns\":[\"name\"],\"rows\":[[\"a\"]]}}");
  g_assert_nonnull (route_table_service (t, "a"));
  route_table_unref (t);
}

/* Guards against a text that is no JSON and is accepted, as what is wrong with
   it stands where nothing is read.  */
static void
test_unused_members_are_checked (void)
{
  static const char *const malformed[]
      = { "{\"version\":2,\"routes\":[],\"services\":[],\"x\":[{\"a\"}]}",
          "{\"version\":2,\"routes\":[{\"a\"}],\"routes\":[],"
          "\"services\":[]}" };
  struct route_table *t = decode (
      NULL, "{\"version\":2,\"routes\":[],\"services\":[],\"x\":[{}]}");
  g_assert_nonnull (t);
  route_table_unref (t);
  for (size_t i = 0; i < G_N_ELEMENTS (malformed); i++)
    g_assert_null (decode (NULL, malformed[i]));
}

/* Guards against routes that are decoded again although they did not
   change.  */
static void
test_unchanged_routes_are_shared (void)
{
  static const char format[]
      = "{\"version\":%u,\"routes\":[{\"name\":\"r\",\"host\":\"a\","
        "\"pathPrefix\":\"/x/\",\"kind\":\"safe\",\"service\":\"s\"},"
        "{\"name\":\"q\",\"host\":\"a\",\"pathPrefix\":\"/y/\","
        "\"kind\":\"safe\",\"timeoutMs\":%u,\"service\":\"s\"}],"
        "\"services\":[]}";
  struct route_decoder *d = platform_create_route_decoder ();
  g_autofree char *first = g_strdup_printf (format, 1, 100);
  g_autofree char *second = g_strdup_printf (format, 2, 200);
  struct route_table *a = decode (d, first);
  struct route_table *b = decode (d, second);
  g_assert_true (route_table_find (a, "a", "/x/")
                 == route_table_find (b, "a", "/x/"));
  g_assert_true (route_table_find (a, "a", "/y/")
                 != route_table_find (b, "a", "/y/"));
  g_assert_cmpuint (route_table_find (a, "a", "/y/")->timeout_ms, ==, 100);
  route_table_unref (a);
  g_assert_cmpuint (route_table_find (b, "a", "/y/")->timeout_ms, ==, 200);
  g_assert_cmpstr (route_table_find (b, "a", "/x/")->name, ==, "r");
  route_table_unref (b);
  platform_destroy_route_decoder (d);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/route-decoder/differences-equal-whole",
                   test_differences_equal_whole);
  g_test_add_func ("/route-decoder/empty-accounts-require-keys",
                   test_empty_accounts_require_keys);
  g_test_add_func ("/route-decoder/dropped-version-leaves-nothing",
                   test_dropped_version_leaves_nothing);
  g_test_add_func ("/route-decoder/malformed-tables", test_malformed_tables);
  g_test_add_func ("/route-decoder/unused-members-are-checked",
                   test_unused_members_are_checked);
  g_test_add_func ("/route-decoder/unchanged-routes-are-shared",
                   test_unchanged_routes_are_shared);
  return g_test_run ();
}
