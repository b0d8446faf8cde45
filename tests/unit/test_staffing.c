/** @file
    Sizing of services: a platform with boot times, drains, reclaims and
    shortages on virtual time, and the decisions of decide/staffing on it.  */
#include "decide/staffing.h"
#include "decide/staffing_demand.h"

#include <math.h>
#include <string.h>

#define SERVICE "m"
#define DOMAINS 6
#define MIN_INSTANCES 1
#define MAX_INSTANCES 16
#define BOOT_MS 4000
#define SPOT_PRICE 0.15
#define DRAIN_MS 3000
#define RECLAIM_NOTICE_MS 2500
#define SHORTAGE_MS 8000
#define STEP_MS 50
#define DECIDE_MS 500
#define ORDER_DELAY_MS 200
#define INITIAL 45
/* Virtual time at which a simulation begins.  */
#define START_MS 1000000

static const char *const domain_names[DOMAINS]
    = { "a1", "b1", "c1", "a2", "b2", "c2" };
static const double domain_prices[DOMAINS] = { 1, 0.8, 1.25, 0.9, 1, 0.8 };

/* The platform.  */

struct instance
{
  unsigned domain;
  bool spot;
  bool reclaimed;
  int64_t ready_ms;
  int64_t leaves_ms; /* 0: stays; drains before */
  unsigned running;
};

struct world
{
  int64_t now_ms;
  GArray *instances; /* struct instance */
  int desired[DOMAINS][2];
  int64_t shortage_until_ms[DOMAINS][2];
  bool counts_kinds_alone; /* the minimum holds for regular ones alone */
  bool silent;             /* orders get no response */
  bool loses_spot;         /* spot instances are accepted and never come */
  unsigned orders;
  unsigned out_of_bounds; /* orders refused for the bounds */
  double price;           /* of all instances, over time */
  /* Requests.  */
  GQueue *waiting; /* arrival times, int64_t */
  GArray *ends;    /* int64_t: when the running requests end */
  GRand *random;
  double load; /* instances that the requests keep busy on average */
  uint64_t arrived;
  uint64_t in_time;
};

static void
add_instances (struct world *w, unsigned domain, bool spot, int count,
               int64_t ready_ms)
{
  struct instance x = { .domain = domain, .spot = spot, .ready_ms = ready_ms };
  for (int i = 0; i < count; i++)
    g_array_append_val (w->instances, x);
}

static struct world *
world_create (void)
{
  struct world *w = g_new0 (struct world, 1);
  w->now_ms = START_MS;
  w->instances = g_array_new (FALSE, TRUE, sizeof (struct instance));
  w->waiting = g_queue_new ();
  w->ends = g_array_new (FALSE, TRUE, sizeof (int64_t));
  w->random = g_rand_new_with_seed (7);
  for (unsigned i = 0; i < DOMAINS; i++)
    {
      int count
          = i < INITIAL % DOMAINS ? INITIAL / DOMAINS + 1 : INITIAL / DOMAINS;
      w->desired[i][0] = count;
      add_instances (w, i, false, count, w->now_ms);
    }
  return w;
}

static void
world_destroy (struct world *w)
{
  g_assert_cmpuint (w->out_of_bounds, ==, 0);
  g_array_unref (w->instances);
  g_array_unref (w->ends);
  g_queue_free_full (w->waiting, g_free);
  g_rand_free (w->random);
  g_free (w);
}

static struct instance *
instance_at (const struct world *w, guint i)
{
  return &g_array_index (w->instances, struct instance, i);
}

static bool
is_ready (const struct world *w, const struct instance *x)
{
  return x->ready_ms <= w->now_ms && x->leaves_ms == 0;
}

/* Ready instances of the kinds that are asked for.  */
static unsigned
count_ready (const struct world *w, bool regular, bool spot)
{
  unsigned n = 0;
  for (guint i = 0; i < w->instances->len; i++)
    {
      const struct instance *x = instance_at (w, i);
      n += is_ready (w, x) && (x->spot ? spot : regular);
    }
  return n;
}

/* Lets COUNT instances drain.  */
static void
drain_instances (struct world *w, unsigned domain, bool spot, int count)
{
  for (guint i = 0; i < w->instances->len && count > 0; i++)
    {
      struct instance *x = instance_at (w, i);
      if (x->domain != domain || x->spot != spot || x->leaves_ms != 0)
        continue;
      x->leaves_ms = w->now_ms + DRAIN_MS;
      count--;
    }
}

static unsigned
find_domain (const char *name)
{
  for (unsigned i = 0; i < DOMAINS; i++)
    if (strcmp (domain_names[i], name) == 0)
      return i;
  g_assert_not_reached ();
}

/* Carries out ORDER as the platform does, and checks it against the bounds of
   the configuration.  */
