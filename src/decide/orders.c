#include "decide/orders.h"

#include "config.h"

#include <string.h>

/* Shortest time between two attempts to become holder.  */
#define ACQUIRE_INTERVAL_MS 1000
/* Longest time between two ticks before the event loop counts as stalled.  */
#define LOOP_STALL_MS 2000

/* Another process that has sent, or may have sent, an engine's order.  */
struct prior_sender
{
  enum
  {
    SENDER_NOTHING_IN_FLIGHT, /* answered: no copy of its order can arrive */
    SENDER_MAYBE_IN_FLIGHT,   /* answered: its order may still arrive */
    SENDER_GONE               /* ended longer ago than a send can take */
  } state;
  int64_t answered_ms; /* first answer; it sends nothing after it */
};

struct engine
{
  char *id;
  /* Configured state.  */
  bool configured;
  bool target_set; /* since the last orders_drop_unset_targets */
  uint64_t role;
  char *version;
  bool checks_fencing;
  char *release; /* order id that an operator released, or "" */
  char *group;
  /* Reported state.  */
  bool reported;
  char *reported_order;
  uint64_t reported_role;
  char *reported_version;
  bool changing;
  int64_t started_ms;
  /* Progress of the engine's order at this process.  */
  bool draining;
  bool drained;
  unsigned in_flight;
  int64_t next_send_ms;
  bool unconfirmed; /* an order sent by this process may still arrive */
  int64_t last_unconfirmed_ms; /* when the connection of the latest send of
                                  unknown outcome was closed */
  GHashTable *prior_senders;   /* process name -> struct prior_sender */
  int64_t next_query_ms;
};

struct orders
{
  char *self;
  bool elected;
  bool is_holder;
  bool page_loaded;
  bool io_pending; /* a read or write is in flight */
  bool acquiring;
  int64_t revision;
  struct order_page page;    /* as last read or written */
  struct order_page written; /* contents of the write in flight */
  bool writing;
  GHashTable *engines;     /* id -> struct engine */
  GHashTable *group_sizes; /* group -> number of configured engines */
  unsigned loads_at_once;
  uint64_t last_order_number; /* number in the last order id; counts from 1 */
  int64_t next_acquire_ms;
  int64_t next_reread_ms; /* when to read the page again */
  int64_t last_tick_ms;
};

/* Creating and destroying.  */

static void
engine_free (void *p)
{
  struct engine *e = p;
  g_free (e->id);
  g_free (e->version);
  g_free (e->release);
  g_free (e->group);
  g_free (e->reported_order);
  g_free (e->reported_version);
  g_hash_table_destroy (e->prior_senders);
  g_free (e);
}

struct orders *
orders_create (const char *self)
{
  struct orders *o = g_new0 (struct orders, 1);
  o->self = g_strdup (self);
  o->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, engine_free);
  o->group_sizes = g_hash_table_new (g_str_hash, g_str_equal);
  o->loads_at_once = 1;
  record_init (&order_page_record, &o->page);
  return o;
}

void
orders_destroy (struct orders *o)
{
  if (o == NULL)
    return;
  record_clear (&order_page_record, &o->page);
  record_clear (&order_page_record, &o->written);
  g_hash_table_destroy (o->group_sizes);
  g_hash_table_destroy (o->engines);
  g_free (o->self);
  g_free (o);
}

static void
action_clear (void *p)
{
  struct orders_action *a = p;
  if (a->page)
    g_bytes_unref (a->page);
  g_free (a->engine);
  g_free (a->order_id);
  g_free (a->version);
  g_free (a->sender);
}

GArray *
orders_actions_create (void)
{
  GArray *out = g_array_new (FALSE, TRUE, sizeof (struct orders_action));
  g_array_set_clear_func (out, action_clear);
  return out;
}

static struct engine *
engine_get (struct orders *o, const char *id)
{
  struct engine *e = g_hash_table_lookup (o->engines, id);
  if (e)
    return e;
  e = g_new0 (struct engine, 1);
  e->id = g_strdup (id);
  e->version = g_strdup ("");
  e->release = g_strdup ("");
  e->group = g_strdup ("");
  e->reported_order = g_strdup ("");
  e->reported_version = g_strdup ("");
  e->prior_senders
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (o->engines, e->id, e);
  return e;
}

static void
replace_string (char **text, const char *value)
{
  if (strcmp (*text, value) == 0)
    return;
  g_free (*text);
  *text = g_strdup (value);
}

/* Encoding, copying, searching and writing the page.  */

