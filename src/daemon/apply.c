#include "daemon/apply.h"

#include "base/error.h"
#include "base/applied_record.h"
#include "base/log.h"
#include "base/metrics.h"
#include "config.h"
#include "daemon/conf.h"
#include "decide/rollout.h"

#include <inttypes.h>
#include <string.h>
#include <sys/random.h>

#define TICK_MS 100

/* An apply that runs on this VM.  */
struct apply
{
  struct applies *applies;
  struct rollout *rollout;
  char *apply_id;
  char *digest;
  json_t *record;
  GBytes *record_bytes;
  GBytes *text;
  int64_t record_kv_revision; /* of CONF_KEY_APPLIED_RECORD; 0: key must not
                                 exist */
  GPtrArray *chunks;          /* GBytes: the file, split into stored values */
  guint chunks_written; /* without the first chunk, which the commit writes */
  uint64_t expected_revision;
  char *operator_name;
  char *file_name;
  GPtrArray *allowed_behind;
  apply_done *done;
  void *arg;
  bool ended;
  unsigned pending; /* key-value operations in flight, plus calls of
                       run_actions in progress */
  uint64_t members_version_seen;
};

struct applies
{
  const struct context *ctx;
  struct conf *conf;
  struct apply *current;
  struct event *timer;
};

static void run_actions (struct apply *a, GArray *actions);

static void
apply_free (struct apply *a)
{
  rollout_destroy (a->rollout);
  g_free (a->apply_id);
  g_free (a->digest);
  json_decref (a->record);
  if (a->record_bytes)
    g_bytes_unref (a->record_bytes);
  g_bytes_unref (a->text);
  g_ptr_array_unref (a->chunks);
  g_ptr_array_unref (a->allowed_behind);
  g_free (a->operator_name);
  g_free (a->file_name);
  g_free (a);
}

/* Frees A once it has ended and its last key-value operation has completed. */
static void
apply_release (struct apply *a)
{
  if (!a->ended || a->pending > 0)
    return;
  if (a->applies->current == a)
    a->applies->current = NULL;
  apply_free (a);
}

static void
apply_end (struct apply *a, enum result result, const char *text)
{
  if (a->ended)
    return;
  a->ended = true;
  bool committed = result == RESULT_OK || result == RESULT_COMMITTED_BEHIND;
  log_event (LOG_INFO, "apply_ended", "apply", a->apply_id, "result",
             result_info (result)->name, "number", log_num (result),
             "operator", a->operator_name, "file", a->file_name, "text", text,
             NULL);
  if (a->applies->current == a)
    a->applies->current = NULL;
  a->done (a->arg, result, text,
           committed ? applied_record_revision (a->record) : 0);
}

static void
on_record_written (void *arg, enum kv_status status, int64_t revision)
{
  (void)revision;
  struct apply *a = arg;
  a->pending--;
  static const enum rollout_write_outcome outcomes[]
      = { [KV_OK] = ROLLOUT_WRITE_OK,
          [KV_CONFLICT] = ROLLOUT_WRITE_CONFLICT,
          [KV_NOT_DONE] = ROLLOUT_WRITE_NOT_DONE,
          [KV_UNKNOWN] = ROLLOUT_WRITE_UNKNOWN };
  if (!a->ended)
    {
      g_autoptr (GArray) out = rollout_actions_create ();
      rollout_written (a->rollout, outcomes[status], clock_ms (), out);
      run_actions (a, out);
    }
  apply_release (a);
}

/* Commits the file: writes its record, its history entry and its first chunk
   in one transaction, if nobody else has changed the record since.  */
static void
write_head (struct apply *a)
{
  g_autofree char *history = g_strdup_printf (
      CONF_KEY_HISTORY "%012" PRIu64, applied_record_revision (a->record));
  g_autofree char *blob
      = g_strdup_printf (CONF_KEY_BLOB "%s/%06u", a->digest, 0U);
  struct kv_put puts[] = { { CONF_KEY_APPLIED_RECORD, a->record_bytes },
                           { history, a->record_bytes },
                           { blob, g_ptr_array_index (a->chunks, 0) } };
  a->pending++;
  kv_txn (a->applies->ctx->kv, CONF_KEY_APPLIED_RECORD, a->record_kv_revision,
          puts, G_N_ELEMENTS (puts), on_record_written, a);
}

