/** @file
    Stand-in for the platform's key-value service: the parts of the etcd v3
    JSON gateway that the system uses.

    GET /seen returns {"reads","writes","watches","revision","max_value"};
    max_value is the size of the largest value written, in bytes.  Faults in
    addition to those of faults.h:
      drop_writes   number of transactions to handle without a response
      late_ms       close the connection of each transaction at once and apply
                    the transaction only after this time
      watch_silent  1: send no events to watches  */
#include "fakes/faults.h"

#include <string.h>

struct value
{
  char *key;
  char *base64;
  gint64 revision;
};

struct watcher
{
  struct evhttp_request *req;
  char *key; /* the one key watched */
};

static GTree *values; /* key -> struct value */
static GPtrArray *watchers;
static gint64 revision = 1;
static gint64 reads, writes, watches, max_value;

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer arg)
{
  (void)arg;
  return strcmp (a, b);
}

static void
value_free (void *p)
{
  struct value *v = p;
  g_free (v->key);
  g_free (v->base64);
  g_free (v);
}

static char *
decode_base64 (const json_t *text)
{
  gsize n = 0;
  g_autofree guchar *data = g_base64_decode (
      json_string_value (text) ? json_string_value (text) : "", &n);
  return g_strndup ((char *)data, n);
}

static json_t *
value_json (const struct value *v)
{
  g_autofree char *key
      = g_base64_encode ((const guchar *)v->key, strlen (v->key));
  g_autofree char *number = g_strdup_printf ("%" G_GINT64_FORMAT, v->revision);
  return json_pack ("{s:s,s:s,s:s}", "key", key, "value", v->base64,
                    "mod_revision", number);
}

static json_t *
header_json (void)
{
  g_autofree char *number = g_strdup_printf ("%" G_GINT64_FORMAT, revision);
  return json_pack ("{s:s}", "revision", number);
}

/* Range reads.  */

struct range
{
  const char *from;
  const char *to; /* exclusive; NULL: the key FROM only */
  json_t *found;
};

static gboolean
collect_in_range (gpointer key, gpointer value, gpointer arg)
{
  struct range *r = arg;
  bool in = r->to ? strcmp (key, r->from) >= 0 && strcmp (key, r->to) < 0
                  : strcmp (key, r->from) == 0;
  if (in)
    json_array_append_new (r->found, value_json (value));
  return FALSE;
}

static void
handle_range (struct evhttp_request *req, const json_t *body)
{
  g_autofree char *from = decode_base64 (json_object_get (body, "key"));
  json_t *end = json_object_get (body, "range_end");
  g_autofree char *to = end ? decode_base64 (end) : NULL;
  struct range r = { from, to, json_array () };
  reads++;
  g_tree_foreach (values, collect_in_range, &r);
  fake_reply_json (
      req, 200,
      json_pack ("{s:o,s:o}", "header", header_json (), "kvs", r.found));
}

/* Watches of single keys.  */

static void
watcher_send (struct watcher *w, json_t *root)
{
  g_autofree char *text = json_dumps (root, JSON_COMPACT);
  struct evbuffer *out = evbuffer_new ();
  evbuffer_add_printf (out, "%s\n", text);
  evhttp_send_reply_chunk (w->req, out);
  evbuffer_free (out);
  json_decref (root);
}

static void
notify_watchers (const struct value *v)
{
  if (fault ("watch_silent"))
    return;
  for (guint i = 0; i < watchers->len; i++)
    {
      struct watcher *w = g_ptr_array_index (watchers, i);
      if (strcmp (w->key, v->key) == 0)
        watcher_send (w, json_pack ("{s:{s:[{s:s,s:o}]}}", "result", "events",
                                    "type", "PUT", "kv", value_json (v)));
    }
}

static void
on_watcher_gone (struct evhttp_connection *conn, void *arg)
{
  (void)conn;
  struct watcher *w = arg;
  g_ptr_array_remove_fast (watchers, w);
  g_free (w->key);
  g_free (w);
}

