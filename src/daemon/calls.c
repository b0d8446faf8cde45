#include "daemon/calls.h"

#include "base/log.h"
#include "base/metrics.h"
#include "config.h"
#include "daemon/calls_internal.h"
#include "daemon/reply.h"
#include "decide/rank.h"

#include <string.h>

#define KEY_MAX_BYTES 128

static void
calls_entry_free (void *p)
{
  struct entry_call *c = p;
  peers_add_pending (c->calls->ctx->peers, c->peer, -1);
  record_clear (&call_open_record, &c->open);
  g_free (c);
}

/* Replies to callers, on the entry VM.  */

static void
reply_to_caller (struct entry_call *c, const struct call_end *m)
{
  struct http_request *r = c->request;
  http_request_on_close (r, NULL, NULL);
  metrics_observe (METRIC_call_seconds, g_get_monotonic_time () - c->start_us);
  if (m->result != RESULT_OK && m->result != RESULT_ANSWER_TOO_LARGE)
    {
      reply_error (r, (enum result)m->result, NULL, m->retry_after_ms);
      return;
    }
  metrics_add (METRIC_answered_total, 1);
  if (m->replayed)
    {
      metrics_add (METRIC_calls_replayed_total, 1);
      http_request_set_header (r, "Idempotency-Replayed", "true");
    }
  if (m->result == RESULT_ANSWER_TOO_LARGE)
    {
      reply_error (r, RESULT_ANSWER_TOO_LARGE, NULL, 0);
      return;
    }
  gsize n = 0;
  const void *body = m->body ? g_bytes_get_data (m->body, &n) : "";
  http_request_reply (r, (int)m->status,
                      m->content_type[0] ? m->content_type : "text/plain",
                      body, n);
}

void
calls_entry_finish (struct calls *calls, peer_handle peer,
                    const struct call_end *m)
{
  uint64_t id = m->call;
  struct entry_call *c = g_hash_table_lookup (calls->entry, &id);
  if (c == NULL || c->peer != peer)
    return;
  log_event (m->result == RESULT_OK ? LOG_DEBUG : LOG_INFO, "call_ended",
             "caller", c->open.caller, "service", c->open.service, "path",
             c->open.path, "result", result_info ((unsigned)m->result)->name,
             "number", log_num ((long long)m->result), "replayed",
             m->replayed ? "true" : "false", NULL);
  span_end (&c->span, result_info ((unsigned)m->result)->name,
            c->open.service);
  if (c->request)
    reply_to_caller (c, m);
  g_hash_table_remove (calls->entry, &id);
}

/* Forwarding calls from the entry VM to the journal writer.  */

static void
on_caller_gone (void *arg)
{
  /* The call continues; the caller can query its outcome by its idempotency
     key.  */
  ((struct entry_call *)arg)->request = NULL;
}

/* Sends E to the writer of its journal slot.  This VM acts as the writer
   itself if the connection to the writer was lost (WRITER_GONE) or if
   membership shows no usable writer.  The call still runs at most once, as
   journal pages are written by compare-and-swap; if the writer has claimed it
   and goes on, its outcome is awaited.  */
static void
send_to_writer (struct entry_call *e, bool writer_gone)
{
  const struct context *ctx = e->calls->ctx;
  g_autofree char *key = call_journal_key (e->open.caller, e->open.key);
  const struct member *writer = rank_journal_writer (
      ctx->members, rank_journal_slot (key, JOURNAL_SLOTS));
  bool here = writer_gone || writer == NULL
              || strcmp (writer->info.id, ctx->settings->vm) == 0;
  peers_add_pending (ctx->peers, e->peer, -1);
  e->peer = here ? 0
                 : peers_connect (ctx->peers, writer->info.id, writer->info.ip,
                                  (uint16_t)writer->info.peer_port);
  peers_add_pending (ctx->peers, e->peer, 1);
  e->open.deadline_ms = (uint64_t)MAX (e->deadline_ms - clock_ms (), 1);
  if (here)
    calls_dispatch_journaled (e->calls, 0, &e->open, writer_gone);
  else
    peers_send (ctx->peers, e->peer, MESSAGE_CALL_OPEN, &e->open);
}

