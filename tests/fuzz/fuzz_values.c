/** @file
    Fuzz target: short values: the order holder's record, the records of
    applied files, addresses, and the ids by which a caller resumes a stream.
    What is written is read back, and what was not issued is refused.  */
#include "base/address.h"
#include "base/applied_record.h"
#include "daemon/request_id.h"
#include "decide/order_lease.h"

#include <string.h>

/* libFuzzer requires this name.  NOLINTNEXTLINE */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#define FLEET_KEY "fleet"
#define CALLER "ana"
#define LEASE_MS 2000

/* Whoever the record names, this VM waits for ORDER_LEASE_TAKEOVER_MS without
   a change, then may acquire the key, and sends nothing before.  */
static void
check_order_lease (const uint8_t *data, size_t size)
{
  g_autoptr (GBytes) value = g_bytes_new (data, size);
  struct order_lease *l
      = order_lease_create ("vm-0", LEASE_MS, ORDER_LEASE_TAKEOVER_MS);
  int64_t now = 100000;
  if (order_lease_next (l, true, true, now) != ORDER_LEASE_READ)
    __builtin_trap ();
  order_lease_read_done (l, true, 7, value, now);
  enum order_lease_action at_once = order_lease_next (l, true, true, now);
  if (at_once != ORDER_LEASE_NOTHING && at_once != ORDER_LEASE_WRITE)
    __builtin_trap ();
  now += ORDER_LEASE_TAKEOVER_MS;
  if (at_once == ORDER_LEASE_NOTHING
      && order_lease_next (l, true, true, now) != ORDER_LEASE_WRITE)
    __builtin_trap ();
  if (order_lease_revision (l) != 7 || order_lease_is_held (l))
    __builtin_trap ();
  /* What this VM writes names a holder.  */
  g_autoptr (GBytes) own = order_lease_value (l);
  struct order_lease *other
      = order_lease_create ("vm-1", LEASE_MS, ORDER_LEASE_TAKEOVER_MS);
  (void)order_lease_next (other, true, true, now);
  order_lease_read_done (other, true, 8, own, now);
  if (order_lease_next (other, true, true, now) != ORDER_LEASE_NOTHING)
    __builtin_trap ();
  order_lease_destroy (other);
  order_lease_destroy (l);
}

static void
check_applied_record (const uint8_t *data, size_t size)
{
  g_autoptr (GBytes) bytes = g_bytes_new (data, size);
  json_t *record = applied_record_decode (bytes);
  if (record)
    {
      g_autoptr (GBytes) again = applied_record_encode (record);
      json_t *other = applied_record_decode (again);
      if (other == NULL
          || applied_record_revision (other)
                 != applied_record_revision (record))
        __builtin_trap ();
      json_decref (other);
    }
  json_decref (record);
  json_t *history
      = json_loadb ((const char *)data, size, JSON_REJECT_DUPLICATES, NULL);
  g_autofree char *fault = applied_record_verify_history (history);
  json_decref (history);
}

static void
check_address (const char *text)
{
  g_autofree char *ip = NULL;
  uint16_t port = 0;
  struct sockaddr_in address;
  bool ok = address_split (text, &ip, &port);
  if (ok != (ip != NULL) || ok != (port != 0)
      || ok != address_to_sockaddr (text, &address))
    __builtin_trap ();
}

static void
check_ids (const char *text)
{
  g_autofree char *engine = NULL;
  g_autofree char *request_id = NULL;
  g_autofree char *event_id = NULL;
  g_autofree char *other_request_id = NULL;
  uint64_t count = 0;
  uint64_t other_count = 0;
  if (request_id_check (FLEET_KEY, CALLER, text, &engine))
    __builtin_trap ();
  g_autofree char *issued = request_id_make (FLEET_KEY, CALLER, text);
  if (!request_id_check (FLEET_KEY, CALLER, issued, &engine)
      || strcmp (engine, text) != 0)
    __builtin_trap ();
  if (!event_id_parse (text, &request_id, &count))
    return;
  event_id = g_strdup_printf ("%s:%" G_GUINT64_FORMAT, request_id, count);
  if (!event_id_parse (event_id, &other_request_id, &other_count)
      || strcmp (request_id, other_request_id) != 0 || count != other_count)
    __builtin_trap ();
}

/* NOLINTNEXTLINE */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  g_autofree char *text = g_strndup ((const char *)data, size);
  check_order_lease (data, size);
  check_applied_record (data, size);
  check_address (text);
  check_ids (text);
  return 0;
}
