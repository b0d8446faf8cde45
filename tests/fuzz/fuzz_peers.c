/** @file
    Fuzz target: messages of other VMs about engines and services: load
    reports, permits and their notes, changes of role, hints, crashes and the
    quarantine of prompt parts.  The input is a
    sequence of messages with any contents, mixed with this VM's own permit
    requests, its load reports and the passing of time.  Every message that
    this VM sends can be received.  */
#include "daemon/gossip_link.h"
#include "daemon/load_link.h"
#include "daemon/permit_link.h"
#include "daemon/quarantine_link.h"
#include "daemon/upstream_statements.h"
#include "base/clock.h"
#include "base/log.h"
#include "decide/placement.h"
#include "fuzz/shared/input.h"

#include <math.h>
#include <string.h>

/* libFuzzer requires this name.  NOLINTNEXTLINE */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#define FLEET_KEY "fleet"
#define VMS 4
#define STEP_MS_MAX 5000

struct vm
{
  struct event_base *base;
  struct members *members;
  struct upstreams *upstreams;
  struct permit_link *permits;
  struct load_link *loads;
  struct rate_limit_link *limits;
  struct upstream_statements *statements;
  struct quarantine_link *quarantine;
  permit_ticket ticket;
  int64_t now;
};

static const char *
region_of (void *arg, const char *failure_domain)
{
  (void)arg;
  return failure_domain;
}

static void
check_sent (void *arg, const struct member *to, unsigned type,
            const void *message)
{
  struct frame f = { 0 };
  enum result result = RESULT_OK;
  (void)arg;
  (void)to;
  g_autoptr (GByteArray) datagram
      = gossip_datagram_encode (FLEET_KEY, type, message);
  if (datagram->len > GOSSIP_DATAGRAM_MAX_BYTES
      || !gossip_datagram_decode (FLEET_KEY, datagram->data, datagram->len, &f,
                                  &result))
    __builtin_trap ();
  frame_clear (&f);
}

static void
check_sent_shares (void *arg, const struct member *to,
                   const struct upstream_shares *message)
{
  check_sent (arg, to, MESSAGE_UPSTREAM_SHARES, message);
}

static void
on_answer (void *arg, enum permit_state state, uint64_t tokens)
{
  (void)arg;
  (void)tokens;
  if (state == PERMIT_PENDING)
    __builtin_trap ();
}

static void
add_member (struct members *m, unsigned i)
{
  g_autofree char *id = g_strdup_printf ("vm-%u", i);
  struct member_update update
      = { .id = id,
          .ip = (char *)"10.0.0.1",
          .http_port = 80,
          .peer_port = 7000,
          .region = (char *)"fleet",
          .failure_domain = (char *)(i % 2 ? "zone-b" : "zone-a"),
          .incarnation = 1000 };
  g_autoptr (GArray) updates
      = g_array_new (FALSE, FALSE, sizeof (struct member_update));
  g_array_append_val (updates, update);
  struct gossip message = { .kind = GOSSIP_SYNC,
                            .from = id,
                            .target = (char *)"",
                            .after = (char *)"",
                            .updates = updates };
  g_autoptr (GArray) out = gossip_out_create ();
  members_receive (m, 1000, &message, "10.0.0.1", 7000, out);
}

