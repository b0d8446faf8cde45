/** @file
    The link of the duties with one VM, a key-value service in memory and a
   duty that is always due, in real time.  */
#include "daemon/duty_link.h"

#include "base/clock.h"
#include "platform/adapter.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LEASE_KEY "buckthornstand/duties"
#define RECORD_KEY "test/record"

/* A value in the key-value service.  */
struct entry
{
  GBytes *value;
  int64_t revision;
};

struct site;

struct memory_kv
{
  struct kv kv;
  struct site *site;
  GHashTable *entries; /* key -> struct entry */
  int64_t revision;
};

/* A request whose callback runs from the event loop.  */
struct request
{
  struct memory_kv *kv;
  struct event *timer;
  char *key;
  kv_get_cb *on_get;
  kv_txn_cb *on_txn;
  enum kv_status status;
  int64_t revision;
  void *arg;
};

struct site
{
  struct event_base *base;
  struct memory_kv kv;
  struct members *members;
  struct pool *pool;
  struct duty_link *duties;
  unsigned begun;
  unsigned ended;
  unsigned prepared;
  unsigned sent;
  uint64_t fence;
  char *record; /* that the duty was begun with, or NULL */
};

static void
entry_free (void *value)
{
  struct entry *e = value;
  g_bytes_unref (e->value);
  g_free (e);
}

static void
put (struct memory_kv *kv, const char *key, GBytes *value)
{
  struct entry *e = g_new0 (struct entry, 1);
  e->value = g_bytes_ref (value);
  e->revision = kv->revision;
  g_hash_table_replace (kv->entries, g_strdup (key), e);
}

static void
put_text (struct memory_kv *kv, const char *key, const char *text)
{
  g_autoptr (GBytes) value = g_bytes_new (text, strlen (text));
  kv->revision++;
  put (kv, key, value);
}

static void
on_request_done (evutil_socket_t fd, short what, void *arg)
{
  struct request *r = arg;
  (void)fd;
  (void)what;
  struct entry *e
      = r->on_get ? g_hash_table_lookup (r->kv->entries, r->key) : NULL;
  if (r->on_get)
    {
      struct kv_value value
          = { r->key, e ? e->value : NULL, e ? e->revision : 0 };
      r->on_get (r->arg, KV_OK, &value, e ? 1 : 0);
    }
  else
    r->on_txn (r->arg, r->status, r->revision);
  event_free (r->timer);
  g_free (r->key);
  g_free (r);
}

static struct request *
request_create (struct kv *kv, const char *key, void *arg)
{
  static const struct timeval soon = { 0, 2000 };
  struct request *r = g_new0 (struct request, 1);
  r->kv = (struct memory_kv *)kv;
  r->key = g_strdup (key);
  r->arg = arg;
  r->timer = evtimer_new (r->kv->site->base, on_request_done, r);
  evtimer_add (r->timer, &soon);
  return r;
}

static void
memory_get (struct kv *kv, const char *key, bool prefix, kv_get_cb *cb,
            void *arg)
{
  g_assert_false (prefix);
  request_create (kv, key, arg)->on_get = cb;
}

static void
memory_txn (struct kv *kv, const char *key, int64_t revision,
            const struct kv_put *puts, size_t n, kv_txn_cb *cb, void *arg)
{
  struct request *r = request_create (kv, key, arg);
  const struct entry *e = g_hash_table_lookup (r->kv->entries, key);
  r->on_txn = cb;
  r->status = (e ? e->revision : 0) == revision ? KV_OK : KV_CONFLICT;
  if (r->status != KV_OK)
    return;
  r->revision = ++r->kv->revision;
  for (size_t i = 0; i < n; i++)
    put (r->kv, puts[i].key, puts[i].value);
}

static const struct kv_ops memory_ops
    = { .get = memory_get, .txn = memory_txn };

/* Returns the value under KEY as text, to be freed; NULL if there is none.  */
static char *
text_of (struct site *s, const char *key)
{
  const struct entry *e = g_hash_table_lookup (s->kv.entries, key);
  gsize size = 0;
  const char *data = e ? g_bytes_get_data (e->value, &size) : NULL;
  return e ? g_strndup (data, size) : NULL;
}

/* The duty.  */

static void
begin (void *arg, GBytes *record, int64_t now_ms)
{
  struct site *s = arg;
  (void)now_ms;
  gsize size = 0;
  const char *data = record ? g_bytes_get_data (record, &size) : NULL;
  g_free (s->record);
  s->record = data ? g_strndup (data, size) : NULL;
  s->begun++;
}

static bool
is_due (void *arg, int64_t now_ms)
{
  (void)arg;
  (void)now_ms;
  return true;
}

static GBytes *
prepare (void *arg, int64_t now_ms)
{
  struct site *s = arg;
  (void)now_ms;
  char *text = g_strdup_printf ("record %u", ++s->prepared);
  return g_bytes_new_take (text, strlen (text));
}

static void
on_status (void *arg, unsigned status)
{
  (void)arg;
  (void)status;
}

static void
send_call (void *arg, uint64_t fence, int64_t now_ms)
{
  struct site *s = arg;
  (void)now_ms;
  g_autofree char *record = text_of (s, RECORD_KEY);
  g_autofree char *expected = g_strdup_printf ("record %u", s->prepared);
  /* What is sent was written before.  */
  g_assert_cmpstr (record, ==, expected);
  s->fence = fence;
  if (s->sent++ > 0)
    return;
  struct http_head *head = http_head_create ();
  head->target = g_strdup ("/usage");
  duty_link_post (s->duties, head, "{}", fence, on_status, s);
}

