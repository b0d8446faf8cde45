#include "daemon/calls.h"

#include "base/log.h"
#include "base/metrics.h"
#include "config.h"
#include "daemon/conf.h"
#include "daemon/entry.h"
#include "daemon/reply.h"
#include "decide/journal.h"
#include "decide/rank.h"
#include "links/trace.h"

#include <string.h>

#define KEY_MAX_BYTES 128
#define REQUEST_DIGEST_HEX 32
#define JOURNAL_KEY "/buckthorn/journal/"

/* A call as its entry VM sees it.  */
struct entry_call
{
  struct calls *calls;
  uint64_t id;
  struct http_request *request; /* NULL once the caller went away */
  struct call_open open;
  peer_handle peer; /* connection to the writer, 0 for this VM */
  int64_t start_us;
  int64_t deadline_ms;
  struct span span;
};

/* A call as the writer of its journal slot sees it, or an idempotent one.  */
struct owned_call
{
  struct calls *calls;
  uint64_t ticket;
  peer_handle peer; /* of the entry VM, 0 for this VM */
  struct call_open open;
  unsigned slot;
  bool journaled;
  bool told; /* the entry VM has its answer */
  unsigned addresses_tried;
  unsigned first_address;
  struct http_call *http;
  int64_t start_us;
  int64_t give_up_ms; /* when a sent call counts as lost */
  struct span span;
};

struct calls
{
  const struct context *ctx;
  struct conf *conf;
  GHashTable *entry; /* id -> struct entry_call */
  GHashTable *owned; /* ticket -> struct owned_call */
  struct journal *journal;
  uint64_t next_id;
  uint64_t next_ticket;
  struct event *timer;
  unsigned next_address;
};

/* Releasing.  */

static void
open_copy (struct call_open *to, const struct call_open *from)
{
  *to = *from;
  to->caller = g_strdup (from->caller);
  to->service = g_strdup (from->service);
  to->method = g_strdup (from->method);
  to->path = g_strdup (from->path);
  to->key = g_strdup (from->key);
  to->content_type = g_strdup (from->content_type);
  to->traceparent = g_strdup (from->traceparent);
  to->body = from->body ? g_bytes_ref (from->body) : NULL;
}

static void
entry_call_free (void *p)
{
  struct entry_call *c = p;
  peers_await (c->calls->ctx->peers, c->peer, -1);
  record_clear (&call_open_record, &c->open);
  g_free (c);
}

static void
owned_call_free (void *p)
{
  struct owned_call *o = p;
  http_call_cancel (o->http);
  record_clear (&call_open_record, &o->open);
  g_free (o);
}

static void
owned_remove (struct owned_call *o)
{
  g_hash_table_remove (o->calls->owned, &o->ticket);
}

/* Answers, back on the entry VM.  */

static void
answer_caller (struct entry_call *c, const struct call_end *m)
{
  struct http_request *r = c->request;
  http_request_on_close (r, NULL, NULL);
  metrics_time (METRIC_call_seconds, g_get_monotonic_time () - c->start_us);
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

static void
take_end (struct calls *calls, peer_handle peer, const struct call_end *m)
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
    answer_caller (c, m);
  g_hash_table_remove (calls->entry, &id);
}

static void
answer (struct owned_call *o, struct call_end *end)
{
  if (o->told)
    return;
  o->told = true;
  end->call = o->open.call;
  if (end->content_type == NULL)
    end->content_type = (char *)"";
  span_end (&o->span, result_info ((unsigned)end->result)->name,
            o->open.service);
  if (o->peer == 0)
    take_end (o->calls, 0, end);
  else
    peers_send (o->calls->ctx->peers, o->peer, MESSAGE_CALL_END, end);
}

/* Sending to the service.  */

static void send_to_service (struct owned_call *o);
static void run_journal (struct calls *c, GArray *actions);

