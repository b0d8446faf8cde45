/** @file
    Adapter of the platform's store: eras, against a server in this process
    whose answers each test sets.  */
#include "platform/adapter.h"

#include "links/http_client.h"
#include "links/kv.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <string.h>

#define TIMEOUT_MS 3000
#define LATE_MS 100
#define ERA_UNIT ((int64_t)1 << 40)

/* Next answers of the server, in the order of the requests.  */
struct answer
{
  const char *era; /* NULL: no such field */
  int status;
  const char *body;
  unsigned delay_ms;
};

struct pending
{
  struct evhttp_request *req;
  struct answer answer;
  struct event *timer;
};

static struct event_base *base;
static struct evhttp *server;
static struct http_client *client;
static struct kv *kv;
static const struct answer *answers;
static unsigned requests;  /* received in this test */
static GHashTable *unsent; /* struct pending */

/* What the latest callbacks got.  */
static unsigned ended;
static enum kv_status statuses[4];
static int64_t revisions[4];

static void
send_answer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct pending *p = arg;
  struct evbuffer *body = evbuffer_new ();
  evbuffer_add_printf (body, "%s", p->answer.body);
  if (p->answer.era)
    evhttp_add_header (evhttp_request_get_output_headers (p->req), "Store-Era",
                       p->answer.era);
  evhttp_send_reply (p->req, p->answer.status, "", body);
  evbuffer_free (body);
  g_hash_table_remove (unsent, p);
}

static void
pending_free (void *arg)
{
  struct pending *p = arg;
  event_free (p->timer);
  g_free (p);
}

static void
on_request (struct evhttp_request *req, void *arg)
{
  (void)arg;
  struct pending *p = g_new0 (struct pending, 1);
  p->req = req;
  p->answer = answers[requests++];
  struct timeval tv = { 0, (suseconds_t)p->answer.delay_ms * 1000 };
  p->timer = evtimer_new (base, send_answer, p);
  evtimer_add (p->timer, &tv);
  g_hash_table_add (unsent, p);
}

static void
record_end (void *arg, enum kv_status status, int64_t revision)
{
  unsigned i = GPOINTER_TO_UINT (arg);
  statuses[i] = status;
  revisions[i] = revision;
  ended++;
}

static void
on_get (void *arg, enum kv_status status, const struct kv_value *values,
        size_t n)
{
  record_end (arg, status, n > 0 ? values[0].revision : 0);
}

static void
on_changes (void *arg, enum kv_status status, const struct kv_change *changes,
            size_t n, int64_t as_of)
{
  (void)changes;
  (void)n;
  record_end (arg, status, as_of);
}

static void
await_ends (unsigned n)
{
  for (unsigned ms = 0; ended < n; ms += 5)
    {
      g_assert_cmpuint (ms, <, TIMEOUT_MS);
      struct timeval tv = { 0, 5000 };
      event_base_loopexit (base, &tv);
      event_base_dispatch (base);
    }
}

static void
start (const struct answer *script)
{
  uint16_t port = 0;
  base = event_base_new ();
  server = evhttp_new (base);
  struct evhttp_bound_socket *s
      = evhttp_bind_socket_with_handle (server, "127.0.0.1", 0);
  g_assert_nonnull (s);
  struct sockaddr_storage sa;
  socklen_t len = sizeof sa;
  getsockname (evhttp_bound_socket_get_fd (s), (struct sockaddr *)&sa, &len);
  memcpy (&port, (char *)&sa + 2, sizeof port);
  evhttp_set_gencb (server, on_request, NULL);
  client = http_client_create (base);
  g_autofree char *address
      = g_strdup_printf ("127.0.0.1:%u", GUINT16_FROM_BE (port));
  kv = platform_open_kv (base, client, address);
  unsent = g_hash_table_new_full (NULL, NULL, pending_free, NULL);
  answers = script;
  requests = ended = 0;
}

static void
stop (void)
{
  kv_destroy (kv);
  http_client_destroy (client);
  g_hash_table_destroy (unsent);
  evhttp_free (server);
  event_base_free (base);
}

static void
get (unsigned i)
{
  kv_get (kv, "k", false, on_get, GUINT_TO_POINTER (i));
}

static void
write_key (unsigned i, int64_t revision)
{
  g_autoptr (GBytes) value = g_bytes_new_static ("v", 1);
  struct kv_put put = { "k", value };
  kv_txn (kv, "k", revision, &put, 1, record_end, GUINT_TO_POINTER (i));
}

#define ITEM(revision)                                                        \
  "{\"key\": \"k\", \"value\": \"dg==\", \"revision\": " #revision "}"

/* Revisions rise over eras, although the store gives lower ones.  */
static void
test_revisions_rise (void)
{
  static const struct answer script[]
      = { { "1", 200, ITEM (9), 0 }, { "2", 200, ITEM (4), 0 } };
  start (script);
  get (0);
  await_ends (1);
  get (1);
  await_ends (2);
  g_assert_cmpint (revisions[0], ==, ERA_UNIT + 9);
  g_assert_cmpint (revisions[1], ==, 2 * ERA_UNIT + 4);
  g_assert_cmpuint (kv->restores, ==, 1);
  stop ();
}

