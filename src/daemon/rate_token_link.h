/** @file
    Network side of the tokens of limits of requests a second
    (decide/rate_tokens.h, decide/rate_lender.h): asks the home VMs of limited
    upstreams for the tokens that this VM's requests want, and lends those of
    the upstreams whose home is this VM.  */
#ifndef DAEMON_RATE_TOKEN_LINK_H
#define DAEMON_RATE_TOKEN_LINK_H

#include "daemon/vm_broadcast.h"
#include "decide/upstreams.h"
#include "generated/messages.h"

struct rate_token_link;

/** Dependencies of a link; all must outlive it.  */
struct rate_token_link_parts
{
  struct upstreams *upstreams;
  const char *vm;            /**< id of this VM */
  struct vm_broadcast peers; /**< the other VMs */
};

/** Creates a link that has lent nothing.  */
struct rate_token_link *
rate_token_link_create (const struct rate_token_link_parts *parts);

/** Frees L, which may be NULL.  */
void rate_token_link_destroy (struct rate_token_link *l);

/** Calls ON_TOKENS with ARG whenever this VM gets tokens.  */
void rate_token_link_on_tokens (struct rate_token_link *l,
                                void (*on_tokens) (void *arg), void *arg);

/** Reports that this VM may send more: it got tokens, or a limit has ended. */
void rate_token_link_notify (struct rate_token_link *l);

/** See rate_limit_link_set_vms.  */
void rate_token_link_set_vms (struct rate_token_link *l, unsigned vms);

/** The limit of the upstream INFO, with its RATE, has ended.  */
void rate_token_link_end (struct rate_token_link *l,
                          const struct upstream_info *info,
                          struct upstream_rate *rate);

/** Asks for tokens, and lends some, as is due at NOW, in ms; to be called
    several times a second.  */
void rate_token_link_tick (struct rate_token_link *l, int64_t now);

/** Handles the request M for tokens of an upstream whose limit, as far as this
    VM knows, is LIMIT.  */
void rate_token_link_handle_ask (struct rate_token_link *l,
                                 const struct rate_ask *m,
                                 const struct rate_limit *limit);

/** Handles a loan to this VM.  */
void rate_token_link_handle_loan (struct rate_token_link *l,
                                  const struct rate_loan *m);

#endif