/* Finds out after a write of unknown outcome whether it was done: the history
   entry of the revision has the apply_id of this apply or of another one, or
   does not exist.  */
static void
on_read_back (void *arg, enum kv_status status, const struct kv_value *values,
              size_t n)
{
  struct apply *a = arg;
  a->pending--;
  enum rollout_read_outcome outcome = ROLLOUT_READ_FAILED;
  if (status == KV_OK && n == 0)
    outcome = ROLLOUT_READ_UNCHANGED;
  else if (status == KV_OK)
    {
      json_t *record = applied_record_decode (values[0].value);
      bool is_own
          = record
            && strcmp (json_object_text (record, "apply_id"), a->apply_id)
                   == 0;
      outcome = is_own ? ROLLOUT_READ_OURS : ROLLOUT_READ_OTHER;
      json_decref (record);
    }
  if (!a->ended)
    {
      g_autoptr (GArray) out = rollout_actions_create ();
      rollout_read_back (a->rollout, outcome, clock_ms (), out);
      run_actions (a, out);
    }
  apply_release (a);
}

static void
read_back (struct apply *a)
{
  g_autofree char *history = g_strdup_printf (
      CONF_KEY_HISTORY "%012" PRIu64, applied_record_revision (a->record));
  a->pending++;
  kv_get (a->applies->ctx->kv, history, false, on_read_back, a);
}

static void
stage_on_vm (struct apply *a, const char *vm)
{
  struct conf_stage m
      = { .apply_id = a->apply_id, .digest = a->digest, .file = a->text };
  if (strcmp (vm, a->applies->ctx->settings->vm) != 0)
    {
      context_send (a->applies->ctx, vm, MESSAGE_CONF_STAGE, &m);
      return;
    }
  g_autoptr (GArray) problems = config_file_problems_create ();
  conf_stage (a->applies->conf, a->digest, a->text,
              conf_parse (a->text, problems));
  g_autoptr (GArray) out = rollout_actions_create ();
  rollout_staged (a->rollout, vm, true, "", clock_ms (), out);
  run_actions (a, out);
}

static void
notify_vm (struct apply *a, const char *vm)
{
  const struct context *ctx = a->applies->ctx;
  if (strcmp (vm, ctx->settings->vm) != 0)
    {
      struct conf_commit m = { .head = a->record_bytes };
      context_send (ctx, vm, MESSAGE_CONF_COMMIT, &m);
      return;
    }
  conf_install (a->applies->conf, a->record_bytes, a->text);
  g_autoptr (GArray) out = rollout_actions_create ();
  rollout_in_force (a->rollout, vm, conf_revision (a->applies->conf),
                    clock_ms (), out);
  run_actions (a, out);
}

static void
run_action (struct apply *a, const struct rollout_action *act)
{
  switch (act->kind)
    {
    case ROLLOUT_STAGE:
      stage_on_vm (a, act->vm);
      break;
    case ROLLOUT_WRITE:
      write_head (a);
      break;
    case ROLLOUT_READ_BACK:
      read_back (a);
      break;
    case ROLLOUT_NOTIFY:
      notify_vm (a, act->vm);
      break;
    case ROLLOUT_DONE:
      apply_end (a, act->result, act->text);
      break;
    }
}

static void
run_actions (struct apply *a, GArray *actions)
{
  a->pending++;
  for (guint i = 0; i < actions->len && !a->ended; i++)
    run_action (a, &g_array_index (actions, struct rollout_action, i));
  a->pending--;
}

static void
report_members (struct apply *a, GArray *out)
{
  const GPtrArray *members = members_all (a->applies->ctx->members);
  for (guint i = 0; i < members->len; i++)
    {
      const struct member *m = g_ptr_array_index (members, i);
      rollout_set_member_live (a->rollout, m->info.id, m->info.region,
                               member_live (m), out);
    }
  a->members_version_seen = members_version (a->applies->ctx->members);
}

/* Regions that must have the file: those of the new file, and those of the
   file in force (CURRENT), which may be NULL.  */
