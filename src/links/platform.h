/** @file
    Interface to the users' platform, which can supply routes, upstreams and a
    registry of VMs in place of the product's own file and membership: tables
    of functions that translate the platform's HTTP heads, configuration and
    upstream entries into the product's types.  These functions make no
    decisions, and only the decoder of routes and the store keep state.  */
#ifndef LINKS_PLATFORM_H
#define LINKS_PLATFORM_H

#include "base/http_head.h"
#include "decide/route_table.h"
#include "decide/upstreams.h"
#include "decide/usage.h"
#include "links/http_client.h"
#include "links/kv.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Decoder of versions of the routes.  */
struct route_decoder;

/** Result of a step of a decoder.  */
enum route_decode_step
{
  ROUTE_DECODE_MORE,  /**< there are more steps to do */
  ROUTE_DECODE_DONE,  /**< the version is decoded */
  ROUTE_DECODE_FAILED /**< the version is invalid and dropped */
};

/** What the header fields of a caller's request state.  */
struct request_info
{
  char *id;  /**< request id; NULL if the request has none */
  char *key; /**< key of a client account; NULL if there is none */
  int64_t caller_timeout_ms; /**< -1 if not stated */
  bool has_prompt;           /**< the number of prompt tokens is stated */
  struct prompt prompt;
};

/** What is set in the header fields of a request to an upstream.  */
struct forwarded_info
{
  const char *upstream;      /**< id of the only instance that may run it */
  int64_t caller_timeout_ms; /**< time left to wait for the response */
  bool prefill_only; /**< run only the prefill; another engine decodes */
  const char *prefill_handle; /**< where to fetch the prefilled KV cache, from
                            parse_prefill_handle; NULL for none */
  const char *resume_after; /**< id of the last event sent to the caller; NULL
                                 keeps the caller's own field */
  const char *account;      /**< name of the caller's account; NULL for none */
  bool remove_key;          /**< the request must not show the caller's key */
};

/** What a response says about a limit of requests a second.  */
enum limit_statement
{
  LIMIT_UNKNOWN, /**< nothing: it is no complete success, or the field is
                      malformed */
  LIMIT_NONE,    /**< the upstream has no limit */
  LIMIT_STATED   /**< the upstream has a limit */
};

/** What the head of an upstream's response states.  */
struct response_info
{
  bool not_run;            /**< the upstream did not run the request */
  bool sent_by_upstream;   /**< the upstream itself sent the response */
  bool leaving;            /**< the upstream is shutting down */
  unsigned retry_after_ms; /**< time for which the upstream, which refused the
                                request, accepts no others; 0 for none */
  enum limit_statement limit; /**< whether it limits the rate of requests */
  double limit_per_s; /**< requests a second that it accepts from all VMs
                           together, if LIMIT is LIMIT_STATED */
};

/** A caller's query for the addresses where requests are accepted; each field
    is NULL if the query omits it.  */
struct entry_query
{
  char *host;
  char *region;
  char *failure_domain;
};

/** Order for the number of instances of one kind.  */
struct scale_order
{
  const char *service;
  const char *failure_domain;
  bool spot;        /**< spot instances; otherwise regular ones */
  unsigned desired; /**< all instances of that kind there */
};

/** Functions that read and set the header fields of callers' requests and
    upstreams' responses.  */
struct request_ops
{
  const char *id_field;     /**< header field of the request id */
  bool responses_repeat_id; /**< upstreams' responses repeat the request id */
  const char *const *protected_fields; /**< forwarded even if a Connection
                                       field names them; ended by NULL */

  /** Fills OUT from HEAD, and removes from HEAD the fields that only
      buckthornd may set.  The calling code frees the id and the key.  */
  void (*read_request) (struct http_head *head, struct request_info *out);
  /** Sets the header fields that state INFO in HEAD, the head of a request to
      an upstream.  */
  void (*set_forwarded_fields) (struct http_head *head,
                                const struct forwarded_info *info);
  /** Fills OUT from HEAD, the head of an upstream's response.  */
  void (*read_response) (const struct http_head *head,
                         struct response_info *out);
  /** Sets Retry-After in HEAD, the head of a refusal.  */
  void (*set_retry_after) (struct http_head *head, unsigned retry_after_ms);

