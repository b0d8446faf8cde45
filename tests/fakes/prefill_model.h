/** @file
    How a stand-in of an engine reads prompts: one after the other, at a fixed
    speed, without the parts that it has read before.  */
#ifndef TESTS_FAKES_PREFILL_MODEL_H
#define TESTS_FAKES_PREFILL_MODEL_H

#include <stdint.h>

struct reading;

/** Makes an engine that has read nothing and reads TOKENS_PER_MS.  */
struct reading *reading_create (double tokens_per_ms);

/** Releases R.  */
void reading_destroy (struct reading *r);

/** What one prompt takes.  */
struct reading_time
{
  uint64_t tokens; /**< that have to be read */
  double queue_ms; /**< until all before it has been read */
  double all_ms;   /**< until it has been read too */
};

/** Takes a prompt of COUNT tokens whose parts are PARTS, "ID:TOKENS,...", or
    NULL.  */
struct reading_time reading_take (struct reading *r, uint64_t count,
                                  const char *parts, double now_ms);

#endif
