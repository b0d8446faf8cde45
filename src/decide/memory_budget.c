#include "decide/memory_budget.h"

#include <glib.h>

#define BYTES_PER_MB ((size_t)1024 * 1024)
/* Part of the total for responses, and parts of the rest for small bodies and
   for what waiting bodies have already read, each up to a bound, above which
   more memory is of no use to them.  */
#define RESPONSES_FRACTION 0.4
#define RESPONSES_MAX_BYTES (32 * BYTES_PER_MB)
#define SMALL_BODIES_FRACTION 0.125
#define WAITING_BODIES_FRACTION 0.125
#define BODY_PART_MAX_BYTES (4 * BYTES_PER_MB)
/* Total of a machine: half of its memory, or 3/4 of what is beyond 48 MB if
   that is more.  The rest is for the program, its connections and what the
   allocator cannot reuse, up to half as much as the total.  */
#define MACHINE_FRACTION 0.5
#define PROGRAM_MB 48.0
#define LARGE_MACHINE_FRACTION 0.75
#define DEFAULT_MACHINE_MB 260.0

/* A response may use one half of its part in the process and the other one in
   the kernel, which doubles the size of the buffer that it is asked for.  */
#define SHARE_DIVISOR 2
#define RECEIVE_DIVISOR 4

/* Where the memory of a body is counted.  */
enum body_pool
{
  POOL_SMALL,
  POOL_WAITING,
  POOL_LARGE,
  POOL_COUNT
};

struct memory_budget
{
  size_t limits[POOL_COUNT];
  size_t used[POOL_COUNT];
  size_t largest;        /* size of the largest body, set apart for FIRST */
  size_t first_used;     /* of LARGEST */
  size_t responses;      /* in progress */
  size_t response_bytes; /* that wait, of all responses */
  size_t response_limit;
  struct memory_body *first; /* the body that may use LARGEST, or NULL */
  GSequence *queue;          /* of struct memory_body that wait */
};

struct memory_body
{
  struct memory_budget *budget;
  void *owner;
  int64_t deadline_ms;
  enum body_pool pool;
  size_t reserved; /* in POOL */
  size_t apart;    /* bytes of LARGEST that it uses; 0 unless it is FIRST */
  size_t wanted;   /* size asked for while it waits */
  GSequenceIter *place; /* in the queue; NULL if it does not wait */
};

static size_t
part_of (size_t bytes, double fraction, size_t most)
{
  return MIN ((size_t)((double)bytes * fraction), most);
}

struct memory_budget *
memory_budget_create (size_t total)
{
  struct memory_budget *b = g_new0 (struct memory_budget, 1);
  b->response_limit = part_of (total, RESPONSES_FRACTION, RESPONSES_MAX_BYTES);
  size_t bodies = total - b->response_limit;
  b->limits[POOL_SMALL]
      = part_of (bodies, SMALL_BODIES_FRACTION, BODY_PART_MAX_BYTES);
  b->limits[POOL_WAITING]
      = part_of (bodies, WAITING_BODIES_FRACTION, BODY_PART_MAX_BYTES);
  b->limits[POOL_LARGE]
      = bodies - b->limits[POOL_SMALL] - b->limits[POOL_WAITING];
  b->queue = g_sequence_new (NULL);
  return b;
}

void
memory_budget_destroy (struct memory_budget *b)
{
  if (b == NULL)
    return;
  g_sequence_free (b->queue);
  g_free (b);
}

size_t
memory_budget_total_of (uint64_t memory_mb)
{
  double mb = memory_mb > 0 ? (double)memory_mb : DEFAULT_MACHINE_MB;
  double half = mb * MACHINE_FRACTION;
  double large = (mb - PROGRAM_MB) * LARGE_MACHINE_FRACTION;
  return (size_t)(MAX (half, large) * (double)BYTES_PER_MB);
}

/* Responses.  */

void
memory_budget_enter (struct memory_budget *b)
{
  b->responses++;
}

void
memory_budget_leave (struct memory_budget *b)
{
  g_assert (b->responses > 0);
  b->responses--;
}

