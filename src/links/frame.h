/** @file
    Encoding of the messages between VMs as frames: a header with length,
    version and type, then a msgpack body.  */
#ifndef LINKS_FRAME_H
#define LINKS_FRAME_H

#include "generated/messages.h"
#include "generated/results.h"

#include <glib.h>

/** Bytes of a frame's header: 4 for the length (big-endian, of all that
    follows these 4 bytes), 1 for the version, 1 for the type.  */
#define FRAME_HEADER_BYTES 6

/** A decoded frame.  */
struct frame
{
  unsigned type; /**< enum message_type */
  void *message; /**< the record that belongs to TYPE */
};

/** Appends MESSAGE of TYPE to OUT as a frame.  */
void frame_encode (unsigned type, const void *message, GByteArray *out);

/** Decodes the frame at the start of DATA.  Returns its size in bytes and
    fills OUT; 0 if more bytes are needed; -1 if the frame is invalid, and
    RESULT then says why.  */
gssize frame_decode (const guint8 *data, size_t size, struct frame *out,
                     enum result *result);

/** Releases the message of FRAME and sets FRAME to zeros.  */
void frame_clear (struct frame *frame);

#endif
