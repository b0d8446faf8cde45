/** @file
    Prefix index of one engine: which prompt parts its KV cache likely holds.

    The index records the prompts that were sent to the engine, and evicts the
    least recently used parts when their tokens exceed the capacity of the
    cache.  Does no I/O.  */
#ifndef DECIDE_PREFIX_INDEX_H
#define DECIDE_PREFIX_INDEX_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One part of a prompt; equal ids mean equal text.  */
struct prompt_part
{
  uint64_t id;
  uint32_t tokens;
};

/** Most parts kept of one prompt; the tokens of further parts count only in
    the total of the prompt.  */
#define PROMPT_PARTS_MAX 16

/** A prompt as an ordered list of parts.  The last part is specific to the
    request or its session; the parts before it may be shared with other
    requests.  */
struct prompt
{
  struct prompt_part parts[PROMPT_PARTS_MAX];
  unsigned n_parts;
  bool has_more_parts; /**< the prompt has further parts, which are not kept */
  uint64_t tokens;     /**< of the whole prompt */
  uint64_t out_tokens; /**< maximum number of tokens to generate */
  uint64_t length_hint; /**< expected length of the answer, as stated by the
                             caller; 0 if not stated */
};

/** Returns how many of the parts of P, from the first one, may be shared with
    other requests: all but the last part of the prompt.  */
unsigned prompt_shared_parts (const struct prompt *p);

/** Returns the ids of the shared parts of P in hexadecimal, separated by
    commas.  The calling code frees the text.  */
char *prompt_shared_parts_text (const struct prompt *p);

struct prefix_index;

/** Creates an index with a capacity of TOKENS tokens.  */
struct prefix_index *prefix_index_create (uint64_t tokens);

/** Frees P, which may be NULL.  */
void prefix_index_destroy (struct prefix_index *p);

/** Changes the capacity; parts beyond it are evicted by the next
    prefix_index_add.  */
void prefix_index_set_capacity (struct prefix_index *p, uint64_t tokens);

/** Records that PROMPT was sent to the engine at NOW_MS, and evicts old parts.
    The parts of PROMPT stay, even if they alone exceed the capacity.  */
void prefix_index_add (struct prefix_index *p, const struct prompt *prompt,
                       int64_t now_ms);

/** Returns the number of tokens at the start of PROMPT that are likely
    cached.  */
uint64_t prefix_index_match (const struct prefix_index *p,
                             const struct prompt *prompt);

/** Returns the number of tokens that are likely cached.  */
uint64_t prefix_index_tokens (const struct prefix_index *p);

/** Removes all parts.  */
void prefix_index_clear (struct prefix_index *p);

#endif