static GPtrArray *
required_regions (const struct file *current, const struct file *file)
{
  GPtrArray *out = g_ptr_array_new ();
  for (guint i = 0; i < file->regions->len; i++)
    g_ptr_array_add (out, g_ptr_array_index (file->regions, i));
  for (guint i = 0; current && i < current->regions->len; i++)
    if (!string_array_contains (out, g_ptr_array_index (current->regions, i)))
      g_ptr_array_add (out, g_ptr_array_index (current->regions, i));
  return out;
}

static void
start_rollout (struct apply *a)
{
  g_autoptr (GArray) problems = config_file_problems_create ();
  struct file *file = conf_parse (a->text, problems);
  if (file == NULL)
    {
      g_autofree char *text = config_file_problems_text (problems);
      apply_end (a, RESULT_FILE_INVALID, text);
      return;
    }
  g_autoptr (GPtrArray) regions
      = required_regions (conf_file (a->applies->conf), file);
  a->rollout = rollout_create (applied_record_revision (a->record), regions,
                               a->allowed_behind);
  config_file_destroy (file);
  g_autoptr (GArray) out = rollout_actions_create ();
  report_members (a, out);
  rollout_start (a->rollout, clock_ms (), out);
  run_actions (a, out);
}

static void write_chunks (struct apply *a);

/* A chunk's key contains the digest of the file, so writing a chunk twice is
   harmless: a conflict means that the chunk exists already.  */
static void
on_chunk_written (void *arg, enum kv_status status, int64_t revision)
{
  (void)revision;
  struct apply *a = arg;
  a->pending--;
  if (status == KV_OK || status == KV_CONFLICT)
    {
      a->chunks_written++;
      write_chunks (a);
    }
  else
    apply_end (a, RESULT_PLATFORM_DOWN,
               "the key-value service did not respond; the file was not "
               "applied and can be applied again");
  apply_release (a);
}

/* Writes the chunks one after another, except the first, which the commit
   writes together with the record; then starts the rollout.  */
static void
write_chunks (struct apply *a)
{
  guint next = a->chunks_written + 1;
  if (next >= a->chunks->len)
    {
      start_rollout (a);
      return;
    }
  g_autofree char *key
      = g_strdup_printf (CONF_KEY_BLOB "%s/%06u", a->digest, next);
  struct kv_put put = { key, g_ptr_array_index (a->chunks, next) };
  a->pending++;
  kv_txn (a->applies->ctx->kv, key, 0, &put, 1, on_chunk_written, a);
}

static void
on_current_record (void *arg, enum kv_status status,
                   const struct kv_value *values, size_t n)
{
  struct apply *a = arg;
  a->pending--;
  json_t *previous = NULL;
  if (status != KV_OK)
    apply_end (a, RESULT_PLATFORM_DOWN,
               "the key-value service did not respond; the file was not "
               "applied and can be applied again");
  else
    {
      previous = n > 0 ? applied_record_decode (values[0].value) : NULL;
      a->record_kv_revision = n > 0 ? values[0].revision : 0;
      if (a->expected_revision != 0
          && applied_record_revision (previous) != a->expected_revision)
        {
          g_autofree char *text = g_strdup_printf (
              "revision %" PRIu64 " was expected, but revision %" PRIu64
              " is in force (file %s, applied by %s); nothing was changed",
              a->expected_revision, applied_record_revision (previous),
              json_object_text (previous, "file"),
              json_object_text (previous, "operator"));
          apply_end (a, RESULT_CONFLICT, text);
        }
      else
        {
          struct applied_record_parts parts
              = { .digest = a->digest,
                  .bytes = g_bytes_get_size (a->text),
                  .operator_name = a->operator_name,
                  .file_name = a->file_name,
                  .apply_id = a->apply_id };
          a->record = applied_record_next (previous, &parts);
          a->record_bytes = applied_record_encode (a->record);
          write_chunks (a);
        }
    }
  json_decref (previous);
  apply_release (a);
}

