#include "daemon/vm_broadcast.h"

void
vm_broadcast_all (const struct vm_broadcast *b, unsigned type,
                  const void *message)
{
  vm_broadcast_some (b, type, message, G_MAXUINT);
}

void
vm_broadcast_some (const struct vm_broadcast *b, unsigned type,
                   const void *message, unsigned count)
{
  /* The first member is this VM.  */
  const GPtrArray *all = members_all (b->members);
  guint others = all->len - 1;
  guint first = others > 0 ? (guint)g_random_int_range (0, (gint)others) : 0;
  for (guint i = 0; i < others && count > 0; i++)
    {
      const struct member *to
          = g_ptr_array_index (all, 1 + (first + i) % others);
      if (!member_live (to))
        continue;
      b->send (b->arg, to, type, message);
      count--;
    }
}