/* Answers of an earlier era that arrive late are dropped; a write that one
   acknowledges may be lost.  */
static void
test_late_answers (void)
{
  static const struct answer script[]
      = { { "1", 200, ITEM (9), 0 },
          { "1", 200, ITEM (9), LATE_MS },
          { "1", 200, "{\"revision\": 10}", LATE_MS },
          { "2", 200, ITEM (4), 0 } };
  start (script);
  get (0);
  await_ends (1);
  get (1);
  write_key (2, ERA_UNIT + 9);
  while (requests < 3)
    event_base_loop (base, EVLOOP_ONCE);
  get (3);
  await_ends (4);
  g_assert_cmpint (statuses[1], ==, KV_NOT_DONE);
  g_assert_cmpint (statuses[2], ==, KV_UNKNOWN);
  g_assert_cmpint (statuses[3], ==, KV_OK);
  stop ();
}

/* A long poll ends when another answer shows a higher era, and one from a
   revision of an earlier era is not sent.  */
static void
test_polls_end (void)
{
  static const struct answer script[]
      = { { "1", 200, ITEM (9), 0 },
          { "1", 200, "{\"events\": [], \"asOf\": 9}", TIMEOUT_MS },
          { "2", 200, ITEM (4), 0 } };
  start (script);
  get (0);
  await_ends (1);
  kv_changes (kv, "k", ERA_UNIT + 9, TIMEOUT_MS, on_changes,
              GUINT_TO_POINTER (1));
  while (requests < 2)
    event_base_loop (base, EVLOOP_ONCE);
  get (2);
  await_ends (3);
  g_assert_cmpint (statuses[1], ==, KV_RESTORED);
  kv_changes (kv, "k", ERA_UNIT + 9, TIMEOUT_MS, on_changes,
              GUINT_TO_POINTER (3));
  await_ends (4);
  g_assert_cmpint (statuses[3], ==, KV_RESTORED);
  g_assert_cmpuint (requests, ==, 3);
  stop ();
}

/* A write that compares with a revision of an earlier era is not sent once the
   new one is known.  Sent before, its outcome is unknown: the comparison may
   have held by chance.  A write of a new key needs no comparison.  */
static void
test_comparisons (void)
{
  static const struct answer script[]
      = { { "1", 200, ITEM (9), 0 },
          { "2", 200, "{\"revision\": 10}", 0 },
          { "2", 200, "{\"revision\": 11}", 0 } };
  start (script);
  get (0);
  await_ends (1);
  write_key (1, ERA_UNIT + 9);
  await_ends (2);
  g_assert_cmpint (statuses[1], ==, KV_UNKNOWN);
  write_key (2, ERA_UNIT + 9);
  await_ends (3);
  g_assert_cmpint (statuses[2], ==, KV_CONFLICT);
  g_assert_cmpuint (requests, ==, 2);
  write_key (3, 0);
  await_ends (4);
  g_assert_cmpint (statuses[3], ==, KV_OK);
  g_assert_cmpint (revisions[3], ==, 2 * ERA_UNIT + 11);
  stop ();
}

/* A missing or absurd era changes nothing.  */
static void
test_absurd_eras (void)
{
  static const char *const eras[]
      = { NULL, "", "-1", "x", "99999999999999999999", "4096", "0" };
  struct answer script[G_N_ELEMENTS (eras) + 1]
      = { { "1", 200, ITEM (9), 0 } };
  for (size_t i = 0; i < G_N_ELEMENTS (eras); i++)
    script[i + 1] = (struct answer){ eras[i], 200, ITEM (9), 0 };
  start (script);
  for (unsigned i = 0; i <= G_N_ELEMENTS (eras); i++)
    {
      get (0);
      await_ends (i + 1);
      bool earlier = i > 0 && g_strcmp0 (eras[i - 1], "0") == 0;
      g_assert_cmpint (statuses[0], ==, earlier ? KV_NOT_DONE : KV_OK);
    }
  g_assert_cmpuint (kv->restores, ==, 0);
  stop ();
}

/* An answer that lacks its revision was broken off or is malformed, whatever
   its status says.  */
static void
test_answers_without_revision (void)
{
  static const char *const bodies[]
      = { "",
          "{\"revision\": 1",
          "{}",
          "[]",
          "{\"revision\": \"10\"}",
          "{\"items\": [], \"events\": []}",
          "{\"items\": [], \"events\": [], \"asOf\": null}" };
  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      const struct answer a = { "1", 200, bodies[i], 0 };
      const struct answer script[] = { a, a, a };
      start (script);
      write_key (0, 0);
      await_ends (1);
      kv_list (kv, "k", on_changes, GUINT_TO_POINTER (1));
      await_ends (2);
      kv_changes (kv, "k", ERA_UNIT + 1, 0, on_changes, GUINT_TO_POINTER (2));
      await_ends (3);
      g_assert_cmpint (statuses[0], ==, KV_UNKNOWN);
      g_assert_cmpint (statuses[1], ==, KV_NOT_DONE);
      g_assert_cmpint (statuses[2], ==, KV_NOT_DONE);
      stop ();
    }
}