static GBytes *
page_encode (const struct order_page *page)
{
  GByteArray *out = g_byte_array_new ();
  record_encode (&order_page_record, page, out);
  return g_byte_array_free_to_bytes (out);
}

static bool
page_decode (GBytes *bytes, struct order_page *page)
{
  gsize n = 0;
  const void *data = g_bytes_get_data (bytes, &n);
  return record_decode (&order_page_record, data, n, page);
}

static void
page_copy (struct order_page *to, const struct order_page *from)
{
  g_autoptr (GBytes) bytes = page_encode (from);
  if (!page_decode (bytes, to))
    g_error ("order page does not decode right after it was encoded");
}

static struct order_entry *
page_find (const struct order_page *page, const char *engine)
{
  for (guint i = 0; page->entries && i < page->entries->len; i++)
    {
      struct order_entry *e
          = &g_array_index (page->entries, struct order_entry, i);
      if (strcmp (e->engine, engine) == 0)
        return e;
    }
  return NULL;
}

const struct order_entry *
orders_entry (const struct orders *o, const char *engine)
{
  return page_find (&o->page, engine);
}

/* Starts writing the page as CHANGED, whose contents it takes over.  */
static void
write_page (struct orders *o, struct order_page *changed, GArray *out)
{
  record_clear (&order_page_record, &o->written);
  o->written = *changed;
  o->writing = true;
  o->io_pending = true;
  struct orders_action a = { .kind = ORDERS_WRITE,
                             .revision = o->revision,
                             .page = page_encode (&o->written) };
  g_array_append_val (out, a);
}

/* Holder role and prior senders.  */

void
orders_set_elected (struct orders *o, bool elected)
{
  o->elected = elected;
}

bool
orders_is_holder (const struct orders *o)
{
  return o->is_holder;
}

/* Stops acting as holder.  The page is read again before the next order, and
   drains and answers of prior senders are forgotten, because they may be
   out of date by then.  */
static void
step_down (struct orders *o)
{
  o->is_holder = false;
  o->page_loaded = false;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, o->engines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct engine *e = value;
      e->draining = false;
      e->drained = false;
      g_hash_table_remove_all (e->prior_senders);
    }
}

static bool
no_send_in_flight (const struct engine *e)
{
  return e->in_flight == 0 && !e->unconfirmed;
}

bool
orders_handle_sender_query (struct orders *o, const char *engine,
                            uint64_t fencing)
{
  if (fencing > o->page.fencing || !o->is_holder)
    step_down (o);
  const struct engine *e = g_hash_table_lookup (o->engines, engine);
  return !o->is_holder && (e == NULL || no_send_in_flight (e));
}

void
orders_sender_answered (struct orders *o, const char *engine,
                        const char *sender, bool clean, int64_t now_ms)
{
  struct engine *e = g_hash_table_lookup (o->engines, engine);
  if (e == NULL)
    return;
  struct prior_sender *prior_sender
      = g_hash_table_lookup (e->prior_senders, sender);
  if (prior_sender == NULL)
    {
      prior_sender = g_new0 (struct prior_sender, 1);
      prior_sender->answered_ms = now_ms;
      g_hash_table_insert (e->prior_senders, g_strdup (sender), prior_sender);
    }
  if (prior_sender->state != SENDER_GONE)
    prior_sender->state
        = clean ? SENDER_NOTHING_IN_FLIGHT : SENDER_MAYBE_IN_FLIGHT;
}

void
orders_sender_ended (struct orders *o, const char *sender)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, o->engines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct engine *e = value;
      struct prior_sender *prior_sender = g_new0 (struct prior_sender, 1);
      prior_sender->state = SENDER_GONE;
      g_hash_table_replace (e->prior_senders, g_strdup (sender), prior_sender);
    }
}

/* Targets, reports and outcomes of sends.  */

void
orders_set_target (struct orders *o, const struct order_target *t)
{
  struct engine *e = engine_get (o, t->engine);
  e->configured = true;
  e->target_set = true;
  e->role = t->role;
  e->checks_fencing = t->checks_fencing;
  replace_string (&e->version, t->version);
  replace_string (&e->release, t->release);
  replace_string (&e->group, t->group);
}

void
orders_drop_unset_targets (struct orders *o)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, o->engines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct engine *e = value;
      e->configured = e->target_set;
      e->target_set = false;
    }
}

void
orders_set_loads_at_once (struct orders *o, unsigned n)
{
  o->loads_at_once = MAX (n, 1);
}