static void
handle_watch (struct evhttp_request *req, const json_t *body)
{
  struct watcher *w = g_new0 (struct watcher, 1);
  w->req = req;
  w->key = decode_base64 (
      json_object_get (json_object_get (body, "create_request"), "key"));
  watches++;
  evhttp_connection_set_closecb (evhttp_request_get_connection (req),
                                 on_watcher_gone, w);
  evhttp_send_reply_start (req, 200, "OK");
  watcher_send (w, json_pack ("{s:{s:b}}", "result", "created", 1));
  g_ptr_array_add (watchers, w);
}

/* Transactions: compare revisions, then write.  */

static bool
compares_hold (const json_t *compares)
{
  size_t i;
  json_t *c;
  json_array_foreach (compares, i, c)
    {
      g_autofree char *key = decode_base64 (json_object_get (c, "key"));
      const char *text
          = json_string_value (json_object_get (c, "modRevision"));
      const struct value *v = g_tree_lookup (values, key);
      if ((v ? v->revision : 0)
          != g_ascii_strtoll (text ? text : "", NULL, 10))
        return false;
    }
  return true;
}

static void
put (const json_t *request)
{
  struct value *v = g_new0 (struct value, 1);
  v->key = decode_base64 (json_object_get (request, "key"));
  v->base64
      = g_strdup (json_string_value (json_object_get (request, "value")));
  v->revision = revision;
  max_value = MAX (max_value, (gint64)strlen (v->base64) * 3 / 4);
  g_tree_replace (values, v->key, v);
  notify_watchers (v);
}

static bool
apply_txn (const json_t *body)
{
  writes++;
  if (!compares_hold (json_object_get (body, "compare")))
    return false;
  revision++;
  size_t i;
  json_t *op;
  json_array_foreach (json_object_get (body, "success"), i, op)
    put (json_object_get (op, "requestPut"));
  return true;
}

struct late_txn
{
  json_t *body;
  struct event *timer;
};

static void
on_late_txn (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct late_txn *l = arg;
  apply_txn (l->body);
  event_free (l->timer);
  json_decref (l->body);
  g_free (l);
}

static void
handle_txn (struct evhttp_request *req, json_t *body)
{
  if (fault ("late_ms"))
    {
      struct late_txn *l = g_new0 (struct late_txn, 1);
      int64_t ms = fault ("late_ms");
      struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };
      l->body = json_incref (body);
      l->timer = evtimer_new (fake_base (), on_late_txn, l);
      evtimer_add (l->timer, &tv);
      fake_close_connection (req);
      return;
    }
  bool succeeded = apply_txn (body);
  if (fault ("drop_writes") > 0)
    {
      fault_set ("drop_writes", fault ("drop_writes") - 1);
      fake_close_connection (req);
      return;
    }
  fake_reply_json (req, 200,
                   json_pack ("{s:o,s:b}", "header", header_json (),
                              "succeeded", succeeded));
}

static void
handle (struct evhttp_request *req, const char *path, struct evkeyvalq *query)
{
  (void)query;
  json_t *body = fake_body_json (req);
  if (strcmp (path, "/v3/kv/range") == 0)
    handle_range (req, body);
  else if (strcmp (path, "/v3/kv/txn") == 0)
    handle_txn (req, body);
  else if (strcmp (path, "/v3/watch") == 0)
    handle_watch (req, body);
  else if (strcmp (path, "/seen") == 0)
    fake_reply_json (
        req, 200,
        json_pack ("{s:I,s:I,s:I,s:I,s:I}", "reads", (json_int_t)reads,
                   "writes", (json_int_t)writes, "watches",
                   (json_int_t)watches, "revision", (json_int_t)revision,
                   "max_value", (json_int_t)max_value));
  else
    fake_reply (req, 404, "text/plain", "no such path\n");
  json_decref (body);
}

int
main (int argc, char **argv)
{
  values = g_tree_new_full (compare_keys, NULL, NULL, value_free);
  watchers = g_ptr_array_new ();
  fake_run (argc, argv, handle);
  g_tree_destroy (values);
  g_ptr_array_unref (watchers);
  return 0;
}
