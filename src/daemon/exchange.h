/** @file
    One caller's request in the proxy, from its arrival to the end of its
    response.  Private to the source files of the proxy.

    A request has one or more attempts, each at another instance of its
    service.  Where an engine that only runs prefill is expected to be faster,
    that engine first prefills the prompt (remote prefill), and an attempt at
    a second engine then fetches the KV cache from it and generates.

    An upstream that is silent may be working.  A request that may run more
    than once then gets a second attempt, a hedge, beside the first one.  The
    first of the two to deliver something for the caller is kept, the other one
    is cancelled.  */
#ifndef DAEMON_EXCHANGE_H
#define DAEMON_EXCHANGE_H

#include "base/clock.h"
#include "daemon/proxy_parts.h"
#include "daemon/sse.h"
#include "decide/arrivals.h"
#include "decide/attempts.h"
#include "decide/memory_budget.h"
#include "decide/placement.h"
#include "decide/response_times.h"
#include "decide/route_table.h"
#include "decide/token_queue.h"
#include "decide/work_estimate.h"
#include "links/http_listener.h"

/** Most instances that one request is sent to, remote prefill included.  */
#define EXCHANGE_TRIED_MAX 8
/** Most engines that are asked to decode for one request, before its remote
    prefill.  */
#define EXCHANGE_DECODES_ASKED_MAX 3
/** No further attempt starts with less time than this before the deadline.  */
#define EXCHANGE_ATTEMPT_MIN_MS 40
/** Longest idle time after which a connection to an upstream is reused.  */
#define EXCHANGE_REUSE_MS 60000

/** Longest time for which bytes to an upstream, or probes, may stay
    unacknowledged.  A sound host may stand still, or be cut off, for some
    seconds.  */
#define EXCHANGE_UNACKED_MS 5000

/** State of the proxy; see proxy.h.  */
struct proxy
{
  struct proxy_parts parts;
  struct route_table *table;    /* NULL before the first proxy_set_routes */
  GHashTable *open;             /* set of struct exchange in progress */
  struct token_queue *waiting;  /* requests that wait for a token */
  struct response_times *times; /* longest responses of each route */
  struct work_estimates *work;  /* events of the answers of each route */
  size_t most_used;   /* highest use of the memory budget since memory was last
                         returned to the system */
  int64_t trimmed_ms; /* when that was */
  struct event *timer;      /* checks for unresponsive upstreams */
  int64_t usage_logged_ms;  /* when the retry budgets were last logged */
  int64_t shutdown_from_ms; /* FROM_MS of proxy_set_shutdown, or 0 */
  int64_t end_ms; /* END_MS of proxy_set_shutdown; 0: VM not stopping */
};

/** One attempt of a request at one upstream, or the remote prefill before
    it.  */
struct attempt
{
  struct exchange *exchange;
  struct pool_call *call;        /* the HTTP call in progress, or NULL */
  struct upstream_work work;     /* load of this attempt at the upstream */
  struct upstream_choice choice; /* latest; a permit is requested for it */
  permit_ticket permit;          /* permit requested or held; 0 for none */
  char upstream_id[64];          /* for logs */
  bool prefilling;               /* the call is a remote prefill */
  bool paused;                   /* its response waits for the caller */
  bool silence_logged;

  struct http_head *answer;           /* response head, or NULL */
  enum http_framing upstream_framing; /* of the response */
  enum http_framing framing;          /* of the response to the caller */
  uint64_t length; /* body length; used if framing has a length */
  struct response_info response_info;
  struct evbuffer *held; /* response bytes not yet forwarded */
  struct sse events;     /* splits an event stream into complete events */
  bool is_events;        /* the response is an event stream of a streaming
                            route and is forwarded event by event */
  unsigned held_events;  /* complete events that HELD has */
  bool ends_with_event;  /* the response has events and no framing: it is
                            complete only if it ends after an event */
  bool first_byte;       /* body bytes of a trusted success arrived */
  bool counted;          /* in the usage of the caller's account */
};

