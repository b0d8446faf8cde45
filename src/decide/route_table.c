#include "decide/route_table.h"

#include <string.h>
#include <xxhash.h>

/* Keys of accounts are stored and looked up as their HMAC-SHA-256 under the
   secret, so that the time of a lookup tells nothing about a key.  */
#define DIGEST_BYTES 32

/* A route in the index of its host.  */
struct indexed_route
{
  const struct route *route;
  gint parent; /* the route of the same host with the longest prefix of this
                  one's prefix, by its place in the index; -1 for none */
};

/* An account and the digests of its keys.  Tables share them by reference, as
   they do routes.  */
struct account
{
  struct route_account public;
  GPtrArray *digests; /* of DIGEST_BYTES bytes each */
};

struct route_table
{
  unsigned references;
  uint64_t version;
  struct caller_limits limits;
  GPtrArray *routes;    /* struct route */
  GHashTable *hosts;    /* host -> GArray of struct indexed_route, sorted by
                           prefix */
  GHashTable *services; /* name -> struct route_service */
  GPtrArray *accounts;  /* struct account */
  GHashTable *keys;     /* digest of a key -> struct account, which owns it */
  bool requires_keys;
  guint8 secret[ROUTE_SECRET_BYTES];
};

static void
target_clear (void *p)
{
  g_free (((struct route_target *)p)->service);
}

static void
route_clear (void *p)
{
  struct route *r = p;
  g_free (r->name);
  g_free (r->host);
  g_free (r->prefix);
  if (r->targets)
    g_array_free (r->targets, TRUE);
}

const struct route *
route_ref (const struct route *route)
{
  return g_rc_box_acquire ((void *)(uintptr_t)route);
}

static void
route_release (void *route)
{
  g_rc_box_release_full (route, route_clear);
}

