/** @file
    Demo of a fleet configured from a file, as a caller and an operator see it:
    a query for the VM to use, a long prompt, a chat, a booking and its retry,
    a refused request, and a stream resumed after its VM was killed.  */
#include "process/common.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define LONG_PROMPT_BYTES 24000
#define CHAT_TOKENS 120
#define STREAM_TIMEOUT_MS 20000

struct tally
{
  unsigned answered;
  unsigned refused;
  unsigned unknown;
  unsigned run_twice;
  unsigned cut; /* streams that are incomplete or altered */
};

static void
print_step (const char *text)
{
  printf ("%s\n", text);
  (void)fflush (stdout);
}

/* First address in VM's response to an entry query, to be freed; VM's own
   address if it lists none.  */
static char *
query_entry_address (const struct fleet *f, unsigned vm)
{
  struct web *w = web_request (f->http_addresses[vm], "GET", "/v1/entry",
                               FLEET_CALLER_KEY, NULL, NULL);
  json_t *root = web_json (w);
  const char *first = json_string_value (
      json_array_get (json_object_get (root, "addresses"), 0));
  char *address = g_strdup (first ? first : f->http_addresses[vm]);
  json_decref (root);
  web_close (w);
  return address;
}

static void
count_stream (const struct fleet *f, struct tally *t,
              const struct stream_text *s, const char *label)
{
  bool complete = s->done && !s->error
                  && engine_text_matches (f, s->last_id, s->text->str);
  printf ("  %s: %u events, %s\n", label, s->events,
          complete ? "complete and equal to the engine's text"
                   : "INCOMPLETE OR NOT THE ENGINE'S TEXT");
  if (complete)
    t->answered++;
  else
    t->cut++;
}

static void
run_stream (const struct fleet *f, struct tally *t, const char *prompt,
            unsigned tokens, const char *label)
{
  g_autofree char *address = query_entry_address (f, 0);
  g_autofree char *body = fleet_chat_body (prompt, tokens, true);
  struct web *w = web_send_request (address, "POST", "/v1/chat/completions",
                                    FLEET_CALLER_KEY, NULL, body);
  web_read_response (w, STREAM_TIMEOUT_MS);
  struct stream_text *s = stream_text_create ();
  size_t at = 0;
  stream_text_add (s, w->body, &at);
  count_stream (f, t, s, label);
  stream_text_destroy (s);
  web_close (w);
}

static int
send_booking (const struct fleet *f, unsigned vm, const char *key,
              char **response, bool *replayed)
{
  g_autofree char *header = g_strdup_printf ("Idempotency-Key: %s\r\n", key);
  struct web *w = web_request (f->http_addresses[vm], "POST",
                               "/v1/services/booking/book", FLEET_CALLER_KEY,
                               header, "{\"panel\":12}");
  g_autofree char *replay = web_header (w, "Idempotency-Replayed");
  int status = w->status;
  *response = g_strdup (w->body->str);
  *replayed = replay != NULL;
  web_close (w);
  return status;
}

static void
run_booking (const struct fleet *f, struct tally *t)
{
  g_autofree char *first = NULL;
  g_autofree char *second = NULL;
  bool replayed = false;
  int status = send_booking (f, 0, "panel-2026-12-03", &first, &replayed);
  t->answered += status == 201;
  t->unknown += status == 504;
  t->refused += status == 503;
  status = send_booking (f, f->shape.vms - 1, "panel-2026-12-03", &second,
                         &replayed);
  t->answered += status == 201 && replayed && strcmp (first, second) == 0;
  t->unknown += status == 504;
  t->refused += status == 503;
  printf ("  booking: %s; its retry on another VM: %s\n", first,
          replayed ? "the stored response" : "NOT THE STORED RESPONSE");
  json_t *seen = fleet_fake_state (f->service_address);
  json_int_t n = json_integer_value (json_object_get (seen, "bookings"));
  printf ("  the service ran it %d time%s\n", (int)n, n == 1 ? "" : "s");
  t->run_twice += n > 1 ? (unsigned)n - 1 : 0;
  json_decref (seen);
}

/* Kills the VM that proxies a stream and resumes the stream at another VM.  */
static void
run_vm_failure (struct fleet *f, struct tally *t)
{
  unsigned victim = f->shape.vms - 1;
  g_autofree char *body
      = fleet_chat_body ("Is the glaze even?", CHAT_TOKENS, true);
  struct web *w = web_send_request (f->http_addresses[victim], "POST",
                                    "/v1/chat/completions", FLEET_CALLER_KEY,
                                    NULL, body);
  web_read_events (w, CHAT_TOKENS / 4, STREAM_TIMEOUT_MS);
  proc_kill (f->vms[victim]);
  web_read_response (w, STREAM_TIMEOUT_MS);
  struct stream_text *s = stream_text_create ();
  size_t at = 0;
  stream_text_add (s, w->body, &at);
  web_close (w);
  printf ("  vm%u killed after %u events\n", victim + 1, s->events);
  g_autofree char *header = g_strdup_printf ("Last-Event-ID: %s\r\n",
                                             s->last_id ? s->last_id : "");
  w = web_send_request (f->http_addresses[0], "POST", "/v1/chat/completions",
                        FLEET_CALLER_KEY, header, body);
  web_read_response (w, STREAM_TIMEOUT_MS);
  at = 0;
  stream_text_add (s, w->body, &at);
  web_close (w);
  count_stream (f, t, s, "resumed at vm1");
  stream_text_destroy (s);
}

static void
run_short_deadline (const struct fleet *f, struct tally *t)
{
  g_autofree char *body = fleet_chat_body ("Late?", 5, true);
  struct web *w
      = web_request (f->http_addresses[0], "POST", "/v1/chat/completions",
                     FLEET_CALLER_KEY, "X-Deadline-Ms: 1\r\n", body);
  g_autofree char *after = web_header (w, "Retry-After");
  printf ("  a deadline of 1 ms: status %d, Retry-After %s s\n", w->status,
          after ? after : "-");
  t->refused += w->status == 503 && after != NULL;
  t->answered += w->status == 200;
  web_close (w);
}

int
main (int argc, char **argv)
{
  if (argc != 2)
    {
      (void)fprintf (stderr, "usage: demo PROGRAM-FOLDER\n");
      return 2;
    }
  struct fleet_shape shape = fleet_shape_small ();
  struct fleet *f = fleet_create (argv[1], &shape);
  struct tally t = { 0 };
  print_step (
      "starting: key-value service, VM list, 3 engines, 1 booking service, "
      "3 VMs in 2 regions");
  fleet_start (f);
  print_step ("applying the example file");
  fleet_apply (f);
  g_autofree char *status = NULL;
  int code = fleet_ctl (f, 1, &status, "status", NULL);
  printf ("%s", status);
  print_step ("sending requests as a caller");
  g_autofree char *long_prompt = g_strnfill (LONG_PROMPT_BYTES, 'd');
  run_stream (f, &t, long_prompt, 1,
              "a prompt of 6,000 tokens, answered with 1 token");
  run_stream (f, &t, "How sour is lot 7?", 24, "a short chat");
  run_booking (f, &t);
  run_short_deadline (f, &t);
  run_vm_failure (f, &t);
  bool ok = code == 0 && t.answered == 5 && t.refused == 1 && t.unknown == 0
            && t.run_twice == 0 && t.cut == 0;
  fleet_destroy (f);
  printf ("demo: answered=%u refused=%u unknown=%u run_twice=%u cut=%u\n",
          t.answered, t.refused, t.unknown, t.run_twice, t.cut);
  return ok ? 0 : 1;
}
