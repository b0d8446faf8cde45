#include "links/frame.h"

#include "config.h"

#include <string.h>

void
frame_encode (unsigned type, const void *message, GByteArray *out)
{
  guint start = out->len;
  guint8 header[FRAME_HEADER_BYTES] = { 0, 0, 0, 0, FRAME_VERSION, 0 };
  header[5] = (guint8)type;
  g_byte_array_append (out, header, sizeof header);
  record_encode (message_record (type), message, out);
  guint32 length = GUINT32_TO_BE (out->len - start - 4);
  memcpy (out->data + start, &length, sizeof length);
}

gssize
frame_decode (const guint8 *data, size_t size, struct frame *out,
              enum result *result)
{
  if (size < FRAME_HEADER_BYTES)
    return 0;
  guint32 length;
  memcpy (&length, data, sizeof length);
  length = GUINT32_FROM_BE (length);
  const struct record_def *def = message_record (data[5]);
  *result = RESULT_FRAME_UNKNOWN;
  if (data[4] != FRAME_VERSION || def == NULL)
    return -1;
  *result = RESULT_FRAME_TOO_LARGE;
  if (length > FRAME_MAX_BYTES)
    return -1;
  *result = RESULT_FRAME_MALFORMED;
  if (length < 2)
    return -1;
  if (size < 4 + (size_t)length)
    return 0;
  void *message = g_malloc0 (def->size);
  if (!record_decode (def, data + FRAME_HEADER_BYTES, length - 2, message))
    {
      g_free (message);
      return -1;
    }
  out->type = data[5];
  out->message = message;
  return 4 + (gssize)length;
}

void
frame_clear (struct frame *frame)
{
  if (frame->message)
    {
      record_clear (message_record (frame->type), frame->message);
      g_free (frame->message);
    }
  memset (frame, 0, sizeof *frame);
}
