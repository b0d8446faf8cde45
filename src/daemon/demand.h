/** @file
    Demand of callers by model: counted by the VM that receives the requests,
    reported to the VMs of its region, and summed by the region's order
    holder.  */
#ifndef DAEMON_DEMAND_H
#define DAEMON_DEMAND_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Models of the file beyond this number are not counted.  */
#define DEMAND_MODELS_MAX 32

/** Demand for one model since the start of a VM, refused requests included.
    Counters only grow and wrap at 32 bits.  */
struct demand
{
  uint32_t requests;   /**< requests that arrived */
  uint32_t prefill_ms; /**< estimated engine time for prefill */
  uint32_t decode_ms;  /**< estimated engine time for decode */
};

/** Encodes the demand for N models as 32-bit words in network byte order.
    Free with g_bytes_unref.  */
GBytes *demand_pack (const struct demand *demand, size_t n);

/** Decodes the demand for up to N models into OUT; further models and an
    incomplete last one are ignored.  Returns the number of models decoded.
    BYTES may be NULL.  */
size_t demand_unpack (GBytes *bytes, struct demand *out, size_t n);

#endif