static void
finish_journaled (struct owned_call *o, const struct journal_outcome *outcome,
                  bool keep)
{
  struct calls *c = o->calls;
  g_autoptr (GArray) out = journal_actions_create ();
  uint64_t ticket = o->ticket;
  journal_finish (c->journal, o->slot, ticket, outcome, wall_ms (), out);
  run_journal (c, out);
  o = g_hash_table_lookup (c->owned, &ticket);
  if (o && !keep)
    owned_remove (o);
}

static GBytes *
take_body (const struct http_answer *a)
{
  size_t n = a->body ? evbuffer_get_length (a->body) : 0;
  return n ? g_bytes_new (evbuffer_pullup (a->body, -1), n) : NULL;
}

static void
end_journaled (struct owned_call *o, const struct http_answer *a)
{
  struct journal_outcome outcome = { .kind = JOURNAL_OUTCOME_LOST };
  g_autoptr (GBytes) body = NULL;
  if (a->end == HTTP_END_WHOLE)
    {
      body = take_body (a);
      outcome = (struct journal_outcome){ JOURNAL_OUTCOME_ANSWERED,
                                          (uint64_t)a->status, a->content_type,
                                          body };
    }
  else if (a->end == HTTP_END_NOT_SENT)
    outcome.kind = JOURNAL_OUTCOME_NOT_SENT;
  finish_journaled (o, &outcome, false);
}

static void
end_idempotent (struct owned_call *o, const struct http_answer *a)
{
  struct call_end end = { .result = RESULT_UPSTREAM_ERROR };
  g_autoptr (GBytes) body = NULL;
  if (a->end == HTTP_END_WHOLE)
    {
      body = take_body (a);
      end = (struct call_end){ .result = RESULT_OK,
                               .status = (uint64_t)a->status,
                               .content_type
                               = (char *)(uintptr_t)a->content_type,
                               .body = body };
    }
  else if (a->end == HTTP_END_NOT_SENT)
    {
      end.result = RESULT_NOT_RUN;
      end.retry_after_ms = RETRY_AFTER_MIN_MS;
    }
  answer (o, &end);
  owned_remove (o);
}

static const struct file_service *
service_of (const struct owned_call *o)
{
  const struct file *file = conf_file (o->calls->conf);
  return file ? file_find_service (file, o->open.service) : NULL;
}

/* Another address may be tried where the first provably saw nothing, or where
   the call may be repeated.  */
static bool
try_next_address (struct owned_call *o, const struct http_answer *a)
{
  const struct file_service *service = service_of (o);
  if (service == NULL || a->end == HTTP_END_WHOLE
      || o->addresses_tried >= service->addresses->len)
    return false;
  if (o->journaled && a->end != HTTP_END_NOT_SENT)
    return false;
  metrics_add (METRIC_retries_total, 1);
  send_to_service (o);
  return true;
}

static void
on_service_end (void *arg, const struct http_answer *a)
{
  struct owned_call *o = arg;
  o->http = NULL;
  if (try_next_address (o, a))
    return;
  if (o->journaled)
    end_journaled (o, a);
  else
    end_idempotent (o, a);
}

static const struct http_events service_events = { NULL, on_service_end };

static void
send_to_service (struct owned_call *o)
{
  const struct file_service *service = service_of (o);
  gsize n = 0;
  const void *body = o->open.body ? g_bytes_get_data (o->open.body, &n) : NULL;
  char traceparent[TRACEPARENT_BYTES];
  span_traceparent (&o->span, traceparent);
  unsigned at
      = (o->first_address + o->addresses_tried++) % service->addresses->len;
  unsigned late = o->journaled ? JOURNAL_LATE_ANSWER_MS : 0;
  struct http_order order
      = { .address = g_ptr_array_index (service->addresses, at),
          .method = o->open.method,
          .path = o->open.path,
          .content_type = n ? o->open.content_type : NULL,
          .body = body,
          .body_size = n,
          .traceparent = traceparent,
          .idempotency_key = o->open.key[0] ? o->open.key : NULL,
          .timeout_ms = (unsigned)service->timeout_ms + late,
          .fresh = o->journaled };
  o->give_up_ms = clock_ms () + (int64_t)service->timeout_ms;
  o->http = http_client_call (o->calls->ctx->http, &order, &service_events, o);
}

