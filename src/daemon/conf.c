#include "daemon/conf.h"

#include "base/error.h"
#include "base/head.h"
#include "base/log.h"
#include "base/metrics.h"
#include "config.h"
#include "decide/rank.h"

#include <string.h>

#define TICK_MS 100
#define WATCH_TICKS (6000 / TICK_MS)
#define POLL_TICKS (CONF_POLL_INTERVAL_MS / TICK_MS)
#define KV_STALE_MS (KV_WATCH_SILENT_MS + CONF_POLL_INTERVAL_MS)
#define PEER_STALE_MS 5000
#define DETAIL_MAX_BYTES 250

/* A file held ready, parsed, so that a commit has nothing left to check.  */
struct staged
{
  char *digest;
  GBytes *text;
  struct file *file; /* NULL once it was put in force */
};

struct conf
{
  const struct context *ctx;
  const struct conf_events *events;
  void *arg;
  uint64_t revision;
  json_t *head;
  GBytes *head_bytes;
  GBytes *text;
  struct file *file;
  struct catalog *catalog;

  GPtrArray *staged; /* struct staged, latest last */

  struct event *timer;
  unsigned ticks;
  bool watching;
  unsigned chosen_ticks; /* for which WATCHING has not been as it should */
  bool reading;
  bool fetching;
  int64_t kv_ok_ms;
  int64_t hint_ms;
};

/* Heads.  */

char *
conf_digest (GBytes *text)
{
  return g_compute_checksum_for_bytes (G_CHECKSUM_SHA256, text);
}

/* What is in force.  */

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
conf_head (const struct conf *c)
{
  return c->head;
}

bool
conf_may_be_behind (const struct conf *c)
{
  int64_t silence = c->events->silence_ms (c->arg);
  bool kv_stale = c->kv_ok_ms == 0 || clock_ms () - c->kv_ok_ms > KV_STALE_MS;
  return kv_stale && (silence < 0 || silence > PEER_STALE_MS);
}

/* Staged files.  Several operators may stage at the same moment.  */

static void
staged_free (void *p)
{
  struct staged *x = p;
  g_free (x->digest);
  g_bytes_unref (x->text);
  file_destroy (x->file);
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
  return file_parse (data ? data : "", n, problems);
}

/* The parsed file of DIGEST: the staged one, or parsed now.  */
static struct file *
take_file (struct conf *c, const char *digest, GBytes *text)
{
  struct staged *x = staged_find (c, digest);
  if (x && x->file)
    return g_steal_pointer (&x->file);
  g_autoptr (GArray) problems = file_problems_create ();
  return conf_parse (text, problems);
}

/* Puts a file in force.  Older or equal revisions are left aside: a VM never
   steps back.  */
bool
conf_install (struct conf *c, GBytes *head_bytes, GBytes *text)
{
  json_t *head = head_decode (head_bytes);
  g_autofree char *digest = conf_digest (text);
  if (head == NULL || head_revision (head) <= c->revision
      || strcmp (digest, head_text (head, "digest")) != 0)
    {
      json_decref (head);
      return false;
    }
  struct file *file = take_file (c, digest, text);
  if (file == NULL)
    {
      log_event (LOG_ERROR, "file_unreadable", "digest", digest, NULL);
      json_decref (head);
      return false;
    }
  struct catalog *catalog = catalog_create (file, c->catalog);
  catalog_destroy (c->catalog);
  file_destroy (c->file);
  json_decref (c->head);
  g_clear_pointer (&c->head_bytes, g_bytes_unref);
  g_clear_pointer (&c->text, g_bytes_unref);
  c->catalog = catalog;
  c->file = file;
  c->head = head;
  c->head_bytes = g_bytes_ref (head_bytes);
  c->text = g_bytes_ref (text);
  c->revision = head_revision (head);
  metrics_set (METRIC_revision, (int64_t)c->revision);
  log_event (LOG_INFO, "file_in_force", "revision",
             log_num ((long long)c->revision), "digest", digest, "operator",
             head_text (head, "operator"), "apply",
             head_text (head, "apply_id"), NULL);
  members_set_revision (c->ctx->members, c->revision, 0);
  c->events->on_file_changed (c->arg);
  return true;
}

/* Reading from the service.  */

struct fetch
{
  struct conf *conf;
  GBytes *head_bytes;
};

static void
fetch_free (struct fetch *f)
{
  g_bytes_unref (f->head_bytes);
  g_free (f);
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  const struct kv_value *x = a, *y = b;
  return strcmp (x->key, y->key);
}

static void
on_blob (void *arg, enum kv_status status, const struct kv_value *values,
         size_t n)
{
  struct fetch *f = arg;
  f->conf->fetching = false;
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
      conf_install (f->conf, f->head_bytes, bytes);
    }
  fetch_free (f);
}

/* A head of the service was seen: puts its file in force.  */
static void
follow (struct conf *c, GBytes *head_bytes)
{
  json_t *head = head_decode (head_bytes);
  if (head == NULL || head_revision (head) <= c->revision)
    {
      json_decref (head);
      return;
    }
  const char *digest = head_text (head, "digest");
  struct staged *x = staged_find (c, digest);
  if (x)
    conf_install (c, head_bytes, x->text);
  else if (!c->fetching)
    {
      struct fetch *f = g_new0 (struct fetch, 1);
      f->conf = c;
      f->head_bytes = g_bytes_ref (head_bytes);
      c->fetching = true;
      g_autofree char *key = g_strdup_printf (CONF_KEY_BLOB "%s/", digest);
      kv_get (c->ctx->kv, key, true, on_blob, f);
    }
  json_decref (head);
}

