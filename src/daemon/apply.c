#include "daemon/apply.h"

#include "base/error.h"
#include "base/head.h"
#include "base/log.h"
#include "base/metrics.h"
#include "config.h"
#include "daemon/conf.h"
#include "decide/rollout.h"

#include <inttypes.h>
#include <string.h>
#include <sys/random.h>

#define TICK_MS 100

/* An apply that runs at this VM.  */
struct apply
{
  struct applies *all;
  struct rollout *rollout;
  char *apply_id;
  char *digest;
  json_t *head;
  GBytes *head_bytes;
  GBytes *text;
  int64_t base;      /* revision, in the service, that the head must have */
  GPtrArray *chunks; /* GBytes, written before the head */
  guint chunks_written;
  uint64_t expect;
  char *operator_name;
  char *file_name;
  GPtrArray *behind;
  apply_done *done;
  void *arg;
  bool ended;
  unsigned pending; /* operations of the service in flight */
  uint64_t seen_version;
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
  json_decref (a->head);
  if (a->head_bytes)
    g_bytes_unref (a->head_bytes);
  g_bytes_unref (a->text);
  g_ptr_array_unref (a->chunks);
  g_ptr_array_unref (a->behind);
  g_free (a->operator_name);
  g_free (a->file_name);
  g_free (a);
}

/* The apply stays until its last operation has come back.  */
static void
apply_release (struct apply *a)
{
  if (!a->ended || a->pending > 0)
    return;
  if (a->all->current == a)
    a->all->current = NULL;
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
  if (a->all->current == a)
    a->all->current = NULL;
  a->done (a->arg, result, text, committed ? head_revision (a->head) : 0);
}

static void
on_head_written (void *arg, enum kv_status status, int64_t revision)
{
  (void)revision;
  struct apply *a = arg;
  a->pending--;
  static const enum rollout_write_outcome how[]
      = { [KV_OK] = ROLLOUT_WRITE_OK,
          [KV_CONFLICT] = ROLLOUT_WRITE_CONFLICT,
          [KV_NOT_DONE] = ROLLOUT_WRITE_NOT_DONE,
          [KV_UNKNOWN] = ROLLOUT_WRITE_UNKNOWN };
  if (!a->ended)
    {
      g_autoptr (GArray) out = rollout_actions_create ();
      rollout_written (a->rollout, how[status], clock_ms (), out);
      run_actions (a, out);
    }
  apply_release (a);
}

static void
write_head (struct apply *a)
{
  g_autofree char *history = g_strdup_printf (CONF_KEY_HISTORY "%012" PRIu64,
                                              head_revision (a->head));
  g_autofree char *blob
      = g_strdup_printf (CONF_KEY_BLOB "%s/%06u", a->digest, 0U);
  struct kv_put puts[] = { { CONF_KEY_HEAD, a->head_bytes },
                           { history, a->head_bytes },
                           { blob, g_ptr_array_index (a->chunks, 0) } };
  a->pending++;
  kv_txn (a->all->ctx->kv, CONF_KEY_HEAD, a->base, puts, G_N_ELEMENTS (puts),
          on_head_written, a);
}

/* The history entry of our revision tells whose it is.  */
static void
on_read_back (void *arg, enum kv_status status, const struct kv_value *values,
              size_t n)
{
  struct apply *a = arg;
  a->pending--;
  enum rollout_read_outcome seen = ROLLOUT_READ_FAILED;
  if (status == KV_OK && n == 0)
    seen = ROLLOUT_READ_UNCHANGED;
  else if (status == KV_OK)
    {
      json_t *head = head_decode (values[0].value);
      bool ours
          = head && strcmp (head_text (head, "apply_id"), a->apply_id) == 0;
      seen = ours ? ROLLOUT_READ_OURS : ROLLOUT_READ_OTHER;
      json_decref (head);
    }
  if (!a->ended)
    {
      g_autoptr (GArray) out = rollout_actions_create ();
      rollout_read_back (a->rollout, seen, clock_ms (), out);
      run_actions (a, out);
    }
  apply_release (a);
}

