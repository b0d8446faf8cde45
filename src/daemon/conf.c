#include "daemon/conf.h"

#include "base/error.h"
#include "base/applied_record.h"
#include "base/log.h"
#include "base/metrics.h"
#include "config.h"
#include "decide/rank.h"

#include <string.h>

#define TICK_MS 100
#define WATCH_TICKS (6000 / TICK_MS)
#define POLL_TICKS (CONF_POLL_INTERVAL_MS / TICK_MS)
#define KV_STALE_MS (KV_WATCH_IDLE_TIMEOUT_MS + CONF_POLL_INTERVAL_MS)
#define PEER_STALE_MS 5000
/* Limit of an error text sent back to the VM that applies a file; the schema
   allows 256 bytes for conf_staged.detail.  */
#define DETAIL_MAX_BYTES 250

/* A staged file.  It is parsed when it is staged, so that errors show before
   the commit.  */
struct staged
{
  char *digest;
  GBytes *text;
  struct file *file; /* NULL once the file was put in force */
};

struct conf
{
  const struct context *ctx;
  const struct conf_callbacks *callbacks;
  void *arg;
  uint64_t revision;
  json_t *record;
  GBytes *record_bytes;
  GBytes *text;
  struct file *file;
  struct catalog *catalog;

  GPtrArray *staged; /* struct staged, oldest first */

  struct event *timer;
  unsigned ticks;
  bool watching;              /* this VM watches CONF_KEY_APPLIED_RECORD */
  unsigned watch_wrong_ticks; /* ticks for which WATCHING has differed from
                                 whether this VM is a bridge */
  bool reading_record;        /* a read of the record is in flight */
  bool fetching_contents;     /* a read of a file's contents is in flight */
  int64_t kv_ok_ms;           /* last time the record was read; 0: never */
  int64_t requested_ms; /* when a file was last requested from another VM */
};

char *
conf_digest (GBytes *text)
{
  return g_compute_checksum_for_bytes (G_CHECKSUM_SHA256, text);
}

/* File in force.  */

uint64_t
conf_revision (const struct conf *c)
{
  return c->revision;
}

const struct file *
conf_file (const struct conf *c)
{
  return c->file;
}

const struct catalog *
conf_catalog (const struct conf *c)
{
  return c->catalog;
}

GBytes *
conf_text (const struct conf *c)
{
  return c->text;
}

const json_t *
conf_applied_record (const struct conf *c)
{
  return c->record;
}

bool
conf_may_be_behind (const struct conf *c)
{
  int64_t silence = c->callbacks->silence_ms (c->arg);
  bool kv_stale = c->kv_ok_ms == 0 || clock_ms () - c->kv_ok_ms > KV_STALE_MS;
  return kv_stale && (silence < 0 || silence > PEER_STALE_MS);
}

/* Staged files.  Several operators may stage files at the same time.  */

static void
staged_free (void *p)
{
  struct staged *x = p;
  g_free (x->digest);
  g_bytes_unref (x->text);
  config_file_destroy (x->file);
  g_free (x);
}

static struct staged *
staged_find (const struct conf *c, const char *digest)
{
  for (guint i = 0; i < c->staged->len; i++)
    {
      struct staged *x = g_ptr_array_index (c->staged, i);
      if (strcmp (x->digest, digest) == 0)
        return x;
    }
  return NULL;
}

void
conf_stage (struct conf *c, const char *digest, GBytes *text,
            struct file *file)
{
  struct staged *old = staged_find (c, digest);
  if (old)
    g_ptr_array_remove (c->staged, old);
  else if (c->staged->len >= APPLY_STAGED_MAX)
    g_ptr_array_remove_index (c->staged, 0);
  struct staged *x = g_new0 (struct staged, 1);
  x->digest = g_strdup (digest);
  x->text = g_bytes_ref (text);
  x->file = file;
  g_ptr_array_add (c->staged, x);
}

struct file *
conf_parse (GBytes *text, GArray *problems)
{
  gsize n = 0;
  const char *data = g_bytes_get_data (text, &n);
  return config_file_parse (data ? data : "", n, problems);
}

/* Returns the parsed file with DIGEST: the staged one if there is one, else
   TEXT parsed now; NULL if TEXT is invalid.  */
static struct file *
take_parsed_file (struct conf *c, const char *digest, GBytes *text)
{
  struct staged *x = staged_find (c, digest);
  if (x && x->file)
    return g_steal_pointer (&x->file);
  g_autoptr (GArray) problems = config_file_problems_create ();
  return conf_parse (text, problems);
}

/* Older and equal revisions are ignored: a VM never goes back to an older
   file.  */
