/** @file
    Work estimate: how many output events and tokens a request will have and
    how long its response will take, by the answered requests of its route.

    Each route has a histogram for each measure, with buckets of a quarter of a
    power of two, in which old requests lose weight with each new one.
    Requests that state an expected length, or else a maximum of output tokens,
    are also counted by the size of that number: it selects similar requests,
    and is not itself taken as the length.  What is not known of a class is
    taken from its route, and of a route from its service.  No I/O, no
    clock.  */
#ifndef DECIDE_WORK_ESTIMATE_H
#define DECIDE_WORK_ESTIMATE_H

#include <stdint.h>

struct work_estimates;

/** What is measured of an answered request.  */
enum work_measure
{
  WORK_EVENTS, /**< output events */
  WORK_TOKENS, /**< output tokens */
  WORK_MS      /**< time from the first event to the last */
};
#define WORK_MEASURES 3

/** The request that an estimate is for.  */
struct work_key
{
  const char *route;
  const char *service;
  uint64_t max_tokens; /**< most output tokens, as stated; 0 if not stated */
  uint64_t hint; /**< expected length of the answer, as stated; 0 if not */
};

/** Measures of an answered request; a value of 0 is not known.  */
struct work_done
{
  double values[WORK_MEASURES];
};

/** Expected work of a request, for one measure.  */
struct work_estimate
{
  double mean;
  double low; /**< nine of ten requests need more */
  double median;
  double high;    /**< nine of ten requests need less */
  double samples; /**< weight of the requests behind it; 0: nothing is known,
                       and the other fields are 0 */
};

/** Creates a table without requests.  */
struct work_estimates *work_estimates_create (void);

/** Destroys W, which may be NULL.  */
void work_estimates_destroy (struct work_estimates *w);

/** Records an answered request.  */
void work_estimates_record (struct work_estimates *w,
                            const struct work_key *key,
                            const struct work_done *done);

/** Returns the estimate of MEASURE for a request like KEY.  Events and tokens
    are at most the stated maximum of tokens: an event has at least one.  */
struct work_estimate work_estimates_find (const struct work_estimates *w,
                                          const struct work_key *key,
                                          enum work_measure measure);

/** Returns the expected number of events that follow for a request like KEY
    that has SENT events; 0 if nothing is known.  */
double work_estimates_left (const struct work_estimates *w,
                            const struct work_key *key, double sent);

#endif