static void
read_back (struct apply *a)
{
  g_autofree char *history = g_strdup_printf (CONF_KEY_HISTORY "%012" PRIu64,
                                              head_revision (a->head));
  a->pending++;
  kv_get (a->all->ctx->kv, history, false, on_read_back, a);
}

static void
stage_at (struct apply *a, const char *vm)
{
  struct conf_stage m
      = { .apply_id = a->apply_id, .digest = a->digest, .file = a->text };
  if (strcmp (vm, a->all->ctx->settings->vm) != 0)
    {
      context_send (a->all->ctx, vm, MESSAGE_CONF_STAGE, &m);
      return;
    }
  g_autoptr (GArray) problems = file_problems_create ();
  conf_stage (a->all->conf, a->digest, a->text,
              conf_parse (a->text, problems));
  g_autoptr (GArray) out = rollout_actions_create ();
  rollout_staged (a->rollout, vm, true, "", clock_ms (), out);
  run_actions (a, out);
}

static void
tell (struct apply *a, const char *vm)
{
  const struct context *ctx = a->all->ctx;
  if (strcmp (vm, ctx->settings->vm) != 0)
    {
      struct conf_commit m = { .head = a->head_bytes };
      context_send (ctx, vm, MESSAGE_CONF_COMMIT, &m);
      return;
    }
  conf_install (a->all->conf, a->head_bytes, a->text);
  g_autoptr (GArray) out = rollout_actions_create ();
  rollout_in_force (a->rollout, vm, conf_revision (a->all->conf), clock_ms (),
                    out);
  run_actions (a, out);
}

static void
run_action (struct apply *a, const struct rollout_action *act)
{
  switch (act->kind)
    {
    case ROLLOUT_STAGE:
      stage_at (a, act->vm);
      break;
    case ROLLOUT_WRITE:
      write_head (a);
      break;
    case ROLLOUT_READ_BACK:
      read_back (a);
      break;
    case ROLLOUT_NOTIFY:
      tell (a, act->vm);
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
tell_members (struct apply *a, GArray *out)
{
  const GPtrArray *all = members_all (a->all->ctx->members);
  for (guint i = 0; i < all->len; i++)
    {
      const struct member *m = g_ptr_array_index (all, i);
      rollout_member (a->rollout, m->info.id, m->info.region, member_live (m),
                      out);
    }
  a->seen_version = members_version (a->all->ctx->members);
}

static GPtrArray *
regions_to_hold (const struct file *now, const struct file *file)
{
  GPtrArray *out = g_ptr_array_new ();
  for (guint i = 0; i < file->regions->len; i++)
    g_ptr_array_add (out, g_ptr_array_index (file->regions, i));
  for (guint i = 0; now && i < now->regions->len; i++)
    if (!texts_hold (out, g_ptr_array_index (now->regions, i)))
      g_ptr_array_add (out, g_ptr_array_index (now->regions, i));
  return out;
}

static void
start_rollout (struct apply *a)
{
  g_autoptr (GArray) problems = file_problems_create ();
  struct file *file = conf_parse (a->text, problems);
  if (file == NULL)
    {
      g_autofree char *text = file_problems_text (problems);
      apply_end (a, RESULT_FILE_INVALID, text);
      return;
    }
  g_autoptr (GPtrArray) regions
      = regions_to_hold (conf_file (a->all->conf), file);
  a->rollout = rollout_create (head_revision (a->head), regions, a->behind);
  file_destroy (file);
  g_autoptr (GArray) out = rollout_actions_create ();
  tell_members (a, out);
  rollout_start (a->rollout, clock_ms (), out);
  run_actions (a, out);
}

static void write_chunks (struct apply *a);

/* A chunk's key is its content's digest, so that writing it twice is no
   harm: a conflict says that it stands.  */
static void
on_chunk (void *arg, enum kv_status status, int64_t revision)
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
               "the key-value service does not answer; nothing was changed");
  apply_release (a);
}

/* All chunks but the first, which goes with the head.  */
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
  kv_txn (a->all->ctx->kv, key, 0, &put, 1, on_chunk, a);
}

