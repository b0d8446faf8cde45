#include "daemon/fleet_duties.h"

#include "daemon/staffing_link.h"
#include "daemon/usage_link.h"

struct fleet_duties
{
  struct vm_registry *vm_registry;
  struct duty_link *link;
  struct staffing_link *staffing;
  struct usage_link *usage; /* NULL without usage reports */
};

static struct usage_link *
create_usage (struct fleet_duties *d, const struct fleet_duties_parts *parts)
{
  const struct settings *s = parts->settings;
  struct usage_link_parts usage
      = { .base = parts->base,
          .kv = parts->kv,
          .platform = parts->platform,
          .duties = d->link,
          .vm = s->vm,
          .peers = vm_registry_peers (parts->vm_registry),
          .window_s = (unsigned)s->usage_window_s,
          .late_s = (unsigned)s->usage_late_s };
  if (s->usage_window_s == 0 || !duty_link_is_enabled (d->link))
    return NULL;
  return usage_link_create (&usage);
}

struct fleet_duties *
fleet_duties_create (const struct fleet_duties_parts *parts)
{
  const struct settings *s = parts->settings;
  struct duty_link_parts link
      = { .base = parts->base,
          .kv = parts->kv,
          .platform = parts->platform,
          .pool = parts->pool,
          .members = vm_registry_members (parts->vm_registry),
          .vm = s->vm,
          .address = s->duty_address,
          .lease_ms = (int64_t)s->order_lease_ms,
          .calls_per_s = (unsigned)s->duty_calls_per_s };
  struct fleet_duties *d = g_new0 (struct fleet_duties, 1);
  d->vm_registry = parts->vm_registry;
  d->link = duty_link_create (&link);
  struct staffing_link_parts staffing = { .platform = parts->platform,
                                          .upstreams = parts->upstreams,
                                          .duties = d->link };
  d->staffing = staffing_link_create (&staffing);
  d->usage = create_usage (d, parts);
  vm_registry_set_usage (d->vm_registry, d->usage);
  return d;
}

struct usage_link *
fleet_duties_usage (const struct fleet_duties *d)
{
  return d->usage;
}

void
fleet_duties_stop (struct fleet_duties *d)
{
  usage_link_flush (d->usage);
}

void
fleet_duties_destroy (struct fleet_duties *d)
{
  if (d == NULL)
    return;
  vm_registry_set_usage (d->vm_registry, NULL);
  duty_link_destroy (d->link);
  staffing_link_destroy (d->staffing);
  usage_link_destroy (d->usage);
  g_free (d);
}

void
fleet_duties_set (struct fleet_duties *d, const struct settings *s)
{
  duty_link_set_lease (d->link, (int64_t)s->order_lease_ms);
}

void
fleet_duties_set_routes (struct fleet_duties *d,
                         const struct route_table *routes)
{
  staffing_link_set_routes (d->staffing, routes);
}

void
fleet_duties_leave (struct fleet_duties *d)
{
  duty_link_leave (d->link);
}
