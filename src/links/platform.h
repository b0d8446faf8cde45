/** @file
    What a platform provides beside the product's own file and membership:
    tables of functions that translate its messages into the product's types.
    They decide nothing and keep nothing.  */
#ifndef LINKS_PLATFORM_H
#define LINKS_PLATFORM_H

#include "base/http_head.h"
#include "decide/route_table.h"
#include "decide/upstreams.h"
#include "links/http_client.h"
#include "links/kv.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** What a caller's request says of itself.  */
struct request_facts
{
  char *id;                  /**< NULL where it has none */
  int64_t caller_timeout_ms; /**< -1 where unknown */
  bool has_prompt;
  struct prompt prompt;
};

/** What the product sets in a request to an upstream.  */
struct request_marks
{
  const char *upstream;       /**< instance that may run it */
  int64_t caller_timeout_ms;  /**< how long the response is waited for */
  bool prefill_only;          /**< the upstream only prefills the prompt */
  const char *prefill_handle; /**< of parse_prefill_handle; NULL for none */
  const char *resume_after; /**< last event that the caller has; NULL to leave
                                 the field as the caller sent it */
};

/** What an upstream's answer says beside its status.  */
struct answer_facts
{
  bool not_run;            /**< the upstream did not run the request */
  bool signed_by_upstream; /**< it bears the upstream's own mark */
};

/** A caller's question for entry addresses.  */
struct entry_question
{
  char *host;
  char *region;
  char *failure_domain;
};

/** How callers' requests and upstreams' answers say what the product needs to
    know of them.  */
struct request_ops
{
  const char *id_field;           /**< field that names a request */
  bool answers_name_request;      /**< upstreams' answers have it, too */
  const char *const *kept_fields; /**< fields that no Connection field may
                                       remove, ended by NULL */

  /** Reads HEAD and removes from it what only the product may set.  The id is
      to be freed.  */
  void (*read_request) (struct http_head *head, struct request_facts *out);
  /** Sets the product's marks in HEAD.  */
  void (*mark_request) (struct http_head *head,
                        const struct request_marks *marks);
  /** Reads the head of an upstream's answer.  */
  void (*read_answer) (const struct http_head *head, struct answer_facts *out);
  /** Sets for how long a refused caller should wait.  */
  void (*mark_refusal) (struct http_head *head, unsigned retry_after_ms);

  /* Of engines; NULL where requests have no prompts.  */

  /** Where the prompt that the upstream at ADDRESS has read can be fetched,
     from the body of its answer; to be freed, NULL where it names none.  */
  char *(*parse_prefill_handle) (const char *address, const void *data,
                                 size_t size);
  /** Head of a request that frees PREFILL_HANDLE at its upstream.  */
  struct http_head *(*build_prefill_release) (const char *prefill_handle);
};

/** The platform.  */
struct platform_ops
{
  const struct request_ops *requests;
  const char *routes_key;       /**< key of the routes in the service */
  const char *upstreams_prefix; /**< prefix of the upstreams' keys */

  /** Head of the order that makes the engine INFO take ROLE, given by HOLDER
      under FENCING; BODY is to be freed.  */
  struct http_head *(*write_order) (const struct upstream_info *info,
                                    enum upstream_role role,
                                    const char *holder, uint64_t fencing,
                                    char **body);

  /** Decodes the routes.  Returns NULL and sets ERROR, with the place of the
      mistake.  */
  struct route_table *(*decode_routes) (const void *data, size_t size,
                                        GError **error);
  /** Decodes one upstream under KEY.  Returns false and sets ERROR.  */
  bool (*decode_upstream) (const char *key, const void *data, size_t size,
                           struct upstream_info *out, GError **error);
  /** Id of the upstream under KEY.  */
  const char *(*upstream_id) (const char *key);

  /** Whether HEAD asks for entry addresses; fills OUT, to be freed.  */
  bool (*read_entry_question) (const struct http_head *head,
                               struct entry_question *out);
  /** Body that answers with ADDRESSES for TTL_S seconds; to be freed.  */
  char *(*write_entry_answer) (const GPtrArray *addresses, double ttl_s);
  /** Whether HEAD asks if this VM is ready.  */
  bool (*is_ready_question) (const struct http_head *head);

  /** Opens the key-value service at ADDRESS.  */
  struct kv *(*open_kv) (struct event_base *base, struct http_client *http,
                         const char *address);
};

#endif