static struct entry_call *
entry_call_create (struct calls *c, struct http_request *r,
                   const struct call_open *m)
{
  struct entry_call *e = g_new0 (struct entry_call, 1);
  char traceparent[TRACEPARENT_BYTES];
  e->calls = c;
  e->id = ++c->next_id;
  e->request = r;
  e->start_us = g_get_monotonic_time ();
  e->deadline_ms = http_request_since_ms (r) + (int64_t)m->deadline_ms;
  span_start (&e->span, "entry", http_request_header (r, "traceparent"));
  span_traceparent (&e->span, traceparent);
  call_open_copy (&e->open, m);
  e->open.call = e->id;
  g_free (e->open.traceparent);
  e->open.traceparent = g_strdup (traceparent);
  g_hash_table_insert (c->entry, &e->id, e);
  http_request_on_close (r, on_caller_gone, e);
  metrics_add (METRIC_calls_total, 1);
  return e;
}

static const struct file_call *
find_call (const struct file_service *s, const char *method, const char *path)
{
  for (guint i = 0; i < s->calls->len; i++)
    {
      const struct file_call *c
          = &g_array_index (s->calls, struct file_call, i);
      static const char *const methods[] = { "GET", "POST", "PUT", "DELETE" };
      size_t n = strlen (c->path);
      bool wildcard = n > 0 && c->path[n - 1] == '*';
      bool matches = wildcard ? strncmp (c->path, path, n - 1) == 0
                              : strcmp (c->path, path) == 0;
      if (matches && strcmp (methods[c->method], method) == 0)
        return c;
    }
  return NULL;
}

static bool
key_valid (const char *key)
{
  size_t n = key ? strlen (key) : 0;
  if (n == 0 || n > KEY_MAX_BYTES)
    return false;
  for (size_t i = 0; i < n; i++)
    if (!g_ascii_isprint (key[i]))
      return false;
  return true;
}

static char *
full_path (const struct http_request *r, const char *path)
{
  const char *query = http_request_raw_query (r);
  return query ? g_strdup_printf ("%s?%s", path, query) : g_strdup (path);
}

static void
run_idempotent (struct calls *c, struct http_request *r,
                const struct call_open *m)
{
  struct entry_call *e = entry_call_create (c, r, m);
  calls_dispatch_send (calls_dispatch_create (c, 0, &e->open));
}

void
calls_handle (struct calls *c, struct http_request *r,
              const struct file_caller *caller, const char *name,
              const char *path)
{
  const struct file *file = conf_file (c->conf);
  const struct file_service *service = config_file_find_service (file, name);
  if (service == NULL || !string_array_contains (caller->services, name))
    {
      reply_error (r, RESULT_FORBIDDEN,
                   "the file in force does not list this service for this "
                   "caller",
                   0);
      return;
    }
  const struct file_call *call
      = find_call (service, http_request_method (r), path);
  if (call == NULL)
    {
      reply_error (r, RESULT_FORBIDDEN,
                   "the file in force allows no call with this method and "
                   "path to this service",
                   0);
      return;
    }
  const char *key = http_request_header (r, "Idempotency-Key");
  if (!call->idempotent && !key_valid (key))
    {
      reply_error (r, RESULT_BAD_REQUEST,
                   "this call is not idempotent: it needs an Idempotency-Key "
                   "header of 1 to 128 printable ASCII characters",
                   0);
      return;
    }
  size_t n = 0;
  const void *body = http_request_body (r, &n);
  const char *type = http_request_header (r, "Content-Type");
  g_autofree char *full = full_path (r, path);
  g_autoptr (GBytes) bytes = n ? g_bytes_new (body, n) : NULL;
  if (n > CALL_BODY_MAX_BYTES || strlen (full) > CALL_PATH_MAX_BYTES)
    {
      reply_error (r, RESULT_BODY_TOO_LARGE, NULL, 0);
      return;
    }
  struct call_open m
      = { .caller = caller->name,
          .service = (char *)(uintptr_t)name,
          .method = (char *)(uintptr_t)http_request_method (r),
          .path = full,
          .key = call->idempotent ? (char *)"" : (char *)(uintptr_t)key,
          .deadline_ms = caller->deadline_ms,
          .content_type = (char *)(uintptr_t)(type ? type : ""),
          .traceparent = (char *)"",
          .body = bytes };
  if (call->idempotent)
    run_idempotent (c, r, &m);
  else
    send_to_writer (entry_call_create (c, r, &m), false);
}