void
route_unref (const struct route *route)
{
  route_release ((void *)(uintptr_t)route);
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
account_clear (void *p)
{
  struct account *a = p;
  g_free (a->public.name);
  g_ptr_array_unref (a->digests);
}

const struct route_account *
route_account_ref (const struct route_account *account)
{
  return g_rc_box_acquire ((void *)(uintptr_t)account);
}

static void
account_release (void *account)
{
  g_rc_box_release_full (account, account_clear);
}

void
route_account_unref (const struct route_account *account)
{
  account_release ((void *)(uintptr_t)account);
}

static void
host_free (void *p)
{
  g_array_unref (p);
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
  t->routes = g_ptr_array_new_with_free_func (route_release);
  t->hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, host_free);
  t->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  t->accounts = g_ptr_array_new_with_free_func (account_release);
  t->keys = g_hash_table_new (digest_hash, digest_equal);
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

const struct route *
route_table_add (struct route_table *t, const struct route *route)
{
  struct route *r = g_rc_box_new (struct route);
  *r = *route;
  if (r->targets)
    g_array_set_clear_func (r->targets, target_clear);
  g_ptr_array_add (t->routes, r);
  return r;
}

void
route_table_share (struct route_table *t, const struct route *route)
{
  g_ptr_array_add (t->routes, (void *)(uintptr_t)route_ref (route));
}

/* Index of the routes: those of a host, sorted by prefix.  The prefixes of a
   string among them are its predecessor in that order, or parents of it.  */

static gint
compare_prefixes (const void *a, const void *b)
{
  const struct indexed_route *x = a;
  const struct indexed_route *y = b;
  return strcmp (x->route->prefix, y->route->prefix);
}

/* Removes the routes whose prefix a route before has as well.  */
static void
remove_doubles (GArray *index)
{
  guint kept = 0;
  for (guint i = 0; i < index->len; i++)
    {
      struct indexed_route *all = (struct indexed_route *)(void *)index->data;
      if (kept == 0 || compare_prefixes (&all[kept - 1], &all[i]) != 0)
        all[kept++] = all[i];
    }
  g_array_set_size (index, kept);
}

static void
set_parents (GArray *index)
{
  struct indexed_route *all = (struct indexed_route *)(void *)index->data;
  for (gint i = 0; i < (gint)index->len; i++)
    {
      gint parent = i - 1;
      while (parent >= 0
             && !g_str_has_prefix (all[i].route->prefix,
                                   all[parent].route->prefix))
        parent = all[parent].parent;
      all[i].parent = parent;
    }
}

static void
add_to_index (struct route_table *t, const struct route *route)
{
  struct indexed_route entry = { route, -1 };
  g_autofree char *host = g_ascii_strdown (route->host, -1);
  GArray *index = g_hash_table_lookup (t->hosts, host);
  if (index == NULL)
    {
      index = g_array_new (FALSE, FALSE, sizeof entry);
      g_hash_table_insert (t->hosts, g_steal_pointer (&host), index);
    }
  g_array_append_val (index, entry);
}

void
route_table_finish (struct route_table *t)
{
  GHashTableIter it;
  gpointer index;
  for (guint i = 0; i < t->routes->len; i++)
    add_to_index (t, g_ptr_array_index (t->routes, i));
  g_hash_table_iter_init (&it, t->hosts);
  while (g_hash_table_iter_next (&it, NULL, &index))
    {
      g_array_sort (index, compare_prefixes); /* which is stable */
      remove_doubles (index);
      set_parents (index);
    }
}

/* Returns the place of the last route in INDEX whose prefix is not after
   TARGET; -1 for none.  */
static gint
find_predecessor (const GArray *index, const char *target)
{
  gint low = 0;
  gint high = (gint)index->len;
  while (low < high)
    {
      gint middle = low + (high - low) / 2;
      const struct indexed_route *entry
          = &g_array_index (index, struct indexed_route, middle);
      if (strcmp (entry->route->prefix, target) <= 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low - 1;
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
route_table_require_keys (struct route_table *t)
{
  t->requires_keys = true;
}

const struct route_account *
route_table_add_account (struct route_table *t,
                         const struct route_account *account)
{
  struct account *a = g_rc_box_new0 (struct account);
  a->public = *account;
  a->digests = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (t->accounts, a);
  route_table_require_keys (t);
  return &a->public;
}

/* Adds DIGEST, of a key of ACCOUNT, which owns it.  Returns false if another
   account has the key.  */
static bool
add_digest (struct route_table *t, struct account *account, guint8 *digest)
{
  const struct account *other = g_hash_table_lookup (t->keys, digest);
  if (other == NULL)
    g_hash_table_insert (t->keys, digest, account);
  return other == NULL || other == account;
}

void
route_table_share_account (struct route_table *t,
                           const struct route_account *account)
{
  struct account *a = (void *)(uintptr_t)route_account_ref (account);
  g_ptr_array_add (t->accounts, a);
  route_table_require_keys (t);
  for (guint i = 0; i < a->digests->len; i++)
    (void)add_digest (t, a, g_ptr_array_index (a->digests, i));
}

bool
route_table_add_key (struct route_table *t, const char *key)
{
  struct account *last = g_ptr_array_index (t->accounts, t->accounts->len - 1);
  guint8 *digest = g_malloc (DIGEST_BYTES);
  digest_key (t, key, digest);
  g_ptr_array_add (last->digests, digest);
  return add_digest (t, last, digest);
}

bool
route_table_requires_keys (const struct route_table *t)
{
  return t->requires_keys;
}

unsigned
route_table_count_accounts (const struct route_table *t)
{
  return t->accounts->len;
}

const struct route_account *
route_table_account (const struct route_table *t, const char *key)
{
  guint8 digest[DIGEST_BYTES];
  if (key == NULL || t->accounts->len == 0)
    return NULL;
  digest_key (t, key, digest);
  const struct account *account = g_hash_table_lookup (t->keys, digest);
  return account ? &account->public : NULL;
}

void
route_table_each_account (const struct route_table *t,
                          void (*visit) (void *arg,
                                         const struct route_account *a),
                          void *arg)
{
  for (guint i = 0; i < t->accounts->len; i++)
    visit (
        arg,
        &((const struct account *)g_ptr_array_index (t->accounts, i))->public);
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
  const GArray *index = g_hash_table_lookup (t->hosts, name);
  gint i = index ? find_predecessor (index, target) : -1;
  while (i >= 0)
    {
      const struct indexed_route *entry
          = &g_array_index (index, struct indexed_route, i);
      if (g_str_has_prefix (target, entry->route->prefix))
        return entry->route;
      i = entry->parent;
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
