#include "daemon/demand.h"

#include <string.h>

GBytes *
demand_pack (const struct demand *demand, size_t n)
{
  GByteArray *out = g_byte_array_new ();
  for (size_t i = 0; i < n; i++)
    {
      guint32 words[] = { GUINT32_TO_BE (demand[i].requests),
                          GUINT32_TO_BE (demand[i].prefill_ms),
                          GUINT32_TO_BE (demand[i].decode_ms) };
      g_byte_array_append (out, (const guint8 *)words, sizeof words);
    }
  return g_byte_array_free_to_bytes (out);
}

size_t
demand_unpack (GBytes *bytes, struct demand *out, size_t n)
{
  gsize size = 0;
  const guint8 *data = bytes ? g_bytes_get_data (bytes, &size) : NULL;
  guint32 words[3];
  size_t count = MIN (size / sizeof words, n);
  for (size_t i = 0; i < count; i++)
    {
      memcpy (words, data + i * sizeof words, sizeof words);
      out[i] = (struct demand){ GUINT32_FROM_BE (words[0]),
                                GUINT32_FROM_BE (words[1]),
                                GUINT32_FROM_BE (words[2]) };
    }
  return count;
}
