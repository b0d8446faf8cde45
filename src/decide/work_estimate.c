#include "decide/work_estimate.h"

#include <glib.h>
#include <math.h>

/* Most routes that are remembered.  */
#define ROUTES_MAX 512
/* Buckets of a histogram.  The last one starts at 2^17.75, above the events
   and tokens of any response and the milliseconds of any time-out.  */
#define BUCKETS_PER_OCTAVE 4
#define BUCKETS 72
/* Classes of the stated maximum of output tokens, and as many of the stated
   length: one for each octave.  */
#define OCTAVES 20
#define CLASSES (2 * OCTAVES)
/* Each request divides the weight of all earlier ones by 1 / FORGETTING: the
   estimate rests on the latest few hundred requests.  */
#define FORGETTING 0.998
/* Greatest weight, in requests, of the estimate of a route (or service) in
   that of a class (or route).  */
#define PRIOR_SAMPLES 8.0
#define QUANTILE_LOW 0.1
#define QUANTILE_MEDIAN 0.5
#define QUANTILE_HIGH 0.9
/* A request that has sent more events than any before it is expected to have
   this part of them still ahead.  */
#define BEYOND_PART 0.1

/* Requests by the value of one measure.  */
struct histogram
{
  float weights[BUCKETS];
  float samples; /* sum of the weights */
};

/* Histograms of a route or service.  */
struct work_route
{
  struct histogram all[WORK_MEASURES];
  struct histogram *events[CLASSES]; /* by class; NULL: no request */
};

struct work_estimates
{
  GHashTable *routes;   /* name -> struct work_route */
  GHashTable *services; /* name -> struct work_route, without classes */
};

static void
route_free (void *p)
{
  struct work_route *r = p;
  for (unsigned i = 0; i < CLASSES; i++)
    g_free (r->events[i]);
  g_free (r);
}

struct work_estimates *
work_estimates_create (void)
{
  struct work_estimates *w = g_new0 (struct work_estimates, 1);
  w->routes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, route_free);
  w->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, route_free);
  return w;
}

void
work_estimates_destroy (struct work_estimates *w)
{
  if (w == NULL)
    return;
  g_hash_table_destroy (w->routes);
  g_hash_table_destroy (w->services);
  g_free (w);
}

/* Histograms.  */

static unsigned
bucket_of (double value)
{
  double at = log2 (MAX (value, 1)) * BUCKETS_PER_OCTAVE;
  return (unsigned)MIN (at, BUCKETS - 1);
}

/* Returns the least value of BUCKET.  */
static double
bucket_start (unsigned bucket)
{
  return exp2 ((double)bucket / BUCKETS_PER_OCTAVE);
}

static void
histogram_add (struct histogram *h, double value)
{
  h->samples = 0;
  h->weights[bucket_of (value)] += (float)(1 / FORGETTING);
  for (unsigned i = 0; i < BUCKETS; i++)
    {
      h->weights[i] *= (float)FORGETTING;
      h->samples += h->weights[i];
    }
}

/* Adds PRIOR to H with the weight of PRIOR_SAMPLES, or its own if that is
   less.  PRIOR may be NULL.  */
static void
histogram_add_prior (struct histogram *h, const struct histogram *prior)
{
  if (prior == NULL || prior->samples <= 0)
    return;
  float scale = (float)MIN (1, PRIOR_SAMPLES / prior->samples);
  for (unsigned i = 0; i < BUCKETS; i++)
    h->weights[i] += prior->weights[i] * scale;
  h->samples += prior->samples * scale;
}

/* Returns the mean of the values of H that are above FROM, less FROM; 0 if
   there is none.  Values are spread evenly over their bucket.  */
static double
histogram_mean_above (const struct histogram *h, double from)
{
  double weight = 0;
  double sum = 0;
  for (unsigned i = bucket_of (from); i < BUCKETS; i++)
    {
      double start = bucket_start (i);
      double end = bucket_start (i + 1);
      double least = CLAMP (from, start, end);
      double part = h->weights[i] * (end - least) / (end - start);
      weight += part;
      sum += part * ((least + end) / 2 - from);
    }
  return weight > 0 ? sum / weight : 0;
}