/** One caller's request.  Times in ms are of the monotonic clock.  */
struct exchange
{
  struct proxy *proxy;
  struct inbound_request *caller;
  struct request_info facts;
  struct route_table *table; /* current when the request arrived, or NULL */
  const struct route *route;
  const struct route_account *account; /* of the caller; NULL for none */
  bool is_canary;      /* sent although a part of its prompt is in
                          quarantine */
  const char *service; /* chosen among the route's targets */
  int64_t since_ms;    /* earliest time at which it can have come */
  int64_t until_ms;    /* deadline of the request */
  int64_t unread_ms;   /* time that it may have waited to be read */
  struct event *timer; /* expires at until_ms */

  struct attempts attempts; /* decides whether a retry is allowed */
  struct arrivals arrivals; /* what the calls cost of the retry budget */
  struct attempt *current;  /* latest attempt */
  struct attempt *silent;   /* earlier attempt, still open, whose upstream was
                               silent; then CURRENT is a hedge.  Or NULL */
  struct attempt *failed;   /* complete response that reports a failure, for
                               when no other attempt succeeds; or NULL */
  int64_t hedge_from_ms;    /* no hedge before this time */
  bool hedge_sent;          /* a hedge was sent beside SILENT */
  upstream_handle tried[EXCHANGE_TRIED_MAX]; /* upstreams not chosen again */
  unsigned n_tried;
  unsigned tries;                 /* attempts sent, without remote prefills */
  unsigned calls;                 /* attempts and remote prefills sent */
  unsigned permit_requests;       /* permit requests of this attempt */
  unsigned permit_requests_total; /* permit requests of all attempts */
  upstream_handle token;          /* upstream whose token is held for the
                                     current attempt; 0 for none */
  upstream_handle decode_token;   /* the same for the reserved decode */
  int64_t waits_since_ms;         /* waits for a token since then; 0: does
                                     not */
  unsigned limit_wait_ms;         /* time spent waiting for tokens */
  unsigned retry_after_ms;        /* Retry-After sent to a refused caller */
  const char *no_retry;  /* why no further attempt was made, for logs; or "" */
  double expected_ms;    /* predicted time to the first byte, latest choice */
  double uncorrected_ms; /* predicted time to the first byte for the first
                            choice, without the correction factor; 0 unless the
                            prompt is long */

  struct upstream_choice decode; /* engine reserved for the decode after a
                                    remote prefill; handle 0: none */
  upstream_handle decode_after;  /* engine of that remote prefill */
  permit_ticket decode_permit;   /* permit requested or held for it */
  unsigned decodes_asked;        /* engines asked to decode */
  upstream_handle decode_refused[EXCHANGE_DECODES_ASKED_MAX];
  unsigned n_decode_refused;
  bool no_remote_prefill; /* no engine accepts the decode after one, or the
                             retry budget does not allow one */

  upstream_handle prefill_engine; /* holds the prefilled KV cache */
  char *prefill_handle; /* handle to fetch that KV cache with, or NULL */

  bool started;            /* the response head was sent to the caller */
  bool started_events;     /* and announces an event stream */
  unsigned started_status; /* its status */
  size_t held_bytes;       /* of responses whose caller gets nothing yet, as
                              the memory budget knows them */
  char *last_event_id;     /* of the last event sent to the caller, or NULL */
  int64_t first_ms;        /* first byte of a trusted success; 0: none */
  unsigned events;         /* of the response, over all attempts */
  int64_t first_event_ms;  /* when the first one arrived; 0: none has */
  int64_t event_ms;        /* when the latest one arrived */
};

/* Attempts.  */

/** Creates an attempt of E that is not sent yet.  */
struct attempt *attempt_create (struct exchange *e);
/** Frees A, which may be NULL; cancels its call and ends its permit.  */
void attempt_destroy (struct attempt *a);
/** Kind of the call of A.  */
enum call_kind attempt_call_kind (const struct attempt *a);
/** Discards the response of A, whose call has ended, so that A can be sent
    again.  */
void attempt_reset (struct attempt *a);

/* Ending a request.  Each of these functions frees E.  */

/** Frees E; cancels its call, ends its permit and releases an unused remote
    prefill.  Sends nothing to the caller.  */
