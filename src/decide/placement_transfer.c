/** @file
    Transfers of KV caches between engines, and the best decode after a remote
    prefill.  */
#include "decide/placement_parts.h"

#include <float.h>

/* KV cache transfers between failure domains, and between regions, have these
   fractions of the rate within one failure domain.  */
#define TRANSFER_SLOWDOWN_DOMAIN 2.0
#define TRANSFER_SLOWDOWN_REGION 10.0
/* Size of a token in the KV cache and rate of a link if the configuration does
   not state them.  */
#define DEFAULT_KV_BYTES_PER_TOKEN 100000.0
#define DEFAULT_LINK_MBIT_PER_S 1e6
#define BITS_PER_BYTE 8.0
#define BITS_PER_MS_PER_MBIT_PER_S 1000.0

/* Returns the time that the KV cache of PROMPT takes between two engines of
   SERVICE in the same failure domain.  */
double
placement_local_transfer_ms (const struct upstreams *u, const char *service,
                             const struct prompt *prompt)
{
  struct engine_limits limits = upstreams_engine_limits (u, service);
  double bytes = limits.kv_bytes_per_token > 0
                     ? (double)limits.kv_bytes_per_token
                     : DEFAULT_KV_BYTES_PER_TOKEN;
  double mbit_per_s = limits.link_mbit_per_s > 0 ? limits.link_mbit_per_s
                                                 : DEFAULT_LINK_MBIT_PER_S;
  return (double)prompt->tokens * bytes * BITS_PER_BYTE
         / (mbit_per_s * BITS_PER_MS_PER_MBIT_PER_S);
}

/* Returns the time for which a KV cache transfer, which takes LOCAL_MS within
   a failure domain, occupies the links of two engines in the failure domains
   with indexes FROM and TO.  */
double
placement_link_ms (const struct upstreams *u, double local_ms, unsigned from,
                   unsigned to)
{
  if (from == to)
    return local_ms;
  return local_ms
         * (upstreams_same_region (u, from, to) ? TRANSFER_SLOWDOWN_DOMAIN
                                                : TRANSFER_SLOWDOWN_REGION);
}

/* Returns the expected time of such a transfer.  */
double
placement_transfer_ms (const struct upstreams *u, double local_ms,
                       unsigned from, unsigned to)
{
  double rtt_ms = OTHER_REGION_RTT_MS;
  if (from == to)
    rtt_ms = SAME_DOMAIN_RTT_MS;
  else if (upstreams_same_region (u, from, to))
    rtt_ms = SAME_REGION_RTT_MS;
  return rtt_ms + placement_link_ms (u, local_ms, from, to);
}

/* Returns the time until the transfers are done that are known to wait for the
   link of X.  */
double
placement_link_wait_ms (const struct upstream *x, int64_t now_ms)
{
  double age_ms = (double)(now_ms - x->home_load_ms);
  return MAX (x->home_load.link_wait_ms - age_ms, 0);
}

/* Returns the expected time to the first token at X of a prompt that another
   engine has prefilled, without the KV cache transfer.  */
static double
decode_ms (const struct upstream *x, int64_t now_ms)
{
  struct upstream_load load = upstreams_total_load (x, now_ms);
  return x->rtt_ms + placement_link_wait_ms (x, now_ms)
         + placement_wait_at (x, UPSTREAM_WORK_DECODE, 0, &load);
}

/* Sets BEST[D], for the index D of each failure domain, to the decode with the
   lowest cost after a prefill in D, at any decode engine that may get REQUEST.
   LOCAL is the time in ms of a transfer within a failure domain.  Returns
   whether no engine may get REQUEST because the eligible ones have no
   token.  */
bool
placement_find_best_decode (const struct upstreams *u,
                            const struct placement_request *request,
                            double local, int64_t now_ms,
                            struct decode_option *best)
{
  unsigned n = u->domains->len;
  bool lacks_token = false;
  bool found = false;
  g_autofree double *fastest = g_new (double, n);
  for (unsigned d = 0; d < n; d++)
    {
      fastest[d] = DBL_MAX;
      best[d] = (struct decode_option){ DBL_MAX, DBL_MAX };
    }
  for (guint i = 1; i < u->slots->len; i++)
    {
      const struct upstream *x = upstreams_entry (u, i);
      if (!placement_is_decode_engine (x, request->service, now_ms)
          || upstreams_is_deprioritized (x, now_ms))
        continue;
      if (!placement_may_send (x, request, now_ms))
        {
          lacks_token = true;
          continue;
        }
      found = true;
      fastest[x->domain] = MIN (fastest[x->domain], decode_ms (x, now_ms));
    }
  for (unsigned from = 0; from < n; from++)
    for (unsigned to = 0; to < n; to++)
      {
        if (fastest[to] == DBL_MAX)
          continue;
        double ms = fastest[to] + placement_transfer_ms (u, local, from, to);
        double cost = ms + placement_link_ms (u, local, from, to) * LINK_COST;
        if (cost < best[from].cost)
          best[from] = (struct decode_option){ ms, cost };
      }
  return lacks_token && !found;
}