static double
histogram_quantile (const struct histogram *h, double q)
{
  double left = h->samples * q;
  for (unsigned i = 0; i < BUCKETS; i++)
    {
      double weight = h->weights[i];
      if (weight > 0 && left <= weight)
        {
          double start = bucket_start (i);
          return start + (bucket_start (i + 1) - start) * left / weight;
        }
      left -= weight;
    }
  return bucket_start (BUCKETS);
}

/* Routes and classes.  */

/* Returns the class of KEY; -1 if it states neither length nor maximum.  */
static int
class_of (const struct work_key *key)
{
  uint64_t size = key->hint > 0 ? key->hint : key->max_tokens;
  if (size == 0)
    return -1;
  int octave = (int)MIN (g_bit_storage (size), OCTAVES) - 1;
  return key->hint > 0 ? OCTAVES + octave : octave;
}

/* Returns the entry of NAME in TABLE, a new one if there is none.  */
static struct work_route *
get_route (GHashTable *table, const char *name)
{
  struct work_route *r = g_hash_table_lookup (table, name);
  if (r)
    return r;
  /* Routes that are gone are forgotten with all others.  */
  if (g_hash_table_size (table) >= ROUTES_MAX)
    g_hash_table_remove_all (table);
  r = g_new0 (struct work_route, 1);
  g_hash_table_insert (table, g_strdup (name), r);
  return r;
}

static void
route_add (struct work_route *r, const struct work_done *done)
{
  for (unsigned i = 0; i < WORK_MEASURES; i++)
    if (done->values[i] > 0)
      histogram_add (&r->all[i], done->values[i]);
}

void
work_estimates_record (struct work_estimates *w, const struct work_key *key,
                       const struct work_done *done)
{
  struct work_route *r = get_route (w->routes, key->route);
  route_add (r, done);
  route_add (get_route (w->services, key->service), done);
  int class = class_of (key);
  if (class < 0 || done->values[WORK_EVENTS] <= 0)
    return;
  struct histogram **events = &r->events[class];
  if (*events == NULL)
    *events = g_new0 (struct histogram, 1);
  histogram_add (*events, done->values[WORK_EVENTS]);
}

/* Sets OUT to what is known of requests like KEY.  */
static void
find_histogram (const struct work_estimates *w, const struct work_key *key,
                enum work_measure measure, struct histogram *out)
{
  const struct work_route *service
      = g_hash_table_lookup (w->services, key->service);
  const struct work_route *route = g_hash_table_lookup (w->routes, key->route);
  struct histogram above = { 0 };
  if (route)
    above = route->all[measure];
  histogram_add_prior (&above, service ? &service->all[measure] : NULL);
  const struct histogram *events = NULL;
  int class = class_of (key);
  if (route && measure == WORK_EVENTS && class >= 0)
    events = route->events[class];
  if (events == NULL)
    {
      *out = above;
      return;
    }
  *out = *events;
  histogram_add_prior (out, &above);
}

struct work_estimate
work_estimates_find (const struct work_estimates *w,
                     const struct work_key *key, enum work_measure measure)
{
  struct histogram h;
  find_histogram (w, key, measure, &h);
  struct work_estimate e = { .samples = h.samples };
  if (h.samples <= 0)
    return e;
  double max = key->max_tokens > 0 && measure != WORK_MS
                   ? (double)key->max_tokens
                   : INFINITY;
  e.mean = MIN (histogram_mean_above (&h, 0), max);
  e.low = MIN (histogram_quantile (&h, QUANTILE_LOW), max);
  e.median = MIN (histogram_quantile (&h, QUANTILE_MEDIAN), max);
  e.high = MIN (histogram_quantile (&h, QUANTILE_HIGH), max);
  return e;
}

double
work_estimates_left (const struct work_estimates *w,
                     const struct work_key *key, double sent)
{
  struct histogram h;
  find_histogram (w, key, WORK_EVENTS, &h);
  if (h.samples <= 0)
    return 0;
  double left = histogram_mean_above (&h, sent);
  if (left <= 0)
    left = sent * BEYOND_PART;
  if (key->max_tokens > 0)
    left = MIN (left, MAX ((double)key->max_tokens - sent, 0));
  return left;
}