  /* Remote prefill; NULL if requests have no prompts.  */

  /** Returns where the KV cache that the engine at ADDRESS has prefilled can
      be fetched, from DATA, the body of its response; NULL if that does not
      say.  The calling code frees it.  */
  char *(*parse_prefill_handle) (const char *address, const void *data,
                                 size_t size);
  /** Returns the head of the request that releases the prefilled KV cache
      named by PREFILL_HANDLE at its engine.  */
  struct http_head *(*build_prefill_release) (const char *prefill_handle);
};

/** Functions and names of one platform.  */
struct platform_ops
{
  const struct request_ops *requests;
  const char *routes_key; /**< key of the routes in the platform's store */
  const char *upstreams_prefix; /**< key prefix of the upstreams' entries */

  /** Returns the head of the request that orders the engine INFO to change to
      ROLE, sent by the order holder HOLDER with the fencing token FENCING.
      The calling code frees BODY.  */
  struct http_head *(*write_role_order) (const struct upstream_info *info,
                                         enum upstream_role role,
                                         const char *holder, uint64_t fencing,
                                         char **body);

  /** Returns the head of the call that makes ORDER, without the fields that
      all calls of a duty have.  The calling code frees BODY.  */
  struct http_head *(*write_scale_order) (const struct scale_order *order,
                                          char **body);

  /** Sets the fields of a duty call in HEAD: the name of its sender, HOLDER,
      and the fencing token FENCE.  */
  void (*set_duty_fields) (struct http_head *head, const char *holder,
                           uint64_t fence);

  const char *usage_path; /**< target of usage reports */
  /** Returns the body of the usage report of WINDOW with TOTALS, of struct
      usage_total.  The calling code frees it.  */
  char *(*write_usage_report) (uint64_t window, const GArray *totals);

  /** Creates a decoder of routes.  It keeps the elements of the last version
      that it decoded, so that the next one costs what changed.  */
  struct route_decoder *(*create_route_decoder) (void);
  /** Frees a decoder, which may be NULL.  */
  void (*destroy_route_decoder) (struct route_decoder *d);
  /** Begins to decode VALUE, of which VERSION is set; drops a version in
      progress.  Returns false if the text as a whole is invalid, and ERROR
      then names the faulty field, or the line of a syntax error.  */
  bool (*begin_routes) (struct route_decoder *d, GBytes *value,
                        uint64_t *version, GError **error);
  /** Decodes one element of the version that was begun.  Sets TABLE, of which
      the calling code owns a reference, at the last one; or ERROR, which names
      the faulty element and field.  */
  enum route_decode_step (*decode_step) (struct route_decoder *d,
                                         struct route_table **table,
                                         GError **error);
  /** Decodes DATA, the entry of an upstream under KEY.  Returns false and sets
      ERROR if it is invalid; OUT then holds nothing.  */
  bool (*decode_upstream) (const char *key, const void *data, size_t size,
                           struct upstream_info *out, GError **error);
  /** Returns the id of the upstream whose entry is under KEY.  */
  const char *(*upstream_id) (const char *key);

  /** Returns whether HEAD is a query for entry addresses, and fills OUT if so.
      The calling code frees the fields of OUT.  */
  bool (*read_entry_query) (const struct http_head *head,
                            struct entry_query *out);
  /** Returns the body of a response with ADDRESSES, which may be cached for
      TTL_S seconds.  The calling code frees it.  */
  char *(*write_entry_response) (const GPtrArray *addresses, double ttl_s);
  /** Returns whether HEAD is a readiness probe of this VM.  */
  bool (*is_readiness_probe) (const struct http_head *head);

  /** Opens the platform's store at ADDRESS, IP:PORT.  */
  struct kv *(*open_kv) (struct event_base *base, struct http_client *http,
                         const char *address);
};

#endif