static void
vm_init (struct vm *v)
{
  static const struct upstream_locality here
      = { "zone-a", "zone-a", region_of, NULL };
  static const char *const upstreams[] = { "e-0", "e-1", "s-0" };
  struct member_update self = { .id = (char *)"vm-0",
                                .ip = (char *)"10.0.0.9",
                                .http_port = 80,
                                .peer_port = 7000,
                                .region = (char *)"fleet",
                                .failure_domain = (char *)"zone-a",
                                .incarnation = 1000 };
  v->now = clock_ms ();
  v->members = members_create (&self, 1, v->now);
  for (unsigned i = 1; i < VMS; i++)
    add_member (v->members, i);
  v->upstreams = upstreams_create (&here);
  for (unsigned i = 0; i < G_N_ELEMENTS (upstreams); i++)
    {
      struct upstream_info info
          = { .id = (char *)(uintptr_t)upstreams[i],
              .service = (char *)"s",
              .address = (char *)"127.0.0.1:1",
              .failure_domain = (char *)(i % 2 ? "zone-b" : "zone-a"),
              .software_version = (char *)"1",
              .slots = 2,
              .role = i < 2 ? UPSTREAM_DECODE : UPSTREAM_SERVICE };
      upstreams_put (v->upstreams, &info);
    }
  struct permit_link_parts permits = { .base = v->base,
                                       .upstreams = v->upstreams,
                                       .members = v->members,
                                       .vm = "vm-0",
                                       .region_of = region_of,
                                       .failure_domain = "zone-a",
                                       .send = check_sent };
  v->permits = permit_link_create (&permits);
  struct load_link_parts loads = { .upstreams = v->upstreams,
                                   .members = v->members,
                                   .vm = "vm-0",
                                   .failure_domain = "zone-a",
                                   .send = check_sent_shares };
  v->loads = load_link_create (&loads);
  struct vm_broadcast peers = { v->members, check_sent, NULL };
  struct rate_limit_link_parts limits = {
    .base = v->base, .upstreams = v->upstreams, .vm = "vm-0", .peers = peers
  };
  v->limits = rate_limit_link_create (&limits);
  rate_limit_link_set_vms (v->limits, VMS);
  struct upstream_statements_parts statements
      = { .upstreams = v->upstreams, .limits = v->limits, .peers = peers };
  v->statements = upstream_statements_create (&statements);
  struct quarantine_link_parts quarantine
      = { .base = v->base, .vm = "vm-0", .peers = peers };
  v->quarantine = quarantine_link_create (&quarantine);
}

static void
vm_clear (struct vm *v)
{
  permit_link_destroy (v->permits);
  load_link_destroy (v->loads);
  upstream_statements_destroy (v->statements);
  rate_limit_link_destroy (v->limits);
  quarantine_link_destroy (v->quarantine);
  upstreams_destroy (v->upstreams);
  members_destroy (v->members);
}

static void
receive (struct vm *v, struct fuzz_input *in)
{
  static const unsigned types[]
      = { MESSAGE_UPSTREAM_SHARES,   MESSAGE_PERMIT_ASK,
          MESSAGE_PERMIT_ANSWER,     MESSAGE_PERMIT_NOTE,
          MESSAGE_ROLE_CHANGE,       MESSAGE_UPSTREAM_LEAVING,
          MESSAGE_QUARANTINE_REPORT, MESSAGE_RATE_REPORT,
          MESSAGE_RATE_ASK,          MESSAGE_RATE_LOAN };
  struct frame f = { .type = types[fuzz_byte (in) % G_N_ELEMENTS (types)] };
  const struct record_def *def = message_record (f.type);
  f.message = g_malloc0 (def->size);
  fuzz_received_record (in, def, f.message);
  if (f.type == MESSAGE_UPSTREAM_SHARES)
    load_link_handle_report (v->loads, f.message, v->now);
  permit_link_handle_frame (v->permits, &f);
  rate_limit_link_handle_frame (v->limits, &f);
  upstream_statements_handle_frame (v->statements, &f);
  quarantine_link_handle_frame (v->quarantine, &f);
  frame_clear (&f);
}

/* Requests a permit for the upstream that IN names.  */
static void
request_permit (struct vm *v, struct fuzz_input *in)
{
  static const char *const ids[] = { "e-0", "e-1" };
  struct upstream_choice choice
      = { .handle = upstreams_find (v->upstreams, ids[fuzz_byte (in) % 2]),
          .work = fuzz_byte (in) % 4,
          .tokens = fuzz_number (in, 100000) };
  struct permit_limits limits = { 1, 1000, 1000 };
  struct prompt prompt = { .n_parts = fuzz_byte (in) % 3 };
  for (unsigned i = 0; i < prompt.n_parts; i++)
    prompt.parts[i] = (struct prompt_part){ fuzz_byte (in), 100 };
  if (v->ticket)
    permit_link_end (v->permits, v->ticket);
  enum permit_state state = permit_link_request (
      v->permits, &choice, &prompt, &limits, on_answer, v, &v->ticket);
  if (state == PERMIT_UNAVAILABLE && v->ticket != 0)
    __builtin_trap ();
}

