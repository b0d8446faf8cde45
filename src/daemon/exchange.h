/** @file
    One request of a caller, from its first attempt to its last byte; for the
    files of the proxy only.  */
#ifndef DAEMON_EXCHANGE_H
#define DAEMON_EXCHANGE_H

#include "base/clock.h"
#include "daemon/proxy_parts.h"
#include "daemon/sse.h"
#include "decide/attempts.h"
#include "decide/routes.h"
#include "links/front.h"

/** Instances that one request is offered to at most.  */
#define EXCHANGE_TRIED_MAX 8
/** Time that must be left for one more attempt.  */
#define EXCHANGE_ATTEMPT_MIN_MS 40
/** Longest idle time of a connection that is used again.  */
#define EXCHANGE_REUSE_MS 60000

/** The proxy.  */
struct proxy
{
  struct proxy_parts parts;
  struct route_table *table;
  GHashTable *open; /* struct exchange */
  struct event *timer;
  int64_t end_from_ms; /* see proxy_set_end; 0 while the VM does not stop */
  int64_t end_ms;
};

/** One request of a caller.  */
struct exchange
{
  struct proxy *proxy;
  struct front_request *caller;
  struct request_facts facts;
  struct route_table *table; /* in force when it came */
  const struct route *route;
  const char *service;
  int64_t since_ms;
  int64_t until_ms;
  struct event *timer;

  struct attempts attempts;
  upstream_handle tried[EXCHANGE_TRIED_MAX];
  unsigned n_tried;
  unsigned tries;
  struct upstream_work work;
  struct pool_call *call;
  struct upstream_choice choice; /* that a permit is asked for */
  permit_ticket permit;          /* asked for or held; 0 for none */
  unsigned asked;                /* permits, for this attempt */
  unsigned asked_in_all;
  unsigned retry_after_ms; /* that a refused caller was told */
  double expected_ms;
  double plain_ms; /* at the first attempt, of a long prompt; or 0 */
  char upstream_id[64];

  bool reading;   /* the call under way only reads the prompt */
  bool read_once; /* it is not read apart a second time */
  upstream_handle reader;
  char *read_by; /* where the read prompt can be fetched */

  struct http_head *answer; /* of the current attempt */
  enum http_framing framing;
  uint64_t length;
  struct answer_facts answer_facts;
  struct evbuffer *held;
  struct sse events;
  bool is_events;
  bool started; /* the caller has the head of its answer */
  bool first_byte;
  int64_t first_ms;
};

/* Ending; E is gone after each of these.  */

/** Releases E, with what is under way for it.  */
void exchange_free (struct exchange *e);
/** Answers with STATUS, for the reason OUTCOME in the log.  */
void exchange_reply (struct exchange *e, unsigned status, const char *outcome,
                     unsigned retry_after_ms);
/** Refuses: it has not run and will not.  */
void exchange_refuse (struct exchange *e, const char *why,
                      unsigned retry_after_ms);
/** Says with STATUS that it may have run.  */
void exchange_unknown (struct exchange *e, const char *why, unsigned status);
/** Cuts the answer off.  */
void exchange_cut (struct exchange *e, const char *why);
/** Ends E as STEP says, after OUTCOME.  */
void exchange_give_up (struct exchange *e, enum attempt_step step,
                       enum attempt_outcome outcome);

/* Attempts.  */

/** Sends E to the best instance, or ends it where there is none.  */
void exchange_attempt (struct exchange *e);
/** The head of an answer came for ARG, struct exchange.  */
void exchange_head (void *arg, struct http_head *head,
                    enum http_framing framing, uint64_t length);
/** Bytes of its body came.  */
void exchange_data (void *arg, struct evbuffer *data);
/** The attempt under way, struct exchange, ended; its call is gone.  */
void exchange_attempt_ended (void *arg, enum pool_end end);
/** Whether time and budget allow one more attempt after OUTCOME; takes it from
    the budget.  */
bool exchange_may_try_again (struct exchange *e, enum attempt_outcome outcome,
                             int64_t now);
/** Gives back the permit of the attempt that ended.  */
void exchange_end_permit (struct exchange *e);
/** Forgets the answer of the attempt that ended.  */
void exchange_clear_answer (struct exchange *e);
/** This VM's part of the connections to one instance.  */
unsigned exchange_connection_share (const struct exchange *e);
/** Writes the line that says how E ended.  */
void exchange_log_end (const struct exchange *e, const char *outcome,
                       unsigned status);

/* Reading a prompt apart.  */

/** The call that had the prompt read ended.  */
void reading_ended (struct exchange *e, enum pool_end end);
/** Frees what was read for E and not fetched.  */
void reading_drop (struct exchange *e);

#endif
