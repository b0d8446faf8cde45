/** @file
    Limits of requests a second in messages.  Times are sent as ages, so that
    VMs need not agree on a clock.  */
#ifndef DAEMON_RATE_MESSAGES_H
#define DAEMON_RATE_MESSAGES_H

#include "decide/upstreams.h"
#include "generated/messages.h"

/** Returns the message of LIMIT, which the upstream INFO states.  It is valid
   as long as INFO.  */
struct rate_state rate_message_state (const struct upstream_info *info,
                                      const struct rate_limit *limit,
                                      int64_t now);

/** Returns the limit in S, as of this VM's clock.  */
struct rate_limit rate_message_limit (const struct rate_state *s, int64_t now);

#endif