/* A revision that is negative, or too large for its place beside the era, is
   malformed: it would be taken for one of another era.  */
static void
test_absurd_revisions (void)
{
  static const char *const absurd[] = { "-1", "1099511627776" };
  for (unsigned i = 0; i < G_N_ELEMENTS (absurd); i++)
    {
      g_autofree char *item = g_strdup_printf (
          "{\"key\":\"k\",\"value\":\"dg==\",\"revision\":%s}", absurd[i]);
      g_autofree char *list
          = g_strdup_printf ("{\"items\":[%s],\"asOf\":1}", item);
      g_autofree char *changes
          = g_strdup_printf ("{\"events\":[],\"asOf\":%s}", absurd[i]);
      g_autofree char *written
          = g_strdup_printf ("{\"revision\":%s}", absurd[i]);
      const struct answer script[] = { { "1", 200, item, 0 },
                                       { "1", 200, list, 0 },
                                       { "1", 200, changes, 0 },
                                       { "1", 200, written, 0 } };
      start (script);
      get (0);
      await_ends (1);
      kv_list (kv, "k", on_changes, GUINT_TO_POINTER (1));
      await_ends (2);
      kv_changes (kv, "k", ERA_UNIT + 1, 0, on_changes, GUINT_TO_POINTER (2));
      await_ends (3);
      write_key (3, 0);
      await_ends (4);
      g_assert_cmpint (statuses[0], ==, KV_NOT_DONE);
      g_assert_cmpint (statuses[1], ==, KV_NOT_DONE);
      g_assert_cmpint (statuses[2], ==, KV_NOT_DONE);
      g_assert_cmpint (statuses[3], ==, KV_UNKNOWN);
      stop ();
    }
}

/* A removed key has no value: in the answer to a read it is malformed.  */
static void
test_removed_items (void)
{
#define REMOVED "{\"key\":\"k\",\"revision\":1,\"deleted\":true}"
  static const struct answer script[]
      = { { "1", 200, REMOVED, 0 },
          { "1", 200, "{\"items\":[" REMOVED "],\"asOf\":1}", 0 },
          { "1", 200, "{\"events\":[" REMOVED "],\"asOf\":1}", 0 } };
  start (script);
  get (0);
  await_ends (1);
  kv_list (kv, "k", on_changes, GUINT_TO_POINTER (1));
  await_ends (2);
  kv_changes (kv, "k", ERA_UNIT + 1, 0, on_changes, GUINT_TO_POINTER (2));
  await_ends (3);
  g_assert_cmpint (statuses[0], ==, KV_NOT_DONE);
  g_assert_cmpint (statuses[1], ==, KV_NOT_DONE);
  g_assert_cmpint (statuses[2], ==, KV_OK);
  stop ();
}

/* Guards against a value that is a number in the answer and is taken for a
   large value, whose place in the parsed answer a number takes.  */
static void
test_numbers_are_no_values (void)
{
  g_autofree char *large = g_strnfill (8000, 'A');
  g_autofree char *both = g_strdup_printf (
      "{\"items\":[{\"key\":\"k1\",\"value\":0,\"revision\":1},"
      "{\"key\":\"k2\",\"value\":\"%s\",\"revision\":1}],\"asOf\":1}",
      large);
  g_autofree char *one = g_strdup_printf (
      "{\"items\":[{\"key\":\"k1\",\"value\":\"dg==\",\"revision\":1},"
      "{\"key\":\"k2\",\"value\":\"%s\",\"revision\":1}],\"asOf\":1}",
      large);
  const struct answer script[]
      = { { "1", 200, "{\"key\":\"k\",\"value\":0,\"revision\":1}", 0 },
          { "1", 200, both, 0 },
          { "1", 200, one, 0 } };
  start (script);
  get (0);
  await_ends (1);
  kv_list (kv, "k", on_changes, GUINT_TO_POINTER (1));
  await_ends (2);
  kv_list (kv, "k", on_changes, GUINT_TO_POINTER (2));
  await_ends (3);
  g_assert_cmpint (statuses[0], ==, KV_NOT_DONE);
  g_assert_cmpint (statuses[1], ==, KV_NOT_DONE);
  g_assert_cmpint (statuses[2], ==, KV_OK);
  stop ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/store/revisions-rise", test_revisions_rise);
  g_test_add_func ("/store/late-answers", test_late_answers);
  g_test_add_func ("/store/polls-end", test_polls_end);
  g_test_add_func ("/store/comparisons", test_comparisons);
  g_test_add_func ("/store/absurd-eras", test_absurd_eras);
  g_test_add_func ("/store/answers-without-revision",
                   test_answers_without_revision);
  g_test_add_func ("/store/absurd-revisions", test_absurd_revisions);
  g_test_add_func ("/store/removed-items", test_removed_items);
  g_test_add_func ("/store/numbers-are-no-values", test_numbers_are_no_values);
  return g_test_run ();
}
