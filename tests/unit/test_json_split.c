/** @file
    Splitting of JSON texts: the outline and the parts are valid exactly if the
    text is, and put together they are the text.  */
#include "base/json_split.h"

#include <jansson.h>
#include <stdbool.h>
#include <string.h>

/* Returns whether SIZE bytes of TEXT are one JSON value.  */
static bool
is_json (const char *text, size_t size)
{
  json_t *value = json_loadb (text, size, JSON_DECODE_ANY, NULL);
  json_decref (value);
  return value != NULL;
}

/* Returns whether the outline and all parts of TEXT are JSON.  */
static bool
split_is_json (const char *text, size_t size, guint *parts)
{
  struct json_split *s = json_split_elements (text, size);
  bool all = is_json (s->outline->str, s->outline->len);
  for (guint i = 0; i < s->parts->len; i++)
    {
      const struct json_part *part
          = &g_array_index (s->parts, struct json_part, i);
      all = all && is_json (part->text, part->size);
    }
  *parts = s->parts->len;
  json_split_free (s);
  return all;
}

static void
check_elements (const char *text, guint parts)
{
  guint n = 0;
  g_assert_cmpint (split_is_json (text, strlen (text), &n), ==,
                   is_json (text, strlen (text)));
  g_assert_cmpuint (n, ==, parts);
}

static void
test_elements (void)
{
  check_elements ("{\"a\":[{\"x\":[1,2]},\"],}\",3],\"b\":[],\"c\":[4]}", 4);
  check_elements ("{\"a\" : [ {\"x\":\"\\\"]\"} , 2 ] }", 2);
  check_elements ("{\"a\":{\"b\":[1,2],\"c\":[[3]]}}", 3);
  check_elements ("{\"a\":{\"b\":{\"c\":[1,2]}}}", 0);
  check_elements ("[[1],[2,3]]", 3);
  check_elements ("{\"a\":[1{\"x\":2}]}", 1);
  check_elements ("{\"a\":[1 2]}", 1);
  check_elements ("{\"a\":[1,,2]}", 2);
  check_elements ("{\"a\":[1,]}", 1);
  check_elements ("{\"a\":[{]}", 1);
  check_elements ("{\"a\":[{\"x\":1]]}", 1);
  check_elements ("{\"a\":[1}", 1);
  check_elements ("{\"a\":[\"x", 1);
  check_elements ("{\"a\":[\"x\\", 1);
  check_elements ("{\"a\":[:]}", 1);
  check_elements ("{\"a", 0);
  check_elements ("", 0);
  json_split_free (json_split_elements (NULL, 0));
}

/* Guards against a text that is accepted because of the way in which it was
   split, and against one that is refused.  */
static void
test_random_texts (void)
{
  static const char pieces[] = "{}[],:\"\\ a1\n";
  g_autoptr (GRand) rand = g_rand_new_with_seed (62);
  unsigned valid = 0;
  for (unsigned round = 0; round < 200000; round++)
    {
      char text[64] = "{\"k\":[";
      size_t size = strlen (text);
      for (gint n = g_rand_int_range (rand, 0, 8); n > 0; n--)
        text[size++] = pieces[g_rand_int_range (rand, 0, sizeof pieces - 1)];
      text[size++] = ']';
      text[size++] = '}';
      guint parts = 0;
      bool expected = is_json (text, size);
      valid += expected;
      if (split_is_json (text, size, &parts) != expected)
        g_error ("split changes the validity of %.*s", (int)size, text);
    }
  g_assert_cmpuint (valid, >, 1000);
}

static void
test_strings (void)
{
  static const char text[]
      = "{\"long name\":1,\"a\":\"0123456789\",\"b\":\"0123\\n6789\","
        "\"c\":\"short\",\"d\":\"9876543210\"}";
  struct json_split *s = json_split_strings (text, strlen (text), 8);
  g_assert_cmpstr (s->outline->str, ==,
                   "{\"long name\":1,\"a\":0,\"b\":\"0123\\n6789\","
                   "\"c\":\"short\",\"d\":1}");
  g_assert_cmpuint (s->parts->len, ==, 2);
  const struct json_part *d = &g_array_index (s->parts, struct json_part, 1);
  g_assert_cmpuint (d->size, ==, 10);
  g_assert_cmpint (strncmp (d->text, "9876543210", 10), ==, 0);
  json_split_free (s);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/json-split/elements", test_elements);
  g_test_add_func ("/json-split/random-texts", test_random_texts);
  g_test_add_func ("/json-split/strings", test_strings);
  return g_test_run ();
}
