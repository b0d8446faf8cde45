#include "daemon/settings_update.h"

#include <glib.h>
#include <string.h>

bool
settings_update (struct settings *current, const struct settings *read)
{
  current->retry_ratio = read->retry_ratio;
  current->retry_window_s = read->retry_window_s;
  current->retry_slack = read->retry_slack;
  current->entry_ttl_s = read->entry_ttl_s;
  current->leave_deadline_s = read->leave_deadline_s;
  current->upstream_leave_ms = read->upstream_leave_ms;
  current->kv_recovery_ms = read->kv_recovery_ms;
  current->quarantine_s = read->quarantine_s;
  current->order_lease_ms = read->order_lease_ms;
  g_free (current->log_level);
  current->log_level = g_strdup (read->log_level);
  return strcmp (read->front_address, current->front_address) == 0
         && strcmp (read->kv, current->kv) == 0
         && strcmp (read->vm, current->vm) == 0;
}
