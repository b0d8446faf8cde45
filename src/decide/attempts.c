#include "decide/attempts.h"

#include <glib.h>

struct attempts
attempts_init (bool repeatable, unsigned max_sent)
{
  struct attempts a
      = { .repeatable = repeatable, .max_sent = MAX (max_sent, 1) };
  return a;
}

enum attempt_step
attempts_give_up (const struct attempts *a)
{
  return a->may_have_run ? ATTEMPT_UNKNOWN : ATTEMPT_REFUSE;
}

void
attempts_begin (struct attempts *a)
{
  a->open++;
}

bool
attempts_used_up (const struct attempts *a)
{
  return a->sent + a->open >= a->max_sent;
}

bool
attempts_may_begin (const struct attempts *a)
{
  bool may_run = a->repeatable || (!a->may_have_run && a->open == 0);
  return may_run && !attempts_used_up (a);
}

bool
attempts_may_hedge (const struct attempts *a)
{
  return a->open == 1 && attempts_may_begin (a);
}

static void
end_one (struct attempts *a)
{
  a->open -= MIN (a->open, 1);
}

void
attempts_cancelled (struct attempts *a)
{
  end_one (a);
  a->sent++;
  a->may_have_run = true;
}

enum attempt_step
attempts_ended (struct attempts *a, enum attempt_outcome outcome)
{
  end_one (a);
  if (outcome != ATTEMPT_NOT_SENT)
    a->sent++;
  if (outcome == ATTEMPT_NO_VALID_RESPONSE || outcome == ATTEMPT_FAILED)
    a->may_have_run = true;
  if (outcome == ATTEMPT_ANSWERED)
    return ATTEMPT_PASS_ON;
  if (attempts_may_begin (a))
    return ATTEMPT_RETRY;
  if (outcome == ATTEMPT_FAILED)
    return ATTEMPT_PASS_ON;
  return attempts_give_up (a);
}

const char *
attempt_outcome_name (enum attempt_outcome outcome)
{
  static const char *const names[]
      = { "answered", "failed", "not_sent", "not_run", "lost" };
  return names[outcome];
}
