#include "decide/limits.h"

#include "config.h"

/* Most retries that the budget can save up.  */
#define RETRY_TOKENS_MAX 50.0

struct bucket
{
  double tokens;
  int64_t refilled_ms; /* when tokens were last added */
};

struct limits
{
  GHashTable *buckets; /* caller -> struct bucket */
};

struct limits *
limits_create (void)
{
  struct limits *l = g_new0 (struct limits, 1);
  l->buckets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return l;
}

void
limits_destroy (struct limits *l)
{
  if (l == NULL)
    return;
  g_hash_table_destroy (l->buckets);
  g_free (l);
}

bool
limits_admit (struct limits *l, const char *caller, double rate,
              int64_t now_ms, uint32_t *retry_after_ms)
{
  if (rate <= 0)
    return true;
  double burst = MAX (rate * LIMIT_BURST_MS / 1000, 1);
  struct bucket *b = g_hash_table_lookup (l->buckets, caller);
  if (b == NULL)
    {
      b = g_new0 (struct bucket, 1);
      b->tokens = burst;
      b->refilled_ms = now_ms;
      g_hash_table_insert (l->buckets, g_strdup (caller), b);
    }
  b->tokens = MIN (
      burst, b->tokens + (double)(now_ms - b->refilled_ms) * rate / 1000);
  b->refilled_ms = now_ms;
  if (b->tokens < 1)
    {
      *retry_after_ms = (uint32_t)((1 - b->tokens) / rate * 1000) + 1;
      return false;
    }
  b->tokens -= 1;
  return true;
}

void
retry_budget_deposit (struct retry_budget *b)
{
  b->tokens = MIN (b->tokens + RETRY_BUDGET_PERCENT / 100.0, RETRY_TOKENS_MAX);
}

bool
retry_budget_withdraw (struct retry_budget *b, enum retry_cause cause)
{
  if (cause == RETRY_AFTER_DRAIN)
    return true;
  if (b->tokens < 1)
    return false;
  b->tokens -= 1;
  return true;
}
