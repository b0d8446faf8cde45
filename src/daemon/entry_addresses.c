#include "daemon/entry_addresses.h"

#include <string.h>

/* Most addresses in a response to a caller.  */
#define ENTRY_ADDRESSES_MAX 64

/* Distance of VM, which is in VM_REGION, from a caller: 0 same failure domain,
   1 same region, 2 other.  */
static unsigned
distance (const struct member *vm, const char *vm_region,
          const char *failure_domain, const char *region)
{
  if (failure_domain && strcmp (vm->info.failure_domain, failure_domain) == 0)
    return 0;
  return region && vm_region && strcmp (vm_region, region) == 0 ? 1 : 2;
}

static bool
accepts_callers (const struct member *m)
{
  return !m->leaving && m->info.status == MEMBER_ALIVE;
}

GPtrArray *
entry_addresses (const struct members *m,
                 const char *(*region_of) (void *arg,
                                           const char *failure_domain),
                 void *arg, const char *failure_domain, const char *region)
{
  const GPtrArray *all = members_all (m);
  GPtrArray *out = g_ptr_array_new_with_free_func (g_free);
  for (unsigned tier = 0; tier <= 2 && out->len == 0; tier++)
    for (guint i = 0; i < all->len && out->len < ENTRY_ADDRESSES_MAX; i++)
      {
        const struct member *vm = g_ptr_array_index (all, i);
        const char *vm_region = region_of (arg, vm->info.failure_domain);
        if (accepts_callers (vm)
            && distance (vm, vm_region, failure_domain, region) == tier)
          g_ptr_array_add (out,
                           g_strdup_printf ("%s:%u", vm->info.ip,
                                            (unsigned)vm->info.http_port));
      }
  return out;
}