static enum staffing_outcome
place_order (struct world *w, const struct staffing_order *order)
{
  unsigned i = find_domain (order->failure_domain);
  int *desired = &w->desired[i][order->spot];
  int other = w->desired[i][!order->spot];
  int change = (int)order->desired - *desired;
  w->orders++;
  if (w->silent)
    return STAFFING_UNKNOWN;
  if (w->counts_kinds_alone && !order->spot && order->desired < MIN_INSTANCES)
    return STAFFING_REFUSED;
  if (change > 0 && w->now_ms < w->shortage_until_ms[i][order->spot])
    return STAFFING_UNAVAILABLE;
  if ((int)order->desired + other > MAX_INSTANCES
      || (int)order->desired + other < MIN_INSTANCES)
    {
      w->out_of_bounds++;
      return STAFFING_REFUSED;
    }
  if (order->spot && w->loses_spot)
    return STAFFING_ACCEPTED;
  *desired = (int)order->desired;
  if (change > 0)
    add_instances (w, i, order->spot, change, w->now_ms + BOOT_MS);
  else
    drain_instances (w, i, order->spot, -change);
  return STAFFING_ACCEPTED;
}

/* Takes the spot instances of DOMAIN back, with notice unless SUDDENLY.  */
static void
reclaim (struct world *w, unsigned domain, bool suddenly)
{
  w->desired[domain][1] = 0;
  w->shortage_until_ms[domain][1] = w->now_ms + SHORTAGE_MS;
  for (guint i = 0; i < w->instances->len; i++)
    {
      struct instance *x = instance_at (w, i);
      if (x->domain != domain || !x->spot)
        continue;
      x->reclaimed = true;
      x->leaves_ms = suddenly ? w->now_ms : w->now_ms + RECLAIM_NOTICE_MS;
    }
}

/* Instances boot, leave and are billed.  */
static void
step_instances (struct world *w)
{
  for (guint i = w->instances->len; i-- > 0;)
    {
      struct instance *x = instance_at (w, i);
      if (x->leaves_ms != 0 && x->leaves_ms <= w->now_ms)
        {
          g_array_remove_index_fast (w->instances, i);
          continue;
        }
      w->price += domain_prices[x->domain] * (x->spot ? SPOT_PRICE : 1)
                  * STEP_MS / 1000;
    }
}

/* The requests: each keeps an instance busy for a time, and is answered in
   time if it waits for less than TARGET_MS.  */
#define SERVICE_MS 400
#define TARGET_MS 200
#define GIVE_UP_MS 2000

static void
arrive (struct world *w)
{
  double mean = w->load * STEP_MS / SERVICE_MS;
  double limit = exp (-mean);
  double product = g_rand_double (w->random);
  while (product > limit)
    {
      int64_t *at = g_new (int64_t, 1);
      *at = w->now_ms;
      g_queue_push_tail (w->waiting, at);
      w->arrived++;
      product *= g_rand_double (w->random);
    }
}

static void
step_requests (struct world *w)
{
  unsigned ready = count_ready (w, true, true);
  for (guint i = w->ends->len; i-- > 0;)
    if (g_array_index (w->ends, int64_t, i) <= w->now_ms)
      g_array_remove_index_fast (w->ends, i);
  if (w->load > 0)
    arrive (w);
  while (w->ends->len < ready && !g_queue_is_empty (w->waiting))
    {
      g_autofree int64_t *at = g_queue_pop_head (w->waiting);
      int64_t waited = w->now_ms - *at;
      if (waited > GIVE_UP_MS)
        continue;
      w->in_time += waited <= TARGET_MS;
      double factor = 0.5 + g_rand_double (w->random);
      int64_t end = w->now_ms + (int64_t)(SERVICE_MS * factor);
      g_array_append_val (w->ends, end);
    }
}

static void
world_step (struct world *w)
{
  w->now_ms += STEP_MS;
  step_instances (w);
  step_requests (w);
}

static double
share_in_time (const struct world *w)
{
  return (double)w->in_time / (double)MAX (w->arrived, 1);
}

/* The holder.  */

struct holder
{
  struct staffing *staffing;
  GBytes *record; /* as the store has it */
  GArray *flying; /* struct staffing_order */
  int64_t answers_ms;
  int64_t decides_ms;
  struct staffing_decision latest;
};

static struct staffing *
staffing_with_service (void)
{
  struct route_table *t = route_table_create (1);
  struct route_service v = { .name = g_strdup (SERVICE), .is_engine = true };
  v.scaling = (struct route_scaling){ .min = MIN_INSTANCES,
                                      .max = MAX_INSTANCES,
                                      .boot_ms = BOOT_MS,
                                      .spot_price = SPOT_PRICE };
  v.scaling.domains
      = g_array_new (FALSE, TRUE, sizeof (struct scaling_domain));
  g_array_set_clear_func (v.scaling.domains, scaling_domain_clear);
  for (unsigned i = 0; i < DOMAINS; i++)
    {
      struct scaling_domain d
          = { g_strdup (domain_names[i]), domain_prices[i] };
      g_array_append_val (v.scaling.domains, d);
    }
  route_table_add_service (t, &v);
  struct staffing *s = staffing_create ();
  staffing_set_services (s, t);
  route_table_unref (t);
  return s;
}

