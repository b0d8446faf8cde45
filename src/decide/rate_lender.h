/** @file
    The tokens that a home VM lends of the limits of requests a second that its
    upstreams state (decide/rate_limit.h, decide/rate_tokens.h).

    Each limit is a token bucket that fills a little more slowly than the limit
    allows and holds few tokens, so that the sum over all VMs stays within the
    limit whatever they do with them.  VMs say how many tokens they want; the
    bucket goes to them in turn.  A home VM that sees only a part of the fleet
    lends only that part of the limit, as the others may have a home VM of
    their own; one that sees less than half lends nothing, and VMs use their
   own shares.  A home VM that is new starts late, when the tokens of its
    predecessor have expired.  No I/O, no clock.  */
#ifndef DECIDE_RATE_LENDER_H
#define DECIDE_RATE_LENDER_H

#include <stdbool.h>
#include <stdint.h>

/** Part of a limit that is lent.  */
#define RATE_LENDER_PART 0.95
/** Least part of the fleet that a home VM has to see in order to lend.  */
#define RATE_LENDER_MIN_PART 0.5
/** Least rate that is lent, in tokens a second: without any request nothing
    would tell that a limit has ended.  */
#define RATE_LENDER_MIN_PER_S 0.25
/** Time from the first request for tokens of an upstream to the first token:
    longer than tokens are valid, and than VMs take to agree on a new home
    VM.  */
#define RATE_LENDER_START_MS 600
/** Time for which a VM's request is remembered.  */
#define RATE_LENDER_WANTED_MS 2000

struct rate_lender;

/** What a VM asks of the home VM of an upstream.  */
struct rate_request
{
  const char *upstream;
  const char *vm;
  double per_s;      /**< the upstream's limit, as the home VM knows it */
  unsigned wanted;   /**< tokens; replaces the VM's earlier number */
  unsigned returned; /**< tokens of this lender that the VM gives back
                          unspent */
  int64_t asked_ms;  /**< time of the request on the VM's own clock */
};

/** Creates a lender without limits.  */
struct rate_lender *rate_lender_create (void);

/** Destroys L, which may be NULL.  */
void rate_lender_destroy (struct rate_lender *l);

/** Handles the request Q.  It is ignored if it is not newer than the VM's last
    one, unless that was long ago: the clock of a new VM may start anew.  */
void rate_lender_ask (struct rate_lender *l, const struct rate_request *q,
                      int64_t now_ms);

/** Drops what is known of UPSTREAM, whose limit has ended or whose home is
    another VM.  */
void rate_lender_drop (struct rate_lender *l, const char *upstream);

/** COUNT tokens of UPSTREAM are lent to VM, which asked at ASKED_MS.  */
typedef void rate_lender_visit (void *arg, const char *upstream,
                                const char *vm, unsigned count,
                                int64_t asked_ms);

/** Fills the buckets and passes each loan to VISIT.  PART,
    RATE_LENDER_MIN_PART to 1, is the part of the fleet that this VM sees.  To
    be called several times a second.  */
void rate_lender_step (struct rate_lender *l, double part, int64_t now_ms,
                       rate_lender_visit *visit, void *arg);

/** Calls VISIT with each upstream whose tokens are lent here.  VISIT may drop
    that upstream.  */
void rate_lender_foreach (struct rate_lender *l,
                          void (*visit) (void *arg, const char *upstream),
                          void *arg);

#endif