static void
end (void *arg)
{
  struct site *s = arg;
  s->ended++;
}

static const struct duty_ops duty
    = { RECORD_KEY, begin, is_due, prepare, send_call, end };

static struct site *
site_create (const char *address)
{
  static const char vm[] = "vm-a";
  struct site *s = g_new0 (struct site, 1);
  struct member_update self = { .id = (char *)vm,
                                .ip = (char *)"127.0.0.1",
                                .region = (char *)"fleet",
                                .failure_domain = (char *)"d",
                                .incarnation = member_first_incarnation (1) };
  s->base = event_base_new ();
  s->pool = pool_create (s->base, 0);
  s->kv.kv.ops = &memory_ops;
  s->kv.site = s;
  s->kv.entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, entry_free);
  s->members = members_create (&self, 1, clock_ms ());
  struct duty_link_parts parts = { .base = s->base,
                                   .kv = &s->kv.kv,
                                   .platform = &platform_adapter,
                                   .pool = s->pool,
                                   .members = s->members,
                                   .vm = vm,
                                   .address = address,
                                   .lease_ms = DUTY_LEASE_MIN_MS,
                                   .calls_per_s = 50 };
  s->duties = duty_link_create (&parts);
  duty_link_add (s->duties, &duty, s);
  return s;
}

static void
site_destroy (struct site *s)
{
  duty_link_destroy (s->duties);
  members_destroy (s->members);
  pool_destroy (s->pool);
  g_hash_table_destroy (s->kv.entries);
  event_base_free (s->base);
  g_free (s->record);
  g_free (s);
}

/* Runs the loop for MS, or until *COUNT is not 0 if COUNT is not NULL. Returns
   the time in ms.  */
static int64_t
run (struct site *s, int64_t ms, const unsigned *count)
{
  int64_t start = clock_ms ();
  while (clock_ms () - start < ms && (count == NULL || *count == 0))
    event_base_loop (s->base, EVLOOP_ONCE);
  return clock_ms () - start;
}

/* Ends the requests in flight: their callbacks refer to the link.  */
static void
settle (struct site *s)
{
  duty_link_leave (s->duties);
  run (s, 300, NULL);
}

/* The duty begins with the record in the store, and sends only what was
   written with the renewal before, with the revision of the acquisition as
   token.  It ends when another VM has written the key; when this VM leaves,
   the key names no holder.  */
static void
test_tenure (void)
{
  struct site *s = site_create ("127.0.0.1:9");
  put_text (&s->kv, RECORD_KEY, "earlier");
  run (s, 10000, &s->sent);
  g_assert_cmpuint (s->begun, ==, 1);
  g_assert_cmpstr (s->record, ==, "earlier");
  g_assert_cmpuint (s->sent, ==, 1);
  g_assert_cmpuint (s->fence, ==, 2);
  put_text (&s->kv, LEASE_KEY, "vm-b 1");
  run (s, 3000, &s->ended);
  g_assert_cmpuint (s->ended, ==, 1);
  unsigned sent = s->sent;
  run (s, 1000, NULL);
  g_assert_cmpuint (s->sent, ==, sent);
  settle (s);
  site_destroy (s);
}

/* A holder that leaves releases the lease.  */
static void
test_leave (void)
{
  struct site *s = site_create ("127.0.0.1:9");
  run (s, 10000, &s->begun);
  settle (s);
  g_autofree char *lease = text_of (s, LEASE_KEY);
  g_assert_true (g_str_has_prefix (lease, " "));
  g_assert_cmpuint (s->ended, ==, 1);
  site_destroy (s);
}

/* A holder that gets no connection to the platform releases the lease, and
   acquires it again later if no other VM does.  */
static void
test_yield (void)
{
  struct sockaddr_in own
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof own;
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (bind (listener, (struct sockaddr *)&own, size), ==, 0);
  g_assert_cmpint (listen (listener, 0), ==, 0);
  getsockname (listener, (struct sockaddr *)&own, &size);
  int waiting[4];
  for (size_t i = 0; i < G_N_ELEMENTS (waiting); i++)
    {
      waiting[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect (waiting[i], (struct sockaddr *)&own, size);
    }
  g_autofree char *address
      = g_strdup_printf ("127.0.0.1:%u", ntohs (own.sin_port));
  struct site *s = site_create (address);
  run (s, 10000, &s->sent);
  g_assert_cmpuint (s->sent, ==, 1);
  int64_t took = run (s, 6000, &s->ended);
  g_assert_cmpint (took, >=, 2500);
  g_autofree char *lease = text_of (s, LEASE_KEY);
  g_assert_true (g_str_has_prefix (lease, " "));
  unsigned begun = s->begun;
  run (s, 8000, NULL);
  g_assert_cmpuint (s->begun, ==, begun + 1);
  settle (s);
  site_destroy (s);
  for (size_t i = 0; i < G_N_ELEMENTS (waiting); i++)
    close (waiting[i]);
  close (listener);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/duty-link/tenure", test_tenure);
  g_test_add_func ("/duty-link/leave", test_leave);
  g_test_add_func ("/duty-link/yield", test_yield);
  return g_test_run ();
}