void
orders_report (struct orders *o, const char *engine,
               const struct order_report *r)
{
  struct engine *e = engine_get (o, engine);
  e->reported = true;
  replace_string (&e->reported_order, r->order_id);
  replace_string (&e->reported_version, r->version);
  e->reported_role = r->role;
  e->changing = r->changing;
  e->started_ms = r->started_ms;
  /* A copy sent before the engine's last start can no longer arrive.  */
  if (e->unconfirmed && e->started_ms > e->last_unconfirmed_ms)
    e->unconfirmed = false;
}

bool
orders_has_report (const struct orders *o, const char *engine)
{
  const struct engine *e = g_hash_table_lookup (o->engines, engine);
  return e && e->reported;
}

void
orders_drained (struct orders *o, const char *engine)
{
  struct engine *e = engine_get (o, engine);
  e->drained = e->draining;
}

void
orders_send_done (struct orders *o, const char *engine,
                  enum order_send_outcome outcome, int64_t closed_ms)
{
  struct engine *e = engine_get (o, engine);
  if (e->in_flight > 0)
    e->in_flight--;
  /* A higher fencing token means that another process is the holder.  */
  if (outcome == ORDER_SEND_REJECTED)
    step_down (o);
  if (outcome != ORDER_SEND_UNKNOWN)
    return;
  e->unconfirmed = true;
  e->last_unconfirmed_ms = MAX (e->last_unconfirmed_ms, closed_ms);
}

/* Results of page reads and writes.  */

void
orders_read_done (struct orders *o, bool ok, int64_t revision, GBytes *bytes)
{
  struct order_page page = { 0 };
  o->io_pending = false;
  if (!ok || (bytes && !page_decode (bytes, &page)))
    return;
  record_init (&order_page_record, &page);
  record_clear (&order_page_record, &o->page);
  o->page = page;
  o->revision = revision;
  o->page_loaded = true;
  o->is_holder = strcmp (page.holder, o->self) == 0;
}

void
orders_write_done (struct orders *o, enum orders_write_outcome outcome,
                   int64_t revision)
{
  o->io_pending = false;
  o->writing = false;
  if (outcome == ORDERS_WRITE_OK)
    {
      record_clear (&order_page_record, &o->page);
      o->page = o->written;
      memset (&o->written, 0, sizeof o->written);
      o->revision = revision;
      o->is_holder = strcmp (o->page.holder, o->self) == 0;
    }
  else if (outcome != ORDERS_WRITE_NOT_DONE)
    step_down (o);
}

/* Deciding the next actions.  */

static struct orders_action
engine_action (enum orders_action_kind kind, const struct engine *e)
{
  return (struct orders_action){ .kind = kind, .engine = g_strdup (e->id) };
}

static void
emit (GArray *out, struct orders_action a)
{
  g_array_append_val (out, a);
}

/* Starts writing this process as holder with a higher fencing token.  */
static void
become_holder (struct orders *o, int64_t now_ms, GArray *out)
{
  if (now_ms < o->next_acquire_ms)
    return;
  o->next_acquire_ms = now_ms + ACQUIRE_INTERVAL_MS;
  struct order_page changed = { 0 };
  page_copy (&changed, &o->page);
  changed.fencing++;
  g_free (changed.holder);
  changed.holder = g_strdup (o->self);
  write_page (o, &changed, out);
}

/* Whether no copy of an order sent by SENDER can arrive any more.  */
static bool
sender_settled (const struct orders *o, const struct engine *e,
                const char *sender)
{
  if (strcmp (sender, o->self) == 0)
    return no_send_in_flight (e);
  const struct prior_sender *prior_sender
      = g_hash_table_lookup (e->prior_senders, sender);
  if (prior_sender == NULL)
    return false;
  if (prior_sender->state == SENDER_MAYBE_IN_FLIGHT)
    return e->reported && e->started_ms > prior_sender->answered_ms;
  return true;
}

/* Whether no copy of ENTRY can take effect any more.  An engine that checks
   fencing tokens rejects late copies itself.  */
static bool
entry_settled (const struct orders *o, const struct engine *e,
               const struct order_entry *entry)
{
  if (e->checks_fencing || strcmp (e->release, entry->order_id) == 0)
    return true;
  for (guint i = 0; i < entry->senders->len; i++)
    if (!sender_settled (o, e, g_ptr_array_index (entry->senders, i)))
      return false;
  return true;
}

static bool
order_confirmed (const struct engine *e, const struct order_entry *entry)
{
  return e->reported && !e->changing
         && strcmp (e->reported_order, entry->order_id) == 0;
}

