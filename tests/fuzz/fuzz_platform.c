/** @file
    Fuzz target: values in the platform store, and header fields of requests.
    Decoding must give either a value or an error, never both.  A request
    must not get more than PROMPT_PARTS_MAX prompt parts.  */
#include "platform/adapter.h"

#include <string.h>

/* libFuzzer requires this name.  NOLINTNEXTLINE */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
try_routes (const uint8_t *data, size_t size)
{
  g_autoptr (GError) error = NULL;
  struct route_table *t = platform_decode_routes (data, size, &error);
  if ((t == NULL) != (error != NULL))
    __builtin_trap ();
  if (t)
    (void)route_table_find (t, "a.example:80", "/x/y");
  route_table_unref (t);
}

static void
try_upstream (const uint8_t *data, size_t size)
{
  g_autoptr (GError) error = NULL;
  struct upstream_info info;
  bool ok
      = platform_decode_upstream ("servers/i-1", data, size, &info, &error);
  if (ok == (error != NULL))
    __builtin_trap ();
  if (ok)
    upstream_info_clear (&info);
}

static void
try_fields (const uint8_t *data, size_t size)
{
  static const char *const names[] = { "X-Request-Id", "X-Deadline-Ms",
                                       "X-Token-Counts", "X-Prompt-Prefix" };
  g_autofree char *text = g_strndup ((const char *)data, size);
  struct http_head *h = http_head_create ();
  struct request_info info;
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    http_head_add (h, names[i], text);
  platform_adapter.requests->read_request (h, &info);
  if (info.prompt.n_parts > PROMPT_PARTS_MAX)
    __builtin_trap ();
  g_free (info.id);
  http_head_destroy (h);
  char *handle = platform_adapter.requests->parse_prefill_handle (
      "127.0.0.1:1", data, size);
  g_free (handle);
}

/* NOLINTNEXTLINE */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  try_routes (data, size);
  try_upstream (data, size);
  try_fields (data, size);
  return 0;
}