void
calls_query (struct calls *c, struct http_request *r,
             const struct file_caller *caller, const char *key)
{
  if (!key_valid (key))
    {
      reply_error (r, RESULT_BAD_REQUEST,
                   "/v1/calls/KEY needs a KEY of 1 to 128 printable ASCII "
                   "characters",
                   0);
      return;
    }
  struct call_open m = { .caller = caller->name,
                         .service = (char *)"",
                         .method = (char *)"GET",
                         .path = (char *)"",
                         .key = (char *)(uintptr_t)key,
                         .ask_only = true,
                         .deadline_ms = caller->deadline_ms,
                         .content_type = (char *)"",
                         .traceparent = (char *)"" };
  send_to_writer (entry_call_create (c, r, &m), false);
}

void
calls_peer_closed (struct calls *c, peer_handle peer)
{
  g_autoptr (GList) all = g_hash_table_get_values (c->entry);
  for (GList *l = all; l; l = l->next)
    {
      struct entry_call *e = l->data;
      if (e->peer == peer && peer != 0)
        send_to_writer (e, true);
    }
}

void
calls_handle_frame (struct calls *c, peer_handle peer, const struct frame *f)
{
  if (f->type == MESSAGE_CALL_OPEN)
    calls_dispatch_journaled (c, peer, f->message, false);
  else if (f->type == MESSAGE_CALL_END)
    calls_entry_finish (c, peer, f->message);
}

/* Journal timer and configuration.  */

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct calls *c = arg;
  if (journal_busy (c->journal))
    {
      g_autoptr (GArray) out = journal_actions_create ();
      journal_tick (c->journal, wall_ms (), out);
      calls_dispatch_run_actions (c, out);
    }
  if (g_hash_table_size (c->dispatched) > 0)
    calls_dispatch_expire (c);
}

void
calls_file_changed (struct calls *c)
{
  const struct file *file = conf_file (c->conf);
  unsigned domains = MAX (rank_domain_count (c->ctx->members), 1);
  unsigned rate = MIN (JOURNAL_FLEET_WRITES_PER_S / domains,
                       JOURNAL_VM_WRITES_PER_S_MAX);
  journal_configure (c->journal, (int64_t)file->retention_s * 1000, rate);
}

/* Whether membership shows the process CLAIMER, "VM:INCARNATION", as live.  */
static bool
claimer_is_live (void *arg, const char *claimer)
{
  struct calls *c = arg;
  g_autofree char *vm = NULL;
  uint64_t incarnation = 0;
  if (!member_process_split (claimer, &vm, &incarnation))
    return false;
  const struct member *m = members_find (c->ctx->members, vm);
  return m && member_live (m)
         && member_same_start (m->info.incarnation, incarnation);
}

unsigned
calls_open_count (const struct calls *c)
{
  return g_hash_table_size (c->entry) + g_hash_table_size (c->dispatched);
}

struct calls *
calls_create (const struct context *ctx, struct conf *conf)
{
  struct calls *c = g_new0 (struct calls, 1);
  c->ctx = ctx;
  c->conf = conf;
  c->entry = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                    calls_entry_free);
  c->dispatched = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                         calls_dispatch_free);
  g_autofree char *claimer
      = member_process_name (ctx->settings->vm, ctx->incarnation);
  c->journal = journal_create (claimer, claimer_is_live, c);
  c->timer = context_add_timer (ctx, JOURNAL_TICK_MS, on_timer, c);
  return c;
}

void
calls_destroy (struct calls *c)
{
  if (c == NULL)
    return;
  event_free (c->timer);
  g_hash_table_destroy (c->entry);
  g_hash_table_destroy (c->dispatched);
  journal_destroy (c->journal);
  g_free (c);
}
