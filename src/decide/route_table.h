/** @file
    Route table: maps the host and path of an HTTP request to a route, and the
    route to the service that handles the request.

    The table also knows the client accounts that may use the routes.  It holds
    one version of the configuration and is not changed once it is in use.  The
    module does no I/O and reads no clock.  */
#ifndef DECIDE_ROUTE_TABLE_H
#define DECIDE_ROUTE_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** How often and in which form the requests of a route run.  */
enum route_kind
{
  ROUTE_IDEMPOTENT, /**< may run any number of times */
  ROUTE_ONCE,       /**< may run at most once */
  ROUTE_STREAM      /**< answered with server-sent events; may run at most
                         once, unless the route is resumable */
};

/** A service that gets part of a route's requests.  */
struct route_target
{
  char *service;
  unsigned weight; /**< relative to the sum of the route's weights */
};

/** A route.  */
struct route
{
  char *name;
  char *host;
  char *prefix; /**< path prefix; starts and ends with a slash */
  enum route_kind kind;
  bool resumable;      /**< a broken stream can be continued after the last
                            event id received */
  bool has_prompts;    /**< requests carry the parts and the token count of
                            their prompt */
  unsigned attempts;   /**< maximum number of upstreams tried per request */
  unsigned priority;   /**< 0 is the most urgent */
  bool is_public;      /**< needs no key, even if the table requires keys */
  unsigned timeout_ms; /**< for the whole request; 0: the daemon's default */
  unsigned target_ms; /**< latency objective; to the first event of a stream */
  unsigned event_gap_ms; /**< target for the longest gap between two events; 0
                            if none is set */
  GArray *targets;       /**< struct route_target */
};

/** A failure domain in which the instances of a service are sized.  */
struct scaling_domain
{
  char *name;
  double price; /**< of a second of a regular instance */
};

/** How the number of instances of a service may be changed.  */
struct route_scaling
{
  unsigned min;      /**< instances in a failure domain, of both kinds */
  unsigned max;      /**< the same; 0: the number is fixed */
  unsigned boot_ms;  /**< from an order to the first request */
  double spot_price; /**< of a spot instance, relative to a regular one */
  GArray *domains;   /**< struct scaling_domain; NULL if the number is
                          fixed */
};

/** A service.  */
struct route_service
{
  char *name;
  char *health_path;
  unsigned connections; /**< maximum to each instance, over all VMs */
  bool is_engine;
  unsigned slots;     /**< number of requests that an engine runs
                           concurrently */
  uint64_t kv_tokens; /**< capacity of an engine's KV cache, in tokens */
  uint64_t kv_bytes_per_token; /**< size of a token in the KV cache */
  double link_mbit_per_s;      /**< rate of transfers between two engines */
  unsigned role_change_ms; /**< time for which an engine that changes its role
                                takes no requests, after its running ones; 0 if
                                unknown */
  struct route_scaling scaling;
};

/** A client account.  Its callers state one of its keys in each request.  */
struct route_account
{
  char *name;
  bool has_priority; /**< PRIORITY replaces the priority of the route */
  unsigned priority; /**< 0 is the most urgent */
};

/** Limits on the requests of callers.  0 means that the daemon's default
    applies.  */
struct caller_limits
{
  uint64_t head_bytes; /**< maximum size of the request head */
  uint64_t body_bytes; /**< maximum size of the request body */
  unsigned read_ms;    /**< from the first byte of a request to its last */
  unsigned idle_ms;    /**< between two requests on a connection */
};

/** Bytes of the secret under which the keys of accounts are hashed.  */
#define ROUTE_SECRET_BYTES 32

struct route_table;

/** Frees what a struct scaling_domain refers to; for a GArray of these.  */
void scaling_domain_clear (void *domain);

/** Creates an empty table of VERSION with a reference count of 1.  */
struct route_table *route_table_create (uint64_t version);

/** Takes a reference to T and returns T.  */
struct route_table *route_table_ref (struct route_table *t);

/** Drops a reference to T; the last one frees it.  T may be NULL.  */
void route_table_unref (struct route_table *t);

/** Adds a copy of ROUTE to T, which takes ownership of its strings and
    targets.  Returns the copy.  */
const struct route *route_table_add (struct route_table *t,
                                     const struct route *route);