/* The journal's actions.  */

struct page_op
{
  struct calls *calls;
  unsigned slot;
  int64_t start_us;
};

static struct page_op *
page_op_create (struct calls *c, unsigned slot)
{
  struct page_op *op = g_new0 (struct page_op, 1);
  op->calls = c;
  op->slot = slot;
  op->start_us = g_get_monotonic_time ();
  return op;
}

static void
on_page_read (void *arg, enum kv_status status, const struct kv_value *values,
              size_t n)
{
  struct page_op *op = arg;
  g_autoptr (GArray) out = journal_actions_create ();
  bool ok = status == KV_OK;
  metrics_time (METRIC_kv_seconds, g_get_monotonic_time () - op->start_us);
  metrics_add (METRIC_kv_errors_total, !ok);
  journal_read_done (op->calls->journal, op->slot, ok,
                     ok && n > 0 ? values[0].revision : 0,
                     ok && n > 0 ? values[0].value : NULL, wall_ms (), out);
  run_journal (op->calls, out);
  g_free (op);
}

static void
on_page_written (void *arg, enum kv_status status, int64_t revision)
{
  static const enum journal_write how[]
      = { [KV_OK] = JOURNAL_WRITE_OK,
          [KV_CONFLICT] = JOURNAL_WRITE_CONFLICT,
          [KV_DOWN] = JOURNAL_WRITE_DOWN,
          [KV_LOST] = JOURNAL_WRITE_LOST };
  struct page_op *op = arg;
  g_autoptr (GArray) out = journal_actions_create ();
  metrics_time (METRIC_kv_seconds, g_get_monotonic_time () - op->start_us);
  metrics_add (METRIC_kv_errors_total, status == KV_DOWN || status == KV_LOST);
  journal_write_done (op->calls->journal, op->slot, how[status], revision,
                      wall_ms (), out);
  run_journal (op->calls, out);
  g_free (op);
}

static void
answer_from_journal (struct calls *c, const struct journal_action *a)
{
  struct owned_call *o = g_hash_table_lookup (c->owned, &a->ticket);
  if (o == NULL)
    return;
  struct call_end end = { .result = a->result,
                          .status = a->status,
                          .retry_after_ms = a->retry_after_ms,
                          .replayed = a->replayed,
                          .content_type = a->content_type,
                          .body = a->body };
  answer (o, &end);
  if (o->http == NULL)
    owned_remove (o);
}

static void
send_claimed (struct calls *c, const struct journal_action *a)
{
  struct owned_call *o = g_hash_table_lookup (c->owned, &a->ticket);
  if (o == NULL)
    return;
  metrics_time (METRIC_journal_claim_seconds,
                g_get_monotonic_time () - o->start_us);
  if (service_of (o))
    {
      send_to_service (o);
      return;
    }
  struct journal_outcome gone = { .kind = JOURNAL_OUTCOME_NOT_SENT };
  finish_journaled (o, &gone, false);
}

static void
run_journal_action (struct calls *c, const struct journal_action *a)
{
  g_autofree char *key = g_strdup_printf (JOURNAL_KEY "%03u", a->slot);
  switch (a->kind)
    {
    case JOURNAL_READ:
      kv_get (c->ctx->kv, key, false, on_page_read,
              page_op_create (c, a->slot));
      break;
    case JOURNAL_WRITE:
      {
        struct kv_put put = { key, a->page };
        kv_txn (c->ctx->kv, key, a->revision, &put, 1, on_page_written,
                page_op_create (c, a->slot));
        metrics_add (METRIC_journal_writes_total, 1);
        break;
      }
    case JOURNAL_SEND:
      send_claimed (c, a);
      break;
    case JOURNAL_ANSWER:
      answer_from_journal (c, a);
      break;
    }
}