static struct holder *
holder_create (GBytes *record, int64_t now_ms)
{
  struct holder *h = g_new0 (struct holder, 1);
  h->staffing = staffing_with_service ();
  h->flying = g_array_new (FALSE, FALSE, sizeof (struct staffing_order));
  h->record = record ? g_bytes_ref (record) : NULL;
  g_assert_true (staffing_restore (h->staffing, record, now_ms));
  return h;
}

static void
holder_destroy (struct holder *h)
{
  staffing_destroy (h->staffing);
  g_array_unref (h->flying);
  g_clear_pointer (&h->record, g_bytes_unref);
  g_free (h);
}

static void
decide (struct holder *h, const struct world *w)
{
  g_autoptr (GArray) seen
      = g_array_new (FALSE, TRUE, sizeof (struct staffing_instance));
  unsigned busy = w->ends->len;
  for (guint i = 0; i < w->instances->len; i++)
    {
      const struct instance *x = instance_at (w, i);
      if (x->ready_ms > w->now_ms)
        continue;
      bool works = x->leaves_ms == 0 && busy > 0;
      busy -= works;
      struct staffing_instance seen_x
          = { .failure_domain = domain_names[x->domain],
              .spot = x->spot,
              .leaving = x->leaves_ms != 0,
              .reclaimed = x->reclaimed,
              .slots = 16,
              .running = works,
              .tokens = works ? 1000 : 0 };
      g_array_append_val (seen, seen_x);
    }
  staffing_decide (h->staffing, SERVICE,
                   (const struct staffing_instance *)seen->data, seen->len,
                   w->now_ms, &h->latest);
}

static void
holder_step (struct holder *h, struct world *w)
{
  if (h->flying->len > 0 && w->now_ms >= h->answers_ms)
    {
      for (guint i = 0; i < h->flying->len; i++)
        {
          const struct staffing_order *order
              = &g_array_index (h->flying, struct staffing_order, i);
          enum staffing_outcome outcome = place_order (w, order);
          staffing_record_outcome (h->staffing, order, outcome, w->now_ms);
        }
      g_array_set_size (h->flying, 0);
    }
  if (w->now_ms >= h->decides_ms)
    {
      decide (h, w);
      h->decides_ms = w->now_ms + DECIDE_MS;
    }
  if (h->flying->len > 0 || !staffing_is_due (h->staffing, w->now_ms))
    return;
  g_clear_pointer (&h->record, g_bytes_unref);
  h->record = staffing_record (h->staffing);
  staffing_take_orders (h->staffing, w->now_ms, h->flying);
  h->answers_ms = w->now_ms + ORDER_DELAY_MS;
}

static void
run (struct world *w, struct holder *h, int64_t for_ms)
{
  int64_t end_ms = w->now_ms + for_ms;
  while (w->now_ms < end_ms)
    {
      world_step (w);
      if (h)
        holder_step (h, w);
    }
}

/* Tests of the plan.  */

static void
make_sites (struct staffing_site *sites)
{
  for (unsigned i = 0; i < DOMAINS; i++)
    sites[i] = (struct staffing_site){ .price = domain_prices[i],
                                       .has_regular = true,
                                       .has_spot = true };
}

static struct staffing_counts
sum_counts (const struct staffing_counts *counts, unsigned n)
{
  struct staffing_counts sum = { 0 };
  for (unsigned i = 0; i < n; i++)
    {
      g_assert_cmpuint (counts[i].regular + counts[i].spot, <=, MAX_INSTANCES);
      sum.regular += counts[i].regular;
      sum.spot += counts[i].spot;
    }
  return sum;
}

/* Each need is covered after the loss of any one failure domain, at a price
   below that of regular instances alone.  */
static void
test_plan_covers (void)
{
  struct staffing_site sites[DOMAINS];
  struct staffing_counts out[DOMAINS];
  make_sites (sites);
  for (unsigned needed = 1; needed <= 78; needed++)
    {
      struct staffing_bounds b = { .min = MIN_INSTANCES,
                                   .max = MAX_INSTANCES,
                                   .spot_price = SPOT_PRICE,
                                   .base = 1,
                                   .needed = needed,
                                   .firm = needed,
                                   .surviving = needed };
      staffing_plan (&b, sites, DOMAINS, out);
      struct staffing_counts sum = sum_counts (out, DOMAINS);
      g_assert_cmpuint (staffing_plan_covered (out, DOMAINS), >=, needed);
      g_assert_cmpuint (sum.regular, >=, 1);
      if (needed >= 10)
        g_assert_cmpfloat (staffing_plan_price (&b, sites, out, DOMAINS), <,
                           0.4 * needed);
    }
}

/* Spot instances that cost more than regular ones, with the margin, must not
   be planned; nor may a single failure domain rest on them.  */