bool
conf_install (struct conf *c, GBytes *record_bytes, GBytes *text)
{
  json_t *record = applied_record_decode (record_bytes);
  g_autofree char *digest = conf_digest (text);
  if (record == NULL || applied_record_revision (record) <= c->revision
      || strcmp (digest, json_object_text (record, "digest")) != 0)
    {
      json_decref (record);
      return false;
    }
  struct file *file = take_parsed_file (c, digest, text);
  if (file == NULL)
    {
      log_event (LOG_ERROR, "committed_file_invalid", "digest", digest, NULL);
      json_decref (record);
      return false;
    }
  struct catalog *catalog = catalog_create (file, c->catalog);
  catalog_destroy (c->catalog);
  config_file_destroy (c->file);
  json_decref (c->record);
  g_clear_pointer (&c->record_bytes, g_bytes_unref);
  g_clear_pointer (&c->text, g_bytes_unref);
  c->catalog = catalog;
  c->file = file;
  c->record = record;
  c->record_bytes = g_bytes_ref (record_bytes);
  c->text = g_bytes_ref (text);
  c->revision = applied_record_revision (record);
  metrics_set (METRIC_revision, (int64_t)c->revision);
  log_event (LOG_INFO, "file_in_force", "revision",
             log_num ((long long)c->revision), "digest", digest, "operator",
             json_object_text (record, "operator"), "apply",
             json_object_text (record, "apply_id"), NULL);
  struct gossip_revisions known = { .revision = c->revision };
  members_set_revisions (c->ctx->members, &known);
  c->callbacks->on_file_changed (c->arg);
  return true;
}

/* Reads from the key-value service.  */

/* A read of the contents of a file that isn't staged here.  */
struct fetch
{
  struct conf *conf;
  GBytes *record_bytes;
};

static void
fetch_free (struct fetch *f)
{
  g_bytes_unref (f->record_bytes);
  g_free (f);
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  const struct kv_value *x = a, *y = b;
  return strcmp (x->key, y->key);
}

/* Joins the chunks of a file in the order of their keys and puts the file in
   force.  */
static void
on_contents_read (void *arg, enum kv_status status,
                  const struct kv_value *values, size_t n)
{
  struct fetch *f = arg;
  f->conf->fetching_contents = false;
  if (status == KV_OK && n > 0)
    {
      g_autoptr (GArray) sorted
          = g_array_new (FALSE, FALSE, sizeof (struct kv_value));
      g_array_append_vals (sorted, values, (guint)n);
      g_array_sort (sorted, compare_keys);
      GByteArray *text = g_byte_array_new ();
      for (guint i = 0; i < sorted->len; i++)
        {
          gsize size = 0;
          GBytes *chunk = g_array_index (sorted, struct kv_value, i).value;
          const void *data = g_bytes_get_data (chunk, &size);
          g_byte_array_append (text, data, (guint)size);
        }
      g_autoptr (GBytes) bytes = g_byte_array_free_to_bytes (text);
      conf_install (f->conf, f->record_bytes, bytes);
    }
  fetch_free (f);
}

/* Handles a record read from the key-value service.  If it is newer than the
   one in force, puts its file in force, or reads the contents first if the
   file isn't staged here.  */
static void
update_to_record (struct conf *c, GBytes *record_bytes)
{
  json_t *record = applied_record_decode (record_bytes);
  if (record == NULL || applied_record_revision (record) <= c->revision)
    {
      json_decref (record);
      return;
    }
  const char *digest = json_object_text (record, "digest");
  struct staged *x = staged_find (c, digest);
  if (x)
    conf_install (c, record_bytes, x->text);
  else if (!c->fetching_contents)
    {
      struct fetch *f = g_new0 (struct fetch, 1);
      f->conf = c;
      f->record_bytes = g_bytes_ref (record_bytes);
      c->fetching_contents = true;
      g_autofree char *key = g_strdup_printf (CONF_KEY_BLOB "%s/", digest);
      kv_get (c->ctx->kv, key, true, on_contents_read, f);
    }
  json_decref (record);
}

static void
on_record_read (void *arg, enum kv_status status,
                const struct kv_value *values, size_t n)
{
  struct conf *c = arg;
  c->reading_record = false;
  if (status != KV_OK)
    {
      metrics_add (METRIC_kv_errors_total, 1);
      return;
    }
  c->kv_ok_ms = clock_ms ();
  if (n > 0)
    update_to_record (c, values[0].value);
}

static void
read_record (struct conf *c)
{
  if (c->reading_record)
    return;
  c->reading_record = true;
  kv_get (c->ctx->kv, CONF_KEY_APPLIED_RECORD, false, on_record_read, c);
}

static void
on_watch (void *arg, enum kv_status status, const struct kv_value *value)
{
  struct conf *c = arg;
  if (status != KV_OK)
    return;
  c->kv_ok_ms = clock_ms ();
  update_to_record (c, value->value);
}

/* Starts or stops the watch of the record.  Only the bridges, a few VMs of
   each failure domain, watch it; the others learn of changes from them.  A
   change must last for WATCH_TICKS (6 s): a VM that has just started knows few
   other VMs and would take itself for a bridge.  */
