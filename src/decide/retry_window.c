#include "decide/retry_window.h"

#define BUCKETS 20
/* Part of the bounds that is used: VMs do not see the same moment, and some
   may not be known.  */
#define USED_PERCENT 75

struct bucket
{
  int64_t epoch;
  unsigned requests;
  unsigned retries;
};

struct window
{
  struct bucket buckets[BUCKETS];
};

struct retry_windows
{
  struct retry_bounds bounds;
  GHashTable *services; /* name -> struct window */
};

struct retry_windows *
retry_windows_create (const struct retry_bounds *bounds)
{
  struct retry_windows *w = g_new0 (struct retry_windows, 1);
  w->bounds = *bounds;
  w->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return w;
}

void
retry_windows_destroy (struct retry_windows *w)
{
  if (w == NULL)
    return;
  g_hash_table_destroy (w->services);
  g_free (w);
}

void
retry_windows_set_bounds (struct retry_windows *w,
                          const struct retry_bounds *bounds)
{
  w->bounds = *bounds;
}

static struct window *
window_of (struct retry_windows *w, const char *service)
{
  struct window *x = g_hash_table_lookup (w->services, service);
  if (x)
    return x;
  x = g_new0 (struct window, 1);
  g_hash_table_insert (w->services, g_strdup (service), x);
  return x;
}

static int64_t
epoch_at (const struct retry_windows *w, int64_t now_ms)
{
  int64_t length = MAX (w->bounds.window_ms / BUCKETS, 1);
  return now_ms / length + 1;
}

static struct bucket *
bucket_at (const struct retry_windows *w, struct window *x, int64_t now_ms)
{
  int64_t epoch = epoch_at (w, now_ms);
  struct bucket *b = &x->buckets[epoch % BUCKETS];
  if (b->epoch != epoch)
    *b = (struct bucket){ .epoch = epoch };
  return b;
}

void
retry_windows_request (struct retry_windows *w, const char *service,
                       int64_t now_ms)
{
  bucket_at (w, window_of (w, service), now_ms)->requests++;
}

bool
retry_windows_take (struct retry_windows *w, const char *service, unsigned vms,
                    int64_t now_ms)
{
  struct window *x = window_of (w, service);
  int64_t oldest = epoch_at (w, now_ms) - BUCKETS;
  unsigned requests = 0;
  unsigned retries = 0;
  for (unsigned i = 0; i < BUCKETS; i++)
    if (x->buckets[i].epoch > oldest)
      {
        requests += x->buckets[i].requests;
        retries += x->buckets[i].retries;
      }
  double share = w->bounds.ratio * requests
                 + (double)w->bounds.slack / (double)MAX (vms, 1);
  if (retries + 1 > share * USED_PERCENT / 100)
    return false;
  bucket_at (w, x, now_ms)->retries++;
  return true;
}
