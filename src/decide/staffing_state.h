/** @file
    State of decide/staffing, which its files share.  */
#ifndef DECIDE_STAFFING_STATE_H
#define DECIDE_STAFFING_STATE_H

#include "decide/staffing.h"
#include "decide/staffing_demand.h"

/** Value of an order that is not known.  */
#define STAFFING_NO_ORDER (-1)

/** Instances of one kind in one failure domain.  While none were ordered,
    those that are there are wanted.  */
struct staffing_pool
{
  /* As last seen.  */
  unsigned ready;
  unsigned leaving;
  bool reclaimed;
  int64_t ready_since_ms; /**< when READY last rose */
  int64_t changed_ms;     /**< when READY or the order last changed */
  int64_t unavailable_until_ms;
  bool was_complete; /**< all that were wanted have been ready */
  /* Order.  */
  int wanted;       /**< STAFFING_NO_ORDER before the first decision */
  bool is_ordered;  /**< an order of a holder is wanted */
  bool is_restored; /**< the order is from the record, not yet compared with
                         what is there */
  int recorded;     /**< in the latest record */
  int accepted;     /**< last accepted by the platform */
  bool in_flight;
  int64_t not_before_ms; /**< no order before this time */
};

/** One failure domain of a service.  */
struct staffing_domain
{
  char *name;
  double price;
  struct staffing_pool regular;
  struct staffing_pool spot;
};

/** One service.  */
struct staffing_service
{
  char *name;
  unsigned min;
  unsigned max;
  unsigned boot_ms;
  double spot_price;
  GArray *domains; /**< struct staffing_domain */
  struct staffing_demand demand;
  int64_t raised_ms;    /**< when a number was last raised */
  unsigned min_regular; /**< MIN, if the platform applies it to the regular
                             instances alone */
  bool lost;            /**< since the latest decision, instances were lost or
                             unavailable */
  bool kept;            /**< in the latest configuration */
};

struct staffing
{
  GPtrArray *services; /**< struct staffing_service */
};

/** Returns service NAME, or NULL.  */
struct staffing_service *staffing_find_service (const struct staffing *s,
                                                const char *name);
/** Returns failure domain NAME of V, or NULL.  */
struct staffing_domain *staffing_find_domain (const struct staffing_service *v,
                                              const char *name);
/** Returns failure domain I of V.  */
static inline struct staffing_domain *
staffing_domain_at (const struct staffing_service *v, unsigned i)
{
  return &g_array_index (v->domains, struct staffing_domain, i);
}

/** Counts the N INSTANCES of V and records which were added, were lost or are
    overdue.  */
void staffing_observe (struct staffing_service *v,
                       const struct staffing_instance *instances, unsigned n,
                       int64_t now_ms);
/** Sets the number that is wanted of P.  */
void staffing_want (struct staffing_pool *p, unsigned count, int64_t now_ms);

#endif
