/** @file
    Requests that wait for a token of a limit of requests a second, as all
    upstreams that may get them are limited.

    The load is one that exceeds the limits of all instances of a service.  A
    request waits only while its turn is expected to come in time; the others
    are refused at once.  Requests of a higher priority go first, then those
    that must start earlier.  No I/O, no clock.  */
#ifndef DECIDE_TOKEN_QUEUE_H
#define DECIDE_TOKEN_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

struct token_queue;

/** A waiting request.  */
struct token_waiter
{
  const char *service;
  unsigned priority;   /**< 0 is the highest */
  int64_t start_by_ms; /**< latest time to be sent */
  void *request;       /**< identifies it */
};

/** Creates an empty queue.  */
struct token_queue *token_queue_create (void);

/** Destroys Q, which may be NULL.  */
void token_queue_destroy (struct token_queue *q);

/** Records that a request for SERVICE was sent with a token: requests wait as
    long as the recent rate of that allows.  */
void token_queue_record_sent (struct token_queue *q, const char *service,
                              int64_t now_ms);

/** Adds W, whose request is not in Q.  SHARE_PER_S is the least number of
    tokens a second that this VM expects for the service.  */
void token_queue_add (struct token_queue *q, const struct token_waiter *w,
                      double share_per_s, int64_t now_ms);

/** Removes REQUEST, if it is in Q.  */
void token_queue_remove (struct token_queue *q, const void *request);

/** Returns the request that is first for SERVICE; NULL for none.  */
void *token_queue_first (const struct token_queue *q, const char *service);

/** Removes and returns a request whose turn will not come in time; NULL if
    there is none.  */
void *token_queue_take_late (struct token_queue *q, int64_t now_ms);

/** Calls SERVE with the request that is first for SERVICE, again and again
    until it returns false: at most as often as requests wait at the start, as
    SERVE may put a request back.  */
void token_queue_serve (struct token_queue *q, const char *service,
                        bool (*serve) (void *arg, void *request), void *arg);

/** Calls VISIT with each service that has requests in Q.  VISIT may add and
    remove requests.  */
void token_queue_foreach_service (struct token_queue *q,
                                  void (*visit) (void *arg,
                                                 const char *service),
                                  void *arg);

/** Number of requests in Q.  */
unsigned token_queue_length (const struct token_queue *q);

#endif
