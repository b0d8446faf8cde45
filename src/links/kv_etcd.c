#include "config.h"
#include "links/http_client.h"
#include "links/kv.h"
#include "links/trace.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

struct kv_etcd
{
  struct kv kv;
  struct event_base *base;
  struct http_client *http;
  char *address;
  GPtrArray *watches;
};

/* One watched key.  */
struct watch
{
  struct kv_etcd *etcd;
  char *key;
  kv_watch_cb *cb;
  void *arg;
  struct http_call *call; /* NULL while a retry is due */
  struct event *retry_timer;
  GString *received; /* start of a line whose end has not arrived */
};

/* A read or write in flight.  */
struct operation
{
  struct kv_etcd *etcd;
  kv_get_cb *get_cb;
  kv_txn_cb *txn_cb;
  void *arg;
  struct span span;
};

/* JSON encoding and decoding: keys and values are in base64, 64-bit numbers
   may be strings.  */

static json_t *
encode_base64 (const void *data, size_t size)
{
  g_autofree char *text = g_base64_encode (data, size);
  return json_string (text);
}

static json_t *
encode_key (const char *key)
{
  return encode_base64 (key, strlen (key));
}

static GBytes *
decode_bytes (const json_t *value)
{
  gsize n = 0;
  const char *text = json_string_value (value);
  guchar *data = g_base64_decode (text ? text : "", &n);
  return g_bytes_new_take (data, n);
}

static int64_t
decode_int (const json_t *value)
{
  if (json_is_string (value))
    return g_ascii_strtoll (json_string_value (value), NULL, 10);
  return json_integer_value (value);
}

static char *
decode_string (const json_t *value)
{
  g_autoptr (GBytes) bytes = decode_bytes (value);
  gsize n = 0;
  const char *data = g_bytes_get_data (bytes, &n);
  return g_strndup (data ? data : "", n);
}

static json_t *
parse_response (const struct http_response *a)
{
  if (a->end != HTTP_OUTCOME_COMPLETE || a->status != 200 || a->body == NULL)
    return NULL;
  size_t n = evbuffer_get_length (a->body);
  const char *text = (const char *)evbuffer_pullup (a->body, -1);
  return text ? json_loadb (text, n, 0, NULL) : NULL;
}

/* Only a request that was not sent, or a response of 429 or 503, shows that
   nothing was done; after any other failure the outcome is unknown.  */
static enum kv_status
failure_status (const struct http_response *a)
{
  if (a->end == HTTP_OUTCOME_NOT_SENT)
    return KV_NOT_DONE;
  if (a->end == HTTP_OUTCOME_COMPLETE
      && (a->status == 503 || a->status == 429))
    return KV_NOT_DONE;
  return KV_UNKNOWN;
}

/* Reads of keys and key ranges.  */

static void
on_get_end (void *arg, const struct http_response *a)
{
  struct operation *op = arg;
  json_t *root = parse_response (a);
  span_end (&op->span, root ? "ok" : "failed", "range");
  if (root == NULL)
    op->get_cb (op->arg, failure_status (a), NULL, 0);
  else
    {
      json_t *kvs = json_object_get (root, "kvs");
      size_t n = json_array_size (kvs);
      struct kv_value *values = g_new0 (struct kv_value, n + 1);
      for (size_t i = 0; i < n; i++)
        {
          json_t *item = json_array_get (kvs, i);
          values[i].key = decode_string (json_object_get (item, "key"));
          values[i].value = decode_bytes (json_object_get (item, "value"));
          values[i].revision
              = decode_int (json_object_get (item, "mod_revision"));
        }
      op->get_cb (op->arg, KV_OK, values, n);
      for (size_t i = 0; i < n; i++)
        {
          g_free ((char *)(uintptr_t)values[i].key);
          g_bytes_unref (values[i].value);
        }
      g_free (values);
      json_decref (root);
    }
  g_free (op);
}

static const struct http_client_callbacks get_callbacks
    = { NULL, on_get_end, NULL };

