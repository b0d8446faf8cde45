/** @file
    Fuzz target: two versions of the routes, separated by a zero byte.  Decoded
    after the first, the second must give the same as decoded alone; and what
    is decoded must be JSON as a whole.  */
#include "platform/adapter.h"

#include <jansson.h>
#include <string.h>

/* libFuzzer requires this name.  NOLINTNEXTLINE */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static struct route_table *
decode (struct route_decoder *d, const uint8_t *data, size_t size)
{
  g_autoptr (GBytes) value = g_bytes_new (data, size);
  g_autoptr (GError) error = NULL;
  struct route_table *table = NULL;
  uint64_t version = 0;
  if (platform_begin_routes (d, value, &version, &error))
    while (platform_decode_step (d, &table, &error) == ROUTE_DECODE_MORE)
      continue;
  if ((table == NULL) != (error != NULL))
    __builtin_trap ();
  return table;
}

static void
check_is_json (const uint8_t *data, size_t size)
{
  json_t *root = json_loadb ((const char *)data, size, 0, NULL);
  if (!json_is_object (root))
    __builtin_trap ();
  json_decref (root);
}

static void
check_same (const struct route_table *a, const struct route_table *b)
{
  if ((a == NULL) != (b == NULL))
    __builtin_trap ();
  if (a == NULL)
    return;
  const struct route *x = route_table_find (a, "a.example", "/x/y");
  const struct route *y = route_table_find (b, "a.example", "/x/y");
  if (route_table_version (a) != route_table_version (b)
      || route_table_count (a) != route_table_count (b)
      || route_table_requires_keys (a) != route_table_requires_keys (b)
      || (x == NULL) != (y == NULL) || (x && strcmp (x->name, y->name) != 0)
      || (route_table_account (a, "k1") == NULL)
             != (route_table_account (b, "k1") == NULL))
    __builtin_trap ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const uint8_t *zero = size > 0 ? memchr (data, 0, size) : NULL;
  size_t first = zero ? (size_t)(zero - data) : 0;
  const uint8_t *second = zero ? zero + 1 : data;
  size_t rest = size - (size_t)(second - data);
  struct route_decoder *d = platform_create_route_decoder ();
  struct route_decoder *fresh = platform_create_route_decoder ();
  route_table_unref (decode (d, data, first));
  struct route_table *a = decode (d, second, rest);
  struct route_table *b = decode (fresh, second, rest);
  check_same (a, b);
  if (a)
    check_is_json (second, rest);
  route_table_unref (a);
  route_table_unref (b);
  platform_destroy_route_decoder (d);
  platform_destroy_route_decoder (fresh);
  return 0;
}
