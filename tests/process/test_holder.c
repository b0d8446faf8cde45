/** @file
    Role-change orders to a platform's engines: one VM, the order holder, sends
    them.  After it is killed another VM does, later than the order lease and
    with a higher fencing token.  */
#include "harness/site.h"
#include "process/common.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define VMS 3
#define ENGINES 6
#define PREFILL_TOKENS_PER_MS 300
#define PROMPT_TOKENS 9000
#define REQUEST_INTERVAL_MS 12
#define RESPONSE_TIMEOUT_MS 5000
/* Required time between orders of two holders; default of --order-lease-ms. */
#define ORDER_LEASE_MS 3000
/* Far above what the first holder and its successor take to send an order.  */
#define FIRST_ORDER_TIMEOUT_MS 40000
#define NEXT_ORDER_TIMEOUT_MS 90000
#define US_PER_MS 1000

static struct site *site;
static gint stop_load;

/* An order, as its engine logged it.  */
struct order
{
  char holder[32];
  long long fence;
  gint64 at_us;
};

/* Sends long prompts through VM number ARG until stop_load is set, so that
   engines have to change their roles.  */
static gpointer
run_load (gpointer arg)
{
  unsigned vm = GPOINTER_TO_UINT (arg);
  for (unsigned i = 0; !g_atomic_int_get (&stop_load); i++)
    {
      g_autofree char *id = g_strdup_printf ("p%u-%u", vm, i);
      g_autofree char *headers = g_strdup_printf (
          "X-Token-Counts: %u,2\r\nX-Prompt-Prefix: %x:%u\r\n"
          "X-Deadline-Ms: 2000\r\n",
          PROMPT_TOKENS, 4096 * (vm + 1) + i, PROMPT_TOKENS);
      struct web *w
          = site_send_request (site, vm, "GET", "/model/x", id, headers, NULL);
      web_read_response (w, RESPONSE_TIMEOUT_MS);
      web_close (w);
      g_usleep (REQUEST_INTERVAL_MS * US_PER_MS);
    }
  return NULL;
}

/* Reads the engines' logs and returns all orders so far (struct order), to be
   released.  Updates an engine's entry in the store to the stage that it was
   last ordered to take.  */
static GArray *
read_orders (void)
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
          const char *role
              = strcmp (stage, "prefill") == 0 ? "prefill" : "decode";
          if (strcmp (site->stages[i], role) != 0)
            {
              site->stages[i] = role;
              site_set_upstream_state (site, i, "ready");
            }
        }
    }
  return out;
}

/* Whether any engine has got an order.  */
static bool
has_order (void *arg)
{
  (void)arg;
  g_autoptr (GArray) orders = read_orders ();
  return orders->len > 0;
}

/* Whether a VM other than the one named ARG has sent an order.  */
static bool
has_order_of_other_holder (void *arg)
{
  g_autoptr (GArray) orders = read_orders ();
  for (guint i = 0; i < orders->len; i++)
    if (strcmp (g_array_index (orders, struct order, i).holder, arg) != 0)
      return true;
  return false;
}

/* Orders of two holders must be further apart than the lease and have
   different fencing tokens, the later one the higher.  */
static void
check_orders (void)
{
  g_autoptr (GArray) orders = read_orders ();
  for (guint i = 0; i < orders->len; i++)
    for (guint k = 0; k < orders->len; k++)
      {
        const struct order *a = &g_array_index (orders, struct order, i);
        const struct order *b = &g_array_index (orders, struct order, k);
        if (strcmp (a->holder, b->holder) == 0)
          continue;
        g_assert_cmpint (a->fence, !=, b->fence);
        g_assert_cmpint (ABS (a->at_us - b->at_us), >,
                         ORDER_LEASE_MS * US_PER_MS);
        if (a->at_us < b->at_us)
          g_assert_cmpint (a->fence, <, b->fence);
      }
}

static void
test_holder_change (void)
{
  GThread *threads[VMS];
  for (unsigned i = 0; i < VMS; i++)
    threads[i] = g_thread_new ("load", run_load, GUINT_TO_POINTER (i));
  site_wait (has_order, NULL, FIRST_ORDER_TIMEOUT_MS);
  g_autoptr (GArray) orders = read_orders ();
  char holder[32];
  g_strlcpy (holder, g_array_index (orders, struct order, 0).holder,
             sizeof holder);
  for (unsigned i = 0; i < VMS; i++)
    if (strcmp (site->vms[i]->name, holder) == 0)
      proc_kill (site->vms[i]);
  site_wait (has_order_of_other_holder, holder, NEXT_ORDER_TIMEOUT_MS);
  check_orders ();
  g_atomic_int_set (&stop_load, 1);
  for (unsigned i = 0; i < VMS; i++)
    g_thread_join (threads[i]);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  program_directory_init (argv[0]);
  site = site_create (program_directory (), VMS, 0);
  site_add_engine (site, "prefill", PREFILL_TOKENS_PER_MS);
  for (unsigned i = 1; i < ENGINES; i++)
    site_add_engine (site, "decode", PREFILL_TOKENS_PER_MS);
  site_start (site);
  g_test_add_func ("/holder/holder-change", test_holder_change);
  int status = g_test_run ();
  site_destroy (site);
  return status;
}
