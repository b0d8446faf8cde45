/** @file
    Prefix index: which parts of prompts an engine's cache is likely to hold.

    It is fed by the requests that were sent, and forgets the least recently
    used parts past the engine's memory.  Pure.  */
#ifndef DECIDE_PREFIXES_H
#define DECIDE_PREFIXES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One part of a prompt, in the prompt's order.  */
struct prompt_part
{
  uint64_t id;
  uint32_t tokens;
};

/** Parts of one prompt that are kept; further ones count as one.  */
#define PROMPT_PARTS_MAX 16

/** A prompt.  The last part belongs to the request or its session; those
    before it are shared with other requests.  */
struct prompt
{
  struct prompt_part parts[PROMPT_PARTS_MAX];
  unsigned n_parts;
  uint64_t tokens;     /**< of the whole prompt */
  uint64_t out_tokens; /**< most tokens of the answer */
};

struct prefixes;

/** Makes an index of at most TOKENS tokens.  */
struct prefixes *prefixes_create (uint64_t tokens);

/** Releases P.  */
void prefixes_destroy (struct prefixes *p);

/** Replaces the bound.  */
void prefixes_set_bound (struct prefixes *p, uint64_t tokens);

/** The prompt was sent at NOW_MS.  */
void prefixes_add (struct prefixes *p, const struct prompt *prompt,
                   int64_t now_ms);

/** Tokens at the start of PROMPT that are likely to be cached.  */
uint64_t prefixes_match (const struct prefixes *p,
                         const struct prompt *prompt);

/** Forgets everything.  */
void prefixes_clear (struct prefixes *p);

#endif
