#include "decide/rollout.h"

#include "config.h"

#include <string.h>

enum phase
{
  PHASE_IDLE,
  PHASE_STAGING,  /* the VMs store and validate the file */
  PHASE_WRITING,  /* the applied record is being written */
  PHASE_IN_FORCE, /* committed; the VMs are putting the file in force */
  PHASE_ENDED
};

struct vm
{
  char *name;
  char *region;
  bool live;
  bool stage_requested;
  bool staged;
  bool in_force;
};

struct rollout
{
  uint64_t revision;
  enum phase phase;
  GPtrArray *regions;
  GPtrArray *behind; /* regions that need not stage the file */
  GPtrArray *vms;
  int64_t phase_start_ms;
  int64_t retry_ms;    /* when to read back or notify again; 0 for never */
  bool may_be_written; /* a write of unknown outcome was sent */
};

static void
vm_free (void *p)
{
  struct vm *vm = p;
  g_free (vm->name);
  g_free (vm->region);
  g_free (vm);
}

static GPtrArray *
string_array_copy (const GPtrArray *from)
{
  GPtrArray *to = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; from && i < from->len; i++)
    g_ptr_array_add (to, g_strdup (g_ptr_array_index (from, i)));
  return to;
}

struct rollout *
rollout_create (uint64_t revision, const GPtrArray *regions,
                const GPtrArray *behind)
{
  struct rollout *r = g_new0 (struct rollout, 1);
  r->revision = revision;
  r->regions = string_array_copy (regions);
  r->behind = string_array_copy (behind);
  r->vms = g_ptr_array_new_with_free_func (vm_free);
  return r;
}

void
rollout_destroy (struct rollout *r)
{
  if (r == NULL)
    return;
  g_ptr_array_unref (r->regions);
  g_ptr_array_unref (r->behind);
  g_ptr_array_unref (r->vms);
  g_free (r);
}

static void
action_clear (void *p)
{
  struct rollout_action *a = p;
  g_free (a->vm);
  g_free (a->text);
}

GArray *
rollout_actions_create (void)
{
  GArray *out = g_array_new (FALSE, TRUE, sizeof (struct rollout_action));
  g_array_set_clear_func (out, action_clear);
  return out;
}

static void
emit (GArray *out, enum rollout_action_kind kind, const char *vm)
{
  struct rollout_action a = { .kind = kind, .vm = g_strdup (vm) };
  g_array_append_val (out, a);
}

static void
finish (struct rollout *r, enum result result, char *text, GArray *out)
{
  struct rollout_action a
      = { .kind = ROLLOUT_DONE, .result = result, .text = text };
  g_array_append_val (out, a);
  r->phase = PHASE_ENDED;
}

static struct vm *
vm_find (const struct rollout *r, const char *name)
{
  for (guint i = 0; i < r->vms->len; i++)
    {
      struct vm *vm = g_ptr_array_index (r->vms, i);
      if (strcmp (vm->name, name) == 0)
        return vm;
    }
  return NULL;
}

static bool
allowed_behind (const struct rollout *r, const char *region)
{
  for (guint i = 0; i < r->behind->len; i++)
    if (strcmp (g_ptr_array_index (r->behind, i), region) == 0)
      return true;
  return false;
}

/* Whether VM has done its part of the current phase: staging the file, or
   putting it in force.  */
static bool
vm_done_with_phase (const struct rollout *r, const struct vm *vm)
{
  return r->phase == PHASE_STAGING ? vm->staged : vm->in_force;
}

/* Whether REGION has at least one live VM and all of its live VMs have done
   their part of the current phase.  */
static bool
region_done_with_phase (const struct rollout *r, const char *region)
{
  unsigned done = 0;
  for (guint i = 0; i < r->vms->len; i++)
    {
      const struct vm *vm = g_ptr_array_index (r->vms, i);
      if (!vm->live || strcmp (vm->region, region) != 0)
        continue;
      if (!vm_done_with_phase (r, vm))
        return false;
      done++;
    }
  return done > 0;
}

static bool
region_has_live (const struct rollout *r, const char *region)
{
  for (guint i = 0; i < r->vms->len; i++)
    {
      const struct vm *vm = g_ptr_array_index (r->vms, i);
      if (vm->live && strcmp (vm->region, region) == 0)
        return true;
    }
  return false;
}

/* Returns text that lists the live VMs that have not done their part of the
   current phase, and the regions without a live VM.  */