void
memory_budget_change (struct memory_budget *b, size_t from, size_t to)
{
  g_assert (b->response_bytes >= from);
  b->response_bytes += to - from;
}

size_t
memory_budget_waiting (const struct memory_budget *b)
{
  return b->response_bytes;
}

/* Memory that one of RESPONSES may use, in the process and in the kernel.  */
static size_t
part_of_response (const struct memory_budget *b, size_t responses)
{
  return b->response_limit / MAX (responses, 1);
}

size_t
memory_budget_share (const struct memory_budget *b)
{
  return CLAMP (part_of_response (b, b->responses) / SHARE_DIVISOR,
                MEMORY_SHARE_MIN_BYTES, MEMORY_SHARE_MAX_BYTES);
}

size_t
memory_budget_receive_bytes (const struct memory_budget *b, size_t requests)
{
  size_t responses = MAX (b->responses, requests);
  size_t most = part_of_response (b, responses) / RECEIVE_DIVISOR;
  size_t bytes = MEMORY_RECEIVE_MAX_BYTES;
  while (bytes > most && bytes > MEMORY_RECEIVE_MIN_BYTES)
    bytes /= 2;
  return bytes;
}

bool
memory_budget_is_used_up (const struct memory_budget *b)
{
  return b->response_bytes > b->response_limit;
}

bool
memory_budget_is_exceeded (const struct memory_budget *b, size_t waiting)
{
  return waiting > memory_budget_share (b)
         || (memory_budget_is_used_up (b) && waiting > MEMORY_SHARE_MIN_BYTES);
}

/* Request bodies.  */

void
memory_budget_set_largest (struct memory_budget *b, size_t bytes)
{
  b->largest = bytes;
}

struct memory_body *
memory_body_create (struct memory_budget *b, int64_t deadline_ms, void *owner)
{
  struct memory_body *m = g_new0 (struct memory_body, 1);
  m->budget = b;
  m->deadline_ms = deadline_ms;
  m->owner = owner;
  return m;
}

/* Counts SIZE bytes of M in POOL, instead of what it has in its pool.  */
static void
move_to (struct memory_body *m, enum body_pool pool, size_t size)
{
  m->budget->used[m->pool] -= m->reserved;
  m->budget->used[pool] += size;
  m->pool = pool;
  m->reserved = size;
}

/* Whether POOL has room for SIZE bytes of M instead of what M has.  */
static bool
has_room (const struct memory_body *m, enum body_pool pool, size_t size)
{
  const struct memory_budget *b = m->budget;
  size_t used = b->used[pool] - (m->pool == pool ? m->reserved : 0);
  return used + size <= b->limits[pool];
}

/* Whether large bodies may have SIZE bytes of M instead of what M has: beside
   what is set apart, and beside responses that exceed their part.  */
static bool
has_large_room (const struct memory_body *m, size_t size)
{
  const struct memory_budget *b = m->budget;
  size_t beyond = b->response_bytes > b->response_limit
                      ? b->response_bytes - b->response_limit
                      : 0;
  size_t taken = b->largest + beyond;
  return taken < b->limits[POOL_LARGE]
         && has_room (m, POOL_LARGE, size + taken);
}

static void
end_first (struct memory_body *m)
{
  struct memory_budget *b = m->budget;
  if (b->first != m)
    return;
  b->first_used -= m->apart;
  m->apart = 0;
  b->first = NULL;
}

/* Reserves SIZE bytes for M, which is larger than a small body, if it is its
   turn.  */
static bool
grant_large (struct memory_body *m, size_t size)
{
  struct memory_budget *b = m->budget;
  size_t rest = size - m->apart;
  if (has_large_room (m, rest))
    {
      move_to (m, POOL_LARGE, rest);
      return true;
    }
  bool may_be_first = b->first == m || b->first == NULL;
  if (!may_be_first || size > b->largest)
    return false;
  /* What it had so far moves to the memory set apart, so that its whole size
     fits there.  */
  b->first = m;
  b->first_used += size - m->apart;
  m->apart = size;
  move_to (m, POOL_LARGE, 0);
  return true;
}

/* Reserves SIZE bytes for M, a small body, if they are free in its part or in
   that of larger ones.  */
