#include "decide/authority.h"

#include <string.h>

/* Pause after a read or write that failed.  */
#define RETRY_MS 1000
#define VM_MAX_BYTES 64
/* Times between two holders' orders for which a successor sends nothing: one
   is asked for, the other covers an order that was on its way.  */
#define QUIET_LEASES 2

/* Steps of this VM.  */
enum step
{
  STEP_IDLE,      /* knows nothing of the key */
  STEP_READING,   /* a read is under way */
  STEP_WATCHING,  /* another VM's page is given time to change */
  STEP_TAKING,    /* the write that takes the key is under way */
  STEP_HOLDING,   /* the key is this VM's */
  STEP_CONFIRMING /* the write before a send is under way */
};

struct authority
{
  char *vm;
  int64_t lease_ms;
  enum step step;
  int64_t revision; /* of the key, as last read or written */
  char *holder;     /* as the page has it, NULL for none */
  uint64_t fencing;
  uint64_t count;
  int64_t seen_ms;  /* since when the key has not been seen to change */
  int64_t asked_ms; /* when the write under way was asked for */
  int64_t quiet_ms; /* no sends before */
  int64_t next_ms;  /* no reads or writes before */
  bool confirmed;   /* the last write was a confirmation, not yet used */
};

struct authority *
authority_create (const char *vm, int64_t lease_ms)
{
  struct authority *a = g_new0 (struct authority, 1);
  a->vm = g_strdup (vm);
  a->lease_ms = lease_ms;
  a->revision = -1;
  return a;
}

void
authority_set_lease (struct authority *a, int64_t lease_ms)
{
  a->lease_ms = lease_ms;
}

void
authority_destroy (struct authority *a)
{
  if (a == NULL)
    return;
  g_free (a->vm);
  g_free (a->holder);
  g_free (a);
}

/* Steps.  */

static enum authority_action
start_read (struct authority *a, int64_t now_ms)
{
  if (now_ms < a->next_ms)
    return AUTHORITY_NOTHING;
  a->step = STEP_READING;
  return AUTHORITY_READ;
}

static enum authority_action
start_write (struct authority *a, enum step step, int64_t now_ms)
{
  if (now_ms < a->next_ms)
    return AUTHORITY_NOTHING;
  a->step = step;
  a->asked_ms = now_ms;
  a->count++;
  return AUTHORITY_WRITE;
}

/* The confirmation is used once, and only while no successor can have had the
   time to send.  */
static bool
use_confirmation (struct authority *a, int64_t now_ms)
{
  bool fresh
      = a->confirmed && now_ms - a->asked_ms <= AUTHORITY_SEND_WITHIN_MS;
  a->confirmed = false;
  return fresh;
}

enum authority_action
authority_next (struct authority *a, bool lead, bool has_orders,
                int64_t now_ms)
{
  switch (a->step)
    {
    case STEP_IDLE:
      return lead ? start_read (a, now_ms) : AUTHORITY_NOTHING;
    case STEP_WATCHING:
      if (!lead || now_ms - a->seen_ms < AUTHORITY_TAKEOVER_MS)
        return AUTHORITY_NOTHING;
      return start_write (a, STEP_TAKING, now_ms);
    case STEP_HOLDING:
      if (use_confirmation (a, now_ms))
        return AUTHORITY_SEND;
      if (!lead || !has_orders || now_ms < a->quiet_ms)
        return AUTHORITY_NOTHING;
      return start_write (a, STEP_CONFIRMING, now_ms);
    default:
      return AUTHORITY_NOTHING;
    }
}

/* The page: "VM COUNT"; the count tells two writes apart.  */

static void
take_page (struct authority *a, GBytes *page)
{
  gsize size = 0;
  const char *data = page ? g_bytes_get_data (page, &size) : NULL;
  g_autofree char *text = g_strndup (data ? data : "", size);
  g_auto (GStrv) words = g_strsplit (text, " ", 3);
  g_clear_pointer (&a->holder, g_free);
  if (g_strv_length (words) < 2)
    return;
  a->holder = g_strndup (words[0], VM_MAX_BYTES);
}

GBytes *
authority_page (const struct authority *a)
{
  char *text = g_strdup_printf ("%s %" G_GUINT64_FORMAT, a->vm, a->count);
  return g_bytes_new_take (text, strlen (text));
}

int64_t
authority_revision (const struct authority *a)
{
  return MAX (a->revision, 0);
}

/* Events.  */

void
authority_read_done (struct authority *a, bool ok, int64_t revision,
                     GBytes *page, int64_t now_ms)
{
  a->step = STEP_IDLE;
  if (!ok)
    {
      a->next_ms = now_ms + RETRY_MS;
      return;
    }
  if (revision != a->revision)
    a->seen_ms = now_ms;
  a->revision = revision;
  take_page (a, page);
  a->step = STEP_WATCHING;
  /* Nobody holds it: there is nobody to wait for before it is taken.  Sends
     wait all the same: the key may have been removed.  */
  if (a->holder == NULL)
    a->seen_ms = now_ms - AUTHORITY_TAKEOVER_MS;
}

static void
taken (struct authority *a, int64_t now_ms)
{
  g_free (a->holder);
  a->holder = g_strdup (a->vm);
  a->fencing = (uint64_t)a->revision;
  a->quiet_ms = now_ms + QUIET_LEASES * a->lease_ms;
  a->confirmed = false;
}

void
authority_write_done (struct authority *a, enum authority_write how,
                      int64_t revision, int64_t now_ms)
{
  enum step step = a->step;
  switch (how)
    {
    case AUTHORITY_WRITE_OK:
      a->revision = revision;
      a->step = STEP_HOLDING;
      if (step == STEP_TAKING)
        taken (a, now_ms);
      else
        a->confirmed = true;
      return;
    case AUTHORITY_WRITE_REFUSED:
      a->next_ms = now_ms + RETRY_MS;
      a->step = step == STEP_CONFIRMING ? STEP_HOLDING : STEP_IDLE;
      return;
    default:
      /* Another VM wrote, or this write may be done yet: whatever the key
         says then, it counts as another holder's.  */
      a->step = STEP_IDLE;
      a->revision = -1;
      a->next_ms = now_ms + RETRY_MS;
    }
}

uint64_t
authority_fencing (const struct authority *a)
{
  return a->fencing;
}

bool
authority_holds (const struct authority *a)
{
  return a->step == STEP_HOLDING || a->step == STEP_CONFIRMING;
}
