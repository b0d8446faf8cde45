/** @file
    Routes: which service a request goes to, and what may be done with it.

    A table is one version of the configuration and never changes.  Pure.  */
#ifndef DECIDE_ROUTES_H
#define DECIDE_ROUTES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** What a request of a route is.  */
enum route_kind
{
  ROUTE_IDEMPOTENT, /**< may run any number of times */
  ROUTE_ONCE,       /**< may run at most once */
  ROUTE_STREAM      /**< server-sent events; runs at most once unless the
                         stream can be resumed */
};

/** One of the services that share a route.  */
struct route_target
{
  char *service;
  unsigned weight; /**< share among the weights of its route */
};

/** One route.  */
struct route
{
  char *name;
  char *host;
  char *prefix; /**< of the path; starts and ends with a slash */
  enum route_kind kind;
  bool resumable;    /**< its streams go on after an event id */
  bool has_prompts;  /**< requests say their prompt's parts and size */
  unsigned attempts; /**< most upstreams that one request is sent to */
  unsigned priority; /**< 0 is the most urgent */
  unsigned timeout_ms;
  unsigned target_ms; /**< latency objective, to the first event of streams */
  unsigned event_gap_ms; /**< longest pause between events on time, or 0 */
  GArray *targets;       /**< struct route_target */
};

/** One service.  */
struct route_service
{
  char *name;
  char *health_path;
  unsigned connections; /**< most to each of its instances, from all VMs */
  bool is_engine;
  unsigned slots;     /**< requests that an engine runs at once */
  uint64_t kv_tokens; /**< tokens that an engine's memory holds */
};

/** What callers may send and how long they may take; 0 for no bound.  */
struct caller_limits
{
  uint64_t head_bytes;
  uint64_t body_bytes;
  unsigned read_ms;
  unsigned idle_ms;
};

struct route_table;

/** Makes an empty table of VERSION, held once.  */
struct route_table *route_table_create (uint64_t version);

/** Holds T once more; returns it.  */
struct route_table *route_table_ref (struct route_table *t);

/** Gives up one hold of T; the last one releases it.  T may be NULL.  */
void route_table_unref (struct route_table *t);

/** Adds a route and takes what it holds.  */
void route_table_add (struct route_table *t, const struct route *route);

/** Adds a service and takes what it holds.  */
void route_table_add_service (struct route_table *t,
                              const struct route_service *service);

/** Sets the limits of callers.  */
void route_table_set_limits (struct route_table *t,
                             const struct caller_limits *limits);

/** Version of T.  */
uint64_t route_table_version (const struct route_table *t);
/** Limits of callers.  */
const struct caller_limits *route_table_limits (const struct route_table *t);
/** Number of routes.  */
unsigned route_table_count (const struct route_table *t);

/** The route of HOST, without regard to case and port, whose prefix is the
    longest that begins TARGET; NULL where there is none.  */
const struct route *route_table_find (const struct route_table *t,
                                      const char *host, const char *target);

/** The service NAME, or NULL.  */
const struct route_service *route_table_service (const struct route_table *t,
                                                 const char *name);

/** Calls BACK for each service.  */
void route_table_each_service (const struct route_table *t,
                               void (*back) (void *arg,
                                             const struct route_service *s),
                               void *arg);

/** The target of ROUTE for a request, by its weights; the same for the same
    REQUEST_ID.  */
const char *route_pick (const struct route *route, const char *request_id);

/** Whether requests of ROUTE may run more than once.  */
bool route_repeatable (const struct route *route);

/** Name of KIND for logs.  */
const char *route_kind_name (enum route_kind kind);

#endif