static bool
grant_small (struct memory_body *m, size_t size)
{
  bool fits
      = size <= MEMORY_SMALL_BODY_BYTES && has_room (m, POOL_SMALL, size);
  if (!fits && !has_large_room (m, size))
    return false;
  move_to (m, fits ? POOL_SMALL : POOL_LARGE, size);
  return true;
}

static int
compare_deadlines (const void *a, const void *b, void *arg)
{
  const struct memory_body *m = a;
  const struct memory_body *n = b;
  (void)arg;
  return (m->deadline_ms > n->deadline_ms) - (m->deadline_ms < n->deadline_ms);
}

/* Whether no other body is to get memory before M.  */
static bool
is_next (const struct memory_body *m)
{
  GSequenceIter *front = g_sequence_get_begin_iter (m->budget->queue);
  if (m == m->budget->first || g_sequence_iter_is_end (front))
    return true;
  return compare_deadlines (m, g_sequence_get (front), NULL) < 0;
}

/* Queues M until SIZE bytes are granted.  A body that has large memory keeps
   it; the READ bytes of another one count as those of a waiting body.  */
static enum memory_grant
wait_for (struct memory_body *m, size_t size, size_t read)
{
  struct memory_budget *b = m->budget;
  if (m->pool != POOL_LARGE)
    {
      if (!has_room (m, POOL_WAITING, read))
        return MEMORY_REFUSED;
      move_to (m, POOL_WAITING, read);
    }
  m->wanted = size;
  m->place = g_sequence_insert_sorted (b->queue, m, compare_deadlines, NULL);
  return MEMORY_WAITS;
}

enum memory_grant
memory_body_grow (struct memory_body *m, size_t size, size_t read)
{
  g_assert (m->place == NULL);
  if (size <= memory_body_reserved (m))
    return MEMORY_GRANTED;
  if (m->pool == POOL_SMALL && size <= MEMORY_SMALL_BODY_BYTES)
    return grant_small (m, size) ? MEMORY_GRANTED : MEMORY_REFUSED;
  if (is_next (m) && grant_large (m, size))
    return MEMORY_GRANTED;
  return wait_for (m, size, read);
}

/* Returns what M reserves beyond SIZE bytes.  */
static void
shrink (struct memory_body *m, size_t size)
{
  if (m->apart > size)
    {
      m->budget->first_used -= m->apart - size;
      m->apart = size;
    }
  move_to (m, m->pool, size - m->apart);
  if (m->apart == 0)
    end_first (m);
}

bool
memory_body_take (struct memory_body *m, size_t size)
{
  g_assert (m->place == NULL);
  if (size <= memory_body_reserved (m))
    {
      shrink (m, size);
      return true;
    }
  if (m->pool == POOL_SMALL)
    return grant_small (m, size) || grant_large (m, size);
  return grant_large (m, size);
}

void
memory_body_release (struct memory_body *m)
{
  if (m == NULL)
    return;
  if (m->place)
    g_sequence_remove (m->place);
  end_first (m);
  move_to (m, m->pool, 0);
  g_free (m);
}

size_t
memory_body_reserved (const struct memory_body *m)
{
  return m->reserved + m->apart;
}

bool
memory_body_is_large (const struct memory_body *m)
{
  return m->pool == POOL_LARGE && m->place == NULL;
}

void *
memory_budget_next (struct memory_budget *b)
{
  GSequenceIter *front = g_sequence_get_begin_iter (b->queue);
  if (g_sequence_iter_is_end (front))
    return NULL;
  struct memory_body *m = g_sequence_get (front);
  if (!grant_large (m, m->wanted))
    return NULL;
  g_sequence_remove (m->place);
  m->place = NULL;
  return m->owner;
}

size_t
memory_budget_bodies (const struct memory_budget *b)
{
  return b->used[POOL_SMALL] + b->used[POOL_WAITING] + b->used[POOL_LARGE]
         + b->first_used;
}

unsigned
memory_budget_bodies_waiting (const struct memory_budget *b)
{
  return (unsigned)g_sequence_get_length (b->queue);
}