static void
test_plan_regular (void)
{
  struct staffing_site sites[DOMAINS];
  struct staffing_counts out[DOMAINS];
  make_sites (sites);
  struct staffing_bounds b = {
    .min = 0,
    .max = MAX_INSTANCES,
    .spot_price = 0.99,
    .base = 1,
    .needed = 20,
    .firm = 20,
    .surviving = 20,
  };
  staffing_plan (&b, sites, 1, out);
  g_assert_cmpuint (out[0].spot, ==, 0);
  g_assert_cmpuint (out[0].regular, ==, MAX_INSTANCES);
  b.needed = b.firm = b.surviving = 12;
  staffing_plan (&b, sites, DOMAINS, out);
  g_assert_cmpuint (sum_counts (out, DOMAINS).spot, ==, 0);
  g_assert_cmpuint (sum_counts (out, DOMAINS).regular, ==, 12);
  b.spot_price = SPOT_PRICE;
  staffing_plan (&b, sites, 1, out);
  g_assert_cmpuint (out[0].regular, ==, 12);
}

/* More than all failure domains may hold is planned only up to the bounds, and
   a domain without spot instances keeps its own.  */
static void
test_plan_bounds (void)
{
  struct staffing_site sites[DOMAINS];
  struct staffing_counts out[DOMAINS];
  make_sites (sites);
  struct staffing_bounds b = { .min = MIN_INSTANCES,
                               .max = MAX_INSTANCES,
                               .spot_price = SPOT_PRICE,
                               .base = 5,
                               .needed = 96,
                               .surviving = 60 };
  staffing_plan (&b, sites, DOMAINS, out);
  struct staffing_counts sum = sum_counts (out, DOMAINS);
  g_assert_cmpuint (sum.regular + sum.spot, ==, DOMAINS * MAX_INSTANCES);
  /* Regular instances are no margin above what must remain.  */
  g_assert_cmpuint (sum.regular, ==, 5);
  b.needed = b.firm = b.surviving = 45;
  sites[2].has_spot = false;
  sites[2].now = (struct staffing_counts){ 7, 3 };
  staffing_plan (&b, sites, DOMAINS, out);
  g_assert_cmpuint (out[2].spot, ==, 3);
  g_assert_cmpuint (staffing_plan_covered (out, DOMAINS), >=, 45);
  for (unsigned i = 0; i < DOMAINS; i++)
    {
      sites[i].has_spot = sites[i].has_regular = false;
      sites[i].now = (struct staffing_counts){ 2, 0 };
    }
  staffing_plan (&b, sites, DOMAINS, out);
  g_assert_cmpuint (sum_counts (out, DOMAINS).regular, <=, 12);
}

/* Tests of the demand.  */

/* The need rises at once and falls only after the hold time.  */
static void
test_demand (void)
{
  struct staffing_demand d = { 0 };
  int64_t now = START_MS;
  staffing_demand_sample (&d, 0, 0, 45, 1, 96, now);
  g_assert_cmpuint (d.needed, ==, 45);
  for (int64_t end = now + 300000; now < end; now += DECIDE_MS)
    staffing_demand_sample (&d, 0, 0, 30, 1, 96, now);
  g_assert_cmpuint (d.needed, ==, 45);
  for (int64_t end = now + STAFFING_HOLD_MS; now < end; now += DECIDE_MS)
    {
      staffing_demand_sample (&d, 5, 5, 45, 1, 96, now);
      g_assert_cmpuint (d.needed, ==, 45);
    }
  for (int64_t end = now + 5 * STAFFING_HOLD_MS; now < end; now += DECIDE_MS)
    staffing_demand_sample (&d, 5, 5, 45, 1, 96, now);
  g_assert_cmpuint (d.needed, <, 35);
  g_assert_cmpuint (d.needed, >=, staffing_demand_need (5));
  g_assert_cmpuint (d.surviving, <, 15);
  for (int64_t end = now + 6000; now < end; now += DECIDE_MS)
    staffing_demand_sample (&d, 30, 30, 45, 1, 96, now);
  g_assert_cmpuint (d.needed, >=, staffing_demand_need (28));
}

/* Tests of the orders.  */

/* Before the first request, regular instances are replaced, in few orders, and
   there are never fewer instances than at first.  */
static void
test_before_traffic (void)
{
  struct world *w = world_create ();
  struct holder *h = holder_create (NULL, w->now_ms);
  for (unsigned i = 0; i < 300; i++)
    {
      run (w, h, 100);
      g_assert_cmpuint (count_ready (w, true, true), >=, INITIAL);
    }
  g_assert_cmpuint (count_ready (w, true, false), <=, DOMAINS);
  g_assert_cmpuint (count_ready (w, true, false), >=, 1);
  g_assert_cmpuint (count_ready (w, false, true), <=, INITIAL * 6 / 5);
  g_assert_cmpuint (w->orders, <=, 3 * DOMAINS);
  double before = w->price;
  run (w, h, 10000);
  g_assert_cmpfloat (w->price - before, <, 0.35 * INITIAL * 10);
  unsigned orders = w->orders;
  run (w, h, 300000);
  g_assert_cmpuint (w->orders, ==, orders);
  holder_destroy (h);
  world_destroy (w);
}

