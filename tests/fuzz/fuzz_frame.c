/** @file
    Fuzz target: frames from a peer.  A decoded frame must encode to a frame
    that decodes in full, and that encodes to the same bytes again.  Bytes that
    are not a frame must give an error result.  */
#include "links/frame.h"

#include <string.h>

/* libFuzzer requires this name.  NOLINTNEXTLINE */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* NOLINTNEXTLINE */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct frame f = { 0 };
  struct frame again = { 0 };
  enum result result = RESULT_OK;
  gssize used = frame_decode (data, size, &f, &result);
  if (used > 0)
    {
      GByteArray *out = g_byte_array_new ();
      GByteArray *twice = g_byte_array_new ();
      frame_encode (f.type, f.message, out);
      if (frame_decode (out->data, out->len, &again, &result)
          != (gssize)out->len)
        __builtin_trap ();
      frame_encode (again.type, again.message, twice);
      if (out->len != twice->len
          || memcmp (out->data, twice->data, out->len) != 0)
        __builtin_trap ();
      g_byte_array_unref (out);
      g_byte_array_unref (twice);
    }
  else if (used < 0 && result == RESULT_OK)
    __builtin_trap ();
  frame_clear (&f);
  frame_clear (&again);
  return 0;
}