static char *
describe_missing (const struct rollout *r)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < r->vms->len; i++)
    {
      const struct vm *vm = g_ptr_array_index (r->vms, i);
      if (vm->live && !vm_done_with_phase (r, vm))
        g_string_append_printf (text, "%svm %s of region %s",
                                text->len ? ", " : "", vm->name, vm->region);
    }
  for (guint i = 0; i < r->regions->len; i++)
    {
      const char *region = g_ptr_array_index (r->regions, i);
      if (!region_has_live (r, region))
        g_string_append_printf (text, "%sregion %s has no live vm",
                                text->len ? ", " : "", region);
    }
  return g_string_free (text, FALSE);
}

static void
start_write (struct rollout *r, GArray *out)
{
  r->retry_ms = 0;
  emit (out, ROLLOUT_WRITE, NULL);
}

/* Starts writing the record once the required regions have staged the file. */
static void
commit_if_staged (struct rollout *r, int64_t now_ms, GArray *out)
{
  for (guint i = 0; i < r->regions->len; i++)
    {
      const char *region = g_ptr_array_index (r->regions, i);
      if (!allowed_behind (r, region) && !region_done_with_phase (r, region))
        return;
    }
  r->phase = PHASE_WRITING;
  r->phase_start_ms = now_ms;
  start_write (r, out);
}

static void
finish_if_in_force (struct rollout *r, GArray *out)
{
  for (guint i = 0; i < r->regions->len; i++)
    if (!region_done_with_phase (r, g_ptr_array_index (r->regions, i)))
      return;
  finish (r, RESULT_OK,
          g_strdup_printf ("revision %" G_GUINT64_FORMAT
                           " is in force in every region",
                           (guint64)r->revision),
          out);
}

void
rollout_set_member_live (struct rollout *r, const char *name,
                         const char *region, bool live, GArray *out)
{
  struct vm *vm = vm_find (r, name);
  if (vm == NULL)
    {
      vm = g_new0 (struct vm, 1);
      vm->name = g_strdup (name);
      vm->region = g_strdup (region);
      g_ptr_array_add (r->vms, vm);
    }
  vm->live = live;
  if (!live)
    vm->stage_requested = false;
  if (live && !vm->stage_requested && r->phase == PHASE_STAGING)
    {
      vm->stage_requested = true;
      emit (out, ROLLOUT_STAGE, name);
    }
  else if (live && r->phase == PHASE_IN_FORCE && !vm->in_force)
    emit (out, ROLLOUT_NOTIFY, name);
}

void
rollout_start (struct rollout *r, int64_t now_ms, GArray *out)
{
  r->phase = PHASE_STAGING;
  r->phase_start_ms = now_ms;
  for (guint i = 0; i < r->vms->len; i++)
    {
      struct vm *vm = g_ptr_array_index (r->vms, i);
      if (!vm->live)
        continue;
      vm->stage_requested = true;
      emit (out, ROLLOUT_STAGE, vm->name);
    }
}

void
rollout_staged (struct rollout *r, const char *name, bool ok,
                const char *detail, int64_t now_ms, GArray *out)
{
  struct vm *vm = vm_find (r, name);
  if (vm == NULL || r->phase != PHASE_STAGING)
    return;
  if (!ok)
    {
      finish (r, RESULT_STAGE_FAILED,
              g_strdup_printf (
                  "vm %s did not stage the file; nothing was changed: %s",
                  name, detail),
              out);
      return;
    }
  vm->staged = true;
  commit_if_staged (r, now_ms, out);
}

static void
begin_in_force_phase (struct rollout *r, int64_t now_ms, GArray *out)
{
  r->phase = PHASE_IN_FORCE;
  r->phase_start_ms = now_ms;
  r->retry_ms = now_ms + APPLY_NOTIFY_INTERVAL_MS;
  for (guint i = 0; i < r->vms->len; i++)
    {
      struct vm *vm = g_ptr_array_index (r->vms, i);
      if (vm->live)
        emit (out, ROLLOUT_NOTIFY, vm->name);
    }
}

void
rollout_written (struct rollout *r, enum rollout_write_outcome outcome,
                 int64_t now_ms, GArray *out)
{
  if (r->phase != PHASE_WRITING)
    return;
  if (outcome == ROLLOUT_WRITE_OK)
    begin_in_force_phase (r, now_ms, out);
  else if (outcome == ROLLOUT_WRITE_UNKNOWN)
    {
      r->may_be_written = true;
      emit (out, ROLLOUT_READ_BACK, NULL);
    }
  /* The conflict may be with this rollout's own earlier write.  */
  else if (outcome == ROLLOUT_WRITE_CONFLICT && r->may_be_written)
    emit (out, ROLLOUT_READ_BACK, NULL);
  else if (outcome == ROLLOUT_WRITE_CONFLICT)
    finish (r, RESULT_CONFLICT,
            g_strdup ("another file was committed first; nothing was changed"),
            out);
  else if (r->may_be_written)
    r->retry_ms = now_ms + KV_RETRY_MS / 4;
  else
    finish (r, RESULT_PLATFORM_DOWN,
            g_strdup ("the key-value service is unreachable or refused the "
                      "write; nothing was changed"),
            out);
}