/* The platform may apply the minimum to regular instances alone: an order
   below it is refused, and must not block the replacement.  */
static void
test_minimum_of_one_kind (void)
{
  struct world *w = world_create ();
  w->counts_kinds_alone = true;
  struct holder *h = holder_create (NULL, w->now_ms);
  run (w, h, 60000);
  for (unsigned i = 0; i < DOMAINS; i++)
    g_assert_cmpint (w->desired[i][0], ==, 1);
  unsigned orders = w->orders;
  run (w, h, 60000);
  g_assert_cmpuint (w->orders, ==, orders);
  holder_destroy (h);
  world_destroy (w);
}

/* After any reclaim as many instances as needed remain, and the number is
   restored elsewhere before the failure domain has spot instances again.  */
static void
check_reclaim (bool suddenly)
{
  struct world *w = world_create ();
  struct holder *h = holder_create (NULL, w->now_ms);
  run (w, h, 30000);
  for (unsigned domain = 0; domain < DOMAINS; domain++)
    {
      unsigned before = w->orders;
      reclaim (w, domain, suddenly);
      for (unsigned i = 0; i < 60; i++)
        {
          run (w, h, 100);
          g_assert_cmpuint (count_ready (w, true, true), >=, INITIAL);
        }
      g_assert_cmpint (w->desired[domain][1], ==, 0);
      g_assert_cmpuint (h->latest.failure_domains, ==, DOMAINS - 1);
      run (w, h, 54000);
      g_assert_cmpuint (h->latest.failure_domains, ==, DOMAINS);
      g_assert_cmpuint (count_ready (w, true, false), <=, DOMAINS);
      g_assert_cmpuint (count_ready (w, false, true), <=, INITIAL * 3 / 2);
      g_assert_cmpuint (w->orders - before, <=, 3 * DOMAINS);
    }
  holder_destroy (h);
  world_destroy (w);
}

static void
test_reclaim (void)
{
  check_reclaim (false);
}

static void
test_sudden_loss (void)
{
  check_reclaim (true);
}

/* All spot instances are lost at once: regular ones replace them, as no others
   are to be had, and leave again afterwards.  */
static void
test_reclaim_everywhere (void)
{
  struct world *w = world_create ();
  struct holder *h = holder_create (NULL, w->now_ms);
  run (w, h, 30000);
  for (unsigned i = 0; i < DOMAINS; i++)
    reclaim (w, i, false);
  run (w, h, 7000);
  g_assert_cmpuint (count_ready (w, true, false), >=, INITIAL);
  run (w, h, 60000);
  g_assert_cmpuint (count_ready (w, true, false), <=, DOMAINS);
  g_assert_cmpuint (count_ready (w, true, true), >=, INITIAL);
  holder_destroy (h);
  world_destroy (w);
}

/* The same under a load that needs less than the fleet has: the number that is
   needed is kept all the time, although less would do for a boot time.  */
static void
test_reclaim_everywhere_under_load (void)
{
  struct world *w = world_create ();
  struct holder *h = holder_create (NULL, w->now_ms);
  run (w, h, 20000);
  w->load = 5;
  run (w, h, 10000);
  for (unsigned i = 0; i < DOMAINS; i++)
    reclaim (w, i, false);
  run (w, h, 7000);
  for (unsigned i = 0; i < 1000; i++)
    {
      run (w, h, 100);
      g_assert_cmpuint (count_ready (w, true, true), >=, h->latest.needed);
    }
  g_assert_cmpuint (count_ready (w, true, false), <=, DOMAINS);
  holder_destroy (h);
  world_destroy (w);
}

/* Spot instances that are accepted and never come replace no regular ones.  */
static void
test_never_come (void)
{
  struct world *w = world_create ();
  struct holder *h = holder_create (NULL, w->now_ms);
  w->loses_spot = true;
  w->load = 5;
  run (w, h, 40000);
  g_assert_cmpuint (count_ready (w, true, false), ==, INITIAL);
  w->loses_spot = false;
  run (w, h, 40000);
  g_assert_cmpuint (count_ready (w, true, false), <=, DOMAINS);
  holder_destroy (h);
  world_destroy (w);
}

/* A failure domain without spot instances is not asked again for 10 s, and the
   others take its part.  */
static void
test_unavailable (void)
{
  struct world *w = world_create ();
  struct holder *h = holder_create (NULL, w->now_ms);
  w->shortage_until_ms[1][1] = w->now_ms + 100000;
  run (w, h, 90000);
  g_assert_cmpint (w->desired[1][1], ==, 0);
  g_assert_cmpuint (count_ready (w, true, true), >=, INITIAL);
  g_assert_cmpuint (count_ready (w, true, false), <=, DOMAINS + 2);
  g_assert_cmpuint (w->orders, <=, 5 * DOMAINS + 9);
  unsigned orders = w->orders;
  run (w, h, 60000);
  g_assert_cmpuint (w->orders - orders, <=, DOMAINS);
  holder_destroy (h);
  world_destroy (w);
}

