/** @file
    Tokens that this VM holds of the limit of requests a second that an
    upstream states (decide/rate_limit.h): one for each request that it may
    send there.

    The limit holds for all VMs together, so the upstream's home VM lends the
    tokens (decide/rate_lender.h).  They expire soon, and those that expire
    unspent are returned.  While the home VM does not reply, this VM spends its
    own share of the limit, the part of one VM.  The VMs earn these tokens at
    different times, and don't save them: else they could all spend one at the
    same moment.  Times are on the monotonic
    clock, in milliseconds.  No I/O.  */
#ifndef DECIDE_RATE_TOKENS_H
#define DECIDE_RATE_TOKENS_H

#include <stdbool.h>
#include <stdint.h>

/** Time for which a lent token can be spent.  */
#define RATE_TOKENS_VALID_MS 400
/** Interval over which the demand is counted.  */
#define RATE_TOKENS_DEMAND_MS 250
/** Time without a reply after which the home VM counts as silent.  */
#define RATE_TOKENS_SILENT_MS 1000
/** Most tokens that are asked for at a time.  */
#define RATE_TOKENS_WANTED_MAX 1000

/** Tokens for one upstream; all 0 at first.  */
struct rate_tokens
{
  unsigned lent;        /**< tokens lent and not yet spent */
  int64_t expires_ms;   /**< when they expire */
  unsigned expired;     /**< tokens that expired unspent, not yet returned */
  double own;           /**< tokens earned while the home VM is silent */
  int64_t own_ms;       /**< when OWN last changed; 0: it is not silent */
  int64_t own_until_ms; /**< when the earned token expires; 0: there is none */
  unsigned demand[2];   /**< requests that took or missed a token, in the
                             current interval and in the one before */
  int64_t interval_ms;  /**< start of the current interval */
  int64_t unanswered_ms; /**< since when the home VM has not replied; 0: it
                              owes no reply */
  int64_t asked_ms;      /**< when it was last asked */
  unsigned asked;        /**< for how many tokens */
  uint32_t lender;       /**< hash of the name of the VM that last lent */
  uint64_t lender_seq;   /**< number of its last message */
  unsigned taken;        /**< tokens spent since the last log line */
  unsigned missed;       /**< requests without a token since then */
};

/** Drops all tokens, and what is known of demand and home VM.  */
void rate_tokens_reset (struct rate_tokens *t);

/** Whether a token can be spent at NOW_MS.  */
bool rate_tokens_available (const struct rate_tokens *t, int64_t now_ms);

/** Spends a token for a request.  Returns false if there is none.  */
bool rate_tokens_take (struct rate_tokens *t, int64_t now_ms);

/** Gives back a token that was taken for a request that was not sent.  */
void rate_tokens_give_back (struct rate_tokens *t, int64_t now_ms);

/** Counts a request that was placed elsewhere, or not at all, for want of a
    token.  */
void rate_tokens_record_miss (struct rate_tokens *t, int64_t now_ms);

/** The part of a limit that each VM may use by itself.  */
struct rate_share
{
  double per_s; /**< tokens a second */
  double phase; /**< 0 to 1, another one at each VM: part of the first token
                     that is earned already */
};

/** Expires tokens and earns those of the own SHARE while the home VM is
   silent. To be called regularly.  */
void rate_tokens_tick (struct rate_tokens *t, const struct rate_share *share,
                       int64_t now_ms);

/** Number of tokens to ask for, by recent demand.  */
unsigned rate_tokens_wanted (const struct rate_tokens *t, int64_t now_ms);

/** Whether the home VM has to be told something: at once that tokens are
    wanted, or no longer are, or that some have expired; every INTERVAL_MS how
    many are wanted.  */
bool rate_tokens_must_ask (const struct rate_tokens *t, int64_t interval_ms,
                           int64_t now_ms);

/** Records that the home VM was asked for WANTED tokens, and takes the number
    of expired tokens that were returned with that.  */
unsigned rate_tokens_asked (struct rate_tokens *t, unsigned wanted,
                            int64_t now_ms);

/** Adds COUNT tokens that a home VM lent in its message number SEQ.  LENDER is
    a hash of its name.  Returns false, and adds none, if the message is not
    newer than the last one.  */
bool rate_tokens_lend (struct rate_tokens *t, uint32_t lender, uint64_t seq,
                       unsigned count, int64_t now_ms);

#endif