void
rollout_read_back (struct rollout *r, enum rollout_read_outcome seen,
                   int64_t now_ms, GArray *out)
{
  if (r->phase != PHASE_WRITING)
    return;
  if (seen == ROLLOUT_READ_OURS)
    begin_in_force_phase (r, now_ms, out);
  else if (seen == ROLLOUT_READ_OTHER)
    finish (r, RESULT_CONFLICT,
            g_strdup ("another file was committed first; nothing was changed"),
            out);
  else if (seen == ROLLOUT_READ_UNCHANGED)
    start_write (r, out);
  else
    r->retry_ms = now_ms + KV_RETRY_MS / 4;
}

void
rollout_in_force (struct rollout *r, const char *name, uint64_t revision,
                  int64_t now_ms, GArray *out)
{
  (void)now_ms;
  struct vm *vm = vm_find (r, name);
  if (vm == NULL || revision < r->revision)
    return;
  vm->in_force = true;
  if (r->phase == PHASE_IN_FORCE)
    finish_if_in_force (r, out);
}

static void
stage_timeout (struct rollout *r, GArray *out)
{
  for (guint i = 0; i < r->regions->len; i++)
    {
      const char *region = g_ptr_array_index (r->regions, i);
      bool any_staged = false;
      for (guint j = 0; j < r->vms->len; j++)
        {
          const struct vm *vm = g_ptr_array_index (r->vms, j);
          any_staged |= vm->staged && strcmp (vm->region, region) == 0;
        }
      if (any_staged || allowed_behind (r, region))
        continue;
      finish (
          r, RESULT_REGION_UNREACHABLE,
          g_strdup_printf (
              "region %s cannot be reached: none of its VMs staged the file "
              "in time; nothing was changed (use --allow-behind to apply "
              "without it)",
              region),
          out);
      return;
    }
  g_autofree char *missing = describe_missing (r);
  finish (r, RESULT_STAGE_FAILED,
          g_strdup_printf (
              "staging timed out; still missing: %s; nothing was changed",
              missing),
          out);
}

static void
in_force_timeout (struct rollout *r, GArray *out)
{
  g_autofree char *missing = describe_missing (r);
  finish (r, RESULT_COMMITTED_BEHIND,
          g_strdup_printf ("revision %" G_GUINT64_FORMAT
                           " is committed but not yet in force "
                           "everywhere; still missing: %s",
                           (guint64)r->revision, missing),
          out);
}

/* Notifies again the live VMs that have not reported the file in force.  */
static void
notify_again (struct rollout *r, int64_t now_ms, GArray *out)
{
  r->retry_ms = now_ms + APPLY_NOTIFY_INTERVAL_MS;
  for (guint i = 0; i < r->vms->len; i++)
    {
      const struct vm *vm = g_ptr_array_index (r->vms, i);
      if (vm->live && !vm->in_force)
        emit (out, ROLLOUT_NOTIFY, vm->name);
    }
}

void
rollout_tick (struct rollout *r, int64_t now_ms, GArray *out)
{
  int64_t age = now_ms - r->phase_start_ms;
  if (r->phase == PHASE_STAGING)
    {
      commit_if_staged (r, now_ms, out);
      if (r->phase == PHASE_STAGING && age >= APPLY_STAGE_TIMEOUT_MS)
        stage_timeout (r, out);
    }
  else if (r->phase == PHASE_WRITING && age >= APPLY_WRITE_TIMEOUT_MS)
    finish (r, RESULT_OUTCOME_OPEN,
            g_strdup ("the key-value service did not confirm the write in "
                      "time, so the file may be committed; read the "
                      "history before repeating the apply"),
            out);
  else if (r->phase == PHASE_WRITING && r->retry_ms && now_ms >= r->retry_ms)
    {
      r->retry_ms = 0;
      emit (out, ROLLOUT_READ_BACK, NULL);
    }
  else if (r->phase == PHASE_IN_FORCE)
    {
      finish_if_in_force (r, out);
      if (r->phase == PHASE_IN_FORCE && age >= APPLY_IN_FORCE_TIMEOUT_MS)
        in_force_timeout (r, out);
      else if (r->phase == PHASE_IN_FORCE && now_ms >= r->retry_ms)
        notify_again (r, now_ms, out);
    }
}