/* Orders without a response are repeated once a second, and no other orders
   are made of it.  */
static void
test_retry (void)
{
  struct world *w = world_create ();
  struct holder *h = holder_create (NULL, w->now_ms);
  w->silent = true;
  run (w, h, 10000);
  g_assert_cmpuint (w->orders, >=, 6 * DOMAINS);
  g_assert_cmpuint (w->orders, <=, 10 * DOMAINS);
  g_assert_cmpuint (count_ready (w, true, false), ==, INITIAL);
  w->silent = false;
  run (w, h, 20000);
  g_assert_cmpuint (count_ready (w, true, false), <=, DOMAINS);
  holder_destroy (h);
  world_destroy (w);
}

/* A new holder goes on from the record at any time of the replacement: the
   fleet is never smaller than at first, and ends up the same.  */
static void
test_holder_loss (void)
{
  for (int64_t at_ms = 100; at_ms <= 12000; at_ms += 700)
    {
      struct world *w = world_create ();
      struct holder *h = holder_create (NULL, w->now_ms);
      run (w, h, at_ms);
      g_autoptr (GBytes) record = h->record ? g_bytes_ref (h->record) : NULL;
      holder_destroy (h);
      run (w, NULL, 6000);
      h = holder_create (record, w->now_ms);
      for (unsigned i = 0; i < 300; i++)
        {
          run (w, h, 100);
          g_assert_cmpuint (count_ready (w, true, true), >=, INITIAL);
        }
      g_assert_cmpuint (h->latest.needed, ==, INITIAL);
      g_assert_cmpuint (count_ready (w, true, false), <=, DOMAINS);
      g_assert_cmpuint (count_ready (w, false, true), <=, INITIAL * 6 / 5);
      g_assert_cmpuint (w->orders, <=, 6 * DOMAINS);
      holder_destroy (h);
      world_destroy (w);
    }
}

/* A record from an older copy of the store must not remove instances that were
   ordered since.  */
static void
test_old_record (void)
{
  struct world *w = world_create ();
  struct holder *h = holder_create (NULL, w->now_ms);
  run (w, h, 3000);
  g_autoptr (GBytes) old = g_bytes_ref (h->record);
  run (w, h, 30000);
  reclaim (w, 2, false);
  run (w, h, 20000);
  unsigned before = count_ready (w, true, true);
  g_assert_cmpuint (before, >, INITIAL + DOMAINS);
  holder_destroy (h);
  h = holder_create (old, w->now_ms);
  for (unsigned i = 0; i < 100; i++)
    {
      run (w, h, 100);
      g_assert_cmpuint (count_ready (w, true, true), >=, before);
    }
  holder_destroy (h);
  world_destroy (w);
}

/* A holder whose renewal fails sends nothing, and an order that changed after
   the record was written waits for the next one.  */
static void
test_unrecorded (void)
{
  struct world *w = world_create ();
  struct holder *h = holder_create (NULL, w->now_ms);
  g_autoptr (GArray) orders
      = g_array_new (FALSE, FALSE, sizeof (struct staffing_order));
  decide (h, w);
  g_assert_true (staffing_is_due (h->staffing, w->now_ms));
  staffing_take_orders (h->staffing, w->now_ms, orders);
  g_assert_cmpuint (orders->len, ==, 0);
  g_autoptr (GBytes) record = staffing_record (h->staffing);
  staffing_take_orders (h->staffing, w->now_ms, orders);
  g_assert_cmpuint (orders->len, ==, DOMAINS);
  holder_destroy (h);
  world_destroy (w);
}

static void
test_bad_record (void)
{
  static const char *const bad[]
      = { "", "[]", "7", "{\"m\":", "\xff", "{\"m\":7} x" };
  static const char *const odd[]
      = { "{}", "{\"m\":7}",
          "{\"m\":{\"initial\":-1,\"needed\":1e9,\"domains\":[]}}",
          "{\"m\":{\"initial\":1.5,\"domains\":{\"a1\":{\"spot\":-3}}}}",
          "{\"x\":{\"initial\":45,\"needed\":45}}" };
  struct staffing *s = staffing_with_service ();
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      g_autoptr (GBytes) b = g_bytes_new_static (bad[i], strlen (bad[i]));
      g_assert_false (staffing_restore (s, b, START_MS));
      g_assert_false (staffing_is_due (s, START_MS));
    }
  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      g_autoptr (GBytes) b = g_bytes_new_static (odd[i], strlen (odd[i]));
      g_assert_true (staffing_restore (s, b, START_MS));
      g_assert_false (staffing_is_due (s, START_MS));
    }
  staffing_destroy (s);
}

