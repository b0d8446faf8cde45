/** @file
    The table behind decide/upstreams.h, for the modules of decide/ that read
    it.  upstreams.c holds the table and its loads, upstreams_outcomes.c what
    becomes of requests and what is learned from it.  */
#ifndef DECIDE_UPSTREAMS_TABLE_H
#define DECIDE_UPSTREAMS_TABLE_H

#include "decide/upstreams.h"

/* Round trips by distance.  */
#define NEAR_RTT_MS 1.0
#define REGION_RTT_MS 3.0
#define FAR_RTT_MS 25.0
/* Prompts below this many tokens are not read apart: the second call and the
   transfer would take longer.  */
#define READ_APART_MIN_TOKENS 1500
/* An engine's own time for a token of the answer's start.  */
#define FIRST_TOKEN_MS 8.0
/* Bounds of an engine's speed of reading.  */
#define READ_TOKENS_PER_MS_MIN 15.0
#define READ_TOKENS_PER_MS_MAX 800.0
/* Time of a plain request where nothing is known of its service.  */
#define SERVICE_MS 20.0

/** Load that another VM told.  */
struct heard
{
  struct upstream_load load;
  int64_t at_ms;
};

/** One instance.  */
struct upstream
{
  struct upstream_info info;
  uint16_t generation;
  bool used;
  double rtt_ms;      /* round trip, by distance */
  unsigned domain;    /* place of its failure domain in the table's list */
  uint64_t keep_rank; /* in the order in which engines are kept free */
  struct upstream_load own;
  bool kept;         /* free of long prompts, as of the latest choice */
  GHashTable *heard; /* vm -> struct heard */
  struct upstream_load told;     /* by its home VM: of all VMs */
  struct upstream_load own_then; /* own load at that time */
  int64_t told_ms;               /* when; 0 for never */
  struct prefixes *prefixes;
  double tokens_per_ms;
  double service_ms;
  int64_t sampled_ms; /* when service_ms was last learned; 0 for never */
  double failures;    /* share of the latest outcomes, 0 to 1 */
  int64_t judged_ms;  /* when the latest of them came */
  int64_t failed_ms;
  int64_t
      heard_ms; /* when it last sent a byte, or got work after having none */
  int64_t full_until_ms;
};

/** The table.  */
struct upstreams
{
  struct upstream_place place;
  GArray *slots;      /* struct upstream; 0 is never used */
  GHashTable *by_id;  /* id -> index */
  GHashTable *memory; /* service -> tokens */
  GPtrArray *domains; /* failure domains of instances, char * */
  double stretch;     /* times of long prompts, taken to expected, of late */
  int64_t ticked_ms;  /* when time was last seen to pass */
  int64_t woke_ms;    /* when this process last went on after a pause */
};

/** Place number I, used or not; 0 is never used.  */
static inline struct upstream *
upstreams_slot (const struct upstreams *u, guint i)
{
  return &g_array_index (u->slots, struct upstream, i);
}

/** Whether failure domains number A and B are in one region.  */
bool upstreams_same_region (const struct upstreams *u, unsigned a, unsigned b);
/** Handle of the instance in place I.  */
upstream_handle upstreams_handle_of (const struct upstreams *u, guint i);
/** The instance of H, or NULL.  */
struct upstream *upstreams_at (const struct upstreams *u, upstream_handle h);
/** Load that all VMs put on X, as far as it is known.  */
struct upstream_load upstreams_whole_load (const struct upstream *x,
                                           int64_t now_ms);
/** Share of failures that a request is to expect of X; old ones are forgotten,
    later for a request that is not REPEATABLE.  */
double upstreams_failures (const struct upstream *x, bool repeatable,
                           int64_t now_ms);
/** Time of a plain request at X; what was learned long ago tends to USUAL_MS.
 */
double upstreams_service_ms (const struct upstream *x, double usual_ms,
                             int64_t now_ms);
/** What a plain request takes at the quickest instance of SERVICE; without
    answers for long, what it takes anywhere.  */
double upstreams_usual_ms (const struct upstreams *u, const char *service,
                           int64_t now_ms);
/** Whether X has answered none of its requests for long.  */
bool upstreams_is_quiet (const struct upstream *x, int64_t now_ms);
/** Whether X is passed over for now.  */
bool upstreams_is_resting (const struct upstream *x, int64_t now_ms);

#endif
