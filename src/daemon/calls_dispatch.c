#include "daemon/calls_internal.h"

#include "base/log.h"
#include "base/metrics.h"
#include "config.h"
#include "decide/rank.h"

#include <string.h>

#define REQUEST_DIGEST_HEX 32
#define JOURNAL_KEY "/buckthorn/journal/"

void
call_open_copy (struct call_open *to, const struct call_open *from)
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

void
calls_dispatch_free (void *p)
{
  struct dispatched_call *o = p;
  http_call_cancel (o->http);
  record_clear (&call_open_record, &o->open);
  g_free (o);
}

static void
dispatched_remove (struct dispatched_call *o)
{
  g_hash_table_remove (o->calls->dispatched, &o->ticket);
}

static void
answer (struct dispatched_call *o, struct call_end *end)
{
  if (o->end_sent)
    return;
  o->end_sent = true;
  end->call = o->open.call;
  if (end->content_type == NULL)
    end->content_type = (char *)"";
  span_end (&o->span, result_info ((unsigned)end->result)->name,
            o->open.service);
  if (o->peer == 0)
    calls_entry_finish (o->calls, 0, end);
  else
    peers_send (o->calls->ctx->peers, o->peer, MESSAGE_CALL_END, end);
}

/* Sending calls to the service.  */

/* Reports the outcome of O to the journal.  Removes O unless KEEP, which is
   set while a late response may still come.  */
static void
record_outcome (struct dispatched_call *o,
                const struct journal_outcome *outcome, bool keep)
{
  struct calls *c = o->calls;
  g_autoptr (GArray) out = journal_actions_create ();
  uint64_t ticket = o->ticket;
  journal_finish (c->journal, o->slot, ticket, outcome, wall_ms (), out);
  calls_dispatch_run_actions (c, out);
  o = g_hash_table_lookup (c->dispatched, &ticket);
  if (o && !keep)
    dispatched_remove (o);
}

static GBytes *
copy_body (const struct http_response *a)
{
  size_t n = a->body ? evbuffer_get_length (a->body) : 0;
  return n ? g_bytes_new (evbuffer_pullup (a->body, -1), n) : NULL;
}

static void
finish_journaled_call (struct dispatched_call *o,
                       const struct http_response *a)
{
  struct journal_outcome outcome = { .kind = JOURNAL_OUTCOME_UNKNOWN };
  g_autoptr (GBytes) body = NULL;
  if (a->end == HTTP_OUTCOME_COMPLETE)
    {
      body = copy_body (a);
      outcome = (struct journal_outcome){ JOURNAL_OUTCOME_ANSWERED,
                                          (uint64_t)a->status, a->content_type,
                                          body };
    }
  else if (a->end == HTTP_OUTCOME_NOT_SENT)
    outcome.kind = JOURNAL_OUTCOME_NOT_SENT;
  record_outcome (o, &outcome, false);
}

static void
finish_idempotent_call (struct dispatched_call *o,
                        const struct http_response *a)
{
  struct call_end end = { .result = RESULT_UPSTREAM_ERROR };
  g_autoptr (GBytes) body = NULL;
  if (a->end == HTTP_OUTCOME_COMPLETE)
    {
      body = copy_body (a);
      end = (struct call_end){ .result = RESULT_OK,
                               .status = (uint64_t)a->status,
                               .content_type
                               = (char *)(uintptr_t)a->content_type,
                               .body = body };
    }
  else if (a->end == HTTP_OUTCOME_NOT_SENT)
    {
      end.result = RESULT_NOT_RUN;
      end.retry_after_ms = RETRY_AFTER_MIN_MS;
    }
  answer (o, &end);
  dispatched_remove (o);
}

static const struct file_service *
service_of (const struct dispatched_call *o)
{
  const struct file *file = conf_file (o->calls->conf);
  return file ? config_file_find_service (file, o->open.service) : NULL;
}

/* Sends O to the next address of its service, if there is one that was not
   tried.  A journaled call is sent again only if no byte of it was sent; an
   idempotent call may always be repeated.  */
static bool
try_next_address (struct dispatched_call *o, const struct http_response *a)
{
  const struct file_service *service = service_of (o);
  if (service == NULL || a->end == HTTP_OUTCOME_COMPLETE
      || o->addresses_tried >= service->addresses->len)
    return false;
  if (o->journaled && a->end != HTTP_OUTCOME_NOT_SENT)
    return false;
  metrics_add (METRIC_retries_total, 1);
  calls_dispatch_send (o);
  return true;
}

static void
on_service_end (void *arg, const struct http_response *a)
{
  struct dispatched_call *o = arg;
  o->http = NULL;
  if (try_next_address (o, a))
    return;
  if (o->journaled)
    finish_journaled_call (o, a);
  else
    finish_idempotent_call (o, a);
}

static const struct http_client_callbacks service_callbacks
    = { NULL, on_service_end, NULL };

void
calls_dispatch_send (struct dispatched_call *o)
{
  const struct file_service *service = service_of (o);
  gsize n = 0;
  const void *body = o->open.body ? g_bytes_get_data (o->open.body, &n) : NULL;
  char traceparent[TRACEPARENT_BYTES];
  span_traceparent (&o->span, traceparent);
  unsigned addr_index
      = (o->first_address + o->addresses_tried++) % service->addresses->len;
  /* A response after the service's time-out is still recorded.  */
  unsigned late_ms = o->journaled ? JOURNAL_LATE_RESPONSE_MS : 0;
  struct http_client_request request
      = { .address = g_ptr_array_index (service->addresses, addr_index),
          .method = o->open.method,
          .path = o->open.path,
          .content_type = n ? o->open.content_type : NULL,
          .body = body,
          .body_size = n,
          .traceparent = traceparent,
          .idempotency_key = o->open.key[0] ? o->open.key : NULL,
          .timeout_ms = (unsigned)service->timeout_ms + late_ms,
          /* Nothing in a response tells which request it is for.  */
          .new_connection = true };
  o->unknown_after_ms = clock_ms () + (int64_t)service->timeout_ms;
  o->http = http_client_call (o->calls->ctx->http, &request,
                              &service_callbacks, o);
}

