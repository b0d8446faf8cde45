/** @file
    Messages about the quarantine of prompt parts: the largest one fits into a
    datagram and arrives as it was sent.  */
#include "daemon/gossip_link.h"
#include "daemon/quarantine_messages.h"

#include <string.h>

#define FLEET_KEY "fleet"
#define NAME_MAX_LENGTH 64
#define LARGE ((uint64_t)1 << 63)
#define NOW_MS ((int64_t)1 << 40)

static void
fill (struct quarantine_report *m, const char *name, const uint64_t *parts)
{
  struct crash_report crash = { .upstream = name,
                                .started_ms = INT64_MAX,
                                .parts = parts,
                                .n_parts = QUARANTINE_MESSAGE_PARTS_MAX };
  struct quarantine_entry entry = { .part = LARGE,
                                    .round = LARGE,
                                    .crashes = UINT16_MAX,
                                    .canary_ms = INT64_MAX,
                                    .interval_ms = INT64_MAX };
  quarantine_message_init (m, name, name);
  quarantine_message_add_crash (m, &crash, 0, NOW_MS);
  for (unsigned i = 0; i < QUARANTINE_MESSAGE_ANSWERS_MAX; i++)
    quarantine_message_add_answer (m, LARGE + i, 0, NOW_MS);
  for (unsigned i = 0; i < QUARANTINE_MESSAGE_STATES_MAX; i++)
    quarantine_message_add_state (m, &entry, NOW_MS);
}

static void
test_largest_message_fits (void)
{
  uint64_t parts[CRASH_EVIDENCE_PARTS_MAX];
  uint64_t received[CRASH_EVIDENCE_PARTS_MAX];
  g_autofree char *name = g_strnfill (NAME_MAX_LENGTH, 'x');
  struct quarantine_report m;
  struct frame f = { 0 };
  enum result result = RESULT_OK;
  for (unsigned i = 0; i < CRASH_EVIDENCE_PARTS_MAX; i++)
    parts[i] = LARGE + i;
  fill (&m, name, parts);
  g_autoptr (GByteArray) datagram
      = gossip_datagram_encode (FLEET_KEY, MESSAGE_QUARANTINE_REPORT, &m);
  record_clear (&quarantine_report_record, &m);
  g_test_message ("%u bytes", datagram->len);
  g_assert_cmpuint (datagram->len, <=, GOSSIP_DATAGRAM_MAX_BYTES);
  g_assert_true (gossip_datagram_decode (FLEET_KEY, datagram->data,
                                         datagram->len, &f, &result));
  const struct quarantine_report *r = f.message;
  g_assert_cmpuint (r->states->len, ==, QUARANTINE_MESSAGE_STATES_MAX);
  const struct part_crash *c
      = &g_array_index (r->crashes, struct part_crash, 0);
  g_assert_cmpuint (quarantine_message_parts (c->parts, received), ==,
                    QUARANTINE_MESSAGE_PARTS_MAX);
  g_assert_cmpmem (received, QUARANTINE_MESSAGE_PARTS_MAX * sizeof *parts,
                   parts, QUARANTINE_MESSAGE_PARTS_MAX * sizeof *parts);
  frame_clear (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/quarantine-messages/largest-fits",
                   test_largest_message_fits);
  return g_test_run ();
}