/* A configuration without scaling parameters leads to no orders.  */
static void
test_fixed_service (void)
{
  struct route_table *t = route_table_create (1);
  struct route_service v = { .name = g_strdup (SERVICE), .is_engine = true };
  route_table_add_service (t, &v);
  struct staffing *s = staffing_with_service ();
  staffing_set_services (s, t);
  g_assert_cmpuint (staffing_count_services (s), ==, 0);
  g_assert_false (staffing_is_due (s, START_MS));
  staffing_destroy (s);
  route_table_unref (t);
}

/* Comparison with a fixed fleet and with an oracle.  */

#define BEFORE_TRAFFIC_MS 14000
#define TRAFFIC_MS 300000

/* Instances that the demand keeps busy at T_MS after the start of traffic.  */
static double
load_at (int64_t t_ms)
{
  if (t_ms < 0)
    return 0;
  if (t_ms < 100000)
    return 15;
  if (t_ms < 110000)
    return 15 + 15 * (double)(t_ms - 100000) / 10000;
  if (t_ms < 200000)
    return 30;
  return 10;
}

enum policy
{
  POLICY_FIXED,
  POLICY_SIZED,
  POLICY_ORACLE
};

/* Gives the oracle what it needs now, as spot instances that boot at once and
   are not reclaimed.  */
static void
oracle_step (struct world *w, int64_t t_ms)
{
  double load = t_ms < 0 ? 0 : MAX (load_at (t_ms), load_at (t_ms + 1000));
  unsigned wanted = (unsigned)ceil (load + 2 * sqrt (load));
  g_array_set_size (w->instances, 0);
  for (unsigned i = 0; i < wanted; i++)
    add_instances (w, i % DOMAINS, true, 1, w->now_ms);
}

static void
play (enum policy policy, struct world *w)
{
  struct holder *h
      = policy == POLICY_SIZED ? holder_create (NULL, w->now_ms) : NULL;
  for (int64_t t = -BEFORE_TRAFFIC_MS; t < TRAFFIC_MS; t += STEP_MS)
    {
      w->load = load_at (t);
      if (policy == POLICY_ORACLE)
        oracle_step (w, t);
      world_step (w);
      if (policy != POLICY_SIZED)
        continue;
      holder_step (h, w);
      if (t == 60000 || t == 130000 || t == 160000 || t == 250000)
        reclaim (w, (unsigned)(t / 10000) % DOMAINS, false);
      if (t == 131000)
        {
          g_autoptr (GBytes) record = g_bytes_ref (h->record);
          holder_destroy (h);
          h = holder_create (record, w->now_ms);
        }
      /* What runs is never more than the ready instances can take.  */
      g_assert_cmpfloat (count_ready (w, true, true), >=, w->load);
    }
  if (h)
    holder_destroy (h);
}

static void
test_comparison (void)
{
  static const char *const names[] = { "fixed", "sized", "oracle" };
  double price[3];
  double share[3];
  for (enum policy p = POLICY_FIXED; p <= POLICY_ORACLE; p++)
    {
      struct world *w = world_create ();
      play (p, w);
      price[p] = w->price;
      share[p] = share_in_time (w);
      g_test_message ("%s: price %.0f, in time %.4f of %" G_GUINT64_FORMAT
                      ", %u orders",
                      names[p], price[p], share[p], w->arrived, w->orders);
      if (p == POLICY_SIZED)
        g_assert_cmpuint (w->orders, <=, 100);
      world_destroy (w);
    }
  /* The share of the payoff that instances cost is to fall from 0.20 to
     0.08.  */
  g_assert_cmpfloat (price[POLICY_SIZED], <=, 0.4 * price[POLICY_FIXED]);
  g_assert_cmpfloat (price[POLICY_SIZED], >=, price[POLICY_ORACLE]);
  g_assert_cmpfloat (share[POLICY_SIZED], >=, share[POLICY_FIXED] - 0.001);
  g_assert_cmpfloat (share[POLICY_SIZED], >=, share[POLICY_ORACLE] - 0.001);
}

/* Random faults.  */

#define RANDOM_SEEDS 25
#define RANDOM_MS 240000
/* A failure domain is asked again after STAFFING_UNAVAILABLE_MS; then its
   instances boot, and regular ones that took their place leave.  */
#define RECOVERY_MS (STAFFING_UNAVAILABLE_MS + 2 * BOOT_MS)
/* Chances of a fault in a step of STEP_MS: about one reclaim in 25 s, one
   shortage in 20 s, one silence in 30 s and one loss of the holder in 60 s. */
#define RECLAIM_CHANCE 0.002
#define SHORTAGE_CHANCE 0.0025
#define SILENCE_CHANCE 0.0017
#define LOSS_CHANCE 0.0008

struct chaos
{
  int64_t silent_until_ms;
  int64_t holder_from_ms; /* no holder before this time */
  int64_t calm_since_ms;  /* no fault since, and all shortages are over */
};

static bool
happens (struct world *w, double chance)
{
  return g_rand_double (w->random) < chance;
}