void exchange_free (struct exchange *e);
/** Responds with STATUS and no body, and logs OUTCOME.  RETRY_AFTER_MS goes
    into the response unless it is 0.  */
void exchange_reply (struct exchange *e, unsigned status, const char *outcome,
                     unsigned retry_after_ms);
/** Responds 503: the request has not run and will not.  Logs WHY.
    RETRY_AFTER_MS is clamped to LOAD_SHED_RETRY_AFTER_MIN_MS and
    LOAD_SHED_RETRY_AFTER_MAX_MS.  */
void exchange_refuse (struct exchange *e, const char *why,
                      unsigned retry_after_ms);
/** Responds with STATUS: the request may have run, its outcome is unknown.
    Logs WHY.  */
void exchange_reply_unknown (struct exchange *e, const char *why,
                             unsigned status);
/** Aborts the caller's connection, so that the response is seen to be
    incomplete.  Logs WHY.  */
void exchange_abort (struct exchange *e, const char *why);
/* Attempts of a request.  */

/** Sends the current attempt of E to the best instance or requests a permit
    for it.  If no instance is left or the wait would be too long, waits for
    the silent attempt, or ends E if there is none.  */
void exchange_start_attempt (struct exchange *e);
/** The attempt A ended with END; its call was freed.  Finishes the response,
    starts a retry, waits for the other attempt or ends the request.  */
void exchange_attempt_ended (struct attempt *a, enum pool_outcome end);
/** No further attempt follows, and none is open: ends E after OUTCOME, with
    the failure that an upstream reported, if there is one.  */
void exchange_give_up (struct exchange *e, enum attempt_outcome outcome);
/** Whether the deadline, EXCHANGE_TRIED_MAX and the service's retry budget
    allow one more attempt.  Pays for it.  */
bool exchange_retry_allowed (struct exchange *e, int64_t now);
/** Whether a further attempt may continue E's response, as far as it was sent
    to the caller.  */
bool exchange_is_resumable (const struct exchange *e);
/** Most connections that this VM may hold to one instance of E's service.  */
unsigned exchange_connection_share (const struct exchange *e);
/** Whether E must reach no upstream any more, as a part of its prompt is in
    quarantine.  */
bool exchange_is_quarantined (const struct exchange *e);
/** Priority of E, 0 for the most urgent: its account's, or else its
    route's.  */
unsigned exchange_priority (const struct exchange *e);
/** Writes the request_end log line of E.  */
void exchange_log_end (const struct exchange *e, const char *outcome,
                       unsigned status);

/* Retry budget.  */

/** Counts E towards the budget of its service.  */
void exchange_record_request (struct exchange *e);
/** Pays for a call of KIND, unless it is already paid or costs nothing.
    Returns false, and logs what is left, if the budget does not allow it.  */
bool exchange_pay (struct exchange *e, enum call_kind kind);
/** Gives back what E has paid for calls that reached no upstream.  */
void exchange_return_unused (struct exchange *e);

/* Limits of requests a second.  */

/** Takes a token for H, if H is limited, in place of the one HELD; HELD is
    then 0 or H.  Returns false if there is none.  */
bool exchange_hold_token (struct exchange *e, upstream_handle *held,
                          upstream_handle h, int64_t now);
/** Gives back the token HELD, if it is not 0, and sets HELD to 0.  */
void exchange_drop_token (struct exchange *e, upstream_handle *held);
/** Spends a token for a call to H: the one held for the current attempt, or
    another.  Returns false if H is limited and there is none.  */
bool exchange_spend_token (struct exchange *e, upstream_handle h, int64_t now);
/** E, which is placed nowhere as REQUEST, waits for a token if only that is
    missing; it is refused if the wait would be too long.  Returns false if no
    token would help, or E has a better way.  */
bool exchange_wait_for_token (struct exchange *e,
                              const struct placement_request *request,
                              int64_t now);
/** E waits no longer.  */
void exchange_leave_queue (struct exchange *e);
/** P may have got tokens: sends the requests that wait for them, and refuses
    those that would wait too long.  */
void exchange_tokens_arrived (struct proxy *p);