/* Asks the other senders of ENTRY whose copies may still arrive, every
   ORDER_RESEND_MS.  */
static void
ask_senders (struct orders *o, struct engine *e,
             const struct order_entry *entry, int64_t now_ms, GArray *out)
{
  if (e->checks_fencing || now_ms < e->next_query_ms)
    return;
  e->next_query_ms = now_ms + ORDER_RESEND_MS;
  for (guint i = 0; i < entry->senders->len; i++)
    {
      const char *sender = g_ptr_array_index (entry->senders, i);
      if (sender_settled (o, e, sender) || strcmp (sender, o->self) == 0)
        continue;
      struct orders_action a = engine_action (ORDERS_QUERY_SENDER, e);
      a.sender = g_strdup (sender);
      a.fencing = o->page.fencing;
      emit (out, a);
    }
}

static bool
self_is_sender (const struct orders *o, const struct order_entry *entry)
{
  for (guint i = 0; entry && i < entry->senders->len; i++)
    if (strcmp (g_ptr_array_index (entry->senders, i), o->self) == 0)
      return true;
  return false;
}

/* Drains E, then sends ENTRY every ORDER_RESEND_MS until the engine reports
   it.  */
static void
drain_and_send (struct orders *o, struct engine *e,
                const struct order_entry *entry, int64_t now_ms, GArray *out)
{
  if (!e->draining)
    {
      struct orders_action drain = engine_action (ORDERS_DRAIN, e);
      drain.fencing = o->page.fencing;
      e->draining = true;
      e->drained = false;
      emit (out, drain);
    }
  if (!e->drained || e->in_flight > 0 || now_ms < e->next_send_ms)
    return;
  e->next_send_ms = now_ms + ORDER_RESEND_MS;
  e->in_flight++;
  struct orders_action a = engine_action (ORDERS_SEND, e);
  a.order_id = g_strdup (entry->order_id);
  a.version = g_strdup (entry->version);
  a.role = entry->role;
  a.fencing = entry->fencing;
  emit (out, a);
}

static void
undrain (const struct orders *o, struct engine *e, GArray *out)
{
  if (!e->draining)
    return;
  struct orders_action a = engine_action (ORDERS_UNDRAIN, e);
  a.fencing = o->page.fencing;
  e->draining = false;
  e->drained = false;
  emit (out, a);
}

static bool
needs_order (const struct engine *e)
{
  return e->configured && e->reported && !e->changing
         && (e->reported_role != e->role
             || (e->version[0]
                 && strcmp (e->reported_version, e->version) != 0));
}

static bool
loads_other_version (const struct engine *e)
{
  return e->version[0] && strcmp (e->reported_version, e->version) != 0;
}

static void
count_groups (struct orders *o)
{
  g_hash_table_remove_all (o->group_sizes);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, o->engines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct engine *e = value;
      guint n
          = GPOINTER_TO_UINT (g_hash_table_lookup (o->group_sizes, e->group));
      if (e->configured)
        g_hash_table_insert (o->group_sizes, e->group,
                             GUINT_TO_POINTER (n + 1));
    }
}

/* Whether a new order to E leaves enough engines of its group in service and
   stays within the limit of versions that load at once.  */
static bool
may_change (const struct orders *o, const struct engine *e,
            const struct order_page *page)
{
  guint size
      = GPOINTER_TO_UINT (g_hash_table_lookup (o->group_sizes, e->group));
  unsigned loading = 0, in_group = 0;
  for (guint i = 0; i < page->entries->len; i++)
    {
      const struct order_entry *entry
          = &g_array_index (page->entries, struct order_entry, i);
      const struct engine *other
          = g_hash_table_lookup (o->engines, entry->engine);
      if (other == NULL || entry->state != ORDER_INTENDED)
        continue;
      loading += strcmp (other->reported_version, entry->version) != 0;
      in_group += strcmp (other->group, e->group) == 0;
    }
  return in_group < MAX (size / ORDER_GROUP_DIVISOR, 1)
         && (!loads_other_version (e) || loading < o->loads_at_once);
}