static void
on_base (void *arg, enum kv_status status, const struct kv_value *values,
         size_t n)
{
  struct apply *a = arg;
  a->pending--;
  json_t *previous = NULL;
  if (status != KV_OK)
    apply_end (a, RESULT_PLATFORM_DOWN,
               "the key-value service does not answer; nothing was changed");
  else
    {
      previous = n > 0 ? head_decode (values[0].value) : NULL;
      a->base = n > 0 ? values[0].revision : 0;
      if (a->expect != 0 && head_revision (previous) != a->expect)
        {
          g_autofree char *text = g_strdup_printf (
              "revision %" PRIu64 " was expected, %" PRIu64
              " is in force (%s, by %s); nothing was changed",
              a->expect, head_revision (previous),
              head_text (previous, "file"), head_text (previous, "operator"));
          apply_end (a, RESULT_CONFLICT, text);
        }
      else
        {
          struct head_parts parts = { .digest = a->digest,
                                      .bytes = g_bytes_get_size (a->text),
                                      .operator_name = a->operator_name,
                                      .file_name = a->file_name,
                                      .apply_id = a->apply_id };
          a->head = head_next (previous, &parts);
          a->head_bytes = head_encode (a->head);
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
    g_error ("no random bytes");
  return g_strdup_printf (
      "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x", id[0], id[1]);
}

void
applies_start (struct applies *all, const struct apply_order *apply,
               apply_done *done, void *arg)
{
  if (all->current)
    {
      done (arg, RESULT_CONFLICT,
            "another file is being applied through this VM; nothing was "
            "changed",
            0);
      return;
    }
  metrics_add (METRIC_applies_total, 1);
  struct apply *a = g_new0 (struct apply, 1);
  a->all = all;
  a->apply_id = random_id ();
  a->text = g_bytes_ref (apply->text);
  a->digest = conf_digest (a->text);
  a->chunks = split_chunks (a->text);
  a->expect = apply->expect;
  a->operator_name = g_strdup (apply->operator_name);
  a->file_name = g_strdup (apply->file_name);
  a->behind = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; apply->behind && i < apply->behind->len; i++)
    g_ptr_array_add (a->behind,
                     g_strdup (g_ptr_array_index (apply->behind, i)));
  a->done = done;
  a->arg = arg;
  all->current = a;
  a->pending++;
  kv_get (all->ctx->kv, CONF_KEY_HEAD, false, on_base, a);
}

/* Events.  */

void
applies_take_frame (struct applies *all, const char *vm, const struct frame *f)
{
  struct apply *a = all->current;
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

/* A peer that went away in the middle of an apply is asked again at the next
   tick, if it is still a member.  */
void
applies_peer_gone (struct applies *all, const char *vm)
{
  struct apply *a = all->current;
  const struct member *m = members_find (all->ctx->members, vm);
  if (a == NULL || a->rollout == NULL || m == NULL)
    return;
  g_autoptr (GArray) out = rollout_actions_create ();
  rollout_member (a->rollout, vm, m->info.region, false, out);
  a->seen_version = UINT64_MAX;
}

/* Time.  */

static void
apply_tick (struct apply *a)
{
  g_autoptr (GArray) out = rollout_actions_create ();
  if (a->seen_version != members_version (a->all->ctx->members))
    tell_members (a, out);
  rollout_tick (a->rollout, clock_ms (), out);
  run_actions (a, out);
  apply_release (a);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct applies *all = arg;
  if (all->current && all->current->rollout)
    apply_tick (all->current);
}

struct applies *
applies_create (const struct context *ctx, struct conf *conf)
{
  struct applies *all = g_new0 (struct applies, 1);
  all->ctx = ctx;
  all->conf = conf;
  all->timer = context_every (ctx, TICK_MS, on_timer, all);
  return all;
}

void
applies_destroy (struct applies *all)
{
  if (all == NULL)
    return;
  event_free (all->timer);
  if (all->current)
    apply_free (all->current);
  g_free (all);
}