static void
add_faults (struct world *w, struct holder **h, struct chaos *c)
{
  unsigned domain = (unsigned)g_rand_int_range (w->random, 0, DOMAINS);
  bool spot = g_rand_boolean (w->random);
  bool reclaims = happens (w, RECLAIM_CHANCE);
  bool shortage = happens (w, SHORTAGE_CHANCE);
  bool silence = happens (w, SILENCE_CHANCE);
  bool loss = *h && happens (w, LOSS_CHANCE);
  if (reclaims)
    reclaim (w, domain, spot);
  if (shortage)
    w->shortage_until_ms[domain][spot] = w->now_ms + 2 * SHORTAGE_MS;
  if (silence)
    c->silent_until_ms = w->now_ms + 3000;
  w->silent = w->now_ms < c->silent_until_ms;
  if (loss)
    {
      g_autoptr (GBytes) record
          = (*h)->record ? g_bytes_ref ((*h)->record) : NULL;
      holder_destroy (*h);
      *h = holder_create (record, w->now_ms);
      c->holder_from_ms = w->now_ms + 6000;
    }
  if (reclaims || shortage || silence || loss)
    c->calm_since_ms = MAX (c->calm_since_ms, w->now_ms);
  if (reclaims || shortage)
    c->calm_since_ms = MAX (c->calm_since_ms, w->shortage_until_ms[domain][1]);
}

static void
play_random (unsigned seed)
{
  struct world *w = world_create ();
  struct holder *h = holder_create (NULL, w->now_ms);
  struct chaos c = { .calm_since_ms = w->now_ms };
  unsigned calm_checks = 0;
  double fixed = 0;
  g_rand_set_seed (w->random, seed);
  for (int64_t t = -BEFORE_TRAFFIC_MS; t < RANDOM_MS; t += STEP_MS)
    {
      w->load = load_at (t);
      world_step (w);
      add_faults (w, &h, &c);
      if (w->now_ms >= c.holder_from_ms)
        holder_step (h, w);
      fixed += (double)INITIAL * STEP_MS / 1000;
      /* Faults are over when all that was lost has been replaced.  */
      if (w->now_ms - c.calm_since_ms < RECOVERY_MS)
        continue;
      calm_checks++;
      g_assert_cmpuint (count_ready (w, true, true), >=, w->load);
      g_assert_cmpuint (count_ready (w, true, true), >=, INITIAL * 7 / 10);
      g_assert_cmpuint (count_ready (w, true, false), <=, 2 * DOMAINS);
    }
  g_test_message ("seed %u: price %.2f of fixed, in time %.4f, %u orders, "
                  "%u out of bounds, %u checks",
                  seed, w->price / fixed, share_in_time (w), w->orders,
                  w->out_of_bounds, calm_checks);
  g_assert_cmpfloat (w->price, <, 0.5 * fixed);
  g_assert_cmpfloat (share_in_time (w), >, 0.99);
  g_assert_cmpuint (w->orders, <=, 250);
  g_assert_cmpuint (w->out_of_bounds, <=, 4);
  w->out_of_bounds = 0;
  holder_destroy (h);
  world_destroy (w);
}

/* Under random reclaims, shortages, silences and losses of the holder, orders
   stay within the bounds and few, and the fleet recovers.  */
static void
test_random_faults (void)
{
  for (unsigned seed = 1; seed <= RANDOM_SEEDS; seed++)
    play_random (seed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/staffing/plan-covers", test_plan_covers);
  g_test_add_func ("/staffing/plan-regular", test_plan_regular);
  g_test_add_func ("/staffing/plan-bounds", test_plan_bounds);
  g_test_add_func ("/staffing/demand", test_demand);
  g_test_add_func ("/staffing/before-traffic", test_before_traffic);
  g_test_add_func ("/staffing/minimum-of-one-kind", test_minimum_of_one_kind);
  g_test_add_func ("/staffing/reclaim", test_reclaim);
  g_test_add_func ("/staffing/sudden-loss", test_sudden_loss);
  g_test_add_func ("/staffing/reclaim-everywhere", test_reclaim_everywhere);
  g_test_add_func ("/staffing/reclaim-everywhere-under-load",
                   test_reclaim_everywhere_under_load);
  g_test_add_func ("/staffing/never-come", test_never_come);
  g_test_add_func ("/staffing/unavailable", test_unavailable);
  g_test_add_func ("/staffing/retry", test_retry);
  g_test_add_func ("/staffing/holder-loss", test_holder_loss);
  g_test_add_func ("/staffing/old-record", test_old_record);
  g_test_add_func ("/staffing/unrecorded", test_unrecorded);
  g_test_add_func ("/staffing/bad-record", test_bad_record);
  g_test_add_func ("/staffing/fixed-service", test_fixed_service);
  g_test_add_func ("/staffing/comparison", test_comparison);
  g_test_add_func ("/staffing/random-faults", test_random_faults);
  return g_test_run ();
}
