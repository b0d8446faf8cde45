#include "daemon/context.h"

peer_handle
context_send (const struct context *ctx, const char *vm, unsigned type,
              const void *message)
{
  const struct member *m = members_find (ctx->members, vm);
  if (m == NULL || !member_live (m))
    return 0;
  peer_handle peer = peers_connect (ctx->peers, m->info.id, m->info.ip,
                                    (uint16_t)m->info.peer_port);
  return peers_send (ctx->peers, peer, type, message) ? peer : 0;
}

struct event *
context_add_timer (const struct context *ctx, unsigned interval_ms,
                   event_callback_fn callback, void *arg)
{
  struct timeval tv = { interval_ms / 1000, (interval_ms % 1000) * 1000 };
  struct event *timer = event_new (ctx->base, -1, EV_PERSIST, callback, arg);
  event_add (timer, &tv);
  return timer;
}
