/** @file
    The record of the orders of decide/staffing, a JSON object.  */
#include "decide/staffing_state.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Largest number in a record that is taken.  */
#define COUNT_MAX 100000

static void
write_pool (json_t *object, const char *kind, struct staffing_pool *p)
{
  p->recorded = p->is_ordered ? p->wanted : STAFFING_NO_ORDER;
  if (p->is_ordered)
    json_object_set_new (object, kind, json_integer (p->wanted));
}

static json_t *
write_service (const struct staffing_service *v)
{
  json_t *domains = json_object ();
  for (guint i = 0; i < v->domains->len; i++)
    {
      struct staffing_domain *d = staffing_domain_at (v, i);
      json_t *object = json_object ();
      write_pool (object, "regular", &d->regular);
      write_pool (object, "spot", &d->spot);
      json_object_set_new (domains, d->name, object);
    }
  return json_pack ("{s:i, s:i, s:b, s:o}", "initial", (int)v->demand.initial,
                    "needed", (int)v->demand.needed, "traffic",
                    (int)v->demand.has_traffic, "domains", domains);
}

GBytes *
staffing_record (struct staffing *s)
{
  json_t *root = json_object ();
  for (guint i = 0; i < s->services->len; i++)
    {
      const struct staffing_service *v = g_ptr_array_index (s->services, i);
      json_object_set_new (root, v->name, write_service (v));
    }
  char *text = json_dumps (root, JSON_COMPACT | JSON_SORT_KEYS);
  json_decref (root);
  return g_bytes_new_with_free_func (text, strlen (text), free, text);
}

/* Returns FIELD of OBJECT, a number of instances; STAFFING_NO_ORDER if it is
   absent or implausible.  */
static int
read_count (const json_t *object, const char *field)
{
  const json_t *value = json_object_get (object, field);
  json_int_t count = json_integer_value (value);
  if (!json_is_integer (value) || count < 0 || count > COUNT_MAX)
    return STAFFING_NO_ORDER;
  return (int)count;
}

static void
read_pool (const json_t *object, const char *kind, struct staffing_pool *p,
           int64_t now_ms)
{
  int wanted = read_count (object, kind);
  if (wanted == STAFFING_NO_ORDER)
    return;
  p->wanted = wanted;
  p->is_ordered = true;
  p->is_restored = true;
  p->accepted = STAFFING_NO_ORDER;
  p->changed_ms = now_ms;
}

static void
read_service (struct staffing_service *v, const json_t *object, int64_t now_ms)
{
  int initial = read_count (object, "initial");
  int needed = read_count (object, "needed");
  const json_t *domains = json_object_get (object, "domains");
  if (initial > 0 && needed > 0)
    staffing_demand_restore (
        &v->demand, (unsigned)initial, (unsigned)needed,
        json_is_true (json_object_get (object, "traffic")), now_ms);
  v->raised_ms = now_ms;
  for (guint i = 0; i < v->domains->len; i++)
    {
      struct staffing_domain *d = staffing_domain_at (v, i);
      const json_t *orders = json_object_get (domains, d->name);
      read_pool (orders, "regular", &d->regular, now_ms);
      read_pool (orders, "spot", &d->spot, now_ms);
    }
}

bool
staffing_restore (struct staffing *s, GBytes *record, int64_t now_ms)
{
  staffing_forget (s);
  if (record == NULL)
    return true;
  gsize size = 0;
  const char *data = g_bytes_get_data (record, &size);
  json_t *root = json_loadb (data, size, 0, NULL);
  bool ok = json_is_object (root);
  for (guint i = 0; ok && i < s->services->len; i++)
    {
      struct staffing_service *v = g_ptr_array_index (s->services, i);
      const json_t *object = json_object_get (root, v->name);
      if (object)
        read_service (v, object, now_ms);
    }
  json_decref (root);
  return ok;
}
