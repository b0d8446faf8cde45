#include "decide/route_table.h"

#include <string.h>
#include <xxhash.h>

/* Keys of accounts are stored and looked up as their HMAC-SHA-256 under the
   secret, so that the time of a lookup tells nothing about a key.  */
#define DIGEST_BYTES 32

struct route_table
{
  unsigned references;
  uint64_t version;
  struct caller_limits limits;
  GPtrArray *routes;    /* struct route */
  GHashTable *hosts;    /* host -> GPtrArray of struct route, longest prefix
                           first */
  GHashTable *services; /* name -> struct route_service */
  GPtrArray *accounts;  /* struct route_account */
  GHashTable *keys;     /* digest of a key -> struct route_account */
  guint8 secret[ROUTE_SECRET_BYTES];
};

static void
target_clear (void *p)
{
  g_free (((struct route_target *)p)->service);
}

static void
route_free (void *p)
{
  struct route *r = p;
  g_free (r->name);
  g_free (r->host);
  g_free (r->prefix);
  if (r->targets)
    g_array_free (r->targets, TRUE);
  g_free (r);
}

void
scaling_domain_clear (void *domain)
{
  g_free (((struct scaling_domain *)domain)->name);
}

static void
service_free (void *p)
{
  struct route_service *s = p;
  g_clear_pointer (&s->scaling.domains, g_array_unref);
  g_free (s->name);
  g_free (s->health_path);
  g_free (s);
}

static void
account_free (void *p)
{
  struct route_account *a = p;
  g_free (a->name);
  g_free (a);
}

static void
host_free (void *p)
{
  g_ptr_array_free (p, TRUE);
}

/* Digests of keys.  */

static guint
digest_hash (const void *digest)
{
  guint hash = 0;
  memcpy (&hash, digest, sizeof hash);
  return hash;
}

static gboolean
digest_equal (const void *a, const void *b)
{
  return memcmp (a, b, DIGEST_BYTES) == 0;
}

static void
digest_key (const struct route_table *t, const char *key,
            guint8 out[DIGEST_BYTES])
{
  gsize size = DIGEST_BYTES;
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, t->secret, sizeof t->secret);
  g_hmac_update (hmac, (const guchar *)key, -1);
  g_hmac_get_digest (hmac, out, &size);
  g_hmac_unref (hmac);
}

struct route_table *
route_table_create (uint64_t version)
{
  struct route_table *t = g_new0 (struct route_table, 1);
  t->references = 1;
  t->version = version;
  t->routes = g_ptr_array_new_with_free_func (route_free);
  t->hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, host_free);
  t->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  t->accounts = g_ptr_array_new_with_free_func (account_free);
  t->keys = g_hash_table_new_full (digest_hash, digest_equal, g_free, NULL);
  return t;
}

struct route_table *
route_table_ref (struct route_table *t)
{
  t->references++;
  return t;
}

void
route_table_unref (struct route_table *t)
{
  if (t == NULL || --t->references > 0)
    return;
  g_hash_table_destroy (t->hosts);
  g_hash_table_destroy (t->services);
  g_hash_table_destroy (t->keys);
  g_ptr_array_free (t->accounts, TRUE);
  g_ptr_array_free (t->routes, TRUE);
  g_free (t);
}

/* Sorts routes by the length of their prefix, longest first.  */
static int
compare_prefix_lengths (const void *a, const void *b)
{
  const struct route *x = *(struct route *const *)a;
  const struct route *y = *(struct route *const *)b;
  size_t m = strlen (x->prefix);
  size_t n = strlen (y->prefix);
  return (m < n) - (m > n);
}

void
route_table_add (struct route_table *t, const struct route *route)
{
  struct route *r = g_new (struct route, 1);
  *r = *route;
  if (r->targets)
    g_array_set_clear_func (r->targets, target_clear);
  g_ptr_array_add (t->routes, r);
  g_autofree char *host = g_ascii_strdown (r->host, -1);
  GPtrArray *list = g_hash_table_lookup (t->hosts, host);
  if (list == NULL)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (t->hosts, g_steal_pointer (&host), list);
    }
  g_ptr_array_add (list, r);
  g_ptr_array_sort (list, compare_prefix_lengths);
}

void
route_table_add_service (struct route_table *t,
                         const struct route_service *service)
{
  struct route_service *s = g_new (struct route_service, 1);
  *s = *service;
  g_hash_table_replace (t->services, s->name, s);
}

void
route_table_set_secret (struct route_table *t,
                        const guint8 secret[ROUTE_SECRET_BYTES])
{
  memcpy (t->secret, secret, sizeof t->secret);
}

