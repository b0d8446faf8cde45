/** @file
    Orders to engines as processes: one VM gives them; when it is killed
   another one does, later than the users' lease and under a higher number.  */
#include "harness/site.h"
#include "process/common.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define VMS 3
#define ENGINES 6
#define SPEED 300
#define PROMPT_TOKENS 9000
#define ASK_EACH_MS 12
#define ANSWER_MS 5000
/* Users' bound on holders that take turns, and a limit far above what the
   first and the next holder take to begin.  */
#define LEASE_MS 3000
#define FIRST_ORDER_MS 40000
#define NEXT_ORDER_MS 90000
#define US_PER_MS 1000

static struct site *site;
static gint stop;

/* One order, as its engine told it.  */
struct order
{
  char holder[32];
  long long fence;
  gint64 at_us;
};

static gpointer
ask_on (gpointer arg)
{
  unsigned vm = GPOINTER_TO_UINT (arg);
  for (unsigned i = 0; !g_atomic_int_get (&stop); i++)
    {
      g_autofree char *id = g_strdup_printf ("p%u-%u", vm, i);
      g_autofree char *headers = g_strdup_printf (
          "X-Token-Counts: %u,2\r\nX-Prompt-Prefix: %x:%u\r\n"
          "X-Deadline-Ms: 2000\r\n",
          PROMPT_TOKENS, 4096 * (vm + 1) + i, PROMPT_TOKENS);
      struct web *w
          = site_open (site, vm, "GET", "/model/x", id, headers, NULL);
      web_finish (w, ANSWER_MS);
      web_close (w);
      g_usleep (ASK_EACH_MS * US_PER_MS);
    }
  return NULL;
}

/* All orders so far; entries of the engines follow what they hold.  */
static GArray *
orders (void)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (struct order));
  for (unsigned i = 0; i < ENGINES; i++)
    {
      g_autofree char *log = site_upstream_log (site, i);
      g_auto (GStrv) lines = g_strsplit (log, "\n", -1);
      for (char **l = lines; *l; l++)
        {
          struct order o = { 0 };
          char stage[16];
          if (sscanf (
                  *l,
                  "order=%15s holder=%31s fence=%lld at_us=%" G_GINT64_FORMAT,
                  stage, o.holder, &o.fence, &o.at_us)
              != 4)
            continue;
          g_array_append_val (out, o);
          const char *now
              = strcmp (stage, "prefill") == 0 ? "prefill" : "decode";
          if (strcmp (site->stages[i], now) != 0)
            {
              site->stages[i] = now;
              site_write_upstream (site, i, "ready");
            }
        }
    }
  return out;
}

static bool
some_order (void *arg)
{
  (void)arg;
  g_autoptr (GArray) all = orders ();
  return all->len > 0;
}

static bool
some_order_of_another (void *arg)
{
  g_autoptr (GArray) all = orders ();
  for (guint i = 0; i < all->len; i++)
    if (strcmp (g_array_index (all, struct order, i).holder, arg) != 0)
      return true;
  return false;
}

/* No two holders within the lease, no number of two, none lower later.  */
static void
check_orders (void)
{
  g_autoptr (GArray) all = orders ();
  for (guint i = 0; i < all->len; i++)
    for (guint k = 0; k < all->len; k++)
      {
        const struct order *a = &g_array_index (all, struct order, i);
        const struct order *b = &g_array_index (all, struct order, k);
        if (strcmp (a->holder, b->holder) == 0)
          continue;
        g_assert_cmpint (a->fence, !=, b->fence);
        g_assert_cmpint (ABS (a->at_us - b->at_us), >, LEASE_MS * US_PER_MS);
        if (a->at_us < b->at_us)
          g_assert_cmpint (a->fence, <, b->fence);
      }
}

static void
test_one_holder (void)
{
  GThread *threads[VMS];
  for (unsigned i = 0; i < VMS; i++)
    threads[i] = g_thread_new ("asker", ask_on, GUINT_TO_POINTER (i));
  site_wait (some_order, NULL, FIRST_ORDER_MS);
  g_autoptr (GArray) first = orders ();
  char holder[32];
  g_strlcpy (holder, g_array_index (first, struct order, 0).holder,
             sizeof holder);
  for (unsigned i = 0; i < VMS; i++)
    if (strcmp (site->vms[i]->name, holder) == 0)
      proc_kill (site->vms[i]);
  site_wait (some_order_of_another, holder, NEXT_ORDER_MS);
  check_orders ();
  g_atomic_int_set (&stop, 1);
  for (unsigned i = 0; i < VMS; i++)
    g_thread_join (threads[i]);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  programs_init (argv[0]);
  site = site_create (programs (), VMS, 0);
  site_add_engine (site, "prefill", SPEED);
  for (unsigned i = 1; i < ENGINES; i++)
    site_add_engine (site, "decode", SPEED);
  site_start (site);
  g_test_add_func ("/holder/one", test_one_holder);
  int status = g_test_run ();
  site_destroy (site);
  return status;
}
