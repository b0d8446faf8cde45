#include "daemon/quarantine_messages.h"

#include <string.h>

#define PART_BYTES 8
/* Longest duration that is taken from a message: a week.  */
#define DURATION_MAX_MS ((uint64_t)7 * 24 * 60 * 60 * 1000)

void
quarantine_message_init (struct quarantine_report *m, const char *vm,
                         const char *service)
{
  memset (m, 0, sizeof *m);
  record_init (&quarantine_report_record, m);
  g_free (m->from);
  g_free (m->service);
  m->from = g_strdup (vm);
  m->service = g_strdup (service);
}

bool
quarantine_message_is_empty (const struct quarantine_report *m)
{
  return m->crashes->len + m->answers->len + m->states->len == 0;
}

int64_t
quarantine_message_duration (uint64_t ms)
{
  return (int64_t)MIN (ms, DURATION_MAX_MS);
}

int64_t
quarantine_message_time (uint64_t age_ms, int64_t now)
{
  return now - quarantine_message_duration (age_ms);
}

/* Returns the time since AT_MS; 0 if that lies after NOW.  */
static uint64_t
age_ms (int64_t at_ms, int64_t now)
{
  return (uint64_t)MAX (now - at_ms, 0);
}

static GBytes *
pack_parts (const uint64_t *parts, unsigned n)
{
  GByteArray *out = g_byte_array_new ();
  for (unsigned i = 0; i < n; i++)
    {
      uint64_t big_endian = GUINT64_TO_BE (parts[i]);
      g_byte_array_append (out, (const guint8 *)&big_endian, PART_BYTES);
    }
  return g_byte_array_free_to_bytes (out);
}

unsigned
quarantine_message_parts (GBytes *bytes, uint64_t *parts)
{
  gsize size = 0;
  const guint8 *data = bytes ? g_bytes_get_data (bytes, &size) : NULL;
  unsigned n = (unsigned)MIN (size / PART_BYTES, CRASH_EVIDENCE_PARTS_MAX);
  for (unsigned i = 0; i < n; i++)
    {
      uint64_t big_endian = 0;
      memcpy (&big_endian, data + (size_t)i * PART_BYTES, PART_BYTES);
      parts[i] = GUINT64_FROM_BE (big_endian);
    }
  return n;
}

void
quarantine_message_add_crash (struct quarantine_report *m,
                              const struct crash_report *r, unsigned first,
                              int64_t now)
{
  unsigned n = MIN (r->n_parts - first, QUARANTINE_MESSAGE_PARTS_MAX);
  struct part_crash c = { .upstream = g_strdup (r->upstream),
                          .started_ms = (uint64_t)r->started_ms,
                          .age_ms = age_ms (r->at_ms, now),
                          .parts = pack_parts (r->parts + first, n) };
  g_array_append_val (m->crashes, c);
}

void
quarantine_message_add_answer (struct quarantine_report *m, uint64_t part,
                               int64_t at_ms, int64_t now)
{
  struct part_answer a = { .part = part, .age_ms = age_ms (at_ms, now) };
  g_array_append_val (m->answers, a);
}

void
quarantine_message_add_state (struct quarantine_report *m,
                              const struct quarantine_entry *e, int64_t now)
{
  struct part_state s = { .part = e->part,
                          .round = e->round,
                          .released = e->released,
                          .crashes = e->crashes,
                          .age_ms = age_ms (e->convicted_ms, now),
                          .canary_ms = age_ms (now, e->canary_ms),
                          .interval_ms = (uint64_t)e->interval_ms };
  g_array_append_val (m->states, s);
}