/** Adds ROUTE, which another table may hold as well.  */
void route_table_share (struct route_table *t, const struct route *route);

/** Takes a reference to ROUTE, which a table holds, and returns it.  */
const struct route *route_ref (const struct route *route);

/** Drops a reference to ROUTE.  */
void route_unref (const struct route *route);

/** Adds a copy of SERVICE to T, which takes ownership of its strings and
    failure domains.  A service of the same name is replaced.  */
void route_table_add_service (struct route_table *t,
                              const struct route_service *service);

/** From now on callers must state a key of an account of T, unless the route
   is public: the configuration lists accounts, and be it none.  */
void route_table_require_keys (struct route_table *t);

/** Sets the secret under which the keys of accounts are hashed; to be called
    before a key is added.  */
void route_table_set_secret (struct route_table *t,
                             const guint8 secret[ROUTE_SECRET_BYTES]);

/** Adds a copy of ACCOUNT to T, which takes ownership of its name and requires
    keys from now on.  Returns the copy.  */
const struct route_account *
route_table_add_account (struct route_table *t,
                         const struct route_account *account);

/** Adds ACCOUNT with its keys, which another table of the same secret may hold
    as well; T requires keys from now on.  A key that another account of T has
    stays with that one.  */
void route_table_share_account (struct route_table *t,
                                const struct route_account *account);

/** Takes a reference to ACCOUNT, which a table holds, and returns it.  */
const struct route_account *
route_account_ref (const struct route_account *account);

/** Drops a reference to ACCOUNT.  */
void route_account_unref (const struct route_account *account);

/** Adds KEY, which identifies the account added last.  T keeps only a keyed
    hash of KEY.  Returns false if another account has the same key.  */
bool route_table_add_key (struct route_table *t, const char *key);

/** Builds the index of the routes; to be called once, after the last route was
    added and before one is looked up.  */
void route_table_finish (struct route_table *t);

/** Sets the limits on the requests of callers.  */
void route_table_set_limits (struct route_table *t,
                             const struct caller_limits *limits);

/** Version of the configuration that T holds.  */
uint64_t route_table_version (const struct route_table *t);
/** Limits on the requests of callers.  */
const struct caller_limits *route_table_limits (const struct route_table *t);
/** Number of routes.  */
unsigned route_table_count (const struct route_table *t);

/** The route of HOST with the longest prefix of TARGET, which is an HTTP
    request target (path and query).  The case and the port of HOST are
    ignored.  Of two routes with the same prefix the one added first counts.
    NULL if no route matches.  Takes time by the logarithm of the host's
    routes.  */
const struct route *route_table_find (const struct route_table *t,
                                      const char *host, const char *target);

/** Whether callers must state a key of an account, unless the route is public.
    If they must and T has no account, only public routes can be used.  */
bool route_table_requires_keys (const struct route_table *t);
/** Number of accounts.  */
unsigned route_table_count_accounts (const struct route_table *t);
/** The account that KEY, which may be NULL, identifies; or NULL.  */
const struct route_account *route_table_account (const struct route_table *t,
                                                 const char *key);
/** Calls VISIT with ARG for each account.  */
void route_table_each_account (const struct route_table *t,
                               void (*visit) (void *arg,
                                              const struct route_account *a),
                               void *arg);

/** The service called NAME, or NULL.  */
const struct route_service *route_table_service (const struct route_table *t,
                                                 const char *name);

/** Calls VISIT with ARG for each service.  */
void route_table_each_service (const struct route_table *t,
                               void (*visit) (void *arg,
                                              const struct route_service *s),
                               void *arg);

/** Least target for the gap between two events, in ms, of the routes that send
    requests to SERVICE; 0 if none has one.  */
unsigned route_table_event_gap_ms (const struct route_table *t,
                                   const char *service);

/** Name of the service that handles the request REQUEST_ID of ROUTE.  Services
    are chosen in proportion to their weights, by a hash of REQUEST_ID, so that
    every attempt of a request gets the same service.  NULL if all weights
    are 0.  */
const char *route_pick_service (const struct route *route,
                                const char *request_id);

/** Whether requests of ROUTE may run more than once.  */
bool route_repeatable (const struct route *route);

/** Name of KIND for logs.  */
const char *route_kind_name (enum route_kind kind);

#endif