static void
on_head_read (void *arg, enum kv_status status, const struct kv_value *values,
              size_t n)
{
  struct conf *c = arg;
  c->reading = false;
  if (status != KV_OK)
    {
      metrics_add (METRIC_kv_errors_total, 1);
      return;
    }
  c->kv_ok_ms = clock_ms ();
  if (n > 0)
    follow (c, values[0].value);
}

static void
read_head (struct conf *c)
{
  if (c->reading)
    return;
  c->reading = true;
  kv_get (c->ctx->kv, CONF_KEY_HEAD, false, on_head_read, c);
}

static void
on_watch (void *arg, enum kv_status status, const struct kv_value *value)
{
  struct conf *c = arg;
  if (status != KV_OK)
    return;
  c->kv_ok_ms = clock_ms ();
  follow (c, value->value);
}

/* A few VMs of each failure domain watch; the others learn from them.  A VM
   that has just started sees few others yet, so it waits with its judgement.
 */
static void
watch_if_chosen (struct conf *c)
{
  bool chosen = members_is_bridge (c->ctx->members, c->ctx->settings->vm);
  c->chosen_ticks = chosen == c->watching ? 0 : c->chosen_ticks + 1;
  if (c->chosen_ticks < WATCH_TICKS)
    return;
  c->chosen_ticks = 0;
  c->watching = chosen;
  if (chosen)
    kv_watch (c->ctx->kv, CONF_KEY_HEAD, on_watch, c);
  else
    kv_unwatch (c->ctx->kv, CONF_KEY_HEAD);
}

/* Learning from peers.  */

void
conf_hint (struct conf *c, const char *vm, uint64_t revision)
{
  int64_t now = clock_ms ();
  if (revision <= c->revision || now - c->hint_ms < TICK_MS)
    return;
  c->hint_ms = now;
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
take_stage (struct conf *c, peer_handle peer, const struct conf_stage *m)
{
  struct conf_staged answer
      = { .apply_id = m->apply_id, .detail = (char *)"" };
  g_autofree char *digest = m->file ? conf_digest (m->file) : g_strdup ("");
  g_autofree char *detail = NULL;
  if (strcmp (digest, m->digest) != 0)
    {
      answer.result = RESULT_FRAME_MALFORMED;
      answer.detail = (char *)"the digest does not match";
    }
  else
    {
      g_autoptr (GArray) problems = file_problems_create ();
      struct file *file = conf_parse (m->file, problems);
      if (file)
        conf_stage (c, digest, m->file, file);
      else
        {
          detail = file_problems_text (problems);
          detail[MIN (strlen (detail), DETAIL_MAX_BYTES)] = '\0';
          answer.result = RESULT_FILE_INVALID;
          answer.detail = detail;
        }
    }
  peers_send (c->ctx->peers, peer, MESSAGE_CONF_STAGED, &answer);
}

static void
take_commit (struct conf *c, peer_handle peer, const char *vm,
             const struct conf_commit *m)
{
  if (m->head)
    {
      json_t *head = head_decode (m->head);
      if (head && head_revision (head) > c->revision)
        {
          const char *digest = head_text (head, "digest");
          struct staged *x = staged_find (c, digest);
          if (x)
            conf_install (c, m->head, x->text);
          else
            conf_hint (c, vm, head_revision (head));
        }
      json_decref (head);
    }
  send_in_force (c, peer);
}

static void
take_want (struct conf *c, peer_handle peer)
{
  struct conf_have have = { .head = c->head_bytes, .file = c->text };
  if (c->revision > 0)
    peers_send (c->ctx->peers, peer, MESSAGE_CONF_HAVE, &have);
}

/* Frames.  */

void
conf_take_frame (struct conf *c, peer_handle peer, const char *vm,
                 const struct frame *f)
{
  switch (f->type)
    {
    case MESSAGE_CONF_STAGE:
      take_stage (c, peer, f->message);
      break;
    case MESSAGE_CONF_COMMIT:
      take_commit (c, peer, vm, f->message);
      break;
    case MESSAGE_CONF_WANT:
      take_want (c, peer);
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

/* Time.  */

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct conf *c = arg;
  c->ticks++;
  watch_if_chosen (c);
  if ((c->watching || c->revision == 0) && c->ticks % POLL_TICKS == 0)
    read_head (c);
  metrics_set (METRIC_behind, conf_may_be_behind (c));
}

struct conf *
conf_create (const struct context *ctx, const struct conf_events *events,
             void *arg)
{
  struct conf *c = g_new0 (struct conf, 1);
  c->ctx = ctx;
  c->events = events;
  c->arg = arg;
  c->staged = g_ptr_array_new_with_free_func (staged_free);
  c->timer = context_every (ctx, TICK_MS, on_timer, c);
  read_head (c);
  return c;
}

void
conf_destroy (struct conf *c)
{
  if (c == NULL)
    return;
  event_free (c->timer);
  catalog_destroy (c->catalog);
  file_destroy (c->file);
  json_decref (c->head);
  g_clear_pointer (&c->head_bytes, g_bytes_unref);
  g_clear_pointer (&c->text, g_bytes_unref);
  g_ptr_array_unref (c->staged);
  g_free (c);
}