static void
create_order (struct orders *o, struct engine *e, struct order_page *page)
{
  struct order_entry *entry = page_find (page, e->id);
  if (entry == NULL)
    {
      struct order_entry new_entry = { .engine = g_strdup (e->id) };
      g_array_append_val (page->entries, new_entry);
      entry = page_find (page, e->id);
    }
  g_free (entry->order_id);
  g_free (entry->version);
  if (entry->senders)
    g_ptr_array_unref (entry->senders);
  entry->order_id = g_strdup_printf ("%s:%" G_GUINT64_FORMAT, o->self,
                                     (guint64)++o->last_order_number);
  entry->version = g_strdup (e->version[0] ? e->version : e->reported_version);
  entry->senders = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (entry->senders, g_strdup (o->self));
  entry->role = e->role;
  entry->fencing = ++page->fencing;
  entry->state = ORDER_INTENDED;
}

/* Takes the next step of E's order.  Returns whether PAGE was changed and has
   to be written.  */
static bool
advance_order (struct orders *o, struct engine *e, struct order_page *page,
               int64_t now_ms, GArray *out)
{
  struct order_entry *entry = page_find (page, e->id);
  uint64_t state = entry ? entry->state : ORDER_NONE;
  if (state == ORDER_INTENDED && order_confirmed (e, entry))
    {
      entry->state = entry_settled (o, e, entry) ? ORDER_SETTLED : ORDER_DONE;
      return true;
    }
  if (state == ORDER_INTENDED && !self_is_sender (o, entry))
    {
      /* This process resends the unfinished order of an earlier holder under
         its own fencing token.  It is recorded as a sender first.  */
      g_ptr_array_add (entry->senders, g_strdup (o->self));
      entry->fencing = page->fencing;
      return true;
    }
  if (state == ORDER_INTENDED)
    {
      ask_senders (o, e, entry, now_ms, out);
      if (self_is_sender (o, orders_entry (o, e->id)))
        drain_and_send (o, e, orders_entry (o, e->id), now_ms, out);
      return false;
    }
  undrain (o, e, out);
  if (state == ORDER_DONE)
    {
      ask_senders (o, e, entry, now_ms, out);
      if (!entry_settled (o, e, entry))
        return false;
      entry->state = ORDER_SETTLED;
      return true;
    }
  if (!needs_order (e) || !may_change (o, e, page))
    return false;
  create_order (o, e, page);
  return true;
}

/* Removes settled orders from PAGE; nothing depends on them any more.  */
static void
remove_settled (struct order_page *page)
{
  for (guint i = 0; i < page->entries->len; i++)
    {
      struct order_entry *entry
          = &g_array_index (page->entries, struct order_entry, i);
      if (entry->state != ORDER_SETTLED)
        continue;
      record_clear (&order_entry_record, entry);
      g_array_remove_index (page->entries, i--);
    }
}

static void
advance_all_orders (struct orders *o, int64_t now_ms, GArray *out)
{
  struct order_page changed = { 0 };
  page_copy (&changed, &o->page);
  bool page_changed = false;
  count_groups (o);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, o->engines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    page_changed |= advance_order (o, value, &changed, now_ms, out);
  remove_settled (&changed);
  if (page_changed)
    write_page (o, &changed, out);
  else
    record_clear (&order_page_record, &changed);
}

void
orders_tick (struct orders *o, int64_t now_ms, GArray *out)
{
  /* While the loop was stalled another process may have become holder, so the
     page is read before anything else is done.  */
  if (o->last_tick_ms != 0 && now_ms - o->last_tick_ms > LOOP_STALL_MS)
    step_down (o);
  o->last_tick_ms = now_ms;
  if (!o->elected || o->io_pending)
    return;
  if (!o->page_loaded || now_ms >= o->next_reread_ms)
    {
      o->io_pending = true;
      o->next_reread_ms = now_ms + ORDER_PAGE_REREAD_INTERVAL_MS;
      emit (out, (struct orders_action){ .kind = ORDERS_READ });
    }
  else if (!o->is_holder)
    become_holder (o, now_ms, out);
  else
    advance_all_orders (o, now_ms, out);
}

unsigned
orders_unfinished_count (const struct orders *o)
{
  unsigned n = 0;
  for (guint i = 0; o->page.entries && i < o->page.entries->len; i++)
    n += g_array_index (o->page.entries, struct order_entry, i).state
         == ORDER_INTENDED;
  return n;
}

const char *
orders_state_name (const struct orders *o, const char *engine)
{
  const struct order_entry *entry = orders_entry (o, engine);
  const struct engine *e = g_hash_table_lookup (o->engines, engine);
  if (entry == NULL || entry->state == ORDER_NONE)
    return "none";
  if (entry->state == ORDER_DONE)
    return "unsettled";
  if (e && e->draining && !e->drained)
    return "draining";
  return e && e->drained ? "sent" : "intended";
}