/* A request to the upstream that IN names is lost, refused or answered.  */
static void
end_request (struct vm *v, struct fuzz_input *in)
{
  static const char *const ids[] = { "e-0", "e-1", "s-0" };
  const char *id = ids[fuzz_byte (in) % G_N_ELEMENTS (ids)];
  const struct upstream_info *info
      = upstreams_info (v->upstreams, upstreams_find (v->upstreams, id));
  struct prompt prompt = { .n_parts = fuzz_byte (in) % PROMPT_PARTS_MAX };
  unsigned wait_ms = 0;
  for (unsigned i = 0; i < prompt.n_parts; i++)
    prompt.parts[i] = (struct prompt_part){ fuzz_number (in, 1000), 100 };
  quarantine_link_record_lost (v->quarantine, info, &prompt);
  if (fuzz_byte (in) % 2 == 0)
    quarantine_link_record_refused (v->quarantine, "s", id);
  if (fuzz_byte (in) % 4 == 0)
    quarantine_link_record_answer (v->quarantine, "s", &prompt);
  (void)quarantine_link_check (v->quarantine, "s", "r", &prompt, &wait_ms);
  quarantine_link_send (v->quarantine, v->now);
}

/* An upstream that IN names states a limit of requests a second, or none, and
   a request is sent there.  */
static void
state_limit (struct vm *v, struct fuzz_input *in)
{
  static const char *const ids[] = { "e-0", "e-1", "s-0" };
  const char *id = ids[fuzz_byte (in) % G_N_ELEMENTS (ids)];
  upstream_handle h = upstreams_find (v->upstreams, id);
  struct response_info info
      = { .limit = fuzz_byte (in) % 3,
          .limit_per_s = (double)fuzz_number (in, 1000000) };
  upstream_statements_record (v->statements, h, &info, "r");
  if (upstreams_take_token (v->upstreams, h, v->now)
      && fuzz_byte (in) % 2 == 0)
    upstreams_give_back_token (v->upstreams, h, v->now);
  rate_limit_link_send (v->limits, v->now);
}

static void
check_loads (const struct vm *v)
{
  static const char *const ids[] = { "e-0", "e-1", "s-0" };
  for (unsigned i = 0; i < G_N_ELEMENTS (ids); i++)
    for (unsigned work = 0; work < 4; work++)
      {
        struct engine_rates rates = upstreams_rates (
            v->upstreams, upstreams_find (v->upstreams, ids[i]), work);
        if (!isfinite (rates.fixed_ms) || !isfinite (rates.ms_per_1000))
          __builtin_trap ();
      }
}

static void
step (struct vm *v, struct fuzz_input *in)
{
  unsigned kind = fuzz_byte (in) % 10;
  if (kind < 4)
    receive (v, in);
  else if (kind == 8)
    end_request (v, in);
  else if (kind == 9)
    state_limit (v, in);
  else if (kind < 6)
    request_permit (v, in);
  else if (kind == 6)
    permit_link_prefill_done (v->permits, v->ticket,
                              (unsigned)fuzz_number (in, UINT32_MAX));
  else
    {
      v->now += (int64_t)fuzz_number (in, STEP_MS_MAX);
      upstreams_tick (v->upstreams, v->now);
      load_link_send_reports (v->loads, v->now);
    }
  check_loads (v);
}

/* NOLINTNEXTLINE */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static struct event_base *base;
  struct fuzz_input in = { data, size };
  struct vm v = { 0 };
  if (base == NULL)
    {
      base = event_base_new ();
      log_setup (LOG_ERROR, "vm-0");
    }
  v.base = base;
  vm_init (&v);
  while (in.size > 0)
    step (&v, &in);
  vm_clear (&v);
  return 0;
}