/* Response of an upstream.  */

/** Counts the request of A, which may have run, in the usage of the caller's
    account, unless it was counted, is a remote prefill or began to run only
    with its first token, which did not arrive.  */
void exchange_count_plain (struct attempt *a);
/** Callbacks of the pool for the call of an attempt.  */
extern const struct pool_callbacks exchange_pool_callbacks;
/** Records that the engine or service of A has sent its first byte, or has
    ended a remote prefill, at NOW.  Returns the time in ms that it took; 0 if
    unknown.  */
unsigned exchange_record_prefilled (struct attempt *a, int64_t now);
/** How an attempt A whose call ended with END went.  */
enum attempt_outcome exchange_classify (const struct attempt *a,
                                        enum pool_outcome end);
/** Whether the upstream of A has broken off its event stream, whatever the
    framing says: the stream ends within an event, or it has no event and only
    the end of the connection shows its end.  */
bool exchange_stream_is_truncated (const struct attempt *a);
/** Sends the rest of A's complete response to the caller and frees E, to which
    A belongs.  */
void exchange_finish_response (struct attempt *a);

/* Work of a request.  */

/** Sets OUT to the expected answer of E.  Returns false if E is not placed by
    its answer: its route has no target for gaps, or nothing is known of it. */
bool exchange_expect_stream (const struct exchange *e, int64_t now,
                             struct placement_stream *out);
/** Records that COUNT events of the response of A arrived.  */
void exchange_record_events (struct attempt *a, unsigned count);
/** Records the events of E's response.  If it IS_COMPLETE they are all;
    otherwise it was cut off at its deadline and counts with the events that
    were still expected, as the estimates would otherwise leave out large
    answers.  */
void exchange_record_work (struct exchange *e, bool is_complete);

/* A second attempt beside one whose upstream is silent.  */

/** Starts a hedge for E if its upstream is silent at NOW and a further attempt
    is allowed; otherwise E goes on waiting.  */
void exchange_check_silence (struct exchange *e, int64_t now);
/** How the silence of an upstream ended for a request that stayed there.  */
enum silence_end
{
  SILENCE_WOKE,   /**< it sent something */
  SILENCE_DIED,   /**< its connection ended */
  SILENCE_TIMEOUT /**< the request's time-out came first */
};
/** Counts and logs the END of the silence of A, which may be NULL, if it was
    silent.  */
void exchange_silence_ended (struct attempt *a, enum silence_end end);
/** A delivers something for the caller: makes it the current attempt and
    cancels the other one, if there is one.  */
void exchange_prefer (struct attempt *a);
/** The current attempt of E is over or was not sent.  Goes back to the silent
    attempt; returns false if there is none that may still lead to a
    response.  */
bool exchange_wait_for_silent (struct exchange *e);
/** The silent attempt of E has ended without a response.  */
void exchange_drop_silent (struct exchange *e);

/* Reservation of the engine that decodes, before a remote prefill.  */

/** Result of exchange_reserve_decode.  */
enum decode_reservation
{
  DECODE_RESERVED, /**< E's request may be prefilled */
  DECODE_PENDING,  /**< exchange_start_attempt continues with the answer */
  DECODE_REFUSED   /**< no engine accepts it; choose without remote prefill */
};

/** Reserves an engine that decodes after the remote prefill C of REQUEST, if
    the decode stage may bind; asks up to EXCHANGE_DECODES_ASKED_MAX engines. A
    reservation ends with exchange_release_decode or with its permit.  */
enum decode_reservation
exchange_reserve_decode (struct exchange *e, const struct upstream_choice *c,
                         const struct placement_request *request, int64_t now);
/** Gives the reservation of E back, if it has one.  */
void exchange_release_decode (struct exchange *e);

/* Remote prefill.  */

/** The remote prefill A ended with END.  Sends the request to its next engine,
    or refuses it after a failed prefill if no further attempt is allowed.  */
void exchange_prefill_ended (struct attempt *a, enum pool_outcome end);
/** Frees the KV cache that was prefilled for E and not fetched.  */
void exchange_prefill_release (struct exchange *e);

#endif