static void
run_journal (struct calls *c, GArray *actions)
{
  for (guint i = 0; i < actions->len; i++)
    run_journal_action (c, &g_array_index (actions, struct journal_action, i));
}

/* The writer's side.  */

static char *
request_digest (const struct call_open *m)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize n = 0;
  const void *body = m->body ? g_bytes_get_data (m->body, &n) : NULL;
  g_checksum_update (sum, (const guchar *)m->service, -1);
  g_checksum_update (sum, (const guchar *)"\n", 1);
  g_checksum_update (sum, (const guchar *)m->method, -1);
  g_checksum_update (sum, (const guchar *)"\n", 1);
  g_checksum_update (sum, (const guchar *)m->path, -1);
  g_checksum_update (sum, (const guchar *)"\n", 1);
  if (n > 0)
    g_checksum_update (sum, body, (gssize)n);
  char *digest = g_strndup (g_checksum_get_string (sum), REQUEST_DIGEST_HEX);
  g_checksum_free (sum);
  return digest;
}

static char *
key_digest (const char *caller, const char *key)
{
  g_autofree char *text = g_strjoin ("\n", caller, key, NULL);
  return g_compute_checksum_for_string (G_CHECKSUM_SHA256, text, -1);
}

static struct owned_call *
owned_create (struct calls *c, peer_handle peer, const struct call_open *m)
{
  struct owned_call *o = g_new0 (struct owned_call, 1);
  o->calls = c;
  o->ticket = ++c->next_ticket;
  o->peer = peer;
  open_copy (&o->open, m);
  o->start_us = g_get_monotonic_time ();
  o->first_address = c->next_address++;
  span_start (&o->span, "call", m->traceparent);
  g_hash_table_insert (c->owned, &o->ticket, o);
  return o;
}

static void
take_open (struct calls *c, peer_handle peer, const struct call_open *m)
{
  struct owned_call *o = owned_create (c, peer, m);
  g_autofree char *key = key_digest (m->caller, m->key);
  g_autofree char *digest = request_digest (m);
  o->journaled = true;
  o->slot = rank_slot (key, JOURNAL_SLOTS);
  struct journal_call call
      = { .ticket = o->ticket,
          .key = key,
          .request_digest = digest,
          .deadline_ms = wall_ms () + (int64_t)m->deadline_ms,
          .ask_only = m->ask_only };
  g_autoptr (GArray) out = journal_actions_create ();
  journal_claim (c->journal, o->slot, &call, wall_ms (), out);
  run_journal (c, out);
}

void
calls_take_frame (struct calls *c, peer_handle peer, const struct frame *f)
{
  if (f->type == MESSAGE_CALL_OPEN)
    take_open (c, peer, f->message);
  else if (f->type == MESSAGE_CALL_END)
    take_end (c, peer, f->message);
}

/* The entry's side.  */

static void
on_caller_gone (void *arg)
{
  /* The call goes on; the caller can ask for it by its key.  */
  ((struct entry_call *)arg)->request = NULL;
}

static void
give_to_writer (struct entry_call *e, bool moved)
{
  const struct context *ctx = e->calls->ctx;
  g_autofree char *key = key_digest (e->open.caller, e->open.key);
  const struct member *writer
      = rank_journal_writer (ctx->members, rank_slot (key, JOURNAL_SLOTS));
  bool here = moved || writer == NULL
              || strcmp (writer->info.id, ctx->settings->vm) == 0;
  peers_await (ctx->peers, e->peer, -1);
  e->peer = here ? 0
                 : peers_connect (ctx->peers, writer->info.id, writer->info.ip,
                                  (uint16_t)writer->info.peer_port);
  peers_await (ctx->peers, e->peer, 1);
  e->open.deadline_ms = (uint64_t)MAX (e->deadline_ms - clock_ms (), 1);
  if (here)
    take_open (e->calls, 0, &e->open);
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
  e->deadline_ms = clock_ms () + (int64_t)m->deadline_ms;
  span_start (&e->span, "entry", http_request_header (r, "traceparent"));
  span_traceparent (&e->span, traceparent);
  open_copy (&e->open, m);
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
      bool rest = n > 0 && c->path[n - 1] == '*';
      bool matches = rest ? strncmp (c->path, path, n - 1) == 0
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
  send_to_service (owned_create (c, 0, &e->open));
}

