/** @file
    Retry budget of each service, kept as a token bucket by each VM.

    The fleet's budget for a window is a fraction of the service's requests in
    it plus a fixed number of further calls, the slack.  Each request adds
    tokens to the bucket of the VM that receives it, and each VM adds its share
    of the slack over time.  A VM starts with an empty bucket, and its bucket
    holds at most a part of what its requests and its share are worth in one
    window.  So the sum over all VMs stays within the budget without messages,
    wherever requests arrive and however often VMs start again.  No I/O.  */
#ifndef DECIDE_RETRY_BUCKET_H
#define DECIDE_RETRY_BUCKET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Time for which a VM that is no longer seen keeps its share of the slack, as
    it may be cut off and in use.  */
#define RETRY_SHARE_KEPT_MS 300000
/** Time after the first report of the number of VMs in which a VM takes no
    slack, until the others know that they share it with this VM.  */
#define RETRY_SLACK_DELAY_MS 1000

/** Budget of the whole fleet for each service.  */
struct retry_bounds
{
  double ratio;       /**< calls per request, 0 to 1 */
  unsigned window_ms; /**< length of the window */
  unsigned slack;     /**< further calls per window, of all VMs together */
};

struct retry_buckets;

/** Creates empty buckets at NOW_MS.  BOUNDS is copied.
 */
struct retry_buckets *retry_buckets_create (const struct retry_bounds *bounds,
                                            int64_t now_ms);

/** Destroys B, which may be NULL.  */
void retry_buckets_destroy (struct retry_buckets *b);

/** Replaces the bounds; BOUNDS is copied.  */
void retry_buckets_set_bounds (struct retry_buckets *b,
                               const struct retry_bounds *bounds);

/** Reports that VMS VMs run, this one included.  The slack is divided by the
    largest number reported within RETRY_SHARE_KEPT_MS; none is available
    before the first report.  */
void retry_buckets_set_vms (struct retry_buckets *b, unsigned vms,
                            int64_t now_ms);

/** Counts a request for SERVICE.  */
void retry_buckets_record_request (struct retry_buckets *b,
                                   const char *service, int64_t now_ms);

/** Who goes first when few tokens are left.  */
enum retry_urgency
{
  RETRY_URGENT, /**< resumes a stream that has begun, or has the highest
                     priority; may take the last token */
  RETRY_NORMAL,
  RETRY_HEDGE /**< runs beside an attempt that may still succeed */
};

/** Takes N tokens of SERVICE; returns false, and takes none, if there are
   fewer than N besides those kept for calls that are more urgent than URGENCY.
 */
bool retry_buckets_take (struct retry_buckets *b, const char *service,
                         unsigned n, enum retry_urgency urgency,
                         int64_t now_ms);

/** Gives back N tokens of SERVICE that were taken for calls that reached no
    upstream.  */
void retry_buckets_give_back (struct retry_buckets *b, const char *service,
                              unsigned n, int64_t now_ms);

/** What this VM has used of a service's budget in the latest window.  */
struct retry_usage
{
  const char *service;
  unsigned requests; /**< of this VM */
  unsigned taken;    /**< tokens taken and not given back */
  unsigned refused;  /**< tokens asked for and not available */
  double left;       /**< tokens in the bucket */
  double allowed;    /**< tokens of one window, from the requests and the share
                          of the slack */
  unsigned vms;      /**< VMs that share the slack; 0: not reported yet */
};

/** Number of VMs by which this VM divides the slack at NOW_MS; 0 if it takes
    none yet.  */
unsigned retry_buckets_shared_by (const struct retry_buckets *b,
                                  int64_t now_ms);

/** Returns the usage of SERVICE.  */
struct retry_usage retry_buckets_usage (struct retry_buckets *b,
                                        const char *service, int64_t now_ms);

/** Passes the usage of each service with tokens taken or refused in the window
    to VISIT.  */
void retry_buckets_foreach (struct retry_buckets *b, int64_t now_ms,
                            void (*visit) (void *arg,
                                           const struct retry_usage *usage),
                            void *arg);

#endif