void
route_table_add_account (struct route_table *t,
                         const struct route_account *account)
{
  struct route_account *a = g_new (struct route_account, 1);
  *a = *account;
  g_ptr_array_add (t->accounts, a);
}

bool
route_table_add_key (struct route_table *t, const char *key)
{
  struct route_account *last
      = g_ptr_array_index (t->accounts, t->accounts->len - 1);
  guint8 digest[DIGEST_BYTES];
  digest_key (t, key, digest);
  const struct route_account *other = g_hash_table_lookup (t->keys, digest);
  if (other && other != last)
    return false;
  g_hash_table_replace (t->keys, g_memdup2 (digest, sizeof digest), last);
  return true;
}

bool
route_table_has_accounts (const struct route_table *t)
{
  return t->accounts->len > 0;
}

const struct route_account *
route_table_account (const struct route_table *t, const char *key)
{
  guint8 digest[DIGEST_BYTES];
  if (key == NULL || t->accounts->len == 0)
    return NULL;
  digest_key (t, key, digest);
  return g_hash_table_lookup (t->keys, digest);
}

void
route_table_each_account (const struct route_table *t,
                          void (*visit) (void *arg,
                                         const struct route_account *a),
                          void *arg)
{
  for (guint i = 0; i < t->accounts->len; i++)
    visit (arg, g_ptr_array_index (t->accounts, i));
}

void
route_table_set_limits (struct route_table *t,
                        const struct caller_limits *limits)
{
  t->limits = *limits;
}

uint64_t
route_table_version (const struct route_table *t)
{
  return t->version;
}

const struct caller_limits *
route_table_limits (const struct route_table *t)
{
  return &t->limits;
}

unsigned
route_table_count (const struct route_table *t)
{
  return t->routes->len;
}

const struct route *
route_table_find (const struct route_table *t, const char *host,
                  const char *target)
{
  const char *port = strchr (host, ':');
  g_autofree char *name
      = g_ascii_strdown (host, port ? port - host : (gssize)strlen (host));
  const GPtrArray *list = g_hash_table_lookup (t->hosts, name);
  for (guint i = 0; list && i < list->len; i++)
    {
      const struct route *r = g_ptr_array_index (list, i);
      if (g_str_has_prefix (target, r->prefix))
        return r;
    }
  return NULL;
}

const struct route_service *
route_table_service (const struct route_table *t, const char *name)
{
  return g_hash_table_lookup (t->services, name);
}

void
route_table_each_service (const struct route_table *t,
                          void (*visit) (void *arg,
                                         const struct route_service *s),
                          void *arg)
{
  GHashTableIter it;
  gpointer service;
  g_hash_table_iter_init (&it, t->services);
  while (g_hash_table_iter_next (&it, NULL, &service))
    visit (arg, service);
}

static bool
has_target (const struct route *r, const char *service)
{
  for (guint i = 0; i < r->targets->len; i++)
    if (strcmp (g_array_index (r->targets, struct route_target, i).service,
                service)
        == 0)
      return true;
  return false;
}

unsigned
route_table_event_gap_ms (const struct route_table *t, const char *service)
{
  unsigned least = 0;
  for (guint i = 0; i < t->routes->len; i++)
    {
      const struct route *r = g_ptr_array_index (t->routes, i);
      if (r->kind == ROUTE_STREAM && r->event_gap_ms > 0
          && has_target (r, service))
        least = least > 0 ? MIN (least, r->event_gap_ms) : r->event_gap_ms;
    }
  return least;
}

const char *
route_pick_service (const struct route *route, const char *request_id)
{
  uint64_t sum = 0;
  for (guint i = 0; i < route->targets->len; i++)
    sum += g_array_index (route->targets, struct route_target, i).weight;
  if (sum == 0)
    return NULL;
  uint64_t point = XXH64 (request_id, strlen (request_id), 0) % sum;
  for (guint i = 0; i < route->targets->len; i++)
    {
      const struct route_target *target
          = &g_array_index (route->targets, struct route_target, i);
      if (point < target->weight)
        return target->service;
      point -= target->weight;
    }
  return NULL;
}

bool
route_repeatable (const struct route *route)
{
  return route->kind == ROUTE_IDEMPOTENT
         || (route->kind == ROUTE_STREAM && route->resumable);
}

const char *
route_kind_name (enum route_kind kind)
{
  static const char *const names[] = { "idempotent", "once", "stream" };
  return names[kind];
}
