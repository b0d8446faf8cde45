#include "base/applied_record.h"

#include <inttypes.h>
#include <string.h>

#define DIGEST_HEX_DIGITS 64

uint64_t
applied_record_revision (const json_t *record)
{
  return (uint64_t)json_integer_value (json_object_get (record, "revision"));
}

const char *
json_object_text (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text ? text : "";
}

char *
applied_record_chain_digest (const json_t *record)
{
  static const char *const keys[]
      = { "previous", "digest", "operator", "time", "file", "apply_id" };
  g_autoptr (GString) text = g_string_new (NULL);
  g_string_append_printf (text, "%" PRIu64, applied_record_revision (record));
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    g_string_append_printf (text, "\n%s", json_object_text (record, keys[i]));
  return g_compute_checksum_for_string (G_CHECKSUM_SHA256, text->str, -1);
}

static bool
record_is_valid (const json_t *record)
{
  g_autofree char *chain = applied_record_chain_digest (record);
  return applied_record_revision (record) > 0
         && strlen (json_object_text (record, "digest")) == DIGEST_HEX_DIGITS
         && strcmp (chain, json_object_text (record, "chain")) == 0;
}

json_t *
applied_record_decode (GBytes *bytes)
{
  gsize n = 0;
  const char *data = g_bytes_get_data (bytes, &n);
  json_t *record = data ? json_loadb (data, n, 0, NULL) : NULL;
  if (record && record_is_valid (record))
    return record;
  json_decref (record);
  return NULL;
}

GBytes *
applied_record_encode (const json_t *record)
{
  char *text = json_dumps (record, JSON_COMPACT);
  return g_bytes_new_take (text, strlen (text));
}

json_t *
applied_record_next (const json_t *previous,
                     const struct applied_record_parts *p)
{
  g_autoptr (GDateTime) now = g_date_time_new_now_utc ();
  g_autofree char *time = g_date_time_format (now, "%Y-%m-%dT%H:%M:%SZ");
  json_t *record = json_pack (
      "{s:I,s:s,s:I,s:s,s:s,s:s,s:s,s:s}", "revision",
      (json_int_t)applied_record_revision (previous) + 1, "digest", p->digest,
      "bytes", (json_int_t)p->bytes, "operator", p->operator_name, "time",
      time, "file", p->file_name, "apply_id", p->apply_id, "previous",
      json_object_text (previous, "chain"));
  g_autofree char *chain = applied_record_chain_digest (record);
  json_object_set_new (record, "chain", json_string (chain));
  return record;
}

char *
applied_record_verify_history (const json_t *history)
{
  const char *previous = "";
  size_t i;
  json_t *record;
  json_array_foreach (history, i, record)
    {
      if (!record_is_valid (record))
        return g_strdup_printf (
            "entry %zu: its chain digest does not match its fields", i + 1);
      if (applied_record_revision (record) != i + 1)
        return g_strdup_printf (
            "entry %zu: revision out of sequence: %" PRIu64, i + 1,
            applied_record_revision (record));
      if (strcmp (json_object_text (record, "previous"), previous) != 0)
        return g_strdup_printf (
            "revision %zu: 'previous' is not the chain digest of "
            "the revision before it",
            i + 1);
      previous = json_object_text (record, "chain");
    }
  return NULL;
}