static void
post_json (struct kv_etcd *e, const char *path, json_t *body,
           const struct http_client_callbacks *callbacks, void *arg)
{
  g_autofree char *text = json_dumps (body, JSON_COMPACT);
  struct http_client_request request = { .address = e->address,
                                         .method = "POST",
                                         .path = path,
                                         .content_type = "application/json",
                                         .body = text,
                                         .body_size = strlen (text),
                                         .timeout_ms = KV_TIMEOUT_MS };
  json_decref (body);
  http_client_call (e->http, &request, callbacks, arg);
}

/* End of the range of keys that start with PREFIX: PREFIX with its last byte
   incremented.  */
static json_t *
encode_range_end (const char *prefix)
{
  g_autofree char *end = g_strdup (prefix);
  end[strlen (end) - 1]++;
  return encode_key (end);
}

static void
etcd_get (struct kv *kv, const char *key, bool prefix, kv_get_cb *cb,
          void *arg)
{
  struct kv_etcd *e = (struct kv_etcd *)kv;
  struct operation *op = g_new0 (struct operation, 1);
  op->etcd = e;
  op->get_cb = cb;
  span_start (&op->span, "platform", NULL);
  op->arg = arg;
  json_t *body = json_pack ("{s:o}", "key", encode_key (key));
  if (prefix)
    json_object_set_new (body, "range_end", encode_range_end (key));
  kv->reads++;
  post_json (e, "/v3/kv/range", body, &get_callbacks, op);
}

/* Conditional writes (transactions).  */

static void
on_txn_end (void *arg, const struct http_response *a)
{
  struct operation *op = arg;
  json_t *root = parse_response (a);
  span_end (&op->span, root ? "ok" : "failed", "txn");
  if (root == NULL)
    op->txn_cb (op->arg, failure_status (a), 0);
  else
    {
      bool succeeded = json_is_true (json_object_get (root, "succeeded"));
      json_t *header = json_object_get (root, "header");
      op->txn_cb (op->arg, succeeded ? KV_OK : KV_CONFLICT,
                  decode_int (json_object_get (header, "revision")));
      json_decref (root);
    }
  g_free (op);
}

static const struct http_client_callbacks txn_callbacks
    = { NULL, on_txn_end, NULL };

static void
etcd_txn (struct kv *kv, const char *key, int64_t revision,
          const struct kv_put *puts, size_t n, kv_txn_cb *cb, void *arg)
{
  struct kv_etcd *e = (struct kv_etcd *)kv;
  struct operation *op = g_new0 (struct operation, 1);
  op->etcd = e;
  op->txn_cb = cb;
  span_start (&op->span, "platform", NULL);
  op->arg = arg;
  json_t *success = json_array ();
  for (size_t i = 0; i < n; i++)
    {
      gsize size = 0;
      const void *data = g_bytes_get_data (puts[i].value, &size);
      json_array_append_new (success,
                             json_pack ("{s:{s:o,s:o}}", "requestPut", "key",
                                        encode_key (puts[i].key), "value",
                                        encode_base64 (data, size)));
    }
  g_autofree char *revision_text = g_strdup_printf ("%" PRId64, revision);
  json_t *body = json_pack ("{s:[{s:s,s:s,s:o,s:s}],s:o}", "compare", "result",
                            "EQUAL", "target", "MOD", "key", encode_key (key),
                            "modRevision", revision_text, "success", success);
  kv->writes++;
  post_json (e, "/v3/kv/txn", body, &txn_callbacks, op);
}

/* Watches: one HTTP response each, with a JSON object per line.  */

static void start_watch (struct watch *w);

static void
notify_watcher (struct watch *w, const json_t *event)
{
  const json_t *item = json_object_get (event, "kv");
  struct kv_value v = { .key = w->key };
  v.value = decode_bytes (json_object_get (item, "value"));
  v.revision = decode_int (json_object_get (item, "mod_revision"));
  w->cb (w->arg, KV_OK, &v);
  g_bytes_unref (v.value);
}

