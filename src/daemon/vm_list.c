#include "daemon/vm_list.h"

#include "base/clock.h"

#include "config.h"

#include <jansson.h>
#include <string.h>

#define VM_LIST_INTERVAL_MS 5000

struct vm_list
{
  struct vm_list_parts parts;
  struct event *timer;
  GHashTable *listed; /* vm -> int64_t *, when the list last showed it */
  int64_t first_ms;   /* when the list was first read, 0 if never */
  int64_t last_ms;    /* when the list was last read */
};

/* Handling of the list, {"vms":[{"id":"...","state":"live"|"leaving"}]}: a VM
   in either state counts as shown.  */

static void
record_listed (struct vm_list *l, GHashTable *listed)
{
  int64_t now = clock_ms ();
  GHashTableIter it;
  gpointer vm;
  l->last_ms = now;
  if (l->first_ms == 0)
    l->first_ms = now;
  g_hash_table_iter_init (&it, listed);
  while (g_hash_table_iter_next (&it, &vm, NULL))
    {
      int64_t *listed_ms = g_new (int64_t, 1);
      *listed_ms = now;
      g_hash_table_replace (l->listed, g_strdup (vm), listed_ms);
    }
}

int64_t
vm_list_missing_ms (const struct vm_list *l, const char *vm)
{
  const int64_t *listed_ms = g_hash_table_lookup (l->listed, vm);
  if (l->first_ms == 0)
    return -1;
  int64_t missing = l->last_ms - (listed_ms ? *listed_ms : l->first_ms);
  return missing > 0 ? missing : -1;
}

/* Records which VMs are listed, and notifies the membership of each member
   that is not.  */
static void
handle_vm_list (struct vm_list *l, const json_t *vms)
{
  g_autoptr (GHashTable) listed = g_hash_table_new (g_str_hash, g_str_equal);
  size_t i;
  json_t *vm;
  json_array_foreach (vms, i, vm)
    {
      const char *id = json_string_value (json_object_get (vm, "id"));
      if (id)
        g_hash_table_add (listed, (gpointer)(uintptr_t)id);
    }
  record_listed (l, listed);
  const GPtrArray *all = members_all (l->parts.members);
  for (guint k = 1; k < all->len; k++)
    {
      const struct member *m = g_ptr_array_index (all, k);
      if (!g_hash_table_contains (listed, m->info.id))
        members_vm_unlisted (l->parts.members, m->info.id, clock_ms ());
    }
}

static void
on_vm_list (void *arg, const struct http_response *a)
{
  struct vm_list *l = arg;
  if (a->end != HTTP_OUTCOME_COMPLETE || a->status != 200 || a->body == NULL)
    return;
  size_t n = evbuffer_get_length (a->body);
  json_t *root
      = json_loadb ((const char *)evbuffer_pullup (a->body, -1), n, 0, NULL);
  const json_t *vms = json_object_get (root, "vms");
  if (json_is_array (vms))
    handle_vm_list (l, vms);
  json_decref (root);
}

static const struct http_client_callbacks vm_list_callbacks
    = { NULL, on_vm_list, NULL };

static void
on_vm_list_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct vm_list *l = arg;
  struct http_client_request o = { .address = l->parts.address,
                                   .method = "GET",
                                   .path = "/v1/vms",
                                   .timeout_ms = KV_TIMEOUT_MS };
  http_client_call (l->parts.http, &o, &vm_list_callbacks, l);
}

struct vm_list *
vm_list_create (const struct vm_list_parts *parts)
{
  static const struct timeval interval = { VM_LIST_INTERVAL_MS / 1000, 0 };
  struct vm_list *l = g_new0 (struct vm_list, 1);
  l->parts = *parts;
  l->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  if (parts->address[0] == '\0')
    return l;
  l->timer = event_new (parts->base, -1, EV_PERSIST, on_vm_list_timer, l);
  event_add (l->timer, &interval);
  return l;
}

void
vm_list_destroy (struct vm_list *l)
{
  if (l == NULL)
    return;
  if (l->timer)
    event_free (l->timer);
  g_hash_table_destroy (l->listed);
  g_free (l);
}