/* Journal actions: page reads and writes, sends and replies.  */

/* A read or write of a journal page in the key-value service.  */
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
  metrics_observe (METRIC_kv_seconds, g_get_monotonic_time () - op->start_us);
  metrics_add (METRIC_kv_errors_total, !ok);
  if (status == KV_UNKNOWN)
    journal_read_unanswered (op->calls->journal, op->slot, wall_ms (), out);
  else
    journal_read_done (op->calls->journal, op->slot, ok,
                       ok && n > 0 ? values[0].revision : 0,
                       ok && n > 0 ? values[0].value : NULL, wall_ms (), out);
  calls_dispatch_run_actions (op->calls, out);
  g_free (op);
}

static void
on_page_written (void *arg, enum kv_status status, int64_t revision)
{
  static const enum journal_write_outcome results[]
      = { [KV_OK] = JOURNAL_WRITE_OK,
          [KV_CONFLICT] = JOURNAL_WRITE_CONFLICT,
          [KV_NOT_DONE] = JOURNAL_WRITE_NOT_DONE,
          [KV_UNKNOWN] = JOURNAL_WRITE_UNKNOWN };
  struct page_op *op = arg;
  g_autoptr (GArray) out = journal_actions_create ();
  metrics_observe (METRIC_kv_seconds, g_get_monotonic_time () - op->start_us);
  metrics_add (METRIC_kv_errors_total,
               status == KV_NOT_DONE || status == KV_UNKNOWN);
  journal_write_done (op->calls->journal, op->slot, results[status], revision,
                      wall_ms (), out);
  calls_dispatch_run_actions (op->calls, out);
  g_free (op);
}

static void
answer_from_journal (struct calls *c, const struct journal_action *a)
{
  struct dispatched_call *o = g_hash_table_lookup (c->dispatched, &a->ticket);
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
    dispatched_remove (o);
}

static void
send_claimed_call (struct calls *c, const struct journal_action *a)
{
  struct dispatched_call *o = g_hash_table_lookup (c->dispatched, &a->ticket);
  if (o == NULL)
    return;
  metrics_observe (METRIC_journal_claim_seconds,
                   g_get_monotonic_time () - o->start_us);
  if (service_of (o))
    {
      calls_dispatch_send (o);
      return;
    }
  struct journal_outcome not_sent = { .kind = JOURNAL_OUTCOME_NOT_SENT };
  record_outcome (o, &not_sent, false);
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
      send_claimed_call (c, a);
      break;
    case JOURNAL_ANSWER:
      answer_from_journal (c, a);
      break;
    }
}

void
calls_dispatch_run_actions (struct calls *c, GArray *actions)
{
  for (guint i = 0; i < actions->len; i++)
    run_journal_action (c, &g_array_index (actions, struct journal_action, i));
}

/* Accepting calls from entry VMs.  */

char *
call_journal_key (const char *caller, const char *key)
{
  g_autofree char *text = g_strjoin ("\n", caller, key, NULL);
  return g_compute_checksum_for_string (G_CHECKSUM_SHA256, text, -1);
}

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

struct dispatched_call *
calls_dispatch_create (struct calls *c, peer_handle peer,
                       const struct call_open *m)
{
  struct dispatched_call *o = g_new0 (struct dispatched_call, 1);
  o->calls = c;
  o->ticket = ++c->next_ticket;
  o->peer = peer;
  call_open_copy (&o->open, m);
  o->start_us = g_get_monotonic_time ();
  o->first_address = c->next_address++;
  span_start (&o->span, "call", m->traceparent);
  g_hash_table_insert (c->dispatched, &o->ticket, o);
  return o;
}

void
calls_dispatch_journaled (struct calls *c, peer_handle peer,
                          const struct call_open *m, bool taken_over)
{
  struct dispatched_call *o = calls_dispatch_create (c, peer, m);
  g_autofree char *key = call_journal_key (m->caller, m->key);
  g_autofree char *digest = request_digest (m);
  o->journaled = true;
  o->slot = rank_journal_slot (key, JOURNAL_SLOTS);
  struct journal_call call
      = { .ticket = o->ticket,
          .key = key,
          .request_digest = digest,
          .deadline_ms = wall_ms () + (int64_t)m->deadline_ms,
          .ask_only = m->ask_only,
          .taken_over = taken_over && !m->ask_only };
  g_autoptr (GArray) out = journal_actions_create ();
  journal_claim (c->journal, o->slot, &call, wall_ms (), out);
  calls_dispatch_run_actions (c, out);
}

void
calls_dispatch_expire (struct calls *c)
{
  static const struct journal_outcome unknown
      = { .kind = JOURNAL_OUTCOME_UNKNOWN };
  int64_t now = clock_ms ();
  g_autoptr (GList) all = g_hash_table_get_values (c->dispatched);
  for (GList *l = all; l; l = l->next)
    {
      struct dispatched_call *o = l->data;
      if (o->journaled && !o->end_sent && o->http && now > o->unknown_after_ms
          && http_call_bytes_sent (o->http))
        record_outcome (o, &unknown, true);
    }
}
