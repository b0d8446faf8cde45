#include "decide/memory_budget.h"

#include <glib.h>

struct memory_budget
{
  size_t total;
  size_t responses; /* in progress */
  size_t waiting;   /* bytes, of all responses */
};

struct memory_budget *
memory_budget_create (size_t total)
{
  struct memory_budget *b = g_new0 (struct memory_budget, 1);
  b->total = total;
  return b;
}

void
memory_budget_destroy (struct memory_budget *b)
{
  g_free (b);
}

void
memory_budget_enter (struct memory_budget *b)
{
  b->responses++;
}

void
memory_budget_leave (struct memory_budget *b, size_t waiting)
{
  g_assert (b->responses > 0);
  b->responses--;
  memory_budget_change (b, waiting, 0);
}

void
memory_budget_change (struct memory_budget *b, size_t from, size_t to)
{
  g_assert (b->waiting >= from);
  b->waiting += to - from;
}

size_t
memory_budget_waiting (const struct memory_budget *b)
{
  return b->waiting;
}

size_t
memory_budget_share (const struct memory_budget *b)
{
  size_t share = b->total / MAX (b->responses, 1);
  return CLAMP (share, MEMORY_SHARE_MIN_BYTES, MEMORY_SHARE_MAX_BYTES);
}

bool
memory_budget_is_exceeded (const struct memory_budget *b, size_t waiting)
{
  bool used_up = b->waiting > b->total;
  return waiting > memory_budget_share (b)
         || (used_up && waiting > MEMORY_SHARE_MIN_BYTES);
}