static void
update_watch (struct conf *c)
{
  bool is_bridge = members_is_bridge (c->ctx->members, c->ctx->settings->vm);
  c->watch_wrong_ticks
      = is_bridge == c->watching ? 0 : c->watch_wrong_ticks + 1;
  if (c->watch_wrong_ticks < WATCH_TICKS)
    return;
  c->watch_wrong_ticks = 0;
  c->watching = is_bridge;
  if (is_bridge)
    kv_watch (c->ctx->kv, CONF_KEY_APPLIED_RECORD, on_watch, c);
  else
    kv_unwatch (c->ctx->kv, CONF_KEY_APPLIED_RECORD);
}

/* Exchange of files with other VMs.  */

void
conf_hint_revision (struct conf *c, const char *vm, uint64_t revision)
{
  int64_t now = clock_ms ();
  if (revision <= c->revision || now - c->requested_ms < TICK_MS)
    return;
  c->requested_ms = now;
  struct conf_want want = { .revision = revision };
  context_send (c->ctx, vm, MESSAGE_CONF_WANT, &want);
}

static void
send_in_force (struct conf *c, peer_handle peer)
{
  struct conf_in_force m = { .revision = c->revision };
  peers_send (c->ctx->peers, peer, MESSAGE_CONF_IN_FORCE, &m);
}

static void
handle_stage (struct conf *c, peer_handle peer, const struct conf_stage *m)
{
  struct conf_staged reply = { .apply_id = m->apply_id, .detail = (char *)"" };
  g_autofree char *digest = m->file ? conf_digest (m->file) : g_strdup ("");
  g_autofree char *detail = NULL;
  if (strcmp (digest, m->digest) != 0)
    {
      reply.result = RESULT_FRAME_MALFORMED;
      reply.detail = (char *)"the digest sent does not match the file";
    }
  else
    {
      g_autoptr (GArray) problems = config_file_problems_create ();
      struct file *file = conf_parse (m->file, problems);
      if (file)
        conf_stage (c, digest, m->file, file);
      else
        {
          detail = config_file_problems_text (problems);
          detail[MIN (strlen (detail), DETAIL_MAX_BYTES)] = '\0';
          reply.result = RESULT_FILE_INVALID;
          reply.detail = detail;
        }
    }
  peers_send (c->ctx->peers, peer, MESSAGE_CONF_STAGED, &reply);
}

static void
handle_commit (struct conf *c, peer_handle peer, const char *vm,
               const struct conf_commit *m)
{
  if (m->head)
    {
      json_t *record = applied_record_decode (m->head);
      if (record && applied_record_revision (record) > c->revision)
        {
          const char *digest = json_object_text (record, "digest");
          struct staged *x = staged_find (c, digest);
          if (x)
            conf_install (c, m->head, x->text);
          else
            conf_hint_revision (c, vm, applied_record_revision (record));
        }
      json_decref (record);
    }
  send_in_force (c, peer);
}

static void
handle_want (struct conf *c, peer_handle peer)
{
  struct conf_have have = { .head = c->record_bytes, .file = c->text };
  if (c->revision > 0)
    peers_send (c->ctx->peers, peer, MESSAGE_CONF_HAVE, &have);
}

/* Dispatch of frames.  */

void
conf_handle_frame (struct conf *c, peer_handle peer, const char *vm,
                   const struct frame *f)
{
  switch (f->type)
    {
    case MESSAGE_CONF_STAGE:
      handle_stage (c, peer, f->message);
      break;
    case MESSAGE_CONF_COMMIT:
      handle_commit (c, peer, vm, f->message);
      break;
    case MESSAGE_CONF_WANT:
      handle_want (c, peer);
      break;
    case MESSAGE_CONF_HAVE:
      {
        const struct conf_have *m = f->message;
        if (m->head && m->file)
          conf_install (c, m->head, m->file);
        break;
      }
    default:
      break;
    }
}

/* Periodic check of the record and of the watch.  */

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct conf *c = arg;
  c->ticks++;
  update_watch (c);
  if ((c->watching || c->revision == 0) && c->ticks % POLL_TICKS == 0)
    read_record (c);
  metrics_set (METRIC_behind, conf_may_be_behind (c));
}

struct conf *
conf_create (const struct context *ctx, const struct conf_callbacks *callbacks,
             void *arg)
{
  struct conf *c = g_new0 (struct conf, 1);
  c->ctx = ctx;
  c->callbacks = callbacks;
  c->arg = arg;
  c->staged = g_ptr_array_new_with_free_func (staged_free);
  c->timer = context_add_timer (ctx, TICK_MS, on_timer, c);
  read_record (c);
  return c;
}

void
conf_destroy (struct conf *c)
{
  if (c == NULL)
    return;
  event_free (c->timer);
  catalog_destroy (c->catalog);
  config_file_destroy (c->file);
  json_decref (c->record);
  g_clear_pointer (&c->record_bytes, g_bytes_unref);
  g_clear_pointer (&c->text, g_bytes_unref);
  g_ptr_array_unref (c->staged);
  g_free (c);
}