static void
parse_watch_line (struct watch *w, const char *line, size_t size)
{
  json_t *root = json_loadb (line, size, 0, NULL);
  json_t *events
      = json_object_get (json_object_get (root, "result"), "events");
  size_t i;
  json_t *event;
  json_array_foreach (events, i, event)
    notify_watcher (w, event);
  json_decref (root);
}

static void
on_watch_data (void *arg, struct evbuffer *body)
{
  struct watch *w = arg;
  size_t n = evbuffer_get_length (body);
  gsize old = w->received->len;
  g_string_set_size (w->received, old + n);
  evbuffer_remove (body, w->received->str + old, n);
  char *end;
  while ((end = memchr (w->received->str, '\n', w->received->len)) != NULL)
    {
      gsize used = (gsize)(end - w->received->str) + 1;
      parse_watch_line (w, w->received->str, used - 1);
      g_string_erase (w->received, 0, (gssize)used);
    }
}

static void
on_watch_end (void *arg, const struct http_response *a)
{
  (void)a;
  struct watch *w = arg;
  w->call = NULL;
  w->cb (w->arg, KV_UNKNOWN, NULL);
  struct timeval tv = { KV_RETRY_MS / 1000, (KV_RETRY_MS % 1000) * 1000 };
  evtimer_add (w->retry_timer, &tv);
}

static const struct http_client_callbacks watch_callbacks
    = { on_watch_data, on_watch_end, NULL };

static void
on_retry_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  start_watch (arg);
}

static void
start_watch (struct watch *w)
{
  g_string_truncate (w->received, 0);
  json_t *body
      = json_pack ("{s:{s:o}}", "create_request", "key", encode_key (w->key));
  g_autofree char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  struct http_client_request request
      = { .address = w->etcd->address,
          .method = "POST",
          .path = "/v3/watch",
          .content_type = "application/json",
          .body = text,
          .body_size = strlen (text),
          .timeout_ms = KV_WATCH_IDLE_TIMEOUT_MS,
          .new_connection = true };
  w->etcd->kv.watches++;
  w->call = http_client_call (w->etcd->http, &request, &watch_callbacks, w);
}

static void
etcd_watch (struct kv *kv, const char *key, kv_watch_cb *cb, void *arg)
{
  struct kv_etcd *e = (struct kv_etcd *)kv;
  struct watch *w = g_new0 (struct watch, 1);
  w->etcd = e;
  w->key = g_strdup (key);
  w->cb = cb;
  w->arg = arg;
  w->received = g_string_new (NULL);
  w->retry_timer = evtimer_new (e->base, on_retry_timer, w);
  g_ptr_array_add (e->watches, w);
  start_watch (w);
}

static void
etcd_unwatch (struct kv *kv, const char *key)
{
  struct kv_etcd *e = (struct kv_etcd *)kv;
  for (guint i = 0; i < e->watches->len; i++)
    {
      const struct watch *w = g_ptr_array_index (e->watches, i);
      if (strcmp (w->key, key) == 0)
        g_ptr_array_remove_index (e->watches, i--);
    }
}

static void
watch_free (void *p)
{
  struct watch *w = p;
  http_call_cancel (w->call);
  event_free (w->retry_timer);
  g_string_free (w->received, TRUE);
  g_free (w->key);
  g_free (w);
}

static void
etcd_destroy (struct kv *kv)
{
  struct kv_etcd *e = (struct kv_etcd *)kv;
  g_ptr_array_unref (e->watches);
  g_free (e->address);
  g_free (e);
}

static const struct kv_ops etcd_ops = { .get = etcd_get,
                                        .txn = etcd_txn,
                                        .watch = etcd_watch,
                                        .unwatch = etcd_unwatch,
                                        .destroy = etcd_destroy };

struct kv *
kv_etcd_create (struct event_base *base, struct http_client *http,
                const char *address)
{
  struct kv_etcd *e = g_new0 (struct kv_etcd, 1);
  e->kv.ops = &etcd_ops;
  e->base = base;
  e->http = http;
  e->address = g_strdup (address);
  e->watches = g_ptr_array_new_with_free_func (watch_free);
  return &e->kv;
}