void
calls_handle (struct calls *c, struct http_request *r,
              const struct file_caller *caller, const char *name,
              const char *path)
{
  const struct file *file = conf_file (c->conf);
  const struct file_service *service = file_find_service (file, name);
  if (service == NULL || !texts_hold (caller->services, name))
    {
      reply_error (r, RESULT_FORBIDDEN,
                   "this caller may not call that service", 0);
      return;
    }
  const struct file_call *call
      = find_call (service, http_request_method (r), path);
  if (call == NULL)
    {
      reply_error (r, RESULT_FORBIDDEN, "the file lets no such call through",
                   0);
      return;
    }
  const char *key = http_request_header (r, "Idempotency-Key");
  if (!call->idempotent && !key_valid (key))
    {
      reply_error (r, RESULT_BAD_REQUEST,
                   "this call needs an Idempotency-Key of 1 to 128 printable "
                   "characters",
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
    give_to_writer (entry_call_create (c, r, &m), false);
}

void
calls_ask (struct calls *c, struct http_request *r,
           const struct file_caller *caller, const char *key)
{
  if (!key_valid (key))
    {
      reply_error (r, RESULT_BAD_REQUEST, "no idempotency key", 0);
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
  give_to_writer (entry_call_create (c, r, &m), false);
}

void
calls_peer_gone (struct calls *c, peer_handle peer)
{
  g_autoptr (GList) all = g_hash_table_get_values (c->entry);
  for (GList *l = all; l; l = l->next)
    {
      struct entry_call *e = l->data;
      if (e->peer == peer && peer != 0)
        give_to_writer (e, true);
    }
}

/* Time.  */

static void
give_up_late (struct calls *c)
{
  static const struct journal_outcome lost = { .kind = JOURNAL_OUTCOME_LOST };
  int64_t now = clock_ms ();
  g_autoptr (GList) all = g_hash_table_get_values (c->owned);
  for (GList *l = all; l; l = l->next)
    {
      struct owned_call *o = l->data;
      if (o->journaled && !o->told && o->http && now > o->give_up_ms
          && http_call_sent (o->http))
        finish_journaled (o, &lost, true);
    }
}

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
      run_journal (c, out);
    }
  if (g_hash_table_size (c->owned) > 0)
    give_up_late (c);
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

/* Whether the process "VM:INCARNATION" runs, as far as membership tells.  */
static bool
claimer_lives (void *arg, const char *claimer)
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
calls_open (const struct calls *c)
{
  return g_hash_table_size (c->entry) + g_hash_table_size (c->owned);
}

struct calls *
calls_create (const struct context *ctx, struct conf *conf)
{
  struct calls *c = g_new0 (struct calls, 1);
  c->ctx = ctx;
  c->conf = conf;
  c->entry = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                    entry_call_free);
  c->owned = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                    owned_call_free);
  g_autofree char *claimer
      = member_process_name (ctx->settings->vm, ctx->incarnation);
  c->journal = journal_create (claimer, claimer_lives, c);
  c->timer = context_every (ctx, JOURNAL_TICK_MS, on_timer, c);
  return c;
}

void
calls_destroy (struct calls *c)
{
  if (c == NULL)
    return;
  event_free (c->timer);
  g_hash_table_destroy (c->entry);
  g_hash_table_destroy (c->owned);
  journal_destroy (c->journal);
  g_free (c);
}