static GPtrArray *
split_chunks (GBytes *text)
{
  GPtrArray *out
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  gsize n = g_bytes_get_size (text);
  for (gsize at = 0; at < n; at += KV_VALUE_MAX_BYTES)
    g_ptr_array_add (out, g_bytes_new_from_bytes (
                              text, at, MIN (KV_VALUE_MAX_BYTES, n - at)));
  return out;
}

static char *
random_id (void)
{
  guint64 id[2] = { 0 };
  if (getrandom (id, sizeof id, 0) != (ssize_t)sizeof id)
    g_error ("getrandom failed: no random bytes for an apply id");
  return g_strdup_printf (
      "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x", id[0], id[1]);
}

void
applies_start (struct applies *applies, const struct apply_request *request,
               apply_done *done, void *arg)
{
  if (applies->current)
    {
      done (arg, RESULT_CONFLICT,
            "this VM is still applying another file; nothing was changed; try "
            "again when that apply has ended",
            0);
      return;
    }
  metrics_add (METRIC_applies_total, 1);
  struct apply *a = g_new0 (struct apply, 1);
  a->applies = applies;
  a->apply_id = random_id ();
  a->text = g_bytes_ref (request->text);
  a->digest = conf_digest (a->text);
  a->chunks = split_chunks (a->text);
  a->expected_revision = request->expected_revision;
  a->operator_name = g_strdup (request->operator_name);
  a->file_name = g_strdup (request->file_name);
  a->allowed_behind = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0;
       request->allowed_behind && i < request->allowed_behind->len; i++)
    g_ptr_array_add (a->allowed_behind, g_strdup (g_ptr_array_index (
                                            request->allowed_behind, i)));
  a->done = done;
  a->arg = arg;
  applies->current = a;
  a->pending++;
  kv_get (applies->ctx->kv, CONF_KEY_APPLIED_RECORD, false, on_current_record,
          a);
}

/* Frames from other VMs and lost connections.  */

void
applies_handle_frame (struct applies *applies, const char *vm,
                      const struct frame *f)
{
  struct apply *a = applies->current;
  if (a == NULL || a->rollout == NULL)
    return;
  g_autoptr (GArray) out = rollout_actions_create ();
  if (f->type == MESSAGE_CONF_STAGED)
    {
      const struct conf_staged *m = f->message;
      if (strcmp (m->apply_id, a->apply_id) == 0)
        rollout_staged (a->rollout, vm, m->result == RESULT_OK, m->detail,
                        clock_ms (), out);
    }
  else
    rollout_in_force (a->rollout, vm,
                      ((const struct conf_in_force *)f->message)->revision,
                      clock_ms (), out);
  run_actions (a, out);
  apply_release (a);
}

/* If the connection to a member is lost during an apply, its VM counts as down
   until the next tick.  That tick reports all members to the rollout again,
   which sends the VM the file or the commit again if it is still live.  */
void
applies_peer_closed (struct applies *applies, const char *vm)
{
  struct apply *a = applies->current;
  const struct member *m = members_find (applies->ctx->members, vm);
  if (a == NULL || a->rollout == NULL || m == NULL)
    return;
  g_autoptr (GArray) out = rollout_actions_create ();
  rollout_set_member_live (a->rollout, vm, m->info.region, false, out);
  a->members_version_seen = UINT64_MAX;
}

/* Timer: membership changes and time-outs of the running apply.  */

static void
apply_tick (struct apply *a)
{
  g_autoptr (GArray) out = rollout_actions_create ();
  if (a->members_version_seen != members_version (a->applies->ctx->members))
    report_members (a, out);
  rollout_tick (a->rollout, clock_ms (), out);
  run_actions (a, out);
  apply_release (a);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct applies *applies = arg;
  if (applies->current && applies->current->rollout)
    apply_tick (applies->current);
}

struct applies *
applies_create (const struct context *ctx, struct conf *conf)
{
  struct applies *applies = g_new0 (struct applies, 1);
  applies->ctx = ctx;
  applies->conf = conf;
  applies->timer = context_add_timer (ctx, TICK_MS, on_timer, applies);
  return applies;
}

void
applies_destroy (struct applies *applies)
{
  if (applies == NULL)
    return;
  event_free (applies->timer);
  if (applies->current)
    apply_free (applies->current);
  g_free (applies);
}
